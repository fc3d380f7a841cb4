"""The product's own interface while engines of two software versions serve.

Guards against streams that hold events of two software versions.
"""

import asyncio
import itertools
import json

import attrs

from lynxchute.callers import names
from lynxchute.http import ExchangeError
from tests.support import CHAT, AsyncTestCase, Caller, question, until, with_deployment
from tests.version_play import NEW, OLD

STREAMS = 24
# Events that a caller reads before it breaks a stream off.
READ_EVENTS = 4
MIN_SHARE = 0.5
_numbers = itertools.count(1)


@attrs.define
class OwnStream:
    """A stream as its caller sees it, over all attempts."""

    text: str
    body: bytes = b""
    first_attempt: str = ""
    statuses: list[int] = attrs.Factory(list)

    @property
    def events(self):
        return [event for event in self.body.split(b"\n\n") if event]

    @property
    def versions(self):
        found = set()
        for event in self.events:
            data = event.partition(b"data: ")[2]
            if data and data != b"[DONE]":
                found.add(json.loads(data)["system_fingerprint"])
        return found

    @property
    def is_whole(self):
        return b"data: [DONE]" in self.body


async def attempt(deployment, vm, stream, *, events=None):
    """Begin a stream, or go on with it; break it off after a number of events."""
    caller, request_id = Caller(deployment, vm), f"own{next(_numbers)}"
    headers = [*caller.headers, (names.REQUEST_ID, request_id)]
    if stream.events:
        last = stream.events[-1].partition(b"\n")[0].removeprefix(b"id: ")
        headers.append((names.LAST_EVENT, last.decode()))
        headers.append((names.RESUMES, stream.first_attempt))
    body = json.dumps(question(stream.text, stream=True)).encode()
    try:
        response = await caller.client.request("POST", CHAT, headers=headers, body=body)
        stream.statuses.append(response.status)
        rest = b""
        while events is None or len(stream.events) < events:
            chunk = await response.read()
            if chunk is None or response.status != 200:
                break
            rest += chunk
            end = rest.rfind(b"\n\n") + 2
            if end > 1:
                stream.first_attempt = stream.first_attempt or request_id
                stream.body, rest = stream.body + rest[:end], rest[end:]
        response.close()
    except (ExchangeError, OSError):
        stream.statuses.append(0)
    finally:
        caller.client.close()


async def attempt_all(deployment, streams, vms, *, events=None):
    order = itertools.cycle(vms)
    await asyncio.gather(
        *(attempt(deployment, next(order), stream, events=events) for stream in streams)
    )


def new_streams():
    return [OwnStream(f"question {next(_numbers)} on roads") for _ in range(STREAMS)]


class OwnStreamVersionTest(AsyncTestCase):
    def with_versions(self, scenario, versions=(OLD, NEW)):
        async def prepared(deployment):
            cycle = itertools.cycle(versions)
            for engine in deployment.engines_by_name.values():
                engine.software_version = next(cycle)
            await scenario(deployment, list(deployment.routers_by_vm))

        with_deployment(self, prepared, engines=3, token_delay=0.01)

    def check(self, streams):
        self.assertEqual([], [s for s in streams if len(s.versions) > 1])
        whole = sum(stream.is_whole for stream in streams)
        self.assertGreaterEqual(whole, MIN_SHARE * len(streams))

    def test_a_stream_broken_off_by_its_engine_goes_on_at_its_version(self):
        async def scenario(deployment, vms):
            streams = new_streams()
            begun = asyncio.create_task(attempt_all(deployment, streams, vms))
            await until(lambda: sum(bool(s.events) for s in streams) > STREAMS // 2)
            for engine in list(deployment.engines_by_name.values())[:2]:
                await engine.server.kill()
            await begun
            self.check(streams)

        self.with_versions(scenario)

    def test_a_stream_taken_up_at_another_router_goes_on_at_its_version(self):
        async def scenario(deployment, vms):
            streams = new_streams()
            await attempt_all(deployment, streams, vms, events=READ_EVENTS)
            await attempt_all(deployment, streams, vms[1:], events=2 * READ_EVENTS)
            await attempt_all(deployment, streams, vms[2:])
            self.check(streams)

        self.with_versions(scenario)

    def test_a_stream_whose_router_died_goes_on_at_its_version(self):
        async def scenario(deployment, vms):
            streams = new_streams()
            await attempt_all(deployment, streams, vms[:1], events=READ_EVENTS)
            await deployment.kill_router(vms[0])
            await attempt_all(deployment, streams, vms[1:])
            self.check(streams)

        self.with_versions(scenario)

    def test_engines_that_restart_with_other_software_get_no_streams_of_before(self):
        async def scenario(deployment, vms):
            streams = new_streams()
            await attempt_all(deployment, streams, vms, events=READ_EVENTS)
            for engine in list(deployment.engines_by_name.values())[:3]:
                engine.software_version = NEW
            await attempt_all(deployment, streams, vms[1:])
            self.check(streams)

        self.with_versions(scenario, (OLD,))

    def test_engines_that_state_no_version_serve_each_stream(self):
        async def scenario(deployment, vms):
            streams = new_streams()
            await attempt_all(deployment, streams, vms, events=READ_EVENTS)
            await attempt_all(deployment, streams, vms[1:])
            self.check(streams)
            self.assertEqual([True], sorted({s.is_whole for s in streams}))

        self.with_versions(scenario, ("",))

    def test_a_data_centre_cut_off_as_a_version_joins_joins_no_streams(self):
        async def scenario(deployment, vms):
            await attempt_all(deployment, new_streams(), vms)
            cut_off = [vm for vm in vms if vm.startswith("kyu-b")]
            deployment.set_cut("kyu-b", True)
            for engine in list(deployment.engines_by_name.values())[:3]:
                engine.software_version = NEW
            streams = new_streams()
            others = [vm for vm in vms if vm not in cut_off]
            await attempt_all(deployment, streams, others, events=READ_EVENTS)
            self.assertIn({NEW}, [stream.versions for stream in streams])
            await attempt_all(deployment, streams, cut_off)
            self.assertEqual([], [s for s in streams if len(s.versions) > 1])
            deployment.set_cut("kyu-b", False)
            broken = [stream for stream in streams if not stream.is_whole]
            await attempt_all(deployment, broken, others)
            self.check(streams)

        self.with_versions(scenario, (OLD,))
