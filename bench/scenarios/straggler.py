"""Measures tail latency while some targets are much slower than others."""

import dataclasses

from bench import deployments
from bench import fleet as fleet_lib
from bench import measurement
from bench import results
from bench import traffic

__all__ = ["run"]

# With shorter service times the load would need more processor time than a
# developer's machine has.
_SERVICE_MS = 50
_LOAD_SHARE = 0.6
_SLOW_FACTOR = 20.0
_WARM_UP_S = 6.0
_PHASE_S = 10.0
# Time for the routers to send requests to a recovered target again.
_RECOVERY_S = 6.0
_DEADLINE_MS = 5_000
_POST_SHARE = 0.2
_SERVICES = ("malipo", "bidhaa")
_SLOW_SERVICE = "malipo"
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback, one caller process "
    f"per region. Targets of {_SERVICE_MS} ms mean service time; the unkeyed "
    f"services malipo and bidhaa carry {_LOAD_SHARE:.0%} of their capacity, "
    f"{_POST_SHARE:.0%} of it non-idempotent, open loop. Phases of "
    f"{_PHASE_S:g} s after a warm-up: quiet; one target of malipo slowed "
    f"{_SLOW_FACTOR:g} times from the start of the phase; one target of each "
    "service slowed; and the baseline, in which callers send to the targets "
    "in round robin without hedging while one target of malipo is slowed. "
    "Ratios of one straggler compare malipo with the quiet phase. Extra work: "
    "hedges per idempotent request in the phases with stragglers."
)


@dataclasses.dataclass(frozen=True, slots=True)
class _SlowedPhase:
    """Report of a phase with stragglers and its number of hedged requests."""

    report: results.Combined
    hedges: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Phases:
    """Reports of the phases."""

    quiet: results.Combined
    one: "_SlowedPhase"
    two: "_SlowedPhase"
    baseline: results.Combined


def run() -> measurement.Measurement:
    """Slows targets; returns the latencies relative to a quiet phase."""
    deployment = dataclasses.replace(
        deployments.BY_NAME["kibanda"], service_ms=_SERVICE_MS
    )
    with (
        fleet_lib.Fleet(deployment) as fleet,
        traffic.Session(fleet) as session,
    ):
        fleet.start()
        session.run(_load(fleet, _SERVICES, _WARM_UP_S))
        quiet = session.run(_load(fleet, _SERVICES, _PHASE_S))
        one = _run_slowed_phase(fleet, session, (_SLOW_SERVICE,))
        two = _run_slowed_phase(fleet, session, _SERVICES)
        baseline = _run_baseline(fleet, session)
        breaches = session.breaches()
    phases = _Phases(quiet, one, two, baseline)
    return measurement.Measurement(
        name="straggler",
        definition=_DEFINITION,
        figures=_figures(phases) | breaches,
        table=_table(phases),
    )


def _load(
    fleet: fleet_lib.Fleet, services: tuple[str, ...], duration_s: float
) -> traffic.Load:
    capacity = sum(traffic.capacity_per_s(fleet, name) for name in services)
    return traffic.Load(
        services=[f"{name}=/{name}/{{key}}" for name in services],
        rate=_LOAD_SHARE * capacity,
        duration_s=duration_s,
        deadline_ms=_DEADLINE_MS,
        post_share=_POST_SHARE,
    )


def _run_slowed_phase(
    fleet: fleet_lib.Fleet, session: traffic.Session, services: tuple[str, ...]
) -> _SlowedPhase:
    """Runs a phase with one slow target per service, then a recovery."""
    before = session.counter("router.hedges")
    _set_slow_factor(fleet, services, _SLOW_FACTOR)
    report = session.run(_load(fleet, _SERVICES, _PHASE_S))
    hedges = session.counter("router.hedges") - before
    _set_slow_factor(fleet, services, 1.0)
    session.run(_load(fleet, _SERVICES, _RECOVERY_S))
    return _SlowedPhase(report, hedges)


def _set_slow_factor(
    fleet: fleet_lib.Fleet, services: tuple[str, ...], factor: float
) -> None:
    for service in services:
        node = fleet.by_vm[f"{service}-{fleet.deployment.regions[0]}-1"]
        url = f"{node.target_url}/_target/faults"
        fleet_lib.http_json(url, {"slow_factor": factor})


def _run_baseline(
    fleet: fleet_lib.Fleet, session: traffic.Session
) -> results.Combined:
    addresses = [
        node.target_url.removeprefix("http://")
        for node in fleet.nodes
        if node.placement.service == _SLOW_SERVICE
    ]
    _set_slow_factor(fleet, (_SLOW_SERVICE,), _SLOW_FACTOR)
    load = _load(fleet, (_SLOW_SERVICE,), _PHASE_S)
    return session.start_direct(load, addresses).finish()


def _figures(phases: _Phases) -> dict[str, float]:
    quiet, one, two = phases.quiet, phases.one.report, phases.two.report
    baseline_ms = phases.baseline.percentile_ms(99, "idempotent")
    one_ms = one.percentile_ms(99, "idempotent", _SLOW_SERVICE)
    return {
        "straggler_idempotent_p99_ratio": _ratio(
            one, quiet, 99, "idempotent", _SLOW_SERVICE
        ),
        "straggler_idempotent_p999_ratio": _ratio(
            one, quiet, 99.9, "idempotent", _SLOW_SERVICE
        ),
        "straggler_idempotent_p99_vs_baseline": one_ms / baseline_ms,
        "straggler_non_idempotent_p99_ratio": _ratio(
            one, quiet, 99, "once", _SLOW_SERVICE
        ),
        "straggler_two_services_idempotent_p99_ratio": _ratio(
            two, quiet, 99, "idempotent", ""
        ),
        "straggler_two_services_non_idempotent_p99_ratio": _ratio(
            two, quiet, 99, "once", ""
        ),
        "straggler_unanswered_share": 1 - one.answered_share(),
        "hedge_extra_work_share": _extra_work(phases.one, phases.two),
    }


def _ratio(
    slowed: results.Combined,
    quiet: results.Combined,
    percentile: float,
    kind: str,
    service: str,
) -> float:
    slowed_ms = slowed.percentile_ms(percentile, kind, service)
    return slowed_ms / quiet.percentile_ms(percentile, kind, service)


def _extra_work(*slowed: _SlowedPhase) -> float:
    """Returns the hedges per idempotent request."""
    requests = sum(phase.report.total for phase in slowed)
    hedges = sum(phase.hedges for phase in slowed)
    return hedges / ((1 - _POST_SHARE) * requests)


def _table(phases: _Phases) -> tuple[tuple[str, ...], ...]:
    head = ("phase", "service", "kind", "answered", "p50", "p99", "p99.9 ms")
    reports = {
        "quiet": phases.quiet,
        "one straggler": phases.one.report,
        "two stragglers": phases.two.report,
        "baseline": phases.baseline,
    }
    rows = [
        (
            phase,
            row.service,
            row.kind,
            str(row.answered),
            *(f"{ms:.1f}" for ms in (row.p50_ms, row.p99_ms, row.p999_ms)),
        )
        for phase, report in reports.items()
        for row in report.rows()
    ]
    load = traffic.load_average()
    return (head, *rows, ("load average", "", "", load, "", "", ""))
