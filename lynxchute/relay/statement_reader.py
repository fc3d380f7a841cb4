"""Record the backpressure that upstreams declare in response headers."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.http import Headers
from lynxchute.relay.dialect import Dialect
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import UpstreamEntry


class BackpressureRecorder:
    """Records the backpressure that each response declares, for all kinds of sends.

    Parameters
    ----------
    dialect
        Decodes the headers.
    directory
        Stores what upstreams report.
    clock
        Steady clock in seconds.
    """

    def __init__(
        self, dialect: Dialect, directory: Directory, clock: Callable[[], float]
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._clock = clock

    def record(
        self,
        request_id: str,
        entry: UpstreamEntry,
        status: int,
        headers: Headers,
        *,
        sent_at: float,
        is_served: bool,
    ) -> None:
        """Record and log what a response reports of its upstream.

        Parameters
        ----------
        sent_at
            Time at which the request was sent, in seconds.
        is_served
            Whether the request ran, according to the response.
        """
        declared = self._dialect.statement(status, headers)
        has_changed = self._directory.record_declaration(
            entry,
            declared,
            asked_at=sent_at,
            now=self._clock(),
            is_served=is_served,
        )
        if not has_changed:
            return
        log_event(
            "upstream backpressure changed",
            request_id=request_id,
            upstream=entry.upstream.id,
            limit=declared.limit,
            backoff_s=declared.backoff,
            is_leaving=declared.is_leaving,
            max_rejections=declared.max_rejections,
            unreadable=", ".join(declared.unreadable),
        )
