"""Queue of requests that wait for dispatch, ordered by deadline."""

import bisect
from collections.abc import Iterator
from typing import Generic
from typing import Protocol
from typing import TypeVar

__all__ = ["DeadlineQueue", "HasDeadline"]


class HasDeadline(Protocol):
    """Anything that waits until a deadline on the local clock."""

    @property
    def deadline_ms(self) -> int:
        """Deadline in milliseconds of the local clock."""
        ...


_Item = TypeVar("_Item", bound=HasDeadline)


def _deadline(item: HasDeadline) -> int:
    return item.deadline_ms


class DeadlineQueue(Generic[_Item]):
    """Bounded queue with the earliest deadline first.

    Items with equal deadlines keep their order of arrival. The bound is small
    (twice the capacity of one target), so a sorted list is fast enough.
    """

    def __init__(self, bound: int):
        self.max_length = bound
        self._items: list[_Item] = []

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[_Item]:
        return iter(self._items)

    def is_full(self) -> bool:
        """Returns whether another item would exceed the bound."""
        return len(self._items) >= self.max_length

    def count_ahead_of(self, deadline_ms: int) -> int:
        """Returns how many items would be ahead of a new one."""
        return bisect.bisect_right(self._items, deadline_ms, key=_deadline)

    def push(self, item: _Item) -> None:
        """Adds an item; the caller checks the bound."""
        self._items.insert(self.count_ahead_of(item.deadline_ms), item)

    def head(self) -> _Item | None:
        """Returns the item with the earliest deadline, None if empty."""
        return self._items[0] if self._items else None

    def remove(self, item: _Item) -> bool:
        """Removes an item; returns whether it was in the queue."""
        if item not in self._items:
            return False
        self._items.remove(item)
        return True

    def pop_all(self) -> list[_Item]:
        """Removes and returns all items, earliest deadline first."""
        items, self._items = self._items, []
        return items
