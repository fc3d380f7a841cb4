"""Planned writes of the ledger, and budget totals as last read from the store."""

from __future__ import annotations

import attrs

from lynxchute.budgets.rows import HolderRow, Totals
from lynxchute.store import Write


@attrs.frozen
class Plan:
    """A planned store write, and the rows that it would put in place.

    Attributes
    ----------
    row
        The router's own row after the write.
    totals_by_account
        The budget totals that the write changes.
    era
        The newest era of the store that was known to the ledger.
    """

    write: Write
    row: HolderRow
    totals_by_account: dict[str, Totals]
    era: int = 0


@attrs.frozen
class KnownTotals:
    """Budget totals as last read from the store; version 0 if there is no row."""

    totals: Totals
    version: int
