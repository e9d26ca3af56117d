"""Tests of forwarding between two daemons."""

import asyncio
from typing import Any

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.forwarding import codec
from mustardloom.forwarding import forwarder as forwarder_lib
from mustardloom.relay import authentication
from mustardloom.relay import peer_server
from mustardloom.relay import peers as peers_lib
from mustardloom.relay.wire import peer_pb2
from mustardloom.routing import forwarders

A = ids.MemberId("a~1")
B = ids.MemberId("b~1")
GROUP = ids.GroupId("salio@pwani")
SLOT = ids.SlotIndex(3)
GATE = forwarders.Destination.GATE
OK = outcomes.Answered(200, (("X-A", "1"), ("X-A", "2")), b"body")


def make_request(deadline_ms, request_id=None):
    """Returns a request in which all fields are set to distinct values."""
    return requests.Request(
        method="POST",
        path="/salio/7?x=1",
        headers=(("X-A", "1"), ("X-A", "é")),
        body=b"\0body",
        route=ids.RouteId("salio"),
        service=ids.ServiceId("salio"),
        organisation=ids.OrganisationId("o"),
        regions=frozenset({ids.RegionId("pwani"), ids.RegionId("ziwa")}),
        key="7",
        request_id=request_id,
        idempotent=False,
        deadline_ms=deadline_ms,
        fingerprint=2**64 - 1,
    )


class PeerNode:
    """The peer streams and forwarder of one daemon."""

    def __init__(self, member, ports):
        self.clock = clock_lib.SystemClock()
        self.metrics = metrics_lib.Metrics()
        self.peers = peers_lib.Peers(
            member,
            lambda other: (
                ("127.0.0.1", ports[other]) if other in ports else None
            ),
            authentication.Authenticator(b"key"),
            self.clock,
            self.metrics,
        )
        self.server = peer_server.PeerServer(self.peers)
        self.forwarder = forwarder_lib.PeerForwarder(
            self.peers, self.clock, self.metrics
        )


def run_pair(scenario, handler):
    """Runs `scenario(a, b)` on two daemons; b handles gate requests."""

    async def main():
        ports: dict[ids.MemberId, int] = {}
        a, b = PeerNode(A, ports), PeerNode(B, ports)
        await b.server.start("127.0.0.1", 0)
        listener: Any = b.server._server._server
        ports[B] = listener.sockets[0].getsockname()[1]
        b.forwarder.register_handler(GATE, handler)
        try:
            return await scenario(a, b)
        finally:
            await a.peers.close()
            await b.peers.close()
            await b.server.stop()

    return asyncio.run(asyncio.wait_for(main(), 20))


def forward(daemon, member, wait_ms=5_000):
    """Forwards a request from `daemon` to `member`."""
    request = make_request(daemon.clock.now_ms() + wait_ms)
    return daemon.forwarder.forward(member, GATE, request, GROUP, SLOT)


def test_encoding_keeps_all_fields_and_the_remaining_time():
    """Guards against lost fields, and deadlines on the clock of a peer."""
    sent = make_request(1_500, ids.RequestId("id"))
    message = codec.encode_request(sent, GATE, GROUP, SLOT, now_ms=1_000)
    wire = peer_pb2.Forward.FromString(message.SerializeToString())
    received = codec.decode_request(wire, now_ms=77_000)
    assert received.deadline_ms == 77_500
    expected = make_request(77_500, ids.RequestId("id"))
    assert received == expected
    assert codec.decode_destination(wire) is GATE


@pytest.mark.parametrize(
    "outcome",
    [
        OK,
        outcomes.Refused(
            outcomes.RefusalReason.MOVED, "x", (ids.RegionId("r"),), B
        ),
        outcomes.Refused(outcomes.RefusalReason.OVERLOADED, "x"),
        outcomes.Unknown(outcomes.UnknownReason.TARGET_LOST, "x"),
    ],
)
def test_encoding_keeps_outcomes(outcome):
    """Guards against lost reasons and owner hints."""
    sent = forwarders.Forwarded(outcome, forwarders.GateLoad(1, 2, 3))
    wire = codec.encode_answer(sent).SerializeToString()
    assert codec.decode_answer(peer_pb2.Answer.FromString(wire)) == sent


@pytest.mark.parametrize(
    "answer",
    [
        peer_pb2.Answer(),
        peer_pb2.Answer(refused=peer_pb2.Refused(reason="from the future")),
        peer_pb2.Answer(answered=peer_pb2.Answered(headers=["odd"])),
    ],
)
def test_undecodable_answers_are_unknown(answer):
    """Guards against reporting a request as not run without proof."""
    outcome = codec.decode_answer(answer).outcome
    assert isinstance(outcome, outcomes.Unknown)


def test_forward_reaches_the_handler_of_the_peer():
    """Guards against a handler that gets the wrong request or slot."""
    seen = []

    async def handler(request, group, slot):
        seen.append((request.body, group, slot))
        return forwarders.Forwarded(OK, forwarders.GateLoad(1, 2, 3))

    async def scenario(a, b):
        return await forward(a, B), await forward(b, B)

    remote, local = run_pair(scenario, handler)
    assert (
        remote
        == local
        == forwarders.Forwarded(OK, forwarders.GateLoad(1, 2, 3))
    )
    assert seen == [(b"\0body", GROUP, SLOT)] * 2


def test_peer_without_address_is_a_refusal():
    """Guards against reporting a request that was never sent as unknown."""

    async def scenario(a, _):
        return await forward(a, ids.MemberId("nobody~1"))

    outcome = run_pair(scenario, None).outcome
    assert isinstance(outcome, outcomes.Refused)
    assert outcome.reason is outcomes.RefusalReason.PEER_UNREACHABLE


def test_loss_after_sending_is_unknown():
    """Guards against reporting a sent request as not run."""
    entered = asyncio.Event()

    async def handler(request, group, slot):
        entered.set()
        await asyncio.Event().wait()

    async def scenario(a, b):
        call = asyncio.create_task(forward(a, B))
        await entered.wait()
        await a.peers.close()
        return await call

    outcome = run_pair(scenario, handler).outcome
    assert isinstance(outcome, outcomes.Unknown)
    assert outcome.reason is outcomes.UnknownReason.PEER_LOST


def test_deadline_after_sending_is_unknown():
    """Guards against waiting past the deadline for an unresponsive peer."""

    async def handler(request, group, slot):
        await asyncio.Event().wait()

    async def scenario(a, _):
        return await forward(a, B, wait_ms=300)

    outcome = run_pair(scenario, handler).outcome
    assert isinstance(outcome, outcomes.Unknown)
    assert outcome.reason is outcomes.UnknownReason.DEADLINE


def test_cancelling_a_forward_cancels_the_handler():
    """Guards against running requests of callers that disconnected."""
    entered, cancelled = asyncio.Event(), asyncio.Event()

    async def handler(request, group, slot):
        entered.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async def scenario(a, _):
        call = asyncio.create_task(forward(a, B))
        await entered.wait()
        call.cancel()
        await cancelled.wait()
        return True

    assert run_pair(scenario, handler)


def test_exception_in_a_handler_is_unknown():
    """Guards against reporting a request as not run after an exception."""

    async def handler(request, group, slot):
        raise ZeroDivisionError

    async def scenario(a, _):
        return await forward(a, B)

    outcome = run_pair(scenario, handler).outcome
    assert isinstance(outcome, outcomes.Unknown)
