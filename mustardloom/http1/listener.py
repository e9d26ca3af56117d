"""Accepts connections, no more than there are descriptors for.

While there is none, or the system refuses one, connections wait in the system's
queue and the listener asks again after a pause: an event loop would report a
socket on which something waits again and again.
"""

import asyncio
from collections.abc import Callable
import enum
import errno
import functools
import socket

from tornado import ioloop
from tornado import netutil

from mustardloom import descriptor_budget
from mustardloom.http1 import sockets
from mustardloom.http1 import streams

__all__ = ["Listener"]

# Connections that wait in the system's queue; when it is full, the system drops
# the opening packet, which is sent again after seconds.
_BACKLOG = 1_024
_PAUSE_S = 0.02
# Connections that are accepted before others get their turn.
_MAX_ACCEPTED_AT_ONCE = 16
# Errors of a connection whose caller has left while it waited.
_LEFT = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EINTR))


class _Result(enum.Enum):
    """What came of an attempt to accept a connection."""

    ACCEPTED = "accepted"
    # Its caller has left while it waited.
    LEFT = "left"
    NONE_WAITS = "none-waits"
    NO_ROOM = "no-room"


_TAKEN = frozenset((_Result.ACCEPTED, _Result.LEFT))


class Listener:
    """Listens on one address.

    Args:
      share: Descriptors for the connections that are accepted.
      on_accepted: Called with each of them.
      unread_bytes: Bytes that may arrive on one before they are read.
      backlog: Connections that may wait in the system's queue.
    """

    def __init__(
        self,
        share: descriptor_budget.Share,
        on_accepted: Callable[[streams.CountedStream], None],
        unread_bytes: int,
        backlog: int = _BACKLOG,
    ):
        self._share = share
        self._on_accepted = on_accepted
        self._unread_bytes = unread_bytes
        self._backlog = backlog
        self._listening: list[socket.socket] = []
        self._timer_by_socket: dict[socket.socket, asyncio.TimerHandle] = {}

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port.

        Raises:
          OSError: The address is in use or not available.
        """
        self._listening = netutil.bind_sockets(
            port, host, backlog=self._backlog
        )
        for each in self._listening:
            sockets.bound_unread(each, self._unread_bytes)
            self._resume(each)
        return int(self._listening[0].getsockname()[1])

    def drain(self) -> None:
        """Accepts what waits in the system's queue, then stops listening.

        Callers may have sent requests on those connections for some time.
        """
        for listening in self._listening:
            while self._accept(listening, is_awaited=True) in _TAKEN:
                pass
        self.close()

    def close(self) -> None:
        """Stops listening; connections that wait are reset."""
        for listening in self._listening:
            timer = self._timer_by_socket.pop(listening, None)
            if timer is None:
                ioloop.IOLoop.current().remove_handler(listening)
            else:
                timer.cancel()
            listening.close()
        self._listening.clear()

    def _resume(self, listening: socket.socket) -> None:
        self._timer_by_socket.pop(listening, None)
        loop = ioloop.IOLoop.current()
        loop.add_handler(
            listening,
            functools.partial(self._on_readable, listening),
            ioloop.IOLoop.READ,
        )

    def _pause(self, listening: socket.socket) -> None:
        ioloop.IOLoop.current().remove_handler(listening)
        self._timer_by_socket[listening] = (
            asyncio.get_running_loop().call_later(
                _PAUSE_S, self._resume, listening
            )
        )

    def _on_readable(
        self, listening: socket.socket, fd: object, events: int
    ) -> None:
        del fd, events
        # Only now is it certain that a connection waits.
        result = self._accept(listening, is_awaited=True)
        if result is _Result.NO_ROOM:
            self._pause(listening)
            return
        for _ in range(_MAX_ACCEPTED_AT_ONCE - 1):
            if result not in _TAKEN:
                return
            result = self._accept(listening, is_awaited=False)

    def _accept(self, listening: socket.socket, is_awaited: bool) -> _Result:
        """Accepts a connection, if one waits and there is room for it.

        Args:
          listening: Where it waits.
          is_awaited: Whether idle connections may be closed for it.
        """
        descriptor = self._share.try_take()
        if descriptor is None and is_awaited and self._share.make_room():
            descriptor = self._share.try_take()
        if descriptor is None:
            self._share.waits += is_awaited
            return _Result.NO_ROOM
        try:
            accepted, _ = listening.accept()
        except OSError as error:
            descriptor.release()
            return self._on_error(error)
        self._on_accepted(streams.CountedStream(accepted, descriptor))
        return _Result.ACCEPTED

    def _on_error(self, error: OSError) -> _Result:
        if isinstance(error, BlockingIOError):
            return _Result.NONE_WAITS
        self._share.accept_errors += 1
        self._share.last_error = repr(error)
        if error.errno in _LEFT:
            return _Result.LEFT
        return _Result.NO_ROOM
