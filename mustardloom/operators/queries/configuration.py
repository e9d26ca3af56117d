"""Query `configuration`: versions in force at each daemon."""

from collections.abc import Iterator

from mustardloom import ids
from mustardloom.membership import records
from mustardloom.operators import reports
from mustardloom.operators import results
from mustardloom.operators import views

__all__ = ["configuration"]

_COLUMNS = ("vm", "member", "set", "in force", "newest known", "state")


async def configuration(view: views.View) -> results.Table:
    """Returns the versions in force at each daemon, and which daemons lag.

    The newest known version of a set is the highest that any daemon reports.
    """
    members = sorted(view.members.live(), key=lambda record: record.member)
    received = await view.reports.fetch_all(r.member for r in members)
    newest = _newest(received)
    rows = tuple(
        row
        for record in members
        for row in _rows(record, received[record.member], newest)
    )
    lagging = len({row[1] for row in rows if row[-1] == "lags"})
    silent = sum(answer is None for answer in received.values())
    message = (
        f"{len(members) - silent} daemons answered, {lagging} lag,"
        f" {silent} gave no answer"
    )
    return results.Table(columns=_COLUMNS, rows=rows, message=message)


def _newest(
    received: dict[ids.MemberId, reports.ReceivedReport | None],
) -> dict[str, int]:
    newest: dict[str, int] = {}
    for answer in received.values():
        if answer is None:
            continue
        for name, version in answer.report.config_versions.items():
            newest[name] = max(version, newest.get(name, 0))
    return newest


def _rows(
    record: records.MemberRecord,
    answer: reports.ReceivedReport | None,
    newest: dict[str, int],
) -> Iterator[tuple[str | int | None, ...]]:
    if answer is None:
        yield record.vm, record.member, None, None, None, "no answer"
        return
    versions = answer.report.config_versions
    for name, version in sorted(newest.items()):
        in_force = versions.get(name)
        state = "in force" if in_force == version else "lags"
        yield record.vm, record.member, name, in_force, version, state
