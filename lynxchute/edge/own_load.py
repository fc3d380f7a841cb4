"""Make what knows and limits a router's own load."""

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
    LINK,
    MEMORY,
    PROCESSOR,
    Guard,
    LocalShares,
    MeasuredSource,
    ProcessorMeter,
    Resource,
    share_of,
)
from lynxchute.relay.admission import RETRY_ELSEWHERE
from lynxchute.relay.guarded_load import GuardedLoad
from lynxchute.relay.load import RouterLoad
from lynxchute.relay.own_delay import OwnDelayMeter
from lynxchute.telemetry import Metrics

# Bodies from this size on are refused before they are read; smaller ones have come
# with their head.
LONG_BODY_BYTES = 4_096


@attrs.frozen
class OwnLoad:
    """What a router knows of its own load.

    Attributes
    ----------
    meter
        Counts what goes over the link, and tells how long answers are held up here.
    load
        Decides what goes elsewhere.
    processor
        Observes the event loop; None where the processor is not measured.
    """

    meter: LinkMeter
    load: RouterLoad
    processor: ProcessorMeter | None = None

    def observe_loop(self) -> None:
        """Measure the running event loop from now on."""
        loop = asyncio.get_running_loop()
        if self.processor is not None and isinstance(loop, SteadyEventLoop):
            loop.sleep_observers.append(self.processor.note_sleep)

    def check_body(self, head: RequestHead, current: Configuration | None) -> None:
        """Refuse a long body before it is read, where it would be refused after that.

        Raises
        ------
        BadRequest
            With a time after which to come back.
        """
        length = head.headers.get("content-length", "0")
        if current is None or not length.isdigit() or int(length) < LONG_BODY_BYTES:
            return
        host = head.headers.get("host", "").partition(":")[0]
        route = current.find_route(host, head.path)
        full = self.load.refuses_all(route.latency_objective) if route else ""
        if full:
            reason = f"This router's {full} is full. Send the request to another one."
            raise BadRequest(503, reason, retry_after=RETRY_ELSEWHERE)


def make_own_load(
    settings: EdgeSettings, metrics: Metrics, callers: Callable[[], HttpServer]
) -> OwnLoad:
    """Return what a router's settings ask for.

    Parameters
    ----------
    callers
        Returns the server that holds callers' bodies.
    """
    if not settings.features.processor_guard:
        meter = LinkMeter(settings.link_mbps)
        return OwnLoad(meter, RouterLoad(meter, steady_seconds))
    processor = ProcessorMeter(steady_seconds)
    own = OwnDelayMeter(settings.link_mbps, processor, steady_seconds)
    link = MeasuredSource("link", own.use, own.link_delay)
    memory = MeasuredSource(
        "memory",
        lambda: share_of(
            callers().buffered_bytes, callers().limits().max_buffered_bytes
        ),
    )
    resources = (
        Resource(processor, PROCESSOR),
        Resource(link, LINK),
        Resource(memory, MEMORY),
    )
    shares = LocalShares(lambda: guard.kept_share())
    guard = Guard(resources, steady_seconds, random.Random(), shares)
    load = GuardedLoad(guard, own, steady_seconds, metrics)
    return OwnLoad(own, load, processor)
