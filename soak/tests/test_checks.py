"""Tests that each check finds its violation and accepts sound evidence."""

import pytest

from soak import checks
from soak import evidence as evidence_lib


def _attempt(request_id, route="plain", **fields):
    values = {
        "vm": "vm-0",
        "key": None,
        "path": f"/{route}/1",
        "body": "",
        "sent_ms": 1_000,
        "deadline_ms": 1_500,
        "ended_ms": 1_050,
        "status": 200,
        "signer": "t-a",
        "answer": f"{request_id} by t-a",
    }
    return evidence_lib.Attempt(request_id, route=route, **(values | fields))


def _run(request_id, instance="t-a", route="plain", **fields):
    values = {
        "key": None,
        "path": f"/{route}/1",
        "body": "",
        "caller": "plain",
        "deadline_ms": 1_400,
        "began_ms": 1_010,
        "ended_ms": 1_040,
    }
    return evidence_lib.Run(instance, request_id, **(values | fields))


def _evidence(attempts=(), runs=(), holdings=(), **fields):
    evidence = evidence_lib.Evidence(
        service_by_vm={"vm-0": "plain", "vm-1": "plain"},
        **{"ended_ms": 90_000, **fields},
    )
    evidence.attempt_by_id = {each.request_id: each for each in attempts}
    evidence.runs = list(runs)
    evidence.holdings = list(holdings)
    for name, vm, region in (("t-a", "vm-0", "ra"), ("t-b", "vm-1", "rb")):
        zone = f"zone-{region}"
        evidence.instance_by_name[name] = evidence_lib.TargetInstance(
            name, vm, "plain", zone, region
        )
    evidence.calm_ms = -checks.BOUNDS.recover_ms
    return evidence


def _failed_checks(evidence):
    return {each.promise for each in checks.violations(evidence)}


def _holding(instance, fence, began_ms, until_ms, first=0, last=9):
    row = (first, last, fence)
    return evidence_lib.Holding(instance, [row], began_ms, until_ms)


def _run_after_leave():
    evidence = _evidence([_attempt("r")], [_run("r", began_ms=9_000)])
    evidence.instance_by_name["t-a"].leaving_ms = 6_000
    return evidence


def _with_statement(statement, run_ms):
    names = [f"r{number}" for number in range(len(run_ms))]
    runs = [
        _run(name, began_ms=at_ms, ended_ms=at_ms + 10)
        for name, at_ms in zip(names, run_ms, strict=True)
    ]
    evidence = _evidence([_attempt(name) for name in names], runs)
    evidence.instance_by_name["t-a"].statements.append(statement)
    return evidence


_KEYED = {"route": "keyed", "key": 5}
_FAULTY_BY_CHECK = {
    "one_owner": _evidence(
        holdings=[
            _holding("t-a", 1, 0, 4_000),
            _holding("t-b", 2, 3_000, 8_000),
        ]
    ),
    "rising_fences": _evidence(
        holdings=[_holding("t-a", 2, 0, 100), _holding("t-b", 2, 200, 300)]
    ),
    "free_before_granted": _evidence(
        [_attempt("r", **_KEYED)],
        [_run("r", began_ms=1_010, ended_ms=1_900, **_KEYED)],
        [
            _holding("t-a", 1, 0, 1_000),
            _holding("t-a", 1, 900, 4_000),
            _holding("t-b", 2, 1_500, 1_600),
        ],
    ),
    "run_once": _evidence([_attempt("r")], [_run("r"), _run("r", "t-b")]),
    "truthful_refusals": _evidence([_attempt("r", status=503)], [_run("r")]),
    "whole_answers": _evidence([_attempt("r", answer="r b")], [_run("r")]),
    "asked_for": _evidence(
        [_attempt("r")], [_run("r", caller="forged"), _run("unknown")]
    ),
    "within_budget": _evidence([_attempt("r")], [_run("r", deadline_ms=1_600)]),
    "home_regions": _evidence([_attempt("r")], [_run("r", "t-b")]),
    "draining": _run_after_leave(),
    "stated_limits": _with_statement(
        evidence_lib.Statement(1_000, 0.5, False), range(6_000, 9_000, 300)
    ),
    "stated_leaves": _with_statement(
        evidence_lib.Statement(1_000, None, True), [1_100, 9_000]
    ),
    "evacuated_zones": _evidence(
        [_attempt("r")],
        [_run("r", began_ms=7_000)],
        evacuations=[
            evidence_lib.Change(0, ""),
            evidence_lib.Change(1_000, "zone-ra"),
        ],
    ),
    "configuration_in_force": _evidence(
        [_attempt("r", "moving", sent_ms=9_000)],
        [_run("r", route="moving", began_ms=9_010)],
        moves=[
            evidence_lib.Change(0, "plain"),
            evidence_lib.Change(5_000, "other"),
        ],
    ),
    "on_time": _evidence(
        [_attempt(f"r{n}", status=None, ended_ms=2_800) for n in range(4)]
    ),
    "nothing_cut": _evidence(
        [
            _attempt(
                "r",
                status=None,
                whole_ms=1_000,
                ending=evidence_lib.Ending.CUT,
            )
        ],
        [_run("r")],
        is_planned_work=True,
    ),
    "recovers": _evidence([_attempt("r", status=503)]),
    "no_faults_of_its_own": _evidence(errors=["vm-0 ended with 1"]),
}


@pytest.mark.parametrize("check", checks.CHECKS, ids=lambda c: c.__name__)
def test_each_check_finds_its_fault(check):
    """Guards against a check that can never fail."""
    assert list(check(_FAULTY_BY_CHECK[check.__name__]))


def test_sound_evidence_violates_no_check():
    """Guards against checks that report allowed behaviour."""
    attempts = [_attempt("r"), _attempt("k", status=200, **_KEYED)]
    runs = [_run("r"), _run("k", **_KEYED)]
    holdings = [_holding("t-a", 1, 0, 4_000), _holding("t-a", 1, 900, 2_000)]
    holdings.append(_holding("t-b", 2, 2_000, 6_000))
    assert _failed_checks(_evidence(attempts, runs, holdings)) == set()


def test_grant_delayed_by_a_pause_is_no_overlap():
    """Guards against reports of grants that a paused daemon delayed."""
    held = [_holding("t-a", 1, 0, 2_250), _holding("t-b", 2, 2_000, 6_000)]
    paused = evidence_lib.Fault("daemon-pause", "vm-1", 1_000, 1_900)
    assert "one_owner" in _failed_checks(_evidence(holdings=held))
    assert "one_owner" not in _failed_checks(
        _evidence(holdings=held, faults=[paused])
    )


def test_run_shortly_after_an_evacuation_began_is_allowed():
    """Guards against reports of runs before an evacuation must be in force."""
    evidence = _evidence([_attempt("r")], [_run("r", began_ms=7_000)])
    evidence.evacuations.append(evidence_lib.Change(6_999, "zone-ra"))
    assert _failed_checks(evidence) == set()


@pytest.mark.parametrize(
    ("ending", "ended_ms", "is_broken"),
    [
        (evidence_lib.Ending.CUT, 1_150, False),
        (evidence_lib.Ending.CUT, 1_250, True),
        (evidence_lib.Ending.TIMED_OUT, 3_000, True),
        (evidence_lib.Ending.ANSWERED, 1_250, False),
    ],
)
def test_request_that_crosses_the_end_of_its_connection_is_not_lost(
    ending, ended_ms, is_broken
):
    """Guards against reports of requests that no daemon can have read."""
    attempt = _attempt("r", whole_ms=1_000, ending=ending, ended_ms=ended_ms)
    evidence = _evidence([attempt], is_planned_work=True)
    assert ("nothing_cut" in _failed_checks(evidence)) == is_broken


def test_requests_running_at_the_end_are_not_late():
    """Guards against reports of requests that the end of the run cut off."""
    attempts = [
        _attempt(f"r{n}", status=None, ended_ms=None, sent_ms=9_000)
        for n in range(9)
    ]
    assert "on_time" in _failed_checks(_evidence(attempts, ended_ms=90_000))
    assert "on_time" not in _failed_checks(_evidence(attempts, ended_ms=9_500))


def test_a_killed_target_holds_nothing():
    """Guards against reports of grants to processes that have ended."""
    held = [_holding("t-a", 1, 0, 4_000), _holding("t-b", 2, 2_000, 6_000)]
    evidence = _evidence(holdings=held)
    evidence.instance_by_name["t-a"].ended_ms = 1_500
    assert "one_owner" not in _failed_checks(evidence)
