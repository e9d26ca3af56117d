"""Measures how long a slot is not served during a planned move."""

from collections.abc import Callable
import dataclasses
import random

from bench import deployments
from bench import fleet as fleet_lib
from bench import intervals
from bench import load_run as load_run_lib
from bench import measurement
from bench import orders

__all__ = ["run"]

_SETTLE_TIMEOUT_S = 60.0
_RATE_PER_S = 240.0
_POST_SHARE = 0.25
_SEED = 41
_SLOT_MOVES = 20
_SLOT_INTERVAL_S = 0.3
_TARGET_STOPS = 4
_STOP_INTERVAL_S = 4.0
_AFTER_LAST_MOVE_S = 3.0
_SERVICE = "salio"
_GROUP = f"{_SERVICE}@*"
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback: "
    f"{_SLOT_MOVES} single slots are moved by command, then {_TARGET_STOPS} "
    "targets are stopped and started again by command, first without load, "
    f"then with {_RATE_PER_S:g} requests/s, a quarter of them not "
    "idempotent, no resends. Unavailable time: from the end of one owner's "
    "interval to the start of the next one's, from the interval logs. "
    "Requests that were running when the move began end before the interval "
    "does; what the move costs callers is in the latencies. The figure without "
    "a suffix is the one with load."
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """Result of the moves of one run.

    Attributes:
      name: Name of the row.
      gaps_ms: Unavailable time of each change of owner.
      overlaps: Pairs of intervals in which two VMs served one slot at once.
      load_result: What the callers saw, None for the run without load.
    """

    name: str
    gaps_ms: list[int]
    overlaps: int
    load_result: load_run_lib.LoadResult | None

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile (0 to 100) of the unavailable times."""
        ordered = sorted(self.gaps_ms)
        return float(ordered[int(percentile / 100 * (len(ordered) - 1))])

    def row(self) -> tuple[str, ...]:
        """Returns the row of the table."""
        texts = [f"{self.percentile_ms(p):g}" for p in (50, 99, 100)]
        texts.append(str(self.overlaps))
        if self.load_result is not None:
            texts.append(str(self.load_result.unanswered()))
            texts.append(f"{self.load_result.latency_ms(99.0):.1f}")
        else:
            texts.extend(("", ""))
        return (self.name, str(len(self.gaps_ms)), *texts)


def run() -> measurement.Measurement:
    """Moves slots without and with load; returns the unavailable times."""
    with fleet_lib.Fleet(deployments.BY_NAME["kibanda"]) as fleet:
        fleet.start(_SETTLE_TIMEOUT_S)
        move_results = (_moves(fleet, False), _moves(fleet, True))
    idle, loaded = move_results
    return measurement.Measurement(
        name="move",
        definition=_DEFINITION,
        figures={
            "planned_move_unavailable_p99_ms": loaded.percentile_ms(99),
            "planned_move_unavailable_worst_ms": loaded.percentile_ms(100),
            "planned_move_idle_unavailable_p99_ms": idle.percentile_ms(99),
            "planned_moves_count": len(loaded.gaps_ms),
        },
        table=(
            (
                "run",
                "moves",
                "median ms",
                "99th ms",
                "worst ms",
                "double owner",
                "not answered",
                "99th latency ms",
            ),
            *(result.row() for result in move_results),
        ),
    )


def _moves(fleet: fleet_lib.Fleet, with_load: bool) -> _Result:
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    start_ms = orders.wall_ms()
    load_result = None
    if with_load:
        duration_s = (
            _SLOT_MOVES * _SLOT_INTERVAL_S
            + 2 * _TARGET_STOPS * _STOP_INTERVAL_S
            + _AFTER_LAST_MOVE_S
        )
        load = load_run_lib.Load(
            rate=_RATE_PER_S,
            duration_s=duration_s,
            post_share=_POST_SHARE,
            seed=_SEED,
        )
        load_result = load_run_lib.run(
            fleet, load, lambda wait: _script(fleet, wait)
        )
    else:
        _script(fleet, load_run_lib.script_clock())
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    logged = intervals.read(fleet.nodes)
    return _Result(
        "with load" if with_load else "without load",
        intervals.unavailable_ms(logged, start_ms),
        intervals.overlaps(logged),
        load_result,
    )


def _script(
    fleet: fleet_lib.Fleet, wait_until: Callable[[float], None]
) -> None:
    source = random.Random(_SEED)
    servers = [n for n in fleet.nodes if n.placement.service == _SERVICE]
    node = servers[0]
    at_s = 0.0
    for _ in range(_SLOT_MOVES):
        at_s += _SLOT_INTERVAL_S
        wait_until(at_s)
        donor, receiver = source.sample(servers, 2)
        slots = sorted(intervals.open_slots(donor))
        # The group for any region: each member may own its slots.
        group, slot = source.choice([s for s in slots if s[0] == _GROUP])
        _run_command_if_allowed(
            node, f'move slot {slot} of "{group}" to {receiver.vm}'
        )
    for _ in range(_TARGET_STOPS):
        chosen = source.choice(servers)
        for verb in ("stop", "start"):
            at_s += _STOP_INTERVAL_S
            wait_until(at_s)
            orders.run_command(node, f"{verb} target {chosen.vm}")


def _run_command_if_allowed(node: fleet_lib.Node, line: str) -> None:
    """Runs a command; prints a refusal, as the slot may already be moving."""
    try:
        orders.run_command(node, line)
    except orders.OrderFailed as error:
        print(error, flush=True)
