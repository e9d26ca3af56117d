"""Until when a daemon may grant keys by the key map that it knows.

A daemon grants keys only if it confirmed a short time ago that its map is the
newest one: by a read of the store or, while the store is unavailable, by the
reports of a majority of daemons. If the earlier owner doesn't confirm that it
released the keys, the new owner waits until so many daemons know the new map
that the earlier owner can't find a majority without it, and then until the
authority of the earlier owner has expired.
"""

from collections.abc import Iterator
import dataclasses

from mustardloom import ids
from mustardloom.keys import voters as voters_lib

__all__ = ["Authority", "MapReport"]


@dataclasses.dataclass(frozen=True, slots=True)
class MapReport:
    """Report of another daemon about the key map that it knows.

    Attributes:
      asked_ms: Local time at which it was asked.
      version: Version of the newest map that it knew.
      is_voter: Whether its process has read the map from the store since its
        start, so that it knows at least the maps it knew before a restart.
      era: Latest era of the store in which it knows of a map; it adopts no
        maps of earlier eras any more.
    """

    asked_ms: int
    version: int
    is_voter: bool
    era: int = 0


class Authority:
    """Collects confirmations of one key map by the store and other daemons.

    Args:
      vm: The VM of this daemon.

    Attributes:
      is_voter: Whether this process has read the map from the store.

    Example:
      >>> authority = Authority(ids.VmId("a"))
      >>> authority.record_store_read(100)
      >>> authority.confirmed_ms(version=1, voters=voters_lib.of("abc"))
      100
    """

    def __init__(self, vm: ids.VmId) -> None:
        self.is_voter = False
        self._vm = vm
        self._store_ms: int | None = None
        self._report_by_vm: dict[ids.VmId, MapReport] = {}

    def record_store_read(self, asked_ms: int) -> None:
        """Records that the store, read at `asked_ms`, held no newer map."""
        self.is_voter = True
        if self._store_ms is None or asked_ms > self._store_ms:
            self._store_ms = asked_ms

    def record_report(self, vm: ids.VmId, report: MapReport) -> None:
        """Records the latest report of another daemon."""
        self._report_by_vm[vm] = report

    def retain(self, vms: set[ids.VmId]) -> None:
        """Forgets the reports of all daemons but those on `vms`."""
        for vm in set(self._report_by_vm) - vms:
            del self._report_by_vm[vm]

    def confirmed_ms(
        self, version: int, voters: voters_lib.Voters
    ) -> int | None:
        """Returns when `version` was last confirmed as the newest, in local ms.

        Args:
          version: Version of the map that this daemon knows.
          voters: Voters of that map.

        Returns:
          The local time in ms; None if neither the store nor a majority has
          confirmed it.
        """
        times = [self._store_ms, self._confirmed_by_majority(version, voters)]
        known = [time for time in times if time is not None]
        return max(known) if known else None

    def informed(self, version: int) -> set[ids.VmId]:
        """Returns the daemons that know a map or a newer one, this included."""
        others = (
            vm
            for vm, report in self._report_by_vm.items()
            if report.version >= version
        )
        return {self._vm, *others}

    def newest_reported(self) -> int:
        """Returns the highest version of a map that any daemon reported."""
        versions = [each.version for each in self._report_by_vm.values()]
        return max(versions, default=0)

    def owners_without_newer_map(
        self, version: int, voters: voters_lib.Voters, era: int
    ) -> set[ids.VmId] | None:
        """Returns the daemons that know a map and no newer one.

        Args:
          version: Version of the map.
          voters: Voters of the map.
          era: Era of the store; reports from before it don't count.

        Returns:
          Their VMs; None if a newer map is known, or if so few daemons have
          reported that one of the others may have had a newer map confirmed.
        """
        if self.newest_reported() > version:
            return None
        report_by_vm = {
            vm: report
            for vm, report in self._report_by_vm.items()
            if report.is_voter and report.era >= era
        }
        if not voters.has_majority({*report_by_vm, *self._own_vote()}):
            return None
        return {
            vm
            for vm, report in report_by_vm.items()
            if report.version == version
        }

    def _own_vote(self) -> Iterator[ids.VmId]:
        if self.is_voter:
            yield self._vm

    def _confirmed_by_majority(
        self, version: int, voters: voters_lib.Voters
    ) -> int | None:
        """Returns the time as of which a majority of each set confirms it."""
        asked_ms_by_vm = {
            vm: report.asked_ms
            for vm, report in self._report_by_vm.items()
            if report.is_voter
        }
        if any(
            report.version > version
            for report in self._report_by_vm.values()
            if report.is_voter
        ):
            return None
        times: list[int] = []
        for voting in voters.sets():
            others = sorted(
                (
                    asked_ms
                    for vm, asked_ms in asked_ms_by_vm.items()
                    if vm in voting
                ),
                reverse=True,
            )
            own_votes = len(voting.intersection(self._own_vote()))
            needed = voters_lib.majority_of(voting) - own_votes
            if len(others) < needed:
                return None
            if needed > 0:
                times.append(others[needed - 1])
        return min(times, default=None)
