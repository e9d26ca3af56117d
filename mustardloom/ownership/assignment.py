"""Which member a slot should have; pure functions."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import heapq

import xxhash

from mustardloom import ids
from mustardloom.membership import records
from mustardloom.ownership import slot_map
from mustardloom.ownership import slots

__all__ = [
    "COLD_DURATION_MS",
    "MAX_LOAD_OVER_MEAN",
    "Receiver",
    "SlotLoad",
    "assign",
    "eligible",
    "equal_load",
    "make_receiver",
    "plan_moves",
]

SlotLoad = Callable[[ids.SlotIndex], float]

# Nothing moves for balance while the largest load per capacity is at most this
# multiple of the mean. The goal for the measured imbalance is 1.2. With 1.1,
# one of 16 availability zones stayed empty after its return.
MAX_LOAD_OVER_MEAN = 1.05
# Once balancing starts, it goes on below the bound that starts it, so that one
# more slot does not start it again.
_SETTLED_OVER_MEAN = 1.02

# A target that became active more recently may still be cold.
COLD_DURATION_MS = 10_000
_COLD_SHARE = 4
_MIN_MOVES = 1


def equal_load(slot: ids.SlotIndex) -> float:
    """Returns the same load for each slot."""
    del slot
    return 1.0


def eligible(
    members: Iterable[records.MemberRecord],
    group: ids.GroupId,
    is_stopped: Callable[[records.MemberRecord], bool],
) -> Iterator[records.MemberRecord]:
    """Yields the members that may be given slots of `group`."""
    service = slots.group_service(group)
    regions = slots.group_regions(group)
    for record in members:
        if record.state is not records.MemberState.ACTIVE:
            continue
        if record.service != service:
            continue
        if regions and record.region not in regions:
            continue
        if not is_stopped(record):
            yield record


def make_receiver(
    record: records.MemberRecord, active_ms: int, under_way: int
) -> "Receiver":
    """Returns what a member can take now.

    Args:
      record: An eligible member.
      active_ms: How long it has been ACTIVE.
      under_way: Planned moves to it that have not ended.
    """
    capacity = max(record.capacity, 1)
    is_cold = active_ms < COLD_DURATION_MS
    limit = capacity // _COLD_SHARE if is_cold else capacity
    room = max(limit, _MIN_MOVES) - under_way
    return Receiver(record.member, capacity, max(room, 0), is_cold)


def assign(
    group: ids.GroupId,
    entries: Sequence[slot_map.SlotEntry],
    without_owner: Iterable[ids.SlotIndex],
    receivers: Iterable["Receiver"],
    load: SlotLoad = equal_load,
) -> dict[ids.SlotIndex, ids.MemberId]:
    """Returns owners for slots that have none or a lost one.

    Each goes to the least loaded member relative to capacity. Cold members take
    no more than their room while there are warm ones: they are given slots
    without the pace of planned moves.

    Example:
      >>> receiver = Receiver(ids.MemberId("vm-1~0a1b2c3d"), 4, 4, False)
      >>> entries = [slot_map.SlotEntry()]
      >>> group = ids.GroupId("salio@*")
      >>> assign(group, entries, [ids.SlotIndex(0)], [receiver])
      {0: 'vm-1~0a1b2c3d'}
    """
    missing = set(without_owner)
    balance = _Balance(group, entries, receivers, load, missing)
    chosen: dict[ids.SlotIndex, ids.MemberId] = {}
    for slot in sorted(missing, key=lambda s: (-load(s), s)):
        receiver = balance.least_loaded(limit_cold=True)
        if receiver is None:
            receiver = balance.least_loaded()
        if receiver is None:
            return {}
        chosen[slot] = receiver
        balance.add(receiver, slot)
    return chosen


def plan_moves(
    group: ids.GroupId,
    entries: Sequence[slot_map.SlotEntry],
    receivers: Iterable["Receiver"],
    members_to_empty: Container[ids.MemberId] = (),
    load: SlotLoad = equal_load,
) -> dict[ids.SlotIndex, ids.MemberId]:
    """Returns planned moves by slot, at most the room of each receiver.

    Empties the members in `members_to_empty`, then balances the receivers if
    the largest load is above MAX_LOAD_OVER_MEAN. Slots that already move, slots
    without an owner and slots of other members stay as they are.
    """
    balance = _Balance(group, entries, receivers, load, ())
    moves = _empty(entries, members_to_empty, balance)
    if balance.largest_over_mean() > MAX_LOAD_OVER_MEAN:
        moves |= _level(entries, balance, load)
    return moves


def _empty(
    entries: Sequence[slot_map.SlotEntry],
    emptied: Container[ids.MemberId],
    balance: "_Balance",
) -> dict[ids.SlotIndex, ids.MemberId]:
    moves: dict[ids.SlotIndex, ids.MemberId] = {}
    for slot, entry in _movable(entries):
        if entry.owner not in emptied:
            continue
        receiver = balance.least_loaded(limit_all=True)
        if receiver is None:
            break
        moves[slot] = receiver
        balance.add(receiver, slot)
    return moves


def _level(
    entries: Sequence[slot_map.SlotEntry], balance: "_Balance", load: SlotLoad
) -> dict[ids.SlotIndex, ids.MemberId]:
    movable: dict[ids.MemberId, list[ids.SlotIndex]] = {}
    for slot, entry in _movable(entries):
        if entry.owner is not None:
            movable.setdefault(entry.owner, []).append(slot)
    for owned in movable.values():
        owned.sort(key=lambda slot: (-load(slot), slot))
    moves: dict[ids.SlotIndex, ids.MemberId] = {}
    while True:
        donor = balance.most_loaded()
        receiver = balance.least_loaded(limit_all=True)
        if donor is None or receiver is None:
            return moves
        if balance.relative(donor) <= balance.mean * _SETTLED_OVER_MEAN:
            return moves
        moved = _best_move(movable.get(donor, []), donor, receiver, balance)
        if moved is None:
            balance.exclude_donor(donor)
            continue
        movable[donor].remove(moved)
        moves[moved] = receiver
        balance.remove(donor, moved)
        balance.add(receiver, moved)


def _best_move(
    owned: Iterable[ids.SlotIndex],
    donor: ids.MemberId,
    receiver: ids.MemberId,
    balance: "_Balance",
) -> ids.SlotIndex | None:
    """Returns the largest slot that leaves the receiver below the donor."""
    before = balance.relative(donor)
    for slot in owned:
        if balance.relative(receiver, slot) < before:
            return slot
    return None


def _movable(
    entries: Sequence[slot_map.SlotEntry],
) -> Iterator[tuple[ids.SlotIndex, slot_map.SlotEntry]]:
    for index, entry in enumerate(entries):
        if entry.owner is not None and entry.moving_to is None:
            yield ids.SlotIndex(index), entry


@dataclasses.dataclass(frozen=True, slots=True)
class Receiver:
    """A member that may be given slots.

    Attributes:
      member: Its id.
      capacity: Weight of its share, at least 1.
      move_quota: Slots that may be moved to it now.
      is_cold: Whether it became ACTIVE recently.
    """

    member: ids.MemberId
    capacity: int
    move_quota: int
    is_cold: bool


class _Balance:
    """Load per receiver, counting slots under way at their destination."""

    def __init__(
        self,
        group: ids.GroupId,
        entries: Sequence[slot_map.SlotEntry],
        receivers: Iterable[Receiver],
        load: SlotLoad,
        ignored: Iterable[ids.SlotIndex],
    ):
        self.receiver_by_id = {r.member: r for r in receivers}
        self._load = load
        self._room = {m: r.move_quota for m, r in self.receiver_by_id.items()}
        self._load_by_id = dict.fromkeys(self.receiver_by_id, 0.0)
        # Equal loads are told apart by a hash with the group, so that the
        # remainders of many groups do not gather at one member.
        self._order = {
            member: xxhash.xxh64_intdigest(f"{group}/{member}".encode())
            for member in self.receiver_by_id
        }
        total = self._sum(entries, frozenset(ignored))
        capacity = sum(r.capacity for r in self.receiver_by_id.values())
        self.mean = total / capacity if capacity else 0.0
        self._heap: list[tuple[float, int, ids.MemberId]] = []
        self._largest: list[tuple[float, int, ids.MemberId]] = []
        self._excluded: set[ids.MemberId] = set()
        for member in self.receiver_by_id:
            self._push(member)

    def relative(
        self, member: ids.MemberId, added: ids.SlotIndex | None = None
    ) -> float:
        """Returns load per capacity, with one more slot if given."""
        load = self._load_by_id[member]
        if added is not None:
            load += self._load(added)
        return load / self.receiver_by_id[member].capacity

    def largest_over_mean(self) -> float:
        """Returns the imbalance, 0 without any load."""
        if not self.mean:
            return 0.0
        return max(map(self.relative, self.receiver_by_id)) / self.mean

    def least_loaded(
        self, limit_cold: bool = False, limit_all: bool = False
    ) -> ids.MemberId | None:
        """Returns the member with the least load per capacity.

        Args:
          limit_cold: Leave out cold members without room.
          limit_all: Leave out all members without room.
        """
        skipped = []
        found = None
        while self._heap and found is None:
            relative, _, member = self._heap[0]
            if relative != self.relative(member):
                heapq.heappop(self._heap)
                continue
            is_limited = limit_all or (
                limit_cold and self.receiver_by_id[member].is_cold
            )
            if is_limited and self._room[member] <= 0:
                skipped.append(heapq.heappop(self._heap))
                continue
            found = member
        for item in skipped:
            heapq.heappush(self._heap, item)
        return found

    def most_loaded(self) -> ids.MemberId | None:
        """Returns the member with the largest load per capacity."""
        while self._largest:
            relative, _, member = self._largest[0]
            is_current = -relative == self.relative(member)
            if is_current and member not in self._excluded:
                return member
            heapq.heappop(self._largest)
        return None

    def exclude_donor(self, member: ids.MemberId) -> None:
        """Leaves `member` out of `most_loaded`."""
        self._excluded.add(member)

    def add(self, member: ids.MemberId, slot: ids.SlotIndex) -> None:
        """Counts a slot that is given to `member`."""
        self._load_by_id[member] += self._load(slot)
        self._room[member] -= 1
        self._push(member)

    def remove(self, member: ids.MemberId, slot: ids.SlotIndex) -> None:
        """Counts a slot that leaves `member`."""
        self._load_by_id[member] -= self._load(slot)
        self._push(member)

    def _push(self, member: ids.MemberId) -> None:
        relative = self.relative(member)
        order = self._order[member]
        heapq.heappush(self._heap, (relative, order, member))
        heapq.heappush(self._largest, (-relative, order, member))

    def _sum(
        self,
        entries: Sequence[slot_map.SlotEntry],
        ignored: frozenset[ids.SlotIndex],
    ) -> float:
        total = 0.0
        for index, entry in enumerate(entries):
            slot = ids.SlotIndex(index)
            total += self._load(slot)
            holder = entry.moving_to or entry.owner
            if slot not in ignored and holder in self._load_by_id:
                self._load_by_id[holder] += self._load(slot)
        return total
