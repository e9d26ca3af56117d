"""Tests that a region hears of changes though its open watches are silent."""

import asyncio
import functools
import itertools

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.platform import object_api
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import watch_slots

# Bounds of the rules, and how long the watchers have to spread a change.
_CONFIGURATION_BOUND_MS = 2_500
_STABILITY_WINDOW_MS = 3_000
_SPREAD_MS = 300
# A change and an end are noticed this late.
_STEP_MS = 50
_KINDS = (stored.Kind.CONFIGURATION, stored.Kind.EVACUATION)


class _Store:
    """Fake store whose open watches can fall silent.

    Attributes:
      version: Version of the latest change.
      silences: How often the open watches fell silent.
      calls: Number of watches and listings.
    """

    def __init__(self):
        self.version = ids.Version(1)
        self.silences = 0
        self.calls = 0
        self.changed = asyncio.Event()

    def change(self):
        self.version = ids.Version(self.version + 1)
        self.changed.set()
        self.changed = asyncio.Event()


class _Api:
    """Fake of one daemon's connections, as `object_api.ObjectApi` has them."""

    era = 0

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        # Set when the watches that wait are to end.
        self._ends = asyncio.Event()

    def _listed(self, kind):
        key = stored.key(kind, "main")
        return objects.Versioned(key, self._store.version, b"{}")

    async def list_objects(self, kind):
        self._store.calls += 1
        return objects.Listing((self._listed(kind),), self._store.version)

    async def watch(self, kind, after, wait_ms):
        self._store.calls += 1
        if after == self._store.version and wait_ms:
            await self._wait(wait_ms)
        found = self._listed(kind)
        event = objects.Event(found.key, found.version, found.value)
        events = (event,) if self._store.version > after else ()
        return objects.WatchBatch(events, self._store.version)

    async def _wait(self, wait_ms):
        """Waits for a change, of which a silent connection does not tell."""
        silences = self._store.silences
        end_ms = self._clock.now_ms() + wait_ms
        ends = self._ends
        while self._clock.now_ms() < end_ms:
            changed = self._store.changed
            await self._clock.sleep_ms(_STEP_MS)
            if ends.is_set():
                raise objects.PlatformUnavailable("closed")
            if changed.is_set() and self._store.silences == silences:
                return
        if self._store.silences > silences:
            await self._clock.sleep_ms(object_api._SILENT_AFTER_MS)
            self._ends.set()
            self._ends = asyncio.Event()
            raise objects.PlatformUnavailable("silent")


class _Region:
    """The watchers of one region, which tell each other of changes."""

    def __init__(self, store, clock, ranks):
        self.store = store
        self.states = [
            shared_state.SharedState(
                _Api(store, clock),
                clock,
                lambda _: None,
                functools.partial(int, rank),
                lambda _: None,
            )
            for rank in ranks
        ]
        self.tasks = [
            asyncio.ensure_future(state.follow(kind))
            for state, kind in itertools.product(self.states, _KINDS)
        ]

    def knows(self, kind):
        """Returns whether one of the watchers knows the latest change."""
        return any(
            state.by_kind[kind].version == self.store.version
            for state in self.states
        )


async def _known_in_time(phase_ms, silent_ms, changed_ms, ranks):
    """Returns for each kind whether a change is known in time.

    Args:
      phase_ms: When the watches begin, by the clock of the turns.
      silent_ms: Time from an earlier change to the silence.
      changed_ms: Time from the silence to the change.
      ranks: Ranks of the watchers that are left.
    """
    clock = clock_lib.FakeClock(wall_ms=1_700_000_000_000 + phase_ms)
    store = _Store()
    region = _Region(store, clock, ranks)
    await clock.advance(1_000)
    store.change()
    await clock.advance(silent_ms)
    store.silences += 1
    began_ms = clock.now_ms()
    await clock.advance(changed_ms)
    store.change()
    allowed_ms = began_ms + max(
        changed_ms + _CONFIGURATION_BOUND_MS, _STABILITY_WINDOW_MS
    )
    await clock.advance(allowed_ms - _SPREAD_MS - clock.now_ms())
    known = [region.knows(kind) for kind in _KINDS]
    for task in region.tasks:
        task.cancel()
    return known


@pytest.mark.parametrize("ranks", [(0, 1), (0,), (1,)])
@pytest.mark.parametrize("changed_ms", [1, 400, 1_000, 2_200, 3_500])
def test_change_is_known_in_time_though_all_open_watches_are_silent(
    ranks, changed_ms
):
    """Guards against watchers that are all deaf for as long as a watch waits.

    They begin their watches together, with the latest change.
    """

    async def run():
        for phase_ms in range(0, watch_slots.PERIOD_MS, 750):
            for silent_ms in (1, 1_600):
                known = await _known_in_time(
                    phase_ms, silent_ms, changed_ms, ranks
                )
                assert known == [True, True], (phase_ms, silent_ms)

    asyncio.run(run())


def test_watches_take_few_calls_of_the_store():
    """Guards against a region that polls the store; each call is billed."""

    async def run():
        clock = clock_lib.FakeClock()
        store = _Store()
        region = _Region(store, clock, (0, 1))
        await clock.advance(60_000)
        for task in region.tasks:
            task.cancel()
        return store.calls

    renewals = 60_000 // watch_slots.PERIOD_MS
    assert asyncio.run(run()) <= 2 * len(_KINDS) * (renewals + 2)
