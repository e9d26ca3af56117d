"""Queries `stops` and `audit`: what operators changed."""

from collections.abc import Iterator
import dataclasses
import re

import msgspec

from mustardloom.declarations import catalog
from mustardloom.declarations import envelope
from mustardloom.declarations import model
from mustardloom.operators import orders
from mustardloom.operators import parser
from mustardloom.operators import results
from mustardloom.operators import views

__all__ = ["audit", "stops"]

_AUDITED_PREFIXES = (
    model.CONFIG_PREFIX,
    model.STOPS_PREFIX,
    orders.ORDERS_PREFIX,
)
_ANY_STORED = envelope.StoredObject[msgspec.Raw]
_AUDIT_COLUMNS = (
    "object",
    "number",
    "who",
    "when",
    "command",
    "before",
    "after",
    "operation",
)


def stops(view: views.View) -> results.Table:
    """Returns what is out of service, since when and by whom."""
    columns = ("kind", "name", "since", "who", "command")
    return results.Table(columns=columns, rows=tuple(_stop_rows(view)))


def audit(view: views.View, query: parser.Audit) -> results.Table:
    """Returns the last changes by operators, newest first.

    The query may name an object by its store key, or by one or more whole path
    segments of the key.
    """
    wanted = query.object.text if query.object else ""
    changes = [c for c in _changes(view) if _is_about(c.object, wanted)]
    changes.sort(key=lambda c: (c.entry.wall_ms, c.entry.sequence))
    newest = list(reversed(changes))[: query.count]
    message = f"{len(newest)} of {len(changes)} changes"
    rows = tuple(change.row() for change in newest)
    return results.Table(columns=_AUDIT_COLUMNS, rows=rows, message=message)


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """An audit entry and the key of its object."""

    object: str
    entry: envelope.AuditEntry

    def row(self) -> tuple[str | int | None, ...]:
        """Returns the cells in the order of `_AUDIT_COLUMNS`."""
        entry = self.entry
        return (
            self.object,
            entry.sequence,
            entry.who,
            results.wall_text(entry.wall_ms),
            entry.command,
            entry.before,
            entry.after,
            entry.operation,
        )


def _stop_rows(view: views.View) -> Iterator[tuple[str, ...]]:
    for event in view.replica.select(model.STOPS_PREFIX):
        assert event.value is not None
        stored = catalog.decode_stop(event.value)
        stop = stored.value
        if not stop.active:
            continue
        since = results.wall_text(stop.since_wall_ms)
        last = stored.audit[-1] if stored.audit else None
        who, command = (last.who, last.command) if last else ("", "")
        yield stop.kind.value, stop.name, since, who, command


def _changes(view: views.View) -> Iterator[_Change]:
    """Yields each change once.

    An entry that is being archived may be stored both in its object and under
    its audit key.
    """
    seen = set()
    for change in (*_kept_entries(view), *_archived_entries(view)):
        name = (change.object, change.entry.sequence)
        if name not in seen:
            seen.add(name)
            yield change


def _kept_entries(view: views.View) -> Iterator[_Change]:
    for prefix in _AUDITED_PREFIXES:
        for event in view.replica.select(prefix):
            assert event.value is not None
            stored = msgspec.json.decode(event.value, type=_ANY_STORED)
            for entry in stored.audit:
                yield _Change(event.key, entry)


def _archived_entries(view: views.View) -> Iterator[_Change]:
    for event in view.replica.select(envelope.AUDIT_PREFIX):
        assert event.value is not None
        key = event.key.removeprefix(envelope.AUDIT_PREFIX).rpartition("/")[0]
        entry = msgspec.json.decode(event.value, type=envelope.AuditEntry)
        yield _Change(key, entry)


def _is_about(key: str, wanted: str) -> bool:
    if not wanted:
        return True
    pattern = rf"(^|/){re.escape(wanted.strip('/'))}(/|$)"
    return re.search(pattern, key) is not None
