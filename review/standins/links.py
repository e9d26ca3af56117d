"""Proxies on the links of the daemons, to cut single machines off.

A cut is silent, as behind a partition: bytes are held and connections hang
until it ends. Held bytes then go on, as TCP sends them again.
"""

import asyncio
from collections.abc import Callable
import zlib

__all__ = ["LinkProxy"]

_READ_BYTES = 65_536
# Window of the streams between daemons; their first frame names the sender.
_WINDOW_BITS = -12


class LinkProxy:
    """Forwards connections to one address.

    Args:
      address: Address on which it listens.
      upstream: Address to which it forwards.
      open_paths: Returns events for a sender, which are set unless the path
        is cut at one of its ends.
      senders: Names of the machines that may dial; empty if the sender is
        known without the first bytes.
    """

    def __init__(
        self,
        address: tuple[str, int],
        upstream: tuple[str, int],
        open_paths: Callable[[str], list[asyncio.Event]],
        senders: list[str],
    ):
        self._address = address
        self._upstream = upstream
        self._open_paths = open_paths
        self._senders = senders
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def stop(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            first = await reader.read(_READ_BYTES)
            sender = self._sender_of(first)
            await self._await_open(sender)
            inner_reader, inner_writer = await asyncio.open_connection(
                *self._upstream
            )
            self._writers.add(inner_writer)
            inner_writer.write(first)
            await asyncio.gather(
                self._copy(reader, inner_writer, sender),
                self._copy(inner_reader, writer, sender),
            )
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _await_open(self, sender: str) -> None:
        for path in self._open_paths(sender):
            await path.wait()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                await self._await_open(sender)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def _sender_of(self, first: bytes) -> str:
        if not self._senders:
            return ""
        text = zlib.decompressobj(_WINDOW_BITS).decompress(first)
        found = [
            (text.find(name.encode()), name)
            for name in self._senders
            if name.encode() in text
        ]
        return min(found)[1]
