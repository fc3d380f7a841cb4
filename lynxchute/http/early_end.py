"""Ends of connections that come before the peer has the whole request.

A response with neither a length nor chunks ends with its connection. That end proves
the response whole if the peer had the request: one that stops reading may be failing,
and then resets the connection. So the end counts only once the peer has acknowledged
the rest of the request and no reset has followed.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

# Seconds without progress after which the peer does not read the request any more.
STALL_SECONDS = 0.5
# Seconds for which a reset may follow once the peer has acknowledged the request.
SETTLE_SECONDS = 0.25
POLL_SECONDS = 0.01


class EndVerdict(enum.Enum):
    """What the end of a connection says about a response without a length."""

    PENDING = "pending"
    WHOLE = "whole"
    BROKEN = "broken"


class EarlyEnd:
    """Decide whether an early end of a connection is that of the response.

    Parameters
    ----------
    unacknowledged
        Bytes of the request that the peer has not acknowledged.
    now
        Time of the end, in seconds.

    Examples
    --------
    >>> end = EarlyEnd(1000, 0.0)
    >>> [end.observe(400, 0.4), end.observe(0, 0.6), end.observe(0, 0.9)]
    [<EndVerdict.PENDING: 'pending'>, <EndVerdict.PENDING: 'pending'>, \
<EndVerdict.WHOLE: 'whole'>]
    >>> EarlyEnd(1000, 0.0).observe(1000, 0.5)
    <EndVerdict.BROKEN: 'broken'>
    """

    def __init__(self, unacknowledged: int, now: float) -> None:
        self.unacknowledged = unacknowledged
        self._progressed_at = now

    def observe(self, unacknowledged: int, now: float) -> EndVerdict:
        """Return what is known, given what is unacknowledged at a time in seconds."""
        if unacknowledged < self.unacknowledged:
            self._progressed_at = now
        self.unacknowledged = unacknowledged
        quiet_seconds = now - self._progressed_at
        if unacknowledged:
            is_stalled = quiet_seconds >= STALL_SECONDS
            return EndVerdict.BROKEN if is_stalled else EndVerdict.PENDING
        is_settled = quiet_seconds >= SETTLE_SECONDS
        return EndVerdict.WHOLE if is_settled else EndVerdict.PENDING


class EarlyEndWatch:
    """Observe a connection after an early end until a decision is possible.

    Parameters
    ----------
    unacknowledged
        Returns the bytes of the request that the peer has not acknowledged.
    pending_error
        Returns the error that the kernel has recorded for the connection, or None.
    on_verdict
        Called once, with the reason why the response is broken, or None if it is whole.
    """

    def __init__(
        self,
        unacknowledged: Callable[[], int],
        pending_error: Callable[[], OSError | None],
        on_verdict: Callable[[OSError | None], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._unacknowledged = unacknowledged
        self._pending_error = pending_error
        self._on_verdict = on_verdict
        self._end = EarlyEnd(unacknowledged(), self._loop.time())
        self._timer = self._loop.call_later(POLL_SECONDS, self._poll)

    @property
    def missing_bytes(self) -> int:
        """Return the bytes of the request that the peer had not acknowledged."""
        return self._end.unacknowledged

    def cancel(self) -> None:
        """Observe no further."""
        self._timer.cancel()

    def _poll(self) -> None:
        error = self._pending_error()
        if error is not None:
            self._on_verdict(error)
            return
        verdict = self._end.observe(self._unacknowledged(), self._loop.time())
        if verdict is EndVerdict.WHOLE:
            self._on_verdict(None)
        elif verdict is EndVerdict.BROKEN:
            self._on_verdict(ConnectionAbortedError("the rest is not read"))
        else:
            self._timer = self._loop.call_later(POLL_SECONDS, self._poll)
