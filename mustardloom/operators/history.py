"""When and why slots last changed owner, as observed by this daemon."""

import dataclasses
import enum

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.ownership import slot_map

__all__ = ["Cause", "OwnerChange", "OwnerHistory", "cause_of_change"]

# For a fenced slot, `ownership.reconciler` sets `unknown_before_wall_ms` to its
# wall time plus this lead; its constant must have the same value.
_CUT_OFF_LEAD_MS = 750
_FIRST_EPOCH = 1


def cause_of_change(
    before: slot_map.SlotEntry, after: slot_map.SlotEntry
) -> "Cause":
    """Returns why a slot changed owner, given its entries before and after.

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
    """Why a slot has its present owner."""

    ASSIGNED = "assigned"
    MOVED = "moved"
    FENCED = "taken over after a fence"
    FENCED_OR_MOVED = "taken over after a fence, perhaps moved since"


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChange:
    """The last change of owner of a slot.

    Attributes:
      cause: Why the owner changed.
      since_wall_ms: Wall time of the change, None if it is not known.
    """

    cause: Cause
    since_wall_ms: int | None


class OwnerHistory:
    """Records the last change of owner of each slot.

    Slot entries do not contain the time of a change, so the time is unknown for
    changes before the start of this daemon.
    """

    def __init__(self, slots: slot_map.SlotMap, clock: clock_lib.Clock):
        self._slots = slots
        self._clock = clock
        self._entries: dict[slot_map.ChunkName, tuple[slot_map.SlotEntry, ...]]
        self._entries = {}
        self._last_changes: dict[
            tuple[ids.GroupId, ids.SlotIndex], OwnerChange
        ] = {}
        slots.subscribe(self._on_chunk)

    def last_change(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> OwnerChange | None:
        """Returns the last change of owner, None if the slot has no owner."""
        entry = self._slots.entry(group, slot)
        if entry is None or entry.owner is None:
            return None
        return self._last_changes.get((group, slot)) or _from_entry(entry)

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
                self._last_changes[name.group, slot] = self._change(old, new)

    def _change(
        self, old: slot_map.SlotEntry, new: slot_map.SlotEntry
    ) -> OwnerChange:
        cause = cause_of_change(old, new)
        if cause is Cause.FENCED:
            return OwnerChange(
                cause, new.unknown_before_wall_ms - _CUT_OFF_LEAD_MS
            )
        return OwnerChange(cause, self._clock.wall_ms())


def _from_entry(entry: slot_map.SlotEntry) -> OwnerChange:
    if entry.unknown_before_wall_ms:
        return OwnerChange(Cause.FENCED_OR_MOVED, None)
    if entry.epoch == _FIRST_EPOCH:
        return OwnerChange(Cause.ASSIGNED, None)
    return OwnerChange(Cause.MOVED, None)
