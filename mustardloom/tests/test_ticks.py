"""Tests that periodic loops share wake-ups without losing their periods."""

import asyncio

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
        due_s = []
        call_at = loop.call_at

        def record(when, *arguments, **options):
            due_s.append(when)
            return call_at(when, *arguments, **options)

        loop.call_at = record
        for period_ms in (10, 25, 50):
            await clock.tick_ms(period_ms)
        return due_s

    first, *others = asyncio.run(run())
    for other in others:
        distance_ms = (other - first) * 1_000
        assert abs(distance_ms / 5 - round(distance_ms / 5)) < 0.01
