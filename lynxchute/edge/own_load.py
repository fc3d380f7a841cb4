"""Measurement of a router's own load, and load shedding."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from lynxchute.clock import steady_seconds
from lynxchute.config import Configuration
from lynxchute.edge.settings import EdgeSettings
from lynxchute.event_loop import SteadyEventLoop
from lynxchute.http import BadRequest, HttpServer, LinkMeter, RequestHead
from lynxchute.overload import (
    LINK_LIMITS,
    MEMORY_LIMITS,
    PROCESSOR_LIMITS,
    CallbackLoadSource,
    LocalShares,
    OverloadGuard,
    ProcessorMeter,
    Resource,
    utilization,
)
from lynxchute.relay.admission import RETRY_AFTER_OVERLOAD
from lynxchute.relay.guarded_load import GuardedLoad
from lynxchute.relay.load import RouterLoad
from lynxchute.relay.own_delay import OwnDelayMeter
from lynxchute.relay.refusal import Reason
from lynxchute.telemetry import Metrics


@attrs.frozen
class LoadControl:
    """Load measurement and load shedding of one router.

    Attributes
    ----------
    meter
        Counts bytes on the network link and measures how long answers are delayed.
    load
        Decides which requests and connections to shed to other routers.
    metrics
        Metrics of the router.
    processor
        Measures the event loop's processor use; None if that feature is off.
    """

    meter: LinkMeter
    load: RouterLoad
    metrics: Metrics
    processor: ProcessorMeter | None = None

    def observe_loop(self) -> None:
        """Start measuring the running event loop."""
        loop = asyncio.get_running_loop()
        if self.processor is not None and isinstance(loop, SteadyEventLoop):
            loop.sleep_observers.append(self.processor.record_sleep)

    def check_head(self, head: RequestHead, current: Configuration | None) -> None:
        """Refuse a request by its head while overload affects all client accounts.

        Raises
        ------
        BadRequest
            With status 503 and a time after which to retry.
        """
        if self.processor is None or current is None:
            return
        host = head.headers.get("host", "").partition(":")[0]
        route = current.find_route(host, head.path)
        if route is None:
            return
        service = current.services_by_name.get(route.targets[0].service)
        is_plain_call = service is None or service.engine is None
        full_resource = self.load.shed_reason_for_all(
            route.latency_objective, is_plain_call=is_plain_call
        )
        if full_resource:
            self.metrics.refusals.inc(Reason.OVERLOADED.value)
            reason = (
                f"This router's {full_resource} is full. "
                "Send the request to another one."
            )
            raise BadRequest(503, reason, retry_after=RETRY_AFTER_OVERLOAD)


def make_load_control(
    settings: EdgeSettings, metrics: Metrics, callers: Callable[[], HttpServer]
) -> LoadControl:
    """Return the load measurement and shedding that the settings enable.

    Parameters
    ----------
    settings
        Settings of the router.
    metrics
        Metrics of the router.
    callers
        Returns the server that buffers callers' request bodies.
    """
    if not settings.features.processor_guard:
        meter = LinkMeter(settings.link_mbps)
        return LoadControl(meter, RouterLoad(meter, steady_seconds), metrics)
    processor = ProcessorMeter(steady_seconds)
    own_delay = OwnDelayMeter(settings.link_mbps, processor, steady_seconds)
    link = CallbackLoadSource("link", own_delay.use, own_delay.link_delay)
    memory = CallbackLoadSource(
        "memory",
        lambda: utilization(
            callers().buffered_bytes, callers().limits().max_buffered_bytes
        ),
    )
    resources = (
        Resource(processor, PROCESSOR_LIMITS),
        Resource(link, LINK_LIMITS),
        Resource(memory, MEMORY_LIMITS),
    )
    shares = LocalShares(lambda: guard.sustainable_share())
    guard = OverloadGuard(resources, steady_seconds, random.Random(), shares)
    load = GuardedLoad(guard, own_delay, steady_seconds, metrics)
    return LoadControl(own_delay, load, metrics, processor)
