"""Put requests that wait for an upstream in a fair order, and refuse what is in vain.

Answers loads where all upstreams of a service are full for a while. An urgent request
should not wait behind less urgent ones, callers of an account within its share not
behind those of one that asks for many times its own, and nobody for longer than it can
be of use.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort

import attrs

from lynxchute.overload.drain import DrainRate
from lynxchute.overload.kinds_served import KindsServed
from lynxchute.overload.shares import AccountShares
from lynxchute.overload.ticket import Ticket, TicketQueue

# Tickets that wait at once; more would wait longer than callers do where each engine
# serves some tens a second.
MOST_TICKETS = 512
# Seconds for which an order holds: shares and times left change little meanwhile, and
# putting 512 tickets in order takes about a millisecond.
ORDER_SECONDS = 0.05
# Seconds by which a ticket that cannot be in time counts as later than it is: those who
# still can go first, but no more of them than come in that time.
LATE_SECONDS = 1.0
# An account counts as beyond its share from so many times of it: what callers ask for
# varies, and they should not lose their turn by chance.
SHARE_SLACK = 1.5
# A kind that is served less often than this share of how often all are gets one turn
# in so many, so that it is not forgotten behind more urgent ones.
LEAST_SERVED = 0.4
TURNS_APART = 4
# A wait counts as too long where it is so many times what its caller has left: figures
# of the drain are off by some tenths.
SURE = 1.25
# The least and the largest share of the time that a caller has left after which it is
# told to come back: the rest has to do for the request itself.
LEAST_RETRY_SHARE = 0.05
MOST_RETRY_SHARE = 0.33
# Shares of that by which callers are spread, so that they do not come together.
SPREAD_SHARE = 0.3
GOLDEN = (math.sqrt(5.0) - 1.0) / 2.0

# Urgency, the account's excess, whether it comes back as told, time, a number for each.
Key = tuple[float, int, int, float, int]


@attrs.define
class _Waiting:
    """A ticket, and where it stands."""

    ticket: Ticket
    number: int
    key: Key


class FairTicketQueue(TicketQueue):
    """Wait in order of urgency, share and time.

    Parameters
    ----------
    shares
        How much accounts have used.
    drain
        How fast places become free.
    most
        Tickets that may wait at once.
    """

    def __init__(
        self, shares: AccountShares, drain: DrainRate, *, most: int = MOST_TICKETS
    ) -> None:
        self._shares = shares
        self.drain = drain
        self._most = most
        self._waiting_by_run: dict[str, _Waiting] = {}
        self._order: list[tuple[Key, str]] = []
        self._ordered_at = -math.inf
        self._numbers = 0
        self._kinds = KindsServed()
        self._hardly_served: set[int] = set()

    def __len__(self) -> int:
        return len(self._waiting_by_run)

    def __contains__(self, run_id: str) -> bool:
        return run_id in self._waiting_by_run

    def get(self, run_id: str) -> Ticket | None:
        """Return the ticket of a run that waits; None where it does not."""
        waiting = self._waiting_by_run.get(run_id)
        return waiting.ticket if waiting is not None else None

    @property
    def tickets(self) -> list[Ticket]:
        """Return those that wait, in no order."""
        return [waiting.ticket for waiting in self._waiting_by_run.values()]

    def put(self, ticket: Ticket, now: float) -> float | None:
        """Take a ticket, or refuse what would wait longer than its caller does."""
        if ticket.run_id in self._waiting_by_run:
            return self.reject_if_late(ticket.run_id, now)
        self._kinds.note_asked(ticket.rank, now)
        self._put_in_order(now)
        self._numbers += 1
        key = self._key(ticket, self._numbers, now)
        waiting = _Waiting(ticket, self._numbers, key)
        if len(self._waiting_by_run) >= self._most:
            last_key, last = self._order[-1]
            if waiting.key >= last_key:
                return self.retry_after(ticket, len(self._order), now)
            # Its router hears of it where it asks again.
            self.drop(last)
        self._waiting_by_run[ticket.run_id] = waiting
        insort(self._order, (waiting.key, ticket.run_id))
        if ticket.rank in self._hardly_served:
            # At the end of the order it would be refused before its kind's turn comes.
            self._ordered_at = -math.inf
        return self.reject_if_late(ticket.run_id, now)

    def consume(self, now: float) -> Ticket | None:
        """Remove and return the ticket that is next; its request is served."""
        self._put_in_order(now)
        if not self._order:
            return None
        return self.admit(self._order[0][1], now)

    def drop(self, run_id: str) -> None:
        """Forget a ticket whose caller has left."""
        waiting = self._waiting_by_run.pop(run_id, None)
        if waiting is not None:
            index = bisect_left(self._order, (waiting.key, run_id))
            del self._order[index]

    def admit(self, run_id: str, now: float) -> Ticket:
        """Remove and return a ticket whose request has got a place."""
        ticket = self._waiting_by_run[run_id].ticket
        self.drop(run_id)
        self._kinds.note_served(ticket.rank, now)
        return ticket

    def record_unqueued(self, rank: int, now: float) -> None:
        """Count a request that got a place without waiting."""
        self._kinds.note_asked(rank, now)
        self._kinds.note_served(rank, now)

    def position_of(self, run_id: str, now: float) -> int:
        """Return how many tickets come before one that waits."""
        self._put_in_order(now)
        waiting = self._waiting_by_run[run_id]
        return bisect_left(self._order, (waiting.key, run_id))

    def expected_wait(self, run_id: str, now: float) -> float:
        """Return the seconds until a ticket's turn."""
        return self._wait(self.position_of(run_id, now), now)

    def reject_if_late(self, run_id: str, now: float) -> float | None:
        """Refuse a ticket whose turn comes too late, and forget it.

        Returns
        -------
        float or None
            Seconds after which its caller should come back; None where it waits on.
        """
        ticket = self._waiting_by_run[run_id].ticket
        if ticket.expires_at <= now:
            self.drop(run_id)
            return 0.0
        ahead = self.position_of(run_id, now)
        if self._wait(ahead, now) * SURE <= ticket.expires_at - now:
            return None
        self.drop(run_id)
        return self.retry_after(ticket, ahead, now)

    def retry_after(self, ticket: Ticket, ahead: int, now: float) -> float:
        """Return the seconds after which the caller of a refused ticket should be back.

        By then so many of those ahead of it are served that its turn would come while
        it waits. No two in a row are told the same.
        """
        left = max(ticket.expires_at - now, 0.0)
        wait = self._wait(ahead, now)
        after = min(max(wait - left / SURE, LEAST_RETRY_SHARE * left), wait)
        self._numbers += 1
        spread = 1.0 + SPREAD_SHARE * math.modf(self._numbers * GOLDEN)[0]
        most = MOST_RETRY_SHARE * left / (1.0 + SPREAD_SHARE)
        return min(after, most) * spread

    def _wait(self, ahead: int, now: float) -> float:
        per_second = self.drain.per_second(now)
        return ahead / per_second if per_second > 0.0 else math.inf

    def _key(self, ticket: Ticket, number: int, now: float) -> Key:
        excess = self._shares.excess(ticket.account, now)
        band = 0
        if excess > SHARE_SLACK:
            # A doubling apart, so that small changes do not change the order.
            band = 1 + int(math.log2(excess / SHARE_SLACK))
        if ticket.is_timely_retry and band:
            band -= 1
        at = ticket.arrived_at + (LATE_SECONDS if now > ticket.due_at else 0.0)
        return (ticket.rank, band, int(not ticket.is_timely_retry), at, number)

    def _put_in_order(self, now: float) -> None:
        """Give tickets their keys anew, after a while, without those who have left."""
        if now - self._ordered_at < ORDER_SECONDS:
            return
        self._ordered_at = now
        self._hardly_served = self._kinds.below(LEAST_SERVED, now)
        for run_id, waiting in list(self._waiting_by_run.items()):
            if waiting.ticket.expires_at <= now:
                del self._waiting_by_run[run_id]
                continue
            waiting.key = self._key(waiting.ticket, waiting.number, now)
        self._sort()
        if self._lift_the_hardly_served():
            self._sort()

    def _sort(self) -> None:
        pairs = [(w.key, run_id) for run_id, w in self._waiting_by_run.items()]
        self._order = sorted(pairs)

    def _lift_the_hardly_served(self) -> bool:
        """Put tickets of kinds that are hardly served between the others."""
        low = self._hardly_served
        if not low:
            return False
        lifted = [run_id for key, run_id in self._order if key[0] in low]
        others = [key for key, _ in self._order if key[0] not in low]
        for turn, run_id in enumerate(lifted):
            if turn * TURNS_APART >= len(others):
                break
            waiting = self._waiting_by_run[run_id]
            turn_key = (*others[turn * TURNS_APART][:4], -waiting.number)
            waiting.key = min(waiting.key, turn_key)
        return bool(lifted)
