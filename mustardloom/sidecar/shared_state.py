"""Local replicas of stored objects, updated from the store and by daemons."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import kind_replica
from mustardloom.sidecar import watch_slots

__all__ = ["ObjectStore", "SharedState"]

# How often a daemon that does not watch checks whether it is to watch; a
# multiple of the interval at which links are checked, so that ticks coincide.
_IDLE_CHECK_MS = 375
# Back-off while the store is unavailable.
_MIN_BACKOFF_MS = 200
_MAX_BACKOFF_MS = 1_500
_POLL_INTERVAL_MS = 4_000
# A daemon that starts beside others gets their replicas within this time. After
# a restart of all there are none, and all wait in vain.
_REPLICA_WAIT_MS = 250
_REPLICA_CHECK_MS = 50

Callback = Callable[[stored.Kind], None]


class ObjectStore(Protocol):
    """The part of the platform's store in use; see `platform.object_api`.

    Attributes:
      era: Number of times that the store came back from an older copy.
      on_unreadable: Called with the kind and the number of objects that were
        left out of an answer.
      share: Descriptors for connections to the store.
    """

    era: int
    on_unreadable: Callable[[stored.Kind, int], None]
    share: descriptor_budget.Share

    async def get(self, key: str) -> objects.Versioned | None:
        """Returns an object, None if there is none."""

    async def list_objects(self, kind: stored.Kind) -> objects.Listing:
        """Returns all objects of a kind."""

    async def watch(
        self, kind: stored.Kind, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """Returns the changes of a kind after a version.

        Waits up to `wait_ms` for the first change; without one, the batch is
        empty.
        """

    async def write(
        self, key: str, value: bytes, expected: ids.Version
    ) -> objects.Written | objects.Conflict:
        """Writes an object if its version in the store is `expected`.

        Returns:
          The new version, or what the store holds instead.
        """

    async def delete(self, key: str, expected: ids.Version) -> bool:
        """Deletes an object if its version in the store is `expected`.

        Returns:
          Whether the store does not have the object any more.
        """


@dataclasses.dataclass(slots=True)
class _Refresh:
    """Reads of one kind by `SharedState.refresh`.

    Attributes:
      began_ms: Local time at which the last successful read began.
      version: Version of the store up to which it returned changes; None
        before the first listing.
      task: The running or last read.
    """

    began_ms: int | None = None
    version: ids.Version | None = None
    task: "asyncio.Task[int | None] | None" = None


class SharedState:
    """Replicas of the objects of all kinds, with one `follow` task for each.

    Args:
      store: The store.
      clock: Source of time.
      on_change: Called after the replica of a kind has changed.
      watch_rank: Returns the place of this daemon among those of its region
        that watch the store; None if it gets changes from them.
      on_update: Called after the store has returned changes of a kind, which
        other daemons may not know.
      on_store: Called with whether the store answers, when that changes.

    Attributes:
      by_kind: The replicas.
      on_restored: Called with the era before and the new one after the store
        came back from an older copy.
      on_ignored: Called with the kind, the version found in the store and the
        known one if the store's answer was of an earlier era.
      store_answers: Whether the latest call of the store was answered.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: clock_lib.Clock,
        on_change: Callback,
        watch_rank: Callable[[], int | None],
        on_update: Callback,
        on_store: Callable[[bool], None] = lambda _: None,
    ):
        self.by_kind = {
            kind: kind_replica.KindReplica(kind) for kind in stored.Kind
        }
        self.store_answers = True
        self.on_restored: Callable[[int, int], None] = lambda *_: None
        self.on_ignored: Callable[
            [stored.Kind, ids.Version, ids.Version], None
        ] = lambda *_: None
        self._era = 0
        self._forgetting: set[asyncio.Task[None]] = set()
        self._refresh_by_kind = {kind: _Refresh() for kind in stored.Kind}
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._watch_rank = watch_rank
        self._on_update = on_update
        self._on_store = on_store

    @property
    def store_era(self) -> int:
        """Returns how often the store came back from an older copy."""
        return self._store.era

    def versions(self) -> tuple[int, ...]:
        """Returns the version of each kind's replica, in order of `Kind`."""
        return tuple(replica.version for replica in self.by_kind.values())

    def outdated_kinds(self, versions: tuple[int, ...]) -> list[stored.Kind]:
        """Returns the kinds whose replicas are older than another daemon's.

        Records of daemons are left out: the first frame of each link brings
        the record of its sender.

        Args:
          versions: What `versions` returned there.
        """
        if versions == self.versions():
            return []
        kinds = zip(stored.Kind, versions, strict=False)
        return [
            kind
            for kind, known in kinds
            if known > self.by_kind[kind].version
            and kind is not stored.Kind.DAEMON
        ]

    def apply_event(self, event: objects.Event, up_to: ids.Version) -> None:
        """Applies one change unless a later version of its object is known.

        Args:
          event: The change.
          up_to: Version of the store up to which changes are known with it.
        """
        kind = stored.kind_of(event.key)
        if self.by_kind[kind].apply_event(event, up_to):
            self._on_change(kind)

    def apply_listing(
        self, kind: stored.Kind, listing: objects.Listing
    ) -> bool:
        """Brings the replica of a kind up to date with a listing.

        Returns:
          Whether any object changed.
        """
        replica = self.by_kind[kind]
        if not replica.apply_listing(listing, self._clock.now_ms()):
            return False
        if replica.has_kept_for_now():
            task = asyncio.ensure_future(self._forget_unrestored(kind))
            self._forgetting.add(task)
            task.add_done_callback(self._forgetting.discard)
        self._on_change(kind)
        return True

    async def _forget_unrestored(self, kind: stored.Kind) -> None:
        """Forgets what nobody has written again since a restore."""
        replica = self.by_kind[kind]
        while (now_ms := self._clock.now_ms()) < replica.kept_until_ms:
            await self._clock.sleep_ms(replica.kept_until_ms - now_ms)
        if replica.forget_unrestored():
            self._on_change(kind)

    async def follow(self, kind: stored.Kind) -> None:
        """Lists a kind, then watches it, until cancelled.

        A daemon that is not to watch leaves the listing to other daemons,
        unless none of them sends a replica.
        """
        await self._await_replica(kind)
        backoff_ms = _MIN_BACKOFF_MS
        began_ms = 0
        # After a failure a watch must not wait: an answer without changes would
        # show only after that wait that the store answers again.
        may_wait = False
        after: ids.Version | None = None
        while True:
            rank = self._watch_rank()
            if self.by_kind[kind].version and rank is None:
                after = None
                await self._clock.tick_ms(_IDLE_CHECK_MS)
                continue
            try:
                if after is None:
                    after = await self._list(kind)
                    self._set_store_answers(True)
                    may_wait = True
                    continue
                began_ms = self._clock.now_ms()
                wait_ms = self._watch_wait_ms(kind, rank) if may_wait else 0
                batch = await self._store.watch(kind, after, wait_ms)
            except stored.HistoryGone:
                after = None
                continue
            except objects.PlatformUnavailable:
                if may_wait:
                    # Perhaps only the connection on which the watch waited has
                    # failed; what it missed must not wait for a back-off.
                    may_wait = False
                    passed_ms = self._clock.now_ms() - began_ms
                    await self._clock.sleep_ms(_MIN_BACKOFF_MS - passed_ms)
                    continue
                self._set_store_answers(False)
                await self._clock.sleep_ms(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
                continue
            may_wait = True
            backoff_ms = _MIN_BACKOFF_MS
            self._set_store_answers(True)
            for event in batch.events:
                self._check_ignored(kind, event.version)
            self._apply_events(kind, batch)
            after = batch.version
            if batch.events:
                self._on_update(kind)

    def _watch_wait_ms(self, kind: stored.Kind, rank: int | None) -> int:
        number = list(stored.Kind).index(kind)
        return watch_slots.wait_ms(number, rank or 0, self._clock.wall_ms())

    async def poll(
        self, kind: stored.Kind, may_poll: Callable[[], bool]
    ) -> None:
        """Refreshes the replica of a kind now and then, until cancelled.

        Unlike a watch, this makes no call for each change, so it suits a kind
        that changes often and whose changes their writer passes on.

        Args:
          kind: The kind.
          may_poll: Returns whether this daemon is to refresh the replica.
        """
        await self._await_replica(kind)
        while True:
            if not may_poll():
                await self._clock.tick_ms(_IDLE_CHECK_MS)
                continue
            if await self.refresh(kind, _POLL_INTERVAL_MS) is None:
                self._set_store_answers(False)
                await self._clock.sleep_ms(_MIN_BACKOFF_MS)
            else:
                await self._clock.sleep_ms(_POLL_INTERVAL_MS)

    async def _await_replica(self, kind: stored.Kind) -> None:
        """Waits a short time for the replica of another daemon."""
        end_ms = self._clock.now_ms() + _REPLICA_WAIT_MS
        while not self.by_kind[kind].version and self._clock.now_ms() < end_ms:
            await self._clock.sleep_ms(_REPLICA_CHECK_MS)

    async def refresh(self, kind: stored.Kind, max_age_ms: int) -> int | None:
        """Brings the replica of a kind up to date with the store.

        Callers share a read that is running or began at most `max_age_ms` ago.

        Returns:
          The local time at which the read began, as of which the replica is up
          to date; None if the store did not answer.
        """
        refresh = self._refresh_by_kind[kind]
        now_ms = self._clock.now_ms()
        if (
            refresh.began_ms is not None
            and now_ms - refresh.began_ms <= max_age_ms
        ):
            return refresh.began_ms
        if refresh.task is None or refresh.task.done():
            refresh.task = asyncio.create_task(
                self._read_changes(kind, refresh)
            )
        # The read goes on for other callers if this one is cancelled.
        return await asyncio.shield(refresh.task)

    async def _read_changes(
        self, kind: stored.Kind, refresh: _Refresh
    ) -> int | None:
        began_ms = self._clock.now_ms()
        try:
            if refresh.version is not None:
                try:
                    batch = await self._store.watch(kind, refresh.version, 0)
                except stored.HistoryGone:
                    refresh.version = None
                else:
                    self._apply_batch(kind, batch)
                    refresh.version = batch.version
            if refresh.version is None:
                refresh.version = await self._list(kind)
        except objects.PlatformUnavailable:
            return None
        self._set_store_answers(True)
        refresh.began_ms = began_ms
        return began_ms

    async def _list(self, kind: stored.Kind) -> ids.Version:
        listing = await self._store.list_objects(kind)
        self.by_kind[kind].is_listed = True
        self._check_ignored(kind, listing.version)
        if self.apply_listing(kind, listing):
            self._on_update(kind)
        return listing.version

    def _apply_batch(
        self, kind: stored.Kind, batch: objects.WatchBatch
    ) -> None:
        known = self.by_kind[kind].by_key.copy()
        self._apply_events(kind, batch)
        if self.by_kind[kind].by_key != known:
            self._on_update(kind)

    def _apply_events(
        self, kind: stored.Kind, batch: objects.WatchBatch
    ) -> None:
        """Applies changes of a kind, which are adopted together.

        An adoption takes as long as there are objects, and after the return of
        a zone there are as many changes.
        """
        replica = self.by_kind[kind]
        changes = [
            replica.apply_event(event, batch.version) for event in batch.events
        ]
        if any(changes):
            self._on_change(kind)

    def _check_ignored(self, kind: stored.Kind, found: ids.Version) -> None:
        known = self.by_kind[kind].version
        if stored.era_of(found) < stored.era_of(known):
            self.on_ignored(kind, found, known)

    def _set_store_answers(self, answers: bool) -> None:
        before, self._era = self._era, self._store.era
        if before and self._era > before:
            self.on_restored(before, self._era)
        if answers != self.store_answers:
            self.store_answers = answers
            self._on_store(answers)
