"""Encoding of the store rows that hold grants and limit lines."""

from __future__ import annotations

import json
from collections.abc import Iterable

import attrs

from lynxchute.budgets.line import LimitLine
from lynxchute.budgets.share import Terms
from lynxchute.budgets.withheld import KEY_PREFIX, Withheld
from lynxchute.store import RowId
from lynxchute.store.row_value import RowValue, whole_number

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
    withheld
        Tokens that no router may be granted, as routers that died around a restore of
        the store may have used them. 0 tokens record that there was nothing to withhold
        or that a router has counted them as used.
    """

    granted_by_vm: dict[str, int] = attrs.Factory(dict)
    withheld: dict[Withheld, int] = attrs.Factory(dict)

    @property
    def granted(self) -> int:
        """Return the tokens that are not free: granted to any router, or withheld."""
        return sum(self.granted_by_vm.values()) + sum(self.withheld.values())

    def with_grant(self, vm: str, granted: int) -> Totals:
        """Return a copy in which one router's grant is replaced."""
        changed = {**self.granted_by_vm, vm: granted}
        return attrs.evolve(
            self,
            granted_by_vm={name: tokens for name, tokens in changed.items() if tokens},
        )

    def with_withheld(self, withheld: Withheld, tokens: int) -> Totals:
        """Return a copy that withholds tokens, without records of earlier eras."""
        kept = {
            other: left
            for other, left in self.withheld.items()
            if left or other.era >= withheld.era
        }
        return attrs.evolve(self, withheld={**kept, withheld: tokens})

    def withheld_for(self, vm: str) -> dict[Withheld, int]:
        """Return the tokens that are withheld on behalf of a VM, among others."""
        return {
            withheld: tokens
            for withheld, tokens in self.withheld.items()
            if vm in withheld.vms
        }

    def without(self, withheld: Iterable[Withheld]) -> Totals:
        """Return a copy without tokens that a router counts as used."""
        counted = dict.fromkeys(withheld, 0)
        return attrs.evolve(self, withheld={**self.withheld, **counted})

    def released_by(self, vm: str, granted: int) -> Totals:
        """Return a copy after the router of a VM has told its actual grant.

        What it has been granted beyond the listed grant is taken out of the tokens that
        are withheld for it. The rest stays withheld for the other VMs, if any.
        """
        more = max(granted - self.granted_by_vm.get(vm, 0), 0)
        withheld = dict(self.withheld)
        for key, tokens in self.withheld_for(vm).items():
            del withheld[key]
            taken = min(more, tokens)
            more -= taken
            others = key.without(vm)
            if others.vms:
                withheld[others] = withheld.get(others, 0) + tokens - taken
        return attrs.evolve(self, withheld=withheld).with_grant(vm, granted)

    def encode(self) -> bytes:
        """Return the row's value as JSON."""
        tokens_by_key = dict(self.granted_by_vm)
        for withheld, tokens in self.withheld.items():
            tokens_by_key[withheld.key] = tokens
        return json.dumps(tokens_by_key, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Totals:
        """Parse a row's value.

        Raises
        ------
        RowDecodeError
            If the value is not a JSON object of token counts by VM.
        """
        try:
            granted_by_vm = {}
            withheld = {}
            for key, count in RowValue.decode(value).fields.items():
                tokens = whole_number(count, key)
                if key.startswith(KEY_PREFIX):
                    withheld[Withheld.parse(key)] = tokens
                else:
                    granted_by_vm[key] = tokens
            return cls(granted_by_vm, withheld)
        except ValueError as error:
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
    era
        Newest era of the store up to which the row covers all that the VM's routers
        have used; None in rows of builds that do not know eras.
    written_ms
        When the write was planned, in milliseconds on the store's clock.
    is_closing
        Whether its process was stopping, so that neither its grants nor its use rise.
    """

    incarnation: str
    sequence: int
    terms_by_account: dict[str, Terms]
    era: int | None = None
    written_ms: int = 0
    is_closing: bool = False

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
            "era": self.era,
            "written_ms": self.written_ms,
        }
        if self.is_closing:
            row["closing"] = True
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
            return cls(
                row.text("incarnation"),
                row.count("sequence"),
                terms_by_account,
                era=row.count("era", default=None),
                written_ms=row.count("written_ms", default=0),
                is_closing=row.flag("closing", default=False),
            )
        except (ValueError, TypeError) as error:
            raise RowDecodeError(f"invalid holder row: {error!r}") from error


def totals_id(account: str) -> RowId:
    """Return the id of the row that holds a budget's totals."""
    return RowId(TOTALS_TABLE, account)


def holder_id(vm: str, part: str = "") -> RowId:
    """Return the id of the row that holds a router's grants and limit lines."""
    return RowId(HOLDERS_TABLE, vm, part)
