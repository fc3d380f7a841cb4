"""Load shedding by the load of all resources of a VM."""

from __future__ import annotations

import math
from collections.abc import Callable

from lynxchute.http import LinkMeter
from lynxchute.overload import Load, OverloadGuard
from lynxchute.overload.guard import PROCESSOR_LIMITS
from lynxchute.relay.load import RouterLoad
from lynxchute.telemetry import Metrics, log_event

# Minimum seconds between two log lines about shed load.
LOG_SECONDS = 1.0
# Total event loop delay of one request, in seconds, from which on the router may
# mistake its own lag for slow engines.
LAG_SECONDS = 0.1
# Seconds for which the router counts as lagging after such a delay was last seen.
LAG_HOLD_SECONDS = 2.0


class GuardedLoad(RouterLoad):
    """Sheds the excess load of a VM, whichever of its resources is overloaded.

    Parameters
    ----------
    guard
        Decides what to shed.
    meter
        Estimates how long data queues for the VM's link.
    clock
        Steady clock in seconds.
    metrics
        Counts shed requests and connections.
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
        self._closed_after_response = 0
        self._closed = 0
        self._logged_at = -math.inf
        self._lagged_at = -math.inf

    @property
    def is_shedding(self) -> bool:
        """Return whether the balancer should send connections to other VMs."""
        return not self._guard.is_ready

    @property
    def is_full(self) -> bool:
        """Return False: under overload, connections are accepted and then closed.

        A caller whose connection attempt is refused does not retry.
        """
        return False

    def poll(self) -> None:
        """Update the load of all resources."""
        resource = self._guard.poll()
        load = self._processor_load()
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
        """Return whether a newly accepted connection is served."""
        if not self._guard.closes_new_connection():
            return True
        self._closed += 1
        self._metrics.connections_closed.inc()
        return False

    def record_admitted(self, account: str) -> None:
        """Count an admitted request of a client account."""
        self._guard.record_request(account)

    def shed_reason(
        self, objective: float, account: str, *, is_plain_call: bool
    ) -> str:
        """Return the overloaded resource that causes a refusal, or an empty string."""
        return self._count_refusal(
            self._guard.shed_reason(objective, account, is_plain_call=is_plain_call)
        )

    def shed_reason_for_all(self, objective: float, *, is_plain_call: bool) -> str:
        """Return the overloaded resource for which all accounts are refused, or ""."""
        return self._count_refusal(
            self._guard.shed_reason_for_all(objective, is_plain_call=is_plain_call)
        )

    def has_lagged(self) -> bool:
        """Return whether this router itself was lagging recently."""
        return self._clock() - self._lagged_at < LAG_HOLD_SECONDS

    def closes_after_response(self, account: str = "") -> bool:
        """Return whether a connection should be closed after the current response."""
        if not self._guard.closes_after_response(account):
            return False
        self._closed_after_response += 1
        self._metrics.connections_ended.inc()
        return True

    def loads(self) -> dict[str, Load]:
        """Return the load of each resource by name."""
        return self._guard.loads()

    def _processor_load(self) -> Load:
        return self._guard.load_of("processor")

    def _count_refusal(self, resource: str) -> str:
        if resource:
            self._refused += 1
            self._metrics.refused_by_resource.inc(resource)
        return resource

    def _log_counts(self) -> None:
        """Log the shed load since the last line, at most once per LOG_SECONDS."""
        if not self._refused and not self._closed_after_response and not self._closed:
            return
        now = self._clock()
        if now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        load = self._processor_load()
        log_event(
            "load shed",
            refused=self._refused,
            connections_ended=self._closed_after_response,
            connections_closed=self._closed,
            processor_use=round(load.use, 3),
            processor_delay_s=round(load.delay, 4),
        )
        self._refused = self._closed_after_response = self._closed = 0
