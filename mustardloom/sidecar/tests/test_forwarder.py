"""Requests that daemons forward to each other, with delays on the way."""

import asyncio
import types

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom.http1 import bodies
from mustardloom.http1 import client
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import outgoing_link
from mustardloom.sidecar import transfers
from mustardloom.sidecar import work

_VM = ids.VmId("far")
_OFFSET_MS = 70_000


class _Gate:
    """Fake gate that records what it is to run."""

    def __init__(self):
        self.requests = []

    async def run(self, request, may_wait):
        self.requests.append(request)
        return work.Refused(work.RefusalReason.OVERLOADED)

    def load(self):
        return types.SimpleNamespace(running=0, waiting=0)


class _Links:
    """Fake links that record the calls."""

    def __init__(self):
        self.offset_ms: int | None = _OFFSET_MS
        self.calls = []
        self.reply: frames.Frame = frames.Failure(1, "internal")

    def clock_offset_ms(self, vm):
        return self.offset_ms

    def begin_call(self, vm, make, on_silence):
        frame = make(1)
        self.calls.append((frame, on_silence))
        call = outgoing_link.OpenCall(on_silence, lambda _: None)
        call.reply.set_result(self.reply)
        return call


def _forwarder(clock, links, gate, budget=None):
    peer = types.SimpleNamespace(view=types.SimpleNamespace(in_flight=0))
    fleet = types.SimpleNamespace(
        own_record=types.SimpleNamespace(vm=ids.VmId("near")),
        by_vm={_VM: peer},
    )
    budget = budget or memory_budget.unlimited(clock)
    passage = client.Passage(budget, bodies.Turns())
    return forwarder_lib.Forwarder(
        fleet,
        links,
        gate,
        clock,
        transfers.Transfers(passage, clock),
        budget,
        stop_admission.StopAdmission(clock),
    )


def _request(now_ms, is_idempotent=True, key=None):
    return work.Work(
        service=ids.ServiceId("s"),
        method="GET",
        target="/",
        headers=((b"A", b"b"),),
        body=b"",
        request_id="r",
        route=ids.RouteId("r"),
        caller_service=ids.ServiceId("c"),
        is_idempotent=is_idempotent,
        priority=1,
        objective_ms=now_ms + 300,
        deadline_ms=now_ms + 1_000,
        key=key,
        fingerprint=1,
        is_call=False,
    )


def _send(request, links, clock):
    forwarder = _forwarder(clock, links, _Gate())
    asyncio.run(forwarder.send(_VM, request, False))
    return links.calls[-1]


def _receive(frame, now_ms):
    gate = _Gate()
    clock = clock_lib.FakeClock(now_ms=now_ms)
    asyncio.run(_forwarder(clock, _Links(), gate).receive(_VM, frame))
    return gate.requests[0]


def test_delayed_frame_gets_no_more_time():
    """A frame that waited in a paused daemon ran after its caller had left."""
    near = clock_lib.FakeClock(now_ms=5_000)
    frame, _ = _send(_request(5_000), _Links(), near)
    # The receiver's clock is ahead by the offset; 800 ms pass on the way.
    received = _receive(frame, 5_000 + _OFFSET_MS + 800)
    assert received.deadline_ms == 5_000 + _OFFSET_MS + 1_000
    assert received.objective_ms == 5_000 + _OFFSET_MS + 300


def test_deadline_is_relative_while_the_clock_of_the_peer_is_unknown():
    """Guards against a deadline by a clock that nobody has told."""
    links = _Links()
    links.offset_ms = None
    near = clock_lib.FakeClock(now_ms=5_000)
    frame, _ = _send(_request(5_000), links, near)
    assert _receive(frame, 9_000).deadline_ms == 10_000


def test_only_what_another_target_may_run_is_repeated_beside_a_silent_one():
    """Guards against giving up what a silent daemon may be running."""
    clock = clock_lib.FakeClock(now_ms=5_000)
    _, on_silence = _send(_request(5_000), _Links(), clock)
    assert on_silence is outgoing_link.OnSilence.TELL
    for request in (
        _request(5_000, is_idempotent=False),
        _request(5_000, key=7),
    ):
        _, on_silence = _send(request, _Links(), clock)
        assert on_silence is outgoing_link.OnSilence.WAIT


def test_request_of_another_daemon_without_room_is_not_run():
    """Guards against a sum of requests that no daemon alone exceeds."""
    clock = clock_lib.FakeClock(now_ms=5_000)
    frame, _ = _send(_request(5_000), _Links(), clock)
    gate = _Gate()
    budget = memory_budget.MemoryBudget(bodies.INLINE_BYTES, clock)
    forwarder = _forwarder(clock, _Links(), gate, budget)
    reply = asyncio.run(forwarder.receive(_VM, frame))
    assert isinstance(reply, frames.Refusal)
    assert reply.reason == work.RefusalReason.NO_ROOM.value
    assert not gate.requests
    assert not budget.held_bytes


def test_answer_of_a_daemon_without_a_valid_status_is_a_failure():
    """Guards against a status such as 000 that another daemon passes on."""

    async def send():
        clock = clock_lib.FakeClock(now_ms=5_000)
        links = _Links()
        links.reply = frames.Answer(1, 0, (), b"", 0, 0)
        forwarder = _forwarder(clock, links, _Gate())
        return await forwarder.send(_VM, _request(5_000), False)

    assert asyncio.run(send()) == work.Failed(work.FailureReason.INCOMPLETE)


def test_attempt_that_is_overdue_twice_goes_on():
    """Guards against a failure in place of the answer of a target at work.

    The link and the gate may both tell that an answer is overdue.
    """

    async def send():
        call = outgoing_link.OpenCall(
            outgoing_link.OnSilence.TELL, lambda _: None
        )
        links = types.SimpleNamespace(
            begin_call=lambda *_: call, clock_offset_ms=lambda _: _OFFSET_MS
        )
        clock = clock_lib.FakeClock(now_ms=5_000)
        forwarder = _forwarder(clock, links, _Gate())
        sending = asyncio.ensure_future(
            forwarder.send(_VM, _request(5_000), False)
        )
        await asyncio.sleep(0.01)
        call.mark_overdue(frames.Overdue(1))
        attempt = await sending
        assert isinstance(attempt, work.Unanswered)
        await asyncio.sleep(0.01)
        call.mark_overdue(frames.Overdue(1))
        await asyncio.sleep(0.01)
        if attempt.rest.done():
            return attempt.rest.result()
        attempt.rest.cancel()
        return None

    assert asyncio.run(send()) is None
