"""HTTP/1.1 server that runs pipelined requests concurrently."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import socket

import httptools
from tornado import iostream
from tornado import netutil

from mustardloom import clock as clock_lib
from mustardloom.http1 import messages
from mustardloom.http1 import sockets

__all__ = ["Handler", "HttpServer", "ServerLimits"]

Handler = Callable[[messages.Request], Awaitable[messages.Response]]

_READ_BYTES = 65_536
_TIME_CHECK_INTERVAL_MS = 500
# A caller closes a connection that has ended within this time.
_END_TIMEOUT_MS = 1_000
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
        return self._acceptor.listen(host, port)

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
        self._acceptor.stop()
        self.is_draining = True
        for connection in list(self.connections):
            connection.finish()

    def is_busy(self) -> bool:
        """Returns whether a request is being read, run or answered.

        An answer counts until the last byte has been passed to the system.
        """
        return any(each.is_busy() for each in self.connections)

    async def close_idle_connections(self) -> None:
        """Closes slow and idle connections; runs until cancelled."""
        while True:
            await self.clock.sleep_ms(_TIME_CHECK_INTERVAL_MS)
            limits = self.limits()
            for connection in list(self.connections):
                connection.enforce_time_limits(limits)


class _Acceptor:
    """Creates a connection for each socket that is accepted."""

    def __init__(self, http_server: HttpServer):
        self._http_server = http_server
        self._remove_by_socket: dict[socket.socket, Callable[[], None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port.

        Raises:
          OSError: The address is in use or not available.
        """
        listening = netutil.bind_sockets(port, host, backlog=_BACKLOG)
        for each in listening:
            self._remove_by_socket[each] = netutil.add_accept_handler(
                each, self._on_accept
            )
        return int(listening[0].getsockname()[1])

    def stop(self) -> None:
        """Stops listening; accepts what the system has accepted before.

        Callers may have sent requests on those connections for some time.
        """
        for listening, remove in self._remove_by_socket.items():
            remove()
            # Ends with an error once no connection waits, or none can be taken.
            with contextlib.suppress(OSError):
                while True:
                    self._on_accept(*listening.accept())
            listening.close()
        self._remove_by_socket.clear()

    def _on_accept(self, accepted: socket.socket, address: object) -> None:
        del address
        stream = iostream.IOStream(accepted, read_chunk_size=_READ_BYTES)
        stream.set_nodelay(True)
        connection = _Connection(self._http_server, stream)
        self._http_server.connections.add(connection)
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_ended(connection, done))

    def _on_ended(
        self, connection: "_Connection", task: "asyncio.Task[None]"
    ) -> None:
        self._tasks.discard(task)
        self._http_server.connections.discard(connection)
        if not task.cancelled() and (error := task.exception()) is not None:
            connection.stream.close()
            self._http_server.on_fault(error)


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
        # Local time at which the end was sent, None before.
        self._ended_ms: int | None = None
        # Write of the latest bytes.
        self._written: asyncio.Future[None] | None = None
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

    def is_busy(self) -> bool:
        """Returns whether a request is being read, run or answered."""
        if self.stream.closed() or self._ended_ms is not None:
            return False
        is_last_awaited = self._is_finishing and not self._closes_after_pending
        return (
            bool(self.pending)
            or self._phase is not _Phase.IDLE
            or self.stream.writing()
            or is_last_awaited
        )

    def finish(self) -> None:
        """Closes the connection after the requests that have arrived."""
        self._is_finishing = True
        if self._phase is not _Phase.IDLE:
            return
        if self.pending:
            self._closes_after_pending = True
        else:
            self._close_unless_request_waits()

    def _close_unless_request_waits(self) -> None:
        """Closes the connection; bytes that have arrived are read first."""
        if self.stream.closed():
            return
        if sockets.is_open_and_empty(self.stream.socket):
            self._closes_after_pending = True
            if self._written is None or self._written.done():
                self.stream.close()
            else:
                self._written.add_done_callback(self._end)

    def enforce_time_limits(self, limits: ServerLimits) -> None:
        """Adopts new limits; ends a connection that exceeds a time limit."""
        self._limits = limits
        now_ms = self._http_server.clock.now_ms()
        if self._ended_ms is not None:
            if now_ms - self._ended_ms > _END_TIMEOUT_MS:
                self.stream.close()
            return
        if self.pending or self._closes_after_pending or self.stream.writing():
            return
        waited_ms = now_ms - self._waiting_since_ms
        match self._phase:
            case _Phase.IDLE:
                if waited_ms > limits.idle_timeout_ms:
                    self._close_unless_request_waits()
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
        if pending.task.cancelled() or pending.task.exception() is not None:
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
        self._write(messages.encode_response(response, closes, pending.is_head))
        if closes and self._written is not None:
            self._written.add_done_callback(self._end)

    def _end(self, written: "asyncio.Future[None]") -> None:
        """Ends the connection after the last response, which was written.

        The caller closes it. A close on this side would drop what is still on
        its way if something has arrived meanwhile and was not read.
        """
        del written
        if self.stream.closed():
            return
        # It fails if the caller has reset the connection, as is noticed soon.
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)
        self._ended_ms = self._http_server.clock.now_ms()

    def _write(self, data: bytes) -> None:
        try:
            self._written = self.stream.write(data)
        except iostream.StreamClosedError:
            return
        self._written.add_done_callback(sockets.ignore_write_error)
