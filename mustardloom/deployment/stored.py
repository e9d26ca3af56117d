"""Kinds of objects in the platform's store and their keys."""

import enum

import msgspec

from mustardloom import ids

__all__ = [
    "DaemonRecord",
    "HistoryGone",
    "Kind",
    "key",
    "kind_of",
    "name_of",
]

_SEPARATOR = "/"


class Kind(enum.Enum):
    """What an object is."""

    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"
    DAEMON = "mustardloom-daemons"
    KEY_MAP = "mustardloom-key-maps"


class HistoryGone(Exception):
    """Changes since the given version are no longer known; list again."""


class DaemonRecord(msgspec.Struct, frozen=True):
    """Where a daemon is reached; written once, at its start."""

    vm: ids.VmId
    ip: str
    port: int
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    service: ids.ServiceId


def key(kind: Kind, name: str) -> str:
    """Returns the key of an object.

    Example:
      >>> key(Kind.EVACUATION, "zone-a")
      'evacuation/zone-a'
    """
    return f"{kind.value}{_SEPARATOR}{name}"


def kind_of(key: str) -> Kind:
    """Returns the kind in a key."""
    return Kind(key.partition(_SEPARATOR)[0])


def name_of(key: str) -> str:
    """Returns the name in a key."""
    return key.partition(_SEPARATOR)[2]
