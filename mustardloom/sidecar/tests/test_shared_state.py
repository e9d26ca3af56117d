"""Tests of the local replicas of stored objects."""

import asyncio

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import kind_replica
from mustardloom.sidecar import shared_state

_KIND = stored.Kind.CONFIGURATION
_KEY = stored.key(_KIND, "main")


def _object(version, value=b"{}"):
    return objects.Versioned(_KEY, ids.Version(version), value)


def _event(version, value=b"{}"):
    return objects.Event(_KEY, ids.Version(version), value)


class _Store:
    """Fake store with one object, which the test changes.

    Attributes:
      is_up: Whether it answers.
      history_gone: Whether the next watch fails, so that a listing is needed.
      waits: `wait_ms` of each watch.
      lists: Number of listings.
    """

    era = 0

    def __init__(self):
        self.is_up = True
        self.history_gone = False
        self.version = ids.Version(5)
        self.contents: tuple[objects.Versioned, ...] = (_object(5),)
        self.waits = []
        self.lists = 0
        self.wake = asyncio.Event()

    async def list_objects(self, kind):
        self._check()
        self.lists += 1
        contents = self.contents if kind is _KIND else ()
        return objects.Listing(contents, self.version)

    async def watch(self, kind, after, wait_ms):
        self.waits.append(wait_ms)
        self._check()
        if self.history_gone:
            self.history_gone = False
            raise stored.HistoryGone(kind.value)
        if wait_ms and after == self.version:
            await self.wake.wait()
            self._check()
        events = tuple(
            objects.Event(each.key, each.version, each.value)
            for each in self.contents
        )
        newer = tuple(each for each in events if each.version > after)
        return objects.WatchBatch(newer, self.version)

    def _check(self):
        if not self.is_up:
            raise objects.PlatformUnavailable("down")

    def change(self, version, value):
        self.version = ids.Version(version)
        self.contents = (_object(version, value),)
        self.wake_up()

    def wake_up(self):
        """Makes the waiting watches return."""
        self.wake.set()
        self.wake = asyncio.Event()


def _run(scenario, watch_rank=lambda: 0):
    async def run():
        store, clock = _Store(), clock_lib.FakeClock()
        updates, answers = [], []
        state = shared_state.SharedState(
            store,
            clock,
            lambda _: None,
            watch_rank,
            updates.append,
            answers.append,
        )
        task = asyncio.ensure_future(state.follow(_KIND))
        await clock.advance(shared_state._REPLICA_WAIT_MS)
        try:
            return await scenario(store, clock, state, updates, answers)
        finally:
            task.cancel()

    return asyncio.run(run())


def test_recovery_of_the_store_is_noticed_at_once():
    """Guards against a store that counts as lost until an object changes.

    A watch that waits for a change shows only then that the store answers.
    """

    async def scenario(store, clock, state, updates, answers):
        store.is_up = False
        store.wake_up()
        await clock.advance(3_000)
        assert answers == [False]
        store.is_up = True
        await clock.advance(2_000)
        assert answers == [False, True]
        assert store.waits[-2] == 0
        assert 0 < store.waits[-1] <= 3_000

    _run(scenario)


def test_changes_found_by_a_listing_are_reported():
    """Guards against changes that never reach the daemons that do not watch."""

    async def scenario(store, clock, state, updates, answers):
        assert updates == [_KIND]
        store.history_gone = True
        store.change(9, b'{"a":1}')
        await clock.advance(0)
        assert store.lists == 2
        assert updates == [_KIND, _KIND]
        assert state.by_kind[_KIND].by_key[_KEY].value == b'{"a":1}'

    _run(scenario)


def test_daemon_that_does_not_watch_makes_no_calls():
    """Guards against calls of the store that grow with the fleet."""

    async def scenario(store, clock, state, updates, answers):
        await clock.advance(60_000)
        return store.lists, len(store.waits)

    assert _run(scenario, watch_rank=lambda: None) == (1, 0)


def test_older_versions_change_nothing():
    """Guards against replicas that revert to an older version."""

    async def scenario(store, clock, state, updates, answers):
        state.apply_event(_event(4, b"old"), ids.Version(4))
        listing = objects.Listing((_object(3, b"older"),), ids.Version(3))
        assert not state.apply_listing(_KIND, listing)
        assert state.by_kind[_KIND].by_key[_KEY].version == 5

    _run(scenario)


def test_only_outdated_kinds_are_returned():
    """Guards against fetches of objects that are already known."""

    async def scenario(store, clock, state, updates, answers):
        versions = list(state.versions())
        assert state.outdated_kinds(tuple(versions)) == []
        versions[0] += 1
        assert state.outdated_kinds(tuple(versions)) == [_KIND]

    _run(scenario)


def test_replica_of_another_daemon_saves_the_listing_at_the_start():
    """At the start of a fleet each daemon listed each kind from the store."""

    async def run():
        store, clock = _Store(), clock_lib.FakeClock()
        state = shared_state.SharedState(
            store, clock, lambda _: None, lambda: None, lambda _: None
        )
        task = asyncio.ensure_future(state.follow(_KIND))
        await clock.advance(100)
        state.apply_listing(_KIND, objects.Listing((_object(5),), 5))
        await clock.advance(60_000)
        task.cancel()
        return store.lists, len(store.waits)

    assert asyncio.run(run()) == (0, 0)


def test_replica_of_a_writer_does_not_take_back_maps_of_other_services():
    """Guards against owners that confirm an older map of their service.

    The writer of the map of one service may not know the latest map of another,
    but its replica has the version of its write.
    """
    kind = stored.Kind.KEY_MAP
    first, second = stored.key(kind, "s1"), stored.key(kind, "s2")

    def versioned(key, version):
        return objects.Versioned(key, ids.Version(version), b"%d" % version)

    async def run():
        state = shared_state.SharedState(
            _Store(),
            clock_lib.FakeClock(),
            lambda _: None,
            lambda: False,
            lambda _: None,
        )
        known = (versioned(first, 8), versioned(second, 5))
        state.apply_listing(kind, objects.Listing(known, ids.Version(8)))
        late = (versioned(first, 3), versioned(second, 9))
        assert state.apply_listing(kind, objects.Listing(late, ids.Version(9)))
        lacking = (versioned(second, 10),)
        state.apply_listing(kind, objects.Listing(lacking, ids.Version(10)))
        by_key = state.by_kind[kind].by_key
        return by_key[first].version, by_key[second].version

    assert asyncio.run(run()) == (8, 10)


def _new_state():
    return shared_state.SharedState(
        _Store(),
        clock_lib.FakeClock(),
        lambda _: None,
        lambda: False,
        lambda _: None,
    )


def _configuration(version, era, revision):
    value = b'{"version": %d}' % version
    return objects.Versioned(_KEY, stored.version_of(era, revision), value)


def _apply_listing(state, *contents, era, revision):
    listing = objects.Listing(contents, stored.version_of(era, revision))
    return state.apply_listing(_KIND, listing)


def _known(state):
    return state.by_kind[_KIND].by_key[_KEY].value


def test_change_after_a_restore_of_the_store_is_adopted():
    """Guards against changes that are dropped as their revisions are lower."""
    state = _new_state()
    before = _configuration(11, era=1, revision=31)
    _apply_listing(state, before, era=1, revision=35)
    _apply_listing(state, _configuration(11, 2, 27), era=2, revision=27)
    after = _configuration(14, era=2, revision=28)
    event = objects.Event(_KEY, after.version, after.value)
    state.apply_event(event, after.version)
    assert _known(state) == after.value


def test_older_copy_in_a_restored_store_replaces_no_newer_configuration():
    """Guards against a configuration that comes back older.

    A daemon that starts meanwhile is told of the newer one, too.
    """
    state = _new_state()
    before = _configuration(11, era=1, revision=31)
    _apply_listing(state, before, era=1, revision=35)
    for contents in (
        [_configuration(4, 2, 25)],
        [],
        [_configuration(4, 2, 27)],
    ):
        _apply_listing(state, *contents, era=2, revision=27)
        assert _known(state) == before.value


def test_replica_of_an_earlier_era_counts_as_outdated():
    """Guards against daemons that keep what was before a restore.

    Their versions have higher revisions than those of the restored store.
    """
    state = _new_state()
    _apply_listing(state, _configuration(11, 1, 31), era=1, revision=35)
    versions = tuple(
        stored.version_of(2, 27) if kind is _KIND else 0 for kind in stored.Kind
    )
    assert state.outdated_kinds(versions) == [_KIND]


_ZONE = stored.key(stored.Kind.EVACUATION, "za")


def _apply_evacuations(state, *keys, era, object_era=None):
    version = stored.version_of(era, 9)
    contents = tuple(
        objects.Versioned(key, stored.version_of(object_era or era, 9), b"{}")
        for key in keys
    )
    listing = objects.Listing(contents, version)
    return state.apply_listing(stored.Kind.EVACUATION, listing)


def _evacuations(state):
    return set(state.by_kind[stored.Kind.EVACUATION].by_key)


def test_evacuation_that_a_restored_store_lacks_stays_until_written_again():
    """Guards against requests to a zone whose evacuation was acknowledged."""

    async def run():
        state = _new_state()
        _apply_evacuations(state, _ZONE, era=1)
        _apply_evacuations(state, era=2)
        assert _evacuations(state) == {_ZONE}
        _apply_evacuations(state, _ZONE, era=2)
        await state._clock.advance(2 * kind_replica.REWRITE_MS)
        return _evacuations(state)

    assert asyncio.run(run()) == {_ZONE}


def test_second_restore_gives_operators_the_whole_time_again():
    """Guards against an evacuation that ends as the first wait is over."""

    async def run():
        state = _new_state()
        _apply_evacuations(state, _ZONE, era=1)
        _apply_evacuations(state, era=2)
        await state._clock.advance(kind_replica.REWRITE_MS - 1)
        _apply_evacuations(state, era=3)
        await state._clock.advance(kind_replica.REWRITE_MS - 1)
        assert _evacuations(state) == {_ZONE}
        await state._clock.advance(1)
        return _evacuations(state)

    assert not asyncio.run(run())


def test_evacuation_that_nobody_writes_again_ends():
    """Guards against a zone that stays empty as daemons remind each other."""

    async def run():
        state = _new_state()
        _apply_evacuations(state, _ZONE, era=1)
        _apply_evacuations(state, era=2)
        await state._clock.advance(kind_replica.REWRITE_MS)
        assert not _evacuations(state)
        _apply_evacuations(state, _ZONE, era=2, object_era=1)
        return _evacuations(state)

    assert not asyncio.run(run())


def test_records_that_a_restored_store_lacks_are_kept():
    """Guards against links to living daemons that are closed."""
    state = _new_state()
    kind = stored.Kind.DAEMON
    record = objects.Versioned(
        stored.key(kind, "vm"), stored.version_of(1, 9), b"{}"
    )
    for era, contents in ((1, (record,)), (2, ()), (2, ())):
        version = stored.version_of(era, 9)
        state.apply_listing(kind, objects.Listing(contents, version))
    assert state.by_kind[kind].by_key == {record.key: record}


def test_changes_that_arrive_together_are_adopted_once():
    """Guards against an adoption of all records for each record that changed.

    In a fleet of the design size this stopped a daemon for seconds when the
    daemons of a zone returned.
    """

    async def run():
        store = _Store()
        adopted = []
        state = shared_state.SharedState(
            store,
            clock_lib.FakeClock(),
            adopted.append,
            lambda: 0,
            lambda _: None,
        )
        await state.refresh(_KIND, 0)
        adopted.clear()
        keys = [stored.key(_KIND, str(number)) for number in range(200)]
        store.contents = tuple(
            objects.Versioned(key, ids.Version(6 + index), b"{}")
            for index, key in enumerate(keys)
        )
        store.version = ids.Version(300)
        await state.refresh(_KIND, -1)
        assert set(keys) <= set(state.by_kind[_KIND].by_key)
        return adopted

    assert asyncio.run(run()) == [_KIND]
