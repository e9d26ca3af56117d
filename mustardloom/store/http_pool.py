"""Kept-alive HTTP connections to one server."""

import dataclasses
import urllib.parse

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

__all__ = ["HttpPool", "HttpResponse", "NoAnswer"]

_MAX_IDLE = 8
_MAX_BODY_BYTES = 256 * 1024 * 1024
_DEFAULT_PORT = 80


class NoAnswer(Exception):
    """The connection failed before the answer was complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete answer."""

    status: int
    body: bytes


class HttpPool:
    """Connections to one server, reused after complete answers.

    A connection whose request failed or was cancelled is closed, so that its
    late answer cannot be taken for that of another request.

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
        """Closes the idle connections; busy ones close after their answer."""
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
        """Sends one request and returns the answer, whatever its status.

        Raises:
          NoAnswer: No complete answer came.
        """
        stream = await self._connection()
        try:
            answer = await self._exchange(stream, method, path, headers, body)
        except (OSError, iostream.StreamClosedError) as error:
            stream.close()
            raise _no_answer(error) from error
        except BaseException:
            stream.close()
            raise
        self._release(stream)
        return answer

    async def _connection(self) -> iostream.IOStream:
        while self._idle:
            stream = self._idle.pop()
            if not stream.closed():
                return stream
        try:
            stream = await self._tcp.connect(self._host, self._port)
        except (OSError, iostream.StreamClosedError) as error:
            raise _no_answer(error) from error
        stream.set_nodelay(True)
        return stream

    def _release(self, stream: iostream.IOStream) -> None:
        if self._closed or len(self._idle) >= _MAX_IDLE:
            stream.close()
        elif not stream.closed():
            # Without a callback, an idle stream does not notice its end.
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
        sent = httputil.HTTPHeaders(headers or {})
        sent["Host"] = self._host_header
        sent["Content-Length"] = str(len(body))
        start = httputil.RequestStartLine(
            method, f"{self._path}{path}", "HTTP/1.1"
        )
        collector = _Collector()
        await connection.write_headers(start, sent, body)
        connection.finish()
        await connection.read_response(collector)
        if not collector.complete:
            raise NoAnswer("connection closed")
        if collector.last_on_connection:
            stream.close()
        return HttpResponse(collector.status, b"".join(collector.chunks))


class _Collector(httputil.HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self.complete = False
        self.last_on_connection = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.last_on_connection = headers.get("Connection") == "close"

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.complete = True


def _no_answer(error: Exception) -> NoAnswer:
    cause = getattr(error, "real_error", None) or error
    return NoAnswer(str(cause))


def _ignore_close() -> None:
    """Does nothing; the pool looks at `closed()` before reuse."""
