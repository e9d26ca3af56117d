"""What a target reports about itself: state, keys and load."""

import dataclasses
import enum
from typing import NewType

import msgspec

from mustardloom import ids

__all__ = [
    "Announcement",
    "FreedRange",
    "GrantedRange",
    "HeldRange",
    "Phase",
    "Statement",
    "TargetId",
    "TargetInstance",
    "TargetLoad",
]

TargetId = NewType("TargetId", str)
# Smaller changes of a rate limit, as a share of it, need no message.
_NOTABLE_CHANGE = 0.2


class Phase(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInstance:
    """One run of a target process.

    Attributes:
      target: Name that the target chose; a later run may have the same.
      born_ms: Start of the process, Unix time.
    """

    target: TargetId
    born_ms: int


class HeldRange(msgspec.Struct, frozen=True, order=True, gc=False):
    """Keys that a target holds, or for which it still runs requests.

    A struct, as a heartbeat may list thousands of them.

    Attributes:
      first: First key.
      last: Last key, included.
      fence: Fencing token of the grant.
    """

    first: int
    last: int
    fence: int


class FreedRange(msgspec.Struct, frozen=True, order=True, gc=False):
    """Keys that a target released.

    A struct, as a heartbeat may list one for each key.

    Attributes:
      first: First key.
      last: Last key, included.
      handover: Token with which the next owner takes over the cached data.
    """

    first: int
    last: int
    handover: str


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class GrantedRange:
    """Keys that a target is to hold.

    Attributes:
      first: First key.
      last: Last key, included.
      fence: Fencing token; higher than those of earlier owners.
      handover: Token of the earlier owner; empty if it gave none.
    """

    first: int
    last: int
    fence: int
    handover: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """One heartbeat of a target.

    Attributes:
      instance: The run of the target process.
      service: Service of the target.
      availability_zone: Availability zone of the target.
      capacity: Requests that the target runs at once.
      phase: Whether it takes new work.
      cold_left_ms: How much longer it stays slow after its start.
      sequence: Increases with each heartbeat of one instance.
      held: Keys that it holds, in order; adjacent ones with the same fence
        are one range.
      freed: Keys that it released, with the tokens for their next owners.
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
class Statement:
    """What a target states about itself with each response.

    It holds until the next response, whatever becomes of the request.

    Attributes:
      rate_limit_per_s: Requests a second that it takes from all VMs together;
        None if it states no limit.
      is_leaving: Whether it is about to leave.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False

    def differs_notably(self, other: "Statement") -> bool:
        """Returns whether other daemons must know the difference at once."""
        if self.is_leaving != other.is_leaving:
            return True
        rate_per_s, other_per_s = self.rate_limit_per_s, other.rate_limit_per_s
        if rate_per_s is None or other_per_s is None:
            return rate_per_s is not other_per_s
        return abs(rate_per_s - other_per_s) > _NOTABLE_CHANGE * other_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reported with a response.

    Attributes:
      running: Requests that it runs.
      waiting: Requests in its own queue.
      capacity: Requests that it runs at once.
      slowdown: Current service time divided by the usual one.
    """

    running: int
    waiting: int
    capacity: int
    slowdown: float = 1.0

    @property
    def is_full(self) -> bool:
        """Returns whether all its places are taken."""
        return self.running >= self.capacity
