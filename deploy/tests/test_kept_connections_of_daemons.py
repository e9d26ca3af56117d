"""Tests that real daemons close no connection under a request.

They need no type of the product and run on earlier versions, too.
"""

import asyncio
import contextlib
import random
import signal
import time

import pytest

from deploy.tests import daemons
from deploy.tests import exchanges as exchanges_lib
from deploy.tests import raw_http

_SEED = 65
_CALLERS = 24
_DEADLINE_MS = 8_000
_TIMEOUT_MS = 20_000
_SHORT_IDLE_MS = 400
# Connections are closed while their callers pause.
_MIN_PAUSE_S = 0.3
_MAX_PAUSE_S = 1.0
_SHORT_PAUSE_S = 0.05
_PLAY_S = 6.0
# Longer than connections may be idle.
_WORK_S = 0.9
_PACE_S = 0.03
_BEFORE_STOP_S = 1.0
_PIPELINED = 6
_PIPELINE_PACE_S = 0.4
_POLL_S = 0.05


async def _play_kept(
    vm: daemons.Vm,
    exchanges: list[exchanges_lib.Exchange],
    max_pause_s: float,
    is_over: "asyncio.Event",
) -> None:
    """Lets callers use kept connections, and others new ones beside them."""
    chance = random.Random(_SEED)

    def pause_s() -> float:
        return chance.uniform(min(_MIN_PAUSE_S, max_pause_s / 2), max_pause_s)

    async with asyncio.TaskGroup() as callers:
        for _ in range(_CALLERS):
            callers.create_task(
                exchanges_lib.keep_asking(
                    vm, exchanges, _DEADLINE_MS, pause_s, is_over.is_set
                )
            )
        while not is_over.is_set():
            callers.create_task(exchanges_lib.ask(vm, exchanges, _DEADLINE_MS))
            await asyncio.sleep(_PACE_S)


@pytest.mark.parametrize("work_s", [0.01, _WORK_S])
def test_idle_close_takes_a_request_along(tmp_path, work_s):
    """Guards against a close of an idle connection under a request (LOST)."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            near, far = fleet.vms
            far.target.work_s = work_s
            fleet.write_times(2, _TIMEOUT_MS, _SHORT_IDLE_MS)
            await fleet.await_version(2)
            exchanges: list[exchanges_lib.Exchange] = []
            is_over = asyncio.Event()
            asyncio.get_running_loop().call_later(_PLAY_S, is_over.set)
            await _play_kept(near, exchanges, _MAX_PAUSE_S, is_over)
            assert len(exchanges) >= _CALLERS
            assert exchanges_lib.lost(fleet, exchanges) == []

    asyncio.run(play())


@pytest.mark.parametrize("max_pause_s", [_SHORT_PAUSE_S, _MAX_PAUSE_S])
@pytest.mark.parametrize("stopped", [[0], [1], [0, 1]])
def test_stop_takes_requests_on_kept_connections_along(
    tmp_path, stopped, max_pause_s
):
    """Guards against a stop that closes kept connections too soon (LOST).

    The callers use them until the process is gone, beside new ones.
    """

    async def play() -> None:
        async with daemons.Fleet(
            tmp_path, ["desk", "archive", "archive"]
        ) as fleet:
            for vm in fleet.vms:
                vm.target.work_s = _WORK_S
            exchanges: list[exchanges_lib.Exchange] = []
            is_over = asyncio.Event()
            callers = asyncio.create_task(
                _play_kept(fleet.vms[0], exchanges, max_pause_s, is_over)
            )
            await asyncio.sleep(_BEFORE_STOP_S)
            for index in stopped:
                fleet.vms[index].send_signal(signal.SIGTERM)
            for index in stopped:
                assert await fleet.vms[index].wait() == 0
            is_over.set()
            await callers
            assert len(exchanges) >= _CALLERS
            assert exchanges_lib.lost(fleet, exchanges) == []

    asyncio.run(play())


async def _pipeline(
    vm: daemons.Vm, exchanges: list[exchanges_lib.Exchange], pace_s: float
) -> None:
    """Sends requests behind each other, without a wait for their answers."""
    caller = await raw_http.Caller.connect(vm.caller_address)
    with contextlib.closing(caller):
        sent: asyncio.Queue[exchanges_lib.Exchange] = asyncio.Queue()

        async def send_all() -> None:
            for _ in range(_PIPELINED):
                exchange = exchanges_lib.send(caller, _DEADLINE_MS)
                exchanges.append(exchange)
                sent.put_nowait(exchange)
                await asyncio.sleep(pace_s)

        sending = asyncio.create_task(send_all())
        for _ in range(_PIPELINED):
            exchange = await sent.get()
            await exchange.read(caller)
            if exchange.closes:
                break
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)


def _ran_without_answer(
    fleet: daemons.Fleet, exchanges: list[exchanges_lib.Exchange]
) -> list[exchanges_lib.Exchange]:
    """Returns requests that ran, though their connection ended before."""
    # What was sent behind the last answer is known not to have run.
    return [
        each
        for each, has_run in exchanges_lib.lost(fleet, exchanges)
        if has_run
    ]


@pytest.mark.parametrize("pace_s", [0.0, _PIPELINE_PACE_S])
@pytest.mark.parametrize("stopped", [0, 1])
def test_stop_runs_pipelined_requests_without_an_answer(
    tmp_path, stopped, pace_s
):
    """Guards against pipelined requests that run and get no answer (LOST).

    Some are sent behind the answer that ends their connection; a stop must not
    pass them on.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            for vm in fleet.vms:
                vm.target.work_s = _WORK_S
            exchanges: list[exchanges_lib.Exchange] = []
            signalled_s = time.monotonic() + _BEFORE_STOP_S
            async with asyncio.TaskGroup() as callers:
                asyncio.get_running_loop().call_later(
                    _BEFORE_STOP_S,
                    fleet.vms[stopped].send_signal,
                    signal.SIGTERM,
                )
                while time.monotonic() < signalled_s + 3 * _BEFORE_STOP_S:
                    callers.create_task(
                        _pipeline_if_accepted(fleet.vms[0], exchanges, pace_s)
                    )
                    await asyncio.sleep(_POLL_S)
            assert await fleet.vms[stopped].wait() == 0
            answered = [each for each in exchanges if each.status]
            assert len(answered) >= _PIPELINED
            assert _ran_without_answer(fleet, exchanges) == []

    asyncio.run(play())


async def _pipeline_if_accepted(
    vm: daemons.Vm, exchanges: list[exchanges_lib.Exchange], pace_s: float
) -> None:
    with contextlib.suppress(OSError):
        await _pipeline(vm, exchanges, pace_s)
