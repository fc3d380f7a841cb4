"""Compare the recent use of each client account with its fair share.

Protects the callers of other accounts when one account asks for many times its share.
An account that is alone may use everything.
"""

from __future__ import annotations

import math
from abc import abstractmethod
from collections import OrderedDict
from collections.abc import Callable

import attrs

from lynxchute.overload.shares import AccountShares
from lynxchute.overload.weights import DEFAULT_WEIGHT, usable_weight

# Time constant in seconds with which recorded use decays. Callers wait a few seconds,
# so an account that has recently overused competes with the callers who wait now, not
# with later ones.
DECAY_SECONDS = 4.0
# Use is retained for this many time constants; 2% of it is left by then.
RETAINED_TIME_CONSTANTS = 4.0
# Accounts tracked at once, at some 200 bytes each. The least recently used one is
# evicted first: an account that rarely asks has little recorded use to lose.
MAX_ACCOUNTS = 4_096
# Bound on how far an account's virtual time may run ahead of the virtual clock, in
# multiples of its share: a burst that is over should be forgiven while its callers
# still wait.
MAX_LEAD_SHARES = 8.0


@attrs.define
class _Usage:
    """The recent use of one account.

    Attributes
    ----------
    amount
        Cost, decayed to ``updated_at``.
    virtual_time
        The account's virtual time; used by `VirtualTimes` only.
    """

    weight: float
    updated_at: float
    amount: float = 0.0
    virtual_time: float = 0.0

    def decayed_amount(self, now: float) -> float:
        """Return the cost, decayed to now."""
        return self.amount * math.exp(-max(now - self.updated_at, 0.0) / DECAY_SECONDS)


class DecayingUsage(AccountShares):
    """Track exponentially decaying use per account and in total.

    Parameters
    ----------
    weight_of
        Returns the weight of an account.
    max_accounts
        Number of accounts that are tracked.
    """

    def __init__(
        self,
        weight_of: Callable[[str], float] = lambda account: DEFAULT_WEIGHT,
        *,
        max_accounts: int = MAX_ACCOUNTS,
    ) -> None:
        self._weight_of = weight_of
        self._max_accounts = max_accounts
        self._usage_by_account: OrderedDict[str, _Usage] = OrderedDict()
        self._total = 0.0
        self._total_updated_at = 0.0
        self._total_weight = 0.0

    def __len__(self) -> int:
        return len(self._usage_by_account)

    def record_use(self, account: str, cost: float, now: float) -> None:
        """Record the cost of a request; a cost that is not positive is ignored."""
        if not (math.isfinite(cost) and cost > 0.0):
            return
        usage = self._get_or_add_usage(account, now)
        usage.amount = usage.decayed_amount(now) + cost
        usage.updated_at = now
        self._total = self._decayed_total(now) + cost
        self._total_updated_at = now
        self._record_cost(usage, cost)

    def use_ratio(self, account: str, now: float) -> float:
        """Return the account's recent use as a multiple of its fair share."""
        self._expire_idle(now)
        usage = self._usage_by_account.get(account)
        if usage is None:
            return 0.0
        if len(self._usage_by_account) == 1:
            return 1.0
        return self._contended_use_ratio(usage, now)

    @abstractmethod
    def _record_cost(self, usage: _Usage, cost: float) -> None:
        """Update scheme-specific state after a cost was added to the amount."""

    @abstractmethod
    def _contended_use_ratio(self, usage: _Usage, now: float) -> float:
        """Return the use ratio of an account while other accounts are active."""

    def _use_per_weight(self, now: float) -> float:
        """Return the total use per unit of weight: the fair use at weight 1."""
        return (
            self._decayed_total(now) / self._total_weight if self._total_weight else 0.0
        )

    def _decayed_total(self, now: float) -> float:
        decay = math.exp(-max(now - self._total_updated_at, 0.0) / DECAY_SECONDS)
        return max(self._total, 0.0) * decay

    def _get_or_add_usage(self, account: str, now: float) -> _Usage:
        """Return the use of an account and mark it as most recently used."""
        self._expire_idle(now)
        weight = usable_weight(self._weight_of(account))
        usage = self._usage_by_account.get(account)
        if usage is None:
            while len(self._usage_by_account) >= self._max_accounts:
                self._evict_oldest(now)
            usage = _Usage(0.0, now)
            self._usage_by_account[account] = usage
        # The configured weight may have changed since the last request.
        self._total_weight += weight - usage.weight
        usage.weight = weight
        self._usage_by_account.move_to_end(account)
        return usage

    def _expire_idle(self, now: float) -> None:
        """Drop idle accounts, so that their shares go to the active ones."""
        oldest = now - RETAINED_TIME_CONSTANTS * DECAY_SECONDS
        while self._usage_by_account:
            first = next(iter(self._usage_by_account.values()))
            if first.updated_at > oldest:
                return
            self._evict_oldest(now)

    def _evict_oldest(self, now: float) -> None:
        _, usage = self._usage_by_account.popitem(last=False)
        self._total_weight -= usage.weight
        self._total = self._decayed_total(now) - usage.decayed_amount(now)
        self._total_updated_at = now
        if not self._usage_by_account:
            # The sums are 0 but for rounding errors.
            self._total = self._total_weight = 0.0


class EqualDivision(DecayingUsage):
    """Divide the total recent use among all accounts in proportion to weight."""

    def _record_cost(self, usage: _Usage, cost: float) -> None:
        pass

    def _contended_use_ratio(self, usage: _Usage, now: float) -> float:
        fair_use = self._use_per_weight(now) * usage.weight
        return usage.decayed_amount(now) / fair_use if fair_use else 0.0


class VirtualTimes(DecayingUsage):
    """Give each account a virtual time that its own use advances.

    This is start-time fair queueing: a common virtual clock advances by the cost of
    each request divided by the weights of all active accounts. An account whose virtual
    time is ahead of the clock has used more than its share, until the clock catches up.
    """

    def __init__(
        self,
        weight_of: Callable[[str], float] = lambda account: DEFAULT_WEIGHT,
        *,
        max_accounts: int = MAX_ACCOUNTS,
    ) -> None:
        super().__init__(weight_of, max_accounts=max_accounts)
        self._virtual_clock = 0.0

    def _record_cost(self, usage: _Usage, cost: float) -> None:
        fair_use = self._use_per_weight(usage.updated_at)
        usage.virtual_time = (
            max(usage.virtual_time, self._virtual_clock) + cost / usage.weight
        )
        usage.virtual_time = min(
            usage.virtual_time, self._virtual_clock + MAX_LEAD_SHARES * fair_use
        )
        self._virtual_clock += cost / self._total_weight

    def _contended_use_ratio(self, usage: _Usage, now: float) -> float:
        fair_use = self._use_per_weight(now)
        if not fair_use:
            return 0.0
        return max(1.0 + (usage.virtual_time - self._virtual_clock) / fair_use, 0.0)


SHARES_BY_NAME: dict[str, type[DecayingUsage]] = {
    "equal": EqualDivision,
    "virtual": VirtualTimes,
}
