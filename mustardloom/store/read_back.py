"""Client that recovers lost answers to writes by reading the object back."""

import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.store import raw
from mustardloom.store import timeouts

__all__ = ["ReadBackClient", "outcome_from_read_back"]

READ_TIMEOUT_MS = 2_000
WRITE_ATTEMPT_TIMEOUT_MS = 1_000
WRITE_DEADLINE_MS = 3_000
# Added to the requested wait of a watch to give its time limit.
WATCH_EXTRA_TIMEOUT_MS = 2_000
_FIRST_BACK_OFF_MS = 25
_MAX_BACK_OFF_MS = 400


def outcome_from_read_back(
    write: objects.Write, found: objects.Snapshot
) -> objects.WriteResult:
    """Returns the outcome of an unanswered write, as far as a read-back shows.

    If the object is unchanged, the write may still be under way and is
    `Undecided`. It is undecided too if the store may have dropped its record of
    the write, that is, if all recorded writes are newer than the expected
    version.

    Args:
      write: The write without an answer.
      found: The object as read back.

    Example:
      >>> write = objects.Write("a", b"", ids.Version(3), ids.OperationId("x"))
      >>> found = objects.Snapshot("a", ids.Version(4), b"")
      >>> outcome_from_read_back(write, found)
      Conflict(current=Versioned(key='a', version=4, value=b'', operations=()))
    """
    written_version = found.version_made_by(write.operation)
    if written_version is not None:
        return objects.Written(written_version)
    if write.value is None and found.value is None:
        return objects.Conflict(None)
    unchanged = found.version == write.expected
    if unchanged or _may_have_dropped_record(write, found):
        return objects.Undecided(write.operation, write)
    return objects.Conflict(found.live())


def _may_have_dropped_record(
    write: objects.Write, found: objects.Snapshot
) -> bool:
    if len(found.operations) < raw.MAX_RECORDED_WRITES:
        return False
    return found.operations[0].version > write.expected


class ReadBackClient:
    """A `PlatformClient` over a raw store.

    After a write without an answer the object is read back. If the write's
    operation id is recorded, the result is `Written`; after another change it
    is `Conflict`; if the object is unchanged, the write is repeated under the
    same operation id. The result is `Undecided` if the deadline passes first or
    if the store may have dropped its record of the write.

    Args:
      store: The store.
      clock: Clock that measures all time limits.
      metrics: Receives the number of calls by kind.
    """

    def __init__(
        self,
        store: raw.RawStore,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._store = store
        self._clock = clock
        self._metrics = metrics

    async def get(self, key: str) -> objects.Versioned | None:
        """See `PlatformClient`."""
        return (await self._read(key, READ_TIMEOUT_MS)).live()

    async def list_objects(self, prefix: str = "") -> objects.Listing:
        """See `PlatformClient`."""
        self._count("list")
        call = self._store.list_objects(prefix)
        try:
            return await timeouts.with_timeout(
                self._clock, call, READ_TIMEOUT_MS
            )
        except TimeoutError as error:
            raise _timed_out("list", prefix) from error

    async def update(
        self, key: str, value: bytes, expected: ids.Version
    ) -> objects.WriteResult:
        """See `PlatformClient`.

        Raises:
          raw.ValueTooLarge: The value exceeds MAX_VALUE_BYTES.
        """
        if len(value) > raw.MAX_VALUE_BYTES:
            raise raw.ValueTooLarge(f"{key}: value has {len(value)} bytes")
        operation = ids.new_operation_id()
        write = objects.Write(key, value, expected, operation)
        result = await self._write_until_decided(write)
        if expected == ids.NO_VERSION and result == objects.Conflict(None):
            return await self._recreate(write)
        return result

    async def delete(
        self, key: str, expected: ids.Version
    ) -> objects.WriteResult:
        """See `PlatformClient`."""
        operation = ids.new_operation_id()
        return await self._write_until_decided(
            objects.Write(key, None, expected, operation)
        )

    async def resolve(
        self, undecided: objects.Undecided
    ) -> objects.WriteResult:
        """See `PlatformClient`."""
        if undecided.write is None:
            return undecided
        return await self._write_until_decided(undecided.write, read_first=True)

    async def watch(
        self, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """See `PlatformClient`."""
        self._count("watch")
        call = self._store.watch(after, wait_ms)
        limit_ms = wait_ms + WATCH_EXTRA_TIMEOUT_MS
        try:
            return await timeouts.with_timeout(self._clock, call, limit_ms)
        except TimeoutError as error:
            raise _timed_out("watch", str(after)) from error

    async def _recreate(self, write: objects.Write) -> objects.WriteResult:
        """Creates an object that was deleted earlier.

        The write is conditional on the version of the deletion. If it only
        required that there is no object, a delayed attempt could take effect
        after the object had been created and deleted once more.
        """
        try:
            found = await self._read(write.key, READ_TIMEOUT_MS)
        except objects.PlatformUnavailable:
            return objects.Conflict(None)
        if found.value is not None:
            return objects.Conflict(found.live())
        return await self._write_until_decided(
            dataclasses.replace(write, expected=found.version)
        )

    async def _write_until_decided(
        self, write: objects.Write, read_first: bool = False
    ) -> objects.WriteResult:
        """Attempts a write until its outcome is known or the deadline passes.

        Pass `read_first` for a write that was attempted before: its outcome is
        looked up first.
        """
        deadline_ms = self._clock.now_ms() + WRITE_DEADLINE_MS
        back_off_ms = _FIRST_BACK_OFF_MS
        was_attempted = read_first
        while (remaining_ms := deadline_ms - self._clock.now_ms()) > 0:
            try:
                if was_attempted:
                    found = await self._read(write.key, remaining_ms)
                    result = outcome_from_read_back(write, found)
                    decided = not isinstance(result, objects.Undecided)
                    if decided or found.version != write.expected:
                        return result
                result = await self._attempt_write(write, deadline_ms)
            except objects.PlatformUnavailable:
                result = objects.Undecided(write.operation, write)
            # A repeated write may conflict with its own earlier attempt, which
            # only a read-back can tell from another writer's change.
            if isinstance(result, objects.Written) or (
                isinstance(result, objects.Conflict) and not was_attempted
            ):
                return result
            was_attempted = True
            await self._clock.sleep_ms(back_off_ms)
            back_off_ms = min(2 * back_off_ms, _MAX_BACK_OFF_MS)
        self._count("undecided")
        return objects.Undecided(write.operation, write)

    async def _attempt_write(
        self, write: objects.Write, deadline_ms: int
    ) -> objects.WriteResult:
        remaining_ms = deadline_ms - self._clock.now_ms()
        limit_ms = min(remaining_ms, WRITE_ATTEMPT_TIMEOUT_MS)
        self._count("delete" if write.value is None else "update")
        call = self._store.write(write)
        try:
            return await timeouts.with_timeout(self._clock, call, limit_ms)
        except TimeoutError as error:
            raise _timed_out("write", write.key) from error

    async def _read(self, key: str, limit_ms: int) -> objects.Snapshot:
        self._count("get")
        call = self._store.read(key)
        try:
            return await timeouts.with_timeout(self._clock, call, limit_ms)
        except TimeoutError as error:
            raise _timed_out("get", key) from error

    def _count(self, kind: str) -> None:
        self._metrics.increment(f"platform.{kind}")


def _timed_out(kind: str, name: str) -> objects.PlatformUnavailable:
    return objects.PlatformUnavailable(f"{kind} {name}: no answer in time")
