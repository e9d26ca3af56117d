"""Objects of the platform's store and results of calls to it."""

import dataclasses

from mustardloom import ids

__all__ = [
    "Conflict",
    "Event",
    "Listing",
    "PlatformUnavailable",
    "Undecided",
    "Versioned",
    "WatchBatch",
    "WriteResult",
    "Written",
]


class PlatformUnavailable(Exception):
    """The store did not answer; for a read, nothing is known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """An object of the store.

    Attributes:
      key: Name of the object.
      version: Store-wide version of its last change.
      value: JSON.
      operations: Operation ids of its last writes, oldest first.
    """

    key: str
    version: ids.Version
    value: bytes
    operations: tuple[ids.OperationId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of an object; `value` is None if it was deleted."""

    key: str
    version: ids.Version
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects below a prefix, complete up to `version`."""

    objects: tuple[Versioned, ...]
    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes after a version, complete up to `version`, in order."""

    events: tuple[Event, ...]
    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect at `version`."""

    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write took no effect; `current` is the object that was found."""

    current: Versioned | None


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The write may or may not take effect; resolve it by read-back."""

    operation: ids.OperationId


WriteResult = Written | Conflict | Undecided
