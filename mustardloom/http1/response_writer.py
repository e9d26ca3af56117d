"""Writes the responses of a server connection, and then its end."""

import asyncio
from collections.abc import Callable
import contextlib
import socket

from tornado import iostream

from mustardloom import clock as clock_lib
from mustardloom.http1 import sockets

__all__ = ["ResponseWriter"]


class ResponseWriter:
    """Writes to the stream of one client.

    Args:
      stream: The stream.
      clock: Source of time.

    Attributes:
      ended_ms: Local time at which the end was sent, None before.
    """

    def __init__(self, stream: iostream.IOStream, clock: clock_lib.Clock):
        self.ended_ms: int | None = None
        self._stream = stream
        self._clock = clock
        # Write of the latest bytes.
        self._written: asyncio.Future[None] | None = None
        # Local time since which none of the bytes to write has left.
        self._stuck_since_ms = 0

    @property
    def is_used(self) -> bool:
        """Whether anything has been written."""
        return self._written is not None

    @property
    def is_done(self) -> bool:
        """Whether all that was written has left, or the stream has failed."""
        return self._written is None or self._written.done()

    def stuck_ms(self, now_ms: int) -> int:
        """Returns for how long the client has taken none of the bytes."""
        return now_ms - self._stuck_since_ms if self._stream.writing() else 0

    def write(self, data: bytes) -> None:
        """Writes bytes, as soon as those before have left."""
        if not self._stream.writing():
            self._stuck_since_ms = self._clock.now_ms()
        try:
            self._written = self._stream.write(data)
        except iostream.StreamClosedError:
            return
        sockets.when_written(self._written, self._on_written)

    async def write_piece(self, data: bytes) -> None:
        """Writes bytes and waits until they have left.

        Raises:
          StreamClosedError: The stream was closed before.
        """
        self.write(data)
        if self._written is not None:
            await self._written

    def after_written(self, call: Callable[[], None]) -> None:
        """Calls once the latest bytes are written, or the stream failed."""
        if self._written is None or self._written.done():
            call()
        else:
            self._written.add_done_callback(lambda _: call())

    def end(self) -> None:
        """Ends the connection after the last response, which was written.

        The client closes it. A close on this side would drop what is still on
        its way if something has arrived meanwhile and was not read.
        """
        if self._stream.closed():
            return
        # It fails if the client has reset the connection, as is noticed soon.
        with contextlib.suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)
        self.ended_ms = self._clock.now_ms()

    def _on_written(self, written: "asyncio.Future[None]") -> None:
        self._stuck_since_ms = self._clock.now_ms()
        sockets.ignore_write_error(written)
