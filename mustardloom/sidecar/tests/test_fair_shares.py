"""Replays load of several organisations against the limits of one target."""

import asyncio
import collections
import heapq
import random

import hypothesis
from hypothesis import strategies
import pytest

from mustardloom import ids
from mustardloom.load_control import fair_shares
from mustardloom.load_control import waiting
from mustardloom.sidecar import work
from mustardloom.sidecar.gate import limits as limits_lib
from mustardloom.sidecar.gate import ticket as ticket_lib

_CAPACITY = 6
_MEAN_SERVICE_MS = 60
_WARM_UP_MS = 10_000
_END_MS = 70_000
# No organisation is to be served less often than this, relative to all.
_LEAST_RELATIVE = 0.25


class _Load:
    """Requests of one organisation.

    Attributes:
      per_s: Requests a second.
      burst: How many come at once.
    """

    def __init__(self, name, per_s, priority=1, burst=1, objective_ms=300):
        self.name = None if name is None else ids.OrganisationId(name)
        self.per_s = per_s
        self.priority = priority
        self.burst = burst
        self.objective_ms = objective_ms


class _Target:
    """One target behind its limits and its queue, in simulated time."""

    def __init__(self, loop, seed):
        self.offered = collections.Counter()
        self.started = collections.Counter()
        self._random = random.Random(seed)
        self._limits = limits_lib.TargetLimits(1.5, 0)
        self._limits.capacity = _CAPACITY
        self._queue = waiting.WaitingQueue()
        self._loop = loop
        self._ends = []

    def run(self, loads):
        arrivals = []
        for load in loads:
            at_ms = 0.0
            while at_ms < _END_MS:
                mean_ms = 1_000 * load.burst / load.per_s
                at_ms += self._random.expovariate(1 / mean_ms)
                arrivals.extend([(at_ms, load)] * load.burst)
        arrivals.sort(key=lambda each: each[0])
        for at_ms, load in arrivals:
            self._run_until(at_ms)
            self._arrive(load, round(at_ms))
        return self

    def relative(self, name):
        """Returns how often one organisation is served, relative to all."""
        everything = self.started.total() / self.offered.total()
        return self.started[name] / self.offered[name] / everything

    def _arrive(self, load, now_ms):
        request = work.Work(
            service=ids.ServiceId("s"),
            method="GET",
            target="/",
            headers=(),
            body=b"",
            request_id="r",
            route=ids.RouteId("r"),
            caller_service=ids.ServiceId("s"),
            is_idempotent=True,
            priority=load.priority,
            objective_ms=now_ms + load.objective_ms,
            deadline_ms=now_ms + 1_200,
            key=None,
            fingerprint=0,
            is_call=False,
            organisation=load.name,
        )
        if now_ms >= _WARM_UP_MS:
            self.offered[load.name] += 1
        refusal = self._limits.refusal(
            request, self._queue, len(self._ends), now_ms
        )
        if refusal is not None:
            self._limits.shares.record(load.name, False, now_ms)
            return
        demand = self._limits.demand_of(request, self._queue)
        self._limits.record_admission(demand, now_ms)
        outcome = self._loop.create_future()
        ticket = ticket_lib.Ticket(request, outcome, now_ms)
        self._queue.push(demand, ticket, now_ms)
        self._start(now_ms)

    def _run_until(self, now_ms):
        while self._ends and self._ends[0] <= now_ms:
            self._start(heapq.heappop(self._ends))

    def _start(self, now_ms):
        for ticket in self._queue.take_unservable(now_ms):
            name = ticket.request.organisation
            self._limits.shares.record(name, False, now_ms)
        while len(self._queue) and len(self._ends) < _CAPACITY:
            ticket = self._queue.take(now_ms)
            name = ticket.request.organisation
            service_ms = self._random.expovariate(1 / _MEAN_SERVICE_MS)
            heapq.heappush(self._ends, now_ms + service_ms)
            self._limits.service_times.record("r", service_ms, round(now_ms))
            self._limits.shares.record(name, True, now_ms)
            if ticket.arrived_ms >= _WARM_UP_MS:
                self.started[name] += 1


def _replay(loads, seed=1):
    loop = asyncio.new_event_loop()
    try:
        return _Target(loop, seed).run(loads)
    finally:
        loop.close()


_SMALL = [_Load(f"small-{index}", per_s=5) for index in range(6)]


@pytest.mark.parametrize("burst", [1, 40])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_equally_urgent_flood_keeps_no_request_of_others_out(burst, seed):
    """Guards against refusals of a few requests because of very many others.

    Without the rule, a fifth of them is served.
    """
    flood = _Load("big", per_s=400, burst=burst)
    found = _replay([flood, *_SMALL], seed)
    assert found.started[flood.name] > 0.5 * found.started.total()
    for load in _SMALL:
        served = found.started[load.name] / found.offered[load.name]
        assert served > 0.9


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "loads",
    [
        [_Load("big", 400, priority=0), *_SMALL],
        [_Load("big", 100, priority=0), *_SMALL],
        [_Load("a", 80, 0), _Load("b", 60, 1), _Load("c", 40, 2)],
        # The objectives of some are shorter than their service times.
        [
            _Load("big", 400, 0),
            _Load("late", 10, 2, objective_ms=40),
            _Load("late and urgent", 10, 0, objective_ms=40),
        ],
        [_Load(f"many-{index}", per_s=10) for index in range(20)],
    ],
)
def test_no_organisation_is_served_less_than_a_quarter_as_often(loads, seed):
    """Guards against an urgent organisation that takes the whole target."""
    found = _replay(loads, seed)
    assert found.started.total() < 0.9 * found.offered.total()
    for load in loads:
        assert found.relative(load.name) >= _LEAST_RELATIVE


def test_more_urgent_organisation_is_served_more_often():
    """Guards against a protection of others that ends all priorities."""
    loads = [_Load("a", 80, 0), _Load("b", 60, 1), _Load("c", 40, 2)]
    found = _replay(loads)
    served = [found.relative(load.name) for load in loads]
    assert served == sorted(served, reverse=True)
    assert found.started[loads[0].name] > 0.95 * found.offered[loads[0].name]


_DEMANDS = strategies.builds(
    waiting.RequestDemand,
    priority=strategies.integers(0, 2),
    is_call=strategies.booleans(),
    objective_ms=strategies.integers(0, 400),
    deadline_ms=strategies.integers(0, 9),
    service_ms=strategies.sampled_from((20, 100)),
)


@hypothesis.given(demands=strategies.lists(_DEMANDS, max_size=12))
@hypothesis.settings(derandomize=True, deadline=None)
def test_order_without_organisations_is_by_priority_and_deadline(demands):
    """Guards against a change where no organisations are configured."""
    limits = limits_lib.TargetLimits(1.5, 0)
    limits.shares.record(None, False, 0)
    assert not limits.shares.is_underserved(None)
    queue = waiting.WaitingQueue()
    for number, demand in enumerate(demands):
        queue.push(demand, number, 0)
    expected = sorted(
        range(len(demands)),
        key=lambda number: (
            demands[number].service_ms > demands[number].objective_ms,
            not demands[number].is_call,
            demands[number].priority,
            demands[number].deadline_ms,
            number,
        ),
    )
    assert [item for _, item in queue] == expected
    assert [queue.take(0) for _ in demands] == expected


def test_organisations_without_requests_are_forgotten():
    """Guards against memory that grows with every organisation ever seen."""
    shares = fair_shares.ServedShares()
    for number in range(1_000):
        shares.record(ids.OrganisationId(f"o{number}"), False, 0)
    for now_ms in range(0, 200_000, 1_000):
        shares.record(ids.OrganisationId("active"), True, now_ms)
    assert list(shares._counts_by_organisation) == ["active"]
