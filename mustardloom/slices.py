"""Long work in slices, between which the event loop does other work."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
from typing import TypeVar

__all__ = ["ITEMS_IN_SLICE", "paced", "split"]

_Item = TypeVar("_Item")
ITEMS_IN_SLICE = 2_048


def split(items: Iterable[_Item]) -> Iterator[list[_Item]]:
    """Yields items in lists that are short enough for one step.

    Example:
      >>> [len(part) for part in split(range(3_000))]
      [2048, 952]
    """
    iterator = iter(items)
    while part := list(itertools.islice(iterator, ITEMS_IN_SLICE)):
        yield part


async def paced(parts: Iterable[_Item]) -> AsyncIterator[_Item]:
    """Yields parts; other work runs after each one but the last.

    Example:
      >>> async def total():
      ...     return sum([part async for part in paced([1, 2])])
      >>> asyncio.run(total())
      3
    """
    is_first = True
    for part in parts:
        if not is_first:
            await asyncio.sleep(0)
        is_first = False
        yield part
