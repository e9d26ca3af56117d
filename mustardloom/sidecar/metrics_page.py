"""Counters and histograms as text for scrapers."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools

from mustardloom import metrics as metrics_lib
from mustardloom.http1 import messages

__all__ = ["MetricsPage"]

_OK = 200
_NOT_FOUND = 404
_PREFIX = "mustardloom_"


class MetricsPage:
    """Serves what a scraper asks for.

    Args:
      metrics: Counters of the daemon.
      gauges: Returns gauges by name; names end in their unit.
    """

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        gauges: Callable[[], dict[str, float]],
    ):
        self._metrics = metrics
        self._gauges = gauges

    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the page."""
        if request.target.partition("?")[0] != "/metrics":
            return messages.Response(_NOT_FOUND)
        # Loaded at the first scrape only, as most daemons are never scraped.
        import prometheus_client
        from prometheus_client import core

        class _Collector:
            """Hands the daemon's figures to the library."""

            def __init__(self, page: MetricsPage):
                self._page = page

            def collect(self) -> Iterator[core.Metric]:
                """Yields one family for each figure."""
                for name, count in self._page.counters():
                    yield core.CounterMetricFamily(name, name, value=count)
                for name, buckets, total_ms in self._page.histograms():
                    yield core.HistogramMetricFamily(
                        name, name, buckets=buckets, sum_value=total_ms
                    )
                for name, value in self._page.gauges():
                    yield core.GaugeMetricFamily(name, name, value=value)

        registry = core.CollectorRegistry()
        registry.register(_Collector(self))
        body = prometheus_client.generate_latest(registry)
        kind = prometheus_client.CONTENT_TYPE_LATEST.encode()
        return messages.Response(_OK, ((b"Content-Type", kind),), body)

    def counters(self) -> Iterator[tuple[str, int]]:
        """Yields the counters by their names on the page."""
        for name, count in sorted(self._metrics.counters.items()):
            yield _PREFIX + name.replace(".", "_").replace("-", "_"), count

    def histograms(
        self,
    ) -> Iterator[tuple[str, list[tuple[str, float]], float]]:
        """Yields names, cumulative buckets and sums of the histograms."""
        for name, histogram in sorted(self._metrics.histograms.items()):
            bounds = [*map(str, histogram.bounds_ms), "+Inf"]
            cumulative = itertools.accumulate(histogram.counts)
            buckets = [
                (bound, float(count))
                for bound, count in zip(bounds, cumulative, strict=True)
            ]
            yield _PREFIX + name.replace(".", "_"), buckets, histogram.total_ms

    def gauges(self) -> Iterator[tuple[str, float]]:
        """Yields the gauges by their names on the page."""
        for name, value in sorted(self._gauges().items()):
            yield _PREFIX + name, value
