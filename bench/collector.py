"""Collects the records of the targets' runs during a scenario."""

import http.client
import threading
import urllib.error
import urllib.request

import msgspec

from bench import checker
from bench import fleet as fleet_lib
from mustardloom.standins import runs as runs_lib

__all__ = ["RunCollector"]

_INTERVAL_S = 0.5
_TIMEOUT_S = 1.0


class RunCollector:
    """Polls all targets, since a killed target loses its records.

    Use as a context manager. Call `collect` just before killing a target to
    read its latest runs.
    """

    def __init__(self, fleet: fleet_lib.Fleet):
        self._fleet = fleet
        self._run_by_id: dict[tuple[str, str, int], checker.TargetRun] = {}
        self._last_number: dict[tuple[str, str], int] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._poll, daemon=True)

    def __enter__(self) -> "RunCollector":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    def collect(self, node: fleet_lib.Node) -> None:
        """Reads the new runs of one target; none if it does not answer."""
        with self._lock:
            while self._fetch_page(node):
                pass

    def runs(self) -> list[checker.TargetRun]:
        """Reads each target once more and returns all runs."""
        for node in self._fleet.nodes:
            self.collect(node)
        return list(self._run_by_id.values())

    def _poll(self) -> None:
        while not self._stop.wait(_INTERVAL_S):
            for node in self._fleet.nodes:
                self.collect(node)

    def _fetch_page(self, node: fleet_lib.Node) -> bool:
        """Reads the next page of runs; returns whether there may be more."""
        process = (node.vm, str(node.target.pid if node.target else ""))
        after = self._last_number.get(process, 0)
        url = f"{node.target_url}/_target/runs?after={after}"
        try:
            with urllib.request.urlopen(url, timeout=_TIMEOUT_S) as answer:
                page = msgspec.json.decode(answer.read(), type=runs_lib.RunPage)
        except (
            urllib.error.URLError,
            OSError,
            http.client.HTTPException,
            msgspec.DecodeError,
        ):
            return False
        for run in page.runs:
            target_run = checker.TargetRun(node.vm, run)
            self._run_by_id[(*process, run.number)] = target_run
            self._last_number[process] = run.number
        return bool(page.runs)
