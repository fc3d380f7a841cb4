"""Limit the number of retries in the whole fleet."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

import attrs

# Part of the allowance that a router uses which knows all retries of its share.
MAX_USED_SHARE = 0.8
# Part of the allowance that a router uses which does not know what an earlier process
# sent in its place, of which others may not know yet, or whose next process would not
# know. All processes of one window earn it together, so both parts and a margin fit
# into the allowance.
RESERVED_SHARE = 0.15
# Windows after which a view of the registered routers is too old. By then each router
# has heard of one that registered, or knows that its own view is old.
MAX_VIEW_WINDOWS = 1.5
# Windows after which no retry counts any more that a router sent which did not know of
# one that registered.
JOINED_WINDOWS = MAX_VIEW_WINDOWS + 1.0


@attrs.define
class _Window:
    """What was counted for a service.

    Attributes
    ----------
    requests, retries
        When requests came and retries were sent within a window, in seconds.
    permitted
        Retries that are permitted and not sent yet.
    """

    requests: deque[float] = attrs.Factory(deque)
    retries: deque[float] = attrs.Factory(deque)
    permitted: int = 0


class RetryBudget:
    """Permit retries for each service within a sliding window.

    Each router may use an equal part of the extra retries plus `share` times its own
    requests, both multiplied by `MAX_USED_SHARE`. So the fleet stays within the limit
    without any communication. Retries count when they are sent; until then their
    permits do.

    A process does not know what an earlier one sent. Until the window has passed since
    its start, or unless it is told that earlier processes sent nothing, it earns
    `RESERVED_SHARE` of its allowance with its requests and its age. The same holds
    while a process that follows would not learn of its retries.

    The extra retries belong to the registered routers. A router has no part of them
    while it does not know the others, or has not confirmed them for
    `MAX_VIEW_WINDOWS`; one that others may not know of yet uses its reserve for
    `JOINED_WINDOWS`.

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
    leaving_seconds
        For how many seconds a router that leaves may still send retries.
    routers_confirmed_at
        Returns when the registered routers were last confirmed, in seconds.

    Attributes
    ----------
    routers
        Number of routers that share the extra retries; 0 if it is not known.

    Examples
    --------
    >>> budget = RetryBudget(share=0.0, extra=2.5, window=10.0)
    >>> [budget.spend("app", now) for now in (0.0, 1.0, 2.0, 10.5)]
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
        leaving_seconds: float = 0.0,
        routers_confirmed_at: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.routers = 1
        self._marked_until = marked_until
        self._routers_confirmed_at = routers_confirmed_at
        self._share = share
        self._extra = extra
        self._window = window
        self._started_at = started_at
        self._known_from = started_at + window
        self._leaving_seconds = leaving_seconds
        # Earlier numbers of routers, and until when they applied.
        self._earlier_routers: deque[tuple[float, int]] = deque()
        self._windows_by_service: dict[str, _Window] = {}

    def change(self, *, share: float, extra: float, window: float) -> None:
        """Apply new limits from now on."""
        self._share = share
        self._extra = extra
        self._window = window

    def record_routers(self, count: int, now: float) -> None:
        """Record how many routers share the extra retries from now on."""
        if count != self.routers:
            self._earlier_routers.append((now, self.routers))
            self.routers = count

    def record_joined(self, now: float) -> None:
        """Record that others may not know of this router yet."""
        if self._known_from > -math.inf:
            self._known_from = now + JOINED_WINDOWS * self._window

    def record_unused(self) -> None:
        """Record that earlier processes sent no more than their reserve."""
        self._known_from = -math.inf

    def knows_window(self, now: float) -> bool:
        """Return whether all retries of this router's share are known."""
        return now >= self._known_from

    def record_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._pruned(service, now).requests.append(now)

    def spend(
        self, service: str, now: float, *, used_share: float = MAX_USED_SHARE
    ) -> bool:
        """Return whether a retry that is sent now is permitted, and count it if so.

        Parameters
        ----------
        used_share
            Part of the allowance that may be used, including this retry.
        """
        if not self.permit(service, now, used_share=used_share):
            return False
        self.record_sent(service, now)
        return True

    def permit(
        self, service: str, now: float, *, used_share: float = MAX_USED_SHARE
    ) -> bool:
        """Return whether a retry is permitted.

        A permit counts until `record_sent` or `return_permit`.

        Parameters
        ----------
        used_share
            Part of the allowance that may be used, including this retry.
        """
        if not self.is_available(service, now, used_share=used_share):
            return False
        self._windows_by_service[service].permitted += 1
        return True

    def record_sent(self, service: str, now: float) -> None:
        """Count a retry that was permitted and is sent now."""
        window = self._pruned(service, now)
        window.permitted -= 1
        window.retries.append(now)

    def return_permit(self, service: str, now: float) -> None:
        """Give back the permit of a retry that is not sent."""
        self._pruned(service, now).permitted -= 1

    def is_available(
        self, service: str, now: float, *, used_share: float = MAX_USED_SHARE
    ) -> bool:
        """Return whether a retry would be permitted."""
        window = self._pruned(service, now)
        is_reserve = not self.knows_window(now) or now >= self._marked_until()
        used_share = min(used_share, RESERVED_SHARE if is_reserve else MAX_USED_SHARE)
        permitted = self._share * len(window.requests)
        sharing = self._sharing_routers(now)
        if sharing:
            age = now - self._started_at if is_reserve else self._window
            permitted += self._extra / sharing * min(age / self._window, 1.0)
        used = len(window.retries) + window.permitted
        return used + 1 <= permitted * used_share

    def describe(self, service: str, now: float) -> dict[str, float | bool]:
        """Return the state of a service's window for log lines."""
        window = self._pruned(service, now)
        return {
            "retries": len(window.retries),
            "permitted": window.permitted,
            "requests": len(window.requests),
            "routers": self._sharing_routers(now),
            "knows_window": self.knows_window(now),
            "is_marked": now < self._marked_until(),
        }

    def _sharing_routers(self, now: float) -> int:
        """Return among how many routers the extra retries are divided; 0 if unknown.

        A router that leaves has used its part, and may still do so.
        """
        if now > self._routers_confirmed_at() + MAX_VIEW_WINDOWS * self._window:
            return 0
        earlier, since = self._earlier_routers, now - self._window
        while earlier and earlier[0][0] + self._leaving_seconds <= since:
            earlier.popleft()
        return max([self.routers, *(count for _, count in earlier)])

    def _pruned(self, service: str, now: float) -> _Window:
        """Return the window of a service that ends now."""
        window = self._windows_by_service.setdefault(service, _Window())
        oldest = now - self._window
        for times in (window.requests, window.retries):
            while times and times[0] <= oldest:
                times.popleft()
        return window
