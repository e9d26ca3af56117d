"""State machine: no key is held by two targets, whatever fails.

Each daemon has claims, a ledger and authority; each target holds what the
answers to its heartbeats list, for as long as they say. Daemons restart, lose
the store or each other, targets restart, planners move rows at any time.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import authority
from mustardloom.keys import claims
from mustardloom.keys import key_map
from mustardloom.keys import ledger
from mustardloom.keys import planning

_VMS = [ids.VmId(f"vm-{number}") for number in range(3)]
_HOLD_MS = 2_000
_CLOCK_FACTOR = 1.02
_SOME = strategies.sets(strategies.sampled_from(_VMS)) | strategies.just(
    set(_VMS)
)
_KEYS = range(0, key_map.KEY_COUNT, 1_024)


@dataclasses.dataclass
class _Target:
    """A target; its clock runs as slow as is allowed."""

    life: targets.TargetInstance
    sequence: int = 0
    rows: tuple[targets.GrantedRange, ...] = ()
    until_ms: float = 0
    freed: list[targets.FreedRange] = dataclasses.field(default_factory=list)

    def held(self, now_ms):
        return self.rows if now_ms < self.until_ms else ()

    def holds(self, key, now_ms):
        return any(r.first <= key <= r.last for r in self.held(now_ms))


class _Daemon:
    """The parts that decide, wired as `sidecar.keyspace` wires them."""

    def __init__(self, vm):
        self.vm = vm
        self.claims = claims.Claims(vm)
        self.authority = authority.Authority()
        self.ledger = None

    def version(self):
        return self.claims.map.version


class Ownership(stateful.RuleBasedStateMachine):
    """Moves, faults and heartbeats in any order."""

    def __init__(self):
        super().__init__()
        self.now_ms = 10_000
        self.born = 1
        self.targets = {vm: _Target(self._life(vm)) for vm in _VMS}
        self.map = planning.initial_map(self._candidates(_VMS))
        self.daemons = {vm: _Daemon(vm) for vm in _VMS}
        self.store_up = True
        self.cut = set()
        for vm in _VMS:
            self._read_store(vm)

    def _life(self, vm):
        self.born += 1
        return targets.TargetInstance(targets.TargetId(f"t-{vm}"), self.born)

    def _candidates(self, vms):
        return [planning.Candidate(vm, self.targets[vm].life, 6) for vm in vms]

    def _read_store(self, vm):
        if not self.store_up or vm in self.cut:
            return
        daemon = self.daemons[vm]
        daemon.claims.adopt(self.map)
        daemon.authority.record_store_read(self.now_ms)

    def _reach(self, left, right):
        return left == right or not {left, right} & self.cut

    def _ask_others(self, vm):
        """Signs of life, answered at once."""
        daemon = self.daemons[vm]
        for other in _VMS:
            if other == vm or not self._reach(vm, other):
                continue
            peer = self.daemons[other]
            word = authority.MapReport(
                self.now_ms, peer.version(), peer.authority.is_voter, len(_VMS)
            )
            daemon.authority.record_report(other, word)

    def _copy_map(self, source, sink):
        if self._reach(source, sink):
            newer = self.daemons[source].claims.map
            self.daemons[sink].claims.adopt(newer)

    @stateful.rule(vms=strategies.sets(strategies.sampled_from(_VMS)))
    def hand_over(self, vms):
        if self.store_up:
            heirs = self._candidates([vm for vm in _VMS if vm not in vms])
            planned = planning.reassign(self.map, heirs, vms)
            self.map = planned or self.map

    @stateful.rule(told=_SOME)
    def forget_previous(self, told):
        settled = {
            vm
            for vm in told
            if self.daemons[vm].version() == self.map.version
            and not self.daemons[vm].claims.pending_ranges
        }
        tidied = planning.clear_previous_owners(self.map, settled)
        if self.store_up and tidied is not self.map:
            self.map = dataclasses.replace(tidied, version=self.map.version + 1)

    @stateful.rule(
        vm=strategies.sampled_from(_VMS), sink=strategies.sampled_from(_VMS)
    )
    def move_some(self, vm, sink):
        if not self.store_up or vm == sink:
            return
        loads = [
            planning.RowLoad(row.first, row.last, 5.0)
            for row in self.map.owned_by(vm)[:8]
        ]
        candidates = [
            planning.Candidate(
                each,
                self.targets[each].life,
                6,
                service_ms=100.0,
                rate=200.0 if each == vm else 50.0,
            )
            for each in {vm, sink}
        ]
        planned = planning.rebalance(self.map, candidates, loads, 300)
        self.map = planned or self.map

    def _adopt_life(self, vm):
        if self.store_up:
            life = self.targets[vm].life
            self.map = planning.adopt_instance(self.map, vm, life) or self.map

    def _heartbeat(self, vm):
        daemon, target = self.daemons[vm], self.targets[vm]
        target.sequence += 1
        held = tuple(
            targets.HeldRange(row.first, row.last, row.fence)
            for row in target.held(self.now_ms)
        )
        announcement = targets.Announcement(
            target.life,
            ids.ServiceId("s"),
            ids.AvailabilityZoneId("z"),
            6,
            targets.Phase.READY,
            0,
            target.sequence,
            held,
            tuple(target.freed),
        )
        if daemon.ledger is None or daemon.ledger.instance != target.life:
            is_first = daemon.ledger is None
            daemon.ledger = ledger.GrantLedger(target.life)
            if is_first:
                daemon.ledger.assume_held_until(self.now_ms + 2 * _HOLD_MS)
        daemon.ledger.observe(announcement, self.now_ms)
        daemon.claims.expire(self.now_ms)
        is_known = daemon.claims.map.instance_by_vm.get(vm) == target.life
        if is_known:
            daemon.claims.record_held(held)
        confirmed = daemon.authority.confirmed_ms(daemon.version(), len(_VMS))
        if confirmed is None:
            return
        left_ms = confirmed + claims.AUTHORITY_MS - self.now_ms
        hold_ms = min(_HOLD_MS, int(left_ms / _CLOCK_FACTOR) - 50)
        if hold_ms <= 0:
            return
        rows = list(daemon.claims.grantable()) if is_known else []
        daemon.ledger.grant(rows, hold_ms, self.now_ms)
        target.rows = tuple(
            targets.GrantedRange(row.first, row.last, row.fence) for row in rows
        )
        target.until_ms = self.now_ms + hold_ms * _CLOCK_FACTOR

    def _ask_release(self, vm):
        daemon = self.daemons[vm]
        for wait in daemon.claims.pending_ranges:
            previous = wait.previous
            if not self._reach(vm, previous):
                continue
            other = self.daemons[previous]
            if other.version() < daemon.version() or other.ledger is None:
                continue
            owned = other.claims.map.owned_by(previous)
            if any(
                row.first <= wait.last and wait.first <= row.last
                for row in owned
            ):
                continue
            if other.claims.can_confirm_release(
                wait.first, wait.last, wait.previous_fence
            ) and other.ledger.holds_none(wait.first, wait.last, self.now_ms):
                part = ledger.ReleasedRange(wait.first, wait.last)
                daemon.claims.record_release([part])

    def _count_down(self, vm):
        daemon = self.daemons[vm]
        daemon.claims.start_countdowns(
            lambda version: daemon.authority.excludes_stale_majority(
                version, len(_VMS)
            ),
            self.now_ms,
        )
        daemon.claims.expire(self.now_ms)

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def restart_daemon(self, vm):
        self.daemons[vm] = _Daemon(vm)
        for other in _VMS:
            if other != vm:
                # Streams end with the process; what it said stays said.
                self.daemons[other].authority.retain(set(_VMS))

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def restart_target(self, vm):
        self.targets[vm] = _Target(self._life(vm))

    @stateful.rule(vms=_SOME)
    def lose_power(self, vms):
        for vm in sorted(vms):
            self.restart_target(vm)
            self.restart_daemon(vm)

    @stateful.rule(
        reading=_SOME,
        asking=_SOME,
        copying=_SOME,
        counting=_SOME,
        beating=_SOME,
    )
    def work(self, reading, asking, copying, counting, beating):
        """Everything that daemons do all the time, by some of them."""
        for vm in sorted(reading):
            self._read_store(vm)
            self._adopt_life(vm)
        for vm in sorted(copying):
            for source in _VMS:
                self._copy_map(source, vm)
        for vm in sorted(asking):
            self._ask_others(vm)
        for vm in sorted(counting):
            self._count_down(vm)
            self._ask_release(vm)
        for vm in sorted(beating):
            self._heartbeat(vm)

    @stateful.rule()
    def toggle_store(self):
        self.store_up = not self.store_up

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def toggle_cut(self, vm):
        self.cut ^= {vm}

    @stateful.rule(passed_ms=strategies.sampled_from([50, 400, 1_500, 5_000]))
    def pass_time(self, passed_ms):
        self.now_ms += passed_ms

    @stateful.invariant()
    def no_key_has_two_holders(self):
        for key in _KEYS:
            holders = [
                vm
                for vm, target in self.targets.items()
                if target.holds(key, self.now_ms)
            ]
            assert len(holders) <= 1, (key, holders)


TestOwnership = Ownership.TestCase
TestOwnership.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    # Shrinking a run of so many steps takes minutes.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    max_examples=40,
    stateful_step_count=80,
    suppress_health_check=list(hypothesis.HealthCheck),
)
