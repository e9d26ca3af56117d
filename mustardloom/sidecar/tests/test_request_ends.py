"""Tests of the counters of what a daemon ended."""

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib
from mustardloom.http1 import connection_end
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import request_ends

_Reason = connection_end.EndReason


def test_connections_are_counted_by_reason_progress_and_step():
    """Guards against ends in a stop that cannot be told from usual ones."""
    metrics = metrics_lib.Metrics()
    stop = stop_admission.StopAdmission(clock_lib.FakeClock())
    ends = request_ends.RequestEnds(metrics, stop)
    ends.count_connection(_Reason.CALLER_CLOSED, 0)
    ends.count_connection(_Reason.CALLER_CLOSED, 0)
    stop.begin(6_000)
    ends.count_connection(_Reason.CALLER_CLOSED, 2)
    stop.step = stop_admission.Step.LINKS
    ends.count_connection(_Reason.PROCESS_END, 1)
    assert metrics.counters == {
        "ends.connection.caller-closed.no-request.serving": 2,
        "ends.connection.caller-closed.request-open.notice": 1,
        "ends.connection.process-end.request-open.links": 1,
    }


def test_end_of_a_process_tells_what_it_ended_in_its_stop():
    """Guards against counters that are gone when an operator asks for them."""
    metrics = metrics_lib.Metrics()
    stop = stop_admission.StopAdmission(clock_lib.FakeClock())
    ends = request_ends.RequestEnds(metrics, stop)
    ends.count_answer(504, True)
    stop.begin(6_000)
    ends.count_answer(502, True)
    metrics.increment("gate.started")
    assert ends.in_stop() == {"answer.502.passed-on.notice": 1}
