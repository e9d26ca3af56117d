"""Tests of the log: rate limit, no blocking, use by `explain`."""

import os

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib
from mustardloom.cli import explain
from mustardloom.sidecar import events


def _log(descriptor, clock=None):
    return events.EventLog(
        "vm", clock or clock_lib.FakeClock(), metrics_lib.Metrics(), descriptor
    )


def _read(descriptor):
    os.set_blocking(descriptor, False)
    try:
        data = os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return []
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_burst_of_refusals_is_rate_limited_and_counted():
    """Guards against a log that costs more than the requests it is about."""
    reader, writer = os.pipe()
    log = _log(writer)
    for number in range(500):
        log.write(events.Event.REQUEST_REFUSED, request=str(number))
    log.write(events.Event.TARGET_DOWN)
    lines = _read(reader)
    assert len(lines) == 61
    assert lines[-1]["event"] == "target-down"
    assert lines[-1]["lines_left_out"] == 440
    os.close(reader)
    os.close(writer)


def test_stalled_reader_of_the_log_blocks_nothing():
    """Guards against requests that wait because nobody reads the log."""
    reader, writer = os.pipe()
    log = _log(writer)
    for number in range(5_000):
        log.write(events.Event.PEER_LOST, peer="p" * 50, number=number)
    os.close(reader)
    log.write(events.Event.PEER_BACK)
    os.close(writer)


def test_trace_of_a_request_has_its_calls_in_order():
    """Guards against lines of a request that are missing or out of order."""
    texts = [
        '  1.5 vm-b {"wall_ms":30,"vm":"b","event":"request-refused",'
        '"request":"c1.r1","reason":"overloaded"}',
        '{"wall_ms":20,"vm":"a","event":"gate-failed","request":"r1"}',
        '{"wall_ms":10,"vm":"a","event":"target-down","presence":"down"}',
        '{"wall_ms":15,"vm":"z","event":"target-down"}',
        '{"wall_ms":25,"vm":"a","event":"gate-failed","request":"r2"}',
        "not a line",
        '{"wall_ms":true}',
    ]
    trace = explain.trace_request("r1", texts)
    assert [line.event for line in trace.lines] == [
        "gate-failed",
        "request-refused",
    ]
    assert [line.vm for line in trace.context] == ["a"]
    assert trace.unreadable == 2


def test_faults_are_written_without_bounds():
    """Guards against an error that repeats and fills the log."""
    reader, writer = os.pipe()
    clock = clock_lib.FakeClock()
    log = _log(writer, clock)
    for number in range(2_000):
        log.write_fault(ValueError(number))
        log.write(events.Event.NOTICE_REJECTED, reason="x")
        clock.jump(5)
    log.write(events.Event.TARGET_DOWN)
    lines = _read(reader)
    # 20 of each at once, and 2 a second for nearly 10 s.
    assert len(lines) == 2 * (20 + 19) + 1
    assert lines[-1]["event"] == "target-down"
    written = sum(line.get("lines_left_out", 0) for line in lines) + len(lines)
    assert written == 4_001
    os.close(reader)
    os.close(writer)


def test_long_or_odd_values_are_written_whole():
    """Guards against lines of any length, and values that end the writer."""

    class _Odd(Exception):
        def __repr__(self):
            raise ValueError("no text")

    reader, writer = os.pipe()
    log = _log(writer)
    log.write_fault(ValueError("x" * 1_000_000))
    log.write_fault(_Odd())
    log.write_fault(ValueError("\udcff"), message="\udcff")
    log.write(events.Event.RELOAD, rejected="\x00" * 100_000, found=[1] * 9_999)
    log.write(events.Event.RELOAD, **{f"name_{i}": "y" * 99 for i in range(99)})
    os.set_blocking(reader, False)
    data = os.read(reader, 1 << 20)
    assert max(map(len, data.splitlines())) < 4_096
    lines = [msgspec.json.decode(line) for line in data.splitlines()]
    assert [line["event"] for line in lines] == ["fault"] * 3 + ["reload"] * 2
    os.close(reader)
    os.close(writer)


def test_event_has_two_rates():
    """Guards against a rate that another one hides."""
    assert not events._REQUEST_EVENTS & events._REPORTS
