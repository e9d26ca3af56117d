"""Behaviour of a stand-in target: service times, cold starts and faults."""

import math
import random

import msgspec

__all__ = ["Faults", "ServiceTime", "WarmCapacity"]

# A cold target handles the warm capacity divided by this.
_COLD_CAPACITY_DIVISOR = 3


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that `POST /_target/faults` sets.

    Attributes:
      slow_factor: Multiplies the service times.
      freeze_ms: Blocks the whole process once, for this time.
      cold: Makes the target cold once, without a new instance.
      cold_grace_ms: Time after `cold` in which overload crashes no target.
      misleading_load: Makes /_target/load report an idle target.
      unhealthy: Makes /_target/health report failure while requests still run.
    """

    slow_factor: float = 1.0
    freeze_ms: int = 0
    cold: bool = False
    cold_grace_ms: int = 1_000
    misleading_load: bool = False
    unhealthy: bool = False


class ServiceTime:
    """Draws lognormal service times with a given mean.

    Example:
      >>> ServiceTime(mean_ms=10, sigma=0, seed=1).draw_ms()
      10.0
    """

    def __init__(self, mean_ms: float, sigma: float, seed: int):
        self._random = random.Random(seed)
        # The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
        self._scale_ms = mean_ms * math.exp(-(sigma**2) / 2)
        self._sigma = sigma

    def draw_ms(self) -> float:
        """Returns the service time of the next request."""
        return self._scale_ms * self._random.lognormvariate(0, self._sigma)


class WarmCapacity:
    """Concurrent requests that a target can handle while it warms up.

    Attributes:
      limit: Current capacity in concurrent requests.

    Example:
      >>> capacity = WarmCapacity(capacity=6)
      >>> capacity.limit
      2
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._completed = 0
        self._grace_until_ms = 0
        self.limit = capacity
        self.reset()

    def reset(self, grace_until_ms: int = 0) -> None:
        """Makes the target cold.

        Args:
          grace_until_ms: Time before which overload does not crash it.
        """
        self.limit = max(1, self._capacity // _COLD_CAPACITY_DIVISOR)
        self._completed = 0
        self._grace_until_ms = grace_until_ms

    def record_completed(self) -> None:
        """Counts a completed request; `limit` of them raise `limit` by one."""
        self._completed += 1
        if self._completed >= self.limit and self.limit < self._capacity:
            self.limit += 1
            self._completed = 0

    def is_overloaded(self, running: int, now_ms: int) -> bool:
        """Returns whether a cold target crashes with `running` requests."""
        is_cold = self.limit < self._capacity
        return (
            is_cold and running > self.limit and now_ms >= self._grace_until_ms
        )
