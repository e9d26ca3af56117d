"""Rate of requests that a cold target gets.

Load pattern: a target that has just started, or a whole zone that returns,
bears a few requests a second and crashes under its usual load.
"""

import collections

__all__ = ["ColdStartLimit"]

# A little more than the second over which targets count, as requests arrive
# later than they are sent.
_WINDOW_MS = 1_050
# Part of the tolerated excess that is used.
_EXCESS_SHARE = 0.6
# Rate while it is not known what the target bears.
_UNKNOWN_PER_S = 4.0


class ColdStartLimit:
    """Counts the requests of the last second while the target is cold.

    Example:
      >>> limit = ColdStartLimit(tolerated=1.0)
      >>> limit.set_rate_per_s(2)
      >>> limit.set_cold_until(5_000)
      >>> limit.record_start(0)
      >>> limit.record_start(1)
      >>> limit.may_start(10), limit.may_start(1_051)
      (False, True)
    """

    def __init__(self, overload_factor: float):
        """Creates a limit that is not in force.

        Args:
          overload_factor: Factor on the rate that a cold target bears beyond
          which
            it counts as overloaded.
        """
        self._factor = 1 + max(0.0, overload_factor - 1) * _EXCESS_SHARE
        self._until_ms = 0
        self._per_s: float | None = None
        self._starts: collections.deque[int] = collections.deque()

    def set_cold_until(self, until_ms: int) -> None:
        """Says until when the target is cold."""
        self._until_ms = until_ms

    def set_rate_per_s(self, per_s: float) -> None:
        """Says what a cold target bears; 0 if targets do not turn cold."""
        self._per_s = per_s

    def is_cold(self, now_ms: int) -> bool:
        """Returns whether the limit is in force."""
        return now_ms < self._until_ms and self._per_s != 0

    def may_start(self, now_ms: int) -> bool:
        """Returns whether one more request may start now."""
        if not self.is_cold(now_ms):
            return True
        self._expire(now_ms)
        return len(self._starts) < self._most()

    def has_room(self, now_ms: int, waiting: int) -> bool:
        """Returns whether a new request will soon have its turn."""
        if not self.is_cold(now_ms):
            return True
        return self.may_start(now_ms) and waiting < max(1, self._most() // 4)

    def record_start(self, now_ms: int) -> None:
        """Counts one request, cold or not, as it may turn cold any moment."""
        self._starts.append(now_ms)
        self._expire(now_ms)

    def _most(self) -> int:
        per_s = _UNKNOWN_PER_S if self._per_s is None else self._per_s
        return max(1, int(per_s * self._factor))

    def _expire(self, now_ms: int) -> None:
        while self._starts and self._starts[0] <= now_ms - _WINDOW_MS:
            self._starts.popleft()
