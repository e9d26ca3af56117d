"""Measures service and ownership while the store is down or slow."""

from collections.abc import Callable
import dataclasses
import time

from bench import deployments
from bench import fleet as fleet_lib
from bench import intervals
from bench import load_run as load_run_lib
from bench import measurement
from bench import orders

__all__ = ["run"]

_SETTLE_TIMEOUT_S = 60.0
_RATE_PER_S = 90.0
_POST_SHARE = 0.25
_SEED = 23
_OUTAGE_S = 60.0
_LOSS_OUTAGE_S = 15.0
_KILL_AFTER_S = 3.0
_SERVED_AGAIN_TIMEOUT_S = 20.0
_ZONE_S = 6.0
_SLOW_MS = 2_000
_LOST_ANSWERS = 20
_MARGIN_S = 1.0
# A member cannot be fenced in its first 5 s; see `membership.fencing`.
_MIN_MEMBER_AGE_S = 6.0
_MS_PER_S = 1_000
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback, "
    f"{_RATE_PER_S:g} requests/s, a quarter of them not idempotent, no "
    f"resends. The store answers no call for {_OUTAGE_S:g} s. Unserved slots: "
    "those that no daemon served at some moment of the outage, from the "
    f"interval logs. Then an outage of {_LOSS_OUTAGE_S:g} s in which a VM "
    "is killed: how many slots wait, and how long after the end of the outage "
    "until they are served. Then an availability zone is taken out and brought "
    f"back while each call of the store takes {_SLOW_MS} ms, and while "
    f"the answers of {_LOST_ANSWERS} writes are lost."
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """Result of one run.

    Attributes:
      name: Name of the row.
      load_result: What the callers saw.
      unserved: Milliseconds for which each slot was not served.
      overlaps: Pairs of intervals in which two VMs served one slot at once.
      served_after_s: Longest time from the end of the outage until a slot of
        the killed VM was served, None if no VM was killed.
    """

    name: str
    load_result: load_run_lib.LoadResult
    unserved: dict[intervals.Slot, int]
    overlaps: int
    served_after_s: float | None = None

    def row(self) -> tuple[str, ...]:
        """Returns the row of the table."""
        after = self.served_after_s
        reasons = self.load_result.combined.reasons
        return (
            self.name,
            f"{self.load_result.combined.answered_share():.5f}",
            str(self.load_result.unanswered()),
            str(len(self.unserved)),
            str(max(self.unserved.values(), default=0)),
            "" if after is None else f"{after:.2f}",
            str(self.overlaps),
            " ".join(f"{name}={n}" for name, n in sorted(reasons.items())),
        )


def run() -> measurement.Measurement:
    """Stops and slows the store; returns answered shares and unserved slots."""
    with fleet_lib.Fleet(deployments.BY_NAME["kibanda"]) as fleet:
        fleet.start(_SETTLE_TIMEOUT_S)
        down = _outage(fleet)
        slow = _stop_and_start_zone(
            fleet, f"store {_SLOW_MS} ms slow", slow_ms=_SLOW_MS
        )
        lost = _stop_and_start_zone(
            fleet, f"{_LOST_ANSWERS} answers lost", lose_answers=_LOST_ANSWERS
        )
        killed = _outage_with_vm_loss(fleet)
    run_results = (down, killed, slow, lost)
    return measurement.Measurement(
        name="outage",
        definition=_DEFINITION,
        figures={
            "store_down_60s_unserved_keys": len(down.unserved),
            "store_down_60s_answered_share": (
                down.load_result.combined.answered_share()
            ),
            "store_down_vm_lost_waiting_slots": len(killed.unserved),
            "store_down_vm_lost_served_after_s": killed.served_after_s or 0.0,
            "store_slow_az_out_answered_share": (
                slow.load_result.combined.answered_share()
            ),
            "store_answers_lost_az_out_answered_share": (
                lost.load_result.combined.answered_share()
            ),
        },
        table=(
            (
                "run",
                "answered",
                "not answered",
                "unserved slots",
                "longest ms",
                "served after s",
                "double owner",
                "reasons",
            ),
            *(result.row() for result in run_results),
        ),
    )


def _load(duration_s: float) -> load_run_lib.Load:
    return load_run_lib.Load(
        rate=_RATE_PER_S,
        duration_s=duration_s,
        post_share=_POST_SHARE,
        seed=_SEED,
    )


def _outage(fleet: fleet_lib.Fleet) -> _Result:
    window: list[int] = []

    def script(wait_until: Callable[[float], None]) -> None:
        wait_until(_MARGIN_S)
        fleet.set_platform_faults(down=True)
        window.append(orders.wall_ms())
        wait_until(_MARGIN_S + _OUTAGE_S)
        window.append(orders.wall_ms())
        fleet.set_platform_faults()

    load_result = load_run_lib.run(
        fleet, _load(_OUTAGE_S + 2 * _MARGIN_S), script
    )
    logged = intervals.read(fleet.nodes)
    unserved = intervals.unserved_ms(logged, *window)
    overlaps = intervals.overlaps(logged)
    return _Result("store down 60 s", load_result, unserved, overlaps)


def _outage_with_vm_loss(fleet: fleet_lib.Fleet) -> _Result:
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    time.sleep(_MIN_MEMBER_AGE_S)
    killed_node = fleet.by_vm["salio-kaskazini-1"]
    rest = [node for node in fleet.nodes if node is not killed_node]
    before = intervals.read(fleet.nodes)
    slots = intervals.open_slots(killed_node)
    window: list[int] = []
    served_ms: list[int] = []

    def script(wait_until: Callable[[float], None]) -> None:
        wait_until(_MARGIN_S)
        fleet.set_platform_faults(down=True)
        wait_until(_MARGIN_S + _KILL_AFTER_S)
        window.append(orders.wall_ms())
        fleet.kill(killed_node)
        wait_until(_MARGIN_S + _LOSS_OUTAGE_S)
        window.append(orders.wall_ms())
        fleet.set_platform_faults()
        served = intervals.wait_served_again(
            fleet, rest, slots, window[-1], _SERVED_AGAIN_TIMEOUT_S
        )
        served_ms.extend(served.values())

    duration_s = 2 * _MARGIN_S + _LOSS_OUTAGE_S + _SERVED_AGAIN_TIMEOUT_S / 4
    load_result = load_run_lib.run(
        fleet, _load(duration_s), script, killed_node
    )
    # The killed VM's interval log is lost; use the one read before the kill.
    killed_node_intervals = [
        i.ended(window[0]) for i in before if i.vm == killed_node.vm
    ]
    logged = [*killed_node_intervals, *intervals.read(rest)]
    return _Result(
        "store down, VM killed",
        load_result,
        intervals.unserved_ms(logged, *window),
        intervals.overlaps(logged),
        max(served_ms, default=0) / _MS_PER_S,
    )


def _stop_and_start_zone(
    fleet: fleet_lib.Fleet, name: str, **faults: int
) -> _Result:
    """Stops an availability zone with store faults, starts it without."""
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    zone = f"{fleet.deployment.regions[0]}-2"
    node = next(n for n in fleet.nodes if n.placement.zone != zone)
    window: list[int] = []
    failed: list[str] = []

    def script(wait_until: Callable[[float], None]) -> None:
        wait_until(_MARGIN_S)
        window.append(orders.wall_ms())
        fleet.set_platform_faults(**faults)
        try:
            orders.stop_zone(node, zone)
        except orders.OrderFailed as error:
            # With a slow store the command may fail without any change.
            failed.append(str(error))
        wait_until(_MARGIN_S + _ZONE_S)
        fleet.set_platform_faults()
        orders.run_command(node, f"start availability-zone {zone}")
        wait_until(_MARGIN_S + 2 * _ZONE_S)
        window.append(orders.wall_ms())

    load_result = load_run_lib.run(
        fleet, _load(2 * (_MARGIN_S + _ZONE_S)), script
    )
    logged = intervals.read(fleet.nodes)
    unserved = intervals.unserved_ms(logged, *window)
    outcome = "command failed" if failed else "zone out and back"
    return _Result(
        f"{outcome}, {name}",
        load_result,
        unserved,
        intervals.overlaps(logged),
    )
