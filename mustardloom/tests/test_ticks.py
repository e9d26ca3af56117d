"""Tests that periodic loops share wake-ups without losing their periods."""

import asyncio
from unittest import mock

from mustardloom import clock as clock_lib

_PERIODS_MS = (20, 40, 60)
_ROUNDS_MS = 480


def _woken_at_s():
    """Returns when loops of several periods woke, by their period."""
    clock = clock_lib.SystemClock()
    found = {}

    async def loop(period_ms):
        times = found.setdefault(period_ms, [])
        while True:
            await clock.tick_ms(period_ms)
            times.append(asyncio.get_running_loop().time())

    async def run():
        tasks = [asyncio.ensure_future(loop(each)) for each in _PERIODS_MS]
        await asyncio.sleep(_ROUNDS_MS / 1_000)
        for task in tasks:
            task.cancel()

    asyncio.run(run())
    return found


def test_no_tick_comes_twice():
    """Guards against a loop that spins when its timer fires early.

    A late process may skip ticks, but never gets more of them than periods.
    """
    for period_ms, times in _woken_at_s().items():
        assert 1 <= len(times) <= _ROUNDS_MS / period_ms + 1


def test_loops_wake_at_multiples_of_their_period():
    """Guards against loops that drift apart and wake the process separately."""

    async def run():
        clock = clock_lib.SystemClock()
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "call_at", wraps=loop.call_at) as call_at:
            for period_ms in (10, 25, 50):
                await clock.tick_ms(period_ms)
        return [call.args[0] for call in call_at.call_args_list]

    first, *others = asyncio.run(run())
    for other in others:
        distance_ms = (other - first) * 1_000
        assert abs(distance_ms / 5 - round(distance_ms / 5)) < 0.01
