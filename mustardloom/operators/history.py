"""When and why slots changed their owner, as this daemon saw it."""

import dataclasses
import enum

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.ownership import slot_map

__all__ = ["Cause", "OwnerHistory", "Tenure", "cause_of_change"]

# `unknown_before_wall_ms` of an entry lies this much after the fence.
_CUT_OFF_LEAD_MS = 750
_FIRST_EPOCH = 1


def cause_of_change(
    before: slot_map.SlotEntry, after: slot_map.SlotEntry
) -> "Cause":
    """Returns why a slot has a new owner.

    Example:
      >>> one = slot_map.SlotEntry(ids.MemberId("vm-1~0"), ids.Epoch(1))
      >>> cause_of_change(slot_map.SlotEntry(), one)
      <Cause.ASSIGNED: 'assigned'>
    """
    if before.owner is None:
        return Cause.ASSIGNED
    if after.unknown_before_wall_ms > before.unknown_before_wall_ms:
        return Cause.FENCED
    return Cause.MOVED


class Cause(enum.Enum):
    """Why a member owns a slot."""

    ASSIGNED = "assigned"
    MOVED = "moved"
    FENCED = "taken over after a fence"
    FENCED_OR_MOVED = "taken over after a fence, perhaps moved since"


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Since when and why a member owns a slot.

    Attributes:
      cause: Why it is the owner.
      since_wall_ms: Start of its ownership, None if it is not known.
    """

    cause: Cause
    since_wall_ms: int | None


class OwnerHistory:
    """Remembers the last change of owner of each slot.

    An entry names no time for planned moves, so changes from before the start
    of this daemon have no time.
    """

    def __init__(self, slots: slot_map.SlotMap, clock: clock_lib.Clock):
        self._slots = slots
        self._clock = clock
        self._entries: dict[slot_map.ChunkName, tuple[slot_map.SlotEntry, ...]]
        self._entries = {}
        self._tenures: dict[tuple[ids.GroupId, ids.SlotIndex], Tenure] = {}
        slots.subscribe(self._on_chunk)

    def tenure(self, group: ids.GroupId, slot: ids.SlotIndex) -> Tenure | None:
        """Returns the tenure of the owner, None if there is no owner."""
        entry = self._slots.entry(group, slot)
        if entry is None or entry.owner is None:
            return None
        return self._tenures.get((group, slot)) or _from_entry(entry)

    def _on_chunk(self, name: slot_map.ChunkName) -> None:
        after = self._slots.chunk(name)
        before = self._entries.get(name)
        self._entries[name] = after
        if before is None:
            return
        start = name.index * slot_map.CHUNK_SLOTS
        for offset, (old, new) in enumerate(zip(before, after, strict=False)):
            if new.epoch != old.epoch:
                slot = ids.SlotIndex(start + offset)
                self._tenures[name.group, slot] = self._tenure(old, new)

    def _tenure(
        self, old: slot_map.SlotEntry, new: slot_map.SlotEntry
    ) -> Tenure:
        cause = cause_of_change(old, new)
        if cause is Cause.FENCED:
            return Tenure(cause, new.unknown_before_wall_ms - _CUT_OFF_LEAD_MS)
        return Tenure(cause, self._clock.wall_ms())


def _from_entry(entry: slot_map.SlotEntry) -> Tenure:
    if entry.unknown_before_wall_ms:
        return Tenure(Cause.FENCED_OR_MOVED, None)
    if entry.epoch == _FIRST_EPOCH:
        return Tenure(Cause.ASSIGNED, None)
    return Tenure(Cause.MOVED, None)
