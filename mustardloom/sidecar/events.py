"""Structured log: one line for each decision, rate-limited, never blocking."""

import enum
import os

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib

__all__ = ["Event", "EventLog"]

_STDOUT = 1
# Rate limit of lines about single requests; changes of state have none.
_LINES_PER_S = 20
_BURST_LINES = 60
_MS_PER_S = 1_000


class Event(enum.Enum):
    """Type of a log line."""

    START = "start"
    STOP = "stop"
    STOP_WAITING = "stop-waiting"
    END = "end"
    SETTINGS_AWAITED = "settings-awaited"
    ADDRESS_IN_USE = "address-in-use"
    ADDRESS_FREE = "address-free"
    MEMORY_HIGH = "memory-high"
    DESCRIPTORS_SHORT = "descriptors-short"
    DESCRIPTORS_BACK = "descriptors-back"
    RELOAD = "reload"
    SIGNAL_IGNORED = "signal-ignored"
    STORE_LOST = "store-lost"
    STORE_BACK = "store-back"
    STORE_RESTORED = "store-restored"
    STORE_ANSWER_IGNORED = "store-answer-ignored"
    PEER_LOST = "peer-lost"
    PEER_BACK = "peer-back"
    CONFIGURATION_ADOPTED = "configuration-adopted"
    OBJECT_UNREADABLE = "object-unreadable"
    OBJECTS_LEFT_OUT = "objects-left-out"
    EVACUATION_CHANGED = "evacuation-changed"
    TARGET_NEW = "target-new"
    TARGET_LEAVING = "target-leaving"
    TARGET_STATEMENT = "target-statement"
    TARGET_DOWN = "target-down"
    TARGET_BACK = "target-back"
    NOTICE_REJECTED = "notice-rejected"
    KEY_MAP_ADOPTED = "key-map-adopted"
    KEY_MAP_PLANNED = "key-map-planned"
    KEYS_RELEASED = "keys-released"
    AUTHORITY_LOST = "authority-lost"
    AUTHORITY_BACK = "authority-back"
    REQUEST_REJECTED = "request-rejected"
    REQUEST_REFUSED = "request-refused"
    REQUEST_REPEATED = "request-repeated"
    REQUEST_FAILED = "request-failed"
    REQUEST_EXPIRED = "request-expired"
    REQUEST_ABANDONED = "request-abandoned"
    GATE_REFUSED = "gate-refused"
    GATE_FAILED = "gate-failed"
    FAULT = "fault"


_REQUEST_EVENTS = frozenset(
    (
        Event.REQUEST_REJECTED,
        Event.REQUEST_REFUSED,
        Event.REQUEST_REPEATED,
        Event.REQUEST_FAILED,
        Event.REQUEST_EXPIRED,
        Event.REQUEST_ABANDONED,
        Event.GATE_REFUSED,
        Event.GATE_FAILED,
        # A target may state something else with each response.
        Event.TARGET_STATEMENT,
        Event.SIGNAL_IGNORED,
    )
)


class EventLog:
    """Writes JSON lines to a file descriptor.

    A token bucket limits the rate of lines about requests. Lines over the limit
    and lines that cannot be written at once are dropped; the next line tells
    how many were dropped.

    Args:
      vm: VM that each line names.
      clock: Source of time.
      metrics: Counts events, also those whose lines are dropped.
      descriptor: Descriptor to write to; it is made non-blocking.
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
        self._refilled_ms = clock.now_ms()
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, event: Event, **fields: object) -> None:
        """Writes one line; names of numeric fields end in their unit."""
        self._metrics.increment(f"event.{event.value}")
        if event in _REQUEST_EVENTS and not self._take_token():
            self._dropped_lines += 1
            return
        line: dict[str, object] = {
            "wall_ms": self._clock.wall_ms(),
            "vm": self._vm,
            "event": event.value,
            **fields,
        }
        if self._dropped_lines:
            line["lines_left_out"] = self._dropped_lines
        data = msgspec.json.encode(line) + b"\n"
        try:
            os.write(self._descriptor, data)
            self._dropped_lines = 0
        except OSError:
            # A slow or closed reader must not delay requests.
            self._dropped_lines += 1

    def _take_token(self) -> bool:
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) * _LINES_PER_S / _MS_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
