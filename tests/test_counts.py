"""Tokens that accounts owe, from the records of engines and callers."""

import types

import testtools

from lynxchute.standins.counts import delivered_by_account, served_by_account


def engine_of(*records):
    """Return an engine with records of request id, prompt and output tokens."""
    rows = []
    for request_id, prompt, output in records:
        rows.append(
            {
                "account": "kanda",
                "request_id": request_id,
                "prompt_tokens": prompt,
                "completion_tokens": output,
                "total_tokens": prompt + output,
            }
        )
    return types.SimpleNamespace(records=lambda: rows)


def deployment_of(*engines):
    service = types.SimpleNamespace(records=lambda: [{"account": "kanda"}])
    return types.SimpleNamespace(
        shape=types.SimpleNamespace(budgets={"kanda": 1_000}),
        engines_by_name=dict(enumerate(engines)),
        services_by_name={"app": service},
    )


class DeliveredTokensTest(testtools.TestCase):
    """Guards against use that nobody is charged for, and the reverse."""

    def owed(self, engines, output_by_request):
        found = delivered_by_account(deployment_of(*engines), output_by_request)
        # The plain call counts as one.
        return found["kanda"] - 1

    def test_output_that_reached_no_caller_is_not_owed(self):
        self.assertEqual(8, self.owed([engine_of(("a", 8, 58))], {"a": 0}))
        self.assertEqual(28, self.owed([engine_of(("a", 8, 58))], {"a": 20}))

    def test_delivered_output_is_owed(self):
        engine = engine_of(("a", 8, 58), ("b", 9, 11))
        self.assertEqual(86, self.owed([engine], {"a": 58, "b": 11}))

    def test_no_more_is_owed_than_engines_made(self):
        self.assertEqual(66, self.owed([engine_of(("a", 8, 58))], {"a": 90}))

    def test_output_of_requests_without_a_caller_record_is_owed(self):
        self.assertEqual(66, self.owed([engine_of(("a", 8, 58))], {}))

    def test_a_request_that_two_engines_served_is_owed_once(self):
        engines = [engine_of(("a", 8, 20)), engine_of(("a", 8, 58))]
        self.assertEqual(66, self.owed(engines, {"a": 58}))
        served = served_by_account(deployment_of(*engines))
        self.assertEqual(67, served["kanda"])
