"""Learns how many requests a target can hold besides those that are not ours.

Load pattern: a target runs a number of requests at once, queues a few more and
refuses or never answers the rest. It may still be at work on requests of an
earlier daemon process, or on requests whose callers have left, which the gate
does not count. Filled up to its places by the gate, it then loses requests.
"""

__all__ = ["TargetRoom"]

_MIN_LIMIT = 1.0


class TargetRoom:
    """Limit on the requests that run at once, by what the target could hold.

    Example:
      >>> room = TargetRoom()
      >>> room.record_overflow(started_ms=0, running=4, now_ms=10)
      >>> room.limit(5)
      3
      >>> for _ in range(8):
      ...     room.record_answer()
      >>> room.limit(5)
      5
    """

    def __init__(self) -> None:
        # None while no limit below the places was learned.
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

        Requests that were started before the latest one of these was noticed
        tell nothing new.

        Args:
          started_ms: Local time at which it was started.
          running: Requests that ran then, with this one.
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

    def clear(self) -> None:
        """Forgets the limit, as that of an earlier instance."""
        self._limit = None
