"""Checks of idle sockets, from which no task reads."""

import asyncio
import socket

__all__ = ["ignore_write_error", "is_open_and_empty"]


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


def ignore_write_error(written: "asyncio.Future[None]") -> None:
    """Marks the error of a write as retrieved, as a callback of its future.

    Whoever reads the stream learns that it was closed; asyncio would log the
    error of a write that nobody awaits.
    """
    if not written.cancelled():
        written.exception()
