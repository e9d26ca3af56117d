"""Tests of what a daemon reports of its descriptors."""

import json
import os

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import metrics as metrics_lib
from mustardloom.sidecar import descriptor_report
from mustardloom.sidecar import events


def test_each_try_writes_a_line():
    """Guards against a log that tells each refusal, or no end of them."""
    clock = clock_lib.FakeClock()
    read_end, write_end = os.pipe()
    log = events.EventLog("vm-1", clock, metrics_lib.Metrics(), write_end)
    budget = descriptor_budget.DescriptorBudget(400)
    report = descriptor_report.DescriptorReport(budget, 600, log, clock)
    share = budget.share(descriptor_budget.User.CALLERS)
    for _ in range(4):
        share.waits += 5
        report.check(share)
        clock.jump(500)
    for _ in range(4):
        clock.jump(500)
        report.check(share)
    os.close(write_end)
    with os.fdopen(read_end) as lines:
        found = [json.loads(line) for line in lines]
    assert [(each["event"], each["waits"]) for each in found] == [
        ("descriptors-short", 5),
        ("descriptors-back", 20),
    ]
    assert found[1]["duration_ms"] == 1_500
    assert report.gauges()["descriptors_callers_waits"] == 20
