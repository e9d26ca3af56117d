"""A link that a peer dialled: its calls are run and answered."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
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


class _RunningCall:
    """A call of the peer without a reply so far.

    Attributes:
      result: Awaited for the reply.
      task: Runs it.
      has_begun: Whether the task has begun.
    """

    def __init__(self, result: Awaitable[frames.Frame | None]):
        self.result = result
        self.task: asyncio.Task[None] | None = None
        self.has_begun = False

    def cancel(self) -> bool:
        """Cancels the call; returns whether it had begun."""
        if self.task is not None:
            self.task.cancel()
        if not self.has_begun and isinstance(self.result, Coroutine):
            # The task will not await it any more.
            self.result.close()
        return self.has_begun


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
        self._calls: dict[int, _RunningCall] = {}
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
        if self._calls and self._owner.clock.now_ms() < limit_ms:
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
            for number in list(self._calls):
                self._cancel(number)

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
            self._cancel(frame.number)
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
        call = _RunningCall(result)
        self._calls[number] = call
        call.task = asyncio.ensure_future(self._run_call(self.vm, number, call))

    async def _run_call(
        self, vm: ids.VmId, number: int, call: "_RunningCall"
    ) -> None:
        """Runs a call and replies.

        It replies itself, as a callback of the task would take a further
        iteration of the event loop.
        """
        call.has_begun = True
        reply: frames.Frame | None = None
        try:
            reply = await call.result
        except Exception as error:
            self._owner.on_fault(vm, error)
        finally:
            self._calls.pop(number, None)
        if reply is not None:
            self._reply(reply)

    def _cancel(self, number: int) -> None:
        call = self._calls.get(number)
        if call is not None and not call.cancel():
            # It has not begun, so it does not end by itself.
            del self._calls[number]

    def _reply(self, frame: frames.Frame) -> None:
        # A peer that has closed its link waits for no reply.
        self._writer.write(frame)
