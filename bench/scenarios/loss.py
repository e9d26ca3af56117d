"""Measures how long keys are unserved after the loss of a VM or zone."""

import random
import statistics
import time

from bench import deployments
from bench import fleet as fleet_lib
from bench import intervals
from bench import measurement

__all__ = ["run"]

_VM_LOSSES = 20
_ZONE_LOSSES = 4
_SEED = 7
_SERVED_AGAIN_TIMEOUT_S = 20.0
_SETTLE_TIMEOUT_S = 60.0
# A member cannot be fenced in its first 5 s; see `membership.fencing`.
_MIN_MEMBER_AGE_S = 6.0
_NS_PER_MS = 1_000_000
_MS_PER_S = 1_000
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback without load. A VM "
    "(daemon and target together) is killed with SIGKILL and restarted after "
    "its slots are served again; then all three VMs of an availability zone "
    "at once. Unavailable time of a slot: from the kill until another daemon "
    "serves it, from the daemons' interval logs. The victims are drawn with a "
    "fixed seed."
)


def run() -> measurement.Measurement:
    """Kills VMs and zones; returns the unavailable times."""
    source = random.Random(_SEED)
    deployment = deployments.BY_NAME["kibanda"]
    vm_ms: list[int] = []
    zone_ms: list[int] = []
    with fleet_lib.Fleet(deployment) as fleet:
        fleet.start(_SETTLE_TIMEOUT_S)
        zones = sorted({node.placement.zone for node in fleet.nodes})
        for _ in range(_VM_LOSSES):
            vm_ms.extend(_kill_and_restart(fleet, [source.choice(fleet.nodes)]))
        for _ in range(_ZONE_LOSSES):
            zone = source.choice(zones)
            lost = [n for n in fleet.nodes if n.placement.zone == zone]
            zone_ms.extend(_kill_and_restart(fleet, lost))
    return measurement.Measurement(
        name="loss",
        definition=_DEFINITION,
        figures={
            "loss_vm_served_again_median_s": _median_s(vm_ms),
            "loss_vm_served_again_worst_s": max(vm_ms) / _MS_PER_S,
            "loss_az_served_again_median_s": _median_s(zone_ms),
            "loss_az_served_again_worst_s": max(zone_ms) / _MS_PER_S,
        },
        table=(
            ("loss", "events", "slots", "median s", "99th s", "worst s"),
            _row("VM", _VM_LOSSES, vm_ms),
            _row("availability zone", _ZONE_LOSSES, zone_ms),
        ),
    )


def _kill_and_restart(
    fleet: fleet_lib.Fleet, lost: list[fleet_lib.Node]
) -> list[int]:
    """Kills VMs and restarts them; returns the unavailable times in ms."""
    time.sleep(_MIN_MEMBER_AGE_S)
    slots = {slot for node in lost for slot in intervals.open_slots(node)}
    rest = [node for node in fleet.nodes if node not in lost]
    killed_wall_ms = time.time_ns() // _NS_PER_MS
    for node in lost:
        fleet.kill(node)
    served_ms = intervals.wait_served_again(
        fleet, rest, slots, killed_wall_ms, _SERVED_AGAIN_TIMEOUT_S
    )
    for node in lost:
        fleet.start_daemon(node)
        fleet.start_target(node)
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    return list(served_ms.values())


def _median_s(times_ms: list[int]) -> float:
    return statistics.median(times_ms) / _MS_PER_S


def _row(name: str, events: int, times_ms: list[int]) -> tuple[str, ...]:
    ordered = sorted(times_ms)
    percentile_99 = ordered[int(0.99 * (len(ordered) - 1))]
    values = (statistics.median(ordered), percentile_99, ordered[-1])
    texts = (f"{value / _MS_PER_S:.2f}" for value in values)
    return (name, str(events), str(len(ordered)), *texts)
