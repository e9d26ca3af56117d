"""Tests of the HTTP server: pipelining, invalid requests, time limits, stop."""

import asyncio
import os
import socket

import pytest

from mustardloom import clock as clock_lib
from mustardloom.http1 import messages
from mustardloom.http1 import server

_LIMITS = server.ServerLimits(
    max_header_bytes=2_000, max_body_bytes=1_000, header_timeout_ms=3_000
)


def _run(handler, scenario, clock=None):
    async def run():
        clock_ = clock or clock_lib.SystemClock()
        http_server = server.HttpServer(handler, clock_, lambda: _LIMITS)
        port = http_server.listen("127.0.0.1", 0)
        time_checks = asyncio.create_task(http_server.close_idle_connections())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            return await asyncio.wait_for(
                scenario(http_server, reader, writer), 10
            )
        finally:
            time_checks.cancel()
            writer.close()
            http_server.stop_reading()

    return asyncio.run(run())


async def _echo(request):
    return messages.Response(200, (), request.target.encode() + request.body)


async def _responses(reader, count):
    found = []
    for _ in range(count):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
        body = await reader.readexactly(length)
        found.append((int(head.split(b" ")[1]), body, head))
    return found


def test_pipelined_requests_run_together_and_are_answered_in_order():
    """Guards against responses out of order and requests run one by one."""
    running = []

    async def handler(request):
        running.append(request.target)
        while len(running) < 3:
            await asyncio.sleep(0)
        if request.target == "/0":
            await asyncio.sleep(0.02)
        return messages.Response(200, (), request.target.encode())

    async def scenario(http_server, reader, writer):
        for number in range(3):
            writer.write(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
        return await _responses(reader, 3)

    found = _run(handler, scenario)
    assert [body for _, body, _ in found] == [b"/0", b"/1", b"/2"]


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 4_000, 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5dc\r\n" + b"z" * 1_500 + b"\r\n0\r\n\r\n",
            413,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX\x00: y\r\n\r\n", 400),
        (b"no HTTP at all\r\n\r\n", 400),
    ],
)
def test_invalid_or_too_large_request_is_rejected_and_not_run(sent, status):
    """Guards against request smuggling, floods and resets without a status."""
    ran = []

    async def handler(request):
        ran.append(request)
        return messages.Response(200)

    async def scenario(http_server, reader, writer):
        writer.write(sent)
        found = await _responses(reader, 1)
        assert await reader.read() == b""
        return found[0][0]

    assert _run(handler, scenario) == status
    assert ran == []


def test_incomplete_header_is_rejected_after_the_time_limit():
    """Guards against connections held open with an incomplete request."""
    clock = clock_lib.FakeClock()

    async def scenario(http_server, reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost")
        while not any(
            c._phase.value == "head" for c in http_server.connections
        ):
            await asyncio.sleep(0)
        await clock.advance(2_400)
        assert http_server.connections
        await clock.advance(1_600)
        return (await _responses(reader, 1))[0][0]

    assert _run(_echo, scenario, clock) == 408


def test_idle_connection_is_closed_only_after_the_limit():
    """Guards against closing a connection that a client is about to use."""
    clock = clock_lib.FakeClock()

    async def scenario(http_server, reader, writer):
        writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        await _responses(reader, 1)
        await clock.advance(14_000)
        writer.write(b"GET /b HTTP/1.1\r\nHost: a\r\n\r\n")
        await _responses(reader, 1)
        await clock.advance(16_000)
        return await reader.read()

    assert _run(_echo, scenario, clock) == b""


def test_many_pipelined_requests_run_at_once():
    """Guards against one connection whose requests take all the room.

    Those beyond the limit wait as raw bytes and are answered in their order.
    """
    release = asyncio.Event()
    running = 0
    most = 0

    async def handler(request):
        nonlocal running, most
        running += 1
        most = max(most, running)
        await release.wait()
        running -= 1
        return messages.Response(200, (), request.target.encode())

    async def scenario(http_server, reader, writer):
        for number in range(200):
            writer.write(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
        while not running:
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        release.set()
        return await _responses(reader, 200)

    found = _run(handler, scenario)
    assert most == server.ServerLimits().max_pipelined
    assert [body for _, body, _ in found] == [
        b"/%d" % number for number in range(200)
    ]


def test_closing_the_connection_cancels_its_request():
    """Guards against work for clients that have disconnected."""
    cancelled = asyncio.Event()

    async def handler(request):
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return messages.Response(200)

    async def scenario(http_server, reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        while not http_server.active_requests():
            await asyncio.sleep(0)
        writer.close()
        await cancelled.wait()
        return True

    assert _run(handler, scenario)


def test_stop_answers_requests_that_were_read_and_reads_no_more():
    """Guards against requests that are lost in a planned stop."""
    release = asyncio.Event()

    async def handler(request):
        await release.wait()
        return messages.Response(200, (), request.target.encode())

    async def scenario(http_server, reader, writer):
        writer.write(b"GET /0 HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
        while http_server.active_requests() < 2:
            await asyncio.sleep(0)
        http_server.stop_reading()
        writer.write(b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
        release.set()
        found = await _responses(reader, 2)
        assert await reader.read() == b""
        return found

    first, second = _run(handler, scenario)
    assert b"Connection: close" not in first[2]
    assert b"Connection: close" in second[2]


def test_stop_answers_requests_that_wait_for_earlier_ones():
    """Guards against pipelined requests that are lost in a planned stop."""
    release = asyncio.Event()

    async def handler(request):
        await release.wait()
        return messages.Response(200, (), request.target.encode())

    async def scenario(http_server, reader, writer):
        writer.write(b"GET /0 HTTP/1.1\r\nHost: a\r\n\r\n" * 50)
        while not http_server.active_requests():
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        http_server.stop_reading()
        release.set()
        found = await _responses(reader, 50)
        assert await reader.read() == b""
        return found

    found = _run(handler, scenario)
    closing = [b"Connection: close" in head for _, _, head in found]
    assert closing == [False] * 49 + [True]


def test_exception_of_a_handler_is_answered_with_500():
    """Guards against connections that are closed without a response."""

    async def handler(request):
        raise RuntimeError("fault")

    async def scenario(http_server, reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        return (await _responses(reader, 1))[0][0]

    assert _run(handler, scenario) == 500


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"", b"A"),
        (b"GET / HTTP/1.1\r\n", b"A: b\r\n"),
        (b"GET / HTTP/1.1\r\nA: ", b"b"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", b"0"),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;",
            b"extension",
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"4\r\nbody\r\n0\r\n",
            b"A: b\r\n",
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"4\r\nbody\r\n",
        ),
    ],
)
def test_endless_request_is_rejected_by_its_size(start, repeated):
    """Guards against a caller that fills the memory of the daemon."""

    async def scenario(http_server, reader, writer):
        del http_server
        writer.write(start + repeated * (200_000 // len(repeated)))
        return int((await reader.readuntil(b"\r\n")).split(b" ")[1])

    assert _run(_echo, scenario) in (400, 413, 431)


def _send_unseen(port, data):
    """Sends before the event loop can notice; returns the socket."""
    caller = socket.create_connection(("127.0.0.1", port))
    caller.sendall(data)
    return caller


def _read_all(caller):
    with caller:
        caller.settimeout(5)
        found = b""
        while part := caller.recv(65_536):
            found += part
        return found


_REQUEST = b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n"


def test_request_that_arrived_before_a_stop_is_answered():
    """Guards against a request that a busy process has not read at its stop."""

    async def scenario(http_server, reader, writer):
        del writer
        port = reader._transport.get_extra_info("peername")[1]
        first = await asyncio.to_thread(_send_unseen, port, b"")
        while len(http_server.connections) < 2:
            await asyncio.sleep(0)
        # Neither the bytes nor the second connection are noticed until later.
        first.sendall(_REQUEST)
        second = _send_unseen(port, _REQUEST)
        http_server.stop_reading()
        assert http_server.is_busy()
        return [
            await asyncio.to_thread(_read_all, caller)
            for caller in (first, second)
        ]

    for answer in _run(_echo, scenario):
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"/late")
        assert b"Connection: close" in answer


def test_stop_waits_for_a_request_that_was_read_in_part():
    """Guards against a stop in the middle of a request."""

    async def scenario(http_server, reader, writer):
        writer.write(_REQUEST[:9])
        while not any(each.is_busy() for each in http_server.connections):
            await asyncio.sleep(0)
        http_server.stop_reading()
        assert http_server.is_busy()
        writer.write(_REQUEST[9:])
        (answer,) = await _responses(reader, 1)
        assert await reader.read() == b""
        while http_server.is_busy():
            await asyncio.sleep(0)
        return answer

    assert _run(_echo, scenario)[:2] == (200, b"/late")


def test_stop_waits_until_an_answer_is_written():
    """Guards against answers that are cut as their callers read slowly."""
    body = b"x" * 20_000_000

    async def handler(request):
        del request
        return messages.Response(200, (), body)

    async def scenario(http_server, reader, writer):
        writer.write(_REQUEST)
        while not http_server.connections or not any(
            each.stream.writing() for each in http_server.connections
        ):
            await asyncio.sleep(0)
        http_server.stop_reading()
        assert not http_server.active_requests()
        assert http_server.is_busy()
        (answer,) = await _responses(reader, 1)
        while http_server.is_busy():
            await asyncio.sleep(0)
        return answer

    assert len(_run(handler, scenario)[1]) == len(body)


def test_connection_that_its_caller_has_just_closed_is_no_fault_at_a_stop():
    """Guards against a stop that ends at such a connection."""

    async def scenario(http_server, reader, writer):
        del reader, writer
        while not http_server.connections:
            await asyncio.sleep(0)
        (connection,) = http_server.connections
        connection.stream.close()
        http_server.stop_reading()
        return http_server.is_busy()

    assert not _run(_echo, scenario)


def test_idle_connection_on_which_a_request_arrived_is_not_closed():
    """Guards against the idle time-out of a request that was not read yet."""
    clock = clock_lib.FakeClock()

    async def scenario(http_server, reader, writer):
        while not http_server.connections:
            await asyncio.sleep(0)
        (connection,) = http_server.connections
        clock._now_ms += _LIMITS.idle_timeout_ms + 1
        os.write(writer.get_extra_info("socket").fileno(), _REQUEST)
        connection.enforce_time_limits(_LIMITS)
        return (await _responses(reader, 1))[0][0]

    assert _run(_echo, scenario, clock) == 200


@pytest.mark.parametrize(
    ("method", "more", "body", "content"),
    [
        (b"GET", b"", b"", b""),
        (b"POST", b"Content-Length: 3\r\n", b"abc", b"abc"),
        (
            b"POST",
            b"Transfer-Encoding: chunked\r\n",
            b"3\r\nabc\r\n0\r\n\r\n",
            b"abc",
        ),
    ],
)
@pytest.mark.parametrize("is_in_parts", [False, True])
def test_offer_of_another_protocol_is_ignored(
    method, more, body, content, is_in_parts
):
    """Guards against a 400 that belongs to no request (review/9)."""
    offer = (
        b"%b /0 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\n"
        b"Connection: Upgrade, HTTP2-Settings\r\n"
        b"HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n%b\r\n%b"
    ) % (method, more, body)
    sent = offer + b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + offer

    async def scenario(http_server, reader, writer):
        size = 1 if is_in_parts else len(sent)
        for start in range(0, len(sent), size):
            writer.write(sent[start : start + size])
            await asyncio.sleep(0)
        return await _responses(reader, 3)

    found = _run(_echo, scenario)
    bodies = [body for _, body, _ in found]
    assert bodies == [b"/0" + content, b"/1", b"/0" + content]


def test_request_for_a_tunnel_is_rejected_and_not_run():
    """Guards against bytes of a tunnel that are taken for requests."""
    targets = []

    async def handler(request):
        targets.append(request.target)
        return messages.Response(200)

    async def scenario(http_server, reader, writer):
        writer.write(
            b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"
            b"GET /in-the-tunnel HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        return await reader.read()

    answer = _run(handler, scenario)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.1") == 1
    assert not targets


def test_cancelled_handler_is_answered():
    """Guards against a connection that ends without an answer."""

    async def handler(request):
        del request
        raise asyncio.CancelledError

    async def scenario(http_server, reader, writer):
        del http_server
        writer.write(_REQUEST)
        return (await _responses(reader, 1))[0][0]

    assert _run(handler, scenario) == 500
