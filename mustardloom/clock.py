"""Clocks in whole milliseconds, with a fake one for tests."""

import asyncio
import heapq
import itertools
import math
import random
import time

__all__ = ["Clock", "FakeClock", "SystemClock"]

_NS_PER_MS = 1_000_000
_MS_PER_S = 1_000
# Differs between processes, so that those of one machine, or daemons that send
# each other something at each tick, do not all wake at the same moment.
_TICK_PHASE_S = random.random()
# A timer may fire early by the resolution of the event loop's clock.
_TICK_TOLERANCE_S = 0.001
# Iterations of the event loop in which tasks can proceed after a fake wake-up.
_ITERATIONS_PER_WAKE_UP = 20


class Clock:
    """Source of time and of delays, in milliseconds."""

    def now_ms(self) -> int:
        """Returns monotonic time, which continues while the VM is suspended."""
        raise NotImplementedError

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        raise NotImplementedError

    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspends the calling task for `duration_ms`."""
        raise NotImplementedError

    async def tick_ms(self, period_ms: int) -> None:
        """Suspends the calling task until the next multiple of `period_ms`.

        Periodic loops use this: loops with the same period, or a multiple of
        it, share the wake-ups of the process, each of which costs
        system calls. The first wait may be shorter than the period.
        """
        await self.sleep_ms(period_ms)


class SystemClock(Clock):
    """Clock of the VM; monotonic time is CLOCK_BOOTTIME."""

    def now_ms(self) -> int:
        """See base class."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """See base class."""
        return time.time_ns() // _NS_PER_MS

    async def sleep_ms(self, duration_ms: int) -> None:
        """See base class."""
        await asyncio.sleep(duration_ms / _MS_PER_S)

    async def tick_ms(self, period_ms: int) -> None:
        """See base class."""
        loop = asyncio.get_running_loop()
        wake: asyncio.Future[None] = loop.create_future()
        period_s = period_ms / _MS_PER_S
        # After a timer that fired early, the next tick is a period away.
        passed_s = loop.time() + _TICK_TOLERANCE_S - _TICK_PHASE_S
        ticks = math.floor(passed_s / period_s) + 1
        timer = loop.call_at(_TICK_PHASE_S + ticks * period_s, _wake_up, wake)
        try:
            await wake
        finally:
            timer.cancel()


def _wake_up(wake: "asyncio.Future[None]") -> None:
    if not wake.done():
        wake.set_result(None)


class FakeClock(Clock):
    """Clock that moves only when a test advances it.

    Example:
      >>> fake = FakeClock(now_ms=5)
      >>> asyncio.run(fake.advance(10))
      >>> fake.now_ms()
      15
    """

    def __init__(self, now_ms: int = 1_000, wall_ms: int = 1_700_000_000_000):
        self._now_ms = now_ms
        self._wall_offset_ms = wall_ms - now_ms
        # Sleepers with the same due time wake in the order of their calls.
        self._sequence = itertools.count()
        self._sleepers: list[tuple[int, int, asyncio.Future[None]]] = []

    def now_ms(self) -> int:
        """See base class."""
        return self._now_ms

    def wall_ms(self) -> int:
        """See base class."""
        return self._now_ms + self._wall_offset_ms

    async def sleep_ms(self, duration_ms: int) -> None:
        """See base class."""
        if duration_ms <= 0:
            await asyncio.sleep(0)
            return
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        due_ms = self._now_ms + duration_ms
        heapq.heappush(self._sleepers, (due_ms, next(self._sequence), wake))
        await wake

    def jump(self, duration_ms: int) -> None:
        """Moves time without waking sleepers, like a pause of the process."""
        self._now_ms += duration_ms

    async def advance(self, duration_ms: int) -> None:
        """Moves time forward, waking sleepers in order of their due time."""
        end_ms = self._now_ms + duration_ms
        await self._run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end_ms:
            due_ms, _, wake = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, due_ms)
            if not wake.done():
                wake.set_result(None)
            await self._run_ready_tasks()
        self._now_ms = max(self._now_ms, end_ms)
        await self._run_ready_tasks()

    async def _run_ready_tasks(self) -> None:
        for _ in range(_ITERATIONS_PER_WAKE_UP):
            await asyncio.sleep(0)
