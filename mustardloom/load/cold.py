"""Rate of requests that a cold target gets.

Load pattern: a target that has just started, or a whole zone that returns,
bears a few requests a second and crashes under its usual load.
"""

import collections

__all__ = ["ColdLimit"]

_WINDOW_MS = 1_000
# Requests are counted where they arrive, which is a little later than here.
_SHARE = 0.95


class ColdLimit:
    """Counts the requests of the last second while the target is cold.

    Example:
      >>> limit = ColdLimit()
      >>> limit.set(until_ms=5_000, per_s=2)
      >>> limit.started(0)
      >>> limit.may_start(10), limit.may_start(1_001)
      (False, True)
    """

    def __init__(self) -> None:
        self._until_ms = 0
        self._per_s = 0.0
        self._starts: collections.deque[int] = collections.deque()

    def set(self, until_ms: int, per_s: float) -> None:
        """Says until when the target is cold, and what it bears."""
        self._until_ms = until_ms
        self._per_s = per_s

    def is_cold(self, now_ms: int) -> bool:
        """Returns whether the limit is in force."""
        return now_ms < self._until_ms and self._per_s > 0

    def may_start(self, now_ms: int) -> bool:
        """Returns whether one more request may start now."""
        if not self.is_cold(now_ms):
            return True
        self._expire(now_ms)
        return len(self._starts) < max(1, int(self._per_s * _SHARE))

    def has_room(self, now_ms: int, waiting: int) -> bool:
        """Returns whether a new request will soon have its turn."""
        if not self.is_cold(now_ms):
            return True
        return self.may_start(now_ms) and waiting < max(1, self._per_s / 4)

    def started(self, now_ms: int) -> None:
        """Counts one request, cold or not, as it may turn cold any moment."""
        self._starts.append(now_ms)
        self._expire(now_ms)

    def _expire(self, now_ms: int) -> None:
        while self._starts and self._starts[0] <= now_ms - _WINDOW_MS:
            self._starts.popleft()
