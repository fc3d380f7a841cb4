"""Crashes, partitions, store outages and broken upstreams; operator commands."""

import asyncio
import contextlib
import json

from lynxchute.budgets.rows import HOLDERS_TABLE, TOTALS_TABLE, HolderRow, Totals
from lynxchute.http import ExchangeError, HttpClient
from lynxchute.standins.counts import counted_by_account, served_by_account
from lynxchute.standins.platform_store import Outage
from lynxchute.standins.text import answer_tokens
from tests.support import (
    ACCOUNT,
    CHAT,
    AsyncTestCase,
    Caller,
    engine_runs,
    question,
    runs,
    stream_text,
    until,
    wait_for_matching_counts,
    with_deployment,
)


def granted_tokens(deployment, account=ACCOUNT):
    value = deployment.store.value(TOTALS_TABLE, account)
    return Totals.decode(value).granted_by_vm if value else {}


def holder_row(deployment, vm):
    return HolderRow.decode(deployment.store.value(HOLDERS_TABLE, vm, vm))


class FaultsTest(AsyncTestCase):
    def test_retry_after_a_router_crash_gets_the_whole_answer(self):
        async def scenario(deployment):
            chat_request = question("a long answer, please", stream=True)
            first = Caller(deployment, "kyu-a-1")
            broken = asyncio.create_task(first.ask(chat_request))
            await until(lambda: engine_runs(deployment))
            await deployment.kill_router("kyu-a-1")
            await asyncio.gather(broken, return_exceptions=True)
            status, _, body = await Caller(deployment, "kyu-a-2").ask(chat_request)
            expected = "".join(answer_tokens(chat_request))
            self.assertEqual((200, (expected, True)), (status, stream_text(body)))
            await until(
                lambda: (
                    counted_by_account(deployment)[ACCOUNT]
                    >= served_by_account(deployment)[ACCOUNT]
                )
            )

        with_deployment(self, scenario, token_delay=0.02)

    def test_restarted_router_counts_use_before_its_crash(self):
        async def scenario(deployment):
            for vm in list(deployment.routers_by_vm):
                await Caller(deployment, vm).ask(question())
            await wait_for_matching_counts(deployment)
            used = counted_by_account(deployment)[ACCOUNT]
            await deployment.kill_router("kyu-a-1")
            await deployment.start_router("kyu-a-1")
            await deployment.wait_until_ready()
            after = counted_by_account(deployment)[ACCOUNT]
            # The restarted router counts the use that its limit line allowed, which may
            # exceed the actual use but never be below it.
            self.assertGreaterEqual(after, used)
            self.assertLess(after, 10_000)
            self.assertLessEqual(sum(granted_tokens(deployment).values()), 100_000)

        with_deployment(self, scenario)

    def test_lost_answer_is_reported_as_unknown_and_runs_once(self):
        async def scenario(deployment):
            for service in deployment.services_by_name.values():
                service.faults.lose_answers = 1.0
            caller = Caller(deployment, "kyu-a-1")
            status, _, body = await caller.send("POST", "/tickets/", {})
            self.assertEqual((502, "unknown"), (status, json.loads(body)["run"]))
            self.assertEqual(1, len(runs(deployment)))
            await wait_for_matching_counts(deployment)

        with_deployment(self, scenario)

    def test_partitioned_data_centre_serves_and_gets_a_top_up_later(self):
        async def scenario(deployment):
            deployment.set_cut("kyu-b", True)
            # In its first seconds a router may use only a small part of its grant.
            await ask_until_served(self, Caller(deployment, "kyu-b-1"), question())
            statement = f"top up {ACCOUNT} by 70 as bill-1"
            for vm in ("kyu-a-1", "kyu-a-2"):
                _, answer = await deployment.operate(vm, statement)
                self.assertEqual("done", answer["state"])
            _, answer = await deployment.operate("kyu-b-1", statement)
            self.assertIn(answer["state"], ("not_done", "unknown"))
            deployment.set_cut("kyu-b", False)
            remote_ledger = deployment.routers_by_vm["kyu-b-1"].ledger_sync.ledger
            await until(lambda: remote_ledger.prepaid_by_account[ACCOUNT] == 100_070)
            _, answer = await deployment.operate("kyu-b-1", statement)
            self.assertEqual("done", answer["state"])
            self.assertEqual(100_070, remote_ledger.prepaid_by_account[ACCOUNT])

        with_deployment(self, scenario)

    def test_lost_answers_of_the_store_count_nothing_twice(self):
        async def scenario(deployment):
            for vm in deployment.routers_by_vm:
                deployment.store_faults(vm).lost_share = 0.5
            caller = Caller(deployment, "kyu-a-1")
            for number in range(10):
                await ask_until_served(self, caller, question(f"number {number}"))
            await wait_for_matching_counts(deployment)
            self.assertEqual(10, len(engine_runs(deployment)))
            self.assertLessEqual(sum(granted_tokens(deployment).values()), 100_000)

        with_deployment(self, scenario)

    def test_store_outage_delays_only_writes(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1")
            await caller.ask(question("before"))
            for vm in deployment.routers_by_vm:
                deployment.store_faults(vm).outage = Outage.BUSY
            await ask_until_served(self, caller, question("during"))
            await wait_for_matching_counts(deployment)
            used = counted_by_account(deployment)[ACCOUNT]
            for vm in deployment.routers_by_vm:
                deployment.store_faults(vm).outage = Outage.NONE

            def written():
                found = 0
                for vm in deployment.routers_by_vm:
                    terms = holder_row(deployment, vm).terms_by_account.get(ACCOUNT)
                    found += terms.line.base if terms else 0
                return found

            await until(lambda: written() >= used)

        with_deployment(self, scenario)

    def test_graceful_stop_finishes_streams_and_returns_grants(self):
        async def scenario(deployment):
            chat_request = question("a stream across the stop", stream=True)
            caller = Caller(deployment, "kyu-a-1")
            stream = asyncio.create_task(caller.ask(chat_request))
            await until(lambda: engine_runs(deployment))
            await deployment.stop_router("kyu-a-1")
            _, _, body = await stream
            self.assertTrue(stream_text(body)[1])
            row = holder_row(deployment, "kyu-a-1")
            for terms in row.terms_by_account.values():
                self.assertEqual(terms.granted, terms.line.base)

        with_deployment(self, scenario, token_delay=0.02)

    def test_fenced_router_starts_no_requests(self):
        async def scenario(deployment):
            old = deployment.routers_by_vm["kyu-a-1"]
            caller = Caller(deployment, "kyu-a-1")
            await deployment.start_router("kyu-a-1")
            await deployment.wait_until_ready()
            old.ledger_sync.request_write()
            await until(lambda: old.ledger_sync.ledger.fenced)
            runs_before = len(runs(deployment))
            self.assertEqual(0, old.ledger_sync.ledger.available(ACCOUNT, 10**15))
            await old.kill()
            self.assertEqual(runs_before, len(runs(deployment)))
            caller.client.close()

        with_deployment(self, scenario)

    def test_drained_upstream_gets_no_new_requests(self):
        async def scenario(deployment):
            _, answer = await deployment.operate(
                "kyu-a-1", "drain upstream kyu-a-engine-1"
            )
            self.assertEqual("done", answer["state"])
            await wait_for_version(deployment, 2)
            for number in range(8):
                for vm in ("kyu-a-1", "kyu-a-2"):
                    await Caller(deployment, vm).ask(question(f"{number}"))
            drained = deployment.engines_by_name["kyu-a-engine-1"]
            self.assertEqual([], drained.records())

        with_deployment(self, scenario)

    def test_crashed_engine_is_not_used(self):
        async def scenario(deployment):
            await deployment.engines_by_name["kyu-a-engine-1"].server.kill()
            for number in range(8):
                caller = Caller(deployment, "kyu-a-1")
                status, _, body = await caller.ask(question(f"{number}"))
                self.assertEqual(200, status, body)

        with_deployment(self, scenario)

    def test_broken_stream_resumes_at_another_engine(self):
        async def scenario(deployment):
            chat_request = question(stream=True)
            breaking = list(deployment.engines_by_name.values())[:3]
            for engine in breaking:
                engine.faults.break_streams = True
            for number in range(6):
                chat_request = question(f"number {number}", stream=True)
                body = await read_until_broken(
                    Caller(deployment, "kyu-a-1"), chat_request
                )
                text, whole = stream_text(body)
                expected = "".join(answer_tokens(chat_request))
                self.assertTrue(expected.startswith(text), body)
                self.assertEqual(whole, text == expected)
            self.assertGreater(len(engine_runs(deployment)), 6)

        with_deployment(self, scenario)

    def test_stream_that_cannot_resume_ends_as_broken(self):
        async def scenario(deployment):
            for engine in deployment.engines_by_name.values():
                engine.faults.break_streams = True
            chat_request = question(stream=True)
            body = await read_until_broken(Caller(deployment, "kyu-a-1"), chat_request)
            self.assertFalse(stream_text(body)[1])
            await until(
                lambda: (
                    counted_by_account(deployment)[ACCOUNT]
                    >= served_by_account(deployment)[ACCOUNT]
                )
            )

        with_deployment(self, scenario, token_delay=0.02)


async def ask_until_served(case, caller, chat_request):
    """Retry after each refusal with ``not_run`` until the request is served."""
    async with asyncio.timeout(10):
        while True:
            status, headers, body = await caller.ask(chat_request)
            if status == 200:
                return
            case.assertEqual((503, "not_run"), (status, json.loads(body)["run"]))
            await asyncio.sleep(float(headers["retry-after"]))


async def read_until_broken(caller, chat_request):
    """Return the received part of an answer that may break off."""
    body = json.dumps(chat_request).encode()
    response = await caller.client.request(
        "POST", CHAT, headers=caller.headers, body=body
    )
    pieces = []
    with contextlib.suppress(ExchangeError):
        async for piece in response.chunks():
            pieces.append(piece)
    return b"".join(pieces)


async def wait_for_version(deployment, version):
    def is_known_everywhere():
        found = []
        for router in deployment.routers_by_vm.values():
            current = router.configurations.current
            found.append(current is not None and current.version >= version)
        return all(found)

    await until(is_known_everywhere)


class OperatorsTest(AsyncTestCase):
    def test_conflicting_changes_are_serialised_and_both_confirmed(self):
        async def scenario(deployment):
            answers = await asyncio.gather(
                deployment.operate("kyu-a-1", "drain upstream kyu-a-engine-1 as one"),
                deployment.operate("kyu-b-1", "drain upstream kyu-b-engine-1 as two"),
            )
            self.assertEqual(["done", "done"], [a["state"] for _, a in answers])
            details = " ".join(a["detail"] for _, a in answers)
            self.assertIn("Version 2", details)
            self.assertIn("Version 3", details)
            await wait_for_version(deployment, 3)
            for router in deployment.routers_by_vm.values():
                upstreams = router.configurations.current.upstreams
                self.assertEqual(2, sum(item.is_leaving for item in upstreams))

        with_deployment(self, scenario)

    def test_repeated_order_runs_once_and_its_id_is_not_reusable(self):
        async def scenario(deployment):
            order = f"top up {ACCOUNT} by 5 as once"
            for vm in ("kyu-a-1", "kyu-b-1"):
                _, answer = await deployment.operate(vm, order)
                self.assertIn("Version 2", answer["detail"])
            other = f"top up {ACCOUNT} by 6 as once"
            _, answer = await deployment.operate("kyu-a-1", other)
            self.assertEqual("not_done", answer["state"])
            self.assertIn("names another order", answer["detail"])
            _, answer = await deployment.operate("kyu-a-1", "show budgets")
            paid = {row["account"]: row["paid"] for row in answer["rows"]}
            self.assertEqual(100_005, paid[ACCOUNT])

        with_deployment(self, scenario)

    def test_partitioned_router_changes_nothing_and_reports_it(self):
        async def scenario(deployment):
            deployment.set_cut("kyu-b", True)
            _, answer = await deployment.operate("kyu-b-1", "undrain vm kyu-a-1")
            self.assertIn(answer["state"], ("not_done", "unknown"))
            _, answer = await deployment.operate("kyu-b-1", "show vms")
            self.assertFalse(answer["complete"])
            self.assertEqual(["store"], answer["missing"])
            deployment.set_cut("kyu-b", False)

        with_deployment(self, scenario)

    def test_router_without_the_store_gets_versions_through_others(self):
        async def scenario(deployment):
            for vm in ("kyu-b-1", "kyu-b-2"):
                deployment.store_faults(vm).outage = Outage.RESET
            await deployment.operate("kyu-a-1", "drain upstream kyu-a-engine-1")
            await wait_for_version(deployment, 2)

        with_deployment(self, scenario)

    def test_drained_vm_is_not_ready(self):
        async def scenario(deployment):
            await deployment.operate("kyu-a-2", "drain vm kyu-a-1")
            drained = deployment.routers_by_vm["kyu-a-1"]
            await until(lambda: not drained.is_ready())
            self.assertTrue(deployment.routers_by_vm["kyu-a-2"].is_ready())
            status, _, _ = await Caller(deployment, "kyu-a-1").ask(question())
            self.assertEqual(200, status)

        with_deployment(self, scenario)

    def test_keys_and_roles_are_checked(self):
        async def scenario(deployment):
            caller = Caller(deployment, "kyu-a-1")
            status, _, _ = await caller.send(
                "POST", "/v1/operator/commands", {"statement": "show vms"}
            )
            self.assertEqual(401, status)
            caller.headers = [("Authorization", "Bearer nobody")]
            status, _, body = await caller.ask(question())
            self.assertEqual((401, "not_run"), (status, json.loads(body)["run"]))

        with_deployment(self, scenario)

    def test_unauthenticated_peer_message_is_refused(self):
        async def scenario(deployment):
            router = deployment.routers_by_vm["kyu-a-1"]
            client = HttpClient(f"127.0.0.1:{router.peer_server.server.port}")
            gift = {"gift_id": "g", "account": ACCOUNT, "tokens": 10**6}
            status, _ = await client.post_json("/fleet/give", gift)
            self.assertEqual(401, status)
            share = router.ledger_sync.ledger.share(ACCOUNT)
            self.assertEqual(0, share.borrowed)
            client.close()

        with_deployment(self, scenario)
