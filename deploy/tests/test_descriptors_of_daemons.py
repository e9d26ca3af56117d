"""Tests of real daemons whose descriptors are wanted by too many connections.

They need no type of the product and run on earlier versions, too.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import os
import pathlib
import resource
import socket

import pytest

from deploy.tests import daemons
from deploy.tests import raw_http
from deploy.tests import raw_target

_MAX_DESCRIPTORS = 600
_CONNECTIONS = 800
_HALF_HEAD = b"POST /scans/1 HTTP/1.1\r\nHost: a.exa"
_CONNECTS_AT_ONCE = 100
_CONNECT_PAUSE_S = 0.03
_WATCH_S = 4.0
_REQUEST_INTERVAL_S = 0.2
_ROUNDS_PER_SCRAPE = 5
_ANSWER_LIMIT_S = 2.0
# A new caller may wait until slow ones have got their timeout.
_NEW_CALLER_LIMIT_S = 6.0
_AFTERWARDS_LIMIT_S = 5.0
_MAX_LOG_BYTES = 20_000
_MAX_PROCESSOR_SHARE = 0.5
_NO_ANSWER = 0
# Status of what is no heartbeat.
_NO_HEARTBEAT = 400


@dataclasses.dataclass
class _Seen:
    """What callers and the platform saw of a daemon during a flood.

    Attributes:
      kept: Statuses on a connection that was open before.
      ready: Statuses of readiness.
      announcements: Statuses where the target sends its heartbeats.
      metrics: Statuses of the metrics page.
      new: Status of a caller that came during the flood.
    """

    kept: list[int] = dataclasses.field(default_factory=list)
    ready: list[int] = dataclasses.field(default_factory=list)
    announcements: list[int] = dataclasses.field(default_factory=list)
    metrics: list[int] = dataclasses.field(default_factory=list)
    new: int = _NO_ANSWER


@contextlib.asynccontextmanager
async def _flood(
    address: tuple[str, int], count: int
) -> AsyncIterator[list[socket.socket]]:
    """Opens connections, which are closed at the end.

    They come at a pace at which the system drops few opening packets.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert hard >= 2 * count
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with contextlib.ExitStack() as stack:
        opened = []
        for index in range(count):
            if index % _CONNECTS_AT_ONCE == 0:
                await asyncio.sleep(_CONNECT_PAUSE_S)
            connection = stack.enter_context(socket.socket())
            connection.setblocking(False)
            connection.connect_ex(address)
            opened.append(connection)
        yield opened


async def _send_all(connections: list[socket.socket], data: bytes) -> None:
    await asyncio.sleep(0.3)
    for connection in connections:
        with contextlib.suppress(OSError):
            connection.send(data)


async def _status_of(address: tuple[str, int], path: str) -> int:
    """Returns the status of a GET request, 0 without an answer in time."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_ANSWER_LIMIT_S):
            caller = await raw_http.Caller.connect(address)
            with contextlib.closing(caller):
                caller.send_head("GET", path, 0)
                return await caller.read_status()
    return _NO_ANSWER


async def _status_of_new_caller(address: tuple[str, int]) -> int:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_NEW_CALLER_LIMIT_S):
            return await raw_http.upload(address, 1)
    return _NO_ANSWER


async def _use(kept: raw_http.Caller) -> int:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_ANSWER_LIMIT_S):
            kept.send_head("POST", raw_http.PATH, 0)
            return await kept.read_status()
    return _NO_ANSWER


async def _watch(vm: daemons.Vm, kept: raw_http.Caller) -> _Seen:
    seen = _Seen()
    new = asyncio.create_task(_status_of_new_caller(vm.caller_address))
    end_s = asyncio.get_running_loop().time() + _WATCH_S
    while asyncio.get_running_loop().time() < end_s:
        kept_status, ready, announcement = await asyncio.gather(
            _use(kept),
            _status_of((vm.host, daemons.READY_PORT), "/readiness"),
            _status_of((vm.host, raw_target.CONTROL_PORT), "/"),
        )
        if len(seen.ready) % _ROUNDS_PER_SCRAPE == 0:
            seen.metrics.append(
                await _status_of((vm.host, daemons.METRICS_PORT), "/metrics")
            )
        seen.kept.append(kept_status)
        seen.ready.append(ready)
        seen.announcements.append(announcement)
        await asyncio.sleep(_REQUEST_INTERVAL_S)
    seen.new = await new
    return seen


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def _assert_as_before(vm: daemons.Vm) -> None:
    async with asyncio.timeout(_AFTERWARDS_LIMIT_S):
        while not (
            await vm.is_ready()
            and await _status_of_new_caller(vm.caller_address) == 200
        ):
            await asyncio.sleep(_REQUEST_INTERVAL_S)


async def _play(
    fleet: daemons.Fleet, port: int, count: int, data: bytes = b""
) -> None:
    vm = fleet.vms[0]
    kept = await raw_http.Caller.connect(vm.caller_address)
    with contextlib.closing(kept):
        assert await _use(kept) == 200
        log_bytes = vm.log.stat().st_size
        before_s = _processor_s(vm.pid)
        async with _flood((vm.host, port), count) as connections:
            sending = asyncio.create_task(_send_all(connections, data))
            seen = await _watch(vm, kept)
            await sending
        used_s = _processor_s(vm.pid) - before_s
        written = vm.log.stat().st_size - log_bytes
        print(seen, f"{used_s:.2f} s of processor, {written} bytes of log")
        assert not vm.has_ended()
        assert set(seen.ready) == {200}
        assert set(seen.announcements) == {_NO_HEARTBEAT}
        assert set(seen.metrics) == {200}
        assert set(seen.kept) == {200}
        assert seen.new in (200, 503)
        assert written <= _MAX_LOG_BYTES
        assert used_s <= _MAX_PROCESSOR_SHARE * _WATCH_S
        assert b"Traceback" not in vm.log.read_bytes()
        await _assert_as_before(vm)
        assert await _use(kept) == 200


@pytest.mark.parametrize(
    ("port", "data"),
    [
        pytest.param(daemons.CALLER_PORT, b"", id="idle-callers"),
        pytest.param(daemons.CALLER_PORT, _HALF_HEAD, id="slow-callers"),
        pytest.param(daemons.READY_PORT, b"", id="readiness"),
        pytest.param(daemons.METRICS_PORT, b"", id="metrics"),
        pytest.param(raw_target.CONTROL_PORT, b"", id="announcements"),
        pytest.param(daemons.PEER_PORT, b"", id="peers"),
    ],
)
def test_connections_to_one_port_take_all_descriptors(tmp_path, port, data):
    """Guards against a port that takes the descriptors of all the others."""

    async def play() -> None:
        async with daemons.Fleet(
            tmp_path,
            ["desk", "archive"],
            max_descriptors=_MAX_DESCRIPTORS,
        ) as fleet:
            await _play(fleet, port, _CONNECTIONS, data)

    asyncio.run(play())


def test_idle_callers_stop_a_daemon(tmp_path):
    """Guards against accepting until the system refuses, and then spinning."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            await _play(fleet, daemons.CALLER_PORT, 4_600)

    asyncio.run(play())


_TOO_FEW = 10


def test_refusals_of_the_system_keep_a_daemon_busy(tmp_path):
    """Guards against an accept handler that is called again at once.

    The limit of the process falls below what it has open already, so that the
    system refuses each connection to and from it.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[0]
            kept = await raw_http.Caller.connect(vm.caller_address)
            assert await _use(kept) == 200
            limits = resource.prlimit(vm.pid, resource.RLIMIT_NOFILE)
            log_bytes = vm.log.stat().st_size
            before_s = _processor_s(vm.pid)
            resource.prlimit(
                vm.pid, resource.RLIMIT_NOFILE, (_TOO_FEW, limits[1])
            )
            with contextlib.closing(kept):
                async with _flood(vm.caller_address, _CONNECTIONS):
                    await asyncio.sleep(_WATCH_S)
                    assert await _use(kept) == 200
                used_s = _processor_s(vm.pid) - before_s
                written = vm.log.stat().st_size - log_bytes
                print(f"{used_s:.2f} s of processor, {written} bytes of log")
                assert not vm.has_ended()
                assert written <= _MAX_LOG_BYTES
                assert used_s <= _MAX_PROCESSOR_SHARE * _WATCH_S
                assert b"Traceback" not in vm.log.read_bytes()
                resource.prlimit(vm.pid, resource.RLIMIT_NOFILE, limits)
                await _assert_as_before(vm)
                assert await _use(kept) == 200

    asyncio.run(play())
