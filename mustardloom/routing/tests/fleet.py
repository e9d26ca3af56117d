"""Fleet of members and slots for routing tests."""

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom import requests
from mustardloom.declarations import model
from mustardloom.membership import records
from mustardloom.ownership import slot_map as slot_map_lib
from mustardloom.relay import replica as replica_lib
from mustardloom.routing import candidates
from mustardloom.routing import routes

__all__ = ["KEYED", "NEAR", "SLOTS", "UNKEYED", "Fleet", "make_request"]

NEAR = ids.RegionId("pwani")
KEYED = ids.ServiceId("salio")
UNKEYED = ids.ServiceId("bidhaa")
SLOTS = 4
_ADDRESS = records.Address("127.0.0.1", 1)


def make_request(
    name: str,
    service: ids.ServiceId,
    idempotent: bool,
    deadline_ms: int,
    regions: frozenset[ids.RegionId] = frozenset(),
) -> requests.Request:
    """Returns a request whose path is `name`, which must be unique."""
    return requests.Request(
        method="GET" if idempotent else "POST",
        path=name,
        headers=(),
        body=b"",
        route=ids.RouteId(service),
        service=service,
        organisation=None,
        regions=regions,
        key=name if service == KEYED else None,
        request_id=None if idempotent else ids.RequestId(name),
        idempotent=idempotent,
        deadline_ms=deadline_ms,
        fingerprint=0,
    )


class Fleet:
    """Member and slot views, and routes of a keyed and an unkeyed service.

    Attributes:
      stopped: Members that the chooser treats as covered by a stop.
    """

    def __init__(self, clock: clock_lib.Clock, seed: int = 1):
        self.clock = clock
        self.stopped: set[ids.MemberId] = set()
        self._replica = replica_lib.Replica()
        self.members = records.MemberView(self._replica)
        self.slot_map = slot_map_lib.SlotMap(self._replica)
        services = (
            model.Service(id=KEYED, keyed=True, slot_count=SLOTS),
            model.Service(id=UNKEYED, slot_count=SLOTS),
        )
        declared = model.DeclarationSet(
            id=ids.DeclarationSetId("x"), services=services
        )
        self.table = routes.RouteTable([declared])
        self.chooser = candidates.TargetChooser(
            NEAR,
            self.members,
            lambda record: record.member in self.stopped,
            clock,
            seed,
        )

    def put_member(
        self,
        name: str,
        region: ids.RegionId = NEAR,
        service: ids.ServiceId = UNKEYED,
        state: records.MemberState = records.MemberState.ACTIVE,
        capacity: int = 6,
    ) -> ids.MemberId:
        """Adds or replaces a member; returns its id."""
        member = ids.MemberId(name)
        record = records.MemberRecord(
            member=member,
            region=region,
            availability_zone=ids.AvailabilityZoneId(f"{region}-1"),
            caller_address=_ADDRESS,
            peer_address=_ADDRESS,
            state=state,
            service=service,
            capacity=capacity,
        )
        self._put(records.member_key(member), records.encode(record))
        return member

    def put_owner(self, group: ids.GroupId, owner: ids.MemberId | None) -> None:
        """Makes `owner` the owner of all slots of a group."""
        key = slot_map_lib.chunk_key(slot_map_lib.ChunkName(group, 0))
        entries = [slot_map_lib.SlotEntry(owner) for _ in range(SLOTS)]
        self._put(key, slot_map_lib.encode_chunk(entries))

    def _put(self, key: str, value: bytes) -> None:
        version = ids.Version(self._replica.version + 1)
        event = objects.Event(key, version, value)
        self._replica.apply([event], ids.Version(version - 1), version)
