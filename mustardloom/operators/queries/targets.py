"""Queries `load` and `targets`."""

from collections.abc import Iterator

from mustardloom import findings
from mustardloom import ids
from mustardloom.membership import records
from mustardloom.operators import parser
from mustardloom.operators import results
from mustardloom.operators import views

__all__ = ["load", "targets"]

_NO_ANSWER = "no answer"


async def load(view: views.View, query: parser.Load) -> results.Table:
    """Returns the load as reported by a target's gate and by the target itself.

    Raises:
      findings.FindingsError: The target is unknown.
    """
    findings.raise_if_any(view.unknown_vm(query.target))
    record = view.newest_member(query.target.text)
    assert record is not None
    columns = ("source", "running", "queued", "limit", "age ms")
    received = await view.reports.fetch(record.member, target_report=True)
    if received is None:
        message = f"{record.member} does not answer"
        return results.Table(columns=columns, rows=(), message=message)
    report = received.report
    elapsed_ms = view.clock.now_ms() - received.received_ms
    gate = ("gate", _NO_ANSWER, None, None, None)
    target = ("target's own report", _NO_ANSWER, None, None, None)
    rows: list[tuple[str | int | None, ...]] = [gate, target]
    if report.HasField("gate"):
        gate_load = report.gate
        cells = (gate_load.running, gate_load.queued, gate_load.limit)
        rows[0] = ("gate", *cells, elapsed_ms)
    if report.HasField("target"):
        reported = report.target
        age_ms = reported.age_ms + elapsed_ms
        rows[1] = (
            "target's own report",
            reported.running,
            reported.queued,
            None,
            age_ms,
        )
    message = "the target's own report may lag by more than its age"
    return results.Table(columns=columns, rows=tuple(rows), message=message)


def targets(view: views.View, query: parser.Targets) -> results.Table:
    """Returns all targets, or those of a zone, a service or both.

    Raises:
      findings.FindingsError: Names are unknown; all are reported.
    """
    findings.raise_if_any(_unknown(view, query))
    columns = (
        "vm",
        "member",
        "service",
        "availability zone",
        "region",
        "state",
        "in service",
        "capacity",
        "slots",
    )
    shown = (r for r in view.members.live() if _is_wanted(r, query))
    slot_count = view.slot_count_by_member()
    rows = (
        _row(view, r, slot_count.get(r.member, 0))
        for r in sorted(shown, key=lambda record: record.member)
    )
    return results.Table(columns=columns, rows=tuple(rows))


def _unknown(
    view: views.View, query: parser.Targets
) -> Iterator[findings.Finding]:
    if query.zone is not None:
        yield from view.unknown_zone(query.zone)
    if query.service is not None:
        yield from view.unknown_service(query.service)


def _is_wanted(record: records.MemberRecord, query: parser.Targets) -> bool:
    zone, service = query.zone, query.service
    if zone is not None and record.availability_zone != zone.text:
        return False
    return service is None or record.service == ids.ServiceId(service.text)


def _row(
    view: views.View, record: records.MemberRecord, slot_count: int
) -> tuple[str | int | None, ...]:
    is_stopped = view.configuration.is_stopped(record)
    return (
        record.vm,
        record.member,
        record.service,
        record.availability_zone,
        record.region,
        record.state.value,
        "no" if is_stopped else "yes",
        record.capacity,
        slot_count,
    )
