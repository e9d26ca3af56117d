"""Time limits measured by the project's clock, which tests can fake."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from mustardloom import clock as clock_lib

__all__ = ["with_timeout"]

_T = TypeVar("_T")


async def with_timeout(
    clock: clock_lib.Clock, call: Coroutine[Any, Any, _T], limit_ms: int
) -> _T:
    """Returns the result of `call`, or cancels it after `limit_ms`.

    Args:
      clock: Clock that measures the limit.
      call: Coroutine to run.
      limit_ms: Longest time to wait.

    Raises:
      TimeoutError: The limit passed before `call` ended.
    """
    task = asyncio.ensure_future(call)
    timer = asyncio.ensure_future(clock.sleep_ms(limit_ms))
    try:
        await asyncio.wait((task, timer), return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()
        timer.cancel()
