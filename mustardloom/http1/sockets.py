"""Checks and settings of sockets."""

import asyncio
from collections.abc import Callable
import contextlib
import socket
import struct

from tornado import iostream

__all__ = [
    "LOCAL_UNREAD_BYTES",
    "REMOTE_UNREAD_BYTES",
    "WIDE_UNREAD_BYTES",
    "bound_unread",
    "has_peer_ended",
    "ignore_write_error",
    "is_open_and_empty",
    "reset",
    "when_written",
    "widen",
]

# Received bytes that the system keeps for a process until it reads them count
# as its memory. Callers are on the same VM, where a small window is enough, and
# may have as many connections as there are descriptors.
LOCAL_UNREAD_BYTES = 16_384
# For a connection on which a long body arrives, and for those to the target,
# which are few.
WIDE_UNREAD_BYTES = 65_536
# For other daemons, which may be in another region, and for the store.
REMOTE_UNREAD_BYTES = 131_072
# The system reserves twice what it is asked for, to cover its own overhead.
_RESERVED_RATIO = 2
# State of a connection whose other side has sent its end.
_CLOSE_WAIT = 8
# Lingers for no time, so that a close resets the connection.
_NO_LINGER = struct.pack("ii", 1, 0)


def bound_unread(connection: socket.socket, size: int) -> None:
    """Bounds the bytes that may arrive on a socket before they are read.

    Without it the system chooses, up to megabytes for each connection. A
    connection takes it over from the socket that accepted it.

    Args:
      connection: A socket that is not connected; see `widen` for others.
      size: Number of bytes.
    """
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, size // _RESERVED_RATIO
    )


def widen(connection: socket.socket, size: int) -> None:
    """Raises the bound on unread bytes of a connection that is open."""
    with contextlib.suppress(OSError):
        bound_unread(connection, size)
        # The window of an open connection does not follow the size alone.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)


def is_open_and_empty(connection: socket.socket) -> bool:
    """Returns whether a connection is open and has nothing to read."""
    try:
        connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # Either the end of the stream, or bytes that answer no request.
    return False


def has_peer_ended(connection: socket.socket) -> bool:
    """Returns whether the other side has ended the connection.

    It tells so also if bytes that arrived before the end are not read yet.
    """
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return state[0] == _CLOSE_WAIT


def ignore_write_error(written: "asyncio.Future[None]") -> None:
    """Marks the error of a write as retrieved, as a callback of its future.

    Whoever reads the stream learns that it was closed; asyncio would log the
    error of a write that nobody awaits.
    """
    if not written.cancelled():
        written.exception()


def when_written(
    written: "asyncio.Future[None]",
    call: Callable[["asyncio.Future[None]"], object],
) -> None:
    """Calls `call` once a write has ended, at once if it has ended already.

    A callback that is added to a future that is done costs an iteration of the
    event loop, and most writes are done when they return.
    """
    if written.done():
        call(written)
    else:
        written.add_done_callback(call)


def reset(stream: iostream.IOStream) -> None:
    """Closes a stream so that the other side learns that it was broken off."""
    if not stream.closed():
        with contextlib.suppress(OSError):
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
        stream.close()
