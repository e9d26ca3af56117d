"""Tests of slow start, adaptive limit, quarantine and health check."""

import asyncio

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.admission import gate as gate_lib
from mustardloom.admission import health_check
from mustardloom.admission import limits
from mustardloom.admission import warmup as warmup_lib
from mustardloom.admission.tests import support
from mustardloom.load_control import quarantine as quarantine_lib

CAPACITY = 6
HEALTHY = dispatch_lib.Probe(True, True, "i1")
UNRESPONSIVE = dispatch_lib.Probe(False, True)
UNREACHABLE = dispatch_lib.Probe(False, False)


class Target:
    """Fake target and lease, with settable service time and health."""

    def __init__(self, clock):
        self.clock = clock
        self.service_ms = 10
        self.instance = "i1"
        self.probe_result = HEALTHY

    async def dispatch(self, request, dispatch):
        await self.clock.sleep_ms(self.service_ms)
        answer = outcomes.Answered(200, (), b"")
        return dispatch_lib.DispatchResult(answer, self.instance)

    async def cancel(self, dispatch_id):
        return True

    async def probe(self):
        return self.probe_result

    def is_held(self):
        return True

    def expires_ms(self):
        return self.clock.now_ms() + 1_000


class Harness:
    """A gate with a fake target, driven by a fake clock."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.target = Target(self.clock)
        self.down_changes: list[bool] = []
        self.gate = gate_lib.Gate(
            self.clock,
            self.target,
            self.target,
            CAPACITY,
            metrics_lib.Metrics(),
            on_target_down=self.down_changes.append,
        )

    def send(self, deadline_ms=1_000):
        """Starts one request."""
        request = support.make_request(self.clock, deadline_ms)
        return asyncio.create_task(
            self.gate.run(request, None, dispatch_lib.NoSlotPermit())
        )

    async def serve(self, count):
        """Runs requests one after the other."""
        results = []
        for _ in range(count):
            task = self.send()
            await self.clock.advance(self.target.service_ms)
            results.append(await task)
        return results


async def _warm_harness():
    harness = Harness()
    await harness.serve(40)
    assert harness.gate.limit == CAPACITY
    return harness


def test_a_new_instance_is_cold():
    """Guards against full load on a target after an unnoticed restart."""

    async def scenario():
        harness = await _warm_harness()
        harness.target.instance = "i2"
        await harness.serve(1)
        return harness.gate.limit

    assert asyncio.run(scenario()) <= 2


def test_a_rise_of_the_service_time_means_cold():
    """Guards against full load on a target that is cold without restart."""

    async def scenario():
        harness = await _warm_harness()
        harness.target.service_ms = 31
        await harness.serve(2)
        before = harness.gate.limit
        await harness.serve(1)
        after = harness.gate.limit
        # By now the median follows the new service time.
        await harness.serve(40)
        return before, after, harness.gate.limit

    assert asyncio.run(scenario()) == (CAPACITY, 1, CAPACITY)


def test_requests_that_cannot_finish_are_refused_at_once():
    """Guards against work whose answer comes after its deadline."""

    async def scenario():
        harness = await _warm_harness()
        first, second = harness.send(9), harness.send(9)
        await harness.clock.advance(0)
        refused_at_once = second.done() and not first.done()
        await harness.clock.advance(20)
        return refused_at_once, first.result(), second.result()

    at_once, first, second = asyncio.run(scenario())
    assert at_once
    assert second.reason is outcomes.RefusalReason.DEADLINE
    # An idle target gets the request anyway; otherwise no new service time
    # could ever correct the estimate.
    assert isinstance(first, outcomes.Answered)


def test_the_adaptive_limit_follows_the_service_time():
    """Guards against a limit that stays high while the target slows down."""
    limit = limits.AdaptiveLimit(CAPACITY)
    times = limits.ServiceTimes()
    for service_ms, expected in ((10, CAPACITY), (25, CAPACITY // 2)):
        for _ in range(40):
            times.add(service_ms)
            limit.update(times)
        assert limit.value == expected
    for _ in range(300):
        times.add(10)
        limit.update(times)
    assert limit.value == CAPACITY


def test_warmup_grows_by_one_for_each_limit_of_successes():
    """Guards against a limit that rises faster than the target warms up."""
    warmup = warmup_lib.Warmup(CAPACITY)
    values = []
    for _ in range(16):
        warmup.record_success(10, 0)
        values.append(warmup.value)
    assert values == [2, 2, 3, 3, 3, 4, 4, 4, 4, 5, 5, 5, 5, 5, 6, 6]


def test_quarantine_ends():
    """Guards against a request that is refused for ever."""
    clock = clock_lib.FakeClock()
    quarantine = quarantine_lib.Quarantine(clock, lambda *_: None)
    quarantine.record_crash(_without_regions(1))
    quarantine.record_crash(_without_regions(1))
    quarantine.record_success(1, frozenset())
    clock.jump(quarantine_lib.QUARANTINE_MS - 1)
    assert quarantine.is_quarantined(1)
    clock.jump(1)
    assert not quarantine.is_suspect(1)


def test_gates_share_their_suspects():
    """Guards against a request that crashes all targets of a service."""
    clock = clock_lib.FakeClock()
    here = quarantine_lib.Quarantine(clock, lambda *_: None)
    there = quarantine_lib.Quarantine(
        clock,
        lambda fingerprint, crashes, _: here.record_peer_report(
            fingerprint, crashes
        ),
    )
    there.record_crash(_without_regions(1, 2))
    assert here.is_suspect(1)
    # Crashes that two targets report at the same time count as two.
    here.record_crash(_without_regions(2))
    assert here.is_quarantined(2)
    there.record_success(1, frozenset())
    assert not here.is_suspect(1)
    here.record_crash(_without_regions(3))
    there.record_crash(_without_regions(3))
    assert here.is_quarantined(3)


@pytest.mark.parametrize(
    ("probe", "limit_ms"),
    [
        (UNREACHABLE, health_check.DOWN_AFTER_MS),
        (UNRESPONSIVE, health_check.UNRESPONSIVE_AFTER_MS),
    ],
)
def test_a_target_that_fails_probes_too_long_is_down(probe, limit_ms):
    """Guards against a lost or frozen target that keeps its slots."""

    async def scenario():
        harness = await _warm_harness()
        probing = asyncio.create_task(harness.gate.health_check.run())
        await harness.clock.advance(2_000)
        harness.target.probe_result = probe
        if probe is UNREACHABLE:
            harness.gate.health_check.record_failure()
            await harness.clock.advance(limit_ms - 1)
        else:
            await harness.clock.advance(limit_ms)
        early = list(harness.down_changes)
        await harness.clock.advance(700)
        late = list(harness.down_changes)
        (refused,) = await harness.serve(1)
        assert refused.reason is outcomes.RefusalReason.TARGET_DOWN
        harness.target.probe_result = HEALTHY
        await harness.clock.advance(100)
        probing.cancel()
        return early, late, harness.down_changes, harness.gate.limit

    early, late, down_changes, limit = asyncio.run(scenario())
    assert (early, late, down_changes) == ([], [True], [True, False])
    assert limit == 1


def test_waiting_ends_at_the_deadline():
    """Guards against refusing an expired request only at its turn."""

    async def scenario():
        harness = Harness()
        harness.target.service_ms = 500
        sends = [harness.send(), harness.send(50), harness.send(20)]
        await harness.clock.advance(50)
        return [send.done() for send in sends], sends[1].result()

    done, refused = asyncio.run(scenario())
    assert done == [False, True, True]
    assert refused.reason is outcomes.RefusalReason.DEADLINE


def _without_regions(*fingerprints):
    return dict.fromkeys(fingerprints, frozenset())


def test_suspects_are_reported_with_their_regions():
    """Guards against sending fingerprints outside of the home regions."""
    notifications = []
    quarantine = quarantine_lib.Quarantine(
        clock_lib.FakeClock(),
        lambda *notification: notifications.append(notification),
    )
    home = frozenset({ids.RegionId("ziwa")})
    quarantine.record_crash({7: home})
    quarantine.record_success(7, home)
    assert notifications == [(7, 1, home), (7, 0, home)]
