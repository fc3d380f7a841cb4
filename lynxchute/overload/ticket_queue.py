"""Order requests that wait for an upstream fairly, and reject those that are too late.

Handles times in which all upstreams of a service are full. An urgent request should not
wait behind less urgent ones, callers of an account within its share should not wait
behind an account that asks for many times its own, and no request should wait longer
than its response is of use.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort

import attrs

from lynxchute.overload.drain import DrainRate
from lynxchute.overload.kinds_served import RankServiceRates
from lynxchute.overload.shares import AccountShares
from lynxchute.overload.ticket import Ticket, TicketQueue

# Maximum number of waiting tickets: where each engine serves some tens of requests a
# second, further ones would wait longer than callers do.
MAX_TICKETS = 512
# Seconds for which the order is kept: shares and remaining times change little in that
# time, and reordering 512 tickets takes about a millisecond.
REORDER_SECONDS = 0.05
# Penalty in seconds for a ticket that has missed its latency objective: it is sorted as
# if it had arrived that much later, behind requests that arrive within this time and
# can still be on time.
LATE_PENALTY_SECONDS = 1.0
# An account counts as beyond its share above this multiple of it. Demand varies, and no
# account should lose its position by chance.
SHARE_TOLERANCE = 1.5
# A rank whose admission rate is below MIN_SERVED_SHARE of the overall rate is starved
# by more urgent ranks. One of its tickets is then promoted for every PROMOTION_INTERVAL
# others.
MIN_SERVED_SHARE = 0.4
PROMOTION_INTERVAL = 4
# Safety factor on the expected wait when it is compared with the time that the caller
# has left: estimates of the drain rate are off by some tenths.
WAIT_MARGIN = 1.25
# Bounds on the retry delay, as shares of the time that the caller has left; the rest of
# the time is needed for the request itself.
LEAST_RETRY_SHARE = 0.05
MOST_RETRY_SHARE = 0.33
# Share of the retry delay by which callers are spread, so that they do not all retry
# together.
JITTER_SHARE = 0.3
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0

# Sort key: rank, excess band, 0 for a timely retry, arrival time, sequence number.
Key = tuple[float, int, int, float, int]


@attrs.define
class _Entry:
    """A queued ticket and its sort key."""

    ticket: Ticket
    sequence: int
    key: Key


class FairTicketQueue(TicketQueue):
    """A queue ordered by rank, by the account's excess over its share, and by time.

    Parameters
    ----------
    shares
        The recent use of accounts.
    drain
        The rate at which slots become free.
    max_tickets
        Maximum number of waiting tickets.
    """

    def __init__(
        self, shares: AccountShares, drain: DrainRate, *, max_tickets: int = MAX_TICKETS
    ) -> None:
        self._shares = shares
        self.drain = drain
        self._max_tickets = max_tickets
        self._entry_by_run: dict[str, _Entry] = {}
        self._order: list[tuple[Key, str]] = []
        self._reordered_at = -math.inf
        self._sequence = 0
        self._service_rates = RankServiceRates()
        self._starved_ranks: set[int] = set()

    def __len__(self) -> int:
        return len(self._entry_by_run)

    def __contains__(self, run_id: str) -> bool:
        return run_id in self._entry_by_run

    def get(self, run_id: str) -> Ticket | None:
        """Return the ticket of a waiting run; None if it does not wait."""
        entry = self._entry_by_run.get(run_id)
        return entry.ticket if entry is not None else None

    @property
    def tickets(self) -> list[Ticket]:
        """Return all waiting tickets, in no particular order."""
        return [entry.ticket for entry in self._entry_by_run.values()]

    def put(self, ticket: Ticket, now: float) -> float | None:
        """Add a ticket, or reject it and return a retry delay.

        It is rejected if its caller would give up before its turn, or if the queue is
        full of tickets that come first.
        """
        if ticket.run_id in self._entry_by_run:
            return self.reject_if_late(ticket.run_id, now)
        self._service_rates.record_arrival(ticket.rank, now)
        self._reorder(now)
        self._sequence += 1
        key = self._key(ticket, self._sequence, now)
        entry = _Entry(ticket, self._sequence, key)
        if len(self._entry_by_run) >= self._max_tickets:
            last_key, last = self._order[-1]
            if entry.key >= last_key:
                return self.retry_after(ticket, len(self._order), now)
            # The router of the dropped ticket learns of it when it asks again.
            self.drop(last)
        self._entry_by_run[ticket.run_id] = entry
        insort(self._order, (entry.key, ticket.run_id))
        if ticket.rank in self._starved_ranks:
            # Reorder now: at its unpromoted position, the ticket would be rejected as
            # too late.
            self._reordered_at = -math.inf
        return self.reject_if_late(ticket.run_id, now)

    def consume(self, now: float) -> Ticket | None:
        """Remove and return the next ticket, whose request is then served."""
        self._reorder(now)
        if not self._order:
            return None
        return self.admit(self._order[0][1], now)

    def drop(self, run_id: str) -> None:
        """Remove a ticket, if it is queued."""
        entry = self._entry_by_run.pop(run_id, None)
        if entry is not None:
            index = bisect_left(self._order, (entry.key, run_id))
            del self._order[index]

    def admit(self, run_id: str, now: float) -> Ticket:
        """Remove and return a ticket whose request was given a slot."""
        ticket = self._entry_by_run[run_id].ticket
        self.drop(run_id)
        self._service_rates.record_admission(ticket.rank, now)
        return ticket

    def record_immediate_admission(self, rank: int, now: float) -> None:
        """Record a request that was given a slot without queueing."""
        self._service_rates.record_arrival(rank, now)
        self._service_rates.record_admission(rank, now)

    def position_of(self, run_id: str, now: float) -> int:
        """Return the number of tickets ahead of a waiting one."""
        self._reorder(now)
        entry = self._entry_by_run[run_id]
        return bisect_left(self._order, (entry.key, run_id))

    def expected_wait(self, run_id: str, now: float) -> float:
        """Return the estimated seconds until a ticket's turn."""
        return self._expected_wait(self.position_of(run_id, now), now)

    def reject_if_late(self, run_id: str, now: float) -> float | None:
        """Remove a ticket whose turn would come too late.

        Returns
        -------
        float or None
            Seconds after which the caller of a removed ticket should retry; None if the
            ticket still waits.
        """
        ticket = self._entry_by_run[run_id].ticket
        if ticket.expires_at <= now:
            self.drop(run_id)
            return 0.0
        ahead = self.position_of(run_id, now)
        if self._expected_wait(ahead, now) * WAIT_MARGIN <= ticket.expires_at - now:
            return None
        self.drop(run_id)
        return self.retry_after(ticket, ahead, now)

    def retry_after(self, ticket: Ticket, ahead: int, now: float) -> float:
        """Return the seconds after which the caller of a rejected ticket should retry.

        After that delay, enough of the tickets ahead have been served for the retry to
        be admitted before the caller gives up. Consecutive callers get different
        delays.
        """
        left = max(ticket.expires_at - now, 0.0)
        wait = self._expected_wait(ahead, now)
        after = min(max(wait - left / WAIT_MARGIN, LEAST_RETRY_SHARE * left), wait)
        self._sequence += 1
        spread = 1.0 + JITTER_SHARE * math.modf(self._sequence * GOLDEN_RATIO)[0]
        max_after = MOST_RETRY_SHARE * left / (1.0 + JITTER_SHARE)
        return min(after, max_after) * spread

    def _expected_wait(self, ahead: int, now: float) -> float:
        per_second = self.drain.per_second(now)
        return ahead / per_second if per_second > 0.0 else math.inf

    def _key(self, ticket: Ticket, sequence: int, now: float) -> Key:
        use_ratio = self._shares.use_ratio(ticket.account, now)
        excess_band = 0
        if use_ratio > SHARE_TOLERANCE:
            # Each band doubles the excess, so that small changes keep the order.
            excess_band = 1 + int(math.log2(use_ratio / SHARE_TOLERANCE))
        if ticket.is_timely_retry and excess_band:
            excess_band -= 1
        at = ticket.arrived_at + (LATE_PENALTY_SECONDS if now > ticket.due_at else 0.0)
        return (ticket.rank, excess_band, int(not ticket.is_timely_retry), at, sequence)

    def _reorder(self, now: float) -> None:
        """Recompute the sort keys at intervals, and drop expired tickets."""
        if now - self._reordered_at < REORDER_SECONDS:
            return
        self._reordered_at = now
        self._starved_ranks = self._service_rates.ranks_below(MIN_SERVED_SHARE, now)
        for run_id, entry in list(self._entry_by_run.items()):
            if entry.ticket.expires_at <= now:
                del self._entry_by_run[run_id]
                continue
            entry.key = self._key(entry.ticket, entry.sequence, now)
        self._sort()
        if self._promote_starved():
            self._sort()

    def _sort(self) -> None:
        pairs = [(entry.key, run_id) for run_id, entry in self._entry_by_run.items()]
        self._order = sorted(pairs)

    def _promote_starved(self) -> bool:
        """Interleave tickets of starved ranks with the others."""
        starved = self._starved_ranks
        if not starved:
            return False
        promoted = [run_id for key, run_id in self._order if key[0] in starved]
        others = [key for key, _ in self._order if key[0] not in starved]
        for position, run_id in enumerate(promoted):
            if position * PROMOTION_INTERVAL >= len(others):
                break
            entry = self._entry_by_run[run_id]
            promoted_key = (*others[position * PROMOTION_INTERVAL][:4], -entry.sequence)
            entry.key = min(entry.key, promoted_key)
        return bool(promoted)
