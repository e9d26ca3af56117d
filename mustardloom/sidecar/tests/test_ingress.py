"""Tests of the ingress with a scripted router and a fake clock."""

import asyncio
import os

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import configuration
from mustardloom.http1 import messages
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import events
from mustardloom.sidecar import ingress as ingress_lib
from mustardloom.sidecar import request_ends
from mustardloom.sidecar import work

_SERVICE = ids.ServiceId("s")
_OBJECTIVE_MS = 300
_OVERLOADED = work.Refused(work.RefusalReason.OVERLOADED, 120)


class _Router:
    """Fake router; `outcome` is that of the next requests.

    Attributes:
      gates: Gates that have the next requests.
      routed: Requests so far.
    """

    def __init__(self):
        self.outcome: work.Outcome = _OVERLOADED
        self.gates = 0
        self.routed = []

    async def route(self, request, route, service):
        self.routed.append(request)
        request.progress.gates = self.gates
        return self.outcome


class _Harness:
    """An ingress with one route."""

    service_by_name: dict[ids.ServiceId, configuration.Service] = {}
    has_organisations = False

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.router = _Router()
        null = os.open(os.devnull, os.O_WRONLY)
        self.metrics = metrics = metrics_lib.Metrics()
        self.stop = stop_admission.StopAdmission(self.clock)
        self.ingress = ingress_lib.Ingress(
            self.router,
            _SERVICE,
            self._configuration,
            self.clock,
            events.EventLog("vm", self.clock, metrics, null),
            metrics,
            request_ends.RequestEnds(metrics, self.stop),
        )

    def _configuration(self):
        return self

    def route_for(self, host, target):
        return configuration.Route(
            name=ids.RouteId("r"),
            host="h",
            prefix="/",
            shares=(configuration.Share(_SERVICE, 1),),
            kind=configuration.RequestKind.IDEMPOTENT,
            timeout_ms=5_000,
            objective_ms=_OBJECTIVE_MS,
            max_attempts=2,
            priority=1,
            home_regions=frozenset(),
        )

    async def ask(self, deadline_ms, target="/a"):
        """Sends a request; returns its response and its objective."""
        headers = (
            (b"Host", b"h"),
            (b"X-Request-Id", b"id"),
            (b"X-Deadline-Ms", b"%d" % deadline_ms),
        )
        now_ms = self.clock.now_ms()
        request = messages.Request("GET", target, headers, b"", now_ms)
        response = await self.ingress.handle(request)
        return response, self.router.routed[-1].objective_ms - now_ms


def _retry_after_ms(response):
    return 1_000 * float(dict(response.headers)[b"Retry-After"])


def test_objective_of_a_request_that_returns_counts_from_its_first_attempt():
    """Guards against answers that displace others that can be in time."""

    async def scenario():
        harness = _Harness()
        objectives = [(await harness.ask(1_200))[1]]
        for left_ms in (1_000, 800):
            await harness.clock.advance(200)
            objectives.append((await harness.ask(left_ms))[1])
        harness.router.outcome = work.Answered(messages.Response(200))
        objectives.append((await harness.ask(800))[1])
        objectives.append((await harness.ask(800))[1])
        objectives.append((await harness.ask(800, "/b"))[1])
        return objectives

    assert asyncio.run(scenario()) == [300, 100, -100, -100, 300, 300]


def test_caller_is_told_to_return_within_a_third_of_its_time():
    """Guards against callers that return too late, or all at that moment."""

    async def scenario():
        harness = _Harness()
        harness.router.outcome = work.Refused(
            work.RefusalReason.OVERLOADED, 2_000
        )
        return [
            _retry_after_ms((await harness.ask(900, f"/{number}"))[0])
            for number in range(40)
        ]

    times = asyncio.run(scenario())
    assert max(times) <= 300
    assert min(times) >= 140
    assert len(set(times)) > 5


def test_own_answers_are_counted_by_step_of_the_stop_and_by_progress():
    """Guards against answers of our own whose moment nobody can tell."""

    async def scenario():
        harness = _Harness()
        await harness.ask(1_200)
        harness.stop.begin(6_000)
        harness.router.outcome = work.Failed(work.FailureReason.DEADLINE)
        harness.router.gates = 1
        await harness.ask(1_200)
        return {
            name: count
            for name, count in harness.metrics.counters.items()
            if name.startswith("ends.")
        }

    assert asyncio.run(scenario()) == {
        "ends.answer.503.not-passed-on.serving": 1,
        "ends.answer.504.passed-on.notice": 1,
    }
