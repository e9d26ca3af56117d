"""Tests of the voters of key maps while a fleet changes beyond partitions."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import authority
from mustardloom.keys import key_map
from mustardloom.keys import planning
from mustardloom.keys import voters

_VMS = [ids.VmId(f"vm-{number}") for number in range(8)]
_SOME_VMS = strategies.frozensets(strategies.sampled_from(_VMS))


def _candidate(vm):
    instance = targets.TargetInstance(targets.TargetId(f"t-{vm}"), 1)
    return planning.Candidate(vm, instance, 6)


def _map(known):
    planned = planning.initial_map([_candidate(vm) for vm in _VMS[:2]], era=1)
    return dataclasses.replace(planned, voters=known)


def test_map_keeps_its_voters_when_it_is_stored_and_changed():
    """Guards against a move of keys that makes everybody a voter again."""
    known = voters.Voters(frozenset(_VMS[2:6]), frozenset(_VMS[:5]))
    current = key_map.decode(key_map.encode(_map(known)))
    assert current.voters == known
    moved = planning.reassign(current, [_candidate(_VMS[1])], {_VMS[0]})
    instance = targets.TargetInstance(targets.TargetId("t"), 2)
    restarted = planning.with_instance(current, _VMS[0], instance)
    assert moved.voters == restarted.voters == known
    assert key_map.decode(key_map.encode(_map(None))).voters is None


def test_voters_that_are_replaced_one_by_one_never_lose_their_majority():
    """Guards against VMs that are gone and count as absent for good."""
    known = voters.of(_VMS[:3])
    alive = set(_VMS[:3])
    for old, new in zip(_VMS, _VMS[3:], strict=False):
        alive = alive - {old} | {new}
        for _ in range(2):
            assert known.has_majority(alive)
            known = voters.change(known, alive, alive)
    assert known == voters.of(alive)


def test_voters_change_only_once_the_last_change_is_known():
    """Guards against sets that follow each other without a common voter."""
    known = voters.change(voters.of(_VMS[:3]), set(_VMS), set(_VMS))
    assert voters.change(known, {_VMS[7]}, set(_VMS[3:])) is known
    assert voters.change(known, {_VMS[7]}, set(_VMS[1:5])) != known


@pytest.mark.parametrize("is_in_touch", [False, True])
def test_fleet_that_doubles_beyond_a_partition_gets_no_second_majority(
    is_in_touch,
):
    """Guards against new VMs that outvote those which do not know of them."""
    cut_off, near = _VMS[:2], _VMS[2:]
    old = voters.of(_VMS[:3])
    informed = set(near)
    if is_in_touch:
        informed.add(cut_off[0])
    known = voters.change(old, set(_VMS), set(_VMS))
    assert old.has_majority(set(cut_off))
    assert known.needs_one_of(informed) == is_in_touch


class _Daemon:
    """What one daemon knows of the key map, and who voted for it."""

    def __init__(self, vm):
        self.vm = vm
        self.map = key_map.empty()
        # First version that it knows with the present voters.
        self.voters_version = 0
        self.authority = authority.Authority(vm)

    def adopt(self, new):
        if new.version > self.map.version:
            if new.voters != self.map.voters:
                self.voters_version = new.version
            self.map = new


class Majorities(stateful.RuleBasedStateMachine):
    """Changes of the fleet, partitions, pauses and restarts in any order.

    A daemon that can still have its map confirmed must never be one that a
    later owner takes for outvoted.
    """

    def __init__(self):
        super().__init__()
        self.map = _map(voters.of(_VMS[:3]))
        self.daemons = {vm: _Daemon(vm) for vm in _VMS}
        # Daemons that run and are not paused.
        self.running = set(_VMS[:3])
        # Those that reach the store, and the others, reach each other.
        self.with_store = set(_VMS)
        for vm in _VMS[:3]:
            self._read_store(vm)

    def _read_store(self, vm):
        self.daemons[vm].adopt(self.map)
        self.daemons[vm].authority.is_voter = True

    def _reachable(self, vm):
        side = vm in self.with_store
        return {
            other
            for other in self.running
            if (other in self.with_store) == side
        }

    def _ask_others(self, vm):
        daemon = self.daemons[vm]
        for other in self._reachable(vm) - {vm}:
            peer = self.daemons[other]
            daemon.authority.record_report(
                other,
                authority.MapReport(
                    0, peer.map.version, peer.authority.is_voter
                ),
            )

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def read_store(self, vm):
        if vm in self.running & self.with_store:
            self._read_store(vm)

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def copy_map(self, vm):
        if vm in self.running:
            for other in self._reachable(vm):
                self.daemons[vm].adopt(self.daemons[other].map)

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def pause_or_resume(self, vm):
        self.running ^= {vm}

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def change_sides(self, vm):
        self.with_store ^= {vm}

    @stateful.rule(vm=strategies.sampled_from(_VMS))
    def restart(self, vm):
        self.daemons[vm] = _Daemon(vm)

    @stateful.rule(vms=_SOME_VMS)
    def resume_beyond_the_partition(self, vms):
        """Lets daemons with earlier maps meet where the store is not reached.

        Those that know the newest map stay on the other side.
        """
        earlier = {
            vm
            for vm, daemon in self.daemons.items()
            if daemon.map.version < self.map.version
        }
        self.running |= vms
        self.with_store -= vms & earlier

    @stateful.rule(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_VMS),
                strategies.sampled_from(_VMS),
                strategies.booleans(),
            ),
            max_size=6,
        )
    )
    def replace_voters(self, steps):
        """Starts VMs and leaves others out, as far as majorities allow it."""
        for new, old, is_known_to_new in steps:
            self.running.add(new)
            if is_known_to_new and new in self.with_store:
                self._read_store(new)
            for planner in sorted(self.running & self.with_store - {old}):
                if self._plan(planner, old):
                    break

    def _plan(self, vm, left_out):
        """Writes a map with other voters; returns whether it was written."""
        daemon = self.daemons[vm]
        reachable = self._reachable(vm)
        self._read_store(vm)
        known = self.map.voters
        if not known.has_majority(reachable):
            return False
        self._ask_others(vm)
        informed = daemon.authority.informed(daemon.voters_version)
        changed = voters.change(known, reachable - {left_out}, informed)
        self.map = dataclasses.replace(
            self.map, version=self.map.version + 1, voters=changed
        )
        daemon.adopt(self.map)
        return True

    @stateful.invariant()
    def no_outvoted_daemon_has_a_majority(self):
        outvoted = 0
        for vm in self.running:
            daemon = self.daemons[vm]
            if not daemon.map.version:
                continue
            self._ask_others(vm)
            version = daemon.map.version
            informed = daemon.authority.informed(version)
            if daemon.map.voters.needs_one_of(informed):
                outvoted = max(outvoted, version)
        for vm in self.running:
            daemon = self.daemons[vm]
            if not 0 < daemon.map.version < outvoted:
                continue
            fresh = _Daemon(vm)
            fresh.authority.is_voter = daemon.authority.is_voter
            fresh.map = daemon.map
            others = self.daemons | {vm: fresh}
            for other in self._reachable(vm) - {vm}:
                peer = others[other]
                fresh.authority.record_report(
                    other,
                    authority.MapReport(
                        0, peer.map.version, peer.authority.is_voter
                    ),
                )
            confirmed_ms = fresh.authority.confirmed_ms(
                daemon.map.version, daemon.map.voters
            )
            assert confirmed_ms is None, (vm, daemon.map.version, outvoted)


TestMajorities = Majorities.TestCase
TestMajorities.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    max_examples=200,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
