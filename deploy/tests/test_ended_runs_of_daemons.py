"""Tests that real daemons end no run at a target early around a stop.

They need no type of the product and run on earlier versions, too.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal

from deploy.tests import daemons
from deploy.tests import exchanges as exchanges_lib

_DEADLINE_MS = 12_000
_WORK_S = 3.0
_RUN_LIMIT_S = 10.0
_POLL_S = 0.005
# A daemon that runs nothing for this long counts as silent.
_FREEZE_S = 1.2
_CALL_WORK_S = 1.5
_AFTER_STOP_S = 0.3


async def _await_run(
    fleet: daemons.Fleet, exchanges: list[exchanges_lib.Exchange]
) -> None:
    """Returns once a target runs the first of these requests."""
    async with asyncio.timeout(_RUN_LIMIT_S):
        while not exchanges or not any(
            exchanges[0].request_id in vm.target.runs for vm in fleet.vms
        ):
            await asyncio.sleep(_POLL_S)


def test_silent_daemon_loses_a_request_early_in_a_stop(tmp_path):
    """Guards against an answer of its own while the target is at work (LOST).

    The daemon beside the only target is held up while the other one still tells
    its callers of its stop.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            near, far = fleet.vms
            far.target.work_s = _WORK_S
            exchanges: list[exchanges_lib.Exchange] = []
            asking = asyncio.create_task(
                exchanges_lib.ask(near, exchanges, _DEADLINE_MS)
            )
            await _await_run(fleet, exchanges)
            near.send_signal(signal.SIGTERM)
            far.send_signal(signal.SIGSTOP)
            await asyncio.sleep(_FREEZE_S)
            far.send_signal(signal.SIGCONT)
            await asking
            assert await near.wait() == 0
            assert exchanges_lib.lost(fleet, exchanges) == []

    asyncio.run(play())


def test_call_of_a_target_ends_in_a_stop_as_the_first_caller_leaves(tmp_path):
    """Guards against an answer of its own while a target is at work (LOST).

    A target that goes on without its caller awaits a call of its own. The
    daemon beside it stops, and ends the call as it ends the request.
    """

    async def play() -> None:
        services = ["desk", "archive", "archive"]
        async with daemons.Fleet(tmp_path, services) as fleet:
            exchanges: list[exchanges_lib.Exchange] = []
            calls: list[exchanges_lib.Exchange] = []
            callers: list[daemons.Vm] = []
            for vm in fleet.vms:
                vm.target.work_s = _CALL_WORK_S
                vm.target.make_calls = _calls_through(vm, callers, calls)
            asking = asyncio.create_task(
                exchanges_lib.ask(fleet.vms[0], exchanges, _DEADLINE_MS)
            )
            await _await_run(fleet, calls)
            callers[0].send_signal(signal.SIGTERM)
            await asyncio.sleep(_AFTER_STOP_S)
            asking.cancel()
            assert await callers[0].wait() == 0
            assert exchanges_lib.lost(fleet, calls) == []

    asyncio.run(play())


def _calls_through(
    vm: daemons.Vm,
    callers: list[daemons.Vm],
    calls: list[exchanges_lib.Exchange],
) -> Callable[[str], Awaitable[None]]:
    """Returns how the target of a VM makes a call for each request."""

    async def make_calls(request_id: str) -> None:
        is_call = "." in request_id
        if not is_call:
            callers.append(vm)
            await exchanges_lib.ask(vm, calls, _DEADLINE_MS, request_id)

    return make_calls
