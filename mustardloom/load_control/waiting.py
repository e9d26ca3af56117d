"""Queue order and admission control of the requests for one target.

Load pattern: more requests arrive than the target can finish. They differ in
priority, latency objective and deadline, and some are calls of requests that
are already running. An admitted request must still be useful when it starts,
and a lower priority must not be served better than a higher one.
"""

import bisect
from collections.abc import Iterator
import dataclasses
from typing import Generic
from typing import TypeVar

from mustardloom import ids
from mustardloom.load_control import urgency

__all__ = [
    "STANDING_QUEUE_MS",
    "AdmissionDecision",
    "RequestDemand",
    "ServiceTimes",
    "WaitingQueue",
    "decide_admission",
    "honoured_retry_ms",
    "spread_retry_ms",
]

_Item = TypeVar("_Item")
_SortKey = tuple[bool, bool, bool, int, int, float]
# Weight of the newest service time in the running mean.
_SMOOTHING = 0.1
# A late request is admitted only if it meets its deadline even when its service
# time is this multiple of the mean.
_LATE_SERVICE_FACTOR = 1.3
_MIN_RETRY_AFTER_MS = 50
# Callers honour `Retry-After` up to a third of the time they have left.
_HONOURED_DIVISOR = 3
# Retries are spread over this last part of the time until there is room.
_RETRY_SPREAD = 0.5
# Queue length, as a multiple of the target's concurrency, from which on late
# requests are refused: in a burst and with a standing queue.
_BURST_LATE_QUEUE_RATIO = 1.5
_STANDING_LATE_QUEUE_RATIO = 0.5
# The same for requests that arrive after their objective, mostly retries; only
# the late requests in the queue count, as others go first in any case.
_RETRIED_LATE_QUEUE_RATIO = 3.0
# A queue that has not been empty for this long is standing, no longer a burst.
STANDING_QUEUE_MS = 400
_DEFAULT_SERVICE_MS = 30.0
_MEAN_HALF_LIFE_MS = 2_000
# Service times vary: a request is in time if it meets its objective even when
# its service time is this multiple of the mean, in a burst or with a standing
# queue.
_BURST_SERVICE_FACTOR = 1.1
_STANDING_SERVICE_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDemand:
    """Timing and priority of one request.

    Attributes:
      priority: Priority, where 0 is the most urgent.
      is_call: Whether a running request waits for the answer.
      objective_ms: Local time by which an answer meets the latency objective.
      deadline_ms: Local time after which an answer is useless.
      service_ms: Expected service time at the target.
      organisation: Organisation of the caller, None if it has none.
      level: See `fair_shares.level`.
      is_underserved: See `fair_shares.ServedShares.is_underserved`.
    """

    priority: int
    is_call: bool
    objective_ms: float
    deadline_ms: float
    service_ms: float
    organisation: ids.OrganisationId | None = None
    level: int = 0
    is_underserved: bool = False

    @property
    def rank(self) -> urgency.Rank:
        """Returns the urgency, apart from the time that is left."""
        return urgency.Rank(not self.is_call, self.priority)

    def sort_key(self, now_ms: float) -> _SortKey:
        """Returns the sort key; requests that can still be in time go first.

        Only those that are owed service go before them.
        """
        is_late = now_ms + self.service_ms > self.objective_ms
        return (
            not self.is_underserved,
            is_late,
            not self.is_call,
            self.priority,
            self.level,
            self.deadline_ms,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Decision on the admission of a request.

    Attributes:
      admitted: Whether it may run or wait in the queue.
      wait_ms: Expected time in the queue.
      retry_after_ms: For refused requests, the time until the queue has room.
      room_ms: For refused requests, the time after which an equal request would
        be admitted if no others arrived.
    """

    admitted: bool
    wait_ms: float
    retry_after_ms: int = 0
    room_ms: float = 0.0


class ServiceTimes:
    """Moving averages of service times at the target, by route and overall.

    Without new measurements the overall mean decays to a default. Otherwise a
    target that was slow once would never get requests again.

    Example:
      >>> times = ServiceTimes()
      >>> times.record("a", 100.0, now_ms=0)
      >>> times.expected_ms("a")
      100.0
    """

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}
        self._overall_mean_ms = _DEFAULT_SERVICE_MS
        self._recorded_ms = 0

    def record(self, route: str, duration_ms: float, now_ms: int) -> None:
        """Records the service time of a finished request."""
        previous_ms = self._mean_by_route.get(route, duration_ms)
        self._mean_by_route[route] = _smooth(previous_ms, duration_ms)
        self._overall_mean_ms = _smooth(
            self.overall_mean_ms(now_ms), duration_ms
        )
        self._recorded_ms = now_ms

    def expected_ms(self, route: str) -> float:
        """Returns the expected service time in ms of a request on a route."""
        return self._mean_by_route.get(route, self._overall_mean_ms)

    def measured_ms(self, route: str) -> float | None:
        """Returns the mean service time of a route, None before the first."""
        return self._mean_by_route.get(route)

    def overall_mean_ms(self, now_ms: int) -> float:
        """Returns the mean of all routes in ms, decayed by its age."""
        age_ms = max(0, now_ms - self._recorded_ms)
        weight: float = 0.5 ** (age_ms / _MEAN_HALF_LIFE_MS)
        return _DEFAULT_SERVICE_MS + weight * (
            self._overall_mean_ms - _DEFAULT_SERVICE_MS
        )


class WaitingQueue(Generic[_Item]):
    """Queue of waiting requests, the next one first.

    Requests are sorted by their sort key on arrival. `take` skips requests
    that were in time on arrival and have become late since, unless no others
    wait.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[_SortKey, int, RequestDemand, _Item]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[tuple[RequestDemand, _Item]]:
        return ((entry[2], entry[3]) for entry in self._entries)

    def late_count(self) -> int:
        """Returns how many of the requests were late on arrival."""
        return sum(entry[0][1] for entry in self._entries)

    def push(self, demand: RequestDemand, item: _Item, now_ms: float) -> None:
        """Adds a request to the queue."""
        self._sequence += 1
        entry = (demand.sort_key(now_ms), self._sequence, demand, item)
        bisect.insort(self._entries, entry, key=lambda each: each[:2])

    def remove(self, item: _Item) -> bool:
        """Removes a request; returns whether it was in the queue."""
        for index, entry in enumerate(self._entries):
            if entry[3] is item:
                del self._entries[index]
                return True
        return False

    def take(self, now_ms: float) -> _Item | None:
        """Removes and returns the next request, None if the queue is empty."""
        if not self._entries:
            return None
        for index, entry in enumerate(self._entries):
            if entry[0][1] or not entry[2].sort_key(now_ms)[1]:
                del self._entries[index]
                return entry[3]
        return self._entries.pop(0)[3]

    def take_unservable(
        self, now_ms: float, spacing_ms: float = 0.0
    ) -> list[_Item]:
        """Removes and returns the requests that would miss their deadline.

        Args:
          now_ms: Local time.
          spacing_ms: Shortest time between the starts of two requests.
        """
        unservable = []
        start_ms = now_ms
        for entry in self._entries:
            if start_ms + entry[2].service_ms > entry[2].deadline_ms:
                unservable.append(entry)
            else:
                start_ms += spacing_ms
        for entry in unservable:
            self._entries.remove(entry)
        return [entry[3] for entry in unservable]

    def waiting_of(self, organisation: ids.OrganisationId) -> int:
        """Returns how many requests of an organisation wait."""
        return sum(
            entry[2].organisation == organisation for entry in self._entries
        )

    def count_ahead(self, demand: RequestDemand, now_ms: float) -> int:
        """Returns how many requests are ahead of a new one."""
        sort_key = demand.sort_key(now_ms)
        return sum(entry[0] <= sort_key for entry in self._entries)

    def take_blocked(
        self, now_ms: float, places: float
    ) -> list[tuple[_Item, float]]:
        """Removes late requests that would start too late for their deadline.

        More urgent requests that arrived later are ahead of them, or they
        became late and go after all requests that can still be in time. If
        they are refused now, their callers still have time to retry.

        Args:
          now_ms: Local time.
          places: Requests that the target runs at once.

        Returns:
          The requests, each with the time until it would have started.
        """
        late = []
        ahead_ms = 0.0
        for entry in self._entries:
            demand = entry[2]
            if now_ms + demand.service_ms > demand.objective_ms:
                late.append(entry)
            else:
                ahead_ms += demand.service_ms
        # Those that were late on arrival are taken first; see `take`.
        late.sort(key=lambda entry: not entry[0][1])
        blocked = []
        for entry in late:
            demand = entry[2]
            wait_ms = ahead_ms / places
            if now_ms + wait_ms + demand.service_ms > demand.deadline_ms:
                blocked.append((entry, wait_ms))
            else:
                ahead_ms += demand.service_ms
        for entry, _ in blocked:
            self._entries.remove(entry)
        return [(entry[3], wait_ms) for entry, wait_ms in blocked]

    def work_ahead_ms(self, demand: RequestDemand, now_ms: float) -> float:
        """Returns the total service time of requests ahead of a new one."""
        sort_key = demand.sort_key(now_ms)
        return sum(
            entry[2].service_ms
            for entry in self._entries
            if entry[0] <= sort_key
        )


def decide_admission(
    demand: RequestDemand,
    now_ms: float,
    running: int,
    limit: float,
    ahead_ms: float,
    waiting: int,
    mean_service_ms: float,
    is_standing: bool,
    urgent_share: float = 0.0,
    blocked_ms: float = 0.0,
    late_waiting: int = 0,
) -> AdmissionDecision:
    """Decides whether a request may wait for the target.

    A request that can start at once is admitted unless its deadline has passed.
    Others are admitted if they can meet their objective, else they are late:
    late requests are admitted only to a short queue, so that they start as soon
    as the target has room, and the others are told at once when to retry.

    Args:
      demand: The request.
      now_ms: Local time.
      running: Requests that the target runs now.
      limit: Requests that it runs at once.
      ahead_ms: Total service time of the queued requests ahead of this one.
      waiting: Queued requests.
      mean_service_ms: Mean service time.
      is_standing: Whether the queue has not been empty for `STANDING_QUEUE_MS`.
      urgent_share: Share of the target that more urgent requests take, below 1;
        those that arrive during the wait go first.
      blocked_ms: Time until the target's rate limit allows the next start.
      late_waiting: Queued requests that were late on arrival.

    Returns:
      The decision, with the expected time in the queue.
    """
    if running < limit and ahead_ms <= 0 and blocked_ms <= 0:
        return AdmissionDecision(now_ms + 1 < demand.deadline_ms, 0.0)
    until_free_ms = mean_service_ms / (limit + 1)
    until_start_ms = max(until_free_ms, blocked_ms)
    wait_ms = (until_start_ms + ahead_ms / limit) / (1.0 - urgent_share)
    service_factor = (
        _STANDING_SERVICE_FACTOR if is_standing else _BURST_SERVICE_FACTOR
    )
    done_ms = now_ms + wait_ms + demand.service_ms * service_factor
    if done_ms <= demand.objective_ms:
        return AdmissionDecision(True, wait_ms)
    late_latency_ms = wait_ms + demand.service_ms * _LATE_SERVICE_FACTOR
    late_queue_ratio = _BURST_LATE_QUEUE_RATIO
    if is_standing:
        late_queue_ratio = _STANDING_LATE_QUEUE_RATIO
    is_short = waiting < limit * late_queue_ratio
    if demand.objective_ms <= now_ms:
        # Mostly a retry; requests that can be in time go first.
        is_short = late_waiting < limit * _RETRIED_LATE_QUEUE_RATIO
    if is_short and now_ms + late_latency_ms <= demand.deadline_ms:
        return AdmissionDecision(True, wait_ms)
    retry_ms = max(_MIN_RETRY_AFTER_MS, round(wait_ms))
    queued_too_long = max(0.0, waiting + 1 - limit * late_queue_ratio)
    room_ms = min(
        done_ms - demand.objective_ms, queued_too_long * mean_service_ms / limit
    )
    room_ms = max(blocked_ms, room_ms)
    return AdmissionDecision(False, wait_ms, retry_ms, room_ms)


def spread_retry_ms(room_ms: float, wait_ms: float, fraction: float) -> int:
    """Returns the time after which a refused request is to be retried.

    The retries of requests that one queue refuses are spread over a range that
    ends when the present queue has been run, so that they do not come at once.

    Args:
      room_ms: Time after which there may be room for the request.
      wait_ms: Time until the present queue has been run.
      fraction: Random number from 0 to 1.
    """
    latest_ms = max(wait_ms, _MIN_RETRY_AFTER_MS)
    earliest_ms = max(room_ms, wait_ms * _RETRY_SPREAD, _MIN_RETRY_AFTER_MS)
    earliest_ms = min(earliest_ms, latest_ms)
    return round(earliest_ms + fraction * (latest_ms - earliest_ms))


def honoured_retry_ms(
    retry_after_ms: int, left_ms: int, fraction: float
) -> int:
    """Returns a time until a retry that the caller honours.

    Later retries are spread over the last part of the time that it honours.

    Args:
      retry_after_ms: Time after which a retry may succeed.
      left_ms: Time that the caller has left.
      fraction: Random number from 0 to 1.
    """
    latest_ms = max(0, left_ms // _HONOURED_DIVISOR)
    if retry_after_ms <= latest_ms:
        return retry_after_ms
    share = _RETRY_SPREAD + fraction * (1.0 - _RETRY_SPREAD)
    return int(latest_ms * share)


def _smooth(mean: float, value: float) -> float:
    return mean + _SMOOTHING * (value - mean)
