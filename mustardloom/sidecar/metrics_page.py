"""Metrics page with counters, histograms and gauges in Prometheus format."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib
from mustardloom.http1 import messages

__all__ = ["MetricsPage"]

_OK = 200
_NOT_FOUND = 404
# Rendering the page takes milliseconds of processor time, whoever asks for it.
_RENDER_INTERVAL_MS = 200
_PREFIX = "mustardloom_"


class MetricsPage:
    """Serves the metrics of the daemon.

    Args:
      metrics: Counters and histograms of the daemon.
      gauges: Returns the gauges by their names, which end in the unit.
      clock: Source of time.
    """

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        gauges: Callable[[], dict[str, float]],
        clock: clock_lib.Clock,
    ):
        self._metrics = metrics
        self._gauges = gauges
        self._clock = clock
        self._response: messages.Response | None = None
        self._rendered_ms = 0

    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the page, or status 404 for paths other than /metrics."""
        if request.target.partition("?")[0] != "/metrics":
            return messages.Response(_NOT_FOUND)
        now_ms = self._clock.now_ms()
        if (
            self._response is None
            or now_ms - self._rendered_ms >= _RENDER_INTERVAL_MS
        ):
            self._response = self._render()
            self._rendered_ms = now_ms
        return self._response

    def _render(self) -> messages.Response:
        """Returns the page as it is now."""
        # Imported at the first scrape, as most daemons are never scraped.
        import prometheus_client
        from prometheus_client import core

        class _Collector:
            """Adapts the metrics of the page to the Prometheus client."""

            def __init__(self, page: MetricsPage):
                self._page = page

            def collect(self) -> Iterator[core.Metric]:
                """Yields a metric family for each metric."""
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
        """Yields the counters as name on the page and count."""
        for name, count in sorted(self._metrics.counters.items()):
            yield _PREFIX + name.replace(".", "_").replace("-", "_"), count

    def histograms(
        self,
    ) -> Iterator[tuple[str, list[tuple[str, float]], float]]:
        """Yields the histograms as name on the page, buckets and sum in ms.

        Each bucket has its upper bound and the number of durations up to it.
        """
        for name, histogram in sorted(self._metrics.histograms.items()):
            bounds = [*map(str, histogram.bounds_ms), "+Inf"]
            cumulative = itertools.accumulate(histogram.counts)
            buckets = [
                (bound, float(count))
                for bound, count in zip(bounds, cumulative, strict=True)
            ]
            yield _PREFIX + name.replace(".", "_"), buckets, histogram.total_ms

    def gauges(self) -> Iterator[tuple[str, float]]:
        """Yields the gauges as name on the page and value."""
        for name, value in sorted(self._gauges().items()):
            yield _PREFIX + name, value
