"""Makes concurrent stops of different objects count each other."""

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
    "FoundGuard",
    "Guard",
    "PendingStop",
    "StopGuard",
    "covers",
]

GUARD_KEY = "guards/stops"

# Longer than a command takes from its check to the end of its write.
_PENDING_MS = 10_000


def covers(
    kind: model.StopKind, name: str, record: records.MemberRecord
) -> bool:
    """Tells whether a stop covers a member."""
    match kind:
        case model.StopKind.AVAILABILITY_ZONE:
            return record.availability_zone == name
        case model.StopKind.TARGET:
            return record.vm == name


class PendingStop(msgspec.Struct, frozen=True, kw_only=True):
    """A stop that was checked and may not be stored yet.

    Attributes:
      kind: What `name` names.
      name: Availability zone or VM.
      seen: Version of the stop object that its author saw; the stop is no
        longer pending once there is a later one.
      wall_ms: Time of the check.
    """

    kind: model.StopKind
    name: str
    seen: ids.Version
    wall_ms: int

    def covers(self, record: records.MemberRecord) -> bool:
        """Tells whether the stop covers a member."""
        return covers(self.kind, self.name, record)


class Guard(msgspec.Struct, frozen=True):
    """Stored form: the pending stops."""

    pending: tuple[PendingStop, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FoundGuard:
    """The pending stops and the version of the object that holds them."""

    pending: tuple[PendingStop, ...]
    version: ids.Version


class StopGuard:
    """One object that each stop changes between its check and its write.

    Two stops of different zones change different objects, so each could pass a
    check that does not know the other. The loser of this write checks again,
    with the stop of the winner in the count.
    """

    def __init__(self, store: store_lib.PlatformClient, clock: clock_lib.Clock):
        self._store = store
        self._clock = clock

    async def read(self) -> "FoundGuard":
        """Returns the guard.

        Raises:
          object_store.PlatformUnavailable: The store did not answer.
        """
        found = await self._store.get(GUARD_KEY)
        if found is None:
            return FoundGuard((), ids.NO_VERSION)
        guard = msgspec.json.decode(found.value, type=Guard)
        return FoundGuard(guard.pending, found.version)

    async def claim(self, found: "FoundGuard", stop: PendingStop) -> bool:
        """Adds a stop if no other one was added since the guard was read.

        Raises:
          object_store.PlatformUnavailable: The store did not answer.
        """
        kept = self._recent(found.pending)
        value = msgspec.json.encode(Guard((*kept, stop)))
        result = await self._store.update(GUARD_KEY, value, found.version)
        if isinstance(result, store_lib.Undecided):
            raise store_lib.PlatformUnavailable("the check was not recorded")
        return isinstance(result, store_lib.Written)

    def pending(
        self, found: "FoundGuard", version_of: dict[str, ids.Version]
    ) -> list[PendingStop]:
        """Returns the stops that may still be written.

        Args:
          found: The guard.
          version_of: Versions of the stored stops, by key.
        """
        return [
            stop
            for stop in self._recent(found.pending)
            if version_of.get(model.stop_key(stop.kind, stop.name), 0)
            <= stop.seen
        ]

    def _recent(self, pending: Iterable[PendingStop]) -> Iterator[PendingStop]:
        cutoff_ms = self._clock.wall_ms() - _PENDING_MS
        return (stop for stop in pending if stop.wall_ms > cutoff_ms)
