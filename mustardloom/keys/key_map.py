"""The key map, which gives each key its owner, and its stored form."""

import base64
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Set
import dataclasses
import functools
import itertools
import zlib

import msgspec

from mustardloom import decoding
from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import voters as voters_lib

__all__ = [
    "KEY_COUNT",
    "KeyMap",
    "Row",
    "decode",
    "empty",
    "encode",
    "era_of",
    "merge_adjacent",
    "version_of",
]

KEY_COUNT = 65_536
_NO_VM = ids.VmId("")
_ROWS_FORM = 1
_COLUMNS_FORM = 2
# Far above a map with a row for each key.
_MAX_MAP_BYTES = 16 * 1024 * 1024
# Fences are kept in 32 bits for each key.
_MAX_FENCE = (1 << 32) - 1


class Row(msgspec.Struct, frozen=True, gc=False):
    """Keys `first` to `last` and their owner.

    A struct, as every daemon creates thousands of rows for each new map.

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
      era: Era of the store in which the map was written; None if it was
        written by an earlier release.
      voters: VMs that vote on whether this map is the newest one; None if it
        was written by an earlier release.
    """

    version: int
    rows: tuple[Row, ...]
    instance_by_vm: dict[ids.VmId, targets.TargetInstance]
    era: int | None = None
    voters: voters_lib.Voters | None = None

    def row_of(self, key: int) -> Row:
        """Returns the row that covers a key."""
        return self.rows[self.index_of(key)]

    def index_of(self, key: int) -> int:
        """Returns the index of the row that covers a key."""
        return bisect.bisect_right(self.rows, key, key=_first) - 1

    def owned_by(self, vm: ids.VmId) -> tuple[Row, ...]:
        """Returns the rows that a VM owns, in order; empty if it owns none."""
        return self._rows_by_owner.get(vm, ())

    def owners(self) -> set[ids.VmId]:
        """Returns the VMs that own at least one key."""
        return {vm for vm in self._rows_by_owner if vm}

    def names_in_rows(self, vm: ids.VmId) -> bool:
        """Returns whether a VM owns keys, or is an earlier owner of some."""
        return vm in self._rows_by_owner or vm in self._previous_owners

    @functools.cached_property
    def _previous_owners(self) -> frozenset[ids.VmId]:
        return frozenset(row.previous for row in self.rows)

    @functools.cached_property
    def _rows_by_owner(self) -> dict[ids.VmId, tuple[Row, ...]]:
        rows_by_owner: dict[ids.VmId, list[Row]] = {}
        for row in self.rows:
            rows_by_owner.setdefault(row.owner, []).append(row)
        return {vm: tuple(rows) for vm, rows in rows_by_owner.items()}


class _PackedMap(msgspec.Struct, array_like=True):
    """Compact form of the map: one column for each field of the rows.

    A column compresses far better than rows, as its values repeat. VMs are
    indices into `vms`. The last key of a row follows from the next row. Nearly
    all VMs are voters, so those that are not are listed; earlier releases do
    not write and skip these fields.
    """

    version: int
    vms: list[str]
    # Target instances: VM, target, start of the process.
    instances: list[tuple[int, str, int]]
    widths: list[int]
    owners: list[int]
    fences: list[int]
    previous: list[int]
    previous_fences: list[int]
    nonvoters: list[int] | None = None
    nonvoters_before: list[int] | None = None


_packed_decoder = msgspec.msgpack.Decoder(_PackedMap)


class _EarlierPackedMap(msgspec.Struct):
    """Form that earlier releases wrote, with one entry for each row."""

    version: int
    vms: list[str]
    lives: list[tuple[int, str, int]]
    rows: list[tuple[int, int, int, int, int]]


class _StoredMap(msgspec.Struct):
    """Stored value; the version can be read without unpacking the map.

    Attributes:
      packed: The compressed map as text.
      form: 1 for `_EarlierPackedMap` in base64, 2 for `_PackedMap` in base85.
      era: Era of the store in which it was written.
    """

    version: int
    packed: str
    form: int = 1
    era: int | None = None


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
            latest = msgspec.structs.replace(latest, last=row.last)
            continue
        if latest is not None:
            yield latest
        latest = row
    if latest is not None:
        yield latest


def encode(key_map: KeyMap) -> bytes:
    """Returns the stored value of a map."""
    voters = key_map.voters
    vms = sorted(
        {_NO_VM, *key_map.instance_by_vm}
        | {row.owner for row in key_map.rows}
        | {row.previous for row in key_map.rows}
        | (frozenset() if voters is None else voters.all())
    )
    index_by_vm = {vm: index for index, vm in enumerate(vms)}
    packed_map = _PackedMap(
        key_map.version,
        [str(vm) for vm in vms],
        [
            (index_by_vm[vm], instance.target, instance.born_ms)
            for vm, instance in key_map.instance_by_vm.items()
        ],
        [row.width for row in key_map.rows],
        [index_by_vm[row.owner] for row in key_map.rows],
        [row.fence for row in key_map.rows],
        [index_by_vm[row.previous] for row in key_map.rows],
        [row.previous_fence for row in key_map.rows],
        None if voters is None else _missing(vms, voters.latest),
        None if voters is None else _missing(vms, voters.before),
    )
    compressed = zlib.compress(msgspec.msgpack.encode(packed_map), 9)
    packed = base64.b85encode(compressed).decode()
    return msgspec.json.encode(
        _StoredMap(key_map.version, packed, _COLUMNS_FORM, key_map.era)
    )


def version_of(value: bytes) -> int:
    """Returns the version of a stored map without unpacking it.

    Raises:
      ValueError: The value is not an encoded map.
    """
    return decoding.decode_json(value, _StoredMap).version


def era_of(value: bytes) -> int | None:
    """Returns the era of a stored map without unpacking it.

    Raises:
      ValueError: The value is not an encoded map.
    """
    return decoding.decode_json(value, _StoredMap).era


def decode(value: bytes) -> KeyMap:
    """Returns the map of a stored value.

    Raises:
      ValueError: The value is not an encoded map.
    """
    envelope = decoding.decode_json(value, _StoredMap)
    try:
        if envelope.form == _ROWS_FORM:
            data = _decompress(base64.b64decode(envelope.packed))
            return _unpack(_to_columns(data), envelope.era)
        if envelope.form == _COLUMNS_FORM:
            data = _decompress(base64.b85decode(envelope.packed))
            packed_map = decoding.decode_msgpack(data, _packed_decoder)
            return _unpack(packed_map, envelope.era)
    except zlib.error as error:
        raise ValueError(repr(error)) from error
    raise ValueError(f"unknown form {envelope.form} of a key map")


def _decompress(data: bytes) -> bytes:
    """Decompresses a map; a small text may stand for any number of bytes."""
    decompressor = zlib.decompressobj()
    found = decompressor.decompress(data, _MAX_MAP_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"the map is incomplete or has over {_MAX_MAP_BYTES} bytes"
        )
    return found


def _to_columns(data: bytes) -> _PackedMap:
    earlier = decoding.decode_json(data, _EarlierPackedMap)
    starts = [row[0] for row in earlier.rows]
    return _PackedMap(
        earlier.version,
        earlier.vms,
        earlier.lives,
        [
            after - first
            for first, after in itertools.pairwise((*starts, KEY_COUNT))
        ],
        [row[1] for row in earlier.rows],
        [row[2] for row in earlier.rows],
        [row[3] for row in earlier.rows],
        [row[4] for row in earlier.rows],
    )


def _unpack(packed_map: _PackedMap, era: int | None = None) -> KeyMap:
    vms = [ids.VmId(vm) for vm in packed_map.vms]
    after_keys = list(itertools.accumulate(packed_map.widths))
    if not after_keys or after_keys[-1] != KEY_COUNT:
        raise ValueError("the rows do not cover all keys")
    if min(packed_map.widths) <= 0:
        raise ValueError("a row covers no key")
    for column, limit in (
        (packed_map.owners, len(vms) - 1),
        (packed_map.previous, len(vms) - 1),
        (packed_map.fences, _MAX_FENCE),
        (packed_map.previous_fences, _MAX_FENCE),
    ):
        if column and not 0 <= min(column) <= max(column) <= limit:
            raise ValueError("a row names an unknown VM or an invalid fence")
    try:
        owners = [vms[index] for index in packed_map.owners]
        previous = [vms[index] for index in packed_map.previous]
        instance_by_vm = {
            vms[index]: targets.TargetInstance(targets.TargetId(target), born)
            for index, target, born in packed_map.instances
        }
    except IndexError as error:
        raise ValueError("a row names an unknown VM") from error
    columns = zip(
        (0, *after_keys[:-1]),
        after_keys,
        owners,
        packed_map.fences,
        previous,
        packed_map.previous_fences,
        strict=True,
    )
    rows = tuple(
        Row(first, after - 1, owner, fence, earlier, earlier_fence)
        for first, after, owner, fence, earlier, earlier_fence in columns
    )
    voters = None
    if packed_map.nonvoters is not None:
        voters = voters_lib.Voters(
            _without(vms, packed_map.nonvoters),
            _without(vms, packed_map.nonvoters_before or []),
        )
    return KeyMap(packed_map.version, rows, instance_by_vm, era, voters)


def _missing(vms: list[ids.VmId], members: Set[ids.VmId]) -> list[int]:
    """Returns the indices of the VMs that are no members."""
    return [index for index, vm in enumerate(vms) if vm not in members]


def _without(vms: list[ids.VmId], missing: list[int]) -> frozenset[ids.VmId]:
    """Returns the VMs but those with these indices."""
    left_out = set(missing)
    return frozenset(
        vm for index, vm in enumerate(vms) if index not in left_out
    )


def _first(row: Row) -> int:
    return row.first


def _can_merge(left: Row, right: Row) -> bool:
    return (
        left.owner == right.owner
        and left.fence == right.fence
        and left.previous == right.previous
        and left.previous_fence == right.previous_fence
    )
