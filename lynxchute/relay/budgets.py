"""What a relay needs of the client accounts' budgets."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lynxchute.config import ClientAccount


class BudgetExhausted(Exception):
    """Report that what is left of a budget does not cover a request."""


class BudgetUnreachable(Exception):
    """Report that tokens cannot be had now, though there may be some.

    Parameters
    ----------
    reason
        What was tried.
    """


class Reservation(ABC):
    """Tokens set aside for one request."""

    @abstractmethod
    def settle(self, used: int) -> None:
        """Give back what the request did not use; call it once."""


class Budgets(ABC):
    """Set tokens of client accounts aside for requests."""

    @abstractmethod
    async def reserve(
        self, request_id: str, account: ClientAccount, tokens: int
    ) -> Reservation:
        """Set tokens aside.

        Raises
        ------
        BudgetExhausted, BudgetUnreachable
            Where there are none to be had.
        """


class NothingReserved(Reservation):
    """The reservation of a request that costs no tokens."""

    def settle(self, used: int) -> None:
        """Do nothing."""


class Unlimited(Budgets):
    """Grant everything; for deployments that bill afterwards."""

    async def reserve(
        self, request_id: str, account: ClientAccount, tokens: int
    ) -> Reservation:
        """Grant the request."""
        return NothingReserved()
