"""Until when a daemon may grant keys by the key map that it knows.

A daemon grants keys only if it confirmed a short time ago that its map is the
newest one: by a read of the store or, while the store is unavailable, by the
reports of a majority of daemons. If the earlier owner doesn't confirm that it
released the keys, the new owner waits until so many daemons know the new map
that the earlier owner can't find a majority without it, and then until the
authority of the earlier owner has expired.
"""

import dataclasses

from mustardloom import ids

__all__ = ["Authority", "MapReport"]


@dataclasses.dataclass(frozen=True, slots=True)
class MapReport:
    """Report of another daemon about the key map that it knows.

    Attributes:
      asked_ms: Local time at which it was asked.
      version: Version of the newest map that it knew.
      is_voter: Whether its process has read the map from the store since its
        start, so that it knows at least the maps it knew before a restart.
      daemons: Number of daemons that it knows.
      era: Latest era of the store in which it knows of a map; it adopts no
        maps of earlier eras any more.
    """

    asked_ms: int
    version: int
    is_voter: bool
    daemons: int
    era: int = 0


class Authority:
    """Collects confirmations of one key map by the store and other daemons.

    Attributes:
      is_voter: Whether this process has read the map from the store.

    Example:
      >>> authority = Authority()
      >>> authority.record_store_read(100)
      >>> authority.confirmed_ms(version=1, daemons=3)
      100
    """

    def __init__(self) -> None:
        self.is_voter = False
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

    def confirmed_ms(self, version: int, daemons: int) -> int | None:
        """Returns when `version` was last confirmed as the newest, in local ms.

        Args:
          version: Version of the map that this daemon knows.
          daemons: Number of daemons that it knows, itself included.

        Returns:
          The local time in ms; None if neither the store nor a majority has
          confirmed it.
        """
        times = [self._store_ms, self._confirmed_by_majority(version, daemons)]
        known = [time for time in times if time is not None]
        return max(known) if known else None

    def excludes_stale_majority(self, version: int, daemons: int) -> bool:
        """Returns whether no majority of daemons can still lack `version`."""
        informed = 1 + sum(
            1
            for report in self._report_by_vm.values()
            if report.version >= version
        )
        total = self._daemon_count(daemons)
        return informed >= total - total // 2

    def newest_reported(self) -> int:
        """Returns the highest version of a map that any daemon reported."""
        versions = [each.version for each in self._report_by_vm.values()]
        return max(versions, default=0)

    def owners_without_newer_map(
        self, version: int, daemons: int, era: int
    ) -> set[ids.VmId] | None:
        """Returns the daemons that know a map and no newer one.

        Args:
          version: Version of the map.
          daemons: Number of daemons that this daemon knows, itself included.
          era: Era of the store; reports from before it don't count.

        Returns:
          Their VMs; None if a newer map is known, or if so few daemons have
          reported that one of the others may have had a newer map confirmed.
        """
        if self.newest_reported() > version:
            return None
        voters = {
            vm: report
            for vm, report in self._report_by_vm.items()
            if report.is_voter and report.era >= era
        }
        needed = self._daemon_count(daemons) // 2 + 1 - int(self.is_voter)
        if len(voters) < needed:
            return None
        return {
            vm for vm, report in voters.items() if report.version == version
        }

    def _confirmed_by_majority(self, version: int, daemons: int) -> int | None:
        reports = [
            report for report in self._report_by_vm.values() if report.is_voter
        ]
        if any(report.version > version for report in reports):
            return None
        times = sorted((report.asked_ms for report in reports), reverse=True)
        needed = self._daemon_count(daemons) // 2 + 1 - int(self.is_voter)
        if needed <= 0 or len(times) < needed:
            return None
        return times[needed - 1]

    def _daemon_count(self, daemons: int) -> int:
        return max(
            [
                daemons,
                *(report.daemons for report in self._report_by_vm.values()),
            ]
        )
