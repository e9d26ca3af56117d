"""HTTP/1.1 server that runs pipelined requests concurrently."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import Any

import httptools
from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from mustardloom import clock as clock_lib
from mustardloom.http1 import messages
from mustardloom.http1 import sockets

__all__ = ["Handler", "HttpServer", "ServerLimits"]

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

_READ_BYTES = 65_536
_TIME_CHECK_INTERVAL_MS = 500
# Bytes of chunk sizes and line ends for each byte of a body, plus the byte; a
# chunk of one byte needs five.
_MAX_FRAMING_RATIO = 7
# Requests of one connection that may run at once; further ones are read when
# the first of these is answered.
_MAX_PIPELINED = 64
_BACKLOG = 512
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BAD_REQUEST = 400
_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_INTERNAL_ERROR = 500
_HEADERS_TOO_LARGE = 431


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the size of requests and on waiting times.

    Attributes:
      max_header_bytes: Maximum size of all headers and the request target.
      max_body_bytes: Maximum size of the body.
      header_timeout_ms: Maximum time until all headers are read.
      idle_timeout_ms: Maximum time until the body is read, or until the next
        request begins.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class _RequestRejected(Exception):
    """A request is answered with an error before it is read completely."""

    def __init__(self, status: int):
        super().__init__(str(status))
        self.status = status


class _AfterLastRequest(Exception):
    """A request after the last one that this connection serves."""


class _Phase(enum.Enum):
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


class HttpServer:
    """Server for one address.

    Args:
      handler: Returns the response of a request; cancelled if the client
        closes its connection.
      clock: Source of time.
      limits: Returns the limits now in force.
      on_fault: Called with the exception that a handler raised; the client
        gets status 500.
    """

    def __init__(
        self,
        handler: Handler,
        clock: clock_lib.Clock,
        limits: Callable[[], ServerLimits] = ServerLimits,
        on_fault: Callable[[BaseException], None] = lambda _: None,
    ):
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.on_fault = on_fault
        self.is_draining = False
        self.connections: set[_Connection] = set()
        self._acceptor = _Acceptor(self)

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port.

        Raises:
          OSError: The address is in use or not available.
        """
        sockets = netutil.bind_sockets(port, host, backlog=_BACKLOG)
        self._acceptor.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def active_requests(self) -> int:
        """Returns the number of requests whose responses are not written."""
        return sum(len(each.pending) for each in self.connections)

    def drain(self) -> None:
        """Closes each connection after its next response."""
        self.is_draining = True

    def stop_reading(self) -> None:
        """Stops accepting connections and reading requests.

        Requests that were begun are read to their end and answered.
        """
        self._acceptor.stop()
        self.is_draining = True
        for connection in list(self.connections):
            connection.finish()

    async def close_idle_connections(self) -> None:
        """Closes slow and idle connections; runs until cancelled."""
        while True:
            await self.clock.sleep_ms(_TIME_CHECK_INTERVAL_MS)
            limits = self.limits()
            for connection in list(self.connections):
                connection.enforce_time_limits(limits)


class _Acceptor(tcpserver.TCPServer):
    """Creates a connection for each stream that is accepted."""

    def __init__(self, http_server: HttpServer):
        super().__init__(read_chunk_size=_READ_BYTES)
        self._http_server = http_server

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """See base class."""
        del address
        stream.set_nodelay(True)
        connection = _Connection(self._http_server, stream)
        self._http_server.connections.add(connection)
        try:
            await connection.run()
        finally:
            self._http_server.connections.discard(connection)


class _PendingResponse:
    """A request whose response is not written yet."""

    def __init__(self, method: str, task: "asyncio.Task[messages.Response]"):
        self.is_head = method == "HEAD"
        self.task = task


class _Connection:
    """One connection of a client."""

    def __init__(self, http_server: HttpServer, stream: iostream.IOStream):
        self.stream = stream
        self.pending: collections.deque[_PendingResponse] = collections.deque()
        self._http_server = http_server
        self._limits = http_server.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._phase = _Phase.IDLE
        self._waiting_since_ms = http_server.clock.now_ms()
        self._unparsed_bytes = 0
        self._closes_after_pending = False
        self._is_finishing = False
        self._has_room = asyncio.Event()
        self._reset()

    async def run(self) -> None:
        """Reads requests until the connection ends."""
        unyielded_bytes = 0
        try:
            while True:
                data = await self.stream.read_bytes(_READ_BYTES, partial=True)
                self._parse(data)
                unyielded_bytes += len(data)
                if unyielded_bytes >= _READ_BYTES:
                    # Reads of bytes that have arrived already do not yield.
                    unyielded_bytes = 0
                    await asyncio.sleep(0)
                if self._closes_after_pending:
                    # Goes on reading only to notice that the client closes the
                    # connection.
                    continue
                while len(self.pending) >= _MAX_PIPELINED:
                    self._has_room.clear()
                    await self._has_room.wait()
        except iostream.StreamClosedError:
            pass
        finally:
            for pending in self.pending:
                pending.task.cancel()

    def finish(self) -> None:
        """Closes the connection after the requests that were begun."""
        self._is_finishing = True
        if self._phase is _Phase.IDLE:
            self._closes_after_pending = True
            if not self.pending:
                self.stream.close()

    def enforce_time_limits(self, limits: ServerLimits) -> None:
        """Adopts new limits; ends a connection that exceeds a time limit."""
        self._limits = limits
        if self.pending or self._closes_after_pending:
            return
        waited_ms = self._http_server.clock.now_ms() - self._waiting_since_ms
        match self._phase:
            case _Phase.IDLE:
                if waited_ms > limits.idle_timeout_ms:
                    self.stream.close()
            case _Phase.HEAD:
                if waited_ms > limits.header_timeout_ms:
                    self._reject(_TIMEOUT)
            case _Phase.BODY:
                if waited_ms > limits.idle_timeout_ms:
                    self._reject(_TIMEOUT)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a request, unless the last one was read already."""
        if self._closes_after_pending:
            # This request is not run and gets no response.
            raise _AfterLastRequest
        self._reset()
        self._phase = _Phase.HEAD
        self._waiting_since_ms = self._http_server.clock.now_ms()

    def on_url(self, url: bytes) -> None:
        """Adds a piece of the request target."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers.append((name, value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Checks the announced length; sends `100 Continue` if expected."""
        self._phase = _Phase.BODY
        length = messages.find_header(self._headers, b"content-length") or b"0"
        if int(length) > self._limits.max_body_bytes:
            raise _RequestRejected(_BODY_TOO_LARGE)
        expect = messages.find_header(self._headers, b"expect") or b""
        if expect.lower() == b"100-continue" and not self.pending:
            self._write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Adds a piece of the body."""
        # One buffer, as a piece of a few bytes is a large object.
        self._body += data
        if len(self._body) > self._limits.max_body_bytes:
            raise _RequestRejected(_BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Runs the request."""
        method = self._parser.get_method().decode("latin1")
        request = messages.Request(
            method,
            self._url.decode("latin1"),
            tuple(self._headers),
            bytes(self._body),
            self._waiting_since_ms,
        )
        if self._is_finishing or not self._parser.should_keep_alive():
            self._closes_after_pending = True
        self._phase = _Phase.IDLE
        task = asyncio.ensure_future(self._http_server.handler(request))
        self.pending.append(_PendingResponse(method, task))
        task.add_done_callback(self._on_done)

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[messages.Header] = []
        self._header_bytes = 0
        self._body = bytearray()

    def _count_header_bytes(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self._limits.max_header_bytes:
            raise _RequestRejected(_HEADERS_TOO_LARGE)

    def _count_unparsed(self, count: int) -> None:
        """Limits the bytes that lead to no complete header and no body.

        The parser reports a header only once its line has ended, and the size
        of a chunk and the end of its line not at all.
        """
        limit = self._limits.max_header_bytes
        match self._phase:
            case _Phase.IDLE:
                self._unparsed_bytes = 0
            case _Phase.HEAD:
                self._unparsed_bytes += count
                if self._unparsed_bytes > limit:
                    raise _RequestRejected(_HEADERS_TOO_LARGE)
            case _Phase.BODY:
                self._unparsed_bytes += count
                limit += _READ_BYTES + _MAX_FRAMING_RATIO * len(self._body)
                if self._unparsed_bytes > limit:
                    raise _RequestRejected(_BAD_REQUEST)

    def _parse(self, data: bytes) -> None:
        if self._closes_after_pending:
            return
        try:
            self._parser.feed_data(data)
            self._count_unparsed(len(data))
        except _RequestRejected as rejected:
            self._reject(rejected.status)
        except httptools.HttpParserUpgrade:
            self._reject(_BAD_REQUEST)
        except httptools.HttpParserError as error:
            # httptools wraps the exceptions of callbacks in its own.
            cause = error.__context__
            if isinstance(cause, _RequestRejected):
                self._reject(cause.status)
            elif not isinstance(cause, _AfterLastRequest):
                self._reject(_BAD_REQUEST)

    def _reject(self, status: int) -> None:
        """Answers a request that cannot be read, after those before it."""
        self._closes_after_pending = True
        done: asyncio.Future[messages.Response] = asyncio.Future()
        done.set_result(messages.Response(status))
        self.pending.append(_PendingResponse("", done))  # type: ignore[arg-type]
        self._flush()

    def _on_done(self, task: "asyncio.Task[messages.Response]") -> None:
        if not task.cancelled() and task.exception() is not None:
            self._http_server.on_fault(task.exception())  # type: ignore[arg-type]
        self._flush()

    def _flush(self) -> None:
        """Writes the responses that are ready, in order of the requests."""
        while self.pending and self.pending[0].task.done():
            pending = self.pending.popleft()
            self._respond(pending)
        self._waiting_since_ms = self._http_server.clock.now_ms()
        self._has_room.set()

    def _respond(self, pending: _PendingResponse) -> None:
        if pending.task.cancelled():
            self.stream.close()
            return
        if pending.task.exception() is not None:
            response = messages.Response(_INTERNAL_ERROR)
        else:
            response = pending.task.result()
        # If later requests were read, the connection closes after the last one.
        is_last = not self.pending
        closes = is_last and (
            self._closes_after_pending
            or (self._http_server.is_draining and self._phase is _Phase.IDLE)
        )
        self._closes_after_pending = self._closes_after_pending or closes
        data = messages.encode_response(response, closes, pending.is_head)
        written = self._write(data)
        if closes and written is not None:
            written.add_done_callback(lambda _: self.stream.close())

    def _write(self, data: bytes) -> "asyncio.Future[None] | None":
        try:
            written = self.stream.write(data)
        except iostream.StreamClosedError:
            return None
        written.add_done_callback(sockets.ignore_write_error)
        return written
