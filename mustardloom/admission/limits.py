"""Concurrency limit that follows the observed service time."""

import collections
import itertools
import statistics

__all__ = ["AdaptiveLimit", "ServiceTimes"]

_WINDOW = 128
_RECENT = 8
_MIN_SAMPLES = 16
_SLOWDOWN_FACTOR = 2.0
_DECREASE_FACTOR = 0.9


class ServiceTimes:
    """Service times of the last requests, in milliseconds.

    Example:
      >>> times = ServiceTimes()
      >>> for value in (10, 20, 30):
      ...     times.add(value)
      >>> times.usual_ms()
      20
    """

    def __init__(self) -> None:
        self._window: collections.deque[float] = collections.deque(
            maxlen=_WINDOW
        )

    def __len__(self) -> int:
        return len(self._window)

    def add(self, duration_ms: float) -> None:
        """Adds the service time of a finished request."""
        self._window.append(duration_ms)

    def clear(self) -> None:
        """Forgets all service times."""
        self._window.clear()

    def usual_ms(self) -> float:
        """Returns the median of the window, 0 without samples."""
        return statistics.median(self._window) if self._window else 0

    def recent_ms(self) -> float:
        """Returns the median of the last few samples, 0 without samples."""
        start = max(0, len(self._window) - _RECENT)
        recent = list(itertools.islice(self._window, start, None))
        return statistics.median(recent) if recent else 0

    def quantile_ms(self, fraction: float) -> float:
        """Returns a quantile of the window, 0 without samples."""
        if not self._window:
            return 0
        ordered = sorted(self._window)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


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

    def observe(self, times: ServiceTimes) -> None:
        """Adapts the limit after a finished request."""
        self._since_change += 1
        if self._since_change < self._limit or len(times) < _MIN_SAMPLES:
            return
        self._since_change = 0
        if times.recent_ms() > _SLOWDOWN_FACTOR * times.usual_ms():
            floor = (self._capacity + 1) // 2
            self._limit = max(floor, self._limit * _DECREASE_FACTOR)
        else:
            self._limit = min(self._capacity, self._limit + 1)
