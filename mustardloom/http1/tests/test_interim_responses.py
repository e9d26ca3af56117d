"""Tests that an interim response never comes between the bytes of another."""

import asyncio

import pytest

from mustardloom import clock as clock_lib
from mustardloom.http1 import messages
from mustardloom.http1 import server

_HOST = "127.0.0.1"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Far more than the buffers of a connection hold.
_LONG = bytes(range(97, 123)) * 200_000
_FIRST = b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n"
_HEAD = b"POST /short HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
_WITH_LENGTH = _HEAD + b"Content-Length: 5\r\n\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_WAIT_S = 5


async def _answer(request):
    if request.target == "/long":
        return messages.Response(200, (), _LONG)
    return messages.Response(200, (), b"<" + request.body + b">")


async def _read_response(reader):
    """Returns the head and the body of a response with a length."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), _WAIT_S)
    if head == _CONTINUE:
        return head, b""
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    body = await asyncio.wait_for(reader.readexactly(length), _WAIT_S)
    return head, body


def _run(scenario, handler=_answer):
    async def run():
        http_server = server.HttpServer(handler, clock_lib.SystemClock())
        port = http_server.listen(_HOST, 0)
        reader, writer = await asyncio.open_connection(_HOST, port)
        try:
            await asyncio.wait_for(scenario(reader, writer), 20)
        finally:
            writer.close()
            http_server.stop_reading()

    asyncio.run(run())


async def _pipeline(reader, writer, *sent):
    """Sends further bytes while a long response is on its way; checks it."""
    writer.write(_FIRST)
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    for data in sent:
        writer.write(data)
        await asyncio.sleep(0.05)
    body = await asyncio.wait_for(reader.readexactly(len(_LONG)), _WAIT_S)
    assert body == _LONG


@pytest.mark.parametrize(
    ("head", "body"),
    [(_WITH_LENGTH, b"query"), (_CHUNKED, b"5\r\nquery\r\n0\r\n\r\n")],
)
def test_interim_response_comes_after_the_responses_before_it(head, body):
    """Guards against foreign bytes in a body, and clients that wait for ever.

    The client sends its body only once it is asked to.
    """

    async def scenario(reader, writer):
        await _pipeline(reader, writer, head)
        assert (await _read_response(reader))[0] == _CONTINUE
        writer.write(body)
        assert (await _read_response(reader))[1] == b"<query>"

    _run(scenario)


@pytest.mark.parametrize(
    "sent",
    [
        [_WITH_LENGTH + b"query"],
        [_WITH_LENGTH, b"query"],
        [_WITH_LENGTH + b"q", b"uery"],
        [_CHUNKED, b"5\r\nquery\r\n0\r\n\r\n"],
        [_WITH_LENGTH.replace(b"1.1", b"1.0"), b"query"],
    ],
)
def test_client_that_has_sent_its_body_gets_no_interim_response(sent):
    """Guards against interim responses that nobody waits for or knows."""

    async def scenario(reader, writer):
        await _pipeline(reader, writer, *sent)
        head, body = await _read_response(reader)
        assert head.startswith(b"HTTP/1.1 200 ")
        assert body == b"<query>"

    _run(scenario)


def test_request_without_a_body_gets_no_interim_response():
    """Guards against a second response to a request that has arrived."""

    async def scenario(reader, writer):
        await _pipeline(reader, writer, _HEAD + b"\r\n")
        assert (await _read_response(reader))[1] == b"<>"

    _run(scenario)


def test_two_requests_that_expect_an_interim_response_get_them_in_turn():
    """Guards against the interim response of a later request."""

    async def scenario(reader, writer):
        await _pipeline(reader, writer, _WITH_LENGTH + b"first" + _WITH_LENGTH)
        assert (await _read_response(reader))[1] == b"<first>"
        assert (await _read_response(reader))[0] == _CONTINUE
        writer.write(b"other")
        assert (await _read_response(reader))[1] == b"<other>"

    _run(scenario)


def test_request_behind_one_that_runs_gets_its_interim_response_in_turn():
    """Guards against an interim response before any byte of another one."""

    async def scenario(reader, writer):
        writer.write(_FIRST.replace(b"/long", b"/slow") + _WITH_LENGTH)
        assert (await _read_response(reader))[1] == b"<>"
        assert (await _read_response(reader))[0] == _CONTINUE
        writer.write(b"query")
        assert (await _read_response(reader))[1] == b"<query>"

    async def slow(request):
        if request.target == "/slow":
            await asyncio.sleep(0.2)
        return await _answer(request)

    _run(scenario, slow)


def test_request_that_is_refused_gets_no_interim_response():
    """Guards against a client that is asked for a body that is not read."""

    async def scenario(reader, writer):
        too_long = _WITH_LENGTH.replace(b" 5", b" 99999999999")
        await _pipeline(reader, writer, too_long)
        assert (await _read_response(reader))[0].startswith(b"HTTP/1.1 413 ")

    _run(scenario)
