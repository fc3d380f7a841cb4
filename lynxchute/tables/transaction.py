"""Transactions of the platform's table service.

A transaction is a list of operations that take effect together or not at
all. Rows are flat JSON objects under a string key.

Examples
--------
>>> swap = Swap(key="claim/7", expect=None, row={"by": "kyu-a-1"})
>>> Transaction(operations=(swap,)).to_json()["operations"][0]["op"]
'swap'
"""

from __future__ import annotations

from typing import Any

import attrs

Row = dict[str, Any]


@attrs.frozen
class Swap:
    """Replace a row that is still as expected.

    Attributes
    ----------
    key
        The row's key.
    expect
        The row as it must stand now; None where there must be none.
    row
        The row as it stands afterwards; None removes it.
    """

    key: str
    expect: Row | None
    row: Row | None


@attrs.frozen
class Add:
    """Add to the number columns of a row, none of which may fall below zero."""

    key: str
    columns: dict[str, int]


@attrs.frozen
class Transaction:
    """Operations that take effect together or not at all."""

    operations: tuple[Swap | Add, ...]

    def to_json(self) -> dict[str, Any]:
        """Return the transaction as the service takes it."""
        items: list[dict[str, Any]] = []
        for operation in self.operations:
            kind = "swap" if isinstance(operation, Swap) else "add"
            items.append({"op": kind, **attrs.asdict(operation, recurse=False)})
        return {"operations": items}

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> Transaction:
        """Return the transaction that a client sent."""
        operations: list[Swap | Add] = []
        for item in value["operations"]:
            if item["op"] == "swap":
                operations.append(Swap(item["key"], item["expect"], item["row"]))
                continue
            operations.append(Add(item["key"], item["columns"]))
        return cls(tuple(operations))


@attrs.frozen
class Committed:
    """Say that every operation took effect.

    Attributes
    ----------
    rows_by_key
        The changed rows as they stood just afterwards.
    """

    rows_by_key: dict[str, Row]


@attrs.frozen
class Conflict:
    """Say that no operation took effect.

    Attributes
    ----------
    rows_by_key
        The rows that stood in the way; None where a row was missing.
    """

    rows_by_key: dict[str, Row | None]


Outcome = Committed | Conflict
