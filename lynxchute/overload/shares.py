"""The interface for comparing the use of client accounts with their fair shares."""

from __future__ import annotations

from abc import ABC, abstractmethod


class AccountShares(ABC):
    """Track the use of a scarce resource by client accounts.

    Shares are max-min fair: whatever an account leaves unused is lent to the others at
    once, so an account that is alone may use everything.
    """

    @abstractmethod
    def record_use(self, account: str, cost: float, now: float) -> None:
        """Record the cost of a request of an account.

        Parameters
        ----------
        cost
            Cost in the unit of the resource, such as seconds of processor time.
        now
            Seconds on the steady clock.
        """

    @abstractmethod
    def use_ratio(self, account: str, now: float) -> float:
        """Return the account's recent use as a multiple of its fair share.

        The value is 1 or less for an account within its share.
        """
