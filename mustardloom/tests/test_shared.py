"""Tests of the shared types."""

import asyncio
import socket

import pytest
import statsd

from mustardloom import clock
from mustardloom import findings
from mustardloom import ids
from mustardloom import metrics


def test_fake_clock_wakes_sleepers_in_order():
    """Guards against tests that pass only because of a wrong wake-up order."""

    async def scenario():
        fake = clock.FakeClock()
        woken = []

        async def sleeper(name, duration_ms):
            await fake.sleep_ms(duration_ms)
            woken.append((name, fake.now_ms()))

        tasks = [
            asyncio.create_task(sleeper("b", 20)),
            asyncio.create_task(sleeper("a", 10)),
        ]
        await fake.advance(30)
        await asyncio.gather(*tasks)
        return woken

    assert asyncio.run(scenario()) == [("a", 1_010), ("b", 1_020)]


def test_findings_are_reported_together():
    """Guards against reporting only the first fault of an input."""
    place = findings.Place("a.yaml", 3)
    found = [findings.Finding(place, text) for text in ("one", "two")]
    with pytest.raises(findings.FindingsError) as caught:
        findings.raise_if_any(iter(found))
    assert str(caught.value) == "a.yaml:3: one\na.yaml:3: two"


def test_member_ids_differ_between_incarnations():
    """Guards against two incarnations of a daemon that are fenced as one."""
    vm = ids.VmId("vm-1")
    first = ids.new_member_id(vm)
    assert first != ids.new_member_id(vm)
    assert ids.vm_of(first) == vm


def test_metrics_send_changes_by_statsd():
    """Guards against sending the total of a counter again at each flush."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(20)
        client = statsd.StatsClient(*receiver.getsockname(), prefix="m")
        collected = metrics.Metrics(client)
        collected.increment("requests", 2)
        collected.gauge("queued", 3)
        collected.flush()
        first = receiver.recv(1_000).decode().split()
        collected.increment("requests")
        collected.flush()
        second = receiver.recv(1_000).decode().split()
    assert "m.requests:2|c" in first
    assert "m.queued:3|g" in first
    assert "m.requests:1|c" in second
