"""Serves the connections of clients that a listener accepts."""

import asyncio
from typing import Protocol

from tornado import iostream

from mustardloom import descriptor_budget
from mustardloom.http1 import connection as connection_lib
from mustardloom.http1 import connection_owner
from mustardloom.http1 import listener
from mustardloom.http1 import sockets

__all__ = ["Acceptor", "AcceptorOwner"]


class AcceptorOwner(connection_owner.ConnectionOwner, Protocol):
    """What an acceptor needs of its server; see `server.HttpServer`.

    Attributes:
      connections: The open connections.
    """

    connections: set[connection_lib.Connection]


class Acceptor:
    """Creates a connection for each socket that is accepted."""

    def __init__(self, owner: AcceptorOwner, share: descriptor_budget.Share):
        self._owner = owner
        self._listener = listener.Listener(
            share, self.adopt, sockets.LOCAL_UNREAD_BYTES
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port.

        Raises:
          OSError: The address is in use or not available.
        """
        return self._listener.listen(host, port)

    def stop(self) -> None:
        """Stops listening; accepts what the system has accepted before."""
        self._listener.drain()

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
