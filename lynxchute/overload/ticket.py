"""A request that waits for a place at an upstream."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

import attrs


@attrs.frozen
class Ticket:
    """The place of a waiting request in a queue; the request stays with its router.

    Attributes
    ----------
    run_id
        Names the run that waits.
    router
        The incarnation of the router that has the request.
    account
        Who pays; empty on public routes.
    rank
        Urgency; 0 comes first.
    cost
        What it takes of the upstreams, in tokens.
    arrived_at
        When its caller first asked, on the steady clock in seconds.
    leaves_at
        When its caller gives up.
    is_return
        Whether its caller comes back as it was told after a refusal.
    due_at
        When its answer should begin for its caller to have it on time.
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
    """Put waiting requests in order, and refuse what would wait too long."""

    @abstractmethod
    def put(self, ticket: Ticket, now: float) -> float | None:
        """Take a ticket.

        Returns
        -------
        float or None
            Seconds after which its caller should come back where it is refused; None
            where it waits.
        """

    @abstractmethod
    def consume(self, now: float) -> Ticket | None:
        """Remove and return the ticket that is next; None where none waits."""

    @abstractmethod
    def drop(self, run_id: str) -> None:
        """Forget a ticket whose caller has left."""
