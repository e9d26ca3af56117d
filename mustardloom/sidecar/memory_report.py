"""What a daemon reports of its memory, in its log and on its metrics page."""

import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import memory_budget
from mustardloom import process_memory
from mustardloom.sidecar import events

__all__ = ["MemoryReport", "MemorySteps"]

_INTERVAL_MS = 500
_BYTES_PER_MB = 1 << 20
# Shares of the limit of memory at which a line is logged.
_STEPS = (0.5, 0.75, 0.9)


class MemorySteps:
    """Decides when the use of memory is logged.

    Each step is told once, and again after the use has been below the first.

    Example:
      >>> steps = MemorySteps(limit_bytes=100)
      >>> [steps.reaches_next(used) for used in (40, 55, 60, 80, 30, 55)]
      [False, True, False, True, False, True]
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._told = 0

    def reaches_next(self, used_bytes: int) -> bool:
        """Returns whether another step was reached."""
        share = used_bytes / self._limit_bytes
        reached = sum(share >= step for step in _STEPS)
        if not reached:
            self._told = 0
        is_next = reached > self._told
        self._told = max(self._told, reached)
        return is_next


class MemoryReport:
    """Reports the memory of this process.

    Args:
      budget: Account of the bytes that the process holds for others.
      limit_mb: Limit of memory of the process.
      log: Where steps of the use of memory are written.
      clock: Source of time.
    """

    def __init__(
        self,
        budget: memory_budget.MemoryBudget,
        limit_mb: int,
        log: events.EventLog,
        clock: clock_lib.Clock,
    ):
        self._budget = budget
        self._limit_mb = limit_mb
        self._log = log
        self._clock = clock
        self._steps = MemorySteps(max(1, limit_mb) * _BYTES_PER_MB)

    def at_start(self) -> dict[str, str | int]:
        """Returns what the log tells when the process starts."""
        return {
            "sources": process_memory.sources_digest(),
            **process_memory.environment(),
            "memory_limit_mb": self._limit_mb,
            "held_capacity_bytes": self._budget.capacity_bytes,
        }

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics page by name."""
        memory = process_memory.read()
        return {
            "memory_limit_bytes": self._limit_mb * _BYTES_PER_MB,
            **{
                f"memory_{name}": value
                for name, value in dataclasses.asdict(memory).items()
            },
            **self._held(),
        }

    async def watch(self) -> None:
        """Logs when the use of memory comes near the limit, until cancelled."""
        while True:
            await self._clock.tick_ms(_INTERVAL_MS)
            if self._steps.reaches_next(process_memory.resident_bytes()):
                memory = process_memory.read()
                self._log.write(
                    events.Event.MEMORY_HIGH,
                    memory_limit_mb=self._limit_mb,
                    **dataclasses.asdict(memory),
                    **self._held(),
                )

    def _held(self) -> dict[str, float]:
        budget = self._budget
        return {
            "held_bytes": budget.held_bytes,
            "held_peak_bytes": budget.peak_bytes,
            "held_refusals": budget.refused,
            **{
                f"held_{kind.value}_bytes": budget.held_by_kind[kind]
                for kind in memory_budget.HoldKind
            },
            **{
                f"held_{kind.value}_evictions": budget.evicted_by_kind[kind]
                for kind in memory_budget.EVICTED_KINDS
            },
        }
