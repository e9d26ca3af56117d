"""Concurrency limit that follows the observed service time."""

import collections
import itertools

__all__ = ["AdaptiveLimit", "ServiceTimes"]

_WINDOW = 128
_RECENT = 8
_MEDIAN = 0.5
_MIN_SAMPLES = 16
_SLOWDOWN_FACTOR = 2.0
_DECREASE_FACTOR = 0.9


class ServiceTimes:
    """Service times of the last requests, in milliseconds.

    Example:
      >>> times = ServiceTimes()
      >>> for value in (10, 20, 30):
      ...     times.add(value)
      >>> times.median_ms()
      20
    """

    def __init__(self) -> None:
        self._window: collections.deque[float] = collections.deque(
            maxlen=_WINDOW
        )
        self._ordered: list[float] = []
        self._added = 0

    def __len__(self) -> int:
        return len(self._window)

    def add(self, duration_ms: float) -> None:
        """Adds the service time of a finished request."""
        self._window.append(duration_ms)
        self._added += 1
        # Sorting for each request would cost more than the request itself.
        if len(self._window) < _RECENT or self._added >= _RECENT:
            self._ordered = sorted(self._window)
            self._added = 0

    def clear(self) -> None:
        """Forgets all service times."""
        self._window.clear()
        self._ordered = []
        self._added = 0

    def median_ms(self) -> float:
        """Returns the median of the window, 0 without samples."""
        return self.quantile_ms(_MEDIAN)

    def recent_median_ms(self) -> float:
        """Returns the median of the last few samples, 0 without samples."""
        start = max(0, len(self._window) - _RECENT)
        recent = sorted(itertools.islice(self._window, start, None))
        return recent[len(recent) // 2] if recent else 0

    def quantile_ms(self, fraction: float) -> float:
        """Returns a quantile of the window, 0 without samples."""
        if not self._ordered:
            return 0
        last = len(self._ordered) - 1
        return self._ordered[min(last, int(fraction * len(self._ordered)))]


class AdaptiveLimit:
    """Lowers the concurrency while service times are above the usual value.

    The limit never falls below half of the capacity: a slowdown that comes
    from a neighbour of the target does not depend on our concurrency, and a
    lower limit would only add to it.

    Attributes:
      value: Current limit.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._limit = float(capacity)
        self._since_change = 0

    @property
    def value(self) -> int:
        """Returns the limit in concurrent requests."""
        return max(1, int(self._limit))

    def resize(self, capacity: int) -> None:
        """Adopts a new capacity of the target."""
        self._capacity = capacity
        self._limit = float(capacity)

    def update(self, times: ServiceTimes) -> None:
        """Adapts the limit after a finished request."""
        self._since_change += 1
        if self._since_change < self._limit or len(times) < _MIN_SAMPLES:
            return
        self._since_change = 0
        if times.recent_median_ms() > _SLOWDOWN_FACTOR * times.median_ms():
            floor = (self._capacity + 1) // 2
            self._limit = max(floor, self._limit * _DECREASE_FACTOR)
        else:
            self._limit = min(self._capacity, self._limit + 1)
