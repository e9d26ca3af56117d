"""A link that a peer dialled: its calls are run and answered."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import socket
from typing import Protocol

import msgspec
from tornado import iostream

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom.http1 import streams
from mustardloom.sidecar import frame_reader
from mustardloom.sidecar import frame_writer
from mustardloom.sidecar import frames

__all__ = ["FrameHandler", "IncomingLink", "LinkReceiver"]

# Called with each frame of a peer; returns the reply to a call, None for frames
# that have no reply.
FrameHandler = Callable[
    [ids.VmId, frames.Frame],
    Awaitable[frames.Frame | None] | frames.Frame | None,
]

_END_POLL_S = 0.01


class LinkReceiver(Protocol):
    """What a link needs of the links of its daemon; see `links.Links`."""

    clock: clock_lib.Clock
    budget: memory_budget.MemoryBudget
    handler: FrameHandler
    vm: ids.VmId
    make_pong: Callable[[], frames.Pong]
    on_fault: Callable[[ids.VmId, Exception], None]


class IncomingLink:
    """A link that a peer dialled.

    Attributes:
      vm: The VM of the peer, None before it has told.
    """

    def __init__(self, owner: LinkReceiver, stream: streams.CountedStream):
        self._owner = owner
        self._stream = stream
        self._writer = frame_writer.FrameWriter(stream, owner.budget)
        self.vm: ids.VmId | None = None
        self._tasks: dict[int, asyncio.Future[frames.Frame | None]] = {}
        # Highest number of a call so far.
        self._last_number = 0
        self._is_ending = False

    def end(self, replies_ms: int) -> None:
        """Reads no more calls; sends the end of the link after the replies.

        Args:
          replies_ms: Longest time for which these are waited for.
        """
        if self._is_ending:
            return
        self._is_ending = True
        self._end_when_replied(self._owner.clock.now_ms() + replies_ms)

    def _end_when_replied(self, limit_ms: int) -> None:
        """Sends the end, and which calls were read before it."""
        if self._tasks and self._owner.clock.now_ms() < limit_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(_END_POLL_S, self._end_when_replied, limit_ms)
            return
        self._reply(frames.Goodbye(self._last_number))
        self._close_when_written()

    def _close_when_written(self) -> None:
        if self._stream.closed():
            return
        if self._stream.writing():
            loop = asyncio.get_running_loop()
            loop.call_later(_END_POLL_S, self._close_when_written)
            return
        with contextlib.suppress(OSError):
            self._stream.socket.shutdown(socket.SHUT_WR)

    async def run(self, data: bytes) -> None:
        """Reads frames until the stream is closed or its bytes are invalid.

        Args:
          data: The first bytes, which were read already.
        """
        reader = frame_reader.FrameReader(
            self._stream,
            self._owner.budget,
            self._receive,
            writer=self._writer,
        )
        try:
            await reader.run(data)
        except iostream.StreamClosedError:
            pass
        except Exception as error:
            # Invalid bytes, or a frame that its handler cannot process; either
            # ends this link only.
            self._owner.on_fault(self.vm or ids.VmId(""), error)
        finally:
            self._stream.close()
            for task in list(self._tasks.values()):
                task.cancel()

    def _receive(self, frame: frames.Frame) -> None:
        if self._is_ending:
            # The peer learns from the last frame that this was not read.
            return
        if isinstance(frame, frames.Hello):
            if frame.receiver != self._owner.vm:
                # The receiver had this address before this VM took it over.
                raise ValueError(f"link meant for {frame.receiver}")
            self.vm = frame.sender.vm
            self._owner.handler(self.vm, frame)
            return
        if self.vm is None:
            raise ValueError("first frame of the link is not a Hello")
        if isinstance(frame, frames.Cancel):
            task = self._tasks.get(frame.number)
            if task is not None:
                task.cancel()
            return
        if isinstance(frame, frames.Status | frames.Ping):
            self._reply(self._owner.make_pong())
        result = self._owner.handler(self.vm, frame)
        if result is None:
            return
        if isinstance(result, msgspec.Struct):
            self._reply(result)
            return
        number: int = getattr(frame, "number", 0)
        self._last_number = max(self._last_number, number)
        task = asyncio.ensure_future(result)
        self._tasks[number] = task
        task.add_done_callback(
            functools.partial(self._on_done, self.vm, number)
        )

    def _on_done(
        self,
        vm: ids.VmId,
        number: int,
        task: "asyncio.Future[frames.Frame | None]",
    ) -> None:
        self._tasks.pop(number, None)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, Exception):
            self._owner.on_fault(vm, error)
            return
        reply = task.result()
        if reply is not None:
            self._reply(reply)

    def _reply(self, frame: frames.Frame) -> None:
        # A peer that has closed its link waits for no reply.
        self._writer.write(frame)
