"""Bound the memory held by responses whose callers read slowly."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import attrs

# The total is divided by these for the bounds of one account and of one connection, so
# that several accounts with slow readers leave room for others, and one connection
# never uses up its account's bound.
ACCOUNT_DIVISOR = 3
CONNECTION_DIVISOR = 32
# Bytes that every connection may hold: one or two chunks of any stream.
MIN_CONNECTION_BYTES = 65536
# Once a bound is exceeded, responses are cut until the held bytes are down to this
# share of the bound, so that the bound is not exceeded again with each further chunk.
TARGET_SHARE = 0.9
# Responses that hold less than this share of the mean are never cut, as little memory
# would be freed.
MIN_SHARE_OF_MEAN = 0.5
# Seconds of buffering after which a read rate is meaningful.
MIN_RATE_SECONDS = 2.0


class AnswerBuffer(ABC):
    """The unread part of the responses on one caller's connection.

    Attributes
    ----------
    account
        The client account of the responses; empty if unknown.
    """

    account: str = ""

    @property
    @abstractmethod
    def held_bytes(self) -> int:
        """Return the bytes that are buffered for the caller."""

    @property
    @abstractmethod
    def read_bytes(self) -> int:
        """Return the bytes that the caller has read since it connected."""

    @abstractmethod
    def cut(self) -> None:
        """Abort the response so that the caller cannot take it for a complete one."""


@attrs.frozen
class BufferBounds:
    """Upper bounds on buffered bytes: in total, per account and per connection."""

    total: int
    by_account: int
    by_connection: int

    @classmethod
    def of_total(cls, total: int) -> BufferBounds:
        """Return the bounds derived from a total.

        Examples
        --------
        >>> BufferBounds.of_total(32_000_000)
        BufferBounds(total=32000000, by_account=10666666, by_connection=1000000)
        """
        by_connection = max(total // CONNECTION_DIVISOR, MIN_CONNECTION_BYTES)
        return cls(total, total // ACCOUNT_DIVISOR, by_connection)


@attrs.define(eq=False)
class _BufferState:
    """The state of one buffer when it was last checked.

    Attributes
    ----------
    started_at
        When data began to be buffered, in seconds.
    read_at_start
        Bytes that the caller had read by then.
    size
        Bytes that are buffered.
    """

    buffer: AnswerBuffer
    account: str
    started_at: float
    read_at_start: int
    size: int = 0

    def speed(self, now: float) -> float:
        """Return the rate at which the caller reads, in bytes per second."""
        seconds = max(now - self.started_at, MIN_RATE_SECONDS)
        return (self.buffer.read_bytes - self.read_at_start) / seconds

    def has_known_rate(self, now: float) -> bool:
        """Return whether data was buffered long enough to measure the read rate."""
        return now - self.started_at >= MIN_RATE_SECONDS


@attrs.frozen
class CutAnswer:
    """A response that was aborted to free memory.

    Attributes
    ----------
    held
        Bytes that were buffered.
    speed
        Rate at which the caller had read, in bytes per second.
    """

    account: str
    held: int
    speed: float


class MemoryGuard:
    """Keep the memory buffered for slow readers within bounds.

    Handles many callers, or all callers of one account, that read a hundred times
    slower than their responses are produced. Other callers need the process to keep
    running and their own responses not to wait. So the largest, slowest-read responses
    are cut first, and responses that hold little memory are never cut.

    Parameters
    ----------
    bounds
        The limits on buffered bytes.
    on_cut
        Called with each response that was cut.

    Attributes
    ----------
    held
        Total bytes buffered, as last seen.
    """

    def __init__(
        self,
        bounds: BufferBounds,
        on_cut: Callable[[CutAnswer], None] = lambda cut: None,
    ) -> None:
        self.bounds = bounds
        self.held = 0
        self._on_cut = on_cut
        self._state_by_buffer: dict[AnswerBuffer, _BufferState] = {}
        self._held_by_account: dict[str, int] = {}

    def update(self, buffer: AnswerBuffer, now: float) -> None:
        """Update the size of a buffer; cut responses if a bound is exceeded.

        Parameters
        ----------
        now
            Seconds on the steady clock.
        """
        size = buffer.held_bytes
        state = self._state_by_buffer.get(buffer)
        if state is None:
            if not size:
                return
            state = _BufferState(buffer, buffer.account, now, buffer.read_bytes)
            self._state_by_buffer[buffer] = state
        if not size:
            self.drop(buffer)
            return
        self._resize(state, size)
        if self._held_by_account[state.account] > self.bounds.by_account:
            self._enforce_account_bound(state.account, now)
        if self.held > self.bounds.total:
            self._enforce_total_bound(now)

    def drop(self, buffer: AnswerBuffer) -> None:
        """Stop tracking a buffer whose caller has read everything or disconnected."""
        state = self._state_by_buffer.pop(buffer, None)
        if state is not None:
            self._resize(state, 0)

    def has_room(self, buffer: AnswerBuffer) -> bool:
        """Return whether a connection may buffer more data."""
        return buffer.held_bytes < self.bounds.by_connection

    def _enforce_account_bound(self, account: str, now: float) -> None:
        self._refresh(self._states_of(account))
        if self._held_by_account.get(account, 0) <= self.bounds.by_account:
            return
        target = int(self.bounds.by_account * TARGET_SHARE)
        while self._held_by_account.get(account, 0) > target:
            self._cut_slowest(account, now)

    def _enforce_total_bound(self, now: float) -> None:
        self._refresh(list(self._state_by_buffer.values()))
        if self.held <= self.bounds.total:
            return
        while self.held > self.bounds.total * TARGET_SHARE:
            totals = self._held_by_account
            self._cut_slowest(max(totals, key=lambda account: totals[account]), now)

    def _cut_slowest(self, account: str, now: float) -> None:
        """Cut the slowest-read response among the larger ones of an account."""
        candidates = self._states_of(account)
        mean = sum(state.size for state in candidates) / len(candidates)
        large = [
            state for state in candidates if state.size >= mean * MIN_SHARE_OF_MEAN
        ]
        rated = [state for state in large if state.has_known_rate(now)] or large
        slowest = min(rated, key=lambda state: (state.speed(now), -state.size))
        cut = CutAnswer(account, slowest.size, slowest.speed(now))
        self.drop(slowest.buffer)
        slowest.buffer.cut()
        self._on_cut(cut)

    def _states_of(self, account: str) -> list[_BufferState]:
        found = []
        for state in self._state_by_buffer.values():
            if state.account == account:
                found.append(state)
        return found

    def _refresh(self, states: Iterable[_BufferState]) -> None:
        """Update the sizes of buffers, as reads by callers cause no notification."""
        for state in states:
            size = state.buffer.held_bytes
            if size:
                self._resize(state, size)
            else:
                self.drop(state.buffer)

    def _resize(self, state: _BufferState, size: int) -> None:
        change = size - state.size
        state.size = size
        self.held += change
        total = self._held_by_account.get(state.account, 0) + change
        if total:
            self._held_by_account[state.account] = total
        else:
            self._held_by_account.pop(state.account, None)
