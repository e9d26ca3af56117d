"""Removes records of fenced members that no slot refers to."""

from collections.abc import Iterator

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.membership import records
from mustardloom.ownership import slot_map
from mustardloom.relay import rendezvous

__all__ = ["FencedRecordCleanup"]

# Longer than any request, and long enough for readers of the audit trail.
_RETENTION_MS = 60_000


class FencedRecordCleanup:
    """Deletes FENCED records of members that no slot names any more.

    The deletion is safe: a fenced member stops serving for good when it finds
    its record FENCED, and also when it finds no record.
    """

    def __init__(
        self,
        store: store_lib.PlatformClient,
        members: records.MemberView,
        slots: slot_map.SlotMap,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._store = store
        self._members = members
        self._slots = slots
        self._clock = clock
        self._metrics = metrics

    async def remove_fenced(self, own: ids.MemberId) -> None:
        """Deletes the removable records for which member `own` ranks first."""
        due = [record.member for record in self._removable_records()]
        if not due:
            return
        live = [record.member for record in self._members.live()]
        for member in due:
            ranked = rendezvous.rank(f"cleanup/{member}", live)
            if ranked and ranked[0] == own:
                await self._remove(member)

    def _removable_records(self) -> Iterator[records.MemberRecord]:
        cutoff_ms = self._clock.wall_ms() - _RETENTION_MS
        fenced = [
            record
            for record in self._members.by_id.values()
            if record.state is records.MemberState.FENCED
            and record.fenced_wall_ms < cutoff_ms
        ]
        if not fenced:
            return
        referenced = set(self._members_in_slot_map())
        yield from (r for r in fenced if r.member not in referenced)

    def _members_in_slot_map(self) -> Iterator[ids.MemberId]:
        for entries in self._slots.by_group.values():
            for entry in entries:
                if entry.owner is not None:
                    yield entry.owner
                if entry.moving_to is not None:
                    yield entry.moving_to

    async def _remove(self, member: ids.MemberId) -> None:
        version = self._members.version_by_id[member]
        try:
            await self._store.delete(records.member_key(member), version)
        except store_lib.PlatformUnavailable:
            return
        self._metrics.increment("ownership.records_removed")
