"""Proofs of where streams began, without a network.

Guards against origins that count as proven although another process may have begun the
stream, and against refusals where nothing speaks against an origin.
"""

import asyncio

import attrs
import testtools

from lynxchute.callers.dialect import ChatDialect
from lynxchute.fleet.origin_messages import KnownOrigin, OriginNotice, OriginQuery
from lynxchute.http import Headers
from lynxchute.relay.passing import _origin
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import EngineClient, EngineUnavailable, Probe
from lynxchute.upstreams.stream_origin import StreamOrigin, origin_key
from lynxchute.upstreams.upstream import Upstream
from tests.origins_machine import (
    ENGINES,
    SERVICE,
    STREAM_TIMEOUT,
    VERSIONS,
    VMS,
    OriginsMachine,
)

ENGINE, VM = ENGINES[0], VMS[0]
# Seconds after which each view of all entries is newer than a stream.
LATER = 3.0
SLOW_SECONDS = 0.5
# Probes of one upstream in a second.
MAX_PROBES = 25


class ScriptedEngines(EngineClient):
    """Engines that answer probes by a function."""

    def __init__(self, answer):
        self._answer = answer
        self.asked = 0

    async def probe(self, upstream):
        self.asked += 1
        return await self._answer(upstream)

    async def cached_parts(self, upstream):
        return []


class ProofCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.machine = OriginsMachine()
        self.addCleanup(self.machine.teardown)
        self.machine.start()
        self.machine.advance(LATER)
        self.origins = self.machine.routers[VM].origins

    def answer_with(self, answer):
        engines = ScriptedEngines(answer)
        for router in self.machine.routers.values():
            router.origins._prover._engines = engines
        return engines

    def restart_unseen(self):
        """Restart an engine with other software; return the version it has now."""
        (other,) = set(VERSIONS) - {self.machine.processes[ENGINE][1]}
        self.machine.restart(ENGINE, other)
        self.machine.now += 0.1
        return other

    def record(self, engine=ENGINE):
        """Let a stream begin at an engine as the router knows it."""
        upstream = self.machine.routers[VM].directory.entries_by_id[engine].upstream
        origin = StreamOrigin(
            SERVICE,
            upstream.software_version,
            engine,
            upstream.started_ms,
            began_at=self.machine.now,
        )
        self.origins.record("account", "q0", origin, timeout=STREAM_TIMEOUT)
        return origin

    def begin(self):
        async def work():
            return self.record()

        return self.machine.run(work())

    def tell(self):
        self.machine.run(self.machine.tell(self.machine.routers[VM]))

    def found_versions(self):
        found = set()
        for router in self.machine.routers.values():
            lookup = self.machine.run(router.origins.find("account", "q0", SERVICE))
            found.add(lookup.origin and lookup.origin.software_version)
        return found


class ProofTest(ProofCase):
    def test_a_process_that_ended_before_it_was_registered_is_not_taken_for_another(
        self,
    ):
        self.restart_unseen()
        self.begin()
        self.machine.die(ENGINE)
        self.tell()
        for seconds in (0.05, LATER):
            self.machine.advance(seconds)
            self.tell()
            self.assertEqual({None}, self.found_versions())

    def test_an_answer_that_states_no_start_proves_nothing(self):
        async def answer(upstream):
            return Probe()

        self.answer_with(answer)
        self.restart_unseen()
        self.begin()
        self.tell()
        self.assertEqual({None}, self.found_versions())

    def test_a_stream_is_proven_while_another_router_is_slow(self):
        real = self.origins._peers.ask

        async def slow(vm, message):
            await asyncio.sleep(SLOW_SECONDS)
            return await real(vm, message)

        self.origins._peers.ask = slow

        async def work():
            loops = [self.origins.send_loop, self.origins.prove_loop]
            tasks = [asyncio.create_task(loop._run()) for loop in loops]
            first = self.record(ENGINES[1])
            await asyncio.sleep(SLOW_SECONDS / 4)
            second = self.record(ENGINES[0])
            await asyncio.sleep(SLOW_SECONDS / 4)
            for task in tasks:
                task.cancel()
            return first, second

        origins = self.machine.run(work())
        self.assertEqual([True, True], [origin.is_proven for origin in origins])

    def test_an_upstream_that_states_another_start_is_not_asked_without_pause(self):
        async def answer(upstream):
            await asyncio.sleep(0.002)
            return Probe(started_ms=upstream.started_ms - 5)

        engines = self.answer_with(answer)
        self.begin()

        async def work():
            loops = [self.origins.send_loop, self.origins.prove_loop]
            tasks = [asyncio.create_task(loop._run()) for loop in loops]
            await asyncio.sleep(1.0)
            for task in tasks:
                task.cancel()

        self.machine.run(work())
        self.assertLess(engines.asked, MAX_PROBES)

    def test_other_routers_are_answered_without_a_probe(self):
        async def answer(upstream):
            await asyncio.sleep(SLOW_SECONDS)
            raise EngineUnavailable("silent")

        self.answer_with(answer)
        self.begin()
        query = OriginQuery(origin_key("account", "q0"), SERVICE)

        async def work():
            async with asyncio.timeout(SLOW_SECONDS / 2):
                return await self.origins._handle_query(query)

        self.assertIsNotNone(self.machine.run(work()).origin)


class ConfirmedProcessTest(ProofCase):
    def test_only_the_known_start_confirms_a_process(self):
        entry = self.machine.routers[VM].directory.entries_by_id[ENGINE]
        known = entry.upstream.started_ms
        for stated, is_confirmed in ((known, True), (None, False), (known - 5, False)):

            async def answer(upstream, stated=stated):
                return Probe(started_ms=stated)

            self.answer_with(answer)
            found = self.machine.run(self.origins.confirm_process(entry))
            self.assertEqual(is_confirmed, found)


class PlausibleOriginTest(ProofCase):
    def test_origins_of_older_builds_do_not_count_once_their_upstream_is_gone(self):
        version = self.machine.processes[ENGINE][1]
        key = origin_key("account", "q0")
        known = KnownOrigin(key, SERVICE, version, ENGINE, 1000, 5.0, 30.0)
        self.machine.run(self.origins._handle_notice(OriginNotice((known,))))
        self.machine.die(ENGINE)
        router = self.machine.routers[VM]
        router.sync()
        router.directory.prune(self.machine.now + 1)
        lookup = self.machine.run(self.origins.find("account", "q0", SERVICE))
        self.assertIsNone(lookup.origin)

    def test_origins_from_a_time_of_one_version_count_once_their_upstream_is_gone(
        self,
    ):
        origin = self.begin()
        origin.is_assumed = True
        self.tell()
        self.machine.die(ENGINE)
        router = self.machine.routers[VM]
        router.sync()
        router.directory.prune(self.machine.now + 1)
        origin.is_proven = False
        lookup = self.machine.run(self.origins.find("account", "q0", SERVICE))
        self.assertEqual(origin, lookup.origin)

    def test_a_found_origin_that_is_recorded_again_stays_assumed(self):
        origin = self.begin()
        origin.is_assumed = True

        async def record_again():
            self.origins.record("account", "q1", origin, timeout=STREAM_TIMEOUT)

        self.machine.run(record_again())
        self.assertTrue(origin.is_assumed)

    def test_an_unproven_copy_does_not_hide_a_proven_one(self):
        origin = self.begin()
        self.tell()
        self.assertTrue(origin.is_proven)
        other = self.machine.routers[VMS[1]].origins
        copy = attrs.evolve(origin, is_proven=False)
        key = origin_key("account", "q0")
        other.memory.put(key, copy, expires_at=1e9, now=self.machine.now)
        self.machine.die(ENGINE)
        lookup = self.machine.run(other.find("account", "q0", SERVICE))
        self.assertEqual(origin, lookup.origin)


@attrs.frozen
class StatedAnswer:
    entry: object
    response: object


@attrs.frozen
class StatedResponse:
    headers: Headers


class StatedVersionTest(testtools.TestCase):
    def test_another_answer_does_not_change_the_version_of_a_stream(self):
        directory = Directory()
        directory.put(Upstream("u", "s", "u:1", "a", states_version=True))
        entry = directory.entries_by_id["u"]
        response = StatedResponse(Headers([(b"x-software-version", b"v1")]))
        directory.record_software_version(entry, "v1", 1.0)
        directory.record_software_version(entry, "v2", 1.1)
        answer = StatedAnswer(entry, response)
        origin = _origin("s", answer, ChatDialect(100), 1.2)
        self.assertEqual("v1", origin.software_version)
