"""Rate limit that a target states in its responses.

Load pattern: a target in need names the requests a second that it takes from
all VMs together. Its places would allow far more, so a limit on concurrent
requests does not hold its rate. All requests for a target pass one gate, which
spaces their starts; the other daemons place requests and keys as if the target
had only as many places as its rate fills.
"""

import math

__all__ = ["RateLimit", "effective_concurrency"]

_MS_PER_S = 1_000
# Requests may start this much earlier than evenly spaced, so that a short
# burst need not wait.
_BURST_MS = 500
# A target that states a limit of 0 still gets a request now and then, as only a
# response can tell that the limit has ended.
_MIN_RATE_PER_S = 0.25
# Responses may overtake each other, so one without a limit counts only if none
# of the last moments has stated it.
_REORDERING_MS = 200
# Keeps waits finite for a target that hardly takes any requests.
_MIN_CONCURRENCY = 0.05


class RateLimit:
    """Spaces the starts of requests while the target states a limit.

    Example:
      >>> limit = RateLimit()
      >>> limit.state(10.0, now_ms=0)
      >>> limit.wait_ms(0), limit.wait_ms(100)
      (100, 0)
      >>> limit.record_start(100)
      >>> limit.wait_ms(100)
      100
    """

    def __init__(self) -> None:
        """Creates a limit that is not in force."""
        self._rate_per_s: float | None = None
        self._stated_ms = 0
        # Time at which the next request would start if all were evenly spaced.
        self._next_ms = 0.0

    @property
    def rate_per_s(self) -> float | None:
        """Returns the limit in force, None if there is none."""
        return self._rate_per_s

    def state(self, rate_per_s: float | None, now_ms: int) -> None:
        """Adopts what the target stated in its latest response.

        Args:
          rate_per_s: Requests a second that it takes; None for any number.
          now_ms: Local time.
        """
        if rate_per_s is None:
            if now_ms - self._stated_ms >= _REORDERING_MS:
                self._rate_per_s = None
            return
        self._stated_ms = now_ms
        before_ms = self._interval_ms()
        waiting_ms = self._next_ms - now_ms
        is_new = self._rate_per_s is None
        self._rate_per_s = max(_MIN_RATE_PER_S, rate_per_s)
        if is_new:
            # The requests that started just before count as a full burst.
            waiting_ms = self._burst_ms() + self._interval_ms()
        else:
            waiting_ms *= self._interval_ms() / before_ms
        self._next_ms = now_ms + waiting_ms

    def clear(self) -> None:
        """Ends the limit, for a new instance of the target."""
        self._rate_per_s = None
        self._stated_ms = 0

    def wait_ms(self, now_ms: int) -> int:
        """Returns the time until a request may start; 0 if it may now."""
        if self._rate_per_s is None:
            return 0
        earliest_ms = self._next_ms - self._burst_ms()
        return max(0, math.ceil(earliest_ms - now_ms))

    def interval_ms(self) -> float:
        """Returns the time between two starts; 0 without a limit."""
        return 0.0 if self._rate_per_s is None else self._interval_ms()

    def record_start(self, now_ms: int) -> None:
        """Counts a request that starts now."""
        if self._rate_per_s is not None:
            self._next_ms = max(self._next_ms, now_ms) + self._interval_ms()

    def _interval_ms(self) -> float:
        return _MS_PER_S / (self._rate_per_s or _MIN_RATE_PER_S)

    def _burst_ms(self) -> float:
        """Returns how far ahead of even spacing a request may start.

        One interval is left out, as the request itself takes it.
        """
        return max(0.0, _BURST_MS - self._interval_ms())


def effective_concurrency(
    limit: int, service_ms: float, rate_per_s: float | None
) -> float:
    """Returns how many requests a target runs at once at its full rate.

    Args:
      limit: Requests that it can run at once.
      service_ms: Mean service time.
      rate_per_s: Requests a second that it takes; None for any number.

    Example:
      >>> effective_concurrency(11, 100.0, 30.0)
      3.0
    """
    if rate_per_s is None:
        return float(max(1, limit))
    filled = rate_per_s * service_ms / _MS_PER_S
    return max(_MIN_CONCURRENCY, min(float(limit), filled))
