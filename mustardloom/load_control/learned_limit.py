"""Learns how many requests a target can hold besides those of others.

Load pattern: a target runs a number of requests at once, queues a few more and
refuses or never answers the rest. It may still be at work on requests of an
earlier daemon process, or on requests whose callers have left, which the gate
does not count. If the gate then sends as many requests as the target has
places, the target refuses some of them or leaves them unanswered.
"""

__all__ = ["LearnedLimit"]

_MIN_LIMIT = 1.0


class LearnedLimit:
    """Limit on the requests that run at once, learned from overflows.

    Example:
      >>> limit = LearnedLimit()
      >>> limit.record_overflow(started_ms=0, running=4, now_ms=10)
      >>> limit.limit(5)
      3
      >>> for _ in range(8):
      ...     limit.record_answer()
      >>> limit.limit(5)
      5
    """

    def __init__(self) -> None:
        # None unless a limit below the number of places was learned.
        self._limit: float | None = None
        self._lowered_ms = 0

    def limit(self, places: int) -> int:
        """Returns how many requests may run at once, up to the places."""
        if self._limit is not None and self._limit >= places:
            self._limit = None
        return places if self._limit is None else int(self._limit)

    def record_overflow(
        self, started_ms: int, running: int, now_ms: int
    ) -> None:
        """Records a request that the target could not hold.

        Requests that were started before the limit was last lowered are
        ignored, as the lower limit had no effect on them yet.

        Args:
          started_ms: Local time at which it was started.
          running: Requests that ran then, including this one.
          now_ms: Local time.
        """
        if self._limit is not None and started_ms < self._lowered_ms:
            return
        lowered = max(_MIN_LIMIT, running - 1.0)
        if self._limit is not None:
            lowered = min(lowered, self._limit)
        self._limit = lowered
        self._lowered_ms = now_ms

    def record_answer(self) -> None:
        """Records an answer; each round of them allows one place more."""
        if self._limit is not None:
            self._limit += 1.0 / self._limit

    def record_held(self, running: int) -> None:
        """Records that a target has held so many requests after all.

        So it may hold one more, as before it seemed to have lost one of them.
        """
        if self._limit is not None:
            self._limit = max(self._limit, running + 1.0)

    def clear(self) -> None:
        """Forgets the limit, which does not apply to a new instance."""
        self._limit = None
