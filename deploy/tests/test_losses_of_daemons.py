"""Tests that real daemons lose no answer of a target at a planned stop.

They need no type of the product and run on earlier versions, too.
"""

import asyncio
import contextlib
import json
import resource
import signal
import time

from deploy.tests import daemons
from deploy.tests import raw_http
from soak import proxy as proxy_lib

_SAFE_PATH = "/plans/1"
_DEADLINE_MS = 8_000
# One way between two regions takes 20 ms; a fetch needs four ways.
_WAY_MS = 100
# Half of it is too long to pass with the head, all of it short enough for the
# daemon beside the target to hold it.
_LONG_ANSWER_BYTES = 36_000
_PAUSE_S = 0.02
# The target answers after the stop has ended its notice.
_WORK_S = 2.9
_BEFORE_STOP_S = 0.3
# A daemon that runs nothing for this long counts as silent.
_FREEZE_S = 1.2
_SHORT_GRACE_MS = 1_500
_MANY_GRACE_MS = 3_000
_MANY_REQUESTS = 1_200
_REQUESTS_AT_ONCE = 40
_PACE_S = 0.1
_START_LIMIT_S = 30.0
# None of them ends before the stop does.
_LONG_DEADLINE_MS = 20_000


async def _get(
    vm: daemons.Vm, path: str, deadline_ms: int = _DEADLINE_MS
) -> int:
    """Sends a request on a new connection; returns its status."""
    caller = await raw_http.Caller.connect(vm.caller_address)
    with contextlib.closing(caller):
        caller.send_head("GET", path, 0, deadline_ms)
        return await caller.read_status()


def test_stop_beside_the_target_loses_an_answer_that_is_fetched(tmp_path):
    """Guards against a stop that ends before the other daemon has a body.

    The body of a long answer is offered to the other daemon, which fetches it
    over a connection of its own.
    """

    async def play() -> int:
        async with daemons.Fleet(
            tmp_path, ["desk", "archive"], has_proxies=True
        ) as fleet:
            near, far = fleet.vms
            far.target.work_s = _WORK_S
            far.target.answer_bytes = _LONG_ANSWER_BYTES
            far.target.pause_s = _PAUSE_S
            far.peer_link.set_mode(proxy_lib.Mode.DELAY, _WAY_MS)
            sending = asyncio.create_task(_get(near, _SAFE_PATH))
            await asyncio.sleep(_BEFORE_STOP_S)
            far.send_signal(signal.SIGTERM)
            status = await sending
            assert await far.wait() == 0
            return status

    assert asyncio.run(play()) == 200


def test_stop_gives_up_a_request_at_a_daemon_that_is_held_up(tmp_path):
    """Guards against an answer of its own while the target is at work (LOST).

    A safe request is sent elsewhere once a daemon is silent; a daemon that
    stops can send it nowhere any more.
    """

    async def play() -> int:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            near, far = fleet.vms
            far.target.work_s = _WORK_S
            sending = asyncio.create_task(_get(near, _SAFE_PATH))
            await asyncio.sleep(_BEFORE_STOP_S)
            near.send_signal(signal.SIGTERM)
            await asyncio.sleep(_WORK_S - 2 * _BEFORE_STOP_S)
            far.send_signal(signal.SIGSTOP)
            await asyncio.sleep(_FREEZE_S)
            far.send_signal(signal.SIGCONT)
            status = await sending
            assert await near.wait() == 0
            return status

    assert asyncio.run(play()) == 200


def test_request_that_outlasts_a_stop_leaves_no_line(tmp_path):
    """Guards against lost requests of which the log of a daemon tells nothing.

    The target works for longer than the grace.
    """

    async def play() -> None:
        async with daemons.Fleet(
            tmp_path, ["archive"], _SHORT_GRACE_MS
        ) as fleet:
            (vm,) = fleet.vms
            vm.target.work_s = _WORK_S
            caller = await raw_http.Caller.connect(vm.caller_address)
            with contextlib.closing(caller):
                request_id = caller.send_head("GET", _SAFE_PATH, 0)
                await asyncio.sleep(_BEFORE_STOP_S)
                vm.send_signal(signal.SIGTERM)
                assert await caller.read_status() == 500
                assert await vm.wait() == 0
            lines = [json.loads(line) for line in vm.log.open()]
            events = [
                line["event"]
                for line in lines
                if line.get("request") == request_id
            ]
            assert events == ["request-abandoned"]

    asyncio.run(play())


def test_stop_with_many_open_requests_outlasts_its_grace(tmp_path):
    """Guards against an end that takes longer the more requests it cuts.

    The platform kills a process that is still there after its grace.
    """

    async def play() -> float:
        async with daemons.Fleet(
            tmp_path, ["archive"], _MANY_GRACE_MS
        ) as fleet:
            (vm,) = fleet.vms
            vm.target.slots = _MANY_REQUESTS
            vm.target.work_s = _LONG_DEADLINE_MS / 1_000
            # The daemon knows the slots by the next heartbeat.
            await asyncio.sleep(1)
            async with asyncio.TaskGroup() as group:
                await _fill(vm, group)
                began_s = time.monotonic()
                vm.send_signal(signal.SIGTERM)
                assert await vm.wait() == 0
                return time.monotonic() - began_s

    _raise_descriptor_limit()
    assert asyncio.run(play()) < _MANY_GRACE_MS / 1_000


async def _fill(vm: daemons.Vm, group: asyncio.TaskGroup) -> None:
    """Sends requests until the target runs many of them.

    They come at a pace at which the queue of the target takes their
    connections; others would be refused.
    """
    async with asyncio.timeout(_START_LIMIT_S):
        while len(vm.target.runs) < _MANY_REQUESTS:
            for _ in range(_REQUESTS_AT_ONCE):
                group.create_task(_get(vm, _SAFE_PATH, _LONG_DEADLINE_MS))
            await asyncio.sleep(_PACE_S)


def _raise_descriptor_limit() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
