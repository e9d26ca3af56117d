"""Checks of idle sockets, from which no task reads."""

import socket

__all__ = ["is_open_and_empty"]


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
