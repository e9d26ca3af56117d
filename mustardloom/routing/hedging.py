"""Hedging: when to send a second attempt of a slow idempotent request."""

import bisect

from mustardloom import ids
from mustardloom.routing import budgets

__all__ = ["HEDGE_RATIO", "DecayingHistogram", "Hedger"]

HEDGE_RATIO = 0.05

_HEDGE_BURST = 20.0
# A request is hedged after this quantile of the latencies of its route.
_HEDGE_QUANTILE = 0.95
_MIN_SAMPLES = 20
_MIN_DELAY_MS = 2
_HALVE_AFTER_SAMPLES = 1_000
_BUCKET_GROWTH = 1.12
_MAX_LATENCY_MS = 120_000


def _bucket_edges() -> list[float]:
    edges = [1.0]
    while edges[-1] < _MAX_LATENCY_MS:
        edges.append(max(edges[-1] + 1.0, edges[-1] * _BUCKET_GROWTH))
    return edges


_EDGES_MS = _bucket_edges()


class DecayingHistogram:
    """Histogram of latencies in which older samples lose weight.

    All weights are halved after each `_HALVE_AFTER_SAMPLES` samples.

    Example:
      >>> histogram = DecayingHistogram()
      >>> for _ in range(30):
      ...     histogram.record(10)
      >>> histogram.quantile(0.95)
      10
    """

    def __init__(self) -> None:
        self._counts = [0.0] * (len(_EDGES_MS) + 1)
        self._total = 0.0
        self._samples_since_halving = 0

    def record(self, latency_ms: int) -> None:
        """Adds one latency sample."""
        self._counts[bisect.bisect_left(_EDGES_MS, latency_ms)] += 1.0
        self._total += 1.0
        self._samples_since_halving += 1
        if self._samples_since_halving >= _HALVE_AFTER_SAMPLES:
            self._halve()

    def quantile(self, share: float) -> int | None:
        """Returns the upper edge in ms of the bucket that holds a quantile.

        Args:
          share: Quantile as a number from 0 to 1.

        Returns:
          The upper edge; None while there are too few samples.
        """
        if self._total < _MIN_SAMPLES:
            return None
        remaining = share * self._total
        for index, count in enumerate(self._counts[:-1]):
            remaining -= count
            if remaining <= 0:
                return int(_EDGES_MS[index])
        return _MAX_LATENCY_MS

    def _halve(self) -> None:
        self._counts = [count / 2 for count in self._counts]
        self._total /= 2
        self._samples_since_halving = 0


class Hedger:
    """Delay and budget of hedged attempts, for all routes of an ingress."""

    def __init__(self) -> None:
        self._histograms: dict[ids.RouteId, DecayingHistogram] = {}
        self._delays_ms: dict[ids.RouteId, int | None] = {}
        self._budget = budgets.TokenBudget(HEDGE_RATIO, _HEDGE_BURST)

    def record_latency(self, route: ids.RouteId, latency_ms: int) -> None:
        """Records the latency of an answered request."""
        histogram = self._histograms.get(route)
        if histogram is None:
            histogram = self._histograms[route] = DecayingHistogram()
        histogram.record(latency_ms)
        self._delays_ms.pop(route, None)

    def record_request(self) -> None:
        """Adds to the budget for one request that may be hedged."""
        self._budget.record_request()

    def delay_ms(self, route: ids.RouteId) -> int | None:
        """Returns the delay before a hedge, None while it is unknown."""
        if route not in self._delays_ms:
            self._delays_ms[route] = self._compute_delay_ms(route)
        return self._delays_ms[route]

    def may_hedge(self) -> bool:
        """Returns whether the budget allows a hedge now."""
        return self._budget.can_take()

    def try_take(self) -> bool:
        """Takes a hedge from the budget; returns False if none is left."""
        return self._budget.try_take()

    def _compute_delay_ms(self, route: ids.RouteId) -> int | None:
        histogram = self._histograms.get(route)
        if histogram is None:
            return None
        quantile_ms = histogram.quantile(_HEDGE_QUANTILE)
        if quantile_ms is None:
            return None
        return max(_MIN_DELAY_MS, quantile_ms)
