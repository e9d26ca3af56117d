"""Remembers for a daemon that restarts what its target had stated.

A daemon keeps nothing across a restart. A heartbeat that its target sent before
it deregistered may arrive at the new process, which would use the target again;
and until the first response the new process does not know a rate limit.
"""

from mustardloom import ids
from mustardloom.sidecar import departures
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib

__all__ = ["TargetMemory"]


class TargetMemory:
    """What targets had stated when their daemons dialled again."""

    def __init__(self, fleet: fleet_lib.Fleet, links: links_lib.Links):
        self._fleet = fleet
        self._links = links
        self._departure_by_vm: dict[ids.VmId, departures.Departure] = {}
        self._limited_by_vm: dict[ids.VmId, frames.TargetLimited] = {}
        # Start of the process that dialled last.
        self._started_ms_by_vm: dict[ids.VmId, int] = {}

    def on_hello(self, vm: ids.VmId, started_ms: int) -> None:
        """Notes what a daemon that dials may have forgotten, and tells it.

        A process that only dials again knows better itself when its target
        began to leave.

        Args:
          vm: VM of the daemon.
          started_ms: Start of its process, Unix time by its clock.
        """
        is_new = self._started_ms_by_vm.get(vm) != started_ms
        self._started_ms_by_vm[vm] = started_ms
        peer = self._fleet.by_vm.get(vm)
        if peer is not None and is_new:
            self._note_departure(peer)
            self._note_limit(peer)
        self.tell(vm)

    def _note_departure(self, peer: fleet_lib.Peer) -> None:
        departure = peer.departure
        if departure is not None:
            self._departure_by_vm[peer.vm] = departure
        elif peer.target_instance is not None:
            # A later instance, beside which the earlier one cannot run.
            self._departure_by_vm.pop(peer.vm, None)

    def _note_limit(self, peer: fleet_lib.Peer) -> None:
        instance = peer.target_instance
        if instance is None:
            return
        self._limited_by_vm.pop(peer.vm, None)
        rate_per_s = peer.view.rate_limit_per_s
        if rate_per_s is not None:
            self._limited_by_vm[peer.vm] = frames.TargetLimited(
                instance.target, instance.born_ms, rate_per_s
            )

    def tell(self, vm: ids.VmId) -> None:
        """Tells a daemon what its target had stated, if anything."""
        departure = self._departure_by_vm.get(vm)
        if departure is not None:
            frame = frames.TargetLeft(departure.target, departure.born_until_ms)
            self._links.notify(vm, frame)
        limited = self._limited_by_vm.get(vm)
        if limited is not None:
            self._links.notify(vm, limited)
