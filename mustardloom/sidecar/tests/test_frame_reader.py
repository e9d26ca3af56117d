"""Tests of frames that arrive in part."""

import asyncio
import contextlib
import os
import socket

import pytest

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import memory_budget
from mustardloom.http1 import streams
from mustardloom.sidecar import compression
from mustardloom.sidecar import frame_reader
from mustardloom.sidecar import frames

_CAPACITY = 1_000_000
_BODY = os.urandom(200_000)
_PARTIAL = memory_budget.HoldKind.PARTIAL_FRAME


def _encoded(body=_BODY):
    answer = frames.Answer(1, 200, (), body, 0, 0)
    return compression.Compressor().compress(frames.encode(answer))


@contextlib.asynccontextmanager
async def _reading(budget):
    """Yields the far socket, the frames that were read, and the reader."""
    near, far = socket.socketpair()
    far.setblocking(False)
    descriptor = descriptor_budget.unlimited().take()
    stream = streams.CountedStream(near, descriptor)
    read = []
    reader = frame_reader.FrameReader(stream, budget, read.append)
    task = asyncio.create_task(reader.run())
    try:
        yield far, read, task
    finally:
        stream.close()
        far.close()
        await asyncio.gather(task, return_exceptions=True)


async def _send(far, data):
    await asyncio.get_running_loop().sock_sendall(far, data)


def _budget():
    return memory_budget.MemoryBudget(_CAPACITY, clock_lib.SystemClock())


def test_frame_in_part_is_not_in_the_account():
    """Guards against frames in part of many peers, which nobody counts."""

    async def run():
        budget = _budget()
        async with _reading(budget) as (far, read, _):
            data = _encoded()
            await _send(far, data[:150_000])
            while budget.held_by_kind[_PARTIAL] < 140_000:
                await asyncio.sleep(0.01)
            await _send(far, data[150_000:])
            while not read:
                await asyncio.sleep(0.01)
            assert read[0].body == _BODY
            assert budget.held_bytes == 0

    asyncio.run(run())


def test_frame_in_part_takes_the_room_of_others():
    """Guards against frames in part that fill the account of the process."""

    async def run():
        budget = _budget()
        async with _reading(budget) as (far, read, task):
            sending = asyncio.create_task(
                _send(far, _encoded(os.urandom(500_000)))
            )
            with pytest.raises(frame_reader.NoRoomForFrame):
                await task
            sending.cancel()
            assert not read
            assert budget.held_bytes == 0

    asyncio.run(run())


def test_frame_is_given_up_though_room_is_about_to_come():
    """Guards against links that end because two large frames meet."""

    async def run():
        budget = _budget()
        other = budget.try_hold(_CAPACITY // 4, _PARTIAL)
        async with _reading(budget) as (far, read, _):
            sending = asyncio.create_task(_send(far, _encoded()))
            await asyncio.sleep(0.1)
            assert not read
            other.release()
            while not read:
                await asyncio.sleep(0.01)
            await sending
            assert read[0].body == _BODY

    asyncio.run(run())


def test_frame_that_stands_still_keeps_its_room(monkeypatch):
    """Guards against a peer that fell silent within a frame."""
    monkeypatch.setattr(frame_reader, "_STALLED_S", 0.1)

    async def run():
        budget = _budget()
        async with _reading(budget) as (far, _, task):
            await _send(far, _encoded()[:150_000])
            with pytest.raises(TimeoutError):
                await task
            assert budget.held_bytes == 0

    asyncio.run(run())
