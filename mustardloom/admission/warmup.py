"""Slow start: the concurrency limit of a target that may be cold."""

__all__ = ["Warmup"]

_COLD_FACTOR = 3.0
# A single service time above the factor is common in a long-tailed
# distribution; three in a row are not.
_COLD_STREAK = 3
# Below this, rounding to whole milliseconds alone can exceed the factor.
_COLD_MIN_MS = 5.0


class Warmup:
    """Limit that grows from one concurrent request to the capacity.

    It grows by one after as many successes as its value.

    Attributes:
      value: Current limit in concurrent requests.

    Example:
      >>> warmup = Warmup(capacity=2)
      >>> warmup.value
      1
      >>> warmup.record_success(10, median_ms=0)
      False
      >>> warmup.value
      2
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._successes = 0
        self._slow_streak = 0
        self.value = 1

    @property
    def is_warm(self) -> bool:
        """Returns whether the limit has reached the capacity."""
        return self.value >= self._capacity

    def resize(self, capacity: int) -> None:
        """Adopts a new capacity of the target."""
        self._capacity = capacity
        self.value = min(self.value, capacity)

    def restart(self) -> None:
        """Treats the target as cold: the limit is one again."""
        self.value = 1
        self._successes = 0
        self._slow_streak = 0

    def record_success(self, service_ms: float, median_ms: float) -> bool:
        """Records a success; returns whether the target has become cold.

        Args:
          service_ms: Service time of the request.
          median_ms: Median service time so far, 0 if it is not known.
        """
        if self._detect_cold(service_ms, median_ms):
            self.restart()
            return True
        self._successes += 1
        if self._successes >= self.value and not self.is_warm:
            self.value += 1
            self._successes = 0
        return False

    def _detect_cold(self, service_ms: float, median_ms: float) -> bool:
        threshold_ms = max(_COLD_MIN_MS, _COLD_FACTOR * median_ms)
        if median_ms and service_ms > threshold_ms:
            self._slow_streak += 1
        else:
            self._slow_streak = 0
        return self._slow_streak >= _COLD_STREAK
