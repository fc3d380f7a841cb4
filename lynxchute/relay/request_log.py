"""Log lines and metrics for ended requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lynxchute.relay.exchange import Exchange
from lynxchute.relay.refusal import Refusal, RunStatus
from lynxchute.telemetry import Metrics, log_event


class RequestLog:
    """Logs and counts each request.

    Parameters
    ----------
    metrics
        Counts requests by outcome.
    clock
        Steady clock in seconds.
    """

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._clock = clock

    def record_refusal(self, request_id: str, refusal: Refusal) -> None:
        """Record a request that was not admitted."""
        self._metrics.requests.inc("not admitted")
        self._metrics.refusals.inc(refusal.reason.value)
        log_event(
            "request refused",
            request_id=request_id,
            reason=refusal.reason.value,
            status=refusal.status,
            route=refusal.route,
            account=refusal.account,
        )

    def record_end(self, exchange: Exchange, outcome: str) -> None:
        """Record the end of an admitted request."""
        seconds = self._clock() - exchange.received_at
        first_byte = max(exchange.first_byte_at - exchange.received_at, 0.0)
        self._metrics.requests.inc(outcome.partition(":")[0])
        self._metrics.request_seconds.observe(seconds)
        if first_byte:
            self._metrics.first_byte_seconds.observe(first_byte)
        account = exchange.account
        log_event(
            "request ended",
            request_id=exchange.call.request_id,
            content=exchange.content_id,
            parts=exchange.logged_parts,
            outcome=outcome,
            **_refusal_fields(exchange.refusal),
            status=exchange.respond.status,
            run=exchange.run_status.value,
            route=exchange.route.name,
            account=account.name if account else "",
            configuration=exchange.configuration.version,
            configuration_age=round(exchange.configuration_age, 2),
            upstreams=exchange.upstreams,
            sends=exchange.sends,
            attempts=exchange.route.max_attempts,
            events=exchange.events,
            tokens=used_tokens(exchange),
            seconds=round(seconds, 4),
            first_byte=round(first_byte, 4),
            longest_pause=round(exchange.longest_pause, 4),
            objective=exchange.route.latency_objective,
            max_pause=exchange.route.max_pause,
        )


def _refusal_fields(refusal: Refusal | None) -> dict[str, Any]:
    """Return why a request was refused, or its answer broken off."""
    if refusal is None:
        return {}
    return {"cause": refusal.cause.value, "title": refusal.title}


def used_tokens(exchange: Exchange) -> int:
    """Return an upper bound of the budget tokens that a request has used."""
    generation = exchange.call.generation
    if exchange.run_status is RunStatus.NOT_RUN:
        return 0
    if generation is None:
        return exchange.max_total_tokens
    if exchange.reported_tokens is not None:
        # An upstream must not charge more than was requested.
        return min(exchange.reported_tokens, generation.max_total_tokens)
    service = exchange.configuration.services_by_name.get(exchange.service)
    engine = service.engine if service is not None else None
    if engine is None:
        return generation.max_total_tokens
    delivered = exchange.events * engine.tokens_per_event
    return generation.prompt_tokens + min(delivered, generation.max_output_tokens)
