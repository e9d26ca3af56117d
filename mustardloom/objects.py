"""Objects in the platform's store and results of calls to it."""

import dataclasses

from mustardloom import ids

__all__ = [
    "Conflict",
    "Event",
    "Listing",
    "PlatformUnavailable",
    "RecordedWrite",
    "Snapshot",
    "Undecided",
    "Versioned",
    "WatchBatch",
    "Write",
    "WriteResult",
    "Written",
]


class PlatformUnavailable(Exception):
    """The store did not answer; the state of the object is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedWrite:
    """A write that took effect, and the version that it created."""

    operation: ids.OperationId
    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """An object in the store.

    Attributes:
      key: Name of the object.
      version: Store-wide version of its last change.
      value: JSON.
      operations: Its last writes, oldest first.
    """

    key: str
    version: ids.Version
    value: bytes
    operations: tuple[RecordedWrite, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a key in the store, also of one that was deleted.

    Attributes:
      key: Name of the object.
      version: Version of the last change; `ids.NO_VERSION` if there was none.
      value: JSON, or None if the object does not exist now.
      operations: The last writes, oldest first, including deletions.
    """

    key: str
    version: ids.Version = ids.NO_VERSION
    value: bytes | None = None
    operations: tuple[RecordedWrite, ...] = ()

    def live(self) -> Versioned | None:
        """Returns the object, or None if it does not exist now."""
        if self.value is None:
            return None
        return Versioned(self.key, self.version, self.value, self.operations)

    def version_made_by(self, operation: ids.OperationId) -> ids.Version | None:
        """Returns the version that `operation` created, if it is recorded."""
        for write in self.operations:
            if write.operation == operation:
                return write.version
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional write; every attempt carries the same operation id.

    Attributes:
      key: Name of the object.
      value: JSON, or None to delete the object.
      expected: Version that the object must have: that of its deletion if it
        was deleted, `ids.NO_VERSION` if it never existed.
      operation: Unique id by which the store recognises repeated attempts.
    """

    key: str
    value: bytes | None
    expected: ids.Version
    operation: ids.OperationId


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of an object; `value` is None if it was deleted."""

    key: str
    version: ids.Version
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects below a key prefix, with every change up to `version`."""

    objects: tuple[Versioned, ...]
    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class WatchBatch:
    """All changes after an earlier version and up to `version`, in order."""

    events: tuple[Event, ...]
    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect at `version`."""

    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write took no effect; `current` is the object in the store."""

    current: Versioned | None


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The write may or may not take effect, now or later.

    Attributes:
      operation: Id of the write.
      write: The write itself, which `PlatformClient.resolve` needs.
    """

    operation: ids.OperationId
    write: Write | None = None


WriteResult = Written | Conflict | Undecided
