"""Guarantees to callers and targets, checked on the evidence of a run."""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import sys

from soak import evidence as evidence_lib

__all__ = ["BOUNDS", "CHECKS", "Violation", "violations"]

_KEYS = 65_536
_MS_PER_S = 1_000
# Kinds of faults in which a daemon or its links do not work.
_DAEMON_FAULTS = ("daemon-", "peer-", "machine-stall")
# Statuses that guarantee that a request has not run and will not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
_REPEATABLE_ROUTES = frozenset(("keyed",))
_HOME_REGION_BY_ROUTE = {"plain": "ra"}


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of the guarantees, as in the daemons' settings.

    Attributes:
      calm_ms: Time without faults after which time limits hold.
      drain_ms: A draining target gets no new requests after this time.
      evacuation_ms: An evacuation is in force everywhere after this time.
      configuration_ms: A configuration is in force everywhere after this time.
      overlap_ms: Longest time for which two targets may list one key if not
        both run requests for it; allows for events that are recorded late.
      thaw_ms: If the VM had a fault within this time before a grant, the
        grant counts only this much later, since it may have been delayed.
      timeout_ms: Time limit of a route.
      late_ms: Tolerance for an answer after the time limit of its route.
      recover_ms: Time after the last fault in which service recovers.
      max_attempts: Number of targets that a request may reach at most.
      limit_factor: Multiple of its stated limit that a target may get.
      limit_slack: Requests that it may get beyond that in a window.
      limit_window_ms: Time in which requests are counted.
      loss_slack_ms: A request that crosses the end of its connection ends
        within this time.
    """

    calm_ms: int = 4_000
    drain_ms: int = 2_500
    evacuation_ms: int = 5_000
    configuration_ms: int = 3_000
    overlap_ms: int = 50
    thaw_ms: int = 300
    timeout_ms: int = 1_200
    late_ms: int = 500
    recover_ms: int = 10_000
    max_attempts: int = 2
    limit_factor: float = 1.5
    limit_slack: int = 5
    limit_window_ms: int = 4_000
    loss_slack_ms: int = 200


BOUNDS = Bounds()
# Least share of requests served after recovery; largest share of late answers.
_MIN_SERVED_SHARE = 0.9
_MAX_LATE_SHARE = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee.

    Attributes:
      promise: Name of the check that found it.
      what: What was observed.
    """

    promise: str
    what: str


_Findings = Iterator[str]
_Check = Callable[[evidence_lib.Evidence], _Findings]


def violations(evidence: evidence_lib.Evidence) -> list[Violation]:
    """Returns what all checks found; empty if every guarantee held."""
    return [
        Violation(check.__name__, what)
        for check in CHECKS
        for what in check(evidence)
    ]


def one_owner(evidence: evidence_lib.Evidence) -> _Findings:
    """Two target instances do not hold a key at the same time."""
    holdings = list(_effective_holdings(evidence))
    holdings.sort(key=lambda holding: holding.began_ms)
    open_holdings: list[evidence_lib.Holding] = []
    runs_by_instance = defaultdict(list)
    for run in evidence.runs:
        runs_by_instance[run.life].append(run)
    for holding in holdings:
        open_holdings = [
            each for each in open_holdings if each.until_ms > holding.began_ms
        ]
        for other in open_holdings:
            if other.life != holding.life:
                yield from _overlap_findings(other, holding, runs_by_instance)
        open_holdings.append(holding)


def _effective_holdings(
    evidence: evidence_lib.Evidence,
) -> Iterator[evidence_lib.Holding]:
    """Yields each holding for the time in which it was in force.

    It ends early if the next holding of its target instance begins or the
    process ends, and begins later if the grant may have been delayed.
    """
    for name, held in evidence.holdings_by_instance().items():
        ended_ms = evidence.instance_by_name[name].ended_ms
        starts = [each.began_ms for each in held[1:]]
        for each, next_ms in zip(held, [*starts, None], strict=True):
            ends = (each.until_ms, next_ms, ended_ms)
            until_ms = min(end for end in ends if end is not None)
            began_ms = each.began_ms
            if not _is_grant_undelayed(evidence, name, began_ms):
                began_ms += BOUNDS.thaw_ms
            if until_ms > began_ms:
                yield dataclasses.replace(
                    each, began_ms=began_ms, until_ms=until_ms
                )


def _is_grant_undelayed(
    evidence: evidence_lib.Evidence, instance: str, at_ms: int
) -> bool:
    vm = evidence.instance_by_name[instance].vm
    return evidence.is_fault_free(vm, at_ms - BOUNDS.thaw_ms, at_ms)


def _overlap_findings(
    one: evidence_lib.Holding,
    two: evidence_lib.Holding,
    runs_by_instance: dict[str, list[evidence_lib.Run]],
) -> _Findings:
    began_ms = max(one.began_ms, two.began_ms)
    until_ms = min(one.until_ms, two.until_ms)
    for first, last in _common_ranges(one.rows, two.rows):
        both_run = all(
            any(
                run.key is not None
                and first <= run.key <= last
                and began_ms <= run.began_ms < until_ms
                for run in runs_by_instance[instance]
            )
            for instance in (one.life, two.life)
        )
        if both_run or until_ms - began_ms > BOUNDS.overlap_ms:
            yield (
                f"{one.life} and {two.life} held {first}-{last} for "
                f"{until_ms - began_ms} ms from {began_ms}"
            )


def _common_ranges(
    one: list[evidence_lib.Row], two: list[evidence_lib.Row]
) -> Iterator[tuple[int, int]]:
    for first, last, _ in one:
        for other_first, other_last, _ in two:
            if other_first <= last and first <= other_last:
                yield max(first, other_first), min(last, other_last)


def rising_fences(evidence: evidence_lib.Evidence) -> _Findings:
    """A key with a new owner gets a fencing token above all earlier ones."""
    highest = [0] * _KEYS
    holder = [""] * _KEYS
    known: set[tuple[str, evidence_lib.Row]] = set()
    for holding in sorted(evidence.holdings, key=lambda each: each.began_ms):
        for row in holding.rows:
            if (holding.life, row) in known:
                continue
            known.add((holding.life, row))
            first, last, fence = row
            for key in range(first, last + 1):
                if holder[key] != holding.life and fence <= highest[key]:
                    yield (
                        f"{holding.life} got {row}, {holder[key]} had key "
                        f"{key} under {highest[key]}"
                    )
                    break
            for key in range(first, last + 1):
                if fence >= highest[key]:
                    highest[key] = fence
                    holder[key] = holding.life


def free_before_granted(evidence: evidence_lib.Evidence) -> _Findings:
    """No key is granted while another owner still runs a request for it.

    Grants that may have been delayed are not checked.
    """
    holdings_by_start = sorted(evidence.holdings, key=lambda h: h.began_ms)
    granted: dict[tuple[str, evidence_lib.Row], int] = {}
    for holding in holdings_by_start:
        for row in holding.rows:
            granted.setdefault((holding.life, row), holding.began_ms)
    held_until_ms = _held_until_lookup(evidence)
    for run in evidence.runs:
        if run.key is None or run.ended_ms is None:
            continue
        last_ms = min(run.ended_ms, held_until_ms(run.life, run.began_ms))
        for (instance, (first, last, _)), at_ms in granted.items():
            if (
                instance != run.life
                and first <= run.key <= last
                and run.began_ms < at_ms < last_ms
                and _is_grant_undelayed(evidence, instance, at_ms)
            ):
                yield f"{instance} got {run.key} while {run.life} ran {run}"


def _held_until_lookup(
    evidence: evidence_lib.Evidence,
) -> Callable[[str, int], int]:
    """Returns a function `until(instance, at_ms)`.

    It gives the latest expiry of the grants that the instance had got by
    `at_ms`, 0 if there were none.
    """
    holdings_by_instance = evidence.holdings_by_instance()

    def until(instance: str, at_ms: int) -> int:
        held = holdings_by_instance.get(instance, [])
        ends = (h.until_ms for h in held if h.began_ms <= at_ms)
        return max(ends, default=0)

    return until


def _attempts_that_ran(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[evidence_lib.Attempt, list[evidence_lib.Run]]]:
    """Yields requests that a caller sent and a target ran, with their runs."""
    for request_id, runs in evidence.runs_by_id().items():
        attempt = evidence.attempt_by_id.get(request_id)
        if attempt is not None:
            yield attempt, runs


def run_once(evidence: evidence_lib.Evidence) -> _Findings:
    """A request that may not be repeated runs at most once."""
    for attempt, runs in _attempts_that_ran(evidence):
        if attempt.route not in _REPEATABLE_ROUTES and len(runs) > 1:
            yield f"{attempt.request_id} ran {len(runs)} times: {runs}"


def truthful_refusals(evidence: evidence_lib.Evidence) -> _Findings:
    """A request that was refused as not run has not run and never will."""
    for attempt, runs in _attempts_that_ran(evidence):
        is_refused = attempt.status in _NOT_RUN_STATUSES
        if attempt.route not in _REPEATABLE_ROUTES and is_refused:
            yield f"{attempt} was refused and ran: {runs}"


def whole_answers(evidence: evidence_lib.Evidence) -> _Findings:
    """A success is the complete answer of a target that ran this request."""
    runs_by_id = evidence.runs_by_id()
    for attempt in evidence.attempt_by_id.values():
        if attempt.status != _OK:
            continue
        expected = f"{attempt.request_id} by {attempt.signer}"
        instances = {run.life for run in runs_by_id.get(attempt.request_id, [])}
        if attempt.answer != expected or attempt.signer not in instances:
            yield f"{attempt} was run by {instances}"


def asked_for(evidence: evidence_lib.Evidence) -> _Findings:
    """A request that runs was sent by a caller and arrived unchanged."""
    for run in evidence.runs:
        attempt = evidence.attempt_by_id.get(run.request_id)
        if attempt is None:
            yield f"no caller sent {run}"
            continue
        wanted = (
            attempt.path,
            attempt.body,
            attempt.key,
            evidence.service_by_vm[attempt.vm],
        )
        if wanted != (run.path, run.body, run.key, run.caller):
            yield f"{attempt} arrived as {run}"


def within_budget(evidence: evidence_lib.Evidence) -> _Findings:
    """A request runs at few targets, none with more time than its deadline."""
    for attempt, runs in _attempts_that_ran(evidence):
        if len({run.life for run in runs}) > BOUNDS.max_attempts:
            yield f"{attempt.request_id} ran at {len(runs)} targets"
        for run in runs:
            if run.deadline_ms is None or run.deadline_ms > attempt.deadline_ms:
                yield f"{run} of {attempt} got more time than its deadline"


def home_regions(evidence: evidence_lib.Evidence) -> _Findings:
    """A route with a home region runs only there."""
    for run in evidence.runs:
        attempt = evidence.attempt_by_id.get(run.request_id)
        home = _HOME_REGION_BY_ROUTE.get(attempt.route if attempt else "")
        if home not in (None, evidence.instance_by_name[run.life].region):
            yield f"{run} ran outside of its home region {home}"


def draining(evidence: evidence_lib.Evidence) -> _Findings:
    """A leaving target gets no new request after the drain time."""
    for run in evidence.runs:
        left_ms = evidence.instance_by_name[run.life].leaving_ms
        if left_ms is None or run.began_ms <= left_ms + BOUNDS.drain_ms:
            continue
        if _was_fault_free(evidence, run):
            yield f"{run} began {run.began_ms - left_ms} ms after the leave"


def stated_limits(evidence: evidence_lib.Evidence) -> _Findings:
    """A target that states a limit gets at most half more, and some slack."""
    starts_by_instance = defaultdict(list)
    for run in evidence.runs:
        if _was_fault_free(evidence, run, _DAEMON_FAULTS):
            starts_by_instance[run.life].append(run.began_ms)
    for name, instance in evidence.instance_by_name.items():
        for since_ms, until_ms, limit_per_s in _limited_times(instance):
            starts = [
                start_ms
                for start_ms in sorted(starts_by_instance[name])
                if since_ms + BOUNDS.calm_ms <= start_ms <= until_ms
            ]
            allowed = (
                BOUNDS.limit_factor * limit_per_s * BOUNDS.limit_window_ms
            ) / _MS_PER_S + BOUNDS.limit_slack
            for start_ms in starts:
                end_ms = start_ms + BOUNDS.limit_window_ms
                count = sum(1 for each in starts if start_ms <= each < end_ms)
                if count > allowed:
                    yield (
                        f"{name} started {count} requests from {start_ms} on; "
                        f"allowed were {allowed}"
                    )
                    break


def _limited_times(
    instance: evidence_lib.TargetInstance,
) -> Iterator[tuple[int, int, float]]:
    """Yields start, end and limit of each time with a stated limit."""
    ends = [each.at_ms for each in instance.statements[1:]]
    last_ms = instance.ended_ms or sys.maxsize
    for each, until_ms in zip(
        instance.statements, [*ends, last_ms], strict=False
    ):
        if each.limit_per_s is not None:
            yield each.at_ms, until_ms, each.limit_per_s


def stated_leaves(evidence: evidence_lib.Evidence) -> _Findings:
    """A target that states its leave gets no request after the drain time.

    The time begins with the first response that states it.
    """
    for run in evidence.runs:
        stated_ms = _leave_stated_ms(evidence, run.life)
        if stated_ms is None or run.began_ms <= stated_ms + BOUNDS.drain_ms:
            continue
        if _was_fault_free(evidence, run, _DAEMON_FAULTS):
            yield f"{run} began {run.began_ms - stated_ms} ms after the leave"


def _leave_stated_ms(
    evidence: evidence_lib.Evidence, instance: str
) -> int | None:
    leaves = [
        each.at_ms
        for each in evidence.instance_by_name[instance].statements
        if each.is_leaving
    ]
    if not leaves:
        return None
    ended = (
        run.ended_ms
        for run in evidence.runs
        if run.life == instance
        and run.ended_ms is not None
        and run.ended_ms >= leaves[0]
    )
    return min(ended, default=None)


def evacuated_zones(evidence: evidence_lib.Evidence) -> _Findings:
    """Nothing starts in an availability zone after its evacuation."""
    for run in evidence.runs:
        zone = evidence.instance_by_name[run.life].availability_zone
        first_ms = run.began_ms - BOUNDS.evacuation_ms
        values = evidence_lib.in_force(
            evidence.evacuations, first_ms, run.began_ms
        )
        if values == {zone} and _was_fault_free(evidence, run):
            yield f"{run} began in the evacuated zone {zone}"


def configuration_in_force(evidence: evidence_lib.Evidence) -> _Findings:
    """A route leads to the service of a version that may be in force."""
    for run in evidence.runs:
        attempt = evidence.attempt_by_id.get(run.request_id)
        if attempt is None or attempt.route != "moving":
            continue
        first_ms = attempt.sent_ms - BOUNDS.configuration_ms
        allowed = evidence_lib.in_force(evidence.moves, first_ms, run.began_ms)
        service = evidence.instance_by_name[run.life].service
        if service not in allowed and _was_fault_free(evidence, run):
            yield f"{run} ran at {service}; in force were {allowed}"


def _was_fault_free(
    evidence: evidence_lib.Evidence,
    run: evidence_lib.Run,
    kinds: tuple[str, ...] = (),
) -> bool:
    """Returns whether the VMs of caller and target had no recent fault.

    Args:
      evidence: The records.
      run: The run of a request.
      kinds: Beginnings of the kinds of faults that count; empty for all.
    """
    attempt = evidence.attempt_by_id.get(run.request_id)
    vms = {evidence.instance_by_name[run.life].vm}
    if attempt is not None:
        vms.add(attempt.vm)
    first_ms = run.began_ms - BOUNDS.calm_ms
    return all(
        evidence.is_fault_free(vm, first_ms, run.began_ms, kinds) for vm in vms
    )


def on_time(evidence: evidence_lib.Evidence) -> _Findings:
    """Callers at VMs without faults are answered within the time limit.

    Some late answers are tolerated: 3, or 0.5 % if that is more.
    """
    limit_ms = BOUNDS.timeout_ms + BOUNDS.late_ms
    calm = [
        attempt
        for attempt in evidence.attempt_by_id.values()
        if attempt.sent_ms + limit_ms < evidence.ended_ms
        and evidence.is_fault_free(
            attempt.vm,
            attempt.sent_ms - BOUNDS.calm_ms,
            attempt.sent_ms + limit_ms,
        )
    ]
    late = [
        attempt
        for attempt in calm
        if attempt.ended_ms is None
        or attempt.ended_ms - attempt.sent_ms > limit_ms
    ]
    if len(late) > max(3, _MAX_LATE_SHARE * len(calm)):
        yield f"{len(late)} of {len(calm)} answers late, such as {late[0]}"


def nothing_cut(evidence: evidence_lib.Evidence) -> _Findings:
    """Planned work ends no request that was read without a complete answer.

    A request that crosses the end of its connection was not read.
    """
    if not evidence.is_planned_work:
        return
    runs_by_id = evidence.runs_by_id()
    for attempt in evidence.attempt_by_id.values():
        if attempt.ended_ms is None or attempt.whole_ms is None:
            continue
        runs = runs_by_id.get(attempt.request_id, [])
        lasted_ms = attempt.ended_ms - attempt.whole_ms
        match attempt.ending:
            case evidence_lib.Ending.CUT:
                if runs or lasted_ms > BOUNDS.loss_slack_ms:
                    yield f"{attempt} cut after {lasted_ms} ms; {runs}"
            case evidence_lib.Ending.TIMED_OUT:
                yield f"{attempt} got no answer; {runs}"


def recovers(evidence: evidence_lib.Evidence) -> _Findings:
    """After the time for recovery nearly all requests succeed."""
    first_ms = evidence.calm_ms + BOUNDS.recover_ms
    recent = [
        attempt
        for attempt in evidence.attempt_by_id.values()
        if attempt.sent_ms >= first_ms and attempt.ended_ms is not None
    ]
    served = sum(1 for attempt in recent if attempt.status == _OK)
    if served < _MIN_SERVED_SHARE * max(1, len(recent)):
        failed = [each for each in recent if each.status != _OK]
        yield f"{served} of {len(recent)} requests served; failed: {failed[:3]}"


def no_faults_of_its_own(evidence: evidence_lib.Evidence) -> _Findings:
    """Daemons neither end unexpectedly nor log unexpected errors."""
    yield from evidence.errors


CHECKS: tuple[_Check, ...] = (
    one_owner,
    rising_fences,
    free_before_granted,
    run_once,
    truthful_refusals,
    whole_answers,
    asked_for,
    within_budget,
    home_regions,
    draining,
    stated_limits,
    stated_leaves,
    evacuated_zones,
    configuration_in_force,
    on_time,
    nothing_cut,
    recovers,
    no_faults_of_its_own,
)
