"""Assigns slots to members and plans balancing moves; pure functions."""

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

# No slot is moved for balance while the largest load per capacity is at most
# this multiple of the mean. The objective for measured imbalance is 1.2. With
# 1.1, one of 16 availability zones stayed empty after its return.
MAX_LOAD_OVER_MEAN = 1.05
# Hysteresis: balancing continues down to this multiple of the mean, so that one
# more slot does not start it again.
_SETTLED_OVER_MEAN = 1.02

# How long a target counts as cold after it became ACTIVE.
COLD_DURATION_MS = 10_000
# A cold member has at most a quarter of its capacity in moves under way.
_COLD_CAPACITY_DIVISOR = 4
_MIN_CONCURRENT_MOVES = 1


def equal_load(slot: ids.SlotIndex) -> float:
    """Returns a load of 1.0 for any slot."""
    del slot
    return 1.0


def eligible(
    members: Iterable[records.MemberRecord],
    group: ids.GroupId,
    is_stopped: Callable[[records.MemberRecord], bool],
) -> Iterator[records.MemberRecord]:
    """Yields the members that may own slots of `group`.

    These are ACTIVE, of the group's service, in a permitted region and not
    stopped by an operator.

    Args:
      members: Members to choose from.
      group: Placement group.
      is_stopped: Whether an operator stopped a member.
    """
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
    """Returns a member with the number of slots that may move to it now.

    Args:
      record: An eligible member.
      active_ms: How long it has been ACTIVE.
      under_way: Number of planned moves to it that have not ended.
    """
    capacity = max(record.capacity, 1)
    is_cold = active_ms < COLD_DURATION_MS
    limit = capacity // _COLD_CAPACITY_DIVISOR if is_cold else capacity
    move_quota = max(limit, _MIN_CONCURRENT_MOVES) - under_way
    return Receiver(record.member, capacity, max(move_quota, 0), is_cold)


def assign(
    group: ids.GroupId,
    entries: Sequence[slot_map.SlotEntry],
    without_owner: Iterable[ids.SlotIndex],
    receivers: Iterable["Receiver"],
    load: SlotLoad = equal_load,
) -> dict[ids.SlotIndex, ids.MemberId]:
    """Returns new owners for slots that have none or a lost one.

    Each slot goes to the member with the least load per capacity. While there
    are warm members, a cold one takes at most `move_quota` slots, since these
    assignments are not paced as planned moves are.

    Args:
      group: Placement group.
      entries: Entries of all slots of the group.
      without_owner: Slots to assign.
      receivers: Members that may own them.
      load: Load of each slot.

    Returns:
      Owners by slot; empty if there are no receivers.

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
    """Returns receivers of slots to move, at most `move_quota` slots for each.

    Moves all slots away from the members in `members_to_empty`, then balances
    the receivers if the largest load per capacity exceeds MAX_LOAD_OVER_MEAN
    times the mean. Left alone are slots that are moving already, that have no
    owner, or whose owner is neither a receiver nor to be emptied.
    """
    balance = _Balance(group, entries, receivers, load, ())
    moves = _plan_emptying(entries, members_to_empty, balance)
    if balance.largest_over_mean() > MAX_LOAD_OVER_MEAN:
        moves |= _plan_balancing(entries, balance, load)
    return moves


def _plan_emptying(
    entries: Sequence[slot_map.SlotEntry],
    members_to_empty: Container[ids.MemberId],
    balance: "_Balance",
) -> dict[ids.SlotIndex, ids.MemberId]:
    moves: dict[ids.SlotIndex, ids.MemberId] = {}
    for slot, entry in _movable(entries):
        if entry.owner not in members_to_empty:
            continue
        receiver = balance.least_loaded(limit_all=True)
        if receiver is None:
            break
        moves[slot] = receiver
        balance.add(receiver, slot)
    return moves


def _plan_balancing(
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
        if (
            balance.load_per_capacity(donor)
            <= balance.mean * _SETTLED_OVER_MEAN
        ):
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
    """Returns the slot of largest load that may move, None if there is none.

    A slot may move if the receiver then has less load per capacity than the
    donor has now. `owned` is sorted by load, largest first.
    """
    donor_load = balance.load_per_capacity(donor)
    for slot in owned:
        if balance.load_per_capacity(receiver, slot) < donor_load:
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
    """A member that may receive slots.

    Attributes:
      member: Id of the member.
      capacity: Weight of its share of the slots, at least 1.
      move_quota: Number of further slots that may be moved to it now.
      is_cold: Whether it became ACTIVE less than COLD_DURATION_MS ago.
    """

    member: ids.MemberId
    capacity: int
    move_quota: int
    is_cold: bool


class _Balance:
    """Load of each receiver; a slot being moved counts for its receiver."""

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
        self._move_quotas = {
            m: r.move_quota for m, r in self.receiver_by_id.items()
        }
        self._load_by_id = dict.fromkeys(self.receiver_by_id, 0.0)
        # Ties are broken by a hash that includes the group, so that the surplus
        # slots of many groups do not all go to the same member.
        self._tie_breaks = {
            member: xxhash.xxh64_intdigest(f"{group}/{member}".encode())
            for member in self.receiver_by_id
        }
        total = self._add_loads(entries, frozenset(ignored))
        capacity = sum(r.capacity for r in self.receiver_by_id.values())
        self.mean = total / capacity if capacity else 0.0
        self._least_loaded_heap: list[tuple[float, int, ids.MemberId]] = []
        self._most_loaded_heap: list[tuple[float, int, ids.MemberId]] = []
        self._excluded: set[ids.MemberId] = set()
        for member in self.receiver_by_id:
            self._push(member)

    def load_per_capacity(
        self, member: ids.MemberId, added: ids.SlotIndex | None = None
    ) -> float:
        """Returns the load per capacity, including slot `added` if given."""
        load = self._load_by_id[member]
        if added is not None:
            load += self._load(added)
        return load / self.receiver_by_id[member].capacity

    def largest_over_mean(self) -> float:
        """Returns the largest load per capacity over the mean, 0 if no load."""
        if not self.mean:
            return 0.0
        return max(map(self.load_per_capacity, self.receiver_by_id)) / self.mean

    def least_loaded(
        self, limit_cold: bool = False, limit_all: bool = False
    ) -> ids.MemberId | None:
        """Returns the member with the least load per capacity.

        None if no member is left.

        Args:
          limit_cold: Skip cold members that may receive no further slot.
          limit_all: Skip all members that may receive no further slot.
        """
        skipped = []
        found = None
        while self._least_loaded_heap and found is None:
            load_per_capacity, _, member = self._least_loaded_heap[0]
            if load_per_capacity != self.load_per_capacity(member):
                heapq.heappop(self._least_loaded_heap)
                continue
            is_limited = limit_all or (
                limit_cold and self.receiver_by_id[member].is_cold
            )
            if is_limited and self._move_quotas[member] <= 0:
                skipped.append(heapq.heappop(self._least_loaded_heap))
                continue
            found = member
        for item in skipped:
            heapq.heappush(self._least_loaded_heap, item)
        return found

    def most_loaded(self) -> ids.MemberId | None:
        """Returns the member with the largest load per capacity.

        Excluded donors are skipped; None if no member is left.
        """
        while self._most_loaded_heap:
            load_per_capacity, _, member = self._most_loaded_heap[0]
            is_current = -load_per_capacity == self.load_per_capacity(member)
            if is_current and member not in self._excluded:
                return member
            heapq.heappop(self._most_loaded_heap)
        return None

    def exclude_donor(self, member: ids.MemberId) -> None:
        """Excludes `member` from the results of `most_loaded`."""
        self._excluded.add(member)

    def add(self, member: ids.MemberId, slot: ids.SlotIndex) -> None:
        """Adds a slot to the load of `member` and uses one of its quota."""
        self._load_by_id[member] += self._load(slot)
        self._move_quotas[member] -= 1
        self._push(member)

    def remove(self, member: ids.MemberId, slot: ids.SlotIndex) -> None:
        """Subtracts a slot from the load of `member`."""
        self._load_by_id[member] -= self._load(slot)
        self._push(member)

    def _push(self, member: ids.MemberId) -> None:
        load_per_capacity = self.load_per_capacity(member)
        tie_break = self._tie_breaks[member]
        heapq.heappush(
            self._least_loaded_heap, (load_per_capacity, tie_break, member)
        )
        heapq.heappush(
            self._most_loaded_heap, (-load_per_capacity, tie_break, member)
        )

    def _add_loads(
        self,
        entries: Sequence[slot_map.SlotEntry],
        ignored: frozenset[ids.SlotIndex],
    ) -> float:
        """Adds the load of all slots but `ignored` to their members.

        Returns:
          The load of all slots, including those ignored or of other members.
        """
        total = 0.0
        for index, entry in enumerate(entries):
            slot = ids.SlotIndex(index)
            total += self._load(slot)
            counted_member = entry.moving_to or entry.owner
            if slot not in ignored and counted_member in self._load_by_id:
                self._load_by_id[counted_member] += self._load(slot)
        return total
