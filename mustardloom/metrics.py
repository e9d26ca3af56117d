"""Counters and gauges, sent by statsd."""

import collections

import statsd

from mustardloom import clock as clocks

__all__ = ["Metrics"]

_FLUSH_INTERVAL_MS = 1_000


class Metrics:
    """Collects metrics in memory and sends them once a second.

    Counters are summed between two sends, so that a busy daemon does not pay
    for one datagram per request.

    Example:
      >>> metrics = Metrics()
      >>> metrics.increment("requests")
      >>> metrics.counters["requests"]
      1
    """

    def __init__(self, client: statsd.StatsClient | None = None):
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self._client = client
        self._sent: collections.Counter[str] = collections.Counter()

    def increment(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter `name`."""
        self.counters[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""
        self.gauges[name] = value

    def flush(self) -> None:
        """Sends the changes of all counters and the values of all gauges."""
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

    async def run(self, clock: clocks.Clock) -> None:
        """Flushes once a second until cancelled."""
        while True:
            await clock.sleep_ms(_FLUSH_INTERVAL_MS)
            self.flush()
