"""What the local target was granted, and what it may still hold."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from mustardloom.deployment import targets
from mustardloom.keys import key_map

__all__ = ["CLOCK_FACTOR", "GrantLedger", "ReleasedRange"]

# The clock by which a target measures its hold may run 2 % slow.
CLOCK_FACTOR = 1.02


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedRange:
    """Keys that the target surely no longer holds.

    Attributes:
      handover: Token that passes the target's cache on; may be empty.
    """

    first: int
    last: int
    handover: str = ""


class GrantLedger:
    """Grants of one run of the local target.

    Each heartbeat lists all that the target holds, and each answer lists all
    that it is to hold. So the target holds at most what its latest heartbeat
    listed and what the answers since then list, until the hold runs out by
    the slowest clock.

    Example:
      >>> life = targets.TargetInstance(targets.TargetId("t"), 1)
      >>> ledger = GrantLedger(life)
      >>> ledger.grant([key_map.Row(0, 9, "vm", 1)], hold_ms=100, now_ms=0)
      >>> ledger.is_granted(5, now_ms=50), ledger.is_granted(5, now_ms=101)
      (True, False)
    """

    def __init__(self, life: targets.TargetInstance):
        self.instance = life
        self._held: tuple[targets.HeldRange, ...] = ()
        self._listed: tuple[key_map.Row, ...] = ()
        self._listed_keys = bytearray(key_map.KEY_COUNT)
        self._listed_until_ms = 0
        self._held_until_ms = 0
        self._freed: list[ReleasedRange] = []

    def observe(self, announcement: targets.Announcement, now_ms: int) -> None:
        """Learns from a heartbeat what the target holds."""
        self._held = announcement.held
        for freed in announcement.freed:
            released = ReleasedRange(freed.first, freed.last, freed.handover)
            if released not in self._freed:
                self._freed.append(released)
        if not self._held_until_ms:
            # Holds of before this process started end within any hold.
            self._held_until_ms = now_ms

    def assume_held_until(self, until_ms: int) -> None:
        """Assumes that what the target reports to hold lasts until then."""
        self._held_until_ms = max(self._held_until_ms, until_ms)

    def grant(
        self, rows: Iterable[key_map.Row], hold_ms: int, now_ms: int
    ) -> None:
        """Records that the answer to a heartbeat lists exactly these rows."""
        self._listed = tuple(rows)
        self._listed_keys = bytearray(key_map.KEY_COUNT)
        for row in self._listed:
            self._listed_keys[row.first : row.last + 1] = b"\1" * row.width
        self._listed_until_ms = now_ms + hold_ms
        slowest_ms = now_ms + round(hold_ms * CLOCK_FACTOR) + 1
        self._held_until_ms = max(self._held_until_ms, slowest_ms)
        self._freed = [
            freed
            for freed in self._freed
            if not any(_overlap(freed, row) for row in self._listed)
        ]

    def is_granted(self, key: int, now_ms: int) -> bool:
        """Returns whether the target was told to hold a key."""
        return bool(self._listed_keys[key]) and now_ms < self._listed_until_ms

    def holds_none(self, first: int, last: int, now_ms: int) -> bool:
        """Returns whether the target holds none of these keys any more."""
        if now_ms > self._held_until_ms:
            return True
        span = ReleasedRange(first, last)
        in_held = any(_overlap(span, each) for each in self._held)
        return not in_held and not any(
            _overlap(span, each) for each in self._listed
        )

    def holds(self, row: key_map.Row) -> bool:
        """Returns whether the target reported to hold all of the row."""
        return any(
            held.first <= row.first
            and row.last <= held.last
            and held.fence >= row.fence
            for held in self._held
        )

    def handovers(self, first: int, last: int) -> Iterator[ReleasedRange]:
        """Yields the parts of a range, with the tokens the target gave."""
        start = first
        for freed in sorted(self._freed, key=lambda each: each.first):
            low, high = max(freed.first, start), min(freed.last, last)
            if low > high:
                continue
            if low > start:
                yield ReleasedRange(start, low - 1)
            yield ReleasedRange(low, high, freed.handover)
            start = high + 1
        if start <= last:
            yield ReleasedRange(start, last)


def _overlap(
    left: ReleasedRange | targets.HeldRange | key_map.Row,
    right: ReleasedRange | targets.HeldRange | key_map.Row,
) -> bool:
    return left.first <= right.last and right.first <= left.last
