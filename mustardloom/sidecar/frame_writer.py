"""Writes the frames of one direction of a stream between daemons."""

from tornado import iostream

from mustardloom import memory_budget
from mustardloom.http1 import sockets
from mustardloom.sidecar import compression
from mustardloom.sidecar import frames

__all__ = ["FrameWriter"]


class FrameWriter:
    """Compresses and writes frames; counts those that wait to be sent.

    Args:
      stream: The stream.
      budget: Account of the bytes that this process holds.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        budget: memory_budget.MemoryBudget,
    ):
        self._stream = stream
        self._budget = budget
        self._compressor = compression.Compressor()

    def write(self, frame: frames.Frame) -> bool:
        """Writes a frame; returns whether the stream was open."""
        try:
            data = self._compressor.compress(frames.encode(frame))
            written = self._stream.write(data)
        except iostream.StreamClosedError:
            return False
        if not written.done():
            hold = self._budget.hold_written(len(data))
            written.add_done_callback(lambda _: hold.release())
        written.add_done_callback(sockets.ignore_write_error)
        return True
