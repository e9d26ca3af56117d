"""Checks whether all slots, as known to this daemon, are served."""

from mustardloom import ids
from mustardloom.daemon import configuration as configuration_lib
from mustardloom.membership import records
from mustardloom.membership import witness_choice
from mustardloom.ownership import slot_map
from mustardloom.ownership import slots

__all__ = ["ReadinessCheck"]


class ReadinessCheck:
    """Detects slots without an active owner and missing witnesses."""

    def __init__(
        self,
        configuration: configuration_lib.Configuration,
        members: records.MemberView,
        slot_view: slot_map.SlotMap,
    ):
        self._configuration = configuration
        self._members = members
        self._slots = slot_view

    def is_settled(self, local: records.MemberRecord) -> bool:
        """Returns whether all slots are served and the lease has its witnesses.

        Every slot needs an active owner and no planned move; groups without an
        available target are skipped. False while no group is configured.
        """
        groups = self._configuration.groups()
        if not groups or not self._has_witnesses(local):
            return False
        return all(
            self._is_group_settled(group, slot_count)
            for group, slot_count in groups
        )

    def _has_witnesses(self, local: records.MemberRecord) -> bool:
        """Returns whether the lease has all its witnesses.

        With them, the member can be fenced after its loss.
        """
        others = {record.vm for record in self._members.live()} - {local.vm}
        wanted = min(witness_choice.MAX_WITNESSES, len(others))
        return len(local.witnesses) >= wanted

    def _is_group_settled(self, group: ids.GroupId, slot_count: int) -> bool:
        if not self._has_targets(group):
            return True
        entries = self._slots.by_group.get(group, [])
        if len(entries) < slot_count:
            return False
        return all(map(self._is_served, entries))

    def _is_served(self, entry: slot_map.SlotEntry) -> bool:
        if entry.owner is None or entry.moving_to is not None:
            return False
        record = self._members.by_id.get(entry.owner)
        return record is not None and record.state is records.MemberState.ACTIVE

    def _has_targets(self, group: ids.GroupId) -> bool:
        regions = slots.group_regions(group)
        service = slots.group_service(group)
        return any(
            record.state is records.MemberState.ACTIVE
            and (not regions or record.region in regions)
            and not self._configuration.is_stopped(record)
            for record in self._members.of_service(service)
        )
