"""Tests of how connections are accepted and opened, on loopback."""

import asyncio
import socket

import pytest

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom.http1 import messages
from mustardloom.http1 import server as server_lib
from mustardloom.http1 import sockets
from mustardloom.http1 import streams

_HOST = "127.0.0.1"
_MOST = 3
# Longer than unused connections are left alone.
_STANDSTILL_S = 0.7


async def _answer(request: messages.Request) -> messages.Response:
    del request
    return messages.Response(200)


def test_last_descriptor_costs_an_idle_caller_its_connection():
    """Guards against room that is made although nobody waits for it."""
    budget = descriptor_budget.DescriptorBudget(400)
    share = budget.share(descriptor_budget.User.CALLERS)
    share.most = _MOST

    async def play() -> None:
        server = server_lib.HttpServer(
            _answer, clock_lib.SystemClock(), share=share
        )
        port = server.listen(_HOST, 0)
        opened = [
            await asyncio.open_connection(_HOST, port) for _ in range(_MOST - 1)
        ]
        await asyncio.sleep(_STANDSTILL_S)
        opened.append(await asyncio.open_connection(_HOST, port))
        await asyncio.sleep(0.1)
        assert share.held == _MOST
        assert share.evicted == 0
        assert share.waits == 0
        opened.append(await asyncio.open_connection(_HOST, port))
        await asyncio.sleep(0.1)
        assert share.held == _MOST
        assert share.evicted == 1
        for _, writer in opened:
            writer.close()
        server.drain()

    asyncio.run(play())


def test_option_that_the_system_refuses_keeps_the_descriptor(monkeypatch):
    """Guards against a stream that fails between its socket and its use."""
    share = descriptor_budget.DescriptorBudget(400).share(
        descriptor_budget.User.TARGET
    )
    opened = []

    def refuse(connection: socket.socket, unread_bytes: int) -> None:
        del unread_bytes
        opened.append(connection)
        raise OSError

    monkeypatch.setattr(sockets, "bound_unread", refuse)
    with pytest.raises(OSError):
        streams.open_stream(share.take(), 1_000)
    assert share.held == 0
    assert opened[0].fileno() == -1
