"""What this daemon knows of the others and their targets."""

from collections.abc import Iterator
import dataclasses
import enum

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.load_control import placement
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib

__all__ = ["Fleet", "Peer", "TargetPhase"]

_PERCENT = 100
# Daemons of each region that watch the store and tell the others.
_WATCHERS_PER_REGION = 2
# Requests that failed on the way count against a target for so long.
_AVOID_MS = 1_000


class TargetPhase(enum.IntEnum):
    """State of a target as daemons tell each other."""

    ABSENT = 0
    READY = 1
    LEAVING = 2
    DOWN = 3


@dataclasses.dataclass(slots=True)
class Peer:
    """One daemon and its target.

    Attributes:
      status: What it told last, None if nothing yet.
      status_ms: When it told that.
      view: What placement knows of its target.
      avoid_until_ms: Until when other targets go first.
    """

    record: stored.DaemonRecord
    view: placement.TargetView
    status: frames.Status | None = None
    status_ms: int = 0
    avoid_until_ms: int = 0

    @property
    def vm(self) -> ids.VmId:
        """Returns the VM of the daemon."""
        return self.record.vm

    @property
    def target_instance(self) -> targets.TargetInstance | None:
        """Returns the run of its target."""
        if self.status is None or not self.status.target:
            return None
        target = targets.TargetId(self.status.target)
        return targets.TargetInstance(target, self.status.born_ms)

    @property
    def phase(self) -> TargetPhase:
        """Returns the state of its target."""
        if self.status is None:
            return TargetPhase.ABSENT
        return TargetPhase(self.status.phase)


class Fleet:
    """All daemons by VM, the own one included."""

    def __init__(
        self,
        own: stored.DaemonRecord,
        links: links_lib.Links,
        clock: clock_lib.Clock,
    ):
        self.own_record = own
        self.by_vm: dict[ids.VmId, Peer] = {}
        self._peers_by_service: dict[ids.ServiceId, list[Peer]] = {}
        self.evacuated_zones: set[ids.AvailabilityZoneId] = set()
        self._introduced: dict[ids.VmId, stored.DaemonRecord] = {}
        self._listed: list[stored.DaemonRecord] = []
        self._links = links
        self._clock = clock
        self.set_listed([own])

    def set_listed(self, records: list[stored.DaemonRecord]) -> None:
        """Adopts the list of daemons in the store."""
        self._listed = records
        for record in records:
            self._introduced.pop(record.vm, None)
        self._adopt()

    def add_connected(self, record: stored.DaemonRecord) -> None:
        """Adopts a daemon that opened a link, and perhaps is not listed."""
        if record.vm not in self.by_vm:
            self._introduced[record.vm] = record
            self._adopt()

    def _adopt(self) -> None:
        records_by_vm = {
            record.vm: record
            for record in (*self._introduced.values(), *self._listed)
        }
        records_by_vm[self.own_record.vm] = self.own_record
        for vm in list(self.by_vm):
            if self.by_vm[vm].record != records_by_vm.get(vm):
                del self.by_vm[vm]
        for vm, record in records_by_vm.items():
            if vm not in self.by_vm:
                self.by_vm[vm] = Peer(record, self._new_view(record))
        self._peers_by_service.clear()
        for peer in self.by_vm.values():
            peers = self._peers_by_service.setdefault(peer.record.service, [])
            peers.append(peer)
        self._links.set_peers(
            {
                vm: (peer.record.ip, peer.record.port)
                for vm, peer in self.by_vm.items()
                if vm != self.own_record.vm
            }
        )

    def update_status(self, vm: ids.VmId, status: frames.Status) -> None:
        """Adopts what a daemon tells of itself."""
        peer = self.by_vm.get(vm)
        if peer is None:
            return
        peer.status = status
        peer.status_ms = self._clock.now_ms()
        view = peer.view
        view.limit = max(1, status.limit)
        view.running = status.running
        view.waiting = status.waiting
        view.service_ms = max(1.0, float(status.service_ms))
        view.failure_share = status.failure_percent / _PERCENT
        view.reported_in_flight = status.sent_by_you

    def is_reachable(self, vm: ids.VmId) -> bool:
        """Returns whether a daemon can be asked now."""
        return vm == self.own_record.vm or self._links.is_up(vm)

    def is_evacuated(self, vm: ids.VmId) -> bool:
        """Returns whether nothing may be sent to the target of a VM."""
        peer = self.by_vm.get(vm)
        return (
            peer is not None
            and peer.record.availability_zone in self.evacuated_zones
        )

    def serving(self, service: ids.ServiceId) -> Iterator[Peer]:
        """Yields the daemons whose targets take new work."""
        for peer in self._peers_by_service.get(service, ()):
            if (
                peer.phase is TargetPhase.READY
                and not self.is_evacuated(peer.vm)
                and self.is_reachable(peer.vm)
            ):
                yield peer

    def candidates(
        self,
        service: ids.ServiceId,
        regions: frozenset[ids.RegionId],
        tried: set[ids.VmId],
    ) -> Iterator[Peer]:
        """Yields the daemons that may run a request, avoided ones last."""
        allowed = [
            peer
            for peer in self.serving(service)
            if peer.vm not in tried
            and (not regions or peer.record.region in regions)
            and not (peer.status is not None and peer.status.is_stopping)
        ]
        now_ms = self._clock.now_ms()
        good = [peer for peer in allowed if now_ms >= peer.avoid_until_ms]
        yield from good or allowed

    def deprioritise(self, vm: ids.VmId) -> None:
        """Puts other targets first for a moment."""
        peer = self.by_vm.get(vm)
        if peer is not None:
            peer.avoid_until_ms = self._clock.now_ms() + _AVOID_MS

    def has_majority(self) -> bool:
        """Returns whether most daemons can be reached from here."""
        reachable = sum(1 for vm in self.by_vm if self.is_reachable(vm))
        return 2 * reachable > len(self.by_vm)

    def same_region(self) -> Iterator[ids.VmId]:
        """Yields the other daemons of the own region that are reachable."""
        return self._reachable(is_near=True)

    def other_regions(self) -> Iterator[ids.VmId]:
        """Yields the daemons of other regions that are reachable."""
        return self._reachable(is_near=False)

    def _reachable(self, is_near: bool) -> Iterator[ids.VmId]:
        own = self.own_record
        for vm, peer in self.by_vm.items():
            is_wanted = (peer.record.region == own.region) == is_near
            if is_wanted and vm != own.vm and self.is_reachable(vm):
                yield vm

    def is_watcher(self) -> bool:
        """Returns whether this daemon watches the store for its region."""
        ready = sorted(vm for vm in self.same_region() if self._may_plan(vm))
        ahead = sum(1 for vm in ready if vm < self.own_record.vm)
        return ahead < _WATCHERS_PER_REGION

    def planner(self) -> ids.VmId:
        """Returns the daemon that plans, as far as this one can tell."""
        return min(
            (vm for vm in self.by_vm if self._may_plan(vm)),
            default=self.own_record.vm,
        )

    def _may_plan(self, vm: ids.VmId) -> bool:
        status = self.by_vm[vm].status
        if status is None or not self.is_reachable(vm):
            return False
        return status.store_answers and not status.is_stopping

    def _new_view(self, record: stored.DaemonRecord) -> placement.TargetView:
        own = self.own_record
        return placement.TargetView(
            record.vm,
            placement.distance(
                record.vm,
                record.availability_zone,
                record.region,
                own.vm,
                own.availability_zone,
                own.region,
            ),
        )
