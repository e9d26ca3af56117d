"""Confirmation of the key map through one reader in each region."""

import asyncio
import types

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.keys import key_map
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import map_confirmation
from mustardloom.sidecar import shared_state

_KIND = stored.Kind.KEY_MAP
_KEY = stored.key(_KIND, "s")
_OWN = ids.VmId("a")
_READER = ids.VmId("z")


class _Store:
    """Fake store with one key map; counts its calls by kind."""

    era = 0

    def __init__(self):
        self.is_up = True
        self.has_history = True
        self.version = ids.Version(5)
        self.lists = 0
        self.watches = 0

    async def list_objects(self, kind):
        self._check()
        self.lists += 1
        return objects.Listing((self._map(),), self.version)

    async def watch(self, kind, after, wait_ms):
        self._check()
        self.watches += 1
        assert wait_ms == 0
        if not self.has_history:
            raise stored.HistoryGone(kind.value)
        events: tuple[objects.Event, ...] = ()
        if after < self.version:
            events = (objects.Event(_KEY, self.version, self._map().value),)
        return objects.WatchBatch(events, self.version)

    def _map(self):
        return objects.Versioned(_KEY, self.version, b"map%d" % self.version)

    def _check(self):
        if not self.is_up:
            raise objects.PlatformUnavailable("down")


class _Links:
    """Fake links; `reply_by_vm` gives the answer of each reachable VM."""

    def __init__(self):
        self.reply_by_vm = {}
        self.asked = []

    def reachable_vms(self):
        return iter(self.reply_by_vm)

    async def call(self, vm, make):
        self.asked.append(vm)
        if vm not in self.reply_by_vm:
            raise links_lib.PeerUnreachable(vm)
        return self.reply_by_vm[vm](make(1))


class _Setup:
    """A confirmer whose fleet has `_READER` as the reader of the region."""

    def __init__(self, reader=_READER):
        self.store = _Store()
        self.clock = clock_lib.FakeClock()
        self.links = _Links()
        self.known = ids.Version(5)
        self.applied = []
        self.state = shared_state.SharedState(
            self.store,
            self.clock,
            lambda _: None,
            lambda: False,
            lambda _: None,
        )
        fleet = types.SimpleNamespace(
            own_record=types.SimpleNamespace(vm=_OWN),
            store_reader=lambda: reader,
        )
        self.confirmer = map_confirmation.MapConfirmer(
            ids.ServiceId("s"),
            self.state,
            fleet,
            self.links,
            self.clock,
            lambda: self.known,
            self.applied.append,
        )


def _reply(version=5, value=b"", age_ms=0):
    return lambda query: frames.AuthorityReply(
        query.number, version, value, age_ms
    )


def test_reader_of_the_region_saves_calls_of_the_store():
    """A hundred owners that each read the map made most calls of the store."""

    async def run():
        setup = _Setup()
        setup.links.reply_by_vm[_READER] = _reply(age_ms=400)
        assert await setup.confirmer.confirm() == setup.clock.now_ms() - 400
        assert setup.store.lists == setup.store.watches == 0

    asyncio.run(run())


def test_map_that_cannot_be_used_confirms_nothing():
    """A daemon that can't decode the newest map must not grant by an old one.

    It would hand out keys that the newest map gives to another owner.
    """

    async def run():
        setup = _Setup()
        setup.links.reply_by_vm[_READER] = _reply(6, b"unreadable")
        setup.store.version = ids.Version(6)
        assert await setup.confirmer.confirm() is None
        assert setup.applied

    asyncio.run(run())


def test_lost_reader_is_replaced_by_an_own_read():
    """Guards against leases that lapse because one daemon was lost."""

    async def run():
        setup = _Setup()
        assert await setup.confirmer.confirm() == setup.clock.now_ms()
        assert setup.links.asked == [_READER]
        assert setup.store.lists == 1

    asyncio.run(run())


def test_other_daemons_are_asked_while_the_store_turns_this_one_away():
    """The store may refuse some VMs and serve the others."""

    async def run():
        setup = _Setup()
        setup.store.is_up = False
        setup.links.reply_by_vm[ids.VmId("m")] = _reply(age_ms=100)
        assert await setup.confirmer.confirm() == setup.clock.now_ms() - 100

    asyncio.run(run())


def test_query_is_answered_by_a_recent_read_with_its_age():
    """Queries within a short time share one read, and learn how old it is."""

    async def run():
        setup = _Setup(reader=_OWN)
        query = frames.AuthorityQuery(1, "s", 5)
        first = await setup.confirmer.on_query(query)
        assert (first.version, first.value, first.age_ms) == (5, b"", 0)
        await setup.clock.advance(500)
        second = await setup.confirmer.on_query(query)
        assert second.age_ms == 500
        assert (setup.store.lists, setup.store.watches) == (1, 0)
        await setup.clock.advance(500)
        setup.store.version = ids.Version(6)
        third = await setup.confirmer.on_query(query)
        assert (third.version, third.value, third.age_ms) == (6, b"map6", 0)
        assert (setup.store.lists, setup.store.watches) == (1, 1)

    asyncio.run(run())


def test_lost_history_leads_to_a_listing():
    """The store may forget its history sooner than it says."""

    async def run():
        setup = _Setup(reader=_OWN)
        assert await setup.confirmer.read()
        setup.store.has_history = False
        await setup.clock.advance(1_000)
        assert await setup.confirmer.read()
        assert setup.store.lists == 2

    asyncio.run(run())


def test_map_from_an_older_copy_of_the_store_confirms_nothing():
    """Guards against grants by a map that is older than a lost one."""

    async def run():
        setup = _Setup(reader=_OWN)
        restored = key_map.KeyMap(1, key_map.empty().rows, {}, era=1)
        version = stored.version_of(2, 4)
        setup.known = version
        setup.state.apply_listing(
            _KIND,
            objects.Listing(
                (objects.Versioned(_KEY, version, key_map.encode(restored)),),
                version,
            ),
        )
        assert await setup.confirmer.confirm() is None
        assert await setup.confirmer.read() is False
        reply = await setup.confirmer.on_query(frames.AuthorityQuery(1, "s"))
        assert reply.version == 0

    asyncio.run(run())
