"""Promises to callers and targets, checked on the evidence of a run."""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from soak import evidence as evidence_lib

__all__ = ["BOUNDS", "CHECKS", "Violation", "violations"]

_KEYS = 65_536
# Statuses that say that a request has not run and will not.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
_SAFE_ROUTES = frozenset(("keyed",))
_HOME_BY_ROUTE = {"plain": "ra"}


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times within which promises hold, in ms, as in the daemons' settings.

    Attributes:
      calm_ms: Time without faults after which bounds on time hold.
      overlap_ms: Longest time for which two targets may list one key, if
        not both run requests for it; what their notes may be late.
      thaw_ms: Grants that were held up on their way do not count so long.
      late_ms: Tolerance for an answer after the limit of its route.
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


BOUNDS = Bounds()
# Shares of requests in the time after recovery, and of late answers.
_SERVED_SHARE = 0.9
_LATE_SHARE = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was not kept."""

    promise: str
    what: str


_Found = Iterator[str]
_Check = Callable[[evidence_lib.Evidence], _Found]


def violations(evidence: evidence_lib.Evidence) -> list[Violation]:
    """Returns all broken promises."""
    return [
        Violation(check.__name__, what)
        for check in CHECKS
        for what in check(evidence)
    ]


def one_owner(evidence: evidence_lib.Evidence) -> _Found:
    """Two targets do not hold a key at the same time."""
    spans = list(_spans(evidence))
    spans.sort(key=lambda span: span.began_ms)
    open_spans: list[evidence_lib.Holding] = []
    begins_by_life = defaultdict(list)
    for run in evidence.runs:
        begins_by_life[run.life].append(run)
    for span in spans:
        open_spans = [
            each for each in open_spans if each.until_ms > span.began_ms
        ]
        for other in open_spans:
            if other.life != span.life:
                yield from _overlap(other, span, begins_by_life)
        open_spans.append(span)


def _spans(evidence: evidence_lib.Evidence) -> Iterator[evidence_lib.Holding]:
    """Yields holdings, each cut where the next of its target begins."""
    for name, held in evidence.holdings_by_life().items():
        ended_ms = evidence.life_by_name[name].ended_ms
        starts = [each.began_ms for each in held[1:]]
        for each, next_ms in zip(held, [*starts, None], strict=True):
            ends = (each.until_ms, next_ms, ended_ms)
            until_ms = min(end for end in ends if end is not None)
            began_ms = each.began_ms
            if not _is_steady(evidence, name, began_ms):
                began_ms += BOUNDS.thaw_ms
            if until_ms > began_ms:
                yield dataclasses.replace(
                    each, began_ms=began_ms, until_ms=until_ms
                )


def _is_steady(evidence: evidence_lib.Evidence, life: str, at_ms: int) -> bool:
    vm = evidence.life_by_name[life].vm
    return evidence.is_calm(vm, at_ms - BOUNDS.thaw_ms, at_ms)


def _overlap(
    one: evidence_lib.Holding,
    two: evidence_lib.Holding,
    begins_by_life: dict[str, list[evidence_lib.Run]],
) -> _Found:
    began_ms = max(one.began_ms, two.began_ms)
    until_ms = min(one.until_ms, two.until_ms)
    for first, last in _common(one.rows, two.rows):
        both_run = all(
            any(
                run.key is not None
                and first <= run.key <= last
                and began_ms <= run.began_ms < until_ms
                for run in begins_by_life[life]
            )
            for life in (one.life, two.life)
        )
        if both_run or until_ms - began_ms > BOUNDS.overlap_ms:
            yield (
                f"{one.life} and {two.life} held {first}-{last} for "
                f"{until_ms - began_ms} ms from {began_ms}"
            )


def _common(
    one: list[evidence_lib.Row], two: list[evidence_lib.Row]
) -> Iterator[tuple[int, int]]:
    for first, last, _ in one:
        for low, high, _ in two:
            if low <= last and first <= high:
                yield max(first, low), min(last, high)


def rising_fences(evidence: evidence_lib.Evidence) -> _Found:
    """A key that changes hands gets a fence above all earlier ones."""
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


def free_before_granted(evidence: evidence_lib.Evidence) -> _Found:
    """No key is granted on which another target is still at work."""
    holdings_by_start = sorted(evidence.holdings, key=lambda h: h.began_ms)
    granted: dict[tuple[str, evidence_lib.Row], int] = {}
    for holding in holdings_by_start:
        for row in holding.rows:
            granted.setdefault((holding.life, row), holding.began_ms)
    until_by_life = _until_by_life(evidence)
    for run in evidence.runs:
        if run.key is None or run.ended_ms is None:
            continue
        last_ms = min(run.ended_ms, until_by_life(run.life, run.began_ms))
        for (life, (first, last, _)), at_ms in granted.items():
            if (
                life != run.life
                and first <= run.key <= last
                and run.began_ms < at_ms < last_ms
                and _is_steady(evidence, life, at_ms)
            ):
                yield f"{life} got {run.key} while {run.life} ran {run}"


def _until_by_life(
    evidence: evidence_lib.Evidence,
) -> Callable[[str, int], int]:
    by_life = evidence.holdings_by_life()

    def until(life: str, at_ms: int) -> int:
        held = by_life.get(life, [])
        ends = (h.until_ms for h in held if h.began_ms <= at_ms)
        return max(ends, default=0)

    return until


def _attempts_that_ran(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[evidence_lib.Attempt, list[evidence_lib.Run]]]:
    """Yields requests that a caller sent, with their runs."""
    for request_id, runs in evidence.runs_by_id().items():
        attempt = evidence.attempt_by_id.get(request_id)
        if attempt is not None:
            yield attempt, runs


def run_once(evidence: evidence_lib.Evidence) -> _Found:
    """A request that may not be repeated runs at most once."""
    for attempt, runs in _attempts_that_ran(evidence):
        if attempt.route not in _SAFE_ROUTES and len(runs) > 1:
            yield f"{attempt.request_id} ran {len(runs)} times: {runs}"


def truthful_refusals(evidence: evidence_lib.Evidence) -> _Found:
    """What is refused as not run has not run and never will."""
    for attempt, runs in _attempts_that_ran(evidence):
        is_refused = attempt.status in _NOT_RUN_STATUSES
        if attempt.route not in _SAFE_ROUTES and is_refused:
            yield f"{attempt} was refused and ran: {runs}"


def whole_answers(evidence: evidence_lib.Evidence) -> _Found:
    """A success is the whole answer of a target to this request."""
    runs_by_id = evidence.runs_by_id()
    for attempt in evidence.attempt_by_id.values():
        if attempt.status != _OK:
            continue
        expected = f"{attempt.request_id} by {attempt.signer}"
        lives = {run.life for run in runs_by_id.get(attempt.request_id, [])}
        if attempt.answer != expected or attempt.signer not in lives:
            yield f"{attempt} was run by {lives}"


def asked_for(evidence: evidence_lib.Evidence) -> _Found:
    """What runs was sent by a caller and arrives unchanged."""
    for run in evidence.runs:
        attempt = evidence.attempt_by_id.get(run.request_id)
        if attempt is None:
            yield f"nobody sent {run}"
            continue
        wanted = (
            attempt.path,
            attempt.body,
            attempt.key,
            evidence.service_by_vm[attempt.vm],
        )
        if wanted != (run.path, run.body, run.key, run.caller):
            yield f"{attempt} arrived as {run}"


def within_budget(evidence: evidence_lib.Evidence) -> _Found:
    """A request reaches few targets, and none with more time than is left."""
    for attempt, runs in _attempts_that_ran(evidence):
        if len({run.life for run in runs}) > BOUNDS.max_attempts:
            yield f"{attempt.request_id} ran at {len(runs)} targets"
        for run in runs:
            if run.deadline_ms is None or run.deadline_ms > attempt.deadline_ms:
                yield f"{run} of {attempt} has too much time"


def home_regions(evidence: evidence_lib.Evidence) -> _Found:
    """A route with a home region runs only there."""
    for run in evidence.runs:
        attempt = evidence.attempt_by_id.get(run.request_id)
        home = _HOME_BY_ROUTE.get(attempt.route if attempt else "")
        if home not in (None, evidence.life_by_name[run.life].region):
            yield f"{run} is outside {home}"


def draining(evidence: evidence_lib.Evidence) -> _Found:
    """A target whose leave was acknowledged gets nothing after a while."""
    for run in evidence.runs:
        left_ms = evidence.life_by_name[run.life].leaving_ms
        if left_ms is None or run.began_ms <= left_ms + BOUNDS.drain_ms:
            continue
        if _was_calm(evidence, run):
            yield f"{run} began {run.began_ms - left_ms} ms after the leave"


def evacuated_zones(evidence: evidence_lib.Evidence) -> _Found:
    """Nothing runs in a zone that has been evacuated."""
    for run in evidence.runs:
        zone = evidence.life_by_name[run.life].availability_zone
        first_ms = run.began_ms - BOUNDS.evacuation_ms
        values = evidence_lib.in_force(
            evidence.evacuations, first_ms, run.began_ms
        )
        if values == {zone} and _was_calm(evidence, run):
            yield f"{run} in {zone}"


def configuration_in_force(evidence: evidence_lib.Evidence) -> _Found:
    """A route leads where a version that may be in force says."""
    for run in evidence.runs:
        attempt = evidence.attempt_by_id.get(run.request_id)
        if attempt is None or attempt.route != "moving":
            continue
        first_ms = attempt.sent_ms - BOUNDS.configuration_ms
        allowed = evidence_lib.in_force(evidence.moves, first_ms, run.began_ms)
        service = evidence.life_by_name[run.life].service
        if service not in allowed and _was_calm(evidence, run):
            yield f"{run} at {service}, allowed were {allowed}"


def _was_calm(evidence: evidence_lib.Evidence, run: evidence_lib.Run) -> bool:
    attempt = evidence.attempt_by_id.get(run.request_id)
    vms = {evidence.life_by_name[run.life].vm}
    if attempt is not None:
        vms.add(attempt.vm)
    first_ms = run.began_ms - BOUNDS.calm_ms
    return all(evidence.is_calm(vm, first_ms, run.began_ms) for vm in vms)


def on_time(evidence: evidence_lib.Evidence) -> _Found:
    """Callers at calm VMs are answered by the limit of their route."""
    limit_ms = BOUNDS.timeout_ms + BOUNDS.late_ms
    calm = [
        attempt
        for attempt in evidence.attempt_by_id.values()
        if attempt.sent_ms + limit_ms < evidence.ended_ms
        and evidence.is_calm(
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
    if len(late) > max(3, _LATE_SHARE * len(calm)):
        yield f"{len(late)} of {len(calm)} late, such as {late[0]}"


def recovers(evidence: evidence_lib.Evidence) -> _Found:
    """Some time after the last fault nearly all requests succeed."""
    first_ms = evidence.calm_ms + BOUNDS.recover_ms
    recent = [
        attempt
        for attempt in evidence.attempt_by_id.values()
        if attempt.sent_ms >= first_ms and attempt.ended_ms is not None
    ]
    served = sum(1 for attempt in recent if attempt.status == _OK)
    if served < _SERVED_SHARE * max(1, len(recent)):
        failed = [each for each in recent if each.status != _OK]
        yield f"{served} of {len(recent)}: {failed[:3]}"


def no_faults_of_its_own(evidence: evidence_lib.Evidence) -> _Found:
    """Daemons neither end by themselves nor log unexpected errors."""
    yield from evidence.ends


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
    evacuated_zones,
    configuration_in_force,
    on_time,
    recovers,
    no_faults_of_its_own,
)
