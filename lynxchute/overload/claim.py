"""The claim of a request to an upstream's slot, and the exceptions raised for it."""

from __future__ import annotations

import attrs

from lynxchute.overload.ticket import Ticket

# Upper bounds on the times (in seconds), ranks and names in a claim. No route lets a
# request last an hour, so larger values are mistakes.
MAX_SECONDS = 3_600.0
MAX_RANK = 1_000
MAX_NAME_LENGTH = 256


class InvalidClaim(ValueError):
    """Raised for a claim with values that no correct router sends."""


@attrs.frozen
class Claim:
    """A request for a slot at an upstream; times are in seconds relative to now.

    Attributes
    ----------
    account
        The client account that pays; empty on public routes.
    rank
        Priority; 0 is the most urgent.
    content
        Id of the request's content, the same for each attempt.
    waited
        Time since the caller's first request.
    left
        Time for which the caller still waits for the first byte of the response.
    due_in
        Time until the response misses its latency objective; negative if it already
        has.
    """

    account: str
    rank: int
    content: str
    waited: float
    left: float
    due_in: float

    @classmethod
    def of(
        cls,
        *,
        account: str,
        rank: int,
        content: str,
        waited: float,
        left: float,
        due_in: float,
    ) -> Claim:
        """Return a claim with all values clamped to the accepted ranges.

        Examples
        --------
        >>> Claim.of(
        ...     account="a", rank=3, content="", waited=-0.1, left=1e9, due_in=1.0
        ... ).left
        3600.0
        """
        return cls(
            account=account[:MAX_NAME_LENGTH],
            rank=min(max(rank, 0), MAX_RANK),
            content=content[:MAX_NAME_LENGTH],
            waited=min(max(waited, 0.0), MAX_SECONDS),
            left=min(max(left, 0.0), MAX_SECONDS),
            due_in=min(max(due_in, -MAX_SECONDS), MAX_SECONDS),
        )

    def check(self) -> None:
        """Raise if a value is out of range.

        Raises
        ------
        InvalidClaim
            If a time, the rank or a name is out of range.
        """
        if not 0.0 <= self.waited <= MAX_SECONDS:
            raise InvalidClaim("time waited is out of range")
        if not 0.0 <= self.left <= MAX_SECONDS:
            raise InvalidClaim("time left is out of range")
        if not abs(self.due_in) <= MAX_SECONDS:
            raise InvalidClaim("time due is out of range")
        if not 0 <= self.rank <= MAX_RANK:
            raise InvalidClaim("rank is out of range")
        if len(self.account) > MAX_NAME_LENGTH or len(self.content) > MAX_NAME_LENGTH:
            raise InvalidClaim("account or content id is too long")

    def ticket(
        self,
        run_id: str,
        router: str,
        cost: float,
        now: float,
        *,
        is_timely_retry: bool,
    ) -> Ticket:
        """Return the queue ticket for this claim, with absolute times."""
        return Ticket(
            run_id=run_id,
            router=router,
            account=self.account,
            rank=self.rank,
            cost=cost,
            arrived_at=now - self.waited,
            expires_at=now + self.left,
            is_timely_retry=is_timely_retry,
            due_at=now + self.due_in,
        )


class AdmissionPending(Exception):
    """Raised while a request has to wait: it should ask for a slot again.

    Parameters
    ----------
    seconds
        Delay before the next attempt.
    ahead
        Number of requests ahead of it in the queue.
    """

    def __init__(self, seconds: float, ahead: int) -> None:
        super().__init__(f"{ahead} requests are ahead in the queue")
        self.seconds = seconds
        self.ahead = ahead


class AdmissionRefused(Exception):
    """Raised when a slot would become free too late for a request.

    Parameters
    ----------
    retry_after
        Seconds after which the caller should retry.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__("no slot becomes free before the deadline")
        self.retry_after = retry_after
