"""Known daemons and targets of the fleet, with their last reported state."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Set
import dataclasses
import enum
import itertools

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.load_control import placement
from mustardloom.sidecar import departures
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib

__all__ = ["Fleet", "Peer", "Rings", "TargetPhase"]

_PERCENT = 100
# Daemons of each region that watch the store and pass changes to the others.
_WATCHERS_PER_REGION = 2
# After a refused or failed attempt, other targets are preferred for this long.
_AVOID_MS = 1_000
_PLANNER_KEPT_MS = 400


class TargetPhase(enum.IntEnum):
    """State of a target as daemons report it to each other."""

    ABSENT = 0
    READY = 1
    LEAVING = 2
    DOWN = 3


@dataclasses.dataclass(slots=True)
class Peer:
    """One daemon and its target.

    Attributes:
      record: Where the daemon is reached.
      view: Figures of the target for placement.
      status: Last status that the daemon sent, None before the first one.
      avoid_until_ms: Local time until which other targets are preferred.
    """

    record: stored.DaemonRecord
    view: placement.TargetView
    status: frames.Status | None = None
    avoid_until_ms: int = 0

    @property
    def vm(self) -> ids.VmId:
        """Returns the VM of the daemon."""
        return self.record.vm

    @property
    def target_instance(self) -> targets.TargetInstance | None:
        """Returns the instance of its target, None if none is known."""
        if self.status is None or not self.status.target:
            return None
        target = targets.TargetId(self.status.target)
        return targets.TargetInstance(target, self.status.born_ms)

    @property
    def departure(self) -> departures.Departure | None:
        """Returns the leave of its target, None if it has not left."""
        if self.status is None or not self.status.left_target:
            return None
        return departures.Departure(
            targets.TargetId(self.status.left_target),
            self.status.left_born_until_ms,
        )

    @property
    def is_stopping(self) -> bool:
        """Returns whether the daemon has said that it is stopping."""
        return self.status is not None and self.status.is_stopping

    @property
    def phase(self) -> TargetPhase:
        """Returns the state of its target, `ABSENT` before the first status."""
        if self.status is None:
            return TargetPhase.ABSENT
        return TargetPhase(self.status.phase)


@dataclasses.dataclass(frozen=True, slots=True)
class Rings:
    """Daemons whose targets take new requests, by distance from this one.

    Attributes:
      zone: Those of this availability zone, this VM included.
      region: Those of the other availability zones of this region.
      far: Those of other regions.
    """

    zone: tuple[Peer, ...]
    region: tuple[Peer, ...]
    far: tuple[Peer, ...]


class Fleet:
    """All known daemons, this one included.

    Attributes:
      own_record: Record of this daemon.
      by_vm: The daemons by their VMs.
      has_list: Whether a list of the store that contains this daemon is known.
      on_change: Called after the set of daemons may have changed.
    """

    def __init__(
        self,
        own: stored.DaemonRecord,
        links: links_lib.Links,
        clock: clock_lib.Clock,
    ):
        self.own_record = own
        self.by_vm: dict[ids.VmId, Peer] = {}
        self._peers_by_service: dict[ids.ServiceId, list[Peer]] = {}
        self._evacuated_zones: set[ids.AvailabilityZoneId] = set()
        # Cleared by each change on which the rings depend.
        self._rings_by_demand: dict[
            tuple[ids.ServiceId, frozenset[ids.RegionId]], Rings
        ] = {}
        # Records of daemons that connected, but are not in the store's list.
        self._unlisted_by_vm: dict[ids.VmId, stored.DaemonRecord] = {}
        self._listed: list[stored.DaemonRecord] = []
        self.has_list = False
        self.on_change: Callable[[], None] = lambda: None
        self._planner: ids.VmId | None = None
        self._planner_until_ms = 0
        self._links = links
        self._clock = clock
        self.set_listed([own])
        # That list was not read from the store.
        self.has_list = False

    @property
    def evacuated_zones(self) -> set[ids.AvailabilityZoneId]:
        """Availability zones that get no requests."""
        return self._evacuated_zones

    @evacuated_zones.setter
    def evacuated_zones(self, zones: set[ids.AvailabilityZoneId]) -> None:
        self._evacuated_zones = zones
        self._rings_by_demand.clear()

    def set_listed(self, records: list[stored.DaemonRecord]) -> None:
        """Adopts the store's list of daemons."""
        self._listed = records
        # A list from before this daemon was added may lack other daemons, too.
        own = self.own_record.vm
        self.has_list |= any(record.vm == own for record in records)
        for record in records:
            self._unlisted_by_vm.pop(record.vm, None)
        self._rebuild()

    def add_connected(self, record: stored.DaemonRecord) -> None:
        """Adds a daemon that opened a link, as it may not be listed yet."""
        if record.vm not in self.by_vm:
            self._unlisted_by_vm[record.vm] = record
            self._rebuild()

    def forget_unlisted(self, vms: Set[ids.VmId]) -> None:
        """Drops those of the daemons that are not in the store's list."""
        forgotten = vms & self._unlisted_by_vm.keys()
        for vm in forgotten:
            del self._unlisted_by_vm[vm]
        if forgotten:
            self._rebuild()

    def _rebuild(self) -> None:
        records_by_vm = {
            record.vm: record
            for record in (*self._unlisted_by_vm.values(), *self._listed)
        }
        records_by_vm[self.own_record.vm] = self.own_record
        for vm in list(self.by_vm):
            if self.by_vm[vm].record != records_by_vm.get(vm):
                del self.by_vm[vm]
        for vm, record in records_by_vm.items():
            if vm not in self.by_vm:
                self.by_vm[vm] = Peer(record, self._new_view(record))
        self._rings_by_demand.clear()
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
        self.on_change()

    def update_status(self, vm: ids.VmId, status: frames.Status) -> None:
        """Adopts a status that a daemon sent, unless the VM is unknown."""
        peer = self.by_vm.get(vm)
        if peer is None:
            return
        before = peer.status
        peer.status = status
        if (
            before is None
            or before.phase != status.phase
            or before.is_stopping != status.is_stopping
        ):
            self._rings_by_demand.clear()
        view = peer.view
        view.limit = max(1, status.limit)
        view.running = status.running
        view.waiting = status.waiting
        view.service_ms = max(1.0, float(status.service_ms))
        view.failure_share = status.failure_percent / _PERCENT
        view.reported_in_flight = status.sent_by_you
        view.rate_limit_per_s = status.rate_limit_per_s

    def is_reachable(self, vm: ids.VmId) -> bool:
        """Returns whether the link to a daemon is up; true for this one."""
        return vm == self.own_record.vm or self._links.is_up(vm)

    def is_evacuated(self, vm: ids.VmId) -> bool:
        """Returns whether the availability zone of a VM is evacuated."""
        peer = self.by_vm.get(vm)
        return (
            peer is not None
            and peer.record.availability_zone in self.evacuated_zones
        )

    def serving(self, service: ids.ServiceId) -> Iterator[Peer]:
        """Yields the reachable daemons whose targets take new requests."""
        for peer in self._peers_by_service.get(service, ()):
            if (
                peer.phase is TargetPhase.READY
                and not self.is_evacuated(peer.vm)
                and self.is_reachable(peer.vm)
            ):
                yield peer

    def rings(
        self, service: ids.ServiceId, regions: frozenset[ids.RegionId]
    ) -> Rings:
        """Returns the daemons whose targets may run a request.

        They may be unreachable. The result is kept until something changes, so
        that a request costs the same in a fleet of any size.

        Args:
          service: Service of the request.
          regions: Regions in which it may run; empty for all.
        """
        found = self._rings_by_demand.get((service, regions))
        if found is None:
            found = self._new_rings(service, regions)
            self._rings_by_demand[service, regions] = found
        return found

    def _new_rings(
        self, service: ids.ServiceId, regions: frozenset[ids.RegionId]
    ) -> Rings:
        by_distance: dict[placement.Distance, list[Peer]] = {
            distance: [] for distance in placement.Distance
        }
        for peer in self._peers_by_service.get(service, ()):
            if (
                peer.phase is TargetPhase.READY
                and not self.is_evacuated(peer.vm)
                and (not regions or peer.record.region in regions)
                and not peer.is_stopping
            ):
                by_distance[peer.view.distance].append(peer)
        return Rings(
            (
                *by_distance[placement.Distance.SAME_VM],
                *by_distance[placement.Distance.SAME_ZONE],
            ),
            tuple(by_distance[placement.Distance.SAME_REGION]),
            tuple(by_distance[placement.Distance.OTHER_REGION]),
        )

    def candidates(
        self,
        service: ids.ServiceId,
        regions: frozenset[ids.RegionId],
        tried: set[ids.VmId],
    ) -> Iterator[Peer]:
        """Yields the reachable daemons whose targets may run a request.

        Args:
          service: Service of the request.
          regions: Regions in which it may run; empty for all.
          tried: VMs that are left out.

        Yields:
          Daemons; those avoided for now only if there are no others.
        """
        rings = self.rings(service, regions)
        allowed = [
            peer
            for peer in itertools.chain(rings.zone, rings.region, rings.far)
            if peer.vm not in tried and self.is_reachable(peer.vm)
        ]
        now_ms = self._clock.now_ms()
        preferred = [peer for peer in allowed if now_ms >= peer.avoid_until_ms]
        yield from preferred or allowed

    def deprioritise(self, vm: ids.VmId) -> None:
        """Prefers other targets to that of a VM for `_AVOID_MS`."""
        peer = self.by_vm.get(vm)
        if peer is not None:
            peer.avoid_until_ms = self._clock.now_ms() + _AVOID_MS

    def reachable(self) -> set[ids.VmId]:
        """Returns the VMs whose daemons are reachable, this one included."""
        return {vm for vm in self.by_vm if self.is_reachable(vm)}

    def same_region(self) -> Iterator[ids.VmId]:
        """Yields the reachable other daemons of this daemon's region."""
        return self._reachable(is_same_region=True)

    def other_regions(self) -> Iterator[ids.VmId]:
        """Yields the reachable daemons of other regions."""
        return self._reachable(is_same_region=False)

    def _reachable(self, is_same_region: bool) -> Iterator[ids.VmId]:
        own = self.own_record
        for vm, peer in self.by_vm.items():
            is_wanted = (peer.record.region == own.region) == is_same_region
            if is_wanted and vm != own.vm and self.is_reachable(vm):
                yield vm

    def watch_rank(self) -> int | None:
        """Returns the place of this daemon among those that watch the store.

        They watch it for their region. None if enough others do.
        """
        ahead = sum(
            1
            for vm in self.same_region()
            if vm < self.own_record.vm and self._can_use_store(vm)
        )
        return ahead if ahead < _WATCHERS_PER_REGION else None

    def store_reader(self) -> ids.VmId:
        """Returns the daemon that reads the store for this region.

        It is the last by VM, as the first ones watch the store and plan.
        """
        own = self.own_record.vm
        able = [vm for vm in self.same_region() if self._can_use_store(vm)]
        if self._can_use_store(own):
            able.append(own)
        return max(able, default=own)

    def is_store_reader(self) -> bool:
        """Returns whether this daemon reads the store for its region."""
        return self.store_reader() == self.own_record.vm

    def relays(self) -> Iterator[ids.VmId]:
        """Yields one reachable daemon of each other region."""
        by_region: dict[ids.RegionId, ids.VmId] = {}
        for vm in self.other_regions():
            region = self.by_vm[vm].record.region
            known = by_region.get(region)
            if self._can_use_store(vm) and (known is None or vm > known):
                by_region[region] = vm
        yield from by_region.values()

    def planner(self) -> ids.VmId:
        """Returns the daemon that plans the key maps, as far as this one knows.

        It is the first by VM among the reachable daemons that the store answers
        and that are not stopping; this daemon if there is none. The choice is
        kept for a short time while its daemon can be used, as it compares all
        daemons.
        """
        now_ms = self._clock.now_ms()
        if (
            self._planner is None
            or now_ms >= self._planner_until_ms
            or not self._can_use_store(self._planner)
        ):
            self._planner = min(
                (vm for vm in self.by_vm if self._can_use_store(vm)),
                default=None,
            )
            self._planner_until_ms = now_ms + _PLANNER_KEPT_MS
        return self._planner or self.own_record.vm

    def _can_use_store(self, vm: ids.VmId) -> bool:
        peer = self.by_vm.get(vm)
        status = None if peer is None else peer.status
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
