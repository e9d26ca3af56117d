"""Tests of the records of daemons that are gone for good."""

import asyncio
import os
import types
import typing

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import record_removal
from mustardloom.sidecar import registration
from mustardloom.sidecar import shared_state

_OWN = ids.VmId("a")
_LOST = ids.VmId("b")
_SERVICE = ids.ServiceId("s")
# Longer than regions lose each other.
_GONE_MS = 2 * 60 * 60 * 1_000


def _record(vm):
    return stored.DaemonRecord(
        vm,
        "127.0.0.1",
        1,
        ids.AvailabilityZoneId("z"),
        ids.RegionId("r"),
        _SERVICE,
    )


class _Store:
    """A store with records only; the test lists them."""

    def __init__(self):
        self.era = 1
        self.revision = 5
        self.version_by_key = {}
        self.answers = True

    async def write(self, key, value, expected):
        assert expected == ids.NO_VERSION
        del value
        return objects.Written(self.put(key))

    async def delete(self, key, expected):
        if not self.answers:
            raise objects.PlatformUnavailable("down")
        if self.version_by_key.get(key) != expected:
            return False
        self.revision += 1
        del self.version_by_key[key]
        return True

    def put(self, key):
        self.revision += 1
        version = stored.version_of(self.era, self.revision)
        self.version_by_key[key] = version
        return version

    def listing(self):
        found = tuple(
            objects.Versioned(key, version, b"{}")
            for key, version in self.version_by_key.items()
        )
        version = stored.version_of(self.era, self.revision)
        return objects.Listing(found, version)


class _Setup:
    """One daemon that knows of another one, which is lost."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.store = _Store()
        self.unreachable_ms = _GONE_MS
        self.is_named = False
        self.state = shared_state.SharedState(
            self.store,
            self.clock,
            lambda _: None,
            lambda: False,
            lambda _: None,
        )
        links = types.SimpleNamespace(
            set_peers=lambda _: None,
            is_up=lambda _: False,
            unreachable_ms=lambda vm: self.unreachable_ms if vm == _LOST else 0,
        )
        self.fleet = fleet_lib.Fleet(_record(_OWN), links, self.clock)
        null = os.open(os.devnull, os.O_WRONLY)
        keyspace: typing.Any = types.SimpleNamespace(
            is_established=True, names=lambda _: self.is_named
        )
        self.removal = record_removal.RecordRemoval(
            self.store,
            self.state,
            self.fleet,
            links,
            {_SERVICE: keyspace},
            self.clock,
            events.EventLog("a", self.clock, metrics_lib.Metrics(), null),
        )
        self.registration = registration.Registration(
            self.store, self.state, _record(_OWN), self.clock
        )

    def list(self):
        listing = self.store.listing()
        self.state.apply_listing(stored.Kind.DAEMON, listing)

    def run(self, scenario):
        async def run():
            await self.registration.register()
            self.store.put(_key(_LOST))
            self.list()
            self.fleet.set_listed([_record(_OWN), _record(_LOST)])
            await scenario()

        asyncio.run(run())

    def known(self):
        return set(self.store.version_by_key)


def _key(vm):
    return stored.key(stored.Kind.DAEMON, vm)


def test_record_of_a_daemon_that_is_gone_is_removed():
    """Guards against lists and links that grow with each VM that was lost."""
    setup = _Setup()

    async def scenario():
        setup.unreachable_ms = _GONE_MS - 1
        await setup.removal.remove()
        assert _key(_LOST) in setup.known()
        setup.unreachable_ms = _GONE_MS
        setup.store.answers = False
        await setup.removal.remove()
        setup.store.answers = True
        await setup.removal.remove()
        assert setup.known() == {_key(_OWN)}

    setup.run(scenario)


def test_record_that_a_key_map_names_stays():
    """Guards against a paused VM that is forgotten while it may hold keys."""
    setup = _Setup()
    setup.is_named = True

    async def scenario():
        await setup.removal.remove()
        assert _key(_LOST) in setup.known()

    setup.run(scenario)


def test_daemon_that_registers_again_meanwhile_keeps_its_record():
    """Guards against a removal that meets the record of a new process."""
    setup = _Setup()

    async def scenario():
        setup.store.put(_key(_LOST))
        await setup.removal.remove()
        assert _key(_LOST) in setup.known()

    setup.run(scenario)


def test_daemon_that_only_connected_is_forgotten_when_it_is_gone():
    """Guards against daemons without a record that are dialled for good."""
    setup = _Setup()

    async def scenario():
        setup.fleet.set_listed([_record(_OWN)])
        setup.fleet.add_connected(_record(_LOST))
        assert _LOST in setup.fleet.by_vm
        await setup.removal.remove()
        assert _LOST not in setup.fleet.by_vm

    setup.run(scenario)


def test_daemon_whose_record_was_removed_registers_again():
    """Guards against a paused VM that nobody finds when it comes back."""
    setup = _Setup()

    async def scenario():
        assert not setup.registration.is_lost()
        del setup.store.version_by_key[_key(_OWN)]
        setup.store.revision += 1
        setup.list()
        assert setup.registration.is_lost()
        assert not setup.registration.is_lost()
        await setup.registration.register()
        setup.list()
        assert not setup.registration.is_lost()
        assert _key(_OWN) in setup.known()

    setup.run(scenario)


def test_daemon_that_ends_its_registration_does_not_register_again():
    """Guards against a record that outlives a planned removal."""
    setup = _Setup()

    async def scenario():
        assert not setup.registration.is_lost()
        await setup.registration.end()
        setup.list()
        assert not setup.registration.is_lost()
        assert _key(_OWN) not in setup.known()

    setup.run(scenario)
