"""Measures how evenly skewed, changing keys load the targets."""

import collections
from collections.abc import Iterable
import dataclasses

from bench import checker
from bench import deployments
from bench import fleet as fleet_lib
from bench import measurement
from bench import traffic
from mustardloom.standins import runs as runs_lib

__all__ = ["run"]

_SERVICE_MS = 50
_LOAD_SHARE = 0.4
_WARM_UP_S = 5.0
_DURATION_S = 40.0
_HOT_CHANGE_S = 10.0
_DEADLINE_MS = 2_000
_ZIPF_EXPONENT = 1.0
_KEYS = 10_000
_POST_SHARE = 0.2
_KEYED_SERVICE = "salio"
_UNKEYED_SERVICE = "malipo"
_MS_PER_S = 1_000
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback, one caller process "
    f"per region, open loop, {_LOAD_SHARE:.0%} of the capacity of salio "
    f"(keyed) and malipo (unkeyed). {_KEYS} keys by a Zipf distribution with "
    f"exponent {_ZIPF_EXPONENT:g}; every {_HOT_CHANGE_S:g} s other keys are "
    f"hot; {_DURATION_S:g} s. Imbalance: committed runs of the busiest target "
    "over the mean of the service's targets; worst: the largest imbalance "
    "within one interval of the same hot keys."
)


def run() -> measurement.Measurement:
    """Sends skewed keys; returns the imbalance of both services."""
    deployment = dataclasses.replace(
        deployments.BY_NAME["kibanda"], service_ms=_SERVICE_MS
    )
    with (
        fleet_lib.Fleet(deployment) as fleet,
        traffic.Session(fleet) as session,
    ):
        fleet.start()
        session.run(_load(fleet, _WARM_UP_S))
        running = session.start(_load(fleet, _DURATION_S))
        report = running.finish()
        start_ms = min(line.started_wall_ms for line in running.log())
        runs = [o for o in session.runs() if o.run.start_wall_ms >= start_ms]
        breaches = session.breaches()
        keyed = _Imbalance(fleet, _KEYED_SERVICE, runs, start_ms)
        unkeyed = _Imbalance(fleet, _UNKEYED_SERVICE, runs, start_ms)
    figures: dict[str, float] = {
        "imbalance_max_over_mean_keyed": keyed.total,
        "imbalance_max_over_mean_keyed_worst": max(keyed.by_interval),
        "imbalance_max_over_mean_unkeyed": unkeyed.total,
        "imbalance_max_over_mean_unkeyed_worst": max(unkeyed.by_interval),
        "imbalance_answered_share": report.answered_share(),
    }
    return measurement.Measurement(
        name="imbalance",
        definition=_DEFINITION,
        figures=figures | breaches,
        table=(
            ("service", "total", "intervals", "runs per target"),
            keyed.row(),
            unkeyed.row(),
            ("load average", traffic.load_average(), "", ""),
        ),
    )


def _load(fleet: fleet_lib.Fleet, duration_s: float) -> traffic.Load:
    capacity = traffic.capacity_per_s(fleet, _KEYED_SERVICE)
    return traffic.Load(
        services=[
            f"{_KEYED_SERVICE}=/{_KEYED_SERVICE}/{{key}},key=X-Account",
            f"{_UNKEYED_SERVICE}=/{_UNKEYED_SERVICE}/{{key}}",
        ],
        rate=2 * _LOAD_SHARE * capacity,
        duration_s=duration_s,
        deadline_ms=_DEADLINE_MS,
        post_share=_POST_SHARE,
        extra_arguments=(
            f"--keys={_KEYS}",
            f"--zipf-exponent={_ZIPF_EXPONENT}",
            f"--hot-change-s={_HOT_CHANGE_S}",
        ),
    )


class _Imbalance:
    """Imbalance of one service, in total and for each interval of hot keys."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        service: str,
        target_runs: Iterable[checker.TargetRun],
        start_ms: int,
    ):
        targets = [n.vm for n in fleet.nodes if n.placement.service == service]
        self.service = service
        self.counts = collections.Counter(dict.fromkeys(targets, 0))
        by_interval: dict[int, collections.Counter[str]] = {}
        for item in target_runs:
            committed = item.run.outcome is runs_lib.RunOutcome.COMMITTED
            if item.target not in self.counts or not committed:
                continue
            elapsed_s = (item.run.start_wall_ms - start_ms) / _MS_PER_S
            # Count runs that started just after the end in the last interval.
            last = int(_DURATION_S / _HOT_CHANGE_S) - 1
            index = min(last, int(elapsed_s / _HOT_CHANGE_S))
            self.counts[item.target] += 1
            by_interval.setdefault(index, collections.Counter())[
                item.target
            ] += 1
        self.total = _max_over_mean(self.counts, len(targets))
        self.by_interval = [
            _max_over_mean(counts, len(targets))
            for _, counts in sorted(by_interval.items())
        ]

    def row(self) -> tuple[str, ...]:
        """Returns the row of the table."""
        return (
            self.service,
            f"{self.total:.2f}",
            " ".join(f"{value:.2f}" for value in self.by_interval),
            " ".join(str(count) for _, count in sorted(self.counts.items())),
        )


def _max_over_mean(counts: "collections.Counter[str]", targets: int) -> float:
    return max(counts.values()) * targets / max(1, sum(counts.values()))
