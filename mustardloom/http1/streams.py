"""Streams whose descriptors are counted until they are closed."""

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
    """

    def __init__(
        self,
        connection: socket.socket,
        descriptor: descriptor_budget.Descriptor,
        **options: Any,
    ):
        self._descriptor = descriptor
        # Whether the latest read has left nothing in the socket.
        self._is_drained = False
        super().__init__(connection, **options)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """See base class."""
        count = super().read_from_fd(buf)
        # At the end of the stream (0), the base class closes it.
        self._is_drained = count is None or 0 < count < len(buf)
        return count

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
