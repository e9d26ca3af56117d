"""Tests of the copies of stored objects."""

import asyncio

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import shared_state

_KIND = stored.Kind.CONFIGURATION
_KEY = stored.key(_KIND, "main")


def _object(version, value=b"{}"):
    return objects.Versioned(_KEY, ids.Version(version), value)


def _event(version, value=b"{}"):
    return objects.Event(_KEY, ids.Version(version), value)


class _Store:
    """Answers as the test says; notes the waits of watches."""

    def __init__(self):
        self.is_up = True
        self.history_gone = False
        self.version = ids.Version(5)
        self.found = (_object(5),)
        self.waits = []
        self.lists = 0
        self.wake = asyncio.Event()

    async def list_objects(self, kind):
        self._check()
        self.lists += 1
        found = self.found if kind is _KIND else ()
        return objects.Listing(found, self.version)

    async def watch(self, kind, after, wait_ms):
        self.waits.append(wait_ms)
        self._check()
        if self.history_gone:
            self.history_gone = False
            raise stored.HistoryGone(kind.value)
        if wait_ms and after == self.version:
            await self.wake.wait()
            self._check()
        events = tuple(_event(each.version, each.value) for each in self.found)
        newer = tuple(each for each in events if each.version > after)
        return objects.WatchBatch(newer, self.version)

    def _check(self):
        if not self.is_up:
            raise objects.PlatformUnavailable("down")

    def change(self, version, value):
        self.version = ids.Version(version)
        self.found = (_object(version, value),)
        self.wake_up()

    def wake_up(self):
        """Ends the watches that wait now."""
        self.wake.set()
        self.wake = asyncio.Event()


def _run(scenario, may_watch=lambda: True):
    async def run():
        store, clock = _Store(), clock_lib.FakeClock()
        news, answers = [], []
        state = shared_state.SharedState(
            store,
            clock,
            lambda _: None,
            may_watch,
            news.append,
            answers.append,
        )
        task = asyncio.ensure_future(state.follow(_KIND))
        await clock.advance(0)
        try:
            return await scenario(store, clock, state, news, answers)
        finally:
            task.cancel()

    return asyncio.run(run())


def test_return_of_the_store_is_noticed_at_once():
    """Guards against a store that counts as away until something changes."""

    async def scenario(store, clock, state, news, answers):
        store.is_up = False
        store.wake_up()
        await clock.advance(3_000)
        assert answers == [False]
        store.is_up = True
        await clock.advance(2_000)
        assert answers == [False, True]
        assert store.waits[-2:] == [0, 10_000]

    _run(scenario)


def test_what_a_listing_brings_is_told_like_a_change():
    """Guards against daemons that do not watch and miss a change."""

    async def scenario(store, clock, state, news, answers):
        assert news == [_KIND]
        store.history_gone = True
        store.change(9, b'{"a":1}')
        await clock.advance(0)
        assert store.lists == 2
        assert news == [_KIND, _KIND]
        assert state.by_kind[_KIND].by_key[_KEY].value == b'{"a":1}'

    _run(scenario)


def test_daemon_that_does_not_watch_costs_no_calls():
    """Guards against calls to the store that grow with the fleet."""

    async def scenario(store, clock, state, news, answers):
        await clock.advance(60_000)
        return store.lists, len(store.waits)

    assert _run(scenario, may_watch=lambda: False) == (1, 0)


def test_older_news_change_nothing():
    """Guards against a state that reverts."""

    async def scenario(store, clock, state, news, answers):
        state.apply_event(_event(4, b"old"), ids.Version(4))
        listing = objects.Listing((_object(3, b"older"),), ids.Version(3))
        assert not state.apply_listing(_KIND, listing)
        assert state.by_kind[_KIND].by_key[_KEY].version == 5

    _run(scenario)


def test_only_kinds_that_are_behind_are_named():
    """Guards against fetches of what is known already."""

    async def scenario(store, clock, state, news, answers):
        changes = list(state.versions())
        assert state.behind(tuple(changes)) == []
        changes[0] += 1
        assert state.behind(tuple(changes)) == [_KIND]

    _run(scenario)
