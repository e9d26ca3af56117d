"""Tests that replay callers who return after a refusal, at one target.

Both loads are those of deployments under heavy load: long deadlines, callers
with shorter time-outs of their own and demand that swings; short deadlines and
few places. A fifth of the requests are more urgent, and targets are three times
slower for a fifth of the time, in bursts of 0.4 s.
"""

import dataclasses
import functools
import heapq
import math
import random

import pytest

from mustardloom.load_control import refused_requests
from mustardloom.load_control import urgency
from mustardloom.load_control import waiting

_REPLAYED_MS = 40_000
_SLOW_EVERY_MS = 2_000
_SLOW_MS = 400
_SLOWNESS = 3.0
_MAX_RETRIES = 2
_URGENT_SHARE = 0.2
# How much more an urgent answer is worth.
_URGENT_WORTH = 6
_REFUSAL_DELAY_MS = 40
_MIN_LEFT_MS = 100
_ROUTE = "r"


@dataclasses.dataclass(frozen=True)
class _Load:
    """Demand of a deployment; pairs are ranges.

    Attributes:
      swing: Amplitude of the demand in relation to its mean.
      objective_ms: Objective of the answers, from the first attempt on.
      patience_ms: Time after which a caller gives up an attempt.
    """

    places: int
    swing: float
    period_ms: int
    work_ms: tuple[int, int]
    objective_ms: tuple[int, int]
    deadline_ms: tuple[int, int]
    patience_ms: tuple[int, int] | None = None


_LONG = _Load(
    9, 0.55, 20_000, (100, 250), (800, 2_000), (5_000, 12_000), (1_500, 3_500)
)
_SHORT = _Load(5, 0.4, 15_000, (122, 233), (570, 1_095), (1_250, 1_550))
_LOADS = pytest.mark.parametrize(
    ("load", "rate"),
    [(load, rate) for load in (_LONG, _SHORT) for rate in (0.75, 0.95, 1.2)],
)


@dataclasses.dataclass(eq=False)
class _Request:
    arrived_ms: float
    work_ms: float
    priority: int
    objective_ms: float
    deadline_ms: float
    patience_ms: float
    attempts: int = 0
    refusals: int = 0
    known_objective_ms: int = 0
    is_over: bool = False
    is_away: bool = False


class _Replay:
    """One target with its gate and its callers.

    Attributes:
      arrived: Requests.
      answered: Those answered before their deadline.
      in_time: Those answered within their objective.
      refusals: Refusals of attempts.
      held: Attempts that waited until no time was left.
      payoff: Value of the answers by kind, where a late one counts half.
    """

    def __init__(
        self,
        load,
        rate,
        spreads,
        knows_returns=False,
        refuses_early=False,
        seed=1,
    ):
        self.arrived = self.answered = self.in_time = 0
        self.refusals = self.held = self.payoff = 0
        self._load = load
        self._spreads = spreads
        self._refused_requests = refused_requests.RefusedRequests()
        self._knows_returns = knows_returns
        self._refuses_early = refuses_early
        self._queue = waiting.WaitingQueue()
        self._times = waiting.ServiceTimes()
        self._urgent = urgency.UrgentLoad()
        self._running = 0
        self._empty_ms = 0.0
        self._events = []
        self._count = 0
        self._random = random.Random(seed)
        self._make_requests(random.Random(seed), rate)
        while self._events:
            self._now_ms, _, call, args = heapq.heappop(self._events)
            call(*args)

    @property
    def value(self):
        """Returns the answers, where a late one counts half."""
        return (self.answered + self.in_time) / 2

    def _make_requests(self, rng, rate):
        load = self._load
        now_ms = 0.0
        per_ms = rate * load.places / (sum(load.work_ms) / 2)
        while now_ms < _REPLAYED_MS:
            phase = 2 * math.pi * now_ms / load.period_ms
            now_ms += rng.expovariate(
                per_ms * (1 + load.swing * math.sin(phase))
            )
            patience_ms = math.inf
            if load.patience_ms is not None:
                patience_ms = rng.uniform(*load.patience_ms)
            request = _Request(
                now_ms,
                rng.uniform(*load.work_ms) * rng.lognormvariate(-0.045, 0.3),
                0 if rng.random() < _URGENT_SHARE else 1,
                rng.uniform(*load.objective_ms),
                now_ms + rng.uniform(*load.deadline_ms),
                patience_ms,
            )
            self.arrived += 1
            self._at(now_ms, self._attempt, request)

    def _at(self, when_ms, call, *args):
        self._count += 1
        heapq.heappush(self._events, (when_ms, self._count, call, args))

    # Callers.

    def _attempt(self, request):
        request.attempts += 1
        request.is_away = False
        if not self._admit(request):
            return
        if request.patience_ms < math.inf:
            when_ms = self._now_ms + request.patience_ms
            self._at(when_ms, self._lose_patience, request, request.attempts)

    def _lose_patience(self, request, attempt):
        if self._is_outdated(request, attempt) or request.is_away:
            return
        for _, item in list(self._queue):
            if item[0] is request:
                self._queue.remove(item)
        self._retry(request, 0)

    def _refuse(self, request, retry_ms):
        self.refusals += 1
        request.refusals += 1
        self._refused_requests.record_refusal(
            id(request), request.known_objective_ms, round(request.deadline_ms)
        )
        left_ms = request.deadline_ms - self._now_ms
        if self._spreads:
            retry_ms = waiting.honoured_retry_ms(
                round(retry_ms), round(left_ms), self._random.random()
            )
        self._retry(request, max(10, min(retry_ms, left_ms / 3)))

    def _retry(self, request, after_ms):
        when_ms = self._now_ms + after_ms
        if (
            request.attempts > _MAX_RETRIES
            or when_ms + _MIN_LEFT_MS > request.deadline_ms
        ):
            request.is_over = True
            return
        request.is_away = True
        self._at(when_ms, self._attempt, request)

    def _is_outdated(self, request, attempt):
        return request.is_over or request.attempts != attempt

    # The gate.

    def _demand(self, request):
        objective_ms = round(self._now_ms + request.objective_ms)
        if self._knows_returns:
            objective_ms = self._refused_requests.objective_ms(
                id(request), objective_ms, round(request.deadline_ms)
            )
        request.known_objective_ms = objective_ms
        return waiting.RequestDemand(
            request.priority,
            False,
            objective_ms,
            request.deadline_ms,
            self._times.expected_ms(_ROUTE),
        )

    def _admit(self, request):
        now_ms, places = self._now_ms, self._load.places
        self._expire()
        if not len(self._queue):
            self._empty_ms = now_ms
        demand = self._demand(request)
        decision = waiting.decide_admission(
            demand,
            now_ms,
            self._running,
            places,
            self._queue.work_ahead_ms(demand, now_ms),
            len(self._queue),
            self._times.overall_mean_ms(now_ms),
            now_ms - self._empty_ms > waiting.STANDING_QUEUE_MS,
            self._urgent.share_above(demand.rank, now_ms, places),
            late_waiting=self._queue.late_count(),
        )
        if decision.admitted:
            self._urgent.record(demand.rank, demand.service_ms, now_ms)
            self._queue.push(demand, (request, request.attempts), now_ms)
            self._start()
            return True
        retry_ms = decision.retry_after_ms
        if self._spreads:
            retry_ms = waiting.spread_retry_ms(
                decision.room_ms, decision.wait_ms, self._random.random()
            )
        self._refuse(request, retry_ms)
        return False

    def _expire(self):
        end_ms = self._now_ms + _REFUSAL_DELAY_MS
        for request, attempt in self._queue.take_unservable(end_ms):
            if not self._is_outdated(request, attempt):
                self.held += 1
                self._refuse(request, 0)
        if not self._refuses_early:
            return
        for (request, attempt), wait_ms in self._queue.take_blocked(
            end_ms, self._load.places
        ):
            if not self._is_outdated(request, attempt):
                retry_ms = waiting.spread_retry_ms(
                    0.0, wait_ms, self._random.random()
                )
                self._refuse(request, retry_ms)

    def _start(self):
        while len(self._queue) and self._running < self._load.places:
            taken = self._queue.take(self._now_ms)
            assert taken is not None
            request, attempt = taken
            if self._is_outdated(request, attempt):
                continue
            self._running += 1
            end_ms = _end_ms(self._now_ms, request.work_ms)
            self._at(end_ms, self._done, request, attempt, self._now_ms)

    def _done(self, request, attempt, started_ms):
        self._running -= 1
        now_ms = self._now_ms
        self._times.record(_ROUTE, now_ms - started_ms, round(now_ms))
        if not self._is_outdated(request, attempt):
            request.is_over = True
            is_answered = now_ms <= request.deadline_ms
            is_in_time = now_ms <= request.arrived_ms + request.objective_ms
            self.answered += is_answered
            self.in_time += is_in_time
            worth = 1 if request.priority else _URGENT_WORTH
            self.payoff += worth * (is_answered + is_in_time) / 2
        self._expire()
        self._start()


def _end_ms(start_ms, work_ms):
    """Returns when work ends on a target that is slow in bursts."""
    now_ms, left_ms = start_ms, work_ms
    while True:
        in_period_ms = now_ms % _SLOW_EVERY_MS
        is_slow = in_period_ms < _SLOW_MS
        until_ms = _SLOW_MS if is_slow else _SLOW_EVERY_MS
        speed = 1 / _SLOWNESS if is_slow else 1.0
        possible_ms = (until_ms - in_period_ms) * speed
        if left_ms <= possible_ms:
            return now_ms + left_ms / speed
        left_ms -= possible_ms
        now_ms += until_ms - in_period_ms


@functools.cache
def _replay(load, rate, **options):
    return [_Replay(load, rate, seed=seed, **options) for seed in (1, 2, 3)]


def _sum(replays, name):
    return sum(getattr(each, name) for each in replays)


def _now(load, rate):
    return _replay(
        load, rate, spreads=True, knows_returns=True, refuses_early=True
    )


@_LOADS
def test_callers_that_return_spread_out_get_more_answers_in_time(load, rate):
    """Guards against callers that return together, when the queue is full."""
    spread = _replay(load, rate, spreads=True)
    before = _replay(load, rate, spreads=False)
    assert _sum(spread, "in_time") >= _sum(before, "in_time")
    assert _sum(spread, "value") >= _sum(before, "value") * 0.998


@_LOADS
def test_requests_that_return_are_refused_less_and_displace_no_others(
    load, rate
):
    """Guards against refusals again and again, and against answers too late.

    A request that returned counted as a new one that could be in time.
    """
    now = _now(load, rate)
    before = _replay(load, rate, spreads=False)
    assert _sum(now, "refusals") <= _sum(before, "refusals") * 0.9
    assert _sum(now, "in_time") >= _sum(before, "in_time")
    assert _sum(now, "value") >= _sum(before, "value")
    assert _sum(now, "payoff") >= _sum(before, "payoff")


@pytest.mark.parametrize("rate", [0.75, 0.95, 1.2])
def test_requests_that_cannot_be_served_are_refused_at_once(rate):
    """Guards against requests that are held until no time is left."""
    now = _now(_SHORT, rate)
    held = _replay(_SHORT, rate, spreads=True, knows_returns=True)
    assert _sum(now, "held") <= _sum(held, "held") / 10
    assert _sum(now, "value") >= _sum(held, "value") * 0.995


def test_requests_behind_more_urgent_ones_are_removed_with_their_wait():
    """Guards against waits that can end only in a refusal at the deadline."""
    queue = waiting.WaitingQueue()
    late = waiting.RequestDemand(1, False, -1, 400, 100)
    in_time = waiting.RequestDemand(1, False, 900, 1_000, 100)
    queue.push(late, "late", 0)
    for number in range(6):
        queue.push(in_time, number, 0)
    assert queue.take_blocked(0, places=2) == []
    queue.push(in_time, 6, 0)
    assert queue.take_blocked(0, places=2) == [("late", 350)]
    assert len(queue) == 7


def test_equal_requests_of_other_callers_are_not_taken_for_returns():
    """Guards against new requests that count as late."""
    known = refused_requests.RefusedRequests()
    known.record_refusal(7, objective_ms=300, deadline_ms=1_200)
    assert known.objective_ms(7, objective_ms=900, deadline_ms=1_800) == 900
    assert known.objective_ms(8, objective_ms=900, deadline_ms=1_200) == 900
    assert known.objective_ms(7, objective_ms=900, deadline_ms=1_200) == 300


def test_remembered_refusals_are_bounded():
    """Guards against memory that grows with each refusal of an overload."""
    known = refused_requests.RefusedRequests()
    for number in range(10_000):
        known.record_refusal(number, 300, 1_200)
        known.record_refusal(0, 300, number)
    assert len(known) <= 4_096


def test_callers_refused_together_do_not_return_together():
    """Guards against the next crowd at the moment that ends this one."""
    rng = random.Random(1)
    times = [
        waiting.spread_retry_ms(100.0, 800.0, rng.random()) for _ in range(90)
    ]
    assert min(times) >= 400
    assert max(times) <= 800
    per_100_ms = [sum(t // 100 == n for t in times) for n in range(4, 8)]
    assert max(per_100_ms) <= 40


@pytest.mark.parametrize("left_ms", [0, 30, 400, 1_200, 9_000])
@pytest.mark.parametrize("fraction", [0.0, 0.5, 0.999])
def test_time_to_return_is_within_a_third_of_what_is_left(left_ms, fraction):
    """Guards against callers that return too late to be answered."""
    for retry_ms in (0, 50, 300, 5_000):
        told_ms = waiting.honoured_retry_ms(retry_ms, left_ms, fraction)
        assert 0 <= told_ms <= left_ms / 3
        assert told_ms <= retry_ms
