"""Heartbeats of one target, for tests of what follows from them."""

from mustardloom import ids
from mustardloom.deployment import targets

__all__ = ["INSTANCE", "heartbeat"]

INSTANCE = targets.TargetInstance(targets.TargetId("t"), 1)


def heartbeat(sequence, held=(), freed=()):
    """Returns a heartbeat of a target that is ready."""
    return targets.Announcement(
        INSTANCE,
        ids.ServiceId("s"),
        ids.AvailabilityZoneId("z"),
        4,
        targets.Phase.READY,
        0,
        sequence,
        tuple(held),
        tuple(freed),
    )
