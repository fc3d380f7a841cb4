"""HTTP endpoint for a router's metrics and state dump."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lynxchute.clock import steady_seconds
from lynxchute.edge.state import router_state
from lynxchute.http import Request, Responder, not_found
from lynxchute.overload import IDLE_LOAD

if TYPE_CHECKING:
    from lynxchute.edge.application import EdgeApplication

METRICS_PATH = "/metrics"
STATE_PATH = "/state"


class MetricsEndpoint:
    """Serves the metrics and the state dump of a router.

    Parameters
    ----------
    router
        The router to report on.
    log_lines_dropped
        Returns the number of log lines dropped because the log queue was full.
    """

    def __init__(
        self, router: EdgeApplication, log_lines_dropped: Callable[[], int]
    ) -> None:
        self._router = router
        self._log_lines_dropped = log_lines_dropped

    async def handle(self, request: Request, respond: Responder) -> None:
        """Handle a request for metrics or state."""
        if request.path == STATE_PATH:
            await respond.json(200, router_state(self._router))
            return
        if request.path != METRICS_PATH:
            await not_found(request, respond)
            return
        body, content_type = self._metrics()
        await respond.send_whole(200, body, content_type)

    def _metrics(self) -> tuple[bytes, str]:
        router = self._router
        metrics = router.metrics
        current = router.configurations.current
        metrics.open_requests.set(router.relay.open_requests)
        metrics.configuration_version.set(current.version if current else 0)
        metrics.upstreams.set(router.directory.count())
        metrics.store_answers.set(router.ledger_sync.store_answers)
        metrics.routers.set(router.members.count)
        if router.memory_guard is not None:
            metrics.held_bytes.set(router.memory_guard.held)
        metrics.quarantined.set(len(router.containment.quarantine.by_content))
        metrics.evacuated.set(len(router.evacuations.by_data_centre))
        metrics.cold_upstreams.set(router.directory.count_cold(steady_seconds()))
        slowest = router.plain_calls.slowest_by_service(steady_seconds())
        metrics.slowness.replace(slowest)
        metrics.limits.set(router.directory.count_limited())
        processor = router.load.loads().get("processor", IDLE_LOAD)
        metrics.processor_use.set(processor.use)
        metrics.processor_delay.set(processor.delay)
        metrics.log_lines_dropped.set(self._log_lines_dropped())
        return metrics.exposition()
