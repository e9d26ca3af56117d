"""Tests that the checker finds each breach of an invariant."""

import dataclasses

import msgspec

from bench import checker
from mustardloom.standins import caller as caller_lib
from mustardloom.standins import runs as runs_lib

_RUN = runs_lib.Run(
    number=1,
    request_id="id-1",
    dispatch_id="d-1",
    key_hash=1,
    group="salio@pwani+ziwa",
    slot=3,
    epoch=1,
    path="/salio",
    instance="i",
    region="pwani",
    zone="pwani-1",
    start_wall_ms=1_000,
    end_wall_ms=1_020,
    outcome=runs_lib.RunOutcome.COMMITTED,
)
_LINE = caller_lib.RequestLog(
    id="id-1",
    service="salio",
    method="POST",
    key="k",
    outcome="answered",
    reason="",
    status=200,
    sends=1,
    started_wall_ms=990,
    latency_us=30_000,
)


def _run(target="a", **changes):
    return checker.TargetRun(target, msgspec.structs.replace(_RUN, **changes))


def _check(runs, *lines):
    return checker.check(checker.Evidence(runs, list(lines)))


def test_clean_evidence_has_no_breach():
    """Guards against a checker that reports breaches of clean evidence."""
    later = _run("b", request_id="id-2", epoch=2, start_wall_ms=1_020)
    assert _check([_run(), later], _LINE).is_clean()


def test_each_breach_is_found():
    """Guards against a check that can never fail."""
    refused = msgspec.structs.replace(_LINE, outcome="refused")
    crossed = msgspec.structs.replace(_LINE, outcome="crossed")
    overlap = _run("b", request_id="id-2", epoch=2, start_wall_ms=1_010)
    stale = _run("a", request_id="id-3", start_wall_ms=1_500, end_wall_ms=1_510)
    found = {
        "double_runs": _check([_run(), _run("b", epoch=1)]),
        "false_not_run": _check([_run()], refused),
        "double_owner": _check([_run(), overlap]),
        "region_breaches": _check([_run(region="kaskazini")]),
        "crossed": _check([_run()], crossed),
    }
    for name, check_result in found.items():
        assert dataclasses.asdict(check_result)[name] == 1, name
    assert _check([_run(), overlap, stale]).double_owner == 2


def test_run_without_effect_is_no_second_run():
    """Guards against counting rejected or expired runs as effects."""
    for outcome in (
        runs_lib.RunOutcome.NOT_RUN,
        runs_lib.RunOutcome.EXPIRED,
    ):
        assert _check([_run(), _run("b", outcome=outcome)]).double_runs == 0
