"""Tests of real daemons beside targets whose answers have no end."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools

import pytest

from deploy.tests import daemons
from deploy.tests import raw_http

_MIB = 1 << 20
_CALLERS = 200
_READING_CALLERS = 24
_WATCHED_S = 6.0
_LAST_CHUNK = b"0\r\n"


def _short_fields() -> Iterator[bytes]:
    """Yields header fields that take far more memory than bytes."""
    for number in itertools.count():
        yield b"".join(b"%x:%x\r\n" % (index, number) for index in range(4_096))


def _one_field() -> Iterator[bytes]:
    yield b"X-Long: "
    yield from itertools.repeat(bytes(65_536).replace(b"\0", b"x"))


def _interim_answers() -> Iterator[bytes]:
    yield b"Content-Length: 0\r\n\r\n"
    yield from itertools.repeat(b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000)


def _body(size: int) -> Iterator[bytes]:
    yield b"Transfer-Encoding: chunked\r\n\r\n"
    yield b"%x\r\n" % size
    for _ in range(size // 65_536):
        yield bytes(65_536)
    yield b"\r\n"


def _trailer_field() -> Iterator[bytes]:
    """Yields a body, then a field that is allowed to grow with it."""
    yield from _body(4 * _MIB)
    yield _LAST_CHUNK
    yield from _one_field()


def _trailer_fields() -> Iterator[bytes]:
    yield from _body(4 * _MIB)
    yield _LAST_CHUNK
    yield from _short_fields()


def _chunk_extension() -> Iterator[bytes]:
    yield from _body(4 * _MIB)
    yield b"3;"
    yield from itertools.repeat(b"x" * 65_536)


def _chunks_of_a_byte() -> Iterator[bytes]:
    yield b"Transfer-Encoding: chunked\r\n\r\n"
    yield from itertools.repeat(b"1\r\nx\r\n" * 10_000)


async def _read_on(caller: raw_http.Caller) -> None:
    with contextlib.suppress(OSError):
        while await caller.reader.read(_MIB):
            pass


@pytest.mark.parametrize(
    "fault",
    [
        _short_fields,
        _one_field,
        _interim_answers,
        _trailer_field,
        _trailer_fields,
        _chunk_extension,
        _chunks_of_a_byte,
    ],
)
def test_answers_without_end_take_a_daemon_over_its_limit(
    tmp_path, fault: Callable[[], Iterator[bytes]]
):
    """Guards against bytes that are no answer and are kept without end."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            fleet.vms[1].target.fault = fault
            fleet.vms[1].target.slots = 4 * _CALLERS
            await asyncio.sleep(1)
            async with contextlib.AsyncExitStack() as stack:
                reading = []
                for number in range(_CALLERS):
                    for vm in fleet.vms:
                        caller = await raw_http.Caller.connect(
                            vm.caller_address
                        )
                        stack.callback(caller.close)
                        caller.send_head("GET", raw_http.PATH, 0)
                        if number < _READING_CALLERS:
                            task = asyncio.create_task(_read_on(caller))
                            stack.callback(task.cancel)
                            reading.append(task)
                await asyncio.sleep(_WATCHED_S)
            for vm in fleet.vms:
                assert not vm.has_ended()
                assert vm.memory.peak_sum_mb <= daemons.MEMORY_MB

    asyncio.run(play())
