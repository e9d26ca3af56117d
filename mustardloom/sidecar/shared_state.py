"""Copies of stored objects, from watches and from other daemons."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored

__all__ = ["KindReplica", "ObjectStore", "SharedState"]

# Waiting watches are priced; a longer wait means fewer of them.
_WATCH_WAIT_MS = 10_000
_IDLE_CHECK_MS = 400
_FIRST_PAUSE_MS = 200
_LONGEST_PAUSE_MS = 1_500

Callback = Callable[[stored.Kind], None]


class ObjectStore(Protocol):
    """What is needed of the platform's store; see `platform.object_api`."""

    async def get(self, key: str) -> objects.Versioned | None:
        """Returns an object, or None if there is none."""

    async def list_objects(self, kind: stored.Kind) -> objects.Listing:
        """Returns all objects of a kind."""

    async def watch(
        self, kind: stored.Kind, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """Returns changes of a kind after a version."""

    async def write(
        self, key: str, value: bytes, expected: ids.Version
    ) -> objects.Written | objects.Conflict:
        """Writes an object if it has the expected version."""


@dataclasses.dataclass(slots=True)
class KindReplica:
    """All objects of one kind.

    Attributes:
      by_key: The objects.
      version: Version as of which the last change was seen; 0 if never read.
      is_listed: Whether the store itself has listed them in this life.
    """

    by_key: dict[str, objects.Versioned]
    version: ids.Version = ids.NO_VERSION
    is_listed: bool = False


class SharedState:
    """Objects of all kinds, kept up to date by one task each.

    Args:
      store: The store.
      clock: Source of time.
      on_change: Called after objects of a kind have changed.
      may_watch: Returns whether this daemon is to watch the store; the others
        get changes from those that do.
      on_news: Called after a watch has brought changes of a kind.
      on_store: Called with whether the store answers, when that changes.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: clock_lib.Clock,
        on_change: Callback,
        may_watch: Callable[[], bool],
        on_news: Callback,
        on_store: Callable[[bool], None] = lambda _: None,
    ):
        self.by_kind = {kind: KindReplica({}) for kind in stored.Kind}
        self.store_answers = True
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._may_watch = may_watch
        self._on_news = on_news
        self._on_store = on_store

    def versions(self) -> tuple[int, ...]:
        """Returns the last change known of each kind, in order of `Kind`."""
        return tuple(copy.version for copy in self.by_kind.values())

    def outdated_kinds(self, changes: tuple[int, ...]) -> list[stored.Kind]:
        """Returns the kinds of which somebody else knows a later change."""
        if changes == self.versions():
            return []
        kinds = zip(stored.Kind, changes, strict=False)
        return [
            kind for kind, known in kinds if known > self.by_kind[kind].version
        ]

    def apply_event(self, event: objects.Event, up_to: ids.Version) -> None:
        """Takes over one change unless a later one is known."""
        kind = stored.kind_of(event.key)
        copy = self.by_kind[kind]
        known = copy.by_key.get(event.key)
        if known is not None and event.version < known.version:
            return
        if event.value is None:
            copy.by_key.pop(event.key, None)
        else:
            copy.by_key[event.key] = objects.Versioned(
                event.key, event.version, event.value
            )
        copy.version = max(copy.version, up_to)
        self._on_change(kind)

    def apply_listing(self, kind: stored.Kind, found: objects.Listing) -> bool:
        """Takes over all objects of a kind unless later ones are known.

        Returns:
          Whether anything changed.
        """
        copy = self.by_kind[kind]
        if found.version < copy.version:
            return False
        by_key = {each.key: each for each in found.objects}
        if by_key == copy.by_key and copy.version:
            return False
        copy.by_key = by_key
        copy.version = found.version
        self._on_change(kind)
        return True

    async def follow(self, kind: stored.Kind) -> None:
        """Lists a kind and watches it until cancelled."""
        pause_ms = _FIRST_PAUSE_MS
        wait_ms = _WATCH_WAIT_MS
        after: ids.Version | None = None
        while True:
            if self.by_kind[kind].is_listed and not self._may_watch():
                after = None
                await self._clock.sleep_ms(_IDLE_CHECK_MS)
                continue
            try:
                if after is None:
                    listing = await self._store.list_objects(kind)
                    self.by_kind[kind].is_listed = True
                    if self.apply_listing(kind, listing):
                        self._on_news(kind)
                    after = listing.version
                    self._seen(True)
                    continue
                batch = await self._store.watch(kind, after, wait_ms)
            except stored.HistoryGone:
                after = None
                continue
            except objects.PlatformUnavailable:
                self._seen(False)
                await self._clock.sleep_ms(pause_ms)
                pause_ms = min(2 * pause_ms, _LONGEST_PAUSE_MS)
                # A watch that does not wait shows when the store is back.
                wait_ms = 0
                continue
            pause_ms = _FIRST_PAUSE_MS
            wait_ms = _WATCH_WAIT_MS
            self._seen(True)
            for event in batch.events:
                self.apply_event(event, batch.version)
            after = batch.version
            if batch.events:
                self._on_news(kind)

    def _seen(self, answers: bool) -> None:
        if answers != self.store_answers:
            self.store_answers = answers
            self._on_store(answers)
