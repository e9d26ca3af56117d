"""Remembers for a daemon that restarts that its target had left.

A daemon keeps nothing across a restart. A heartbeat that its target sent before
it deregistered may arrive at the new process, which would use the target again.
"""

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib

__all__ = ["LeftTargets"]


class LeftTargets:
    """Target instances that were leaving when their daemons dialled again."""

    def __init__(self, fleet: fleet_lib.Fleet, links: links_lib.Links):
        self._fleet = fleet
        self._links = links
        self._instance_by_vm: dict[ids.VmId, targets.TargetInstance] = {}

    def on_hello(self, vm: ids.VmId) -> None:
        """Notes what a daemon that dials may have forgotten, and tells it."""
        peer = self._fleet.by_vm.get(vm)
        if peer is None or peer.phase is not fleet_lib.TargetPhase.LEAVING:
            return
        instance = peer.target_instance
        if instance is not None:
            self._instance_by_vm[vm] = instance
        self.tell(vm)

    def tell(self, vm: ids.VmId) -> None:
        """Tells a daemon which instance of its target had left, if any."""
        instance = self._instance_by_vm.get(vm)
        if instance is not None:
            frame = frames.TargetLeft(instance.target, instance.born_ms)
            self._links.notify(vm, frame)
