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


_CAPACITY = 1_000_000


def _write_until_closed():
    """Writes to a peer that reads nothing.

    Returns the results of the writes, the next result, and the bytes that were
    held at the most and at the end.
    """

    async def run():
        near, far = socket.socketpair()
        stream = iostream.IOStream(near)
        budget = memory_budget.MemoryBudget(_CAPACITY, clock_lib.FakeClock())
        writer = frame_writer.FrameWriter(stream, budget)
        frame = frames.Answer(1, 200, (), os.urandom(16_000), 0, 0)
        results = []
        peak = 0
        while not stream.closed():
            results.append(writer.write(frame))
            assert len(results) < 1_000
            peak = max(peak, budget.held_bytes)
        await asyncio.sleep(0)
        far.close()
        return results, writer.write(frame), peak, budget.held_bytes

    return asyncio.run(run())


def test_peer_that_does_not_read_takes_all_room():
    """Guards against replies without end for a peer that reads none."""
    _, _, peak, held_after = _write_until_closed()
    assert 0 < peak <= _CAPACITY // 2
    assert held_after == 0


def test_frame_that_may_have_left_counts_as_not_sent():
    """Guards against a request that runs twice because its link had no room."""
    results, after, _, _ = _write_until_closed()
    assert all(results)
    assert not after
