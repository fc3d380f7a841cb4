"""What a router knows of an upstream's wants, from the upstream's own answers."""

from __future__ import annotations

import attrs

from lynxchute.upstreams.statement import Statement

# Requests a second from which the rate grows again once a limit has ended, where the
# limit was lower, and the seconds in which it doubles: 64 times as much after the whole
# ramp, more than any upstream that was throttled got before.
RAMP_FLOOR = 1.0
RAMP_DOUBLING_SECONDS = 0.5
RAMP_SECONDS = 3.0
# Seconds without an answer after which a limit is taken for uncertain, and the requests
# a second that all routers together then try it with: one within the four seconds in
# which an upstream bears five beyond what it names.
UNCERTAIN_AFTER_SECONDS = 3.0
TRIAL_RATE = 0.25
# Milliseconds by which another router's reading of the store's clock may be ahead.
MOST_AHEAD_MS = 1000


@attrs.define
class Backpressure:
    """What an upstream wants of all routers, as far as this one has heard.

    Attributes
    ----------
    limit
        Requests a second that it takes from all routers together; None where it names
        none, and after it has ended.
    heard_at
        When something was last heard of its limit, in seconds; 0 for never.
    heard_ms
        The same on the store's clock, in milliseconds.
    ended_at
        When an answer first came without the limit that stood; None where none did.
    before
        The limit that has ended.
    is_unsaid
        Whether it did not name its limit when it was asked beside its requests.
    backoff_until
        Until when it wants nothing from this router, in seconds.
    is_leaving
        Whether it has said that it takes no new work; a process never takes that back.
    """

    limit: float | None = None
    heard_at: float = 0.0
    heard_ms: int = 0
    ended_at: float | None = None
    before: float = 0.0
    is_unsaid: bool = False
    is_leaving: bool = False
    backoff_until: float = 0.0

    def record_answer(
        self,
        statement: Statement,
        *,
        asked_at: float,
        now: float,
        clock_ms: int,
        is_served: bool = True,
    ) -> None:
        """Take what the answer to a request states.

        Answers overtake one another. A lower limit counts at once; a higher one, or
        none, only from an answer to a request that was sent after the limit had last
        been heard, so that it was made later for certain.

        Parameters
        ----------
        is_served
            Whether it answers a request that ran. A refusal ends no limit: it may well
            have been made by what stands before the upstream's work.
        """
        self._take_standing(statement, now)
        limit = statement.limit
        if limit is None and (self.limit is None or not is_served):
            return
        is_lower = limit is not None and (self.limit is None or limit <= self.limit)
        if not is_lower and asked_at < self.heard_at:
            return
        self._take(limit, now, clock_ms, now)

    def note_report(
        self,
        statement: Statement,
        now: float,
        clock_ms: int,
        *,
        is_start_known: bool = True,
    ) -> None:
        """Take the answer to a question that was no request.

        An upstream may name its limit in answers to requests only; so one that does
        not name it here may be tried, no more.

        Parameters
        ----------
        is_start_known
            Whether another process at the upstream's place would be known as such.
            Where it would not, one that does not say here that it leaves is another.
        """
        self._take_standing(statement, now)
        if not is_start_known:
            self.is_leaving = statement.is_leaving
        if statement.limit is not None:
            self._take(statement.limit, now, clock_ms, now)
        elif self.limit is not None:
            self.is_unsaid = True

    def record_peer_limit(
        self, limit: float | None, *, heard_ms: int, now: float, clock_ms: int
    ) -> bool:
        """Take what another router has heard; return whether it is newer.

        Words go on from router to router and come back; by the store's clock each is
        as old everywhere, so that none is taken twice.
        """
        if heard_ms <= self.heard_ms or heard_ms > clock_ms + MOST_AHEAD_MS:
            return False
        age = max(clock_ms - heard_ms, 0) / 1000.0
        self._take(limit, now - age, heard_ms, now)
        return True

    def is_backing_off(self, now: float) -> bool:
        """Return whether it wants nothing from this router for a while."""
        return now < self.backoff_until

    def describe(self, now: float) -> str:
        """Return for people what the upstream wants; empty where it wants nothing."""
        wants = []
        if self.is_leaving:
            wants.append("leaving")
        if self.is_backing_off(now):
            wants.append(f"backoff for {self.backoff_until - now:.1f} s")
        rate = self.rate(now)
        if self.limit is not None:
            wants.append(f"limit {self.limit:g}/s")
        elif rate is not None:
            wants.append(f"coming back at {rate:g}/s")
        return ", ".join(wants)

    def are_news(self, now: float) -> bool:
        """Return whether other routers should know of them."""
        return self.is_leaving or self.rate(now) is not None

    def rate(self, now: float) -> float | None:
        """Return the requests a second that it gets from all routers; None for any."""
        if self.limit is not None:
            if self.is_unsaid and now - self.heard_at >= UNCERTAIN_AFTER_SECONDS:
                return max(self.limit, TRIAL_RATE)
            return self.limit
        if self.ended_at is None or now - self.ended_at >= RAMP_SECONDS:
            return None
        grown = 2.0 ** ((now - self.ended_at) // RAMP_DOUBLING_SECONDS)
        return float(max(self.before, RAMP_FLOOR) * grown)

    def _take_standing(self, statement: Statement, now: float) -> None:
        """Take what a later answer does not take back."""
        self.is_leaving = self.is_leaving or statement.is_leaving
        # Several requests may have been turned away at once: the longest counts.
        self.backoff_until = max(self.backoff_until, now + statement.backoff)

    def _take(
        self, limit: float | None, heard_at: float, heard_ms: int, now: float
    ) -> None:
        self.heard_at = heard_at
        self.heard_ms = max(heard_ms, self.heard_ms)
        self.is_unsaid = False
        if limit is None and self.limit is not None:
            self.before = self.limit
            self.ended_at = now
        if limit is not None:
            self.ended_at = None
        self.limit = limit
