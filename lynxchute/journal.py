"""The sequence of a router's writes to the platform's table.

A router writes one transaction at a time, each conditional on the row that
its last one left. A transaction whose outcome is unknown is repeated as it
was. One that was refused may still have a late copy on its way; so every
transaction tried at a sequence number is remembered until that number is
taken, and the row tells which of them took it.
"""

from __future__ import annotations

import enum
from typing import Generic, TypeVar

import attrs

from lynxchute.tables.transaction import (
    Add,
    Committed,
    Conflict,
    Outcome,
    Row,
    Swap,
    Transaction,
)

JOURNAL_PREFIX = "journal/"

EntryT = TypeVar("EntryT")


class JournalState(enum.Enum):
    """How far an incarnation has come."""

    OPEN = "open"
    SEALED = "sealed"
    CLOSED = "closed"


def journal_key(incarnation: str) -> str:
    """Return the key of an incarnation's row."""
    return JOURNAL_PREFIX + incarnation


def sealed_row(row: Row) -> Row:
    """Return a row after which its incarnation can write nothing more."""
    return {**row, "state": JournalState.SEALED.value}


def closed_row(row: Row, adopter: str, missing: tuple[str, ...]) -> Row:
    """Return the row of an incarnation whose tokens another has adopted.

    Parameters
    ----------
    missing
        Incarnations that could not be asked what they knew of it, and that
        it could therefore not tell what it knew of them.
    """
    return {
        **row,
        "state": JournalState.CLOSED.value,
        "adopter": adopter,
        "missing": list(missing),
    }


@attrs.frozen
class Attempt(Generic[EntryT]):
    """A transaction tried at the present sequence number."""

    entry: EntryT
    row: Row
    transaction: Transaction


@attrs.define
class Journal(Generic[EntryT]):
    """Number an incarnation's writes and learn which took effect.

    Attributes
    ----------
    incarnation, vm, data_centre
        Whose journal it is.
    row
        The row as last known to stand; None before the first write.
    pending
        The attempt whose outcome is awaited.
    fenced
        Whether another router has sealed the journal.
    abroad
        Other data centres whose routers may keep copies of this
        incarnation's requests; written before the first copy goes there.
    """

    incarnation: str
    vm: str
    data_centre: str
    row: Row | None = None
    pending: Attempt[EntryT] | None = None
    fenced: bool = False
    attempts: list[Attempt[EntryT]] = attrs.Factory(list)
    abroad: tuple[str, ...] = ()

    @property
    def opened(self) -> bool:
        """Return whether the platform knows this incarnation."""
        return self.row is not None

    @property
    def changed(self) -> bool:
        """Return whether the row is to say something else than it does."""
        return self.row is not None and tuple(self.row["abroad"]) != self.abroad

    def prepare(self, entry: EntryT, operations: tuple[Swap | Add, ...]) -> Transaction:
        """Make the next transaction; it is pending until its outcome is told."""
        assert self.pending is None
        sequence = self.row["sequence"] + 1 if self.row else 0
        row: Row = {
            "state": JournalState.OPEN.value,
            "vm": self.vm,
            "data_centre": self.data_centre,
            "abroad": list(self.abroad),
            "sequence": sequence,
            "write": len(self.attempts),
        }
        swap = Swap(journal_key(self.incarnation), self.row, row)
        attempt = Attempt(entry, row, Transaction((swap, *operations)))
        self.attempts.append(attempt)
        self.pending = attempt
        return attempt.transaction

    def learn(self, outcome: Outcome) -> EntryT | None:
        """Take the outcome of the pending transaction.

        Returns
        -------
        EntryT or None
            The entry that took effect at this sequence number, which may be
            one tried before the pending one; None where none has.
        """
        assert self.pending is not None
        pending, self.pending = self.pending, None
        if isinstance(outcome, Committed):
            return self._take(pending)
        return self._learn_conflict(outcome)

    def _learn_conflict(self, conflict: Conflict) -> EntryT | None:
        key = journal_key(self.incarnation)
        if key not in conflict.rows_by_key:
            return None
        found = conflict.rows_by_key[key]
        for attempt in self.attempts:
            if attempt.row == found:
                return self._take(attempt)
        self.fenced = True
        return None

    def _take(self, attempt: Attempt[EntryT]) -> EntryT:
        self.row = attempt.row
        self.attempts.clear()
        return attempt.entry
