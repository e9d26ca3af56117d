"""In-memory store with injected faults, for tests and the stand-in platform."""

import asyncio
import collections
from collections.abc import Iterator
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.store import raw
from mustardloom.store import read_back

__all__ = ["Faults", "MemoryPlatform", "MemoryStore"]

_WriteAnswer = objects.Written | objects.Conflict


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a store simulates until they are reset.

    Attributes:
      down: Whether all calls fail without taking effect.
      slow_ms: Delay of each call before it takes effect.
      lose_answers: Number of coming writes that take effect but whose answers
        are lost.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0


class MemoryStore:
    """A `RawStore` in memory.

    A deleted object leaves a tombstone, which watches and repeated writes need.

    Attributes:
      faults: Faults to simulate; set them with `set_faults`.
      calls: Number of calls by kind, including failed ones.
      version: Version of the last change.
    """

    def __init__(self, clock: clock_lib.Clock):
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.version = ids.NO_VERSION
        self._clock = clock
        # Ordered by the last change of each object, oldest first.
        self._by_key: dict[str, objects.Snapshot] = {}
        self._changed = asyncio.Event()
        self._write_tasks: set[asyncio.Task[_WriteAnswer]] = set()

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults and wakes pending watches."""
        self.faults = faults
        self._wake_watches()

    async def read(self, key: str) -> objects.Snapshot:
        """See `RawStore`."""
        await self._begin_call("get")
        return self._by_key.get(key, objects.Snapshot(key))

    async def list_objects(self, prefix: str) -> objects.Listing:
        """See `RawStore`."""
        await self._begin_call("list")
        found = (
            live
            for item in self._by_key.values()
            if item.key.startswith(prefix) and (live := item.live())
        )
        return objects.Listing(tuple(found), self.version)

    async def write(
        self, write: objects.Write
    ) -> objects.Written | objects.Conflict:
        """See `RawStore`.

        The write goes on if its caller is cancelled, and takes effect later.
        """
        task = asyncio.create_task(self._write(write))
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)
        return await asyncio.shield(task)

    async def watch(
        self, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """See `RawStore`."""
        await self._begin_call("watch")
        timer = asyncio.create_task(self._clock.sleep_ms(wait_ms))
        try:
            while self.version <= after and not timer.done():
                await self._wait_for_change(timer)
        finally:
            timer.cancel()
        events = tuple(reversed(tuple(self._newest_first(after))))
        return objects.WatchBatch(events, max(self.version, after))

    async def _write(self, write: objects.Write) -> _WriteAnswer:
        await self._begin_call(
            "update" if write.value is not None else "delete"
        )
        if write.value and len(write.value) > raw.MAX_VALUE_BYTES:
            raise raw.ValueTooLarge(
                f"{write.key}: value has {len(write.value)} bytes"
            )
        found = self._by_key.get(write.key, objects.Snapshot(write.key))
        written_version = found.version_made_by(write.operation)
        if written_version is not None:
            return self._return_or_lose(objects.Written(written_version))
        nothing_to_delete = write.value is None and found.value is None
        if found.version != write.expected or nothing_to_delete:
            return self._return_or_lose(objects.Conflict(found.live()))
        return self._return_or_lose(self._store(found, write))

    def _store(
        self, found: objects.Snapshot, write: objects.Write
    ) -> objects.Written:
        self.version = ids.Version(self.version + 1)
        record = objects.RecordedWrite(write.operation, self.version)
        operations = (*found.operations, record)[-raw.MAX_RECORDED_WRITES :]
        self._by_key.pop(write.key, None)
        self._by_key[write.key] = objects.Snapshot(
            write.key, self.version, write.value, operations
        )
        self._wake_watches()
        return objects.Written(self.version)

    def _return_or_lose(self, answer: _WriteAnswer) -> _WriteAnswer:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise objects.PlatformUnavailable("answer lost (simulated fault)")
        return answer

    async def _begin_call(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.faults.slow_ms:
            await self._clock.sleep_ms(self.faults.slow_ms)
        self._raise_if_down()

    def _raise_if_down(self) -> None:
        if self.faults.down:
            raise objects.PlatformUnavailable("store down (simulated fault)")

    async def _wait_for_change(self, timer: "asyncio.Task[None]") -> None:
        changed = asyncio.create_task(self._changed.wait())
        try:
            await asyncio.wait(
                (changed, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            changed.cancel()
        self._raise_if_down()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _newest_first(self, after: ids.Version) -> Iterator[objects.Event]:
        for item in reversed(self._by_key.values()):
            if item.version <= after:
                return
            yield objects.Event(item.key, item.version, item.value)


class MemoryPlatform(read_back.ReadBackClient):
    """A `PlatformClient` for a `MemoryStore`.

    Several clients of the same store act as competing writers.

    Example:
      >>> platform = MemoryPlatform(clock_lib.FakeClock())
      >>> asyncio.run(platform.update("a", b"{}", ids.NO_VERSION))
      Written(version=1)
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        store: MemoryStore | None = None,
        metrics: metrics_lib.Metrics | None = None,
    ):
        self.store = store or MemoryStore(clock)
        super().__init__(self.store, clock, metrics or metrics_lib.Metrics())

    def set_faults(self, faults: Faults) -> None:
        """Replaces the faults of the store and wakes pending watches."""
        self.store.set_faults(faults)

    @property
    def faults(self) -> Faults:
        """The faults that the store simulates."""
        return self.store.faults

    @property
    def calls(self) -> collections.Counter[str]:
        """The number of calls to the store by kind."""
        return self.store.calls
