"""HTTP server for callers."""

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
    "reply_of",
]

OUTCOME_HEADER = "X-Mustardloom-Outcome"
REASON_HEADER = "X-Mustardloom-Reason"

_DEFAULT_MAX_BODY_BYTES = 1_000_000
_MAX_HEADER_BYTES = 64 * 1024
# A chunked body above the limit is read and discarded up to this multiple of
# the limit. Closing a socket with unread data would reset the connection, and
# the caller might not see the answer.
_DISCARD_FACTOR = 8
_LINGER_S = 2.0
_LINGER_READ_BYTES = 64 * 1024
_IDLE_TIMEOUT_S = 75.0
# A caller whose connection stays open may have sent a request that is still on
# its way when the last answer is written.
_QUIET_MS = 300
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

Route = Callable[[requests.Request], Awaitable[outcomes.Outcome]]


class Reply(msgspec.Struct, frozen=True):
    """An HTTP answer."""

    status: int
    headers: tuple[outcomes.Header, ...]
    body: bytes


class _Fault(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON body of refused and unknown outcomes."""

    outcome: str
    reason: str
    detail: str
    regions: tuple[str, ...] = ()


def reply_of(outcome: outcomes.Outcome) -> Reply:
    """Returns the HTTP answer for an outcome, see section 8 of the design.

    Example:
      >>> reason = outcomes.UnknownReason.DEADLINE
      >>> reply_of(outcomes.Unknown(reason, "no answer")).status
      504
    """
    match outcome:
        case outcomes.Answered(status, headers, body):
            kept = parsing.end_to_end(headers)
            return Reply(status, (*kept, (OUTCOME_HEADER, "answered")), body)
        case outcomes.Refused(reason, detail, regions):
            status = _STATUS_BY_REASON.get(reason, _UNAVAILABLE)
            fault = _Fault("refused", reason.value, detail, regions)
            return _fault_reply(status, fault)
        case outcomes.Unknown(reason, detail):
            fault = _Fault("unknown", reason.value, detail)
            return _fault_reply(_UNKNOWN_STATUS, fault)


def _fault_reply(status: int, fault: _Fault) -> Reply:
    headers = [
        ("Content-Type", _JSON),
        (OUTCOME_HEADER, fault.outcome),
        (REASON_HEADER, fault.reason),
    ]
    if status == _UNAVAILABLE:
        headers.append(("Retry-After", _RETRY_AFTER_S))
    return Reply(status, tuple(headers), msgspec.json.encode(fault))


class Ingress(httputil.HTTPServerConnectionDelegate):
    """Accepts requests of callers and answers with their outcomes.

    Args:
      table: Returns the accepted configuration.
      route: Returns the outcome of a request; cancelled if the caller
        disconnects.
      clock: Source of time.
      metrics: Receives counters of outcomes.
      max_body_bytes: Largest body of a request.
    """

    def __init__(
        self,
        table: Callable[[], routes.RouteTable],
        route: Route,
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
        """Starts to accept connections and returns the port.

        Raises:
          OSError: The address is in use or not available.
        """
        sockets = netutil.bind_sockets(port, host)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def active(self) -> int:
        """Returns the number of requests that wait for their outcome."""
        return len(self._exchanges)

    def stop_accepting(self) -> None:
        """Accepts no more connections and asks callers to close theirs.

        Requests on open connections are answered; each answer tells its caller
        that the connection ends.
        """
        self.is_draining = True
        self._server.stop()

    async def drain(self) -> None:
        """Returns once no request has been open for a moment."""
        self.stop_accepting()
        quiet_ms = 0
        while quiet_ms < _QUIET_MS:
            await self.clock.sleep_ms(_DRAIN_POLL_MS)
            quiet_ms = 0 if self.active() else quiet_ms + _DRAIN_POLL_MS

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

    def linger(self, stream: iostream.IOStream, answer: bytes) -> None:
        """Writes an answer, then discards what the caller still sends."""
        task = asyncio.create_task(_linger(stream, answer))
        self._lingering.add(task)
        task.add_done_callback(self._lingering.discard)

    def on_exchange_start(self, exchange: "_Exchange") -> None:
        """Counts a request that was read completely."""
        self._exchanges.add(exchange)

    def on_exchange_end(self, exchange: "_Exchange") -> None:
        """Counts the end of a request."""
        self._exchanges.discard(exchange)


class _Exchange(httputil.HTTPMessageDelegate):
    """One request of a caller and its answer."""

    def __init__(
        self, ingress: Ingress, connection: http1connection.HTTP1Connection
    ):
        self._ingress = ingress
        self._connection = connection
        self._started_ms = ingress.clock.now_ms()
        self._start_line = httputil.RequestStartLine("GET", "/", "HTTP/1.1")
        self._headers = httputil.HTTPHeaders()
        self._chunks: list[bytes] = []
        self._size = 0
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
            self._refuse_unread()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """See base class."""
        self._size += len(chunk)
        if self._size > self._ingress.max_body_bytes:
            self._chunks.clear()
        else:
            self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """See base class."""
        if self._is_answered:
            return
        if self._size > self._ingress.max_body_bytes:
            self._answer(self._too_large())
            return
        self._ingress.on_exchange_start(self)
        # tornado tells the delegate of a close only while it reads.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._run())

    def on_connection_close(self) -> None:
        """Cancels the request of a caller that is gone."""
        self._is_answered = True
        if self._task is not None:
            self._ingress.metrics.increment("ingress.disconnected")
            self._task.cancel()

    def _refuse_unread(self) -> None:
        """Answers before the body has arrived, and ends the connection."""
        self._is_answered = True
        self._ingress.metrics.increment("ingress.refused")
        reply = reply_of(self._too_large())
        answer = _raw_answer(reply)
        self._ingress.linger(self._connection.detach(), answer)

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
            # A fault in one request must not close the caller's connection
            # without an answer; whether it ran is not known.
            logger.exception("routing of a request failed")
            return outcomes.Unknown(
                outcomes.UnknownReason.INTERNAL, "the router failed"
            )

    def _answer(self, outcome: outcomes.Outcome) -> None:
        if self._is_answered:
            return
        self._is_answered = True
        kind = type(outcome).__name__.lower()
        self._ingress.metrics.increment(f"ingress.{kind}")
        try:
            self._write(reply_of(outcome))
        except (ValueError, httputil.HTTPInputError) as error:
            # A header of the target cannot be written.
            unknown = outcomes.Unknown(
                outcomes.UnknownReason.TRUNCATED, f"answer not valid: {error}"
            )
            self._write(reply_of(unknown))

    def _write(self, reply: Reply) -> None:
        if reply.status < _FIRST_FINAL_STATUS:
            raise ValueError(f"status {reply.status} does not end an answer")
        headers = httputil.HTTPHeaders()
        for name, value in reply.headers:
            headers.add(name, value)
        body = b"" if self._has_no_body(reply.status) else reply.body
        if self._ingress.is_draining:
            headers["Connection"] = "close"
        self._set_length(headers, reply, body)
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

    def _set_length(
        self, headers: httputil.HTTPHeaders, reply: Reply, body: bytes
    ) -> None:
        if reply.status == _NO_CONTENT:
            headers.pop("Content-Length", None)
            return
        # Answers to HEAD keep the length of the body that GET would have.
        if self._has_no_body(reply.status) and "Content-Length" in headers:
            return
        headers["Content-Length"] = str(len(body))


def _raw_answer(reply: Reply) -> bytes:
    reason = http_client.responses[reply.status]
    lines = [f"HTTP/1.1 {reply.status} {reason}"]
    lines.extend(f"{name}: {value}" for name, value in reply.headers)
    lines.append(f"Content-Length: {len(reply.body)}")
    lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + reply.body


async def _linger(stream: iostream.IOStream, answer: bytes) -> None:
    timer = asyncio.get_running_loop().call_later(_LINGER_S, stream.close)
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
        logger.debug("answer not written: {!r}", error)
