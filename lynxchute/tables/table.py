"""The platform's transactional table service."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lynxchute.http import ExchangeFailed, HttpClient, Timeouts
from lynxchute.tables.transaction import (
    Committed,
    Conflict,
    Outcome,
    Row,
    Transaction,
)


class Unavailable(Exception):
    """Report that the service did nothing: it was not reached or refused."""


class OutcomeUnknown(Exception):
    """Report that a write may or may not have taken effect."""


class Table(ABC):
    """What the routers need of a table service."""

    @abstractmethod
    async def write(self, transaction: Transaction) -> Outcome:
        """Apply a transaction.

        Raises
        ------
        Unavailable
            Where it certainly had no effect.
        OutcomeUnknown
            Where it may have taken effect.
        """

    @abstractmethod
    async def read(
        self, keys: tuple[str, ...] = (), prefixes: tuple[str, ...] = ()
    ) -> dict[str, Row]:
        """Return the rows under the keys and key prefixes, by key.

        Raises
        ------
        Unavailable
            Where no answer came.
        """

    def close(self) -> None:
        """Let go of what the table holds open."""


class HttpTable(Table):
    """Speak to the table service over HTTP with JSON.

    Parameters
    ----------
    address
        The service as ``host:port``.
    timeout
        Seconds to wait for an answer.
    """

    def __init__(self, address: str, *, timeout: float = 3.0) -> None:
        limits = Timeouts(connect=1.0, first_byte=timeout, between_bytes=timeout)
        self._client = HttpClient(address, timeouts=limits, max_connections=16)

    async def write(self, transaction: Transaction) -> Outcome:
        """Apply a transaction."""
        try:
            status, answer = await self._client.post_json(
                "/v1/transactions", transaction.to_json()
            )
        except ExchangeFailed as error:
            if error.sent:
                raise OutcomeUnknown(str(error)) from error
            raise Unavailable(str(error)) from error
        if status == 200:
            return Committed(answer["rows_by_key"])
        if status == 409:
            return Conflict(answer["rows_by_key"])
        if status in (429, 503):
            raise Unavailable(f"the table service answered {status}")
        raise OutcomeUnknown(f"the table service answered {status}")

    async def read(
        self, keys: tuple[str, ...] = (), prefixes: tuple[str, ...] = ()
    ) -> dict[str, Row]:
        """Return the rows under the keys and key prefixes, by key."""
        question = {"keys": list(keys), "prefixes": list(prefixes)}
        try:
            status, answer = await self._client.post_json("/v1/reads", question)
        except ExchangeFailed as error:
            raise Unavailable(str(error)) from error
        if status != 200:
            raise Unavailable(f"the table service answered {status}")
        rows: dict[str, Row] = answer["rows_by_key"]
        return rows

    def close(self) -> None:
        """Drop the idle connections."""
        self._client.close()
