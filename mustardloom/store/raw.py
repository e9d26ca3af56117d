"""Single attempts at the store, without any recovery of lost answers."""

from typing import Protocol

from mustardloom import ids
from mustardloom import objects

__all__ = [
    "MAX_RECORDED_WRITES",
    "MAX_VALUE_BYTES",
    "RawStore",
    "ValueTooLarge",
]

MAX_VALUE_BYTES = 1_000_000
# Writes whose operation ids the store keeps with each object.
MAX_RECORDED_WRITES = 16


class ValueTooLarge(ValueError):
    """The value exceeds MAX_VALUE_BYTES; nothing was written."""


class RawStore(Protocol):
    """One call to the store per method.

    Every method raises `objects.PlatformUnavailable` if no answer came. A
    write that raised it may have taken effect, or may do so later.
    """

    async def read(self, key: str) -> objects.Snapshot:
        """Returns what the store knows of `key`."""

    async def list_objects(self, prefix: str) -> objects.Listing:
        """Returns all objects whose keys start with `prefix`."""

    async def write(
        self, write: objects.Write
    ) -> objects.Written | objects.Conflict:
        """Attempts a write that is conditional on `expected`.

        The version of a deleted object is that of its deletion, so that
        `ids.NO_VERSION` matches only a key that never had an object.

        A repetition of a recorded write answers `Written` with the version
        that the first one made.

        Raises:
          ValueTooLarge: The value exceeds MAX_VALUE_BYTES.
        """

    async def watch(
        self, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """Returns changes after `after`, waiting up to `wait_ms`."""
