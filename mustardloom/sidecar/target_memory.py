"""Remembers for a daemon that restarts what its target had stated.

A daemon keeps nothing across a restart. A heartbeat that its target sent before
it deregistered may arrive at the new process, which would use the target again;
and until the first response the new process does not know a rate limit.
"""

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib

__all__ = ["TargetMemory"]


class TargetMemory:
    """What targets had stated when their daemons dialled again."""

    def __init__(self, fleet: fleet_lib.Fleet, links: links_lib.Links):
        self._fleet = fleet
        self._links = links
        self._left_by_vm: dict[ids.VmId, targets.TargetInstance] = {}
        self._limited_by_vm: dict[ids.VmId, frames.TargetLimited] = {}

    def on_hello(self, vm: ids.VmId) -> None:
        """Notes what a daemon that dials may have forgotten, and tells it."""
        peer = self._fleet.by_vm.get(vm)
        instance = None if peer is None else peer.target_instance
        if peer is not None and instance is not None:
            self._note(peer, instance)
        self.tell(vm)

    def _note(
        self, peer: fleet_lib.Peer, instance: targets.TargetInstance
    ) -> None:
        if peer.phase is fleet_lib.TargetPhase.LEAVING:
            self._left_by_vm[peer.vm] = instance
        self._limited_by_vm.pop(peer.vm, None)
        rate_per_s = peer.view.rate_limit_per_s
        if rate_per_s is not None:
            self._limited_by_vm[peer.vm] = frames.TargetLimited(
                instance.target, instance.born_ms, rate_per_s
            )

    def tell(self, vm: ids.VmId) -> None:
        """Tells a daemon what its target had stated, if anything."""
        instance = self._left_by_vm.get(vm)
        if instance is not None:
            frame = frames.TargetLeft(instance.target, instance.born_ms)
            self._links.notify(vm, frame)
        limited = self._limited_by_vm.get(vm)
        if limited is not None:
            self._links.notify(vm, limited)
