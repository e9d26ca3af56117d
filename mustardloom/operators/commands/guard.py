"""Makes the capacity checks of concurrent stops include each other."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import store as store_lib
from mustardloom.declarations import model
from mustardloom.membership import records

__all__ = [
    "GUARD_KEY",
    "Guard",
    "PendingStop",
    "StopGuard",
    "VersionedGuard",
    "covers",
]

GUARD_KEY = "guards/stops"

# Longer than the time from the check of a stop to the end of its write.
_PENDING_MS = 10_000


def covers(
    kind: model.StopKind, name: str, record: records.MemberRecord
) -> bool:
    """Returns whether a stop of zone or target `name` applies to a member."""
    match kind:
        case model.StopKind.AVAILABILITY_ZONE:
            return record.availability_zone == name
        case model.StopKind.TARGET:
            return record.vm == name


class PendingStop(msgspec.Struct, frozen=True, kw_only=True):
    """A stop that is about to be written and may not be stored yet.

    Attributes:
      kind: What `name` names.
      name: Availability zone or VM.
      seen: Version of the stop object on which the command was based; a later
        version ends the pending state.
      wall_ms: Wall time of the check.
    """

    kind: model.StopKind
    name: str
    seen: ids.Version
    wall_ms: int

    def covers(self, record: records.MemberRecord) -> bool:
        """Returns whether the stop applies to a member."""
        return covers(self.kind, self.name, record)


class Guard(msgspec.Struct, frozen=True):
    """Value of the object `GUARD_KEY`: the pending stops."""

    pending: tuple[PendingStop, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedGuard:
    """The pending stops and the version of the object they were read from."""

    pending: tuple[PendingStop, ...]
    version: ids.Version


class StopGuard:
    """A shared object that each stop writes between its check and its write.

    Stops of different zones write different objects, so two concurrent stops
    could each pass a check that does not include the other. The conditional
    write of this shared object fails for one of them, which then checks again
    with the other as pending.
    """

    def __init__(self, store: store_lib.PlatformClient, clock: clock_lib.Clock):
        self._store = store
        self._clock = clock

    async def read(self) -> "VersionedGuard":
        """Reads the pending stops from the store.

        Raises:
          store.PlatformUnavailable: The store did not answer.
        """
        found = await self._store.get(GUARD_KEY)
        if found is None:
            return VersionedGuard((), ids.NO_VERSION)
        guard = msgspec.json.decode(found.value, type=Guard)
        return VersionedGuard(guard.pending, found.version)

    async def try_add(self, guard: "VersionedGuard", stop: PendingStop) -> bool:
        """Adds a pending stop, unless another was added since `guard` was read.

        Returns:
          Whether the stop was added.

        Raises:
          store.PlatformUnavailable: The store did not answer.
        """
        kept = self._recent(guard.pending)
        value = msgspec.json.encode(Guard((*kept, stop)))
        result = await self._store.update(GUARD_KEY, value, guard.version)
        if isinstance(result, store_lib.Undecided):
            raise store_lib.PlatformUnavailable(
                "no answer to the write of the guard"
            )
        return isinstance(result, store_lib.Written)

    def pending(
        self, guard: "VersionedGuard", version_by_key: dict[str, ids.Version]
    ) -> list[PendingStop]:
        """Returns the stops that may still be written.

        Args:
          guard: The guard as read.
          version_by_key: Versions of the stored stops, by key.
        """
        return [
            stop
            for stop in self._recent(guard.pending)
            if version_by_key.get(model.stop_key(stop.kind, stop.name), 0)
            <= stop.seen
        ]

    def _recent(self, pending: Iterable[PendingStop]) -> Iterator[PendingStop]:
        cutoff_ms = self._clock.wall_ms() - _PENDING_MS
        return (stop for stop in pending if stop.wall_ms > cutoff_ms)
