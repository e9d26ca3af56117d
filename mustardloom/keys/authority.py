"""Until when a daemon may grant keys by the map that it knows.

A daemon grants only while it was sure, not long ago, that no newer map
existed. It is sure by a read of the store, or, while the store is away, by the
word of most daemons. Whoever takes keys over without the earlier owner's word
waits until so many daemons know the new map that the earlier owner can no
longer find most of them ignorant, and then until its authority has run out.
"""

import dataclasses

from mustardloom import ids

__all__ = ["Authority", "MapReport"]


@dataclasses.dataclass(frozen=True, slots=True)
class MapReport:
    """What another daemon answered last.

    Attributes:
      asked_ms: When it was asked, by the local clock.
      version: Newest map that it knew.
      is_voter: Whether it has read the map from the store in this life, so
        that it knows all that it knew in an earlier one.
      daemons: Number of daemons that it knows.
    """

    asked_ms: int
    version: int
    is_voter: bool
    daemons: int


class Authority:
    """Collects what the store and other daemons say of one map.

    Example:
      >>> authority = Authority()
      >>> authority.record_store_read(100)
      >>> authority.confirmed_ms(version=1, daemons=3)
      100
    """

    def __init__(self) -> None:
        self.is_voter = False
        self._store_ms: int | None = None
        self._word_by_vm: dict[ids.VmId, MapReport] = {}

    def record_store_read(self, asked_ms: int) -> None:
        """Notes that the store, asked then, held no newer map."""
        self.is_voter = True
        if self._store_ms is None or asked_ms > self._store_ms:
            self._store_ms = asked_ms

    def record_report(self, vm: ids.VmId, word: MapReport) -> None:
        """Notes the answer of another daemon."""
        self._word_by_vm[vm] = word

    def retain(self, vms: set[ids.VmId]) -> None:
        """Forgets daemons that are no more."""
        for vm in set(self._word_by_vm) - vms:
            del self._word_by_vm[vm]

    def confirmed_ms(self, version: int, daemons: int) -> int | None:
        """Returns the last time at which `version` was surely the newest.

        Args:
          version: The map that this daemon knows.
          daemons: Number of daemons that it knows, itself included.
        """
        times = [self._store_ms, self._confirmed_by_most(version, daemons)]
        known = [time for time in times if time is not None]
        return max(known) if known else None

    def excludes_stale_majority(self, version: int, daemons: int) -> bool:
        """Returns whether no majority can be ignorant of `version`."""
        knowing = 1 + sum(
            1 for word in self._word_by_vm.values() if word.version >= version
        )
        total = self._known_daemons(daemons)
        return knowing >= total - total // 2

    def _confirmed_by_most(self, version: int, daemons: int) -> int | None:
        words = [word for word in self._word_by_vm.values() if word.is_voter]
        if any(word.version > version for word in words):
            return None
        times = sorted((word.asked_ms for word in words), reverse=True)
        needed = self._known_daemons(daemons) // 2 + 1 - int(self.is_voter)
        if needed <= 0 or len(times) < needed:
            return None
        return times[needed - 1]

    def _known_daemons(self, daemons: int) -> int:
        return max(
            [daemons, *(word.daemons for word in self._word_by_vm.values())]
        )
