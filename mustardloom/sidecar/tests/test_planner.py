"""Tests of who votes on the key maps that a planner writes."""

import dataclasses
import os

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.keys import planning
from mustardloom.keys import voters
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import planner as planner_lib

_VMS = [ids.VmId(name) for name in "abcd"]
_SERVICE = ids.ServiceId("s")


def _record(vm):
    return stored.DaemonRecord(
        vm,
        "127.0.0.1",
        1,
        ids.AvailabilityZoneId("z"),
        ids.RegionId("r"),
        ids.ServiceId("other"),
    )


class _Links:
    """Links of which the test says which are up."""

    def __init__(self, clock):
        self.down_since_ms = {}
        self.pinged = set()
        self._clock = clock

    def set_peers(self, address_by_vm):
        del address_by_vm

    def is_up(self, vm):
        return vm not in self.down_since_ms

    def unreachable_ms(self, vm):
        since_ms = self.down_since_ms.get(vm, self._clock.now_ms())
        return self._clock.now_ms() - since_ms

    def ping_quiet(self, vms, quiet_ms):
        if not quiet_ms:
            self.pinged |= vms


class _Setup:
    """The planner of the first VM, with a map that the first two VMs own."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.links = _Links(self.clock)
        self.fleet = fleet_lib.Fleet(_record(_VMS[0]), self.links, self.clock)
        self.fleet.set_listed([_record(vm) for vm in _VMS[:3]])
        candidates = [
            planning.Candidate(
                vm, targets.TargetInstance(targets.TargetId(vm), 1), 6
            )
            for vm in _VMS[:2]
        ]
        self.known = dataclasses.replace(
            planning.initial_map(candidates, 1), voters=voters.of(_VMS[:3])
        )
        self.informed = set(_VMS)
        null = os.open(os.devnull, os.O_WRONLY)
        metrics = metrics_lib.Metrics()
        self.planner = planner_lib.Planner(
            _VMS[0],
            self,
            None,
            self.fleet,
            self.links,
            self.clock,
            events.EventLog("a", self.clock, metrics, null),
            metrics,
        )

    # What the planner needs of a key space.

    service = _SERVICE
    is_established = True

    @property
    def current_map(self):
        return self.known

    @property
    def voters(self):
        return self.known.voters

    def informed_voters(self):
        return self.informed

    def plan(self, passed_ms=2_000):
        """Returns the voters after some time, as names of both sets."""
        self.clock.jump(passed_ms)
        planned = self.planner._planned()
        if planned is not None:
            assert planned.version == self.known.version + 1
            self.known = planned
        latest, before = self.known.voters.latest, self.known.voters.before
        return "".join(sorted(latest)), "".join(sorted(before))


def test_daemon_that_joins_votes_once_it_is_reached():
    """Guards against VMs that are counted before they can answer."""
    setup = _Setup()
    setup.links.down_since_ms["d"] = 0
    setup.fleet.set_listed([_record(vm) for vm in _VMS])
    assert setup.plan() == ("abc", "abc")
    del setup.links.down_since_ms["d"]
    assert setup.plan() == ("abcd", "abc")


def test_daemon_that_is_gone_votes_no_more_after_a_while():
    """Guards against VMs that are gone and count as absent for good."""
    setup = _Setup()
    setup.links.down_since_ms["c"] = setup.clock.now_ms()
    assert setup.plan(9_000) == ("abc", "abc")
    assert setup.plan(2_000) == ("ab", "abc")
    assert setup.plan() == ("ab", "ab")


def test_daemon_that_may_hold_keys_keeps_its_vote():
    """Guards against a paused VM whose claim ends while it holds keys."""
    setup = _Setup()
    setup.links.down_since_ms["b"] = setup.clock.now_ms()
    assert setup.plan(60_000) == ("abc", "abc")


def test_voters_do_not_change_again_before_the_last_change_is_known():
    """Guards against majorities without a common member."""
    setup = _Setup()
    setup.links.down_since_ms["c"] = 0
    assert setup.plan(20_000) == ("ab", "abc")
    setup.informed = {_VMS[0]}
    del setup.links.down_since_ms["c"]
    assert setup.plan() == ("ab", "abc")
    assert setup.links.pinged == {_VMS[1], _VMS[2]}
    setup.informed = set(_VMS)
    assert setup.plan() == ("abc", "ab")


def test_minority_changes_no_voters():
    """Guards against the smaller side of a partition that shrinks the fleet."""
    setup = _Setup()
    for vm in _VMS[1:]:
        setup.links.down_since_ms[vm] = 0
    assert setup.plan(60_000) == ("abc", "abc")
