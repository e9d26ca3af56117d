"""Tests of real daemons whose callers send what costs the most.

They need no type of the product and run on earlier versions, too. Bounds are
those of docs/design/untrusted-callers-and-shared-capacity.md for a daemon with
a limit of 300 MB; they were fixed before the product was changed.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib

import pytest

from deploy.tests import crowd
from deploy.tests import daemons
from deploy.tests import memory_watch
from deploy.tests import raw_http
from deploy.tests import raw_target

_MIB = memory_watch.MIB
# What 500 heads may cost.
_HEADS_MB = 20
# What 3,000 heads may leave the daemon at.
_MANY_HEADS_MB = 120
# What a process holds for others: a sixth of its limit.
_ACCOUNT_MB = daemons.MEMORY_MB / 6
_STAND_S = 2.0
# Longer than the interval of the target's heartbeats.
_HEARTBEAT_S = 1.0
# Fewer than there are bodies in a crowd.
_FEW_SLOTS = 9
_ANSWER_LIMIT_S = 25.0
_DEADLINE_MS = 20_000
# A request that waits for seconds misses it.
_SHORT_DEADLINE_MS = 3_000


@dataclasses.dataclass(frozen=True)
class _Socket:
    """Where a crowd connects, and what is expected there.

    Attributes:
      port: Port of the daemon.
      path: Target of the requests.
      preface: Bytes before the first request.
      is_small: Whether only small requests are expected.
    """

    port: int
    path: str
    preface: bytes = b""
    is_small: bool = True


_ROUTE = _Socket(daemons.CALLER_PORT, raw_http.PATH, is_small=False)
_SOCKETS = [
    pytest.param(_ROUTE, id="route"),
    pytest.param(
        _Socket(daemons.CALLER_PORT, "/nowhere", is_small=False), id="no-route"
    ),
    pytest.param(_Socket(daemons.READY_PORT, "/readiness"), id="ready"),
    pytest.param(_Socket(raw_target.CONTROL_PORT, "/rpc"), id="control"),
    pytest.param(_Socket(daemons.METRICS_PORT, "/metrics"), id="metrics"),
    pytest.param(_Socket(daemons.PEER_PORT, "/a"), id="peers"),
    # A byte that no link begins with comes before the fetch of a body.
    pytest.param(_Socket(daemons.PEER_PORT, "/a", b"\xff"), id="fetches"),
]


def _head(to: _Socket, method: str, *lines: str) -> bytes:
    head = [
        f"{method} {to.path} HTTP/1.1",
        f"Host: {raw_http.HOST}",
        "X-Request-Id: crowd",
        f"X-Deadline-Ms: {_DEADLINE_MS}",
        *lines,
    ]
    return "\r\n".join(head).encode() + b"\r\n"


def _fields(to: _Socket, size: int) -> bytes:
    """Returns a head of so many bytes, of very many fields, without its end."""
    head = _head(to, "GET")
    return to.preface + head + b"a:\r\n" * ((size - len(head)) // 4)


def _resident_mb(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(each for each in status.splitlines() if "VmRSS" in each)
    return int(line.split()[1]) / 1_024


async def _status(
    address: tuple[str, int],
    method: str,
    path: str,
    deadline_ms: int = _DEADLINE_MS,
) -> int:
    """Returns the status of an ordinary request, 0 without an answer."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_ANSWER_LIMIT_S):
            caller = await raw_http.Caller.connect(address)
            with contextlib.closing(caller):
                caller.send_head(method, path, 0, deadline_ms)
                return await caller.read_status()
    return 0


async def _ordinary(vm: daemons.Vm, deadline_ms: int = _DEADLINE_MS) -> int:
    return await _status(vm.caller_address, "POST", raw_http.PATH, deadline_ms)


def _assert_bounds(vm: daemons.Vm, bound_mb: float) -> None:
    memory = vm.memory
    print(f"{memory.peak_mb:.0f} MB, {memory.peak_sum_mb:.0f} MB with unread")
    assert not vm.has_ended()
    assert memory.peak_mb <= bound_mb
    assert memory.peak_sum_mb <= daemons.MEMORY_MB


async def _play(
    folder: pathlib.Path,
    to: _Socket,
    count: int,
    pieces: list[bytes],
    bound_mb: float,
    is_above_idle: bool = True,
    pause_s: float = 0.0,
    deadline_ms: int = _DEADLINE_MS,
    slots: int | None = None,
) -> None:
    """Plays a crowd; an ordinary request is served beside and after it."""
    async with daemons.Fleet(folder, ["archive"]) as fleet:
        vm = fleet.vms[0]
        if slots is not None:
            vm.target.slots = slots
            await asyncio.sleep(_HEARTBEAT_S)
        metrics_address = (vm.host, daemons.METRICS_PORT)
        # The first page loads the modules that write it.
        assert await _status(metrics_address, "GET", "/metrics") == 200
        idle_mb = _resident_mb(vm.pid)
        print(f"{idle_mb:.0f} MB when idle")
        if is_above_idle:
            bound_mb += idle_mb
        async with crowd.connected_callers(
            (vm.host, to.port), count, pieces, pause_s
        ):
            await asyncio.sleep(_STAND_S)
            beside = await _ordinary(vm, deadline_ms)
            ready = await vm.is_ready()
            descriptors = len(os.listdir(f"/proc/{vm.pid}/fd"))
        after = await _ordinary(vm)
        print(f"beside: {beside}, {ready}, after: {after}")
        _assert_bounds(vm, bound_mb)
        assert descriptors <= fleet.max_descriptors
        assert (beside, ready, after) == (200, True, 200)
        assert await vm.is_ready()
        assert await _status(metrics_address, "GET", "/metrics") == 200
        assert b"Traceback" not in vm.log.read_bytes()


def _bound_mb(to: _Socket) -> float:
    return _HEADS_MB if to.is_small else _ACCOUNT_MB


@pytest.mark.parametrize("to", _SOCKETS)
def test_heads_of_many_short_fields_take_memory(tmp_path, to):
    """Guards against heads that cost fifteen times their bytes once parsed."""
    asyncio.run(_play(tmp_path, to, 500, [_fields(to, 16_000)], _HEADS_MB))


@pytest.mark.parametrize("to", _SOCKETS)
def test_ended_heads_of_many_short_fields_take_memory(tmp_path, to):
    """Guards against requests whose fields are kept while they are run."""
    data = _fields(to, 16_000) + b"\r\n"
    asyncio.run(_play(tmp_path, to, 400, [data], _bound_mb(to)))


@pytest.mark.parametrize("size", [16_000, 8_000])
def test_heads_of_a_large_crowd_take_a_daemon_over_its_limit(tmp_path, size):
    """Guards against a crowd of heads whose fields fill the memory."""
    data = _fields(_ROUTE, size)
    asyncio.run(
        _play(
            tmp_path, _ROUTE, 3_000, [data], _MANY_HEADS_MB, is_above_idle=False
        )
    )


@pytest.mark.parametrize("to", _SOCKETS)
def test_pipelined_requests_take_the_room_of_others(tmp_path, to):
    """Guards against requests that wait for answers that nobody reads."""
    data = to.preface + (_head(to, "GET") + b"\r\n") * 2_000
    asyncio.run(_play(tmp_path, to, 60, [data], _bound_mb(to)))


@pytest.mark.parametrize("to", _SOCKETS)
def test_bodies_that_stop_short_delay_others(tmp_path, to):
    """Guards against bodies without their end that occupy the target."""
    size = 8 * _MIB
    head = to.preface + _head(to, "POST", f"Content-Length: {size}", "")
    pieces = [head + bytes(size - 1)]
    asyncio.run(
        _play(
            tmp_path,
            to,
            60,
            pieces,
            _bound_mb(to),
            deadline_ms=_SHORT_DEADLINE_MS,
            slots=_FEW_SLOTS,
        )
    )


def test_short_bodies_that_stop_short_take_the_room_of_others(tmp_path):
    """Guards against many bodies, each held whole, that never end."""
    size = 15_000
    head = _head(_ROUTE, "POST", f"Content-Length: {size}", "")
    pieces = [head + bytes(size - 1)]
    asyncio.run(_play(tmp_path, _ROUTE, 1_800, pieces, _ACCOUNT_MB))


@pytest.mark.parametrize("to", _SOCKETS)
def test_chunks_of_one_byte_take_memory(tmp_path, to):
    """Guards against chunks that cost more than their bytes."""
    head = to.preface + _head(to, "POST", "Transfer-Encoding: chunked", "")
    pieces = [head, *[b"1\r\na\r\n" * 8_192] * 8]
    asyncio.run(_play(tmp_path, to, 60, pieces, _bound_mb(to)))


@pytest.mark.parametrize("to", _SOCKETS)
def test_bodies_over_the_limit_take_memory(tmp_path, to):
    """Guards against bodies that are kept although they are refused."""
    head = to.preface + _head(
        to, "POST", f"Content-Length: {4 * 1_024 * _MIB}", ""
    )
    asyncio.run(
        _play(tmp_path, to, 60, [head + bytes(2 * _MIB)], _bound_mb(to))
    )


@pytest.mark.parametrize("to", _SOCKETS)
def test_slow_callers_take_memory(tmp_path, to):
    """Guards against what a connection costs while its head is incomplete."""
    data = to.preface + _head(to, "POST")
    pieces = [data[index : index + 1] for index in range(len(data))]
    asyncio.run(_play(tmp_path, to, 1_000, pieces, _bound_mb(to), pause_s=0.2))
