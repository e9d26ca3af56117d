"""Decides when the key map of a service changes, and writes it."""

from collections.abc import Iterator
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.deployment import targets
from mustardloom.keys import key_map
from mustardloom.keys import planning
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import shared_state

__all__ = ["Planner"]

_PLAN_INTERVAL_MS = 250
_WRITE_RETRY_MS = 500
# Time without changes after which the first owners are chosen.
_SETTLE_MS = 1_200
# Loss of a daemon, which is back within a second after a mere restart.
_LOSS_MS = 2_500
_DOWN_MS = 700
_REBALANCE_INTERVAL_MS = 1_000
_TAKEN_HOLD_OFF_MS = 900
# Owners that have sent nothing for so long are asked for a sign of life.
_OWNER_QUIET_MS = 900
# A map that names earlier owners needlessly is tidied after so long without
# another change.
_TIDY_MS = 3_000
_DEFAULT_OBJECTIVE_MS = 300


class Planner:
    """Plans for one service; the same at all daemons, one of which acts.

    Two that act at once do no harm: a write that finds a newer map changes
    nothing.

    Attributes:
      objective_ms: Time within which callers want answers of the service.
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
        self._vm = vm
        self._keyspace = keyspace
        self._store = store
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._loads_by_vm: dict[ids.VmId, tuple[planning.RowLoad, ...]] = {}
        self._lives_seen: dict[ids.VmId, targets.TargetInstance] = {}
        self._settled_since_ms = clock.now_ms()
        self._rebalanced_ms = 0
        self._tidied_for: tuple[int, set[ids.VmId]] = (0, set())
        self._tidied_map = key_map.empty()
        self._known_version = 0
        self._known_since_ms = 0
        self._down_since_ms: dict[ids.VmId, int] = {}
        # Versions by which VMs were given keys, and when some were taken.
        self._given_version: dict[ids.VmId, int] = {}
        self._taken_ms: dict[ids.VmId, int] = {}
        keyspace.on_range_loads = self._report

    def on_key_load(self, vm: ids.VmId, loads: keyspace_lib.RangeLoads) -> None:
        """Adopts what an owner tells of its busy keys."""
        self._loads_by_vm[vm] = tuple(planning.RowLoad(*load) for load in loads)

    def _report(self, loads: keyspace_lib.RangeLoads) -> None:
        """Tells the daemon that plans of the local target's busy keys."""
        planner = self._fleet.planner()
        if planner == self._vm:
            self.on_key_load(self._vm, loads)
        elif loads:
            frame = frames.KeyLoad(self._keyspace.service, loads)
            self._links.notify(planner, frame)

    async def run(self) -> None:
        """Changes the map whenever this daemon is the planner."""
        while True:
            await self._clock.sleep_ms(_PLAN_INTERVAL_MS)
            self._watch_owners()
            planned = self._own_life_change() or self._planned()
            if planned is not None:
                await self._write(planned)

    def _watch_owners(self) -> None:
        """Asks owners for signs of life, so that a loss is noticed soon."""
        current = self._keyspace.current_map
        if current is not None and self._fleet.planner() == self._vm:
            owners = current.owners() - {self._vm}
            self._links.ping_quiet(owners, _OWNER_QUIET_MS)

    def _own_life_change(self) -> key_map.KeyMap | None:
        current = self._keyspace.current_map
        life = self._keyspace.local_instance
        if current is None or life is None:
            return None
        return planning.adopt_instance(current, self._vm, life)

    def _planned(self) -> key_map.KeyMap | None:
        if self._fleet.planner() != self._vm:
            return None
        if not self._fleet.has_majority():
            return None
        candidates = list(self._candidates())
        known = self._keyspace.current_map
        if known is None:
            return self._first_map(candidates)
        current = self._tidied(known)
        leaving = {vm for vm in current.owners() if self._is_lost(vm)}
        planned = planning.reassign(current, candidates, leaving)
        if planned is not None:
            return planned
        now_ms = self._clock.now_ms()
        if now_ms - self._rebalanced_ms < _REBALANCE_INTERVAL_MS:
            return None
        self._rebalanced_ms = now_ms
        loads = [load for loads in self._loads_by_vm.values() for load in loads]
        planned = planning.include_new_targets(
            current, candidates
        ) or planning.rebalance(current, candidates, loads, self.objective_ms)
        if planned is None and self._is_tidying(known, current):
            return dataclasses.replace(current, version=known.version + 1)
        return planned

    def _tidied(self, known: key_map.KeyMap) -> key_map.KeyMap:
        settled = self._settled(known)
        if self._tidied_for != (known.version, settled):
            self._tidied_for = (known.version, settled)
            self._tidied_map = planning.clear_previous_owners(known, settled)
        return self._tidied_map

    def _settled(self, known: key_map.KeyMap) -> set[ids.VmId]:
        """Returns the owners whose keys have all arrived by a map."""
        return {
            vm
            for vm, peer in self._fleet.by_vm.items()
            if peer.status is not None
            and peer.status.settled_version == known.version
        }

    def _is_tidying(
        self, known: key_map.KeyMap, tidied: key_map.KeyMap
    ) -> bool:
        now_ms = self._clock.now_ms()
        if known.version != self._known_version:
            self._known_version = known.version
            self._known_since_ms = now_ms
        is_old = now_ms - self._known_since_ms >= _TIDY_MS
        return is_old and tidied is not known

    def _candidates(self) -> Iterator[planning.Candidate]:
        for peer in self._fleet.serving(self._keyspace.service):
            if peer.target_instance is None or peer.status is None:
                continue
            yield planning.Candidate(
                peer.vm,
                peer.target_instance,
                max(1, peer.status.limit),
                float(max(1, peer.status.steady_service_ms)),
                float(peer.status.key_rate),
                self._may_give(peer),
            )

    def _may_give(self, peer: fleet_lib.Peer) -> bool:
        assert peer.status is not None
        given = max(1, self._given_version.get(peer.vm, 0))
        taken_ms = self._taken_ms.get(peer.vm, -_TAKEN_HOLD_OFF_MS)
        is_recent = self._clock.now_ms() - taken_ms < _TAKEN_HOLD_OFF_MS
        return peer.status.settled_version >= given and not is_recent

    def _note_moves(self, planned: key_map.KeyMap) -> None:
        now_ms = self._clock.now_ms()
        for row in planned.rows:
            if row.fence == planned.version and row.previous:
                self._given_version[row.owner] = planned.version
                self._taken_ms[row.previous] = now_ms

    def _first_map(
        self, candidates: list[planning.Candidate]
    ) -> key_map.KeyMap | None:
        lives = {each.vm: each.instance for each in candidates}
        now_ms = self._clock.now_ms()
        if lives != self._lives_seen:
            self._lives_seen = dict(lives)
            self._settled_since_ms = now_ms
        if not lives or now_ms - self._settled_since_ms < _SETTLE_MS:
            return None
        return planning.initial_map(candidates)

    def _is_lost(self, vm: ids.VmId) -> bool:
        peer = self._fleet.by_vm.get(vm)
        if peer is None or self._fleet.is_evacuated(vm):
            return True
        if not self._fleet.is_reachable(vm):
            return self._links.down_ms(vm) > _LOSS_MS
        if peer.phase is fleet_lib.TargetPhase.LEAVING:
            return True
        if peer.phase is fleet_lib.TargetPhase.READY:
            self._down_since_ms.pop(vm, None)
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._down_since_ms.setdefault(vm, now_ms)
        limit_ms = _DOWN_MS
        if peer.phase is fleet_lib.TargetPhase.ABSENT:
            limit_ms = _LOSS_MS
        return now_ms - since_ms > limit_ms

    async def _write(self, planned: key_map.KeyMap) -> None:
        key = self._keyspace.key
        value = key_map.encode(planned)
        expected = self._keyspace.store_version
        try:
            result = await self._store.write(key, value, expected)
        except objects.PlatformUnavailable as error:
            # The write may still take effect; the watch tells.
            self._log.write(
                events.Event.KEY_MAP_PLANNED,
                service=self._keyspace.service,
                map_version=planned.version,
                result=f"unknown: {error}",
            )
            await self._clock.sleep_ms(_WRITE_RETRY_MS)
            await self._keyspace.read_map()
            return
        match result:
            case objects.Written(version):
                written = objects.Versioned(key, version, value)
                self._keyspace.apply_stored(written)
                self._metrics.increment("keys.maps_written")
                self._note_moves(planned)
            case objects.Conflict(current):
                if current is not None:
                    self._keyspace.apply_stored(current)
        self._log.write(
            events.Event.KEY_MAP_PLANNED,
            service=self._keyspace.service,
            map_version=planned.version,
            replaces=int(expected),
            result=type(result).__name__.lower(),
            rows=len(planned.rows),
        )
