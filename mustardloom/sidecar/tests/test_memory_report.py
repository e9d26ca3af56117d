"""Tests of what a daemon tells of its memory."""

import asyncio
import os
import socket

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import memory_budget
from mustardloom import metrics as metrics_lib
from mustardloom import process_memory
from mustardloom.sidecar import events
from mustardloom.sidecar import memory_report

_BUDGET_BYTES = 1_000
# Less than any process has.
_LIMIT_MB = 1


def _report(descriptor):
    clock = clock_lib.SystemClock()
    log = events.EventLog("vm", clock, metrics_lib.Metrics(), descriptor)
    budget = memory_budget.MemoryBudget(_BUDGET_BYTES, clock)
    budget.try_hold(300)
    return memory_report.MemoryReport(budget, _LIMIT_MB, log, clock)


def test_process_near_its_limit_of_memory_says_nothing():
    """Guards against a daemon that is ended and leaves no cause in its log."""

    async def run():
        reader, writer = os.pipe()
        watching = asyncio.create_task(_report(writer).watch())
        line = await asyncio.to_thread(os.read, reader, 1 << 16)
        await asyncio.sleep(1.2)
        watching.cancel()
        os.close(writer)
        return msgspec.json.decode(line), os.read(reader, 1 << 16)

    line, later = asyncio.run(run())
    assert line["event"] == "memory-high"
    assert line["resident_bytes"] > _LIMIT_MB << 20
    assert line["held_message_bytes"] == 300
    assert later == b""


def test_start_line_leaves_out_what_memory_depends_on():
    """Guards against two machines that differ by what no log tells."""
    told = _report(os.open(os.devnull, os.O_WRONLY)).at_start()
    assert {"sources", "python", "machine", "page_bytes", "huge_pages"} <= set(
        told
    )
    assert told["memory_limit_mb"] == _LIMIT_MB


def test_unread_bytes_are_not_counted():
    """Guards against received bytes that no metric shows."""
    near, far = socket.socketpair()
    before = process_memory.read().unread_bytes
    far.send(bytes(5_000))
    assert process_memory.read().unread_bytes - before == 5_000
    near.close()
    far.close()
