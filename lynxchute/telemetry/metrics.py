"""Prometheus metrics of a router."""

from __future__ import annotations

from lynxchute.telemetry.instruments import (
    Counter,
    Gauge,
    Histogram,
    Instrument,
    LabelledGauge,
)

PREFIX = "lynxchute_"

# Histogram buckets in seconds, from a response of a plain service in the same data
# centre to the longest deadline.
LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Metrics:
    """The metrics of one router.

    Attributes
    ----------
    requests
        Finished requests by outcome.
    refusals
        Error responses of the router itself, by reason.
    refusals_with_tokens
        Requests refused for lack of tokens although the fleet had enough unused ones.
    reservations_kept
        Reservations from tokens that this router retains, without asking other routers.
    connections_ended
        Accepted connections that ended to make room for others.
    requests_dropped
        Requests that were not whole, dropped to free memory.
    held_bytes, answers_cut
        Bytes buffered for slow readers, and responses aborted to free that memory.
    sends
        Attempts at upstreams, by outcome.
    sends_withheld
        Requests that were placed at an upstream but not sent, by reason.
    streams_continued
        Sends that continue a stream, by the software version of their upstream compared
        with the one that began the stream: same, other or unknown.
    origin_lookups
        Lookups of where a stream began, by where it was known from.
    resends_planned
        Running requests of silent upstreams, by whether they can go on elsewhere.
    hedges
        Calls that were slow at their first upstream, by outcome of the hedge.
    slowness
        Response time of the slowest plain upstream, relative to the typical one, by
        service.
    evacuated, cold_upstreams
        Evacuated data centres, and upstreams that are not warmed up.
    limits
        Upstreams that state a rate limit, as known to this router.
    limited_sends
        Attempts at these upstreams, by the part of the limit that admitted them.
    broken_runs
        Runs that were interrupted, by their progress at the upstream.
    upstream_ends_blamed
        Requests suspected of causing upstream crashes, by verdict.
    quarantined
        Requests that are currently in quarantine and not sent to any upstream.
    waiting
        Requests queued for an engine at the router that schedules them.
    turns_refused
        Requests refused by that router because their turn would come too late, by
        client account.
    request_seconds, first_byte_seconds
        Time from the first byte of a request to the end of its response, and to the
        first byte of the response.
    reserve_seconds
        Duration of token reservations.
    store_calls
        Calls to the store by operation and outcome.
    store_seconds
        Duration of writes and scans at the store.
    open_requests
        Requests being served.
    configuration_version
        The version of the configuration in use.
    upstreams
        Upstreams that accept requests.
    store_answers
        1 while the store responds, otherwise 0.
    routers
        Registered routers.
    refused_by_resource
        Requests shed because this VM is overloaded, by the exhausted resource.
    connections_ended
        Caller connections closed due to overload, so that the callers reconnect to
        another router.
    connections_closed
        New connections closed due to overload before anything was read from them.
    processor_use, processor_delay
        Share of time in which the router is busy, and seconds that an event waits for
        the event loop.
    tunnels, tunnels_served
        Tunnels to upstreams that this router asked others for, and that it served, by
        outcome.
    lost_paths
        Upstreams that this router does not reach over its own links.
    cut_off
        1 while this router's own links to upstreams seem to be lost, otherwise 0.
    log_lines_dropped
        Log lines dropped because they were not read in time.
    """

    def __init__(self) -> None:
        self._instruments: list[Instrument] = []
        self.requests = self._counter("requests", "Requests ended.", "outcome")
        self.refusals = self._counter("refusals", "Own final answers.", "reason")
        self.refusals_with_tokens = self._counter(
            "refusals_with_tokens", "Refused for tokens that others had."
        )
        self.reservations_kept = self._counter(
            "reservations_kept", "Reserved of what the router keeps for its callers."
        )
        self.held_bytes = self._gauge(
            "held_bytes", "Bytes of answers that wait for slow readers."
        )
        self.connections_ended = self._counter(
            "connections_ended", "Waiting connections ended for new ones."
        )
        self.requests_dropped = self._counter(
            "requests_dropped", "Incomplete requests dropped for want of memory."
        )
        self.answers_cut = self._counter(
            "answers_cut", "Answers broken off for want of memory."
        )
        self.sends = self._counter("sends", "Sends to upstreams.", "fate")
        self.sends_withheld = self._counter(
            "sends_withheld", "Placed requests that were not sent.", "reason"
        )
        self.streams_continued = self._counter(
            "streams_continued", "Sends that continue a stream.", "software"
        )
        self.origin_lookups = self._counter(
            "origin_lookups", "Streams taken up by their callers.", "source"
        )
        self.resends_planned = self._counter(
            "resends_planned", "Requests of silent upstreams.", "outcome"
        )
        self.hedges = self._counter("hedges", "Slow calls hedged or not.", "outcome")
        self.slowness = LabelledGauge(
            PREFIX + "slowness", "The slowest plain upstream.", ("service",)
        )
        self._instruments.append(self.slowness)
        self.evacuated = self._gauge("evacuated_data_centres", "Evacuated.")
        self.cold_upstreams = self._gauge("cold_upstreams", "Upstreams that are cold.")
        self.limits = self._gauge("upstream_limits", "Upstreams that name a limit.")
        self.limited_sends = self._counter(
            "limited_sends", "Sends within a limit that an upstream names.", "part"
        )
        self.broken_runs = self._counter(
            "broken_runs", "Runs that broke off.", "progress"
        )
        self.upstream_ends_blamed = self._counter(
            "upstream_ends_blamed", "Requests blamed for ends.", "verdict"
        )
        self.quarantined = self._gauge(
            "quarantined_requests", "Requests sent to no upstream."
        )
        self.waiting = self._gauge("waiting_requests", "Wait for an engine.")
        self.turns_refused = self._counter(
            "turns_refused", "Their turn came too late.", "account"
        )
        self.request_seconds = self._histogram("request", "Whole requests.")
        self.first_byte_seconds = self._histogram("first_byte", "First bytes.")
        self.reserve_seconds = self._histogram("reserve", "Reservations of tokens.")
        self.store_calls = self._counter(
            "store_calls", "Calls to the store.", "call", "end"
        )
        self.store_seconds = self._histogram("store", "Writes and scans at the store.")
        self.open_requests = self._gauge("open_requests", "Requests being served.")
        self.configuration_version = self._gauge(
            "configuration_version", "The version in force."
        )
        self.upstreams = self._gauge("upstreams", "Upstreams that take work.")
        self.store_answers = self._gauge("store_answers", "1 while the store answers.")
        self.routers = self._gauge("routers", "Registered routers.")
        self.refused_by_resource = self._counter(
            "refused_by_resource", "Refused early for the own load.", "resource"
        )
        self.connections_ended = self._counter(
            "connections_ended", "Connections ended for the own load."
        )
        self.connections_closed = self._counter(
            "connections_closed", "New connections closed for the own load."
        )
        self.processor_use = self._gauge("processor_use", "Share of the time at work.")
        self.processor_delay = self._gauge(
            "processor_delay_seconds", "How long an event waits for the router."
        )
        self.tunnels = self._counter(
            "tunnels", "Tunnels through other routers.", "outcome"
        )
        self.tunnels_served = self._counter(
            "tunnels_served", "Tunnels for other routers.", "outcome"
        )
        self.lost_paths = self._gauge(
            "lost_paths", "Upstreams that are not reached directly."
        )
        self.cut_off = self._gauge(
            "cut_off", "1 while this router's own links to upstreams seem to be lost."
        )
        self.log_lines_dropped = self._gauge("log_lines_dropped", "Lines dropped.")

    def exposition(self) -> tuple[bytes, str]:
        """Return all metrics in the Prometheus text format, and its media type."""
        # Imported on demand, see `lynxchute.telemetry.instruments`.
        from lynxchute.telemetry.exposition import exposition

        return exposition(self._instruments)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        counter = Counter(PREFIX + name, help_text, labels)
        self._instruments.append(counter)
        return counter

    def _gauge(self, name: str, help_text: str) -> Gauge:
        gauge = Gauge(PREFIX + name, help_text)
        self._instruments.append(gauge)
        return gauge

    def _histogram(self, name: str, help_text: str) -> Histogram:
        histogram = Histogram(
            f"{PREFIX}{name}_seconds", f"{help_text} In seconds.", LATENCY_BUCKETS
        )
        self._instruments.append(histogram)
        return histogram
