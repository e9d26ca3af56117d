"""Copy of the store's objects that every daemon keeps."""

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
    """What an `apply` changed.

    Attributes:
      changed: Events that were newer than the replica, in order.
      gap: Whether changes before the first event may be missing.
    """

    changed: tuple[objects.Event, ...]
    gap: bool


class Replica:
    """Objects by key, each at the newest version that was seen.

    An older version of an object is never adopted. The watermark `version`
    says up to which version all changes are included.

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
        """Returns the live object, or None if absent or deleted."""
        event = self._by_key.get(key)
        if event is None or event.value is None:
            return None
        return event

    def version_of(self, key: str) -> ids.Version:
        """Returns the newest seen version of `key`, also of a deletion."""
        event = self._by_key.get(key)
        return event.version if event else ids.NO_VERSION

    def select(self, prefix: str) -> Iterator[objects.Event]:
        """Yields the live objects whose keys start with `prefix`."""
        for key, event in self._by_key.items():
            if event.value is not None and key.startswith(prefix):
                yield event

    def changes_after(self, version: ids.Version) -> tuple[objects.Event, ...]:
        """Returns all changes after `version`, oldest first."""
        if version >= self._newest:
            return ()
        newer = (e for e in self._by_key.values() if e.version > version)
        return tuple(sorted(newer, key=lambda event: event.version))

    def subscribe(self, prefix: str, subscriber: Subscriber) -> None:
        """Calls `subscriber` for each change of a key with `prefix`.

        The live objects that are already known are passed at once.
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
        """Adopts the events that are newer than what is known.

        Args:
          events: Changes after `since`, in any order.
          since: All changes after this version up to `up_to` are in `events`.
          up_to: Last version that the events cover.
        """
        ordered = sorted(events, key=lambda event: event.version)
        changed = tuple(event for event in ordered if self._adopt(event))
        gap = since > self.version
        if not gap:
            self.version = max(self.version, up_to)
        for event in changed:
            self._publish(event)
        return ApplyResult(changed, gap)

    def apply_listing(
        self, listing: objects.Listing, prefix: str, up_to: ids.Version
    ) -> ApplyResult:
        """Adopts a complete listing below `prefix`.

        Known objects that the listing lacks were deleted.

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

    def _adopt(self, event: objects.Event) -> bool:
        if event.version <= self.version_of(event.key):
            return False
        self._by_key[event.key] = event
        self._newest = max(self._newest, event.version)
        return True

    def _publish(self, event: objects.Event) -> None:
        for prefix, subscriber in self._subscribers:
            if event.key.startswith(prefix):
                subscriber(event)
