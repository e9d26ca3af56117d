"""Which rows a daemon may grant: those that no other target can hold."""

import array
import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

import msgspec

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import key_map
from mustardloom.keys import ledger
from mustardloom.keys import ranges

__all__ = ["AUTHORITY_MS", "Claims", "PendingRange", "Release"]

# A daemon grants only for this long after it confirmed that its map is the
# newest, so that the next owner knows when the earlier grants have expired.
AUTHORITY_MS = 4_000
# Covers target clocks that run 2 % slow and late timers of this process.
_MARGIN_MS = 400


class PendingRange(msgspec.Struct, frozen=True):
    """Keys `first` to `last`, which an earlier owner may still hold.

    Attributes:
      previous: VM of the earlier owner.
      previous_fence: Fencing token under which it owned the keys.
      version: Version of the map by which the local VM became the owner.
      grants_expire_ms: Local time at which all grants of the earlier owner
        have expired; None until enough daemons know the map.
    """

    first: int
    last: int
    previous: ids.VmId
    previous_fence: int
    version: int
    grants_expire_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """What an earlier owner said of the keys that its target no longer holds.

    Attributes:
      previous: VM of the earlier owner.
      map_version: Version of a map that it knew and by which it owned none of
        the keys.
      parts: The keys.
    """

    previous: ids.VmId
    map_version: int
    parts: tuple[ledger.ReleasedRange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Handover:
    """A handover token for the next grant of some keys.

    Attributes:
      fence: Fencing token of that grant; the keys move on with a higher one.
    """

    part: ledger.ReleasedRange
    fence: int


class Claims:
    """Rows that one VM owns, and which of them its daemon may grant.

    Keys of an earlier owner may be granted as soon as its daemon confirms that
    its target has released them, or once all grants that it may have given
    have expired.

    Attributes:
      map: Newest key map that this daemon knows.
    """

    def __init__(self, vm: ids.VmId):
        self.map = key_map.empty()
        self._vm = vm
        self._pending_ranges: list[PendingRange] = []
        # First keys of the pending ranges, in order, and for each the one that
        # reaches farthest of those up to it.
        self._pending_firsts: list[int] = []
        self._farthest_pending: list[PendingRange] = []
        self._grantable: tuple[key_map.Row, ...] = ()
        # In the order of their first keys.
        self._handovers: list[_Handover] = []
        # Latest fence of each key under which this VM was free to grant it.
        self._free_fence = array.array("I", bytes(4 * key_map.KEY_COUNT))

    @property
    def pending_ranges(self) -> tuple[PendingRange, ...]:
        """Returns the ranges that may not be granted yet."""
        return tuple(self._pending_ranges)

    @property
    def has_handovers(self) -> bool:
        """Returns whether there are handover tokens for the next grant."""
        return bool(self._handovers)

    def pending_at(self, key: int) -> PendingRange | None:
        """Returns a pending range that has a key, None if there is none."""
        index = bisect.bisect_right(self._pending_firsts, key)
        if index == 0:
            return None
        found = self._farthest_pending[index - 1]
        return found if key <= found.last else None

    def _set_pending(self, pending_ranges: Iterable[PendingRange]) -> None:
        self._pending_ranges = list(pending_ranges)
        ordered = sorted(self._pending_ranges, key=_first_of_pending)
        self._pending_firsts = [each.first for each in ordered]
        self._farthest_pending = list(itertools.accumulate(ordered, _farther))

    def adopt(self, new: key_map.KeyMap) -> None:
        """Adopts a map if it is newer than the known one."""
        old = self.map
        if new.version <= old.version:
            return
        self.map = new
        if self._handovers:
            self._handovers = [
                kept
                for kept in self._handovers
                if new.row_of(kept.part.first).fence == kept.fence
            ]
        added: list[PendingRange] = []
        for row in new.owned_by(self._vm):
            if not row.previous or row.previous == self._vm:
                continue
            # If this VM owned the row under this fence before, the row is
            # pending already or free.
            before = old.row_of(row.first)
            if before.owner == self._vm and before.fence >= row.fence:
                continue
            added.append(
                PendingRange(
                    row.first,
                    row.last,
                    row.previous,
                    row.previous_fence,
                    new.version,
                )
            )
        if added:
            self._set_pending([*self._pending_ranges, *added])
        # Pending ranges that this VM no longer owns are kept: once they are
        # free, the next owner can be told so.
        self._record_free()

    def expire(self, now_ms: int) -> None:
        """Frees the pending ranges whose earlier grants have expired."""
        unexpired = [
            pending
            for pending in self._pending_ranges
            if pending.grants_expire_ms is None
            or now_ms < pending.grants_expire_ms
        ]
        if len(unexpired) < len(self._pending_ranges):
            self._set_pending(unexpired)
            self._record_free()

    def start_countdowns(
        self, excludes_stale_majority: Callable[[int], bool], now_ms: int
    ) -> None:
        """Starts the countdown of ranges whose map enough daemons know.

        Args:
          excludes_stale_majority: Returns whether no majority of daemons can
            lack a map version, so that no earlier owner can confirm an older
            map.
          now_ms: Local time.
        """
        grants_expire_ms = now_ms + AUTHORITY_MS + _MARGIN_MS
        confirmed_versions = {
            version
            for version in {
                pending.version
                for pending in self._pending_ranges
                if pending.grants_expire_ms is None
            }
            if excludes_stale_majority(version)
        }
        if not confirmed_versions:
            return
        self._set_pending(
            msgspec.structs.replace(pending, grants_expire_ms=grants_expire_ms)
            if pending.grants_expire_ms is None
            and pending.version in confirmed_versions
            else pending
            for pending in self._pending_ranges
        )

    def record_release(self, release: Release) -> None:
        """Frees the pending keys for which an earlier owner was waited for.

        Others that had the keys before or since are waited for still, as is
        this owner if it got them again by a later map than it knew.
        """
        self._free(
            ranges.KeyRanges(
                (part.first, part.last)
                for part in release.parts
                if part.first <= part.last
            ),
            lambda pending: (
                pending.previous == release.previous
                and pending.version <= release.map_version
            ),
        )
        self._add_handovers(self._handovers_of(release))

    def _handovers_of(self, release: Release) -> Iterator[_Handover]:
        """Yields the tokens of a release for rows that came from its sender."""
        for part in release.parts:
            row = self.map.row_of(part.first)
            if row.owner == self._vm and row.previous == release.previous:
                yield _Handover(part, row.fence)

    def keep_handovers(
        self, parts: Iterable[ledger.ReleasedRange], fence: int
    ) -> None:
        """Keeps handover tokens for the next grant under a fencing token."""
        self._add_handovers(_Handover(part, fence) for part in parts)

    def _add_handovers(self, handovers: Iterable[_Handover]) -> None:
        added = [each for each in handovers if each.part.handover]
        if added:
            # An owner that is asked twice may answer twice.
            unique = dict.fromkeys([*self._handovers, *added])
            self._handovers = sorted(unique, key=_first_of_handover)

    def record_held(self, held: Iterable[targets.HeldRange]) -> None:
        """Frees the pending keys that the target holds under a current fence.

        It got them from this daemon or from its earlier process. Handover
        tokens for keys that it holds are dropped.
        """
        if not self._handovers and not self._pending_ranges:
            return
        held = tuple(held)
        held_ranges = ranges.KeyRanges((each.first, each.last) for each in held)
        self._handovers = [
            kept
            for kept in self._handovers
            if not held_ranges.cover(kept.part.first, kept.part.last)
        ]
        if self._pending_ranges:
            current = ranges.KeyRanges(self._under_current_fence(held))
            self._free(current, lambda _: True)

    def _under_current_fence(
        self, held: Iterable[targets.HeldRange]
    ) -> Iterator[tuple[int, int]]:
        """Yields the keys of this VM that are held under a current fence."""
        own_rows = self.map.owned_by(self._vm)
        for each in held:
            if each.first > each.last:
                continue
            index = bisect.bisect_left(own_rows, each.first, key=_last_of_row)
            while index < len(own_rows) and own_rows[index].first <= each.last:
                row = own_rows[index]
                if each.fence >= row.fence:
                    yield max(each.first, row.first), min(each.last, row.last)
                index += 1

    def grantable(self) -> Iterator[key_map.Row]:
        """Yields this VM's rows that no other target can hold, in order."""
        yield from self._grantable

    def owns_some(self, first: int, last: int) -> bool:
        """Returns whether this VM owns one of these keys."""
        own_rows = self.map.owned_by(self._vm)
        index = bisect.bisect_left(own_rows, first, key=_last_of_row)
        return index < len(own_rows) and own_rows[index].first <= last

    def handovers(self, row: key_map.Row) -> Iterator[targets.GrantedRange]:
        """Yields the grants of a row, split where handover tokens differ."""
        start = row.first
        index = bisect.bisect_left(
            self._handovers, row.first, key=_first_of_handover
        )
        # Not by `islice`, which would pass over all those before.
        for position in range(index, len(self._handovers)):
            kept = self._handovers[position]
            part = kept.part
            if part.first > row.last:
                break
            if kept.fence != row.fence:
                continue
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
        """Forgets all handover tokens, for a new instance of the target."""
        self._handovers.clear()

    def can_confirm_release(self, first: int, last: int, fence: int) -> bool:
        """Returns whether no owner before this VM can still hold these keys.

        That is so if this daemon was free to grant all of them under `fence`,
        which the next owner names as the previous fence. A daemon that never
        had the map which made it the owner, or has restarted since, doesn't
        know who held them before.
        """
        expected = array.array("I", [fence]) * (last + 1 - first)
        return self._free_fence[first : last + 1] == expected

    def _free(
        self,
        freed: ranges.KeyRanges,
        applies: Callable[[PendingRange], bool],
    ) -> None:
        """Removes keys from pending ranges.

        Args:
          freed: The keys.
          applies: Returns whether a pending range is to be changed.
        """
        is_changed = False
        left: list[PendingRange] = []
        for pending in self._pending_ranges:
            if not freed.overlap(pending.first, pending.last) or not applies(
                pending
            ):
                left.append(pending)
                continue
            is_changed = True
            left.extend(
                msgspec.structs.replace(pending, first=first, last=last)
                for first, last in freed.gaps(pending.first, pending.last)
            )
        if is_changed:
            self._set_pending(left)
            self._record_free()

    def _record_free(self) -> None:
        """Records which keys this VM may grant after a change."""
        before = set(self._grantable)
        self._grantable = tuple(self._free_rows())
        for row in self._grantable:
            # Fences of rows that were free before are recorded already, and
            # no other row can have overwritten them since.
            if row not in before:
                fences = array.array("I", [row.fence]) * row.width
                self._free_fence[row.first : row.last + 1] = fences

    def _free_rows(self) -> Iterator[key_map.Row]:
        """Yields the parts of this VM's rows outside the pending ranges."""
        pending = ranges.KeyRanges(
            (each.first, each.last) for each in self._pending_ranges
        )
        for row in self.map.owned_by(self._vm):
            if not pending.overlap(row.first, row.last):
                yield row
                continue
            for first, last in pending.gaps(row.first, row.last):
                yield msgspec.structs.replace(row, first=first, last=last)


def _first_of_handover(kept: _Handover) -> int:
    return kept.part.first


def _first_of_pending(pending: PendingRange) -> int:
    return pending.first


def _farther(left: PendingRange, right: PendingRange) -> PendingRange:
    return right if right.last > left.last else left


def _last_of_row(row: key_map.Row) -> int:
    return row.last
