"""Measures service while an availability zone is stopped and started."""

from collections.abc import Callable
import dataclasses

from bench import collector as collector_lib
from bench import deployments
from bench import fleet as fleet_lib
from bench import intervals
from bench import load_run as load_run_lib
from bench import measurement
from bench import orders
from mustardloom.standins import runs as runs_lib

__all__ = ["run"]

_SETTLE_TIMEOUT_S = 60.0
_SERVICE_MS = 100
_LOAD_SHARE = 0.6
_POST_SHARE = 0.25
_WARM_UP_S = 8.0
_RUN_S = 20.0
_STOP_AT_S = 2.0
_FAULT_AFTER_S = 0.3
_FAULT_S = 3.0
_START_AT_S = 10.0
_SEED = 11
_MS_PER_S = 1_000
_STARTED = frozenset(
    {
        runs_lib.RunOutcome.COMMITTED,
        runs_lib.RunOutcome.CRASHED,
        runs_lib.RunOutcome.CANCELLED,
    }
)
_DEFINITION = (
    "Kibanda and Sagarmatha examples, 18 daemons and targets on loopback with "
    f"a service time of {_SERVICE_MS} ms, callers in all regions with "
    f"{_LOAD_SHARE:.0%} of the capacity of all three services, a quarter of it "
    "not idempotent, equal keys, no resends. A quiet run, then a run of equal "
    "length in which an availability zone is taken out and brought back by "
    "the operator commands, with `force` where the check of the remaining "
    "capacity refuses. Last new request: from the acknowledgement of the "
    "command until the last start of a request at a target of the zone before "
    "it is brought back. Cut requests: refused or unknown requests beyond "
    "those of the quiet run. Owner changes: the largest number of any slot "
    "from the first command on. Further Kibanda runs: a VM of another zone "
    "killed, or the store down for a while, just after the command. Figures "
    "without a name of an example are the worse of the two."
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Result:
    """Result of one run in which a zone is stopped and started.

    Attributes:
      last_new_s: Time from the acknowledgement of the stop to the last new
        request in the zone.
      unanswered: Number of refused or unknown requests.
      answered_share: Share of answered requests.
      p99_ms: 99th percentile of the latency.
      mean_changes: Mean number of owner changes per slot.
      max_changes: Largest number of owner changes of a slot.
      overlaps: Pairs of intervals in which two VMs served one slot at once.
      reasons: Number of requests by refusal or failure reason.
    """

    last_new_s: float
    unanswered: int
    answered_share: float
    p99_ms: float
    mean_changes: float
    max_changes: int
    overlaps: int
    reasons: dict[str, int]


Fault = Callable[[fleet_lib.Fleet, Callable[[float], None]], None]


def run() -> measurement.Measurement:
    """Stops and starts zones; returns what the callers saw."""
    figures: dict[str, float] = {}
    rows: list[tuple[str, ...]] = [
        (
            "run",
            "last new s",
            "not answered",
            "answered",
            "99th ms",
            "changes mean",
            "changes most",
            "double owner",
            "reasons",
        )
    ]
    for name in ("kibanda", "sagarmatha"):
        found = _measure(deployments.BY_NAME[name], rows)
        for figure, value in found.items():
            figures[f"{figure}_{name}"] = value
            worse = min if figure.endswith("answered_share") else max
            figures[figure] = worse(figures.get(figure, value), value)
    return measurement.Measurement(
        name="zone",
        definition=_DEFINITION,
        figures=figures,
        table=tuple(rows),
    )


def _measure(
    deployment: deployments.Deployment, rows: list[tuple[str, ...]]
) -> dict[str, float]:
    slow = ["--mean-ms", str(_SERVICE_MS)]
    options = dict.fromkeys(deployment.services, slow)
    with fleet_lib.Fleet(deployment, target_options=options) as fleet:
        fleet.start(_SETTLE_TIMEOUT_S)
        load = _load(fleet)
        load_run_lib.run(
            fleet, dataclasses.replace(load, duration_s=_WARM_UP_S)
        )
        quiet = load_run_lib.run(fleet, load)
        rows.append(_quiet_row(f"{deployment.name} quiet", quiet))
        result = _stop_and_start_zone(fleet, load)
        rows.append(_row(f"{deployment.name} zone out and back", result))
        if deployment.name == "kibanda":
            _run_variants(fleet, load, rows)
    cut = max(0, result.unanswered - quiet.unanswered())
    return {
        "az_out_last_new_request_s": result.last_new_s,
        "az_out_cut_requests": cut,
        "az_out_back_p99_ratio": result.p99_ms / quiet.latency_ms(99.0),
        "az_out_back_owner_changes_per_slot": result.max_changes,
        "az_out_answered_share": result.answered_share,
    }


def _run_variants(
    fleet: fleet_lib.Fleet, load: load_run_lib.Load, rows: list[tuple[str, ...]]
) -> None:
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    result = _stop_and_start_zone(fleet, load, _store_outage)
    rows.append(_row("kibanda, store down midway", result))
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    killed_node = fleet.by_vm[f"{fleet.deployment.services[0]}-ziwa-1"]
    result = _stop_and_start_zone(
        fleet, load, _make_kill(killed_node), killed_node
    )
    rows.append(_row("kibanda, VM killed midway", result))


def _store_outage(
    fleet: fleet_lib.Fleet, wait_until: Callable[[float], None]
) -> None:
    wait_until(_STOP_AT_S + _FAULT_AFTER_S)
    fleet.set_platform_faults(down=True)
    wait_until(_STOP_AT_S + _FAULT_AFTER_S + _FAULT_S)
    fleet.set_platform_faults()


def _make_kill(killed_node: fleet_lib.Node) -> Fault:
    def kill(
        fleet: fleet_lib.Fleet, wait_until: Callable[[float], None]
    ) -> None:
        wait_until(_STOP_AT_S + _FAULT_AFTER_S)
        fleet.kill(killed_node)

    return kill


def _load(fleet: fleet_lib.Fleet) -> load_run_lib.Load:
    deployment = fleet.deployment
    targets = len(fleet.nodes)
    capacity = targets * deployment.capacity * _MS_PER_S / _SERVICE_MS
    return load_run_lib.Load(
        rate=_LOAD_SHARE * capacity,
        duration_s=_RUN_S,
        post_share=_POST_SHARE,
        seed=_SEED,
    )


def _stop_and_start_zone(
    fleet: fleet_lib.Fleet,
    load: load_run_lib.Load,
    fault: Fault | None = None,
    killed_node: fleet_lib.Node | None = None,
) -> _Result:
    zone = f"{fleet.deployment.regions[0]}-2"
    node = next(n for n in fleet.nodes if n.placement.zone != zone)
    times: list[int] = []

    def script(wait_until: Callable[[float], None]) -> None:
        wait_until(_STOP_AT_S)
        times.append(orders.wall_ms())
        times.append(orders.stop_zone(node, zone))
        if fault is not None:
            fault(fleet, wait_until)
        wait_until(_START_AT_S)
        times.append(orders.wall_ms())
        orders.run_command(node, f"start availability-zone {zone}")

    with collector_lib.RunCollector(fleet) as collector:
        load_result = load_run_lib.run(fleet, load, script, killed_node)
        runs = collector.runs()
    sent_ms, stopped_ms, restart_ms = times
    in_zone = {n.vm for n in fleet.nodes if n.placement.zone == zone}
    late_ms = [
        target_run.run.start_wall_ms - stopped_ms
        for target_run in runs
        if target_run.target in in_zone
        and target_run.run.outcome in _STARTED
        and stopped_ms <= target_run.run.start_wall_ms < restart_ms
    ]
    fleet.wait_settled(_SETTLE_TIMEOUT_S)
    logged = intervals.read(fleet.nodes)
    changes = intervals.owner_changes(logged, sent_ms)
    slot_count = len(intervals.by_slot(logged))
    return _Result(
        last_new_s=max(late_ms, default=0) / _MS_PER_S,
        unanswered=load_result.unanswered(),
        answered_share=load_result.combined.answered_share(),
        p99_ms=load_result.latency_ms(99.0),
        mean_changes=sum(changes.values()) / max(1, slot_count),
        max_changes=max(changes.values(), default=0),
        overlaps=intervals.overlaps(logged),
        reasons=load_result.combined.reasons,
    )


def _quiet_row(name: str, quiet: load_run_lib.LoadResult) -> tuple[str, ...]:
    return (
        name,
        "",
        str(quiet.unanswered()),
        f"{quiet.combined.answered_share():.5f}",
        f"{quiet.latency_ms(99.0):.1f}",
        "",
        "",
        "",
        _reasons(quiet.combined.reasons),
    )


def _row(name: str, result: _Result) -> tuple[str, ...]:
    return (
        name,
        f"{result.last_new_s:.2f}",
        str(result.unanswered),
        f"{result.answered_share:.5f}",
        f"{result.p99_ms:.1f}",
        f"{result.mean_changes:.2f}",
        str(result.max_changes),
        str(result.overlaps),
        _reasons(result.reasons),
    )


def _reasons(reasons: dict[str, int]) -> str:
    return " ".join(f"{name}={n}" for name, n in sorted(reasons.items()))
