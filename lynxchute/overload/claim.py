"""Who asks for a place at an upstream, and how long it can wait for one."""

from __future__ import annotations

import attrs

from lynxchute.overload.ticket import Ticket

# Longer times than these, in seconds, and longer names are mistakes: no route lets a
# request last so long.
MOST_SECONDS = 3_600.0
MOST_RANK = 1_000
MOST_NAME = 256


class InvalidClaim(ValueError):
    """Report a claim that no router makes."""


@attrs.frozen
class Claim:
    """Who asks for a place; times are in seconds before or after now.

    Attributes
    ----------
    account
        Who pays; empty on public routes.
    rank
        Urgency; 0 comes first.
    content
        Names what is asked for, the same for each attempt.
    waited
        How long ago its caller asked.
    left
        How long its caller waits for the answer to begin.
    due_in
        After how long the answer would be late; negative where it is.
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
        """Return a claim with its times within the bounds of what is taken.

        Examples
        --------
        >>> Claim.of(
        ...     account="a", rank=3, content="", waited=-0.1, left=1e9, due_in=1.0
        ... ).left
        3600.0
        """
        return cls(
            account=account[:MOST_NAME],
            rank=min(max(rank, 0), MOST_RANK),
            content=content[:MOST_NAME],
            waited=min(max(waited, 0.0), MOST_SECONDS),
            left=min(max(left, 0.0), MOST_SECONDS),
            due_in=min(max(due_in, -MOST_SECONDS), MOST_SECONDS),
        )

    def check(self) -> None:
        """Refuse what cannot be true.

        Raises
        ------
        BadClaim
            Where something is not.
        """
        if not 0.0 <= self.waited <= MOST_SECONDS:
            raise InvalidClaim("time waited")
        if not 0.0 <= self.left <= MOST_SECONDS:
            raise InvalidClaim("time left")
        if not abs(self.due_in) <= MOST_SECONDS:
            raise InvalidClaim("time due")
        if not 0 <= self.rank <= MOST_RANK:
            raise InvalidClaim("rank")
        if len(self.account) > MOST_NAME or len(self.content) > MOST_NAME:
            raise InvalidClaim("name")

    def ticket(
        self,
        run_id: str,
        router: str,
        cost: float,
        now: float,
        *,
        is_timely_retry: bool,
    ) -> Ticket:
        """Return the ticket for a claim that is made now."""
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
    """Tell a request to ask again for a place.

    Parameters
    ----------
    seconds
        After how long.
    ahead
        How many wait before it.
    """

    def __init__(self, seconds: float, ahead: int) -> None:
        super().__init__(f"{ahead} wait before it")
        self.seconds = seconds
        self.ahead = ahead


class AdmissionRefused(Exception):
    """Refuse a request whose turn for a place comes too late.

    Parameters
    ----------
    retry_after
        Seconds after which its caller should come back.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__("its turn comes too late")
        self.retry_after = retry_after
