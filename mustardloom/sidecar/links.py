"""Links between daemons: each daemon dials one stream to each other daemon.

A daemon sends its calls on the stream that it dialled, and the replies to
calls of a peer on the stream that the peer dialled.
"""

from collections.abc import Callable
from collections.abc import Iterable

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.sidecar import frames
from mustardloom.sidecar import incoming_link
from mustardloom.sidecar import outgoing_link
from mustardloom.sidecar import peer_server

__all__ = [
    "FrameHandler",
    "Links",
    "OnSilence",
    "OpenCall",
    "PeerLost",
    "PeerUnreachable",
]

Address = settings.Address
FrameHandler = incoming_link.FrameHandler
OnSilence = outgoing_link.OnSilence
OpenCall = outgoing_link.OpenCall
PeerLost = outgoing_link.PeerLost
PeerUnreachable = outgoing_link.PeerUnreachable

TransferHandler = peer_server.TransferHandler
# Called with the VM, the local time of the status or ping, and its answer.
PongCallback = Callable[[ids.VmId, int, frames.Pong], None]

# Half of the interval at which statuses are sent, so that ticks coincide.
_CHECK_INTERVAL_MS = 125
_LATE_CHECK_MS = 3 * _CHECK_INTERVAL_MS


class Links:
    """All links of one daemon.

    Attributes:
      clock: Source of time.
      budget: Account of the bytes that this process holds.
      dial_share: Descriptors for the links that this daemon dials.
      accept_share: Descriptors for the connections that peers open.
      handler: Called with each frame of a peer.
      vm: VM of this daemon.
      make_pong: Returns the answer to a status or ping.
      on_pong: Called with a peer's answer to a status or ping.
      on_change: Called when the link to a VM goes up or down.
      on_fault: Called when a peer sends invalid bytes or the handler of its
        frame fails.
      on_transfer: Called with a connection on which a peer fetches a body.
    """

    def __init__(
        self,
        record: stored.DaemonRecord,
        clock: clock_lib.Clock,
        handler: FrameHandler,
        budget: memory_budget.MemoryBudget | None = None,
        dial_share: descriptor_budget.Share | None = None,
        accept_share: descriptor_budget.Share | None = None,
    ):
        self.clock = clock
        self.dial_share = dial_share or descriptor_budget.unlimited()
        self.accept_share = accept_share or descriptor_budget.unlimited()
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
        self._record = record
        self._started_ms = clock.wall_ms()
        self._link_by_vm: dict[ids.VmId, outgoing_link.OutgoingLink] = {}
        self._server = peer_server.PeerServer(self)

    def hello(self, receiver: ids.VmId) -> frames.Hello:
        """Returns the first frame of a link, which names both sides."""
        return frames.Hello(self._record, receiver, self._started_ms)

    def listen(self, host: str, port: int) -> int:
        """Starts to accept links and returns the port that is bound.

        Raises:
          OSError: The address is in use or not available.
        """
        return self._server.listen(host, port)

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

    def ping(self, vm: ids.VmId) -> None:
        """Pings a peer, so that a silent link to it is noticed soon."""
        self.notify(vm, frames.Ping())

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
    ) -> frames.Frame:
        """Sends a query and returns its reply.

        Args:
          vm: The receiver.
          make: Returns the frame for a call number.

        Raises:
          PeerUnreachable: The frame was certainly not sent.
          PeerLost: It was sent, but no reply came, or the peer fell silent.
        """
        return await self.begin_call(vm, make).result()

    def begin_call(
        self,
        vm: ids.VmId,
        make: Callable[[int], frames.Frame],
        on_silence: OnSilence = OnSilence.FAIL,
    ) -> OpenCall:
        """Sends a frame and returns the call, which the caller has to end.

        Several calls can be awaited together without a task for each.

        Args:
          vm: The receiver.
          make: Returns the frame for a call number.
          on_silence: What becomes of the call if the peer falls silent.

        Raises:
          PeerUnreachable: The frame was certainly not sent.
        """
        link = self._link_by_vm.get(vm)
        if link is None:
            raise PeerUnreachable(vm)
        number = link.next_number()
        return link.begin_call(number, make(number), on_silence)

    def mark_overdue(self, vm: ids.VmId, frame: frames.Overdue) -> None:
        """Tells who waits for a call to a VM that it may stay unanswered."""
        link = self._link_by_vm.get(vm)
        if link is not None:
            link.mark_overdue(frame)

    async def check_links(self) -> None:
        """Checks all links for silent peers, until cancelled."""
        checked_ms = self.clock.now_ms()
        has_waited = False
        while True:
            await self.clock.tick_ms(_CHECK_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            is_late = now_ms - checked_ms > _LATE_CHECK_MS
            checked_ms = now_ms
            has_waited = is_late and not has_waited
            if has_waited:
                # This process was paused or busy; what the peers have sent
                # meanwhile is read first.
                continue
            for link in list(self._link_by_vm.values()):
                link.check(now_ms)

    def is_writing(self) -> bool:
        """Returns whether replies to other daemons are not written yet."""
        return self._server.is_writing()

    def has_incoming(self) -> bool:
        """Returns whether links that peers dialled are open."""
        return self._server.has_streams()

    def end_incoming(self, replies_ms: int) -> None:
        """Ends the links that peers dialled, after what was written on them.

        The peers close them. A close on this side would drop what is still on
        its way if something has arrived meanwhile and was not read.

        Args:
          replies_ms: Longest time for which replies are waited for.
        """
        self._server.end_streams(replies_ms)

    def close(self) -> None:
        """Closes all links, those that peers dialled included."""
        self._server.close()
        for link in self._link_by_vm.values():
            link.close()
        self._link_by_vm.clear()
