"""Invalid rows of other writers, and a play that checks that the fleet goes on."""

import asyncio
import contextlib
import json
import logging

import attrs

from lynxchute.standins.platform_store import StoredRow
from lynxchute.standins.platform_upstream import PlatformUpstreamStandin
from tests.platform_support import PlatformCaller, event_ids, free_port
from tests.support import until

SURROGATE = "pool\ud800"
# Seconds until all routers have read new rows.
SPREAD_SECONDS = 0.6
ROUTERS = ("a-1", "a-2", "b-1", "b-2")
EVENTS = 6
JOINING_VERSION = "v-joining"
UPSTREAM = {
    "service": "pool",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "starting",
    "cold_remaining_ms": 0,
    "sequence": 4,
}
MEMBER = {
    "vm": "z-1",
    "data_centre": "z",
    "incarnation": "run-1",
    "address": "127.0.0.1:9",
    "is_leaving": True,
    "strength": 1.0,
}


def encoded(good, **changes):
    return json.dumps({**good, **changes}).encode()


@attrs.frozen
class OddAnswer(StoredRow):
    """A row that the store's answers show with other fields, or without some."""

    changes: dict = attrs.Factory(dict)

    def to_json(self):
        fields = {**super().to_json(), **self.changes}
        return {name: field for name, field in fields.items() if field is not ...}


async def put_answer(store, table, name, **changes):
    """Write a row that the store's answers show with some fields changed."""
    await store.put(table, name, b"x")
    plain = store.rows[(table, "", name)]
    odd = OddAnswer(plain.key, plain.value, plain.version, changes)
    store.rows[plain.key] = odd
    store._history[-1] = odd


class ErrorLog(logging.Handler):
    """Collects the errors that are logged."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.messages = []

    def emit(self, record):
        self.messages.append(self.format(record))

    @contextlib.contextmanager
    def attached(self):
        logger = logging.getLogger("absl")
        logger.addHandler(self)
        try:
            yield
        finally:
            logger.removeHandler(self)


class OddRowPlay:
    """Follow what a fleet does beside odd rows.

    Parameters
    ----------
    test
        The test case, for assertions.
    deployment
        The running deployment, with sound rows only.
    """

    def __init__(self, test, deployment):
        self.test = test
        self.deployment = deployment
        self.errors = ErrorLog()

    async def run(self, spoil):
        """Serve beside odd rows, while an engine joins, one leaves, a router starts."""
        with self.errors.attached():
            await spoil(self.deployment.store)
            await asyncio.sleep(SPREAD_SECONDS)
            await self._serve()
            await self._check_joining()
            await self._check_leaving()
            await self._check_new_router()
        self.test.assertEqual([], self.errors.messages)

    async def _serve(self, vms=ROUTERS):
        callers = [PlatformCaller(self.deployment, vm) for vm in vms for _ in range(6)]
        answers = await asyncio.gather(*(caller.stream() for caller in callers))
        for status, _, body in answers:
            self.test.assertEqual((200, EVENTS), (status, len(event_ids(body))))

    async def _know(self, is_known):
        routers = self.deployment.routers.values()
        await until(lambda: all(is_known(router.directory) for router in routers))

    async def _check_joining(self):
        engine = PlatformUpstreamStandin("pool", "a", events=EVENTS)
        engine.software_version = JOINING_VERSION
        await engine.start(free_port())
        await engine.register(self.deployment.store)
        self.deployment.engines.append(engine)
        await self._know(lambda directory: engine.id in directory.entries_by_id)
        async with asyncio.timeout(10):
            while not engine.runs:
                await self._serve()

    async def _check_leaving(self):
        engine = self.deployment.engines[0]
        engine.state = "leaving"
        await engine.register(self.deployment.store)
        await self._know(
            lambda directory: directory.entries_by_id[engine.id].upstream.is_leaving
        )
        runs = len(engine.runs)
        await self._serve()
        self.test.assertEqual(runs, len(engine.runs))

    async def _check_new_router(self):
        await self.deployment.routers["a-2"].kill()
        router = await self.deployment.start_router("a-2")
        await until(router.is_ready)
        await until(lambda: router.ledger_sync.ledger.is_open)
        await until(lambda: router.registry.members_known.is_set())
        await self._serve()
