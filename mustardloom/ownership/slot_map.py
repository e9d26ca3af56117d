"""The slot map: owners of slots, stored in chunks of 256 slots."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import msgspec

from mustardloom import ids
from mustardloom import objects
from mustardloom.relay import replica as replica_lib

__all__ = [
    "CHUNK_SLOTS",
    "SLOTS_PREFIX",
    "Chunk",
    "ChunkName",
    "SlotChanges",
    "SlotEntry",
    "SlotMap",
    "chunk_key",
    "chunk_of",
    "decode_chunk",
    "encode_chunk",
    "parse_chunk_key",
]

SLOTS_PREFIX = "slots/"
CHUNK_SLOTS = 256


def chunk_key(name: "ChunkName") -> str:
    """Returns the store key of a chunk.

    Example:
      >>> chunk_key(ChunkName(ids.GroupId("salio@*"), 0))
      'slots/salio@*/0'
    """
    return f"{SLOTS_PREFIX}{name.group}/{name.index}"


def parse_chunk_key(key: str) -> "ChunkName":
    """Returns the chunk with the store key `key`; inverse of `chunk_key`."""
    group, _, index = key.removeprefix(SLOTS_PREFIX).rpartition("/")
    return ChunkName(ids.GroupId(group), int(index))


def chunk_of(group: ids.GroupId, slot: ids.SlotIndex) -> "ChunkName":
    """Returns the chunk that contains a slot."""
    return ChunkName(group, slot // CHUNK_SLOTS)


def encode_chunk(entries: Iterable["SlotEntry"]) -> bytes:
    """Returns the JSON of a chunk, with each member id written once."""
    table: dict[ids.MemberId | None, int] = {None: 0}
    rows = [
        (
            table.setdefault(entry.owner, len(table)),
            entry.epoch,
            table.setdefault(entry.moving_to, len(table)),
            entry.unknown_before_wall_ms,
        )
        for entry in entries
    ]
    members = tuple(member for member in table if member is not None)
    return msgspec.json.encode(Chunk(members=members, rows=tuple(rows)))


def decode_chunk(value: bytes) -> tuple["SlotEntry", ...]:
    """Returns the entries of a stored chunk, in order of their slots.

    Raises:
      msgspec.ValidationError: The value is not a chunk.
    """
    chunk = msgspec.json.decode(value, type=Chunk)
    table = (None, *chunk.members)
    return tuple(
        SlotEntry(table[owner], epoch, table[moving_to], unknown_before)
        for owner, epoch, moving_to, unknown_before in chunk.rows
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkName:
    """Identifies the slots of a group from CHUNK_SLOTS * index onwards.

    Attributes:
      group: Placement group.
      index: Position of the chunk in its group, from 0.
    """

    group: ids.GroupId
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotEntry:
    """Owner of one slot.

    Attributes:
      owner: Member that owns the slot, None before the first assignment.
      epoch: Fencing token; increases with each change of owner.
      moving_to: Receiver of a planned move that is under way, None without one.
      unknown_before_wall_ms: Request ids stamped earlier than this wall-clock
        time may have run at a lost owner.
    """

    owner: ids.MemberId | None = None
    epoch: ids.Epoch = ids.Epoch(0)  # noqa: RUF009
    moving_to: ids.MemberId | None = None
    unknown_before_wall_ms: int = 0


SlotChanges = dict[ids.SlotIndex, SlotEntry]


class Chunk(msgspec.Struct, frozen=True):
    """Stored form of a chunk.

    Attributes:
      members: Ids of the members that the rows refer to.
      rows: For each slot (owner, epoch, moving_to, unknown_before_wall_ms). A
        member is given by its position in `members` counted from 1, or 0 for
        none.
    """

    members: tuple[ids.MemberId, ...]
    rows: tuple[tuple[int, ids.Epoch, int, int], ...]


class SlotMap:
    """View of all chunks in a replica.

    Attributes:
      by_group: Entries of each group, in order of their slots. A slot whose
        chunk is not known yet has an entry without owner.
      version_by_chunk: Store version of each known chunk.
    """

    def __init__(self, replica: replica_lib.Replica):
        self.by_group: dict[ids.GroupId, list[SlotEntry]] = {}
        self.version_by_chunk: dict[ChunkName, ids.Version] = {}
        self._subscribers: list[Callable[[ChunkName], None]] = []
        replica.subscribe(SLOTS_PREFIX, self._on_event)

    def subscribe(self, subscriber: Callable[[ChunkName], None]) -> None:
        """Calls `subscriber` after each change of a chunk.

        It is called at once for each chunk that is already known.
        """
        self._subscribers.append(subscriber)
        for name in list(self.version_by_chunk):
            subscriber(name)

    def chunk(self, name: ChunkName) -> tuple[SlotEntry, ...]:
        """Returns the entries of a chunk, empty if it is not known."""
        if name not in self.version_by_chunk:
            return ()
        start = name.index * CHUNK_SLOTS
        return tuple(self.by_group[name.group][start : start + CHUNK_SLOTS])

    def entry(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> SlotEntry | None:
        """Returns the entry of a slot.

        None if neither its chunk nor a later one of the group is known.
        """
        entries = self.by_group.get(group)
        if entries is None or slot >= len(entries):
            return None
        return entries[slot]

    def slots_of(
        self, member: ids.MemberId
    ) -> Iterator[tuple[ids.GroupId, ids.SlotIndex, SlotEntry]]:
        """Yields group, slot and entry of each slot that `member` owns."""
        for group, entries in self.by_group.items():
            for index, entry in enumerate(entries):
                if entry.owner == member:
                    yield group, ids.SlotIndex(index), entry

    def _on_event(self, event: objects.Event) -> None:
        if event.value is None:
            return
        name = parse_chunk_key(event.key)
        entries = self.by_group.setdefault(name.group, [])
        start = name.index * CHUNK_SLOTS
        chunk = decode_chunk(event.value)
        missing = start + len(chunk) - len(entries)
        entries.extend(SlotEntry() for _ in range(missing))
        entries[start : start + len(chunk)] = chunk
        self.version_by_chunk[name] = event.version
        for subscriber in self._subscribers:
            subscriber(name)
