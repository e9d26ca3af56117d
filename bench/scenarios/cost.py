"""Measures the processor time of daemons per request."""

import dataclasses
import statistics
import time

import psutil

from bench import deployments
from bench import fleet as fleet_lib
from bench import measurement
from bench import traffic

__all__ = ["run"]

_SERVICE_MS = 5
_RATE_PER_S = 600.0
_ROUNDS = 5
_ROUND_S = 6.0
_IDLE_S = 4.0
_WARM_UP_S = 3.0
_DEADLINE_MS = 1_000
_POST_SHARE = 0.2
_US_PER_S = 1_000_000
_PLACEMENTS = [
    deployments.Placement("pwani", "pwani-1", "salio"),
    deployments.Placement("pwani", "pwani-2", "malipo"),
]
_DEFINITION = (
    "Two daemons on loopback: callers send requests for the keyed service "
    "salio to the daemon of another service, so that one daemon is only "
    "ingress and the owner of all keys only gate. "
    f"{_RATE_PER_S:g} requests/s, open loop, {_POST_SHARE:.0%} non-idempotent "
    f"with 16 bytes of body, {_ROUNDS} rounds of {_ROUND_S:g} s. Processor "
    "time (user and system) of each daemon from psutil, less that of the same "
    "daemon without load, per request; median of the rounds."
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    """Microseconds of processor time per request."""

    ingress_us: float
    gate_us: float

    @property
    def total_us(self) -> float:
        return self.ingress_us + self.gate_us


def run() -> measurement.Measurement:
    """Measures ingress and gate; returns the medians of the rounds."""
    deployment = dataclasses.replace(
        deployments.BY_NAME["kibanda"], service_ms=_SERVICE_MS
    )
    with (
        fleet_lib.Fleet(deployment, _PLACEMENTS) as fleet,
        traffic.Session(fleet) as session,
    ):
        fleet.start()
        gate, ingress = fleet.nodes
        load = _load(_WARM_UP_S)
        session.start(load, [ingress]).finish()
        idle = _idle_shares(ingress, gate)
        costs = [_round(session, ingress, gate, idle) for _ in range(_ROUNDS)]
        breaches = session.breaches()
    total_us = statistics.median(cost.total_us for cost in costs)
    figures = {
        "request_cpu_us": total_us,
        "ingress_cpu_us": statistics.median(c.ingress_us for c in costs),
        "gate_cpu_us": statistics.median(c.gate_us for c in costs),
        "requests_per_core_s": _US_PER_S / total_us,
    }
    return measurement.Measurement(
        name="cost",
        definition=_DEFINITION,
        figures=figures | breaches,
        table=_table(costs),
    )


def _load(duration_s: float) -> traffic.Load:
    return traffic.Load(
        services=["salio=/salio/{key},key=X-Account"],
        rate=_RATE_PER_S,
        duration_s=duration_s,
        deadline_ms=_DEADLINE_MS,
        post_share=_POST_SHARE,
    )


def _idle_shares(
    ingress: fleet_lib.Node, gate: fleet_lib.Node
) -> tuple[float, float]:
    """Returns the share of a core that each daemon uses without load."""
    before = (_cpu_s(ingress), _cpu_s(gate))
    time.sleep(_IDLE_S)
    after = (_cpu_s(ingress), _cpu_s(gate))
    return (
        (after[0] - before[0]) / _IDLE_S,
        (after[1] - before[1]) / _IDLE_S,
    )


def _round(
    session: traffic.Session,
    ingress: fleet_lib.Node,
    gate: fleet_lib.Node,
    idle: tuple[float, float],
) -> _Cost:
    started_s = time.monotonic()
    before = (_cpu_s(ingress), _cpu_s(gate))
    report = session.start(_load(_ROUND_S), [ingress]).finish()
    after = (_cpu_s(ingress), _cpu_s(gate))
    elapsed_s = time.monotonic() - started_s
    used_us = (
        (now - then - share * elapsed_s) * _US_PER_S
        for now, then, share in zip(after, before, idle, strict=True)
    )
    return _Cost(*(us / report.total for us in used_us))


def _cpu_s(node: fleet_lib.Node) -> float:
    assert node.daemon is not None
    times = psutil.Process(node.daemon.pid).cpu_times()
    return float(times.user + times.system)


def _table(costs: list[_Cost]) -> tuple[tuple[str, ...], ...]:
    rows = [
        (str(number), f"{c.ingress_us:.0f}", f"{c.gate_us:.0f}")
        for number, c in enumerate(costs, 1)
    ]
    load = ("load average", traffic.load_average(), "")
    return (("round", "ingress us", "gate us"), *rows, load)
