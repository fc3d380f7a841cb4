"""The checks of the five limits of budgets find records in which one is passed."""

import testtools

from lynxchute.edge.settings import DeploymentBounds
from lynxchute.standins.budget_rules import BudgetRules, Received, Sent, overspent

BOUNDS = DeploymentBounds(retry_share=0.2, retry_extra=2.0, retry_window=10.0)
DEADLINE = 0.6


class BudgetRulesTest(testtools.TestCase):
    def rules(self, *received, attempts=2, **options):
        """Return the rules for what upstreams got of requests sent at their names."""
        sent_by_id = {}
        for item in received:
            first = min(r.at for r in received if r.request_id == item.request_id)
            sent_by_id[item.request_id] = Sent(
                item.request_id, "app", "a-1", first, DEADLINE, attempts
            )
        return BudgetRules(BOUNDS, {"app": received}, sent_by_id, **options)

    def received(self, at, number, upstream="u1", deadline=DEADLINE, **options):
        return Received(at, f"r{number}", upstream, deadline, **options)

    def found(self, rules):
        return [text.partition(":")[0] for text in rules.violations()]

    def test_more_retries_than_permitted_are_found(self):
        # Permitted are 2 and a fifth of 3 requests.
        received = [self.received(1.0, number) for number in range(3)]
        received += [self.received(1.1, number, "u2") for number in range(2)]
        self.assertEqual([], self.found(self.rules(*received)))
        received.append(self.received(10.9, 2, "u2", deadline=-9.5))
        self.assertEqual(["retries"], self.found(self.rules(*received)))

    def test_retries_of_lives_that_count_by_themselves_are_found(self):
        received = []
        for life in range(2):
            for number in range(2):
                request = 2 * life + number
                received.append(self.received(2.0 * life, request))
                received.append(self.received(2.0 * life + 0.1, request, "u2"))
        self.assertEqual(["retries"], self.found(self.rules(*received)))

    def test_requests_that_run_on_too_many_upstreams_are_found(self):
        received = []
        for number in range(4):
            at = 20.0 * number
            received.append(self.received(at, number, has_run=True))
            received.append(self.received(at, number, "u2", has_run=True))
        self.assertEqual([], self.found(self.rules(*received)))
        rules = self.rules(*received, attempts=1)
        self.assertEqual(["attempts"], self.found(rules))
        self.assertEqual([], self.found(self.rules(*received[2:], attempts=1)))
        rules = self.rules(
            *received, attempts=1, has_ended=lambda upstream, at: upstream == "u2"
        )
        self.assertEqual([], self.found(rules))

    def test_refused_requests_do_not_count_as_attempts(self):
        received = []
        for number in range(4):
            at = 20.0 * number
            received.append(self.received(at, number))
            received.append(self.received(at, number, "u2", has_run=True))
        self.assertEqual([], self.found(self.rules(*received, attempts=1)))

    def test_deadlines_that_begin_anew_are_found(self):
        kept, anew = [], []
        for number in range(21):
            at = 20.0 * number
            kept += [self.received(at, number), self.received(at + 0.55, number)]
            kept[-1].deadline = DEADLINE - 0.55
            anew += [self.received(at, number), self.received(at + 0.55, number)]
        self.assertEqual([], self.found(self.rules(*kept)))
        self.assertEqual(["deadlines"], self.found(self.rules(*anew)))

    def test_missing_and_longer_deadlines_are_found(self):
        for deadline in (None, DEADLINE + 0.6):
            received = []
            for number in range(21):
                received.append(self.received(20.0 * number, number, deadline=deadline))
            self.assertEqual(["deadlines"], self.found(self.rules(*received)))
            self.assertEqual([], self.found(self.rules(*received[1:])))
            rules = self.rules(*received, is_disturbed=lambda router, at: True)
            self.assertEqual([], self.found(rules))

    def test_sends_in_a_backoff_are_found(self):
        received = [self.received(1.0, 0, backoff=3.0)]
        received += [self.received(1.4, number) for number in range(1, 5)]
        received += [self.received(3.9, number) for number in range(5, 7)]
        self.assertEqual([], self.found(self.rules(*received)))
        received.append(self.received(1.6, 7))
        self.assertEqual(["backoff"], self.found(self.rules(*received)))
        elsewhere = [*received[:-1], self.received(1.6, 7, "u2")]
        self.assertEqual([], self.found(self.rules(*elsewhere)))

    def test_accounts_that_get_more_than_was_paid_are_found(self):
        self.assertEqual([], overspent({"kanda": 100}, {"kanda": 100}))
        found = overspent({"kanda": 101}, {"kanda": 100})
        self.assertEqual(["prepaid: kanda: 101 of 100"], found)
