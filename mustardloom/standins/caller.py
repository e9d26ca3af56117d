"""Load generator that checks the answers it gets.

Latencies are measured from the time at which a request was due, so that they
include the time that a request waits for slow earlier ones.
"""

import asyncio
import bisect
import collections
import dataclasses
import enum
import itertools
import random
import socket
import time
from typing import IO

from hdrh import histogram as hdr
import msgspec
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from mustardloom import request_ids

__all__ = [
    "Caller",
    "LoadSpec",
    "Report",
    "Result",
    "Traffic",
    "ZipfKeys",
]

_US_PER_S = 1_000_000
_MS_PER_S = 1_000
# Range and precision of the histograms; longer latencies are clamped.
_LONGEST_LATENCY_US = 120 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
# The ingress answers by the deadline; its answer takes time to arrive.
_ANSWER_GRACE_S = 0.5
# Multiplied by the number of earlier sends of the request.
_RESEND_BACK_OFF_S = 0.05
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}


class Result(enum.Enum):
    """What a caller knows at the end of a request.

    CROSSED is an answer to another request: it lacks the nonce of this one.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CROSSED = "crossed"


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to one service.

    Attributes:
      service: Name in the report.
      path: Path; `{key}` is replaced by the key.
      weight: Share of the requests, relative to that of other services.
      key_header: Header that carries the key, if any.
      organisation: Organisation that the requests name, if any.
    """

    service: str
    path: str
    weight: float = 1.0
    key_header: str | None = None
    organisation: str | None = None


class LoadSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Description of the load of one run.

    Attributes:
      ingresses: Host and port of each ingress.
      traffic: Services and their shares.
      rate: Requests per second of an open loop; 0 for a closed loop.
      callers: Concurrent callers of a closed loop.
      count: Largest number of requests.
      duration_s: Longest time in which requests are started.
      connections: Largest number of connections to each ingress.
      post_share: Share of POST requests, which are not idempotent, 0 to 1.
      resends: How often a refused or unknown request is sent again.
      deadline_ms: Deadline of each request.
      keys: Number of keys.
      zipf_exponent: Skew of the keys; 0 is uniform.
      hot_change_s: After how long other keys become hot; 0 is never.
      body_bytes: Size of the body of a POST request.
      direct: Whether the ingresses are targets. These are used in turn, not at
        random, and get no deadline, which they would take as a time on their
        own clock.
      seed: Seed of all random draws.
    """

    ingresses: tuple[tuple[str, int], ...]
    traffic: tuple[Traffic, ...]
    rate: float = 0.0
    callers: int = 16
    count: int = 1_000
    duration_s: float = 10.0
    connections: int = 120
    post_share: float = 0.0
    resends: int = 0
    deadline_ms: int = 1_000
    keys: int = 10_000
    zipf_exponent: float = 1.0
    hot_change_s: float = 0.0
    body_bytes: int = 16
    direct: bool = False
    seed: int = 1


class RequestLog(msgspec.Struct, frozen=True):
    """Line of the request log, which a checker reads.

    Attributes:
      id: Id of the request; its nonce if it is idempotent.
      service: Service to which it was sent.
      method: HTTP method.
      key: Key of the request.
      outcome: Value of a `Result`.
      reason: Why the outcome is not `answered`, empty if it is.
      status: HTTP status of the last response, 0 if there was none.
      sends: How often it was sent.
      started_wall_ms: When it was first sent.
      latency_us: From the time at which it was due to its result.
    """

    id: str
    service: str
    method: str
    key: str
    outcome: str
    reason: str
    status: int
    sends: int
    started_wall_ms: int
    latency_us: int


class Second(msgspec.Struct):
    """Results of the requests that ended in one second of the run."""

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    crossed: int = 0
    max_us: int = 0


class Latencies(msgspec.Struct, frozen=True):
    """Latencies in microseconds.

    Attributes:
      count: Number of requests.
      p50: Median.
      p99: 99th percentile.
      p999: 99.9th percentile.
      max: Longest latency.
      encoded: HdrHistogram, compressed and in base64.
    """

    count: int
    p50: int
    p99: int
    p999: int
    max: int
    encoded: str


class Report(msgspec.Struct, frozen=True):
    """Result of a run.

    Attributes:
      counts: Requests by result.
      reasons: Requests without a correct answer, by `<result>.<reason>`.
      sends: Requests sent, including resends.
      duration_s: Time from the first request to the last result.
      latencies: By service, then by `<result>.<idempotent|once>`.
      seconds: Results by second.
    """

    counts: dict[str, int]
    reasons: dict[str, int]
    sends: int
    duration_s: float
    latencies: dict[str, dict[str, Latencies]]
    seconds: list[Second]


class ZipfKeys:
    """Draws keys from a Zipf distribution whose hot keys change.

    Args:
      count: Number of keys.
      exponent: Skew; 0 is uniform.
      change_s: After how long other keys become hot; 0 is never.
      source: Source of random numbers.

    Example:
      >>> keys = ZipfKeys(100, 1.0, 0.0, random.Random(1))
      >>> keys.draw(0.0).startswith("key-")
      True
    """

    def __init__(
        self,
        count: int,
        exponent: float,
        change_s: float,
        source: random.Random,
    ):
        weights = (1.0 / rank**exponent for rank in range(1, count + 1))
        self._cumulative = list(itertools.accumulate(weights))
        self._change_s = change_s
        self._random = source
        self._order = list(range(count))
        self._random.shuffle(self._order)

    def draw(self, elapsed_s: float) -> str:
        """Returns the key of a request that is due `elapsed_s` into the run."""
        point = self._random.random() * self._cumulative[-1]
        rank = bisect.bisect_left(self._cumulative, point)
        count = len(self._order)
        shift = 0
        if self._change_s > 0:
            # An odd stride near a third of all keys makes hot ranks fall on
            # keys that were cold.
            shift = int(elapsed_s / self._change_s) * (count // 3 | 1)
        return f"key-{self._order[(rank + shift) % count]}"


@dataclasses.dataclass(slots=True)
class _Call:
    """One request of the load, shared by all its sends.

    Attributes:
      nonce: Text that a correct answer repeats.
      due_s: When it should be sent, on the clock of `time.monotonic`.
      wall_ms: When it was first sent, in ms since the Unix epoch.
    """

    traffic: Traffic
    method: str
    path: str
    key: str
    nonce: str
    headers: httputil.HTTPHeaders
    body: bytes
    due_s: float
    wall_ms: int


@dataclasses.dataclass(slots=True)
class _Outcome:
    """Result of one send, or of all sends together."""

    result: Result
    reason: str = ""
    status: int = 0


def _merge(earlier: _Outcome | None, latest: _Outcome) -> _Outcome:
    # An earlier send that may have run leaves the request unknown, also if the
    # resend was refused.
    if earlier is None or latest.result is not Result.REFUSED:
        return latest
    return earlier if earlier.result is Result.UNKNOWN else latest


class _Response(httputil.HTTPMessageDelegate):
    """Response, collected as it arrives."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.body = b""
        self.is_complete = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """See base class."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """See base class."""
        self.body += chunk

    def finish(self) -> None:
        """See base class."""
        self.is_complete = True

    def on_connection_close(self) -> None:
        """See base class."""


class _Connection:
    """Connection to one ingress that is kept alive between requests."""

    _PARAMETERS = http1connection.HTTP1ConnectionParameters(
        max_body_size=_MAX_RESPONSE_BYTES
    )

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._stream: iostream.IOStream | None = None

    async def connect(self) -> None:
        """Opens the connection unless it is open.

        Raises:
          OSError: The ingress does not accept connections.
        """
        if self._stream is not None and not self._stream.closed():
            return
        raw = socket.socket(socket.AF_INET)
        stream = iostream.IOStream(raw)
        await stream.connect(self._address)
        self._stream = stream

    async def send(self, call: _Call, timeout_s: float) -> _Response:
        """Returns the response.

        It is incomplete if `timeout_s` passed or the connection was lost.
        """
        stream = self._stream
        assert stream is not None
        response = _Response()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, stream.close)
        try:
            connection = http1connection.HTTP1Connection(
                stream, True, self._PARAMETERS
            )
            start_line = httputil.RequestStartLine(
                call.method, call.path, "HTTP/1.1"
            )
            written = connection.write_headers(
                start_line, call.headers, call.body
            )
            connection.finish()
            await connection.read_response(response)
            await written
        except iostream.StreamClosedError:
            response.is_complete = False
        finally:
            timer.cancel()
        self._close_unless_reusable(response)
        return response

    def close(self) -> None:
        """Closes the connection."""
        if self._stream is not None:
            self._stream.close()

    def _close_unless_reusable(self, response: _Response) -> None:
        wants_close = response.headers.get("Connection", "").lower() == "close"
        if wants_close or not response.is_complete:
            self.close()


class _Pool:
    """Connection pool of one ingress; the most recently used is taken first."""

    def __init__(self, address: tuple[str, int], limit: int):
        self._address = address
        self._idle: list[_Connection] = []
        self._waiting: collections.deque[asyncio.Future[_Connection]] = (
            collections.deque()
        )
        self._unopened = limit

    async def take(self) -> _Connection:
        """Returns a connection; waits while `limit` of them are in use."""
        if self._idle:
            return self._idle.pop()
        if self._unopened > 0:
            self._unopened -= 1
            return _Connection(self._address)
        waiter: asyncio.Future[_Connection] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append(waiter)
        return await waiter

    def release(self, connection: _Connection) -> None:
        """Makes a connection available to the next request."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return
        self._idle.append(connection)

    def close(self) -> None:
        """Closes all connections that are not in use."""
        for connection in self._idle:
            connection.close()


class _ResultCounter:
    """Counts the results of requests and their latencies."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()
        self.sends = 0
        self._histograms: dict[tuple[str, str], hdr.HdrHistogram] = {}
        self._seconds: dict[int, Second] = {}

    def add(
        self, call: _Call, outcome: _Outcome, latency_us: int, elapsed_s: float
    ) -> None:
        """Adds the outcome of one request, `elapsed_s` into the run."""
        name = outcome.result.value
        self.counts[name] += 1
        if outcome.reason:
            self.reasons[f"{name}.{outcome.reason}"] += 1
        kind = "idempotent" if call.method == "GET" else "once"
        histogram = self._histogram(call.traffic.service, f"{name}.{kind}")
        histogram.record_value(min(max(1, latency_us), _LONGEST_LATENCY_US))
        second = self._seconds.setdefault(int(elapsed_s), Second())
        setattr(second, name, getattr(second, name) + 1)
        second.max_us = max(second.max_us, latency_us)

    def report(self, duration_s: float) -> Report:
        """Returns the report of a run that took `duration_s`."""
        latencies: dict[str, dict[str, Latencies]] = {}
        for (service, kind), histogram in self._histograms.items():
            latencies.setdefault(service, {})[kind] = _latencies(histogram)
        length = max(self._seconds, default=-1) + 1
        counts = {each.value: self.counts[each.value] for each in Result}
        return Report(
            counts=counts,
            reasons=dict(self.reasons),
            sends=self.sends,
            duration_s=duration_s,
            latencies=latencies,
            seconds=[self._seconds.get(i, Second()) for i in range(length)],
        )

    def _histogram(self, service: str, kind: str) -> hdr.HdrHistogram:
        histogram = self._histograms.get((service, kind))
        if histogram is None:
            histogram = hdr.HdrHistogram(
                1, _LONGEST_LATENCY_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[service, kind] = histogram
        return histogram


def _latencies(histogram: hdr.HdrHistogram) -> Latencies:
    values = {
        name: int(histogram.get_value_at_percentile(percentile))
        for name, percentile in _PERCENTILES.items()
    }
    return Latencies(
        count=int(histogram.get_total_count()),
        max=int(histogram.get_max_value()),
        encoded=histogram.encode().decode(),
        **values,
    )


class Caller:
    """Sends one load and reports the results.

    Args:
      load: What to send.
      log: Receives a `RequestLog` as a JSON line per request, if given.
    """

    def __init__(self, load: LoadSpec, log: IO[bytes] | None = None):
        self._load = load
        self._log = log
        self._random = random.Random(load.seed)
        self._nonce_prefix = f"{load.seed:x}-{self._random.getrandbits(32):x}"
        self._keys = ZipfKeys(
            load.keys, load.zipf_exponent, load.hot_change_s, self._random
        )
        self._pools = [
            _Pool(address, load.connections) for address in load.ingresses
        ]
        self._results = _ResultCounter()
        self._weights = [each.weight for each in load.traffic]
        self._sent = 0
        self._started_s = 0.0

    async def run(self) -> Report:
        """Sends requests until the count or the duration is reached."""
        self._started_s = time.monotonic()
        try:
            if self._load.rate > 0:
                await self._open_loop()
            else:
                await self._closed_loop()
        finally:
            for pool in self._pools:
                pool.close()
        return self._results.report(self._elapsed_s())

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_s

    def _has_more(self) -> bool:
        if self._sent >= self._load.count:
            return False
        return self._elapsed_s() < self._load.duration_s

    async def _closed_loop(self) -> None:
        callers = (self._run_caller() for _ in range(self._load.callers))
        await asyncio.gather(*callers)

    async def _run_caller(self) -> None:
        while self._has_more():
            await self._complete(self._next_call(time.monotonic()))

    async def _open_loop(self) -> None:
        running: set[asyncio.Task[None]] = set()
        due_s = self._started_s
        while self._has_more():
            due_s += self._random.expovariate(self._load.rate)
            pause_s = due_s - time.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            task = asyncio.create_task(self._complete(self._next_call(due_s)))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    def _next_call(self, due_s: float) -> _Call:
        self._sent += 1
        load = self._load
        traffic = load.traffic[0]
        if len(load.traffic) > 1:
            traffic = self._random.choices(load.traffic, self._weights)[0]
        key = self._keys.draw(due_s - self._started_s)
        nonce = f"{self._nonce_prefix}-{self._sent}."
        # `_US_PER_S` is also the number of nanoseconds in a millisecond.
        wall_ms = time.time_ns() // _US_PER_S
        is_post = self._random.random() < load.post_share
        headers = httputil.HTTPHeaders()
        headers["Host"] = "mustardloom"
        headers["X-Echo"] = nonce
        if not load.direct:
            headers["X-Mustardloom-Deadline-Ms"] = str(load.deadline_ms)
        if traffic.key_header is not None:
            headers[traffic.key_header] = key
        if traffic.organisation is not None:
            headers["X-Mustardloom-Organisation"] = traffic.organisation
        body = b""
        if is_post:
            body = b"x" * load.body_bytes
            request_id = request_ids.new_request_id(
                wall_ms, self._random.getrandbits
            )
            headers["Idempotency-Key"] = request_id
            headers["Content-Length"] = str(len(body))
        return _Call(
            traffic=traffic,
            method="POST" if is_post else "GET",
            path=traffic.path.replace("{key}", key),
            key=key,
            nonce=nonce,
            headers=headers,
            body=body,
            due_s=due_s,
            wall_ms=wall_ms,
        )

    async def _complete(self, call: _Call) -> None:
        """Sends a request until it is answered or no resends are left."""
        outcome: _Outcome | None = None
        sends = 0
        while True:
            sends += 1
            outcome = _merge(outcome, await self._send(call))
            is_final = outcome.result in (Result.ANSWERED, Result.CROSSED)
            if is_final or sends > self._load.resends:
                break
            await asyncio.sleep(_RESEND_BACK_OFF_S * sends)
        latency_us = int((time.monotonic() - call.due_s) * _US_PER_S)
        self._results.add(call, outcome, latency_us, self._elapsed_s())
        if self._log is not None:
            self._write_log(call, outcome, sends, latency_us)

    async def _send(self, call: _Call) -> _Outcome:
        self._results.sends += 1
        pool = self._next_pool()
        connection = await pool.take()
        try:
            await connection.connect()
            timeout_s = self._load.deadline_ms / _MS_PER_S + _ANSWER_GRACE_S
            response = await connection.send(call, timeout_s)
        except OSError:
            return _Outcome(Result.REFUSED, "connect")
        finally:
            pool.release(connection)
        return _classify(call, response)

    def _next_pool(self) -> _Pool:
        count = len(self._pools)
        if self._load.direct:
            return self._pools[self._results.sends % count]
        return self._pools[self._random.randrange(count)]

    def _write_log(
        self, call: _Call, outcome: _Outcome, sends: int, latency_us: int
    ) -> None:
        assert self._log is not None
        line = RequestLog(
            id=call.headers.get("Idempotency-Key", call.nonce),
            service=call.traffic.service,
            method=call.method,
            key=call.key,
            outcome=outcome.result.value,
            reason=outcome.reason,
            status=outcome.status,
            sends=sends,
            started_wall_ms=call.wall_ms,
            latency_us=latency_us,
        )
        self._log.write(msgspec.json.encode(line) + b"\n")


def _classify(call: _Call, response: _Response) -> _Outcome:
    """Returns the outcome of one send."""
    if not response.is_complete:
        return _Outcome(Result.UNKNOWN, "connection")
    status = response.status
    name = response.headers.get("X-Mustardloom-Outcome", "answered")
    reason = response.headers.get("X-Mustardloom-Reason", "")
    match name:
        case "refused":
            return _Outcome(Result.REFUSED, reason, status)
        case "unknown":
            return _Outcome(Result.UNKNOWN, reason, status)
    if response.headers.get("X-Target-Run") == "no":
        # Sent by targets; an ingress reports a refusal instead.
        return _Outcome(Result.REFUSED, "target", status)
    if call.nonce.encode() not in response.body:
        return _Outcome(Result.CROSSED, "nonce", status)
    return _Outcome(Result.ANSWERED, "", status)
