"""Lookups in a set of key ranges."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import itertools

__all__ = ["KeyRanges"]


class KeyRanges:
    """Ranges of keys, which may overlap, with lookups by binary search.

    Args:
      ranges: First and last key of each range.

    Example:
      >>> ranges = KeyRanges([(0, 3), (8, 9)])
      >>> 3 in ranges, 4 in ranges, ranges.overlap(4, 8)
      (True, False, True)
      >>> list(ranges.gaps(2, 12))
      [(4, 7), (10, 12)]
    """

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()):
        ordered = sorted(ranges)
        self._firsts = [first for first, _ in ordered]
        # For each range, the highest last key of those up to it.
        self._lasts = list(
            itertools.accumulate((last for _, last in ordered), max)
        )

    def __contains__(self, key: int) -> bool:
        return self.cover(key, key)

    def cover(self, first: int, last: int) -> bool:
        """Returns whether a single one of the ranges has all these keys."""
        index = bisect.bisect_right(self._firsts, first)
        return index > 0 and self._lasts[index - 1] >= last

    def overlap(self, first: int, last: int) -> bool:
        """Returns whether one of the ranges has one of these keys."""
        index = bisect.bisect_right(self._firsts, last)
        return index > 0 and self._lasts[index - 1] >= first

    def gaps(self, first: int, last: int) -> Iterator[tuple[int, int]]:
        """Yields the parts of `first` to `last` that no range has, in order."""
        index = bisect.bisect_right(self._firsts, first)
        start = first
        if index > 0:
            start = max(start, self._lasts[index - 1] + 1)
        while index < len(self._firsts) and self._firsts[index] <= last:
            if start < self._firsts[index]:
                yield start, self._firsts[index] - 1
            start = max(start, self._lasts[index] + 1)
            index += 1
        if start <= last:
            yield start, last
