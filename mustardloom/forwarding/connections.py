"""Pool of keep-alive HTTP/1 client connections to one address."""

import asyncio
import dataclasses
import enum
import socket

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from mustardloom import outcomes
from mustardloom.http1 import messages
from mustardloom.http1 import sockets

__all__ = [
    "Address",
    "Call",
    "ConnectError",
    "ConnectionLost",
    "ConnectionPool",
    "Response",
    "TruncatedError",
    "UnsendableError",
]

Address = tuple[str, int]

# The target is on the same VM, so only a full accept queue delays a connect.
_CONNECT_TIMEOUT_S = 0.25
_MAX_HEADER_BYTES = 65_536
_NO_BODY_STATUSES = (204, 304)
_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def _is_usable(stream: "_Stream") -> bool:
    """Returns whether a connection is open and has no unread bytes.

    Unread bytes would be taken for the response to the next request.
    """
    if stream.closed() or stream.has_unread_bytes():
        return False
    return sockets.is_open_and_empty(stream.socket)


class ConnectError(Exception):
    """No connection could be opened; nothing was sent.

    Attributes:
      refused: Whether the connection was refused, so no process listens on the
        address. If False, the cause may be local, such as a lack of file
        descriptors, or a full accept queue.
    """

    def __init__(self, error: OSError):
        super().__init__(str(error) or "time-out")
        cause = getattr(error, "real_error", None) or error
        self.refused = isinstance(cause, ConnectionRefusedError)


class UnsendableError(Exception):
    """The request is not valid HTTP; nothing was sent."""


class ConnectionLost(Exception):
    """The connection was lost after sending, before any byte of the response.

    Attributes:
      reused: Whether the connection had served an earlier request.
    """

    def __init__(self, reused: bool):
        super().__init__("the connection was closed before the response")
        self.reused = reused


class TruncatedError(Exception):
    """The response is incomplete or not valid HTTP."""


class _Phase(enum.Enum):
    """Progress of an exchange: sent, headers received, response complete."""

    SENT = "sent"
    HEADERS = "headers"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request to send."""

    method: str
    path: str
    headers: tuple[outcomes.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes

    def end_to_end_headers(self) -> tuple[outcomes.Header, ...]:
        """Returns the headers without the hop-by-hop ones."""
        return tuple(
            (name, value)
            for name, value in self.headers.get_all()
            if name.lower() not in _HOP_BY_HOP
        )


class _Stream(iostream.IOStream):
    """Stream that exposes whether it has buffered unread bytes.

    Attributes:
      reused: Whether the connection had served an earlier request.
    """

    reused = False

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes beyond the last response were received."""
        return self._read_buffer_size > 0


class _ResponseCollector(httputil.HTTPMessageDelegate):
    """Collects the status, headers and body of one response."""

    def __init__(self, method: str):
        self.phase = _Phase.SENT
        self.keep_alive = False
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self._method = method
        self._chunks: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Returns the body received so far."""
        return b"".join(self._chunks)

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """See base class."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if messages.is_interim_status(start_line.code):
            return
        if not messages.is_final_status(start_line.code):
            raise httputil.HTTPInputError(f"status {start_line.code}")
        self.phase = _Phase.HEADERS
        self.status = start_line.code
        self.headers = headers
        connection = headers.get("Connection", "").lower()
        self.keep_alive = (
            start_line.version == "HTTP/1.1" and connection != "close"
        )
        if not self._is_delimited():
            # If the close of the connection marked the end of the body, a
            # truncated body would look complete.
            raise httputil.HTTPInputError(
                "response without Content-Length or Transfer-Encoding"
            )

    def data_received(self, chunk: bytes) -> None:
        """See base class."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """See base class."""
        if self.phase is _Phase.HEADERS:
            self.phase = _Phase.FINISHED

    def on_connection_close(self) -> None:
        """See base class."""

    def _is_delimited(self) -> bool:
        return (
            self._method == "HEAD"
            or self.status in _NO_BODY_STATUSES
            or "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
        )


class ConnectionPool:
    """Connections to one address, each with at most one request at a time.

    A connection returns to the pool only after a complete response; in every
    other case, including cancellation, it is closed.

    Args:
      address: Host and port of the server.
      max_idle: Idle connections to keep at most.
      max_body_bytes: Largest body of a response.

    Attributes:
      opened: Connections opened so far.
    """

    def __init__(self, address: Address, max_idle: int, max_body_bytes: int):
        self.opened = 0
        self._address = address
        self._max_idle = max_idle
        self._parameters = http1connection.HTTP1ConnectionParameters(
            max_header_size=_MAX_HEADER_BYTES, max_body_size=max_body_bytes
        )
        # Room for one read chunk beyond the largest body.
        self._max_buffer_bytes = max_body_bytes + 2 * _MAX_HEADER_BYTES
        self._idle: list[_Stream] = []

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def call(self, call: Call, fresh: bool = False) -> Response:
        """Sends a request and returns its complete response.

        Args:
          call: The request.
          fresh: Whether to open a new connection even if one is idle.

        Raises:
          ConnectError: No connection could be opened; nothing was sent.
          UnsendableError: The request is not valid HTTP; nothing was sent.
          ConnectionLost: The request was sent and no byte came back.
          TruncatedError: The response is incomplete or malformed.
        """
        stream = await self._connect() if fresh else await self._acquire()
        keep = False
        try:
            response, keep = await self._exchange(stream, call)
            return response
        finally:
            self._release(stream, keep)

    async def _acquire(self) -> _Stream:
        while self._idle:
            stream = self._idle.pop()
            if _is_usable(stream):
                stream.reused = True
                return stream
            stream.close()
        return await self._connect()

    async def _connect(self) -> _Stream:
        try:
            stream = _Stream(
                socket.socket(), max_buffer_size=self._max_buffer_bytes
            )
        except OSError as error:
            raise ConnectError(error) from error
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await stream.connect(self._address)
        except OSError as error:
            stream.close()
            raise ConnectError(error) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        stream.set_nodelay(True)
        self.opened += 1
        return stream

    def _release(self, stream: _Stream, keep: bool) -> None:
        if keep and len(self._idle) < self._max_idle and _is_usable(stream):
            self._idle.append(stream)
        else:
            stream.close()

    async def _exchange(
        self, stream: _Stream, call: Call
    ) -> tuple[Response, bool]:
        connection = http1connection.HTTP1Connection(
            stream, is_client=True, params=self._parameters
        )
        collector = _ResponseCollector(call.method)
        self._send(connection, call)
        closed = False
        try:
            await connection.read_response(collector)
        except iostream.StreamClosedError:
            closed = True
        except iostream.UnsatisfiableReadError:
            pass  # The headers exceed the limit.
        if collector.phase is _Phase.FINISHED:
            response = Response(
                collector.status, collector.headers, collector.body
            )
            return response, collector.keep_alive
        received_nothing = (
            collector.phase is _Phase.SENT and not stream.has_unread_bytes()
        )
        if closed and received_nothing:
            raise ConnectionLost(stream.reused)
        raise TruncatedError("the response is incomplete or malformed")

    def _send(
        self, connection: http1connection.HTTP1Connection, call: Call
    ) -> None:
        start_line = httputil.RequestStartLine(
            call.method, call.path, "HTTP/1.1"
        )
        # The futures of the writes are ignored: if the stream fails, the read
        # of the response fails, too.
        try:
            headers = self._headers(call)
            connection.write_headers(start_line, headers, call.body)
        except (ValueError, httputil.HTTPInputError) as error:
            raise UnsendableError(str(error)) from error
        connection.finish()

    def _headers(self, call: Call) -> httputil.HTTPHeaders:
        headers = httputil.HTTPHeaders()
        for name, value in call.headers:
            if name.lower() not in _HOP_BY_HOP:
                headers.add(name, value)
        if "Host" not in headers:
            headers["Host"] = f"{self._address[0]}:{self._address[1]}"
        headers["Content-Length"] = str(len(call.body))
        return headers
