"""Load shedding by the load of the VM's link."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from lynxchute.http import LinkMeter
from lynxchute.overload import Load
from lynxchute.telemetry import log_event

# A request crosses the link several times: for its tokens, its placement, its body and
# its response. If each crossing waits for this share of the latency objective, another
# router is faster, even including the caller's detour.
MAX_DELAY_SHARE = 0.3
# Link delay in seconds from which on connections are shed as well. Below it, only calls
# with the shortest latency objectives are late.
SHED_DELAY = 0.2
# Seconds for which load is shed after the link was last overloaded. The balancer takes
# two seconds to notice, and a caller's many connections return all at once.
SHED_SECONDS = 8.0


# Link utilization from which on new connections are shed, and the utilization that
# shedding aims for. The balancer notices only after two seconds, in which a caller of a
# hot account opens more connections. With one account sending 108 to 240 requests per
# second to VMs with capacity for 60 (in virtual time), 0.97 of the requests due are
# served. Targets from 0.4 to 0.7 and thresholds from 0.55 to 0.75 change that by at
# most 0.02; a target of 0.4 sheds too much load: 0.95.
SHED_USE = 0.7
TARGET_USE = 0.55
# Link delay in seconds from which on no connection is accepted. The requests of a new
# one would queue behind the bodies that fill the link, while the caller can reach
# another router at once. With one account that overloads a VM, 55 of 1,000 requests of
# a day were refused at 0.3 s, and 8 with this value (22 VMs, links of 5 Mbit/s).
FULL_DELAY = 0.15


class RouterLoad:
    """Reports when callers should use another router instead.

    Balancers send all connections of a caller to one VM, whatever its request rate. The
    link of a small VM can carry only a part of that.

    Parameters
    ----------
    meter
        Estimates how long data queues for the VM's link.
    clock
        Steady clock in seconds.
    rng
        Selects the connections to close.
    """

    def __init__(
        self,
        meter: LinkMeter,
        clock: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._meter = meter
        self._clock = clock
        self._random = rng or random.Random()
        self._shed_until = 0.0

    @property
    def is_shedding(self) -> bool:
        """Return whether the balancer should send connections to other VMs."""
        return self._clock() < self._shed_until

    @property
    def is_full(self) -> bool:
        """Return whether a new connection would only delay the open ones."""
        return self._meter.delay() >= FULL_DELAY

    def poll(self) -> None:
        """Update the load, for subclasses that poll it."""

    def may_accept(self) -> bool:
        """Return whether a newly accepted connection is served."""
        return True

    def record_admitted(self, account: str) -> None:
        """Count an admitted request of a client account."""

    def shed_reason(
        self, objective: float, account: str, *, is_plain_call: bool
    ) -> str:
        """Return the overloaded resource that causes a refusal, or an empty string.

        Parameters
        ----------
        objective
            Latency objective of the request in seconds.
        account
            Name of the client account that pays; empty if none does.
        is_plain_call
            Whether the request needs no engine.
        """
        return "link" if self.misses_objective(objective) else ""

    def shed_reason_for_all(self, objective: float, *, is_plain_call: bool) -> str:
        """Return the overloaded resource for which all accounts are refused, or "".

        This is checked before the body is read.
        """
        return ""

    def loads(self) -> dict[str, Load]:
        """Return the load of each resource by name."""
        return {"link": Load(self._meter.use(), self._meter.delay())}

    def describe_link(self) -> dict[str, Any]:
        """Return what the estimates of the link's load rest on, for the log."""
        return self._meter.describe()

    def has_lagged(self) -> bool:
        """Return whether this router itself was lagging recently."""
        return False

    def closes_after_response(self, account: str = "") -> bool:
        """Return whether a connection should be closed after the current response.

        Only the excess load of the link is moved to other VMs. If all connections were
        closed, the next VM would be overloaded a moment later, and then the one after
        it.
        """
        if not self.is_shedding:
            return False
        use = self._meter.use()
        return use > TARGET_USE and self._random.random() > TARGET_USE / use

    def misses_objective(self, objective: float) -> bool:
        """Return whether this router is too slow to serve a request in time.

        Also starts shedding load if the link is saturated.

        Parameters
        ----------
        objective
            Latency objective of the request in seconds.
        """
        delay = self._meter.delay()
        if delay >= SHED_DELAY or self._meter.use() >= SHED_USE:
            self._start_shedding(delay)
        return delay > objective * MAX_DELAY_SHARE

    def _start_shedding(self, delay: float) -> None:
        if not self.is_shedding:
            log_event(
                "link saturated: shedding load",
                delay_s=round(delay, 3),
                use=round(self._meter.use(), 3),
            )
        self._shed_until = self._clock() + SHED_SECONDS
