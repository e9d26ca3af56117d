"""Records which keys the local target was granted and may still hold."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools

from mustardloom.deployment import targets
from mustardloom.keys import handover_tokens
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
        self._held_ranges = ranges.KeyRanges()
        self._listed: tuple[key_map.Row, ...] = ()
        self._listed_ranges = ranges.KeyRanges()
        self._listed_until_ms = 0
        self._held_until_ms = 0
        # Until then the target may hold keys by grants of an earlier process.
        self._unknown_until_ms = 0
        self._tokens = handover_tokens.HandoverTokens()

    def observe(self, announcement: targets.Announcement, now_ms: int) -> None:
        """Records the keys that a heartbeat reports as held or freed."""
        if announcement.held != self._held:
            self._held = announcement.held
            self._held_ranges = ranges.KeyRanges(
                (each.first, each.last) for each in announcement.held
            )
        self.record_freed(announcement.freed)
        if not self._held_until_ms:
            # Grants of an earlier process of the daemon are covered by
            # `assume_held_until`; otherwise no earlier grant is valid.
            self._held_until_ms = now_ms

    def record_freed(self, freed: Sequence[targets.FreedRange]) -> None:
        """Records keys that the target reports as released."""
        self._tokens.record(freed)

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
        # A released key that is granted again has no token any more.
        self._tokens.drop((row.first, row.last) for row in listed)

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
        return not self._held_ranges.overlap(first, last)

    def lists(self, row: key_map.Row) -> bool:
        """Returns whether the latest grant lists keys of a row."""
        return self._listed_ranges.overlap(row.first, row.last)

    def handovers(
        self, first: int, last: int, most_tokens: int
    ) -> Iterator[ReleasedRange]:
        """Yields a range, split so that each part has one handover token.

        Args:
          first: First key.
          last: Last key.
          most_tokens: Number of tokens after which the rest is one part.
        """
        start = first
        tokens = itertools.islice(
            self._tokens.parts(first, last), max(0, most_tokens)
        )
        for part in tokens:
            if part.first > start:
                yield ReleasedRange(start, part.first - 1)
            yield ReleasedRange(part.first, part.last, part.handover)
            start = part.last + 1
        if start <= last:
            yield ReleasedRange(start, last)
