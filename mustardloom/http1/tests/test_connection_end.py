"""Tests that each end of a connection is reported once, with its reason."""

import asyncio

import pytest

from mustardloom import clock as clock_lib
from mustardloom import memory_budget
from mustardloom.http1 import bodies
from mustardloom.http1 import connection_end
from mustardloom.http1 import messages
from mustardloom.http1 import server

_HOST = "127.0.0.1"
_Reason = connection_end.EndReason
_LIMITS = server.ServerLimits(
    max_header_bytes=2_000, max_body_bytes=100_000, header_timeout_ms=3_000
)
_CAPACITY = 64 << 20
_GET = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"
_POST = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
_PART_OF_HEAD = b"GET / HTTP/1.1\r\nHost"
_MALFORMED = b"no HTTP at all\r\n\r\n"


class _BrokenBody:
    """A body of which one piece arrives."""

    length = None
    is_taken = False

    async def read(self):
        if self.is_taken:
            raise bodies.BodyBroken
        self.is_taken = True
        return b"piece"

    def close(self):
        pass


async def _handle(request):
    match request.target:
        case "/wait":
            await asyncio.sleep(60)
        case "/short":
            return messages.Response(200, (), b"x" * bodies.INLINE_BYTES)
        case "/long":
            return messages.Response(200, (), b"x" * 20_000_000)
        case "/broken":
            return messages.Response(200, rest=_BrokenBody())
    return messages.Response(200)


class _Harness:
    """A server with one client.

    Attributes:
      ends: Reason of each end that was reported, with the open requests.
    """

    def __init__(self, capacity):
        self.clock = clock_lib.FakeClock()
        self.ends = []
        self.http = server.HttpServer(
            _handle,
            self.clock,
            lambda: _LIMITS,
            budget=memory_budget.MemoryBudget(capacity, self.clock),
            turns=bodies.Turns(),
        )
        self.http.on_end = lambda *end: self.ends.append(end)

    async def connect(self):
        port = self.http.listen(_HOST, 0)
        self.reader, self.writer = await asyncio.open_connection(_HOST, port)
        await self.until(lambda: self.http.connections)
        (self.connection,) = self.http.connections

    async def until(self, check):
        while not check():
            await asyncio.sleep(0)

    async def send(self, data):
        """Sends bytes and waits until they are parsed."""
        received = self.connection._received_ms
        self.clock.jump(1)
        self.writer.write(data)
        await self.until(lambda: self.connection._received_ms != received)

    async def ask(self, target):
        """Sends a request and waits until its handler runs."""
        self.writer.write(_GET % target)
        await self.until(lambda: self.connection._open)

    def check_time(self, later_ms):
        self.clock.jump(later_ms)
        self.connection.enforce_time_limits(_LIMITS)


def _ends(scenario, capacity=_CAPACITY):
    """Returns the reported ends once the client has closed as well."""

    async def run():
        harness = _Harness(capacity)
        await harness.connect()
        try:
            await scenario(harness)
        finally:
            harness.writer.close()
            harness.http.stop_reading()
        await harness.until(lambda: not harness.http.connections)
        # The last callbacks of the stream.
        await asyncio.sleep(0.01)
        return harness.ends

    return asyncio.run(asyncio.wait_for(run(), 20))


@pytest.mark.parametrize(
    ("sent", "open_requests"),
    [
        (b"", 0),
        (_PART_OF_HEAD, 0),
        (_POST % (b"", 9), 0),
        (_GET % b"wait", 1),
        (_GET % b"wait" * 2, 2),
        (_GET % b"wait" + _MALFORMED, 1),
    ],
)
def test_end_by_the_client_tells_the_requests_that_were_read(
    sent, open_requests
):
    """Guards against requests that are lost without a trace."""

    async def scenario(harness):
        if sent:
            await harness.send(sent)
        harness.writer.close()
        await harness.until(lambda: not harness.http.connections)

    assert _ends(scenario) == [(_Reason.CALLER_CLOSED, open_requests)]


async def _await_unread_answers(harness, target):
    harness.reader._transport.pause_reading()
    harness.writer.write(_GET % target * 4_000)
    await harness.until(harness.connection.stream.writing)
    await asyncio.sleep(0.1)


@pytest.mark.parametrize("target", [b"short", b"long"])
def test_answer_that_its_client_left_counts_as_open(target):
    """Guards against an answer that counts as whole while it is written."""

    async def scenario(harness):
        await _await_unread_answers(harness, target)
        harness.writer.transport.abort()
        await harness.until(lambda: not harness.http.connections)

    ((reason, open_requests),) = _ends(scenario)
    assert reason is _Reason.CALLER_CLOSED
    assert open_requests > 0


@pytest.mark.parametrize("target", [b"short", b"long"])
def test_answer_that_is_not_read_is_the_reason(target):
    """Guards against slow readers that look like clients that left."""

    async def scenario(harness):
        await _await_unread_answers(harness, target)
        harness.check_time(_LIMITS.idle_timeout_ms + 1)

    ((reason, open_requests),) = _ends(scenario)
    assert reason is _Reason.UNREAD
    assert open_requests > 0


def test_pipelined_requests_that_lose_their_room_are_unread():
    """Guards against a reset that looks like one by the client."""

    async def scenario(harness):
        harness.writer.write(_GET % b"wait" * 100)
        await harness.until(lambda: harness.connection._waiting)
        harness.connection._on_head_evicted()

    ((reason, open_requests),) = _ends(scenario)
    assert reason is _Reason.UNREAD
    assert open_requests == _LIMITS.max_pipelined


def test_end_after_the_idle_limit_is_told_from_others():
    """Guards against an idle limit that looks like a stop."""

    async def scenario(harness):
        harness.check_time(_LIMITS.idle_timeout_ms + 1)

    assert _ends(scenario) == [(_Reason.IDLE, 0)]


@pytest.mark.parametrize(
    "sent",
    [
        _PART_OF_HEAD,
        _POST % (b"", 9) + b"part",
        # A body that passes in pieces.
        _POST % (b"wait", 90_000) + b"x" * 30_000,
    ],
)
def test_request_whose_rest_does_not_come_is_the_reason(sent):
    """Guards against slow senders that look like invalid requests."""

    async def scenario(harness):
        await harness.send(sent)
        await asyncio.sleep(0.05)
        harness.check_time(_LIMITS.idle_timeout_ms + 1)
        assert b"408" in await harness.reader.read()

    assert _ends(scenario) == [(_Reason.SLOW, 0)]


@pytest.mark.parametrize(
    ("sent", "drains"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", False),
        (b"GET / HTTP/1.0\r\n\r\n", False),
        (_GET % b"", True),
        (_GET % b"long", True),
    ],
)
def test_end_after_the_last_answer_has_no_open_request(sent, drains):
    """Guards against a complete answer that looks like a loss."""

    async def scenario(harness):
        if drains:
            harness.http.drain()
        harness.writer.write(sent)
        assert await harness.reader.read()

    assert _ends(scenario) == [(_Reason.LAST_ANSWER, 0)]


async def _await_unread_answer(harness):
    """Fills the buffers of the system, with no request behind the last one."""
    harness.reader._transport.pause_reading()
    while not harness.connection.stream.writing():
        await harness.send(_GET % b"short")
        await harness.until(lambda: not harness.connection.pending)


def test_stop_while_an_answer_is_written_ends_after_it():
    """Guards against answers that a stop seems to have cut."""

    async def scenario(harness):
        await _await_unread_answer(harness)
        harness.http.stop_reading()
        harness.reader._transport.resume_reading()
        await harness.reader.read()

    assert _ends(scenario) == [(_Reason.LAST_ANSWER, 0)]


def test_short_last_answer_that_its_client_left_counts_as_open():
    """Guards against a cut answer that looks complete as it was the last."""

    async def scenario(harness):
        await _await_unread_answer(harness)
        harness.http.stop_reading()
        harness.writer.transport.abort()
        await harness.until(lambda: not harness.http.connections)

    assert _ends(scenario) == [(_Reason.CALLER_CLOSED, 1)]


@pytest.mark.parametrize(
    "sent",
    [
        _GET % b"long",
        # Its handler does not read the body, so the server does not either.
        _POST % (b"long", 90_000) + b"x" * 90_000,
    ],
)
def test_long_last_answer_that_its_client_left_counts_as_open(sent):
    """Guards against a cut answer that looks complete as it was the last."""

    async def scenario(harness):
        harness.http.drain()
        harness.reader._transport.pause_reading()
        harness.writer.write(sent)
        await harness.until(harness.connection.stream.writing)
        await asyncio.sleep(0.1)
        harness.writer.transport.abort()
        await harness.until(lambda: not harness.http.connections)

    assert _ends(scenario) == [(_Reason.CALLER_CLOSED, 1)]


def test_stop_ends_a_connection_without_a_request():
    """Guards against idle connections that look like losses of a stop."""

    async def scenario(harness):
        harness.http.stop_reading()

    assert _ends(scenario) == [(_Reason.IDLE_AT_STOP, 0)]


@pytest.mark.parametrize("sent", [b"", _PART_OF_HEAD])
def test_connection_whose_descriptor_is_needed_is_evicted(sent):
    """Guards against a lack of descriptors that looks like a time limit."""

    async def scenario(harness):
        if sent:
            await harness.send(sent)
        assert harness.connection.evict()

    assert _ends(scenario) == [(_Reason.EVICTED, 0)]


def test_answer_that_breaks_off_is_the_reason():
    """Guards against a reset that looks like one by the client."""

    async def scenario(harness):
        harness.writer.write(_GET % b"broken")
        await harness.until(lambda: not harness.http.connections)

    assert _ends(scenario) == [(_Reason.BROKEN_OFF, 1)]


@pytest.mark.parametrize(
    ("sent", "capacity"),
    [
        (_MALFORMED, _CAPACITY),
        (_GET % (b"x" * 4_000), _CAPACITY),
        (_POST % (b"", 200_000), _CAPACITY),
        (_GET % b"", 1_000),
    ],
)
def test_request_that_is_rejected_is_the_reason(sent, capacity):
    """Guards against rejections that look like answers of a target."""

    async def scenario(harness):
        harness.writer.write(sent)
        assert await harness.reader.read()

    assert _ends(scenario, capacity) == [(_Reason.REJECTED, 0)]


def test_connection_that_outlasts_a_stop_ends_with_the_process():
    """Guards against a handler that is cancelled and looks answered."""

    async def scenario(harness):
        await harness.ask(b"wait")
        harness.http.stop_reading()
        assert await harness.http.abandon_requests(1_000) == 1
        assert b"500" in await harness.reader.read()

    assert _ends(scenario) == [(_Reason.PROCESS_END, 1)]


def test_unexpected_error_is_the_reason():
    """Guards against an error of the server that looks like the client's."""

    def fail(*_):
        raise RuntimeError

    async def scenario(harness):
        harness.http.on_malformed = fail
        await harness.ask(b"wait")
        harness.writer.write(_MALFORMED)
        await harness.until(lambda: not harness.http.connections)

    assert _ends(scenario) == [(_Reason.FAULT, 1)]
