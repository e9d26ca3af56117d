"""Reads from the daemons' interval logs when slots were served."""

from collections.abc import Iterable
from typing import Any

from bench import fleet as fleets

__all__ = ["Slot", "open_slots", "reopened_ms", "wait_reopened"]

Slot = tuple[str, int]


def open_slots(node: fleets.Node) -> set[Slot]:
    """Returns the slots that a daemon serves now."""
    return {
        (item["group"], item["slot"])
        for item in _intervals(node)
        if item["to_wall_ms"] is None
    }


def reopened_ms(
    nodes: Iterable[fleets.Node], slots: set[Slot], since_wall_ms: int
) -> dict[Slot, int]:
    """Returns when each of `slots` was first served after a time.

    Milliseconds after `since_wall_ms`; slots that were not are left out.
    """
    first: dict[Slot, int] = {}
    for node in nodes:
        for item in _intervals(node):
            slot = (item["group"], item["slot"])
            elapsed_ms = item["from_wall_ms"] - since_wall_ms
            if slot in slots and elapsed_ms >= 0:
                first[slot] = min(elapsed_ms, first.get(slot, elapsed_ms))
    return first


def wait_reopened(
    fleet: fleets.Fleet,
    nodes: list[fleets.Node],
    slots: set[Slot],
    since_wall_ms: int,
    timeout_s: float,
) -> dict[Slot, int]:
    """Waits until all slots are served again; see `reopened_ms`.

    Raises:
      TimeoutError: Some slots were not served again in time.
    """

    def is_done() -> bool:
        return len(reopened_ms(nodes, slots, since_wall_ms)) == len(slots)

    fleet.wait_until(is_done, timeout_s, "slots were not served again")
    return reopened_ms(nodes, slots, since_wall_ms)


def _intervals(node: fleets.Node) -> list[dict[str, Any]]:
    try:
        report = fleets.http_json(f"{node.admin_url}/intervals")
    except OSError:
        return []
    intervals: list[dict[str, Any]] = report["intervals"]
    return intervals
