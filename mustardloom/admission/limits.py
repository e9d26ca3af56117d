"""Concurrency limit that adapts to the observed service time."""

import collections
import itertools

__all__ = ["AdaptiveLimit", "ServiceTimes"]

_WINDOW_SAMPLES = 128
_RECENT_SAMPLES = 8
_MEDIAN_FRACTION = 0.5
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
            maxlen=_WINDOW_SAMPLES
        )
        self._sorted_window: list[float] = []
        self._added_since_sort = 0

    def __len__(self) -> int:
        return len(self._window)

    def add(self, duration_ms: float) -> None:
        """Records the service time of a finished request."""
        self._window.append(duration_ms)
        self._added_since_sort += 1
        # Sorting after each request would cost more than the request itself.
        if (
            len(self._window) < _RECENT_SAMPLES
            or self._added_since_sort >= _RECENT_SAMPLES
        ):
            self._sorted_window = sorted(self._window)
            self._added_since_sort = 0

    def clear(self) -> None:
        """Forgets all service times."""
        self._window.clear()
        self._sorted_window = []
        self._added_since_sort = 0

    def median_ms(self) -> float:
        """Returns the median of the window, 0 without samples."""
        return self.quantile_ms(_MEDIAN_FRACTION)

    def recent_median_ms(self) -> float:
        """Returns the median of the last 8 samples, 0 without samples."""
        start = max(0, len(self._window) - _RECENT_SAMPLES)
        recent = sorted(itertools.islice(self._window, start, None))
        return recent[len(recent) // 2] if recent else 0

    def quantile_ms(self, fraction: float) -> float:
        """Returns a quantile of the window, 0 without samples.

        Args:
          fraction: Share of the samples below the quantile, from 0 to 1.
        """
        if not self._sorted_window:
            return 0
        last = len(self._sorted_window) - 1
        return self._sorted_window[
            min(last, int(fraction * len(self._sorted_window)))
        ]


class AdaptiveLimit:
    """Lowers the concurrency while requests take far longer than the median.

    The limit never falls below half of the capacity: a slowdown caused by
    another process beside the target does not depend on the concurrency here,
    and a lower limit would only add to the delay.

    Attributes:
      value: Current limit in concurrent requests.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._limit = float(capacity)
        self._requests_since_change = 0

    @property
    def value(self) -> int:
        """Returns the limit in concurrent requests."""
        return max(1, int(self._limit))

    def resize(self, capacity: int) -> None:
        """Adopts a new capacity of the target and resets the limit to it."""
        self._capacity = capacity
        self._limit = float(capacity)

    def update(self, times: ServiceTimes) -> None:
        """Adapts the limit after a finished request.

        It changes at most once per `value` requests: down by a tenth if the
        recent median is more than twice the median of the window, else up by
        one.
        """
        self._requests_since_change += 1
        if (
            self._requests_since_change < self._limit
            or len(times) < _MIN_SAMPLES
        ):
            return
        self._requests_since_change = 0
        if times.recent_median_ms() > _SLOWDOWN_FACTOR * times.median_ms():
            floor = (self._capacity + 1) // 2
            self._limit = max(floor, self._limit * _DECREASE_FACTOR)
        else:
            self._limit = min(self._capacity, self._limit + 1)
