"""Confirms that the known key map is the newest one in the store.

Load pattern: hundreds of daemons each need a confirmation every few seconds,
but each call of the store is billed and each answer crosses the network. One
daemon of each region reads only what has changed since its last read, and the
others ask it. Its confirmation counts from the time at which that read began.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.keys import key_map
from mustardloom.keys import restoration
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import shared_state

__all__ = ["MapConfirmer"]

_MS_PER_S = 1_000
# Queries that arrive within this time after a read began are answered by it.
_SHARED_READ_MS = 600
# If the store does not answer within this time, other daemons are asked.
_STORE_TIMEOUT_MS = 800
# The reader of the region usually knows a recent read, or reads at once.
_READER_TIMEOUT_MS = 300
_MAX_ASKED_PEERS = 3


class MapConfirmer:
    """Confirms the key map of one service.

    Args:
      service: The service.
      state: Replicas of the stored objects.
      fleet: The daemons.
      links: Links to the other daemons.
      clock: Source of time.
      known_version: Returns the version of the map's object that is in use;
        differs from that in `state` if the newest map cannot be decoded.
      apply: Adds a map that another daemon read from the store.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        state: shared_state.SharedState,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        clock: clock_lib.Clock,
        known_version: Callable[[], ids.Version],
        apply: Callable[[objects.Versioned], None],
    ):
        self._service = service
        self._key = stored.key(stored.Kind.KEY_MAP, service)
        self._state = state
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._known_version = known_version
        self._apply = apply

    async def confirm(self) -> int | None:
        """Returns the local time at which the known map was the newest one.

        Returns None if neither the store nor another daemon confirms that.
        """
        if self._awaits_restoration():
            # Its planner passes the new map on; asking the store in vain would
            # cost a call for each owner.
            return None
        reader = self._fleet.store_reader()
        is_reader = reader == self._fleet.own_record.vm
        confirmed_ms: int | None = None
        if not is_reader:
            confirmed_ms = await self._ask(reader, _READER_TIMEOUT_MS)
        if confirmed_ms is None:
            confirmed_ms = await self._read(_SHARED_READ_MS)
        if confirmed_ms is not None:
            return confirmed_ms
        for vm in list(self._peers_to_ask(reader)):
            confirmed_ms = await self._ask(vm, _STORE_TIMEOUT_MS)
            if confirmed_ms is not None:
                return confirmed_ms
        return None

    async def read(self) -> bool:
        """Reads the map from the store now; returns whether that succeeded."""
        return await self._read(max_age_ms=0) is not None

    async def on_query(self, query: frames.AuthorityQuery) -> frames.Frame:
        """Confirms the map for another daemon."""
        confirmed_ms = await self._refresh(_SHARED_READ_MS)
        found = self._stored_map()
        if confirmed_ms is None or found is None:
            return frames.AuthorityReply(query.number, 0, b"")
        is_known = found.version == query.known_version
        value = b"" if is_known else found.value
        age_ms = self._clock.now_ms() - confirmed_ms
        return frames.AuthorityReply(query.number, found.version, value, age_ms)

    def _peers_to_ask(self, reader: ids.VmId) -> Iterator[ids.VmId]:
        others = (vm for vm in self._links.reachable_vms() if vm != reader)
        for _, vm in zip(range(_MAX_ASKED_PEERS), others, strict=False):
            yield vm

    async def _ask(self, vm: ids.VmId, timeout_ms: int) -> int | None:
        asked_ms = self._clock.now_ms()
        known_version = self._known_version()
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                reply = await self._links.call(
                    vm,
                    lambda number: frames.AuthorityQuery(
                        number, self._service, known_version
                    ),
                )
        except (TimeoutError, links_lib.PeerLost, links_lib.PeerUnreachable):
            return None
        if not isinstance(reply, frames.AuthorityReply) or not reply.version:
            return None
        version = ids.Version(reply.version)
        if reply.value:
            self._apply(objects.Versioned(self._key, version, reply.value))
        # The age was measured after `asked_ms`, so the read began later than
        # the time that is returned.
        return asked_ms - reply.age_ms if self._knows(version) else None

    async def _read(self, max_age_ms: int) -> int | None:
        confirmed_ms = await self._refresh(max_age_ms)
        found = self._stored_map()
        if found is None or not self._knows(found.version):
            return None
        return confirmed_ms

    async def _refresh(self, max_age_ms: int) -> int | None:
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_MS / _MS_PER_S):
                return await self._state.refresh(
                    stored.Kind.KEY_MAP, max_age_ms
                )
        except TimeoutError:
            return None

    def _stored_map(self) -> objects.Versioned | None:
        """Returns the map in the store if it can confirm anything.

        One that was restored from a copy of an earlier era cannot.
        """
        found = self._known_map()
        return None if self._awaits_restoration() else found

    def _known_map(self) -> objects.Versioned | None:
        return self._state.by_kind[stored.Kind.KEY_MAP].by_key.get(self._key)

    def _awaits_restoration(self) -> bool:
        """Returns whether no map was written in the store's present era."""
        found = self._known_map()
        if found is None:
            return False
        try:
            map_era = key_map.era_of(found.value)
        except ValueError:
            return False
        store_era = self._state.by_kind[stored.Kind.KEY_MAP].era
        return not restoration.is_established(map_era, store_era)

    def _knows(self, version: ids.Version) -> bool:
        """Returns whether the map in use is at least that of `version`."""
        return self._known_version() >= version
