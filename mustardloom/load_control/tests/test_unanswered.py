"""Tests that replay requests that a target leaves without an answer."""

import dataclasses
import heapq
import random

import pytest

from mustardloom.load_control import unanswered
from mustardloom.load_control import waiting

_PLACES = 5
_DEADLINE_MS = 1_400
_MEAN_MS = 180.0
_BURST_MS = 400
_BURST_EVERY_MS = 2_000
_SLOWNESS = 3.0
_REPLAYED_MS = 60_000
_ROUTE = "r"


def _end_ms(start_ms, work_ms):
    """Returns when work ends on a target that is slow in bursts."""
    now_ms, left_ms = start_ms, work_ms
    while True:
        in_period_ms = now_ms % _BURST_EVERY_MS
        is_slow = in_period_ms < _BURST_MS
        until_ms = _BURST_MS if is_slow else _BURST_EVERY_MS
        speed = 1 / _SLOWNESS if is_slow else 1.0
        possible_ms = (until_ms - in_period_ms) * speed
        if left_ms <= possible_ms:
            return now_ms + left_ms / speed
        left_ms -= possible_ms
        now_ms += until_ms - in_period_ms


@dataclasses.dataclass(eq=False)
class _Request:
    arrived_ms: int
    work_ms: float
    is_dropped: bool
    started_ms: int = 0


class _Replay:
    """One target at `load` of its capacity, by events of whole ms.

    Attributes:
      in_time: Requests that were answered before their deadline, there or at
        another target.
      given_up: Requests that were given up while the target ran them.
    """

    def __init__(self, gives_up, drops, load=0.8, seed=1):
        self.in_time = self.given_up = self.arrived = 0
        self._gives_up = gives_up
        self._times = waiting.ServiceTimes()
        self._history = unanswered.AnswerHistory()
        self._running = {}
        self._queue = []
        self._ends = []
        rng = random.Random(seed)
        # A third of the speed for a fifth of the time.
        rate_per_ms = load * _PLACES / _MEAN_MS * (0.8 + 0.2 / _SLOWNESS)
        now = 0.0
        while now < _REPLAYED_MS:
            now += rng.expovariate(rate_per_ms)
            self._run_until(round(now))
            work_ms = _MEAN_MS * rng.lognormvariate(-0.08, 0.4)
            self.arrived += 1
            self._queue.append(
                _Request(round(now), work_ms, rng.random() < drops)
            )
            self._start(round(now))
        self._run_until(_REPLAYED_MS + 3_000)

    def _start(self, now_ms):
        while self._queue and len(self._running) < _PLACES:
            request = self._queue.pop(0)
            if now_ms + _MEAN_MS > request.arrived_ms + _DEADLINE_MS:
                continue
            request.started_ms = now_ms
            self._running[request] = None
            end_ms = request.arrived_ms + _DEADLINE_MS
            if not request.is_dropped:
                end_ms = min(end_ms, round(_end_ms(now_ms, request.work_ms)))
            heapq.heappush(self._ends, (end_ms, id(request), request))

    def _run_until(self, until_ms):
        while self._ends and self._ends[0][0] <= until_ms:
            now_ms, _, request = heapq.heappop(self._ends)
            if request not in self._running:
                continue
            del self._running[request]
            if now_ms < request.arrived_ms + _DEADLINE_MS:
                self.in_time += 1
                duration_ms = now_ms - request.started_ms
                self._times.record(_ROUTE, duration_ms, now_ms)
                self._history.record(
                    request.started_ms,
                    duration_ms,
                    self._times.expected_ms(_ROUTE),
                    now_ms,
                )
            if self._gives_up:
                self._give_up(now_ms)
            self._start(now_ms)

    def _give_up(self, now_ms):
        expected_ms = self._times.measured_ms(_ROUTE)
        if expected_ms is None:
            return
        for request in list(self._running):
            left_ms = request.arrived_ms + _DEADLINE_MS - now_ms
            if unanswered.has_time_for_retry(
                left_ms, expected_ms
            ) and self._history.is_unanswered(
                request.started_ms, now_ms, expected_ms, _PLACES
            ):
                del self._running[request]
                self.given_up += not request.is_dropped
                # Another target of the same speed, without a queue.
                self.in_time += request.work_ms <= left_ms


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_dropped_requests_are_answered_elsewhere(seed):
    """Guards against a place and a caller that wait for a silent connection."""
    now = _Replay(True, drops=0.05, seed=seed)
    before = _Replay(False, drops=0.05, seed=seed)
    lost, lost_before = (each.arrived - each.in_time for each in (now, before))
    assert lost <= lost_before / 2


@pytest.mark.parametrize("load", [0.5, 0.8, 1.1])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_requests_are_not_taken_for_unanswered_ones(load, seed):
    """Guards against attempts that are spent on a target that is only slow."""
    replay = _Replay(True, drops=0.0, load=load, seed=seed)
    assert replay.given_up <= replay.arrived / 500


def test_no_request_of_a_target_that_stands_still_is_given_up():
    """Guards against a frozen target that loses all its requests at once."""
    history = unanswered.AnswerHistory()
    for start_ms in range(0, 1_000, 20):
        history.record(start_ms, 100, 100.0, start_ms + 100)
    assert not history.is_unanswered(990, 10_000, 100.0, _PLACES)


def test_service_times_that_vary_more_raise_the_limit():
    """Guards against long requests of a mixed route that are given up."""
    history = unanswered.AnswerHistory()
    history.record(0, 1_000, 100.0, 1_000)
    for start_ms in range(1_000, 3_000, 20):
        history.record(start_ms, 50, 100.0, start_ms + 50)
    assert not history.is_unanswered(990, 2_100, 100.0, _PLACES)
    assert history.is_unanswered(990, 2_300, 100.0, _PLACES)
