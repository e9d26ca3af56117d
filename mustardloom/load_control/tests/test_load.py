"""Tests that replay load patterns against the decisions about it."""

import heapq
import random

import pytest

from mustardloom import ids
from mustardloom.deployment import configuration
from mustardloom.load_control import cold_start
from mustardloom.load_control import placement
from mustardloom.load_control import retry_budget
from mustardloom.load_control import waiting
from mustardloom.load_control import weighted_round_robin

_PLACES = 6
_OBJECTIVE_MS = 300
_DEADLINE_MS = 1_200


def _demand(now_ms, service_ms=60.0, priority=1, is_call=False):
    return waiting.RequestDemand(
        priority,
        is_call,
        now_ms + _OBJECTIVE_MS,
        now_ms + _DEADLINE_MS,
        service_ms,
    )


class _Target:
    """Runs requests of one gate in simulated time."""

    def __init__(self, decide):
        self.decide = decide
        self.line = waiting.WaitingQueue()
        self.ends = []
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.empty_ms = 0.0

    def arrive(self, now_ms, service_ms):
        self._run_until(now_ms)
        if not len(self.line):
            self.empty_ms = now_ms
        demand = _demand(now_ms)
        if not self.decide(self, demand, now_ms):
            self.refused += 1
            return
        self.line.push(demand, (now_ms, service_ms), now_ms)
        self._start(now_ms)

    def finish(self):
        self._run_until(float("inf"))

    def _run_until(self, now_ms):
        while self.ends and self.ends[0][0] <= now_ms:
            ended_ms, arrived_ms = heapq.heappop(self.ends)
            took_ms = ended_ms - arrived_ms
            self.in_time += took_ms <= _OBJECTIVE_MS
            self.late += _OBJECTIVE_MS < took_ms <= _DEADLINE_MS
            self._start(ended_ms)

    def _start(self, now_ms):
        while len(self.line) and len(self.ends) < _PLACES:
            taken = self.line.take(now_ms)
            assert taken is not None
            arrived_ms, service_ms = taken
            heapq.heappush(self.ends, (now_ms + service_ms, arrived_ms))


def _judged(target, demand, now_ms):
    return waiting.decide_admission(
        demand,
        now_ms,
        len(target.ends),
        _PLACES,
        target.line.work_ahead_ms(demand, now_ms),
        len(target.line),
        60.0,
        now_ms - target.empty_ms > waiting.STANDING_QUEUE_MS,
    ).admitted


def _replay(decide, load, seed=1):
    """Replays 20 s of Poisson arrivals at `load` times the capacity."""
    rng = random.Random(seed)
    target = _Target(decide)
    now_ms = 0.0
    while now_ms < 20_000:
        now_ms += rng.expovariate(load * _PLACES / 60.0)
        target.arrive(now_ms, rng.lognormvariate(3.8, 0.75))
    target.finish()
    return target


@pytest.mark.parametrize("load", [1.3, 2.0, 3.0])
def test_overload_leaves_a_full_target_useful(load):
    """Guards against long queues: all places busy, all answers late."""
    patient = _replay(lambda *_: True, load)
    judged = _replay(_judged, load)
    possible = 20_000 / 60 * _PLACES
    assert judged.in_time > 0.75 * possible
    assert judged.in_time + 0.5 * judged.late >= (
        patient.in_time + 0.5 * patient.late
    )


def test_moderate_load_is_not_turned_away():
    """Guards against refusals while the target keeps up."""
    target = _replay(_judged, 0.7)
    assert target.refused < 0.01 * (target.in_time + target.late)


def test_calls_of_running_requests_go_first():
    """Guards against requests that hold a place while their calls wait."""
    line = waiting.WaitingQueue()
    line.push(_demand(0, priority=0), "new", 0)
    line.push(_demand(0, priority=3, is_call=True), "call", 0)
    assert line.take(0) == "call"


def test_urgent_requests_go_before_less_urgent_ones():
    """Guards against a less urgent kind that is served better."""
    line = waiting.WaitingQueue()
    line.push(_demand(0, priority=2), "statement", 0)
    line.push(_demand(1, priority=0), "release", 1)
    assert [line.take(2), line.take(2)] == ["release", "statement"]


def test_who_is_late_makes_way_for_who_is_not():
    """Guards against a place spent on an answer that has lost its value."""
    line = waiting.WaitingQueue()
    line.push(_demand(0), "old", 0)
    line.push(_demand(280), "new", 280)
    assert line.take(290) == "new"


def test_hopeless_requests_do_not_wait_for_their_deadline():
    """Guards against callers who are held though nothing can be done."""
    line = waiting.WaitingQueue()
    line.push(_demand(0), "hopeless", 0)
    assert line.take_unservable(1_100) == []
    assert line.take_unservable(1_150) == ["hopeless"]
    assert not len(line)


def test_refusal_names_when_there_is_room():
    """Guards against clients that return while the queue is still full."""
    verdict = waiting.decide_admission(
        _demand(0), 0, 6, 6, 2_400.0, 40, 60.0, True
    )
    assert not verdict.admitted
    assert verdict.retry_after_ms >= 400


def test_slow_target_is_tried_again_later():
    """Guards against targets that get nothing for the rest of the day."""
    times = waiting.ServiceTimes()
    for _ in range(50):
        times.record("r", 300.0, now_ms=1_000)
    assert times.overall(1_000) > 250
    assert times.overall(12_000) < 50


def _view(vm, distance, **figures):
    return placement.TargetView(
        ids.VmId(vm), distance, limit=6, service_ms=40.0, **figures
    )


def test_nearest_target_is_taken_until_its_queue_costs_more():
    """Guards against dear bytes for a short queue and against long queues."""
    far = _view("far", placement.Distance.OTHER_REGION)
    short = _view("near", placement.Distance.SAME_ZONE, running=6, waiting=3)
    assert placement.choose([far, short]).vm == "near"
    long = _view("near", placement.Distance.SAME_ZONE, running=6, waiting=40)
    assert placement.choose([far, long]).vm == "far"


def test_own_requests_since_the_report_count():
    """Guards against a herd that follows one old report of a free target."""
    first = _view("a", placement.Distance.SAME_ZONE)
    second = _view("b", placement.Distance.SAME_ZONE, running=2)
    chosen = []
    for _ in range(8):
        view = placement.choose([first, second])
        view.in_flight += 1
        chosen.append(view.vm)
    assert set(chosen) == {"a", "b"}


def test_failing_target_is_avoided():
    """Guards against work for a target that sheds half of it at once."""
    grey = _view("grey", placement.Distance.SAME_ZONE, failure_share=0.5)
    good = _view("good", placement.Distance.SAME_REGION)
    assert placement.choose([grey, good]).vm == "good"


def test_repeats_of_the_fleet_stay_within_the_bound():
    """Replays a fault in which every request fails at 18 daemons."""
    terms = retry_budget.RetryLimits(0.2, 10_000, 60)
    budgets = [retry_budget.RetryBudget(terms) for _ in range(18)]
    sent = repeated = 0
    for now_ms in range(0, 10_000, 10):
        budget = budgets[now_ms // 10 % 18]
        budget.record_request(now_ms)
        sent += 1
        repeated += budget.try_take(now_ms, daemons=18)
    # The calls of repeated runs count as repeats, too.
    assert 0 < 2 * repeated <= terms.ratio * sent + terms.minimum


def test_cold_target_gets_no_more_than_it_bears():
    """Replays a returning zone: any second of a cold target stays bounded."""
    limit = cold_start.ColdStartLimit(overload_factor=1.5)
    limit.set_rate_per_s(24)
    limit.set_cold_until(5_000)
    starts = []
    for now_ms in range(0, 5_000, 3):
        if limit.may_start(now_ms):
            limit.record_start(now_ms)
            starts.append(now_ms)
    for first in starts:
        inside = [s for s in starts if first <= s < first + 1_000]
        assert len(inside) <= 24 * 1.5
    assert len(starts) > 5 * 24


def test_cold_target_of_unknown_strength_gets_little():
    """Guards against full load before the configuration is known."""
    limit = cold_start.ColdStartLimit(overload_factor=1.5)
    limit.set_cold_until(5_000)
    started = 0
    for now_ms in range(0, 1_000, 10):
        if limit.may_start(now_ms):
            limit.record_start(now_ms)
            started += 1
    assert started <= 5


def test_shares_follow_weights_also_after_a_change():
    """Guards against parts that get more than their weight."""
    dealer = weighted_round_robin.WeightedRoundRobin()
    route = ids.RouteId("r")
    a, b = ids.ServiceId("a"), ids.ServiceId("b")
    for weight in (9, 3):
        parts = (
            configuration.Share(a, weight),
            configuration.Share(b, 10 - weight),
        )
        dealt = [dealer.next_service(route, parts) for _ in range(100)]
        assert abs(dealt.count(a) - 10 * weight) <= 2
