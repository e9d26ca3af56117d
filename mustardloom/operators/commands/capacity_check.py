"""Whether the rest of a service has the capacity for a stop."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import math

from mustardloom import ids
from mustardloom.membership import records
from mustardloom.operators import results
from mustardloom.ownership import assignment
from mustardloom.ownership import slots

__all__ = ["GateFigures", "needed_capacity", "shortfalls"]

# Share of the running work that must fit in addition, and the least of it.
MARGIN = 0.2
MIN_MARGIN = 1

IsStopped = Callable[[records.MemberRecord], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class GateFigures:
    """Requests at a gate, running and queued; None if it gave no figures."""

    requests: int | None


def needed_capacity(running: int) -> int:
    """Returns the capacity that `running` requests need.

    Example:
      >>> [needed_capacity(count) for count in (0, 1, 10)]
      [1, 2, 12]
    """
    return running + max(MIN_MARGIN, math.ceil(running * MARGIN))


def shortfalls(
    groups: Iterable[ids.GroupId],
    members: Iterable[records.MemberRecord],
    is_stopped: IsStopped,
    covers: IsStopped,
    figures: Mapping[ids.MemberId, GateFigures],
) -> Iterator[results.Shortfall]:
    """Yields the affected groups that a stop would leave too small.

    The requests of a gate belong to several groups of its service and are not
    told apart, so each group counts all requests in its regions. Of a group
    that is bound to few regions this overestimates the work.

    Args:
      groups: All placement groups.
      members: All live members.
      is_stopped: Whether an existing stop covers a member.
      covers: Whether the new stop covers it.
      figures: Requests at each gate. A gate without figures counts as full.
    """
    live = list(members)
    for group in groups:
        able = list(assignment.eligible(live, group, is_stopped))
        rest = [record for record in able if not covers(record)]
        if len(rest) == len(able):
            continue
        remaining = sum(record.capacity for record in rest)
        serving = list(_serving(live, group))
        running = sum(_requests(record, figures) for record in serving)
        needed = needed_capacity(running)
        if remaining < needed:
            yield results.Shortfall(
                service=slots.group_service(group),
                group=group,
                remaining=remaining,
                running=running,
                needed=needed,
                silent=sum(_is_silent(record, figures) for record in serving),
            )


def _serving(
    members: Iterable[records.MemberRecord], group: ids.GroupId
) -> Iterator[records.MemberRecord]:
    """Yields all members that may run requests of a group, also stopped."""
    service = slots.group_service(group)
    regions = slots.group_regions(group)
    for record in members:
        is_permitted = not regions or record.region in regions
        if record.service == service and is_permitted:
            yield record


def _requests(
    record: records.MemberRecord, figures: Mapping[ids.MemberId, GateFigures]
) -> int:
    known = figures.get(record.member)
    if known is None or known.requests is None:
        return record.capacity
    return known.requests


def _is_silent(
    record: records.MemberRecord, figures: Mapping[ids.MemberId, GateFigures]
) -> bool:
    known = figures.get(record.member)
    return known is None or known.requests is None
