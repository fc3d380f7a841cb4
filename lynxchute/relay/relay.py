"""Serve callers: admit, reserve, send, pass the answer on, settle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from lynxchute.config import RequestKind
from lynxchute.http import ExchangeFailed, Request, Responder
from lynxchute.relay.admission import Admission
from lynxchute.relay.answer import Answer
from lynxchute.relay.budgets import (
    BudgetExhausted,
    Budgets,
    BudgetUnreachable,
    NothingReserved,
    Reservation,
)
from lynxchute.relay.dialect import Dialect
from lynxchute.relay.events import EventsOutOfOrder
from lynxchute.relay.exchange import Exchange
from lynxchute.relay.passing import EventPassing
from lynxchute.relay.refusal import Reason, Refusal, RunStatus
from lynxchute.relay.request_log import RequestLog, used_tokens
from lynxchute.relay.sender import SERVER_ERROR, Sender
from lynxchute.telemetry import Metrics, log_event
from lynxchute.upstreams.health import SendOutcome

# Larger answers are passed on as they come.
MAX_HELD_BYTES = 1_048_576
EVENT_STREAM = "text/event-stream"


@attrs.frozen
class Held:
    """An answer that was read before it is passed on.

    Attributes
    ----------
    body
        All of it; None where it broke off.
    is_good
        Whether the upstream did what was asked.
    is_passed_on
        Whether the caller has it already.
    """

    body: bytes | None
    is_good: bool = False
    is_passed_on: bool = False


class Relay:
    """Serve the requests of callers.

    Parameters
    ----------
    dialect
        How callers and upstreams write.
    admission
        Decides which requests are served.
    budgets
        Sets tokens aside.
    sender
        Sends requests to upstreams.
    metrics
        Where ends are counted.
    clock
        Seconds on the loop's clock.
    """

    def __init__(
        self,
        dialect: Dialect,
        admission: Admission,
        budgets: Budgets,
        sender: Sender,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._admission = admission
        self._budgets = budgets
        self._sender = sender
        self._metrics = metrics
        self._log = RequestLog(metrics, clock)
        self._clock = clock

    @property
    def open_requests(self) -> int:
        """Return how many requests are being served."""
        return self._admission.open_requests

    async def handle(self, request: Request, respond: Responder) -> None:
        """Serve one request."""
        request_id = ""
        try:
            call = self._dialect.read(request)
            request_id = call.request_id
            exchange = await self._admission.admit(call, respond)
            if exchange.account is not None:
                respond.belongs_to(exchange.account.name)
        except Refusal as refusal:
            self._log.note_refusal(request_id, refusal)
            await refusal.send(respond)
            return
        outcome = "left"
        try:
            outcome = await self._serve(exchange)
        finally:
            self._admission.record_end(exchange)
            self._log.note_end(exchange, outcome)

    async def _serve(self, exchange: Exchange) -> str:
        """Serve an admitted request; return the outcome in a word."""
        try:
            async with asyncio.timeout_at(exchange.ends_at):
                await self._reserve_and_send(exchange)
        except Refusal as refusal:
            return await self._end_refused(exchange, refusal)
        except TimeoutError:
            title = "The time for this request is over."
            late = exchange.refuse(Reason.TIMEOUT, title, self._clock())
            return await self._end_refused(exchange, late)
        return "served"

    async def _end_refused(self, exchange: Exchange, refusal: Refusal) -> str:
        self._metrics.refusals.inc(refusal.reason.value)
        if exchange.respond.started:
            # What the caller has of the answer must not look whole.
            exchange.respond.abort()
            return f"broken off: {refusal.reason.value}"
        await refusal.send(exchange.respond)
        return f"refused: {refusal.reason.value}"

    async def _reserve_and_send(self, exchange: Exchange) -> None:
        self._sender.check_quarantine(exchange)
        reservation = await self._reserve(exchange)
        try:
            if exchange.route.kind is RequestKind.AT_MOST_ONCE:
                # What a call does is worth knowing also without its caller; a
                # stream's next events are not, and its engine's time is others'.
                exchange.respond.outlives_caller = True
            await self._send(exchange)
        finally:
            reservation.settle(used_tokens(exchange))

    async def _reserve(self, exchange: Exchange) -> Reservation:
        account = exchange.account
        tokens = exchange.most_tokens
        if account is None or account.prepaid is None or not tokens:
            return NothingReserved()
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
        """Send a request until an answer can be passed on."""
        answer = await self._sender.send(exchange)
        while not _is_stream(answer):
            held = await self._hold(exchange, answer)
            if held.is_passed_on:
                return
            if held.is_good or not self._sender.may_send_again(exchange):
                await self._forward(exchange, answer, held)
                return
            exchange.tried.add(answer.entry.upstream.id)
            try:
                answer = await self._sender.send(exchange)
            except Refusal:
                if held.body is None:
                    raise
                # The first answer is an answer, if a bad one.
                await self._forward(exchange, answer, held)
                return
        await self._stream(exchange, answer)

    # Answers that are passed on whole.

    async def _forward(self, exchange: Exchange, answer: Answer, held: Held) -> None:
        if held.body is None:
            title = "The upstream's answer broke off; the request may have run."
            raise exchange.refuse(Reason.BROKEN, title, self._clock())
        headers = self._dialect.caller_headers(answer.response.headers)
        exchange.first_byte_at = self._clock()
        await exchange.respond.forward(answer.response.status, headers, held.body)

    async def _hold(self, exchange: Exchange, answer: Answer) -> Held:
        """Read an answer whole; pass it on as it comes where it is too large."""
        fate = SendOutcome.ABANDONED
        failed = answer.response.status >= SERVER_ERROR
        parts: list[bytes] = []
        size = 0
        try:
            while size <= MAX_HELD_BYTES:
                piece = await answer.response.read()
                answer.entry.heard_at = self._clock()
                if piece is None:
                    fate = SendOutcome.FAILED if failed else SendOutcome.SERVED
                    body = b"".join(parts)
                    exchange.told_tokens = self._dialect.told_tokens(body)
                    return Held(body, is_good=not failed)
                answer.send.note_answering(self._clock())
                parts.append(piece)
                size += len(piece)
            await self._pass_on(exchange, answer, parts)
            fate = SendOutcome.SERVED
            return Held(None, is_passed_on=True)
        except ExchangeFailed as error:
            fate = SendOutcome.BROKEN
            self._sender.record_broken(answer)
            log_event(
                "upstream response interrupted",
                request_id=exchange.call.request_id,
                upstream=answer.entry.upstream.id,
                content=exchange.content_id,
                progress=answer.send.progress.value,
                reason=str(error),
            )
            if exchange.respond.started:
                title = "The answer broke off."
                raise Refusal(Reason.BROKEN, title, run=RunStatus.RAN) from error
            return Held(None)
        finally:
            answer.response.close()
            self._sender.release(answer, fate)

    async def _pass_on(
        self, exchange: Exchange, answer: Answer, parts: list[bytes]
    ) -> None:
        """Pass a large answer on as it comes."""
        headers = self._dialect.caller_headers(answer.response.headers)
        length = answer.response.headers.get("content-length")
        if length is not None:
            headers.append((b"Content-Length", length.encode()))
        exchange.first_byte_at = self._clock()
        await exchange.respond.start(answer.response.status, headers)
        for part in parts:
            await exchange.respond.send(part)
        while (piece := await answer.response.read()) is not None:
            await exchange.respond.send(piece)
        await exchange.respond.finish()

    # Streams.

    async def _stream(self, exchange: Exchange, answer: Answer) -> None:
        while not await self._pass_events(exchange, answer):
            exchange.tried.add(answer.entry.upstream.id)
            if not self._sender.may_send_again(exchange):
                title = "The stream broke off and cannot go on elsewhere."
                raise exchange.refuse(Reason.BROKEN, title, self._clock())
            answer = await self._sender.send(exchange)
            if not _is_stream(answer):
                answer.response.close()
                self._sender.release(answer, SendOutcome.FAILED)
                title = "The stream broke off and did not go on elsewhere."
                raise exchange.refuse(Reason.BROKEN, title, self._clock())
        await exchange.respond.finish()

    async def _pass_events(self, exchange: Exchange, answer: Answer) -> bool:
        """Pass events on; return whether the stream came to its end."""
        passing = EventPassing(
            self._dialect, self._sender, exchange, answer, self._clock
        )
        fate = SendOutcome.ABANDONED
        try:
            while not await answer.response.read_each(passing.take):
                await exchange.respond.drained()
            answer.entry.heard_at = self._clock()
            if passing.is_within_event:
                fate = SendOutcome.BROKEN
                return False
            fate = SendOutcome.SERVED
        except (ExchangeFailed, EventsOutOfOrder) as error:
            fate = SendOutcome.BROKEN
            if isinstance(error, ExchangeFailed):
                self._sender.record_broken(answer)
            log_event(
                "upstream stream interrupted",
                request_id=exchange.call.request_id,
                upstream=answer.entry.upstream.id,
                content=exchange.content_id,
                progress=answer.send.progress.value,
                last_event=exchange.last_event,
                reason=str(error),
            )
            return False
        finally:
            answer.response.close()
            self._sender.release(answer, fate)
        return True


def _is_stream(answer: Answer) -> bool:
    content_type = answer.response.headers.get("content-type", "")
    return answer.response.status == 200 and content_type.startswith(EVENT_STREAM)
