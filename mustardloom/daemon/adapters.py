"""Adapters between packages that depend on each other only by protocols."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from mustardloom import ids
from mustardloom import outcomes
from mustardloom.admission import deduplication
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.forwarding import target_client
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import records
from mustardloom.ownership import holdings as holdings_lib
from mustardloom.ownership import slot_admission
from mustardloom.relay import dissemination
from mustardloom.relay.wire import peer_pb2

__all__ = [
    "CurrentLease",
    "GrantError",
    "MemberTopology",
    "OwnedSlotPermit",
    "SlotRequestRecords",
    "TargetGrants",
    "refusal_of",
]


def refusal_of(result: slot_admission.AdmitResult) -> outcomes.Refused | None:
    """Returns why a slot did not admit a request, None if it did."""
    reason = outcomes.RefusalReason
    match result:
        case slot_admission.Admitted():
            return None
        case slot_admission.NotOwner(None):
            return outcomes.Refused(
                reason.NOT_OWNER, "another member owns the slot"
            )
        case slot_admission.NotOwner(hint):
            return outcomes.Refused(
                reason.MOVED, "the slot has moved", owner=hint
            )
        case slot_admission.Incoming():
            return outcomes.Refused(
                reason.NO_OWNER, "the slot is not served here yet"
            )
        case slot_admission.LeaseLapsed():
            return outcomes.Refused(
                reason.LEASE_LAPSED, "this member does not hold its lease"
            )


class CurrentLease:
    """Lease of the daemon's current incarnation.

    Attributes:
      lease: Replaced when a new incarnation starts.
    """

    def __init__(self, lease: lease_lib.Lease):
        self.lease = lease

    def is_held(self) -> bool:
        """See `membership.lease.Lease`."""
        return self.lease.is_held()

    def expires_ms(self) -> int:
        """See `membership.lease.Lease`."""
        return self.lease.expires_ms()


class OwnedSlotPermit:
    """Admission of one request to a slot of this daemon, for the gate.

    Attributes:
      was_admitted: Whether the request was admitted to the slot.
    """

    def __init__(
        self,
        holdings: holdings_lib.Holdings,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ):
        self._holdings = holdings
        self._group = group
        self._slot = slot
        self.was_admitted = False

    def acquire(self) -> ids.Epoch | outcomes.Refused:
        """See `admission.dispatch.SlotPermit`."""
        result = self._holdings.admit(self._group, self._slot)
        if isinstance(result, slot_admission.Admitted):
            self.was_admitted = True
            return result.epoch
        refusal = refusal_of(result)
        assert refusal is not None
        return refusal

    def release(self) -> None:
        """See `admission.dispatch.SlotPermit`."""
        self._holdings.end_request(self._group, self._slot)


class GrantError(Exception):
    """The target did not confirm a grant or its withdrawal."""


class TargetGrants:
    """Sends grants of slots to the local target, if there is one.

    Attributes:
      client: Client of the target, None before its first announcement.
    """

    def __init__(self) -> None:
        self.client: target_client.TargetClient | None = None

    async def grant(
        self,
        epoch_by_slot: Mapping[slot_admission.SlotKey, ids.Epoch],
        expires_ms: int,
    ) -> None:
        """See `ownership.holdings.Grants`.

        Raises:
          GrantError: There is no target, or it did not confirm.
        """
        grants = (
            target_client.Grant(group, slot, epoch)
            for (group, slot), epoch in epoch_by_slot.items()
        )
        if self.client is None or not await self.client.grant(
            grants, expires_ms
        ):
            raise GrantError("the target did not confirm the grants")

    async def release(
        self, group: ids.GroupId, slots: Iterable[ids.SlotIndex]
    ) -> None:
        """See `ownership.holdings.Grants`.

        Raises:
          GrantError: There is no target, or it did not confirm.
        """
        released = (
            target_client.Grant(group, slot, ids.Epoch(0)) for slot in slots
        )
        if self.client is None or not await self.client.release(released):
            raise GrantError(
                f"the target did not confirm the release of slots of {group}"
            )


class SlotRequestRecords:
    """Request ids of slots, exported and imported by planned moves."""

    def __init__(self, request_ids: deduplication.DeduplicationTable):
        self._deduplication = request_ids

    def export(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> list[peer_pb2.RequestRecord]:
        """See `ownership.moves.RequestRecords`."""
        placement = dispatch_lib.SlotId(group, slot)
        return list(self._deduplication.export_slot(placement).requests)

    def unknown_before_wall_ms(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> int:
        """See `ownership.moves.RequestRecords`."""
        placement = dispatch_lib.SlotId(group, slot)
        return self._deduplication.unknown_before_wall_ms(placement)

    def import_(
        self,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        records: Sequence[peer_pb2.RequestRecord],
        unknown_before_wall_ms: int,
    ) -> None:
        """See `ownership.moves.RequestRecords`."""
        placement = dispatch_lib.SlotId(group, slot)
        self._deduplication.open_slot(
            placement, unknown_before_wall_ms, records
        )


class MemberTopology:
    """Live members and their availability zones, for the dissemination.

    Args:
      members: View of all members.
      zone: Availability zone of this daemon.
    """

    def __init__(
        self, members: records.MemberView, zone: ids.AvailabilityZoneId
    ):
        self._members = members
        self._zone = zone
        self._revision = -1
        self._infos: tuple[dissemination.PeerInfo, ...] = ()

    def own_zone(self) -> ids.AvailabilityZoneId:
        """See `relay.dissemination.Topology`."""
        return self._zone

    def peer_infos(self) -> tuple[dissemination.PeerInfo, ...]:
        """See `relay.dissemination.Topology`."""
        if self._revision != self._members.revision:
            self._revision = self._members.revision
            infos = tuple(
                dissemination.PeerInfo(record.member, record.availability_zone)
                for record in self._members.live()
            )
            if infos != self._infos:
                self._infos = infos
        return self._infos
