"""Encoding of the store rows that hold grants and limit lines."""

from __future__ import annotations

import json

import attrs

from lynxchute.budgets.line import LimitLine
from lynxchute.budgets.share import Terms
from lynxchute.store import RowId
from lynxchute.store.row_value import RowValue, RowValueError, whole_number

TOTALS_TABLE = "budget-totals"
HOLDERS_TABLE = "budget-holders"


class RowDecodeError(Exception):
    """Raised for a row whose value does not match the format of its table."""


@attrs.frozen
class Totals:
    """How a budget is divided among the routers.

    Attributes
    ----------
    granted_by_vm
        Tokens granted to each router, used or unused.
    """

    granted_by_vm: dict[str, int] = attrs.Factory(dict)

    @property
    def granted(self) -> int:
        """Return the tokens granted to all routers together."""
        return sum(self.granted_by_vm.values())

    def with_grant(self, vm: str, granted: int) -> Totals:
        """Return a copy in which one router's grant is replaced."""
        changed = {**self.granted_by_vm, vm: granted}
        return Totals({name: tokens for name, tokens in changed.items() if tokens})

    def encode(self) -> bytes:
        """Return the row's value as JSON."""
        return json.dumps(self.granted_by_vm, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Totals:
        """Parse a row's value.

        Raises
        ------
        RowDecodeError
            If the value is not a JSON object of token counts by VM.
        """
        try:
            found = RowValue.decode(value).fields
            return cls({vm: whole_number(tokens, vm) for vm, tokens in found.items()})
        except RowValueError as error:
            raise RowDecodeError(f"invalid budget totals: {error}") from error


@attrs.frozen
class HolderRow:
    """A router's grants, and the limit lines that bound its use of them.

    Attributes
    ----------
    incarnation
        Id of the router process that wrote the row.
    sequence
        Number of the write, counted within that process.
    """

    incarnation: str
    sequence: int
    terms_by_account: dict[str, Terms]

    def encode(self) -> bytes:
        """Return the row's value as JSON."""
        shares = {}
        for account, terms in self.terms_by_account.items():
            line = terms.line
            # A list without keys keeps the row short: it is written several times
            # a second.
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
        """Parse a row's value.

        Raises
        ------
        RowDecodeError
            If the value is not a holder row.
        """
        try:
            row = RowValue.decode(value)
            terms_by_account = {}
            for account, numbers in row.mapping("shares").items():
                granted, *line = (whole_number(number, account) for number in numbers)
                terms_by_account[account] = Terms(granted, LimitLine(*line))
            return cls(row.text("incarnation"), row.count("sequence"), terms_by_account)
        except (ValueError, TypeError) as error:
            raise RowDecodeError(f"invalid holder row: {error!r}") from error


def totals_id(account: str) -> RowId:
    """Return the id of the row that holds a budget's totals."""
    return RowId(TOTALS_TABLE, account)


def holder_id(vm: str, part: str = "") -> RowId:
    """Return the id of the row that holds a router's grants and limit lines."""
    return RowId(HOLDERS_TABLE, vm, part)
