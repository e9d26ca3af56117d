"""Member records in the store, and a view of all of them."""

from collections.abc import Callable
from collections.abc import Iterator
import enum

import msgspec

from mustardloom import ids
from mustardloom import objects
from mustardloom.relay import replica as replica_lib

__all__ = [
    "MEMBERS_PREFIX",
    "Address",
    "MemberRecord",
    "MemberState",
    "MemberView",
    "PublishEvent",
    "decode",
    "encode",
    "member_key",
]

MEMBERS_PREFIX = "members/"

# Applies a successful write of this process to the replica and pushes it to
# the other daemons.
PublishEvent = Callable[[objects.Event], None]


def member_key(member: ids.MemberId) -> str:
    """Returns the store key of a member record."""
    return f"{MEMBERS_PREFIX}{member}"


def encode(record: "MemberRecord") -> bytes:
    """Returns the stored form of `record`."""
    return msgspec.json.encode(record)


def decode(value: bytes) -> "MemberRecord":
    """Returns the record of a stored value.

    Raises:
      msgspec.ValidationError: The value is not a member record.
    """
    return msgspec.json.decode(value, type=MemberRecord)


class MemberState(enum.Enum):
    """State of a member.

    JOINING: has no target yet. ACTIVE: its target can serve. LEAVING: gets no
    new slots, and its slots are moved away. TARGET_DOWN: its slots are moved
    away until the target is back. FENCED: never serves again.
    """

    JOINING = "joining"
    ACTIVE = "active"
    LEAVING = "leaving"
    TARGET_DOWN = "target-down"
    FENCED = "fenced"


class Address(msgspec.Struct, frozen=True):
    """An IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What a member announces in the store.

    Attributes:
      member: Id of one incarnation of a daemon.
      region: Region of its availability zone.
      availability_zone: Zone of its VM.
      caller_address: Where callers reach its ingress.
      peer_address: Where other daemons reach it, TCP streams and UDP alike.
      state: See `MemberState`.
      service: Service of its target, None while it has no target.
      capacity: Concurrent requests that the warm target can handle.
      checks_fencing: Whether the target checks fencing tokens.
      target_instance: Id of the running process of the target.
      witnesses: Members that witness its lease.
      fenced_wall_ms: Time at which it was fenced, 0 if it was not.
    """

    member: ids.MemberId
    region: ids.RegionId
    availability_zone: ids.AvailabilityZoneId
    caller_address: Address
    peer_address: Address
    state: MemberState = MemberState.JOINING
    service: ids.ServiceId | None = None
    capacity: int = 0
    checks_fencing: bool = False
    target_instance: str = ""
    witnesses: tuple[ids.MemberId, ...] = ()
    fenced_wall_ms: int = 0

    @property
    def vm(self) -> ids.VmId:
        """VM of the member."""
        return ids.vm_of(self.member)


class MemberView:
    """View of all member records of a replica.

    Attributes:
      by_id: Records by member id, FENCED ones included.
      version_by_id: Version of each record in the store.
      revision: Increases with each change, so that users can tell whether
        what they derived from the view is still current.
    """

    def __init__(self, replica: replica_lib.Replica):
        self.by_id: dict[ids.MemberId, MemberRecord] = {}
        self.version_by_id: dict[ids.MemberId, ids.Version] = {}
        self.revision = 0
        replica.subscribe(MEMBERS_PREFIX, self._on_event)

    def live(self) -> Iterator[MemberRecord]:
        """Yields the records that are not FENCED."""
        for record in self.by_id.values():
            if record.state is not MemberState.FENCED:
                yield record

    def of_service(self, service: ids.ServiceId) -> Iterator[MemberRecord]:
        """Yields the live records of the targets of `service`."""
        return (record for record in self.live() if record.service == service)

    def in_zone(self, zone: ids.AvailabilityZoneId) -> Iterator[MemberRecord]:
        """Yields the live records in an availability zone."""
        return (r for r in self.live() if r.availability_zone == zone)

    def _on_event(self, event: objects.Event) -> None:
        member = ids.MemberId(event.key.removeprefix(MEMBERS_PREFIX))
        self.revision += 1
        if event.value is None:
            self.by_id.pop(member, None)
            self.version_by_id.pop(member, None)
            return
        self.by_id[member] = decode(event.value)
        self.version_by_id[member] = event.version
