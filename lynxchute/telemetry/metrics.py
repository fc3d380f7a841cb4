"""Counters and histograms of a router, for Prometheus."""

from __future__ import annotations

from lynxchute.telemetry.instruments import (
    Counter,
    Gauge,
    Histogram,
    Instrument,
    LabelledGauge,
)

PREFIX = "lynxchute_"

# From a plain answer within a data centre to the longest deadline, in seconds.
SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Metrics:
    """The instruments of one router.

    Attributes
    ----------
    requests
        Requests by how they ended.
    refusals
        Final answers of the router's own, by reason.
    refusals_with_tokens
        Requests refused for want of tokens though the fleet had as many unused.
    reservations_kept
        Reservations that no other router was asked for, of kept tokens.
    held_bytes, answers_cut
        What waits for callers who read slowly, and what was broken off for it.
    sends
        Sends to upstreams by how they ended.
    sends_withheld
        Requests that were placed at an upstream and not sent there, by reason.
    hedges
        Calls that were slow at their first upstream, by what came of a second send.
    slowness
        How many times as long as usual the slowest plain upstream takes, by service.
    evacuated, cold_upstreams
        Data centres that get nothing new, and upstreams that are cold.
    limits
        Upstreams that name a limit, as this router has heard.
    limited_sends
        Sends to these, by the part of the limit that they were within.
    broken_runs
        Runs that broke off, by how far the upstream had come with them.
    upstream_ends_blamed
        Requests that ends of upstreams were blamed on, by what came of it.
    quarantined
        Requests that are sent to no upstream.
    waiting
        Requests that wait for an engine, at the router that schedules them.
    turns_refused
        Requests refused there since their turn came too late, by client account.
    request_seconds, first_byte_seconds
        From a request's first byte to the end of its answer, and to the first
        byte of it.
    reserve_seconds
        How long tokens took to be set aside.
    store_calls
        Calls to the store by what was called and how they ended.
    store_seconds
        How long the store took to answer writes and scans.
    refused_by_resource
        Requests refused early for the own VM, by the resource that was full.
    connections_ended
        Connections of callers that ended so that they connect elsewhere.
    connections_closed
        New ones that were closed before anything of them was read.
    processor_use, processor_delay
        Share of the time in which the router works, and seconds that an event waits.
    log_lines_dropped
        Log lines that nobody read in time.
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
        self.answers_cut = self._counter(
            "answers_cut", "Answers broken off for want of memory."
        )
        self.sends = self._counter("sends", "Sends to upstreams.", "fate")
        self.sends_withheld = self._counter(
            "sends_withheld", "Placed requests that were not sent.", "reason"
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
        self.log_lines_dropped = self._gauge("log_lines_dropped", "Lines dropped.")

    def exposition(self) -> tuple[bytes, str]:
        """Return everything in Prometheus' text format, and what that is called."""
        # Loaded only where somebody asks, see the instruments.
        from lynxchute.telemetry.exposition import exposition

        return exposition(self._instruments)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        counter = Counter(PREFIX + name, text, labels)
        self._instruments.append(counter)
        return counter

    def _gauge(self, name: str, text: str) -> Gauge:
        gauge = Gauge(PREFIX + name, text)
        self._instruments.append(gauge)
        return gauge

    def _histogram(self, name: str, text: str) -> Histogram:
        histogram = Histogram(f"{PREFIX}{name}_seconds", f"{text} In seconds.", SECONDS)
        self._instruments.append(histogram)
        return histogram
