"""Who is to own which keys; plain functions of a map and of what is known.

Load pattern: a few neighbouring keys carry much of the traffic, which ones
changes within seconds, and targets differ in speed. Keys are dealt in narrow
stripes, so that neighbours lie on different targets from the start, and rows
move from the busiest target to the idlest by measured load.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import itertools

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import key_map

__all__ = [
    "Candidate",
    "RowLoad",
    "adopt_instance",
    "clear_previous_owners",
    "include_new_targets",
    "initial_map",
    "reassign",
    "rebalance",
    "split_by_load",
    "with_instance",
]

# An answer to a heartbeat lists all rows of a target in at most 4 KiB.
_MAX_ROWS_PER_OWNER = 130
_STRIPES_PER_OWNER = 64
# Differences in utilisation below this are not worth cold keys.
_WORTH_MOVING = 0.2
# Targets below this utilisation serve without queues.
_COMFORTABLE = 0.55
_MAX_MOVES = 24
# Utilisation that outweighs answers later by the whole objective.
_SLOWNESS_WEIGHT = 1.2
_MS_PER_S = 1_000
# An owner keeps at least this share of its part when another target joins.
_LEFT_SHARE = 0.8
_SCATTER = 7
# Parts into which the load of one target is cut, and hits that make a part.
_SEGMENTS = 40
_LEAST_HITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may own keys.

    Attributes:
      service_ms: Mean time that a request takes there, which tells its speed.
      rate: Requests a second for its keys, those turned away included.
      can_release_keys: Whether its keys may move: none are on their way to it,
      and
        its figures are newer than its last move.
    """

    vm: ids.VmId
    instance: targets.TargetInstance
    capacity: int
    service_ms: float = 30.0
    rate: float = 0.0
    can_release_keys: bool = True

    @property
    def utilisation_per_rps(self) -> float:
        """Returns the share of the capacity that one request a second takes."""
        return self.service_ms / _MS_PER_S / self.capacity


@dataclasses.dataclass(frozen=True, slots=True)
class RowLoad:
    """Requests a second for the keys `first` to `last`."""

    first: int
    last: int
    rate: float


def initial_map(candidates: Iterable[Candidate]) -> key_map.KeyMap:
    """Returns the first map: narrow stripes, dealt in turn by capacity."""
    owners = sorted(candidates, key=lambda each: each.vm)
    if not owners:
        return key_map.empty()
    total = sum(owner.capacity for owner in owners)
    order = list(_interleaved(owners, total))
    count = len(order)
    starts = [index * key_map.KEY_COUNT // count for index in range(count + 1)]
    rows = (
        key_map.Row(first, after - 1, vm, 1)
        for (first, after), vm in zip(
            itertools.pairwise(starts), order, strict=True
        )
    )
    lives = {owner.vm: owner.instance for owner in owners}
    return key_map.KeyMap(1, tuple(key_map.merge_adjacent(rows)), lives)


def _interleaved(owners: list[Candidate], total: int) -> Iterator[ids.VmId]:
    """Yields owners as evenly as their capacities allow."""
    credit = dict.fromkeys((owner.vm for owner in owners), 0)
    for _ in range(_STRIPES_PER_OWNER * len(owners)):
        for owner in owners:
            credit[owner.vm] += owner.capacity
        chosen = max(credit, key=lambda vm: credit[vm])
        credit[chosen] -= total
        yield chosen


def with_instance(
    current: key_map.KeyMap, vm: ids.VmId, life: targets.TargetInstance
) -> key_map.KeyMap:
    """Returns the map for a new run of a VM's target.

    The earlier run is over, so the keys need no handover, but new fences.
    """
    version = current.version + 1
    rows = (
        dataclasses.replace(row, fence=version) if row.owner == vm else row
        for row in current.rows
    )
    lives = {**current.instance_by_vm, vm: life}
    return key_map.KeyMap(version, tuple(key_map.merge_adjacent(rows)), lives)


def adopt_instance(
    current: key_map.KeyMap, vm: ids.VmId, life: targets.TargetInstance
) -> key_map.KeyMap | None:
    """Returns the map for a VM's target, None if it is right already."""
    if current.instance_by_vm.get(vm) == life or vm not in current.owners():
        return None
    return with_instance(current, vm, life)


def clear_previous_owners(
    current: key_map.KeyMap, settled: Set[ids.VmId]
) -> key_map.KeyMap:
    """Forgets the earlier owners of keys that have arrived for good.

    Load pattern: all daemons and targets lose power at once. What the new
    daemons know is the map; keys whose earlier owner it names wait until the
    grants of that owner have run out, all others are granted at once.

    Args:
      current: The map.
      settled: VMs that had none of their keys on the way when they knew
        this map.

    Returns:
      The map of the same version; the same object if nothing is forgotten.
    """
    if not any(row.previous and row.owner in settled for row in current.rows):
        return current
    rows = (
        dataclasses.replace(row, previous=ids.VmId(""), previous_fence=0)
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
    """Gives the keys of the leaving VMs and of nobody to the candidates.

    Returns:
      The new map; None if there is nothing to give or nobody to take it.
    """
    heirs = [each for each in candidates if each.vm not in leaving]
    given_up = leaving | {ids.VmId("")}
    if not heirs or not (given_up & {row.owner for row in current.rows}):
        return None
    counts = _row_counts(current)
    moves: dict[int, ids.VmId] = {}
    for row in current.rows:
        if row.owner not in given_up:
            continue
        heir = min(
            heirs,
            key=lambda each: (
                (counts.get(each.vm, 0) + 1) / each.capacity,
                each.vm,
            ),
        )
        counts[heir.vm] = counts.get(heir.vm, 0) + 1
        moves[row.first] = heir.vm
    return _moved(current, current.rows, moves, heirs)


def include_new_targets(
    current: key_map.KeyMap, candidates: Iterable[Candidate]
) -> key_map.KeyMap | None:
    """Gives targets without keys their part, taken from those with most.

    Returns:
      The new map; None if every candidate owns keys.
    """
    able = {each.vm: each for each in candidates}
    owners = current.owners()
    empty = sorted(vm for vm in able if vm not in owners)
    if not empty or len(empty) == len(able):
        return None
    total = sum(each.capacity for each in able.values())
    keys_by_vm: dict[ids.VmId, int] = dict.fromkeys(able, 0)
    for row in current.rows:
        if row.owner in keys_by_vm:
            keys_by_vm[row.owner] += row.width
    moves: dict[int, ids.VmId] = {}
    for row in _scattered(current.rows):
        heir = min(empty, key=lambda vm: keys_by_vm[vm] / able[vm].capacity)
        fair = key_map.KEY_COUNT * able[heir].capacity / total
        if keys_by_vm[heir] + row.width > fair:
            break
        if row.owner not in able or row.owner in empty:
            continue
        if not able[row.owner].can_release_keys:
            continue
        own_fair = key_map.KEY_COUNT * able[row.owner].capacity / total
        if keys_by_vm[row.owner] - row.width < own_fair * _LEFT_SHARE:
            continue
        keys_by_vm[row.owner] -= row.width
        keys_by_vm[heir] += row.width
        moves[row.first] = heir
    if not moves:
        return None
    return _moved(current, current.rows, moves, able.values())


def rebalance(
    current: key_map.KeyMap,
    candidates: Iterable[Candidate],
    loads: Iterable[RowLoad],
    objective_ms: float,
) -> key_map.KeyMap | None:
    """Moves rows from busy and slow targets to idle and fast ones.

    A slow target answers late even if nothing waits there, so it counts as
    busier by the share of the objective that it takes longer.

    Args:
      current: The map.
      candidates: Targets with their service time and rate.
      loads: Rates of rows or parts of rows; parts that are not named are idle.
      objective_ms: Time within which answers are wanted.

    Returns:
      The new map; None if no move is worth it.
    """
    able = {each.vm: each for each in candidates}
    if len(able) < 2:
        return None
    fastest_ms = min(each.service_ms for each in able.values())
    busy = {
        vm: each.rate * each.utilisation_per_rps
        + _SLOWNESS_WEIGHT * (each.service_ms - fastest_ms) / objective_ms
        for vm, each in able.items()
    }
    if max(busy.values()) < _COMFORTABLE:
        return None
    rows = list(_split(current.rows, loads))
    counts = _row_counts(dataclasses.replace(current, rows=tuple(rows)))
    rate_by_first = _rates(rows, loads)
    moves: dict[int, ids.VmId] = {}
    for _ in range(_MAX_MOVES):
        givers = [vm for vm, each in able.items() if each.can_release_keys]
        if not givers:
            break
        source = max(givers, key=lambda vm: busy[vm])
        sink = min(busy, key=lambda vm: (busy[vm], vm))
        gap = busy[source] - busy[sink]
        if busy[source] < _COMFORTABLE or gap < _WORTH_MOVING:
            break
        if counts.get(sink, 0) >= _MAX_ROWS_PER_OWNER:
            break
        # Afterwards both are equally busy if exactly this rate moves.
        wanted = gap / (
            able[source].utilisation_per_rps + able[sink].utilisation_per_rps
        )
        row = _best_row(rows, moves, rate_by_first, source, wanted)
        if row is None:
            break
        share = rate_by_first[row.first]
        busy[source] -= share * able[source].utilisation_per_rps
        busy[sink] += share * able[sink].utilisation_per_rps
        counts[sink] = counts.get(sink, 0) + 1
        moves[row.first] = sink
    if not moves:
        return None
    return _moved(current, rows, moves, able.values())


def split_by_load(
    rows: Iterable[key_map.Row], hits: Mapping[int, int]
) -> Iterator[RowLoad]:
    """Yields the busy parts of rows, each light enough to move by itself.

    Args:
      rows: Rows of the map.
      hits: Requests by key; `rate` of the results counts requests, too.
    """
    quantum = max(_LEAST_HITS, sum(hits.values()) / _SEGMENTS)
    keys = sorted(hits)
    index = 0
    for row in rows:
        inside = []
        while index < len(keys) and keys[index] <= row.last:
            inside.append(keys[index])
            index += 1
        if inside:
            yield from _cut(row, inside, hits, quantum)


def _cut(
    row: key_map.Row,
    keys: list[int],
    hits: Mapping[int, int],
    quantum: float,
) -> Iterator[RowLoad]:
    """Cuts a row so that no part but single keys exceeds the quantum."""
    first = row.first
    weight = 0
    for key in keys:
        if weight and weight + hits[key] > quantum:
            yield RowLoad(first, key - 1, weight)
            first, weight = key, 0
        weight += hits[key]
    yield RowLoad(first, row.last, weight)


def _scattered(rows: tuple[key_map.Row, ...]) -> Iterator[key_map.Row]:
    """Yields rows so that neighbours come far apart."""
    for offset in range(_SCATTER):
        yield from rows[offset::_SCATTER]


def _best_row(
    rows: list[key_map.Row],
    moves: Mapping[int, ids.VmId],
    rate_by_first: Mapping[int, float],
    source: ids.VmId,
    wanted: float,
) -> key_map.Row | None:
    """Returns the row of `source` whose rate is closest below `wanted`."""
    fitting = [
        row
        for row in rows
        if row.owner == source
        and row.first not in moves
        and 0 < rate_by_first[row.first] <= wanted
    ]
    return max(fitting, key=lambda row: rate_by_first[row.first], default=None)


def _split(
    rows: Iterable[key_map.Row], loads: Iterable[RowLoad]
) -> Iterator[key_map.Row]:
    """Cuts rows at the borders of the loads that lie inside them."""
    borders = sorted(
        {load.first for load in loads} | {load.last + 1 for load in loads}
    )
    index = 0
    for row in rows:
        first = row.first
        while index < len(borders) and borders[index] <= row.last:
            if borders[index] > first:
                yield dataclasses.replace(
                    row, first=first, last=borders[index] - 1
                )
                first = borders[index]
            index += 1
        yield dataclasses.replace(row, first=first)


def _rates(
    rows: list[key_map.Row], loads: Iterable[RowLoad]
) -> dict[int, float]:
    rate_by_first = dict.fromkeys((row.first for row in rows), 0.0)
    starts = sorted(rate_by_first)
    for load in loads:
        covered = [s for s in starts if load.first <= s <= load.last]
        for start in covered:
            rate_by_first[start] += load.rate / len(covered)
    return rate_by_first


def _row_counts(current: key_map.KeyMap) -> dict[ids.VmId, int]:
    counts: dict[ids.VmId, int] = {}
    for row in current.rows:
        counts[row.owner] = counts.get(row.owner, 0) + 1
    return counts


def _moved(
    current: key_map.KeyMap,
    rows: Iterable[key_map.Row],
    moves: Mapping[int, ids.VmId],
    owners: Iterable[Candidate],
) -> key_map.KeyMap:
    version = current.version + 1
    changed = (
        dataclasses.replace(
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
    lives = dict(current.instance_by_vm)
    taking = set(moves.values())
    for owner in owners:
        if owner.vm in taking and owner.vm not in lives:
            lives[owner.vm] = owner.instance
    return key_map.KeyMap(
        version, tuple(key_map.merge_adjacent(changed)), lives
    )
