"""Interface between the relay and the budgets of client accounts."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lynxchute.config import ClientAccount


class BudgetExhausted(Exception):
    """Raised when the remaining budget does not cover a request."""


class BudgetUnreachable(Exception):
    """Raised when tokens cannot be reserved now, although some may be left.

    Parameters
    ----------
    reason
        Sentence for the caller; it becomes the title of the refusal.
    """


class Reservation(ABC):
    """Tokens reserved for one request."""

    @abstractmethod
    def settle(self, used: int) -> None:
        """Return the unused tokens to the budget. Must be called exactly once."""


class Budgets(ABC):
    """Reserves tokens of client accounts for requests."""

    @abstractmethod
    async def reserve(
        self, request_id: str, account: ClientAccount, tokens: int
    ) -> Reservation:
        """Reserve tokens.

        Raises
        ------
        BudgetExhausted, BudgetUnreachable
            If no tokens can be reserved.
        """


class EmptyReservation(Reservation):
    """Reservation of a request that costs no tokens."""

    def settle(self, used: int) -> None:
        """Do nothing."""


class UnlimitedBudgets(Budgets):
    """Budgets without a limit, for deployments that bill afterwards."""

    async def reserve(
        self, request_id: str, account: ClientAccount, tokens: int
    ) -> Reservation:
        """Return an empty reservation."""
        return EmptyReservation()
