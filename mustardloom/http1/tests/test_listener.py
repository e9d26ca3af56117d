"""Tests of the acceptance of connections, on loopback."""

import asyncio

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom.http1 import messages
from mustardloom.http1 import server as server_lib

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
