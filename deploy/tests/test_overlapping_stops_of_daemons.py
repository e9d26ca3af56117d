"""Tests of stops of two real daemons that overlap, with long requests.

They need no type of the product and run on earlier versions, too.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import random
import signal

import pytest

from deploy.tests import daemons
from deploy.tests import exchanges as exchanges_lib

_SEED = 65
_SERVICES = ["desk", "archive", "archive"]
_DEADLINE_MS = 12_000
# What begins at the end of the notice ends just before the stop does.
_LONG_WORK_S = 3.0
_TAIL_WORK_S = 4.5
_SHORT_WORK_S = 0.3
_CALL_WORK_S = 0.6
_PACE_S = 0.05
_BEFORE_STOP_S = 1.5
_LAST_SENT_S = 6.0
_BETWEEN_STOPS_S = 1.3
_BEFORE_END_OF_NOTICE_S = 0.7
_USUAL_REQUESTS = 10
_KEPT_CALLERS = 10


async def _load(
    vm: daemons.Vm, exchanges: list[exchanges_lib.Exchange]
) -> None:
    """Sends requests at a constant rate until the daemon ends."""
    chance = random.Random(_SEED)
    async with asyncio.TaskGroup() as callers:
        # Half of them on kept connections.
        for _ in range(_KEPT_CALLERS):
            callers.create_task(
                exchanges_lib.keep_asking(
                    vm,
                    exchanges,
                    _DEADLINE_MS,
                    lambda: chance.uniform(0.0, 0.1),
                    vm.has_ended,
                )
            )
        for is_idempotent in itertools.cycle((True, False)):
            if vm.has_ended():
                break
            callers.create_task(
                exchanges_lib.ask(
                    vm, exchanges, _DEADLINE_MS, is_idempotent=is_idempotent
                )
            )
            await asyncio.sleep(_PACE_S)


async def _stop_after(vm: daemons.Vm, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    vm.send_signal(signal.SIGTERM)
    assert await vm.wait() == 0


@pytest.mark.parametrize("between_s", [-1.5, -0.5, 0.0, 0.5, 1.5])
def test_stops_that_overlap_cut_long_requests(tmp_path, between_s):
    """Guards against a stop that keeps no time for what another passes on.

    `between_s` is the time from the signal of the daemon of the callers to that
    of a daemon beside a target.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, _SERVICES) as fleet:
            for vm in fleet.vms:
                vm.target.work_s = _LONG_WORK_S
            near, far, _ = fleet.vms
            exchanges: list[exchanges_lib.Exchange] = []
            begin_s = _BEFORE_STOP_S + _LONG_WORK_S
            await asyncio.gather(
                _load(near, exchanges),
                _stop_after(near, begin_s),
                _stop_after(far, begin_s + between_s),
            )
            assert exchanges_lib.lost(fleet, exchanges) == []

    asyncio.run(play())


def test_two_stops_cut_a_request_that_is_longer_than_usual(tmp_path):
    """Guards against a run that a daemon begins but cannot end (LOST).

    Requests of its route were short so far. It comes at the end of the notice
    of the daemon beside the target, and early in the stop of that of its
    caller, whose grace it does not exceed.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            near, far = fleet.vms
            far.target.work_s = _SHORT_WORK_S
            exchanges: list[exchanges_lib.Exchange] = []
            for _ in range(_USUAL_REQUESTS):
                await exchanges_lib.ask(near, exchanges, _DEADLINE_MS)
            far.target.work_s = _TAIL_WORK_S
            far.send_signal(signal.SIGTERM)
            await asyncio.sleep(_BETWEEN_STOPS_S)
            near.send_signal(signal.SIGTERM)
            await asyncio.sleep(_BEFORE_END_OF_NOTICE_S)
            await exchanges_lib.ask(near, exchanges, _DEADLINE_MS)
            assert exchanges_lib.lost(fleet, exchanges) == []

    asyncio.run(play())


@pytest.mark.parametrize("stopped", [[0], [1], [0, 1], [2], [0, 2]])
def test_stop_cuts_calls_of_targets(tmp_path, stopped):
    """Guards against calls of a target that its own daemon cuts (LOST).

    The targets call through their own daemons, while these or that of the
    callers stop.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, _SERVICES) as fleet:
            exchanges: list[exchanges_lib.Exchange] = []
            calls: list[exchanges_lib.Exchange] = []
            for vm in fleet.vms:
                vm.target.work_s = _CALL_WORK_S
                vm.target.make_calls = _calls_through(vm, calls)
            await asyncio.gather(
                _load(fleet.vms[0], exchanges),
                *(
                    _stop_after(fleet.vms[index], _BEFORE_STOP_S)
                    for index in stopped
                ),
                # The load ends with its daemon.
                *(
                    _stop_after(fleet.vms[index], _LAST_SENT_S)
                    for index in {0}.difference(stopped)
                ),
            )
            assert len(calls) >= _USUAL_REQUESTS
            assert exchanges_lib.lost(fleet, calls) == []
            assert exchanges_lib.lost(fleet, exchanges) == []

    asyncio.run(play())


@pytest.mark.parametrize("is_gone", [False, True])
def test_stops_without_the_store_cut_requests(tmp_path, is_gone):
    """Guards against a stop that waits for the store, or ends with it (LOST).

    The store refuses all calls, or nothing listens at its address.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, _SERVICES) as fleet:
            for vm in fleet.vms:
                vm.target.work_s = _CALL_WORK_S
            near, far, _ = fleet.vms
            exchanges: list[exchanges_lib.Exchange] = []
            fleet.lose_store(is_gone)
            await asyncio.gather(
                _load(near, exchanges),
                _stop_after(near, _BEFORE_STOP_S),
                _stop_after(far, _BEFORE_STOP_S),
            )
            served = [each for each in exchanges if each.status == 200]
            assert len(served) >= _USUAL_REQUESTS
            assert exchanges_lib.lost(fleet, exchanges) == []

    asyncio.run(play())


def _calls_through(
    vm: daemons.Vm, calls: list[exchanges_lib.Exchange]
) -> Callable[[str], Awaitable[None]]:
    """Returns how the target of a VM makes a call for each request."""

    async def make_calls(request_id: str) -> None:
        is_call = "." in request_id
        if not is_call:
            await exchanges_lib.ask(vm, calls, _DEADLINE_MS, request_id)

    return make_calls
