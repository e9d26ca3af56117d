"""Tests of the router with scripted outcomes of gates."""

import asyncio
import dataclasses
import os
import random
import types
from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import configuration
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.http1 import messages
from mustardloom.keys import planning
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import ingress as ingress_lib
from mustardloom.sidecar import request_ends
from mustardloom.sidecar import router as router_lib
from mustardloom.sidecar import target_selection
from mustardloom.sidecar import work

_SERVICE = ids.ServiceId("s")
_VMS = [ids.VmId(f"vm-{number}") for number in range(3)]
_OK = work.Answered(messages.Response(200))
_FAILED = work.Failed(work.FailureReason.TARGET_LOST)
_OVERLOADED = work.Refused(work.RefusalReason.OVERLOADED, 120)
_REFUSED_BY_TARGET = work.Refused(
    work.RefusalReason.TARGET_REFUSED, was_offered=True
)


class _Links:
    """Fake links, up except to the VMs in `down`."""

    def __init__(self):
        self.down = set()

    def set_peers(self, addresses):
        pass

    def is_up(self, vm):
        return vm not in self.down


class _Forwarder:
    """Fake forwarder with scripted outcomes.

    Attributes:
      outcomes: Outcomes by VM, in order; the last one repeats.
      asked: VM and `may_wait` of each call.
    """

    def __init__(self):
        self.outcomes = {}
        self.asked = []

    async def send(self, vm, request, may_wait):
        self.asked.append((vm, may_wait))
        outcomes = self.outcomes.get(vm, [_OK])
        return outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]


def _record(vm, zone, region):
    return stored.DaemonRecord(vm, "10.0.0.1", 1, zone, region, _SERVICE)


def _status(phase=fleet_lib.TargetPhase.READY):
    return frames.Status(
        "t", 1, int(phase), 6, 0, 0, 0, 30, 30, 0, 0, False, 1, True, ()
    )


class _Harness:
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
        instance = targets.TargetInstance(targets.TargetId("t"), 1)
        self.map = planning.initial_map(
            [planning.Candidate(vm, instance, 6) for vm in _VMS[1:]]
        )
        metrics = metrics_lib.Metrics()
        null = os.open(os.devnull, os.O_WRONLY)
        self.router = router_lib.Router(
            self.fleet,
            target_selection.TargetSelection(
                self.fleet, self.links, self.clock, random.Random(1)
            ),
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
            kind=configuration.RequestKind.IDEMPOTENT,
            timeout_ms=1_200,
            objective_ms=300,
            max_attempts=2,
            priority=1,
            home_regions=frozenset(),
        )

    def ask(self, **changes):
        outcome = asyncio.run(self.route_request(**changes))
        return outcome, [vm for vm, _ in self.forwarder.asked]

    def route_request(self, is_keyed=False, is_idempotent=True, **route):
        """Returns the call that routes a request."""
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
        return self.router.route(
            request, dataclasses.replace(self.route, **route), service
        )


def test_refusals_of_gates_do_not_count_as_attempts():
    """Guards against a refusal to the caller while another target is free."""
    harness = _Harness()
    harness.forwarder.outcomes = {
        _VMS[0]: [_OVERLOADED],
        _VMS[1]: [_OVERLOADED],
    }
    outcome, asked = harness.ask(max_attempts=1)
    assert (outcome, asked) == (_OK, _VMS)


def test_non_idempotent_request_that_may_have_run_is_not_retried():
    """Guards against payments that are made twice."""
    harness = _Harness()
    harness.forwarder.outcomes = {_VMS[0]: [_FAILED]}
    outcome, asked = harness.ask(is_idempotent=False)
    assert (outcome, asked) == (_FAILED, _VMS[:1])


def test_attempts_are_limited_by_the_route():
    """Guards against one failing request that runs on every target."""
    harness = _Harness()
    harness.forwarder.outcomes = {vm: [_FAILED] for vm in _VMS}
    outcome, asked = harness.ask(max_attempts=2)
    assert (outcome, len(asked)) == (_FAILED, 2)


def test_refusal_after_a_possible_run_is_not_returned():
    """Guards against "not run" for a request that a target may have run."""
    harness = _Harness()
    harness.forwarder.outcomes = {
        _VMS[0]: [_FAILED],
        _VMS[1]: [_OVERLOADED],
        _VMS[2]: [_OVERLOADED],
    }
    outcome, _ = harness.ask()
    assert outcome == _FAILED


def test_refusal_by_the_target_counts_as_an_attempt():
    """Guards against retries outside of the retry budget."""
    harness = _Harness()
    harness.forwarder.outcomes = {vm: [_REFUSED_BY_TARGET] for vm in _VMS}
    outcome, asked = harness.ask(is_idempotent=False)
    assert (outcome, len(asked)) == (_REFUSED_BY_TARGET, 2)


def test_home_regions_and_evacuations_limit_the_targets():
    """Guards against a run outside the home regions or in an evacuated zone."""
    harness = _Harness()
    harness.fleet.evacuated_zones = {ids.AvailabilityZoneId("za")}
    _, asked = harness.ask(home_regions=frozenset([ids.RegionId("ra")]))
    assert asked == [_VMS[1]]


def test_request_without_candidates_is_refused_at_once():
    """Guards against callers that wait although no target can run a request."""
    harness = _Harness()
    harness.links.down = set(_VMS)
    outcome, asked = harness.ask(home_regions=frozenset([ids.RegionId("rb")]))
    assert isinstance(outcome, work.Refused)
    assert asked == []


def test_key_in_handover_is_served_by_its_earlier_owner():
    """Guards against refusals until the earlier owner has released a key."""
    harness = _Harness()
    owner = harness.map.row_of(0).owner
    earlier = _VMS[3 - _VMS.index(owner)]
    not_owner = work.Refused(work.RefusalReason.NOT_OWNER, owner=earlier)
    harness.forwarder.outcomes = {owner: [not_owner]}
    outcome, asked = harness.ask(is_keyed=True)
    assert (outcome, asked) == (_OK, [owner, earlier])


def test_target_that_refuses_its_keys_takes_no_more_than_the_retry_budget():
    """Guards against requests sent again and again to a target (review/2)."""
    harness = _Harness()
    harness.router.set_bounds(settings.Bounds(retry_ratio=0.0, retry_minimum=0))
    owner = harness.map.row_of(0).owner
    refused = work.Refused(work.RefusalReason.NOT_OWNER, was_offered=True)
    harness.forwarder.outcomes = {owner: [refused, refused]}
    outcome, asked = harness.ask(is_keyed=True)
    assert asked == [owner]
    assert isinstance(outcome, work.Refused)


def test_key_of_an_evacuated_owner_is_awaited_at_the_new_owner():
    """Guards against refusals while an availability zone is evacuated."""
    harness = _Harness()
    owner = harness.map.row_of(0).owner
    earlier = _VMS[3 - _VMS.index(owner)]
    zone = harness.fleet.by_vm[earlier].record.availability_zone
    harness.fleet.evacuated_zones = {zone}
    not_owner = work.Refused(work.RefusalReason.NOT_OWNER, owner=earlier)
    harness.forwarder.outcomes = {owner: [not_owner, _OK]}
    outcome, _ = harness.ask(is_keyed=True)
    assert outcome == _OK
    assert harness.forwarder.asked == [(owner, False), (owner, True)]


def test_changed_bounds_hold_for_requests_that_follow():
    """Guards against settings that some parts of a daemon never adopt."""
    harness = _Harness()
    harness.forwarder.outcomes = {vm: [_FAILED] for vm in _VMS}
    _, asked = harness.ask()
    assert len(asked) == 2
    harness.router.set_bounds(settings.Bounds(retry_ratio=0.0, retry_minimum=0))
    harness.forwarder.asked.clear()
    _, asked = harness.ask()
    assert len(asked) == 1


_UNANSWERED = work.Failed(work.FailureReason.DEADLINE)


def test_unanswered_request_is_tried_elsewhere_within_the_budget():
    """Guards against a caller whose time passes at a silent connection."""
    harness = _Harness()
    harness.forwarder.outcomes = {_VMS[0]: [_UNANSWERED]}
    assert harness.ask() == (_OK, _VMS[:2])
    harness = _Harness()
    harness.forwarder.outcomes = {_VMS[0]: [_UNANSWERED]}
    harness.router.set_bounds(
        settings.Bounds(retry_ratio=0.0, retry_minimum=0.0)
    )
    assert harness.ask() == (_UNANSWERED, _VMS[:1])


def test_unanswered_request_that_may_run_once_is_not_tried_elsewhere():
    """Guards against two runs, and against "not run" after a possible one."""
    harness = _Harness()
    harness.forwarder.outcomes = {_VMS[0]: [_UNANSWERED]}
    assert harness.ask(is_idempotent=False) == (_UNANSWERED, _VMS[:1])


def test_error_of_a_target_is_returned_when_an_open_attempt_runs_out_of_time():
    """Guards against an answer of our own in place of that of a target.

    The first target may stay unanswered; the second one has answered with an
    error. Then the caller's time passes.
    """

    async def scenario():
        harness = _Harness()
        rest: asyncio.Future[work.Outcome] = asyncio.Future()
        error = work.Answered(messages.Response(500))
        harness.forwarder.outcomes = {
            _VMS[0]: [work.Unanswered(rest)],
            _VMS[1]: [error],
        }
        route = dataclasses.replace(
            harness.route, shares=(configuration.Share(_SERVICE, 1),)
        )
        current: Any = types.SimpleNamespace(
            route_for=lambda *_: route,
            service_by_name={},
            has_organisations=False,
        )
        metrics = metrics_lib.Metrics()
        null = os.open(os.devnull, os.O_WRONLY)
        ingress = ingress_lib.Ingress(
            harness.router,
            _SERVICE,
            lambda: current,
            harness.clock,
            events.EventLog("vm", harness.clock, metrics, null),
            metrics,
            request_ends.RequestEnds(
                metrics, stop_admission.StopAdmission(harness.clock)
            ),
        )
        fields = (
            (b"Host", b"h"),
            (b"X-Request-Id", b"id"),
            (b"X-Deadline-Ms", b"200"),
        )
        request = messages.Request(
            "GET", "/", fields, b"", harness.clock.now_ms()
        )
        return (await ingress.handle(request)).status

    assert asyncio.run(scenario()) == 500
