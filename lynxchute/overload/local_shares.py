"""Track the use of one VM by each client account."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from lynxchute.overload.shares import AccountShares

# Time constant of the decay in seconds: long enough for a few requests of any account
# with noticeable use.
DECAY_SECONDS = 2.0
# Accounts whose use is below this are dropped.
MIN_USE = 1e-3
# Accounts tracked at once; beyond that, the account with the least use is dropped.
MAX_ACCOUNTS = 1_000


class LocalShares(AccountShares):
    """Divide the capacity of one VM among the accounts that use it.

    Handles an account that sends more than the VM can carry: its excess is shed to
    other VMs, while the callers of small accounts stay.

    Parameters
    ----------
    sustainable_share
        Returns the share of the current use that the VM can sustain.
    """

    def __init__(self, sustainable_share: Callable[[], float]) -> None:
        self._sustainable_share = sustainable_share
        self._use_by_account: dict[str, float] = {}
        self._updated_at = 0.0

    def record_use(self, account: str, cost: float, now: float) -> None:
        """Record the cost of a request; a cost that is not positive is ignored."""
        if not (math.isfinite(cost) and cost > 0.0):
            return
        self._decay(now)
        self._use_by_account[account] = self._use_by_account.get(account, 0.0) + cost
        if len(self._use_by_account) > MAX_ACCOUNTS:
            least = min(self._use_by_account, key=self._use_by_account.__getitem__)
            del self._use_by_account[least]

    def use_ratio(self, account: str, now: float) -> float:
        """Return the account's recent use as a multiple of its fair share."""
        self._decay(now)
        use = self._use_by_account.get(account, 0.0)
        if use < MIN_USE:
            return 0.0
        uses = self._use_by_account.values()
        level = fair_level(uses, sum(uses) * _clamped_share(self._sustainable_share()))
        return use / max(level, MIN_USE)

    def _decay(self, now: float) -> None:
        elapsed, self._updated_at = now - self._updated_at, now
        if not elapsed > 0.0:
            return
        factor = math.exp(-elapsed / DECAY_SECONDS)
        for account, use in list(self._use_by_account.items()):
            if use * factor < MIN_USE:
                del self._use_by_account[account]
                continue
            self._use_by_account[account] = use * factor


def fair_level(uses: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share per user when all together may use a capacity.

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


def _clamped_share(share: float) -> float:
    """Return a share clamped to the range from 0 to 1; 0 for NaN."""
    if not share > 0.0:
        return 0.0
    return min(share, 1.0)
