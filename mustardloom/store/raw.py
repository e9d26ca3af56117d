"""Interface of the store with one attempt per call, without any retries."""

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
# The store keeps the operation ids of this many last writes of each object.
MAX_RECORDED_WRITES = 16


class ValueTooLarge(ValueError):
    """The value exceeds MAX_VALUE_BYTES; nothing was written."""


class RawStore(Protocol):
    """Calls to the store; each method makes a single attempt.

    Every method raises `objects.PlatformUnavailable` if no answer arrived. A
    write that raised it may have taken effect, or may do so later.
    """

    async def read(self, key: str) -> objects.Snapshot:
        """Returns the object of `key` with its last writes, also if deleted."""

    async def list_objects(self, prefix: str) -> objects.Listing:
        """Returns all objects whose keys start with `prefix`."""

    async def write(
        self, write: objects.Write
    ) -> objects.Written | objects.Conflict:
        """Attempts a write that is conditional on `write.expected`.

        The version of a deleted object is that of its deletion, so
        `ids.NO_VERSION` matches only a key that never had an object.

        Returns:
          `Written` if the write took effect; also if it repeats a recorded
          write, with the version that the first attempt created. `Conflict` if
          the object has another version.

        Raises:
          ValueTooLarge: The value exceeds MAX_VALUE_BYTES.
        """

    async def watch(
        self, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """Returns changes after `after`; waits up to `wait_ms` for one."""
