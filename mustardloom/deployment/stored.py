"""Kinds of objects in the platform's store and their keys."""

import enum
import socket
from typing import Annotated

import msgspec

from mustardloom import decoding
from mustardloom import ids

__all__ = [
    "DaemonRecord",
    "HistoryGone",
    "Kind",
    "decode_daemon",
    "era_of",
    "key",
    "kind_of",
    "name_of",
    "revision_of",
    "version_of",
]

_SEPARATOR = "/"
# A version holds the store's revision in this many low bits, and its era above.
_REVISION_BITS = 40


class Kind(enum.Enum):
    """Kind of an object; its value is the first part of the object's key."""

    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"
    DAEMON = "mustardloom-daemons"
    KEY_MAP = "mustardloom-key-maps"


class HistoryGone(Exception):
    """The store no longer has the changes since a version; list again."""


class DaemonRecord(msgspec.Struct, frozen=True):
    """Address and location of a daemon; it writes this once, at its start.

    Raises:
      ValueError: The address is not one to which a link can be dialled, or the
        VM has no name.
    """

    vm: ids.VmId
    ip: str
    port: Annotated[int, msgspec.Meta(ge=0, le=65_535)]
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    service: ids.ServiceId

    def __post_init__(self) -> None:
        try:
            socket.inet_pton(socket.AF_INET, self.ip)
        except (OSError, UnicodeError) as error:
            raise ValueError(f"{self.ip!r} is not an IPv4 address") from error
        if not self.vm:
            raise ValueError("the record names no VM")


def decode_daemon(value: bytes) -> DaemonRecord:
    """Returns the record in a stored value.

    Raises:
      decoding.Undecodable: The value is not a valid record.
    """
    return decoding.decode_json(value, DaemonRecord)


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


def version_of(era: int, revision: int) -> ids.Version:
    """Returns a version that grows with each change, also after a restore.

    The store may come back from an older copy of its data. Its revisions then
    go back and are given out again, and its era rises.

    Example:
      >>> version_of(era=2, revision=5) > version_of(era=1, revision=30)
      True
    """
    return ids.Version(era << _REVISION_BITS | revision)


def era_of(version: ids.Version) -> int:
    """Returns the era of the store in which a version was seen."""
    return version >> _REVISION_BITS


def revision_of(version: ids.Version) -> int:
    """Returns the store's own revision of a version."""
    return version & ((1 << _REVISION_BITS) - 1)
