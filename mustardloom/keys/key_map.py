"""The map from keys to their owners, as it lies in the store."""

import base64
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import zlib

import msgspec

from mustardloom import ids
from mustardloom.deployment import targets

__all__ = [
    "KEY_COUNT",
    "KeyMap",
    "Row",
    "decode",
    "empty",
    "encode",
    "merge_adjacent",
]

KEY_COUNT = 65_536
_NOBODY = ids.VmId("")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Keys `first` to `last` and their owner.

    Attributes:
      owner: VM whose target owns the keys; empty if nobody does.
      fence: Fencing token; grows whenever the keys change hands.
      previous: VM whose target may hold the keys still; empty if none.
      previous_fence: Fencing token under which that VM had them.
    """

    first: int
    last: int
    owner: ids.VmId
    fence: int
    previous: ids.VmId = _NOBODY
    previous_fence: int = 0

    def __contains__(self, key: int) -> bool:
        return self.first <= key <= self.last

    @property
    def width(self) -> int:
        """Returns the number of keys."""
        return self.last - self.first + 1


@dataclasses.dataclass(frozen=True)
class KeyMap:
    """Owners of all keys of one service.

    Attributes:
      version: Grows with each change; new fences are taken from it.
      rows: Cover all keys, in order, without gaps.
      instance_by_vm: The target that the fences of a VM's rows were made for.
    """

    version: int
    rows: tuple[Row, ...]
    instance_by_vm: dict[ids.VmId, targets.TargetInstance]

    def row_of(self, key: int) -> Row:
        """Returns the row that covers a key."""
        return self.rows[self.index_of(key)]

    def index_of(self, key: int) -> int:
        """Returns the index of the row that covers a key."""
        return bisect.bisect_right(self.rows, key, key=_first) - 1

    def owned_by(self, vm: ids.VmId) -> tuple[Row, ...]:
        """Returns the rows of one VM."""
        return tuple(row for row in self.rows if row.owner == vm)

    def owners(self) -> set[ids.VmId]:
        """Returns the VMs that own keys."""
        return {row.owner for row in self.rows if row.owner}


class _Wire(msgspec.Struct):
    """Compact form: tables of names, rows as flat numbers."""

    version: int
    vms: list[str]
    lives: list[tuple[int, str, int]]
    # First key, owner, fence, previous owner, its fence; VMs by their place in
    # the table.
    rows: list[tuple[int, int, int, int, int]]


class _Envelope(msgspec.Struct):
    """What lies in the store; the version is readable without unpacking."""

    version: int
    packed: str


def empty() -> KeyMap:
    """Returns a map in which nobody owns anything."""
    return KeyMap(0, (Row(0, KEY_COUNT - 1, _NOBODY, 0),), {})


def merge_adjacent(rows: Iterable[Row]) -> Iterator[Row]:
    """Joins neighbours that differ in nothing but their keys.

    Example:
      >>> [row.last for row in merge_adjacent([Row(0, 4, "a", 1), Row(5, 9, "a",
      ...     1)])]
      [9]
    """
    latest: Row | None = None
    for row in rows:
        if latest is not None and _mergeable(latest, row):
            latest = dataclasses.replace(latest, last=row.last)
            continue
        if latest is not None:
            yield latest
        latest = row
    if latest is not None:
        yield latest


def encode(key_map: KeyMap) -> bytes:
    """Returns the value that lies in the store."""
    vms = sorted(
        {_NOBODY, *key_map.instance_by_vm}
        | {row.owner for row in key_map.rows}
        | {row.previous for row in key_map.rows}
    )
    place = {vm: index for index, vm in enumerate(vms)}
    wire = _Wire(
        key_map.version,
        [str(vm) for vm in vms],
        [
            (place[vm], life.target, life.born_ms)
            for vm, life in key_map.instance_by_vm.items()
        ],
        [
            (
                row.first,
                place[row.owner],
                row.fence,
                place[row.previous],
                row.previous_fence,
            )
            for row in key_map.rows
        ],
    )
    packed = base64.b64encode(zlib.compress(msgspec.json.encode(wire), 9))
    envelope = _Envelope(key_map.version, packed.decode())
    return msgspec.json.encode(envelope)


def decode(value: bytes) -> KeyMap:
    """Returns the map in a stored value.

    Raises:
      ValueError: The value is no map.
    """
    envelope = msgspec.json.decode(value, type=_Envelope)
    try:
        unpacked = zlib.decompress(base64.b64decode(envelope.packed))
    except zlib.error as error:
        raise ValueError(repr(error)) from error
    wire = msgspec.json.decode(unpacked, type=_Wire)
    vms = [ids.VmId(vm) for vm in wire.vms]
    ends = [row[0] - 1 for row in wire.rows[1:]] + [KEY_COUNT - 1]
    rows = tuple(
        Row(first, last, vms[owner], fence, vms[previous], before)
        for (first, owner, fence, previous, before), last in zip(
            wire.rows, ends, strict=True
        )
    )
    lives = {
        vms[vm]: targets.TargetInstance(targets.TargetId(target), born)
        for vm, target, born in wire.lives
    }
    return KeyMap(wire.version, rows, lives)


def _first(row: Row) -> int:
    return row.first


def _mergeable(left: Row, right: Row) -> bool:
    return dataclasses.replace(left, first=0, last=0) == (
        dataclasses.replace(right, first=0, last=0)
    )
