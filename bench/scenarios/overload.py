"""Measures goodput and refusals at twice the capacity of one service."""

import dataclasses
import statistics

from bench import deployments
from bench import fleet as fleet_lib
from bench import measurement
from bench import traffic
from mustardloom.standins import caller as caller_lib

__all__ = ["run"]

_SERVICE_MS = 50
_SERVICE = "malipo"
_WARM_SHARE = 0.6
_WARM_UP_S = 6.0
_OVERLOAD_FACTOR = 2.0
_DURATION_S = 15.0
# Queues fill at the start; requests of this time are not counted.
_SETTLE_MS = 2_000
_DEADLINE_MS = 500
_POST_SHARE = 0.2
_US_PER_MS = 1_000
_MS_PER_S = 1_000
_DEFINITION = (
    "Kibanda example, 18 daemons and targets on loopback, one caller process "
    f"per region, open loop. Targets of {_SERVICE_MS} ms mean service time; "
    f"malipo gets {_OVERLOAD_FACTOR:g} times its capacity for {_DURATION_S:g} "
    f"s after a warm-up, with deadlines of {_DEADLINE_MS} ms. Goodput: "
    "requests answered within their deadlines per second, over the nominal "
    "capacity (targets x slots / mean service time), without the first 2 s."
)


def run() -> measurement.Measurement:
    """Overloads one service; returns goodput and refusal times."""
    deployment = dataclasses.replace(
        deployments.BY_NAME["kibanda"], service_ms=_SERVICE_MS
    )
    with (
        fleet_lib.Fleet(deployment) as fleet,
        traffic.Session(fleet) as session,
    ):
        fleet.start()
        capacity = traffic.capacity_per_s(fleet, _SERVICE)
        session.run(_load(_WARM_SHARE * capacity, _WARM_UP_S))
        running = session.start(_load(_OVERLOAD_FACTOR * capacity, _DURATION_S))
        running.finish()
        counted = _after_settling(running.log())
        breaches = session.breaches()
    window_s = _DURATION_S - _SETTLE_MS / _MS_PER_S
    in_time = [line for line in counted if _is_in_time(line)]
    refused_ms = [
        line.latency_us / _US_PER_MS
        for line in counted
        if line.outcome == caller_lib.Result.REFUSED.value
    ]
    goodput = len(in_time) / window_s / capacity
    figures: dict[str, float] = {
        "overload_2x_goodput_share": goodput,
        "overload_refusal_median_ms": _median(refused_ms),
        "overload_unknown_share": _share(counted, caller_lib.Result.UNKNOWN),
    }
    return measurement.Measurement(
        name="overload",
        definition=_DEFINITION,
        figures=figures | breaches,
        table=_table(counted),
    )


def _load(rate: float, duration_s: float) -> traffic.Load:
    return traffic.Load(
        services=[f"{_SERVICE}=/{_SERVICE}/{{key}}"],
        rate=rate,
        duration_s=duration_s,
        deadline_ms=_DEADLINE_MS,
        post_share=_POST_SHARE,
    )


def _after_settling(
    log: list[caller_lib.RequestLog],
) -> list[caller_lib.RequestLog]:
    first_ms = min(line.started_wall_ms for line in log)
    start_ms = first_ms + _SETTLE_MS
    return [line for line in log if line.started_wall_ms >= start_ms]


def _is_in_time(line: caller_lib.RequestLog) -> bool:
    is_answered = line.outcome == caller_lib.Result.ANSWERED.value
    return is_answered and line.latency_us <= _DEADLINE_MS * _US_PER_MS


def _median(values: list[float]) -> float:
    return statistics.median(values) if values else 0.0


def _share(
    log: list[caller_lib.RequestLog], result: caller_lib.Result
) -> float:
    return sum(line.outcome == result.value for line in log) / len(log)


def _table(log: list[caller_lib.RequestLog]) -> tuple[tuple[str, ...], ...]:
    latencies_ms: dict[tuple[str, str], list[float]] = {}
    for line in log:
        values = latencies_ms.setdefault((line.outcome, line.reason), [])
        values.append(line.latency_us / _US_PER_MS)
    rows = [
        (outcome, reason, str(len(values)), f"{_median(values):.1f}")
        for (outcome, reason), values in sorted(latencies_ms.items())
    ]
    load = ("load average", "", traffic.load_average(), "")
    return (("outcome", "reason", "requests", "median ms"), *rows, load)
