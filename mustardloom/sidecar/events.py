"""Structured log lines: one for each decision, bounded and never blocking."""

import enum
import os

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib

__all__ = ["Event", "EventLog"]

_STDOUT = 1
# Lines about single requests; changes of state are not bounded.
_LINES_PER_S = 20
_BURST_LINES = 60
_MS_PER_S = 1_000


class Event(enum.Enum):
    """What a line tells."""

    START = "start"
    STOP = "stop"
    RELOAD = "reload"
    STORE_LOST = "store-lost"
    STORE_BACK = "store-back"
    PEER_LOST = "peer-lost"
    PEER_BACK = "peer-back"
    CONFIGURATION_ADOPTED = "configuration-adopted"
    CONFIGURATION_UNREADABLE = "configuration-unreadable"
    EVACUATION_CHANGED = "evacuation-changed"
    TARGET_NEW = "target-new"
    TARGET_LEAVING = "target-leaving"
    TARGET_DOWN = "target-down"
    TARGET_BACK = "target-back"
    NOTICE_REJECTED = "notice-rejected"
    KEY_MAP_ADOPTED = "key-map-adopted"
    KEY_MAP_PLANNED = "key-map-planned"
    KEYS_RELEASED = "keys-released"
    AUTHORITY_LOST = "authority-lost"
    AUTHORITY_BACK = "authority-back"
    REQUEST_REFUSED = "request-refused"
    REQUEST_REPEATED = "request-repeated"
    REQUEST_FAILED = "request-failed"
    REQUEST_EXPIRED = "request-expired"
    GATE_REFUSED = "gate-refused"
    GATE_FAILED = "gate-failed"
    FAULT = "fault"


_REQUEST_EVENTS = frozenset(
    (
        Event.REQUEST_REFUSED,
        Event.REQUEST_REPEATED,
        Event.REQUEST_FAILED,
        Event.REQUEST_EXPIRED,
        Event.GATE_REFUSED,
        Event.GATE_FAILED,
    )
)


class EventLog:
    """Writes JSON lines to a descriptor.

    Lines about requests are bounded by a token bucket. What cannot be written
    at once is left out; the next line tells how many were.
    """

    def __init__(
        self,
        vm: str,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        descriptor: int = _STDOUT,
    ):
        self._vm = vm
        self._clock = clock
        self._metrics = metrics
        self._descriptor = descriptor
        self._tokens = float(_BURST_LINES)
        self._filled_ms = clock.now_ms()
        self._left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, event: Event, **fields: object) -> None:
        """Writes one line; numbers carry their unit in the name."""
        self._metrics.increment(f"event.{event.value}")
        if event in _REQUEST_EVENTS and not self._take():
            self._left_out += 1
            return
        line: dict[str, object] = {
            "wall_ms": self._clock.wall_ms(),
            "vm": self._vm,
            "event": event.value,
            **fields,
        }
        if self._left_out:
            line["lines_left_out"] = self._left_out
        data = msgspec.json.encode(line) + b"\n"
        try:
            os.write(self._descriptor, data)
            self._left_out = 0
        except OSError:
            # A reader that is slow or gone costs lines, not requests.
            self._left_out += 1

    def _take(self) -> bool:
        now_ms = self._clock.now_ms()
        grown = (now_ms - self._filled_ms) * _LINES_PER_S / _MS_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + grown)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
