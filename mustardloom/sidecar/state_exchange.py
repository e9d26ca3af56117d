"""Hands copies of stored objects from daemon to daemon."""

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
# Answers of several daemons that are ahead would be the same.
_FETCH_INTERVAL_MS = 150
_FETCH_CALL_MS = 1_000
_ONE_WAY = 0


class StateExchange:
    """Pushes changes within the region, fetches what others know already.

    Args:
      state: The copies.
      fleet: The daemons.
      links: Streams to them.
      clock: Source of time.
      start: Runs a call as a task.
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
        self._fetched_ms: dict[stored.Kind, int] = {}

    def push(self, kind: stored.Kind) -> None:
        """Tells the daemons of the region what the store has told."""
        for vm in self._fleet.same_region():
            self._links.notify(vm, self._snapshot(_ONE_WAY, kind))

    def fetch_newer(self, vm: ids.VmId, changes: tuple[int, ...]) -> None:
        """Fetches the kinds of which another daemon knows later changes."""
        now_ms = self._clock.now_ms()
        for kind in self._state.outdated_kinds(changes):
            fetched_ms = self._fetched_ms.get(kind, -_FETCH_INTERVAL_MS)
            if now_ms - fetched_ms >= _FETCH_INTERVAL_MS:
                self._fetched_ms[kind] = now_ms
                self._start(self._fetch(vm, kind))

    def on_fetch(self, fetch: frames.Fetch) -> frames.Fetched:
        """Returns what this daemon knows of a kind."""
        return self._snapshot(fetch.number, stored.Kind(fetch.kind))

    def on_fetched(self, fetched: frames.Fetched) -> None:
        """Takes over what another daemon knows, unless it is older."""
        found = tuple(
            objects.Versioned(item.key, ids.Version(item.version), item.value)
            for item in fetched.items
        )
        listing = objects.Listing(found, ids.Version(fetched.version))
        self._state.apply_listing(stored.Kind(fetched.kind), listing)

    async def _fetch(self, vm: ids.VmId, kind: stored.Kind) -> None:
        try:
            async with asyncio.timeout(_FETCH_CALL_MS / _MS_PER_S):
                reply = await self._links.call(
                    vm, lambda number: frames.Fetch(number, kind.value)
                )
        except (TimeoutError, links_lib.PeerLost, links_lib.PeerUnreachable):
            # The next status of any daemon that is ahead starts another one.
            return
        if isinstance(reply, frames.Fetched):
            self.on_fetched(reply)

    def _snapshot(self, number: int, kind: stored.Kind) -> frames.Fetched:
        copy = self._state.by_kind[kind]
        items = tuple(
            frames.StoredItem(each.key, each.version, each.value)
            for each in copy.by_key.values()
        )
        return frames.Fetched(number, kind.value, copy.version, items)
