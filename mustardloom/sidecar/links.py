"""Links between daemons: each daemon dials one stream to each other daemon.

A daemon sends its calls on the stream that it dialled, and the replies to
calls of a peer on the stream that the peer dialled.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools
import socket
from typing import Any

from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.sidecar import compression
from mustardloom.sidecar import frames

__all__ = [
    "FrameHandler",
    "Links",
    "PeerLost",
    "PeerUnreachable",
]

Address = settings.Address
# Called with each frame of a peer; returns the reply to a call, None for frames
# that have no reply.
FrameHandler = Callable[
    [ids.VmId, frames.Frame],
    Awaitable[frames.Frame | None] | frames.Frame | None,
]

# Called with the VM, the local time of the status or ping, and its answer.
PongCallback = Callable[[ids.VmId, int, frames.Pong], None]

_READ_BYTES = 65_536
_CONNECT_TIMEOUT_MS = 400
_MIN_RECONNECT_MS = 250
_MAX_RECONNECT_MS = 1_500
# A peer that has sent nothing for this long while calls wait is pinged.
_PING_AFTER_MS = 300
# A link is closed if a status or ping is unanswered and the peer has sent
# nothing for this long.
_PONG_TIMEOUT_MS = 700
_CHECK_INTERVAL_MS = 150
_MS_PER_S = 1_000


class PeerUnreachable(Exception):
    """The frame was certainly not sent, so the peer did nothing."""


class PeerLost(Exception):
    """The frame was sent, but no reply came; the peer may have acted on it."""


class _Link:
    """The stream that this daemon dials to one peer.

    It reconnects until it is closed.

    Attributes:
      address: Where the peer listens.
      is_up: Whether the peer has answered on the open stream.
      down_since_ms: Local time at which the link last went down.
      received_ms: Local time at which the peer last sent something, or at which
        the stream was opened.
    """

    def __init__(self, owner: "Links", vm: ids.VmId, address: Address):
        self.address = address
        self.is_up = False
        self.down_since_ms = owner.clock.now_ms()
        self._owner = owner
        self._vm = vm
        self._stream: iostream.IOStream | None = None
        self._compressor = compression.Compressor()
        self._calls: dict[int, asyncio.Future[frames.Frame]] = {}
        self._numbers = itertools.count(1)
        self.received_ms = 0
        # Times of the statuses and pings without an answer so far, in order.
        self._unanswered_ms: collections.deque[int] = collections.deque()
        self._task = asyncio.create_task(self._run())

    def next_number(self) -> int:
        """Returns a call number that is unique on this link."""
        return next(self._numbers)

    def notify(self, frame: frames.Frame) -> bool:
        """Sends a frame; returns whether the link was up."""
        return self.is_up and self._write(frame)

    def _write(self, frame: frames.Frame) -> bool:
        if self._stream is None:
            return False
        try:
            data = self._compressor.compress(frames.encode(frame))
            written = self._stream.write(data)
        except iostream.StreamClosedError:
            return False
        written.add_done_callback(_ignore_closed)
        if isinstance(frame, frames.Status | frames.Ping):
            self._unanswered_ms.append(self._owner.clock.now_ms())
        return True

    async def call(self, number: int, frame: frames.Frame) -> frames.Frame:
        """Sends a frame and returns its reply; see `Links.call`."""
        if not self.notify(frame):
            raise PeerUnreachable(self._vm)
        reply: asyncio.Future[frames.Frame] = asyncio.Future()
        self._calls[number] = reply
        try:
            return await reply
        except asyncio.CancelledError:
            self.notify(frames.Cancel(number))
            raise
        finally:
            self._calls.pop(number, None)

    def check(self, now_ms: int) -> None:
        """Closes the stream if a pong is overdue.

        Otherwise pings a peer on which calls wait and that sends nothing.
        """
        if self._stream is None:
            return
        if self._unanswered_ms:
            latest_ms = max(self._unanswered_ms[0], self.received_ms)
            if now_ms - latest_ms > _PONG_TIMEOUT_MS:
                self._stream.close()
        elif self._calls and now_ms - self.received_ms > _PING_AFTER_MS:
            self.notify(frames.Ping())

    def close(self) -> None:
        """Closes the stream for good; open calls fail with `PeerLost`."""
        self._task.cancel()
        self._disconnect()

    async def _run(self) -> None:
        backoff_ms = _MIN_RECONNECT_MS
        while True:
            if await self._connect():
                await self._read()
                if self.is_up:
                    backoff_ms = _MIN_RECONNECT_MS
                self._disconnect()
            await self._owner.clock.sleep_ms(backoff_ms)
            backoff_ms = min(2 * backoff_ms, _MAX_RECONNECT_MS)

    async def _connect(self) -> bool:
        stream = iostream.IOStream(socket.socket())
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_MS / _MS_PER_S):
                await stream.connect(self.address)
        except (OSError, iostream.StreamClosedError):
            stream.close()
            return False
        stream.set_nodelay(True)
        self._stream = stream
        self._compressor = compression.Compressor()
        self.received_ms = self._owner.clock.now_ms()
        self._unanswered_ms.clear()
        self._write(self._owner.hello(self._vm))
        self._write(frames.Ping())
        return True

    async def _read(self) -> None:
        assert self._stream is not None
        buffer = frames.FrameBuffer()
        decompressor = compression.Decompressor()
        try:
            while True:
                data = await self._stream.read_bytes(_READ_BYTES, partial=True)
                self.received_ms = self._owner.clock.now_ms()
                if not self.is_up:
                    # Only now, as the kernel also accepts connections for a
                    # process that is paused.
                    self.is_up = True
                    self._owner.on_change(self._vm, True)
                for part in decompressor.decompress(data):
                    for frame in buffer.feed(part):
                        self._resolve(frame)
        except iostream.StreamClosedError:
            return
        except ValueError as error:
            self._owner.on_fault(self._vm, error)

    def _resolve(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Pong):
            asked_ms = self._unanswered_ms.popleft()
            self._owner.on_pong(self._vm, asked_ms, frame)
            return
        number = getattr(frame, "number", None)
        if number is None:
            return
        reply = self._calls.get(number)
        if reply is not None and not reply.done():
            reply.set_result(frame)

    def _disconnect(self) -> None:
        was_up, self.is_up = self.is_up, False
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        for reply in self._calls.values():
            if not reply.done():
                reply.set_exception(PeerLost(self._vm))
        self._calls.clear()
        if was_up:
            self.down_since_ms = self._owner.clock.now_ms()
            self._owner.on_change(self._vm, False)


class Links:
    """All links of one daemon.

    Attributes:
      clock: Source of time.
      handler: Called with each frame of a peer.
      vm: VM of this daemon.
      make_pong: Returns the answer to a status or ping.
      on_pong: Called with a peer's answer to a status or ping.
      on_change: Called when the link to a VM goes up or down.
      on_fault: Called when a peer sends invalid bytes or the handler of its
        frame fails.
    """

    def __init__(
        self,
        record: stored.DaemonRecord,
        clock: clock_lib.Clock,
        handler: FrameHandler,
    ):
        self.clock = clock
        self.handler = handler
        self.on_change: Callable[[ids.VmId, bool], None] = lambda *_: None
        self.on_fault: Callable[[ids.VmId, Exception], None] = lambda *_: None
        self.vm = record.vm
        self.make_pong: Callable[[], frames.Pong] = lambda: frames.Pong((), 0)
        self.on_pong: PongCallback = lambda *_: None
        self._record = record
        self._started_ms = clock.wall_ms()
        self._link_by_vm: dict[ids.VmId, _Link] = {}
        self._server = _PeerServer(self)

    def hello(self, receiver: ids.VmId) -> frames.Hello:
        """Returns the first frame of a link, which names both sides."""
        return frames.Hello(self._record, receiver, self._started_ms)

    def listen(self, host: str, port: int) -> int:
        """Starts to accept links and returns the port that is bound.

        Raises:
          OSError: The address is in use or not available.
        """
        sockets = netutil.bind_sockets(port, host)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def set_peers(self, address_by_vm: dict[ids.VmId, Address]) -> None:
        """Opens and closes links until there is one to each of these VMs."""
        for vm, link in list(self._link_by_vm.items()):
            if address_by_vm.get(vm) != link.address:
                self._link_by_vm.pop(vm).close()
        for vm, address in address_by_vm.items():
            if vm not in self._link_by_vm and vm != self.vm:
                self._link_by_vm[vm] = _Link(self, vm, address)

    def is_up(self, vm: ids.VmId) -> bool:
        """Returns whether the link to a VM is up."""
        link = self._link_by_vm.get(vm)
        return link is not None and link.is_up

    def unreachable_ms(self, vm: ids.VmId) -> int:
        """Returns for how long the link to a VM has been down, in ms.

        Returns 0 if it is up or if there is none.
        """
        link = self._link_by_vm.get(vm)
        if link is None or link.is_up:
            return 0
        return self.clock.now_ms() - link.down_since_ms

    def reachable_vms(self) -> Iterable[ids.VmId]:
        """Yields the VMs whose links are up."""
        return (vm for vm, link in self._link_by_vm.items() if link.is_up)

    def notify(self, vm: ids.VmId, frame: frames.Frame) -> bool:
        """Sends a frame that gets no reply; returns whether the link was up."""
        link = self._link_by_vm.get(vm)
        return link is not None and link.notify(frame)

    def ping_all(self) -> None:
        """Pings all peers; their answers also tell which key maps they know."""
        self.broadcast(frames.Ping())

    def ping_quiet(self, vms: Iterable[ids.VmId], quiet_ms: int) -> None:
        """Pings those of the VMs that have sent nothing for `quiet_ms`."""
        now_ms = self.clock.now_ms()
        for vm in vms:
            link = self._link_by_vm.get(vm)
            if link is not None and now_ms - link.received_ms >= quiet_ms:
                link.notify(frames.Ping())

    def broadcast(self, frame: frames.Frame) -> None:
        """Sends a frame on all links that are up."""
        for link in self._link_by_vm.values():
            link.notify(frame)

    async def call(
        self, vm: ids.VmId, make: Callable[[int], frames.Frame]
    ) -> frames.Frame:
        """Sends a frame and returns its reply.

        Args:
          vm: The receiver.
          make: Returns the frame for a call number.

        Raises:
          PeerUnreachable: The frame was certainly not sent.
          PeerLost: It was sent, but no reply came.
        """
        link = self._link_by_vm.get(vm)
        if link is None:
            raise PeerUnreachable(vm)
        number = link.next_number()
        return await link.call(number, make(number))

    async def check_links(self) -> None:
        """Checks all links for silent peers, until cancelled."""
        while True:
            await self.clock.sleep_ms(_CHECK_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            for link in list(self._link_by_vm.values()):
                link.check(now_ms)

    def close(self) -> None:
        """Closes all links, those that peers dialled included."""
        self._server.close()
        for link in self._link_by_vm.values():
            link.close()
        self._link_by_vm.clear()


class _PeerServer(tcpserver.TCPServer):
    """Accepts the links that peers dial."""

    def __init__(self, owner: Links):
        super().__init__()
        self._owner = owner
        self._streams: set[iostream.IOStream] = set()

    def close(self) -> None:
        """Accepts no more links and closes those that are open."""
        self.stop()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """See base class."""
        del address
        stream.set_nodelay(True)
        self._streams.add(stream)
        try:
            await _IncomingLink(self._owner, stream).run()
        finally:
            self._streams.discard(stream)


class _IncomingLink:
    """A link that a peer dialled."""

    def __init__(self, owner: Links, stream: iostream.IOStream):
        self._owner = owner
        self._stream = stream
        self._compressor = compression.Compressor()
        self._vm: ids.VmId | None = None
        self._tasks: dict[int, asyncio.Future[frames.Frame | None]] = {}

    async def run(self) -> None:
        """Reads frames until the stream is closed or its bytes are invalid."""
        buffer = frames.FrameBuffer()
        decompressor = compression.Decompressor()
        try:
            while True:
                data = await self._stream.read_bytes(_READ_BYTES, partial=True)
                for part in decompressor.decompress(data):
                    for frame in buffer.feed(part):
                        self._receive(frame)
        except iostream.StreamClosedError:
            pass
        except ValueError as error:
            self._owner.on_fault(self._vm or ids.VmId(""), error)
        finally:
            self._stream.close()
            for task in list(self._tasks.values()):
                task.cancel()

    def _receive(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Hello):
            if frame.receiver != self._owner.vm:
                # The receiver had this address before this VM took it over.
                raise ValueError(f"link meant for {frame.receiver}")
            self._vm = frame.sender.vm
            self._owner.handler(self._vm, frame)
            return
        if self._vm is None:
            raise ValueError("first frame of the link is not a Hello")
        if isinstance(frame, frames.Cancel):
            task = self._tasks.get(frame.number)
            if task is not None:
                task.cancel()
            return
        if isinstance(frame, frames.Status | frames.Ping):
            self._reply(self._owner.make_pong())
        result = self._owner.handler(self._vm, frame)
        if result is None:
            return
        if not isinstance(result, Awaitable):
            self._reply(result)
            return
        number: int = getattr(frame, "number", 0)
        task = asyncio.ensure_future(result)
        self._tasks[number] = task
        task.add_done_callback(
            functools.partial(self._on_done, self._vm, number)
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
        try:
            data = self._compressor.compress(frames.encode(frame))
            written = self._stream.write(data)
        except iostream.StreamClosedError:
            return
        written.add_done_callback(_ignore_closed)


def _ignore_closed(written: "asyncio.Future[None]") -> None:
    if not written.cancelled():
        # Marks the exception as retrieved; the reader of the stream reports
        # that it was closed.
        written.exception()
