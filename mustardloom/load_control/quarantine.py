"""Quarantine of requests that may crash the targets that run them."""

from collections.abc import Callable
from collections.abc import Mapping

from mustardloom import clock as clock_lib
from mustardloom import ids

__all__ = ["Quarantine", "SuspectCallback"]

Regions = frozenset[ids.RegionId]
# Takes the fingerprint, the number of crashes (0 clears a suspect), and the
# regions in which the request may be known (empty means any).
SuspectCallback = Callable[[int, int, Regions], None]

QUARANTINE_MS = 600_000
_CRASHES_TO_QUARANTINE = 2
_MAX_SUSPECTS = 10_000


class Quarantine:
    """Counts target crashes by request fingerprint.

    Example:
      >>> quarantine = Quarantine(clock_lib.FakeClock(), lambda *_: None)
      >>> quarantine.record_crash({7: frozenset()})
      >>> quarantine.is_suspect(7), quarantine.is_quarantined(7)
      (True, False)
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        notify: SuspectCallback,
        crashes_to_quarantine: int = _CRASHES_TO_QUARANTINE,
    ):
        """Creates a quarantine without suspects.

        Args:
          clock: Source of time.
          notify: Called for each change that other gates have to know.
          crashes_to_quarantine: Number of crashes after which a request is no
            longer run.
        """
        self._crashes_to_quarantine = crashes_to_quarantine
        self._clock = clock
        self._notify = notify
        self._crashes_by_fingerprint: dict[int, int] = {}
        self._since_ms_by_fingerprint: dict[int, int] = {}

    def is_suspect(self, fingerprint: int) -> bool:
        """Returns whether a request with this fingerprint must run alone."""
        self._forget_expired()
        return fingerprint in self._crashes_by_fingerprint

    def is_quarantined(self, fingerprint: int) -> bool:
        """Returns whether a request with this fingerprint must not run."""
        self._forget_expired()
        crashes = self._crashes_by_fingerprint.get(fingerprint, 0)
        return crashes >= self._crashes_to_quarantine

    def record_crash(
        self, regions_by_fingerprint: Mapping[int, Regions]
    ) -> None:
        """Records a crash of the target while it ran these requests."""
        for fingerprint, regions in regions_by_fingerprint.items():
            crashes = self._crashes_by_fingerprint.get(fingerprint, 0) + 1
            self._record(fingerprint, crashes)
            self._notify(fingerprint, crashes, regions)

    def record_success(self, fingerprint: int, regions: Regions) -> None:
        """Clears a suspect that was answered, unless it is quarantined."""
        crashes = self._crashes_by_fingerprint.get(fingerprint, 0)
        if 0 < crashes < self._crashes_to_quarantine:
            self._forget(fingerprint)
            self._notify(fingerprint, 0, regions)

    def record_peer_report(self, fingerprint: int, crashes: int) -> None:
        """Merges a report of another gate of the service.

        Each report is a separate crash: if two targets crash at the same time,
        both report a first crash, and the count is two.
        """
        known = self._crashes_by_fingerprint.get(fingerprint, 0)
        if crashes == 0:
            if known < self._crashes_to_quarantine:
                self._forget(fingerprint)
        else:
            self._record(fingerprint, max(known + 1, crashes))

    def _record(self, fingerprint: int, crashes: int) -> None:
        # Reinsertion keeps the dict ordered by the time of the latest crash.
        self._forget(fingerprint)
        self._crashes_by_fingerprint[fingerprint] = crashes
        self._since_ms_by_fingerprint[fingerprint] = self._clock.now_ms()
        if len(self._since_ms_by_fingerprint) > _MAX_SUSPECTS:
            self._forget(next(iter(self._since_ms_by_fingerprint)))

    def _forget(self, fingerprint: int) -> None:
        self._crashes_by_fingerprint.pop(fingerprint, None)
        self._since_ms_by_fingerprint.pop(fingerprint, None)

    def _forget_expired(self) -> None:
        cutoff_ms = self._clock.now_ms() - QUARANTINE_MS
        while self._since_ms_by_fingerprint:
            fingerprint = next(iter(self._since_ms_by_fingerprint))
            if self._since_ms_by_fingerprint[fingerprint] > cutoff_ms:
                return
            self._forget(fingerprint)
