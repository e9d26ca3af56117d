"""Limit for a target that may be cold."""

__all__ = ["Warmup"]

_JUMP_FACTOR = 3.0
# A single service time above the factor is common in a long-tailed
# distribution; three in a row are not.
_JUMP_STREAK = 3
# Below this, rounding to whole milliseconds alone can exceed the factor.
_JUMP_MIN_MS = 5.0


class Warmup:
    """Grows from one concurrent request to the capacity.

    Example:
      >>> warmup = Warmup(capacity=2)
      >>> warmup.value
      1
      >>> warmup.record_success(10, usual_ms=0)
      False
      >>> warmup.value
      2
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._successes = 0
        self._streak = 0
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
        """Treats the target as cold."""
        self.value = 1
        self._successes = 0
        self._streak = 0

    def record_success(self, service_ms: float, usual_ms: float) -> bool:
        """Counts a success; returns whether the target turned cold.

        Args:
          service_ms: Service time of the request.
          usual_ms: Usual service time, 0 if it is not known.
        """
        if self._is_jump(service_ms, usual_ms):
            self.restart()
            return True
        self._successes += 1
        if self._successes >= self.value and not self.is_warm:
            self.value += 1
            self._successes = 0
        return False

    def _is_jump(self, service_ms: float, usual_ms: float) -> bool:
        threshold_ms = max(_JUMP_MIN_MS, _JUMP_FACTOR * usual_ms)
        if usual_ms and service_ms > threshold_ms:
            self._streak += 1
        else:
            self._streak = 0
        return self._streak >= _JUMP_STREAK
