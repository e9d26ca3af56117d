"""Requests that may have crashed the target, by the connections it lost."""

import collections
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.load_control import quarantine as quarantine_lib

__all__ = ["CrashSuspects"]

# A request may have caused a crash if its connection broke at most this long
# before the crash was noticed.
_WINDOW_MS = 4_000
_MAX_LOST_CONNECTIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _LostConnection:
    """A connection that ended while the target had a request on it."""

    lost_ms: int
    fingerprint: int


class CrashSuspects:
    """Remembers lost connections until a crash of the target is noticed."""

    def __init__(
        self, quarantine: quarantine_lib.Quarantine, clock: clock_lib.Clock
    ):
        self._quarantine = quarantine
        self._clock = clock
        self._lost: collections.deque[_LostConnection] = collections.deque(
            maxlen=_MAX_LOST_CONNECTIONS
        )

    def record_lost_connection(self, fingerprint: int) -> None:
        """Records that the connection of a request ended without an answer."""
        self._lost.append(_LostConnection(self._clock.now_ms(), fingerprint))

    def record_crash(self) -> None:
        """Reports the requests that may have caused a crash just noticed."""
        oldest_ms = self._clock.now_ms() - _WINDOW_MS
        suspects = {
            lost.fingerprint: frozenset[ids.RegionId]()
            for lost in self._lost
            if lost.lost_ms >= oldest_ms
        }
        self._lost.clear()
        if suspects:
            self._quarantine.record_crash(suspects)
