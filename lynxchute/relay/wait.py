"""Logging of the time that requests queue for an engine."""

from __future__ import annotations

from lynxchute.overload.claim import AdmissionPending
from lynxchute.relay.exchange import Exchange
from lynxchute.telemetry import log_event


class QueueWaitLog:
    """Logs how long a request queues for an engine, and the outcome.

    Parameters
    ----------
    exchange
        Request that is waiting.
    started_at
        Time at which the request first asked for an engine, in seconds.
    """

    def __init__(self, exchange: Exchange, started_at: float) -> None:
        self.exchange = exchange
        self._started_at = started_at
        self._polls = 0

    @property
    def has_waited(self) -> bool:
        """Return whether the request had to queue."""
        return self._polls > 0

    def record_queued(self, pending: AdmissionPending) -> None:
        """Record that the request has to ask again later."""
        self._polls += 1
        if self._polls > 1:
            return
        log_event(
            "request queued for an engine",
            request_id=self.exchange.call.request_id,
            ahead=pending.ahead,
            asks_again_s=round(pending.seconds, 3),
        )

    def record_assigned(self, now: float) -> None:
        """Record that the request was assigned to an engine."""
        if not self._polls:
            return
        log_event(
            "queued request assigned to an engine",
            request_id=self.exchange.call.request_id,
            waited_s=round(now - self._started_at, 3),
            asked=self._polls + 1,
        )

    def record_refused(self, retry_after: float, now: float) -> None:
        """Record that the request would be admitted too late."""
        account = self.exchange.account
        log_event(
            "engine queue wait exceeds deadline",
            request_id=self.exchange.call.request_id,
            account=account.name if account is not None else "",
            waited_s=round(now - self._started_at, 3),
            retry_after_s=round(retry_after, 3),
        )
