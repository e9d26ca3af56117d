"""What a connection of a client needs of the server that accepted it."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from mustardloom import clock as clock_lib
from mustardloom import memory_budget
from mustardloom.http1 import bodies
from mustardloom.http1 import connection_end
from mustardloom.http1 import messages
from mustardloom.http1 import server_limits

__all__ = [
    "ConnectionOwner",
    "Handler",
    "MalformedCallback",
    "RejectedCallback",
]

Handler = Callable[[messages.Request], Awaitable[messages.Response]]
# Called with the headers of a request, as far as known, and its answer.
RejectedCallback = Callable[
    [Sequence[messages.Header], messages.Response], None
]
# Called with a request as far as its head was read, and with the bytes of that
# head, which are not valid; returns the answer, None for status 400.
MalformedCallback = Callable[
    [messages.Request, bytes], messages.Response | None
]


class ConnectionOwner(Protocol):
    """Settings and callbacks of a connection; see `server.HttpServer`."""

    handler: Handler
    clock: clock_lib.Clock
    budget: memory_budget.MemoryBudget
    kind: memory_budget.HoldKind
    turns: bodies.Turns | None
    is_draining: bool
    on_fault: Callable[[BaseException], None]
    on_rejected: RejectedCallback
    on_malformed: MalformedCallback
    on_end: connection_end.EndCallback

    def limits(self) -> server_limits.ServerLimits:
        """Returns the limits now in force."""
