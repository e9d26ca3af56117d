"""Rendezvous hashing: the same ranking in every daemon, without messages."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

__all__ = ["rank"]

_Name = TypeVar("_Name", bound=str)


def rank(subject: str, names: Iterable[_Name]) -> list[_Name]:
    """Returns `names` in the order in which they rank for `subject`.

    Removing a name changes the order of no others.

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
