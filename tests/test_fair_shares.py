"""Fair shares of accounts, and the queue of requests that wait for a place."""

import json
import math
from pathlib import Path

import testtools

from lynxchute.bench.shares import LARGE, SCENES, NoShares, Play
from lynxchute.config.document import AccountDocument, FleetDocument, Version
from lynxchute.config.from_document import build_configuration
from lynxchute.operators.changes import change_for
from lynxchute.operators.language import parse, to_text
from lynxchute.overload.drain import DrainRate
from lynxchute.overload.fair_shares import (
    DECAY_SECONDS,
    SHARES_BY_NAME,
    EqualDivision,
)
from lynxchute.overload.returns import ExpectedRetries
from lynxchute.overload.ticket import Ticket
from lynxchute.overload.ticket_queue import LATE_PENALTY_SECONDS, FairTicketQueue
from lynxchute.overload.weights import usable_weight
from lynxchute.settings import load_router_settings
from tests.fuzz import run
from tests.tickets_machine import TicketsMachine

ROOT = Path(__file__).parent.parent
SCENES_BY_NAME = {scene.name: scene for scene in SCENES}
FAST_RATE = 1e6


def ticket(run_id, **overrides):
    values = {
        "router": "r",
        "account": run_id,
        "rank": 3,
        "cost": 1.0,
        "arrived_at": 0.0,
        "expires_at": 60.0,
    }
    return Ticket(run_id, **{**values, **overrides})


class SharesTest(testtools.TestCase):
    def all_schemes(self, **overrides):
        return [(name, scheme(**overrides)) for name, scheme in SHARES_BY_NAME.items()]

    def test_a_lone_account_never_exceeds_its_share(self):
        for name, shares in self.all_schemes():
            for number in range(1_000):
                shares.record_use("a", 100.0, number * 0.01)
            self.assertLessEqual(shares.use_ratio("a", 10.0), 1.0, name)

    def test_an_account_with_higher_use_exceeds_its_share(self):
        for name, shares in self.all_schemes():
            for number in range(500):
                now = number * 0.05
                for account in "abcd":
                    shares.record_use(account, 1.0, now)
                shares.record_use("big", 7.5, now)
            self.assertGreater(shares.use_ratio("big", 25.0), 2.0, name)
            self.assertLessEqual(shares.use_ratio("a", 25.0), 1.0, name)

    def test_a_higher_weight_allows_more_use(self):
        for name, shares in self.all_schemes(
            weight_of=lambda a: 4.0 if a == "big" else 1.0
        ):
            for number in range(500):
                shares.record_use("a", 1.0, number * 0.05)
                shares.record_use("big", 4.0, number * 0.05)
            self.assertAlmostEqual(1.0, shares.use_ratio("big", 25.0), 1, name)

    def test_use_expires(self):
        for name, shares in self.all_schemes():
            shares.record_use("big", 1_000.0, 0.0)
            shares.record_use("a", 1.0, 0.0)
            later = 5 * DECAY_SECONDS
            shares.record_use("a", 1.0, later)
            self.assertEqual(0.0, shares.use_ratio("big", later), name)
            self.assertLessEqual(shares.use_ratio("a", later), 1.0, name)

    def test_state_is_bounded_and_keeps_the_largest_account(self):
        for name, shares in self.all_schemes(max_accounts=64):
            for number in range(5_000):
                shares.record_use(f"a{number}", 1.0, number * 0.0005)
                shares.record_use("big", 10.0, number * 0.0005)
            self.assertEqual(64, len(shares))
            self.assertGreater(shares.use_ratio("big", 2.5), 4.0, name)

    def test_invalid_costs_are_ignored(self):
        for name, shares in self.all_schemes():
            for cost in (0.0, -5.0, math.nan, math.inf):
                shares.record_use("a", cost, 0.0)
            self.assertEqual(0.0, shares.use_ratio("a", 0.0), name)

    def test_a_changed_weight_applies_at_once(self):
        weights = {"a": 1.0}
        shares = EqualDivision(lambda account: weights.get(account, 1.0))
        shares.record_use("a", 3.0, 0.0)
        shares.record_use("b", 1.0, 0.0)
        self.assertAlmostEqual(1.5, shares.use_ratio("a", 0.0))
        weights["a"] = 3.0
        shares.record_use("a", 0.001, 0.0)
        self.assertAlmostEqual(1.0, shares.use_ratio("a", 0.0), 2)

    def test_an_invalid_weight_becomes_the_default(self):
        for value in (-1, 0, math.nan, math.inf, 1e9, "3", None, True):
            self.assertEqual(1.0, usable_weight(value), value)


class WeightTest(testtools.TestCase):
    """Account weights in the router's configuration."""

    def findings(self, weight):
        text = (ROOT / "examples/amagumo/kyu-a-1.yaml").read_text(encoding="utf-8")
        text = text.replace("paid: 40000}", f"paid: 40000, weight: {weight}}}", 1)
        result = load_router_settings(text)
        return result.error if result.is_error() else ()

    def test_valid_weights_are_accepted(self):
        for weight in ("3", "0.5", "100", "0.01"):
            self.assertEqual((), self.findings(weight), weight)

    def test_an_invalid_weight_is_reported_with_its_location(self):
        for weight in ("-1", "0", ".nan", ".inf", "-.inf", "1e9", "'3'", "many", "yes"):
            (finding,) = self.findings(weight)
            self.assertEqual("configuration.accounts[0].weight", finding.path, weight)
            self.assertEqual(14, finding.line)

    def test_an_invalid_stored_weight_affects_only_its_account(self):
        accounts = tuple(
            AccountDocument(name=name, key_hashes=(name,), weight=2.0) for name in "ab"
        )
        value = json.loads(Version(3, FleetDocument(accounts=accounts)).encode())
        for weight in (-1, 0, "many", None, 1e300, [], {}, math.nan, True):
            value["document"]["accounts"][0]["weight"] = weight
            version = Version.decode(json.dumps(value).encode()).ok
            found = build_configuration(version).accounts_by_name
            self.assertEqual(1.0, found["a"].weight, weight)
            self.assertEqual(2.0, found["b"].weight)
        del value["document"]["accounts"][0]["weight"]
        version = Version.decode(json.dumps(value).encode()).ok
        self.assertEqual(1.0, version.document.accounts[0].weight)


class WeightStatementTest(testtools.TestCase):
    def test_an_operator_sets_a_weight(self):
        accounts = tuple(AccountDocument(name=n, key_hashes=()) for n in "ab")
        statement = parse("set account b weight 3 as op-7").ok
        self.assertEqual("set account b weight 3 as op-7", to_text(statement))
        changed = change_for(statement)(FleetDocument(accounts=accounts)).ok
        self.assertEqual([1.0, 3.0], [a.weight for a in changed.accounts])


class SimulationTest(testtools.TestCase):
    """Simulated callers who compete for places, see `make bench-shares`."""

    def simulate(self, scene, scheme):
        shares = NoShares() if scheme == "none" else SHARES_BY_NAME[scheme]()
        return Play(SCENES_BY_NAME[scene], shares).run()

    def test_small_accounts_are_protected_from_one_with_excess_load(self):
        for scheme in SHARES_BY_NAME:
            outcome = self.simulate("one at 7.5 times", scheme)
            self.assertGreater(outcome.share("small"), 0.98, scheme)
            # The large account gets the remaining places.
            self.assertGreater(outcome.busy, 0.98, scheme)
        self.assertLess(self.simulate("one at 7.5 times", "none").share("small"), 0.9)

    def test_a_lone_account_gets_all_places(self):
        for scheme in SHARES_BY_NAME:
            self.assertGreater(
                self.simulate("a lone account", scheme).busy, 0.98, scheme
            )

    def test_the_least_urgent_rank_does_not_slow_the_others(self):
        for scheme in SHARES_BY_NAME:
            outcome = self.simulate("least urgent at 2.6 times", scheme)
            self.assertGreater(outcome.share("small"), 0.98, scheme)
            self.assertGreater(outcome.share("b-"), 0.25 * outcome.share(""), scheme)

    def test_a_rank_behind_an_overloading_one_is_not_starved(self):
        for scheme in SHARES_BY_NAME:
            outcome = self.simulate("most urgent too many", scheme)
            least = outcome.share("b-")
            self.assertGreater(least, 0.25 * outcome.share(""), scheme)
            self.assertLess(least, outcome.share("small") + 0.05, scheme)
            self.assertGreater(outcome.busy, 0.98, scheme)

    def test_immediate_retries_count_against_the_account(self):
        for scheme in SHARES_BY_NAME:
            outcome = self.simulate("one repeats at once", scheme)
            self.assertGreater(outcome.share("small"), 0.98, scheme)
            self.assertLess(outcome.share("large"), 0.7, scheme)

    def test_large_requests_and_timely_retries_are_served(self):
        for scheme in SHARES_BY_NAME:
            outcome = self.simulate("all too many, a tenth large", scheme)
            large = outcome.share("", suffix=LARGE)
            self.assertGreater(large, 0.5 * outcome.share("small"), scheme)
            self.assertLess(
                outcome.refused_again, 0.01 * outcome.requested.total(), scheme
            )


class QueueTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shares = EqualDivision()
        self.queue = FairTicketQueue(self.shares, DrainRate(FAST_RATE))

    def drain_order(self, *tickets, now=0.0):
        for item in tickets:
            self.assertIsNone(self.queue.put(item, now))
        found = []
        while (taken := self.queue.consume(now)) is not None:
            found.append(taken.run_id)
        return found


class OrderTest(QueueTestCase):
    def test_order_is_by_rank_then_arrival(self):
        found = self.drain_order(
            ticket("b", rank=5),
            ticket("c", arrived_at=0.2),
            ticket("d", arrived_at=0.1),
            now=0.3,
        )
        self.assertEqual(["d", "c", "b"], found)

    def test_the_account_with_most_use_is_last_in_its_rank(self):
        for account, cost in (("a", 1.0), ("b", 1.0), ("c", 1.0), ("big", 9.0)):
            self.shares.record_use(account, cost, 0.0)
        found = self.drain_order(ticket("big"), ticket("a"), ticket("low", rank=5))
        self.assertEqual(["a", "big", "low"], found)

    def test_a_timely_retry_is_first_in_its_rank(self):
        found = self.drain_order(
            ticket("urgent", rank=2),
            ticket("a"),
            ticket("back", arrived_at=0.1, is_timely_retry=True),
            now=0.2,
        )
        self.assertEqual(["urgent", "back", "a"], found)

    def test_late_tickets_are_deferred_but_not_for_ever(self):
        late = ticket("late", due_at=0.4)
        now = 0.5
        soon = ticket("soon", arrived_at=now, due_at=now + 1.0)
        self.assertEqual(["soon", "late"], self.drain_order(late, soon, now=now))
        now = LATE_PENALTY_SECONDS + 2.0
        soon = ticket("soon", arrived_at=now, due_at=now + 1.0)
        self.assertEqual(["late", "soon"], self.drain_order(late, soon, now=now))

    def test_a_starved_rank_is_promoted(self):
        served = []
        for number in range(400):
            now = number * 0.1
            self.queue.put(ticket(f"u{number}", arrived_at=now), now)
            self.queue.put(ticket(f"v{number}", arrived_at=now), now)
            self.queue.put(ticket(f"l{number}", rank=5, arrived_at=now), now)
            served.append(self.queue.consume(now).run_id[0])
        self.assertGreater(served.count("l"), 40)
        self.assertGreater(served.count("u") + served.count("v"), 250)


class RefusalTest(QueueTestCase):
    def setUp(self):
        super().setUp()
        self.queue = FairTicketQueue(self.shares, DrainRate(10.0))

    def test_a_ticket_that_would_wait_too_long_is_rejected_at_once(self):
        for number in range(20):
            self.assertIsNone(self.queue.put(ticket(f"a{number}"), 0.0))
        after = self.queue.put(ticket("x", expires_at=1.0), 0.0)
        self.assertGreater(after, 0.0)
        self.assertNotIn("x", self.queue)
        self.assertEqual(20, len(self.queue))

    def test_retry_delays_follow_the_drain_rate_and_are_spread(self):
        for number in range(40):
            self.queue.put(ticket(f"a{number}"), 0.0)
        retry_delays = [
            self.queue.put(ticket(f"x{number}", expires_at=3.6), 0.0)
            for number in range(5)
        ]
        # Four seconds of work are ahead, and each caller can wait for 2.9 s of them.
        self.assertEqual(5, len(set(retry_delays)))
        self.assertTrue(all(0.9 < after < 1.7 for after in retry_delays), retry_delays)

    def test_a_full_queue_evicts_for_a_more_urgent_ticket(self):
        queue = FairTicketQueue(self.shares, DrainRate(FAST_RATE), max_tickets=2)
        for name in "ab":
            self.assertIsNone(queue.put(ticket(name, rank=5), 0.0))
        self.assertIsNotNone(queue.put(ticket("c", rank=5), 0.0))
        self.assertIsNone(queue.put(ticket("urgent", rank=3), 0.0))
        self.assertEqual(2, len(queue))
        self.assertEqual("urgent", queue.consume(0.0).run_id)

    def test_adding_a_ticket_twice_has_no_effect(self):
        self.queue.put(ticket("a"), 0.0)
        self.queue.put(ticket("a"), 0.1)
        self.assertEqual(1, len(self.queue))
        self.queue.drop("a")
        self.queue.drop("a")
        self.assertIsNone(self.queue.consume(0.2))

    def test_retry_delays_never_exceed_the_remaining_time(self):
        queue = FairTicketQueue(self.shares, DrainRate(0.0))
        queue.put(ticket("first", expires_at=9.0), 0.0)
        for left in (0.0, 0.2, 5.0):
            after = queue.put(ticket(f"x{left}", expires_at=left), 0.0)
            self.assertLessEqual(after, left)


class ExpectedRetriesTest(testtools.TestCase):
    def test_a_timely_retry_is_recognised_once(self):
        expected = ExpectedRetries()
        expected.record_refusal("a", "content", 0.5, 10.0)
        self.assertTrue(expected.consume("a", "content", 10.6))
        self.assertFalse(expected.consume("a", "content", 10.7))

    def test_early_or_unrelated_retries_are_not_recognised(self):
        expected = ExpectedRetries()
        expected.record_refusal("a", "content", 0.5, 10.0)
        self.assertFalse(expected.consume("b", "content", 10.6))
        self.assertFalse(expected.consume("a", "other", 10.6))
        self.assertFalse(expected.consume("a", "content", 10.1))
        self.assertFalse(expected.consume("a", "content", 10.6))

    def test_the_state_is_bounded(self):
        expected = ExpectedRetries(max_entries=3)
        for number in range(10):
            expected.record_refusal("a", str(number), 0.5, 10.0)
        self.assertEqual(3, len(expected))
        expected.record_refusal("a", "", 0.5, 10.0)
        expected.record_refusal("a", "x", math.nan, 10.0)
        self.assertEqual(3, len(expected))


class FuzzTest(testtools.TestCase):
    def test_queue_invariants_hold(self):
        run(100, 40, machine=TicketsMachine)


class DrainRateTest(testtools.TestCase):
    def test_the_initial_rate_is_replaced_by_samples(self):
        drain = DrainRate(50.0)
        self.assertEqual(50.0, drain.per_second(0.0))
        for number in range(200):
            drain.record_slot_freed(number * 0.1)
        self.assertAlmostEqual(10.0, drain.per_second(20.0), delta=1.0)

    def test_the_rate_falls_when_no_places_become_free(self):
        drain = DrainRate(50.0)
        for number in range(200):
            drain.record_slot_freed(number * 0.1)
        self.assertLess(drain.per_second(40.0), 0.1)
