"""Tests of targets that leave requests without an answer.

A target that cannot queue a request answers neither it nor anything else on
that connection. All daemons and targets run in this process.
"""

import asyncio

import pytest

from mustardloom.deployment import configuration
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar.tests import small_fleet as fleet

_WORK_S = 0.02
_DROPPED = b"dropped"


class _Drops:
    """A target that leaves requests with the id `dropped` unanswered.

    Attributes:
      ran: Ids of the requests that it answered.
      dropped: Number of requests that it has left unanswered.
      after: Requests that arrived on a connection after an unanswered one.
      closed: Number of connections with an unanswered request that ended.
    """

    def __init__(self):
        self.ran = []
        self.dropped = self.after = self.closed = 0

    async def serve(self, head, reader, writer):
        size = int(fleet.value(head, b"content-length") or 0)
        await reader.readexactly(size)
        request_id = fleet.value(head, b"x-request-id")
        if request_id == _DROPPED:
            self.dropped += 1
            self.after += bool(await reader.read(1))
            self.closed += 1
            raise ConnectionResetError
        await asyncio.sleep(_WORK_S)
        self.ran.append(request_id)
        writer.write(fleet.response(head, b"200 OK", b"ok"))


def _request(request_id, deadline_ms=8_000, method=b"GET"):
    head = fleet.request(0, method, request_id)
    return head.replace(b"8000", b"%d" % deadline_ms)


async def _others(daemon, gate, is_over):
    """Sends requests, two at a time, until a condition holds."""
    statuses = []
    while not is_over():
        answers = await asyncio.gather(
            *(fleet.send(daemon, _request(b"other")) for _ in range(2))
        )
        statuses += [status for status, _, _ in answers]
        gate.sample_utilisation()
    return statuses


@pytest.mark.parametrize("choices", [("b", "a"), ("a", "b")])
def test_unanswered_request_is_answered_by_another_target(choices):
    """Guards against callers and places that wait for a silent connection.

    The target goes on to serve others: it is neither down nor failing.
    """
    first, second = _Drops(), fleet.Target()

    async def scenario(daemons, found):
        by_name = {each.vm: each for each in daemons}
        caller, beside = by_name["a"], by_name[choices[0]]
        caller.kind = configuration.RequestKind.IDEMPOTENT
        beside.set_capacity(3)
        await fleet.send(caller, _request(b"other"))
        dropped = asyncio.ensure_future(fleet.send(caller, _request(_DROPPED)))
        statuses = await _others(caller, beside.gate, dropped.done)
        assert set(statuses) == {200}
        load = beside.gate.load()
        assert (load.running, load.failure_share) == (0, 0.0)
        assert beside.gate.target.reachability is gate_lib.Reachability.UP
        while not first.closed:
            await asyncio.sleep(0.01)
        (status, _, _) = await dropped
        return status

    serves = [first.serve, second._answer]
    if choices[0] == "b":
        serves.reverse()
    assert fleet.play(scenario, serves, choices) == 200
    assert (first.dropped, first.after, len(second.whole)) == (1, 0, 1)


def test_unanswered_request_that_may_run_once_gets_504_and_is_not_repeated():
    """Guards against "not run" for a request that a target may have run."""
    first, second = _Drops(), fleet.Target()

    async def scenario(daemons, found):
        caller, beside = daemons
        beside.set_capacity(3)
        await fleet.send(caller, _request(b"other", method=b"POST"))
        dropped = asyncio.ensure_future(
            fleet.send(caller, _request(_DROPPED, 700, b"POST"))
        )
        statuses = await _others(caller, beside.gate, lambda: first.closed)
        assert set(statuses) == {200}
        while not beside.gate.is_idle():
            await asyncio.sleep(0.01)
        assert beside.gate.load().failure_share == 0.0
        assert beside.gate.target.reachability is gate_lib.Reachability.UP
        (status, _, _) = await dropped
        return status

    serves = (second._answer, first.serve)
    assert fleet.play(scenario, serves, ("b", "a")) == 504
    assert (first.dropped, first.after, second.whole) == (1, 0, [])


def test_target_that_answers_nothing_counts_as_failing():
    """Guards against a hung target that stays as good as any other."""

    async def serve(head, reader, writer):
        await reader.read(1)
        raise ConnectionResetError

    async def scenario(daemons, found):
        caller, beside = daemons
        status, _, _ = await fleet.send(caller, _request(b"x", 200, b"POST"))
        while not beside.gate.is_idle():
            await asyncio.sleep(0.01)
        return status, beside.gate.load().failure_share

    status, share = fleet.play(scenario, (None, serve), ("b",))
    assert status == 504
    assert share > 0
