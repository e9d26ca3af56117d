"""Copy of the store's objects that each daemon keeps in memory."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from mustardloom import ids
from mustardloom import objects

__all__ = ["ApplyResult", "Replica", "Subscriber"]

Subscriber = Callable[[objects.Event], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of applying changes to a replica.

    Attributes:
      changed: Events that were newer than the known versions, oldest first.
      gap: Whether the replica may lack changes before those applied.
    """

    changed: tuple[objects.Event, ...]
    gap: bool


class Replica:
    """Objects by key, each at the newest version that was received.

    An older version never replaces a newer one. The watermark `version` is the
    version up to which the replica includes all changes.

    Example:
      >>> replica = Replica()
      >>> event = objects.Event("config/a", ids.Version(3), b"{}")
      >>> replica.apply([event], ids.NO_VERSION, ids.Version(3)).gap
      False
      >>> replica.version
      3
    """

    def __init__(self) -> None:
        self._by_key: dict[str, objects.Event] = {}
        self._subscribers: list[tuple[str, Subscriber]] = []
        self._newest = ids.NO_VERSION
        self.version = ids.NO_VERSION

    def get(self, key: str) -> objects.Event | None:
        """Returns the object, or None if it is unknown or deleted."""
        event = self._by_key.get(key)
        if event is None or event.value is None:
            return None
        return event

    def version_of(self, key: str) -> ids.Version:
        """Returns the newest known version of `key`, deletions included.

        It is `ids.NO_VERSION` if no change of the key is known.
        """
        event = self._by_key.get(key)
        return event.version if event else ids.NO_VERSION

    def select(self, prefix: str) -> Iterator[objects.Event]:
        """Yields the existing objects whose keys start with `prefix`."""
        for key, event in self._by_key.items():
            if event.value is not None and key.startswith(prefix):
                yield event

    def changes_after(self, version: ids.Version) -> tuple[objects.Event, ...]:
        """Returns the last change of each key after `version`, oldest first."""
        if version >= self._newest:
            return ()
        newer = (e for e in self._by_key.values() if e.version > version)
        return tuple(sorted(newer, key=lambda event: event.version))

    def subscribe(self, prefix: str, subscriber: Subscriber) -> None:
        """Calls `subscriber` for each change of a key with `prefix`.

        It is called at once for each existing object that is known already.
        """
        self._subscribers.append((prefix, subscriber))
        for event in list(self.select(prefix)):
            subscriber(event)

    def apply(
        self,
        events: Iterable[objects.Event],
        since: ids.Version,
        up_to: ids.Version,
    ) -> ApplyResult:
        """Applies the events that are newer than the known versions.

        The watermark rises to `up_to`, unless there is a gap: the watermark is
        below `since`.

        Args:
          events: Changes after `since` up to `up_to`, in any order.
          since: Version after which the events are complete.
          up_to: Version up to which the events are complete.
        """
        ordered = sorted(events, key=lambda event: event.version)
        changed = tuple(event for event in ordered if self._apply_event(event))
        gap = since > self.version
        if not gap:
            self.version = max(self.version, up_to)
        for event in changed:
            self._notify_subscribers(event)
        return ApplyResult(changed, gap)

    def apply_listing(
        self, listing: objects.Listing, prefix: str, up_to: ids.Version
    ) -> ApplyResult:
        """Applies a complete listing of the keys with a prefix.

        Known objects that are not listed count as deleted, unless they are
        newer than the listing.

        Args:
          listing: The listing.
          prefix: Prefix that was listed.
          up_to: New watermark; at most the version of the listing.
        """
        live = {item.key for item in listing.objects}
        found = [
            objects.Event(item.key, item.version, item.value)
            for item in listing.objects
        ]
        deleted = [
            objects.Event(event.key, listing.version, None)
            for event in self.select(prefix)
            if event.key not in live and event.version <= listing.version
        ]
        return self.apply(found + deleted, ids.NO_VERSION, up_to)

    def _apply_event(self, event: objects.Event) -> bool:
        if event.version <= self.version_of(event.key):
            return False
        self._by_key[event.key] = event
        self._newest = max(self._newest, event.version)
        return True

    def _notify_subscribers(self, event: objects.Event) -> None:
        for prefix, subscriber in self._subscribers:
            if event.key.startswith(prefix):
                subscriber(event)
