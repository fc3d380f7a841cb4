"""One accepted connection of the HTTP server."""

from __future__ import annotations

import asyncio
import enum
import json
from typing import TYPE_CHECKING

import h11
from absl import logging

from lynxchute.http.headers import Headers
from lynxchute.http.held_answer import HeldAnswer
from lynxchute.http.messages import BadRequest, Request, RequestHead
from lynxchute.http.responder import CallerDisconnected, Responder
from lynxchute.http.sockets import SocketOptions, apply_options

if TYPE_CHECKING:
    from lynxchute.http.server import HttpServer

# How long a refused sender is listened to, so that closing on its unread
# bytes does not reset the connection under the refusal.
LINGER_SECONDS = 1.0
# Pipelined bytes that are taken while a request is being served.
MAX_PIPELINED_BYTES = 65536
# A caller that reads slowly holds up at most this much of its answer here.
WRITE_BUFFER_BYTES = 65536
# Who reads slowly may leave its window shut for long; who reads nothing is ended here.
SLOW_READERS = SocketOptions(user_timeout_ms=30_000)

PROBLEM_TYPE = "application/problem+json"
# What refusals of this server are called for programs; the others are malformed.
PROBLEMS_BY_STATUS = {502: "broken", 503: "overloaded"}
UNIQUE_HEADERS = ("content-length", "transfer-encoding", "host")


class _Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    SERVING = "serving"
    LINGERING = "lingering"
    CLOSED = "closed"


class ServerConnection(asyncio.Protocol):
    """Read requests one after the other and have each of them served.

    Parameters
    ----------
    server
        The server that accepted the connection and has its requests handled.

    Attributes
    ----------
    served
        The task that serves the current request.
    """

    def __init__(self, server: HttpServer) -> None:
        self.served: asyncio.Task[None] | None = None
        self._server = server
        self._limits = server.limits()
        self._protocol = self._new_protocol()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._phase = _Phase.IDLE
        self._timer: asyncio.TimerHandle | None = None
        self._ends_at: float | None = None
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._received_at = 0.0
        self._responder: Responder | None = None
        self._writable: asyncio.Future[None] | None = None
        self._held: HeldAnswer | None = None
        self._waiting_bytes = 0

    @property
    def _is_gone(self) -> bool:
        if self._held is not None and self._held.is_cut:
            return True
        return self._phase is _Phase.CLOSED

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of a request is at hand."""
        return self._phase is _Phase.IDLE

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.may_accept_connection():
            transport.close()
            return
        if self._server.guard is None:
            apply_options(transport)
        else:
            apply_options(transport, SLOW_READERS)
            clock = self._loop.time
            self._held = HeldAnswer(transport, self._server.guard, clock)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self._set_timer(self._limits.idle_timeout)

    def data_received(self, data: bytes) -> None:
        """Take bytes from the caller."""
        self._server.meter.record_received(len(data))
        if self._phase in (_Phase.LINGERING, _Phase.CLOSED):
            return
        if self._phase is _Phase.SERVING:
            self._waiting_bytes += len(data)
            self._protocol.receive_data(data)
            if self._waiting_bytes > MAX_PIPELINED_BYTES and self._transport:
                self._transport.pause_reading()
            return
        if self._phase is _Phase.IDLE:
            self._begin()
        self._protocol.receive_data(data)
        self._read()

    def eof_received(self) -> bool:
        """Take the end of what the caller sends as its leaving."""
        if self._responder is not None and not self._responder.finished:
            self.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Give up what the caller no longer waits for."""
        self._phase = _Phase.CLOSED
        self._server.connections.discard(self)
        self._drop_timer()
        self._forget_body()
        self._wake_writer()
        if self._held is not None:
            self._held.end()
        if self.served is None or self._responder is None:
            return
        if not self._responder.finished and not self._responder.survives_disconnect:
            self.served.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        if self._writable is None:
            self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._wake_writer()

    # What the server calls.

    def close(self) -> None:
        """Close the connection after what has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Reading.

    def _new_protocol(self) -> h11.Connection:
        limit = self._limits.max_head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _begin(self) -> None:
        self._phase = _Phase.HEAD
        self._received_at = self._loop.time()
        limits = self._server.limits()
        if limits != self._limits and self._protocol.trailing_data == (b"", False):
            self._limits = limits
            self._protocol = self._new_protocol()
        self._set_timer(self._limits.head_timeout)

    def _read(self) -> None:
        """Take the events at hand, until a request is whole."""
        try:
            while self._phase in (_Phase.HEAD, _Phase.BODY):
                event = self._protocol.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take(event)
        except BadRequest as error:
            self._refuse(error.status, error.reason, error.retry_after)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
            return
        if isinstance(event, h11.Data):
            self._take_data(bytes(event.data))
            return
        if isinstance(event, h11.EndOfMessage):
            self._serve()
            return
        self.close()
        self._phase = _Phase.CLOSED

    def _take_head(self, event: h11.Request) -> None:
        raw = event.headers.raw_items()
        size = sum(len(name) + len(value) + 4 for name, value in raw)
        if size + len(event.target) > self._limits.max_head_bytes:
            raise BadRequest(431, "The head of the request is too large.")
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
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._protocol.send(go_ahead) or b"")

    def _check_length(self, headers: Headers) -> None:
        length = headers.get("content-length", "0")
        if not length.isdigit():
            raise BadRequest(400, "Content-Length is no number.")
        if int(length) > self._limits.max_body_bytes:
            raise BadRequest(413, "The body is larger than this router takes.")
        if self._server.buffered_bytes + int(length) > self._limits.max_buffered_bytes:
            reason = "Too many bodies are being read. Send it again later."
            raise BadRequest(503, reason, retry_after=0.5)

    def _take_data(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._server.buffered_bytes += len(data)
        self._body.append(data)
        if self._body_bytes > self._limits.max_body_bytes:
            raise BadRequest(413, "The body is larger than this router takes.")
        if self._server.buffered_bytes > self._limits.max_buffered_bytes:
            reason = "Too many bodies are being read. Send it again later."
            raise BadRequest(503, reason, retry_after=0.5)
        self._set_timer(self._limits.body_timeout)

    def _forget_body(self) -> None:
        self._server.buffered_bytes -= self._body_bytes
        self._body_bytes = 0
        self._body = []

    # Serving.

    def _serve(self) -> None:
        head = self._head
        assert head is not None
        self._phase = _Phase.SERVING
        self._clear_timer()
        request = Request(
            head.method,
            head.target,
            head.headers,
            head.received_at,
            b"".join(self._body),
        )
        self._body = []
        self._responder = Responder(
            head.method, self._protocol, self._write, self._drained, self.abort
        )
        self._responder.close_after_response = self._server.close_after_response
        self._responder.held = self._held
        self.served = self._loop.create_task(self._run(request, self._responder))

    async def _run(self, request: Request, respond: Responder) -> None:
        try:
            await self._server.handler(request, respond)
        except BadRequest as error:
            self._refuse(error.status, error.reason, error.retry_after)
            return
        except (OSError, h11.LocalProtocolError) as error:
            if not self._is_gone:
                logging.warning("response could not be written: %r", error)
        except asyncio.CancelledError:
            self.abort()
            raise
        except Exception:
            logging.exception("unhandled error in a request handler")
            if not respond.started:
                self._refuse(502, "The router failed while it served the request.")
                return
        finally:
            self._forget_body()
            if self._held is None or not respond.finished:
                self.served = None
        if self._held is not None and respond.finished:
            # What is left to do needs no body.
            del request
            await self._caught_up(self._held)
            self.served = None
        self._end_exchange(respond)

    def _end_exchange(self, respond: Responder) -> None:
        if self._phase is _Phase.CLOSED:
            return
        if not respond.finished:
            self.abort()
            return
        done = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        if self._protocol.states != done:
            self.close()
            return
        self._protocol.start_next_cycle()
        self._phase = _Phase.IDLE
        self._responder = None
        waiting, _ = self._protocol.trailing_data
        if self._waiting_bytes and self._transport is not None:
            self._transport.resume_reading()
        self._waiting_bytes = 0
        if waiting:
            self._phase = _Phase.HEAD
            self._received_at = self._loop.time()
            self._set_timer(self._limits.head_timeout)
            self._read()
            return
        self._set_timer(self._limits.idle_timeout)

    def _refuse(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        """Answer a request that is not served, and close the connection."""
        if self._responder is not None and self._responder.started:
            self.abort()
            return
        problem_name = PROBLEMS_BY_STATUS.get(status, "malformed")
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
            self.abort()
            return
        self._write(data)
        self._linger()

    def _linger(self) -> None:
        self._phase = _Phase.LINGERING
        self._forget_body()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._set_timer(LINGER_SECONDS)

    # Writing.

    def _write(self, data: bytes) -> bool:
        """Write to the caller; return whether it reads fast enough for more."""
        if self._transport is None or self._is_gone:
            raise CallerDisconnected("the caller left")
        if data:
            self._server.meter.record_sent(len(data))
            self._transport.write(data)
            if self._held is not None:
                self._held.note_written(len(data))
        return self._writable is None or self._may_wait_here()

    async def _drained(self) -> None:
        if self._writable is not None and not self._may_wait_here():
            await asyncio.shield(self._writable)

    def _may_wait_here(self) -> bool:
        """Return whether the caller need not have read what was written so far."""
        if self._held is None or self._responder is None:
            return False
        return self._responder.finished or self._held.has_room

    async def _caught_up(self, held: HeldAnswer) -> None:
        """Wait until the caller has read its answer; end who reads nothing."""
        while self._writable is not None:
            read = held.read_bytes
            try:
                async with asyncio.timeout(self._limits.idle_timeout):
                    await asyncio.shield(self._writable)
            except TimeoutError:
                if held.read_bytes == read:
                    self.abort()
                    return

    def _wake_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # Timers.

    def _set_timer(self, seconds: float) -> None:
        """Let the present phase last so many seconds at most.

        A timer that comes earlier is left and looks then how long is left: each
        request sets some, and hardly any of them comes to its end.
        """
        self._ends_at = ends_at = self._loop.time() + seconds
        if self._timer is not None:
            if self._timer.when() <= ends_at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(ends_at, self._on_timer)

    def _clear_timer(self) -> None:
        self._ends_at = None

    def _drop_timer(self) -> None:
        self._clear_timer()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._ends_at is None:
            return
        if self._loop.time() < self._ends_at:
            self._timer = self._loop.call_at(self._ends_at, self._on_timer)
            return
        self._ends_at = None
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            self._refuse(408, "The request took too long to arrive.")
            return
        self.close()


def _check_framing(headers: Headers) -> None:
    """Refuse shapes that can hide a second request."""
    for name in UNIQUE_HEADERS:
        if headers.count(name) > 1:
            raise BadRequest(400, f"The header {name} stands twice.")
    if "content-length" in headers and "transfer-encoding" in headers:
        reason = "Content-Length and Transfer-Encoding exclude each other."
        raise BadRequest(400, reason)
