"""Recognise callers that retry at the time they were told.

Handles callers that are refused and retry. One that keeps to its retry time should not
be refused again, and one that retries at once should gain nothing by it.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import attrs

# Refusals that are remembered, at some 200 bytes each. At 500 refusals a second this
# covers four seconds, the longest retry delay that callers are given.
MAX_ENTRIES = 2_048
# Seconds by which a retry may be early, because of the caller's clock or network delay.
EARLY_TOLERANCE_SECONDS = 0.02
# Seconds after the retry time for which a retry still has precedence; a later attempt
# is most likely unrelated to the refusal.
LATE_TOLERANCE_SECONDS = 2.0


@attrs.frozen
class _ExpectedRetry:
    """The time at which a caller should retry."""

    retry_at: float


class ExpectedRetries:
    """Remember which callers were refused, and when they should retry.

    Parameters
    ----------
    max_entries
        Refusals that are remembered; the oldest are evicted first.
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._retry_by_caller: OrderedDict[tuple[str, str], _ExpectedRetry] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._retry_by_caller)

    def record_refusal(
        self, account: str, content: str, after: float, now: float
    ) -> None:
        """Record a refusal with the delay after which the caller should retry.

        Parameters
        ----------
        content
            Id of the request's content, the same for each attempt. Requests with an
            empty id are not recorded.
        after
            Seconds after which the caller should retry.
        """
        if not content or not math.isfinite(after):
            return
        caller = (account, content)
        self._retry_by_caller.pop(caller, None)
        while len(self._retry_by_caller) >= self._max_entries:
            self._retry_by_caller.popitem(last=False)
        self._retry_by_caller[caller] = _ExpectedRetry(now + max(after, 0.0))

    def consume(self, account: str, content: str, now: float) -> bool:
        """Return whether a request is a retry at the expected time; drop the record.

        The record is also dropped for an early retry, so that its caller gains nothing.
        """
        expected = self._retry_by_caller.pop((account, content), None)
        if expected is None:
            return False
        return (
            expected.retry_at - EARLY_TOLERANCE_SECONDS
            <= now
            <= expected.retry_at + LATE_TOLERANCE_SECONDS
        )
