"""Measures crashes and refusals when targets become cold under load."""

import collections
from collections.abc import Callable
import dataclasses
import time

from bench import deployments
from bench import fleet as fleet_lib
from bench import measurement
from bench import results
from bench import traffic

__all__ = ["run"]

_SERVICE_MS = 50
_SERVICE = "malipo"
_LOAD_SHARE = 0.6
_WARM_UP_S = 6.0
_PHASE_S = 8.0
_EVENT_AT_S = 2.0
# Time from the kill of a target to its restart.
_RESTART_DELAY_S = 0.3
_DEADLINE_MS = 1_000
_POST_SHARE = 0.2
_FEW_TARGETS = 1
_MANY_TARGETS = 3
# After a crash the target continues as a new instance in the same process and
# keeps the record of its runs.
_TARGET_OPTIONS = {_SERVICE: ["--restart-after-ms", "500"]}
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback, one caller process "
    f"per region, open loop. Targets of {_SERVICE_MS} ms mean service time; "
    f"malipo carries {_LOAD_SHARE:.0%} of its capacity with deadlines of "
    f"{_DEADLINE_MS} ms. In phases of {_PHASE_S:g} s, {_FEW_TARGETS} "
    f"and then {_MANY_TARGETS} of its six targets become cold: first without a "
    "new instance (fault `cold`), then by SIGKILL and restart of the target "
    "process. Crashes are those of targets that got more work than they can "
    "handle. Late: unknown because the deadline passed. Shares are of all "
    "requests of the phases."
)

Event = Callable[
    [fleet_lib.Fleet, traffic.Session, list[fleet_lib.Node]],
    None,
]


def run() -> measurement.Measurement:
    """Makes targets cold; returns the shares of crashes and refusals."""
    deployment = dataclasses.replace(
        deployments.BY_NAME["kibanda"], service_ms=_SERVICE_MS
    )
    reports: dict[str, results.Combined] = {}
    with (
        fleet_lib.Fleet(deployment, target_options=_TARGET_OPTIONS) as fleet,
        traffic.Session(fleet) as session,
    ):
        fleet.start()
        session.run(_load(fleet, _WARM_UP_S))
        for name, event in (("fault", _make_cold), ("restart", _restart)):
            for count in (_FEW_TARGETS, _MANY_TARGETS):
                reports[f"{name} of {count}"] = _phase(
                    fleet, session, event, count
                )
        crashes = session.crashes()
        breaches = session.breaches()
    counts: collections.Counter[str] = collections.Counter()
    reasons: collections.Counter[str] = collections.Counter()
    for report in reports.values():
        counts.update(report.counts)
        reasons.update(report.reasons)
    total = sum(counts.values())
    figures: dict[str, float] = {
        "cold_target_crashes": crashes,
        "cold_refused_share": counts["refused"] / total,
        "cold_late_share": reasons["unknown.deadline"] / total,
        "cold_unknown_share": counts["unknown"] / total,
    }
    return measurement.Measurement(
        name="cold",
        definition=_DEFINITION,
        figures=figures | breaches,
        table=_table(reports),
    )


def _load(fleet: fleet_lib.Fleet, duration_s: float) -> traffic.Load:
    return traffic.Load(
        services=[f"{_SERVICE}=/{_SERVICE}/{{key}}"],
        rate=_LOAD_SHARE * traffic.capacity_per_s(fleet, _SERVICE),
        duration_s=duration_s,
        deadline_ms=_DEADLINE_MS,
        post_share=_POST_SHARE,
    )


def _phase(
    fleet: fleet_lib.Fleet, session: traffic.Session, event: Event, count: int
) -> results.Combined:
    nodes = [n for n in fleet.nodes if n.placement.service == _SERVICE]
    running = session.start(_load(fleet, _PHASE_S))
    time.sleep(_EVENT_AT_S)
    event(fleet, session, nodes[:count])
    return running.finish()


def _make_cold(
    fleet: fleet_lib.Fleet,
    session: traffic.Session,
    nodes: list[fleet_lib.Node],
) -> None:
    del fleet, session
    for node in nodes:
        fleet_lib.http_json(f"{node.target_url}/_target/faults", {"cold": True})


def _restart(
    fleet: fleet_lib.Fleet,
    session: traffic.Session,
    nodes: list[fleet_lib.Node],
) -> None:
    for node in nodes:
        session.collect(node)
        assert node.target is not None
        node.target.kill()
        node.target.wait()
    time.sleep(_RESTART_DELAY_S)
    for node in nodes:
        fleet.start_target(node)


def _table(
    reports: dict[str, results.Combined],
) -> tuple[tuple[str, ...], ...]:
    rows: list[tuple[str, ...]] = [("phase", "outcome", "requests")]
    for phase, report in reports.items():
        rows.append((phase, "answered", str(report.counts["answered"])))
        rows.extend(
            (phase, reason, str(count))
            for reason, count in sorted(report.reasons.items())
        )
    rows.append(("load average", traffic.load_average(), ""))
    return tuple(rows)
