"""Account for what routers that died around a restore of the store may have used."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lynxchute.budgets.rows import HolderRow, Totals
from lynxchute.budgets.withheld import Withheld

# Milliseconds of silence before a restore after which a router counts as ended before
# the copy was made. Live routers write far more often.
MAX_SILENCE_MS = 60_000


def is_incomplete(row: HolderRow | None, era: int, restored_ms: int | None) -> bool:
    """Return whether a VM's row may lack use of the last seconds before a restore.

    Parameters
    ----------
    row
        The row; None if the store has none, which may be due to the restore.
    era
        The newest era of the store.
    restored_ms
        When the fleet noticed that era, on the store's clock; None if unknown.
    """
    if row is None:
        return era > 0
    return not row.is_closing and is_of_copy(row, era, restored_ms)


def is_of_copy(row: HolderRow, era: int, restored_ms: int | None) -> bool:
    """Return whether the process that wrote a row may have written again since.

    That is so if it wrote the row shortly before the restore and not after it. Its
    grants may have changed since, and so may its limit lines.
    """
    if row.era is None or row.era >= era:
        return False
    return restored_ms is None or row.written_ms >= restored_ms - MAX_SILENCE_MS


@attrs.define(eq=False)
class RestoreAudit:
    """VMs whose use is not known in full since the store came back from a copy.

    What such a VM's router was granted after the copy was made is missing in the
    totals. Once all other routers have written their grants again, it is at most what
    is free; these tokens are withheld until that VM has told its use.

    Parameters
    ----------
    vm
        The own VM.

    Attributes
    ----------
    era
        Era for which the VMs are known.
    vms
        The VMs whose rows are incomplete in that era.
    """

    vm: str
    era: int = 0
    vms: frozenset[str] = frozenset()
    _counted: set[tuple[str, Withheld]] = attrs.Factory(set)

    def record(self, era: int, vms: Iterable[str]) -> None:
        """Record the VMs whose rows are incomplete in an era."""
        self.era = era
        self.vms = frozenset(vms)

    def reset_counted(self) -> None:
        """Have withheld tokens counted again, for a process that starts over."""
        self._counted.clear()

    def record_complete(self, vm: str) -> None:
        """Record that the router of a VM has written its row again."""
        self.vms -= {vm}

    def withhold(self, totals: Totals, free: int) -> Totals | None:
        """Return totals that withhold what is free, or None if that is done.

        Parameters
        ----------
        free
            Tokens of the budget that are neither granted nor withheld.
        """
        named = {vm for key in totals.withheld if key.era == self.era for vm in key.vms}
        missing = self.vms - named
        if not missing:
            return None
        return totals.with_withheld(Withheld.of(self.era, missing), max(free, 0))

    def is_counted(self, totals: Totals) -> bool:
        """Return whether the own VM's use around the restore is known in full."""
        own = totals.withheld_for(self.vm)
        return any(key.era == self.era for key in own) and not any(own.values())

    def mark_counted(self, account: str, totals: Totals) -> int:
        """Mark what is withheld for the own VM as counted.

        Returns
        -------
        int
            The tokens that were not marked before.
        """
        tokens = 0
        for withheld, held_back in totals.withheld_for(self.vm).items():
            if held_back and (account, withheld) not in self._counted:
                self._counted.add((account, withheld))
                tokens += held_back
        return tokens

    def counted_keys(self, account: str, totals: Totals) -> list[Withheld]:
        """Return what is withheld for the own VM and counts as its use already."""
        own = totals.withheld_for(self.vm)
        return [withheld for withheld in own if (account, withheld) in self._counted]
