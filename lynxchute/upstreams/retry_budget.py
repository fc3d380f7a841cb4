"""Limit the number of retries in the whole fleet."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

import attrs

# Part of a router's allowance that it may save up, and part that it earns in a window.
# A process starts with nothing, so both together bound what all processes of a VM send
# in any window. The rest is a margin for the time that a retry travels.
CAPACITY_SHARE = 0.4
EARNED_SHARE = 0.55
# Least allowance with which a router may save up one whole retry, as it could send none
# otherwise. It earns less in return.
MIN_ALLOWANCE = 1.25
# Part of a window for which a process has earned retries at its start if it is told
# that no earlier process sent any.
UNUSED_WINDOWS = 0.45
# Part of the allowance that may be used in a window while a process that follows would
# not learn of retries.
UNMARKED_SHARE = 0.15
# Windows after which a view of the registered routers is too old. By then each router
# has heard of one that registered, or knows that its own view is old.
MAX_VIEW_WINDOWS = 1.5
# Windows after which a router without retries has saved up all that it may.
FULL_WINDOWS = 10.0
# Retries by which a sum of parts may be off.
TOLERANCE = 1e-9


@attrs.define
class _Bucket:
    """Retries that a service may still get, and what was counted for it.

    Attributes
    ----------
    tokens
        Retries that are earned and neither permitted nor sent.
    permitted
        Retries that are permitted and not sent yet.
    requests, retries
        When requests came and retries were sent within a window, in seconds.
    updated_at
        When `tokens` applied, in seconds.
    """

    updated_at: float
    tokens: float = 0.0
    permitted: int = 0
    requests: deque[float] = attrs.Factory(deque)
    retries: deque[float] = attrs.Factory(deque)


class RetryBudget:
    """Permit retries for each service by a token bucket.

    Each router's allowance in a window is an equal part of the extra retries plus
    `share` times its own requests. It earns a part of it with its requests and with
    time, and saves up another part. So the fleet stays within the limit without any
    communication, whenever processes die, start and suspend: a process that starts has
    earned nothing, and a dead one takes what it has saved with it.

    The extra retries belong to the registered routers. A router earns and keeps none
    while it does not know them, or has not confirmed them for `MAX_VIEW_WINDOWS`. A
    router that others may not know of yet earns its part that much later.

    Parameters
    ----------
    share
        Permitted retries for each request.
    extra
        Additional retries that the whole fleet may send in a window.
    window
        Length of the window in seconds.
    started_at
        When the process started, in seconds.
    marked_until
        Returns until when a process that follows learns that this one may send
        retries, in seconds.
    routers_confirmed_at
        Returns when the registered routers were last confirmed, in seconds.

    Attributes
    ----------
    routers
        Number of routers that share the extra retries; 0 if it is not known.

    Examples
    --------
    >>> budget = RetryBudget(share=0.0, extra=5.0, window=10.0)
    >>> [budget.spend("app", now) for now in (0.0, 1.0, 2.0, 6.0)]
    [True, True, False, True]
    """

    def __init__(
        self,
        *,
        share: float,
        extra: float,
        window: float,
        started_at: float = -math.inf,
        marked_until: Callable[[], float] = lambda: math.inf,
        routers_confirmed_at: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.routers = 1
        self._marked_until = marked_until
        self._routers_confirmed_at = routers_confirmed_at
        self._share = share
        self._extra = extra
        self._window = window
        self._started_at = started_at
        self._extra_from = -math.inf
        self._is_unused = False
        self._buckets_by_service: dict[str, _Bucket] = {}

    def change(self, *, share: float, extra: float, window: float) -> None:
        """Apply new limits from now on."""
        self._share = share
        self._extra = extra
        self._window = window

    def record_routers(self, count: int, now: float) -> None:
        """Record how many routers share the extra retries from now on."""
        if count == self.routers:
            return
        for bucket in self._buckets_by_service.values():
            self._update(bucket, now)
        self.routers = count

    def record_joined(self, now: float) -> None:
        """Record that others may not know of this router yet."""
        if not self._is_unused:
            self._extra_from = now + MAX_VIEW_WINDOWS * self._window

    def record_unused(self) -> None:
        """Record that no retries were sent before this process started."""
        if self._is_unused:
            return
        self._is_unused = True
        self._extra_from = -math.inf
        self._started_at -= UNUSED_WINDOWS * self._window
        for bucket in self._buckets_by_service.values():
            bucket.updated_at -= UNUSED_WINDOWS * self._window

    def knows_window(self, now: float) -> bool:
        """Return whether all retries of this router's share are known."""
        return self._is_unused or now - self._started_at >= self._window

    def record_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        bucket = self._updated(service, now)
        bucket.requests.append(now)
        allowance = self._allowance(bucket, now)
        bucket.tokens += _earned(allowance) * _part(self._share, allowance)
        self._discard_excess(bucket, now)

    def spend(
        self, service: str, now: float, *, used_share: float | None = None
    ) -> bool:
        """Return whether a retry that is sent now is permitted, and count it if so.

        Parameters
        ----------
        used_share
            Most retries in a window, including this one, as a part of what may be
            saved up; None for no such limit.
        """
        if not self.permit(service, now, used_share=used_share):
            return False
        self.record_sent(service, now)
        return True

    def permit(
        self, service: str, now: float, *, used_share: float | None = None
    ) -> bool:
        """Return whether a retry is permitted.

        A permit is held until `record_sent` or `return_permit`.

        Parameters
        ----------
        used_share
            Most retries in a window, including this one, as a part of what may be
            saved up; None for no such limit.
        """
        if not self.is_available(service, now, used_share=used_share):
            return False
        bucket = self._buckets_by_service[service]
        bucket.tokens -= 1.0
        bucket.permitted += 1
        return True

    def record_sent(self, service: str, now: float) -> None:
        """Count a retry that was permitted and is sent now."""
        bucket = self._updated(service, now)
        bucket.permitted -= 1
        bucket.retries.append(now)

    def return_permit(self, service: str, now: float) -> None:
        """Give back the permit of a retry that is not sent."""
        bucket = self._updated(service, now)
        bucket.permitted -= 1
        bucket.tokens += 1.0

    def is_available(
        self, service: str, now: float, *, used_share: float | None = None
    ) -> bool:
        """Return whether a retry would be permitted."""
        bucket = self._updated(service, now)
        allowance = self._allowance(bucket, now)
        most = math.inf
        if used_share is not None:
            most = used_share * _capacity(allowance)
        if now >= self._marked_until():
            most = min(most, UNMARKED_SHARE * allowance)
        used = len(bucket.retries) + bucket.permitted
        return used + 1 <= most and bucket.tokens >= 1.0 - TOLERANCE

    def describe(self, service: str, now: float) -> dict[str, float | bool]:
        """Return the state of a service's bucket for log lines."""
        bucket = self._updated(service, now)
        return {
            "retries": len(bucket.retries),
            "permitted": bucket.permitted,
            "tokens": round(bucket.tokens, 2),
            "requests": len(bucket.requests),
            "routers": self.routers if self._has_extra(now) else 0,
            "knows_window": self.knows_window(now),
            "is_marked": now < self._marked_until(),
        }

    def _updated(self, service: str, now: float) -> _Bucket:
        """Return the bucket of a service as it is now."""
        bucket = self._buckets_by_service.get(service)
        if bucket is None:
            bucket = _Bucket(self._started_at)
            self._buckets_by_service[service] = bucket
        self._update(bucket, now)
        return bucket

    def _update(self, bucket: _Bucket, now: float) -> None:
        oldest = now - self._window
        for times in (bucket.requests, bucket.retries):
            while times and times[0] <= oldest:
                times.popleft()
        begin = max(bucket.updated_at, self._extra_from)
        end = min(now, self._extra_until())
        if self.routers and end > begin:
            allowance = self._allowance(bucket, end)
            begin = max(begin, end - FULL_WINDOWS * self._window)
            extra = self._extra / self.routers * (end - begin) / self._window
            bucket.tokens += _earned(allowance) * _part(extra, allowance)
        bucket.updated_at = max(bucket.updated_at, now)
        self._discard_excess(bucket, now)

    def _discard_excess(self, bucket: _Bucket, now: float) -> None:
        """Discard what is beyond the capacity, of which permits use a part too."""
        capacity = _capacity(self._allowance(bucket, now))
        bucket.tokens = min(bucket.tokens, max(capacity - bucket.permitted, 0.0))

    def _allowance(self, bucket: _Bucket, now: float) -> float:
        """Return the retries that this router may send in a window."""
        allowance = self._share * len(bucket.requests)
        if self._has_extra(now):
            allowance += self._extra / self.routers
        return allowance

    def _has_extra(self, now: float) -> bool:
        """Return whether this router has a part of the extra retries."""
        return self.routers > 0 and self._extra_from <= now <= self._extra_until()

    def _extra_until(self) -> float:
        return self._routers_confirmed_at() + MAX_VIEW_WINDOWS * self._window


def _part(retries: float, allowance: float) -> float:
    """Return a part of the allowance, from 0 to 1."""
    return retries / allowance if allowance else 0.0


def _capacity(allowance: float) -> float:
    """Return how many retries may be saved up."""
    least = 1.0 if allowance >= MIN_ALLOWANCE else 0.0
    return max(CAPACITY_SHARE * allowance, least)


def _earned(allowance: float) -> float:
    """Return how many retries are earned in a window."""
    used_share = CAPACITY_SHARE + EARNED_SHARE
    return max(used_share * allowance - _capacity(allowance), 0.0)
