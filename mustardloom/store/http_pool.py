"""Pool of keep-alive HTTP connections to one server."""

import dataclasses
import urllib.parse

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

__all__ = ["HttpPool", "HttpResponse", "NoAnswer"]

_MAX_IDLE_CONNECTIONS = 8
_MAX_BODY_BYTES = 256 * 1024 * 1024
_DEFAULT_PORT = 80
_NO_BODY_STATUSES = (204, 304)


class NoAnswer(Exception):
    """The connection failed before the response was complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response.

    Attributes:
      status: Status code.
      body: Body, empty if there is none.
    """

    status: int
    body: bytes


class HttpPool:
    """Connections to one server, reused after complete responses.

    A connection whose request failed or was cancelled is closed, so that its
    late response cannot be taken for that of another request.

    Args:
      url: Base address, for example `http://127.0.0.1:7000`.

    Raises:
      ValueError: The address is not an HTTP URL.
    """

    def __init__(self, url: str):
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"'{url}' is not an http:// address")
        self._host = parts.hostname
        self._port = parts.port or _DEFAULT_PORT
        self._path = parts.path.rstrip("/")
        self._host_header = parts.netloc
        self._tcp = tcpclient.TCPClient()
        self._idle: list[iostream.IOStream] = []
        self._closed = False

    def close(self) -> None:
        """Closes idle connections at once, busy ones after their response."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
        self._tcp.close()

    async def fetch(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> HttpResponse:
        """Sends one request and returns the response, whatever its status.

        Raises:
          NoAnswer: No complete response arrived.
        """
        stream = await self._connection()
        try:
            response = await self._exchange(stream, method, path, headers, body)
        except (OSError, iostream.StreamClosedError) as error:
            stream.close()
            raise _no_answer_from(error) from error
        except BaseException:
            stream.close()
            raise
        self._release(stream)
        return response

    async def _connection(self) -> iostream.IOStream:
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed():
                return stream
        try:
            stream = await self._tcp.connect(self._host, self._port)
        except (OSError, iostream.StreamClosedError) as error:
            raise _no_answer_from(error) from error
        stream.set_nodelay(True)
        return stream

    def _release(self, stream: iostream.IOStream) -> None:
        if self._closed or len(self._idle) >= _MAX_IDLE_CONNECTIONS:
            stream.close()
        elif not stream.closed():
            # An idle stream notices that the server closed it only if it has a
            # close callback.
            stream.set_close_callback(_ignore_close)
            self._idle.append(stream)

    async def _exchange(
        self,
        stream: iostream.IOStream,
        method: str,
        path: str,
        headers: dict[str, str] | None,
        body: bytes,
    ) -> HttpResponse:
        connection = http1connection.HTTP1Connection(
            stream,
            is_client=True,
            params=http1connection.HTTP1ConnectionParameters(
                max_body_size=_MAX_BODY_BYTES
            ),
        )
        request_headers = httputil.HTTPHeaders(headers or {})
        request_headers["Host"] = self._host_header
        request_headers["Content-Length"] = str(len(body))
        request_line = httputil.RequestStartLine(
            method, f"{self._path}{path}", "HTTP/1.1"
        )
        response = _ResponseCollector()
        await connection.write_headers(request_line, request_headers, body)
        connection.finish()
        await connection.read_response(response)
        if not response.is_complete:
            raise NoAnswer("connection closed before a complete response")
        if response.must_close:
            stream.close()
        return HttpResponse(response.status, b"".join(response.chunks))


class _ResponseCollector(httputil.HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self.is_complete = False
        self.must_close = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if not _has_end(start_line.code, headers):
            # It would end with the connection, where tornado takes a reset for
            # a regular end.
            raise httputil.HTTPInputError("response without a length")
        self.status = start_line.code
        self.must_close = headers.get("Connection") == "close"

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.is_complete = True


def _has_end(status: int, headers: httputil.HTTPHeaders) -> bool:
    """Returns whether the end of a response is told by the response itself."""
    return (
        status in _NO_BODY_STATUSES
        or "Content-Length" in headers
        or "Transfer-Encoding" in headers
    )


def _no_answer_from(error: Exception) -> NoAnswer:
    cause = getattr(error, "real_error", None) or error
    return NoAnswer(str(cause))


def _ignore_close() -> None:
    """Does nothing; the pool checks `closed()` before reuse."""
