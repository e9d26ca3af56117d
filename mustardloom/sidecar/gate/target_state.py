"""What the gate knows of the local target, and whether it is open."""

import dataclasses
import enum

from mustardloom.deployment import targets
from mustardloom.sidecar import work
from mustardloom.sidecar.gate import timing

__all__ = ["Reachability", "TargetState"]


class Reachability(enum.Enum):
    """Whether the target can be reached.

    A DOWN target refuses connections, so its process has ended. A SILENT one
    sends no heartbeats or answers, but may still run and hold keys.
    """

    UNKNOWN = "unknown"
    UP = "up"
    SILENT = "silent"
    DOWN = "down"


@dataclasses.dataclass(slots=True)
class TargetState:
    """State of the local target.

    Attributes:
      instance: Current instance, None before its first heartbeat.
      reachability: Whether it can be reached.
      admission_ends_ms: Local time from which it gets no more requests, None if
        there is no such time.
      statement: What it states in its responses, up to small changes of the
        limit; None before the first response.
      is_evacuated: Whether its availability zone is evacuated.
    """

    instance: targets.TargetInstance | None = None
    reachability: Reachability = Reachability.UNKNOWN
    admission_ends_ms: int | None = None
    statement: targets.Statement | None = None
    is_evacuated: bool = False

    def start_instance(self, instance: targets.TargetInstance) -> None:
        """Adopts a new instance and forgets what the earlier one stated."""
        self.instance = instance
        self.admission_ends_ms = None
        self.statement = None

    def end_admission_at(self, when_ms: int) -> None:
        """Ends admission at a local time, unless it ends earlier already."""
        if self.admission_ends_ms is None or when_ms < self.admission_ends_ms:
            self.admission_ends_ms = when_ms

    def is_open(self, now_ms: int) -> bool:
        """Returns whether it is reachable, not leaving and not evacuated."""
        return (
            self.reachability is Reachability.UP
            and not self.is_evacuated
            and not self._has_admission_ended(now_ms)
        )

    def refusal(self, now_ms: int) -> work.Refused | None:
        """Returns why it must not get a request now, None if it may."""
        reasons = work.RefusalReason
        if self.instance is None or self.reachability is not Reachability.UP:
            return work.Refused(reasons.TARGET_DOWN, timing.RETRY_AFTER_MS)
        if self._has_admission_ended(now_ms):
            return work.Refused(reasons.LEAVING, timing.RETRY_AFTER_MS)
        if self.is_evacuated:
            return work.Refused(reasons.EVACUATED, timing.RETRY_AFTER_MS)
        return None

    def _has_admission_ended(self, now_ms: int) -> bool:
        ends_ms = self.admission_ends_ms
        return ends_ms is not None and now_ms >= ends_ms
