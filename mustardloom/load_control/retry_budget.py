"""Retry budget of one daemon for one service.

Load pattern: a fault makes many requests fail at once, and callers retry as
well. In each window the fleet may retry a share of a service's requests plus a
fixed minimum. A daemon counts only the requests it sees and its part of the
minimum, so that all daemons together stay within the bound without exchanging
counts.
"""

import collections
import dataclasses

__all__ = ["RetryBudget", "RetryLimits"]

# Share of the bound that is used: a retried request repeats its calls, which
# count as retries of the called services.
_USED_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bound on the retries of the whole fleet in each window.

    Attributes:
      ratio: Retries per request.
      window_ms: Length of the sliding window.
      minimum: Retries that are allowed in addition, whatever the traffic.
    """

    ratio: float
    window_ms: int
    minimum: float


class RetryBudget:
    """Retries that one daemon may send for one service.

    Attributes:
      limits: Bound on the retries of the whole fleet.

    Example:
      >>> budget = RetryBudget(RetryLimits(0.2, 10_000, 60))
      >>> [budget.try_take(0, daemons=18) for _ in range(2)]
      [True, False]
    """

    def __init__(self, limits: RetryLimits):
        self.limits = limits
        self._request_times_ms: collections.deque[int] = collections.deque()
        self._retry_times_ms: collections.deque[int] = collections.deque()

    def record_request(self, now_ms: int) -> None:
        """Counts one request of a caller."""
        self._request_times_ms.append(now_ms)
        self._expire(now_ms)

    def try_take(self, now_ms: int, daemons: int) -> bool:
        """Takes one retry from the budget; returns False if none is left.

        Args:
          now_ms: Local time.
          daemons: Number of daemons that share the minimum.
        """
        self._expire(now_ms)
        limits = self.limits
        allowed = limits.ratio * len(self._request_times_ms)
        allowed += limits.minimum / max(1, daemons)
        if len(self._retry_times_ms) + 1 > allowed * _USED_SHARE:
            return False
        self._retry_times_ms.append(now_ms)
        return True

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.limits.window_ms
        for times in (self._request_times_ms, self._retry_times_ms):
            while times and times[0] < oldest_ms:
                times.popleft()
