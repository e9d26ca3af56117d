"""Tests that replay targets that hold requests which the gate doesn't count."""

import dataclasses
import heapq
import random

import pytest

from mustardloom.load_control import learned_limit

_PLACES = 5
_QUEUED = 5
_MEAN_MS = 180.0
_FOREIGN_MS = 1_000.0
_DEADLINE_MS = 1_400
_REPLAYED_MS = 30_000


@dataclasses.dataclass(eq=False)
class _Request:
    arrived_ms: float
    work_ms: float
    leaves_ms: float
    started_ms: float = 0.0
    running: int = 0


class _Replay:
    """A target with a queue of its own, and a gate that fills its places.

    Every 10 s the target gets more requests from elsewhere than it can hold, as
    from an earlier daemon process, and a share of callers leaves while their
    requests run, which the target runs to their end.

    Attributes:
      in_time: Requests answered before their deadline.
      lost: Requests that the target could not hold.
    """

    def __init__(self, learns, refuses, foreign, leaving, load=0.9, seed=1):
        self.arrived = self.in_time = self.lost = 0
        self._rng = random.Random(seed)
        self._limit = learned_limit.LearnedLimit()
        self._learns = learns
        self._refuses = refuses
        self._foreign = foreign
        self._events = []
        self._count = 0
        self._queue = []
        self._running = set()
        # Requests that the target runs, and those in its own queue.
        self._at_work = 0
        self._held = []
        now_ms = 0.0
        while now_ms < _REPLAYED_MS:
            now_ms += self._rng.expovariate(load * _PLACES / _MEAN_MS)
            work_ms = _MEAN_MS * self._rng.lognormvariate(-0.08, 0.4)
            leaves_ms = float("inf")
            if self._rng.random() < leaving:
                leaves_ms = now_ms + self._rng.uniform(50, 400)
            self._at(now_ms, self._arrive, _Request(now_ms, work_ms, leaves_ms))
        for start_ms in range(1_000, _REPLAYED_MS, 10_000):
            for _ in range(foreign):
                self._at(start_ms, self._push_foreign)
        while self._events:
            self._now_ms, _, call, args = heapq.heappop(self._events)
            call(*args)

    def _at(self, when_ms, call, *args):
        self._count += 1
        heapq.heappush(self._events, (when_ms, self._count, call, args))

    # The gate.

    def _arrive(self, request):
        self.arrived += 1
        self._queue.append(request)
        self._start()

    def _start(self):
        limit = self._limit.limit(_PLACES) if self._learns else _PLACES
        while self._queue and len(self._running) < limit:
            request = self._queue.pop(0)
            latest_ms = request.arrived_ms + _DEADLINE_MS - _MEAN_MS
            if self._now_ms > min(latest_ms, request.leaves_ms):
                continue
            request.started_ms = self._now_ms
            self._running.add(request)
            request.running = len(self._running)
            if request.leaves_ms < request.arrived_ms + _DEADLINE_MS:
                self._at(request.leaves_ms, self._end, request)
            if not self._push(request):
                self.lost += 1
                noticed_ms = self._now_ms + 3 * _MEAN_MS
                if self._refuses:
                    noticed_ms = self._now_ms + 2
                self._at(noticed_ms, self._overflow, request)

    def _overflow(self, request):
        if request in self._running:
            self._limit.record_overflow(
                request.started_ms, request.running, self._now_ms
            )
            self._end(request)

    def _end(self, request):
        if request in self._running:
            self._running.discard(request)
            self._start()

    def _on_answer(self, request):
        if request in self._running:
            deadline_ms = request.arrived_ms + _DEADLINE_MS
            self.in_time += self._now_ms <= deadline_ms
            self._limit.record_answer()
            self._end(request)

    # The target.

    def _push_foreign(self):
        self._push(_Request(0, _FOREIGN_MS, 0))

    def _push(self, request):
        if self._at_work < _PLACES:
            self._work(request)
        elif len(self._held) < _QUEUED:
            self._held.append(request)
        else:
            return False
        return True

    def _work(self, request):
        self._at_work += 1
        self._at(self._now_ms + request.work_ms, self._done, request)

    def _done(self, request):
        self._at_work -= 1
        if self._held:
            self._work(self._held.pop(0))
        self._on_answer(request)


def _sums(**options):
    """Returns arrivals, requests in time and lost ones; then those before."""
    replays = [
        _Replay(learns, seed=seed, load=load, **options)
        for learns in (True, False)
        for seed in (1, 2, 3)
        for load in (0.7, 0.9, 1.2)
    ]
    now, before = replays[:9], replays[9:]
    return (
        sum(each.in_time for each in now),
        sum(each.lost for each in now),
        sum(each.in_time for each in before),
        sum(each.lost for each in before),
    )


@pytest.mark.parametrize("leaving", [0.0, 0.3])
@pytest.mark.parametrize("refuses", [False, True])
def test_target_that_holds_others_requests_is_not_filled_up(refuses, leaving):
    """Guards against requests that the target loses wave after wave."""
    in_time, lost, in_time_before, lost_before = _sums(
        refuses=refuses, foreign=20, leaving=leaving
    )
    assert lost <= lost_before * 0.75
    assert in_time >= in_time_before * 0.997


def test_target_that_loses_nothing_is_used_as_before():
    """Guards against places that stay empty without need."""
    in_time, _, in_time_before, _ = _sums(refuses=True, foreign=0, leaving=0.0)
    assert in_time == in_time_before


def test_signs_that_belong_together_lower_the_limit_once():
    """Guards against a limit that falls to one place by one late wave."""
    limit = learned_limit.LearnedLimit()
    for _ in range(4):
        limit.record_overflow(started_ms=0, running=6, now_ms=100)
    assert limit.limit(6) == 5
    limit.record_overflow(started_ms=101, running=5, now_ms=120)
    assert limit.limit(6) == 4


def test_limit_never_falls_below_one_place():
    """Guards against a target that gets no request whose answer would help."""
    limit = learned_limit.LearnedLimit()
    for now_ms in range(10):
        limit.record_overflow(started_ms=now_ms, running=1, now_ms=now_ms)
    assert limit.limit(6) == 1
    for _ in range(21):
        limit.record_answer()
    assert limit.limit(6) == 6
