"""Tests of the gate with a scripted target."""

import asyncio
import dataclasses
import os

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import targets
from mustardloom.http1 import messages
from mustardloom.load_control import quarantine
from mustardloom.sidecar import events
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import work

_SERVICE = ids.ServiceId("s")
_LIFE = targets.TargetInstance(targets.TargetId("t"), 1)
_OK = target_connections.SendResult(work.Answered(messages.Response(200)))
_BROKEN = target_connections.SendResult(
    work.Failed(work.FailureReason.TARGET_LOST), is_connection_lost=True
)
_GONE = target_connections.SendResult(
    work.Refused(work.RefusalReason.TARGET_DOWN), is_connection_refused=True
)


class _Connections:
    """Requests that the target has, each answered by the test."""

    def __init__(self):
        self.open = []

    async def send(self, request, target):
        del target
        answer = asyncio.get_running_loop().create_future()
        self.open.append((request, answer))
        try:
            return await answer
        finally:
            self.open.remove((request, answer))

    def close(self):
        pass

    def answer(self, exchange, number=0):
        self.open[number][1].set_result(exchange)


class _Keys:
    """Holds the keys in `held`."""

    def __init__(self):
        self.held = set()
        self.coming = set()
        self.demand = 0

    def check(self, key):
        return gate_lib.KeyCheck(key in self.held, key in self.coming)

    def count_request(self, key):
        self.demand += 1


class _World:
    """A gate with its surroundings."""

    def __init__(self, capacity=2):
        self.clock = clock_lib.FakeClock()
        self.connections = _Connections()
        self.keys = _Keys()
        metrics = metrics_lib.Metrics()
        self.null = os.open(os.devnull, os.O_WRONLY)
        log = events.EventLog("vm", self.clock, metrics, self.null)
        self.gate = gate_lib.Gate(
            _SERVICE,
            self.connections,
            quarantine.Quarantine(self.clock, lambda *_: None, 3),
            self.clock,
            log,
            metrics,
            self.keys,
            1.5,
        )
        self.gate.on_heartbeat(_LIFE, capacity)

    def request(self, name="r", **changes):
        now_ms = self.clock.now_ms()
        made = work.Work(
            service=_SERVICE,
            method="GET",
            target="/",
            headers=(),
            body=b"",
            request_id=name,
            route=ids.RouteId("route"),
            caller_service=_SERVICE,
            is_idempotent=True,
            priority=1,
            objective_ms=now_ms + 300,
            deadline_ms=now_ms + 1_200,
            key=None,
            fingerprint=hash(name),
            is_call=False,
        )
        return dataclasses.replace(made, **changes)

    async def start(self, *names, **changes):
        tasks = [
            asyncio.ensure_future(
                self.gate.run(self.request(name, **changes), True)
            )
            for name in names
        ]
        await self.clock.advance(0)
        return tasks


def _run(scenario, **world):
    async def run():
        made = _World(**world)
        try:
            return await scenario(made)
        finally:
            os.close(made.null)

    return asyncio.run(run())


def _reason(outcome):
    assert isinstance(outcome, work.Refused), outcome
    return outcome.reason


def test_target_never_gets_more_than_it_runs_at_once():
    """Guards against overload of the target by several callers."""

    async def scenario(world):
        tasks = await world.start("a", "b", "c")
        assert [r.request_id for r, _ in world.connections.open] == ["a", "b"]
        world.connections.answer(_OK)
        await world.clock.advance(0)
        assert [r.request_id for r, _ in world.connections.open] == ["b", "c"]
        for task in tasks:
            task.cancel()

    _run(scenario)


def test_waiting_request_that_is_taken_back_never_runs():
    """Guards against a run after the caller was told that there is none."""

    async def scenario(world):
        tasks = await world.start("a", "b", "c")
        tasks[2].cancel()
        await world.clock.advance(0)
        for _ in range(2):
            world.connections.answer(_OK)
            await world.clock.advance(0)
        assert world.gate.is_idle()
        return [await task for task in tasks[:2]]

    assert all(isinstance(o, work.Answered) for o in _run(scenario))


def test_idempotent_run_ends_when_its_caller_leaves():
    """Guards against places that are held by requests of nobody."""

    async def scenario(world):
        (task,) = await world.start("a")
        task.cancel()
        await world.clock.advance(0)
        assert not world.connections.open

    _run(scenario)


def test_unrepeatable_run_goes_on_when_its_caller_leaves():
    """Guards against half a payment."""

    async def scenario(world):
        (task,) = await world.start("a", is_idempotent=False)
        task.cancel()
        await world.clock.advance(0)
        assert len(world.connections.open) == 1
        world.connections.answer(_OK)
        await world.clock.advance(0)
        assert world.gate.is_idle()

    _run(scenario)


def test_request_for_another_service_is_not_run():
    """Guards against a VM that took over the address of another service."""

    async def scenario(world):
        (task,) = await world.start("a", service=ids.ServiceId("other"))
        return await task

    assert _reason(_run(scenario)) is work.RefusalReason.OTHER_SERVICE


def test_stopping_and_evacuated_gates_run_nothing():
    """Guards against work that arrives in the last moment of a daemon."""

    async def scenario(world):
        world.gate.is_evacuated = True
        (first,) = await world.start("a")
        world.gate.is_stopping = True
        (second,) = await world.start("b")
        return _reason(await first), _reason(await second)

    assert _run(scenario) == (
        work.RefusalReason.EVACUATED,
        work.RefusalReason.STOPPING,
    )


def test_leaving_target_gets_nothing_after_its_time():
    """Guards against work at a target that waited in line too long."""

    async def scenario(world):
        tasks = await world.start("a", "b", "c")
        world.gate.stop_admission_at(world.clock.now_ms() + 100)
        await world.clock.advance(101)
        world.connections.answer(_OK)
        await world.clock.advance(0)
        return _reason(await tasks[2])

    assert _run(scenario) is work.RefusalReason.LEAVING


def test_key_on_its_way_is_awaited_and_another_is_not():
    """Guards against refusals while keys are handed over."""

    async def scenario(world):
        world.keys.coming.add(7)
        coming, foreign = await world.start("a", key=7) + await world.start(
            "b", key=8
        )
        world.keys.held.add(7)
        await world.clock.advance(50)
        world.connections.answer(_OK)
        await world.clock.advance(0)
        return await coming, _reason(await foreign)

    answered, reason = _run(scenario)
    assert isinstance(answered, work.Answered)
    assert reason is work.RefusalReason.NOT_OWNER


def test_key_that_left_while_a_request_waited_is_not_served():
    """Guards against two targets that run requests for one key."""

    async def scenario(world):
        world.keys.held.add(7)
        tasks = await world.start("a", "b", "c", key=7)
        world.keys.held.clear()
        world.connections.answer(_OK)
        await world.clock.advance(0)
        return _reason(await tasks[2])

    assert _run(scenario) is work.RefusalReason.NOT_OWNER


def test_request_that_crashes_its_target_is_stopped():
    """Guards against one request that takes down target after target."""

    async def scenario(world):
        for born_ms in range(2, 5):
            (poison,) = await world.start("poison")
            world.connections.answer(_BROKEN)
            await poison
            (other,) = await world.start(f"other-{born_ms}")
            world.connections.answer(_GONE)
            await other
            assert world.gate.reachability is gate_lib.Reachability.DOWN
            world.gate.on_heartbeat(
                targets.TargetInstance(_LIFE.target, born_ms), 2
            )
        (poison,) = await world.start("poison")
        return _reason(await poison)

    assert _run(scenario) is work.RefusalReason.QUARANTINED


def test_silent_target_is_not_taken_for_a_dead_one():
    """Guards against keys that move while a frozen target holds them."""

    async def scenario(world):
        world.gate.mark_silent()
        assert world.gate.reachability is gate_lib.Reachability.SILENT
        (task,) = await world.start("a")
        return _reason(await task)

    assert _run(scenario) is work.RefusalReason.TARGET_DOWN
