"""Tests of what a daemon takes from a store that was restored from a copy."""

import os
import types

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.keys import key_map
from mustardloom.sidecar import events
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import unreadable_objects

_KIND = stored.Kind.KEY_MAP
_KEY = stored.key(_KIND, "s")


def _stored_map(map_version, map_era, version):
    found = key_map.KeyMap(map_version, key_map.empty().rows, {}, map_era)
    return objects.Versioned(_KEY, version, key_map.encode(found))


class _Setup:
    """A key space whose map object the test lists as the store does."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.state = shared_state.SharedState(
            types.SimpleNamespace(era=1),
            self.clock,
            lambda _: self.adopt(),
            lambda: False,
            lambda _: None,
        )
        null = os.open(os.devnull, os.O_WRONLY)
        log = events.EventLog("a", self.clock, metrics_lib.Metrics(), null)
        self.keyspace = keyspace_lib.Keyspace(
            ids.ServiceId("s"),
            types.SimpleNamespace(bounds=None, vm=ids.VmId("a")),
            self.state,
            None,
            None,
            None,
            self.clock,
            log,
            unreadable_objects.UnreadableObjects(log),
        )

    def adopt(self):
        found = self.state.by_kind[_KIND].by_key.get(_KEY)
        if found is not None:
            self.keyspace.adopt(found)

    def list(self, era, revision, map_version=None, map_era=None):
        version = stored.version_of(era, revision)
        contents: tuple[objects.Versioned, ...] = ()
        if map_version is not None:
            contents = (_stored_map(map_version, map_era, version),)
        self.state.apply_listing(_KIND, objects.Listing(contents, version))

    def known(self):
        current = self.keyspace.current_map
        return None if current is None else current.version


def test_older_copy_replaces_no_map_and_is_what_the_next_write_replaces():
    """Guards against grants by an old map, and writes that always conflict."""
    setup = _Setup()
    setup.list(1, 9, map_version=5, map_era=1)
    setup.list(2, 6, map_version=3, map_era=1)
    assert setup.known() == 5
    assert not setup.keyspace.is_established
    assert setup.keyspace.store_version == stored.version_of(2, 6)


def test_write_after_a_second_restore_is_not_based_on_the_first_copy():
    """Guards against a planner that never writes a map again."""
    setup = _Setup()
    setup.list(1, 9, map_version=5, map_era=1)
    setup.list(2, 6, map_version=3, map_era=1)
    setup.list(3, 2)
    assert setup.keyspace.store_version == ids.NO_VERSION
    assert not setup.keyspace.is_established


def test_daemon_without_a_map_does_not_use_the_copy():
    """Guards against grants by a copy that a restarted daemon reads first."""
    setup = _Setup()
    setup.list(2, 6, map_version=3, map_era=1)
    assert setup.known() is None
    basis, was_in_use = setup.keyspace.restoration_basis()
    assert (basis.version, was_in_use) == (3, False)
    setup.list(2, 7, map_version=70_000, map_era=2)
    assert setup.known() == 70_000
    assert setup.keyspace.is_established


def test_map_of_an_earlier_era_changes_nothing_after_a_restore():
    """Guards against a report that is no longer true when it is used."""
    setup = _Setup()
    setup.list(1, 9, map_version=5, map_era=1)
    setup.list(2, 6, map_version=3, map_era=1)
    lost = _stored_map(6, 1, stored.version_of(1, 10))
    listing = objects.Listing((lost,), stored.version_of(1, 10))
    setup.state.apply_listing(_KIND, listing)
    assert setup.known() == 5
    basis, was_in_use = setup.keyspace.restoration_basis()
    assert (basis.version, was_in_use) == (6, True)
