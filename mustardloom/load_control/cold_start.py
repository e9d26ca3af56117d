"""Rate limit for cold targets (slow start).

Load pattern: a target that has just started, or a whole zone that returns, can
run only a few requests per second and crashes under its usual load.
"""

import collections

__all__ = ["ColdStartLimit"]

# Targets count requests over 1 s; a little more allows for the delay between
# sending and arrival.
_WINDOW_MS = 1_050
# Share of the tolerated excess rate that is used.
_EXCESS_SHARE = 0.6
# Rate limit while the rate that a cold target can run is unknown.
_DEFAULT_RATE_PER_S = 4.0


class ColdStartLimit:
    """Limits the requests per second while the target is cold.

    Example:
      >>> limit = ColdStartLimit(overload_factor=1.0, began_ms=-2_000)
      >>> limit.set_rate_per_s(2)
      >>> limit.set_cold_until(5_000)
      >>> limit.record_start(0)
      >>> limit.record_start(1)
      >>> limit.may_start(10), limit.may_start(1_051)
      (False, True)
    """

    def __init__(self, overload_factor: float, began_ms: int):
        """Creates a limit that is not active.

        Args:
          overload_factor: Multiple of the rate that a cold target can run
            beyond which it counts as overloaded.
          began_ms: Local time at which this process began.
        """
        self.set_overload_factor(overload_factor)
        self._cold_until_ms = 0
        self._rate_per_s: float | None = None
        self._starts_ms: collections.deque[int] = collections.deque()
        # Until then the starts of an earlier process still count, and it may
        # have used its whole rate.
        self._unknown_until_ms = began_ms + _WINDOW_MS

    def set_overload_factor(self, overload_factor: float) -> None:
        """Sets the multiple of the rate beyond which it is overloaded."""
        self._rate_factor = 1 + max(0.0, overload_factor - 1) * _EXCESS_SHARE

    def set_cold_until(self, until_ms: int) -> None:
        """Sets the local time in ms until which the target is cold."""
        self._cold_until_ms = until_ms

    def set_rate_per_s(self, rate_per_s: float) -> None:
        """Sets the requests per second that a cold target can run.

        0 means that targets are never cold.
        """
        self._rate_per_s = rate_per_s

    def is_cold(self, now_ms: int) -> bool:
        """Returns whether the limit is active."""
        return now_ms < self._cold_until_ms and self._rate_per_s != 0

    def may_start(self, now_ms: int) -> bool:
        """Returns whether one more request may start now."""
        if not self.is_cold(now_ms):
            return True
        if now_ms < self._unknown_until_ms:
            return False
        self._expire(now_ms)
        return len(self._starts_ms) < self._max_starts()

    def has_room(self, now_ms: int, waiting: int) -> bool:
        """Returns whether a new request would start soon.

        Args:
          now_ms: Local time.
          waiting: Requests in the queue of the target.
        """
        if not self.is_cold(now_ms):
            return True
        return self.may_start(now_ms) and waiting < max(
            1, self._max_starts() // 4
        )

    def record_start(self, now_ms: int) -> None:
        """Counts a request, also of a warm target, as it may become cold."""
        self._starts_ms.append(now_ms)
        self._expire(now_ms)

    def _max_starts(self) -> int:
        rate_per_s = (
            _DEFAULT_RATE_PER_S
            if self._rate_per_s is None
            else self._rate_per_s
        )
        return max(1, int(rate_per_s * self._rate_factor))

    def _expire(self, now_ms: int) -> None:
        while self._starts_ms and self._starts_ms[0] <= now_ms - _WINDOW_MS:
            self._starts_ms.popleft()
