"""Answers that an upstream sends before it has read the request's body."""

from __future__ import annotations

import asyncio
import enum

import attrs
import h11

from lynxchute.platform import names
from lynxchute.standins.link import reset_connection
from lynxchute.standins.upstream_run import Run, read_body


class Framing(enum.Enum):
    """How an answer tells where its body ends.

    Attributes
    ----------
    LENGTH
        By its length.
    CHUNKS
        By chunks.
    CONNECTION
        By the end of the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Ending(enum.Enum):
    """What the upstream does once it has sent its part of the answer.

    Attributes
    ----------
    RESET
        Reset the connection.
    END_THEN_RESET
        End its side, then reset the connection.
    END_THEN_READ
        End its side, then read the rest of the request.
    READ_THEN_RESET
        End its side, read the rest of the request, then reset the connection.
    CLOSE
        Close the connection with the request unread, so that the kernel resets it.
    READ
        Keep its side open and read the rest of the request.
    """

    RESET = "reset"
    END_THEN_RESET = "end, then reset"
    END_THEN_READ = "end, then read"
    READ_THEN_RESET = "end, read, then reset"
    CLOSE = "close"
    READ = "read"


@attrs.frozen
class EarlyAnswer:
    """An answer that is sent once the head of a request has been read.

    Attributes
    ----------
    body, missing
        Bytes of the body that are sent, and number of those that a declared length or
        chunk has beyond them.
    delay
        Seconds from the last byte to what the upstream does next.
    is_stream
        Whether the body consists of events.
    is_informed
        Whether an informational response comes first.
    version
        The protocol version of its status line.
    is_declined
        Whether it states that the request did not run.
    """

    body: bytes
    ending: Ending
    framing: Framing = Framing.CONNECTION
    status: str = "200 OK"
    missing: int = 0
    delay: float = 0.03
    is_stream: bool = False
    is_informed: bool = False
    is_declined: bool = False
    version: str = "HTTP/1.1"

    async def send(
        self,
        run: Run,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request whose body is not read, and end the connection."""
        transport = writer.transport
        assert isinstance(transport, asyncio.Transport)
        if transport.is_reading():
            transport.pause_reading()
        writer.write(self._encode(run))
        await writer.drain()
        await asyncio.sleep(0)
        if self.ending is Ending.CLOSE:
            return
        if self.ending not in (Ending.RESET, Ending.READ):
            writer.write_eof()
        await asyncio.sleep(self.delay)
        if self.ending in (Ending.RESET, Ending.END_THEN_RESET):
            reset_connection(writer)
            return
        transport.resume_reading()
        await read_body(protocol, reader)
        if self.ending is Ending.READ_THEN_RESET:
            await asyncio.sleep(self.delay)
            reset_connection(writer)
            return
        await reader.read(1)

    def _encode(self, run: Run) -> bytes:
        lines = [
            f"{self.version} {self.status}",
            f"{names.REQUEST_ID}: {run.request_id}",
            f"{names.SIGNATURE}: x.{run.request_id}",
        ]
        if self.is_stream:
            lines.append("Content-Type: text/event-stream")
        if self.is_declined:
            lines.append(f"{names.NOT_RUN}: 1")
        size = len(self.body) + self.missing
        body = self.body
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {size}")
        elif self.framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
            body = f"{size:x}\r\n".encode() + body
            if not self.missing:
                body += b"\r\n0\r\n\r\n"
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        if self.is_informed:
            head = b"HTTP/1.1 100 Continue\r\n\r\n" + head
        return head + body
