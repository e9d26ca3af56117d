"""Frames between daemons and the queue in which they wait for a batch."""

import asyncio
from typing import Any

from mustardloom.relay.wire import peer_pb2

__all__ = ["ONE_WAY", "Body", "Outbox", "frame", "kind"]

# Any message type of the oneof `Frame.body`; generated types share no base
# that names it.
Body = Any

# Call number of frames that have no reply.
ONE_WAY = 0

_MAX_BATCH_FRAMES = 256
_MAX_QUEUED_FRAMES = 10_000


def kind(body: Body) -> str:
    """Returns the field of `Frame.body` that holds messages of this type."""
    return str(type(body).DESCRIPTOR.name).lower()


def frame(call: int, body: Body) -> peer_pb2.Frame:
    """Returns the frame of a call."""
    made = peer_pb2.Frame(call=call)
    getattr(made, kind(body)).CopyFrom(body)
    return made


class Outbox:
    """Frames that wait for the next batch of a stream."""

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
        """Withdraws the frames of a call that were not sent yet."""
        self.frames[:] = [f for f in self.frames if f.call != call]
        if not self.frames:
            self._filled.clear()
