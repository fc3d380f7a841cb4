"""Bound the memory that answers take while their callers read them slowly."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import attrs

# Parts of the total that one account and one connection may hold: some accounts with
# slow readers leave room for the others, and one connection never fills an account.
ACCOUNT_PART = 3
CONNECTION_PART = 32
# Bytes that a connection may always hold: a piece or two of any stream.
LEAST_BY_CONNECTION = 65536
# Once a bound is passed answers are cut until this share of it is left, so that not
# each further piece finds it passed again.
RELIEVED_SHARE = 0.9
# Who holds less than this share of the mean is never cut: it would make no room.
LARGE_SHARE = 0.5
# Seconds after which it is known how fast an answer is read.
SETTLED_SECONDS = 2.0


class AnswerBuffer(ABC):
    """One caller's connection, for which answers may wait in memory.

    Attributes
    ----------
    account
        Whose answers they are; empty where that is not known.
    """

    account: str = ""

    @property
    @abstractmethod
    def held_bytes(self) -> int:
        """Return what waits for the caller now, in bytes."""

    @property
    @abstractmethod
    def read_bytes(self) -> int:
        """Return what the caller has taken since it connected, in bytes."""

    @abstractmethod
    def cut(self) -> None:
        """Break the answer off, so that it never looks whole."""


@attrs.frozen
class BufferBounds:
    """What may wait in memory, in bytes."""

    total: int
    by_account: int
    by_connection: int

    @classmethod
    def of_total(cls, total: int) -> BufferBounds:
        """Return the bounds that go with a total.

        Examples
        --------
        >>> BufferBounds.of_total(32_000_000)
        BufferBounds(total=32000000, by_account=10666666, by_connection=1000000)
        """
        by_connection = max(total // CONNECTION_PART, LEAST_BY_CONNECTION)
        return cls(total, total // ACCOUNT_PART, by_connection)


@attrs.define(eq=False)
class _Held:
    """What waits for one caller, as last seen.

    Attributes
    ----------
    since
        When it began to wait, in seconds.
    read_before
        What the caller had taken by then.
    """

    holder: AnswerBuffer
    account: str
    since: float
    read_before: int
    size: int = 0

    def speed(self, now: float) -> float:
        """Return how fast it is read, in bytes a second."""
        seconds = max(now - self.since, SETTLED_SECONDS)
        return (self.holder.read_bytes - self.read_before) / seconds

    def is_settled(self, now: float) -> bool:
        """Return whether it has waited long enough to tell how fast it is read."""
        return now - self.since >= SETTLED_SECONDS


@attrs.frozen
class CutAnswer:
    """An answer that was broken off.

    Attributes
    ----------
    held
        Bytes that waited.
    speed
        Bytes a second that its caller had read of late.
    """

    account: str
    held: int
    speed: float


class MemoryGuard:
    """Keep what waits for slow readers within bounds.

    The load that it answers: many callers, or one account's, who read a hundredth as
    fast as their answers are made. What the others need is that the process goes on
    and that their own answers do not wait; so who holds much and reads slowest ends
    first, and nobody who holds little.

    Parameters
    ----------
    bounds
        What may wait.
    on_cut
        Told of each answer that is broken off.

    Attributes
    ----------
    held
        Bytes that wait now, as last seen.
    """

    def __init__(
        self,
        bounds: BufferBounds,
        on_cut: Callable[[CutAnswer], None] = lambda cut: None,
    ) -> None:
        self.bounds = bounds
        self.held = 0
        self._on_cut = on_cut
        self._held_by_holder: dict[AnswerBuffer, _Held] = {}
        self._total_by_account: dict[str, int] = {}

    def update(self, holder: AnswerBuffer, now: float) -> None:
        """Take what waits for a caller now; cut answers where a bound is passed.

        Parameters
        ----------
        now
            Seconds on the steady clock.
        """
        size = holder.held_bytes
        held = self._held_by_holder.get(holder)
        if held is None:
            if not size:
                return
            held = _Held(holder, holder.account, now, holder.read_bytes)
            self._held_by_holder[holder] = held
        if not size:
            self.drop(holder)
            return
        self._resize(held, size)
        if self._total_by_account[held.account] > self.bounds.by_account:
            self._relieve_account(held.account, now)
        if self.held > self.bounds.total:
            self._relieve_all(now)

    def drop(self, holder: AnswerBuffer) -> None:
        """Forget a caller, who has read all or left."""
        held = self._held_by_holder.pop(holder, None)
        if held is not None:
            self._resize(held, 0)

    def has_room(self, holder: AnswerBuffer) -> bool:
        """Return whether a connection may hold more than it does."""
        return holder.held_bytes < self.bounds.by_connection

    def _relieve_account(self, account: str, now: float) -> None:
        self._refresh(self._of(account))
        if self._total_by_account.get(account, 0) <= self.bounds.by_account:
            return
        left = int(self.bounds.by_account * RELIEVED_SHARE)
        while self._total_by_account.get(account, 0) > left:
            self._cut_one(account, now)

    def _relieve_all(self, now: float) -> None:
        self._refresh(list(self._held_by_holder.values()))
        if self.held <= self.bounds.total:
            return
        while self.held > self.bounds.total * RELIEVED_SHARE:
            totals = self._total_by_account
            self._cut_one(max(totals, key=lambda account: totals[account]), now)

    def _cut_one(self, account: str, now: float) -> None:
        """Cut the answer of an account that is read slowest among the large ones."""
        candidates = self._of(account)
        mean = sum(held.size for held in candidates) / len(candidates)
        large = [held for held in candidates if held.size >= mean * LARGE_SHARE]
        settled = [held for held in large if held.is_settled(now)] or large
        slowest = min(settled, key=lambda held: (held.speed(now), -held.size))
        cut = CutAnswer(account, slowest.size, slowest.speed(now))
        self.drop(slowest.holder)
        slowest.holder.cut()
        self._on_cut(cut)

    def _of(self, account: str) -> list[_Held]:
        found = []
        for held in self._held_by_holder.values():
            if held.account == account:
                found.append(held)
        return found

    def _refresh(self, entries: Iterable[_Held]) -> None:
        """See what has been read meanwhile; nothing tells when a caller reads."""
        for held in entries:
            size = held.holder.held_bytes
            if size:
                self._resize(held, size)
            else:
                self.drop(held.holder)

    def _resize(self, held: _Held, size: int) -> None:
        change = size - held.size
        held.size = size
        self.held += change
        total = self._total_by_account.get(held.account, 0) + change
        if total:
            self._total_by_account[held.account] = total
        else:
            self._total_by_account.pop(held.account, None)
