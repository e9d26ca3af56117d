"""Exchange of replicas of stored objects between daemons."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import shared_state

__all__ = ["StateExchange"]

_MS_PER_S = 1_000
# Shortest time between two fetches of a kind: several daemons that know a
# change at once would all send the same objects.
_FETCH_INTERVAL_MS = 150
_FETCH_TIMEOUT_MS = 1_000
# Call number of a frame that is sent without a call.
_NO_CALL = 0


class StateExchange:
    """Pushes changes to the daemons of the region and fetches missed ones.

    Args:
      state: This daemon's replicas.
      fleet: The daemons.
      links: Links to the other daemons.
      clock: Source of time.
      start: Runs a coroutine as a task.
    """

    def __init__(
        self,
        state: shared_state.SharedState,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        clock: clock_lib.Clock,
        start: Callable[[Coroutine[Any, Any, None]], None],
    ):
        self._state = state
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._start = start
        self._fetch_started_ms: dict[stored.Kind, int] = {}

    def push(self, kind: stored.Kind) -> None:
        """Sends the replica of a kind to the other daemons of the region."""
        for vm in self._fleet.same_region():
            self._send(vm, kind)

    def publish(self, kind: stored.Kind) -> None:
        """Sends the replica of a kind to the region and one VM of each other.

        That VM passes it on in its region.
        """
        self.push(kind)
        for vm in self._fleet.relays():
            self._send(vm, kind)

    def _send(self, vm: ids.VmId, kind: stored.Kind) -> None:
        """Sends the replica of a kind to another daemon.

        It has no reply. On a silent link it is lost, and the daemon fetches it
        once the link is up again, which the ping brings about.
        """
        self._links.notify(vm, self._snapshot(_NO_CALL, kind))
        self._links.ping(vm)

    def fetch_newer(self, vm: ids.VmId, versions: tuple[int, ...]) -> None:
        """Fetches the kinds of which another daemon has newer replicas.

        Args:
          vm: VM of that daemon.
          versions: Version of its replica of each kind.
        """
        for kind in self._state.outdated_kinds(versions):
            self.fetch(vm, kind)

    def fetch(self, vm: ids.VmId, kind: stored.Kind) -> None:
        """Fetches the replica of a kind, unless a fetch has just begun."""
        now_ms = self._clock.now_ms()
        started_ms = self._fetch_started_ms.get(kind, -_FETCH_INTERVAL_MS)
        if now_ms - started_ms >= _FETCH_INTERVAL_MS:
            self._fetch_started_ms[kind] = now_ms
            self._start(self._fetch(vm, kind))

    def on_fetch(self, fetch: frames.Fetch) -> frames.Fetched:
        """Returns this daemon's replica of the kind that a peer asks for."""
        return self._snapshot(fetch.number, stored.Kind(fetch.kind))

    def on_pushed(self, vm: ids.VmId, fetched: frames.Fetched) -> None:
        """Adopts a replica that another daemon sent without being asked.

        One from another region is passed on in this region.
        """
        peer = self._fleet.by_vm.get(vm)
        is_other_region = (
            peer is not None
            and peer.record.region != self._fleet.own_record.region
        )
        if self._adopt(fetched) and is_other_region:
            self.push(stored.Kind(fetched.kind))

    def _adopt(self, fetched: frames.Fetched) -> bool:
        """Adopts a replica unless it is older; returns whether it changed."""
        stored_objects = tuple(
            objects.Versioned(item.key, ids.Version(item.version), item.value)
            for item in fetched.items
        )
        listing = objects.Listing(stored_objects, ids.Version(fetched.version))
        return self._state.apply_listing(stored.Kind(fetched.kind), listing)

    async def _fetch(self, vm: ids.VmId, kind: stored.Kind) -> None:
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_MS / _MS_PER_S):
                reply = await self._links.call(
                    vm, lambda number: frames.Fetch(number, kind.value)
                )
        except (TimeoutError, links_lib.PeerLost, links_lib.PeerUnreachable):
            # The next status of any daemon with a newer replica starts another
            # fetch.
            return
        if isinstance(reply, frames.Fetched):
            self._adopt(reply)

    def _snapshot(self, number: int, kind: stored.Kind) -> frames.Fetched:
        replica = self._state.by_kind[kind]
        items = tuple(
            frames.StoredItem(each.key, each.version, each.value)
            for each in replica.by_key.values()
        )
        return frames.Fetched(number, kind.value, replica.version, items)
