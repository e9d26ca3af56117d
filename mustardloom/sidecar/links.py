"""Links between daemons: each daemon dials one stream to each other daemon.

A daemon sends its calls on the stream that it dialled, and the replies to
calls of a peer on the stream that the peer dialled.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import functools
import socket
from typing import Any

import msgspec
from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.http1 import sockets
from mustardloom.sidecar import frame_reader
from mustardloom.sidecar import frame_writer
from mustardloom.sidecar import frames
from mustardloom.sidecar import outgoing_link
from mustardloom.sidecar import transfers

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

PeerLost = outgoing_link.PeerLost
PeerUnreachable = outgoing_link.PeerUnreachable

# Called with a stream whose first byte was `transfers.PREFACE`.
TransferHandler = Callable[[iostream.IOStream], None]
# Called with the VM, the local time of the status or ping, and its answer.
PongCallback = Callable[[ids.VmId, int, frames.Pong], None]

_CHECK_INTERVAL_MS = 150
_END_POLL_S = 0.01
# Calls that are read last are refused within this time.
_LAST_REPLIES_MS = 100


class Links:
    """All links of one daemon.

    Attributes:
      clock: Source of time.
      budget: Account of the bytes that this process holds.
      handler: Called with each frame of a peer.
      vm: VM of this daemon.
      make_pong: Returns the answer to a status or ping.
      on_pong: Called with a peer's answer to a status or ping.
      on_change: Called when the link to a VM goes up or down.
      on_fault: Called when a peer sends invalid bytes or the handler of its
        frame fails.
      on_transfer: Called with a connection on which a peer fetches a body.
      is_limited: Whether a stop lets this daemon repeat calls no more.
    """

    def __init__(
        self,
        record: stored.DaemonRecord,
        clock: clock_lib.Clock,
        handler: FrameHandler,
        budget: memory_budget.MemoryBudget | None = None,
    ):
        self.clock = clock
        self.budget = budget or memory_budget.unlimited(clock)
        self.handler = handler
        self.on_change: Callable[[ids.VmId, bool], None] = lambda *_: None
        self.on_fault: Callable[[ids.VmId, Exception], None] = lambda *_: None
        self.vm = record.vm
        self.make_pong: Callable[[], frames.Pong] = lambda: frames.Pong(
            (), 0, clock.now_ms()
        )
        self.on_pong: PongCallback = lambda *_: None
        self.on_transfer: TransferHandler = lambda stream: stream.close()
        self.is_limited: Callable[[], bool] = lambda: False
        self._record = record
        self._started_ms = clock.wall_ms()
        self._link_by_vm: dict[ids.VmId, outgoing_link.OutgoingLink] = {}
        self._server = _PeerServer(self)

    def hello(self, receiver: ids.VmId) -> frames.Hello:
        """Returns the first frame of a link, which names both sides."""
        return frames.Hello(self._record, receiver, self._started_ms)

    def listen(self, host: str, port: int) -> int:
        """Starts to accept links and returns the port that is bound.

        Raises:
          OSError: The address is in use or not available.
        """
        listening = netutil.bind_sockets(port, host)
        for each in listening:
            sockets.bound_unread(each, sockets.REMOTE_UNREAD_BYTES)
        self._server.add_sockets(listening)
        return int(listening[0].getsockname()[1])

    def set_peers(self, address_by_vm: dict[ids.VmId, Address]) -> None:
        """Opens and closes links until there is one to each of these VMs."""
        for vm, link in list(self._link_by_vm.items()):
            if address_by_vm.get(vm) != link.address:
                self._link_by_vm.pop(vm).close()
        for vm, address in address_by_vm.items():
            if vm not in self._link_by_vm and vm != self.vm:
                self._link_by_vm[vm] = outgoing_link.OutgoingLink(
                    self, vm, address
                )

    def is_up(self, vm: ids.VmId) -> bool:
        """Returns whether the link to a VM is up."""
        link = self._link_by_vm.get(vm)
        return link is not None and link.is_up

    def address_of(self, vm: ids.VmId) -> Address | None:
        """Returns where a VM accepts links, None if that is not known."""
        link = self._link_by_vm.get(vm)
        return None if link is None else link.address

    def unreachable_ms(self, vm: ids.VmId) -> int:
        """Returns for how long the link to a VM has been down, in ms.

        Returns 0 if it is up or if there is none.
        """
        link = self._link_by_vm.get(vm)
        if link is None or link.is_up:
            return 0
        return self.clock.now_ms() - link.down_since_ms

    def clock_offset_ms(self, vm: ids.VmId) -> int | None:
        """Returns a VM's clock minus the local one, in ms; None if unknown.

        It is too small by the shortest network delay that was seen.
        """
        link = self._link_by_vm.get(vm)
        return None if link is None else link.offset_ms

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
        self,
        vm: ids.VmId,
        make: Callable[[int], frames.Frame],
        may_repeat: bool = True,
    ) -> frames.Frame:
        """Sends a frame and returns its reply.

        Args:
          vm: The receiver.
          make: Returns the frame for a call number.
          may_repeat: Whether the call fails as soon as the peer falls silent,
            so that it can be repeated elsewhere; otherwise, and once a
            stop refuses requests, a late reply is awaited.

        Raises:
          PeerUnreachable: The frame was certainly not sent.
          PeerLost: It was sent, but no reply came.
        """
        link = self._link_by_vm.get(vm)
        if link is None:
            raise PeerUnreachable(vm)
        number = link.next_number()
        return await link.call(number, make(number), may_repeat)

    async def check_links(self) -> None:
        """Checks all links for silent peers, until cancelled."""
        while True:
            await self.clock.sleep_ms(_CHECK_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            for link in list(self._link_by_vm.values()):
                link.check(now_ms)

    def is_writing(self) -> bool:
        """Returns whether replies to other daemons are not written yet."""
        return self._server.is_writing()

    def has_incoming(self) -> bool:
        """Returns whether links that peers dialled are open."""
        return self._server.has_streams()

    def end_incoming(self) -> None:
        """Ends the links that peers dialled, after what was written on them.

        The peers close them. A close on this side would drop what is still on
        its way if something has arrived meanwhile and was not read.
        """
        self._server.end_streams()

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
        self._link_by_stream: dict[iostream.IOStream, _IncomingLink] = {}

    def close(self) -> None:
        """Accepts no more links and closes those that are open."""
        self.stop()
        for stream in list(self._link_by_stream):
            stream.close()

    def is_writing(self) -> bool:
        """Returns whether a stream has bytes that are not written yet."""
        return any(stream.writing() for stream in self._link_by_stream)

    def has_streams(self) -> bool:
        """Returns whether a stream is open."""
        return bool(self._link_by_stream)

    def end_streams(self) -> None:
        """Accepts no more links; sends the end of all that are open."""
        self.stop()
        for link in list(self._link_by_stream.values()):
            link.end()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """See base class."""
        del address
        stream.set_nodelay(True)
        try:
            first = await stream.read_bytes(len(transfers.PREFACE))
        except iostream.StreamClosedError:
            return
        if first == transfers.PREFACE:
            self._owner.on_transfer(stream)
            return
        link = _IncomingLink(self._owner, stream)
        self._link_by_stream[stream] = link
        try:
            await link.run(first)
        finally:
            del self._link_by_stream[stream]


class _IncomingLink:
    """A link that a peer dialled."""

    def __init__(self, owner: Links, stream: iostream.IOStream):
        self._owner = owner
        self._stream = stream
        self._writer = frame_writer.FrameWriter(stream, owner.budget)
        self._vm: ids.VmId | None = None
        self._tasks: dict[int, asyncio.Future[frames.Frame | None]] = {}
        # Highest number of a call so far.
        self._last_number = 0
        self._is_ending = False

    def end(self) -> None:
        """Reads no more calls; sends the end of the link after the replies."""
        if self._is_ending:
            return
        self._is_ending = True
        self._end_when_replied(self._owner.clock.now_ms() + _LAST_REPLIES_MS)

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
            before_read=self._writer.wait_until_read,
        )
        try:
            await reader.run(data)
        except iostream.StreamClosedError:
            pass
        except Exception as error:
            # Invalid bytes, or a frame that its handler cannot process; either
            # ends this link only.
            self._owner.on_fault(self._vm or ids.VmId(""), error)
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
        if isinstance(result, msgspec.Struct):
            self._reply(result)
            return
        number: int = getattr(frame, "number", 0)
        self._last_number = max(self._last_number, number)
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
        # A peer that has closed its link waits for no reply.
        self._writer.write(frame)
