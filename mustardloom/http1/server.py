"""HTTP/1.1 server that runs pipelined requests concurrently."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import TypeVar

from tornado import iostream

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import memory_budget
from mustardloom.http1 import acceptor
from mustardloom.http1 import bodies
from mustardloom.http1 import connection as connection_lib
from mustardloom.http1 import connection_end
from mustardloom.http1 import connection_owner
from mustardloom.http1 import idle_eviction
from mustardloom.http1 import server_limits

__all__ = ["Handler", "HttpServer", "RejectedCallback", "ServerLimits"]

Handler = connection_owner.Handler
RejectedCallback = connection_owner.RejectedCallback
ServerLimits = server_limits.ServerLimits

_TIME_CHECK_INTERVAL_MS = 500
_PATIENCE = idle_eviction.Patience()
# Handlers that are cancelled before the time is looked at again.
_ABANDONED_AT_ONCE = 20


_Item = TypeVar("_Item")


def _batches(items: Sequence[_Item], size: int) -> Iterator[Sequence[_Item]]:
    return (items[start : start + size] for start in range(0, len(items), size))


class HttpServer:
    """Server for one address.

    Args:
      handler: Returns the response of a request; cancelled if the client
        closes its connection.
      clock: Source of time.
      limits: Returns the limits now in force.
      on_fault: Called with the exception that a handler raised; the client
        gets status 500.
      on_rejected: Called with the headers of a request that the server itself
        answers, and with that answer.
      budget: Grants room for what is read of requests, and for their answers.
      turns: Order in which bodies are read; None to read each body to its end
        before its request is handled.
      share: Descriptors for its connections.
      patience: How long a connection may stand still while another needs its
        descriptor.
      kind: What the bytes of its requests belong to in the budget.

    Attributes:
      on_malformed: Returns the answer to a request whose head is not valid,
        None for status 400.
      on_end: Called when a connection ends.
    """

    def __init__(
        self,
        handler: Handler,
        clock: clock_lib.Clock,
        limits: Callable[[], ServerLimits] = ServerLimits,
        on_fault: Callable[[BaseException], None] = lambda _: None,
        budget: memory_budget.MemoryBudget | None = None,
        turns: bodies.Turns | None = None,
        on_rejected: RejectedCallback = lambda *_: None,
        share: descriptor_budget.Share | None = None,
        patience: idle_eviction.Patience = _PATIENCE,
        kind: memory_budget.HoldKind = memory_budget.HoldKind.MESSAGE,
    ):
        self.handler = handler
        self.clock = clock
        self.budget = budget or memory_budget.unlimited(clock)
        self.kind = kind
        self.turns = turns
        self.on_rejected = on_rejected
        self.limits = limits
        self.on_fault = on_fault
        self.on_malformed: connection_owner.MalformedCallback = lambda *_: None
        self.on_end: connection_end.EndCallback = lambda *_: None
        self.is_draining = False
        self.connections: set[connection_lib.Connection] = set()
        share = share or descriptor_budget.unlimited()
        share.add_evictor(
            idle_eviction.IdleEvictor(self.connections, clock, patience).evict
        )
        self._acceptor = acceptor.Acceptor(self, share)

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port.

        Raises:
          OSError: The address is in use or not available.
        """
        return self._acceptor.listen(host, port)

    def adopt(self, stream: iostream.IOStream) -> None:
        """Serves a connection that was accepted elsewhere."""
        self._acceptor.adopt(stream)

    def active_requests(self) -> int:
        """Returns the number of requests whose responses are not written."""
        return sum(len(each.pending) for each in self.connections)

    def drain(self) -> None:
        """Closes each connection after its next response."""
        self.is_draining = True

    def stop_reading(self) -> None:
        """Stops accepting connections, and closes those without a request.

        Requests that have arrived, even in part, are read to their end and
        answered; `is_busy` tells whether there are any left.
        """
        self.is_draining = True
        # Those that are idle make room for those that wait to be accepted.
        known = list(self.connections)
        for connection in known:
            connection.finish()
        self._acceptor.stop()
        for connection in self.connections.difference(known):
            connection.finish()

    def is_busy(self) -> bool:
        """Returns whether a request is being read, run or answered.

        An answer counts until the last byte has been passed to the system.
        """
        return any(each.is_busy() for each in self.connections)

    async def abandon_requests(self, limit_ms: int) -> int:
        """Cancels the handlers of open requests, whose clients get status 500.

        The process ends next, and so do the connections that are still open.

        Args:
          limit_ms: Time that it may take; what is open after it stays open.

        Returns:
          The number of requests that were open.
        """
        ends_ms = self.clock.now_ms() + limit_ms
        for connection in self.connections:
            connection.report_end(connection_end.EndReason.PROCESS_END)
        waiting = [
            pending for each in self.connections for pending in each.pending
        ]
        for batch in _batches(waiting, _ABANDONED_AT_ONCE):
            for pending in batch:
                pending.task.cancel()
            # Lets the handlers end, and their answers leave.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            if self.clock.now_ms() >= ends_ms:
                break
        return len(waiting)

    async def close_idle_connections(self) -> None:
        """Closes slow and idle connections; runs until cancelled."""
        while True:
            await self.clock.tick_ms(_TIME_CHECK_INTERVAL_MS)
            limits = self.limits()
            for connection in list(self.connections):
                connection.enforce_time_limits(limits)
