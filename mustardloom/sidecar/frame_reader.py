"""Reads the frames of one direction of a stream between daemons."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator

from tornado import iostream

from mustardloom import clock as clock_lib
from mustardloom import memory_budget
from mustardloom.http1 import streams
from mustardloom.sidecar import compression
from mustardloom.sidecar import frame_writer
from mustardloom.sidecar import frames

__all__ = ["FrameReader", "NoRoomForFrame"]

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

    Frames are passed on in the iteration of the event loop in which their bytes
    arrive, as each further iteration costs a system call.

    Args:
      stream: The stream.
      budget: Account of the bytes that this process holds.
      on_frame: Called with each frame.
      on_received: Called when bytes have arrived, before their frames.
      writer: Writes the replies to the peer; while that reads too little of
        them, nothing more is read.
    """

    def __init__(
        self,
        stream: streams.CountedStream,
        budget: memory_budget.MemoryBudget,
        on_frame: Callable[[frames.Frame], None],
        on_received: Callable[[], None] = lambda: None,
        writer: frame_writer.FrameWriter | None = None,
    ):
        self._stream = stream
        self._clock: clock_lib.Clock = budget.clock
        self._on_frame = on_frame
        self._on_received = on_received
        self._writer = writer
        self._decompressor = compression.Decompressor()
        self._buffer = frames.FrameBuffer()
        # Decompressed bytes that are not processed yet.
        self._parts: Iterator[bytes] = iter(())
        # Done when reading pauses or ends; None while nothing is read.
        self._paused: asyncio.Future[None] | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
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
        self._parts = self._decompressor.decompress(first)
        try:
            while True:
                while not self._process():
                    await self._make_room(self._buffer.size)
                if self._writer is not None:
                    await self._writer.wait_until_read()
                await self._read_until_paused()
        finally:
            self._hold.release()

    async def _read_until_paused(self) -> None:
        """Reads until something has to be waited for, or the stream ends."""
        self._paused = asyncio.get_running_loop().create_future()
        self._watch_stall()
        self._stream.start_reading(self._on_data, self._on_closed)
        try:
            await self._paused
        finally:
            self._pause()
            self._paused = None

    def _on_data(self, data: bytes) -> None:
        """Processes bytes as far as nothing has to be waited for."""
        self._parts = self._decompressor.decompress(data)
        try:
            self._on_received()
            is_done = self._process()
        except Exception as error:
            self._pause(error)
            return
        if not is_done or (self._writer is not None and self._writer.is_full()):
            self._pause()
        else:
            self._watch_stall()

    def _on_closed(self) -> None:
        self._pause(iostream.StreamClosedError(self._stream.error))

    def _on_stalled(self) -> None:
        self._pause(TimeoutError())

    def _pause(self, error: Exception | None = None) -> None:
        """Reads nothing more for now, or nothing at all after an error."""
        self._stream.stop_reading()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        if self._paused is None or self._paused.done():
            return
        if error is None:
            self._paused.set_result(None)
        else:
            self._paused.set_exception(error)

    def _watch_stall(self) -> None:
        """Restarts the timer for the next bytes of a frame in part."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        if self._hold.size:
            self._stall_timer = asyncio.get_running_loop().call_later(
                _STALLED_S, self._on_stalled
            )

    def _process(self) -> bool:
        """Processes what has arrived; returns False if it lacks room.

        Raises:
          ValueError: The bytes are not valid.
        """
        if not self._has_room():
            return False
        for part in self._parts:
            for frame in self._buffer.feed(part):
                self._on_frame(frame)
            if not self._has_room():
                return False
        return True

    def _has_room(self) -> bool:
        size = self._buffer.size
        needs_room = size > _SMALL_FRAME_BYTES or self._hold.size > 0
        return not needs_room or self._hold.resize(size)

    async def _make_room(self, size: int) -> None:
        """Returns once there is room for a frame that has arrived in part."""
        until_ms = self._clock.now_ms() + _ROOM_WAIT_MS
        while not self._hold.resize(size):
            if self._clock.now_ms() >= until_ms:
                raise NoRoomForFrame(f"{size} bytes of a frame in part")
            await self._clock.sleep_ms(_ROOM_POLL_MS)
