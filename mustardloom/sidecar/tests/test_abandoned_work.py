"""Tests that work of callers who have left ends at every hop.

Two daemons, a and b, with their targets, all in this process.
"""

import asyncio

import pytest

from mustardloom.deployment import configuration
from mustardloom.sidecar.tests import small_fleet as fleet

_WAIT_S = 5


class _Runs:
    """A target that holds requests until it is told to answer them.

    Attributes:
      started: Ids of the requests that it got.
      ended: Ids of those whose connection ended before the answer.
      answered: Ids of those that it answered.
      may_answer: Set once it may answer.
    """

    def __init__(self):
        self.started = []
        self.ended = []
        self.answered = []
        self.may_answer = asyncio.Event()

    async def serve(self, head, reader, writer):
        await reader.readexactly(int(fleet.value(head, b"content-length") or 0))
        request_id = fleet.value(head, b"x-request-id").decode()
        self.started.append(request_id)
        answer = asyncio.ensure_future(self.may_answer.wait())
        end = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((answer, end), return_when=asyncio.FIRST_COMPLETED)
        if not answer.done():
            answer.cancel()
            self.ended.append(request_id)
            raise ConnectionResetError
        end.cancel()
        await asyncio.wait((end,))
        self.answered.append(request_id)
        writer.write(fleet.response(head, b"200 OK", b"ok"))


async def _begin(daemon, *request_ids):
    """Sends requests on one connection; returns its writer."""
    _, writer = await asyncio.open_connection(fleet.HOST, daemon.port)
    for request_id in request_ids:
        writer.write(fleet.request(0, b"GET", request_id.encode()))
    return writer


async def _until(check):
    async with asyncio.timeout(_WAIT_S):
        while not check():
            await asyncio.sleep(0.01)


def _set_kinds(daemons, kind=configuration.RequestKind.IDEMPOTENT):
    for each in daemons:
        each.kind = kind


@pytest.mark.parametrize("owner", ["a", "b"])
def test_run_ends_when_its_caller_leaves(owner):
    """Guards against targets at work for nobody, across a link or not."""
    runs = _Runs()

    async def scenario(daemons, found):
        _set_kinds(daemons)
        writer = await _begin(daemons[0], "x")
        await _until(lambda: runs.started)
        writer.close()
        await _until(lambda: runs.ended and daemons[1].gate.is_idle())

    fleet.play(scenario, (runs.serve, runs.serve), (owner,))
    assert (runs.started, runs.ended) == (["x"], ["x"])


@pytest.mark.parametrize("owner", ["a", "b"])
def test_queued_request_never_runs_after_its_caller_has_left(owner):
    """Guards against runs that begin although nobody waits any more."""
    runs = _Runs()

    async def scenario(daemons, found):
        beside = daemons["ab".index(owner)]
        beside.set_capacity(1)
        first = await _begin(daemons[0], "x")
        await _until(lambda: runs.started)
        second = await _begin(daemons[0], "y")
        await _until(lambda: beside.gate.load().waiting)
        second.close()
        await _until(lambda: not beside.gate.load().waiting)
        runs.may_answer.set()
        await _until(beside.gate.is_idle)
        first.close()

    fleet.play(scenario, (runs.serve, runs.serve), (owner,))
    assert runs.started == ["x"]


def test_run_that_may_happen_once_goes_on_after_its_caller_has_left():
    """Guards against effects that are cut off halfway."""
    runs = _Runs()

    async def scenario(daemons, found):
        _set_kinds(daemons, configuration.RequestKind.AT_MOST_ONCE)
        writer = await _begin(daemons[0], "x")
        await _until(lambda: runs.started)
        writer.close()
        await asyncio.sleep(0.1)
        assert daemons[1].gate.load().running == 1
        runs.may_answer.set()
        await _until(daemons[1].gate.is_idle)

    fleet.play(scenario, (None, runs.serve), ("b",))
    assert (runs.answered, runs.ended) == (["x"], [])


def test_queued_request_never_runs_after_its_link_was_lost():
    """Guards against runs for a daemon that is gone, with all its callers."""
    runs = _Runs()

    async def scenario(daemons, found):
        caller, beside = daemons
        beside.set_capacity(1)
        writers = [await _begin(caller, "x")]
        await _until(lambda: runs.started)
        writers.append(await _begin(caller, "y"))
        await _until(lambda: beside.gate.load().waiting)
        caller.links.close()
        await _until(lambda: not beside.gate.load().waiting)
        runs.may_answer.set()
        await _until(beside.gate.is_idle)
        for writer in writers:
            writer.close()

    fleet.play(scenario, (None, runs.serve), ("b",))
    assert runs.started == ["x"]


def test_pipelined_requests_end_when_their_caller_leaves():
    """Guards against a caller whose end is not read before its requests."""
    runs = _Runs()

    async def scenario(daemons, found):
        _set_kinds(daemons)
        writer = await _begin(daemons[0], *(f"r{n}" for n in range(4)))
        await _until(lambda: len(runs.started) == 4)
        writer.close()
        await _until(daemons[1].gate.is_idle)

    fleet.play(scenario, (None, runs.serve), ("b",))
    assert sorted(runs.ended) == [f"r{number}" for number in range(4)]


def test_calls_of_a_target_end_with_the_request_that_it_runs():
    """Guards against calls that go on for a run that nobody waits for.

    The target at b leaves its call to a open although its own run has ended.
    """
    calls = _Runs()
    statuses = []
    daemons_of_call = []

    async def call(head, reader, writer):
        (daemon,) = daemons_of_call
        answer = asyncio.ensure_future(
            fleet.send(daemon, fleet.request(0, b"GET", b"c.x"))
        )
        answer.add_done_callback(lambda done: statuses.append(done.result()[0]))
        await reader.read(1)
        raise ConnectionResetError

    async def scenario(daemons, found):
        _set_kinds(daemons)
        caller, beside = daemons
        daemons_of_call.append(beside)
        beside.gate.on_cancelled = beside.ingress.end_calls
        caller.choice.vms = ["b"]
        beside.choice.vms = ["a"]
        other = await _begin(beside, "d.y")
        writer = await _begin(caller, "x")
        await _until(lambda: len(calls.started) == 2)
        writer.close()
        await _until(lambda: calls.ended and statuses)
        assert caller.gate.load().running == 1
        other.close()

    fleet.play(scenario, (calls.serve, call), ("b",))
    assert calls.ended[0] == "c.x"
    assert statuses == [504]
