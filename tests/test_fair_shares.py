"""Shares of accounts, and the queue of requests that wait for a place."""

import json
import math
from pathlib import Path

import testtools

from lynxchute.bench.shares import LARGE, SCENES, NoShares, Play
from lynxchute.config.document import AccountDocument, FleetDocument, Version
from lynxchute.config.from_document import configuration_of
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
FAST = 1e6


def ticket(run_id, **more):
    values = {
        "router": "r",
        "account": run_id,
        "rank": 3,
        "cost": 1.0,
        "arrived_at": 0.0,
        "expires_at": 60.0,
    }
    return Ticket(run_id, **{**values, **more})


class SharesTest(testtools.TestCase):
    def each(self, **more):
        return [(name, way(**more)) for name, way in SHARES_BY_NAME.items()]

    def test_a_lone_account_is_within_its_share_whatever_it_uses(self):
        for name, shares in self.each():
            for number in range(1_000):
                shares.record_use("a", 100.0, number * 0.01)
            self.assertLessEqual(shares.excess("a", 10.0), 1.0, name)

    def test_who_uses_more_than_the_others_is_beyond_its_share(self):
        for name, shares in self.each():
            for number in range(500):
                now = number * 0.05
                for account in "abcd":
                    shares.record_use(account, 1.0, now)
                shares.record_use("big", 7.5, now)
            self.assertGreater(shares.excess("big", 25.0), 2.0, name)
            self.assertLessEqual(shares.excess("a", 25.0), 1.0, name)

    def test_a_weight_allows_for_more(self):
        for name, shares in self.each(weight_of=lambda a: 4.0 if a == "big" else 1.0):
            for number in range(500):
                shares.record_use("a", 1.0, number * 0.05)
                shares.record_use("big", 4.0, number * 0.05)
            self.assertAlmostEqual(1.0, shares.excess("big", 25.0), 1, name)

    def test_what_was_used_is_forgotten(self):
        for name, shares in self.each():
            shares.record_use("big", 1_000.0, 0.0)
            shares.record_use("a", 1.0, 0.0)
            later = 5 * DECAY_SECONDS
            shares.record_use("a", 1.0, later)
            self.assertEqual(0.0, shares.excess("big", later), name)
            self.assertLessEqual(shares.excess("a", later), 1.0, name)

    def test_the_state_is_bounded_and_the_large_one_stays_known(self):
        for name, shares in self.each(max_accounts=64):
            for number in range(5_000):
                shares.record_use(f"a{number}", 1.0, number * 0.0005)
                shares.record_use("big", 10.0, number * 0.0005)
            self.assertEqual(64, len(shares))
            self.assertGreater(shares.excess("big", 2.5), 4.0, name)

    def test_what_is_no_cost_counts_nothing(self):
        for name, shares in self.each():
            for cost in (0.0, -5.0, math.nan, math.inf):
                shares.record_use("a", cost, 0.0)
            self.assertEqual(0.0, shares.excess("a", 0.0), name)

    def test_a_changed_weight_counts_at_once(self):
        weights = {"a": 1.0}
        shares = EqualDivision(lambda account: weights.get(account, 1.0))
        shares.record_use("a", 3.0, 0.0)
        shares.record_use("b", 1.0, 0.0)
        self.assertAlmostEqual(1.5, shares.excess("a", 0.0))
        weights["a"] = 3.0
        shares.record_use("a", 0.001, 0.0)
        self.assertAlmostEqual(1.0, shares.excess("a", 0.0), 2)

    def test_a_weight_that_is_none_counts_as_the_usual_one(self):
        for value in (-1, 0, math.nan, math.inf, 1e9, "3", None, True):
            self.assertEqual(1.0, usable_weight(value), value)


class WeightTest(testtools.TestCase):
    """Weights in the product's own configuration."""

    def findings(self, weight):
        text = (ROOT / "examples/amagumo/kyu-a-1.yaml").read_text(encoding="utf-8")
        text = text.replace("paid: 40000}", f"paid: 40000, weight: {weight}}}", 1)
        result = load_router_settings(text)
        return result.error if result.is_error() else ()

    def test_a_weight_is_taken(self):
        for weight in ("3", "0.5", "100", "0.01"):
            self.assertEqual((), self.findings(weight), weight)

    def test_a_bad_weight_is_refused_with_its_place(self):
        for weight in ("-1", "0", ".nan", ".inf", "-.inf", "1e9", "'3'", "many", "yes"):
            (finding,) = self.findings(weight)
            self.assertEqual("configuration.accounts[0].weight", finding.path, weight)
            self.assertEqual(14, finding.line)

    def test_a_bad_weight_in_the_store_harms_nothing_else(self):
        accounts = tuple(
            AccountDocument(name=name, key_hashes=(name,), weight=2.0) for name in "ab"
        )
        value = json.loads(Version(3, FleetDocument(accounts=accounts)).encode())
        for weight in (-1, 0, "many", None, 1e300, [], {}, math.nan, True):
            value["document"]["accounts"][0]["weight"] = weight
            version = Version.decode(json.dumps(value).encode()).ok
            found = configuration_of(version).accounts_by_name
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


class PlayedTest(testtools.TestCase):
    """Callers who compete for places, see `make bench-shares`."""

    def play(self, scene, way):
        shares = NoShares() if way == "none" else SHARES_BY_NAME[way]()
        return Play(SCENES_BY_NAME[scene], shares).run()

    def test_small_accounts_lose_nothing_beside_one_at_many_times_its_usual(self):
        for way in SHARES_BY_NAME:
            outcome = self.play("one at 7.5 times", way)
            self.assertGreater(outcome.share("small"), 0.98, way)
            # What is left goes to the large one.
            self.assertGreater(outcome.busy, 0.98, way)
        self.assertLess(self.play("one at 7.5 times", "none").share("small"), 0.9)

    def test_a_lone_account_has_all(self):
        for way in SHARES_BY_NAME:
            self.assertGreater(self.play("a lone account", way).busy, 0.98, way)

    def test_the_least_urgent_kind_takes_nothing_from_the_others(self):
        for way in SHARES_BY_NAME:
            outcome = self.play("least urgent at 2.6 times", way)
            self.assertGreater(outcome.share("small"), 0.98, way)
            self.assertGreater(outcome.share("b-"), 0.25 * outcome.share(""), way)

    def test_a_kind_behind_one_that_is_too_much_is_not_forgotten(self):
        for way in SHARES_BY_NAME:
            outcome = self.play("most urgent too many", way)
            least = outcome.share("b-")
            self.assertGreater(least, 0.25 * outcome.share(""), way)
            self.assertLess(least, outcome.share("small") + 0.05, way)
            self.assertGreater(outcome.busy, 0.98, way)

    def test_who_repeats_at_once_and_often_pays_for_it(self):
        for way in SHARES_BY_NAME:
            outcome = self.play("one repeats at once", way)
            self.assertGreater(outcome.share("small"), 0.98, way)
            self.assertLess(outcome.share("large"), 0.7, way)

    def test_large_requests_are_served_and_who_comes_back_as_told(self):
        for way in SHARES_BY_NAME:
            outcome = self.play("all too many, a tenth large", way)
            large = outcome.share("", suffix=LARGE)
            self.assertGreater(large, 0.5 * outcome.share("small"), way)
            self.assertLess(outcome.refused_again, 0.01 * outcome.asked.total(), way)


class QueueTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shares = EqualDivision()
        self.queue = FairTicketQueue(self.shares, DrainRate(FAST))

    def order(self, *tickets, now=0.0):
        for item in tickets:
            self.assertIsNone(self.queue.put(item, now))
        found = []
        while (taken := self.queue.consume(now)) is not None:
            found.append(taken.run_id)
        return found


class OrderTest(QueueTestCase):
    def test_urgency_goes_first_then_arrival(self):
        found = self.order(
            ticket("b", rank=5),
            ticket("c", arrived_at=0.2),
            ticket("d", arrived_at=0.1),
            now=0.3,
        )
        self.assertEqual(["d", "c", "b"], found)

    def test_who_uses_most_goes_last_among_its_kind(self):
        for account, cost in (("a", 1.0), ("b", 1.0), ("c", 1.0), ("big", 9.0)):
            self.shares.record_use(account, cost, 0.0)
        found = self.order(ticket("big"), ticket("a"), ticket("low", rank=5))
        self.assertEqual(["a", "big", "low"], found)

    def test_who_comes_back_as_told_goes_first_among_its_kind(self):
        found = self.order(
            ticket("urgent", rank=2),
            ticket("a"),
            ticket("back", arrived_at=0.1, is_timely_retry=True),
            now=0.2,
        )
        self.assertEqual(["urgent", "back", "a"], found)

    def test_what_is_late_anyhow_goes_after_what_is_not_but_not_for_ever(self):
        late = ticket("late", due_at=0.4)
        now = 0.5
        soon = ticket("soon", arrived_at=now, due_at=now + 1.0)
        self.assertEqual(["soon", "late"], self.order(late, soon, now=now))
        now = LATE_PENALTY_SECONDS + 2.0
        soon = ticket("soon", arrived_at=now, due_at=now + 1.0)
        self.assertEqual(["late", "soon"], self.order(late, soon, now=now))

    def test_a_kind_that_is_hardly_served_gets_turns(self):
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

    def test_what_would_wait_longer_than_its_caller_is_refused_at_once(self):
        for number in range(20):
            self.assertIsNone(self.queue.put(ticket(f"a{number}"), 0.0))
        after = self.queue.put(ticket("x", expires_at=1.0), 0.0)
        self.assertGreater(after, 0.0)
        self.assertNotIn("x", self.queue)
        self.assertEqual(20, len(self.queue))

    def test_the_told_time_is_that_of_the_drain_and_spread(self):
        for number in range(40):
            self.queue.put(ticket(f"a{number}"), 0.0)
        told = [
            self.queue.put(ticket(f"x{number}", expires_at=3.6), 0.0)
            for number in range(5)
        ]
        # Four seconds of work are ahead, and such a caller waits for 2.9 s of them.
        self.assertEqual(5, len(set(told)))
        self.assertTrue(all(0.9 < after < 1.7 for after in told), told)

    def test_a_full_queue_makes_room_for_what_is_more_urgent(self):
        queue = FairTicketQueue(self.shares, DrainRate(FAST), max_tickets=2)
        for name in "ab":
            self.assertIsNone(queue.put(ticket(name, rank=5), 0.0))
        self.assertIsNotNone(queue.put(ticket("c", rank=5), 0.0))
        self.assertIsNone(queue.put(ticket("urgent", rank=3), 0.0))
        self.assertEqual(2, len(queue))
        self.assertEqual("urgent", queue.consume(0.0).run_id)

    def test_a_ticket_that_waits_is_put_once(self):
        self.queue.put(ticket("a"), 0.0)
        self.queue.put(ticket("a"), 0.1)
        self.assertEqual(1, len(self.queue))
        self.queue.drop("a")
        self.queue.drop("a")
        self.assertIsNone(self.queue.consume(0.2))

    def test_nothing_is_told_that_is_longer_than_the_caller_has(self):
        queue = FairTicketQueue(self.shares, DrainRate(0.0))
        queue.put(ticket("first", expires_at=9.0), 0.0)
        for left in (0.0, 0.2, 5.0):
            after = queue.put(ticket(f"x{left}", expires_at=left), 0.0)
            self.assertLessEqual(after, left)


class ReturnsTest(testtools.TestCase):
    def test_who_keeps_to_the_told_time_is_known_once(self):
        returns = ExpectedRetries()
        returns.record_refusal("a", "content", 0.5, 10.0)
        self.assertTrue(returns.consume("a", "content", 10.6))
        self.assertFalse(returns.consume("a", "content", 10.7))

    def test_who_comes_early_or_for_something_else_is_none(self):
        returns = ExpectedRetries()
        returns.record_refusal("a", "content", 0.5, 10.0)
        self.assertFalse(returns.consume("b", "content", 10.6))
        self.assertFalse(returns.consume("a", "other", 10.6))
        self.assertFalse(returns.consume("a", "content", 10.1))
        self.assertFalse(returns.consume("a", "content", 10.6))

    def test_the_state_is_bounded(self):
        returns = ExpectedRetries(max_entries=3)
        for number in range(10):
            returns.record_refusal("a", str(number), 0.5, 10.0)
        self.assertEqual(3, len(returns))
        returns.record_refusal("a", "", 0.5, 10.0)
        returns.record_refusal("a", "x", math.nan, 10.0)
        self.assertEqual(3, len(returns))


class FuzzedTest(testtools.TestCase):
    def test_the_queue_keeps_its_promises(self):
        run(100, 40, machine=TicketsMachine)


class DrainTest(testtools.TestCase):
    def test_the_guess_gives_way_to_what_is_seen(self):
        drain = DrainRate(50.0)
        self.assertEqual(50.0, drain.per_second(0.0))
        for number in range(200):
            drain.record_freed(number * 0.1)
        self.assertAlmostEqual(10.0, drain.per_second(20.0), delta=1.0)

    def test_a_stop_is_noticed(self):
        drain = DrainRate(50.0)
        for number in range(200):
            drain.record_freed(number * 0.1)
        self.assertLess(drain.per_second(40.0), 0.1)
