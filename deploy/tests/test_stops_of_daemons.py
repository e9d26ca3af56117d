"""Tests of planned stops of real daemons under load.

They need no type of the product and run on earlier versions, too.
"""

import asyncio
import contextlib
import random
import signal

import pytest

from deploy.tests import daemons
from deploy.tests import memory_watch
from deploy.tests import raw_http
from deploy.tests import raw_target

_SEED = 39
_REQUESTS = 150
_PAUSE_S = 0.03
# The signal comes while this many requests have begun.
_BEFORE_STOP = 30
_WORK_S = 2.2
_BODY_BYTES = 100
_DEADLINE_MS = 8_000
_ANSWER_LIMIT_S = 12.0
_POLL_S = 0.001
_SHORT_WORK_S = 0.02
# More than both targets have places.
_BURST = 12
_BURST_WORK_S = 0.2
# Longer than the test.
_ENDLESS_S = 60.0
_LONG_WORK_S = 3.0
_TIME_TO_REPEAT_S = 1.5
_LONG_DEADLINE_MS = 20_000
# Links count as silent before, and are not ended yet.
_PAUSE_OF_A_DAEMON_S = 1.5


async def _request_in_parts(
    vm: daemons.Vm, pause_s: float, status_by_id: dict[str, int]
) -> None:
    """Sends a request whose last bytes come later than its first."""
    with contextlib.suppress(OSError):
        caller = await raw_http.Caller.connect(vm.caller_address)
        with contextlib.closing(caller):
            request_id = caller.send_head(
                "POST", raw_http.PATH, _BODY_BYTES, _DEADLINE_MS
            )
            status_by_id[request_id] = 0
            await asyncio.sleep(pause_s)
            caller.writer.write(bytes(_BODY_BYTES))
            async with asyncio.timeout(_ANSWER_LIMIT_S):
                status_by_id[request_id] = await caller.read_status()


async def _load(vm: daemons.Vm, status_by_id: dict[str, int]) -> None:
    """Sends requests at a constant rate and awaits their answers."""
    chance = random.Random(_SEED)
    async with asyncio.TaskGroup() as group:
        for _ in range(_REQUESTS):
            pause_s = chance.uniform(0.0, 1.5)
            group.create_task(_request_in_parts(vm, pause_s, status_by_id))
            await asyncio.sleep(_PAUSE_S)


def _cut(fleet: daemons.Fleet, status_by_id: dict[str, int]) -> list[int]:
    """Returns the statuses of requests that ran and were not answered whole."""
    ran = {each for vm in fleet.vms for each in vm.target.runs}
    return [
        status
        for request_id, status in status_by_id.items()
        if request_id in ran and status != 200
    ]


async def _ask(
    vm: daemons.Vm, status_by_id: dict[str, int], deadline_ms: int
) -> None:
    """Sends a request that may be repeated and awaits its answer."""
    with contextlib.suppress(OSError):
        caller = await raw_http.Caller.connect(vm.caller_address)
        with contextlib.closing(caller):
            request_id = caller.send_head(
                "GET", raw_http.SAFE_PATH, 0, deadline_ms
            )
            status_by_id[request_id] = 0
            status_by_id[request_id] = await caller.read_status()


async def _ask_often(
    vm: daemons.Vm, status_by_id: dict[str, int], deadline_ms: int
) -> None:
    """Sends requests at a constant rate until the daemon ends."""
    async with asyncio.TaskGroup() as group:
        while not vm.has_ended():
            group.create_task(_ask(vm, status_by_id, deadline_ms))
            await asyncio.sleep(_PAUSE_S)


async def _await_run(
    target: raw_target.Target, status_by_id: dict[str, int]
) -> str:
    """Returns the id of the first of these requests that a target runs."""
    async with asyncio.timeout(_ANSWER_LIMIT_S):
        while True:
            for request_id in target.runs:
                if request_id in status_by_id:
                    return request_id
            await asyncio.sleep(_POLL_S)


async def _stop(vm: daemons.Vm, grace_ms: int) -> None:
    await asyncio.sleep(_BEFORE_STOP * _PAUSE_S)
    vm.send_signal(signal.SIGTERM)
    async with asyncio.timeout(grace_ms / 1_000):
        assert await vm.wait() == 0


@pytest.mark.parametrize("grace_ms", [6_000, 3_000])
def test_stop_cuts_requests_that_came_late(tmp_path, grace_ms):
    """Guards against requests that are passed on but not awaited (LOST)."""

    async def play() -> None:
        async with daemons.Fleet(
            tmp_path, ["desk", "archive"], grace_ms
        ) as fleet:
            for vm in fleet.vms:
                vm.target.work_s = min(_WORK_S, grace_ms / 3_000)
            status_by_id: dict[str, int] = {}
            await asyncio.gather(
                _load(fleet.vms[0], status_by_id),
                _stop(fleet.vms[0], grace_ms),
            )
            answered = list(status_by_id.values())
            assert answered.count(200) >= _BEFORE_STOP // 2
            assert _cut(fleet, status_by_id) == []

    asyncio.run(play())


def test_overlapping_stops_cut_requests(tmp_path):
    """Guards against a second stop, at the target, that begins meanwhile."""

    async def play() -> None:
        async with daemons.Fleet(
            tmp_path, ["desk", "archive", "archive"]
        ) as fleet:
            for vm in fleet.vms:
                vm.target.work_s = 1.0
            status_by_id: dict[str, int] = {}
            await asyncio.gather(
                _load(fleet.vms[0], status_by_id),
                _stop(fleet.vms[0], fleet.grace_ms),
                _stop(fleet.vms[1], fleet.grace_ms),
            )
            assert _cut(fleet, status_by_id) == []

    asyncio.run(play())


def test_stop_cuts_an_upload_under_way(tmp_path):
    """Guards against a stop that breaks off a body that still moves."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[0]
            caller = await raw_http.Caller.connect(vm.caller_address)
            with contextlib.closing(caller):
                size = 8 * memory_watch.MIB
                caller.send_head("POST", raw_http.PATH, 2 * size)
                await raw_http.write_zeros(caller.writer, size)
                vm.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.5)
                await raw_http.write_zeros(caller.writer, size)
                assert await caller.read_status() == 200
            assert await vm.wait() == 0

    asyncio.run(play())


def test_reload_within_the_grace_ends_the_stop(tmp_path):
    """Guards against a change of settings that changes a stop under way."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[0]
            fleet.vms[1].target.work_s = 1.5
            sending = asyncio.create_task(
                raw_http.upload(vm.caller_address, _BODY_BYTES)
            )
            await asyncio.sleep(0.5)
            vm.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            vm.send_signal(signal.SIGHUP)
            vm.send_signal(signal.SIGTERM)
            assert await sending == 200
            assert await vm.wait() == 0

    asyncio.run(play())


def test_stop_answers_what_a_target_at_work_would_answer(tmp_path):
    """Guards against a run that is ended for an attempt without a place (LOST).

    Later requests at its target were answered long before it, and the other
    target has no place.
    """

    async def play() -> int:
        fleet = daemons.Fleet(tmp_path, ["desk", "archive", "archive"])
        caller, at_work, full = fleet.vms
        at_work.target.slots, full.target.slots = 4, 1
        async with fleet, asyncio.TaskGroup() as callers:
            full.target.work_s = _ENDLESS_S
            # So that its places are taken, and the burst needs those of both.
            at_work.target.work_s = _BURST_WORK_S
            early: dict[str, int] = {}
            # The entering daemon may not know both targets yet.
            while early.keys().isdisjoint(full.target.runs):
                for _ in range(_BURST):
                    callers.create_task(_ask(caller, early, _LONG_DEADLINE_MS))
                # The other target answers its part of these.
                await asyncio.sleep(_BURST * _BURST_WORK_S)

            at_work.target.work_s = _LONG_WORK_S
            status_by_id: dict[str, int] = {}
            callers.create_task(_ask_often(caller, status_by_id, _DEADLINE_MS))
            request_id = await _await_run(at_work.target, status_by_id)
            at_work.target.work_s = _SHORT_WORK_S
            await asyncio.sleep(_TIME_TO_REPEAT_S)
            caller.send_signal(signal.SIGTERM)
            assert await caller.wait() == 0
        return status_by_id[request_id]

    assert asyncio.run(play()) == 200


def test_stop_answers_what_a_daemon_that_was_silent_would_answer(tmp_path):
    """Guards against a call that is given up for another daemon (LOST).

    The daemon beside the target was paused for a while, and there is no other.
    """

    async def play() -> int:
        async with (
            daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet,
            asyncio.TaskGroup() as callers,
        ):
            caller, busy = fleet.vms
            busy.target.work_s = _LONG_WORK_S
            status_by_id: dict[str, int] = {}
            callers.create_task(_ask(caller, status_by_id, _DEADLINE_MS))
            request_id = await _await_run(busy.target, status_by_id)
            busy.send_signal(signal.SIGSTOP)
            await asyncio.sleep(_PAUSE_OF_A_DAEMON_S)
            caller.send_signal(signal.SIGTERM)
            busy.send_signal(signal.SIGCONT)
            assert await caller.wait() == 0
        return status_by_id[request_id]

    assert asyncio.run(play()) == 200
