"""Tests of whom a daemon pings while it waits for an earlier owner.

Load pattern: with 63 daemons whose keys move each second, every daemon that
receives keys pinged all others, 7.8 pings a second for each daemon, most of
them to other regions.
"""

import asyncio
import os
import types

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.keys import authority
from mustardloom.keys import key_map
from mustardloom.sidecar import events
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import unreadable_objects

_OWN, _PREVIOUS = ids.VmId("own"), ids.VmId("previous")
_NEAR = [ids.VmId(f"near-{number}") for number in range(20)]
_FAR = [ids.VmId(f"far-{number}") for number in range(40)]
_DAEMONS = 2 + len(_NEAR) + len(_FAR)
_ERA = 1


class _Fleet:
    """Daemons of two regions, of which some cannot be reached."""

    def __init__(self):
        self.unreachable = set()
        self.by_vm = dict.fromkeys([_OWN, _PREVIOUS, *_NEAR, *_FAR])

    def is_reachable(self, vm):
        return vm not in self.unreachable

    def same_region(self):
        return filter(self.is_reachable, [_PREVIOUS, *_NEAR])

    def other_regions(self):
        return filter(self.is_reachable, _FAR)


class _Links:
    """Notes the pings of each round; the earlier owner never answers."""

    def __init__(self):
        self.rounds = []

    def ping(self, vms):
        self.rounds.append(list(vms))

    async def call(self, vm, make):
        await asyncio.sleep(60)


class _Setup:
    """A daemon that has just received keys of another one."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.fleet = _Fleet()
        self.links = _Links()
        state = shared_state.SharedState(
            types.SimpleNamespace(era=_ERA),
            self.clock,
            lambda _: None,
            lambda: False,
            lambda _: None,
        )
        null = os.open(os.devnull, os.O_WRONLY)
        log = events.EventLog(_OWN, self.clock, metrics_lib.Metrics(), null)
        self.keyspace = keyspace_lib.Keyspace(
            ids.ServiceId("s"),
            types.SimpleNamespace(bounds=None, vm=_OWN),
            state,
            self.fleet,
            self.links,
            None,
            self.clock,
            log,
            unreadable_objects.UnreadableObjects(log),
        )
        last = key_map.KEY_COUNT - 1
        row = key_map.Row(0, last, _OWN, 2, _PREVIOUS, 1)
        moved = key_map.KeyMap(2, (row,), {}, _ERA)
        key = stored.key(stored.Kind.KEY_MAP, "s")
        version = stored.version_of(_ERA, 2)
        self.keyspace.adopt(
            objects.Versioned(key, version, key_map.encode(moved))
        )

    def report(self, vms, version):
        """Lets daemons report a version of the map."""
        for vm in vms:
            report = authority.MapReport(0, version, True, _DAEMONS, _ERA)
            self.keyspace.on_map_report(vm, report)

    def wait(self, *between):
        """Waits for two rounds of pings; calls each of `between` after one."""

        async def run():
            waiting = asyncio.ensure_future(self.keyspace.request_releases())
            for call in (*between, lambda: None):
                rounds = len(self.links.rounds)
                for _ in range(40):
                    await self.clock.advance(20)
                    self.keyspace._expire_pending()
                    if len(self.links.rounds) > rounds:
                        break
                call()
            waiting.cancel()

        asyncio.run(run())
        return self.links.rounds


def test_first_pings_go_to_as_many_as_a_majority_needs_and_near_ones_first():
    """Guards against pings of every daemon to every other on each move."""
    setup = _Setup()
    first = setup.wait()[0]
    needed = _DAEMONS - _DAEMONS // 2 - 1
    assert needed < len(first) <= needed * 5 // 4 + 1
    assert set(_NEAR) < set(first)


def test_those_that_know_the_map_are_not_asked_again():
    """Guards against pings whose answer is known."""
    setup = _Setup()
    setup.report(_NEAR, 2)
    setup.report(_FAR, 1)
    first = setup.wait()[0]
    assert not set(first) & set(_NEAR)


def test_second_pings_go_to_all_that_may_lack_the_map():
    """Guards against a wait without end for daemons that never get the map."""
    setup = _Setup()
    rounds = setup.wait(lambda: setup.report(_NEAR, 1))
    assert set(rounds[1]) == {_PREVIOUS, *_NEAR, *_FAR}


def test_keys_of_a_daemon_that_is_lost_wait_for_no_second_round():
    """Guards against later service of the keys of a lost daemon."""
    setup = _Setup()
    setup.fleet.unreachable = {_PREVIOUS}
    assert set(setup.wait()[0]) == {*_NEAR, *_FAR}


@pytest.mark.parametrize("informed", [0, 10, 30, 31, 40])
def test_missing_reports_are_those_that_exclude_a_majority(informed):
    """Guards against a count that differs from what the countdown needs."""
    found = authority.Authority()
    for number in range(informed):
        report = authority.MapReport(0, 2, True, _DAEMONS, _ERA)
        found.record_report(ids.VmId(str(number)), report)
    missing = found.missing_reports(2, _DAEMONS)
    for number in range(missing):
        assert not found.excludes_stale_majority(2, _DAEMONS)
        report = authority.MapReport(0, 2, True, _DAEMONS, _ERA)
        found.record_report(ids.VmId(f"more-{number}"), report)
    assert found.excludes_stale_majority(2, _DAEMONS)
