"""Demo: a deployment on one machine, with a VM loss and a zone stop."""

from concurrent import futures
import pathlib
import sys
import tempfile
import time

from bench import checker
from bench import collector as collector_lib
from bench import deployments
from bench import fleet as fleet_lib
from bench import intervals
from bench import results
from mustardloom.standins import caller as caller_lib

__all__ = ["main"]

_CALLER_RATE_PER_S = 150.0
_DURATION_S = 40.0
_DEADLINE_MS = 2_000
_POST_SHARE = 0.25
_RESENDS = 3
# Times of the script, in seconds after the start of the callers.
_KILL_AT_S = 6.0
_STOP_ZONE_AT_S = 14.0
_START_ZONE_AT_S = 24.0
_SERVED_AGAIN_TIMEOUT_S = 10.0
_NS_PER_MS = 1_000_000
_MS_PER_S = 1_000


def main() -> None:
    """Runs the demo; exits with 1 if an invariant was violated."""
    name = sys.argv[1] if len(sys.argv) > 1 else "kibanda"
    deployment = deployments.BY_NAME.get(name)
    if deployment is None:
        known = ", ".join(deployments.BY_NAME)
        sys.exit(f"no example {name!r}; there are: {known}")
    with tempfile.TemporaryDirectory() as directory:
        sys.exit(_Demo(deployment, pathlib.Path(directory)).run())


class _Demo:
    """One run of the demo."""

    def __init__(
        self, deployment: deployments.Deployment, directory: pathlib.Path
    ):
        self._deployment = deployment
        self._directory = directory
        self._fleet = fleet_lib.Fleet(deployment)
        self._served_again_s = -1.0
        self._zone = f"{deployment.regions[0]}-2"
        self._killed_node = self._fleet.by_vm[
            f"{deployment.services[0]}-{deployment.regions[1]}-1"
        ]
        self._started_s = 0.0

    def run(self) -> int:
        """Runs the demo; returns 0, or 1 if an invariant was violated."""
        with self._fleet:
            self._print_progress("starting platform, daemons and targets")
            self._fleet.start()
            self._print_progress("every slot has an owner")
            with collector_lib.RunCollector(self._fleet) as collector:
                reports = self._run_callers(collector)
                evidence = checker.Evidence(
                    collector.runs(),
                    [
                        line
                        for path in sorted(self._directory.glob("*.log"))
                        for line in checker.read_log(path)
                    ],
                )
        return self._report(results.Combined(reports), evidence)

    def _run_callers(
        self, collector: collector_lib.RunCollector
    ) -> list[caller_lib.Report]:
        self._started_s = time.monotonic()
        callers = [
            self._fleet.caller(region, self._caller_arguments(region, seed))
            for seed, region in enumerate(self._deployment.regions)
        ]
        with futures.ThreadPoolExecutor(1) as executor:
            script = executor.submit(self._script, collector)
            reports = [results.finish(caller) for caller in callers]
            script.result()
        return reports

    def _script(self, collector: collector_lib.RunCollector) -> None:
        self._wait_until(_KILL_AT_S)
        collector.collect(self._killed_node)
        slots = intervals.open_slots(self._killed_node)
        self._print_progress(
            f"killing VM {self._killed_node.vm}, owner of {len(slots)} slots"
        )
        killed_wall_ms = time.time_ns() // _NS_PER_MS
        self._fleet.kill(self._killed_node)
        others = [n for n in self._fleet.nodes if n is not self._killed_node]
        served_ms = intervals.wait_served_again(
            self._fleet, others, slots, killed_wall_ms, _SERVED_AGAIN_TIMEOUT_S
        )
        self._served_again_s = max(served_ms.values()) / _MS_PER_S
        self._print_progress(
            f"its slots are served again ({self._served_again_s:.2f} s)"
        )
        self._wait_until(_STOP_ZONE_AT_S)
        self._print_progress(f"taking availability zone {self._zone} out")
        self._fleet.ctl(["do", f"stop availability-zone {self._zone}"])
        self._wait_until(_START_ZONE_AT_S)
        self._print_progress(f"bringing availability zone {self._zone} back")
        self._fleet.ctl(["do", f"start availability-zone {self._zone}"])

    def _caller_arguments(self, region: str, seed: int) -> list[str]:
        ingresses = [
            node.caller_address
            for node in self._fleet.nodes
            if node.placement.region == region and node is not self._killed_node
        ]
        arguments = [
            f"--rate={_CALLER_RATE_PER_S}",
            f"--duration-s={_DURATION_S}",
            "--count=1000000",
            f"--post-share={_POST_SHARE}",
            f"--resends={_RESENDS}",
            f"--deadline-ms={_DEADLINE_MS}",
            "--hot-change-s=10",
            f"--seed={seed + 1}",
            f"--log={self._directory / region}.log",
        ]
        arguments.extend(f"--ingress={address}" for address in ingresses)
        arguments.extend(
            f"--service={item}" for item in self._deployment.caller_mix
        )
        return arguments

    def _report(
        self, combined: results.Combined, evidence: checker.Evidence
    ) -> int:
        check_result = checker.check(evidence)
        rows: list[tuple[object, ...]] = [
            ("service", "kind", "answered", "median ms", "99th ms", "99.9th ms")
        ]
        rows.extend(
            (r.service, r.kind, r.answered, r.p50_ms, r.p99_ms, r.p999_ms)
            for r in combined.rows()
        )
        print()
        results.print_table(rows)
        print()
        counts = combined.counts
        results.print_table(
            [
                ("what", "value"),
                ("answered", counts.get("answered", 0)),
                ("refused (not run)", counts.get("refused", 0)),
                ("unknown", counts.get("unknown", 0)),
                ("run twice", check_result.double_runs),
                ("refused but run", check_result.false_not_run),
                ("two owners", check_result.double_owner),
                ("outside home regions", check_result.region_breaches),
                ("answers swapped", check_result.crossed),
                ("killed keys served again", f"{self._served_again_s:.2f} s"),
            ]
        )
        for reason, count in sorted(combined.reasons.items()):
            print(f"  {reason}: {count}")
        if check_result.is_clean() and self._served_again_s >= 0:
            print("\nno invariant was broken")
            return 0
        print("\nan invariant was broken")
        return 1

    def _wait_until(self, at_s: float) -> None:
        time.sleep(max(0.0, self._started_s + at_s - time.monotonic()))

    def _print_progress(self, text: str) -> None:
        at = ""
        if self._started_s:
            at = f"{time.monotonic() - self._started_s:5.1f} s "
        print(f"{at}{text}", flush=True)


if __name__ == "__main__":
    main()
