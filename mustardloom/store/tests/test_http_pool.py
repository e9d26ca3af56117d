"""Tests of the connection pool against a scripted server."""

import asyncio

import pytest

from mustardloom.store import http_pool

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


def _with_server(answer, scenario):
    """Runs `scenario` with a pool for a server that calls `answer`.

    `answer` is called for each request and returns whether the connection stays
    open.

    Returns:
      The result of `scenario` and the number of connections accepted.
    """
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                if not await answer(path, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = http_pool.HttpPool(f"http://127.0.0.1:{port}")
        try:
            result = await scenario(pool)
        finally:
            pool.close()
            server.close()
        return result, len(connections)

    return asyncio.run(run())


def test_connection_is_reused_after_complete_responses():
    """Guards against one new connection per call to the store."""

    async def answer(path, writer):
        writer.write(_OK + path.encode())
        return True

    async def scenario(pool):
        return [(await pool.fetch("GET", f"/{n}00")).body for n in range(5)]

    bodies, connections = _with_server(answer, scenario)
    assert bodies == [b"/000", b"/100", b"/200", b"/300", b"/400"]
    assert connections == 1


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        _OK[:20],
        _OK,
        _OK + b"ab",
        b"HTTP/1.1 200 OK\r\n\r\nab",
        b"no HTTP\r\n\r\n",
    ],
)
def test_truncated_or_malformed_response_is_no_answer(sent):
    """Guards against a truncated object taken for a complete one."""

    async def answer(path, writer):
        del path
        writer.write(sent)
        return False

    async def scenario(pool):
        with pytest.raises(http_pool.NoAnswer):
            await pool.fetch("GET", "/a")

    _with_server(answer, scenario)


def test_late_response_to_a_cancelled_request_is_dropped():
    """Guards against a response delivered to another request."""
    events: list[asyncio.Event] = []

    async def answer(path, writer):
        if path == "/slow":
            events[0].set()
            await events[1].wait()
        writer.write(_OK + path.encode()[:4])
        return True

    async def scenario(pool):
        events.extend([asyncio.Event(), asyncio.Event()])
        slow = asyncio.create_task(pool.fetch("GET", "/slow"))
        await events[0].wait()
        slow.cancel()
        await asyncio.gather(slow, return_exceptions=True)
        events[1].set()
        return (await pool.fetch("GET", "/abc")).body

    assert _with_server(answer, scenario) == (b"/abc", 2)


def test_address_that_is_no_url_is_rejected():
    """Guards against a misspelt address that looks like an outage."""
    with pytest.raises(ValueError, match="is not an http:// address"):
        http_pool.HttpPool("127.0.0.1:7000")
