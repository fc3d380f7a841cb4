"""Weigh what client accounts use of late against their fair shares.

Answers loads where one account asks for many times what the others do. The callers of
the others should not notice; whoever is alone may have all.
"""

from __future__ import annotations

import math
from abc import abstractmethod
from collections import OrderedDict
from collections.abc import Callable

import attrs

from lynxchute.overload.shares import AccountShares
from lynxchute.overload.weights import DEFAULT_WEIGHT, usable_weight

# Time constant in seconds by which use is forgotten: callers wait a few seconds, so who
# has asked for too much of late competes with those who wait now, not with the next.
FADE_SECONDS = 4.0
# Use counts for so many time constants; 2 in 100 of it are left then.
FADES_KEPT = 4.0
# Accounts that are told apart. Each costs some 200 bytes; one that asks rarely has
# little to forget, so that the least recent one is left out first.
MOST_ACCOUNTS = 4_096
# Shares by which an account may be ahead where its debt lasts: a burst that is over
# should be forgiven while its callers still wait.
MOST_AHEAD = 8.0


@attrs.define
class _Use:
    """What an account has used of late.

    Attributes
    ----------
    amount
        Cost that has faded until ``noted_at``.
    tag
        Its virtual time; where shares are virtual times.
    """

    weight: float
    noted_at: float
    amount: float = 0.0
    tag: float = 0.0

    def at(self, now: float) -> float:
        """Return the cost that has faded until now."""
        return self.amount * math.exp(-max(now - self.noted_at, 0.0) / FADE_SECONDS)


class FadingUse(AccountShares):
    """Keep the use of each account that asks, and of all, and let both fade.

    Parameters
    ----------
    weight_of
        Returns the weight of an account.
    most
        Accounts that are kept.
    """

    def __init__(
        self,
        weight_of: Callable[[str], float] = lambda account: DEFAULT_WEIGHT,
        *,
        most: int = MOST_ACCOUNTS,
    ) -> None:
        self._weight_of = weight_of
        self._most = most
        self._use_by_account: OrderedDict[str, _Use] = OrderedDict()
        self._total = 0.0
        self._total_at = 0.0
        self._weights = 0.0

    def __len__(self) -> int:
        return len(self._use_by_account)

    def record_use(self, account: str, cost: float, now: float) -> None:
        """Count what a request of an account costs; what is no cost counts nothing."""
        if not (math.isfinite(cost) and cost > 0.0):
            return
        use = self._use(account, now)
        use.amount = use.at(now) + cost
        use.noted_at = now
        self._total = self._total_of(now) + cost
        self._total_at = now
        self._count(use, cost)

    def excess(self, account: str, now: float) -> float:
        """Return how many times its fair share an account has used of late."""
        self._forget(now)
        use = self._use_by_account.get(account)
        if use is None:
            return 0.0
        if len(self._use_by_account) == 1:
            return 1.0
        return self._excess(use, now)

    @abstractmethod
    def _count(self, use: _Use, cost: float) -> None:
        """Take what was used beside the amount."""

    @abstractmethod
    def _excess(self, use: _Use, now: float) -> float:
        """Return the excess of an account that is not alone."""

    def _level(self, now: float) -> float:
        """Return the use of all by weight, which an account has at its share."""
        return self._total_of(now) / self._weights if self._weights else 0.0

    def _total_of(self, now: float) -> float:
        faded = math.exp(-max(now - self._total_at, 0.0) / FADE_SECONDS)
        return max(self._total, 0.0) * faded

    def _use(self, account: str, now: float) -> _Use:
        """Return the use of an account, which becomes the most recent one."""
        self._forget(now)
        weight = usable_weight(self._weight_of(account))
        use = self._use_by_account.get(account)
        if use is None:
            while len(self._use_by_account) >= self._most:
                self._drop_first(now)
            use = _Use(0.0, now)
            self._use_by_account[account] = use
        # The configuration may have changed since the account last asked.
        self._weights += weight - use.weight
        use.weight = weight
        self._use_by_account.move_to_end(account)
        return use

    def _forget(self, now: float) -> None:
        """Drop accounts that have not asked for long; all is theirs who still do."""
        kept = now - FADES_KEPT * FADE_SECONDS
        while self._use_by_account:
            first = next(iter(self._use_by_account.values()))
            if first.noted_at > kept:
                return
            self._drop_first(now)

    def _drop_first(self, now: float) -> None:
        _, use = self._use_by_account.popitem(last=False)
        self._weights -= use.weight
        self._total = self._total_of(now) - use.at(now)
        self._total_at = now
        if not self._use_by_account:
            # What is left are rounding errors.
            self._total = self._weights = 0.0


class EqualDivision(FadingUse):
    """Divide what all have used of late equally, by weight."""

    def _count(self, use: _Use, cost: float) -> None:
        pass

    def _excess(self, use: _Use, now: float) -> float:
        level = self._level(now) * use.weight
        return use.at(now) / level if level else 0.0


class VirtualTimes(FadingUse):
    """Give each account a virtual time that its own use advances.

    That is start-time fair queueing: the clock of all advances by what is used, divided
    by the weights of those who use it. Who is ahead of it has used more than its share,
    and is so until the clock has come up.
    """

    def __init__(
        self,
        weight_of: Callable[[str], float] = lambda account: DEFAULT_WEIGHT,
        *,
        most: int = MOST_ACCOUNTS,
    ) -> None:
        super().__init__(weight_of, most=most)
        self._clock = 0.0

    def _count(self, use: _Use, cost: float) -> None:
        level = self._level(use.noted_at)
        use.tag = max(use.tag, self._clock) + cost / use.weight
        use.tag = min(use.tag, self._clock + MOST_AHEAD * level)
        self._clock += cost / self._weights

    def _excess(self, use: _Use, now: float) -> float:
        level = self._level(now)
        if not level:
            return 0.0
        return max(1.0 + (use.tag - self._clock) / level, 0.0)


SHARES_BY_NAME: dict[str, type[FadingUse]] = {
    "equal": EqualDivision,
    "virtual": VirtualTimes,
}
