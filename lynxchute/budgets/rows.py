"""The rows in which the store keeps grants and lines."""

from __future__ import annotations

import json

import attrs

from lynxchute.budgets.line import Line
from lynxchute.budgets.share import Terms
from lynxchute.store import RowId
from lynxchute.store.row_value import RowValue, ValueUnreadable, whole

TOTALS_TABLE = "budget-totals"
HOLDERS_TABLE = "budget-holders"


class RowDecodeError(Exception):
    """Report a row that does not hold what its table holds."""


@attrs.frozen
class Totals:
    """How a budget is divided.

    Attributes
    ----------
    granted_by_vm
        Tokens granted to each router, whether used or not.
    """

    granted_by_vm: dict[str, int] = attrs.Factory(dict)

    @property
    def granted(self) -> int:
        """Return the tokens that are granted in all."""
        return sum(self.granted_by_vm.values())

    def with_grant(self, vm: str, granted: int) -> Totals:
        """Return the division with another grant for one router."""
        changed = {**self.granted_by_vm, vm: granted}
        return Totals({name: tokens for name, tokens in changed.items() if tokens})

    def encode(self) -> bytes:
        """Return the value of the row."""
        return json.dumps(self.granted_by_vm, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Totals:
        """Return what a row says.

        Raises
        ------
        RowUnreadable
            Where it says nothing of the kind.
        """
        try:
            found = RowValue.decode(value).fields
            return cls({vm: whole(tokens, vm) for vm, tokens in found.items()})
        except ValueUnreadable as error:
            raise RowDecodeError(f"no totals: {error}") from error


@attrs.frozen
class HolderRow:
    """What a router has been granted, and the lines that it keeps to.

    Attributes
    ----------
    incarnation
        The run of the router's process that wrote the row.
    sequence
        Counts the writes of that run.
    """

    incarnation: str
    sequence: int
    terms_by_account: dict[str, Terms]

    def encode(self) -> bytes:
        """Return the value of the row."""
        shares = {}
        for account, terms in self.terms_by_account.items():
            line = terms.line
            # By position: the row is written some times a second.
            shares[account] = [
                terms.granted,
                line.base,
                line.rate,
                line.outage_rate,
                line.start_ms,
            ]
        row = {
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "shares": shares,
        }
        return json.dumps(row, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> HolderRow:
        """Return what a row says.

        Raises
        ------
        RowUnreadable
            Where it says nothing of the kind.
        """
        try:
            row = RowValue.decode(value)
            terms_by_account = {}
            for account, numbers in row.mapping("shares").items():
                granted, *line = (whole(number, account) for number in numbers)
                terms_by_account[account] = Terms(granted, Line(*line))
            return cls(row.text("incarnation"), row.count("sequence"), terms_by_account)
        except (ValueError, TypeError) as error:
            raise RowDecodeError(f"no holder: {error!r}") from error


def totals_id(account: str) -> RowId:
    """Return where the division of a budget stands."""
    return RowId(TOTALS_TABLE, account)


def holder_id(vm: str, part: str = "") -> RowId:
    """Return where a router's grants and lines stand."""
    return RowId(HOLDERS_TABLE, vm, part)
