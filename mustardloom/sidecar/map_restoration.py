"""Plans the first key map after the store came back from an older copy."""

from collections.abc import Callable
from collections.abc import Set

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.keys import key_map
from mustardloom.keys import restoration
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import links as links_lib

__all__ = ["MapRestoration"]

_PING_INTERVAL_MS = 400
# The daemons learn of the restore and report which map they know within this
# time. The keys of those that have not are served again only once all earlier
# grants have expired.
_REPORT_TIMEOUT_MS = 2_500


class MapRestoration:
    """Collects what the daemons know and plans the map of the new era.

    See `mustardloom.keys.restoration`.

    Args:
      keyspace: The keys of the service.
      fleet: The daemons.
      links: Links to the other daemons.
      clock: Source of time.
      tell_others: Sends what this daemon knows of the maps to all others, by
        which they learn of the restore.
    """

    def __init__(
        self,
        keyspace: keyspace_lib.Keyspace,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        clock: clock_lib.Clock,
        tell_others: Callable[[], None],
    ):
        self._tell_others = tell_others
        self._keyspace = keyspace
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._era = 0
        self._since_ms = 0
        self._pinged_ms = -_PING_INTERVAL_MS

    def plan(self) -> key_map.KeyMap | None:
        """Returns the first map of the store's era, None while it must wait."""
        now_ms = self._clock.now_ms()
        if self._keyspace.store_era != self._era:
            self._era = self._keyspace.store_era
            self._since_ms = now_ms
            self._tell_others()
        basis, was_in_use = self._keyspace.restoration_basis()
        if basis is None:
            return None
        unmoved = None
        if was_in_use:
            unmoved = self._keyspace.owners_without_newer_map(basis)
        is_waiting = now_ms - self._since_ms < _REPORT_TIMEOUT_MS
        if is_waiting and not self._is_complete(basis, unmoved):
            self._ask(now_ms)
            return None
        return restoration.reestablish(
            basis, self._era, unmoved or set(), self._keyspace.newest_reported()
        )

    def _is_complete(
        self, basis: key_map.KeyMap, unmoved: Set[ids.VmId] | None
    ) -> bool:
        """Returns whether all owners that can be reached have reported."""
        if unmoved is None:
            return False
        return not any(
            self._fleet.is_reachable(vm) for vm in basis.owners() - unmoved
        )

    def _ask(self, now_ms: int) -> None:
        if now_ms - self._pinged_ms >= _PING_INTERVAL_MS:
            self._pinged_ms = now_ms
            self._links.ping_all()
