"""The key map, which gives each key its owner, and its stored form."""

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
_NO_VM = ids.VmId("")


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Keys `first` to `last` and their owner.

    Attributes:
      owner: VM whose target owns the keys; empty if there is none.
      fence: Fencing token; grows with each change of the owner or of the
        instance of its target.
      previous: VM whose target may still hold the keys; empty if none.
      previous_fence: Fencing token under which `previous` owned the keys.
    """

    first: int
    last: int
    owner: ids.VmId
    fence: int
    previous: ids.VmId = _NO_VM
    previous_fence: int = 0

    def __contains__(self, key: int) -> bool:
        return self.first <= key <= self.last

    @property
    def width(self) -> int:
        """Returns the number of keys in the row."""
        return self.last - self.first + 1


@dataclasses.dataclass(frozen=True)
class KeyMap:
    """Owners of all keys of one service.

    Attributes:
      version: Grows with each change; rows with a new owner or target
        instance get it as their fence.
      rows: Rows that cover all keys, in order, without gaps.
      instance_by_vm: Target instance for which the fences of a VM's rows were
        issued.
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
        """Returns the rows that a VM owns, in order; empty if it owns none."""
        return tuple(row for row in self.rows if row.owner == vm)

    def owners(self) -> set[ids.VmId]:
        """Returns the VMs that own at least one key."""
        return {row.owner for row in self.rows if row.owner}


class _PackedMap(msgspec.Struct):
    """Compact form of the map: VMs by index in `vms`, rows as numbers."""

    version: int
    vms: list[str]
    # Target instances: VM as index into `vms`, target, start of the process.
    lives: list[tuple[int, str, int]]
    # First key, owner, fence, previous owner and its fence, with VMs as
    # indices into `vms`. The last key follows from the next row.
    rows: list[tuple[int, int, int, int, int]]


class _StoredMap(msgspec.Struct):
    """Stored value; the version can be read without unpacking the map."""

    version: int
    packed: str


def empty() -> KeyMap:
    """Returns a map of version 0 in which no key has an owner."""
    return KeyMap(0, (Row(0, KEY_COUNT - 1, _NO_VM, 0),), {})


def merge_adjacent(rows: Iterable[Row]) -> Iterator[Row]:
    """Merges adjacent rows that differ only in their keys.

    Example:
      >>> rows = [Row(0, 4, "a", 1), Row(5, 9, "a", 1)]
      >>> [row.last for row in merge_adjacent(rows)]
      [9]
    """
    latest: Row | None = None
    for row in rows:
        if latest is not None and _can_merge(latest, row):
            latest = dataclasses.replace(latest, last=row.last)
            continue
        if latest is not None:
            yield latest
        latest = row
    if latest is not None:
        yield latest


def encode(key_map: KeyMap) -> bytes:
    """Returns the stored value of a map."""
    vms = sorted(
        {_NO_VM, *key_map.instance_by_vm}
        | {row.owner for row in key_map.rows}
        | {row.previous for row in key_map.rows}
    )
    index_by_vm = {vm: index for index, vm in enumerate(vms)}
    wire = _PackedMap(
        key_map.version,
        [str(vm) for vm in vms],
        [
            (index_by_vm[vm], instance.target, instance.born_ms)
            for vm, instance in key_map.instance_by_vm.items()
        ],
        [
            (
                row.first,
                index_by_vm[row.owner],
                row.fence,
                index_by_vm[row.previous],
                row.previous_fence,
            )
            for row in key_map.rows
        ],
    )
    packed = base64.b64encode(zlib.compress(msgspec.json.encode(wire), 9))
    envelope = _StoredMap(key_map.version, packed.decode())
    return msgspec.json.encode(envelope)


def decode(value: bytes) -> KeyMap:
    """Returns the map of a stored value.

    Raises:
      ValueError: The value is not an encoded map.
    """
    envelope = msgspec.json.decode(value, type=_StoredMap)
    try:
        unpacked = zlib.decompress(base64.b64decode(envelope.packed))
    except zlib.error as error:
        raise ValueError(repr(error)) from error
    wire = msgspec.json.decode(unpacked, type=_PackedMap)
    vms = [ids.VmId(vm) for vm in wire.vms]
    last_keys = [row[0] - 1 for row in wire.rows[1:]] + [KEY_COUNT - 1]
    rows = tuple(
        Row(first, last, vms[owner], fence, vms[previous], previous_fence)
        for (first, owner, fence, previous, previous_fence), last in zip(
            wire.rows, last_keys, strict=True
        )
    )
    instance_by_vm = {
        vms[vm]: targets.TargetInstance(targets.TargetId(target), born_ms)
        for vm, target, born_ms in wire.lives
    }
    return KeyMap(wire.version, rows, instance_by_vm)


def _first(row: Row) -> int:
    return row.first


def _can_merge(left: Row, right: Row) -> bool:
    return dataclasses.replace(left, first=0, last=0) == (
        dataclasses.replace(right, first=0, last=0)
    )
