"""HTTP server that accepts the requests of callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from http import client as http_client
import socket

from loguru import logger
import msgspec
from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.forwarding import parsing
from mustardloom.routing import routes

__all__ = [
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "Ingress",
    "Reply",
    "make_reply",
]

OUTCOME_HEADER = "X-Mustardloom-Outcome"
REASON_HEADER = "X-Mustardloom-Reason"

_DEFAULT_MAX_BODY_BYTES = 1_000_000
_MAX_HEADER_BYTES = 64 * 1024
# A chunked body above the limit is read and discarded up to this multiple of
# the limit. Closing a socket with unread data would reset the connection, and
# the caller might not receive the answer.
_DISCARD_FACTOR = 8
_LINGER_TIMEOUT_S = 2.0
_LINGER_READ_BYTES = 64 * 1024
_IDLE_TIMEOUT_S = 75.0
# A drain ends after this time without open requests: a caller with an open
# connection may have sent a request that is still in transit when the last
# answer is written.
_DRAIN_QUIET_MS = 300
_DRAIN_POLL_MS = 50
_BODY_TIMEOUT_S = 10.0
_RETRY_AFTER_S = "1"
_JSON = "application/json"
_FIRST_FINAL_STATUS = 200
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_UNAVAILABLE = 503
_UNKNOWN_STATUS = 504

_Reason = outcomes.RefusalReason
_STATUS_BY_REASON = {
    _Reason.MALFORMED: 400,
    _Reason.NO_ROUTE: 404,
    _Reason.TOO_LARGE: 413,
    _Reason.HOME_REGION: 421,
    _Reason.QUARANTINED: 429,
}

RouteRequest = Callable[[requests.Request], Awaitable[outcomes.Outcome]]


class Reply(msgspec.Struct, frozen=True):
    """An HTTP response to a caller."""

    status: int
    headers: tuple[outcomes.Header, ...]
    body: bytes


class _ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON body of refused and unknown outcomes."""

    outcome: str
    reason: str
    detail: str
    regions: tuple[str, ...] = ()


def make_reply(outcome: outcomes.Outcome) -> Reply:
    """Returns the HTTP response for an outcome.

    Section 8 of docs/design.md lists the headers and status codes.

    Example:
      >>> reason = outcomes.UnknownReason.DEADLINE
      >>> make_reply(outcomes.Unknown(reason, "no answer")).status
      504
    """
    match outcome:
        case outcomes.Answered(status, headers, body):
            kept = parsing.strip_hop_by_hop(headers)
            return Reply(status, (*kept, (OUTCOME_HEADER, "answered")), body)
        case outcomes.Refused(reason, detail, regions):
            status = _STATUS_BY_REASON.get(reason, _UNAVAILABLE)
            error_body = _ErrorBody("refused", reason.value, detail, regions)
            return _error_reply(status, error_body)
        case outcomes.Unknown(reason, detail):
            error_body = _ErrorBody("unknown", reason.value, detail)
            return _error_reply(_UNKNOWN_STATUS, error_body)


def _error_reply(status: int, error_body: _ErrorBody) -> Reply:
    headers = [
        ("Content-Type", _JSON),
        (OUTCOME_HEADER, error_body.outcome),
        (REASON_HEADER, error_body.reason),
    ]
    if status == _UNAVAILABLE:
        headers.append(("Retry-After", _RETRY_AFTER_S))
    return Reply(status, tuple(headers), msgspec.json.encode(error_body))


class Ingress(httputil.HTTPServerConnectionDelegate):
    """Accepts requests of callers and answers each with its outcome.

    Args:
      table: Returns the routes of the configuration in force.
      route: Returns the outcome of a request; cancelled if the caller
        disconnects.
      clock: Source of time.
      metrics: Receives the counters `ingress.*`.
      max_body_bytes: Largest body of a request.

    Attributes:
      is_draining: Whether answers close their connections.
    """

    def __init__(
        self,
        table: Callable[[], routes.RouteTable],
        route: RouteRequest,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
    ):
        self.table = table
        self.route = route
        self.clock = clock
        self.metrics = metrics
        self.max_body_bytes = max_body_bytes
        discard_limit_bytes = _DISCARD_FACTOR * max_body_bytes
        self.is_draining = False
        self._exchanges: set[_Exchange] = set()
        self._lingering: set[asyncio.Task[None]] = set()
        self._server = httpserver.HTTPServer(
            self,
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=discard_limit_bytes,
            max_buffer_size=discard_limit_bytes + _MAX_HEADER_BYTES,
            idle_connection_timeout=_IDLE_TIMEOUT_S,
            body_timeout=_BODY_TIMEOUT_S,
        )

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections; returns the port, also for port 0.

        Raises:
          OSError: The address is in use or not available.
        """
        sockets = netutil.bind_sockets(port, host)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def active_count(self) -> int:
        """Returns the number of requests that have no outcome yet."""
        return len(self._exchanges)

    def stop_accepting(self) -> None:
        """Accepts no more connections and lets open ones close.

        Requests on open connections are still answered, with the header
        `Connection: close`.
        """
        self.is_draining = True
        self._server.stop()

    async def drain(self) -> None:
        """Stops accepting; returns after `_DRAIN_QUIET_MS` without requests."""
        self.stop_accepting()
        quiet_ms = 0
        while quiet_ms < _DRAIN_QUIET_MS:
            await self.clock.sleep_ms(_DRAIN_POLL_MS)
            quiet_ms = 0 if self.active_count() else quiet_ms + _DRAIN_POLL_MS

    async def stop(self) -> None:
        """Closes all connections and cancels their requests."""
        self.stop_accepting()
        for task in self._lingering:
            task.cancel()
        await self._server.close_all_connections()

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """See base class."""
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        return _Exchange(self, request_conn)

    def start_lingering_close(
        self, stream: iostream.IOStream, answer: bytes
    ) -> None:
        """Writes an answer, discards further input, then closes the stream.

        Closing at once would reset the connection, and the caller might not
        receive the answer.
        """
        task = asyncio.create_task(_write_then_discard_input(stream, answer))
        self._lingering.add(task)
        task.add_done_callback(self._lingering.discard)

    def on_exchange_start(self, exchange: "_Exchange") -> None:
        """Counts a request as open once it has been read completely."""
        self._exchanges.add(exchange)

    def on_exchange_end(self, exchange: "_Exchange") -> None:
        """Counts a request as no longer open."""
        self._exchanges.discard(exchange)


class _Exchange(httputil.HTTPMessageDelegate):
    """One request of a caller and its response."""

    def __init__(
        self, ingress: Ingress, connection: http1connection.HTTP1Connection
    ):
        self._ingress = ingress
        self._connection = connection
        self._started_ms = ingress.clock.now_ms()
        self._start_line = httputil.RequestStartLine("GET", "/", "HTTP/1.1")
        self._headers = httputil.HTTPHeaders()
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._is_answered = False
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """See base class."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._started_ms = self._ingress.clock.now_ms()
        self._start_line = start_line
        self._headers = headers
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._ingress.max_body_bytes:
            self._refuse_before_body()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """See base class."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._ingress.max_body_bytes:
            self._chunks.clear()
        else:
            self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """See base class."""
        if self._is_answered:
            return
        if self._body_bytes > self._ingress.max_body_bytes:
            self._answer(self._too_large())
            return
        self._ingress.on_exchange_start(self)
        # tornado reports a close to the delegate only while it reads.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run())

    def on_connection_close(self) -> None:
        """Cancels the request, since its caller has disconnected."""
        self._is_answered = True
        if self._task is not None:
            self._ingress.metrics.increment("ingress.disconnected")
            self._task.cancel()

    def _refuse_before_body(self) -> None:
        """Answers 413 before the body has arrived and ends the connection."""
        self._is_answered = True
        self._ingress.metrics.increment("ingress.refused")
        reply = make_reply(self._too_large())
        answer = _encode_reply(reply)
        self._ingress.start_lingering_close(self._connection.detach(), answer)

    def _too_large(self) -> outcomes.Outcome:
        limit = self._ingress.max_body_bytes
        return outcomes.Refused(
            _Reason.TOO_LARGE, f"the body is larger than {limit} bytes"
        )

    async def _run(self) -> None:
        try:
            outcome = await self._outcome()
        finally:
            self._ingress.on_exchange_end(self)
        self._answer(outcome)

    async def _outcome(self) -> outcomes.Outcome:
        ingress = self._ingress
        try:
            request = parsing.parse_request(
                ingress.table(),
                ingress.clock,
                self._start_line,
                self._headers,
                b"".join(self._chunks),
                self._started_ms,
            )
            return await ingress.route(request)
        except parsing.Rejection as rejection:
            return rejection.refused
        except Exception:
            # An exception must not close the caller's connection without an
            # answer. Whether the request ran is not known.
            logger.exception("routing of a request failed; answering unknown")
            return outcomes.Unknown(
                outcomes.UnknownReason.INTERNAL,
                "the router failed; the request may have run",
            )

    def _answer(self, outcome: outcomes.Outcome) -> None:
        if self._is_answered:
            return
        self._is_answered = True
        kind = type(outcome).__name__.lower()
        self._ingress.metrics.increment(f"ingress.{kind}")
        try:
            self._write(make_reply(outcome))
        except (ValueError, httputil.HTTPInputError) as error:
            # The status or a header of the target is not valid HTTP.
            unknown = outcomes.Unknown(
                outcomes.UnknownReason.TRUNCATED,
                f"the answer of the target is not valid: {error}",
            )
            self._write(make_reply(unknown))

    def _write(self, reply: Reply) -> None:
        if reply.status < _FIRST_FINAL_STATUS:
            raise ValueError(f"status {reply.status} is not a final status")
        headers = httputil.HTTPHeaders()
        for name, value in reply.headers:
            headers.add(name, value)
        body = b"" if self._has_no_body(reply.status) else reply.body
        if self._ingress.is_draining:
            headers["Connection"] = "close"
        self._set_content_length(headers, reply, body)
        reason = http_client.responses.get(reply.status, "Unknown")
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, reason
        )
        written = self._connection.write_headers(start_line, headers, body)
        written.add_done_callback(_ignore_closed)
        self._connection.finish()

    def _has_no_body(self, status: int) -> bool:
        if self._start_line.method == "HEAD":
            return True
        return status in (_NO_CONTENT, _NOT_MODIFIED)

    def _set_content_length(
        self, headers: httputil.HTTPHeaders, reply: Reply, body: bytes
    ) -> None:
        if reply.status == _NO_CONTENT:
            headers.pop("Content-Length", None)
            return
        # The response to HEAD has the Content-Length that GET would have.
        if self._has_no_body(reply.status) and "Content-Length" in headers:
            return
        headers["Content-Length"] = str(len(body))


def _encode_reply(reply: Reply) -> bytes:
    reason = http_client.responses[reply.status]
    lines = [f"HTTP/1.1 {reply.status} {reason}"]
    lines.extend(f"{name}: {value}" for name, value in reply.headers)
    lines.append(f"Content-Length: {len(reply.body)}")
    lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + reply.body


async def _write_then_discard_input(
    stream: iostream.IOStream, answer: bytes
) -> None:
    timer = asyncio.get_running_loop().call_later(
        _LINGER_TIMEOUT_S, stream.close
    )
    try:
        await stream.write(answer)
        stream.socket.shutdown(socket.SHUT_WR)
        while True:
            await stream.read_bytes(_LINGER_READ_BYTES, partial=True)
    except (iostream.StreamClosedError, OSError):
        return
    finally:
        timer.cancel()
        stream.close()


def _ignore_closed(written: "asyncio.Future[None]") -> None:
    if written.cancelled():
        return
    error = written.exception()
    if error is not None and not isinstance(error, iostream.StreamClosedError):
        logger.debug("answer not written to the caller: {!r}", error)
