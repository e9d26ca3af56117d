"""Accepts the connections of clients."""

import asyncio
from collections.abc import Callable
import contextlib
import socket
from typing import Protocol

from tornado import iostream
from tornado import netutil

from mustardloom.http1 import connection as connection_lib
from mustardloom.http1 import sockets

__all__ = ["Acceptor", "AcceptorOwner"]

_BACKLOG = 512


class AcceptorOwner(connection_lib.ConnectionOwner, Protocol):
    """What an acceptor needs of its server; see `server.HttpServer`.

    Attributes:
      connections: The open connections.
    """

    connections: set[connection_lib.Connection]


class Acceptor:
    """Creates a connection for each socket that is accepted."""

    def __init__(self, owner: AcceptorOwner):
        self._owner = owner
        self._remove_by_socket: dict[socket.socket, Callable[[], None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port.

        Raises:
          OSError: The address is in use or not available.
        """
        listening = netutil.bind_sockets(port, host, backlog=_BACKLOG)
        for each in listening:
            sockets.bound_unread(each, sockets.LOCAL_UNREAD_BYTES)
            self._remove_by_socket[each] = netutil.add_accept_handler(
                each, self._on_accept
            )
        return int(listening[0].getsockname()[1])

    def stop(self) -> None:
        """Stops listening; accepts what the system has accepted before.

        Callers may have sent requests on those connections for some time.
        """
        for listening, remove in self._remove_by_socket.items():
            remove()
            # Ends with an error once no connection waits, or none can be taken.
            with contextlib.suppress(OSError):
                while True:
                    self._on_accept(*listening.accept())
            listening.close()
        self._remove_by_socket.clear()

    def _on_accept(self, accepted: socket.socket, address: object) -> None:
        del address
        self.adopt(iostream.IOStream(accepted))

    def adopt(self, stream: iostream.IOStream) -> None:
        """Serves a connection."""
        stream.set_nodelay(True)
        connection = connection_lib.Connection(self._owner, stream)
        self._owner.connections.add(connection)
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_ended(connection, done))

    def _on_ended(
        self, connection: connection_lib.Connection, task: "asyncio.Task[None]"
    ) -> None:
        self._tasks.discard(task)
        self._owner.connections.discard(connection)
        if not task.cancelled() and (error := task.exception()) is not None:
            connection.stream.close()
            self._owner.on_fault(error)
