"""Backpressure that an upstream requests in its own responses."""

from __future__ import annotations

import math

import attrs

from lynxchute.upstreams.statement import DeclaredBackpressure

# When a limit ends, the permitted rate starts at the old limit, or at RAMP_FLOOR
# requests a second if that is higher, and doubles every RAMP_DOUBLING_SECONDS. At the
# end of the ramp it is 64 times the start rate, which exceeds what any throttled
# upstream received before.
RAMP_FLOOR = 1.0
RAMP_DOUBLING_SECONDS = 0.5
RAMP_SECONDS = 3.0
# After UNCERTAIN_AFTER_SECONDS without a response an unconfirmed limit is uncertain,
# and all routers together may send at least TRIAL_RATE requests a second: that is one
# request in any four seconds, in which an upstream tolerates five more than its limit.
UNCERTAIN_AFTER_SECONDS = 3.0
TRIAL_RATE = 0.25
# Milliseconds by which a time reported by another router may be ahead of this router's
# reading of the store's clock. Reports that are further ahead are ignored.
MAX_CLOCK_LEAD_MS = 1000


@attrs.define
class Backpressure:
    """Rate limit, backoff and draining state of one upstream, as known to this router.

    Attributes
    ----------
    limit
        Requests a second that the upstream accepts from all routers together; None if
        it declares no limit, and after the limit has ended.
    updated_at
        When information about the limit last arrived, in seconds; 0 for never.
    heard_ms
        The same on the store's clock, in milliseconds.
    ended_at
        When a response first arrived without the limit that was in effect; None if no
        limit has ended.
    previous_limit
        The limit that ended at `ended_at`.
    is_unconfirmed
        Whether the upstream did not repeat its limit in its last probe response.
    max_rejections
        Rejections in a second that the upstream says it survives; None if it is not
        brittle.
    brittle_at, rejected_at
        When it last said so, and when it last rejected a request, in seconds.
    backoff_until
        Until when this router must send nothing to the upstream, in seconds.
    is_leaving
        Whether the upstream has said that it accepts no new work; a process never
        revokes that.
    """

    limit: float | None = None
    updated_at: float = 0.0
    heard_ms: int = 0
    ended_at: float | None = None
    previous_limit: float = 0.0
    is_unconfirmed: bool = False
    is_leaving: bool = False
    backoff_until: float = 0.0
    max_rejections: int | None = None
    brittle_at: float = -math.inf
    rejected_at: float = -math.inf

    def record_answer(
        self,
        statement: DeclaredBackpressure,
        *,
        asked_at: float,
        now: float,
        clock_ms: int,
        is_served: bool = True,
    ) -> None:
        """Record what the response to a request declares.

        Responses can overtake one another. A lower limit applies at once. A higher
        limit, or none, applies only if the request was sent after the last update of
        the limit, so that its response is certainly newer.

        Parameters
        ----------
        is_served
            Whether the request ran. A refusal does not end a limit, because it may come
            from a component in front of the upstream that does not know the limit.
        """
        self._record_lasting_state(statement, now)
        if not is_served:
            self.rejected_at = now
        elif statement.max_rejections is None and asked_at > self.brittle_at:
            self.max_rejections = None
        limit = statement.limit
        if limit is None and (self.limit is None or not is_served):
            return
        is_lower = limit is not None and (self.limit is None or limit <= self.limit)
        if not is_lower and asked_at < self.updated_at:
            return
        self._set_limit(limit, now, clock_ms, now)

    def record_probe_answer(
        self,
        statement: DeclaredBackpressure,
        now: float,
        clock_ms: int,
        *,
        is_start_known: bool = True,
    ) -> None:
        """Record what the response to a probe declares.

        An upstream may declare its limit only in responses to requests. If a probe
        response omits the limit, the limit becomes unconfirmed, which permits trial
        requests and nothing more.

        Parameters
        ----------
        is_start_known
            Whether a new process at the same place can be distinguished from the old
            one. If not, a probe response that no longer says that the upstream is
            draining is taken as a new process.
        """
        self._record_lasting_state(statement, now)
        if not is_start_known:
            self.is_leaving = statement.is_leaving
        if statement.limit is not None:
            self._set_limit(statement.limit, now, clock_ms, now)
        elif self.limit is not None:
            self.is_unconfirmed = True

    def record_peer_limit(
        self, limit: float | None, *, heard_ms: int, now: float, clock_ms: int
    ) -> bool:
        """Record a limit received from another router; return whether it is newer.

        Routers pass limits on to one another, so a limit can come back to its sender.
        Each carries its time on the store's clock, which is the same everywhere, so no
        limit is applied twice.
        """
        if heard_ms <= self.heard_ms or heard_ms > clock_ms + MAX_CLOCK_LEAD_MS:
            return False
        age = max(clock_ms - heard_ms, 0) / 1000.0
        self._set_limit(limit, now - age, heard_ms, now)
        return True

    def is_backing_off(self, now: float) -> bool:
        """Return whether this router must send nothing to the upstream for now."""
        return now < self.backoff_until

    def describe(self, now: float) -> str:
        """Return a readable summary; empty if there is no backpressure."""
        parts = []
        if self.is_leaving:
            parts.append("leaving")
        if self.max_rejections is not None:
            parts.append(f"at most {self.max_rejections} rejections/s")
        if self.is_backing_off(now):
            parts.append(f"backoff for {self.backoff_until - now:.1f} s")
        rate = self.rate(now)
        if self.limit is not None:
            parts.append(f"limit {self.limit:g}/s")
        elif rate is not None:
            parts.append(f"coming back at {rate:g}/s")
        return ", ".join(parts)

    def is_in_effect(self, now: float) -> bool:
        """Return whether other routers should be told of this backpressure."""
        return self.is_leaving or self.rate(now) is not None

    def rate(self, now: float) -> float | None:
        """Return the permitted requests a second of all routers; None if unlimited."""
        if self.limit is not None:
            if self.is_unconfirmed and now - self.updated_at >= UNCERTAIN_AFTER_SECONDS:
                return max(self.limit, TRIAL_RATE)
            return self.limit
        if self.ended_at is None or now - self.ended_at >= RAMP_SECONDS:
            return None
        grown = 2.0 ** ((now - self.ended_at) // RAMP_DOUBLING_SECONDS)
        return float(max(self.previous_limit, RAMP_FLOOR) * grown)

    def _record_lasting_state(
        self, statement: DeclaredBackpressure, now: float
    ) -> None:
        """Record draining and backoff, which a later response does not shorten."""
        self.is_leaving = self.is_leaving or statement.is_leaving
        if statement.max_rejections is not None:
            self.max_rejections = statement.max_rejections
            self.brittle_at = now
        self.record_backoff(statement.backoff, now)

    def record_backoff(self, seconds: float, now: float) -> None:
        """Record a backoff; of several refusals the longest one applies."""
        self.backoff_until = max(self.backoff_until, now + seconds)

    def _set_limit(
        self, limit: float | None, updated_at: float, heard_ms: int, now: float
    ) -> None:
        self.updated_at = updated_at
        self.heard_ms = max(heard_ms, self.heard_ms)
        self.is_unconfirmed = False
        if limit is None and self.limit is not None:
            self.previous_limit = self.limit
            self.ended_at = now
        if limit is not None:
            self.ended_at = None
        self.limit = limit
