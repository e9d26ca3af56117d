"""Updates the slot map when members, stops or loads change."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.membership import records
from mustardloom.ownership import assignment
from mustardloom.ownership import chunk_writer
from mustardloom.ownership import ranks
from mustardloom.ownership import slot_map
from mustardloom.relay import replica as replica_lib

__all__ = ["GroupSource", "IsStopped", "LoadByGroup", "Reconciler"]

GroupSource = Callable[[], Iterable[tuple[ids.GroupId, int]]]
IsStopped = Callable[[records.MemberRecord], bool]
LoadByGroup = Callable[[ids.GroupId], assignment.SlotLoad]

_TICK_MS = 100
# Passes also run without any change, because receivers stop being cold as time
# passes. A pass of a candidate takes 12 ms at the planned fleet size.
_PASS_INTERVAL_COLD_MS = 1_000
_PASS_INTERVAL_IDLE_MS = 5_000
# Each rank waits this much longer than the one before it.
_RANK_DELAY_MS = 300
# Only the daemons of the first ranks plan, which bounds the work of a large
# fleet. A lost candidate is fenced by others and then leaves the ranking.
_MAX_CANDIDATES = 8
_STORE_RETRY_MS = 500
# The first owners of a group are assigned once no member has joined for this
# long. Otherwise the first few members to start would get all slots, and most
# of these would move away again one by one.
_FIRST_ASSIGNMENT_QUIET_MS = 500
# Longest delay of the first assignment while members keep joining.
_FIRST_ASSIGNMENT_LIMIT_MS = 5_000
# Accepted clock lead of request ids (500 ms) plus clock skew of the fleet
# (250 ms).
_CUT_OFF_LEAD_MS = 750


def equal_group_load(group: ids.GroupId) -> assignment.SlotLoad:
    """Returns a load function that gives all slots of a group equal load."""
    del group
    return assignment.equal_load


@dataclasses.dataclass(frozen=True, slots=True)
class _Due:
    """A version of a chunk that needs a change, and since when."""

    version: ids.Version
    since_ms: int


class Reconciler:
    """Creates chunks, replaces lost owners and plans moves.

    Any number of reconcilers may act at the same time, since each write is
    conditional on the version of the chunk that the plan was made from.

    Args:
      member: Id of this member.
      groups: Returns all groups with their numbers of slots.
      replica: Replica of the store's objects.
      members: View of the member records of `replica`.
      slots: View of the chunks of `replica`.
      writer: Writes chunks.
      is_stopped: Whether an operator stopped a member.
      clock: Measures delays and stamps cut-offs.
      metrics: Not used; the writer counts its own writes.
      load: Returns the load of the slots of a group.
    """

    def __init__(
        self,
        member: ids.MemberId,
        groups: GroupSource,
        replica: replica_lib.Replica,
        members: records.MemberView,
        slots: slot_map.SlotMap,
        writer: chunk_writer.ChunkWriter,
        is_stopped: IsStopped,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        load: LoadByGroup = equal_group_load,
    ):
        self._member = member
        self._groups = groups
        self._replica = replica
        self._members = members
        self._map = slots
        self._writer = writer
        self._is_stopped = is_stopped
        self._clock = clock
        self._metrics = metrics
        self._load = load
        self._has_changes = True
        self._ranks = ranks.ReconcilerRanks(member, members)
        self._due: dict[slot_map.ChunkName, _Due] = {}
        self._active_since_ms: dict[ids.MemberId, int] = {}
        self._members_revision = -1
        self._moves_by_receiver: collections.Counter[ids.MemberId] | None = None
        self._retry_at_ms = 0
        replica.subscribe("", self._on_event)

    async def run(self) -> None:
        """Makes a pass after changes and at intervals until cancelled."""
        next_pass_ms = 0
        while True:
            now_ms = self._clock.now_ms()
            if self._has_changes or self._due or now_ms >= next_pass_ms:
                next_pass_ms = now_ms + self._pass_interval_ms(now_ms)
                await self.reconcile()
            await self._clock.sleep_ms(_TICK_MS)

    def _pass_interval_ms(self, now_ms: int) -> int:
        newest_ms = max(self._active_since_ms.values(), default=now_ms)
        is_cold = (
            now_ms - newest_ms
            < assignment.COLD_DURATION_MS + _PASS_INTERVAL_COLD_MS
        )
        return _PASS_INTERVAL_COLD_MS if is_cold else _PASS_INTERVAL_IDLE_MS

    async def reconcile(self) -> None:
        """Makes one pass over the groups this member is a candidate for."""
        self._has_changes = False
        self._moves_by_receiver = None
        self._note_active()
        for group, slot_count in self._groups():
            rank = self._ranks.rank(group)
            if rank is not None and rank < _MAX_CANDIDATES:
                await self._reconcile_group(group, slot_count, rank)

    def request_pass(self) -> None:
        """Requests a pass at the next tick, after groups or stops changed.

        Changes in the replica request a pass by themselves.
        """
        self._has_changes = True

    def _on_event(self, event: object) -> None:
        del event
        self.request_pass()

    def _note_active(self) -> None:
        if self._members_revision == self._members.revision:
            return
        self._members_revision = self._members.revision
        now_ms = self._clock.now_ms()
        active = {
            record.member
            for record in self._members.live()
            if record.state is records.MemberState.ACTIVE
        }
        self._active_since_ms = {
            member: self._active_since_ms.get(member, now_ms)
            for member in active
        }

    async def _reconcile_group(
        self, group: ids.GroupId, slot_count: int, rank: int
    ) -> None:
        changes = self._plan(group, slot_count)
        by_chunk: dict[slot_map.ChunkName, slot_map.SlotChanges] = {}
        for slot, entry in changes.items():
            name = slot_map.chunk_of(group, slot)
            by_chunk.setdefault(name, {})[slot] = entry
        for name in list(self._due):
            if name.group == group and name not in by_chunk:
                del self._due[name]
        for name, chunk_changes in by_chunk.items():
            if self._is_due(name, rank):
                await self._write(name, chunk_changes, slot_count)

    def _is_due(self, name: slot_map.ChunkName, rank: int) -> bool:
        """Returns whether it is the turn of `rank` to write a chunk.

        That is, the delays of all earlier ranks have passed without a new
        version of the chunk, and no wait after a store failure is running.
        """
        now_ms = self._clock.now_ms()
        version = self._map.version_by_chunk.get(name, ids.NO_VERSION)
        due = self._due.get(name)
        if due is None or due.version != version:
            due = _Due(version, now_ms)
            self._due[name] = due
        if now_ms < self._retry_at_ms:
            return False
        return now_ms >= due.since_ms + rank * _RANK_DELAY_MS

    async def _write(
        self,
        name: slot_map.ChunkName,
        changes: slot_map.SlotChanges,
        slot_count: int,
    ) -> None:
        remaining = slot_count - name.index * slot_map.CHUNK_SLOTS
        size = min(remaining, slot_map.CHUNK_SLOTS)
        if not await self._writer.write(name, changes, size):
            self._retry_at_ms = self._clock.now_ms() + _STORE_RETRY_MS

    def _plan(
        self, group: ids.GroupId, slot_count: int
    ) -> slot_map.SlotChanges:
        """Returns the entries of a group to change, by slot."""
        known = self._map.by_group.get(group, [])
        entries = list(known[:slot_count])
        missing = slot_count - len(entries)
        entries.extend(slot_map.SlotEntry() for _ in range(missing))
        changes = self._end_broken_moves(group, entries)
        for slot, entry in changes.items():
            entries[slot] = entry
        receivers = list(self._receivers(group))
        if self._awaits_more_members(entries, receivers):
            self.request_pass()
            return {}
        load = self._load(group)
        ownerless = self._ownerless(group, entries)
        chosen = assignment.assign(group, entries, ownerless, receivers, load)
        for slot, member in chosen.items():
            entries[slot] = changes[slot] = self._with_owner(
                entries[slot], member
            )
        members_to_empty = self._members_to_empty(receivers)
        moves = assignment.plan_moves(
            group, entries, receivers, members_to_empty, load
        )
        for slot, member in moves.items():
            if slot in ownerless:
                continue
            entry = dataclasses.replace(entries[slot], moving_to=member)
            entries[slot] = changes[slot] = entry
        return changes

    def _awaits_more_members(
        self,
        entries: Iterable[slot_map.SlotEntry],
        receivers: Iterable[assignment.Receiver],
    ) -> bool:
        """Returns whether the first assignment of a group should wait."""
        if any(entry.epoch for entry in entries):
            return False
        now_ms = self._clock.now_ms()
        active_ms = [
            now_ms - self._active_since_ms.get(receiver.member, now_ms)
            for receiver in receivers
        ]
        if not active_ms or max(active_ms) >= _FIRST_ASSIGNMENT_LIMIT_MS:
            return False
        return min(active_ms) < _FIRST_ASSIGNMENT_QUIET_MS

    def _receivers(self, group: ids.GroupId) -> Iterable[assignment.Receiver]:
        under_way = self._count_moves_under_way()
        now_ms = self._clock.now_ms()
        live = self._members.live()
        for record in assignment.eligible(live, group, self._is_stopped):
            since_ms = self._active_since_ms.get(record.member, now_ms)
            yield assignment.make_receiver(
                record,
                now_ms - since_ms,
                under_way.get(record.member, 0),
            )

    def _members_to_empty(
        self, receivers: Iterable[assignment.Receiver]
    ) -> set[ids.MemberId]:
        """Returns the live members that may own no slot of a group.

        An owner whose record is missing in the replica is not included.
        """
        live = {record.member for record in self._members.live()}
        return live.difference(receiver.member for receiver in receivers)

    def _count_moves_under_way(self) -> Mapping[ids.MemberId, int]:
        """Returns the number of planned moves under way by receiver.

        It is counted once per pass.
        """
        if self._moves_by_receiver is None:
            receivers = (
                entry.moving_to
                for entries in self._map.by_group.values()
                for entry in entries
                if entry.moving_to is not None
            )
            self._moves_by_receiver = collections.Counter(receivers)
        return self._moves_by_receiver

    def _end_broken_moves(
        self, group: ids.GroupId, entries: Sequence[slot_map.SlotEntry]
    ) -> slot_map.SlotChanges:
        """Returns new entries for moves that lost one of their two members.

        The remaining member becomes the owner.
        """
        changes: slot_map.SlotChanges = {}
        for index, entry in enumerate(entries):
            slot = ids.SlotIndex(index)
            if entry.owner is None or entry.moving_to is None:
                continue
            is_owner_lost = self._is_lost(group, slot, entry.owner)
            is_receiver_lost = self._is_lost(group, slot, entry.moving_to)
            if is_owner_lost and not is_receiver_lost:
                changes[slot] = self._with_owner(entry, entry.moving_to)
            elif is_receiver_lost and not is_owner_lost:
                changes[slot] = self._with_owner(entry, entry.owner)
        return changes

    def _ownerless(
        self, group: ids.GroupId, entries: Sequence[slot_map.SlotEntry]
    ) -> set[ids.SlotIndex]:
        found = set()
        for index, entry in enumerate(entries):
            slot = ids.SlotIndex(index)
            if entry.owner is None or self._is_lost(group, slot, entry.owner):
                found.add(slot)
        return found

    def _is_lost(
        self, group: ids.GroupId, slot: ids.SlotIndex, member: ids.MemberId
    ) -> bool:
        record = self._members.by_id.get(member)
        if record is not None:
            return record.state is records.MemberState.FENCED
        # A member's record is written before any chunk names the member, but
        # the replica can receive the chunk first. A missing record was deleted
        # only if the replica has all changes up to the version of the chunk.
        name = slot_map.chunk_of(group, slot)
        version = self._map.version_by_chunk.get(name, ids.NO_VERSION)
        return self._replica.version >= version

    def _with_owner(
        self, entry: slot_map.SlotEntry, member: ids.MemberId
    ) -> slot_map.SlotEntry:
        """Returns the entry with owner `member`, a new epoch and no move.

        `member` is a new owner, or the present one after its move was ended.
        """
        if entry.owner is None:
            return slot_map.SlotEntry(member, ids.Epoch(entry.epoch + 1))
        # The receiver of a move may already have served at the next epoch.
        epoch_step = 2 if entry.moving_to is not None else 1
        cut_off_ms = self._clock.wall_ms() + _CUT_OFF_LEAD_MS
        return slot_map.SlotEntry(
            owner=member,
            epoch=ids.Epoch(entry.epoch + epoch_step),
            unknown_before_wall_ms=max(
                cut_off_ms, entry.unknown_before_wall_ms
            ),
        )
