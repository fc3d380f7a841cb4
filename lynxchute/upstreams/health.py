"""Track the health of upstreams by the outcomes of this router's sends."""

from __future__ import annotations

import enum

import attrs


class SendOutcome(enum.Enum):
    """How a send ended.

    Attributes
    ----------
    SERVED
        With a complete response.
    FAILED
        With a response that reports a failure of the upstream.
    DECLINED
        Not run, as the upstream itself reported.
    BROKEN
        Without a complete response.
    UNREACHED
        No connection was established.
    ABANDONED
        The caller or the router did not wait for its end.
    """

    SERVED = "served"
    FAILED = "failed"
    DECLINED = "declined"
    BROKEN = "broken"
    UNREACHED = "unreached"
    ABANDONED = "abandoned"


# Seconds for which an upstream is skipped after one bad outcome, doubled with each
# further one in a row. A connection to a process that has ended fails within a few ms,
# and a restart takes seconds; a full upstream has free slots again within tens of ms.
PAUSES_BY_OUTCOME = {
    SendOutcome.UNREACHED: 0.5,
    SendOutcome.BROKEN: 0.25,
    SendOutcome.DECLINED: 0.05,
    SendOutcome.FAILED: 0.0,
}
MAX_PAUSE = 3.0
# Outcomes that the silence of an upstream explains. A send that is given up because of
# the silence ends as `BROKEN`.
NO_RESPONSE_OUTCOMES = frozenset({SendOutcome.UNREACHED, SendOutcome.BROKEN})

# Weight of the newest outcome in the moving average.
NEWEST_WEIGHT = 0.15
# Half-life of the share of bad outcomes, in seconds. Without the decay, an avoided
# upstream would receive no requests that could show its recovery.
HALF_LIFE_SECONDS = 2.0


@attrs.define
class Health:
    """Health of one upstream, as seen by this router.

    Attributes
    ----------
    bad_in_row
        Consecutive sends whose outcome causes a pause, since the last complete
        response; `FAILED` causes none and is not counted.
    bad_share
        Moving average of the share of bad outcomes, as of `updated_at`.
    updated_at
        When the last send ended, in seconds.
    failure_paused_until
        Until when the upstream is skipped because of failed sends, in seconds.
    lost_share
        Like `bad_share`, but without declined requests: these cost the caller little,
        and the upstream says when it accepts work again.
    silence_paused_until
        Until when the upstream is skipped because it is silent, in seconds.
    silent_at
        When the upstream last showed no sign of life, in seconds.
    """

    bad_in_row: int = 0
    bad_share: float = 0.0
    failure_paused_until: float = 0.0
    updated_at: float = 0.0
    lost_share: float = 0.0
    silence_paused_until: float = 0.0
    silent_at: float = 0.0

    @property
    def paused_until(self) -> float:
        """Return until when the upstream is skipped, in seconds."""
        return max(self.failure_paused_until, self.silence_paused_until)

    def record(self, outcome: SendOutcome, now: float) -> None:
        """Record the outcome of a send."""
        if outcome is SendOutcome.ABANDONED:
            # This outcome carries no information about the upstream.
            return
        bad = outcome is not SendOutcome.SERVED
        lost = bad and outcome is not SendOutcome.DECLINED
        self.lost_share = self.recent_lost_share(now)
        self.bad_share = self.recent_bad_share(now)
        self.updated_at = now
        self.bad_share += NEWEST_WEIGHT * (float(bad) - self.bad_share)
        self.lost_share += NEWEST_WEIGHT * (float(lost) - self.lost_share)
        if not bad:
            self.bad_in_row = 0
            self.resume()
            return
        pause = PAUSES_BY_OUTCOME[outcome]
        if not pause:
            return
        self.bad_in_row += 1
        pause *= 2 ** min(self.bad_in_row - 1, 8)
        until = now + min(pause, MAX_PAUSE)
        if outcome in NO_RESPONSE_OUTCOMES and self.is_silent(now):
            self.silence_paused_until = max(self.silence_paused_until, until)
            self.silent_at = now
            return
        self.failure_paused_until = until

    def record_silence(self, now: float, min_pause: float = 0.0) -> None:
        """Record that the upstream does not respond at all.

        Parameters
        ----------
        now
            Seconds on the steady clock.
        min_pause
            Seconds for which the upstream is skipped at least.
        """
        self.record(SendOutcome.UNREACHED, now)
        # The silence explains earlier failures as well.
        self.silence_paused_until = max(self.paused_until, now + min_pause)
        self.failure_paused_until = 0.0
        self.silent_at = now

    def end_silence(self) -> None:
        """End the pause for silence; one for other failures stays."""
        self.silence_paused_until = 0.0

    def is_silent(self, now: float) -> bool:
        """Return whether the upstream is skipped because it is silent."""
        return now < self.silence_paused_until

    def recent_bad_share(self, now: float) -> float:
        """Return the share of bad outcomes, decayed by the time since the last one."""
        return self.bad_share * self._decay(now)

    def recent_lost_share(self, now: float) -> float:
        """Return the share of lost sends, decayed by the time since the last one."""
        return self.lost_share * self._decay(now)

    def resume(self) -> None:
        """End all pauses at once, because their cause is over."""
        self.failure_paused_until = 0.0
        self.silence_paused_until = 0.0

    def is_paused(self, now: float) -> bool:
        """Return whether the upstream is skipped at the moment."""
        return now < self.paused_until

    def _decay(self, now: float) -> float:
        passed = max(now - self.updated_at, 0.0)
        return float(0.5 ** (passed / HALF_LIFE_SECONDS))
