"""Rendezvous hashing: daemons agree on a ranking without messages."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

__all__ = ["rank"]

_Name = TypeVar("_Name", bound=str)


def rank(subject: str, names: Iterable[_Name]) -> list[_Name]:
    """Returns `names` ordered by their rank for `subject`, best first.

    Removing a name does not change the order of the others.

    Example:
      >>> order = rank("zone-1", ["a", "b", "c"])
      >>> order.remove(order[0])
      >>> order == rank("zone-1", order)
      True
    """

    def weight(name: _Name) -> tuple[int, _Name]:
        digest = xxhash.xxh64_intdigest(f"{subject}\0{name}".encode())
        return int(digest), name

    return sorted(names, key=weight, reverse=True)
