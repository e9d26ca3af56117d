"""Heads of requests that have not arrived whole."""

from collections.abc import Callable

from mustardloom import memory_budget
from mustardloom.http1 import rejections
from mustardloom.http1 import request_heads

__all__ = ["PartialHead"]

# The request line without its target, and the end of a head.
_MAX_LINE_BYTES = 64


class PartialHead:
    r"""Raw bytes of a head whose end has not arrived, and their room.

    Whole requests that wait as raw bytes take the same room.

    Args:
      budget: Grants the room.
      on_evicted: Called when others need the room.

    Attributes:
      data: The bytes.

    Example:
      >>> from mustardloom import clock
      >>> budget = memory_budget.unlimited(clock.FakeClock())
      >>> head = PartialHead(budget, lambda: None)
      >>> head.add(b"GET / HTTP/1.1", 2_000)
      >>> head.size_to_end(b"XX\r\n\r\nGET /next", 2)
      4
      >>> head.complete(b"\r\n\r\n"), len(head.data)
      (b'GET / HTTP/1.1\r\n\r\n', 0)
    """

    __slots__ = ("_budget", "_hold", "_on_evicted", "data")

    def __init__(
        self,
        budget: memory_budget.MemoryBudget,
        on_evicted: Callable[[], None],
    ):
        self.data = bytearray()
        self._budget = budget
        self._on_evicted = on_evicted
        self._hold: memory_budget.EvictableHold | None = None

    def add(self, part: bytes, max_header_bytes: int) -> None:
        """Adds bytes without the end.

        Raises:
          RequestRejected: The head is too large, or there is no room for it.
        """
        self.data += part
        if len(self.data) > max_header_bytes + _MAX_LINE_BYTES:
            raise rejections.RequestRejected(rejections.HEADERS_TOO_LARGE)
        self.hold(len(self.data))

    def size_to_end(self, data: bytes, start: int) -> int | None:
        """Returns how many bytes lead to the end, None if it is not there.

        Args:
          data: Bytes that have arrived after those of the head.
          start: Number of those that count to an earlier message.
        """
        # The end may have arrived in part.
        tail = bytes(self.data[1 - len(request_heads.END) :])
        return request_heads.size_to_end(tail, data, start)

    def complete(self, rest: bytes) -> bytes:
        """Returns the whole head, and keeps no more of it."""
        whole = bytes(self.data) + rest
        self.drop()
        return whole

    def hold(self, size: int) -> None:
        """Takes room for so many raw bytes.

        Raises:
          RequestRejected: There is none.
        """
        if self._hold is not None:
            has_room = self._hold.resize(size)
        else:
            self._hold = self._budget.try_hold_evictable(
                size, memory_budget.HoldKind.PARTIAL_HEAD, self._on_evicted
            )
            has_room = self._hold is not None
        if not has_room:
            raise rejections.no_room()

    def drop(self) -> None:
        """Forgets the bytes and gives back the room."""
        self.data = bytearray()
        self.release()

    def release(self) -> None:
        """Gives back the room."""
        if self._hold is not None:
            self._hold.release()
            self._hold = None
