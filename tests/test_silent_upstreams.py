"""Sound upstreams that fall silent for a while and go on.

Guards against running answers that are given up though nothing else can finish them.
"""

import asyncio
import collections
import itertools
import json
import random
from unittest import mock

import attrs
from expression import Ok

from lynxchute.clock import steady_seconds
from lynxchute.edge.settings import Features
from lynxchute.http import AbortHandle
from lynxchute.relay import hedging
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.relay import MAX_BUFFERED_BYTES
from lynxchute.relay.resend_planner import ResendPlanner
from lynxchute.relay.sender import Sender
from lynxchute.standins.callers import Callers
from lynxchute.standins.silence_scene import SilenceViolations, run_silence_scene
from lynxchute.standins.silences import plan_silences, singles_and_data_centres
from lynxchute.standins.upstream_run import Fault
from lynxchute.tunnels.paths import PathState, UpstreamPaths
from lynxchute.upstreams import silence as silence_watch
from tests.platform_support import (
    PlatformCaller,
    PlatformTestCase,
    configuration,
    event_ids,
)
from tests.support import ACCOUNT, AsyncTestCase, until, with_deployment

ROUTERS = ("a-1", "a-2", "b-1")
EVENTS = 60
EVENT_DELAY = 0.04
# Seconds of silence after which a router looks for another upstream.
LONG_SILENCE = 2.0
# A sound upstream may be silent for about a second.
SHORT_SILENCE = 1.0
TIMEOUT_MS = 9000
# Seconds after a silence until its end is known.
NOTICE_SECONDS = 0.3
PIECE_BYTES = 1000
# Seconds that each answer of a slow store takes.
SLOW_STORE_SECONDS = 0.4


async def start_stream(deployment, path="/stream/x", vm="a-1"):
    """Start a stream; return its task, its engine and the other engines."""
    caller = PlatformCaller(deployment, vm)
    task = asyncio.create_task(caller.stream(path, deadline_ms=TIMEOUT_MS))
    engines = deployment.engines
    await until(
        lambda: any(run.events_sent >= 3 for e in engines for run in e.runs[-1:])
    )
    busy = max(engines, key=lambda engine: len(engine.runs))
    return task, busy, [engine for engine in engines if engine is not busy]


def with_route_options(routes, **options):
    return [{**route, **options} for route in routes]


async def configure(deployment, version, **options):
    """Change the configuration, and wait until all routers use it."""
    await deployment.configure(version=version, **options)
    routers = deployment.routers.values()
    await until(
        lambda: all(r.configurations.current.version == version for r in routers)
    )


async def configure_routes(deployment, version, **options):
    """Let all routes have a long timeout, and these options."""
    routes = configuration()["routes"]
    routes = with_route_options(routes, timeout_ms=TIMEOUT_MS, **options)
    await configure(deployment, version, routes=routes)


def back_off(deployment, upstream):
    """Let an upstream have asked all routers for a long backoff."""
    for router in deployment.routers.values():
        entry = router.directory.entries_by_id[upstream.id]
        entry.backpressure.backoff_until = float("inf")


def head_of(request_id, framing):
    """Return the head of an upstream's answer."""
    return (
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Request-Id: {request_id}\r\nX-Response-Stamp: x.{request_id}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


def event_of(request_id, number):
    return f"id: {number}\ndata: {request_id}.{number}\nsoftware: v1\n\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def chunked_answer(request_id, *numbers):
    """Return the begin of an upstream's answer, with some events."""
    events = b"".join(chunk(event_of(request_id, number)) for number in numbers)
    return head_of(request_id, "Transfer-Encoding: chunked") + events


def open_sends(deployment):
    """Return the sends that routers have open at upstreams."""
    sends = []
    for router in deployment.routers.values():
        for entry in router.directory.entries_by_id.values():
            sends += entry.open_sends
    return sends


class SilencePlay(PlatformTestCase):
    def with_silence(self, scenario, **options):
        async def prepared(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = EVENTS, EVENT_DELAY
            await configure_routes(deployment, 2)
            await scenario(deployment)

        options = {"routers": ROUTERS, "has_upstream_links": True, **options}
        self.with_platform(prepared, **options)

    async def check_whole(self, deployment, stream, *, runs=1):
        status, _, body = await stream
        self.assertEqual((200, list(range(1, EVENTS + 1))), (status, event_ids(body)))
        self.assertEqual(runs, sum(len(engine.runs) for engine in deployment.engines))

    async def silence_for(self, deployment, upstream, seconds):
        deployment.silence(upstream)
        await asyncio.sleep(seconds)
        await deployment.end_silence(upstream)


class SilentUpstreamTest(SilencePlay):
    def test_a_stream_whose_version_serves_nowhere_else_is_not_given_up(self):
        async def scenario(deployment):
            stream, busy, _ = await start_stream(deployment)
            await self.silence_for(deployment, busy, LONG_SILENCE)
            await self.check_whole(deployment, stream)

        self.with_silence(scenario, versions=("v1", "v2"))

    def test_a_stream_is_not_given_up_while_the_others_ask_for_backoff(self):
        async def scenario(deployment):
            stream, busy, others = await start_stream(deployment)
            back_off(deployment, others[0])
            await self.silence_for(deployment, busy, LONG_SILENCE)
            await self.check_whole(deployment, stream)

        self.with_silence(scenario)

    def test_a_stream_is_not_given_up_while_the_others_are_evacuated(self):
        async def scenario(deployment):
            stream, busy, others = await start_stream(deployment)
            for router in deployment.routers.values():
                evacuations = router.evacuations
                evacuations.order(others[0].data_centre, 1, steady_seconds())
            await self.silence_for(deployment, busy, LONG_SILENCE)
            await self.check_whole(deployment, stream)

        self.with_silence(scenario)

    def test_a_stream_is_not_given_up_for_an_engine_that_then_declines(self):
        async def scenario(deployment):
            stream, busy, others = await start_stream(deployment)
            others[0].backoff_until = asyncio.get_running_loop().time() + TIMEOUT_MS
            await self.silence_for(deployment, busy, LONG_SILENCE * 1.2)
            await self.check_whole(deployment, stream)

        self.with_silence(scenario)

    def test_a_stream_without_an_event_is_not_given_up_for_an_engine_that_declines(
        self,
    ):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.first_pause = LONG_SILENCE
            caller = PlatformCaller(deployment)
            stream = asyncio.create_task(
                caller.stream("/stream/x", deadline_ms=TIMEOUT_MS)
            )
            await until(lambda: any(engine.runs for engine in deployment.engines))
            busy, other = sorted(deployment.engines, key=lambda e: -len(e.runs))
            other.backoff_until = asyncio.get_running_loop().time() + TIMEOUT_MS
            await self.silence_for(deployment, busy, SHORT_SILENCE)
            await self.check_whole(deployment, stream)

        self.with_silence(scenario)

    def test_a_call_is_not_given_up_for_an_upstream_that_then_declines(self):
        self.check_call_is_kept()

    def test_a_call_that_may_be_hedged_is_not_given_up_for_one_that_declines(self):
        self.patch(hedging, "allows_hedge", lambda states, open_hedges: False)
        self.check_call_is_kept(features=Features(hedging=True))

    def check_call_is_kept(self, **options):
        async def scenario(deployment):
            for app in deployment.apps:
                app.event_delay = LONG_SILENCE
            caller = PlatformCaller(deployment)
            call = asyncio.create_task(caller.send("GET", "/safe/x", deadline_ms=8000))
            await until(lambda: any(app.runs for app in deployment.apps))
            busy, idle = sorted(deployment.apps, key=lambda app: -len(app.runs))
            idle.backoff_until = asyncio.get_running_loop().time() + TIMEOUT_MS
            await self.silence_for(deployment, busy, SHORT_SILENCE)
            self.assertEqual(200, (await call)[0])
            self.assertEqual(1, sum(len(app.runs) for app in deployment.apps))

        self.with_silence(scenario, **options)

    def test_a_call_is_not_given_up_while_the_others_ask_for_backoff(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.event_delay = LONG_SILENCE
            caller = PlatformCaller(deployment)
            call = asyncio.create_task(caller.send("GET", "/safe/x", deadline_ms=8000))
            await until(lambda: any(app.runs for app in deployment.apps))
            busy, idle = sorted(deployment.apps, key=lambda app: -len(app.runs))
            back_off(deployment, idle)
            await self.silence_for(deployment, busy, SHORT_SILENCE)
            self.assertEqual(200, (await call)[0])
            self.assertEqual(1, sum(len(app.runs) for app in deployment.apps))

        self.with_silence(scenario)

    def check_new_connections(self, **options):
        """Check that a stream outlasts a silence in which a new connection hangs."""

        async def scenario(deployment):
            stream, busy, _ = await start_stream(deployment)
            deployment.silence(busy)
            await asyncio.sleep(SHORT_SILENCE / 4)
            client = deployment.routers["a-1"].clients.get(busy.address)
            connecting = asyncio.create_task(client.verify())
            await asyncio.sleep(SHORT_SILENCE * 3 / 4)
            await deployment.end_silence(busy)
            await connecting
            await self.check_whole(deployment, stream)

        self.with_silence(scenario, **options)

    def test_a_stream_that_goes_on_is_not_given_up_as_new_connections_hung(self):
        self.check_new_connections()

    def test_a_stream_of_a_lone_version_is_not_cut_as_new_connections_hung(self):
        self.check_new_connections(versions=("v1", "v2"))

    def test_nothing_is_asked_for_a_stream_without_a_retry_permit(self):
        async def scenario(deployment):
            stream, busy, _ = await start_stream(deployment)
            router = deployment.routers["a-1"]
            router.retries.change(share=0.0, extra=0.0, window=10.0)
            await self.silence_for(deployment, busy, LONG_SILENCE)
            await self.check_whole(deployment, stream)
            planned = router.metrics.resends_planned.values_by_labels
            self.assertEqual({}, dict(planned))

        self.with_silence(scenario)

    def test_a_stream_goes_on_elsewhere_where_its_engine_stays_silent(self):
        async def scenario(deployment):
            stream, busy, _ = await start_stream(deployment)
            deployment.silence(busy)
            await self.check_whole(deployment, stream, runs=2)

        self.with_silence(scenario)


def is_idle(deployment):
    """Return whether no router holds anything for a request at an upstream."""
    return not any(
        entry.open_requests or entry.open_sends or entry.open_tokens
        for router in deployment.routers.values()
        for entry in router.directory.entries_by_id.values()
    )


class BegunElsewhereTest(SilencePlay):
    """Guards against what was begun elsewhere being taken for granted."""

    def test_a_stream_is_not_given_up_for_an_engine_that_answers_with_an_error(self):
        async def scenario(deployment):
            stream, busy, others = await start_stream(deployment)
            others[0].faults.append(Fault.FAIL)
            await self.silence_for(deployment, busy, LONG_SILENCE * 1.2)
            status, _, body = await stream
            self.assertEqual((200, EVENTS), (status, len(event_ids(body))))
            self.assertEqual(1, len(busy.runs))

        self.with_silence(scenario)

    def test_a_stream_is_not_given_up_for_an_engine_that_takes_no_connection(self):
        async def scenario(deployment):
            stream, busy, others = await start_stream(deployment)
            router = deployment.routers["a-1"]
            is_responsive = ResendPlanner._is_responsive

            async def fall_silent_after_the_probe(planner, exchange, entry):
                answers = await is_responsive(planner, exchange, entry)
                deployment.silence(others[0])
                router.clients.drop(others[0].address)
                return answers

            with mock.patch.object(
                ResendPlanner, "_is_responsive", fall_silent_after_the_probe
            ):
                await self.silence_for(deployment, busy, LONG_SILENCE * 1.2)
                await self.check_whole(deployment, stream)

        self.with_silence(scenario)

    def test_nothing_is_held_for_a_send_that_is_dropped_as_its_decline_is_read(self):
        async def scenario(deployment):
            stream, busy, others = await start_stream(deployment)
            others[0].backoff_until = asyncio.get_running_loop().time() + TIMEOUT_MS

            async def read_slowly(sender, response):
                await deployment.end_silence(busy)
                await asyncio.sleep(SHORT_SILENCE)
                response.close()

            with mock.patch.object(Sender, "_read_to_end", read_slowly):
                deployment.silence(busy)
                await self.check_whole(deployment, stream)
                await asyncio.sleep(SHORT_SILENCE)
            self.assertTrue(is_idle(deployment))

        self.with_silence(scenario)

    def test_no_third_send_runs_beside_a_hedge(self):
        async def scenario(deployment):
            await configure_routes(deployment, 3, max_attempts=3)
            for app in deployment.apps:
                app.event_delay = LONG_SILENCE
            caller = PlatformCaller(deployment)
            call = asyncio.create_task(caller.send("GET", "/safe/x", deadline_ms=8000))
            await until(lambda: any(app.runs for app in deployment.apps))
            first = max(deployment.apps, key=lambda app: len(app.runs))
            deployment.silence(first)
            self.assertEqual(200, (await call)[0])
            self.assertEqual(2, sum(len(app.runs) for app in deployment.apps))

        self.with_silence(scenario, apps=4, features=Features(hedging=True))


class GivenUpAsBytesArriveTest(SilencePlay):
    """Guards against bytes of a send that is given up which are read afterwards."""

    def check_given_up(self, arriving, start, check):
        """Let bytes arrive at the moment at which a send is given up."""

        async def scenario(deployment):
            abort, given_up = AbortHandle.abort, []

            def abort_as_bytes_arrive(handle):
                sends = [send for send in open_sends(deployment) if send.is_cancelled]
                if not given_up and sends:
                    given_up.extend(sends)
                    handle.connection.data_received(arriving(sends[0]))
                abort(handle)

            with mock.patch.object(AbortHandle, "abort", abort_as_bytes_arrive):
                answer, busy = await start(deployment)
                await check(deployment, answer)
            await deployment.end_silence(busy)
            self.assertEqual(1, len(given_up))
            self.assertTrue(is_idle(deployment))

        self.with_silence(scenario)

    async def start_silent_stream(self, deployment):
        """Start a stream at an engine that sends nothing, not even a head."""
        for engine in deployment.engines:
            engine.faults = [Fault.HANG]
        caller = PlatformCaller(deployment)
        stream = asyncio.create_task(caller.stream(deadline_ms=TIMEOUT_MS))
        await until(lambda: any(engine.runs for engine in deployment.engines))
        busy = max(deployment.engines, key=lambda engine: len(engine.runs))
        deployment.silence(busy)
        for engine in deployment.engines:
            engine.faults = []
        return stream, busy

    def test_a_first_event_of_a_send_that_is_given_up_is_not_forwarded(self):
        self.check_given_up(
            lambda send: chunked_answer(send.request_id, 1),
            self.start_silent_stream,
            self.check_stream,
        )

    def test_a_head_of_a_send_that_is_given_up_is_not_used(self):
        self.check_given_up(
            lambda send: chunked_answer(send.request_id),
            self.start_silent_stream,
            self.check_stream,
        )

    def test_a_later_event_of_a_send_that_is_given_up_is_not_forwarded(self):
        async def start(deployment):
            stream, busy, _ = await start_stream(deployment)
            deployment.silence(busy)
            return stream, busy

        def next_event(send):
            last = self.last_events[-1]
            return chunk(event_of(send.request_id, last + 1))

        self.last_events = []
        record = Exchange.record_events

        def record_events(exchange, count, last_event, now):
            self.last_events.append(int(last_event))
            record(exchange, count, last_event, now)

        with mock.patch.object(Exchange, "record_events", record_events):
            self.check_given_up(next_event, start, self.check_stream)

    def test_a_call_whose_head_arrives_as_it_is_given_up_is_answered(self):
        async def start(deployment):
            for app in deployment.apps:
                app.event_delay = LONG_SILENCE
            caller = PlatformCaller(deployment)
            call = asyncio.create_task(caller.send("GET", "/safe/x", deadline_ms=8000))
            await until(lambda: any(app.runs for app in deployment.apps))
            busy = max(deployment.apps, key=lambda app: len(app.runs))
            deployment.silence(busy)
            return call, busy

        async def check(deployment, call):
            status, _, body = await call
            self.assertEqual(200, status)
            self.assertTrue(body.startswith(b"answer to"))

        self.check_given_up(
            lambda send: head_of(send.request_id, "Content-Length: 40"), start, check
        )

    async def check_stream(self, deployment, stream):
        await self.check_whole(deployment, stream, runs=2)


class SlowStoreTest(SilencePlay):
    def test_a_stream_that_begins_elsewhere_waits_for_a_store_that_is_slow(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.faults = [Fault.HANG]
            caller = PlatformCaller(deployment)
            stream = asyncio.create_task(caller.stream(deadline_ms=TIMEOUT_MS))
            await until(lambda: any(engine.runs for engine in deployment.engines))
            busy = max(deployment.engines, key=lambda engine: len(engine.runs))
            deployment.silence(busy)
            for engine in deployment.engines:
                engine.faults = []
            for vm in ROUTERS:
                deployment.faults(vm).delay = SLOW_STORE_SECONDS
            await self.check_whole(deployment, stream, runs=2)

        self.with_silence(scenario, versions=("v1", "v2"))


class VerdictTest(SilencePlay):
    """Guards against verdicts on a silent upstream that outlive its silence."""

    def test_an_upstream_that_goes_on_is_used_again_at_once(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = EVENTS, EVENT_DELAY
            stream, busy, _ = await start_stream(deployment)
            router = deployment.routers["a-1"]
            entry = router.directory.entries_by_id[busy.id]
            deployment.silence(busy)
            await asyncio.sleep(SHORT_SILENCE * 5 / 4)
            self.assertTrue(entry.health.is_paused(steady_seconds()))
            await deployment.end_silence(busy)
            await asyncio.sleep(NOTICE_SECONDS)
            self.assertFalse(entry.health.is_paused(steady_seconds()))
            await stream

        # The stream stays at its engine, as no other one has its version.
        self.with_platform(
            scenario,
            routers=ROUTERS,
            has_upstream_links=True,
            versions=("v1", "v2"),
        )

    def test_a_silent_upstream_stays_paused_between_two_probes(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = EVENTS, EVENT_DELAY
            stream, busy, _ = await start_stream(deployment)
            router = deployment.routers["a-1"]
            entry = router.directory.entries_by_id[busy.id]
            deployment.silence(busy)
            await until(lambda: entry.health.is_paused(steady_seconds()))
            unpaused_at, began_at = [], steady_seconds()
            while (now := steady_seconds()) < began_at + LONG_SILENCE / 2:
                if not entry.health.is_paused(now):
                    unpaused_at.append(round(now - began_at, 2))
                await asyncio.sleep(0.01)
            await deployment.end_silence(busy)
            self.assertEqual([], unpaused_at)
            await stream

        self.with_platform(
            scenario,
            routers=ROUTERS,
            has_upstream_links=True,
            versions=("v1", "v2"),
        )

    def test_an_upstream_without_open_sends_is_used_again_after_its_silence(self):
        self.patch(silence_watch, "MIN_PAUSE_SECONDS", LONG_SILENCE * 2)

        async def scenario(deployment):
            stream, busy, _ = await start_stream(deployment)
            router = deployment.routers["a-1"]
            entry = router.directory.entries_by_id[busy.id]
            deployment.silence(busy)
            await until(lambda: entry.health.is_paused(steady_seconds()))
            # The stream goes on at another engine.
            await until(lambda: not entry.open_sends)
            # No earlier probe is under way any more.
            await asyncio.sleep(silence_watch.REPROBE_SECONDS)
            await deployment.end_silence(busy)
            ended_at = steady_seconds()
            self.assertGreater(entry.health.paused_until - ended_at, SHORT_SILENCE)
            await asyncio.sleep(silence_watch.REPROBE_SECONDS + NOTICE_SECONDS)
            self.assertFalse(entry.health.is_paused(steady_seconds()))
            await self.check_whole(deployment, stream, runs=2)

        self.with_silence(scenario)


class RestartTest(SilencePlay):
    def test_a_stream_at_the_new_process_is_not_cut_by_news_of_its_start(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                # No router has heard of the latest start yet.
                engine.started_ms += 1000
            stream, busy, _ = await start_stream(deployment)
            directory = deployment.routers["a-1"].directory
            entry = directory.entries_by_id[busy.id]
            directory.record_start(entry, busy.started_ms, steady_seconds())
            await self.check_whole(deployment, stream)

        self.with_silence(scenario)

    def test_a_stream_at_the_new_process_outlasts_a_silence_after_the_news(self):
        async def scenario(deployment):
            stream, busy, _ = await start_stream(deployment)
            self.record_start(deployment, busy)
            await asyncio.sleep(SHORT_SILENCE * 0.7)
            await self.silence_for(deployment, busy, SHORT_SILENCE)
            await self.check_whole(deployment, stream)

        self.with_silence(scenario)

    def test_a_stream_that_is_silent_soon_after_news_of_a_start_is_not_cut(self):
        async def scenario(deployment):
            stream, busy, _ = await start_stream(deployment)
            self.record_start(deployment, busy)
            await asyncio.sleep(SHORT_SILENCE * 0.2)
            await self.silence_for(deployment, busy, SHORT_SILENCE * 1.5)
            await self.check_whole(deployment, stream)

        # No other engine has its version.
        self.with_silence(scenario, versions=("v1", "v2"))

    def record_start(self, deployment, upstream):
        """Tell the first router of a start that it has not heard of yet."""
        upstream.started_ms += 1000
        directory = deployment.routers["a-1"].directory
        entry = directory.entries_by_id[upstream.id]
        directory.record_start(entry, upstream.started_ms, steady_seconds())

    def test_a_call_at_the_new_process_is_not_cut_by_news_of_its_start(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.event_delay = SHORT_SILENCE
            caller = PlatformCaller(deployment)
            call = asyncio.create_task(
                caller.send("POST", "/unsafe/x", deadline_ms=8000)
            )
            await until(lambda: any(app.runs for app in deployment.apps))
            busy = max(deployment.apps, key=lambda app: len(app.runs))
            self.record_start(deployment, busy)
            self.assertEqual(200, (await call)[0])
            self.assertEqual(1, sum(len(app.runs) for app in deployment.apps))

        self.with_silence(scenario)

    def test_a_stream_without_an_event_that_fits_nowhere_else_is_not_cut_either(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.first_pause = SHORT_SILENCE
            caller = PlatformCaller(deployment)
            stream = asyncio.create_task(
                caller.stream("/stream/x", deadline_ms=TIMEOUT_MS)
            )
            await until(lambda: any(engine.runs for engine in deployment.engines))
            busy, other = sorted(deployment.engines, key=lambda e: -len(e.runs))
            back_off(deployment, other)
            self.record_start(deployment, busy)
            await self.check_whole(deployment, stream)

        self.with_silence(scenario)


class SeveralSendsTest(PlatformTestCase):
    def test_a_hedged_call_goes_on_elsewhere_if_both_its_upstreams_are_silent(self):
        async def scenario(deployment):
            await configure_routes(deployment, 2, max_attempts=3)
            for app in deployment.apps:
                app.event_delay = LONG_SILENCE * 3
            caller = PlatformCaller(deployment)
            begun = steady_seconds()
            call = asyncio.create_task(caller.send("GET", "/safe/x", deadline_ms=8000))
            silent = set()
            while len(silent) < 2:
                for app in deployment.apps:
                    if app.runs and app not in silent:
                        deployment.silence(app)
                        silent.add(app)
                await asyncio.sleep(0.01)
            (free,) = set(deployment.apps) - silent
            free.event_delay = 0.005
            self.assertEqual(200, (await call)[0])
            self.assertLess(steady_seconds() - begun, LONG_SILENCE * 2)

        self.with_platform(
            scenario,
            routers=("a-1", "a-2"),
            apps=3,
            has_upstream_links=True,
            features=Features(hedging=True),
        )


class UnframedAnswerTest(SilencePlay):
    """Guards against whole answers that count as cut, as a silence began or ended."""

    def check_end(self, rest, *, has_verdict=False):
        """Check a stream whose last events, for so many seconds, are held back."""

        async def scenario(deployment):
            for engine in deployment.engines:
                engine.ends_with_connection = True
            stream, busy, _ = await start_stream(deployment)
            run, sent = busy.runs[-1], EVENTS - int(rest / EVENT_DELAY)
            await until(lambda: run.events_sent >= sent)
            deployment.silence(busy)
            if has_verdict:
                client = deployment.routers["a-1"].clients.get(busy.address)
                connecting = asyncio.create_task(client.verify())
            await asyncio.sleep(SHORT_SILENCE)
            await deployment.end_silence(busy)
            if has_verdict:
                await connecting
            await self.check_whole(deployment, stream)

        self.with_silence(scenario, versions=("v1", "v2"))

    def test_a_stream_that_ends_in_a_silence_is_whole(self):
        self.check_end(0.4, has_verdict=True)

    def test_a_stream_that_ends_as_a_silence_begins_is_whole(self):
        self.check_end(0.0)

    def test_a_silent_upstream_on_a_lost_path_does_not_count_as_ended(self):
        async def scenario(deployment):
            engine = deployment.engines[0]
            client = deployment.routers["a-1"].clients.get(engine.address)
            deployment.silence(engine)
            self.patch(UpstreamPaths, "state", lambda paths, address: PathState.LOST)
            self.assertIsNone(await client.is_listening())
            await deployment.end_silence(engine)
            self.assertTrue(await client.is_listening())

        self.with_silence(scenario)


class LargeAnswerTest(PlatformTestCase):
    def test_an_answer_that_is_forwarded_as_it_arrives_is_not_given_up(self):
        async def scenario(deployment):
            for app in deployment.apps:
                app.plain_pieces = (MAX_BUFFERED_BYTES + 1, *[PIECE_BYTES] * 60)
                app.event_delay = EVENT_DELAY
            await configure_routes(deployment, 2)
            caller = PlatformCaller(deployment)
            call = asyncio.create_task(
                caller.send("GET", "/safe/x", deadline_ms=TIMEOUT_MS)
            )
            await until(lambda: any(app.runs for app in deployment.apps))
            busy = max(deployment.apps, key=lambda app: len(app.runs))
            await asyncio.sleep(LONG_SILENCE - 0.5)
            deployment.silence(busy)
            await asyncio.sleep(SHORT_SILENCE)
            await deployment.end_silence(busy)
            status, _, body = await call
            self.assertEqual((200, sum(busy.plain_pieces)), (status, len(body)))

        self.with_platform(scenario, routers=ROUTERS, has_upstream_links=True)


# Seconds between two streams or calls of one route, two configurations, two reloads.
STREAM_PAUSE, CALL_PAUSE, CHANGE_PAUSE, RELOAD_PAUSE = 0.25, 0.5, 0.6, 1.0
# Time limit of these requests, which they must not reach on a busy machine either.
LONG_TIMEOUT_MS = 25_000
# Seconds that a plain call takes.
CALL_SECONDS = 0.2
# Events after which a router has received the beginning of a stream.
BEGUN_EVENTS = 5
# Seconds for open requests to finish at a stop.
STOP_SECONDS = 30.0
RETRY_SHARES = (0.3, 0.2)
# Requests a second at the product's own interface.
OWN_RATE = 20.0


def is_refused_unrun(result):
    """Return whether a request was refused before it ran."""
    if isinstance(result, BaseException) or result[0] != 503:
        return False
    return json.loads(result[2]).get("run") == "not_run"


def with_service_options(services, **options):
    return [{**service, **options} for service in services]


def changed_configurations():
    """Yield options of configurations, of which each changes another part."""
    fields = configuration()
    routes = with_route_options(fields["routes"], timeout_ms=LONG_TIMEOUT_MS)
    services, limits, tenants = fields["services"], fields["limits"], fields["tenants"]
    more_routes = [{**routes[0], "name": f"r{n}", "prefix": f"/{n}/"} for n in range(9)]
    more_tenants = [{"name": f"t{n}", "api_keys": [f"k{n}"]} for n in range(9)]
    for changed in itertools.cycle(
        (
            {"limits": {**limits, "idle_timeout_ms": 2000}},
            {"routes": with_route_options(routes, timeout_ms=LONG_TIMEOUT_MS + 1000)},
            {"routes": with_route_options(routes, max_attempts=1)},
            {"routes": with_route_options(routes, stream_resume=False)},
            {"routes": with_route_options(routes, sticky_sessions=False)},
            {"routes": with_route_options(routes, priority=2)},
            {"routes": [*routes, *more_routes]},
            {"services": with_service_options(services, max_connections=60)},
            {"services": with_service_options(services, health_path="/alive")},
            {"limits": {**limits, "max_header_bytes": 9000}},
            {"tenants": [*tenants, *more_tenants]},
        )
    ):
        yield {"routes": routes, **changed}


class WatchedSettings:
    """Settings of a running router that it reloads when they change."""

    def __init__(self, router):
        self.settings = router.settings
        router.watch_settings(lambda: Ok(self.settings), lambda: self.settings)

    def change(self, **bounds):
        self.settings = attrs.evolve(
            self.settings, bounds=attrs.evolve(self.settings.bounds, **bounds)
        )


class PlannedWorkTest(PlatformTestCase):
    """Guards against answers of sound upstreams that end beside planned work.

    Upstreams fall silent for a second, while callers send streams all the time.
    """

    VMS = ("a-1", "a-2", "b-1", "b-2")

    def with_work(self, seed, *works, is_overlapping=False, versions=()):
        async def scenario(deployment):
            self.deployment = deployment
            self.vms, self.watched_by_vm = list(self.VMS), {}
            self.streams, self.calls, self.runs_by_begun = [], [], {}
            for engine in deployment.engines:
                engine.events, engine.event_delay = EVENTS, EVENT_DELAY
            for app in deployment.apps:
                app.event_delay = CALL_SECONDS
            for vm in self.VMS:
                await self.watch(vm)
            await self.configure_once()
            tasks = [asyncio.create_task(work()) for work in works]
            callers = [
                asyncio.create_task(self.send_streams("stream")),
                asyncio.create_task(self.send_streams("once")),
                asyncio.create_task(self.send_calls("safe")),
                asyncio.create_task(self.send_calls("unsafe")),
            ]
            rng = random.Random(seed)
            halves = [deployment.upstreams]
            if is_overlapping:
                halves = [deployment.upstreams[::2], deployment.upstreams[1::2]]
            await asyncio.gather(
                *(self.play(half, random.Random(rng.random())) for half in halves)
            )
            for task in (*tasks, *callers):
                task.cancel()
            ended = await asyncio.gather(*tasks, *callers, return_exceptions=True)
            errors = [e for e in ended if not isinstance(e, asyncio.CancelledError)]
            self.assertEqual([], errors)
            # Where all upstreams may be silent together, routers refuse new requests.
            await self.check(may_refuse=is_overlapping)

        self.with_platform(
            scenario,
            routers=self.VMS,
            engines=4,
            has_upstream_links=True,
            versions=versions,
        )

    async def watch(self, vm):
        router = self.deployment.routers[vm]
        self.watched_by_vm[vm] = watched = WatchedSettings(router)
        await router.components[-1].start()
        watched.change(stop=STOP_SECONDS)

    async def configure_once(self):
        self.version = 2
        self.configurations = changed_configurations()
        await configure(self.deployment, 2, **next(self.configurations))

    async def play(self, upstreams, rng):
        """Silence upstreams alone, and all of each data centre, in random order."""
        by_id = {upstream.id: upstream for upstream in upstreams}
        ids_by_data_centre = {}
        for upstream in upstreams:
            ids_by_data_centre.setdefault(upstream.data_centre, []).append(upstream.id)
        for silence in plan_silences(
            list(singles_and_data_centres(ids_by_data_centre)), rng
        ):
            await asyncio.sleep(silence.after)
            runs_by_id = self.runs_by_id()
            for name in silence.names:
                for run in by_id[name].runs:
                    if run.events_sent >= BEGUN_EVENTS and not run.ended:
                        runs = runs_by_id[run.request_id]
                        self.runs_by_begun.setdefault(run.request_id, runs)
                self.deployment.silence(by_id[name])
            await asyncio.sleep(silence.seconds)
            for name in silence.names:
                await self.deployment.end_silence(by_id[name])

    def callers(self):
        """Yield callers of all running routers in turn."""
        for number in itertools.count():
            yield PlatformCaller(self.deployment, self.vms[number % len(self.vms)])

    async def send_streams(self, route):
        for caller in self.callers():
            sending = caller.stream(f"/{route}/x", deadline_ms=LONG_TIMEOUT_MS)
            self.streams.append(asyncio.create_task(sending))
            await asyncio.sleep(STREAM_PAUSE)

    async def send_calls(self, route):
        for caller in self.callers():
            sending = caller.send("POST", f"/{route}/x", deadline_ms=LONG_TIMEOUT_MS)
            self.calls.append(asyncio.create_task(sending))
            await asyncio.sleep(CALL_PAUSE)

    async def change_configuration(self):
        for options in self.configurations:
            await asyncio.sleep(CHANGE_PAUSE)
            self.version += 1
            await self.deployment.configure(version=self.version, **options)

    async def reload_settings(self):
        for share in itertools.cycle(RETRY_SHARES):
            await asyncio.sleep(RELOAD_PAUSE)
            for watched in self.watched_by_vm.values():
                watched.change(retry_share=share)

    async def restart_routers(self):
        """Stop routers one after the other, as the platform does, and start them."""
        for vm in itertools.cycle(("a-2", "b-2")):
            self.vms.remove(vm)
            watched = self.watched_by_vm.pop(vm)
            router = self.deployment.routers[vm]
            await until(lambda r=router, w=watched: r.settings == w.settings)
            await router.drain()
            await router.kill()
            await self.deployment.start_router(vm)
            await until(lambda vm=vm: self.deployment.is_settled(vm))
            await self.watch(vm)
            self.vms.append(vm)

    async def check(self, *, may_refuse):
        broken, refused = [], []
        for result in await asyncio.gather(*self.streams, return_exceptions=True):
            if is_refused_unrun(result):
                refused.append(result)
            elif isinstance(result, BaseException) or result[0] != 200:
                broken.append(result)
            elif event_ids(result[2]) != list(range(1, EVENTS + 1)):
                broken.append(event_ids(result[2]))
        for result in await asyncio.gather(*self.calls, return_exceptions=True):
            if is_refused_unrun(result):
                refused.append(result)
            elif isinstance(result, BaseException) or result[0] != 200:
                broken.append(result)
        self.assertEqual([], broken)
        if not may_refuse:
            self.assertEqual([], refused)
        runs_by_id = self.runs_by_id()
        self.assertGreater(len(self.runs_by_begun), 0)
        run_again = [
            i for i, runs in self.runs_by_begun.items() if runs_by_id[i] > runs
        ]
        self.assertEqual([], run_again)

    def runs_by_id(self):
        engines = self.deployment.engines
        return collections.Counter(r.request_id for e in engines for r in e.runs)

    def test_configurations_that_change_another_part_each(self):
        self.with_work(1, self.change_configuration)

    def test_routers_that_are_stopped_and_started(self):
        self.with_work(2, self.restart_routers)

    def test_settings_that_are_reloaded(self):
        self.with_work(3, self.reload_settings)

    def test_all_planned_work_while_each_version_serves_at_one_engine(self):
        self.with_work(
            5,
            self.change_configuration,
            self.restart_routers,
            self.reload_settings,
            versions=("v1", "v2", "v3", "v4"),
        )

    def test_all_planned_work_beside_overlapping_silences(self):
        self.with_work(
            4,
            self.change_configuration,
            self.restart_routers,
            self.reload_settings,
            is_overlapping=True,
        )


class OwnPlannedWorkTest(AsyncTestCase):
    """Guards against the same at the product's own interface."""

    def test_all_planned_work(self):
        async def scenario(deployment):
            callers = Callers(deployment, random.Random(5))
            violations = await run_silence_scene(deployment, callers, OWN_RATE, 5)
            self.assertEqual(SilenceViolations(0, 0), violations)
            self.assertGreater(len(callers.sent), 0)
            self.assertEqual({"answered"}, {item.outcome for item in callers.sent})

        with_deployment(self, scenario, budgets={ACCOUNT: 1_000_000})
