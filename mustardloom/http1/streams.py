"""Streams whose descriptors are counted until they are closed."""

import asyncio
from collections.abc import Callable
import socket
from typing import Any

from tornado import ioloop
from tornado import iostream

from mustardloom import descriptor_budget
from mustardloom.http1 import sockets

__all__ = ["CountedStream", "open_stream"]


class CountedStream(iostream.IOStream):
    """A stream that gives its descriptor back as soon as it is closed.

    It reads from the socket only when there is something to read: after a read
    that did not fill its buffer, the socket is empty until the event loop
    reports it. Its base class would try again before each wait.

    A write that the socket takes whole ends at once; that of its base class
    takes a further iteration of the event loop to run the callbacks of its
    future.

    Attributes:
      is_ended_by_peer: Whether the end that the other side sent has been read,
        so that all it sent has arrived. False if the connection was reset, or
        closed on this side.
    """

    def __init__(
        self,
        connection: socket.socket,
        descriptor: descriptor_budget.Descriptor,
        **options: Any,
    ):
        self.is_ended_by_peer = False
        self._descriptor = descriptor
        # Whether a write has failed. The system reports a reset only once, and
        # a read that follows finds a plain end.
        self._has_failed = False
        # Whether the latest read has left nothing in the socket.
        self._is_drained = False
        self._on_data: Callable[[bytes], None] | None = None
        super().__init__(connection, **options)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """See base class."""
        count = super().read_from_fd(buf)
        if count == 0:
            self.is_ended_by_peer = not self._has_failed
        # At the end of the stream (0), the base class closes it.
        self._is_drained = count is None or 0 < count < len(buf)
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """See base class."""
        try:
            return super().write_to_fd(data)
        except (BlockingIOError, BrokenPipeError):
            # A pipe breaks after the end of the other side, still to be read.
            raise
        except OSError:
            self._has_failed = True
            raise

    def _try_inline_read(self) -> None:
        """See base class; reads the socket only if something may be in it."""
        if (
            not self._is_drained
            or self.closed()
            or self._find_read_pos() is not None
        ):
            super()._try_inline_read()
            return
        self._add_io_state(ioloop.IOLoop.READ)

    def start_reading(
        self,
        on_data: Callable[[bytes], None],
        on_closed: Callable[[], None],
    ) -> None:
        """Calls `on_data` in the iteration of the event loop of each arrival.

        `read_bytes` would take a further iteration, for the callbacks of its
        future. Neither function may raise.

        Args:
          on_data: Called with what has arrived.
          on_closed: Called once the stream is closed.
        """
        self._on_data = on_data
        self.set_close_callback(on_closed)
        self._pass_on()
        if self.closed():
            on_closed()
        elif self._on_data is not None:
            self._add_io_state(ioloop.IOLoop.READ)

    def stop_reading(self) -> None:
        """Ends `start_reading`; what arrives is kept for the next read."""
        self._on_data = None
        self.set_close_callback(None)

    def reading(self) -> bool:
        """See base class."""
        return self._on_data is not None or bool(super().reading())

    def _handle_read(self) -> None:
        """See base class."""
        if self._on_data is None:
            super()._handle_read()
            return
        try:
            self._read_to_buffer()
        except (OSError, iostream.StreamBufferFullError):
            # The base class has closed the stream, so `on_closed` is called.
            return
        self._pass_on()

    def _pass_on(self) -> None:
        """Passes on what has been read."""
        if self._on_data is not None and self._read_buffer_size:
            self._on_data(self._consume(self._read_buffer_size))

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """See base class."""
        self._check_closed()
        if self._connecting or self._write_buffer:
            return super().write(data)
        try:
            count = self.write_to_fd(memoryview(data))
        except OSError:
            # The base class tries again, and waits or closes the stream.
            count = 0
        if count < len(data):
            return super().write(memoryview(data)[count:])
        self._maybe_add_error_listener()
        written: asyncio.Future[None] = asyncio.Future()
        written.set_result(None)
        return written

    def close_fd(self) -> None:
        """See base class."""
        super().close_fd()
        self._descriptor.release()


def open_stream(
    descriptor: descriptor_budget.Descriptor, unread_bytes: int, **options: Any
) -> CountedStream:
    """Returns a stream that is not connected yet.

    Args:
      descriptor: What was taken for it; given back if it cannot be opened.
      unread_bytes: Bytes that may arrive before they are read.
      options: Options of the stream.

    Raises:
      OSError: The system has no descriptor left, or refuses an option.
    """
    try:
        opened = socket.socket()
    except OSError:
        descriptor.release()
        raise
    stream = CountedStream(opened, descriptor, **options)
    try:
        sockets.bound_unread(opened, unread_bytes)
    except BaseException:
        stream.close()
        raise
    return stream
