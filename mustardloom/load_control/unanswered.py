"""Distinguishes requests that a target will not answer from slow ones.

Load pattern: a target that cannot queue a request never answers it, nor any
later request on that connection, but goes on to answer others. Targets are also
three times slower for a fifth of the time, in bursts of 0.4 s, and service
times vary by a factor of two. A request that is given up too early costs an
attempt; one that is given up too late has no time left for another.
"""

import collections

__all__ = ["MIN_WAIT_MS", "AnswerHistory", "has_time_for_retry"]

# A request may take twice the mean, and a burst of slowness may hit it: 0.4 s
# at a third of the speed add 0.27 s.
_SLOW_FACTOR = 2.0
_SLOW_BURST_MS = 270
# A request that has waited less is never presumed to stay unanswered.
MIN_WAIT_MS = _SLOW_BURST_MS
# Multiple of the mean that a request must have waited. It covers requests that
# take twice the mean, and leaves time for another attempt before deadlines of a
# few means.
_MIN_FACTOR = 3.0
# Multiple of the slowest recent answer, for loads whose service times vary
# more than that.
_SLOWEST_FACTOR = 1.2
_SLOWEST_HALF_LIFE_MS = 30_000
# Time that must be left for another attempt: a multiple of the mean, plus the
# time to report the failure and to send the request again.
_RETRY_FACTOR = 1.2
_RETRY_OVERHEAD_MS = 60
_MAX_ANSWERS = 256


class AnswerHistory:
    """Recent answers of one target, from which missing ones are found.

    Example:
      >>> history = AnswerHistory()
      >>> for start_ms in (10, 200, 400, 600, 800):
      ...     history.record(start_ms, 100, 100.0, start_ms + 100)
      >>> history.is_unanswered(5, 905, 100.0, places=3)
      True
      >>> history.is_unanswered(850, 905, 100.0, places=3)
      False
    """

    def __init__(self) -> None:
        # Local times at which the latest answered requests were started.
        self._starts_ms: collections.deque[int] = collections.deque(
            maxlen=_MAX_ANSWERS
        )
        self._slowest_ratio = 0.0
        self._slowest_ms = 0

    def record(
        self, started_ms: int, duration_ms: int, expected_ms: float, now_ms: int
    ) -> None:
        """Records the answer to a request.

        Args:
          started_ms: Local time at which the request was started.
          duration_ms: Time that it took.
          expected_ms: Mean service time of its route.
          now_ms: Local time.
        """
        self._starts_ms.append(started_ms)
        ratio = duration_ms / max(1.0, expected_ms)
        if ratio >= self._slowest(now_ms):
            self._slowest_ratio = ratio
            self._slowest_ms = now_ms

    def is_unanswered(
        self, started_ms: int, now_ms: int, expected_ms: float, places: int
    ) -> bool:
        """Returns whether a request is presumed to stay unanswered.

        A target that is slow or frozen answers no later requests either, so as
        many later requests as it has places must have been answered.

        Args:
          started_ms: Local time at which the request was started.
          now_ms: Local time.
          expected_ms: Mean service time of its route.
          places: Requests that the target runs at once.
        """
        if not self.is_overdue(now_ms - started_ms, now_ms, expected_ms):
            return False
        later = sum(1 for start_ms in self._starts_ms if start_ms > started_ms)
        return later >= min(max(2, places), _MAX_ANSWERS)

    def is_overdue(
        self, waited_ms: int, now_ms: int, expected_ms: float
    ) -> bool:
        """Returns whether a request has waited longer than slow requests take.

        Args:
          waited_ms: Time since the request was started.
          now_ms: Local time.
          expected_ms: Mean service time of its route.
        """
        if waited_ms <= MIN_WAIT_MS:
            return False
        factor = max(_MIN_FACTOR, _SLOWEST_FACTOR * self._slowest(now_ms))
        return waited_ms >= max(
            factor * expected_ms, _SLOW_FACTOR * expected_ms + _SLOW_BURST_MS
        )

    def _slowest(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self._slowest_ms)
        weight: float = 0.5 ** (age_ms / _SLOWEST_HALF_LIFE_MS)
        return self._slowest_ratio * weight


def has_time_for_retry(left_ms: float, expected_ms: float) -> bool:
    """Returns whether another target could still answer in the time left."""
    return left_ms >= _RETRY_FACTOR * expected_ms + _RETRY_OVERHEAD_MS
