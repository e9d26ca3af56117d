"""Counts the requests that this daemon ended itself, by step of its stop.

An operator asks after a stop which requests the daemon answered in place of a
target, which runs it ended before their targets had answered, and why the
connections of callers ended.
"""

import enum

from mustardloom import metrics as metrics_lib
from mustardloom.http1 import connection_end
from mustardloom.load_control import stop_admission

__all__ = ["RequestEnds", "RunEnd"]

_PREFIX = "ends."


class RunEnd(enum.Enum):
    """Why a run at the target was ended before its answer.

    Attributes:
      DEADLINE: Its deadline has passed.
      NOT_AWAITED: Nobody waits for it: the caller has left, has its answer or
        is answered otherwise, or the link to its daemon was lost.
      UPLOAD_STALLED: The rest of its body did not come.
    """

    DEADLINE = "deadline"
    NOT_AWAITED = "not-awaited"
    UPLOAD_STALLED = "upload-stalled"


class RequestEnds:
    """Counts what this daemon ended; the names of the counters tell the step.

    Args:
      metrics: Keeps the counters.
      stop: Knows the step of the stop.

    Example:
      >>> from mustardloom import clock
      >>> metrics = metrics_lib.Metrics()
      >>> stop = stop_admission.StopAdmission(clock.FakeClock())
      >>> RequestEnds(metrics, stop).count_answer(504, True)
      >>> list(metrics.counters)
      ['ends.answer.504.passed-on.serving']
    """

    def __init__(
        self, metrics: metrics_lib.Metrics, stop: stop_admission.StopAdmission
    ):
        self._metrics = metrics
        self._stop = stop

    @property
    def step(self) -> stop_admission.Step:
        """Returns what this daemon does at present."""
        return self._stop.step

    def count_answer(self, status: int, was_passed_on: bool) -> None:
        """Counts an answer that this daemon made itself.

        Args:
          status: Its status.
          was_passed_on: Whether a gate had the request and has not refused it.
        """
        progress = "passed-on" if was_passed_on else "not-passed-on"
        self._count(f"answer.{status}.{progress}")

    def count_run(self, end: RunEnd) -> None:
        """Counts a run at the local target that ended without an answer."""
        self._count(f"run.{end.value}")

    def count_connection(
        self, reason: connection_end.EndReason, open_requests: int
    ) -> None:
        """Counts a connection of a caller that ended.

        Args:
          reason: Why it ended.
          open_requests: Requests that were read and not answered whole.
        """
        progress = "request-open" if open_requests else "no-request"
        self._count(f"connection.{reason.value}.{progress}")

    def in_stop(self) -> dict[str, int]:
        """Returns what was counted since the stop began, without `ends.`."""
        serving = f".{stop_admission.Step.SERVING.value}"
        return {
            name.removeprefix(_PREFIX): count
            for name, count in self._metrics.counters.items()
            if name.startswith(_PREFIX) and not name.endswith(serving)
        }

    def _count(self, name: str) -> None:
        self._metrics.increment(f"{_PREFIX}{name}.{self.step.value}")
