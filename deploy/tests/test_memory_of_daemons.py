"""Tests of the memory of real daemons, read from the system.

They need no type of the product and run on earlier versions, too.
"""

import asyncio
import contextlib
import resource
import signal
import socket
import struct
import zlib

import pytest

from deploy.tests import daemons
from deploy.tests import memory_watch
from deploy.tests import raw_http

_MIB = memory_watch.MIB
_LIMIT_MB = daemons.MEMORY_MB
# What a connection may have unread while no long body arrives on it.
_SMALL_WINDOW_BYTES = 16_384


def _assert_within_limit(fleet: daemons.Fleet) -> None:
    for vm in fleet.vms:
        assert not vm.has_ended()
        assert vm.memory.peak_mb <= _LIMIT_MB
        assert vm.memory.peak_sum_mb <= _LIMIT_MB


async def _upload_at_once(
    address: tuple[str, int], size: int, count: int
) -> list[int]:
    return await asyncio.gather(
        *(raw_http.upload(address, size) for _ in range(count))
    )


def test_uploads_at_once_take_a_daemon_over_its_limit(tmp_path):
    """Guards against bodies that stand whole in a process (review/3)."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            address = fleet.vms[0].caller_address
            statuses = await _upload_at_once(address, 60 * _MIB, 4)
            _assert_within_limit(fleet)
            assert statuses == [200] * 4

    asyncio.run(play())


def test_long_body_arrives_through_a_small_window(tmp_path):
    """Guards against windows that halve the pace of long bodies.

    While the daemon is suspended, its system takes as much as the window holds.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[0]
            uploads = asyncio.create_task(
                _upload_at_once(vm.caller_address, 20 * _MIB, 3)
            )
            await asyncio.sleep(0.1)
            for _ in range(3):
                vm.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.3)
                vm.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.02)
            assert await uploads == [200] * 3
            assert vm.memory.peak_unread_mb > 3 * _SMALL_WINDOW_BYTES / _MIB
            _assert_within_limit(fleet)

    asyncio.run(play())


def test_long_answers_at_once_take_a_daemon_over_its_limit(tmp_path):
    """Guards against answers that stand whole in a process."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            fleet.vms[1].target.answer_bytes = 8 * _MIB
            address = fleet.vms[0].caller_address
            statuses = await _upload_at_once(address, 1, 24)
            _assert_within_limit(fleet)
            assert statuses == [200] * 24

    asyncio.run(play())


def test_answers_that_nobody_reads_take_a_daemon_over_its_limit(tmp_path):
    """Guards against answers that stand whole while their callers are slow."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            fleet.vms[1].target.answer_bytes = 8 * _MIB
            async with contextlib.AsyncExitStack() as stack:
                for _ in range(60):
                    caller = await raw_http.Caller.connect(
                        fleet.vms[0].caller_address
                    )
                    stack.callback(caller.close)
                    caller.send_head("POST", raw_http.PATH, 0)
                await asyncio.sleep(3)
                _assert_within_limit(fleet)

    asyncio.run(play())


_CALLERS = 3_500
# Descriptors of this process beside those of the callers.
_OTHER_DESCRIPTORS = 200
# So that these callers leave the system's memory for TCP to others.
_SEND_BUFFER_BYTES = 65_536
_CONNECTS_AT_ONCE = 100


async def _connect_many(vm: daemons.Vm) -> list[socket.socket]:
    """Opens as many connections as a daemon has descriptors for, nearly."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert hard >= _CALLERS + _OTHER_DESCRIPTORS
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    callers = []
    for index in range(_CALLERS):
        caller = socket.socket()
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        caller.connect(vm.caller_address)
        caller.setblocking(False)
        callers.append(caller)
        if index % _CONNECTS_AT_ONCE == 0:
            await asyncio.sleep(0.05)
    return callers


def _begin_upload(caller: socket.socket, number: int) -> None:
    """Sends as much of an upload as the system takes."""
    head = (
        f"POST {raw_http.PATH} HTTP/1.1\r\nHost: {raw_http.HOST}\r\n"
        f"X-Request-Id: {number}\r\nX-Deadline-Ms: 10000\r\n"
        f"Content-Length: {60 * _MIB}\r\n\r\n"
    )
    with contextlib.suppress(OSError):
        caller.send(head.encode())
        while caller.send(bytes(65_536)):
            pass


def test_unread_bytes_of_many_callers_take_a_daemon_over_its_limit(tmp_path):
    """Guards against receive buffers, and pieces per connection, unbounded."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[0]
            callers = await _connect_many(vm)
            vm.send_signal(signal.SIGSTOP)
            for number, caller in enumerate(callers):
                _begin_upload(caller, number)
            await asyncio.sleep(0.5)
            vm.send_signal(signal.SIGCONT)
            await asyncio.sleep(4)
            for caller in callers:
                caller.close()
            _assert_within_limit(fleet)
            assert await raw_http.upload(vm.caller_address, _MIB) == 200

    asyncio.run(play())


_FRAME_BYTES = 16 * _MIB


def _frame_in_part() -> bytes:
    """Returns all but the last byte of the largest frame, compressed."""
    compressor = zlib.compressobj(1, zlib.DEFLATED, -12)
    data = struct.pack("!I", _FRAME_BYTES) + bytes(_FRAME_BYTES - 1)
    return compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH)


@pytest.mark.parametrize("peers", [2, 20, 200])
def test_frames_in_part_take_a_daemon_over_its_limit(tmp_path, peers):
    """Guards against frames of many peers that have arrived in part."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[1]
            data = _frame_in_part()
            async with contextlib.AsyncExitStack() as stack:
                for _ in range(peers):
                    _, writer = await asyncio.open_connection(
                        vm.host, daemons.PEER_PORT
                    )
                    stack.callback(writer.close)
                    writer.write(data)
                await asyncio.sleep(3)
                address = fleet.vms[0].caller_address
                assert await raw_http.upload(address, _MIB) == 200
            _assert_within_limit(fleet)

    asyncio.run(play())
