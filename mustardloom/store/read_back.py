"""Writes whose lost answers are recovered by reading the object back."""

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
# Time beyond the requested wait until a watch counts as unanswered.
WATCH_EXTRA_TIMEOUT_MS = 2_000
_FIRST_PAUSE_MS = 25
_LONGEST_PAUSE_MS = 400


def outcome_from_read_back(
    write: objects.Write, found: objects.Snapshot
) -> objects.WriteResult:
    """Returns what a read-back tells about a write without an answer.

    While the object is unchanged the write may still be under way, so it is
    `Undecided`. So it is if the record of the write may have been dropped,
    that is, if all recorded writes are newer than the expected version.

    Example:
      >>> write = objects.Write("a", b"", ids.Version(3), ids.OperationId("x"))
      >>> outcome_from_read_back(write, objects.Snapshot("a", ids.Version(4),
      ...     b""))
      Conflict(current=Versioned(key='a', version=4, value=b'', operations=()))
    """
    made = found.version_made_by(write.operation)
    if made is not None:
        return objects.Written(made)
    if write.value is None and found.value is None:
        return objects.Conflict(None)
    unchanged = found.version == write.expected
    if unchanged or _may_be_dropped(write, found):
        return objects.Undecided(write.operation, write)
    return objects.Conflict(found.live())


def _may_be_dropped(write: objects.Write, found: objects.Snapshot) -> bool:
    if len(found.operations) < raw.MAX_RECORDED_WRITES:
        return False
    return found.operations[0].version > write.expected


class ReadBackClient:
    """A `PlatformClient` over a raw store.

    A write without an answer is read back. Its own operation id means
    `Written`; another change means `Conflict`; an unchanged object means that
    the write is repeated under the same operation id. `Undecided` is returned
    if the deadline passes first.
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
            raise raw.ValueTooLarge(f"{key}: {len(value)} bytes")
        operation = ids.new_operation_id()
        write = objects.Write(key, value, expected, operation)
        result = await self._decide(write)
        if expected == ids.NO_VERSION and result == objects.Conflict(None):
            return await self._recreate(write)
        return result

    async def delete(
        self, key: str, expected: ids.Version
    ) -> objects.WriteResult:
        """See `PlatformClient`."""
        operation = ids.new_operation_id()
        return await self._decide(objects.Write(key, None, expected, operation))

    async def resolve(
        self, undecided: objects.Undecided
    ) -> objects.WriteResult:
        """See `PlatformClient`."""
        if undecided.write is None:
            return undecided
        return await self._decide(undecided.write, read_first=True)

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
        """Creates an object that was deleted before.

        The write is conditional on the version of the deletion. A condition
        of mere absence would let an attempt that arrives late take effect
        after another object was created and deleted.
        """
        try:
            found = await self._read(write.key, READ_TIMEOUT_MS)
        except objects.PlatformUnavailable:
            return objects.Conflict(None)
        if found.value is not None:
            return objects.Conflict(found.live())
        return await self._decide(
            dataclasses.replace(write, expected=found.version)
        )

    async def _decide(
        self, write: objects.Write, read_first: bool = False
    ) -> objects.WriteResult:
        deadline_ms = self._clock.now_ms() + WRITE_DEADLINE_MS
        pause_ms = _FIRST_PAUSE_MS
        repeated = read_first
        while (left_ms := deadline_ms - self._clock.now_ms()) > 0:
            try:
                if repeated:
                    found = await self._read(write.key, left_ms)
                    result = outcome_from_read_back(write, found)
                    decided = not isinstance(result, objects.Undecided)
                    if decided or found.version != write.expected:
                        return result
                result = await self._attempt(write, deadline_ms)
            except objects.PlatformUnavailable:
                result = objects.Undecided(write.operation, write)
            # A conflict of a repeated write may be one with its own earlier
            # attempt, which only a read-back can tell.
            if isinstance(result, objects.Written) or (
                isinstance(result, objects.Conflict) and not repeated
            ):
                return result
            repeated = True
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, _LONGEST_PAUSE_MS)
        self._count("undecided")
        return objects.Undecided(write.operation, write)

    async def _attempt(
        self, write: objects.Write, deadline_ms: int
    ) -> objects.WriteResult:
        left_ms = deadline_ms - self._clock.now_ms()
        limit_ms = min(left_ms, WRITE_ATTEMPT_TIMEOUT_MS)
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
    return objects.PlatformUnavailable(f"{kind} {name}: timed out")
