"""What operators changed: stops and the audit trail."""

from collections.abc import Iterator

from mustardloom.declarations import catalog
from mustardloom.declarations import model
from mustardloom.operators import results
from mustardloom.operators import views

__all__ = ["stops"]


def stops(view: views.View) -> results.Table:
    """Returns what is out of service, since when and by whom."""
    columns = ("kind", "name", "since", "who", "command")
    return results.Table(columns=columns, rows=tuple(_stop_rows(view)))


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
