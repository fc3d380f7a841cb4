"""What a request has waited for an engine."""

from __future__ import annotations

from lynxchute.overload.claim import AdmissionPending
from lynxchute.relay.exchange import Exchange
from lynxchute.telemetry import log_event


class Wait:
    """Log how long a request waits for its turn, and what comes of it.

    Parameters
    ----------
    begun_at
        When it first asked for an engine, in seconds.
    """

    def __init__(self, exchange: Exchange, begun_at: float) -> None:
        self.exchange = exchange
        self._begun_at = begun_at
        self._turns = 0

    @property
    def has_waited(self) -> bool:
        """Return whether it had to wait."""
        return self._turns > 0

    def note(self, turn: AdmissionPending) -> None:
        """Note that it has to ask again."""
        self._turns += 1
        if self._turns > 1:
            return
        log_event(
            "request queued for an engine",
            request_id=self.exchange.call.request_id,
            ahead=turn.ahead,
            asks_again_s=round(turn.seconds, 3),
        )

    def note_placed(self, now: float) -> None:
        """Note that it has an engine."""
        if not self._turns:
            return
        log_event(
            "queued request assigned to an engine",
            request_id=self.exchange.call.request_id,
            waited_s=round(now - self._begun_at, 3),
            asked=self._turns + 1,
        )

    def note_refused(self, retry_after: float, now: float) -> None:
        """Note that its turn would come too late."""
        account = self.exchange.account
        log_event(
            "engine queue wait exceeds deadline",
            request_id=self.exchange.call.request_id,
            account=account.name if account is not None else "",
            waited_s=round(now - self._begun_at, 3),
            retry_after_s=round(retry_after, 3),
        )
