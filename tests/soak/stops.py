"""Planned stops of routers, and the answers that the end of their time may cut."""

import attrs

# A request that is sent later than this many seconds after SIGTERM must not be cut.
MAX_SEND_DELAY = 3.0
# Share of the grace period at its end in which open requests may be cut.
CUT_SHARE = 1 / 6
# Seconds after the grace period in which an end still counts as part of the stop.
END_SLACK_SECONDS = 1.0
# Seconds within which a router has read a change of its settings file.
RELOAD_SECONDS = 2.0


@attrs.frozen
class RouterStop:
    """A stop of a router by SIGTERM.

    Attributes
    ----------
    start_number
        Which start of the router's process was stopped.
    sent_at
        Time of the event loop's clock at which SIGTERM was sent.
    grace
        Length of the grace period in seconds.
    """

    start_number: int
    sent_at: float
    grace: float

    @property
    def may_cut_from(self):
        """Return the time from which on open requests may be cut."""
        return self.sent_at + self.grace * (1.0 - CUT_SHARE)

    def may_cut(self, record):
        """Return whether this stop's time ended as the answer to a request did.

        The request must have been sent to the process that was stopped.
        """
        if record.start_number != self.start_number:
            return False
        if record.sent_at > self.sent_at + MAX_SEND_DELAY:
            return False
        end = self.sent_at + self.grace + END_SLACK_SECONDS
        return self.may_cut_from <= record.ended_at <= end


@attrs.define
class GraceHistory:
    """The grace periods that a router's settings file had.

    Attributes
    ----------
    first
        The grace period before all changes, in seconds.
    """

    first: float
    _changes: list = attrs.field(factory=list, init=False)

    def add(self, time, grace):
        self._changes.append((time, grace))

    def longest_at(self, time):
        """Return the longest grace period that may be in force at a time."""
        grace = self.first
        pending = []
        for changed_at, changed_grace in self._changes:
            if changed_at > time:
                break
            if changed_at > time - RELOAD_SECONDS:
                pending.append(changed_grace)
                continue
            grace = changed_grace
        return max([grace, *pending])
