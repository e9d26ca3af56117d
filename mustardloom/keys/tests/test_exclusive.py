"""State machine test that no key is ever held by two targets.

Each daemon has its grants and authority; each target holds the keys that the
answers to its heartbeats list, until they expire. Heartbeats and answers to
questions for released keys arrive late and reordered, daemons and targets
restart, daemons lose the store or each other, planners move rows, and the store
comes back from an older copy, in any order.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import authority
from mustardloom.keys import balancing
from mustardloom.keys import claims
from mustardloom.keys import grants
from mustardloom.keys import key_map
from mustardloom.keys import planning
from mustardloom.keys import restoration
from mustardloom.keys import voters

_VMS = [ids.VmId(f"vm-{number}") for number in range(3)]
_HOLD_MS = 2_000
_CLOCK_FACTOR = 1.02
_SOME_VMS = strategies.sets(strategies.sampled_from(_VMS)) | strategies.just(
    set(_VMS)
)
# The first keys of ranges, and last ones, which are left out of grants.
_KEYS = sorted(
    {*range(0, key_map.KEY_COUNT, 1_024), *range(511, key_map.KEY_COUNT, 512)}
)
# A target takes an answer within this time after it sent the heartbeat.
_ANSWER_LIMIT_MS = 1_000


@dataclasses.dataclass
class _Target:
    """A target whose clock runs as slowly as is allowed."""

    instance: targets.TargetInstance
    sequence: int = 0
    rows: tuple[targets.GrantedRange, ...] = ()
    until_ms: float = 0
    freed: list[targets.FreedRange] = dataclasses.field(default_factory=list)

    def held(self, now_ms):
        return self.rows if now_ms < self.until_ms else ()

    def holds(self, key, now_ms):
        return any(r.first <= key <= r.last for r in self.held(now_ms))


@dataclasses.dataclass(frozen=True)
class _SentHeartbeat:
    """A heartbeat on its way.

    Attributes:
      withholds: Whether its answer leaves out an idle key.
    """

    vm: ids.VmId
    announcement: targets.Announcement
    sent_ms: int
    withholds: bool


class _Daemon:
    """Grants and authority, wired as in `sidecar.keyspace`."""

    def __init__(self, vm):
        self.vm = vm
        self.grants = grants.Grants(vm)
        self.claims = self.grants.claims
        self.authority = authority.Authority(vm)
        self.sequence_by_instance = {}
        # Latest era of the store of which the daemon knows a map.
        self.era = 0
        self.has_listed = False

    def version(self):
        return self.claims.map.version

    def voters(self):
        return self.claims.map.voters or voters.of(_VMS)

    def adopt(self, new):
        """Adopts a map from the store or another daemon, as `Keyspace` does."""
        is_present = restoration.is_established(new.era, self.era)
        if is_present or not self.version():
            self.claims.adopt(new)

    def is_voter(self):
        is_present = restoration.is_established(self.claims.map.era, self.era)
        if self.has_listed and self.version() and is_present:
            self.authority.is_voter = True
        return self.authority.is_voter


class Ownership(stateful.RuleBasedStateMachine):
    """Moves, faults and heartbeats in any order; checks exclusive ownership."""

    def __init__(self):
        super().__init__()
        self.now_ms = 10_000
        self.latest_born_ms = 1
        self.targets = {vm: _Target(self._new_instance(vm)) for vm in _VMS}
        self.era = 1
        self.map = dataclasses.replace(
            planning.initial_map(self._candidates(_VMS), self.era),
            voters=voters.of(_VMS),
        )
        # Maps that the store has held, for restores from a copy.
        self.past = []
        # Highest fencing token of each key, and the target that had it.
        self.fence_by_key = dict.fromkeys(_KEYS, (0, None))
        self.daemons = {vm: _Daemon(vm) for vm in _VMS}
        self.store_up = True
        self.isolated = set()
        # Heartbeats and answers of earlier owners that arrive late.
        self.late_heartbeats = []
        self.late_releases = []
        for vm in _VMS:
            self._read_store(vm)

    def _new_instance(self, vm):
        self.latest_born_ms += 1
        return targets.TargetInstance(
            targets.TargetId(f"t-{vm}"), self.latest_born_ms
        )

    def _candidates(self, vms):
        return [
            planning.Candidate(vm, self.targets[vm].instance, 6) for vm in vms
        ]

    def _read_store(self, vm):
        if not self.store_up or vm in self.isolated:
            return
        daemon = self.daemons[vm]
        daemon.era = self.era
        daemon.has_listed = True
        if self._is_established():
            daemon.adopt(self.map)
            daemon.authority.record_store_read(self.now_ms)

    def _is_established(self):
        return restoration.is_established(self.map.era, self.era)

    def _can_write(self):
        return self.store_up and self._is_established()

    def _write(self, planned):
        if planned is not None and planned is not self.map:
            self.past.append(self.map)
            self.map = planned

    def _can_reach(self, left, right):
        return left == right or not {left, right} & self.isolated

    def _ask_others(self, vm):
        """Asks all reachable daemons for their map version."""
        daemon = self.daemons[vm]
        for other in _VMS:
            if other == vm or not self._can_reach(vm, other):
                continue
            peer = self.daemons[other]
            report = authority.MapReport(
                self.now_ms,
                peer.version(),
                peer.is_voter(),
                peer.era,
            )
            daemon.authority.record_report(other, report)

    def _copy_map(self, source, sink):
        if self._can_reach(source, sink):
            newer = self.daemons[source].claims.map
            daemon = self.daemons[sink]
            daemon.era = max(daemon.era, self.daemons[source].era)
            if newer.version:
                daemon.adopt(newer)

    @stateful.rule(vms=strategies.sets(strategies.sampled_from(_VMS)))
    def reassign(self, vms):
        if self._can_write():
            receivers = self._candidates([vm for vm in _VMS if vm not in vms])
            self._write(planning.reassign(self.map, receivers, vms))

    @stateful.rule(reporting=_SOME_VMS)
    def clear_previous_owners(self, reporting):
        settled = {
            vm
            for vm in reporting
            if self.daemons[vm].version() == self.map.version
            and not self.daemons[vm].claims.pending_ranges
        }
        cleared = planning.clear_previous_owners(self.map, settled)
        if self._can_write() and cleared is not self.map:
            self._write(
                dataclasses.replace(cleared, version=self.map.version + 1)
            )

    @stateful.rule(owner=strategies.sampled_from(_VMS), settled=_SOME_VMS)
    def merge_rows(self, owner, settled):
        """Leaves one owner, whose rows then get a common fencing token.

        All targets hold keys before, and some daemons never know the map by
        which the owner got them.
        """
        if not self._can_write():
            return
        everywhere = set(_VMS)
        for _ in range(2):
            self.work(
                everywhere, everywhere, everywhere, everywhere, everywhere
            )
            self.now_ms += 50
        self.reassign(everywhere - {owner})
        self.work(settled, settled, settled, settled, settled)
        self.clear_previous_owners(settled)
        self._write(planning.merge_rows(self.map))
        self.now_ms += 50
        self.work({owner}, {owner}, set(), {owner}, {owner})

    @stateful.rule(
        vm=strategies.sampled_from(_VMS), sink=strategies.sampled_from(_VMS)
    )
    def move_some(self, vm, sink):
        if not self._can_write() or vm == sink:
            return
        loads = [
            balancing.RowLoad(row.first, row.last, 5.0)
            for row in self.map.owned_by(vm)[:8]
        ]
        candidates = [
            planning.Candidate(
                each,
                self.targets[each].instance,
                6,
                service_ms=100.0,
                rate=200.0 if each == vm else 50.0,
            )
            for each in {vm, sink}
        ]
        self._write(balancing.rebalance(self.map, candidates, loads, 300))

    def _adopt_instance(self, vm):
        if self._can_write():
            instance = self.targets[vm].instance
            self._write(planning.adopt_instance(self.map, vm, instance))

    @stateful.rule(
        age=strategies.integers(1, 4),
        restarting=strategies.sets(strategies.sampled_from(_VMS)),
    )
    def restore_store(self, age, restarting):
        """Lets the store come back from a copy that lacks the last maps.

        Some daemons are restarted at the same moment and forget those maps.
        """
        if not self.store_up or not self.past:
            return
        age = min(age, len(self.past))
        self.map = self.past[-age]
        del self.past[-age:]
        self.era += 1
        for vm in sorted(restarting):
            self.restart_daemon(vm)

    @stateful.rule(
        vm=strategies.sampled_from(_VMS),
        sink=strategies.sampled_from(_VMS),
        knowing=_SOME_VMS,
    )
    def move_and_hand_over(self, vm, sink, knowing):
        """Moves keys and completes the move, of which not all may know."""
        self.move_some(vm, sink)
        informed = {vm, sink} | knowing
        for _ in range(4):
            self.work(informed, informed, informed, informed, informed)
            self.now_ms += 50

    @stateful.rule(
        vm=strategies.sampled_from(_VMS), leaving=strategies.sampled_from(_VMS)
    )
    def write_unaware_of_a_restore(self, vm, leaving):
        """Writes a map of an earlier era whose precondition holds again."""
        daemon = self.daemons[vm]
        if not self.store_up or not daemon.version() or vm in self.isolated:
            return
        map_era = daemon.claims.map.era or 0
        if daemon.era < self.era and map_era < self.era:
            receivers = self._candidates([v for v in _VMS if v != leaving])
            self._write(
                planning.reassign(daemon.claims.map, receivers, {leaving})
            )

    @stateful.rule(
        vm=strategies.sampled_from(_VMS), has_waited=strategies.booleans()
    )
    def reestablish_map(self, vm, has_waited):
        """Plans the first map of an era, as `MapRestoration` does."""
        reachable = [other for other in _VMS if self._can_reach(vm, other)]
        if not self.store_up or vm in self.isolated or len(reachable) < 2:
            return
        self._read_store(vm)
        if self._is_established():
            return
        daemon = self.daemons[vm]
        known = [self.daemons[other].claims.map for other in reachable]
        basis = max(known, key=lambda each: each.version)
        unmoved = None
        if basis.version:
            unmoved = daemon.authority.owners_without_newer_map(
                basis.version, basis.voters, self.era
            )
        else:
            basis = self.map
        if unmoved is None and not has_waited:
            self._ask_others(vm)
            return
        unmoved = unmoved or set()
        if daemon.version() == basis.version and unmoved:
            unmoved = unmoved | {vm}
        newest = daemon.authority.newest_reported()
        self._write(restoration.reestablish(basis, self.era, unmoved, newest))

    def _send_heartbeat(self, vm, withholds):
        target = self.targets[vm]
        target.sequence += 1
        held = tuple(
            targets.HeldRange(row.first, row.last, row.fence)
            for row in target.held(self.now_ms)
        )
        announcement = targets.Announcement(
            target.instance,
            ids.ServiceId("s"),
            ids.AvailabilityZoneId("z"),
            6,
            targets.Phase.READY,
            0,
            target.sequence,
            held,
            tuple(target.freed),
        )
        return _SentHeartbeat(vm, announcement, self.now_ms, withholds)

    def _receive_heartbeat(self, sent):
        daemon, target = self.daemons[sent.vm], self.targets[sent.vm]
        announcement = sent.announcement
        known = daemon.grants.instance
        if known is not None and announcement.instance.born_ms < known.born_ms:
            return
        latest = daemon.sequence_by_instance.get(announcement.instance, 0)
        if announcement.sequence <= latest:
            return
        daemon.sequence_by_instance[announcement.instance] = (
            announcement.sequence
        )
        daemon.grants.observe(announcement, self.now_ms)
        confirmed_ms = daemon.authority.confirmed_ms(
            daemon.version(), daemon.voters()
        )
        if confirmed_ms is None:
            return
        left_ms = confirmed_ms + claims.AUTHORITY_MS - self.now_ms
        hold_ms = min(_HOLD_MS, int(left_ms / _CLOCK_FACTOR) - 50)
        if hold_ms <= 0:
            return
        granted = daemon.grants.grant(
            hold_ms, self.now_ms, sent.withholds, lambda _: True
        )
        is_in_time = self.now_ms - sent.sent_ms <= _ANSWER_LIMIT_MS
        if announcement.instance == target.instance and is_in_time:
            target.rows = granted
            target.until_ms = sent.sent_ms + hold_ms * _CLOCK_FACTOR
            self._check_fences(target)

    def _check_fences(self, target):
        """A key gets a fencing token above those of all other targets."""
        for row in target.rows:
            for key in _KEYS:
                if not row.first <= key <= row.last:
                    continue
                fence, holder = self.fence_by_key[key]
                is_same = holder is target.instance
                assert row.fence > fence or is_same, (key, row, fence)
                if row.fence >= fence:
                    self.fence_by_key[key] = (row.fence, target.instance)

    def _ask_release(self, vm):
        """Yields the answers of the earlier owners that can be reached."""
        daemon = self.daemons[vm]
        version = daemon.version()
        for pending in daemon.claims.pending_ranges:
            previous = pending.previous
            if previous == restoration.UNKNOWN_VM:
                continue
            if not self._can_reach(vm, previous):
                continue
            other = self.daemons[previous]
            if other.version() < version:
                continue
            parts = other.grants.released(
                pending.first,
                pending.last,
                pending.previous_fence,
                self.now_ms,
                False,
            )
            yield claims.Release(previous, version, tuple(parts))

    def _count_down(self, vm):
        daemon = self.daemons[vm]
        daemon.claims.start_countdowns(
            lambda version: daemon.voters().needs_one_of(
                daemon.authority.informed(version)
            ),
            self.now_ms,
        )
        daemon.claims.expire(self.now_ms)

    @stateful.rule(
        vm=strategies.sampled_from(_VMS), withholds=strategies.booleans()
    )
    def delay_heartbeat(self, vm, withholds):
        self.late_heartbeats.append(self._send_heartbeat(vm, withholds))

    @stateful.precondition(lambda self: self.late_heartbeats)
    @stateful.rule(data=strategies.data())
    def deliver_late_heartbeat(self, data):
        last = len(self.late_heartbeats) - 1
        index = data.draw(strategies.integers(0, last))
        self._receive_heartbeat(self.late_heartbeats.pop(index))

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def delay_release(self, vm):
        answers = self._ask_release(vm)
        self.late_releases.extend(
            (self.daemons[vm], release) for release in answers
        )

    @stateful.precondition(lambda self: self.late_releases)
    @stateful.rule(data=strategies.data())
    def deliver_late_release(self, data):
        last = len(self.late_releases) - 1
        index = data.draw(strategies.integers(0, last))
        daemon, release = self.late_releases.pop(index)
        daemon.claims.record_release(release)

    @stateful.rule(
        vm=strategies.sampled_from(_VMS), other=strategies.sampled_from(_VMS)
    )
    def move_away_and_back(self, vm, other):
        """Moves all keys to another owner and some back.

        Meanwhile a heartbeat is late that was sent before, after the target had
        to release a key.
        """
        if vm == other:
            return
        everywhere = set(_VMS)
        self.work(everywhere, everywhere, everywhere, everywhere, {vm}, True)
        late = self._send_heartbeat(vm, True)
        self.reassign(everywhere - {other})
        self.now_ms += 5_000
        for _ in range(3):
            self.now_ms += 50
            self.work(everywhere, everywhere, everywhere, everywhere, {other})
        self.move_some(other, vm)
        self._read_store(vm)
        self._receive_heartbeat(late)
        self._receive_heartbeat(self._send_heartbeat(vm, False))

    @stateful.rule(
        vm=strategies.sampled_from(_VMS), other=strategies.sampled_from(_VMS)
    )
    def restart_before_delayed_heartbeat(self, vm, other):
        """Restarts a daemon, which receives its target's first heartbeat last.

        The target has held keys since that heartbeat. The daemon knows the map
        from the others and has no authority yet when the keys move on.
        """
        if vm == other:
            return
        everywhere = set(_VMS)
        self.restart_target(vm)
        delayed = self._send_heartbeat(vm, False)
        for _ in range(2):
            self.work(everywhere, everywhere, everywhere, everywhere, {vm})
        self.restart_daemon(vm)
        self.work(set(), set(), {vm}, set(), set())
        self._receive_heartbeat(delayed)
        self.reassign({vm})
        informed = everywhere - {vm}
        for _ in range(3):
            self.now_ms += 50
            self.work(informed, informed, everywhere, informed, {other})

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def restart_daemon(self, vm):
        self.daemons[vm] = _Daemon(vm)
        for other in _VMS:
            if other != vm:
                # Its connections end, but its earlier answers stay valid.
                self.daemons[other].authority.retain(set(_VMS))

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def restart_target(self, vm):
        self.targets[vm] = _Target(self._new_instance(vm))

    @stateful.rule(vms=_SOME_VMS)
    def lose_power(self, vms):
        for vm in sorted(vms):
            self.restart_target(vm)
            self.restart_daemon(vm)

    @stateful.rule(
        reading=_SOME_VMS,
        asking=_SOME_VMS,
        copying=_SOME_VMS,
        counting=_SOME_VMS,
        beating=_SOME_VMS,
        withholds=strategies.booleans(),
    )
    def work(
        self, reading, asking, copying, counting, beating, withholds=False
    ):
        """Runs the periodic work of daemons, each part at some of them."""
        for vm in sorted(reading):
            self._read_store(vm)
            self._adopt_instance(vm)
        for vm in sorted(copying):
            for source in _VMS:
                self._copy_map(source, vm)
        for vm in sorted(asking):
            self._ask_others(vm)
        for vm in sorted(counting):
            self._count_down(vm)
            for release in list(self._ask_release(vm)):
                self.daemons[vm].claims.record_release(release)
        for vm in sorted(beating):
            self._receive_heartbeat(self._send_heartbeat(vm, withholds))

    @stateful.rule()
    def toggle_store(self):
        self.store_up = not self.store_up

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def toggle_isolation(self, vm):
        self.isolated ^= {vm}

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
