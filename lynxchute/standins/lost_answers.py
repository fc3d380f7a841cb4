"""Check that callers got whole answers or honest refusals.

Everything is judged from records of callers and upstreams, not from anything a router
states.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

import attrs

from lynxchute.standins.budget_rules import Received

# Seconds after the last byte of a request in which its connection may end without an
# answer, as long as no upstream got the request.
CLOSE_SLACK_SECONDS = 0.2
# Seconds before the end of a request's time from which on it may end without an answer.
END_MARGIN_SECONDS = 0.05
# Seconds after the end of a request's time by which its final answer is due.
LATE_MARGIN_SECONDS = 0.5
# Statuses that promise that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.define(eq=False)
class Outcome:
    """What a caller got for a request.

    Attributes
    ----------
    router
        VM of the router that the caller sent it to.
    sent_at, ended_at
        When its last byte was sent, and when its answer or its connection ended, in
        seconds.
    allowed_seconds, due_seconds
        Seconds until the caller's deadline or the route's timeout, whichever is less,
        with the least and with the greatest timeout that may apply.
    is_repeatable
        Whether it may run more than once.
    status
        Status of the answer; 0 if there was none.
    is_whole
        Whether the answer was complete.
    was_sent
        Whether any byte of it may have reached the router.
    """

    request_id: str
    router: str
    sent_at: float
    allowed_seconds: float
    due_seconds: float
    is_repeatable: bool
    ended_at: float = 0.0
    status: int = 0
    is_whole: bool = False
    was_sent: bool = True

    @property
    def seconds(self) -> float:
        """Return the seconds from the request to the end of its answer."""
        return self.ended_at - self.sent_at


def _never_excused(outcome: Outcome) -> bool:
    return False


@attrs.define
class AnswerRules:
    """Checks the records of a whole run.

    Attributes
    ----------
    outcomes
        What callers got.
    received_by_id
        The arrivals of each request at upstreams.
    is_excused
        Returns whether a process was killed or an upstream broke off, so that a request
        may have got no answer.
    """

    outcomes: Iterable[Outcome]
    received_by_id: dict[str, list[Received]]
    is_excused: Callable[[Outcome], bool] = _never_excused

    @classmethod
    def of(
        cls,
        outcomes: Iterable[Outcome],
        received: Iterable[Received],
        is_excused: Callable[[Outcome], bool] = _never_excused,
    ) -> AnswerRules:
        """Return the rules for a run's records."""
        by_id = collections.defaultdict(list)
        for item in received:
            by_id[item.request_id].append(item)
        return cls(list(outcomes), by_id, is_excused)

    def cut(self) -> list[Outcome]:
        """Return the requests whose connection ended without a whole answer."""
        found = []
        for outcome in self.outcomes:
            if outcome.is_whole or not outcome.was_sent or self.is_excused(outcome):
                continue
            if outcome.seconds >= outcome.allowed_seconds - END_MARGIN_SECONDS:
                continue
            is_passed_on = outcome.request_id in self.received_by_id
            if is_passed_on or outcome.seconds > CLOSE_SLACK_SECONDS:
                found.append(outcome)
        return found

    def late(self) -> list[Outcome]:
        """Return the requests without a final answer at the end of their time."""
        return [
            outcome
            for outcome in self.outcomes
            if outcome.seconds > outcome.due_seconds + LATE_MARGIN_SECONDS
            and not self.is_excused(outcome)
        ]

    def untrue_refusals(self) -> list[Outcome]:
        """Return the requests that ran and were refused as not run."""
        found = []
        for outcome in self.outcomes:
            if outcome.is_repeatable or outcome.status not in NOT_RUN_STATUSES:
                continue
            if any(item.has_run for item in self._received(outcome)):
                found.append(outcome)
        return found

    def run_twice(self) -> list[Outcome]:
        """Return the requests that must not be repeated and ran more than once."""
        return [
            outcome
            for outcome in self.outcomes
            if not outcome.is_repeatable
            and sum(item.has_run for item in self._received(outcome)) > 1
        ]

    def violations(self) -> list[str]:
        """Return a description of each rule that was broken."""
        found = []
        for name, broken in (
            ("cut", self.cut()),
            ("late", self.late()),
            ("untrue", self.untrue_refusals()),
            ("twice", self.run_twice()),
        ):
            if broken:
                ids = [f"{o.request_id} at {o.router}" for o in broken[:3]]
                found.append(f"{name}: {len(broken)} requests, {ids}")
        return found

    def _received(self, outcome: Outcome) -> list[Received]:
        return self.received_by_id.get(outcome.request_id, [])
