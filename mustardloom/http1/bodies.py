"""Bodies that pass through a process in pieces.

A body has one source, which feeds it what arrives, and one consumer, which
reads it piece by piece. The source waits while a piece is unread, so that the
connection from which it reads fills up and its sender has to wait as well.
"""

import asyncio
from collections.abc import Callable
import heapq
import itertools
from typing import Protocol
from typing import runtime_checkable

__all__ = [
    "INLINE_BYTES",
    "PIECE_BYTES",
    "STREAM_BYTES",
    "Body",
    "BodyBroken",
    "BodySource",
    "BrokenBody",
    "StallableBody",
    "Turns",
    "WholeBody",
    "encode_chunk",
    "encode_last_chunk",
]

# A body up to this size travels together with its head.
INLINE_BYTES = 16_384
PIECE_BYTES = 32_768
# Bytes of one body that one process holds at most: what was read from the
# connection and not parsed, two pieces to be read, and one being written.
STREAM_BYTES = 4 * PIECE_BYTES
# A body whose length was not announced goes after all others.
_UNKNOWN_LENGTH_BYTES = 1 << 62


class BodyBroken(Exception):
    """The body ended before its last byte."""


class BodySource(Protocol):
    """A body as its consumer sees it.

    Attributes:
      length: Size in bytes, None if it was not announced.
      is_taken: Whether reading has begun, so that the body cannot be read from
        its start again.
    """

    length: int | None
    is_taken: bool

    async def read(self) -> bytes:
        """Returns the next piece, no bytes after the last one.

        Raises:
          BodyBroken: The body ended before its last byte.
        """

    def close(self) -> None:
        """Ends reading; what is left of the body is dropped."""


@runtime_checkable
class StallableBody(BodySource, Protocol):
    """A body whose source may stop."""

    def stalled_s(self) -> float:
        """Returns for how long its consumer has waited for its source."""


class Turns:
    """Lets one piece pass in each iteration of the event loop.

    Small requests need several iterations, and would otherwise wait in each of
    them for as many pieces as there are bodies. The body with the fewest bytes
    left goes first: if all took turns, none of many long ones would end before
    its deadline.
    """

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()
        self._is_scheduled = False

    async def next(self, left_bytes: int) -> None:
        """Returns when it is the turn of a body with so many bytes left."""
        turn: asyncio.Future[None] = asyncio.Future()
        heapq.heappush(self._waiting, (left_bytes, next(self._sequence), turn))
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._give)
        await turn

    def _give(self) -> None:
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                break
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._give)


class WholeBody:
    """A body that is known whole, read in pieces; see `BodySource`.

    Example:
      >>> asyncio.run(WholeBody(b"ok").read())
      b'ok'
    """

    def __init__(self, data: bytes):
        self.length: int | None = len(data)
        self.is_taken = False
        self._unread = memoryview(data)

    async def read(self) -> bytes:
        """See `BodySource`."""
        self.is_taken = True
        piece = bytes(self._unread[:PIECE_BYTES])
        self._unread = self._unread[PIECE_BYTES:]
        return piece

    def close(self) -> None:
        """See `BodySource`."""
        self._unread = memoryview(b"")


class BrokenBody:
    """A body that cannot be had; see `BodySource`."""

    def __init__(self) -> None:
        self.length: int | None = None
        self.is_taken = False

    async def read(self) -> bytes:
        """See `BodySource`."""
        raise BodyBroken

    def close(self) -> None:
        """See `BodySource`."""


class Body:
    """A body that arrives in pieces; see `BodySource`.

    Attributes:
      ended: Done when the source has ended; the result is whether it delivered
        the whole body.
      released: Done when the consumer has read everything or reads no more.
      on_ready: Called when a piece waits for its turn only.
      on_moved: Called when the consumer has taken a piece.
    """

    def __init__(self, length: int | None, turns: Turns):
        self.length = length
        self.is_taken = False
        self.ended: asyncio.Future[bool] = asyncio.Future()
        self.released: asyncio.Future[None] = asyncio.Future()
        self.on_ready: Callable[[], None] = lambda: None
        self.on_moved: Callable[[], None] = lambda: None
        self._turns = turns
        self._is_dropped = False
        self._passed_bytes = 0
        # Time of the event loop since which its consumer waits, if it does.
        self._stalled_since_s: float | None = None
        self._unread = bytearray()
        self._has_changed = asyncio.Event()
        self._has_room = asyncio.Event()
        self._has_room.set()

    # For the source.

    def feed(self, data: bytes | bytearray) -> None:
        """Adds bytes that have arrived; drops them if nobody reads them."""
        if self.released.done() or self.ended.done():
            return
        self._unread += data
        if len(self._unread) >= PIECE_BYTES:
            self._has_room.clear()
            self._mark_waiting()
        self._has_changed.set()

    def end(self) -> None:
        """Marks the body as complete."""
        self._mark_waiting()
        self._end(True)

    def fail(self) -> None:
        """Marks the body as broken, unless it was complete before."""
        if not self.ended.done():
            self._unread.clear()
            self._end(False)

    def is_full(self) -> bool:
        """Returns whether the source has to wait for the consumer."""
        return not self._has_room.is_set()

    async def wait_for_room(self) -> None:
        """Returns once more bytes are wanted, or once all are dropped."""
        await self._has_room.wait()

    # For the consumer.

    def first_bytes(self, size: int) -> bytes:
        """Returns the first bytes that have arrived, without taking them."""
        return bytes(self._unread[:size])

    def stalled_s(self) -> float:
        """Returns for how long its consumer has waited for its source."""
        if self._stalled_since_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._stalled_since_s

    async def read(self) -> bytes:
        """See `BodySource`."""
        self.is_taken = True
        while not (self._unread or self._is_dropped or self.ended.done()):
            if self._stalled_since_s is None:
                loop = asyncio.get_running_loop()
                self._stalled_since_s = loop.time()
            self._has_changed.clear()
            await self._has_changed.wait()
        self._stalled_since_s = None
        self.on_ready()
        await self._turns.next(self._left_bytes())
        if self._is_dropped:
            raise BodyBroken
        piece = bytes(self._unread[:PIECE_BYTES])
        del self._unread[:PIECE_BYTES]
        if len(self._unread) < PIECE_BYTES:
            self._has_room.set()
        self._passed_bytes += len(piece)
        self.on_moved()
        if piece:
            return piece
        if not self.is_whole():
            self._release()
            raise BodyBroken
        self._release()
        return b""

    def close(self) -> None:
        """See `BodySource`."""
        if self.released.done():
            return
        self._is_dropped = True
        self._unread.clear()
        self._release()
        self._end(False)

    def is_dropped(self) -> bool:
        """Returns whether the consumer read no further than a part of it."""
        return self._is_dropped

    def is_whole(self) -> bool:
        """Returns whether the source has delivered the whole body."""
        return self.ended.done() and self.ended.result()

    def _mark_waiting(self) -> None:
        """Tells that a body waits for its consumer to begin, not its sender."""
        if not self.is_taken:
            self.on_ready()

    def _left_bytes(self) -> int:
        if self.length is None:
            return _UNKNOWN_LENGTH_BYTES
        return self.length - self._passed_bytes

    def _end(self, is_whole: bool) -> None:
        if not self.ended.done():
            self.ended.set_result(is_whole)
        self._has_room.set()
        self._has_changed.set()

    def _release(self) -> None:
        if not self.released.done():
            self.released.set_result(None)
        self._has_room.set()


def encode_chunk(data: bytes) -> bytes:
    """Returns bytes as a chunk of a body without an announced length.

    Example:
      >>> encode_chunk(b"ok").split()
      [b'2', b'ok']
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_last_chunk() -> bytes:
    """Returns the chunk that marks the end of a whole body."""
    return b"0\r\n\r\n"
