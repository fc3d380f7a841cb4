"""Exchange the rate limits of throttled upstreams between routers.

The reports are attached to other messages.
"""

from __future__ import annotations

from collections.abc import Iterable

from lynxchute.fleet.backpressure_messages import BackpressureReport
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory

# Reports in one message; all upstreams of a service may be throttled at once.
MAX_REPORTS = 32


def known_backpressure(
    directory: Directory, service: str, now: float
) -> tuple[BackpressureReport, ...]:
    """Return reports on the throttled upstreams of a service."""
    reports = []
    for entry in directory.with_backpressure(service, now)[:MAX_REPORTS]:
        reports.append(
            BackpressureReport(
                upstream=entry.upstream.id,
                process=entry.upstream.process,
                limit=entry.backpressure.limit,
                heard_ms=entry.backpressure.heard_ms,
                is_leaving=entry.backpressure.is_leaving,
            )
        )
    return tuple(reports)


def merge_backpressure(
    directory: Directory, reports: Iterable[BackpressureReport], now: float
) -> None:
    """Merge the reports of another router on upstream processes known here."""
    clock_ms = directory.clock_ms(now)
    for report in reports:
        entry = directory.entries_by_id.get(report.upstream)
        if entry is None or entry.upstream.process != report.process:
            continue
        if report.limit is not None and report.limit < 0.0:
            continue
        before = entry.backpressure.limit
        if report.is_leaving:
            directory.record_leaving(entry, now)
        is_newer = entry.backpressure.record_peer_limit(
            report.limit, heard_ms=report.heard_ms, now=now, clock_ms=clock_ms
        )
        if not is_newer:
            continue
        directory.update_backpressured(entry, now)
        if entry.backpressure.limit != before:
            log_event(
                "upstream limit reported by another router",
                upstream=report.upstream,
                limit=report.limit,
                before=before,
                age_ms=clock_ms - report.heard_ms,
            )
