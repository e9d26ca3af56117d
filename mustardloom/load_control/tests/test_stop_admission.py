"""Tests of the decision on the last request of a stop, for any grace."""

import hypothesis
from hypothesis import strategies as st

from mustardloom import clock as clock_lib
from mustardloom.load_control import stop_admission

_START_MS = 1_000


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    grace_ms=st.integers(0, 60_000),
    at_ms=st.integers(0, 60_000),
    left_ms=st.integers(1, 60_000),
    work_ms=st.integers(1, 60_000),
)
def test_request_that_starts_ends_before_the_daemon(
    grace_ms, at_ms, left_ms, work_ms
):
    """Guards against requests that run and are cut off by a stop.

    A request ends with its work or with its deadline.
    """
    clock = clock_lib.FakeClock(now_ms=_START_MS)
    admission = stop_admission.StopAdmission(clock)
    plan = admission.begin(grace_ms)
    assert plan.ends_ms <= _START_MS + grace_ms
    assert plan.admission_ends_ms - _START_MS <= 0.4 * grace_ms + 1
    clock.jump(at_ms)
    deadline_ms = clock.now_ms() + left_ms
    if admission.may_start(deadline_ms, work_ms):
        ended_ms = min(deadline_ms, clock.now_ms() + work_ms)
        assert ended_ms <= plan.ends_ms


def test_before_a_stop_any_request_starts():
    """Guards against refusals of a daemon that serves on."""
    admission = stop_admission.StopAdmission(clock_lib.FakeClock())
    assert admission.may_start(1 << 60, 1e9)
    assert not admission.is_limited()


def test_grace_that_changes_during_a_stop_does_not_move_its_end():
    """Guards against requests that rely on a time that has changed."""
    clock = clock_lib.FakeClock(now_ms=0)
    admission = stop_admission.StopAdmission(clock)
    plan = admission.begin(6_000)
    clock.jump(plan.admission_ends_ms - 1)
    assert admission.may_start(1 << 60)
    clock.jump(1)
    assert not admission.may_start(1 << 60)
    assert admission.may_start(plan.ends_ms)
    assert not admission.may_start(plan.ends_ms + 1)
    admission.close()
    assert not admission.may_start(plan.ends_ms)
