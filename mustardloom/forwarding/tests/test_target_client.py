"""Tests of the target client against a scripted, misbehaving server."""

import asyncio
import errno
import socket

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.admission.tests import support
from mustardloom.forwarding import target_client

SHORT_MS = 60
LONG_MS = 5_000
PLACEMENT = dispatch_lib.SlotId(ids.GroupId("salio@*"), ids.SlotIndex(3))


def ok(body=b"", instance="i1", extra=""):
    """Returns a complete answer."""
    head = (
        f"HTTP/1.1 200 OK\r\nX-Target-Instance: {instance}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Server:
    """Answers each request with the next step of a script.

    A step is either bytes to send, after which the connection stays open, or a
    coroutine function that gets the stream writer and returns whether the
    connection stays open.

    Attributes:
      instance: Instance in the answers to control calls. If None, the answer
        names no instance and its connection is closed.
      seen: Heads of the requests, without control calls.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.instance = "i1"
        self.seen = []
        self.connections = 0
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()
        self.client = target_client.TargetClient(
            address, clock_lib.SystemClock(), metrics_lib.Metrics(), 1_000
        )
        return self

    async def __aexit__(self, *_):
        self.client.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writer = writer
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = head.lower().partition("content-length: ")[2]
                await reader.readexactly(int(length.split("\r\n")[0] or 0))
                if not await self.answer(head, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        except asyncio.CancelledError:
            pass  # The scenario has ended.
        writer.close()

    async def answer(self, head, writer):
        if "/_target/" in head:
            writer.write(ok(instance=self.instance or ""))
            return self.instance is not None
        self.seen.append(head)
        step = self.steps.pop(0)
        if isinstance(step, bytes):
            writer.write(step)
            return True
        return await step(writer)

    async def send(self, deadline_ms=LONG_MS, idempotent=False, headers=()):
        request = support.make_request(
            clock_lib.SystemClock(),
            deadline_ms,
            headers=headers,
            key="clé",
            idempotent=idempotent,
        )
        dispatch = dispatch_lib.Dispatch(
            "d1", PLACEMENT, ids.Epoch(7), request.deadline_ms
        )
        return await self.client.dispatch(request, dispatch)


def cut(data):
    """Returns a step that sends `data` and closes the connection."""

    async def step(writer):
        writer.write(data)
        await writer.drain()
        return False

    return step


def run(scenario, *steps):
    """Runs `scenario(server)` against a server with the given steps."""

    async def main():
        async with Server(*steps) as server:
            return await scenario(server)

    return asyncio.run(main())


async def send_twice(server):
    """Sends two requests, one after the other."""
    first = await server.send()
    return first, await server.send(), server


def test_connections_are_kept_alive():
    """Guards against one connection per request."""
    first, second, server = run(send_twice, ok(b"1"), ok(b"2"))
    assert (first.outcome.body, second.outcome.body) == (b"1", b"2")
    assert server.connections == 1
    assert first.instance == "i1"


@pytest.mark.parametrize(
    "broken",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\nhalf",
        b"HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2_000,
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70_000 + b"\r\n\r\n",
    ],
)
def test_broken_answers_are_unknown(broken):
    """Guards against reporting a truncated answer as complete."""
    first, second, server = run(send_twice, cut(broken), ok(b"2"))
    assert first.outcome.reason is outcomes.UnknownReason.TRUNCATED
    assert second.outcome.body == b"2"
    assert server.connections == 2


def test_late_answers_are_discarded():
    """Guards against giving a late answer to the next request."""
    late = asyncio.Event()

    async def delay(writer):
        await late.wait()
        writer.write(ok(b"late"))
        return False

    async def scenario(server):
        first = await server.send(SHORT_MS)
        late.set()
        return first, await server.send(), server

    first, second, server = run(scenario, delay, ok(b"2"))
    assert first.outcome.reason is outcomes.UnknownReason.DEADLINE
    assert second.outcome.body == b"2"
    assert server.connections == 2


def test_cancelled_requests_close_their_connections():
    """Guards against reuse of a connection whose answer is outstanding."""
    arrived = asyncio.Event()

    async def never(writer):
        arrived.set()
        return True

    async def scenario(server):
        task = asyncio.create_task(server.send())
        await arrived.wait()
        task.cancel()
        await asyncio.wait([task])
        await server.closed.wait()
        return await server.send(), server

    second, server = run(scenario, never, ok(b"2"))
    assert second.outcome.body == b"2"
    assert server.connections == 2


def test_unsolicited_answers_are_discarded():
    """Guards against giving an extra answer to the next request."""

    async def scenario(server):
        first = await server.send()
        server.writer.write(ok(b"crossed"))
        await server.writer.drain()
        return first, await server.send(), server

    first, second, _ = run(send_twice, ok(b"1") + ok(b"crossed"), ok(b"2"))
    assert (first.outcome.body, second.outcome.body) == (b"1", b"2")
    first, second, _ = run(scenario, ok(b"1"), ok(b"2"))
    assert (first.outcome.body, second.outcome.body) == (b"1", b"2")


def test_connections_that_closed_while_idle_are_not_used():
    """Guards against Unknown outcomes for requests that were never sent."""

    async def scenario(server):
        await server.send()
        server.writer.close()
        await server.writer.wait_closed()
        return await server.send(), server

    second, server = run(scenario, ok(b"1"), ok(b"2"))
    assert second.outcome.body == b"2"
    assert len(server.seen) == 2


def test_answers_to_another_dispatch_are_unknown():
    """Guards against a target that answers with another dispatch id."""
    crossed = ok(b"1", extra="X-Mustardloom-Dispatch: d0\r\n")
    first, second, _ = run(send_twice, crossed, ok(b"2"))
    assert first.outcome.reason is outcomes.UnknownReason.INTERNAL
    assert second.outcome.body == b"2"


def test_lost_non_idempotent_requests_are_not_repeated():
    """Guards against a second run after the loss of a reused connection."""
    _, second, server = run(send_twice, ok(), cut(b""), ok(b"3"))
    assert second.outcome.reason is outcomes.UnknownReason.TARGET_LOST
    assert not second.crashed
    assert len(server.seen) == 2


@pytest.mark.parametrize(
    ("instance", "sends", "crashed"),
    [("i1", 3, False), ("i2", 2, True), (None, 2, True)],
)
def test_idempotent_requests_are_repeated_once(instance, sends, crashed):
    """Guards against repeating a request that crashes its targets."""

    async def scenario(server):
        await server.send(idempotent=True)
        server.instance = instance
        return await server.send(idempotent=True), server

    second, server = run(scenario, ok(), cut(b""), ok(b"3"))
    assert len(server.seen) == sends
    assert second.crashed == crashed
    assert isinstance(second.outcome, outcomes.Unknown) == crashed


def test_loss_on_a_new_connection_is_a_crash():
    """Guards against mistaking a crash for an idle time-out."""
    first, _, _ = run(send_twice, cut(b""), ok(b"2"))
    assert first.outcome.reason is outcomes.UnknownReason.TARGET_LOST
    assert first.crashed


def test_refused_connection_proves_that_nothing_runs():
    """Guards against Unknown outcomes if nothing was sent."""

    async def scenario(server):
        server.server.close()
        await server.server.wait_closed()
        stopped = await server.client.cancel("d1")
        return await server.send(), stopped, await server.client.probe()

    result, stopped, probe = run(scenario)
    assert result.outcome.reason is outcomes.RefusalReason.TARGET_DOWN
    assert stopped
    assert not probe.connected


def test_local_lack_of_sockets_is_not_a_lost_target(monkeypatch):
    """Guards against releasing a slot while a request runs in it.

    Without a file descriptor the client cannot connect, which says nothing
    about the target: a dispatch may still run there.
    """

    def no_socket(*_):
        raise OSError(errno.EMFILE, "too many open files")

    async def scenario(server):
        monkeypatch.setattr(socket, "socket", no_socket)
        stopped = await server.client.cancel("d1")
        return await server.send(), stopped, await server.client.probe()

    result, stopped, probe = run(scenario)
    assert result.outcome.reason is outcomes.RefusalReason.TARGET_DOWN
    assert not stopped
    assert probe.connected


def test_503_is_a_refusal_only_with_its_header():
    """Guards against reporting any 503 of the target as not run."""
    refusal = (
        b"HTTP/1.1 503 No\r\nX-Target-Run: no\r\nContent-Length: 4\r\n\r\nbusy"
    )
    error = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
    first, second, _ = run(send_twice, refusal, error)
    assert first.outcome.reason is outcomes.RefusalReason.TARGET_REFUSED
    assert second.outcome.status == 503


def test_callers_cannot_set_reserved_headers():
    """Guards against forged fencing tokens and injected headers."""

    async def scenario(server):
        forged = (("x-mustardloom-epoch", "99"), ("X-Kept", "1"))
        await server.send(headers=forged)
        bad = await server.send(headers=(("X", "a\r\nX-Evil: 1"),))
        return bad, server

    bad, server = run(scenario, ok(), ok())
    assert bad.outcome.reason is outcomes.RefusalReason.MALFORMED
    (head,) = server.seen
    assert "X-Mustardloom-Epoch: 7\r\n" in head
    assert "99" not in head.split("Deadline-Ms")[0]
    assert "X-Kept: 1\r\n" in head
    assert "X-Mustardloom-Key: cl%C3%A9\r\n" in head
