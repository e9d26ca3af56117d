"""What a target says of itself."""

import dataclasses
import enum
from typing import NewType

from mustardloom import ids

__all__ = [
    "Announcement",
    "FreedRange",
    "GrantedRange",
    "HeldRange",
    "Phase",
    "TargetId",
    "TargetInstance",
    "TargetLoad",
]

TargetId = NewType("TargetId", str)


class Phase(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInstance:
    """One run of a target process.

    Attributes:
      target: Name that the target gave itself; a later run may reuse it.
      born_ms: Unix time of its start.
    """

    target: TargetId
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class HeldRange:
    """Keys `first` to `last` that a target holds or still works on."""

    first: int
    last: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class FreedRange:
    """Keys that a target released, with the token that passes its cache on."""

    first: int
    last: int
    handover: str


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class GrantedRange:
    """Keys that a target is to hold."""

    first: int
    last: int
    fence: int
    handover: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """One heartbeat of a target.

    Attributes:
      sequence: Grows with each heartbeat of one life.
      capacity: Requests that the target runs at once.
      cold_left_ms: How much longer it stays slow after its start.
    """

    instance: TargetInstance
    service: ids.ServiceId
    availability_zone: ids.AvailabilityZoneId
    capacity: int
    phase: Phase
    cold_left_ms: int
    sequence: int
    held: tuple[HeldRange, ...] = ()
    freed: tuple[FreedRange, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reported with an answer.

    Attributes:
      slowdown: How long work takes now, relative to usual.
    """

    running: int
    waiting: int
    capacity: int
    slowdown: float = 1.0
