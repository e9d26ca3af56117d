"""Records which keys the local target was granted and may still hold."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from mustardloom.deployment import targets
from mustardloom.keys import key_map
from mustardloom.keys import ranges

__all__ = ["CLOCK_FACTOR", "GrantLedger", "ReleasedRange"]

# The clock by which a target measures how long it holds keys may run 2 % slow.
CLOCK_FACTOR = 1.02


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedRange:
    """Keys `first` to `last`, which the target certainly no longer holds.

    Attributes:
      handover: Token by which the next owner gets the target's cache; may be
        empty.
    """

    first: int
    last: int
    handover: str = ""


class GrantLedger:
    """Grants of one instance of the local target.

    Each heartbeat lists all keys that the target holds, and each answer lists
    all keys that it may hold. So the target holds at most the keys listed by
    its latest heartbeat and by the answers since then, until the grant has
    expired even by the slowest permitted clock.

    Example:
      >>> instance = targets.TargetInstance(targets.TargetId("t"), 1)
      >>> ledger = GrantLedger(instance)
      >>> ledger.grant([key_map.Row(0, 9, "vm", 1)], hold_ms=100, now_ms=0)
      >>> ledger.is_granted(5, now_ms=50), ledger.is_granted(5, now_ms=101)
      (True, False)
    """

    def __init__(self, instance: targets.TargetInstance):
        self.instance = instance
        self._held: tuple[targets.HeldRange, ...] = ()
        self._listed: tuple[key_map.Row, ...] = ()
        self._listed_ranges = ranges.KeyRanges()
        self._listed_until_ms = 0
        self._held_until_ms = 0
        # Until then the target may hold keys by grants of an earlier process.
        self._unknown_until_ms = 0
        self._freed: list[ReleasedRange] = []

    def observe(self, announcement: targets.Announcement, now_ms: int) -> None:
        """Records the keys that a heartbeat reports as held or freed."""
        self._held = announcement.held
        for freed in announcement.freed:
            released = ReleasedRange(freed.first, freed.last, freed.handover)
            if released not in self._freed:
                self._freed.append(released)
        if not self._held_until_ms:
            # Grants of an earlier process of the daemon are covered by
            # `assume_held_until`; otherwise no earlier grant is valid.
            self._held_until_ms = now_ms

    def assume_held_until(self, until_ms: int) -> None:
        """Assumes that the target may hold any key until `until_ms`.

        Covers grants of a daemon process that ran before this one. The target
        may have taken them after it sent the heartbeats that arrive first, as
        those may be delayed for seconds.
        """
        self._unknown_until_ms = until_ms

    def grant(
        self, rows: Iterable[key_map.Row], hold_ms: int, now_ms: int
    ) -> None:
        """Records the grant in the answer to a heartbeat.

        Args:
          rows: All rows that the answer lists; they replace earlier ones.
          hold_ms: For how long the target may hold them.
          now_ms: Local time.
        """
        listed = tuple(rows)
        if listed != self._listed:
            self._listed = listed
            self._listed_ranges = ranges.KeyRanges(
                (row.first, row.last) for row in listed
            )
        self._listed_until_ms = now_ms + hold_ms
        slowest_clock_ms = now_ms + round(hold_ms * CLOCK_FACTOR) + 1
        self._held_until_ms = max(self._held_until_ms, slowest_clock_ms)
        self._freed = [
            freed
            for freed in self._freed
            if not self._listed_ranges.overlap(freed.first, freed.last)
        ]

    def is_granted(self, key: int, now_ms: int) -> bool:
        """Returns whether the latest grant lists a key and has not expired."""
        return now_ms < self._listed_until_ms and key in self._listed_ranges

    def holds_none(self, first: int, last: int, now_ms: int) -> bool:
        """Returns whether the target certainly holds none of these keys."""
        if now_ms <= self._unknown_until_ms:
            return False
        if now_ms > self._held_until_ms:
            return True
        if self._listed_ranges.overlap(first, last):
            return False
        return not any(
            first <= each.last and each.first <= last for each in self._held
        )

    def lists(self, row: key_map.Row) -> bool:
        """Returns whether the latest grant lists keys of a row."""
        return self._listed_ranges.overlap(row.first, row.last)

    def holds(self, row: key_map.Row) -> bool:
        """Returns whether the target reported that it holds the whole row."""
        return any(
            held.first <= row.first
            and row.last <= held.last
            and held.fence >= row.fence
            for held in self._held
        )

    def handovers(self, first: int, last: int) -> Iterator[ReleasedRange]:
        """Yields a range, split so that each part has one handover token."""
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
