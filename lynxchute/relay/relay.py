"""Serve requests: admit, reserve, send, forward the response, settle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from lynxchute.config import RequestKind
from lynxchute.http import ExchangeError, LinkShare, Request, Responder
from lynxchute.relay.admission import Admission
from lynxchute.relay.answer import UpstreamResponse
from lynxchute.relay.budgets import (
    BudgetExhausted,
    Budgets,
    BudgetUnreachable,
    EmptyReservation,
    Reservation,
)
from lynxchute.relay.dialect import Dialect
from lynxchute.relay.durations import AnswerDurations
from lynxchute.relay.events import EventsOutOfOrder, StreamCut
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.origins import Origins
from lynxchute.relay.passing import EventForwarder
from lynxchute.relay.refusal import Reason, Refusal, RunStatus
from lynxchute.relay.request_log import RequestLog, used_tokens
from lynxchute.relay.sender import SERVER_ERROR, Sender
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.health import SendOutcome

# Larger responses are forwarded as they arrive, and larger failures are not forwarded.
MAX_BUFFERED_BYTES = 1_048_576
CLIENT_ERROR = 400
EVENT_STREAM = "text/event-stream"


@attrs.frozen
class BufferedResponse:
    """Result of reading a response before it is forwarded.

    Attributes
    ----------
    body
        Complete body; None if the response was interrupted.
    is_success
        Whether the upstream processed the request without an error.
    is_forwarded
        Whether the response has already been forwarded to the caller.
    """

    body: bytes | None
    is_success: bool = False
    is_forwarded: bool = False


class Relay:
    """Serves the requests of callers.

    Parameters
    ----------
    dialect
        Decodes requests and responses.
    admission
        Decides which requests are admitted.
    budgets
        Reserves tokens.
    sender
        Sends requests to upstreams.
    origins
        Knows which software versions began streams.
    metrics
        Counts requests by outcome.
    clock
        Steady clock in seconds.
    link_share
        Limits large answers to a share of the VM's link.
    durations
        Remembers how long answers take.
    """

    def __init__(
        self,
        dialect: Dialect,
        admission: Admission,
        budgets: Budgets,
        sender: Sender,
        origins: Origins,
        metrics: Metrics,
        clock: Callable[[], float],
        link_share: LinkShare,
        durations: AnswerDurations,
    ) -> None:
        self._dialect = dialect
        self._admission = admission
        self._budgets = budgets
        self._sender = sender
        self._origins = origins
        self._metrics = metrics
        self._log = RequestLog(metrics, clock)
        self._clock = clock
        self._link_share = link_share
        self._durations = durations
        self._open_timeouts: set[asyncio.Timeout] = set()
        self._is_ending = False

    @property
    def open_requests(self) -> int:
        """Return the number of requests being served."""
        return self._admission.open_requests

    def end_open_requests(self) -> None:
        """Give every open request its final answer now, as the router stops."""
        self._is_ending = True
        now = asyncio.get_running_loop().time()
        for timeout in self._open_timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    async def handle(self, request: Request, respond: Responder) -> None:
        """Serve one request."""
        request_id = ""
        try:
            call = self._dialect.read(request)
            request_id = respond.request_id = call.request_id
            exchange = await self._admission.admit(call, respond)
            if exchange.account is not None:
                respond.set_account(exchange.account.name)
        except Refusal as refusal:
            self._log.record_refusal(request_id, refusal)
            await refusal.send(respond)
            return
        outcome = "left"
        try:
            outcome = await self._serve(exchange)
        finally:
            self._sender.end(exchange)
            self._admission.record_end(exchange)
            self._log.record_end(exchange, outcome)

    async def _serve(self, exchange: Exchange) -> str:
        """Serve an admitted request; return its outcome for the log."""
        if self._is_ending:
            return await self._refuse(exchange, self._timeout_refusal(exchange))
        try:
            async with asyncio.timeout_at(exchange.deadline) as timeout:
                self._open_timeouts.add(timeout)
                try:
                    await self._reserve_and_send(exchange)
                finally:
                    self._open_timeouts.discard(timeout)
        except Refusal as refusal:
            return await self._refuse(exchange, refusal)
        except TimeoutError:
            return await self._refuse(exchange, self._timeout_refusal(exchange))
        self._durations.record(exchange.route.name, self._clock() - exchange.sent_at)
        return "served"

    def _timeout_refusal(self, exchange: Exchange) -> Refusal:
        if self._is_ending:
            reason, title = Reason.STOPPING, "This router stops. Send it again."
        else:
            reason, title = Reason.TIMEOUT, "The time for this request is over."
        return exchange.refuse(reason, title, self._clock())

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> str:
        if exchange.respond.finished:
            # Only the caller's reading is left, which may take longer than the timeout.
            return "served"
        self._metrics.refusals.inc(refusal.reason.value)
        exchange.refusal = refusal
        if exchange.respond.started:
            # The caller must be able to tell that the response is incomplete.
            exchange.respond.abort()
            return f"broken off: {refusal.reason.value}"
        await refusal.send(exchange.respond)
        return f"refused: {refusal.reason.value}"

    async def _reserve_and_send(self, exchange: Exchange) -> None:
        self._sender.check_quarantine(exchange)
        if exchange.is_continued:
            await self._find_origin(exchange)
        reservation = await self._reserve(exchange)
        try:
            if exchange.route.kind is RequestKind.AT_MOST_ONCE:
                # The outcome of such a call matters even after its caller has
                # disconnected. The rest of a stream does not matter then, and other
                # requests need the engine.
                exchange.respond.survives_disconnect = True
            await self._send(exchange)
        finally:
            reservation.settle(used_tokens(exchange))

    async def _find_origin(self, exchange: Exchange) -> None:
        """Find out at which software version a stream may be resumed."""
        call, service = exchange.call, exchange.service
        account = exchange.account.name if exchange.account is not None else ""
        lookup = await self._origins.find(account, call.resumes, service)
        origin = lookup.origin
        age = self._clock() - origin.began_at if origin is not None else 0.0
        log_event(
            "stream to be resumed",
            request_id=call.request_id,
            resumes=call.resumes,
            after_event=call.last_event_id,
            began_at=origin.software_version if origin is not None else None,
            known_from=lookup.source,
            peer=lookup.peer,
            replies=lookup.replies,
            view_age=round(lookup.view_age, 3),
            age=round(age, 3) if lookup.is_recorded else 0.0,
        )
        if origin is None:
            title = (
                "This router cannot find out now which software version began the "
                "stream. Send it again, or begin the stream anew."
            )
            raise exchange.refuse(Reason.ORIGIN_UNKNOWN, title, self._clock())
        if origin.service not in [target.service for target in exchange.route.targets]:
            title = f"The route leads to {service}, and the stream began elsewhere."
            raise Refusal(Reason.VERSION_GONE, title)
        if lookup.may_lack_upstreams:
            title = (
                f"This router knows no upstream of {service} that has the software "
                f"version that began the stream, {origin.software_version}. Send it "
                "again."
            )
            raise exchange.refuse(Reason.VERSION_UNKNOWN, title, self._clock())
        exchange.service = origin.service
        exchange.origin = origin
        exchange.has_precedence = lookup.is_recorded

    async def _reserve(self, exchange: Exchange) -> Reservation:
        account = exchange.account
        tokens = exchange.max_total_tokens
        if account is None or account.prepaid is None or not tokens:
            return EmptyReservation()
        try:
            with self._metrics.reserve_seconds.time():
                return await self._budgets.reserve(
                    exchange.call.request_id, account, tokens
                )
        except BudgetExhausted as error:
            raise Refusal(Reason.BUDGET_EXHAUSTED, str(error)) from error
        except BudgetUnreachable as error:
            raise exchange.refuse(
                Reason.BUDGET_UNREACHABLE, str(error), self._clock()
            ) from error

    async def _send(self, exchange: Exchange) -> None:
        """Send a request until a response can be forwarded."""
        answer = await self._sender.send(exchange)
        while not _is_stream(answer):
            buffered = await self._read_or_forward(exchange, answer)
            if buffered.is_forwarded:
                return
            if buffered.is_success or not await self._sender.claim_retry(exchange):
                await self._forward_buffered(exchange, answer, buffered)
                return
            exchange.tried.add(answer.entry.upstream.id)
            try:
                answer = await self._sender.send(exchange)
            except Refusal:
                if buffered.body is None:
                    raise
                # The retry was refused; forward the error response of the previous
                # send.
                await self._forward_buffered(exchange, answer, buffered)
                return
        await self._stream(exchange, answer)

    # Buffered responses.

    async def _forward_buffered(
        self, exchange: Exchange, answer: UpstreamResponse, buffered: BufferedResponse
    ) -> None:
        if buffered.body is None:
            title = "The upstream's answer broke off; the request may have run."
            raise exchange.refuse(Reason.BROKEN, title, self._clock())
        headers = self._dialect.caller_headers(answer.response.headers)
        exchange.first_byte_at = self._clock()
        await exchange.respond.forward(answer.response.status, headers, buffered.body)

    async def _read_or_forward(
        self, exchange: Exchange, answer: UpstreamResponse
    ) -> BufferedResponse:
        """Read a complete response, or forward it unbuffered if it is too large."""
        send_outcome = SendOutcome.ABANDONED
        failed = answer.response.status >= SERVER_ERROR
        chunks: list[bytes] = []
        size = 0
        try:
            while size <= MAX_BUFFERED_BYTES:
                chunk = await answer.response.read()
                answer.record_heard(self._clock())
                if chunk is None:
                    if not size:
                        _check_empty(answer)
                    await self._check_whole(answer)
                    send_outcome = SendOutcome.FAILED if failed else SendOutcome.SERVED
                    body = b"".join(chunks)
                    exchange.reported_tokens = self._dialect.reported_tokens(body)
                    return BufferedResponse(body, is_success=not failed)
                answer.send.record_answering(self._clock())
                chunks.append(chunk)
                size += len(chunk)
            if failed:
                send_outcome = SendOutcome.FAILED
                log_event(
                    "upstream failure too large",
                    request_id=exchange.call.request_id,
                    upstream=answer.entry.upstream.id,
                    status=answer.response.status,
                    size=size,
                )
                return BufferedResponse(None)
            await self._forward_unbuffered(exchange, answer, chunks)
            send_outcome = SendOutcome.SERVED
            return BufferedResponse(None, is_forwarded=True)
        except ExchangeError as error:
            send_outcome = SendOutcome.BROKEN
            self._sender.record_broken(answer)
            log_event(
                "upstream response interrupted",
                request_id=exchange.call.request_id,
                upstream=answer.entry.upstream.id,
                content=exchange.content_id,
                parts=exchange.logged_parts,
                progress=answer.send.progress.value,
                reason=str(error),
            )
            if exchange.respond.started:
                title = "The answer broke off."
                raise Refusal(Reason.BROKEN, title, run=RunStatus.RAN) from error
            return BufferedResponse(None)
        finally:
            answer.response.close()
            self._sender.release(answer, send_outcome)

    async def _check_whole(self, answer: UpstreamResponse) -> None:
        """Raise `ExchangeError` if an unframed response ended with its upstream."""
        if not await self._sender.has_ended_whole(answer):
            raise ExchangeError("the upstream ended with the connection", sent=True)

    async def _forward_unbuffered(
        self, exchange: Exchange, answer: UpstreamResponse, chunks: list[bytes]
    ) -> None:
        """Forward a large response as it arrives."""
        headers = self._dialect.caller_headers(answer.response.headers)
        length = answer.response.headers.get("content-length")
        if length is not None:
            headers.append((b"Content-Length", length.encode()))
        exchange.first_byte_at = self._clock()
        await exchange.respond.start(answer.response.status, headers)
        for buffered_chunk in chunks:
            await self._send_large(exchange, buffered_chunk)
        while (chunk := await answer.response.read()) is not None:
            answer.record_heard(self._clock())
            await self._send_large(exchange, chunk)
        await self._check_whole(answer)
        await exchange.respond.finish()

    async def _send_large(self, exchange: Exchange, data: bytes) -> None:
        """Send a part of a large answer as its share of the link permits."""
        for piece in self._link_share.pieces(data):
            await self._link_share.wait(len(piece))
            await exchange.respond.send(piece)

    # Streams.

    async def _stream(self, exchange: Exchange, answer: UpstreamResponse) -> None:
        while not await self._forward_events(exchange, answer):
            exchange.tried.add(answer.entry.upstream.id)
            if not await self._origins.verify_begun(exchange):
                title = "The stream broke off, and where it began is not known."
                raise exchange.refuse(Reason.ORIGIN_UNKNOWN, title, self._clock())
            if not await self._sender.claim_retry(exchange):
                title = "The stream broke off and cannot go on elsewhere."
                raise exchange.refuse(Reason.BROKEN, title, self._clock())
            answer = await self._sender.send(exchange)
            if not _is_stream(answer):
                answer.response.close()
                self._sender.release(answer, SendOutcome.FAILED)
                title = "The stream broke off and did not go on elsewhere."
                raise exchange.refuse(Reason.BROKEN, title, self._clock())
        if not exchange.respond.started:
            # The stream was resumed after its last event.
            headers = self._dialect.caller_headers(answer.response.headers)
            await exchange.respond.start(answer.response.status, headers)
        await exchange.respond.finish()

    async def _forward_events(
        self, exchange: Exchange, answer: UpstreamResponse
    ) -> bool:
        """Forward events; return whether the stream is complete."""
        forwarder = EventForwarder(
            self._dialect,
            self._sender,
            self._origins,
            exchange,
            answer,
            self._clock,
            self._link_share,
        )
        send_outcome = SendOutcome.ABANDONED
        try:
            if not await forwarder.may_begin():
                raise StreamCut("its software version is not recorded")
            while not await answer.response.deliver_body(forwarder.forward_events):
                await forwarder.wait_until_writable()
            answer.record_heard(self._clock())
            forwarder.check_end()
            if not await self._sender.has_ended_whole(answer):
                raise StreamCut("the upstream ended with the connection")
            send_outcome = SendOutcome.SERVED
        except (ExchangeError, EventsOutOfOrder, StreamCut) as error:
            send_outcome = SendOutcome.BROKEN
            if isinstance(error, ExchangeError) or not answer.response.is_framed:
                self._sender.record_broken(answer)
            log_event(
                "upstream stream interrupted",
                request_id=exchange.call.request_id,
                upstream=answer.entry.upstream.id,
                content=exchange.content_id,
                parts=exchange.logged_parts,
                progress=answer.send.progress.value,
                last_event=exchange.last_event,
                reason=str(error),
            )
            return False
        finally:
            answer.response.close()
            self._sender.release(answer, send_outcome)
        return True


def _check_empty(answer: UpstreamResponse) -> None:
    """Raise `ExchangeError` if an empty success may be one that was cut."""
    if not answer.response.is_framed and answer.response.status < CLIENT_ERROR:
        raise ExchangeError("the connection ended before the body", sent=True)


def _is_stream(answer: UpstreamResponse) -> bool:
    content_type = answer.response.headers.get("content-type", "")
    return answer.response.status == 200 and content_type.startswith(EVENT_STREAM)
