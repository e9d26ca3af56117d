"""Plans which VM owns which keys; pure functions of a map.

Load pattern: a few adjacent keys carry much of the traffic. The first map
assigns keys in narrow stripes, so that adjacent ranges have different owners
from the start. Later, rows move when targets are lost or join, and by measured
load (see `balancing`).
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import heapq
import itertools

import msgspec

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import key_map
from mustardloom.keys import restoration

__all__ = [
    "Candidate",
    "adopt_instance",
    "clear_previous_owners",
    "include_new_targets",
    "initial_map",
    "merge_rows",
    "reassign",
    "row_counts",
    "with_instance",
    "with_moves",
]

_MAX_STRIPES_PER_OWNER = 64
# Above this number of rows, those of one owner are merged, as an answer to a
# heartbeat lists few more.
_MERGED_ROWS = 100
# Parts of this width move to targets that join.
_STRIPE_KEYS = key_map.KEY_COUNT // _MAX_STRIPES_PER_OWNER
# Share by which an owner may exceed its fair share so that its rows adjoin.
_MAX_SHARE_BESIDE = 1.1
# Each daemon keeps the whole map, so its rows must not grow with the fleet.
_MAX_STRIPES = 4_096
_MS_PER_S = 1_000
# An owner keeps at least this part of its fair share when targets join.
_MIN_KEPT_SHARE = 0.8
# Number of passes over the rows; adjacent rows are visited in different ones.
_SCATTER_STRIDE = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may own keys.

    Attributes:
      capacity: Requests that it runs at once; fewer if its rate is limited.
      service_ms: Mean service time of a request there, a measure of its speed.
      rate: Requests per second for its keys, including refused ones.
      can_release_keys: Whether its keys may move away: it is not waiting for
        keys, and its figures are newer than the last move from it.
    """

    vm: ids.VmId
    instance: targets.TargetInstance
    capacity: float
    service_ms: float = 30.0
    rate: float = 0.0
    can_release_keys: bool = True

    @property
    def utilisation_per_rps(self) -> float:
        """Returns the utilisation that one request per second causes."""
        return self.service_ms / _MS_PER_S / self.capacity


def initial_map(
    candidates: Iterable[Candidate],
    era: int | None = None,
    may_be_held: bool = False,
) -> key_map.KeyMap:
    """Returns the first map: narrow stripes, spread by capacity.

    Args:
      candidates: The targets.
      era: Era of the store.
      may_be_held: Whether targets may hold keys by a map that the store has
        lost, so that all keys wait until such grants have expired.
    """
    owners = sorted(candidates, key=lambda each: each.vm)
    if not owners:
        return key_map.empty()
    stripe_owners = list(_stripe_owners(owners))
    count = len(stripe_owners)
    starts = [index * key_map.KEY_COUNT // count for index in range(count + 1)]
    version = restoration.first_version(era)
    previous = restoration.UNKNOWN_VM if may_be_held else ids.VmId("")
    rows = (
        key_map.Row(first, after - 1, vm, version, previous)
        for (first, after), vm in zip(
            itertools.pairwise(starts), stripe_owners, strict=True
        )
    )
    instance_by_vm = {owner.vm: owner.instance for owner in owners}
    return key_map.KeyMap(
        version, tuple(key_map.merge_adjacent(rows)), instance_by_vm, era
    )


def _stripe_owners(owners: list[Candidate]) -> Iterator[ids.VmId]:
    """Yields the owner of each stripe, in turn by capacity.

    An owner of capacity c is due at the times 1/c, 2/c and so on.
    """
    count = min(_MAX_STRIPES_PER_OWNER * len(owners), _MAX_STRIPES)
    due = [(1 / owner.capacity, owner.vm, owner) for owner in owners]
    heapq.heapify(due)
    for _ in range(max(count, len(owners))):
        due_at, vm, owner = due[0]
        yield vm
        next_due_at = due_at + 1 / owner.capacity
        heapq.heapreplace(due, (next_due_at, vm, owner))


def with_instance(
    current: key_map.KeyMap, vm: ids.VmId, instance: targets.TargetInstance
) -> key_map.KeyMap:
    """Returns the map for a new instance of a VM's target.

    The earlier instance has ended, so its keys need new fences but no handover.
    """
    version = current.version + 1
    rows = (
        msgspec.structs.replace(row, fence=version) if row.owner == vm else row
        for row in current.rows
    )
    instance_by_vm = {**current.instance_by_vm, vm: instance}
    return dataclasses.replace(
        current,
        version=version,
        rows=tuple(key_map.merge_adjacent(rows)),
        instance_by_vm=instance_by_vm,
    )


def adopt_instance(
    current: key_map.KeyMap, vm: ids.VmId, instance: targets.TargetInstance
) -> key_map.KeyMap | None:
    """Returns the map for the current instance of a VM's target.

    Returns None if the map names it already or the VM owns no keys.
    """
    if current.instance_by_vm.get(vm) == instance or vm not in current.owners():
        return None
    return with_instance(current, vm, instance)


def clear_previous_owners(
    current: key_map.KeyMap, settled: Set[ids.VmId]
) -> key_map.KeyMap:
    """Forgets the earlier owners of keys whose move is complete.

    Load pattern: all daemons and targets lose power at once, and the new
    daemons know only the map. Keys for which it names an earlier owner wait
    until the grants of that owner have expired; all others are granted at once.

    Args:
      current: The map.
      settled: VMs that know this map and wait for none of their keys.

    Returns:
      A map of the same version; `current` itself if nothing is forgotten.
    """
    if not any(row.previous and row.owner in settled for row in current.rows):
        return current
    rows = (
        msgspec.structs.replace(row, previous=ids.VmId(""), previous_fence=0)
        if row.owner in settled
        else row
        for row in current.rows
    )
    return dataclasses.replace(
        current, rows=tuple(key_map.merge_adjacent(rows))
    )


def reassign(
    current: key_map.KeyMap,
    candidates: Iterable[Candidate],
    leaving: set[ids.VmId],
) -> key_map.KeyMap | None:
    """Moves the keys of leaving VMs and keys without owner to candidates.

    Returns:
      The new map; None if there are no such keys or no candidate that stays.
    """
    receivers = [each for each in candidates if each.vm not in leaving]
    old_owners = leaving | {ids.VmId("")}
    if not receivers or not (old_owners & {row.owner for row in current.rows}):
        return None
    if len(current.rows) > _MERGED_ROWS * len(receivers):
        moves = dict(_moves_beside(current, receivers, old_owners))
        return with_moves(current, current.rows, moves, receivers)
    counts = row_counts(current)
    by_vm = {each.vm: each for each in receivers}
    # By the share of its capacity that the receiver would have after a move.
    queue = [
        ((counts.get(vm, 0) + 1) / each.capacity, vm)
        for vm, each in by_vm.items()
    ]
    heapq.heapify(queue)
    moves = {}
    for row in current.rows:
        if row.owner not in old_owners:
            continue
        vm = queue[0][1]
        counts[vm] = counts.get(vm, 0) + 1
        moves[row.first] = vm
        heapq.heapreplace(queue, ((counts[vm] + 1) / by_vm[vm].capacity, vm))
    return with_moves(current, current.rows, moves, receivers)


def _moves_beside(
    current: key_map.KeyMap,
    receivers: list[Candidate],
    old_owners: Set[ids.VmId],
) -> Iterator[tuple[int, ids.VmId]]:
    """Yields the receivers of rows, most often the owner of the row before.

    Load pattern: most owners are lost, and those that are left would get more
    separate rows than the answer to a heartbeat can list.
    """
    by_vm = {each.vm: each for each in receivers}
    total = sum(each.capacity for each in receivers)
    keys_by_vm = dict.fromkeys(by_vm, 0)
    for row in current.rows:
        if row.owner in keys_by_vm:
            keys_by_vm[row.owner] += row.width

    def share(vm: ids.VmId, width: int) -> float:
        """Returns the part that a VM would have of its fair share."""
        fair_keys = key_map.KEY_COUNT * by_vm[vm].capacity / total
        return (keys_by_vm[vm] + width) / fair_keys

    before = ids.VmId("")
    for row in current.rows:
        receiver = row.owner
        if receiver in old_owners:
            receiver = before
            if (
                before not in by_vm
                or share(before, row.width) > _MAX_SHARE_BESIDE
            ):
                receiver = min(by_vm, key=lambda vm: (share(vm, row.width), vm))
            keys_by_vm[receiver] += row.width
            yield row.first, receiver
        before = receiver


def merge_rows(current: key_map.KeyMap) -> key_map.KeyMap | None:
    """Merges adjacent rows of owners that have very many.

    They differ in their fencing tokens, so the merged ones get a new one. Rows
    whose earlier owner may still hold keys are left as they are.

    Returns:
      The new map; None if no rows can be merged.
    """
    counts = row_counts(current)
    crowded = {vm for vm, count in counts.items() if count > _MERGED_ROWS}
    version = current.version + 1
    merged: list[key_map.Row] = []
    for row in current.rows:
        if (
            merged
            and row.owner in crowded
            and row.owner == merged[-1].owner
            and not row.previous
            and not merged[-1].previous
        ):
            merged[-1] = msgspec.structs.replace(
                merged[-1], last=row.last, fence=version
            )
        else:
            merged.append(row)
    if len(merged) == len(current.rows):
        return None
    return dataclasses.replace(current, version=version, rows=tuple(merged))


def include_new_targets(
    current: key_map.KeyMap, candidates: Iterable[Candidate]
) -> key_map.KeyMap | None:
    """Moves a fair share of the keys to targets that own none.

    Returns:
      The new map; None if every candidate or none of them owns keys, or if no
      row can move.
    """
    by_vm = {each.vm: each for each in candidates}
    owners = current.owners()
    vms_without_keys = {vm for vm in by_vm if vm not in owners}
    if not vms_without_keys or len(vms_without_keys) == len(by_vm):
        return None
    total = sum(each.capacity for each in by_vm.values())
    keys_by_vm: dict[ids.VmId, int] = dict.fromkeys(by_vm, 0)
    for row in current.rows:
        if row.owner in keys_by_vm:
            keys_by_vm[row.owner] += row.width
    moves: dict[int, ids.VmId] = {}
    rows = tuple(_split_wide(current.rows))
    # By the keys that a receiver has for its capacity.
    queue = [(0.0, vm) for vm in sorted(vms_without_keys)]
    for row in _scattered_order(rows):
        receiver = queue[0][1]
        fair_keys = key_map.KEY_COUNT * by_vm[receiver].capacity / total
        if keys_by_vm[receiver] + row.width > fair_keys:
            break
        if row.owner not in by_vm or row.owner in vms_without_keys:
            continue
        if not by_vm[row.owner].can_release_keys:
            continue
        owner_fair_keys = key_map.KEY_COUNT * by_vm[row.owner].capacity / total
        if (
            keys_by_vm[row.owner] - row.width
            < owner_fair_keys * _MIN_KEPT_SHARE
        ):
            continue
        keys_by_vm[row.owner] -= row.width
        keys_by_vm[receiver] += row.width
        moves[row.first] = receiver
        load = keys_by_vm[receiver] / by_vm[receiver].capacity
        heapq.heapreplace(queue, (load, receiver))
    if not moves:
        return None
    return with_moves(current, rows, moves, by_vm.values())


def _split_wide(rows: Iterable[key_map.Row]) -> Iterator[key_map.Row]:
    """Yields rows in parts that are no wider than a stripe of the first map."""
    for row in rows:
        for first in range(row.first, row.last + 1, _STRIPE_KEYS):
            last = min(row.last, first + _STRIPE_KEYS - 1)
            yield msgspec.structs.replace(row, first=first, last=last)


def _scattered_order(rows: tuple[key_map.Row, ...]) -> Iterator[key_map.Row]:
    """Yields all rows in an order that separates adjacent ones."""
    for offset in range(_SCATTER_STRIDE):
        yield from rows[offset::_SCATTER_STRIDE]


def row_counts(current: key_map.KeyMap) -> dict[ids.VmId, int]:
    """Returns the number of rows of each owner."""
    counts: dict[ids.VmId, int] = {}
    for row in current.rows:
        counts[row.owner] = counts.get(row.owner, 0) + 1
    return counts


def with_moves(
    current: key_map.KeyMap,
    rows: Iterable[key_map.Row],
    moves: Mapping[int, ids.VmId],
    owners: Iterable[Candidate],
) -> key_map.KeyMap:
    """Returns the map after moves.

    Args:
      current: The map.
      rows: Its rows, or parts of them.
      moves: New owner of each row that moves, by the first key of the row.
      owners: Targets among which the new owners are.
    """
    version = current.version + 1
    changed = (
        msgspec.structs.replace(
            row,
            owner=moves[row.first],
            fence=version,
            previous=row.owner,
            previous_fence=row.fence,
        )
        if row.first in moves
        else row
        for row in rows
    )
    changed_rows = tuple(key_map.merge_adjacent(changed))
    # VMs without keys are left out, as they may be gone for good.
    owner_vms = {row.owner for row in changed_rows}
    instance_by_vm = {
        vm: instance
        for vm, instance in current.instance_by_vm.items()
        if vm in owner_vms
    }
    receiver_vms = set(moves.values())
    for owner in owners:
        if owner.vm in receiver_vms and owner.vm not in instance_by_vm:
            instance_by_vm[owner.vm] = owner.instance
    return dataclasses.replace(
        current,
        version=version,
        rows=changed_rows,
        instance_by_vm=instance_by_vm,
    )
