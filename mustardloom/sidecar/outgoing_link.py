"""The link that a daemon dials to one peer, over one stream after another.

A peer that is paused or overloaded falls silent and goes on later. New requests
avoid it, but the calls that it has already may be running, so they are not
given up while it may still answer them: the silent stream is kept beside its
successor until it is closed, or has been silent for `_SILENT_STREAM_MS`.
"""

import asyncio
import collections
from collections.abc import Callable
import enum
import functools
import itertools
from typing import Protocol

from tornado import iostream

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom.deployment import settings
from mustardloom.http1 import sockets
from mustardloom.http1 import streams
from mustardloom.sidecar import frame_reader
from mustardloom.sidecar import frame_writer
from mustardloom.sidecar import frames

__all__ = [
    "LinkOwner",
    "OnSilence",
    "OpenCall",
    "OutgoingLink",
    "PeerLost",
    "PeerUnreachable",
]

_CONNECT_TIMEOUT_MS = 400
_MIN_RECONNECT_MS = 250
_MAX_RECONNECT_MS = 1_500
# A peer that has sent nothing for this long while calls wait is pinged.
_PING_AFTER_MS = 300
# A peer is silent if a status or ping is unanswered and it has sent nothing for
# this long.
_PONG_TIMEOUT_MS = 700
# The longest pause of a peer after which its answers are still awaited.
_SILENT_STREAM_MS = 5_000
# What a process that accepts no more streams has sent arrives within this time.
_LAST_REPLIES_MS = 1_000
_MS_PER_S = 1_000


class PeerUnreachable(Exception):
    """The frame was certainly not sent, so the peer did nothing."""


class PeerLost(Exception):
    """The frame was sent, but no reply came; the peer may have acted on it."""


class OnSilence(enum.Enum):
    """What becomes of a call whose peer falls silent.

    Attributes:
      FAIL: It fails; a query costs little and may be sent elsewhere.
      TELL: It goes on, and who waits for it is told that it is overdue.
      WAIT: It goes on; nobody else can reply.
    """

    FAIL = "fail"
    TELL = "tell"
    WAIT = "wait"


class LinkOwner(Protocol):
    """What a link needs of the links of its daemon.

    Attributes:
      clock: Source of time.
      budget: Account of the bytes that this process holds.
      dial_share: Descriptors for the links that this daemon dials.
      on_pong: Called with a peer's answer to a status or ping, and the local
        time at which that was sent.
      on_change: Called when the link to a VM goes up or down.
      on_fault: Called when a peer sends invalid bytes.
    """

    clock: clock_lib.Clock
    budget: memory_budget.MemoryBudget
    dial_share: descriptor_budget.Share
    on_pong: Callable[[ids.VmId, int, frames.Pong], None]
    on_change: Callable[[ids.VmId, bool], None]
    on_fault: Callable[[ids.VmId, Exception], None]

    def hello(self, receiver: ids.VmId) -> frames.Hello:
        """Returns the first frame of a stream."""


class _Stream:
    """One stream to the peer, with the calls that were sent on it.

    Attributes:
      calls: Calls without a reply by their numbers.
      received_ms: Local time at which the peer last sent something, or at which
        the stream was opened.
      ended: Set when the stream is closed or the peer is silent.
      silent_since_ms: Local time at which the peer was found silent, or None.
      ends_ms: Local time at which it is closed, None if that is not known.
      offset_ms: The peer's clock minus the local one, less the shortest way
        back; None before the first pong.
      is_ending: Whether the peer reads nothing more on it.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        now_ms: int,
        budget: memory_budget.MemoryBudget,
    ):
        self.calls: dict[int, OpenCall] = {}
        self.received_ms = now_ms
        self.ended = asyncio.Event()
        self.silent_since_ms: int | None = None
        self.ends_ms: int | None = None
        self.offset_ms: int | None = None
        self.is_ending = False
        # Times of the statuses and pings without an answer so far, in order.
        self.unanswered_ms: collections.deque[int] = collections.deque()
        self._stream = stream
        self._writer = frame_writer.FrameWriter(stream, budget)

    def write(self, frame: frames.Frame, now_ms: int) -> bool:
        """Sends a frame; returns whether the stream was open."""
        if self.is_ending or not self._writer.write(frame):
            return False
        if isinstance(frame, frames.Status | frames.Ping):
            self.unanswered_ms.append(now_ms)
        return True

    def is_overdue(self, now_ms: int) -> bool:
        """Returns whether an answer of the peer is overdue."""
        if not self.unanswered_ms:
            return False
        latest_ms = max(self.unanswered_ms[0], self.received_ms)
        return now_ms - latest_ms > _PONG_TIMEOUT_MS

    def has_ended(self, now_ms: int) -> bool:
        """Returns whether nothing more is awaited from a silent peer."""
        if self.ends_ms is not None and now_ms >= self.ends_ms:
            return True
        since_ms = max(self.silent_since_ms or now_ms, self.received_ms)
        return now_ms - since_ms >= _SILENT_STREAM_MS

    def record_clock(self, peer_ms: int, now_ms: int) -> None:
        """Records the peer's clock as its pong tells it.

        The largest difference belongs to the pong with the shortest way.
        """
        offset_ms = peer_ms - now_ms
        if self.offset_ms is None or offset_ms > self.offset_ms:
            self.offset_ms = offset_ms

    def resolve(self, frame: frames.Frame) -> None:
        """Gives a reply to the call that waits for it."""
        number = getattr(frame, "number", None)
        call = None if number is None else self.calls.get(number)
        if call is not None and not call.reply.done():
            call.reply.set_result(frame)

    def on_goodbye(self, vm: ids.VmId, last_number: int) -> None:
        """Ends the calls that the peer has not read; takes no others."""
        self.is_ending = True
        for number, call in list(self.calls.items()):
            if number > last_number:
                del self.calls[number]
                if not call.reply.done():
                    call.reply.set_exception(PeerUnreachable(vm))

    def on_silence(self, vm: ids.VmId) -> None:
        """Fails or marks the calls that are not to wait for the peer."""
        for number, call in list(self.calls.items()):
            match call.on_silence:
                case OnSilence.FAIL:
                    self._fail(vm, number)
                case OnSilence.TELL:
                    call.mark_overdue(frames.Overdue(number))
                case OnSilence.WAIT:
                    pass

    def fail_calls(self, vm: ids.VmId) -> None:
        """Ends all calls."""
        for number in list(self.calls):
            self._fail(vm, number)

    def _fail(self, vm: ids.VmId, number: int) -> None:
        call = self.calls.pop(number)
        if not call.reply.done():
            call.reply.set_exception(PeerLost(vm))

    def close(self) -> None:
        """Closes the stream."""
        self._stream.close()
        self.ended.set()


class OpenCall:
    """A call that was sent.

    Attributes:
      reply: The reply, or `PeerLost` or `PeerUnreachable`. That of an overdue
        call is `Overdue`, and then the next one.
      on_silence: What becomes of it if the peer falls silent.
      is_overdue: Whether `Overdue` was its reply.
    """

    def __init__(self, on_silence: OnSilence, on_end: Callable[[bool], None]):
        self.reply: asyncio.Future[frames.Frame] = asyncio.Future()
        self.on_silence = on_silence
        self.is_overdue = False
        self._on_end = on_end
        self._has_ended = False

    async def result(self) -> frames.Frame:
        """Returns the reply; a cancelled call is cancelled at the peer.

        After `Overdue` the call goes on, and this is to be called again.
        """
        is_open = False
        try:
            frame = await self.reply
            is_open = isinstance(frame, frames.Overdue)
            return frame
        finally:
            if not is_open:
                self.end()

    def mark_overdue(self, frame: frames.Overdue) -> None:
        """Tells who waits, once, that there may be no answer; goes on."""
        if not self.is_overdue and not self.reply.done():
            self.is_overdue = True
            waiting, self.reply = self.reply, asyncio.Future()
            waiting.set_result(frame)

    def end(self) -> None:
        """Ends the call; the peer is told if it has not replied."""
        if self._has_ended:
            return
        self._has_ended = True
        is_dropped = self.reply.cancel() or self.reply.cancelled()
        if not is_dropped:
            # Marks an error as retrieved, which asyncio would log otherwise.
            self.reply.exception()
        self._on_end(is_dropped)


class OutgoingLink:
    """The streams that this daemon dials to one peer.

    It reconnects until it is closed.

    Attributes:
      address: Where the peer listens.
      is_up: Whether the peer has answered on the current stream.
      down_since_ms: Local time at which the link last went down.
    """

    def __init__(
        self, owner: LinkOwner, vm: ids.VmId, address: settings.Address
    ):
        self.address = address
        self.is_up = False
        self.down_since_ms = owner.clock.now_ms()
        self._owner = owner
        self._vm = vm
        self._numbers = itertools.count(1)
        self._current: _Stream | None = None
        self._silent: list[_Stream] = []
        self._readers: set[asyncio.Task[None]] = set()
        self._task = asyncio.create_task(self._run())

    @property
    def received_ms(self) -> int:
        """Returns when the peer last sent something on the current stream."""
        return 0 if self._current is None else self._current.received_ms

    @property
    def offset_ms(self) -> int | None:
        """Returns the peer's clock minus the local one; None if unknown."""
        return None if self._current is None else self._current.offset_ms

    def next_number(self) -> int:
        """Returns a call number that is unique on this link."""
        return next(self._numbers)

    def notify(self, frame: frames.Frame) -> bool:
        """Sends a frame; returns whether the link was up."""
        if not self.is_up or self._current is None:
            return False
        return self._current.write(frame, self._owner.clock.now_ms())

    def begin_call(
        self, number: int, frame: frames.Frame, on_silence: OnSilence
    ) -> "OpenCall":
        """Sends a frame that gets a reply; see `Links.begin_call`."""
        stream = self._current
        if stream is None or not self.notify(frame):
            raise PeerUnreachable(self._vm)
        call = OpenCall(
            on_silence, functools.partial(self._end, stream, number)
        )
        stream.calls[number] = call
        return call

    def mark_overdue(self, frame: frames.Overdue) -> None:
        """Tells who waits for a call that its target may not answer."""
        for stream in (self._current, *self._silent):
            call = None if stream is None else stream.calls.get(frame.number)
            if call is not None:
                call.mark_overdue(frame)

    def _end(self, stream: _Stream, number: int, is_dropped: bool) -> None:
        stream.calls.pop(number, None)
        if is_dropped:
            stream.write(frames.Cancel(number), self._owner.clock.now_ms())

    def check(self, now_ms: int) -> None:
        """Finds out whether the peer is silent, and pings it while calls wait.

        Also closes silent streams on which nothing is awaited any more.
        """
        for stream in list(self._silent):
            if not stream.calls or stream.has_ended(now_ms):
                self._silent.remove(stream)
                stream.close()
            elif not stream.unanswered_ms:
                # A peer that is back answers it, and may answer the calls.
                stream.write(frames.Ping(), now_ms)
        current = self._current
        if current is None:
            return
        if current.is_overdue(now_ms):
            self._set_silent(current, now_ms)
        elif (
            current.calls
            and not current.unanswered_ms
            and now_ms - current.received_ms > _PING_AFTER_MS
        ):
            self.notify(frames.Ping())

    def close(self) -> None:
        """Closes the streams for good; open calls fail with `PeerLost`."""
        self._task.cancel()
        for task in self._readers:
            task.cancel()
        self._end_silent_streams()
        if self._current is not None:
            self._current.close()
            self._current.fail_calls(self._vm)
        self._set_down()

    async def _run(self) -> None:
        backoff_ms = _MIN_RECONNECT_MS
        while True:
            stream = await self._connect()
            if stream is not None:
                await stream.ended.wait()
                if self.is_up:
                    backoff_ms = _MIN_RECONNECT_MS
                self._set_down()
            await self._owner.clock.sleep_ms(backoff_ms)
            backoff_ms = min(2 * backoff_ms, _MAX_RECONNECT_MS)

    async def _connect(self) -> _Stream | None:
        try:
            dialled = streams.open_stream(
                self._owner.dial_share.take(), sockets.REMOTE_UNREAD_BYTES
            )
        except OSError:
            # Counted by the share; tried again after a pause.
            return None
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_MS / _MS_PER_S):
                await dialled.connect(self.address)
        except (OSError, iostream.StreamClosedError) as error:
            dialled.close()
            cause = getattr(error, "real_error", None) or error
            if isinstance(cause, ConnectionRefusedError):
                # A paused process still accepts connections, so this one ended.
                self._end_silent_streams_soon()
            return None
        except BaseException:
            dialled.close()
            raise
        dialled.set_nodelay(True)
        now_ms = self._owner.clock.now_ms()
        stream = _Stream(dialled, now_ms, self._owner.budget)
        self._current = stream
        stream.write(self._owner.hello(self._vm), now_ms)
        stream.write(frames.Ping(), now_ms)
        reader = asyncio.create_task(self._read(stream, dialled))
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return stream

    async def _read(
        self, stream: _Stream, dialled: streams.CountedStream
    ) -> None:
        reader = frame_reader.FrameReader(
            dialled,
            self._owner.budget,
            functools.partial(self._receive, stream),
            functools.partial(self._on_received, stream),
        )
        try:
            await reader.run()
        except iostream.StreamClosedError:
            pass
        except Exception as error:
            # Invalid bytes, or a frame that its handler cannot process; either
            # ends this link only.
            self._owner.on_fault(self._vm, error)
        finally:
            stream.close()
            stream.fail_calls(self._vm)

    def _on_received(self, stream: _Stream) -> None:
        stream.received_ms = self._owner.clock.now_ms()
        if stream is self._current and not self.is_up:
            # Only now, as the kernel also accepts connections for a process
            # that is paused.
            self.is_up = True
            self._owner.on_change(self._vm, True)

    def _receive(self, stream: _Stream, frame: frames.Frame) -> None:
        match frame:
            case frames.Goodbye(last_number):
                stream.on_goodbye(self._vm, last_number)
                return
            case frames.Pong():
                pass
            case _:
                stream.resolve(frame)
                return
        if not stream.unanswered_ms:
            raise ValueError("pong without a ping")
        asked_ms = stream.unanswered_ms.popleft()
        stream.record_clock(frame.clock_ms, stream.received_ms)
        self._owner.on_pong(self._vm, asked_ms, frame)

    def _set_silent(self, stream: _Stream, now_ms: int) -> None:
        stream.silent_since_ms = now_ms
        stream.on_silence(self._vm)
        if stream.calls:
            self._silent.append(stream)
            stream.ended.set()
        else:
            stream.close()

    def _end_silent_streams(self) -> None:
        for stream in self._silent:
            stream.close()
            stream.fail_calls(self._vm)
        self._silent.clear()

    def _end_silent_streams_soon(self) -> None:
        ends_ms = self._owner.clock.now_ms() + _LAST_REPLIES_MS
        for stream in self._silent:
            if stream.ends_ms is None:
                stream.ends_ms = ends_ms

    def _set_down(self) -> None:
        was_up, self.is_up = self.is_up, False
        self._current = None
        if was_up:
            self.down_since_ms = self._owner.clock.now_ms()
            self._owner.on_change(self._vm, False)
