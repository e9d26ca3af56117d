"""Order of the requests that wait for one target, and who is turned away.

Load pattern: more requests arrive than the target can finish, of kinds that
differ in rank, objective and deadline, some of them calls of requests that run
already. A request that is admitted must still be worth its place when its turn
comes, and a less urgent kind must not be served better than a more urgent one.
"""

import bisect
from collections.abc import Iterator
import dataclasses
from typing import Generic
from typing import TypeVar

__all__ = [
    "STANDING_QUEUE_MS",
    "AdmissionDecision",
    "RequestDemand",
    "ServiceTimes",
    "WaitingQueue",
    "decide_admission",
]

_Item = TypeVar("_Item")
# Weight of the newest service time in the running mean.
_SMOOTHING = 0.1
# Service times above the mean that a request must be able to bear.
_TAIL_FACTOR = 1.3
_SHORTEST_RETRY_MS = 50
# Requests for each place of the target behind which nobody waits who is late,
# in a burst and while the queue does not empty.
_BURST_LATE_PER_PLACE = 1.5
_STANDING_LATE_PER_PLACE = 0.5
# Age of a queue from which it is no burst any more.
STANDING_QUEUE_MS = 400
_DEFAULT_SERVICE_MS = 30.0
_HALF_LIFE_MS = 2_000
# Service times vary: who finishes in time even if it takes so many times the
# mean may wait. The second figure holds while the queue does not empty.
_BURST_FACTOR = 1.1
_STANDING_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDemand:
    """What one request asks of the target.

    Attributes:
      priority: Rank, 0 is the most urgent.
      is_call: Whether a request that runs already waits for it.
      objective_ms: Local time until which an answer has its full value.
      deadline_ms: Local time after which an answer is worth nothing.
      service_ms: Expected time at the target.
    """

    priority: int
    is_call: bool
    objective_ms: float
    deadline_ms: float
    service_ms: float

    def sort_key(self, now_ms: float) -> tuple[bool, bool, int, float]:
        """Returns the sort key: who can still be in time goes first."""
        is_late = now_ms + self.service_ms > self.objective_ms
        return (is_late, not self.is_call, self.priority, self.deadline_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is admitted.

    Attributes:
      admitted: Whether it may wait or run.
      wait_ms: Expected wait.
      retry_after_ms: When there will be room, for those turned away.
    """

    admitted: bool
    wait_ms: float
    retry_after_ms: int = 0


class ServiceTimes:
    """Running means of the time that requests take at the target, by route.

    What was measured long ago says little, so the overall mean falls back to
    the usual figure while nothing is measured. Otherwise a target that was
    slow once would never be tried again.

    Example:
      >>> times = ServiceTimes()
      >>> times.record("a", 100.0, now_ms=0)
      >>> times.expected("a")
      100.0
    """

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}
        self._overall = _DEFAULT_SERVICE_MS
        self._recorded_ms = 0

    def record(self, route: str, duration_ms: float, now_ms: int) -> None:
        """Adds one finished request."""
        before = self._mean_by_route.get(route, duration_ms)
        self._mean_by_route[route] = _smooth(before, duration_ms)
        self._overall = _smooth(self.overall(now_ms), duration_ms)
        self._recorded_ms = now_ms

    def expected(self, route: str) -> float:
        """Returns the expected time of a request."""
        return self._mean_by_route.get(route, self._overall)

    def overall(self, now_ms: int) -> float:
        """Returns the mean of all routes, the usual figure if it is old."""
        age_ms = max(0, now_ms - self._recorded_ms)
        kept: float = 0.5 ** (age_ms / _HALF_LIFE_MS)
        return _DEFAULT_SERVICE_MS + kept * (
            self._overall - _DEFAULT_SERVICE_MS
        )


class WaitingQueue(Generic[_Item]):
    """Requests that wait, the next one first.

    The order is that of the moment of arrival; who has become late since is
    passed over by `take`.
    """

    def __init__(self) -> None:
        self._entries: list[
            tuple[tuple[bool, bool, int, float], int, RequestDemand, _Item]
        ] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[tuple[RequestDemand, _Item]]:
        return ((entry[2], entry[3]) for entry in self._entries)

    def push(self, demand: RequestDemand, item: _Item, now_ms: float) -> None:
        """Adds a request."""
        self._count += 1
        entry = (demand.sort_key(now_ms), self._count, demand, item)
        bisect.insort(self._entries, entry, key=lambda each: each[:2])

    def remove(self, item: _Item) -> bool:
        """Removes a request; returns whether it was waiting."""
        for index, entry in enumerate(self._entries):
            if entry[3] is item:
                del self._entries[index]
                return True
        return False

    def take(self, now_ms: float) -> _Item | None:
        """Removes and returns the request whose turn it is."""
        if not self._entries:
            return None
        for index, entry in enumerate(self._entries):
            if entry[0][0] or not entry[2].sort_key(now_ms)[0]:
                del self._entries[index]
                return entry[3]
        return self._entries.pop(0)[3]

    def take_unservable(self, now_ms: float) -> list[_Item]:
        """Removes and returns those that can no longer be served in time."""
        hopeless = [
            entry
            for entry in self._entries
            if now_ms + entry[2].service_ms > entry[2].deadline_ms
        ]
        for entry in hopeless:
            self._entries.remove(entry)
        return [entry[3] for entry in hopeless]

    def work_ahead_ms(self, demand: RequestDemand, now_ms: float) -> float:
        """Returns the service time of all that goes before a request."""
        order = demand.sort_key(now_ms)
        return sum(
            entry[2].service_ms for entry in self._entries if entry[0] <= order
        )


def decide_admission(
    demand: RequestDemand,
    now_ms: float,
    running: int,
    limit: int,
    ahead_ms: float,
    waiting: int,
    usual_ms: float,
    is_standing: bool,
) -> AdmissionDecision:
    """Decides whether a request may wait for the target.

    Who can finish within its objective may wait. Who cannot is late already;
    so few of these wait that one of them has its turn as soon as the target
    has a free place, and the others are told at once to come back.

    Args:
      demand: The request.
      now_ms: Local time.
      running: Requests that the target runs.
      limit: Requests that it runs at once.
      ahead_ms: Service time of the requests that wait before this one.
      waiting: Requests that wait.
      usual_ms: Mean service time.
      is_standing: Whether the queue has not been empty for `STANDING_QUEUE_MS`.

    Returns:
      The verdict.
    """
    if running < limit and ahead_ms <= 0:
        return AdmissionDecision(now_ms + 1 < demand.deadline_ms, 0.0)
    until_room_ms = usual_ms / (limit + 1)
    wait_ms = until_room_ms + ahead_ms / limit
    factor = _STANDING_FACTOR if is_standing else _BURST_FACTOR
    done_ms = now_ms + wait_ms + demand.service_ms * factor
    if done_ms <= demand.objective_ms:
        return AdmissionDecision(True, wait_ms)
    needed_ms = wait_ms + demand.service_ms * _TAIL_FACTOR
    late_per_place = _BURST_LATE_PER_PLACE
    if is_standing:
        late_per_place = _STANDING_LATE_PER_PLACE
    is_short = waiting < limit * late_per_place
    if is_short and now_ms + needed_ms <= demand.deadline_ms:
        return AdmissionDecision(True, wait_ms)
    retry_ms = max(_SHORTEST_RETRY_MS, round(wait_ms))
    return AdmissionDecision(False, wait_ms, retry_ms)


def _smooth(mean: float, value: float) -> float:
    return mean + _SMOOTHING * (value - mean)
