"""Decide by all resources of a VM when callers are better served by another router."""

from __future__ import annotations

import math
from collections.abc import Callable

from lynxchute.http import LinkMeter
from lynxchute.overload import Load, OverloadGuard
from lynxchute.overload.guard import PROCESSOR_LIMITS
from lynxchute.relay.load import RouterLoad
from lynxchute.telemetry import Metrics, log_event

# Seconds between two log lines on what was sent elsewhere.
LOG_SECONDS = 1.0
# Seconds of a request's own delay, of all its passes, from which on a router is late
# enough to take its own lateness for that of engines.
LAG_SECONDS = 0.1
# Seconds for which what was learned in such a time counts.
LAG_HOLD_SECONDS = 2.0


class GuardedLoad(RouterLoad):
    """Send the excess of a VM elsewhere, whichever resource is full.

    Parameters
    ----------
    guard
        Decides.
    meter
        Tells how long bytes wait for the VM's link.
    clock
        Seconds on the steady clock.
    metrics
        Where what goes elsewhere is counted.
    """

    def __init__(
        self,
        guard: OverloadGuard,
        meter: LinkMeter,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        super().__init__(meter, clock)
        self._guard = guard
        self._metrics = metrics
        self._refused = 0
        self._ended = 0
        self._closed = 0
        self._log_at = -math.inf
        self._lagged_at = -math.inf

    @property
    def is_shedding(self) -> bool:
        """Return whether connections are to go elsewhere."""
        return not self._guard.is_ready

    @property
    def is_full(self) -> bool:
        """Return whether nobody is to reach this VM at all.

        Whose connection is refused does not come back; it is taken and closed instead.
        """
        return False

    def poll(self) -> None:
        """Take note of how full it is now."""
        resource = self._guard.poll()
        load = self._processor()
        if load.delay * PROCESSOR_LIMITS.waits_per_request >= LAG_SECONDS:
            self._lagged_at = self._clock()
        if resource:
            load = self._guard.load_of(resource)
            log_event(
                "router overloaded: shedding load",
                resource=resource,
                use=round(load.use, 3),
                delay_s=round(load.delay, 4),
            )
        self._log_counts()

    def may_accept(self) -> bool:
        """Return whether a connection that has come just now is served."""
        if not self._guard.closes_connection():
            return True
        self._closed += 1
        self._metrics.connections_closed.inc()
        return False

    def note_admitted(self, account: str) -> None:
        """Count an admitted request of a client account."""
        self._guard.record_request(account)

    def shed_reason(self, objective: float, account: str, *, is_brief: bool) -> str:
        """Return the resource for which a request is refused, or an empty text."""
        return self._counted(
            self._guard.shed_reason(objective, account, is_brief=is_brief)
        )

    def shed_reason_for_all(self, objective: float, *, is_brief: bool) -> str:
        """Return the resource for which a request of anybody is refused."""
        return self._counted(
            self._guard.shed_reason_for_all(objective, is_brief=is_brief)
        )

    def has_lagged(self) -> bool:
        """Return whether this router itself has been late just now."""
        return self._clock() - self._lagged_at < LAG_HOLD_SECONDS

    def ends_connection(self, account: str = "") -> bool:
        """Return whether a connection is to end with the answer that it gets now."""
        if not self._guard.ends_connection(account):
            return False
        self._ended += 1
        self._metrics.connections_ended.inc()
        return True

    def loads(self) -> dict[str, Load]:
        """Return the load of each resource by its name."""
        return self._guard.loads()

    def _processor(self) -> Load:
        return self._guard.load_of("processor")

    def _counted(self, resource: str) -> str:
        if resource:
            self._refused += 1
            self._metrics.refused_by_resource.inc(resource)
        return resource

    def _log_counts(self) -> None:
        """Tell what went elsewhere of late, in one line for many."""
        if not self._refused and not self._ended and not self._closed:
            return
        now = self._clock()
        if now - self._log_at < LOG_SECONDS:
            return
        self._log_at = now
        load = self._processor()
        log_event(
            "load shed",
            refused=self._refused,
            connections_ended=self._ended,
            connections_closed=self._closed,
            processor_use=round(load.use, 3),
            processor_delay_s=round(load.delay, 4),
        )
        self._refused = self._ended = self._closed = 0
