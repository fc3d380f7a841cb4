"""Check what upstreams received against the five limits of a deployment's budgets.

The limits are those of retries, attempts, deadlines, prepaid tokens and backoff. All
are counted from records of upstreams and callers, not from anything a router states.
"""

from __future__ import annotations

import collections
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

import attrs

# Requests that may run on more upstreams than their route's limit of attempts.
MAX_EXTRA_ATTEMPTS = 3
# Seconds by which a stated deadline may exceed the caller's, and after which a repeat
# counts as late.
DEADLINE_MARGIN_SECONDS = 0.5
# Requests, and their share of all that are late repeats or wrong, that may state too
# much time.
MAX_WRONG_DEADLINES = 20
MAX_WRONG_DEADLINE_SHARE = 0.2
# Seconds from a refusal with a backoff until the backoff applies, and requests that a
# router may send to the upstream from then on.
BACKOFF_NOTICE_SECONDS = 0.5
MAX_IN_BACKOFF = 2


class RetryLimits(Protocol):
    """The part of a deployment's bounds that limits retries.

    In any window of `retry_window` seconds all routers together may retry `retry_share`
    of a service's requests, plus `retry_extra` requests.
    """

    @property
    def retry_share(self) -> float:
        """Return the permitted retries for each request."""

    @property
    def retry_extra(self) -> float:
        """Return the additional retries in a window."""

    @property
    def retry_window(self) -> float:
        """Return the length of a window in seconds."""


class Receiver(Protocol):
    """An upstream that records what it receives."""

    @property
    def service(self) -> str:
        """Return the service that it belongs to."""

    @property
    def received(self) -> Sequence[Received]:
        """Return the requests that reached it."""


@attrs.define(eq=False)
class Received:
    """A request that reached an upstream.

    Attributes
    ----------
    at
        When it arrived, in seconds.
    deadline
        Seconds that its router left the upstream for it; None if none were stated.
    has_run
        Whether the upstream began to work on it.
    backoff
        Seconds of backoff that the upstream asked for as it refused it; 0 for none.
    """

    at: float
    request_id: str
    upstream_id: str
    deadline: float | None = None
    has_run: bool = False
    backoff: float = 0.0


@attrs.frozen
class Sent:
    """A request that a caller sent to a router.

    Attributes
    ----------
    sent_at
        When it was sent, in seconds.
    deadline
        Seconds within which the caller wants its answer.
    max_attempts
        Upstreams to which its route lets it be sent.
    """

    request_id: str
    service: str
    router: str
    sent_at: float
    deadline: float
    max_attempts: int


@attrs.frozen
class RetryPeak:
    """The window in which a service got the most retries beyond its limit.

    Attributes
    ----------
    excess
        Retries beyond the limit; negative if all windows are within it.
    retries, permitted
        Retries in the window, and how many the limit permits there.
    begins_at
        Start of the window in seconds.
    """

    excess: float
    retries: int
    permitted: float
    begins_at: float


def retry_times(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    """Return when upstreams got requests beyond the first arrival of each.

    Parameters
    ----------
    arrivals
        Time in seconds and request id of each arrival at any upstream of a service.

    Examples
    --------
    >>> retry_times([(2.0, "a"), (1.0, "a"), (3.0, "b")])
    [2.0]
    """
    found, seen = [], set()
    for time, request_id in sorted(arrivals):
        if request_id in seen:
            found.append(time)
        seen.add(request_id)
    return found


def worst_window(
    arrivals: Iterable[tuple[float, str]],
    request_times: Iterable[float],
    limits: RetryLimits,
) -> RetryPeak:
    """Return the window in which a service got most retries beyond its limit.

    Requests are counted in the window, in the one before it and in the one half a
    window before it; the largest of the three numbers applies.

    Parameters
    ----------
    arrivals
        Time in seconds and request id of each arrival at any upstream of the service.
    request_times
        When callers sent requests for the service, in seconds.
    limits
        The limits of the deployment.
    """
    window = limits.retry_window
    retries, requests = retry_times(arrivals), sorted(request_times)

    def count(times: list[float], begin: float) -> int:
        return bisect_left(times, begin + window) - bisect_left(times, begin)

    worst = RetryPeak(-limits.retry_extra, 0, limits.retry_extra, 0.0)
    for last in retries:
        # The window that ends with a retry begins just after the retry a window before.
        begin = last - window + 1e-9
        found = bisect_right(retries, last) - bisect_left(retries, begin)
        most = max(count(requests, begin - back) for back in (0, window / 2, window))
        permitted = limits.retry_share * most + limits.retry_extra
        if found - permitted > worst.excess:
            worst = RetryPeak(found - permitted, found, permitted, begin)
    return worst


def arrivals_by_service(
    upstreams: Iterable[Receiver],
) -> dict[str, list[tuple[float, str]]]:
    """Return the arrivals at upstreams, as time and request id, by service."""
    found = collections.defaultdict(list)
    for upstream in upstreams:
        for received in upstream.received:
            found[upstream.service].append((received.at, received.request_id))
    return found


def _is_undisturbed(router: str, time: float) -> bool:
    return False


def _never_ends(upstream_id: str, time: float) -> bool:
    return False


@attrs.define
class BudgetRules:
    """Checks the records of a whole run.

    Attributes
    ----------
    limits
        The limits of retries.
    received_by_service
        The requests that reached upstreams, by service.
    sent_by_id
        The requests of callers, by id.
    is_disturbed
        Returns whether a router was stopped, killed or cut off around a time in
        seconds, so that limits with a time bound do not apply to it.
    has_ended
        Returns whether an upstream ended or was cut off after a time in seconds.
    """

    limits: RetryLimits
    received_by_service: Mapping[str, Sequence[Received]]
    sent_by_id: Mapping[str, Sent]
    is_disturbed: Callable[[str, float], bool] = _is_undisturbed
    has_ended: Callable[[str, float], bool] = _never_ends

    def retry_peaks(self) -> dict[str, RetryPeak]:
        """Return the worst window of each service."""
        peaks = {}
        for service, received in self.received_by_service.items():
            arrivals = [(item.at, item.request_id) for item in received]
            times = [
                s.sent_at for s in self.sent_by_id.values() if s.service == service
            ]
            # Requests without a record count from their first arrival on.
            first_by_id: dict[str, float] = {}
            for time, request_id in sorted(arrivals):
                if request_id not in self.sent_by_id:
                    first_by_id.setdefault(request_id, time)
            times += first_by_id.values()
            peaks[service] = worst_window(arrivals, times, self.limits)
        return peaks

    def extra_attempts(self) -> list[str]:
        """Return the requests that ran on more upstreams than their route allows."""
        upstreams_by_id = collections.defaultdict(set)
        for item in self._all_received():
            if item.has_run and not self.has_ended(item.upstream_id, item.at):
                upstreams_by_id[item.request_id].add(item.upstream_id)
        found = []
        for request_id, upstreams in upstreams_by_id.items():
            sent = self.sent_by_id.get(request_id)
            if sent is not None and len(upstreams) > sent.max_attempts:
                found.append(request_id)
        return found

    def wrong_deadlines(self) -> tuple[list[str], int]:
        """Return the sends with too much time, and how many they are counted among.

        A send has too much time if it states none, more than its caller did, or, as a
        late repeat, a time that ends after that of the first send and the caller's.
        """
        first_by_id: dict[str, Received] = {}
        wrong, counted = [], 0
        for item in sorted(self._all_received(), key=lambda found: found.at):
            first = first_by_id.setdefault(item.request_id, item)
            sent = self.sent_by_id.get(item.request_id)
            if sent is None or self.is_disturbed(sent.router, item.at):
                continue
            is_late = item.at - first.at > DEADLINE_MARGIN_SECONDS
            is_wrong = _states_too_much(item, first, sent, is_late=is_late)
            counted += is_wrong or is_late
            if is_wrong:
                wrong.append(f"{item.request_id} at {item.upstream_id}")
        return wrong, counted

    def sends_in_backoff(self) -> dict[tuple[str, str], int]:
        """Return the sends in the backoff of an upstream, by router and upstream.

        Only the most that one refusal's backoff saw are counted, and only where they
        exceed `MAX_IN_BACKOFF`.
        """
        received_by_pair = collections.defaultdict(list)
        for item in self._all_received():
            sent = self.sent_by_id.get(item.request_id)
            if sent is not None:
                received_by_pair[sent.router, item.upstream_id].append(item)
        found = {}
        for pair, received in received_by_pair.items():
            most = max(self._count_in_backoff(pair[0], received, r) for r in received)
            if most > MAX_IN_BACKOFF:
                found[pair] = most
        return found

    def violations(self) -> list[str]:
        """Return a description of each limit that was passed."""
        found = []
        for service, peak in self.retry_peaks().items():
            if peak.excess > 0:
                found.append(
                    f"retries: {service}: {peak.retries} of {peak.permitted:.1f}"
                )
        extra = self.extra_attempts()
        if len(extra) > MAX_EXTRA_ATTEMPTS:
            found.append(f"attempts: {len(extra)} requests, {extra[:3]}")
        wrong, counted = self.wrong_deadlines()
        is_many = len(wrong) > MAX_WRONG_DEADLINES
        if is_many and len(wrong) > MAX_WRONG_DEADLINE_SHARE * counted:
            found.append(f"deadlines: {len(wrong)} of {counted}, {wrong[:3]}")
        for (router, upstream_id), count in self.sends_in_backoff().items():
            found.append(f"backoff: {upstream_id} got {count} from {router}")
        return found

    def _all_received(self) -> Iterable[Received]:
        for received in self.received_by_service.values():
            yield from received

    def _count_in_backoff(
        self, router: str, received: Sequence[Received], refusal: Received
    ) -> int:
        begin = refusal.at + BACKOFF_NOTICE_SECONDS
        end = refusal.at + refusal.backoff
        count = 0
        for item in received:
            is_inside = begin < item.at < end
            count += is_inside and not self.is_disturbed(router, item.at)
        return count


def overspent(
    spent_by_account: Mapping[str, int], prepaid_by_account: Mapping[str, int]
) -> list[str]:
    """Return a description of each account that got more than was paid, in tokens."""
    found = []
    for account, tokens in spent_by_account.items():
        if tokens > prepaid_by_account[account]:
            paid = prepaid_by_account[account]
            found.append(f"prepaid: {account}: {tokens} of {paid}")
    return found


def _states_too_much(
    item: Received, first: Received, sent: Sent, *, is_late: bool
) -> bool:
    if item.deadline is None:
        return True
    if item.deadline > sent.deadline + DEADLINE_MARGIN_SECONDS:
        return True
    if not is_late:
        return False
    ends_at = max(first.at + (first.deadline or 0.0), sent.sent_at + sent.deadline)
    return item.at + item.deadline > ends_at + DEADLINE_MARGIN_SECONDS
