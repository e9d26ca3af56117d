"""Tasks that wait for a change of a slot."""

import asyncio

from mustardloom import clock as clock_lib
from mustardloom.ownership import slot_admission

__all__ = ["SlotWaiters"]


class SlotWaiters:
    """Waits for changes of single slots."""

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._by_slot: dict[
            slot_admission.SlotKey, list[asyncio.Future[None]]
        ] = {}

    def __contains__(self, key: slot_admission.SlotKey) -> bool:
        return key in self._by_slot

    async def wait(self, key: slot_admission.SlotKey, deadline_ms: int) -> None:
        """Waits for a change of a slot until `deadline_ms` at most."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._by_slot.setdefault(key, []).append(waiter)
        remaining_ms = deadline_ms - self._clock.now_ms()
        deadline = asyncio.ensure_future(self._clock.sleep_ms(remaining_ms))
        try:
            await asyncio.wait(
                (waiter, deadline), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            deadline.cancel()
            waiters = self._by_slot.get(key, [])
            if waiter in waiters:
                waiters.remove(waiter)

    def wake(self, key: slot_admission.SlotKey) -> None:
        """Ends all waits for a slot."""
        for waiter in self._by_slot.pop(key, ()):
            if not waiter.done():
                waiter.set_result(None)
