"""Recognises retries of requests that were refused before.

Load pattern: more requests arrive than the targets can finish, and refused
callers retry within the time that they have left. If a retry counted as a new
request, its objective would begin anew: it would displace requests that can
still be in time, and would be refused as often as any other.
"""

import collections
from collections.abc import Hashable

__all__ = ["RefusedRequests"]

# Refusals that are remembered at most; the oldest are forgotten first, and
# their callers count as new ones.
_MAX_REFUSED = 4_096
# Refusals of equal requests that are remembered, which bounds the search.
_MAX_EQUAL = 8
# The deadline of a retry differs, as the caller states the time that is left
# in whole milliseconds, and the requests take different times to arrive.
_DEADLINE_TOLERANCE_MS = 250


class RefusedRequests:
    """Requests that were refused and whose callers still have time.

    Each refusal is matched with one retry, so that callers who send the same
    request share the entries, but no more retries than refusals are recognised.

    Example:
      >>> refused = RefusedRequests()
      >>> refused.record_refusal(7, objective_ms=300, deadline_ms=1_200)
      >>> refused.objective_ms(7, objective_ms=700, deadline_ms=1_203)
      300
      >>> refused.objective_ms(7, objective_ms=700, deadline_ms=1_203)
      700
    """

    def __init__(self) -> None:
        # Objectives and deadlines by request, the latest refusal last.
        self._refused: collections.OrderedDict[
            Hashable, list[tuple[int, int]]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._refused)

    def record_refusal(
        self, request: Hashable, objective_ms: int, deadline_ms: int
    ) -> None:
        """Records that a request was refused.

        Args:
          request: Equal for repetitions of the same request.
          objective_ms: Local time of its objective, from its first attempt on.
          deadline_ms: Local time after which its caller does not wait.
        """
        waits = self._refused.setdefault(request, [])
        self._refused.move_to_end(request)
        waits.append((objective_ms, deadline_ms))
        del waits[:-_MAX_EQUAL]
        if len(self._refused) > _MAX_REFUSED:
            self._refused.popitem(last=False)

    def objective_ms(
        self, request: Hashable, objective_ms: int, deadline_ms: int
    ) -> int:
        """Returns the objective of a request, from its first attempt on.

        Args:
          request: Equal for repetitions of the same request.
          objective_ms: Local time of its objective, from this attempt on.
          deadline_ms: Local time after which its caller does not wait.
        """
        waits = self._refused.get(request)
        if waits is None:
            return objective_ms
        for index, (first_ms, refused_deadline_ms) in enumerate(waits):
            if abs(deadline_ms - refused_deadline_ms) <= _DEADLINE_TOLERANCE_MS:
                del waits[index]
                if not waits:
                    del self._refused[request]
                return min(objective_ms, first_ms)
        return objective_ms
