"""Interface of the platform's object API."""

from typing import Protocol

from mustardloom import ids
from mustardloom import objects

__all__ = ["PlatformClient"]


class PlatformClient(Protocol):
    """Reads, writes conditionally and watches objects of the platform."""

    async def get(self, key: str) -> objects.Versioned | None:
        """Returns the object, or None if there is none.

        Raises:
          objects.PlatformUnavailable: The store did not answer.
        """

    async def list_objects(self, prefix: str = "") -> objects.Listing:
        """Returns all objects whose keys start with `prefix`.

        Raises:
          objects.PlatformUnavailable: The store did not answer.
        """

    async def update(
        self, key: str, value: bytes, expected: ids.Version
    ) -> objects.WriteResult:
        """Writes `value` if the object still has version `expected`.

        `ids.NO_VERSION` creates the object. If the answer is lost, the object
        is read back: the write took effect if its operation id is recorded.
        """

    async def delete(
        self, key: str, expected: ids.Version
    ) -> objects.WriteResult:
        """Deletes the object if it still has version `expected`."""

    async def resolve(
        self, undecided: objects.Undecided
    ) -> objects.WriteResult:
        """Finds out whether an undecided write took effect.

        If nothing else has changed the object, the write is repeated under its
        old operation id. The result is therefore definite in most cases as soon
        as the store answers again.
        """

    async def watch(
        self, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """Returns changes of all objects after `after`.

        Waits up to `wait_ms` for the first one; the batch may be empty.

        Raises:
          objects.PlatformUnavailable: The store did not answer.
        """
