"""What each client account uses of one VM."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from lynxchute.overload.shares import AccountShares

# Seconds over which use fades: some requests of each account that is worth weighing.
FADE_SECONDS = 2.0
# Use below which an account is forgotten.
LEAST_USE = 1e-3
# Accounts that are weighed at once; those with the least use are forgotten beyond.
MAX_ACCOUNTS = 1_000


class LocalShares(AccountShares):
    """Divide one VM among the accounts whose callers reach it.

    The load that it answers is one account that sends more than the VM carries: its
    excess goes elsewhere, and the callers of small accounts stay.

    Parameters
    ----------
    kept
        Returns the share of the present use that the VM can go on with.
    """

    def __init__(self, kept: Callable[[], float]) -> None:
        self._kept = kept
        self._use_by_account: dict[str, float] = {}
        self._at = 0.0

    def record_use(self, account: str, cost: float, now: float) -> None:
        """Count what a request of an account costs."""
        if not (math.isfinite(cost) and cost > 0.0):
            return
        self._fade(now)
        self._use_by_account[account] = self._use_by_account.get(account, 0.0) + cost
        if len(self._use_by_account) > MAX_ACCOUNTS:
            least = min(self._use_by_account, key=self._use_by_account.__getitem__)
            del self._use_by_account[least]

    def excess(self, account: str, now: float) -> float:
        """Return how many times its fair share an account has used of late."""
        self._fade(now)
        use = self._use_by_account.get(account, 0.0)
        if use < LEAST_USE:
            return 0.0
        uses = self._use_by_account.values()
        level = fair_level(uses, sum(uses) * _share(self._kept()))
        return use / max(level, LEAST_USE)

    def _fade(self, now: float) -> None:
        passed, self._at = now - self._at, now
        if not passed > 0.0:
            return
        kept = math.exp(-passed / FADE_SECONDS)
        for account, use in list(self._use_by_account.items()):
            if use * kept < LEAST_USE:
                del self._use_by_account[account]
                continue
            self._use_by_account[account] = use * kept


def fair_level(uses: Iterable[float], capacity: float) -> float:
    """Return the most that one may use where all together may use a capacity.

    Examples
    --------
    >>> fair_level([1.0, 2.0, 9.0], 8.0)
    5.0
    >>> fair_level([1.0, 2.0], 8.0)
    2.0
    """
    left, level = capacity, 0.0
    ascending = sorted(uses)
    for index, use in enumerate(ascending):
        level = left / (len(ascending) - index)
        if use > level:
            return level
        left -= use
        level = use
    return level


def _share(kept: float) -> float:
    """Return a share between none and all, whatever was measured."""
    if not kept > 0.0:
        return 0.0
    return min(kept, 1.0)
