"""A TCP proxy on loopback that harms what passes through it."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["Direction", "Mode", "Proxy"]

_READ_BYTES = 65_536
_MS_PER_S = 1_000


class Mode(enum.Enum):
    """What the proxy does with bytes."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    # Bytes of one direction are held until the fault ends.
    CUT_INWARD = "cut-inward"
    CUT_OUTWARD = "cut-outward"
    # Connections that are open now go silent for good; new ones work.
    SILENCE = "silence"


class Direction(enum.Enum):
    """Way of bytes as seen by the process behind the proxy."""

    INWARD = "inward"
    OUTWARD = "outward"


class Proxy:
    """Listens on one address and connects to another.

    Attributes:
      mode: What is done to bytes now.
      delay_ms: Delay of each piece in the mode `DELAY`.
    """

    def __init__(self, host: str, port: int, upstream: tuple[str, int]):
        self.mode = Mode.PASS
        self.delay_ms = 0
        self._host = host
        self._port = port
        self._upstream = upstream
        self._healed = asyncio.Event()
        self._healed.set()
        self._pairs: set[_Pair] = set()
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
        """Returns the address on which it listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def set_mode(self, mode: Mode, delay_ms: int = 0) -> None:
        """Begins a fault, or ends it with `Mode.PASS`."""
        self.mode = mode
        self.delay_ms = delay_ms
        match mode:
            case Mode.PASS | Mode.DELAY:
                self._healed.set()
            case Mode.RESET:
                for pair in list(self._pairs):
                    pair.abort()
            case Mode.SILENCE:
                for pair in self._pairs:
                    pair.is_silent = True
            case _:
                self._healed.clear()

    def close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for pair in list(self._pairs):
            pair.abort()

    async def hold(self, direction: Direction) -> None:
        """Waits as long as bytes of a direction may not pass."""
        if self.mode is Mode.DELAY:
            await asyncio.sleep(self.delay_ms / _MS_PER_S)
        held_by_mode = {
            Mode.CUT_INWARD: Direction.INWARD,
            Mode.CUT_OUTWARD: Direction.OUTWARD,
        }
        while held_by_mode.get(self.mode) is direction:
            await self._healed.wait()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The streams of Python 3.11 log a cancelled callback as an error.
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
            # As a port without a listener does.
            _reset(writer)
            return
        pair = _Pair(self, (reader, writer), upstream)
        self._pairs.add(pair)
        try:
            await pair.run()
        finally:
            self._pairs.discard(pair)


_End = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Pair:
    """One connection through the proxy."""

    def __init__(self, proxy: Proxy, outer: _End, inner: _End):
        self.is_silent = False
        self._proxy = proxy
        self._outer = outer
        self._inner = inner

    async def run(self) -> None:
        """Copies both ways until both ends are closed."""
        ways = (
            self._copy(self._outer[0], self._inner[1], Direction.INWARD),
            self._copy(self._inner[0], self._outer[1], Direction.OUTWARD),
        )
        try:
            await asyncio.gather(*ways)
        finally:
            self.abort()

    def abort(self) -> None:
        """Resets both ends."""
        for _, writer in (self._outer, self._inner):
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
    found = writer.get_extra_info("socket")
    if found is not None and found.fileno() >= 0:
        # With no time to linger, the kernel sends a reset.
        linger = struct.pack("ii", 1, 0)
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
