"""How much of a target more urgent requests take.

Load pattern: a service has requests of several priorities, and calls of running
requests, and more arrive than it can finish. A less urgent request is overtaken
by each more urgent one that arrives while it waits, so the queue ahead of it at
its arrival tells too little: it waits until its deadline is near and is refused
only then. Its expected wait is that of the queue, divided by the share of the
target that more urgent requests leave.
"""

import dataclasses
import math

__all__ = ["Rank", "UrgentLoad"]

# Admitted work counts for about this long.
_WINDOW_MS = 1_000.0
# A small part of the target is left to every rank, as loads vary.
_MAX_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Urgency of a request; the lowest rank is the most urgent one.

    Attributes:
      is_not_call: Whether no running request waits for the answer.
      priority: Priority, where 0 is the most urgent.
    """

    is_not_call: bool
    priority: int


@dataclasses.dataclass(slots=True)
class _Work:
    """Work of one rank, decayed to the time of its last admission."""

    total_ms: float = 0.0
    updated_ms: float = 0.0

    def at(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self.updated_ms)
        return self.total_ms * math.exp(-age_ms / _WINDOW_MS)


class UrgentLoad:
    """Admitted work of one target by rank.

    Example:
      >>> load = UrgentLoad()
      >>> urgent, other = Rank(True, 0), Rank(True, 1)
      >>> for now_ms in range(0, 5_000, 100):
      ...     load.record(urgent, 100.0, now_ms)
      >>> round(load.share_above(other, 4_950, limit=2), 1)
      0.5
      >>> load.share_above(urgent, 4_950, limit=2)
      0.0
    """

    def __init__(self) -> None:
        self._work_by_rank: dict[Rank, _Work] = {}

    def record(self, rank: Rank, service_ms: float, now_ms: float) -> None:
        """Records the expected work of a request that was admitted."""
        work = self._work_by_rank.setdefault(rank, _Work())
        work.total_ms = work.at(now_ms) + service_ms
        work.updated_ms = now_ms

    def share_above(self, rank: Rank, now_ms: float, limit: float) -> float:
        """Returns the share of the target that more urgent ranks take.

        Args:
          rank: Rank of a request.
          now_ms: Local time.
          limit: Requests that the target runs at once.
        """
        urgent_ms = sum(
            work.at(now_ms)
            for other, work in self._work_by_rank.items()
            if other < rank
        )
        return min(_MAX_SHARE, urgent_ms / _WINDOW_MS / limit)
