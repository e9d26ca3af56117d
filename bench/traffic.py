"""Runs callers on a fleet and keeps their logs for the checker."""

from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import dataclasses
import os
import pathlib
import subprocess
import tempfile

from bench import checker
from bench import collector as collector_lib
from bench import fleet as fleet_lib
from bench import results
from mustardloom.standins import caller as caller_lib
from mustardloom.standins import runs as runs_lib

__all__ = ["Load", "RunningLoad", "Session", "capacity_per_s", "load_average"]

_MS_PER_S = 1_000
_UNBOUNDED_COUNT = "10000000"


def capacity_per_s(fleet: fleet_lib.Fleet, service: str) -> float:
    """Returns the nominal capacity of a service in requests per second."""
    targets = sum(node.placement.service == service for node in fleet.nodes)
    deployment = fleet.deployment
    concurrency = targets * deployment.capacity
    return concurrency * _MS_PER_S / deployment.service_ms


def load_average() -> str:
    """Returns the machine's load average over one minute, as text."""
    return f"{os.getloadavg()[0]:.1f}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Requests that the callers of one phase send together.

    Attributes:
      services: Arguments of the request mix, see `mustardloom-caller`.
      rate: Requests per second of all callers together.
      duration_s: How long they send.
      deadline_ms: Deadline of each request.
      post_share: Share of non-idempotent requests.
      extra_arguments: Further arguments of each caller.
    """

    services: Sequence[str]
    rate: float
    duration_s: float
    deadline_ms: int
    post_share: float = 0.0
    extra_arguments: Sequence[str] = ()


class RunningLoad:
    """Callers that are running.

    Attributes:
      processes: Processes of the callers.
      log_paths: Paths of their request logs.
    """

    def __init__(self) -> None:
        self.processes: list[subprocess.Popen[bytes]] = []
        self.log_paths: list[pathlib.Path] = []

    def finish(self) -> results.Combined:
        """Waits until the callers exit and returns their combined reports."""
        return results.Combined(map(results.finish, self.processes))

    def log(self) -> list[caller_lib.RequestLog]:
        """Returns the outcome of each request; call `finish` first."""
        return [
            line for path in self.log_paths for line in checker.read_log(path)
        ]


class Session:
    """Runs callers on a fleet and collects the evidence for the checker.

    Use as a context manager.
    """

    def __init__(self, fleet: fleet_lib.Fleet):
        self._fleet = fleet
        self._collector = collector_lib.RunCollector(fleet)
        self._running_loads: list[RunningLoad] = []
        self._stack = contextlib.ExitStack()
        self._directory = pathlib.Path()
        self._seeds = iter(range(1, 1_000))

    def __enter__(self) -> "Session":
        name = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._directory = pathlib.Path(name)
        self._stack.enter_context(self._collector)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def start(
        self, load: Load, ingresses: Iterable[fleet_lib.Node] = ()
    ) -> RunningLoad:
        """Starts one caller per region of the ingresses.

        Args:
          load: What they send together.
          ingresses: Nodes that they send to; all nodes by default.
        """
        by_region: dict[str, list[str]] = {}
        for node in ingresses or self._fleet.nodes:
            addresses = by_region.setdefault(node.placement.region, [])
            addresses.append(node.caller_address)
        running = RunningLoad()
        for addresses in by_region.values():
            self._add_caller(
                running, load, addresses, load.rate / len(by_region)
            )
        self._running_loads.append(running)
        return running

    def start_direct(self, load: Load, addresses: list[str]) -> RunningLoad:
        """Starts one caller that sends to targets directly, in round robin.

        Its log is no evidence for the checker: no router handles the requests.
        """
        direct = dataclasses.replace(
            load, extra_arguments=("--direct", *load.extra_arguments)
        )
        running = RunningLoad()
        self._add_caller(running, direct, addresses, load.rate)
        return running

    def run(self, load: Load) -> results.Combined:
        """Runs a load on all ingresses to its end."""
        return self.start(load).finish()

    def collect(self, node: fleet_lib.Node) -> None:
        """Reads the runs of a target; call this just before killing it."""
        self._collector.collect(node)

    def runs(self) -> list[checker.TargetRun]:
        """Returns all runs of the targets so far."""
        return self._collector.runs()

    def crashes(self) -> int:
        """Returns the number of target instances that recorded a crash."""
        crashed = (
            (target_run.target, target_run.run.instance)
            for target_run in self.runs()
            if target_run.run.outcome is runs_lib.RunOutcome.CRASHED
        )
        return len(set(crashed))

    def counter(self, name: str) -> int:
        """Returns the sum of one counter over all daemons that answer."""
        statuses = map(self._fleet.status, self._fleet.nodes)
        return sum(s["counters"].get(name, 0) for s in statuses if s)

    def breaches(self) -> dict[str, float]:
        """Returns the breaches of each invariant except `double_owner`."""
        log = [
            line for running in self._running_loads for line in running.log()
        ]
        check_result = checker.check(checker.Evidence(self.runs(), log))
        return {
            "double_runs": check_result.double_runs,
            "false_not_run": check_result.false_not_run,
            "region_breaches": check_result.region_breaches,
            "crossed": check_result.crossed,
        }

    def _add_caller(
        self,
        running: RunningLoad,
        load: Load,
        addresses: list[str],
        rate: float,
    ) -> None:
        seed = next(self._seeds)
        path = self._directory / f"{seed}.log"
        arguments = [
            f"--rate={rate}",
            f"--duration-s={load.duration_s}",
            f"--count={_UNBOUNDED_COUNT}",
            f"--post-share={load.post_share}",
            f"--deadline-ms={load.deadline_ms}",
            f"--seed={seed}",
            f"--log={path}",
            *(f"--ingress={address}" for address in addresses),
            *(f"--service={item}" for item in load.services),
            *load.extra_arguments,
        ]
        running.processes.append(self._fleet.caller(str(seed), arguments))
        running.log_paths.append(path)
