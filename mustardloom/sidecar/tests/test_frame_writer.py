"""Tests of frames that wait for a peer that does not read."""

import asyncio
import os
import socket

from tornado import iostream

from mustardloom import clock as clock_lib
from mustardloom import memory_budget
from mustardloom.sidecar import frame_writer
from mustardloom.sidecar import frames


def test_frames_that_wait_for_a_slow_peer_are_counted():
    """Guards against answers that fill the process behind a silent daemon."""

    async def run():
        near, far = socket.socketpair()
        stream = iostream.IOStream(near)
        budget = memory_budget.unlimited(clock_lib.FakeClock())
        writer = frame_writer.FrameWriter(stream, budget)
        body = os.urandom(16_000)
        frame = frames.Answer(1, 200, (), body, 0, 0)
        while not budget.held_bytes:
            assert writer.write(frame)
        for _ in range(10):
            writer.write(frame)
        held = budget.held_bytes
        stream.close()
        await asyncio.sleep(0)
        far.close()
        return held, budget.held_bytes, writer.write(frame)

    held, held_after, is_written = asyncio.run(run())
    assert held >= 10 * 16_000
    assert held_after == 0
    assert not is_written


def test_peer_that_does_not_read_takes_all_room():
    """Guards against replies without end for a peer that reads none."""

    async def run():
        near, far = socket.socketpair()
        stream = iostream.IOStream(near)
        budget = memory_budget.MemoryBudget(1_000_000, clock_lib.FakeClock())
        writer = frame_writer.FrameWriter(stream, budget)
        frame = frames.Answer(1, 200, (), os.urandom(16_000), 0, 0)
        count = 0
        peak = 0
        while writer.write(frame):
            count += 1
            assert count < 1_000
            peak = max(peak, budget.held_bytes)
        is_closed = stream.closed()
        await asyncio.sleep(0)
        far.close()
        return peak, is_closed, budget.held_bytes

    peak, is_closed, held_after = asyncio.run(run())
    assert 0 < peak <= 500_000
    assert is_closed
    assert held_after == 0


def test_frame_that_may_have_left_counts_as_not_sent():
    """Guards against a request that runs twice because its link had no room."""

    async def run():
        near, far = socket.socketpair()
        stream = iostream.IOStream(near)
        budget = memory_budget.MemoryBudget(1_000_000, clock_lib.FakeClock())
        writer = frame_writer.FrameWriter(stream, budget)
        frame = frames.Answer(1, 200, (), os.urandom(16_000), 0, 0)
        results = []
        while not stream.closed():
            results.append(writer.write(frame))
        await asyncio.sleep(0)
        far.close()
        return results, writer.write(frame)

    results, after = asyncio.run(run())
    assert all(results)
    assert not after
