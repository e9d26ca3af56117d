"""Moves rows of a key map by measured load; pure functions.

Load pattern: the set of hot keys changes within seconds, and targets differ in
speed. Rows move from the busiest target to the least busy one.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

import msgspec

from mustardloom import ids
from mustardloom.keys import key_map
from mustardloom.keys import planning

__all__ = ["RowLoad", "rebalance", "split_by_load"]

# The answer to a heartbeat lists all rows of a target in at most 4 KiB.
_MAX_ROWS_PER_OWNER = 130
# Moved keys have a cold cache; smaller differences are not worth that.
_MIN_UTILISATION_GAP = 0.2
# Below this utilisation requests don't queue at a target.
_QUEUEING_UTILISATION = 0.55
_MAX_MOVES = 24
# Added to the utilisation of a target whose service time exceeds the fastest
# one by the whole objective.
_SLOWNESS_WEIGHT = 1.2
# The load of a target is split into about this many segments.
_SEGMENTS_PER_TARGET = 40
# Segments of up to this many hits are not split.
_MIN_SEGMENT_HITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class RowLoad:
    """Requests per second for the keys `first` to `last`."""

    first: int
    last: int
    rate: float


def rebalance(
    current: key_map.KeyMap,
    candidates: Iterable[planning.Candidate],
    loads: Iterable[RowLoad],
    objective_ms: float,
) -> key_map.KeyMap | None:
    """Moves rows from busy or slow targets to less busy or faster ones.

    A slow target answers late even if it has no queue, so its utilisation is
    raised in proportion to its extra service time relative to the objective.

    Args:
      current: The map.
      candidates: Targets with their service time and rate.
      loads: Rates of rows or parts of rows; all other keys count as idle.
      objective_ms: Latency objective.

    Returns:
      The new map; None if no move is worth its cost.
    """
    by_vm = {each.vm: each for each in candidates}
    if len(by_vm) < 2:
        return None
    fastest_ms = min(each.service_ms for each in by_vm.values())
    utilisation = {
        vm: each.rate * each.utilisation_per_rps
        + _SLOWNESS_WEIGHT * (each.service_ms - fastest_ms) / objective_ms
        for vm, each in by_vm.items()
    }
    if max(utilisation.values()) < _QUEUEING_UTILISATION:
        return None
    rows = list(_split_at_borders(current.rows, loads))
    counts = planning.row_counts(dataclasses.replace(current, rows=tuple(rows)))
    rate_by_first = _rate_by_first(rows, loads)
    moves: dict[int, ids.VmId] = {}
    for _ in range(_MAX_MOVES):
        sources = [vm for vm, each in by_vm.items() if each.can_release_keys]
        if not sources:
            break
        source = max(sources, key=lambda vm: utilisation[vm])
        sink = min(utilisation, key=lambda vm: (utilisation[vm], vm))
        gap = utilisation[source] - utilisation[sink]
        if (
            utilisation[source] < _QUEUEING_UTILISATION
            or gap < _MIN_UTILISATION_GAP
        ):
            break
        if counts.get(sink, 0) >= _MAX_ROWS_PER_OWNER:
            break
        # Moving exactly this rate would make both equally busy.
        wanted_rate = gap / (
            by_vm[source].utilisation_per_rps + by_vm[sink].utilisation_per_rps
        )
        row = _best_row(rows, moves, rate_by_first, source, wanted_rate)
        if row is None:
            break
        moved_rate = rate_by_first[row.first]
        utilisation[source] -= moved_rate * by_vm[source].utilisation_per_rps
        utilisation[sink] += moved_rate * by_vm[sink].utilisation_per_rps
        counts[sink] = counts.get(sink, 0) + 1
        moves[row.first] = sink
    if not moves:
        return None
    return planning.with_moves(current, rows, moves, by_vm.values())


def split_by_load(
    rows: Iterable[key_map.Row], hits: Mapping[int, int]
) -> Iterator[RowLoad]:
    """Yields the parts of rows that have load, each small enough to move.

    Args:
      rows: Rows of the map.
      hits: Number of requests by key; `rate` of the results is in the same
        unit.
    """
    max_hits = max(_MIN_SEGMENT_HITS, sum(hits.values()) / _SEGMENTS_PER_TARGET)
    keys = sorted(hits)
    index = 0
    for row in rows:
        row_keys = []
        while index < len(keys) and keys[index] <= row.last:
            row_keys.append(keys[index])
            index += 1
        if row_keys:
            yield from _split_row(row, row_keys, hits, max_hits)


def _split_row(
    row: key_map.Row,
    keys: list[int],
    hits: Mapping[int, int],
    max_hits: float,
) -> Iterator[RowLoad]:
    """Splits a row so that only parts with one hit key exceed `max_hits`."""
    first = row.first
    weight = 0
    for key in keys:
        if weight and weight + hits[key] > max_hits:
            yield RowLoad(first, key - 1, weight)
            first, weight = key, 0
        weight += hits[key]
    yield RowLoad(first, row.last, weight)


def _best_row(
    rows: list[key_map.Row],
    moves: Mapping[int, ids.VmId],
    rate_by_first: Mapping[int, float],
    source: ids.VmId,
    wanted_rate: float,
) -> key_map.Row | None:
    """Returns the row of `source` with the highest rate up to `wanted_rate`."""
    fitting = [
        row
        for row in rows
        if row.owner == source
        and row.first not in moves
        and 0 < rate_by_first[row.first] <= wanted_rate
    ]
    return max(fitting, key=lambda row: rate_by_first[row.first], default=None)


def _split_at_borders(
    rows: Iterable[key_map.Row], loads: Iterable[RowLoad]
) -> Iterator[key_map.Row]:
    """Splits rows at the borders of the loads inside them."""
    borders = sorted(
        {load.first for load in loads} | {load.last + 1 for load in loads}
    )
    index = 0
    for row in rows:
        first = row.first
        while index < len(borders) and borders[index] <= row.last:
            if borders[index] > first:
                yield msgspec.structs.replace(
                    row, first=first, last=borders[index] - 1
                )
                first = borders[index]
            index += 1
        yield msgspec.structs.replace(row, first=first)


def _rate_by_first(
    rows: list[key_map.Row], loads: Iterable[RowLoad]
) -> dict[int, float]:
    """Returns the rate of each row; a load is split evenly among its rows."""
    rate_by_first = dict.fromkeys((row.first for row in rows), 0.0)
    starts = sorted(rate_by_first)
    for load in loads:
        begin = bisect.bisect_left(starts, load.first)
        end = bisect.bisect_right(starts, load.last)
        covered = starts[begin:end]
        for start in covered:
            rate_by_first[start] += load.rate / len(covered)
    return rate_by_first
