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
    paused_until
        Until when the upstream is skipped, in seconds.
    lost_share
        Like `bad_share`, but without declined requests: these cost the caller little,
        and the upstream says when it accepts work again.
    """

    bad_in_row: int = 0
    bad_share: float = 0.0
    paused_until: float = 0.0
    updated_at: float = 0.0
    lost_share: float = 0.0

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
            self.paused_until = 0.0
            return
        pause = PAUSES_BY_OUTCOME[outcome]
        if not pause:
            return
        self.bad_in_row += 1
        pause *= 2 ** min(self.bad_in_row - 1, 8)
        self.paused_until = now + min(pause, MAX_PAUSE)

    def recent_bad_share(self, now: float) -> float:
        """Return the share of bad outcomes, decayed by the time since the last one."""
        return self.bad_share * self._decay(now)

    def recent_lost_share(self, now: float) -> float:
        """Return the share of lost sends, decayed by the time since the last one."""
        return self.lost_share * self._decay(now)

    def extend_pause(self, until: float) -> None:
        """Pause until a time at least, in seconds."""
        self.paused_until = max(self.paused_until, until)

    def resume(self) -> None:
        """End the pause at once, because its cause is over."""
        self.paused_until = 0.0

    def is_paused(self, now: float) -> bool:
        """Return whether the upstream is skipped at the moment."""
        return now < self.paused_until

    def _decay(self, now: float) -> float:
        passed = max(now - self.updated_at, 0.0)
        return float(0.5 ** (passed / HALF_LIFE_SECONDS))
