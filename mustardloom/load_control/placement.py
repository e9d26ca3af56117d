"""Selects the target for a request that any target of its service may run.

Load pattern: zones differ in load, targets differ in speed and share machines
with other work, and bytes between regions are expensive. A request goes to the
target with the lowest expected latency, where network latency and the price of
bytes count as time. Reported load is out of date, so this daemon's requests
since the report are added.
"""

from collections.abc import Iterable
import dataclasses
import enum

from mustardloom import ids
from mustardloom.load_control import rate_limit

__all__ = [
    "Distance",
    "TargetView",
    "choose",
    "cost_ms",
    "distance",
    "has_free_place",
]


class Distance(enum.Enum):
    """Network distance of a target from this daemon."""

    SAME_VM = "same-vm"
    SAME_ZONE = "same-zone"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"


# Round-trip time, with the price of the bytes counted as time.
_NETWORK_COST_MS = {
    Distance.SAME_VM: 0.0,
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 6.0,
    Distance.OTHER_REGION: 130.0,
}
# Each 10 % of failed requests adds the cost of one service time.
_FAILURE_WEIGHT = 10.0
# Assumed until a target reports its service time.
_DEFAULT_SERVICE_MS = 30.0


@dataclasses.dataclass(slots=True)
class TargetView:
    """Load of a target as one daemon knows it.

    Attributes:
      limit: Requests that it runs at once.
      running: Requests that it ran at its last report.
      waiting: Requests that it queued at its last report.
      service_ms: Mean service time of a request.
      failure_share: Share of its recent requests that failed or were refused.
      in_flight: Requests in flight from this daemon to the target.
      reported_in_flight: Those of them that the last report includes.
      rate_limit_per_s: Requests a second that it takes from all daemons; None
        for any number.
    """

    vm: ids.VmId
    distance: Distance
    limit: int = 1
    running: int = 0
    waiting: int = 0
    service_ms: float = _DEFAULT_SERVICE_MS
    failure_share: float = 0.0
    in_flight: int = 0
    reported_in_flight: int = 0
    rate_limit_per_s: float | None = None

    @property
    def places(self) -> float:
        """Returns how many requests it runs at once, by places and rate."""
        return rate_limit.effective_concurrency(
            self.limit, self.service_ms, self.rate_limit_per_s
        )


def distance(
    vm: ids.VmId,
    zone: ids.AvailabilityZoneId,
    region: ids.RegionId,
    local_vm: ids.VmId,
    local_zone: ids.AvailabilityZoneId,
    local_region: ids.RegionId,
) -> Distance:
    """Returns the distance of a VM from the local VM."""
    if vm == local_vm:
        return Distance.SAME_VM
    if zone == local_zone:
        return Distance.SAME_ZONE
    if region == local_region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION


def cost_ms(view: TargetView) -> float:
    """Returns the expected latency in ms, including the network cost."""
    unreported = max(0, view.in_flight - view.reported_in_flight)
    load = view.running + view.waiting + unreported
    places = view.places
    queued = max(0.0, load + 1 - places)
    wait_ms = queued * view.service_ms / places
    # Service times grow as a target fills up, before a queue forms.
    contention_ms = view.service_ms * 0.2 * min(1.0, load / places)
    failure_factor = 1.0 + _FAILURE_WEIGHT * view.failure_share
    network_ms = _NETWORK_COST_MS[view.distance]
    return (
        network_ms
        + wait_ms
        + (view.service_ms + contention_ms) * failure_factor
    )


def has_free_place(view: TargetView) -> bool:
    """Returns whether a request would start at once, as far as is known."""
    unreported = max(0, view.in_flight - view.reported_in_flight)
    return view.running + view.waiting + unreported < view.places


def choose(views: Iterable[TargetView]) -> TargetView | None:
    """Returns the target with the lowest cost, None if there is none.

    Example:
      >>> near = TargetView(ids.VmId("a"), Distance.SAME_ZONE)
      >>> far = TargetView(ids.VmId("b"), Distance.OTHER_REGION)
      >>> choose([far, near]).vm
      'a'
    """
    return min(views, key=cost_ms, default=None)
