"""Queries `owner`, `slots` and `moves`."""

from collections.abc import Iterator

from mustardloom import findings
from mustardloom import ids
from mustardloom.operators import parser
from mustardloom.operators import results
from mustardloom.operators import views
from mustardloom.ownership import slot_map
from mustardloom.ownership import slots as slots_lib

__all__ = ["moves", "owner", "slots"]

_Row = tuple[str | int | None, ...]


def owner(view: views.View, query: parser.Owner) -> results.Table:
    """Returns the owner of a key in each group that it may belong to.

    Raises:
      findings.FindingsError: Names are unknown, the service is not keyed, or no
        route serves the organisation.
    """
    columns = (
        "owner",
        "vm",
        "epoch",
        "since",
        "why",
        "slot",
        "group",
        "moving to",
    )
    placements = view.slots_of_key(query.key, query.service, query.organisation)
    rows = tuple(_owner_row(view, group, slot) for group, slot in placements)
    return results.Table(columns=columns, rows=rows)


def slots(view: views.View, query: parser.Slots) -> results.Table:
    """Returns the owner of each slot of a service.

    Raises:
      findings.FindingsError: The service is unknown.
    """
    findings.raise_if_any(view.unknown_service(query.service))
    columns = ("group", "slot", "owner", "vm", "epoch", "moving to")
    rows = tuple(
        (group, slot, *_owner_cells(entry), entry.epoch, entry.moving_to)
        for group, slot, entry in _entries(view)
        if slots_lib.group_service(group) == query.service.text
    )
    return results.Table(columns=columns, rows=rows)


def moves(view: views.View) -> results.Table:
    """Returns the planned moves in progress."""
    columns = ("group", "slot", "from", "to", "epoch")
    rows = tuple(
        (group, slot, entry.owner, entry.moving_to, entry.epoch)
        for group, slot, entry in _entries(view)
        if entry.moving_to is not None
    )
    return results.Table(columns=columns, rows=rows)


def _owner_row(
    view: views.View, group: ids.GroupId, slot: ids.SlotIndex
) -> _Row:
    entry = view.slots.entry(group, slot) or slot_map.SlotEntry()
    last_change = view.history.last_change(group, slot)
    since = why = None
    if last_change is not None:
        why = last_change.cause.value
        if last_change.since_wall_ms is not None:
            since = results.wall_text(last_change.since_wall_ms)
    owner_cells = _owner_cells(entry)
    moving_to = entry.moving_to
    return (*owner_cells, entry.epoch, since, why, slot, group, moving_to)


def _owner_cells(entry: slot_map.SlotEntry) -> _Row:
    if entry.owner is None:
        return None, None
    return entry.owner, ids.vm_of(entry.owner)


def _entries(
    view: views.View,
) -> Iterator[tuple[ids.GroupId, ids.SlotIndex, slot_map.SlotEntry]]:
    for group, entries in sorted(view.slots.by_group.items()):
        for index, entry in enumerate(entries):
            yield group, ids.SlotIndex(index), entry
