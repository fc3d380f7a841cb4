"""Take what the answers to requests state of the upstreams that gave them."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.http import Response
from lynxchute.relay.dialect import Dialect
from lynxchute.telemetry import log_event
from lynxchute.upstreams.directory import Directory
from lynxchute.upstreams.entry import Entry


class StatementReader:
    """Read each answer's head once, whatever way of sending it answers.

    Parameters
    ----------
    dialect
        How upstreams write.
    directory
        Keeps what they state.
    clock
        Seconds on the steady clock.
    """

    def __init__(
        self, dialect: Dialect, directory: Directory, clock: Callable[[], float]
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._clock = clock

    def read(
        self,
        request_id: str,
        entry: Entry,
        response: Response,
        *,
        sent_at: float,
        is_served: bool,
    ) -> None:
        """Take what an answer states.

        Parameters
        ----------
        sent_at
            When the request was sent, in seconds.
        is_served
            Whether it ran, as far as the answer says.
        """
        statement = self._dialect.statement(response.status, response.headers)
        is_news = self._directory.record_statement(
            entry,
            statement,
            asked_at=sent_at,
            now=self._clock(),
            is_served=is_served,
        )
        if not is_news:
            return
        log_event(
            "upstream backpressure changed",
            request_id=request_id,
            upstream=entry.upstream.id,
            limit=statement.limit,
            backoff_s=statement.backoff,
            is_leaving=statement.is_leaving,
            unreadable=", ".join(statement.unreadable),
        )
