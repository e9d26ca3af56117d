"""Streams whose descriptors are counted until they are closed."""

import socket
from typing import Any

from tornado import iostream

from mustardloom import descriptor_budget
from mustardloom.http1 import sockets

__all__ = ["CountedStream", "open_stream"]


class CountedStream(iostream.IOStream):
    """A stream that gives its descriptor back as soon as it is closed."""

    def __init__(
        self,
        connection: socket.socket,
        descriptor: descriptor_budget.Descriptor,
        **options: Any,
    ):
        self._descriptor = descriptor
        super().__init__(connection, **options)

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
