"""Checks that the remaining targets have the capacity for a stop."""

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

__all__ = ["GateRequests", "needed_capacity", "shortfalls"]

# Spare capacity that must remain, as a share of the running requests, and its
# minimum in requests.
MARGIN = 0.2
MIN_MARGIN = 1

MemberPredicate = Callable[[records.MemberRecord], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class GateRequests:
    """Number of requests running and queued at a gate, None if not reported."""

    requests: int | None


def needed_capacity(running: int) -> int:
    """Returns the capacity that `running` requests need, with the margin.

    Example:
      >>> [needed_capacity(count) for count in (0, 1, 10)]
      [1, 2, 12]
    """
    return running + max(MIN_MARGIN, math.ceil(running * MARGIN))


def shortfalls(
    groups: Iterable[ids.GroupId],
    members: Iterable[records.MemberRecord],
    is_stopped: MemberPredicate,
    covers: MemberPredicate,
    requests_by_member: Mapping[ids.MemberId, GateRequests],
) -> Iterator[results.Shortfall]:
    """Yields the affected groups that a stop leaves with too little capacity.

    A gate reports its requests as a total over all groups of its service, so
    each group counts all requests in its regions. This overestimates the load
    of a group that is restricted to some regions.

    Args:
      groups: All placement groups.
      members: All live members.
      is_stopped: Whether an existing stop covers a member.
      covers: Whether the new stop covers a member.
      requests_by_member: Requests at each gate. A gate without a report counts
        as full.
    """
    live = list(members)
    for group in groups:
        eligible_members = list(assignment.eligible(live, group, is_stopped))
        remaining_members = [
            record for record in eligible_members if not covers(record)
        ]
        if len(remaining_members) == len(eligible_members):
            continue
        remaining = sum(record.capacity for record in remaining_members)
        serving = list(_serving(live, group))
        running = sum(
            _requests(record, requests_by_member) for record in serving
        )
        needed = needed_capacity(running)
        if remaining < needed:
            yield results.Shortfall(
                service=slots.group_service(group),
                group=group,
                remaining=remaining,
                running=running,
                needed=needed,
                silent=sum(
                    _has_no_report(record, requests_by_member)
                    for record in serving
                ),
            )


def _serving(
    members: Iterable[records.MemberRecord], group: ids.GroupId
) -> Iterator[records.MemberRecord]:
    """Yields members that may run requests of a group, stopped ones too."""
    service = slots.group_service(group)
    regions = slots.group_regions(group)
    for record in members:
        is_permitted = not regions or record.region in regions
        if record.service == service and is_permitted:
            yield record


def _requests(
    record: records.MemberRecord,
    requests_by_member: Mapping[ids.MemberId, GateRequests],
) -> int:
    known = requests_by_member.get(record.member)
    if known is None or known.requests is None:
        return record.capacity
    return known.requests


def _has_no_report(
    record: records.MemberRecord,
    requests_by_member: Mapping[ids.MemberId, GateRequests],
) -> bool:
    known = requests_by_member.get(record.member)
    return known is None or known.requests is None
