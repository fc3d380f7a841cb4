"""Who was told to come back, and does so when it was told.

Answers loads where callers are refused and return: one that keeps to what it was told
should not be refused again, and one that repeats at once should gain nothing by it.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import attrs

# Refusals that are remembered, some 200 bytes each: at 500 refusals a second those of
# four seconds, which is as long as callers are told to stay away.
MOST_TOLD = 2_048
# Seconds by which a caller's clock and the way there may shorten the time.
EARLY_SECONDS = 0.02
# Seconds after the told time for which a place among the first is kept: later than
# that a caller has most likely gone about it anew.
KEPT_SECONDS = 2.0


@attrs.frozen
class _Told:
    """When a caller should be back."""

    back_at: float


class ExpectedRetries:
    """Remember whom a refusal told to come back, and when.

    Parameters
    ----------
    most
        Refusals that are remembered; the oldest are forgotten first.
    """

    def __init__(self, *, most: int = MOST_TOLD) -> None:
        self._most = most
        self._told_by_caller: OrderedDict[tuple[str, str], _Told] = OrderedDict()

    def __len__(self) -> int:
        return len(self._told_by_caller)

    def record_refusal(
        self, account: str, content: str, after: float, now: float
    ) -> None:
        """Remember a refusal.

        Parameters
        ----------
        content
            Names what was asked for, the same for each attempt; empty for what has no
            name and is not remembered.
        after
            Seconds after which its caller should come back.
        """
        if not content or not math.isfinite(after):
            return
        caller = (account, content)
        self._told_by_caller.pop(caller, None)
        while len(self._told_by_caller) >= self._most:
            self._told_by_caller.popitem(last=False)
        self._told_by_caller[caller] = _Told(now + max(after, 0.0))

    def consume(self, account: str, content: str, now: float) -> bool:
        """Return whether a caller comes back as told, and forget that it was.

        One that comes early is no return, and has to wait to be told again.
        """
        told = self._told_by_caller.pop((account, content), None)
        if told is None:
            return False
        return told.back_at - EARLY_SECONDS <= now <= told.back_at + KEPT_SECONDS
