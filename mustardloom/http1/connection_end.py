"""Reports why connections of clients end."""

from collections.abc import Callable
import enum

__all__ = ["ConnectionEnd", "EndCallback", "EndReason"]


class EndReason(enum.Enum):
    """Why a connection of a client ended.

    Attributes:
      CALLER_CLOSED: The client closed or reset it.
      IDLE: The limit of time without a request.
      SLOW: The limit of time for the rest of a head or of a body.
      UNREAD: The client did not read its answers.
      LAST_ANSWER: Its last answer was written: one with `Connection: close`,
        of HTTP/1.0, without a length, or in a stop.
      IDLE_AT_STOP: It had no request when a stop ended the reading.
      EVICTED: Another connection needed its descriptor.
      BROKEN_OFF: An answer in pieces broke off.
      REJECTED: A request was malformed, too large or found no room.
      PROCESS_END: It was open at the end of a stop.
      FAULT: An unexpected error of the server.
    """

    CALLER_CLOSED = "caller-closed"
    IDLE = "idle"
    SLOW = "slow"
    UNREAD = "unread"
    LAST_ANSWER = "last-answer"
    IDLE_AT_STOP = "idle-at-stop"
    EVICTED = "evicted"
    BROKEN_OFF = "broken-off"
    REJECTED = "rejected"
    PROCESS_END = "process-end"
    FAULT = "fault"


# Called with the reason, and with the number of requests that were read and
# whose answers had not left.
EndCallback = Callable[[EndReason, int], None]


class ConnectionEnd:
    """Reports the end of one connection once, with its first reason.

    Args:
      on_end: Called at the end.

    Example:
      >>> end = ConnectionEnd(print)
      >>> end.report(EndReason.CALLER_CLOSED, 1)
      EndReason.CALLER_CLOSED 1
      >>> end.report(EndReason.IDLE, 0)
    """

    __slots__ = ("_is_reported", "_on_end", "_planned")

    def __init__(self, on_end: EndCallback):
        self._on_end = on_end
        self._is_reported = False
        self._planned: EndReason | None = None

    def plan(self, reason: EndReason) -> None:
        """Sets why the connection will end once its answers have left."""
        if self._planned is None:
            self._planned = reason

    def report_planned(self) -> None:
        """Reports an end after all answers."""
        self.report(self._planned or EndReason.LAST_ANSWER, 0)

    def report(self, reason: EndReason, open_requests: int) -> None:
        """Reports an end, unless one was reported before."""
        if not self._is_reported:
            self._is_reported = True
            self._on_end(reason, open_requests)
