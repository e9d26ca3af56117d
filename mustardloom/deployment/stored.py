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
    """Kind of an object; its value is the first part of the object's key."""

    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"
    DAEMON = "mustardloom-daemons"
    KEY_MAP = "mustardloom-key-maps"


class HistoryGone(Exception):
    """The store no longer has the changes since a version; list again."""


class DaemonRecord(msgspec.Struct, frozen=True):
    """Address and location of a daemon; it writes this once, at its start."""

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
    """Returns the kind of the object with a key.

    Raises:
      ValueError: The key has an unknown kind.
    """
    return Kind(key.partition(_SEPARATOR)[0])


def name_of(key: str) -> str:
    """Returns the name of the object with a key, without its kind."""
    return key.partition(_SEPARATOR)[2]
