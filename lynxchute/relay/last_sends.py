"""Whether a request still ends before its router does."""

from __future__ import annotations

import math

from lynxchute.relay.durations import AnswerDurations
from lynxchute.relay.exchange import Exchange

# Share of a route's answers that must have taken no longer than the remaining time. A
# stream that may be resumed goes on at another router; nothing else does.
SURE_SHARE = 0.95
RESUMABLE_SHARE = 0.5


class LastSends:
    """Decides which requests a stopping router may still pass on.

    Parameters
    ----------
    durations
        How long answers take.

    Attributes
    ----------
    answers_until
        When the router gives up its open requests, in seconds on the steady clock;
        infinite unless it stops.
    """

    def __init__(self, durations: AnswerDurations) -> None:
        self.answers_until = math.inf
        self._durations = durations

    def ends_in_time(self, exchange: Exchange, now: float) -> bool:
        """Return whether a request that is sent now should end before the router.

        What was sent before may be sent again: its outcome may be known only so.
        """
        if exchange.sends or exchange.deadline <= self.answers_until:
            return True
        route = exchange.route
        share = RESUMABLE_SHARE if route.is_resumable else SURE_SHARE
        expected = self._durations.quantile(route.name, share)
        if expected is None:
            return route.is_repeatable
        return now + expected <= self.answers_until
