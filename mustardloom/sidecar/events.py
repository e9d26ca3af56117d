"""Structured log: one line for each decision, bounded, never blocking."""

import enum
import os

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib
from mustardloom.sidecar import faults

__all__ = ["Event", "EventLog", "describe"]

_STDOUT = 1
_MS_PER_S = 1_000
# A line that is not longer is written to a pipe whole or not at all.
_MAX_LINE_BYTES = 4_096
_MAX_TEXT_CHARACTERS = 1_000


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
    DAEMON_REMOVED = "daemon-removed"
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
    CAP_OWNERS_LOST = "cap-owners-lost"
    REQUEST_REJECTED = "request-rejected"
    REQUEST_UNAUTHORISED = "request-unauthorised"
    REQUEST_OVER_CAP = "request-over-cap"
    REQUEST_REFUSED = "request-refused"
    REQUEST_REPEATED = "request-repeated"
    REQUEST_FAILED = "request-failed"
    REQUEST_EXPIRED = "request-expired"
    REQUEST_ABANDONED = "request-abandoned"
    GATE_REFUSED = "gate-refused"
    GATE_OVERDUE = "gate-overdue"
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
        Event.GATE_OVERDUE,
        Event.GATE_FAILED,
        # A target may state something else with each response.
        Event.TARGET_STATEMENT,
    )
)

# Each has its own limit, as callers may cause any number of these events and
# must not hide the lines about requests of others.
_CALLER_EVENTS = frozenset((Event.REQUEST_UNAUTHORISED, Event.REQUEST_OVER_CAP))
_REQUEST_LINES_PER_S = 20
_REQUEST_BURST_LINES = 60
# What others may cause as often as they like.
_REPORTS = frozenset(
    (
        Event.FAULT,
        Event.NOTICE_REJECTED,
        Event.OBJECT_UNREADABLE,
        Event.OBJECTS_LEFT_OUT,
        Event.RELOAD,
        Event.SETTINGS_AWAITED,
        Event.SIGNAL_IGNORED,
        Event.STORE_ANSWER_IGNORED,
    )
)
_REPORTS_PER_S = 2
_BURST_REPORTS = 20
# Many peers may be lost and found at once, and a zone is moved at once.
_CHANGES_PER_S = 5
_BURST_CHANGES = 400


class _TokenBucket:
    """Limits the rate of lines."""

    def __init__(self, lines_per_s: float, burst_lines: int, now_ms: int):
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = float(burst_lines)
        self._refilled_ms = now_ms

    def take(self, now_ms: int) -> bool:
        """Returns whether a line may be written."""
        refill = (now_ms - self._refilled_ms) * self._lines_per_s / _MS_PER_S
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Writes JSON lines to a file descriptor.

    Lines about requests share one token bucket, except those about callers that
    may not send them; each other event has its own, so that a storm of one kind
    hides no change of another. Lines over the limit and lines that cannot be
    written at once are dropped; the next line tells how many were dropped.

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
        now_ms = clock.now_ms()
        requests = _TokenBucket(
            _REQUEST_LINES_PER_S, _REQUEST_BURST_LINES, now_ms
        )
        self._bucket_by_event = {
            event: requests
            if event in _REQUEST_EVENTS
            else _own_bucket(event, now_ms)
            for event in Event
        }
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, event: Event, **fields: object) -> None:
        """Writes one line; names of numeric fields end in their unit."""
        self._metrics.increment(f"event.{event.value}")
        if not self._bucket_by_event[event].take(self._clock.now_ms()):
            self._dropped_lines += 1
            return
        line: dict[str, object] = {
            "wall_ms": self._clock.wall_ms(),
            "vm": self._vm,
            "event": event.value,
        }
        if self._dropped_lines:
            fields["lines_left_out"] = self._dropped_lines
        try:
            os.write(self._descriptor, _encode(line, fields))
            self._dropped_lines = 0
        except OSError:
            # A slow or closed reader must not delay requests.
            self._dropped_lines += 1

    def write_fault(
        self, error: BaseException | None, **fields: object
    ) -> None:
        """Writes a line about an error of the program, with its place."""
        if error is not None:
            fields = {
                "error": describe(error),
                "place": faults.place_of(error),
                **fields,
            }
        self.write(Event.FAULT, **fields)


def describe(value: object) -> str:
    """Returns a short text for a value, also if it has no valid one."""
    try:
        return _shorten(repr(value))
    except Exception as error:
        return f"{type(value).__name__} without a text: {type(error).__name__}"


def _own_bucket(event: Event, now_ms: int) -> _TokenBucket:
    """Returns the bucket of an event that shares none with others."""
    if event in _CALLER_EVENTS:
        return _TokenBucket(_REQUEST_LINES_PER_S, _REQUEST_BURST_LINES, now_ms)
    if event in _REPORTS:
        return _TokenBucket(_REPORTS_PER_S, _BURST_REPORTS, now_ms)
    return _TokenBucket(_CHANGES_PER_S, _BURST_CHANGES, now_ms)


def _encode(line: dict[str, object], fields: dict[str, object]) -> bytes:
    """Returns a line of bounded length; texts that are too long are cut."""
    try:
        data = msgspec.json.encode({**line, **fields})
    except (TypeError, ValueError):
        # Something in it has no form in JSON.
        fields = {name: describe(value) for name, value in fields.items()}
        data = msgspec.json.encode({**line, **fields})
    if len(data) >= _MAX_LINE_BYTES:
        cut = {
            name: _shorten(value) if isinstance(value, str) else value
            for name, value in fields.items()
            if isinstance(value, str | int | float)
        }
        data = msgspec.json.encode({**line, **cut, "line_bytes": len(data)})
    if len(data) >= _MAX_LINE_BYTES:
        data = msgspec.json.encode({**line, "line_bytes": len(data)})
    return data + b"\n"


def _shorten(value: str) -> str:
    # Escapes what is no valid text.
    text = value.encode("utf-8", "backslashreplace").decode()
    if len(text) <= _MAX_TEXT_CHARACTERS:
        return text
    return f"{text[:_MAX_TEXT_CHARACTERS]}..."
