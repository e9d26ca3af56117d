"""Reads the frames of one direction of a stream between daemons."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from tornado import iostream

from mustardloom import clock as clock_lib
from mustardloom import memory_budget
from mustardloom.sidecar import compression
from mustardloom.sidecar import frames

__all__ = ["FrameReader", "NoRoomForFrame"]

_READ_BYTES = 65_536
# Frames up to this size, those of requests among them, need no room while they
# arrive.
_SMALL_FRAME_BYTES = 65_536
# While there is no room, a peer has to wait for this long before its link ends.
_ROOM_WAIT_MS = 500
_ROOM_POLL_MS = 10
# A frame that has arrived in part ends its link if nothing follows.
_STALLED_S = 5.0


class NoRoomForFrame(Exception):
    """A frame that has arrived in part would take the room of others."""


class FrameReader:
    """Decompresses and collects frames; accounts for those in part.

    Args:
      stream: The stream.
      budget: Account of the bytes that this process holds.
      on_frame: Called with each frame.
      on_received: Called when bytes have arrived, before their frames.
      before_read: Awaited before more bytes are read.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        budget: memory_budget.MemoryBudget,
        on_frame: Callable[[frames.Frame], None],
        on_received: Callable[[], None] = lambda: None,
        before_read: Callable[[], Awaitable[None]] | None = None,
    ):
        self._stream = stream
        self._clock: clock_lib.Clock = budget.clock
        self._on_frame = on_frame
        self._on_received = on_received
        self._before_read = before_read
        self._decompressor = compression.Decompressor()
        self._buffer = frames.FrameBuffer()
        hold = budget.try_hold(0, memory_budget.HoldKind.PARTIAL_FRAME)
        assert hold is not None
        self._hold = hold

    async def run(self, first: bytes = b"") -> None:
        """Reads frames until the stream ends.

        Args:
          first: Bytes that were read already.

        Raises:
          StreamClosedError: The stream has ended.
          ValueError: The bytes are not valid.
          NoRoomForFrame: A frame in part found no room in time.
          TimeoutError: Nothing followed a part of a frame.
        """
        try:
            await self._process(first)
            while True:
                if self._before_read is not None:
                    await self._before_read()
                await self._read_part()
        finally:
            self._hold.release()

    async def _read_part(self) -> None:
        """Reads and processes some bytes.

        No local variable of the caller may refer to them, as it would keep them
        until the next ones arrive.
        """
        async with asyncio.timeout(_STALLED_S if self._hold.size else None):
            data = await self._stream.read_bytes(_READ_BYTES, partial=True)
        self._on_received()
        await self._process(data)

    async def _process(self, data: bytes) -> None:
        for part in self._decompressor.decompress(data):
            for frame in self._buffer.feed(part):
                self._on_frame(frame)
            size = self._buffer.size
            if size > _SMALL_FRAME_BYTES or self._hold.size:
                await self._make_room(size)

    async def _make_room(self, size: int) -> None:
        """Returns once there is room for a frame that has arrived in part."""
        until_ms = self._clock.now_ms() + _ROOM_WAIT_MS
        while not self._hold.resize(size):
            if self._clock.now_ms() >= until_ms:
                raise NoRoomForFrame(f"{size} bytes of a frame in part")
            await self._clock.sleep_ms(_ROOM_POLL_MS)
