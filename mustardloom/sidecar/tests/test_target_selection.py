"""Selection among many targets with few places, replayed against baselines."""

import asyncio
import heapq
import itertools
import random

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.deployment import stored
from mustardloom.load_control import placement
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import target_selection

_SERVICE = ids.ServiceId("s")
_OTHER = ids.ServiceId("other")
_ZONES = ("za", "zb", "zc")
_TARGETS = 24
_PLACES = 2
_SERVICE_MS = 100.0
_OBJECTIVE_MS = 300.0
_DAEMONS = 20
_REQUESTS = 4_000
_REPORT_INTERVAL_MS = 2_000.0
_ANY = frozenset[ids.RegionId]()


def _record(vm, zone, service=_SERVICE):
    return stored.DaemonRecord(
        ids.VmId(vm),
        "10.0.0.1",
        1,
        ids.AvailabilityZoneId(zone),
        ids.RegionId("r"),
        service,
    )


def _status(phase=fleet_lib.TargetPhase.READY, is_stopping=False):
    return frames.Status(
        "t",
        1,
        int(phase),
        _PLACES,
        0,
        0,
        0,
        int(_SERVICE_MS),
        int(_SERVICE_MS),
        0,
        0,
        is_stopping,
        1,
        True,
        (),
    )


class _Target:
    """Simulated target with a few places and a queue."""

    def __init__(self):
        self.ends_ms = []
        self.waiting = []

    def load(self, now_ms):
        self._advance(now_ms)
        return len(self.ends_ms), len(self.waiting)

    def add(self, now_ms, service_ms):
        """Returns when a request that arrives now is done."""
        self._advance(now_ms)
        start_ms = now_ms
        if len(self.ends_ms) + len(self.waiting) >= _PLACES:
            busy = sorted(self.ends_ms + [end for _, end in self.waiting])
            start_ms = busy[-_PLACES]
        end_ms = start_ms + service_ms
        if start_ms > now_ms:
            self.waiting.append((start_ms, end_ms))
        else:
            heapq.heappush(self.ends_ms, end_ms)
        return end_ms

    def _advance(self, now_ms):
        started = [each for each in self.waiting if each[0] <= now_ms]
        self.waiting = [each for each in self.waiting if each[0] > now_ms]
        for _, end_ms in started:
            heapq.heappush(self.ends_ms, end_ms)
        while self.ends_ms and self.ends_ms[0] <= now_ms:
            heapq.heappop(self.ends_ms)


class _Links:
    """Fake links that answer load queries from the simulated targets."""

    def __init__(self):
        self.target_by_vm = {}
        self.silent = set()
        self.now_ms = 0.0
        self.asked = 0

    def set_peers(self, addresses):
        pass

    def is_up(self, vm):
        return True

    def begin_call(self, vm, make):
        self.asked += 1
        call = links_lib.OpenCall(links_lib.OnSilence.FAIL, lambda _: None)
        if vm in self.silent:
            return call
        if vm not in self.target_by_vm:
            raise links_lib.PeerUnreachable(vm)
        running, waiting = self.target_by_vm[vm].load(self.now_ms)
        call.reply.set_result(
            frames.LoadReply(
                make(1).number, True, _PLACES, running, waiting, 100, 0
            )
        )
        return call


def _fleet(links, targets=_TARGETS):
    clock = clock_lib.FakeClock()
    own = _record("own", _ZONES[0], _OTHER)
    fleet = fleet_lib.Fleet(own, links, clock)
    records = [
        _record(f"vm-{index:02}", _ZONES[index % len(_ZONES)])
        for index in range(targets)
    ]
    fleet.set_listed([own, *records])
    for record in records:
        fleet.update_status(record.vm, _status())
    return fleet, clock


def _selection(fleet, links, clock, seed=1):
    return target_selection.TargetSelection(
        fleet, links, clock, random.Random(seed)
    )


def _replay(policy, seed):
    """Returns the share of requests that are answered within the objective.

    Args:
      policy: Called with the time, the targets and the number of the daemon;
        returns the index of a target.
      seed: Seed of arrivals and service times.
    """
    chance = random.Random(seed)
    rate_per_ms = 0.7 * _TARGETS * _PLACES / _SERVICE_MS
    targets = [_Target() for _ in range(_TARGETS)]
    now_ms, in_time = 0.0, 0
    for _ in range(_REQUESTS):
        now_ms += chance.expovariate(rate_per_ms)
        service_ms = _SERVICE_MS * chance.lognormvariate(-0.32, 0.8)
        index = policy(now_ms, targets, chance.randrange(_DAEMONS))
        end_ms = targets[index].add(now_ms, service_ms)
        in_time += end_ms - now_ms <= _OBJECTIVE_MS
    return in_time / _REQUESTS


def _round_robin():
    turns = [itertools.count(index) for index in range(_DAEMONS)]
    return lambda now_ms, targets, daemon: next(turns[daemon]) % _TARGETS


def _by_reports():
    """Compares reports that are up to two seconds old, as earlier releases."""
    distance = placement.Distance.SAME_ZONE
    views = [
        [
            placement.TargetView(
                ids.VmId(str(index)), distance, _PLACES, service_ms=100.0
            )
            for index in range(_TARGETS)
        ]
        for _ in range(_DAEMONS)
    ]
    reported_ms = [-_REPORT_INTERVAL_MS] * _DAEMONS

    def choose(now_ms, targets, daemon):
        if now_ms - reported_ms[daemon] >= _REPORT_INTERVAL_MS:
            reported_ms[daemon] = now_ms
            for view, target in zip(views[daemon], targets, strict=True):
                view.running, view.waiting = target.load(now_ms)
        view = placement.choose(views[daemon])
        # The answer to this request reports the load of its target.
        index = int(view.vm)
        view.running, view.waiting = targets[index].load(now_ms)
        return index

    return choose


def _by_asking():
    links = _Links()
    fleet, clock = _fleet(links)
    selections = [
        _selection(fleet, links, clock, seed) for seed in range(_DAEMONS)
    ]

    def choose(now_ms, targets, daemon):
        links.now_ms = now_ms
        links.target_by_vm = {
            ids.VmId(f"vm-{index:02}"): target
            for index, target in enumerate(targets)
        }
        vm = asyncio.run(selections[daemon].choose(_SERVICE, _ANY, set()))
        return int(vm.removeprefix("vm-"))

    return choose


@pytest.mark.parametrize("seed", [1, 2])
def test_asking_serves_more_in_time_than_old_reports(seed):
    """All daemons of a zone sent their requests to the same idle targets."""
    asked = _replay(_by_asking(), seed)
    assert asked > _replay(_by_reports(), seed) + 0.02
    assert asked > _replay(_round_robin(), seed) + 0.02


def test_target_whose_daemon_is_silent_is_not_chosen():
    """Guards against requests to a VM that has just lost power."""

    async def run():
        links = _Links()
        fleet, clock = _fleet(links)
        links.target_by_vm = {
            vm: _Target() for vm in fleet.by_vm if vm != "own"
        }
        links.silent = {vm for vm in links.target_by_vm if vm < "vm-12"}
        selection = _selection(fleet, links, clock)
        chosen = [
            await selection.choose(_SERVICE, _ANY, set()) for _ in range(12)
        ]
        assert not links.silent & set(chosen)

    asyncio.run(run())


def test_few_targets_of_the_region_go_before_many_of_other_regions():
    """Guards against requests that leave the region as a zone is evacuated."""
    links = _Links()
    fleet, clock = _fleet(links, targets=6)
    far = [
        stored.DaemonRecord(
            ids.VmId(f"far-{index}"),
            "10.0.0.1",
            1,
            ids.AvailabilityZoneId("zf"),
            ids.RegionId("rf"),
            _SERVICE,
        )
        for index in range(20)
    ]
    near = [peer.record for peer in fleet.by_vm.values()]
    fleet.set_listed([*near, *far])
    for record in far:
        fleet.update_status(record.vm, _status())
    fleet.evacuated_zones = {ids.AvailabilityZoneId(_ZONES[0])}
    selection = _selection(fleet, links, clock)
    chosen = asyncio.run(selection.choose(_SERVICE, _ANY, set()))
    assert chosen is not None
    assert chosen.startswith("vm-")


def test_request_asks_no_more_targets_in_a_larger_fleet():
    """Guards against work for a request that grows with the fleet."""

    async def asked(targets):
        links = _Links()
        fleet, clock = _fleet(links, targets)
        links.target_by_vm = {
            vm: _Target() for vm in fleet.by_vm if vm != "own"
        }
        await _selection(fleet, links, clock).choose(_SERVICE, _ANY, set())
        return links.asked

    assert asyncio.run(asked(30)) == asyncio.run(asked(300)) <= 4


def test_targets_that_stop_or_leave_are_forgotten_at_once():
    """Guards against a kept list of targets that outlives a change."""
    fleet, _ = _fleet(_Links())
    first, second, third = sorted(vm for vm in fleet.by_vm if vm != "own")[:3]
    before = fleet.rings(_SERVICE, _ANY)
    assert len(before.zone) + len(before.region) == _TARGETS
    fleet.update_status(first, _status(fleet_lib.TargetPhase.LEAVING))
    fleet.update_status(second, _status(is_stopping=True))
    after = fleet.rings(_SERVICE, _ANY)
    left = {peer.vm for peer in (*after.zone, *after.region)}
    assert first not in left
    assert second not in left
    assert third in left
    fleet.evacuated_zones = {ids.AvailabilityZoneId("zc")}
    assert third not in {peer.vm for peer in fleet.rings(_SERVICE, _ANY).region}
