"""Bound the sends that repeat a request, over the whole fleet."""

from __future__ import annotations

from collections import deque

import attrs

# The part of the allowance that the routers use: each sees only its own
# sends, and one that restarts has forgotten those of its last window.
USED_SHARE = 0.8


@attrs.define
class _Window:
    """Requests for a service and repeated sends, as times in seconds."""

    requests: deque[float] = attrs.Factory(deque)
    repeats: deque[float] = attrs.Factory(deque)


class RetryBudget:
    """Permit repeated sends to each service.

    Every router takes its part of the number that the fleet may repeat in any
    case, and the full share of its own requests, so that all together keep to
    the bound without asking one another.

    Parameters
    ----------
    share
        Repeated sends permitted for each request.
    extra
        Repeated sends that the fleet may make besides in a window.
    window
        Length of the window in seconds.

    Attributes
    ----------
    routers
        Routers that share the extra sends.

    Examples
    --------
    >>> budget = RetryBudget(share=0.0, extra=2.5, window=10.0)
    >>> [budget.spend("app", now) for now in (0.0, 1.0, 2.0, 10.5)]
    [True, True, False, True]
    """

    def __init__(self, *, share: float, extra: float, window: float) -> None:
        self.routers = 1
        self._share = share
        self._extra = extra
        self._window = window
        self._windows_by_service: dict[str, _Window] = {}

    def change(self, *, share: float, extra: float, window: float) -> None:
        """Take other figures from now on."""
        self._share = share
        self._extra = extra
        self._window = window

    def record_request(self, service: str, now: float) -> None:
        """Count a request for a service."""
        window = self._windows_by_service.setdefault(service, _Window())
        window.requests.append(now)
        self._forget(window, now)

    def spend(
        self, service: str, now: float, *, used_share: float = USED_SHARE
    ) -> bool:
        """Return whether a repeated send is permitted, and count it if so.

        Parameters
        ----------
        used_share
            The part of the allowance that may be used, counting this send.
        """
        window = self._windows_by_service.setdefault(service, _Window())
        self._forget(window, now)
        permitted = self._extra / max(self.routers, 1)
        permitted += self._share * len(window.requests)
        if len(window.repeats) + 1 > permitted * min(used_share, USED_SHARE):
            return False
        window.repeats.append(now)
        return True

    def _forget(self, window: _Window, now: float) -> None:
        oldest = now - self._window
        for times in (window.requests, window.repeats):
            while times and times[0] <= oldest:
                times.popleft()
