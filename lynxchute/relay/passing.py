"""Forward the events of a stream as they arrive."""

from __future__ import annotations

from collections.abc import Callable

from lynxchute.http import ExchangeError, LinkShare
from lynxchute.relay.answer import GIVEN_UP, UpstreamResponse
from lynxchute.relay.dialect import Dialect
from lynxchute.relay.events import EventSplitter, StreamCut
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.origins import Origins
from lynxchute.relay.sender import Sender
from lynxchute.upstreams.stream_origin import StreamOrigin

# Answers without a length or chunks, and without an event, after which a stream that
# goes on after an event is taken as ended.
EMPTY_ANSWERS_OF_ENDED_STREAM = 2


class EventForwarder:
    """Forwards the events of one upstream response to the caller.

    Parameters
    ----------
    dialect
        Decodes events and response headers.
    sender
        Records the first event and long pauses of the run.
    origins
        Remembers where the stream began.
    exchange
        Request that the stream answers.
    answer
        Response of the upstream.
    clock
        Steady clock in seconds.
    link_share
        Limits large answers to a share of the VM's link.
    """

    def __init__(
        self,
        dialect: Dialect,
        sender: Sender,
        origins: Origins,
        exchange: Exchange,
        answer: UpstreamResponse,
        clock: Callable[[], float],
        link_share: LinkShare,
    ) -> None:
        self._dialect = dialect
        self._sender = sender
        self._origins = origins
        self._exchange = exchange
        self._answer = answer
        self._clock = clock
        self._link_share = link_share
        self._splitter = EventSplitter()
        self._has_events = False
        self._size = link_share.answer_size()
        # Events that are part of a large answer and not written yet.
        self._held = b""

    async def may_begin(self) -> bool:
        """Return whether the first event of the stream may be forwarded."""
        exchange = self._exchange
        if not exchange.may_begin_stream:
            return True
        origin = _origin(exchange.service, self._answer, self._dialect, self._clock())
        if origin is None:
            return True
        return await self._origins.may_begin(exchange, origin, has_begun=True)

    def check_end(self) -> None:
        """Check that the response may end here.

        Raises
        ------
        StreamCut
            If the stream broke off, as far as its events show.
        """
        if self._splitter.rest:
            raise StreamCut("the answer ended inside an event")
        if self._answer.response.is_framed or self._has_events:
            return
        # The end of the connection may be that of the engine.
        if self._exchange.record_empty_answer() < EMPTY_ANSWERS_OF_ENDED_STREAM:
            raise StreamCut("the connection ended before the first event")

    def forward_events(self, data: bytes) -> bool:
        """Forward the events that are now complete.

        Returns
        -------
        bool
            Whether the caller reads as fast as events arrive, and the answer is not
            large. If not, `wait_until_writable` has to be awaited.

        Raises
        ------
        EventsOutOfOrder
            If the events do not directly follow the previous ones.
        ExchangeError
            If the send has been given up, so that another one goes on.
        CallerDisconnected
            If the caller has disconnected.
        """
        exchange, answer = self._exchange, self._answer
        if answer.send.is_cancelled:
            raise ExchangeError(GIVEN_UP, sent=True)
        now = self._clock()
        answer.record_heard(now)
        events = self._splitter.feed(data)
        if events is None:
            return True
        exchange.order.check(events)
        answer.send.record_answering(now)
        self._has_events = True
        if not exchange.events:
            self._record_origin(now)
        was_paused = exchange.has_paused
        exchange.record_events(events.count, events.last_id, now)
        if exchange.has_paused and not was_paused:
            self._sender.record_pause(
                answer, exchange.longest_pause, exchange.route.max_pause
            )
        data = events.data
        reported = self._dialect.reported_tokens(data)
        if reported is not None:
            exchange.reported_tokens = reported
            data = self._dialect.caller_events(exchange.call, data)
        if self._size.is_large(len(data)):
            self._held = data
            data = b""
        if exchange.respond.started:
            return not self._held and exchange.respond.write(data)
        exchange.first_byte_at = now
        self._sender.record_first_event(answer)
        response = answer.response
        headers = self._dialect.caller_headers(response.headers)
        may_write = exchange.respond.start_with_body(response.status, headers, data)
        return may_write and not self._held

    async def wait_until_writable(self) -> None:
        """Write what is held, and wait until the caller may take further events."""
        held, self._held = self._held, b""
        respond = self._exchange.respond
        for piece in self._link_share.pieces(held):
            await self._link_share.wait(len(piece))
            if not respond.write(piece):
                await respond.wait_drained()
        await respond.wait_drained()

    def _record_origin(self, now: float) -> None:
        """Record where the stream began, as its first event is forwarded."""
        exchange = self._exchange
        if exchange.origin is None:
            exchange.origin = _origin(
                exchange.service, self._answer, self._dialect, now
            )
        if exchange.origin is None or not exchange.route.is_repeatable:
            return
        account = exchange.account.name if exchange.account is not None else ""
        self._origins.record(
            account,
            exchange.call.request_id,
            exchange.origin,
            timeout=exchange.route.timeout,
        )


def _origin(
    service: str, answer: UpstreamResponse, dialect: Dialect, now: float
) -> StreamOrigin | None:
    """Return the origin of a stream; None if its software version is not known."""
    upstream = answer.entry.upstream
    if upstream.states_version:
        # Another answer may have changed the version of the entry meanwhile.
        stated = dialect.software_version(answer.response.headers)
        return StreamOrigin(service, stated, began_at=now)
    version = upstream.software_version
    if version is None:
        return None
    return StreamOrigin(
        service, version, upstream.id, upstream.started_ms, began_at=now
    )
