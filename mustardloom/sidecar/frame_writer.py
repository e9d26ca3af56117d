"""Writes the frames of one direction of a stream between daemons."""

import asyncio

from tornado import iostream

from mustardloom import memory_budget
from mustardloom.http1 import sockets
from mustardloom.sidecar import compression
from mustardloom.sidecar import frames

__all__ = ["FrameWriter"]

# A peer that leaves more than this unread gets no answers to further calls.
_MAX_UNWRITTEN_BYTES = 1_048_576
# A peer that leaves less than this unread keeps its link if there is no room.
_SMALL_UNWRITTEN_BYTES = 65_536


class FrameWriter:
    """Compresses and writes frames; accounts for those that wait to be sent.

    Args:
      stream: The stream; it is closed if there is no room for a frame.
      budget: Account of the bytes that this process holds.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        budget: memory_budget.MemoryBudget,
    ):
        self._stream = stream
        self._budget = budget
        # Created by the first frame, as it takes more memory than all else of a
        # link, and whoever connects without a name gets no frame.
        self._compressor: compression.Compressor | None = None
        self._unwritten_bytes = 0
        # Write of the latest frame that had to wait.
        self._latest: asyncio.Future[None] | None = None

    def write(self, frame: frames.Frame) -> bool:
        """Writes a frame; returns whether the stream was open.

        If it was not, nothing of the frame was sent. Otherwise the peer may
        have it, also if the stream was closed for want of room.
        """
        if self._compressor is None:
            self._compressor = compression.Compressor()
        data = self._compressor.compress(frames.encode(frame))
        try:
            written = self._stream.write(data)
        except iostream.StreamClosedError:
            return False
        sockets.when_written(written, sockets.ignore_write_error)
        if written.done():
            return True
        hold = self._budget.try_hold(
            len(data), memory_budget.HoldKind.UNWRITTEN_FRAME
        )
        if hold is None and self._unwritten_bytes > _SMALL_UNWRITTEN_BYTES:
            # Others need the room that this peer fills by not reading. Parts
            # of the frame may have left.
            self._stream.close()
            return True
        self._unwritten_bytes += len(data)
        self._latest = written
        written.add_done_callback(lambda _: self._release(len(data), hold))
        return True

    def is_full(self) -> bool:
        """Returns whether the peer has left much unread."""
        return self._unwritten_bytes > _MAX_UNWRITTEN_BYTES

    async def wait_until_read(self) -> None:
        """Returns once the peer has read most of what was written."""
        while self.is_full():
            assert self._latest is not None
            await asyncio.wait((self._latest,))

    def _release(self, size: int, hold: memory_budget.Hold | None) -> None:
        self._unwritten_bytes -= size
        if hold is not None:
            hold.release()
