"""Replica of the stored objects of one kind, and how changes are merged.

The store may come back from an older copy of its data, and raises its era then.
What it has lost, its writers write again: operators the configuration and the
evacuations, daemons their records and the key maps. Until then it stays in
force here.
"""

import dataclasses

from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import replica_order

__all__ = ["REWRITE_MS", "KindReplica"]

# What a restored store lacks, its writers write again within this time.
REWRITE_MS = 3_000


@dataclasses.dataclass(slots=True)
class KindReplica:
    """Replica of all objects of one kind.

    Attributes:
      kind: The kind.
      by_key: The objects by their keys.
      version: Version of the store as of the last change that was seen; 0 if
        nothing was read yet.
      is_listed: Whether the store itself, rather than another daemon, has
        listed the objects since this process began.
      held_version_by_key: Versions that the store holds of objects of which
        `by_key` has a newer value from before a restore of the store.
      kept_until_ms: Local time until which evacuations are kept that the store
        lacks since a restore.
    """

    kind: stored.Kind
    by_key: dict[str, objects.Versioned] = dataclasses.field(
        default_factory=dict
    )
    version: ids.Version = ids.NO_VERSION
    is_listed: bool = False
    held_version_by_key: dict[str, ids.Version] = dataclasses.field(
        default_factory=dict
    )
    kept_until_ms: int = 0

    @property
    def era(self) -> int:
        """Returns the latest era of the store of which this kind is known."""
        return stored.era_of(self.version)

    def version_in_store(self, key: str) -> ids.Version:
        """Returns the version that the store holds of an object.

        `ids.NO_VERSION` if the store lacks it, as far as is known: it may have
        lost the object with a restore.
        """
        known = self.by_key.get(key)
        held = self.held_version_by_key.get(key, ids.NO_VERSION)
        if known is not None and stored.era_of(known.version) == self.era:
            held = known.version
        return held if stored.era_of(held) == self.era else ids.NO_VERSION

    def apply_event(self, event: objects.Event, up_to: ids.Version) -> bool:
        """Applies one change; returns whether an object changed.

        Args:
          event: The change.
          up_to: Version of the store up to which changes are known with it.
        """
        self.version = max(self.version, up_to)
        known = self.by_key.get(event.key)
        if event.value is None:
            if known is None or event.version < known.version:
                return False
            del self.by_key[event.key]
            return True
        found = objects.Versioned(event.key, event.version, event.value)
        if self._choose(found, known) is not found:
            return False
        self.by_key[event.key] = found
        return True

    def apply_listing(self, listing: objects.Listing, now_ms: int) -> bool:
        """Merges a listing of the store or of another daemon.

        Args:
          listing: The listing.
          now_ms: Local time.

        Returns:
          Whether any object or the era changed.
        """
        is_older = listing.version < self.version
        # An older replica may have a map that the store has lost since.
        if is_older and self.kind is not stored.Kind.KEY_MAP:
            return False
        is_new_era = stored.era_of(listing.version) > self.era
        if is_new_era:
            self.kept_until_ms = now_ms + REWRITE_MS
        by_key = self._merged(listing, now_ms)
        if by_key == self.by_key and self.version and not is_new_era:
            return False
        self.by_key = by_key
        self.version = max(self.version, listing.version)
        return True

    def has_kept_for_now(self) -> bool:
        """Returns whether objects must be forgotten unless written again."""
        is_deleted_to_end = self.kind is stored.Kind.EVACUATION
        return is_deleted_to_end and bool(self._unrestored())

    def forget_unrestored(self) -> bool:
        """Forgets what the store lacks since a restore; returns if any."""
        unrestored = self._unrestored()
        for key in unrestored:
            del self.by_key[key]
        return bool(unrestored)

    def _unrestored(self) -> list[str]:
        return [
            key
            for key, each in self.by_key.items()
            if stored.era_of(each.version) < self.era
        ]

    def _choose(
        self, found: objects.Versioned, known: objects.Versioned | None
    ) -> objects.Versioned:
        """Returns the newer one of an object in the store and the known one."""
        if known is None or replica_order.supersedes(found, known):
            self.held_version_by_key.pop(found.key, None)
            return found
        if found.version > known.version:
            self.held_version_by_key[found.key] = found.version
        return known

    def _merged(
        self, listing: objects.Listing, now_ms: int
    ) -> dict[str, objects.Versioned]:
        """Returns the newest known version of each object of a listing.

        A daemon that has written one object sends a replica of that version,
        though it may not know the latest changes of others.
        """
        known = self.by_key
        by_key = {
            key: each
            for key, each in known.items()
            if self._outlives(each, listing, now_ms)
        }
        for each in listing.objects:
            if not self._has_ended(each, listing, now_ms):
                by_key[each.key] = self._choose(each, known.get(each.key))
        return by_key

    def _outlives(
        self, known: objects.Versioned, listing: objects.Listing, now_ms: int
    ) -> bool:
        """Returns whether an object stays though a listing may lack it.

        Evacuations end by being deleted, so one that nobody writes again has
        ended.
        """
        if self.kind is stored.Kind.KEY_MAP:
            return True
        if stored.era_of(known.version) >= stored.era_of(listing.version):
            return False
        return (
            self.kind is not stored.Kind.EVACUATION
            or now_ms < self.kept_until_ms
        )

    def _has_ended(
        self, found: objects.Versioned, listing: objects.Listing, now_ms: int
    ) -> bool:
        """Returns whether another daemon still keeps what has ended here."""
        return (
            self.kind is stored.Kind.EVACUATION
            and stored.era_of(found.version) < stored.era_of(listing.version)
            and now_ms >= self.kept_until_ms
        )
