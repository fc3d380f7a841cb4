"""Judge upstreams by how the own requests to them fare."""

from __future__ import annotations

import enum

import attrs


class SendOutcome(enum.Enum):
    """How a send ended.

    Attributes
    ----------
    SERVED
        With a whole answer.
    FAILED
        With an answer that says that the upstream failed.
    DECLINED
        Not run, on the upstream's own word.
    BROKEN
        Without a whole answer.
    UNREACHED
        No connection came about.
    ABANDONED
        The caller or the router did not wait for its end.
    """

    SERVED = "served"
    FAILED = "failed"
    DECLINED = "declined"
    BROKEN = "broken"
    UNREACHED = "unreached"
    ABANDONED = "abandoned"


# Seconds for which an upstream is passed over after one bad end, doubled with
# each further one in a row. A connection fails within a few ms where a
# process has ended, and a restart takes seconds; a full upstream has room
# again within tens of ms.
PAUSES_BY_FATE = {
    SendOutcome.UNREACHED: 0.5,
    SendOutcome.BROKEN: 0.25,
    SendOutcome.DECLINED: 0.05,
    SendOutcome.FAILED: 0.0,
}
MAX_PAUSE = 3.0

# Weight of the newest outcome in the running share of bad ends.
NEWEST_WEIGHT = 0.15
# Seconds in which that share halves: an upstream that gets nothing has no other way of
# being found well again.
HALVING_SECONDS = 2.0


@attrs.define
class Health:
    """What this router knows of one upstream's health.

    Attributes
    ----------
    bad_in_row
        Bad ends since the last whole answer.
    bad_share
        Running share of sends that ended badly, when the last one ended.
    noted_at
        When that was, in seconds.
    paused_until
        Time before which it is passed over, in seconds.
    lost_share
        As `bad_share`, without what the upstream has declined: that has cost its caller
        little, and ends when the upstream says so.
    """

    bad_in_row: int = 0
    bad_share: float = 0.0
    paused_until: float = 0.0
    noted_at: float = 0.0
    lost_share: float = 0.0

    def record(self, fate: SendOutcome, now: float) -> None:
        """Take the end of a send."""
        if fate is SendOutcome.ABANDONED:
            # It tells nothing of the upstream.
            return
        bad = fate is not SendOutcome.SERVED
        lost = bad and fate is not SendOutcome.DECLINED
        self.lost_share = self.recent_lost_share(now)
        self.bad_share = self.recent_bad_share(now)
        self.noted_at = now
        self.bad_share += NEWEST_WEIGHT * (float(bad) - self.bad_share)
        self.lost_share += NEWEST_WEIGHT * (float(lost) - self.lost_share)
        if not bad:
            self.bad_in_row = 0
            self.paused_until = 0.0
            return
        pause = PAUSES_BY_FATE[fate]
        if not pause:
            return
        self.bad_in_row += 1
        pause *= 2 ** min(self.bad_in_row - 1, 8)
        self.paused_until = now + min(pause, MAX_PAUSE)

    def recent_bad_share(self, now: float) -> float:
        """Return the share of bad ends, less what time has made of it."""
        return self.bad_share * self._left(now)

    def recent_lost_share(self, now: float) -> float:
        """Return the share of lost sends, less what time has made of it."""
        return self.lost_share * self._left(now)

    def resume(self) -> None:
        """Try it again now: what kept it away is over."""
        self.paused_until = 0.0

    def is_paused(self, now: float) -> bool:
        """Return whether it is passed over at the moment."""
        return now < self.paused_until

    def _left(self, now: float) -> float:
        passed = max(now - self.noted_at, 0.0)
        return float(0.5 ** (passed / HALVING_SECONDS))
