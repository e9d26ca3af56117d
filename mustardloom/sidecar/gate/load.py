"""Load of the gate, as other daemons learn it."""

from collections.abc import Iterable
import dataclasses

from mustardloom.load_control import waiting

__all__ = ["GateLoad", "LoadMeter"]

# Weight of the newest request in the share of failed requests.
_FAILURE_SMOOTHING = 0.08
# Weight of the newest sample in the steady service time, which is sampled four
# times a second.
_STEADY_SMOOTHING = 0.08
# Weight of the newest sample in the utilisation.
_UTILISATION_SMOOTHING = 0.5
# The share of failures decays while the target is idle, as no newer request
# can correct it.
_FAILURE_HALF_LIFE_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of the gate.

    Attributes:
      limit: Requests that the target runs at once.
      running: Requests that it runs now.
      waiting: Requests in the queue.
      service_ms: Mean service time of the latest requests at the target.
      steady_service_ms: The same, smoothed over several seconds.
      failure_share: Share of the latest requests that failed or that the
        target refused.
      utilisation: Running and waiting requests relative to `limit`, smoothed;
        exceeds 1 under overload.
      rate_limit_per_s: Requests a second that the target takes; None for any
        number.
    """

    limit: int
    running: int
    waiting: int
    service_ms: float
    steady_service_ms: float
    failure_share: float
    utilisation: float
    rate_limit_per_s: float | None = None


class LoadMeter:
    """Measures utilisation, service time and failures of the target.

    Attributes:
      utilisation: Running and waiting requests relative to the concurrency of
        the target, smoothed over the samples.
      steady_service_ms: Mean service time, smoothed over the samples.
    """

    def __init__(self, service_times: waiting.ServiceTimes, now_ms: int):
        self.utilisation = 0.0
        self.steady_service_ms = service_times.overall_mean_ms(now_ms)
        self._service_times = service_times
        self._failure_share = 0.0
        # Time that requests which have ended ran in the current interval.
        self._busy_ms = 0.0
        self._interval_start_ms = now_ms
        self._last_end_ms = 0

    def record_end(self, started_ms: int, now_ms: int) -> None:
        """Records the end of a request.

        Args:
          started_ms: Local time at which it started.
          now_ms: Local time.
        """
        self._last_end_ms = now_ms
        self._busy_ms += self._busy_in_interval_ms(started_ms, now_ms)

    def record_failure(self, has_failed: bool) -> None:
        """Records whether a request failed or was refused by the target."""
        self._failure_share += _FAILURE_SMOOTHING * (
            has_failed - self._failure_share
        )

    def forget_failures(self) -> None:
        """Forgets the failures of an earlier instance of the target."""
        self._failure_share = 0.0

    def failure_share(self, is_running: bool, now_ms: int) -> float:
        """Returns the share of failed requests, decayed while idle.

        Args:
          is_running: Whether the target runs a request now.
          now_ms: Local time.
        """
        idle_ms = 0 if is_running else now_ms - self._last_end_ms
        weight: float = 0.5 ** (idle_ms / _FAILURE_HALF_LIFE_MS)
        return self._failure_share * weight

    def sample(
        self,
        starts_ms: Iterable[int],
        queued: int,
        concurrency: float,
        now_ms: int,
    ) -> None:
        """Samples the service time and the utilisation since the last call.

        Args:
          starts_ms: Local times at which the running requests started.
          queued: Requests in the queue.
          concurrency: Requests that the target runs at once at its full rate.
          now_ms: Local time.
        """
        busy_ms = self._busy_ms
        for started_ms in starts_ms:
            busy_ms += self._busy_in_interval_ms(started_ms, now_ms)
        passed_ms = max(1, now_ms - self._interval_start_ms)
        busy_share = busy_ms / passed_ms / concurrency
        queue_share = queued / concurrency
        self.utilisation += _UTILISATION_SMOOTHING * (
            busy_share + queue_share - self.utilisation
        )
        self._busy_ms = 0.0
        self._interval_start_ms = now_ms
        latest_ms = self._service_times.overall_mean_ms(now_ms)
        self.steady_service_ms += _STEADY_SMOOTHING * (
            latest_ms - self.steady_service_ms
        )

    def _busy_in_interval_ms(self, started_ms: int, now_ms: int) -> int:
        return now_ms - max(started_ms, self._interval_start_ms)
