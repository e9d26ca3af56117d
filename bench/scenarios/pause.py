"""Counts breaches of invariants while daemon or target are paused."""

from collections.abc import Callable
import dataclasses
import time

from bench import checker
from bench import collector as collector_lib
from bench import deployments
from bench import fleet as fleet_lib
from bench import intervals
from bench import load_run as load_run_lib
from bench import measurement
from bench import orders

__all__ = ["run"]

_SETTLE_TIMEOUT_S = 60.0
_RATE_PER_S = 150.0
_DURATION_S = 18.0
_RESENDS = 3
_POST_SHARE = 0.8
_SEED = 31
_PAUSE_AT_S = 3.0
_PAUSE_S = 5.0
# A member cannot be fenced in its first 5 s; see `membership.fencing`.
_MIN_MEMBER_AGE_S = 6.0
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback, "
    f"{_RATE_PER_S:g} requests/s, {_POST_SHARE:.0%} of them not idempotent, "
    "some of an organisation that is bound to two regions, up to "
    f"{_RESENDS} resends. The daemon, the target, or both of a VM are stopped "
    f"with SIGSTOP for {_PAUSE_S:g} s and resumed. Double owner intervals come "
    "from the interval logs, the other breaches from the records of targets "
    "and callers. Unserved: longest time in which no daemon served a slot, "
    "from the pause to the end of the load; the paused VM counts as serving "
    "none."
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """Result of one pause.

    Attributes:
      name: Paused processes: `daemon`, `target` or `both`.
      check_result: Breaches that targets and callers recorded.
      overlaps: Pairs of intervals in which two VMs served one slot at once.
      slots: Number of slots that the VM served before the pause.
      longest_unserved_ms: Longest time for which a slot was not served.
      load_result: What the callers saw.
    """

    name: str
    check_result: checker.CheckResult
    overlaps: int
    slots: int
    longest_unserved_ms: int
    load_result: load_run_lib.LoadResult

    def row(self) -> tuple[str, ...]:
        """Returns the row of the table."""
        reasons = self.load_result.combined.reasons
        return (
            self.name,
            str(self.slots),
            str(self.longest_unserved_ms),
            f"{self.load_result.combined.answered_share():.5f}",
            str(self.overlaps),
            str(self.check_result.double_owner),
            str(self.check_result.double_runs),
            str(self.check_result.false_not_run),
            str(self.check_result.region_breaches),
            str(self.check_result.crossed),
            " ".join(f"{name}={n}" for name, n in sorted(reasons.items())),
        )


def run() -> measurement.Measurement:
    """Pauses processes; returns the breaches and the unserved times."""
    with fleet_lib.Fleet(deployments.BY_NAME["kibanda"]) as fleet:
        fleet.start(_SETTLE_TIMEOUT_S)
        pause_results = [
            _pause(fleet, "daemon", "salio-pwani-1", True, False),
            _pause(fleet, "target", "salio-ziwa-1", False, True),
            _pause(fleet, "both", "salio-kaskazini-1", True, True),
        ]
    check_results = [result.check_result for result in pause_results]
    figures: dict[str, float] = {
        "double_owner_intervals": sum(
            result.overlaps + result.check_result.double_owner
            for result in pause_results
        ),
        "double_runs": sum(each.double_runs for each in check_results),
        "false_not_run": sum(each.false_not_run for each in check_results),
        "region_breaches": sum(each.region_breaches for each in check_results),
    }
    for result in pause_results:
        name = f"pause_{result.name}_unserved_ms"
        figures[name] = result.longest_unserved_ms
    return measurement.Measurement(
        name="pause",
        definition=_DEFINITION,
        figures=figures,
        table=(
            (
                "paused",
                "slots",
                "unserved ms",
                "answered",
                "double owner intervals",
                "double owner runs",
                "double runs",
                "false not run",
                "region breaches",
                "crossed",
                "reasons",
            ),
            *(result.row() for result in pause_results),
        ),
    )


def _pause(
    fleet: fleet_lib.Fleet, name: str, vm: str, daemon: bool, target: bool
) -> _Result:
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    time.sleep(_MIN_MEMBER_AGE_S)
    node = fleet.by_vm[vm]
    slots = intervals.open_slots(node)
    window: list[int] = []

    def script(wait_until: Callable[[float], None]) -> None:
        wait_until(_PAUSE_AT_S)
        window.append(orders.wall_ms())
        fleet.pause(node, daemon, target)
        wait_until(_PAUSE_AT_S + _PAUSE_S)
        fleet.resume(node, daemon, target)
        window.append(orders.wall_ms())
        wait_until(_DURATION_S)
        window.append(orders.wall_ms())

    load = load_run_lib.Load(
        rate=_RATE_PER_S,
        duration_s=_DURATION_S,
        post_share=_POST_SHARE,
        resends=_RESENDS,
        bound_traffic="/salio/{key},key=X-Account,organisation=hazina",
        bound_regions=frozenset({"pwani", "ziwa"}),
        seed=_SEED,
    )
    with collector_lib.RunCollector(fleet) as collector:
        load_result = load_run_lib.run(fleet, load, script, node)
        runs = collector.runs()
    logged = intervals.read(fleet.nodes)
    # A VM with a paused process serves nothing, although its interval log shows
    # it as serving until the lease lapses or the slots move.
    pause_ms, resume_ms, end_ms = window
    served = [i for i in logged if i.vm != vm]
    for interval in logged:
        if interval.vm == vm:
            served.extend(interval.outside(pause_ms, resume_ms))
    evidence = checker.Evidence(
        runs, load_result.log, load_result.bound_ids(load)
    )
    unserved = intervals.unserved_ms(served, pause_ms, end_ms)
    return _Result(
        name,
        checker.check(evidence),
        intervals.overlaps(logged),
        len(slots),
        max(unserved.values(), default=0),
        load_result,
    )
