"""A write of the ledger, and what it would make true."""

from __future__ import annotations

import attrs

from lynxchute.budgets.rows import HolderRow, Totals
from lynxchute.store import Write


@attrs.frozen
class Plan:
    """A write and what it would make true.

    Attributes
    ----------
    row
        The router's own row as it would be.
    totals_by_account
        The divisions that it would change.
    """

    write: Write
    row: HolderRow
    totals_by_account: dict[str, Totals]


@attrs.frozen
class KnownTotals:
    """A division as it last stood in the store; version 0 where there is none."""

    totals: Totals
    version: int
