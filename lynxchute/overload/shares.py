"""How much of a scarce resource each client account uses of what it may."""

from __future__ import annotations

from abc import ABC, abstractmethod


class AccountShares(ABC):
    """Weigh what client accounts ask for against their fair shares.

    Shares are max-min fair: what an account leaves unused is lent to the others at
    once, so that a lone account may have all.
    """

    @abstractmethod
    def record_use(self, account: str, cost: float, now: float) -> None:
        """Count what a request of an account costs.

        Parameters
        ----------
        cost
            In the unit of the resource, such as seconds of a processor.
        now
            Seconds on the steady clock.
        """

    @abstractmethod
    def excess(self, account: str, now: float) -> float:
        """Return how many times its fair share an account has used of late.

        An account within its share has 1 or less.
        """
