"""Frames in which the bytes of a connection travel through another router.

The frames tell the end of an upstream's answer apart from the end of the router that
forwards it: an answer without a length ends with its connection, and must not look
complete if a router has died.
"""

from __future__ import annotations

import enum
import struct

import attrs

from lynxchute.tunnels.errors import FrameError

HEADER = struct.Struct(">BI")
BYTE_COUNT = struct.Struct(">Q")
MAX_PAYLOAD_BYTES = 262_144


class FrameKind(enum.IntEnum):
    """What a frame says.

    Attributes
    ----------
    DATA
        Bytes of the connection.
    END
        The upstream has closed its side in order. The payload is the number of bytes of
        the connection that it had acknowledged; it is sent again as they become more.
        Routers of older builds leave it out.
    CLOSING
        No further request may be sent on this connection: the forwarding router stops,
        or the upstream has asked it for backoff.
    LABEL
        Id of the next request, for logs.
    BACKOFF
        Seconds of backoff that the upstream has asked for on this connection.
    """

    DATA = 0
    END = 1
    CLOSING = 2
    LABEL = 3
    BACKOFF = 4


@attrs.frozen
class Frame:
    """One frame; the payload is empty unless its kind has one."""

    kind: FrameKind
    payload: bytes = b""

    def encode(self) -> bytes:
        """Return the frame as bytes."""
        return HEADER.pack(self.kind, len(self.payload)) + self.payload


def encode_end(acknowledged: int) -> bytes:
    """Return the frame of an end, with the bytes that the upstream acknowledged."""
    return Frame(FrameKind.END, BYTE_COUNT.pack(acknowledged)).encode()


def decode_end(frame: Frame) -> int | None:
    """Return the number of bytes that the upstream acknowledged; None if not stated."""
    if len(frame.payload) != BYTE_COUNT.size:
        return None
    return int(BYTE_COUNT.unpack(frame.payload)[0])


def encode_data(data: bytes) -> bytes:
    """Return bytes of a connection as frames."""
    if len(data) <= MAX_PAYLOAD_BYTES:
        return Frame(FrameKind.DATA, data).encode()
    frames = []
    for start in range(0, len(data), MAX_PAYLOAD_BYTES):
        payload = data[start : start + MAX_PAYLOAD_BYTES]
        frames.append(Frame(FrameKind.DATA, payload).encode())
    return b"".join(frames)


class FrameDecoder:
    """Decode frames from bytes that arrive in pieces of any size.

    Examples
    --------
    >>> decoder = FrameDecoder()
    >>> data = encode_data(b"abc")
    >>> [decoder.decode(data[:4]), decoder.decode(data[4:])[0].payload]
    [[], b'abc']
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def decode(self, data: bytes) -> list[Frame]:
        """Return the frames that are complete with these bytes.

        Raises
        ------
        FrameError
            If the bytes are no frames.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= HEADER.size:
            kind, size = HEADER.unpack_from(self._buffer)
            if kind not in FrameKind.__members__.values() or size > MAX_PAYLOAD_BYTES:
                raise FrameError(f"frame of kind {kind} with {size} bytes")
            end = HEADER.size + size
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[HEADER.size : end])
            frames.append(Frame(FrameKind(kind), payload))
            del self._buffer[:end]
        return frames
