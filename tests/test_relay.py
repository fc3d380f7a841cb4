"""Requests through a router to the platform's stand-ins and back."""

import asyncio
import json
from unittest import mock

from lynxchute.http import HttpClient
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.upstream_run import Fault
from lynxchute.upstreams.health import Health
from tests.platform_support import (
    ACCOUNT,
    KEY,
    PlatformCaller,
    PlatformTestCase,
    configuration,
    event_ids,
    route,
    settled,
)
from tests.support import until


def set_faults(upstreams, *kinds):
    for upstream in upstreams:
        upstream.faults = list(kinds)


def runs(upstreams):
    return [run for upstream in upstreams for run in upstream.runs]


def arrivals(upstreams):
    return [arrival for upstream in upstreams for arrival in upstream.arrivals]


def reset_health(deployment):
    for router in deployment.routers.values():
        for entry in router.directory.entries_by_id.values():
            entry.health = Health()


class PlainTest(PlatformTestCase):
    def test_method_path_query_and_body_arrive_unchanged(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            body = bytes(range(256)) * 20
            extra = [("X-Other", "kept"), ("X-Tenant", "forged"), ("Kv-From", "f")]
            status, headers, answer = await caller.send(
                "PUT", "/unsafe/a%20b/../c?x=1&y", body, "id-1", extra=extra
            )
            (run,) = runs(deployment.apps)
            self.assertEqual((200, b"answer to id-1"), (status, answer))
            self.assertEqual(
                ("PUT", "/unsafe/a%20b/../c?x=1&y", body),
                (run.method, run.target, run.body),
            )
            self.assertEqual("kept", run.headers["x-other"])
            self.assertEqual(ACCOUNT, run.headers["x-tenant"])
            self.assertNotIn("x-credential", run.headers)
            self.assertNotIn("kv-from", run.headers)
            self.assertIn("x-response-stamp", headers)
            self.assertLessEqual(int(run.headers["x-deadline-ms"]), 3000)

        self.with_platform(scenario)

    def test_what_only_routers_may_set_goes_nowhere(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            names = ("X-Cache-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch")
            extra = [(name, "10.0.0.1:1") for name in names]
            status, _, _ = await caller.stream(extra=extra)
            self.assertEqual(200, status)
            (run,) = runs(deployment.engines)
            sent = {name.lower() for name in names} & set(run.headers)
            self.assertEqual(set(), sent)

        self.with_platform(scenario)

    def test_calls_are_served_while_only_the_store_is_away(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            for port in deployment.store_ports.values():
                deployment.store.faults_by_port[port].outage = Outage.SILENT
            for number in range(20):
                for method, path in (("GET", "/safe/x"), ("POST", "/unsafe/x")):
                    status, _, _ = await caller.send(method, path)
                    self.assertEqual(200, status, (number, path))
                await asyncio.sleep(0.1)

        self.with_platform(scenario)

    def test_a_chunked_body_arrives_whole(self):
        async def scenario(deployment):
            address = deployment.settings["a-1"].callers
            reader, writer = await asyncio.open_connection(address.host, address.port)
            head = (
                "POST /safe/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: c1\r\n"
                f"X-Credential: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode() + b"3\r\nabc\r\n")
            await asyncio.sleep(0.02)
            writer.write(b"2\r\nde\r\n0\r\n\r\n")
            answer = await reader.readuntil(b"answer to c1")
            writer.close()
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
            self.assertEqual([b"abcde"], [run.body for run in runs(deployment.apps)])

        self.with_platform(scenario)

    def test_failed_repeatable_calls_are_retried_at_another_upstream(self):
        async def scenario(deployment):
            for kind in (Fault.FAIL, Fault.LOSE, Fault.RESET, Fault.CUT, Fault.GARBLE):
                set_faults(deployment.apps)
                deployment.apps[0].faults = [kind]
                deployment.apps[1].faults = []
                for upstream in deployment.apps:
                    upstream.runs.clear()
                reset_health(deployment)
                caller = PlatformCaller(deployment)
                for turn in range(2):
                    status, _, body = await caller.send("GET", f"/safe/{turn}")
                    self.assertEqual(200, status, kind)
                    self.assertTrue(body.startswith(b"answer to"))
                self.assertGreater(len(runs(deployment.apps)), 2, kind)

        self.with_platform(scenario)

    def test_a_call_that_may_not_be_repeated_runs_once_whatever_happens(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            kinds = (
                (Fault.FAIL, 500),
                (Fault.LOSE, 502),
                (Fault.RESET, 502),
                (Fault.CUT, 502),
                (Fault.GARBLE, 502),
                (Fault.UNSIGNED, 502),
            )
            for kind, expected in kinds:
                set_faults(deployment.apps, kind)
                for upstream in deployment.apps:
                    upstream.runs.clear()
                    upstream.arrivals.clear()
                status, headers, body = await caller.send("POST", "/unsafe/x", b"b")
                self.assertEqual(expected, status, kind)
                self.assertEqual(1, len(arrivals(deployment.apps)), kind)
                if expected == 502:
                    self.assertEqual("unknown", json.loads(body)["run"])
                    self.assertNotIn("x-response-stamp", headers)
                    self.assertNotIn("retry-after", headers)

        self.with_platform(scenario)

    def test_not_run_is_said_only_on_the_upstreams_word(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            for kind in (Fault.DECLINE, Fault.BUSY, Fault.MOVED, Fault.EARLY):
                set_faults(deployment.apps, kind)
                status, headers, body = await caller.send("POST", "/unsafe/x", b"b")
                self.assertEqual(503, status, kind)
                self.assertEqual("not_run", json.loads(body)["run"])
                self.assertGreater(float(headers["retry-after"]), 0)
            self.assertEqual([], runs(deployment.apps))

        self.with_platform(scenario)

    def test_answers_to_other_requests_are_skipped(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            set_faults(deployment.apps, Fault.LATE_EXTRA, Fault.LATE_EXTRA)
            for turn in range(4):
                answer = await caller.send("POST", "/unsafe/x", b"", f"own-{turn}")
                self.assertEqual(200, answer[0])
                self.assertEqual(f"answer to own-{turn}".encode(), answer[2])

        self.with_platform(scenario)

    def test_a_connection_with_an_extra_answer_is_not_used_again(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            set_faults(deployment.apps, Fault.EXTRA, Fault.EXTRA)
            for turn in range(6):
                answer = await caller.send("GET", "/safe/x", b"", f"own-{turn}")
                self.assertEqual(f"answer to own-{turn}".encode(), answer[2])

        self.with_platform(scenario)

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            set_faults(deployment.apps, Fault.UNFRAMED)
            status, headers, body = await caller.send("POST", "/unsafe/x", b"", "u1")
            self.assertEqual((200, b"answer to u1"), (status, body))
            self.assertEqual(str(len(body)), headers["content-length"])

        self.with_platform(scenario)

    def test_an_unresponsive_upstream_times_out_at_the_deadline(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            set_faults(deployment.apps, Fault.HANG)
            started = asyncio.get_running_loop().time()
            status, _, body = await caller.send("POST", "/unsafe/x", deadline_ms=300)
            took = asyncio.get_running_loop().time() - started
            self.assertEqual((504, "unknown"), (status, json.loads(body)["run"]))
            self.assertLess(took, 0.45)

        self.with_platform(scenario)

    def test_without_upstreams_the_refusal_is_early_and_has_retry_after(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            for upstream in deployment.apps:
                upstream.state = "draining"
                await upstream.register(deployment.store)
            router = deployment.routers["a-1"]
            await until(lambda: router.directory.count() == len(deployment.engines))
            started = asyncio.get_running_loop().time()
            status, headers, _ = await caller.send("GET", "/safe/x")
            took = asyncio.get_running_loop().time() - started
            self.assertEqual(503, status)
            self.assertLess(took, 0.2)
            self.assertIn("retry-after", headers)
            self.assertEqual([], arrivals(deployment.apps))

        self.with_platform(scenario)

    def test_an_upstream_that_is_down_is_skipped(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            await deployment.apps[0].stop()
            for _ in range(6):
                status, _, _ = await caller.send("POST", "/unsafe/x")
                self.assertEqual(200, status)
            self.assertEqual(6, len(deployment.apps[1].runs))

        self.with_platform(scenario)

    def test_a_reused_address_never_runs_anothers_request(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            old = deployment.apps[0]
            await old.stop()
            port, old.id, old.state = old.port, "i-reused", "ready"
            await old.start(port)
            for _ in range(6):
                status, _, _ = await caller.send("GET", "/safe/x")
                self.assertEqual(200, status)
            self.assertEqual([], old.runs)

        self.with_platform(scenario)


class AdmissionTest(PlatformTestCase):
    def test_routes_and_keys(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            unknown_caller = PlatformCaller(deployment, key="unknown")
            anonymous_caller = PlatformCaller(deployment, key="")
            self.assertEqual(404, (await caller.send("GET", "/none/x"))[0])
            self.assertEqual(401, (await unknown_caller.send("GET", "/safe/x"))[0])
            self.assertEqual(401, (await anonymous_caller.send("GET", "/safe/x"))[0])
            self.assertEqual(200, (await anonymous_caller.send("GET", "/public/x"))[0])
            (run,) = runs(deployment.apps)
            self.assertNotIn("x-tenant", run.headers)

        self.with_platform(scenario)

    def test_a_new_version_is_in_force_and_an_older_one_never_again(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            router = deployment.routers["a-1"]
            tenants = [{"name": ACCOUNT, "api_keys": ["new"], "prepaid": 1_000_000}]
            await deployment.configure(version=7, tenants=tenants)
            await until(lambda: router.configurations.current.version == 7)
            self.assertEqual(401, (await caller.send("GET", "/safe/x"))[0])
            await deployment.configure(version=3)
            await asyncio.sleep(0.1)
            self.assertEqual(7, router.configurations.current.version)
            await deployment.store.put("op", "config", b"not json")
            await asyncio.sleep(0.1)
            self.assertEqual(7, router.configurations.current.version)

        self.with_platform(scenario)

    def test_a_router_that_has_lost_the_store_does_not_deny(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            unknown_caller = PlatformCaller(deployment, key="unknown")
            router = deployment.routers["a-1"]
            for port in deployment.store_ports.values():
                deployment.store.faults_by_port[port].outage = Outage.SILENT
            # Even with recent changes, the last confirmation is too old to reject a
            # caller.
            router.configurations.feed.confirmed_at = float("-inf")
            router.configurations.unconfirmed_seconds = lambda: 0.0
            self.assertEqual(503, (await caller.send("GET", "/none/x"))[0])
            self.assertEqual(503, (await unknown_caller.send("GET", "/safe/x"))[0])
            self.assertEqual(200, (await caller.send("GET", "/safe/x"))[0])

        self.with_platform(scenario)

    def test_without_the_store_concurrent_calls_are_refused_promptly(self):
        async def scenario(deployment):
            unknown_caller = PlatformCaller(deployment, key="unknown")
            router = deployment.routers["a-1"]
            for port in deployment.store_ports.values():
                deployment.store.faults_by_port[port].outage = Outage.SILENT
            router.configurations.feed.confirmed_at = float("-inf")
            started = asyncio.get_running_loop().time()
            answers = await asyncio.gather(
                *(unknown_caller.send("GET", "/safe/x") for _ in range(20))
            )
            self.assertEqual({503}, {status for status, _, _ in answers})
            self.assertLess(asyncio.get_running_loop().time() - started, 1.5)

        self.with_platform(scenario)

    def test_nobody_is_denied_by_a_version_that_others_have_passed(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            router = deployment.routers["a-1"]
            port = deployment.store_ports["a-1"]
            # The store responds, but hides what has changed.
            deployment.store.faults_by_port[port].hides_changes = True
            added = route("added", "/added/", "app", "safe", public=True)
            tenants = [{"name": ACCOUNT, "api_keys": ["new"], "prepaid": 1_000_000}]
            routes = [*configuration()["routes"], added]
            await deployment.configure(version=7, routes=routes, tenants=tenants)
            router.configurations.feed.listed_at = float("-inf")
            self.assertEqual(200, (await caller.send("GET", "/added/x"))[0])
            self.assertEqual(7, router.configurations.current.version)
            new_caller = PlatformCaller(deployment, key="new")
            self.assertEqual(200, (await new_caller.send("GET", "/safe/x"))[0])

        self.with_platform(scenario)

    def test_concurrent_unknown_keys_cause_few_store_scans(self):
        async def scenario(deployment):
            unknown_caller = PlatformCaller(deployment, key="unknown")
            router = deployment.routers["a-1"]
            lists = []
            scan = router.platform.store.scan

            async def counted(table, **more):
                lists.append(table)
                return await scan(table, **more)

            router.platform.store.scan = counted
            answers = await asyncio.gather(
                *(unknown_caller.send("GET", "/safe/x") for _ in range(20))
            )
            self.assertEqual({401}, {status for status, _, _ in answers})
            self.assertLessEqual(lists.count("op"), 2)

        self.with_platform(scenario)

    def test_bad_headers_are_refused_and_nothing_is_sent(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            bad = (
                [("X-Request-Id", "twice")],
                [("X-Credential", "twice")],
                [("X-Token-Counts", "many")],
                [("X-Token-Counts", "1,-5")],
                [("X-Token-Counts", "5")],
                [("X-Token-Counts", "1,2"), ("X-Prompt-Prefix", "a:b:c")],
            )
            for extra in bad:
                status, _, _ = await caller.send("POST", "/stream/x", extra=extra)
                self.assertEqual(400, status, extra)
            invalid_deadline = await caller.send("GET", "/safe/x", deadline_ms="soon")
            self.assertEqual(400, invalid_deadline[0])
            response = await caller.client.request(
                "GET", "/safe/x", headers=[("Host", "app.example")]
            )
            self.assertEqual(400, response.status)
            response.close()
            self.assertEqual([], arrivals(deployment.upstreams))

        self.with_platform(scenario)


class StreamTest(PlatformTestCase):
    def test_events_come_whole_and_in_order(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            status, headers, body = await caller.stream()
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, event_ids(body)))
            self.assertEqual("text/event-stream", headers["content-type"])
            (run,) = runs(deployment.engines)
            # The account's rank is 1, and the route's rank within it is 1 as well.
            self.assertEqual("4", run.headers["x-request-priority"])

        self.with_platform(scenario)

    def test_a_broken_stream_goes_on_at_another_engine_without_a_gap(self):
        async def scenario(deployment):
            for kind in (Fault.CUT, Fault.RESET, Fault.LOSE, Fault.GARBLE):
                # The engine that gets the request first has the fault.
                faults_for_all = [kind]
                for engine in deployment.engines:
                    engine.runs.clear()
                    engine.faults = faults_for_all
                reset_health(deployment)
                status, _, body = await PlatformCaller(deployment).stream()
                self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, event_ids(body)))
                self.assertEqual(2, len(runs(deployment.engines)), kind)

        self.with_platform(scenario)

    def test_a_stream_that_may_not_go_on_ends_visibly_broken(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            set_faults(deployment.engines, Fault.CUT)
            was_aborted = await caller.send_fails(
                "POST", "/once/x", b"", tokens=(100, 60)
            )
            self.assertTrue(was_aborted)
            self.assertEqual(1, len(arrivals(deployment.engines)))
            set_faults(deployment.engines, Fault.LOSE)
            status, _, body = await caller.stream("/once/x")
            self.assertEqual((502, "unknown"), (status, json.loads(body)["run"]))

        self.with_platform(scenario)

    def test_a_caller_can_resume_after_its_last_event(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            extra = [("Last-Event-Id", "4")]
            _, _, body = await caller.stream(extra=extra)
            self.assertEqual([5, 6], event_ids(body))

        self.with_platform(scenario)

    def test_who_leaves_before_the_first_event_frees_the_engine_too(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            for path in ("/once/x", "/stream/x"):
                set_faults(deployment.engines, Fault.HANG)
                sending = asyncio.create_task(caller.stream(path=path))
                await until(lambda: runs(deployment.engines))
                (run,) = runs(deployment.engines)
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
                await until(lambda run=run: run.router_disconnected, timeout=0.5)
                for engine in deployment.engines:
                    engine.runs.clear()

        self.with_platform(scenario)

    def test_a_caller_that_leaves_frees_its_engine_at_once(self):
        async def scenario(deployment):
            for engine in deployment.engines:
                engine.events, engine.event_delay = 400, 0.01
            caller = PlatformCaller(deployment)
            task = asyncio.create_task(caller.stream())
            await until(
                lambda: any(r.events_sent > 3 for r in runs(deployment.engines))
            )
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            (run,) = runs(deployment.engines)
            await until(lambda: run.router_disconnected, timeout=0.5)

        self.with_platform(scenario)

    def test_the_prompt_and_delivered_tokens_are_billed(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            await caller.stream(tokens=(100, 60))
            used = await _used(deployment)
            self.assertEqual(100 + 6 * 3, used)

        self.with_platform(scenario)

    def test_requests_with_one_id_are_each_counted(self):
        async def scenario(deployment):
            callers = [PlatformCaller(deployment, vm) for vm in ("a-1", "a-1", "b-1")]
            answers = await asyncio.gather(
                *(caller.stream(request_id="same") for caller in callers)
            )
            again = await callers[0].stream(request_id="same")
            statuses = [status for status, _, _ in [*answers, again]]
            self.assertEqual([200] * 4, statuses)
            self.assertEqual(4 * (100 + 6 * 3), await _used(deployment))

        self.with_platform(scenario)

    def test_a_declined_generation_costs_nothing(self):
        async def scenario(deployment):
            caller = PlatformCaller(deployment)
            set_faults(deployment.engines, Fault.DECLINE, Fault.DECLINE)
            status, _, _ = await caller.stream()
            self.assertEqual(503, status)
            self.assertEqual(0, await _used(deployment))

        self.with_platform(scenario)


async def _used(deployment):
    total = 0
    for router in deployment.routers.values():
        ledger = router.ledger_sync.ledger
        await settled(ledger)
        for share in ledger.shares_by_account.values():
            total += share.settled - share.borrowed
    return total


class PauseReportTest(PlatformTestCase):
    def test_a_pause_that_is_too_long_is_reported_once(self):
        async def scenario(deployment):
            reported = []
            for router in deployment.routers.values():
                router.relay._sender._generations.record_pause = (
                    lambda run_id, upstream_id: reported.append((run_id, upstream_id))
                )
            caller = PlatformCaller(deployment)
            await caller.stream()
            self.assertEqual([], reported)
            # Longer than the 0.4 s that the route allows.
            for engine in deployment.engines:
                engine.event_delay = 0.45
            await caller.stream()
            self.assertEqual(1, len(reported))

        self.with_platform(scenario, events=3)


class LateConnectionTest(PlatformTestCase):
    """Guards against deadlines at upstreams that end after the caller's."""

    CONNECT_SECONDS, DEADLINE = 0.4, 2.0

    def test_a_connection_that_comes_late_leaves_an_upstream_less_time(self):
        async def scenario(deployment):
            connect = HttpClient._connect

            async def connect_late(client, *arguments):
                await asyncio.sleep(self.CONNECT_SECONDS)
                return await connect(client, *arguments)

            loop = asyncio.get_running_loop()
            caller = PlatformCaller(deployment)
            with mock.patch.object(HttpClient, "_connect", connect_late):
                began = loop.time() + self.CONNECT_SECONDS
                await caller.send(
                    "GET", "/safe/x", deadline_ms=int(self.DEADLINE * 1000)
                )
            received = [r for app in deployment.apps for r in app.received]
            self.assertEqual(1, len(received))
            for item in received:
                ends_at = item.at + item.deadline
                self.assertLessEqual(ends_at, began + self.DEADLINE + 0.1)

        self.with_platform(scenario, routers=("a-1",))
