"""Reports stored objects that cannot be decoded, each version once."""

from mustardloom import ids
from mustardloom import objects
from mustardloom.sidecar import events

__all__ = ["UnreadableObjects"]

_MAX_KEYS = 1_000


class UnreadableObjects:
    """The objects that were reported; they stay in the store for long."""

    def __init__(self, log: events.EventLog):
        self._log = log
        self._version_by_key: dict[str, ids.Version] = {}

    def report(self, found: objects.Versioned, error: ValueError) -> None:
        """Logs that an object is ignored, unless this version was reported."""
        if self._version_by_key.get(found.key) == found.version:
            return
        if len(self._version_by_key) >= _MAX_KEYS:
            self._version_by_key.clear()
        self._version_by_key[found.key] = found.version
        self._log.write(
            events.Event.OBJECT_UNREADABLE,
            object=found.key,
            store_version=found.version,
            error=events.describe(error),
        )
