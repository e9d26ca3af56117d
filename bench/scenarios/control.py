"""Measures the control cost of each daemon in a fleet without load."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import pathlib
import statistics
import tempfile
import time
from typing import Any

import psutil

from bench import deployments
from bench import fleet as fleet_lib
from bench import measurement

__all__ = ["run"]

_SIZES = (20, 60, 120)
_SETTLE_TIMEOUT_S = 90.0
_QUIET_S = 4.0
_WINDOW_S = 10.0
_LOSS_WINDOW_S = 6.0
_APPLY_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02
_POLL_THREADS = 16
_BYTES_PER_MB = 1_000_000
_BYTE_COUNTERS = (
    "membership.bytes_sent",
    "membership.bytes_received",
    "peer.bytes_sent",
    "peer.bytes_received",
)
_DEFINITION = (
    f"Kibanda example with {', '.join(map(str, _SIZES))} daemons on loopback, "
    "no requests; one process answers for all targets. Processor time, memory "
    "and bytes are means per daemon over a window of "
    f"{_WINDOW_S:g} s after the fleet settled; bytes are those of datagrams "
    "and peer streams, sent and received, without headers of the transport. "
    "Store calls are those of the whole fleet. Loss: all daemons of one zone "
    f"are killed, and calls are counted for {_LOSS_WINDOW_S:g} s. "
    "Configuration: from the end of `mustardloomctl apply` to the first answer "
    "of the last daemon that reports the new version. Figures without a size "
    f"are those at {_SIZES[-1]} daemons; slopes are per added daemon."
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """Measurements of a fleet of one size.

    Processor time, memory and bytes are means over the daemons, or maxima
    (`worst`); store calls and `start_updates` are those of the whole fleet.
    """

    daemons: int
    settled_s: float
    start_updates: int
    cpu_share: float
    cpu_worst: float
    rss_mb: float
    rss_worst_mb: float
    bytes_per_s: float
    bytes_worst: float
    calls_per_s: float
    loss_calls_per_s: float
    config_s: float

    def row(self) -> tuple[str, ...]:
        """Returns the row of the table."""
        return (
            str(self.daemons),
            f"{self.settled_s:.1f}",
            str(self.start_updates),
            f"{self.cpu_share:.4f}",
            f"{self.cpu_worst:.4f}",
            f"{self.rss_mb:.1f}",
            f"{self.rss_worst_mb:.1f}",
            f"{self.bytes_per_s:.0f}",
            f"{self.bytes_worst:.0f}",
            f"{self.calls_per_s:.1f}",
            f"{self.loss_calls_per_s:.1f}",
            f"{self.config_s:.2f}",
        )


def run() -> measurement.Measurement:
    """Measures fleets of several sizes; returns costs and their slopes."""
    samples = [_measure(size) for size in _SIZES]
    last = samples[-1]
    return measurement.Measurement(
        name="control",
        definition=_DEFINITION,
        figures={
            "control_cpu_share_of_core": last.cpu_share,
            "control_cpu_slope_per_daemon": _slope(
                samples, lambda s: s.cpu_share
            ),
            "control_rss_mb": last.rss_mb,
            "control_rss_slope_mb_per_daemon": _slope(
                samples, lambda s: s.rss_mb
            ),
            "control_bytes_per_s": last.bytes_per_s,
            "control_bytes_slope_per_daemon": _slope(
                samples, lambda s: s.bytes_per_s
            ),
            "control_store_calls_per_s": last.calls_per_s,
            "control_store_calls_az_lost_per_s": last.loss_calls_per_s,
            "config_in_force_120_daemons_s": last.config_s,
        },
        table=(
            (
                "daemons",
                "settled s",
                "writes at start",
                "core share",
                "worst",
                "MB",
                "worst",
                "B/s",
                "worst",
                "store calls/s",
                "zone lost",
                "config s",
            ),
            *(sample.row() for sample in samples),
        ),
    )


def _measure(size: int) -> _Sample:
    deployment = deployments.BY_NAME["kibanda"]
    placements = deployments.placements(deployment, size)
    with fleet_lib.Fleet(deployment, placements) as fleet:
        start_s = time.monotonic()
        fleet.start_with_idle_targets(_SETTLE_TIMEOUT_S)
        settled_s = time.monotonic() - start_s
        start_updates = fleet.platform_calls().get("update", 0)
        time.sleep(_QUIET_S)
        cpu, transferred, calls = _window(fleet)
        rss = [process.memory_info().rss for process in _processes(fleet)]
        config_s = _apply_configuration(fleet)
        loss_calls = _kill_zone(fleet)
    return _Sample(
        daemons=size,
        settled_s=settled_s,
        start_updates=start_updates,
        cpu_share=statistics.mean(cpu) / _WINDOW_S,
        cpu_worst=max(cpu) / _WINDOW_S,
        rss_mb=statistics.mean(rss) / _BYTES_PER_MB,
        rss_worst_mb=max(rss) / _BYTES_PER_MB,
        bytes_per_s=statistics.mean(transferred) / _WINDOW_S,
        bytes_worst=max(transferred) / _WINDOW_S,
        calls_per_s=calls / _WINDOW_S,
        loss_calls_per_s=loss_calls / _LOSS_WINDOW_S,
        config_s=config_s,
    )


def _window(fleet: fleet_lib.Fleet) -> tuple[list[float], list[int], int]:
    """Returns processor seconds and bytes by daemon, and store calls."""
    processes = _processes(fleet)
    bytes_before = _bytes(fleet)
    calls_before = sum(fleet.platform_calls().values())
    # Reading the status costs the daemons processor time, so it is done outside
    # of the window.
    cpu_before = [_cpu_s(process) for process in processes]
    time.sleep(_WINDOW_S)
    cpu = [
        _cpu_s(process) - before
        for process, before in zip(processes, cpu_before, strict=True)
    ]
    calls = sum(fleet.platform_calls().values()) - calls_before
    transferred = [
        after - before
        for after, before in zip(_bytes(fleet), bytes_before, strict=True)
    ]
    return cpu, transferred, calls


def _kill_zone(fleet: fleet_lib.Fleet) -> int:
    """Kills the VMs of a zone; returns the store calls of the next seconds."""
    zone = f"{fleet.deployment.regions[0]}-2"
    before = sum(fleet.platform_calls().values())
    for node in fleet.nodes:
        if node.placement.zone == zone:
            fleet.kill(node)
    time.sleep(_LOSS_WINDOW_S)
    return sum(fleet.platform_calls().values()) - before


def _apply_configuration(fleet: fleet_lib.Fleet) -> float:
    """Applies a change; returns the seconds until all daemons have it."""
    text = fleet.deployment.declarations.read_text(encoding="utf-8")
    changed = text.replace("    capacity: 6", "    capacity: 7", 1)
    name = fleet.deployment.name
    before = max(_versions(fleet, name))
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / f"{name}.yaml"
        path.write_text(changed, encoding="utf-8")
        fleet.ctl(["apply", str(path)])
    start_s = time.monotonic()

    def wait(node: fleet_lib.Node) -> float:
        while time.monotonic() - start_s < _APPLY_TIMEOUT_S:
            status = fleet.status(node)
            if status and status["config_versions"].get(name, 0) > before:
                return time.monotonic() - start_s
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"{node.vm} did not adopt the new configuration")

    with futures.ThreadPoolExecutor(_POLL_THREADS) as executor:
        return max(executor.map(wait, fleet.nodes))


def _versions(fleet: fleet_lib.Fleet, name: str) -> list[int]:
    return [s["config_versions"].get(name, 0) for s in _statuses(fleet)]


def _bytes(fleet: fleet_lib.Fleet) -> list[int]:
    return [
        sum(status["counters"].get(name, 0) for name in _BYTE_COUNTERS)
        for status in _statuses(fleet)
    ]


def _statuses(fleet: fleet_lib.Fleet) -> list[dict[str, Any]]:
    with futures.ThreadPoolExecutor(_POLL_THREADS) as executor:
        found = list(executor.map(fleet.status, fleet.nodes))
    return [status for status in found if status is not None]


def _processes(fleet: fleet_lib.Fleet) -> list[psutil.Process]:
    return [
        psutil.Process(node.daemon.pid)
        for node in fleet.nodes
        if node.daemon is not None
    ]


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _slope(samples: list[_Sample], value: Callable[[_Sample], float]) -> float:
    """Returns the least-squares slope of a value over the fleet sizes."""
    sizes = [float(sample.daemons) for sample in samples]
    values = [value(sample) for sample in samples]
    return statistics.linear_regression(sizes, values).slope
