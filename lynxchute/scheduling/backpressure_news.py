"""What routers tell one another, beside other questions, of throttled upstreams."""

from __future__ import annotations

from collections.abc import Iterable

from lynxchute.fleet.backpressure_messages import BackpressureNews
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory

# Upstreams of one message: all of a service may be throttled at once.
MAX_TOLD = 32


def known_backpressure(
    directory: Directory, service: str, now: float
) -> tuple[BackpressureNews, ...]:
    """Return what was heard of a service's upstreams that are throttled."""
    told = []
    for entry in directory.throttled(service, now)[:MAX_TOLD]:
        told.append(
            BackpressureNews(
                upstream=entry.upstream.id,
                process=entry.upstream.process,
                limit=entry.backpressure.limit,
                heard_ms=entry.backpressure.heard_ms,
                is_leaving=entry.backpressure.is_leaving,
            )
        )
    return tuple(told)


def merge_backpressure(
    directory: Directory, told: Iterable[BackpressureNews], now: float
) -> None:
    """Take what another router has heard, of processes that are known here."""
    clock_ms = directory.clock_ms(now)
    for news in told:
        entry = directory.entries_by_id.get(news.upstream)
        if entry is None or entry.upstream.process != news.process:
            continue
        if news.limit is not None and news.limit < 0.0:
            continue
        before = entry.backpressure.limit
        if news.is_leaving:
            directory.record_leaving(entry, now)
        is_newer = entry.backpressure.record_peer_limit(
            news.limit, heard_ms=news.heard_ms, now=now, clock_ms=clock_ms
        )
        if not is_newer:
            continue
        directory.refresh_throttled(entry, now)
        if entry.backpressure.limit != before:
            log_event(
                "upstream limit reported by another router",
                upstream=news.upstream,
                limit=news.limit,
                before=before,
                age_ms=clock_ms - news.heard_ms,
            )
