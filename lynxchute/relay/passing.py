"""Pass the events of a stream on as they arrive."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.relay.answer import Answer
from lynxchute.relay.dialect import Dialect
from lynxchute.relay.events import EventSplitter
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.sender import Sender


class EventPassing:
    """Pass the events of one upstream's answer on to the caller.

    Parameters
    ----------
    dialect
        How callers and upstreams write.
    sender
        Is told how the run fares.
    exchange
        The request.
    answer
        The upstream's answer to it.
    clock
        Seconds on the loop's clock.
    """

    def __init__(
        self,
        dialect: Dialect,
        sender: Sender,
        exchange: Exchange,
        answer: Answer,
        clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._sender = sender
        self._exchange = exchange
        self._answer = answer
        self._clock = clock
        self._splitter = EventSplitter()

    @property
    def is_within_event(self) -> bool:
        """Return whether the end of an event is missing."""
        return bool(self._splitter.rest)

    def take(self, data: bytes) -> bool:
        """Pass on the events that are whole now.

        Returns
        -------
        bool
            Whether the caller reads as fast as they come.

        Raises
        ------
        EventsOutOfOrder
            Where they do not follow on those before.
        CallerLeft
            Where nobody reads them any more.
        """
        exchange, answer = self._exchange, self._answer
        now = self._clock()
        answer.entry.heard_at = now
        events = self._splitter.feed(data)
        if events is None:
            return True
        exchange.order.check(events)
        answer.send.note_answering(now)
        had_paused = exchange.has_paused
        exchange.note_events(events.count, events.last_id, now)
        if exchange.has_paused and not had_paused:
            self._sender.record_pause(
                answer, exchange.longest_pause, exchange.route.max_pause
            )
        data = events.data
        told = self._dialect.told_tokens(data)
        if told is not None:
            exchange.told_tokens = told
            data = self._dialect.for_caller(exchange.call, data)
        if exchange.respond.started:
            return exchange.respond.write(data)
        exchange.first_byte_at = now
        self._sender.record_first_event(answer)
        response = answer.response
        headers = self._dialect.caller_headers(response.headers)
        return exchange.respond.begin(response.status, headers, data)
