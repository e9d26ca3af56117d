"""Runs callers in all regions while a script operates the fleet."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import dataclasses
import pathlib
import tempfile
import time

from bench import checker
from bench import fleet as fleet_lib
from bench import results
from mustardloom.standins import caller as caller_lib

__all__ = [
    "REGION_BOUND_SERVICE",
    "Load",
    "LoadResult",
    "Script",
    "run",
    "script_clock",
]

# Name under which callers report requests that are bound to regions.
REGION_BOUND_SERVICE = "bound"

_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What the callers of all regions send together.

    Attributes:
      rate: Requests per second of all callers.
      duration_s: Time in which requests start.
      post_share: Share of non-idempotent requests.
      resends: How often a refused or unknown request is sent again.
      deadline_ms: Deadline of each request.
      bound_traffic: Traffic bound to regions, as the value of the caller's
        `--service`; sent by callers in `bound_regions`. Empty for none.
      bound_regions: Regions to which it is bound.
      seed: Seed of the first caller; each further caller adds 1.
    """

    rate: float
    duration_s: float
    post_share: float = 0.0
    resends: int = 0
    deadline_ms: int = 2_000
    bound_traffic: str = ""
    bound_regions: frozenset[str] = frozenset()
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Reports and request logs of the callers."""

    combined: results.Combined
    log: list[caller_lib.RequestLog]

    def unanswered(self) -> int:
        """Returns the number of requests that were refused or unknown."""
        return self.combined.total - self.combined.counts.get("answered", 0)

    def latency_ms(self, percentile: float) -> float:
        """Returns a percentile of the latency of answered requests."""
        return self.combined.percentile_ms(percentile)

    def bound_ids(self, load: Load) -> dict[str, frozenset[str]]:
        """Returns the permitted regions by id of each region-bound request."""
        return {
            line.id: load.bound_regions
            for line in self.log
            if line.service == REGION_BOUND_SERVICE and line.id
        }


# Receives a function that waits until a number of seconds after the start.
Script = Callable[[Callable[[float], None]], None]


def script_clock() -> Callable[[float], None]:
    """Returns a function that waits until some seconds after this call."""
    start_s = time.monotonic()

    def wait_until(at_s: float) -> None:
        time.sleep(max(0.0, start_s + at_s - time.monotonic()))

    return wait_until


def run(
    fleet: fleet_lib.Fleet,
    load: Load,
    script: Script | None = None,
    excluded: fleet_lib.Node | None = None,
) -> LoadResult:
    """Sends load and runs the script at the same time.

    Args:
      fleet: Settled fleet.
      load: What to send.
      script: Operations on the fleet during the load; none by default.
      excluded: Node to whose ingress no caller sends.
    """
    with tempfile.TemporaryDirectory() as directory:
        logs = pathlib.Path(directory)
        processes = [
            fleet.caller(region, _arguments(fleet, load, index, logs, excluded))
            for index, region in enumerate(fleet.deployment.regions)
        ]
        wait_until = script_clock()
        with futures.ThreadPoolExecutor(1) as executor:
            done = executor.submit(script or _no_script, wait_until)
            reports = [results.finish(process) for process in processes]
            done.result()
        lines = [
            line
            for path in sorted(logs.glob("*.log"))
            for line in checker.read_log(path)
        ]
    return LoadResult(results.Combined(reports), lines)


def _no_script(wait_until: Callable[[float], None]) -> None:
    del wait_until


def _arguments(
    fleet: fleet_lib.Fleet,
    load: Load,
    index: int,
    logs: pathlib.Path,
    excluded: fleet_lib.Node | None,
) -> list[str]:
    region = fleet.deployment.regions[index]
    rate = load.rate / len(fleet.deployment.regions)
    ingresses = (
        node.caller_address
        for node in fleet.nodes
        if node.placement.region == region and node is not excluded
    )
    return [
        f"--rate={rate}",
        f"--duration-s={load.duration_s}",
        "--count=10000000",
        f"--post-share={load.post_share}",
        f"--resends={load.resends}",
        f"--deadline-ms={load.deadline_ms}",
        # Uniform keys: a hot key would overload its owner at 60 % load.
        "--zipf-exponent=0",
        f"--seed={load.seed + index}",
        f"--log={logs / region}.log",
        *(f"--ingress={address}" for address in ingresses),
        *(f"--service={item}" for item in _mix(fleet, load, region)),
    ]


def _mix(fleet: fleet_lib.Fleet, load: Load, region: str) -> Iterator[str]:
    yield from fleet.deployment.caller_mix
    if load.bound_traffic and region in load.bound_regions:
        yield f"{REGION_BOUND_SERVICE}={load.bound_traffic}"
