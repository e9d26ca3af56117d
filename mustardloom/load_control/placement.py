"""Which target gets a request that any target of its service may run.

Load pattern: zones differ in load, targets in speed and neighbours, and bytes
between regions are dear. A request goes where it is expected to finish first,
with the way and its price counted as time; what is known of a target grows old
and its own requests since then are added.
"""

from collections.abc import Iterable
import dataclasses
import enum

from mustardloom import ids

__all__ = ["Distance", "TargetView", "choose", "cost_ms", "distance"]


class Distance(enum.Enum):
    """How far a target is."""

    SAME_VM = "same-vm"
    SAME_ZONE = "same-zone"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"


# Time on the way and back, and the price of the bytes as time.
_WAY_MS_BY_DISTANCE = {
    Distance.SAME_VM: 0.0,
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 6.0,
    Distance.OTHER_REGION: 130.0,
}
# A target that fails part of its requests costs about one service time more
# for each tenth.
_FAILURE_WEIGHT = 10.0
_UNTRIED_SERVICE_MS = 30.0


@dataclasses.dataclass(slots=True)
class TargetView:
    """What one daemon knows of a target.

    Attributes:
      limit: Requests that it runs at once.
      running: Requests that it ran when it last told.
      waiting: Requests that waited then.
      service_ms: Mean time that a request takes there.
      failure_share: Share of its latest requests that failed or were shed.
      in_flight: Requests that this daemon has sent there and that are open.
      reported_in_flight: Of these, those that the report counts already.
    """

    vm: ids.VmId
    distance: Distance
    limit: int = 1
    running: int = 0
    waiting: int = 0
    service_ms: float = _UNTRIED_SERVICE_MS
    failure_share: float = 0.0
    in_flight: int = 0
    reported_in_flight: int = 0


def distance(
    vm: ids.VmId,
    zone: ids.AvailabilityZoneId,
    region: ids.RegionId,
    own_vm: ids.VmId,
    own_zone: ids.AvailabilityZoneId,
    own_region: ids.RegionId,
) -> Distance:
    """Returns how far a VM is."""
    if vm == own_vm:
        return Distance.SAME_VM
    if zone == own_zone:
        return Distance.SAME_ZONE
    if region == own_region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION


def cost_ms(view: TargetView) -> float:
    """Returns the expected time to an answer, with the way's price."""
    unreported = max(0, view.in_flight - view.reported_in_flight)
    load = view.running + view.waiting + unreported
    queued = max(0, load + 1 - view.limit)
    wait_ms = queued * view.service_ms / max(1, view.limit)
    # A target that is nearly full slows down before anything waits.
    crowding_ms = view.service_ms * 0.2 * min(1.0, load / max(1, view.limit))
    penalty = 1.0 + _FAILURE_WEIGHT * view.failure_share
    way_ms = _WAY_MS_BY_DISTANCE[view.distance]
    return way_ms + wait_ms + (view.service_ms + crowding_ms) * penalty


def choose(views: Iterable[TargetView]) -> TargetView | None:
    """Returns the target with the lowest cost, None if there is none.

    Example:
      >>> near = TargetView(ids.VmId("a"), Distance.SAME_ZONE)
      >>> far = TargetView(ids.VmId("b"), Distance.OTHER_REGION)
      >>> choose([far, near]).vm
      'a'
    """
    return min(views, key=cost_ms, default=None)
