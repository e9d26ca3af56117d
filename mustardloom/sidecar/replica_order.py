"""Which of two versions of one stored object is the newer one.

Within one era of the store the version tells. The store may come back from an
older copy of its data, though: what it then holds has a version of the new era
and may be older than what daemons know from the era before. Where the value
itself tells how new it is, that counts.
"""

from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.keys import key_map
from mustardloom.platform import configuration

__all__ = ["supersedes"]

_UNREADABLE = -1


def supersedes(found: objects.Versioned, known: objects.Versioned) -> bool:
    """Returns whether an object replaces the known one of the same key."""
    if stored.era_of(found.version) == stored.era_of(known.version):
        return found.version >= known.version
    kind = stored.kind_of(found.key)
    found_order = _order(kind, found.value)
    known_order = _order(kind, known.value)
    if found_order != known_order:
        return found_order > known_order
    return found.version > known.version


def _order(kind: stored.Kind, value: bytes) -> int:
    """Returns the version that the writer of a value gave it; 0 if none."""
    try:
        match kind:
            case stored.Kind.CONFIGURATION:
                return configuration.version_of(value)
            case stored.Kind.KEY_MAP:
                return key_map.version_of(value)
            case stored.Kind.DAEMON | stored.Kind.EVACUATION:
                return 0
    except ValueError:
        return _UNREADABLE
