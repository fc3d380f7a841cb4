"""Tickets for requests that wait for a slot at an upstream, and their queue."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class Ticket:
    """An entry for a request in the queue; the request stays with its router.

    Attributes
    ----------
    run_id
        Id of the run that waits.
    router
        Incarnation of the router that holds the request.
    account
        The client account that pays; empty on public routes.
    rank
        Priority; 0 is the most urgent.
    cost
        Work for the upstream, in tokens.
    arrived_at
        Time of the caller's first request, on the steady clock in seconds.
    expires_at
        Time at which the caller gives up.
    is_timely_retry
        Whether the caller retries at the time it was told after a refusal.
    due_at
        Time by which the response should begin to meet its latency objective.
    """

    run_id: str
    router: str
    account: str
    rank: int
    cost: float
    arrived_at: float
    expires_at: float
    is_timely_retry: bool = False
    due_at: float = math.inf


class TicketQueue(ABC):
    """A queue of waiting requests that rejects those that would wait too long."""

    @abstractmethod
    def put(self, ticket: Ticket, now: float) -> float | None:
        """Add a ticket, or reject it.

        Returns
        -------
        float or None
            Seconds after which the caller of a rejected ticket should retry; None if
            the ticket waits.
        """

    @abstractmethod
    def consume(self, now: float) -> Ticket | None:
        """Remove and return the next ticket; None if the queue is empty."""

    @abstractmethod
    def drop(self, run_id: str) -> None:
        """Remove a ticket, if it is queued."""
