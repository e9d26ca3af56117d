"""Tests of the shared types."""

import asyncio

import pytest

from mustardloom import clock
from mustardloom import findings
from mustardloom import ids


def test_fake_clock_wakes_sleepers_in_order():
    """Guards against tests that pass only because of wrong wake order."""

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
    """Guards against stopping at the first fault of an input."""
    place = findings.Place("a.yaml", 3)
    found = [findings.Finding(place, text) for text in ("one", "two")]
    with pytest.raises(findings.FindingsError) as caught:
        findings.raise_if_any(iter(found))
    assert str(caught.value) == "a.yaml:3: one\na.yaml:3: two"


def test_member_ids_differ_between_lives():
    """Guards against two lives of a daemon that share a fencing identity."""
    vm = ids.VmId("vm-1")
    first = ids.new_member_id(vm)
    assert first != ids.new_member_id(vm)
    assert ids.vm_of(first) == vm
