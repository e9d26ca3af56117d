"""Decides when the key map of a service changes, and writes it."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Set
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.keys import balancing
from mustardloom.keys import key_map
from mustardloom.keys import planning
from mustardloom.keys import voters as voters_lib
from mustardloom.load_control import rate_limit
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import map_restoration
from mustardloom.sidecar import shared_state

__all__ = ["Planner"]

_PLAN_INTERVAL_MS = 250
_WRITE_RETRY_MS = 500
# The first map is made once the set of targets has not changed for this long.
_FIRST_MAP_DELAY_MS = 1_200
# A daemon that is not reachable, or has had no heartbeat of its target yet,
# counts as lost after this time. One that merely restarts is back within 1 s.
_DAEMON_LOSS_MS = 2_500
# A target that its daemon reports as down counts as lost after this time.
_TARGET_LOSS_MS = 700
_REBALANCE_INTERVAL_MS = 1_000
# After a move, no further keys move away from a target for this long, until its
# figures reflect the move.
_MOVE_HOLD_OFF_MS = 900
# Owners that have sent nothing for this long are pinged.
_OWNER_QUIET_MS = 900
# Earlier owners that are no longer needed are removed from a map that has not
# changed for this long.
_CLEANUP_DELAY_MS = 3_000
# A daemon that is not reachable for this long votes no more, unless it may
# hold keys. Restarts and most pauses are shorter.
_VOTER_LOSS_MS = 10_000
# Shortest time between two pings of voters that have not reported that they
# know the map.
_VOTER_PING_INTERVAL_MS = 1_000
_DEFAULT_OBJECTIVE_MS = 300


class Planner:
    """Plans and writes the key map of one service.

    Each daemon has one and writes new instances of its local target; all other
    changes are left to the daemon that is `Fleet.planner`. Two that write at
    once do no harm: writes are conditional, so the one that finds a newer map
    changes nothing.

    Attributes:
      objective_ms: Latency objective of the service.
      send_status: Sends this daemon's status to a VM.
      publish_maps: Sends what this daemon knows of the maps to all others.
    """

    def __init__(
        self,
        vm: ids.VmId,
        keyspace: keyspace_lib.Keyspace,
        store: shared_state.ObjectStore,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
    ):
        self.objective_ms = _DEFAULT_OBJECTIVE_MS
        self.send_status: Callable[[ids.VmId], None] = lambda _: None
        self.publish_maps: Callable[[], None] = lambda: None
        self._vm = vm
        self._keyspace = keyspace
        self._store = store
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._restoration = map_restoration.MapRestoration(
            keyspace, fleet, links, clock, lambda: self.publish_maps()
        )
        self._loads_by_vm: dict[ids.VmId, tuple[balancing.RowLoad, ...]] = {}
        self._instances_seen: dict[ids.VmId, targets.TargetInstance] = {}
        self._instances_seen_ms = clock.now_ms()
        self._rebalanced_ms = 0
        # Latest result of `_without_previous`, with the map version and settled
        # owners that it is for.
        self._cleaned_for: tuple[int, set[ids.VmId]] = (0, set())
        self._cleaned_map = key_map.empty()
        self._known_version = 0
        self._known_since_ms = 0
        self._down_since_ms: dict[ids.VmId, int] = {}
        # Version of the map by which each VM last received keys, and when keys
        # last moved away from it.
        self._received_version: dict[ids.VmId, int] = {}
        self._moved_away_ms: dict[ids.VmId, int] = {}
        self._voters_pinged_ms = 0
        keyspace.on_range_loads = self._report_loads

    def on_key_load(self, vm: ids.VmId, loads: keyspace_lib.RangeLoads) -> None:
        """Records the busy key ranges that an owner reports."""
        self._loads_by_vm[vm] = tuple(
            balancing.RowLoad(*load) for load in loads
        )

    def _report_loads(self, loads: keyspace_lib.RangeLoads) -> None:
        """Sends the local target's load to the planner.

        The regular statuses are too rare in a large fleet to plan by them.
        """
        planner = self._fleet.planner()
        if planner == self._vm:
            self.on_key_load(self._vm, loads)
            return
        self.send_status(planner)
        if loads:
            frame = frames.KeyLoad(self._keyspace.service, loads)
            self._links.notify(planner, frame)

    async def run(self) -> None:
        """Plans and writes changes of the map, until cancelled."""
        while True:
            await self._clock.tick_ms(_PLAN_INTERVAL_MS)
            self._ping_quiet_owners()
            planned = self._own_instance_change() or self._planned()
            if planned is not None:
                await self._write(planned)

    def _ping_quiet_owners(self) -> None:
        """Pings quiet owners, so that the loss of one is noticed soon."""
        current = self._keyspace.current_map
        if current is not None and self._fleet.planner() == self._vm:
            owners = current.owners() - {self._vm}
            self._links.ping_quiet(owners, _OWNER_QUIET_MS)

    def _own_instance_change(self) -> key_map.KeyMap | None:
        current = self._keyspace.current_map
        instance = self._keyspace.local_instance
        if current is None or instance is None:
            return None
        if not self._keyspace.is_established:
            return None
        return planning.adopt_instance(current, self._vm, instance)

    def _planned(self) -> key_map.KeyMap | None:
        if self._fleet.planner() != self._vm:
            return None
        if not self._has_majority():
            return None
        if not self._keyspace.is_established:
            return self._restoration.plan()
        candidates = list(self._candidates())
        known = self._keyspace.current_map
        if known is None:
            return self._first_map(candidates)
        cleaned = self._without_previous(known)
        leaving = {vm for vm in cleaned.owners() if self._is_lost(vm)}
        planned = planning.reassign(cleaned, candidates, leaving)
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._rebalanced_ms >= _REBALANCE_INTERVAL_MS
        if planned is None and is_due:
            self._rebalanced_ms = now_ms
            planned = self._rebalanced(known, cleaned, candidates)
        if planned is None:
            return None
        return dataclasses.replace(planned, voters=self._next_voters(cleaned))

    def _rebalanced(
        self,
        known: key_map.KeyMap,
        cleaned: key_map.KeyMap,
        candidates: list[planning.Candidate],
    ) -> key_map.KeyMap | None:
        """Returns the map after a change that does not hurry."""
        loads = [load for loads in self._loads_by_vm.values() for load in loads]
        planned = (
            planning.merge_rows(cleaned)
            or planning.include_new_targets(cleaned, candidates)
            or balancing.rebalance(
                cleaned, candidates, loads, self.objective_ms
            )
        )
        if planned is not None:
            return planned
        if self._is_cleanup_due(known, cleaned) or _must_write(
            cleaned.voters, self._next_voters(cleaned)
        ):
            return dataclasses.replace(cleaned, version=known.version + 1)
        return None

    # Voters.

    def _has_majority(self) -> bool:
        """Returns whether this daemon reaches a majority of the voters."""
        voters = self._keyspace.voters
        if self._keyspace.current_map is None:
            voters = self._first_voters()
        return voters.has_majority(self._fleet.reachable())

    def _first_voters(self) -> voters_lib.Voters:
        """Returns the voters of the first map.

        Those that are lost do not vote, unless targets may hold keys by a map
        that the store has lost.
        """
        if not self._keyspace.is_first_start:
            return self._keyspace.voters
        return voters_lib.of(
            vm
            for vm in self._fleet.by_vm
            if self._links.unreachable_ms(vm) < _VOTER_LOSS_MS
        )

    def _next_voters(self, known: key_map.KeyMap) -> voters_lib.Voters:
        """Returns the voters of the map that follows the known one."""
        if known.voters is None:
            return self._keyspace.voters
        voters = known.voters
        wanted = set(self._wanted_voters(known, voters))
        informed = self._keyspace.informed_voters()
        changed = voters_lib.change(voters, wanted, informed)
        is_due = wanted != voters.latest or not voters.before <= voters.latest
        if is_due and changed is voters:
            self._ping_uninformed(voters.all() - informed)
        return changed

    def _wanted_voters(
        self, known: key_map.KeyMap, voters: voters_lib.Voters
    ) -> Iterator[ids.VmId]:
        for vm in self._fleet.by_vm:
            if self._fleet.is_reachable(vm) or (
                vm in voters.latest
                and (
                    self._links.unreachable_ms(vm) < _VOTER_LOSS_MS
                    or known.names_in_rows(vm)
                )
            ):
                yield vm

    def _ping_uninformed(self, vms: Set[ids.VmId]) -> None:
        """Asks voters whether they know the map, as a change waits for it."""
        now_ms = self._clock.now_ms()
        if now_ms - self._voters_pinged_ms >= _VOTER_PING_INTERVAL_MS:
            self._voters_pinged_ms = now_ms
            self._links.ping_quiet(vms, 0)

    # Earlier owners.

    def _without_previous(self, known: key_map.KeyMap) -> key_map.KeyMap:
        """Returns the map without the earlier owners of settled rows."""
        settled = self._settled_owners(known)
        if self._cleaned_for != (known.version, settled):
            self._cleaned_for = (known.version, settled)
            self._cleaned_map = planning.clear_previous_owners(known, settled)
        return self._cleaned_map

    def _settled_owners(self, known: key_map.KeyMap) -> set[ids.VmId]:
        """Returns the owners that wait for no earlier owner under this map."""
        return {
            vm
            for vm, peer in self._fleet.by_vm.items()
            if peer.status is not None
            and peer.status.settled_version == known.version
        }

    def _is_cleanup_due(
        self, known: key_map.KeyMap, cleaned: key_map.KeyMap
    ) -> bool:
        now_ms = self._clock.now_ms()
        if known.version != self._known_version:
            self._known_version = known.version
            self._known_since_ms = now_ms
        is_old = now_ms - self._known_since_ms >= _CLEANUP_DELAY_MS
        return is_old and cleaned is not known

    def _candidates(self) -> Iterator[planning.Candidate]:
        for peer in self._fleet.serving(self._keyspace.service):
            if peer.target_instance is None or peer.status is None:
                continue
            service_ms = float(max(1, peer.status.steady_service_ms))
            yield planning.Candidate(
                peer.vm,
                peer.target_instance,
                rate_limit.effective_concurrency(
                    peer.status.limit, service_ms, peer.view.rate_limit_per_s
                ),
                service_ms,
                float(peer.status.key_rate),
                self._can_release_keys(peer),
            )

    def _can_release_keys(self, peer: fleet_lib.Peer) -> bool:
        """Returns whether the target's last moves are complete and measured."""
        assert peer.status is not None
        received = max(1, self._received_version.get(peer.vm, 0))
        moved_away_ms = self._moved_away_ms.get(peer.vm, -_MOVE_HOLD_OFF_MS)
        is_recent = self._clock.now_ms() - moved_away_ms < _MOVE_HOLD_OFF_MS
        return peer.status.settled_version >= received and not is_recent

    def _record_moves(self, planned: key_map.KeyMap) -> None:
        now_ms = self._clock.now_ms()
        for row in planned.rows:
            if row.fence == planned.version and row.previous:
                self._received_version[row.owner] = planned.version
                self._moved_away_ms[row.previous] = now_ms

    def _first_map(
        self, candidates: list[planning.Candidate]
    ) -> key_map.KeyMap | None:
        instances = {each.vm: each.instance for each in candidates}
        now_ms = self._clock.now_ms()
        if instances != self._instances_seen:
            self._instances_seen = dict(instances)
            self._instances_seen_ms = now_ms
        if (
            not instances
            or now_ms - self._instances_seen_ms < _FIRST_MAP_DELAY_MS
        ):
            return None
        era = max(self._keyspace.store_era, self._store.era)
        first = planning.initial_map(
            candidates, era, not self._keyspace.is_first_start
        )
        return dataclasses.replace(first, voters=self._first_voters())

    def _is_lost(self, vm: ids.VmId) -> bool:
        peer = self._fleet.by_vm.get(vm)
        if peer is None or self._fleet.is_evacuated(vm):
            return True
        if not self._fleet.is_reachable(vm):
            return self._links.unreachable_ms(vm) > _DAEMON_LOSS_MS
        if peer.phase is fleet_lib.TargetPhase.LEAVING:
            return True
        if peer.phase is fleet_lib.TargetPhase.READY:
            self._down_since_ms.pop(vm, None)
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._down_since_ms.setdefault(vm, now_ms)
        limit_ms = _TARGET_LOSS_MS
        if peer.phase is fleet_lib.TargetPhase.ABSENT:
            limit_ms = _DAEMON_LOSS_MS
        return now_ms - since_ms > limit_ms

    async def _write(self, planned: key_map.KeyMap) -> None:
        key = self._keyspace.key
        value = key_map.encode(planned)
        expected = self._keyspace.store_version
        try:
            result = await self._store.write(key, value, expected)
        except objects.PlatformUnavailable as error:
            # The write may still take effect, so read what the store holds.
            self._log.write(
                events.Event.KEY_MAP_PLANNED,
                service=self._keyspace.service,
                map_version=planned.version,
                result=f"unknown: {error}",
            )
            await self._clock.sleep_ms(_WRITE_RETRY_MS)
            await self._keyspace.confirmer.read()
            return
        match result:
            case objects.Written(version):
                written = objects.Versioned(key, version, value)
                self._keyspace.apply_stored(written)
                self.publish_maps()
                self._metrics.increment("keys.maps_written")
                self._record_moves(planned)
            case objects.Conflict(current):
                if current is not None:
                    self._keyspace.apply_stored(current)
                else:
                    await self._keyspace.confirmer.read()
        self._log.write(
            events.Event.KEY_MAP_PLANNED,
            service=self._keyspace.service,
            map_version=planned.version,
            era=planned.era,
            replaces=stored.revision_of(expected),
            result=type(result).__name__.lower(),
            rows=len(planned.rows),
        )


def _must_write(
    known: voters_lib.Voters | None, changed: voters_lib.Voters
) -> bool:
    """Returns whether a change of the voters is worth a map of its own.

    Voters that were added may stay out of the set before for longer: a majority
    of both sets is one of reachable daemons, too.
    """
    if known is None or changed.latest != known.latest:
        return True
    return not known.before <= known.latest and changed != known
