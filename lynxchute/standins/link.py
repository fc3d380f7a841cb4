"""A stand-in for a network link: a TCP relay that can be cut."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

from lynxchute.address import Address
from lynxchute.listening import listen

READ_SIZE = 65536
# Connection attempts that fill the accept queue of a socket that nobody accepts from.
QUEUE_FILLERS = 2
# SO_LINGER value with which the kernel closes a connection by a reset, not a FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """The direction in which bytes are relayed."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


class Partition(enum.Enum):
    """How a link fails, for open connections and for new ones.

    Attributes
    ----------
    HANG
        Both hang, without a signal to either end.
    REFUSE
        Open ones are reset, new ones refused.
    HANG_REFUSE
        Open ones hang, new ones are refused.
    KEEP_REFUSE
        Open ones work, new ones are refused.
    SILENT
        The target is silent: nothing that it sends arrives, while open connections
        still carry what it is sent.
    """

    HANG = "hang"
    REFUSE = "refuse"
    HANG_REFUSE = "hang, refuse"
    KEEP_REFUSE = "keep, refuse"
    SILENT = "silent"


class Link:
    """Relay TCP connections to an address while the link is up.

    A cut link closes its connections and leaves new ones without an answer, as a
    lost route does. A held direction buffers its bytes until it is released;
    neither end is notified.

    Parameters
    ----------
    target
        The address to relay to, as ``host:port``.
    delay
        Seconds by which each chunk is delayed, in each direction.
    """

    def __init__(self, target: str, *, delay: float = 0.0) -> None:
        self.target = target
        self.delay = delay
        self.cut = False
        self.port = 0
        self.bytes_carried = 0
        self._host = "127.0.0.1"
        self._server: asyncio.Server | None = None
        self._unaccepted: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._open_by_direction: dict[Direction, asyncio.Event] = {}
        for direction in Direction:
            self._open_by_direction[direction] = asyncio.Event()
            self._open_by_direction[direction].set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen for connections."""
        listener = listen(Address(host, port))
        self._host = host
        self.port = listener.getsockname()[1]
        self._server = await asyncio.start_server(self._accept, sock=listener)

    def partition(self, how: Partition) -> None:
        """Make the link fail until it is restored."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if how is Partition.REFUSE:
            self.reset()
        if how in (Partition.HANG, Partition.HANG_REFUSE):
            self.hold(*Direction)
        if how is Partition.SILENT:
            self.hold(Direction.FROM_TARGET)
        if how in (Partition.HANG, Partition.SILENT):
            self._leave_unaccepted()
        else:
            self._reserve_port()

    async def restore(self) -> None:
        """End a partition; bytes that were held back are relayed then."""
        for sock in self._unaccepted:
            sock.close()
        self._unaccepted = []
        self.hold()
        if self._server is None:
            await self.start(self._host, self.port)

    def _reserve_port(self) -> None:
        """Keep the port from being used by others, without listening."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, self.port))
        self._unaccepted = [sock]

    def _leave_unaccepted(self) -> None:
        """Listen without accepting, so that connection attempts get no answer."""
        listener = listen(Address(self._host, self.port))
        listener.listen(0)
        self._unaccepted = [listener]
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self.port))
            self._unaccepted.append(filler)

    def set_cut(self, cut: bool) -> None:
        """Cut the link, or restore it."""
        self.cut = cut
        if cut:
            for task in self._tasks:
                task.cancel()

    def hold(self, *directions: Direction) -> None:
        """Stop relaying bytes in these directions, and resume the others."""
        for direction, is_open in self._open_by_direction.items():
            if direction in directions:
                is_open.clear()
            else:
                is_open.set()

    def reset(self) -> None:
        """Reset every open connection at both ends."""
        for writer in self._writers:
            reset_connection(writer)
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Close the listening port and all connections."""
        if self._server is not None:
            self._server.close()
        for sock in self._unaccepted:
            sock.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except ConnectionError:
            # One end was reset, so the other one is as well.
            reset_connection(writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while self.cut:
            await asyncio.sleep(3600)
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, Direction.TO_TARGET),
                self._pump(far_reader, writer, Direction.FROM_TARGET),
            )
        except ConnectionError:
            reset_connection(far_writer)
            raise
        finally:
            self._writers -= ends
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(READ_SIZE):
            if self.delay:
                await asyncio.sleep(self.delay)
            await self._open_by_direction[direction].wait()
            self.bytes_carried += len(data)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection unless its socket is closed."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
