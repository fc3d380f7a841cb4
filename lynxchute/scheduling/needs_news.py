"""What routers tell one another, beside other questions, of upstreams in need."""

from __future__ import annotations

from collections.abc import Iterable

from lynxchute.fleet.needs_messages import NeedNews
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory

# Upstreams of one message: all of a service may be in need at once.
MAX_TOLD = 32


def needs_of(directory: Directory, service: str, now: float) -> tuple[NeedNews, ...]:
    """Return what was heard of a service's upstreams that are in need."""
    told = []
    for entry in directory.needy(service, now)[:MAX_TOLD]:
        told.append(
            NeedNews(
                upstream=entry.upstream.id,
                process=entry.upstream.process,
                limit=entry.needs.limit,
                heard_ms=entry.needs.heard_ms,
                is_leaving=entry.needs.is_leaving,
            )
        )
    return tuple(told)


def take_needs(directory: Directory, told: Iterable[NeedNews], now: float) -> None:
    """Take what another router has heard, of processes that are known here."""
    clock_ms = directory.clock_ms(now)
    for news in told:
        entry = directory.entries_by_id.get(news.upstream)
        if entry is None or entry.upstream.process != news.process:
            continue
        if news.limit is not None and news.limit < 0.0:
            continue
        before = entry.needs.limit
        if news.is_leaving:
            directory.note_leaving(entry, now)
        is_newer = entry.needs.note_told(
            news.limit, heard_ms=news.heard_ms, now=now, clock_ms=clock_ms
        )
        if not is_newer:
            continue
        directory.note_needs(entry, now)
        if entry.needs.limit != before:
            log_event(
                "upstream's limit told",
                upstream=news.upstream,
                limit=news.limit,
                before=before,
                age_ms=clock_ms - news.heard_ms,
            )
