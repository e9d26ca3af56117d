"""Frames between daemons, and the queue from which they are sent in batches."""

import asyncio
from typing import Any

from mustardloom.relay.wire import peer_pb2

__all__ = ["ONE_WAY", "Body", "Outbox", "body_field", "make_frame"]

# A message of the oneof `Frame.body`; the generated types of its fields have no
# common base class.
Body = Any

# Call number of all frames that get no reply.
ONE_WAY = 0

_MAX_BATCH_FRAMES = 256
_MAX_QUEUED_FRAMES = 10_000


def body_field(body: Body) -> str:
    """Returns the name of the field of `Frame.body` for a message."""
    return str(type(body).DESCRIPTOR.name).lower()


def make_frame(call: int, body: Body) -> peer_pb2.Frame:
    """Returns a frame with a call number and a message."""
    result = peer_pb2.Frame(call=call)
    getattr(result, body_field(body)).CopyFrom(body)
    return result


class Outbox:
    """Bounded queue of the frames to be sent on a stream, in batches."""

    def __init__(self) -> None:
        self.frames: list[peer_pb2.Frame] = []
        self._filled = asyncio.Event()

    def put(self, frame: peer_pb2.Frame) -> bool:
        """Queues a frame; returns False if the queue is full."""
        if len(self.frames) >= _MAX_QUEUED_FRAMES:
            return False
        self.frames.append(frame)
        self._filled.set()
        return True

    async def take(self) -> list[peer_pb2.Frame]:
        """Waits for frames and returns at most one batch of them."""
        await self._filled.wait()
        batch = self.frames[:_MAX_BATCH_FRAMES]
        del self.frames[:_MAX_BATCH_FRAMES]
        if not self.frames:
            self._filled.clear()
        return batch

    def remove(self, call: int) -> None:
        """Removes the frames of a call that were not sent yet."""
        self.frames[:] = [f for f in self.frames if f.call != call]
        if not self.frames:
            self._filled.clear()
