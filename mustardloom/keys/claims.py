"""Which rows a daemon may grant: those that nobody else can hold."""

import array
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import TypeVar

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import key_map
from mustardloom.keys import ledger

__all__ = ["AUTHORITY_MS", "Claims", "PendingRange"]

# A daemon grants only while it knew the newest map this long ago or less, so
# that whoever takes keys over knows when the earlier grants have run out.
AUTHORITY_MS = 4_000
# Slow clocks of targets, 2 %, and what the timers of this process add.
_MARGIN_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRange:
    """Keys that an earlier owner may hold still.

    Attributes:
      previous: VM of that owner.
      previous_fence: Fencing token under which that VM had the keys.
      version: Map by which the keys came here.
      grants_expire_ms: When its grants have run out in any case; None until
      enough
        daemons know the map.
    """

    first: int
    last: int
    previous: ids.VmId
    previous_fence: int
    version: int
    grants_expire_ms: int | None = None


_Span = TypeVar("_Span", PendingRange, key_map.Row)


class Claims:
    """Rows of one VM, as its daemon learns of them from map to map.

    Keys come from an earlier owner either by its word that its target holds
    them no longer, or once all grants that it may have made have run out.
    """

    def __init__(self, vm: ids.VmId):
        self.map = key_map.empty()
        self._vm = vm
        self._waits: list[PendingRange] = []
        self._handovers: list[ledger.ReleasedRange] = []
        # Fence under which each key was last ours with nobody else in between.
        self._free_fence = array.array("I", bytes(4 * key_map.KEY_COUNT))

    @property
    def pending_ranges(self) -> tuple[PendingRange, ...]:
        """Returns the keys that are not ours to grant yet."""
        return tuple(self._waits)

    def adopt(self, new: key_map.KeyMap) -> None:
        """Takes over a newer map."""
        old = self.map
        if new.version <= old.version:
            return
        self.map = new
        for row in new.owned_by(self._vm):
            if not row.previous or row.previous == self._vm:
                continue
            # A row that was ours under the same fence is known already.
            before = old.row_of(row.first)
            if before.owner == self._vm and before.fence >= row.fence:
                continue
            self._waits.append(
                PendingRange(
                    row.first,
                    row.last,
                    row.previous,
                    row.previous_fence,
                    new.version,
                )
            )
        # Waits for keys that moved on stay: once they are over, the next owner
        # may be told that the keys are free.
        self._note_free()

    def expire(self, now_ms: int) -> None:
        """Ends the waits whose earlier grants have run out."""
        lasting = [
            wait
            for wait in self._waits
            if wait.grants_expire_ms is None or now_ms < wait.grants_expire_ms
        ]
        if len(lasting) < len(self._waits):
            self._waits = lasting
            self._note_free()

    def start_countdowns(
        self, is_blocking: Callable[[int], bool], now_ms: int
    ) -> None:
        """Starts the countdown of waits whose map is known widely enough."""
        over_ms = now_ms + AUTHORITY_MS + _MARGIN_MS
        self._waits = [
            dataclasses.replace(wait, grants_expire_ms=over_ms)
            if wait.grants_expire_ms is None and is_blocking(wait.version)
            else wait
            for wait in self._waits
        ]

    def record_release(self, parts: Iterable[ledger.ReleasedRange]) -> None:
        """Takes the earlier owner's word that its target let keys go."""
        had_waits = bool(self._waits)
        for part in parts:
            self._waits = [
                rest
                for wait in self._waits
                for rest in _without(wait, part.first, part.last)
            ]
            if part.handover:
                self._handovers.append(part)
        if had_waits:
            self._note_free()

    def record_held(self, held: Iterable[targets.HeldRange]) -> None:
        """Ends the waits for keys that the target holds under our fence."""
        held = tuple(held)
        self._handovers = [
            part
            for part in self._handovers
            if not any(
                each.first <= part.first and part.last <= each.last
                for each in held
            )
        ]
        for each in held:
            row = self.map.row_of(each.first)
            if row.owner != self._vm or each.fence < row.fence:
                continue
            last = min(each.last, row.last)
            self.record_release([ledger.ReleasedRange(each.first, last)])

    def grantable(self) -> Iterator[key_map.Row]:
        """Yields the rows that nobody else can hold, in order."""
        for row in self.map.owned_by(self._vm):
            yield from self._free_parts(row)

    def handovers(self, row: key_map.Row) -> Iterator[targets.GrantedRange]:
        """Yields a row as it is granted, cut where handovers differ."""
        start = row.first
        tokens = sorted(
            (part for part in self._handovers if part.first in row),
            key=lambda part: part.first,
        )
        for part in tokens:
            if part.first < start or part.last > row.last:
                continue
            if part.first > start:
                yield targets.GrantedRange(start, part.first - 1, row.fence)
            yield targets.GrantedRange(
                part.first, part.last, row.fence, part.handover
            )
            start = part.last + 1
        if start <= row.last:
            yield targets.GrantedRange(start, row.last, row.fence)

    def drop_handovers(self) -> None:
        """Forgets the tokens once the target has taken the keys."""
        self._handovers.clear()

    def can_confirm_release(self, first: int, last: int, fence: int) -> bool:
        """Returns whether only the local target can have held these keys.

        That is so if they were ours to grant under the fence that the next
        owner names. A daemon that missed the map by which it had them, or has
        restarted since, does not know who held them before.
        """
        expected = array.array("I", [fence]) * (last + 1 - first)
        return self._free_fence[first : last + 1] == expected

    def _note_free(self) -> None:
        for row in self.grantable():
            fences = array.array("I", [row.fence]) * row.width
            self._free_fence[row.first : row.last + 1] = fences

    def _free_parts(self, row: key_map.Row) -> Iterator[key_map.Row]:
        parts = [row]
        for wait in self._waits:
            parts = [
                rest
                for part in parts
                for rest in _without(part, wait.first, wait.last)
            ]
        yield from parts


def _without(span: _Span, first: int, last: int) -> Iterator[_Span]:
    """Yields what is left of a span of keys without `first` to `last`."""
    if last < span.first or span.last < first:
        yield span
        return
    if span.first < first:
        yield dataclasses.replace(span, last=first - 1)
    if last < span.last:
        yield dataclasses.replace(span, first=last + 1)
