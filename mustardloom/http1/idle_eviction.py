"""Closes connections that are idle or slow, so that others can be accepted."""

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import enum
import heapq
from typing import Protocol

from mustardloom import clock as clock_lib

__all__ = ["Evictable", "IdleEvictor", "Patience", "Standstill"]

_MAX_BATCH = 64
# Out of all connections, so that a young one is not closed along with old ones.
_BATCH_DIVISOR = 4
_MIN_SCAN_INTERVAL_MS = 20
# Bounds the time that scans take while none of many connections can be closed.
_MAX_SCANNED_PER_MS = 32
# Connections that may be looked at for each one that is closed.
_MAX_SCANNED_PER_CLOSED = 64


class Standstill(enum.IntEnum):
    """Why a connection may be closed; the lowest goes first."""

    # The last answer has been sent, its end included.
    ENDED = 0
    # Nothing has been sent on it.
    UNUSED = 1
    # It is between two requests.
    IDLE = 2
    # The head of a request has arrived in part.
    SLOW = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """How long a connection stays although another needs its descriptor.

    Attributes:
      idle_ms: Time without a request.
      slow_ms: Time from the first byte of a head to its last one.
    """

    idle_ms: int = 500
    slow_ms: int = 1_000


class Evictable(Protocol):
    """A connection that may be closed while it stands still."""

    def standstill(self) -> tuple[Standstill, int] | None:
        """Returns why it stands still, and since which local time in ms."""

    def evict(self) -> bool:
        """Closes it unless a request has arrived; returns whether it did."""


class IdleEvictor:
    """Closes connections that stand still, the longest first.

    A connection between two requests stays while there are some on which
    nothing was sent, even if these are too young to be closed.

    Args:
      connections: The connections, which change.
      clock: Source of time.
      patience: How long a connection may stand still.
    """

    def __init__(
        self,
        connections: Collection[Evictable],
        clock: clock_lib.Clock,
        patience: Patience,
    ):
        self._connections = connections
        self._clock = clock
        self._next_scan_ms = 0
        self._limit_ms_by_reason = {
            Standstill.ENDED: 0,
            Standstill.UNUSED: patience.idle_ms,
            Standstill.IDLE: patience.idle_ms,
            Standstill.SLOW: patience.slow_ms,
        }

    def evict(self) -> int:
        """Closes some connections; returns how many."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_scan_ms:
            return 0
        scanned = len(self._connections)
        batch = max(1, min(_MAX_BATCH, scanned // _BATCH_DIVISOR))
        chosen = heapq.nsmallest(batch, self._candidates(now_ms))
        closed = sum(connection.evict() for *_, connection in chosen)
        if closed * _MAX_SCANNED_PER_CLOSED < scanned:
            self._next_scan_ms = now_ms + max(
                _MIN_SCAN_INTERVAL_MS, scanned // _MAX_SCANNED_PER_MS
            )
        return closed

    def _candidates(
        self, now_ms: int
    ) -> Iterator[tuple[Standstill, int, int, Evictable]]:
        """Yields reason, time, a number that differs, and the connection."""
        found = [
            (*standstill, number, connection)
            for number, connection in enumerate(self._connections)
            if (standstill := connection.standstill()) is not None
        ]
        has_unused = any(item[0] is Standstill.UNUSED for item in found)
        return (
            item
            for item in found
            if now_ms - item[1] >= self._limit_ms_by_reason[item[0]]
            and not (has_unused and item[0] is Standstill.IDLE)
        )
