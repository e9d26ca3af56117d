"""Tests that replay load patterns against the load-control decisions."""

import heapq
import random

import hypothesis
from hypothesis import strategies
import pytest

from mustardloom import ids
from mustardloom.deployment import configuration
from mustardloom.load_control import cold_start
from mustardloom.load_control import placement
from mustardloom.load_control import retry_budget
from mustardloom.load_control import urgency
from mustardloom.load_control import waiting
from mustardloom.load_control import weighted_round_robin

_CAPACITY = 6
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


class _SimulatedTarget:
    """One target with its queue, in simulated time."""

    def __init__(self, decide):
        self.decide = decide
        self.queue = waiting.WaitingQueue()
        self.ends = []
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.queue_empty_ms = 0.0

    def arrive(self, now_ms, service_ms):
        self._run_until(now_ms)
        if not len(self.queue):
            self.queue_empty_ms = now_ms
        demand = _demand(now_ms)
        if not self.decide(self, demand, now_ms):
            self.refused += 1
            return
        self.queue.push(demand, (now_ms, service_ms), now_ms)
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
        while len(self.queue) and len(self.ends) < _CAPACITY:
            taken = self.queue.take(now_ms)
            assert taken is not None
            arrived_ms, service_ms = taken
            heapq.heappush(self.ends, (now_ms + service_ms, arrived_ms))


def _is_admitted(target, demand, now_ms):
    return waiting.decide_admission(
        demand,
        now_ms,
        len(target.ends),
        _CAPACITY,
        target.queue.work_ahead_ms(demand, now_ms),
        len(target.queue),
        60.0,
        now_ms - target.queue_empty_ms > waiting.STANDING_QUEUE_MS,
    ).admitted


def _replay(decide, load, seed=1):
    """Replays 20 s of Poisson arrivals at `load` times the capacity."""
    rng = random.Random(seed)
    target = _SimulatedTarget(decide)
    now_ms = 0.0
    while now_ms < 20_000:
        now_ms += rng.expovariate(load * _CAPACITY / 60.0)
        target.arrive(now_ms, rng.lognormvariate(3.8, 0.75))
    target.finish()
    return target


@pytest.mark.parametrize("load", [1.3, 2.0, 3.0])
def test_overloaded_target_still_answers_in_time(load):
    """Guards against long queues, with a busy target and only late answers."""
    unlimited = _replay(lambda *_: True, load)
    controlled = _replay(_is_admitted, load)
    max_requests = 20_000 / 60 * _CAPACITY
    assert controlled.in_time > 0.75 * max_requests
    assert controlled.in_time + 0.5 * controlled.late >= (
        unlimited.in_time + 0.5 * unlimited.late
    )


def test_moderate_load_is_not_refused():
    """Guards against refusals while the target keeps up."""
    target = _replay(_is_admitted, 0.7)
    assert target.refused < 0.01 * (target.in_time + target.late)


def test_calls_of_running_requests_go_first():
    """Guards against running requests that are blocked by queued calls."""
    queue = waiting.WaitingQueue()
    queue.push(_demand(0, priority=0), "new", 0)
    queue.push(_demand(0, priority=3, is_call=True), "call", 0)
    assert queue.take(0) == "call"


def test_urgent_requests_go_before_less_urgent_ones():
    """Guards against a lower priority that is served better."""
    queue = waiting.WaitingQueue()
    queue.push(_demand(0, priority=2), "statement", 0)
    queue.push(_demand(1, priority=0), "release", 1)
    assert [queue.take(2), queue.take(2)] == ["release", "statement"]


def test_requests_in_time_go_before_late_ones():
    """Guards against capacity spent on an answer that is late anyway."""
    queue = waiting.WaitingQueue()
    queue.push(_demand(0), "old", 0)
    queue.push(_demand(280), "new", 280)
    assert queue.take(290) == "new"


def test_requests_that_would_miss_their_deadline_are_removed():
    """Guards against callers that wait for an answer that can't be in time."""
    queue = waiting.WaitingQueue()
    queue.push(_demand(0), "hopeless", 0)
    assert queue.take_unservable(1_100) == []
    assert queue.take_unservable(1_150) == ["hopeless"]
    assert not len(queue)


class _PriorityReplay:
    """Replays 60 s at 1.2 times the capacity, half of it more urgent.

    Attributes:
      arrivals: Less urgent requests.
      in_time: Those of them that were answered within the objective.
      refused_late: Those of them that were refused only after a wait.
    """

    def __init__(self, counts_urgent, seed):
        self.arrivals = self.in_time = self.refused_late = 0
        self._counts_urgent = counts_urgent
        self._queue: waiting.WaitingQueue[int] = waiting.WaitingQueue()
        self._load = urgency.UrgentLoad()
        self._ends: list[tuple[float, int]] = []
        self._empty_ms = 0.0
        self._run(random.Random(seed))

    def _run(self, rng):
        now_ms = 0.0
        count = round(60_000 * 1.2 * _CAPACITY / 60)
        self._demands = []
        self._service_ms = []
        for number in range(count):
            now_ms += rng.expovariate(1.2 * _CAPACITY / 60)
            priority = int(rng.random() < 0.5)
            self._demands.append(_demand(now_ms, priority=priority))
            self._service_ms.append(60.0 * rng.lognormvariate(-0.125, 0.5))
            self._finish_until(now_ms)
            self._arrive(number, now_ms)

    def _is_counted(self, number):
        return self._demands[number].priority == 1

    def _arrive(self, number, now_ms):
        demand = self._demands[number]
        self.arrivals += self._is_counted(number)
        if not len(self._queue):
            self._empty_ms = now_ms
        share = self._load.share_above(demand.rank, now_ms, _CAPACITY)
        decision = waiting.decide_admission(
            demand,
            now_ms,
            len(self._ends),
            _CAPACITY,
            self._queue.work_ahead_ms(demand, now_ms),
            len(self._queue),
            60.0,
            now_ms - self._empty_ms > waiting.STANDING_QUEUE_MS,
            share if self._counts_urgent else 0.0,
        )
        if not decision.admitted:
            return
        self._load.record(demand.rank, demand.service_ms, now_ms)
        if len(self._ends) < _CAPACITY:
            self._start(number, now_ms)
        else:
            self._queue.push(demand, number, now_ms)

    def _start(self, number, now_ms):
        end_ms = now_ms + self._service_ms[number]
        heapq.heappush(self._ends, (end_ms, number))

    def _finish_until(self, until_ms):
        while self._ends and self._ends[0][0] <= until_ms:
            end_ms, number = heapq.heappop(self._ends)
            is_in_time = end_ms <= self._demands[number].objective_ms
            self.in_time += is_in_time and self._is_counted(number)
            late = self._queue.take_unservable(end_ms)
            self.refused_late += sum(self._is_counted(each) for each in late)
            following = self._queue.take(end_ms)
            if following is not None:
                self._start(following, end_ms)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overtaken_requests_are_refused_at_once_and_not_after_a_wait(seed):
    """Guards against less urgent requests that wait to be refused.

    More urgent ones overtook them until their deadline was near, so that their
    callers had no time left to try again.
    """
    now = _PriorityReplay(True, seed)
    before = _PriorityReplay(False, seed)
    assert now.refused_late <= before.refused_late / 2
    assert now.in_time >= before.in_time * 0.98


def test_refusal_names_when_there_is_room():
    """Guards against retries that come while the queue is still full."""
    decision = waiting.decide_admission(
        _demand(0), 0, 6, 6, 2_400.0, 40, 60.0, True
    )
    assert not decision.admitted
    assert decision.retry_after_ms >= 400


def test_slow_target_is_tried_again_later():
    """Guards against targets that never get requests again after being slow."""
    times = waiting.ServiceTimes()
    for _ in range(50):
        times.record("r", 300.0, now_ms=1_000)
    assert times.overall_mean_ms(1_000) > 250
    assert times.overall_mean_ms(12_000) < 50


def _view(vm, distance, **figures):
    return placement.TargetView(
        ids.VmId(vm), distance, limit=6, service_ms=40.0, **figures
    )


def test_nearest_target_is_used_until_its_queue_costs_more():
    """Guards against needless cross-region bytes and against long queues."""
    far = _view("far", placement.Distance.OTHER_REGION)
    short = _view("near", placement.Distance.SAME_ZONE, running=6, waiting=3)
    assert placement.choose([far, short]).vm == "near"
    long = _view("near", placement.Distance.SAME_ZONE, running=6, waiting=40)
    assert placement.choose([far, long]).vm == "far"


def test_requests_sent_since_the_report_are_counted():
    """Guards against a herd of requests after one old report of low load."""
    first = _view("a", placement.Distance.SAME_ZONE)
    second = _view("b", placement.Distance.SAME_ZONE, running=2)
    chosen = []
    for _ in range(8):
        view = placement.choose([first, second])
        view.in_flight += 1
        chosen.append(view.vm)
    assert set(chosen) == {"a", "b"}


def test_failing_target_is_avoided():
    """Guards against requests to a target that fails half of them at once."""
    failing = _view("grey", placement.Distance.SAME_ZONE, failure_share=0.5)
    good = _view("good", placement.Distance.SAME_REGION)
    assert placement.choose([failing, good]).vm == "good"


def test_retries_of_the_fleet_stay_within_the_bound():
    """Replays a fault in which every request fails at 18 daemons."""
    limits = retry_budget.RetryLimits(0.2, 10_000, 60)
    budgets = [retry_budget.RetryBudget(limits) for _ in range(18)]
    sent = retried = 0
    for now_ms in range(0, 10_000, 10):
        budget = budgets[now_ms // 10 % 18]
        budget.record_request(now_ms)
        sent += 1
        retried += budget.try_take(now_ms, daemons=18)
    # The calls of retried requests count as retries, too.
    assert 0 < 2 * retried <= limits.ratio * sent + limits.minimum


def test_rate_of_a_cold_target_is_bounded():
    """Replays a returning zone: each second of a cold target is bounded."""
    limit = cold_start.ColdStartLimit(overload_factor=1.5, began_ms=-2_000)
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


@hypothesis.given(
    killed_ms=strategies.integers(0, 2_500),
    away_ms=strategies.integers(0, 1_500),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_restart_does_not_double_the_rate_of_a_cold_target(killed_ms, away_ms):
    """Guards against a process that takes the last second for unused."""
    restarted_ms = killed_ms + away_ms
    starts = []
    for began_ms, end_ms in ((-2_000, killed_ms), (restarted_ms, 6_000)):
        limit = cold_start.ColdStartLimit(1.5, began_ms)
        limit.set_rate_per_s(24)
        limit.set_cold_until(6_000)
        for now_ms in range(max(0, began_ms), end_ms, 5):
            if limit.may_start(now_ms):
                limit.record_start(now_ms)
                starts.append(now_ms)
    for first in starts:
        inside = [s for s in starts if first <= s < first + 1_000]
        assert len(inside) <= 24 * 1.5
    assert starts[-1] > restarted_ms


def test_cold_target_of_unknown_capacity_gets_few_requests():
    """Guards against full load before the configuration is known."""
    limit = cold_start.ColdStartLimit(overload_factor=1.5, began_ms=-2_000)
    limit.set_cold_until(5_000)
    started = 0
    for now_ms in range(0, 1_000, 10):
        if limit.may_start(now_ms):
            limit.record_start(now_ms)
            started += 1
    assert started <= 5


def test_shares_follow_weights_also_after_a_change():
    """Guards against services that get more than their weight."""
    round_robin = weighted_round_robin.WeightedRoundRobin()
    route = ids.RouteId("r")
    a, b = ids.ServiceId("a"), ids.ServiceId("b")
    for weight in (9, 3):
        shares = (
            configuration.Share(a, weight),
            configuration.Share(b, 10 - weight),
        )
        services = [round_robin.next_service(route, shares) for _ in range(100)]
        assert abs(services.count(a) - 10 * weight) <= 2
