"""A TCP proxy on loopback that injects network faults."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["Direction", "Mode", "Proxy"]

_READ_BYTES = 65_536
_MS_PER_S = 1_000


class Mode(enum.Enum):
    """What the proxy does to connections and their bytes."""

    PASS = "pass"
    DELAY = "delay"
    # Open and new connections are reset until the fault ends.
    RESET = "reset"
    # Bytes of one direction are buffered until the fault ends.
    CUT_INWARD = "cut-inward"
    CUT_OUTWARD = "cut-outward"
    # Connections that are open when the fault begins drop all further bytes,
    # also after it has ended; new connections work.
    SILENCE = "silence"


class Direction(enum.Enum):
    """Direction of bytes, as seen by the server behind the proxy."""

    INWARD = "inward"
    OUTWARD = "outward"


class Proxy:
    """Forwards connections from one address to another.

    Attributes:
      mode: Fault that is in force, `Mode.PASS` for none.
      delay_ms: Delay of each chunk of bytes in the mode `DELAY`.
    """

    def __init__(self, host: str, port: int, upstream: tuple[str, int]):
        self.mode = Mode.PASS
        self.delay_ms = 0
        self._host = host
        self._port = port
        self._upstream = upstream
        self._uncut = asyncio.Event()
        self._uncut.set()
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts to accept connections.

        Raises:
          OSError: The address is in use.
        """
        self._server = await asyncio.start_server(
            self._accept, self._host, self._port
        )

    def address(self) -> tuple[str, int]:
        """Returns host and port on which the proxy listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def set_mode(self, mode: Mode, delay_ms: int = 0) -> None:
        """Begins a fault, or ends it with `Mode.PASS`."""
        self.mode = mode
        self.delay_ms = delay_ms
        match mode:
            case Mode.PASS | Mode.DELAY:
                self._uncut.set()
            case Mode.RESET:
                for connection in list(self._connections):
                    connection.abort()
            case Mode.SILENCE:
                for connection in self._connections:
                    connection.is_silent = True
            case _:
                self._uncut.clear()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    async def hold(self, direction: Direction) -> None:
        """Waits until the mode lets bytes of a direction pass."""
        if self.mode is Mode.DELAY:
            await asyncio.sleep(self.delay_ms / _MS_PER_S)
        held_by_mode = {
            Mode.CUT_INWARD: Direction.INWARD,
            Mode.CUT_OUTWARD: Direction.OUTWARD,
        }
        while held_by_mode.get(self.mode) is direction:
            await self._uncut.wait()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # asyncio streams of Python 3.11 log a cancelled callback as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve(reader, writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.RESET:
            _reset(writer)
            return
        try:
            await self.hold(Direction.INWARD)
            upstream = await asyncio.open_connection(*self._upstream)
        except OSError:
            # A port without a listener answers with a reset, too.
            _reset(writer)
            return
        connection = _Connection(self, (reader, writer), upstream)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Connection:
    """One connection through the proxy."""

    def __init__(self, proxy: Proxy, client: _Streams, server_side: _Streams):
        self.is_silent = False
        self._proxy = proxy
        self._client = client
        self._server_side = server_side

    async def run(self) -> None:
        """Copies bytes in both directions until both ends are closed."""
        copies = (
            self._copy(self._client[0], self._server_side[1], Direction.INWARD),
            self._copy(
                self._server_side[0], self._client[1], Direction.OUTWARD
            ),
        )
        try:
            await asyncio.gather(*copies)
        finally:
            self.abort()

    def abort(self) -> None:
        """Resets both ends."""
        for _, writer in (self._client, self._server_side):
            _reset(writer)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                await self._proxy.hold(direction)
                if not self.is_silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            self.abort()
            return
        await self._proxy.hold(direction)
        if not self.is_silent:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        # With a linger time of 0 s, the kernel sends a reset on close.
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
