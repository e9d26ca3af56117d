"""Handover tokens of the keys that a target has released."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from mustardloom.deployment import targets
from mustardloom.keys import key_map

__all__ = ["HandoverTokens"]


class HandoverTokens:
    """The latest handover token of each key.

    Load pattern: a target that leaves may release each of its keys with a token
    of its own, and repeats the list until it is acknowledged. With one entry
    for each key, a list takes time in proportion to its keys, however often it
    comes and whatever is known already.

    Example:
      >>> tokens = HandoverTokens()
      >>> tokens.record([targets.FreedRange(0, 9, "a")])
      >>> tokens.drop([(0, 4)])
      >>> next(tokens.parts(0, 20))
      FreedRange(first=5, last=9, handover='a')
    """

    def __init__(self) -> None:
        # Token of each key, "" if it has none; empty until there is one.
        self._token_by_key: list[str] = []

    def record(self, freed: Sequence[targets.FreedRange]) -> None:
        """Records the tokens of released keys."""
        if not self._token_by_key:
            if not any(each.handover for each in freed):
                return
            self._token_by_key = [""] * key_map.KEY_COUNT
        token_by_key = self._token_by_key
        for each in freed:
            if each.first == each.last:
                token_by_key[each.first] = each.handover
            elif each.first < each.last:
                tokens = [each.handover] * (each.last + 1 - each.first)
                token_by_key[each.first : each.last + 1] = tokens

    def drop(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Forgets the tokens of keys."""
        if not self._token_by_key:
            return
        for first, last in ranges:
            self._token_by_key[first : last + 1] = [""] * (last + 1 - first)

    def parts(self, first: int, last: int) -> Iterator[targets.FreedRange]:
        """Yields the parts of a range that have a token, in order."""
        if not self._token_by_key:
            return
        start, token = first, ""
        for key in range(first, last + 1):
            found = self._token_by_key[key]
            if found == token:
                continue
            if token:
                yield targets.FreedRange(start, key - 1, token)
            start, token = key, found
        if token:
            yield targets.FreedRange(start, last, token)
