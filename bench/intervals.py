"""Evaluates the daemons' interval logs: which VM served which slot when."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
from typing import Any

from bench import fleet as fleet_lib

__all__ = [
    "Interval",
    "Slot",
    "by_slot",
    "open_slots",
    "overlaps",
    "owner_changes",
    "read",
    "served_again_ms",
    "unavailable_ms",
    "unserved_ms",
    "wait_served_again",
]

Slot = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """Period in which a VM served a slot.

    Attributes:
      vm: Name of the VM.
      slot: Group and index of the slot.
      epoch: Epoch of the ownership.
      from_wall_ms: When it began.
      to_wall_ms: When it ended, None if it is still open.
    """

    vm: str
    slot: Slot
    epoch: int
    from_wall_ms: int
    to_wall_ms: int | None = None

    def ended(self, wall_ms: int) -> "Interval":
        """Returns the interval, ended at `wall_ms` if it is still open."""
        if self.to_wall_ms is not None:
            return self
        return dataclasses.replace(self, to_wall_ms=wall_ms)

    def outside(
        self, from_wall_ms: int, to_wall_ms: int
    ) -> Iterator["Interval"]:
        """Yields the parts of the interval before and after a window."""
        if self.from_wall_ms < from_wall_ms:
            end_ms = self.ended(from_wall_ms).to_wall_ms or 0
            until_ms = min(end_ms, from_wall_ms)
            yield dataclasses.replace(self, to_wall_ms=until_ms)
        if self.to_wall_ms is None or self.to_wall_ms > to_wall_ms:
            start_ms = max(self.from_wall_ms, to_wall_ms)
            yield dataclasses.replace(self, from_wall_ms=start_ms)


def read(nodes: Iterable[fleet_lib.Node]) -> list[Interval]:
    """Returns the logged intervals of all nodes that answer."""
    return [
        Interval(
            node.vm,
            (item["group"], item["slot"]),
            item["epoch"],
            item["from_wall_ms"],
            item["to_wall_ms"],
        )
        for node in nodes
        for item in _intervals(node)
    ]


def by_slot(logged: Iterable[Interval]) -> dict[Slot, list[Interval]]:
    """Returns the intervals of each slot in the order of their starts."""
    ordered = sorted(logged, key=lambda i: (i.from_wall_ms, i.epoch))
    grouped: dict[Slot, list[Interval]] = {}
    for interval in ordered:
        grouped.setdefault(interval.slot, []).append(interval)
    return grouped


def overlaps(logged: Iterable[Interval]) -> int:
    """Returns how many pairs of intervals of one slot at two VMs overlap.

    Example:
      >>> slot = ("salio@*", 0)
      >>> overlaps([Interval("a", slot, 1, 0, 9), Interval("b", slot, 2, 9)])
      0
    """
    return sum(
        first.vm != second.vm
        and (first.to_wall_ms is None or first.to_wall_ms > second.from_wall_ms)
        for slot_intervals in by_slot(logged).values()
        for first, second in itertools.combinations(slot_intervals, 2)
    )


def unavailable_ms(logged: Iterable[Interval], since_wall_ms: int) -> list[int]:
    """Returns the time between the intervals of successive owners of a slot.

    Counts only gaps that began at `since_wall_ms` or later; a negative value is
    an overlap.
    """
    return [
        second.from_wall_ms - first.to_wall_ms
        for first, second in _changes(logged)
        if first.to_wall_ms is not None and first.to_wall_ms >= since_wall_ms
    ]


def owner_changes(
    logged: Iterable[Interval], since_wall_ms: int
) -> dict[Slot, int]:
    """Returns how often each slot changed its VM since a time."""
    counts: dict[Slot, int] = {}
    for _, second in _changes(logged):
        if second.from_wall_ms >= since_wall_ms:
            counts[second.slot] = counts.get(second.slot, 0) + 1
    return counts


def unserved_ms(
    logged: Iterable[Interval], from_wall_ms: int, to_wall_ms: int
) -> dict[Slot, int]:
    """Returns how long each slot was not served within a window.

    Slots that were served during the whole window are left out.
    """
    unserved: dict[Slot, int] = {}
    for slot, slot_intervals in by_slot(logged).items():
        missing_ms = 0
        served_until_ms = from_wall_ms
        for interval in slot_intervals:
            start_ms = min(interval.from_wall_ms, to_wall_ms)
            missing_ms += max(0, start_ms - served_until_ms)
            end_ms = interval.ended(to_wall_ms).to_wall_ms or 0
            served_until_ms = max(served_until_ms, end_ms)
        missing_ms += max(0, to_wall_ms - served_until_ms)
        if missing_ms:
            unserved[slot] = missing_ms
    return unserved


def _changes(
    logged: Iterable[Interval],
) -> Iterator[tuple[Interval, Interval]]:
    for slot_intervals in by_slot(logged).values():
        for first, second in itertools.pairwise(slot_intervals):
            if first.vm != second.vm:
                yield first, second


def open_slots(node: fleet_lib.Node) -> set[Slot]:
    """Returns the slots that a daemon serves now; empty without an answer."""
    return {
        (item["group"], item["slot"])
        for item in _intervals(node)
        if item["to_wall_ms"] is None
    }


def served_again_ms(
    nodes: Iterable[fleet_lib.Node], slots: set[Slot], since_wall_ms: int
) -> dict[Slot, int]:
    """Returns when each of `slots` was first served again.

    In milliseconds after `since_wall_ms`; slots not served since then are left
    out.
    """
    first: dict[Slot, int] = {}
    for node in nodes:
        for item in _intervals(node):
            slot = (item["group"], item["slot"])
            elapsed_ms = item["from_wall_ms"] - since_wall_ms
            if slot in slots and elapsed_ms >= 0:
                first[slot] = min(elapsed_ms, first.get(slot, elapsed_ms))
    return first


def wait_served_again(
    fleet: fleet_lib.Fleet,
    nodes: list[fleet_lib.Node],
    slots: set[Slot],
    since_wall_ms: int,
    timeout_s: float,
) -> dict[Slot, int]:
    """Waits until all slots are served again; see `served_again_ms`.

    Raises:
      TimeoutError: Some slots were not served again in time.
    """

    def is_done() -> bool:
        return len(served_again_ms(nodes, slots, since_wall_ms)) == len(slots)

    fleet.wait_until(is_done, timeout_s, "some slots were not served again")
    return served_again_ms(nodes, slots, since_wall_ms)


def _intervals(node: fleet_lib.Node) -> list[dict[str, Any]]:
    try:
        report = fleet_lib.http_json(f"{node.admin_url}/intervals")
    except OSError:
        return []
    intervals: list[dict[str, Any]] = report["intervals"]
    return intervals
