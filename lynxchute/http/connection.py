"""A connection accepted by the HTTP server."""

from __future__ import annotations

import asyncio
import enum
import json
from typing import TYPE_CHECKING

import h11
from absl import logging

from lynxchute.http.headers import Headers
from lynxchute.http.held_answer import TransportBuffer
from lynxchute.http.messages import BadRequest, Request, RequestHead
from lynxchute.http.parsing_turns import MAX_EVENTS, PROCESS_TURNS
from lynxchute.http.responder import (
    SWITCHING_PROTOCOLS,
    CallerDisconnected,
    Responder,
)
from lynxchute.http.sockets import apply_options, enlarge_receive_buffer
from lynxchute.listening import RECEIVE_BUFFER_BYTES
from lynxchute.overload.connection_limit import LimitedConnection
from lynxchute.overload.inbound_memory import InboundBuffer

if TYPE_CHECKING:
    from lynxchute.http.server import HttpServer

# Seconds for which bytes are still read after an error response. Closing a socket with
# unread bytes would reset the connection and could destroy the response.
LINGER_SECONDS = 1.0
# Seconds after which to send a request again that a stopping server has not read.
STOPPING_RETRY_AFTER = 0.5
# Bytes that the kernel receives of a large body before they are read.
BODY_BUFFER_BYTES = 65536
# A head is kept as bytes by the parser and as text for the handler.
HEAD_COPIES = 2
# Why requests are refused whose bytes find no room, and the seconds after which to
# send them again.
TOO_MANY_BODIES = "Too many bodies are being read. Send it again later."
TOO_MANY_CONNECTIONS = "Too many connections are open. Send it again later."
MEMORY_RETRY_AFTER = 0.5
# Bytes of pipelined requests above which reading is paused while a request is served.
MAX_PIPELINED_BYTES = 32768
# Bytes that are read at a time.
READ_BYTES = 65536
# Shared by all connections, since bytes are handled before the next ones are read.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))
# Bytes that the parser gets at a time. What it holds after a request can't be released
# before the response is complete.
PARSED_BYTES = 8192
# High-water mark of the write buffer, above which a slow reader blocks its handler.
WRITE_BUFFER_BYTES = 65536

PROBLEM_TYPE = "application/problem+json"
# Problem types of error responses by status; all other statuses are "malformed".
PROBLEMS_BY_STATUS = {502: "broken", 503: "overloaded"}
UNIQUE_HEADERS = ("content-length", "transfer-encoding", "host")


class _Phase(enum.Enum):
    """The state of a connection."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVING = "serving"
    LINGERING = "lingering"
    CLOSED = "closed"


class AbortCause(enum.Enum):
    """Why the server reset a connection."""

    CALLER_LEFT = "the caller closed its side"
    BROKEN_OFF = "the handler broke off its response"
    CANCELLED = "the handler was cancelled"
    NOT_FINISHED = "the handler ended without a complete response"
    NOT_READ = "the caller did not read its response"
    STOPPED = "the server stopped"


class ServerConnection(asyncio.BufferedProtocol, InboundBuffer, LimitedConnection):
    """Reads requests one at a time and passes each to the server's handler.

    Parameters
    ----------
    server
        The server that accepted the connection.

    Attributes
    ----------
    handler_task
        The task that serves the current request, if any.
    """

    def __init__(self, server: HttpServer) -> None:
        self.handler_task: asyncio.Task[None] | None = None
        self._server = server
        self._limits = server.limits()
        self._protocol = self._new_protocol()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._phase = _Phase.IDLE
        self._timer: asyncio.TimerHandle | None = None
        self._deadline: float | None = None
        self._head: RequestHead | None = None
        # One buffer, since a body may arrive in very small chunks.
        self._body = bytearray()
        self._body_bytes = 0
        # Size of the request's head.
        self._head_bytes = 0
        # Length of a body that the kernel's enlarged buffer may hold a part of.
        self._announced_bytes = 0
        self._received_at = 0.0
        self._idle_since = self._loop.time()
        self._responder: Responder | None = None
        self._writable: asyncio.Future[None] | None = None
        self._answer_buffer: TransportBuffer | None = None
        # Received bytes that the parser has not got yet.
        self._unparsed = bytearray()
        # Whether requests after the current one were dropped to free memory.
        self._has_dropped = False
        self._is_aborted = False
        # Bytes that were unsent when the closing connection was last checked.
        self._unsent_at_check = 0

    @property
    def _is_disconnected(self) -> bool:
        if self._answer_buffer is not None and self._answer_buffer.is_cut:
            return True
        return self._phase is _Phase.CLOSED

    @property
    def is_idle(self) -> bool:
        """Return whether no part of a request has arrived and none is served."""
        return self._phase is _Phase.IDLE

    @property
    def waiting_since(self) -> float | None:
        """Return since when the caller owes the next bytes, on the event loop's clock.

        None while a request is served or bytes are unsent, and once it is cut off.
        """
        if self._is_disconnected:
            return None
        if self._phase is _Phase.IDLE and not self.is_unanswered:
            return self._idle_since
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            return self._received_at
        return None

    @property
    def is_unanswered(self) -> bool:
        """Return whether a request is being read or served, or bytes are unsent."""
        if self._transport is None or self._phase is _Phase.CLOSED:
            return False
        if self._phase in (_Phase.IDLE, _Phase.LINGERING):
            return self._transport.get_write_buffer_size() > 0
        return True

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.may_accept_connection() or not self._is_within_limit():
            transport.close()
            return
        apply_options(transport, self._server.socket_options)
        if self._server.guard is not None:
            clock = self._loop.time
            self._answer_buffer = TransportBuffer(transport, self._server.guard, clock)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self._set_timer(self._limits.idle_timeout)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that were read into the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the caller."""
        self._server.meter.record_received(len(data))
        if self._phase in (_Phase.LINGERING, _Phase.CLOSED):
            return
        if self._has_dropped:
            return
        self._unparsed += data
        if self._phase is _Phase.SERVING:
            self._limit_pipelined()
            return
        if self._phase is _Phase.IDLE:
            self._begin_request()
        self._process_events()

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        if self._responder is not None and not self._responder.finished:
            self.abort(AbortCause.CALLER_LEFT)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Release buffers; cancel the handler unless it survives a disconnect."""
        self._phase = _Phase.CLOSED
        self._leave_server()
        self._cancel_timer()
        self._unparsed = bytearray()
        if self.handler_task is None:
            self._discard_request()
        self._update_inbound()
        self._wake_writer()
        if self._answer_buffer is not None:
            self._answer_buffer.stop_tracking()
        if self.handler_task is None or self._responder is None:
            return
        if not self._responder.finished and not self._responder.survives_disconnect:
            self.handler_task.cancel()

    def pause_writing(self) -> None:
        """Block writers, as the write buffer is above its high-water mark."""
        if self._writable is None:
            self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Wake writers, as the write buffer has drained."""
        self._wake_writer()

    # Called by the server.

    def close(self) -> None:
        """Close the connection once the buffered bytes are sent.

        A caller that reads none of them for an idle timeout is disconnected.
        """
        if self._transport is None:
            return
        self._transport.close()
        self._unsent_at_check = self._transport.get_write_buffer_size()
        if self._unsent_at_check:
            self._set_timer(self._limits.idle_timeout)

    def end_waiting(self) -> None:
        """End the connection, as others need its place."""
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            self._refuse(503, TOO_MANY_CONNECTIONS, retry_after=MEMORY_RETRY_AFTER)
        else:
            self.close()

    def _leave_server(self) -> None:
        self._server.connections.discard(self)
        if self._server.connection_limit is not None:
            self._server.connection_limit.discard(self)

    def _is_within_limit(self) -> bool:
        limit = self._server.connection_limit
        return limit is None or limit.admit(self)

    def refuse_incomplete(self) -> None:
        """Refuse a request of which only a part has arrived, as the server stops."""
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            reason = "This router is stopping. Send the request again."
            self._refuse(503, reason, STOPPING_RETRY_AFTER, problem_name="stopping")

    def abort(self, cause: AbortCause) -> None:
        """Abort the connection at once; unsent bytes are lost."""
        if self._transport is None or self._is_aborted:
            return
        self._is_aborted = True
        if cause is not AbortCause.CALLER_LEFT and self._phase is not _Phase.CLOSED:
            self._log_lost_answer(self._transport, cause)
        self._transport.abort()

    def _log_lost_answer(self, transport: asyncio.Transport, cause: AbortCause) -> None:
        """Log that an abort leaves a complete request without a complete response."""
        unsent = transport.get_write_buffer_size()
        respond = self._responder
        is_answered = respond is None or respond.finished
        if is_answered and not unsent:
            return
        fields = {
            "port": self._server.port,
            "request_id": respond.request_id if respond is not None else "",
            "cause": cause.value,
            "status": respond.status if respond is not None else 0,
            "is_answered": is_answered,
            "unsent_bytes": unsent,
            "seconds": round(self._loop.time() - self._received_at, 4),
        }
        logging.info(
            "connection aborted with an incomplete answer", extra={"fields": fields}
        )

    # Reading.

    def _new_protocol(self) -> h11.Connection:
        limit = self._limits.max_head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _begin_request(self) -> None:
        self._phase = _Phase.HEAD
        self._received_at = self._loop.time()
        limits = self._server.limits()
        if limits != self._limits and not self._parser_bytes:
            self._limits = limits
            self._protocol = self._new_protocol()
        self._set_timer(self._limits.head_timeout)

    def _process_events(self) -> None:
        """Handle the available protocol events until a request is complete."""
        try:
            for _ in range(MAX_EVENTS):
                if self._phase not in (_Phase.HEAD, _Phase.BODY):
                    return
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA and event is not h11.PAUSED:
                    self._handle_event(event)
                elif self._unparsed:
                    self._feed_parser()
                else:
                    self._resume_reading()
                    self._update_inbound()
                    return
            self._pause_parsing()
            self._update_inbound()
        except BadRequest as error:
            self._refuse(error.status, error.reason, error.retry_after)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))

    def _feed_parser(self) -> None:
        """Give the parser some of the bytes that have arrived."""
        self._protocol.receive_data(bytes(self._unparsed[:PARSED_BYTES]))
        del self._unparsed[:PARSED_BYTES]

    @property
    def _parser_bytes(self) -> int:
        """Return the bytes that the parser holds and has not parsed."""
        unparsed, _ = self._protocol.trailing_data
        return len(unparsed)

    def _update_inbound(self) -> None:
        """Report what this connection holds of the requests that it has received."""
        body = max(self._body_bytes, self._announced_bytes)
        droppable, served = len(self._unparsed), HEAD_COPIES * self._head_bytes + body
        if self._phase in (_Phase.HEAD, _Phase.BODY, _Phase.SERVING):
            served += self._parser_bytes
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            droppable, served = droppable + served, 0
        self._server.inbound.update(
            self, droppable=droppable, served=served, now=self._loop.time()
        )

    def drop_inbound(self) -> None:
        """Refuse an incomplete request; forget what came after one that is served."""
        if self._is_disconnected:
            return
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            self._refuse(503, TOO_MANY_BODIES, retry_after=MEMORY_RETRY_AFTER)
            return
        self._unparsed = bytearray()
        self._has_dropped = True
        if self._responder is not None:
            self._responder.close_after_response = True
        if self._transport is not None:
            self._transport.pause_reading()

    def _pause_parsing(self) -> None:
        """Let other work go on before the rest of what has arrived is parsed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
            self._loop.call_later(PROCESS_TURNS.reserve(), self._resume_parsing)

    def _resume_parsing(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._process_events()

    def _resume_reading(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    def _limit_pipelined(self) -> None:
        """Read on while few enough bytes have arrived ahead of the next request."""
        if len(self._unparsed) <= MAX_PIPELINED_BYTES:
            self._resume_reading()
        elif self._transport is not None:
            self._transport.pause_reading()
        self._update_inbound()

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
            return
        if isinstance(event, h11.Data):
            self._handle_data(bytes(event.data))
            return
        if isinstance(event, h11.EndOfMessage):
            self._start_handler()
            return
        self.close()
        self._phase = _Phase.CLOSED

    def _handle_head(self, event: h11.Request) -> None:
        raw = event.headers.raw_items()
        size = sum(len(name) + len(value) + 4 for name, value in raw)
        if size + len(event.target) > self._limits.max_head_bytes:
            raise BadRequest(431, "The head of the request is too large.")
        self._head_bytes = size + len(event.target)
        headers = Headers(raw)
        _check_framing(headers)
        head = RequestHead(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            headers,
            self._received_at,
        )
        self._server.check_head(head)
        self._check_length(headers)
        self._head = head
        self._phase = _Phase.BODY
        self._set_timer(self._limits.body_timeout)
        if self._protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._protocol.send(interim) or b"")

    def _check_length(self, headers: Headers) -> None:
        length = headers.get("content-length", "0")
        if not length.isdigit():
            raise BadRequest(400, "Content-Length is no number.")
        if int(length) > self._limits.max_body_bytes:
            raise BadRequest(413, "The body is larger than this router takes.")
        if not self._server.inbound.make_room(self, int(length), self._loop.time()):
            raise BadRequest(503, TOO_MANY_BODIES, retry_after=MEMORY_RETRY_AFTER)
        if int(length) > RECEIVE_BUFFER_BYTES and self._transport is not None:
            self._announced_bytes = int(length)
            enlarge_receive_buffer(self._transport, BODY_BUFFER_BYTES)

    def _handle_data(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._server.buffered_bytes += len(data)
        self._body += data
        if self._body_bytes > self._limits.max_body_bytes:
            raise BadRequest(413, "The body is larger than this router takes.")
        self._set_timer(self._limits.body_timeout)

    def _discard_request(self) -> None:
        self._server.buffered_bytes -= self._body_bytes
        self._body_bytes = self._announced_bytes = self._head_bytes = 0
        self._body = bytearray()

    # Serving.

    def _start_handler(self) -> None:
        head = self._head
        assert head is not None
        self._phase = _Phase.SERVING
        self._disarm_timer()
        request = Request(
            head.method,
            head.target,
            head.headers,
            head.received_at,
            bytes(self._body),
        )
        self._body = bytearray()
        self._responder = Responder(
            head.method,
            self._protocol,
            self._write,
            self._wait_drained,
            lambda: self.abort(AbortCause.BROKEN_OFF),
            self._switch_protocol,
        )
        self._responder.close_after_response = self._server.close_after_response
        self._responder.answer_buffer = self._answer_buffer
        self.handler_task = self._loop.create_task(
            self._handle_request(request, self._responder)
        )
        self._limit_pipelined()

    async def _handle_request(self, request: Request, respond: Responder) -> None:
        try:
            await self._server.handler(request, respond)
        except BadRequest as error:
            self._refuse(error.status, error.reason, error.retry_after)
            return
        except CallerDisconnected:
            pass
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                self.abort(AbortCause.CANCELLED)
                raise
            # Something that the handler waited for was cancelled, not the handler.
            if self._refuse_failed(respond):
                return
        except Exception:
            if self._refuse_failed(respond):
                return
        finally:
            self._discard_request()
            self._update_inbound()
            if self._answer_buffer is None or not respond.finished:
                self.handler_task = None
        if self._answer_buffer is not None and respond.finished:
            # Frees the body, which is not needed any more.
            del request
            await self._wait_until_read(self._answer_buffer)
            self.handler_task = None
        self._end_exchange(respond)

    def _refuse_failed(self, respond: Responder) -> bool:
        """Log the error of a handler; return whether its request is refused now."""
        logging.exception("unhandled error in a request handler")
        if respond.started or self._is_disconnected:
            return False
        self._refuse(502, "The router failed while it served the request.")
        return True

    def _end_exchange(self, respond: Responder) -> None:
        if self._phase is _Phase.CLOSED:
            return
        if not respond.finished:
            self.abort(AbortCause.NOT_FINISHED)
            return
        done = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        has_pipelined = bool(self._unparsed or self._parser_bytes)
        if self._has_dropped or (self._protocol.states != done and has_pipelined):
            self._linger()
            return
        if self._protocol.states != done:
            self.close()
            return
        self._protocol.start_next_cycle()
        self._phase = _Phase.IDLE
        self._idle_since = self._loop.time()
        self._responder = None
        if has_pipelined:
            self._phase = _Phase.HEAD
            self._received_at = self._loop.time()
            self._set_timer(self._limits.head_timeout)
            self._process_events()
            return
        self._update_inbound()
        self._set_timer(self._limits.idle_timeout)

    def _refuse(
        self,
        status: int,
        reason: str,
        retry_after: float | None = None,
        *,
        problem_name: str = "",
    ) -> None:
        """Send an error response and close the connection."""
        if self._responder is not None and self._responder.started:
            self.abort(AbortCause.NOT_FINISHED)
            return
        problem_name = problem_name or PROBLEMS_BY_STATUS.get(status, "malformed")
        problem = {
            "type": f"urn:lynxchute:problem:{problem_name}",
            "title": reason,
            "status": status,
            "run": "not_run" if status != 502 else "unknown",
        }
        body = json.dumps(problem).encode()
        headers = [
            ("Content-Type", PROBLEM_TYPE),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after:g}"))
        try:
            response = h11.Response(status_code=status, headers=headers)
            data = self._protocol.send(response) or b""
            data += self._protocol.send(h11.Data(data=body)) or b""
            data += self._protocol.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            logging.info("error response could not be written: %r", error)
            self.abort(AbortCause.NOT_FINISHED)
            return
        self._write(data)
        self._linger()

    def _linger(self) -> None:
        self._phase = _Phase.LINGERING
        self._discard_request()
        # Releases what the parser holds.
        self._protocol = self._new_protocol()
        self._unparsed = bytearray()
        self._server.inbound.discard(self)
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.resume_reading()
        if transport.can_write_eof():
            transport.write_eof()
        self._set_timer(LINGER_SECONDS)

    def _switch_protocol(self, protocol: asyncio.Protocol, upgrade: str) -> None:
        """Hand the transport over to another protocol, after an answer that says so."""
        transport = self._transport
        if transport is None or self._is_disconnected:
            raise CallerDisconnected("the caller disconnected")
        headers = [("Connection", "Upgrade"), ("Upgrade", upgrade)]
        response = h11.InformationalResponse(
            status_code=SWITCHING_PROTOCOLS, headers=headers
        )
        self._write(self._protocol.send(response) or b"")
        early_bytes = self._protocol.trailing_data[0] + bytes(self._unparsed)
        self._phase = _Phase.CLOSED
        self._server.inbound.discard(self)
        self._leave_server()
        self._cancel_timer()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        transport.resume_reading()
        if early_bytes:
            protocol.data_received(early_bytes)

    # Writing.

    def _write(self, data: bytes) -> bool:
        """Write to the caller; return whether more may be written without waiting."""
        if self._transport is None or self._is_disconnected:
            raise CallerDisconnected("the caller disconnected")
        if data:
            self._server.meter.record_sent(len(data))
            self._transport.write(data)
            if self._answer_buffer is not None:
                self._answer_buffer.record_written(len(data))
        return self._writable is None or self._may_buffer()

    async def _wait_drained(self) -> None:
        if self._writable is not None and not self._may_buffer():
            await asyncio.shield(self._writable)

    def _may_buffer(self) -> bool:
        """Return whether the handler may continue while the caller reads the buffer."""
        if self._answer_buffer is None or self._responder is None:
            return False
        return self._responder.finished or self._answer_buffer.has_room

    async def _wait_until_read(self, answer_buffer: TransportBuffer) -> None:
        """Wait until the caller has read its response.

        Aborts the connection if nothing was read within the idle timeout.
        """
        while self._writable is not None:
            read_before = answer_buffer.read_bytes
            try:
                async with asyncio.timeout(self._limits.idle_timeout):
                    await asyncio.shield(self._writable)
            except TimeoutError:
                if answer_buffer.read_bytes == read_before:
                    self.abort(AbortCause.NOT_READ)
                    return

    def _wake_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # Timers.

    def _set_timer(self, seconds: float) -> None:
        """Limit the duration of the current phase, in seconds.

        An earlier timer is kept and rescheduled when it fires. Each request sets
        several timers, and very few of them expire, so this avoids most of the
        cancelling and rescheduling.
        """
        self._deadline = deadline = self._loop.time() + seconds
        if self._timer is not None:
            if self._timer.when() <= deadline:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline, self._on_timer)

    def _disarm_timer(self) -> None:
        self._deadline = None

    def _cancel_timer(self) -> None:
        self._disarm_timer()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._deadline is None:
            return
        if self._loop.time() < self._deadline:
            self._timer = self._loop.call_at(self._deadline, self._on_timer)
            return
        self._deadline = None
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            self._refuse(408, "The request took too long to arrive.")
            return
        if self._transport is None or not self._transport.is_closing():
            self.close()
            return
        if self._transport.get_write_buffer_size() >= self._unsent_at_check:
            self.abort(AbortCause.NOT_READ)
            return
        self._unsent_at_check = self._transport.get_write_buffer_size()
        self._set_timer(self._limits.idle_timeout)


def _check_framing(headers: Headers) -> None:
    """Reject ambiguous framing, which allows request smuggling."""
    for name in UNIQUE_HEADERS:
        if headers.count(name) > 1:
            raise BadRequest(400, f"The header {name} stands twice.")
    if "content-length" in headers and "transfer-encoding" in headers:
        reason = "Content-Length and Transfer-Encoding exclude each other."
        raise BadRequest(400, reason)
