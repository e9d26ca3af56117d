"""Tests of the router with scripted gates."""

import asyncio
import dataclasses
import os

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import configuration
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.http1 import messages
from mustardloom.keys import planning
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import router as router_lib
from mustardloom.sidecar import work

_SERVICE = ids.ServiceId("s")
_VMS = [ids.VmId(f"vm-{number}") for number in range(3)]
_OK = work.Answered(messages.Response(200))
_FAILED = work.Failed(work.FailureReason.TARGET_LOST)
_FULL = work.Refused(work.RefusalReason.OVERLOADED, 120)
_SHED = work.Refused(work.RefusalReason.TARGET_REFUSED, was_offered=True)


class _Links:
    """Links that are all up, but for those in `down`."""

    def __init__(self):
        self.down = set()

    def set_peers(self, addresses):
        pass

    def is_up(self, vm):
        return vm not in self.down


class _Forwarder:
    """Answers by VM, in the given order; notes what was asked."""

    def __init__(self):
        self.outcomes = {}
        self.asked = []

    async def send(self, vm, request, may_wait):
        self.asked.append((vm, may_wait))
        outcomes = self.outcomes.get(vm, [_OK])
        return outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]


def _record(vm, zone, region):
    return stored.DaemonRecord(vm, "ip", 1, zone, region, _SERVICE)


def _status(phase=fleet_lib.TargetPhase.READY):
    return frames.Status(
        "t", 1, int(phase), 6, 0, 0, 0, 30, 30, 0, 0, False, 1, True, ()
    )


class _World:
    """A router on vm-0; vm-1 is in its region, vm-2 in another."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.links = _Links()
        own = _record(_VMS[0], "za", "ra")
        self.fleet = fleet_lib.Fleet(own, self.links, self.clock)
        self.fleet.set_listed(
            [own, _record(_VMS[1], "zb", "ra"), _record(_VMS[2], "zc", "rb")]
        )
        for vm in _VMS:
            self.fleet.update_status(vm, _status())
        self.forwarder = _Forwarder()
        life = targets.TargetInstance(targets.TargetId("t"), 1)
        self.map = planning.initial_map(
            [planning.Candidate(vm, life, 6) for vm in _VMS[1:]]
        )
        metrics = metrics_lib.Metrics()
        null = os.open(os.devnull, os.O_WRONLY)
        self.router = router_lib.Router(
            self.fleet,
            self.forwarder,
            lambda _: self.map,
            settings.Bounds(retry_minimum=600),
            self.clock,
            events.EventLog("vm", self.clock, metrics, null),
            metrics,
        )
        self.route = configuration.Route(
            name=ids.RouteId("r"),
            host="h",
            prefix="/",
            shares=(),
            kind=configuration.Kind.IDEMPOTENT,
            timeout_ms=1_200,
            objective_ms=300,
            max_attempts=2,
            priority=1,
            home_regions=frozenset(),
        )

    def ask(self, is_keyed=False, is_idempotent=True, **route):
        now_ms = self.clock.now_ms()
        request = work.Work(
            service=_SERVICE,
            method="GET",
            target="/",
            headers=(),
            body=b"",
            request_id="r",
            route=self.route.name,
            caller_service=_SERVICE,
            is_idempotent=is_idempotent,
            priority=1,
            objective_ms=now_ms + 300,
            deadline_ms=now_ms + 1_200,
            key=0,
            fingerprint=1,
            is_call=False,
        )
        service = configuration.Service(_SERVICE, is_keyed=is_keyed)
        call = self.router.route(
            request, dataclasses.replace(self.route, **route), service
        )
        outcome = asyncio.run(call)
        return outcome, [vm for vm, _ in self.forwarder.asked]


def test_refusals_of_gates_cost_no_attempt():
    """Guards against refusals while another target is free."""
    world = _World()
    world.forwarder.outcomes = {_VMS[0]: [_FULL], _VMS[1]: [_FULL]}
    outcome, asked = world.ask(max_attempts=1)
    assert (outcome, asked) == (_OK, _VMS)


def test_unrepeatable_request_that_may_have_run_is_not_sent_again():
    """Guards against payments that post twice."""
    world = _World()
    world.forwarder.outcomes = {_VMS[0]: [_FAILED]}
    outcome, asked = world.ask(is_idempotent=False)
    assert (outcome, asked) == (_FAILED, _VMS[:1])


def test_no_more_targets_than_the_route_allows_are_offered_a_request():
    """Guards against one request that uses up the whole fleet."""
    world = _World()
    world.forwarder.outcomes = {vm: [_FAILED] for vm in _VMS}
    outcome, asked = world.ask(max_attempts=2)
    assert (outcome, len(asked)) == (_FAILED, 2)


def test_refusal_after_a_run_is_not_told():
    """Guards against a promise that nothing was run, when it may have been."""
    world = _World()
    world.forwarder.outcomes = {
        _VMS[0]: [_FAILED],
        _VMS[1]: [_FULL],
        _VMS[2]: [_FULL],
    }
    outcome, _ = world.ask()
    assert outcome == _FAILED


def test_target_that_sheds_itself_counts_as_an_attempt():
    """Guards against repeats that the budget does not see."""
    world = _World()
    world.forwarder.outcomes = {vm: [_SHED] for vm in _VMS}
    outcome, asked = world.ask(is_idempotent=False)
    assert (outcome, len(asked)) == (_SHED, 2)


def test_home_regions_and_evacuations_bind():
    """Guards against work in a region or zone where it may not go."""
    world = _World()
    world.fleet.evacuated_zones = {ids.AvailabilityZoneId("za")}
    _, asked = world.ask(home_regions=frozenset([ids.RegionId("ra")]))
    assert asked == [_VMS[1]]


def test_nobody_to_ask_is_refused_at_once():
    """Guards against callers who wait for nothing."""
    world = _World()
    world.links.down = set(_VMS)
    outcome, asked = world.ask(home_regions=frozenset([ids.RegionId("rb")]))
    assert isinstance(outcome, work.Refused)
    assert asked == []


def test_keys_on_their_way_are_served_by_their_earlier_owner():
    """Guards against refusals while keys change hands."""
    world = _World()
    owner = world.map.row_of(0).owner
    earlier = _VMS[3 - _VMS.index(owner)]
    elsewhere = work.Refused(work.RefusalReason.NOT_OWNER, owner=earlier)
    world.forwarder.outcomes = {owner: [elsewhere]}
    outcome, asked = world.ask(is_keyed=True)
    assert (outcome, asked) == (_OK, [owner, earlier])


def test_keys_of_an_evacuated_owner_are_awaited_at_the_new_one():
    """Guards against refusals while a zone is emptied."""
    world = _World()
    owner = world.map.row_of(0).owner
    earlier = _VMS[3 - _VMS.index(owner)]
    zone = world.fleet.by_vm[earlier].record.availability_zone
    world.fleet.evacuated_zones = {zone}
    elsewhere = work.Refused(work.RefusalReason.NOT_OWNER, owner=earlier)
    world.forwarder.outcomes = {owner: [elsewhere, _OK]}
    outcome, _ = world.ask(is_keyed=True)
    assert outcome == _OK
    assert world.forwarder.asked == [(owner, False), (owner, True)]
