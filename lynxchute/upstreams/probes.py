"""Apply the responses of upstreams to probes."""

from __future__ import annotations

from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.engines import Probe
from lynxchute.upstreams.entry import UpstreamEntry


def handle_probe(
    directory: Directory, entry: UpstreamEntry, probe: Probe, now: float
) -> None:
    """Update an upstream's start time, warm-up and backpressure by a probe response."""
    if directory.record_start(entry, probe.started_ms, now):
        directory.changed()
    entry = directory.entries_by_id.get(entry.upstream.id, entry)
    directory.record_probe_answer(entry, probe.statement, now)
    if probe.active_requests is not None:
        entry.record_active_requests(probe.active_requests, now)
    if entry.extend_cold(probe.cold_seconds, now):
        log_event(
            "upstream cold",
            upstream=entry.upstream.id,
            cold_s=round(probe.cold_seconds, 3),
        )
