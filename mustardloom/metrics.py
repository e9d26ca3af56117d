"""Counters, gauges and histograms; the first two are sent to statsd."""

import bisect
import collections
import dataclasses

import statsd

from mustardloom import clock as clock_lib

__all__ = ["Histogram", "Metrics"]

_FLUSH_INTERVAL_MS = 1_000
# Inclusive upper bounds of the buckets of all histograms.
_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 750, 1_000, 1_500, 3_000)


@dataclasses.dataclass(slots=True)
class Histogram:
    """Counts of durations by bucket.

    Attributes:
      bounds_ms: Inclusive upper bounds of the buckets.
      counts: Durations in each bucket; the last one has no upper bound.
      total_ms: Sum of all durations.

    Example:
      >>> histogram = Histogram()
      >>> histogram.observe(4)
      >>> histogram.counts[2], histogram.total_ms
      (1, 4.0)
    """

    bounds_ms: tuple[int, ...] = _BOUNDS_MS
    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(_BOUNDS_MS) + 1)
    )
    total_ms: float = 0.0

    def observe(self, duration_ms: float) -> None:
        """Adds one duration."""
        self.counts[bisect.bisect_left(self.bounds_ms, duration_ms)] += 1
        self.total_ms += duration_ms


class Metrics:
    """Collects metrics in memory and sends them once a second.

    Changes of a counter are summed between two flushes, so that a busy daemon
    does not send one datagram per request.

    Args:
      client: Receives counters and gauges; None sends nothing.

    Example:
      >>> metrics = Metrics()
      >>> metrics.increment("requests")
      >>> metrics.counters["requests"]
      1
    """

    def __init__(self, client: statsd.StatsClient | None = None):
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, Histogram] = {}
        self._client = client
        self._sent: collections.Counter[str] = collections.Counter()

    def increment(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter `name`."""
        self.counters[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name` to `value`."""
        self.gauges[name] = value

    def observe(self, name: str, duration_ms: float) -> None:
        """Adds a duration to the histogram `name`."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.observe(duration_ms)

    def flush(self) -> None:
        """Sends all gauges and the changes of counters since the last flush."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, total in self.counters.items():
                change = total - self._sent[name]
                if change:
                    pipeline.incr(name, change)
            for name, value in self.gauges.items():
                pipeline.gauge(name, value)
        self._sent = self.counters.copy()

    async def run(self, clock: clock_lib.Clock) -> None:
        """Flushes once a second until cancelled."""
        while True:
            await clock.sleep_ms(_FLUSH_INTERVAL_MS)
            self.flush()
