"""How many repeats one daemon may send for a service.

Load pattern: a fault makes many requests fail at once, and callers repeat on
their own. The fleet may repeat a share of a service's requests and a minimum
in each window; a daemon spends from what it sees itself and from its part of
the minimum, so that all daemons together stay within the bound whatever they
know of each other.
"""

import collections
import dataclasses

__all__ = ["RetryBudget", "RetryLimits"]

# Part of the bound that is spent: a request that is run again makes its calls
# again, which count as repeats of the services that are called.
_SPENT_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bound on the repeats of the whole fleet."""

    ratio: float
    window_ms: int
    minimum: int


class RetryBudget:
    """Repeats for one service at one daemon.

    Example:
      >>> budget = RetryBudget(RetryLimits(0.2, 10_000, 60))
      >>> [budget.try_take(0, daemons=18) for _ in range(2)]
      [True, False]
    """

    def __init__(self, terms: RetryLimits):
        self._terms = terms
        self._requests: collections.deque[int] = collections.deque()
        self._repeats: collections.deque[int] = collections.deque()

    def record_request(self, now_ms: int) -> None:
        """Counts one request of a caller."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def try_take(self, now_ms: int, daemons: int) -> bool:
        """Spends one repeat if there is one left.

        Args:
          now_ms: Local time.
          daemons: Number of daemons that share the minimum.
        """
        self._expire(now_ms)
        terms = self._terms
        allowed = terms.ratio * len(self._requests)
        allowed += terms.minimum / max(1, daemons)
        if len(self._repeats) + 1 > allowed * _SPENT_SHARE:
            return False
        self._repeats.append(now_ms)
        return True

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._terms.window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_ms:
                times.popleft()
