"""Removes records of daemons that are gone for good.

Lists, links and shares grow with the records. No majority is counted by them
(see `keys.voters`), so a record that is removed too early only makes its daemon
register again.
"""

from collections.abc import Iterator
from collections.abc import Mapping

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import shared_state

__all__ = ["RecordRemoval"]

_CHECK_INTERVAL_MS = 60_000
# A daemon that cannot be reached for this long is gone. One that is only cut
# off still serves its shards of usage caps, which others take over from a
# daemon without a record, and regions may lose each other for an hour.
_GONE_MS = 2 * 60 * 60 * 1_000


class RecordRemoval:
    """Removes the records of daemons that are gone, if this daemon plans.

    Args:
      store: The store.
      state: Replicas of the stored objects.
      fleet: The daemons.
      links: Links to the other daemons.
      keyspace_by_service: The key spaces, also those that open later.
      clock: Source of time.
      log: Log of this daemon.
    """

    def __init__(
        self,
        store: shared_state.ObjectStore,
        state: shared_state.SharedState,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        keyspace_by_service: Mapping[ids.ServiceId, keyspace_lib.Keyspace],
        clock: clock_lib.Clock,
        log: events.EventLog,
    ):
        self._store = store
        self._state = state
        self._fleet = fleet
        self._links = links
        self._keyspace_by_service = keyspace_by_service
        self._clock = clock
        self._log = log
        # Latest version of each record that the store was asked to delete.
        self._deleted_version: dict[ids.VmId, ids.Version] = {}

    async def run(self) -> None:
        """Removes records, until cancelled."""
        while True:
            await self._clock.tick_ms(_CHECK_INTERVAL_MS)
            await self.remove()

    async def remove(self) -> None:
        """Removes the records of the daemons that are gone now."""
        gone = set(self._gone())
        self._fleet.forget_unlisted(gone)
        if self._fleet.planner() != self._fleet.own_record.vm:
            return
        for vm in sorted(gone):
            if self._is_named_by_a_map(vm):
                continue
            try:
                await self._delete(vm)
            except objects.PlatformUnavailable:
                # Tried again with the next check.
                return

    def _gone(self) -> Iterator[ids.VmId]:
        for vm in self._fleet.by_vm:
            if self._links.unreachable_ms(vm) >= _GONE_MS:
                yield vm

    def _is_named_by_a_map(self, vm: ids.VmId) -> bool:
        return any(
            not keyspace.is_established or keyspace.names(vm)
            for keyspace in self._keyspace_by_service.values()
        )

    async def _delete(self, vm: ids.VmId) -> None:
        key = stored.key(stored.Kind.DAEMON, vm)
        replica = self._state.by_kind[stored.Kind.DAEMON]
        version = replica.version_in_store(key)
        if version in (ids.NO_VERSION, self._deleted_version.get(vm)):
            return
        if await self._store.delete(key, version):
            self._deleted_version[vm] = version
            self._log.write(events.Event.DAEMON_REMOVED, peer=vm)
