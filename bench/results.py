"""Combines the reports of callers and prints tables."""

from collections.abc import Iterable
from collections.abc import Sequence
import subprocess

from hdrh import histogram as hdr
import msgspec

from mustardloom.standins import caller as caller_lib

__all__ = ["Combined", "ServiceRow", "finish", "print_table"]

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000


def finish(process: "subprocess.Popen[bytes]") -> caller_lib.Report:
    """Waits until a caller exits and returns its report."""
    out, _ = process.communicate()
    return msgspec.json.decode(out, type=caller_lib.Report)


def print_table(rows: Sequence[Sequence[object]]) -> None:
    """Prints rows with aligned columns; the first row is the header."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for text in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(text, widths, strict=True)
        )
        print("  ".join(cells).rstrip())


class ServiceRow(msgspec.Struct, frozen=True):
    """Latencies of the answered requests of one service and kind."""

    service: str
    kind: str
    answered: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class Combined:
    """Combined reports of several callers.

    Attributes:
      reports: The single reports.
      counts: Number of requests by outcome.
      reasons: Number of requests by reason of refusal or failure.
    """

    def __init__(self, reports: Iterable[caller_lib.Report]):
        self.reports = list(reports)
        self.counts: dict[str, int] = {}
        self.reasons: dict[str, int] = {}
        for report in self.reports:
            _add(self.counts, report.counts)
            _add(self.reasons, report.reasons)

    @property
    def total(self) -> int:
        """Number of requests."""
        return sum(self.counts.values())

    def answered_share(self) -> float:
        """Returns the share of requests that were answered."""
        return self.counts.get("answered", 0) / max(1, self.total)

    def percentile_ms(
        self, percentile: float, kind: str = "", service: str = ""
    ) -> float:
        """Returns a percentile of the latency of answered requests.

        Args:
          percentile: Percentile, up to 100.
          kind: `idempotent` or `once`; empty for both.
          service: Name of a service; empty for all.
        """
        merged = hdr.HdrHistogram(
            _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )
        for report in self.reports:
            for report_service, by_kind in report.latencies.items():
                if service not in ("", report_service):
                    continue
                for name, latencies in by_kind.items():
                    if name.startswith("answered") and name.endswith(kind):
                        merged.decode_and_add(latencies.encoded)
        value = float(merged.get_value_at_percentile(percentile))
        return value / _US_PER_MS

    def rows(self) -> list[ServiceRow]:
        """Returns one row per service and kind, sorted by both."""
        merged: dict[tuple[str, str], hdr.HdrHistogram] = {}
        for report in self.reports:
            for service, by_kind in report.latencies.items():
                for name, latencies in by_kind.items():
                    outcome, _, kind = name.partition(".")
                    if outcome != "answered":
                        continue
                    histogram = merged.setdefault(
                        (service, kind),
                        hdr.HdrHistogram(
                            _MIN_LATENCY_US,
                            _MAX_LATENCY_US,
                            _SIGNIFICANT_DIGITS,
                        ),
                    )
                    histogram.decode_and_add(latencies.encoded)
        return [
            ServiceRow(
                service,
                kind,
                int(histogram.get_total_count()),
                *(
                    float(histogram.get_value_at_percentile(p)) / _US_PER_MS
                    for p in (50.0, 99.0, 99.9)
                ),
            )
            for (service, kind), histogram in sorted(merged.items())
        ]


def _add(total: dict[str, int], counts: dict[str, int]) -> None:
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count
