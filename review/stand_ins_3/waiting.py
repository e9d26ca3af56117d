"""Waits for conditions."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

__all__ = ["until", "until_answered"]

_POLL_S = 0.05


async def until(is_met: Callable[[], bool], poll_s: float = 0.001) -> None:
    """Returns once a condition is met."""
    while True:
        if is_met():
            return
        await asyncio.sleep(poll_s)


async def until_answered(ask: Callable[[], Awaitable[bool]]) -> None:
    """Returns once a question is answered with yes."""
    while True:
        if await ask():
            return
        await asyncio.sleep(_POLL_S)
