"""Checks the records of a run against the invariants.

The evidence comes from the targets (which requests they ran) and from the
callers (which outcomes they got), not from the daemons under test.

Invariants I1 to I11 are listed in docs/design.md, section 1.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib

import msgspec

from mustardloom.standins import caller as caller_lib
from mustardloom.standins import runs as runs_lib

__all__ = ["CheckResult", "Evidence", "check", "read_log"]

_EFFECTIVE = frozenset(
    {runs_lib.RunOutcome.COMMITTED, runs_lib.RunOutcome.CRASHED}
)
_STARTED = _EFFECTIVE | {runs_lib.RunOutcome.CANCELLED}
_ANY_REGION = "*"


def read_log(path: pathlib.Path) -> list[caller_lib.RequestLog]:
    """Returns the records of a caller's request log, one per request."""
    decoder = msgspec.json.Decoder(caller_lib.RequestLog)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRun:
    """A run and the target that ran it."""

    target: str
    run: runs_lib.Run


@dataclasses.dataclass(slots=True)
class Evidence:
    """Records of targets and callers.

    Attributes:
      runs: Runs of all targets.
      log: Final outcomes of all callers.
      bound_ids: Permitted regions by id, for requests bound to regions.
    """

    runs: list[TargetRun]
    log: list[caller_lib.RequestLog]
    bound_ids: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Number of breaches of each invariant; all must be 0.

    Attributes:
      double_runs: Non-idempotent requests that took effect more than once.
      false_not_run: Refused requests that took effect.
      double_owner: Runs of a slot that overlap or follow a newer owner's run.
      region_breaches: Runs outside the permitted regions.
      crossed: Answers that belonged to another request.
    """

    double_runs: int
    false_not_run: int
    double_owner: int
    region_breaches: int
    crossed: int

    def is_clean(self) -> bool:
        """Returns whether no invariant was violated."""
        return not any(dataclasses.astuple(self))


def check(evidence: Evidence) -> CheckResult:
    """Counts the breaches of each invariant in the evidence."""
    effective = [o for o in evidence.runs if o.run.outcome in _EFFECTIVE]
    run_count_by_id = collections.Counter(
        target_run.run.request_id
        for target_run in effective
        if target_run.run.request_id
    )
    refused = (
        line.id
        for line in evidence.log
        if line.outcome == caller_lib.Result.REFUSED.value
    )
    crossed = sum(
        line.outcome == caller_lib.Result.CROSSED.value for line in evidence.log
    )
    return CheckResult(
        double_runs=sum(count > 1 for count in run_count_by_id.values()),
        false_not_run=sum(id_ in run_count_by_id for id_ in refused),
        double_owner=sum(1 for _ in _double_owners(evidence.runs)),
        region_breaches=sum(1 for _ in _breaches(evidence)),
        crossed=crossed,
    )


def _double_owners(target_runs: Iterable[TargetRun]) -> Iterator[TargetRun]:
    """Yields runs that overlap or follow a run of a newer owner."""
    by_slot: dict[tuple[str, int], list[TargetRun]] = {}
    for item in target_runs:
        run = item.run
        if run.slot is None or run.outcome not in _STARTED:
            continue
        by_slot.setdefault((run.group, run.slot), []).append(item)
    for items in by_slot.values():
        yield from _stale(items)


def _stale(items: list[TargetRun]) -> Iterator[TargetRun]:
    """Yields runs of one slot that overlap or follow a newer owner's run.

    Times are wall-clock milliseconds of one machine; a run that ends in the
    millisecond in which the next owner's run starts is not an overlap.
    """
    first_by_target_epoch: dict[tuple[str, int], int] = {}
    for item in items:
        key = (item.target, item.run.epoch or 0)
        start_ms = item.run.start_wall_ms
        known_ms = first_by_target_epoch.get(key, start_ms)
        first_by_target_epoch[key] = min(known_ms, start_ms)
    for item in items:
        epoch = item.run.epoch or 0
        newer = (
            start_ms
            for (target, other), start_ms in first_by_target_epoch.items()
            if other > epoch and target != item.target
        )
        if item.run.end_wall_ms > min(newer, default=item.run.end_wall_ms):
            yield item


def _breaches(evidence: Evidence) -> Iterator[TargetRun]:
    for item in evidence.runs:
        regions = item.run.group.partition("@")[2]
        permitted = frozenset(regions.split("+")) - {"", _ANY_REGION}
        bound = evidence.bound_ids.get(item.run.request_id, frozenset())
        for allowed in (permitted, bound):
            if allowed and item.run.region not in allowed:
                yield item
                break
