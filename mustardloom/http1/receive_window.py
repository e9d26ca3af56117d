"""How many bytes may arrive on a connection before they are read."""

from tornado import iostream

from mustardloom import memory_budget
from mustardloom.http1 import sockets

__all__ = ["ReceiveWindow"]


class ReceiveWindow:
    """Receive window of one connection, which long bodies widen.

    The connection keeps a wide window: one that became smaller would drop what
    the client has sent meanwhile.

    Args:
      stream: The stream of the connection.
      budget: Grants room for what arrives in a wide window.
    """

    __slots__ = ("_budget", "_hold", "_stream")

    def __init__(
        self, stream: iostream.IOStream, budget: memory_budget.MemoryBudget
    ):
        self._stream = stream
        self._budget = budget
        self._hold: memory_budget.Hold | None = None

    def widen(self) -> None:
        """Lets more arrive at a time, if there is room for it."""
        if self._hold is not None:
            return
        size = sockets.WIDE_UNREAD_BYTES
        self._hold = self._budget.try_hold(
            size, memory_budget.HoldKind.RECEIVE_WINDOW
        )
        if self._hold is not None:
            sockets.widen(self._stream.socket, size)

    def release(self) -> None:
        """Gives back the room, as the connection has ended."""
        if self._hold is not None:
            self._hold.release()
