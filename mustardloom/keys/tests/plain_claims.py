"""Plain forms of `claims.Claims` and `ledger.GrantLedger`, for comparisons.

They look at every key, row, pending range and held range on each call.
"""

import msgspec

from mustardloom.deployment import targets
from mustardloom.keys import claims
from mustardloom.keys import key_map

__all__ = ["PlainClaims", "PlainLedger"]

_MARGIN_MS = 400


class PlainClaims:
    """See `claims.Claims`."""

    def __init__(self, vm):
        self.map = key_map.empty()
        self.vm = vm
        self.pending_ranges = []
        self.handovers_kept = []
        self.free_fence = [0] * key_map.KEY_COUNT

    def adopt(self, new):
        old = self.map
        if new.version <= old.version:
            return
        self.map = new
        self.handovers_kept = [
            (part, fence)
            for part, fence in self.handovers_kept
            if new.row_of(part.first).fence == fence
        ]
        for row in new.owned_by(self.vm):
            if not row.previous or row.previous == self.vm:
                continue
            before = old.row_of(row.first)
            if before.owner == self.vm and before.fence >= row.fence:
                continue
            self.pending_ranges.append(
                claims.PendingRange(
                    row.first,
                    row.last,
                    row.previous,
                    row.previous_fence,
                    new.version,
                )
            )
        self._record_free()

    def expire(self, now_ms):
        self.pending_ranges = [
            pending
            for pending in self.pending_ranges
            if pending.grants_expire_ms is None
            or now_ms < pending.grants_expire_ms
        ]
        self._record_free()

    def start_countdowns(self, excludes_stale_majority, now_ms):
        expire_ms = now_ms + claims.AUTHORITY_MS + _MARGIN_MS
        self.pending_ranges = [
            msgspec.structs.replace(pending, grants_expire_ms=expire_ms)
            if pending.grants_expire_ms is None
            and excludes_stale_majority(pending.version)
            else pending
            for pending in self.pending_ranges
        ]

    def record_release(self, release):
        for part in release.parts:
            self._free(
                part.first,
                part.last,
                lambda pending: (
                    pending.previous == release.previous
                    and pending.version <= release.map_version
                ),
            )
            row = self.map.row_of(part.first)
            if row.owner == self.vm and row.previous == release.previous:
                self.keep_handovers([part], row.fence)

    def keep_handovers(self, parts, fence):
        self.handovers_kept.extend(
            (part, fence) for part in parts if part.handover
        )

    def record_held(self, held):
        self.handovers_kept = [
            (part, fence)
            for part, fence in self.handovers_kept
            if not any(
                each.first <= part.first and part.last <= each.last
                for each in held
            )
        ]
        for each in held:
            for row in self.map.owned_by(self.vm):
                first = max(each.first, row.first)
                last = min(each.last, row.last)
                if first <= last and each.fence >= row.fence:
                    self._free(first, last, lambda _: True)

    def grantable(self):
        for row in self.map.owned_by(self.vm):
            parts = [row]
            for pending in self.pending_ranges:
                parts = [
                    rest
                    for part in parts
                    for rest in _without(part, pending.first, pending.last)
                ]
            yield from parts

    def handovers(self, row):
        start = row.first
        tokens = sorted(
            (
                part
                for part, fence in self.handovers_kept
                if part.first in row and fence == row.fence
            ),
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

    def drop_handovers(self):
        self.handovers_kept.clear()

    def can_confirm_release(self, first, last, fence):
        return set(self.free_fence[first : last + 1]) <= {fence}

    def _free(self, first, last, is_meant):
        self.pending_ranges = [
            rest
            for pending in self.pending_ranges
            for rest in (
                _without(pending, first, last)
                if is_meant(pending)
                else (pending,)
            )
        ]
        self._record_free()

    def _record_free(self):
        for row in self.grantable():
            fences = [row.fence] * row.width
            self.free_fence[row.first : row.last + 1] = fences


class PlainLedger:
    """What `ledger.GrantLedger` says of listed and held keys."""

    def __init__(self):
        self.held: tuple[targets.HeldRange, ...] = ()
        self.listed: tuple[key_map.Row, ...] = ()
        self.until_ms = 0

    def grant(self, rows, hold_ms, now_ms):
        self.listed = tuple(rows)
        self.until_ms = now_ms + hold_ms

    def is_granted(self, key, now_ms):
        is_listed = any(row.first <= key <= row.last for row in self.listed)
        return is_listed and now_ms < self.until_ms

    def holds_none(self, first, last):
        """Returns the answer while the latest grant has not expired."""
        spans = [(each.first, each.last) for each in self.held]
        spans.extend((each.first, each.last) for each in self.listed)
        return not any(low <= last and first <= high for low, high in spans)


def _without(key_range, first, last):
    """Yields the parts of a range that lie outside `first` to `last`."""
    if last < key_range.first or key_range.last < first:
        yield key_range
        return
    if key_range.first < first:
        yield msgspec.structs.replace(key_range, last=first - 1)
    if last < key_range.last:
        yield msgspec.structs.replace(key_range, first=last + 1)
