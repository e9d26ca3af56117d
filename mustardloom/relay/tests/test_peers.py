"""Tests of the peer streams over loopback sockets."""

import asyncio
import socket

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.relay import authentication
from mustardloom.relay import peer_server
from mustardloom.relay import peers as peers_lib
from mustardloom.relay.wire import peer_pb2

_HOST = "127.0.0.1"
_A = ids.MemberId("vm-a~0")
_B = ids.MemberId("vm-b~0")
# Long enough for a slow machine; no assertion depends on it.
_TIMEOUT_MS = 20_000


def _free_port():
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return probe.getsockname()[1]


class _Clock(clock_lib.SystemClock):
    """System clock that a test can set forward."""

    def __init__(self):
        self.offset_ms = 0

    def now_ms(self):
        return super().now_ms() + self.offset_ms


def _peers(member, ports, key=b"key"):
    return peers_lib.Peers(
        member,
        lambda other: (_HOST, ports[other]) if other in ports else None,
        authentication.Authenticator(key),
        _Clock(),
        metrics_lib.Metrics(),
    )


async def _echo(sender, summary):
    return peer_pb2.Summary(version=summary.version + 1)


def _run(scenario, handler=_echo, caller_key=b"key"):
    async def main():
        ports = {_B: _free_port()}
        callee = _peers(_B, ports)
        callee.add_handler(peer_pb2.Summary, handler)
        server = peer_server.PeerServer(callee)
        await server.start(_HOST, ports[_B])
        caller = _peers(_A, ports, caller_key)
        try:
            await scenario(caller, callee, server)
        finally:
            await caller.close()
            await server.stop()

    asyncio.run(main())


def test_replies_reach_their_own_calls():
    """Guards against replies that are swapped between calls."""

    async def handler(sender, summary):
        # Later calls are answered first.
        await asyncio.sleep(0.001 * (50 - summary.version))
        return peer_pb2.Summary(version=summary.version)

    async def scenario(caller, callee, server):
        calls = [
            caller.call(_B, peer_pb2.Summary(version=n), _TIMEOUT_MS)
            for n in range(50)
        ]
        replies = await asyncio.gather(*calls)
        assert [reply.version for reply in replies] == list(range(50))

    _run(scenario, handler)


def test_unknown_address_is_unreachable():
    """Guards against an error type that hides that nothing was sent."""

    async def scenario(caller, callee, server):
        with pytest.raises(peers_lib.PeerUnreachable):
            await caller.call(
                ids.MemberId("vm-x~0"), peer_pb2.Summary(), _TIMEOUT_MS
            )

    _run(scenario)


def test_stream_lost_after_sending_is_not_unreachable():
    """Guards against reporting "not run" for a request the peer received."""
    received = asyncio.Event()

    async def handler(sender, summary):
        received.set()
        await asyncio.Event().wait()

    async def scenario(caller, callee, server):
        call = asyncio.create_task(
            caller.call(_B, peer_pb2.Summary(), _TIMEOUT_MS)
        )
        await received.wait()
        await server.stop()
        with pytest.raises(peers_lib.PeerLost):
            await call

    _run(scenario, handler)


def test_cancelled_call_cancels_the_handler():
    """Guards against work that continues after its caller gave up."""
    received = asyncio.Event()
    cancelled = asyncio.Event()

    async def handler(sender, summary):
        received.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async def scenario(caller, callee, server):
        call = asyncio.create_task(
            caller.call(_B, peer_pb2.Summary(), _TIMEOUT_MS)
        )
        await received.wait()
        call.cancel()
        await asyncio.wait_for(cancelled.wait(), _TIMEOUT_MS / 1_000)

    _run(scenario, handler)


def test_failing_handler_fails_only_its_call():
    """Guards against one failed call that ends the stream for all others."""

    async def handler(sender, summary):
        if summary.version == 0:
            raise ValueError("bad")
        return summary

    async def scenario(caller, callee, server):
        with pytest.raises(peers_lib.PeerLost):
            await caller.call(_B, peer_pb2.Summary(version=0), _TIMEOUT_MS)
        reply = await caller.call(_B, peer_pb2.Summary(version=5), _TIMEOUT_MS)
        assert reply.version == 5

    _run(scenario, handler)


def test_peer_with_another_key_is_refused():
    """Guards against messages from another fleet, and forged ones."""

    async def scenario(caller, callee, server):
        with pytest.raises(peers_lib.PeerError):
            await caller.call(_B, peer_pb2.Summary(), _TIMEOUT_MS)
        assert callee.metrics.counters["peer.strangers_refused"] > 0

    _run(scenario, caller_key=b"other")


def test_new_member_id_is_the_sender_of_later_calls():
    """Guards against planned moves that fail after a change of member id.

    The receiver accepts slots only from their owner. A stream that was opened
    under the earlier member id names that member as the sender of all calls.
    """
    senders = []
    arrived = asyncio.Event()
    release = asyncio.Event()

    async def handler(sender, summary):
        senders.append(sender)
        if summary.version == 1:
            arrived.set()
            await release.wait()
        return summary

    async def scenario(caller, callee, server):
        await caller.call(_B, peer_pb2.Summary(version=0), _TIMEOUT_MS)
        earlier = asyncio.create_task(
            caller.call(_B, peer_pb2.Summary(version=1), _TIMEOUT_MS)
        )
        await arrived.wait()
        caller.set_identity(ids.MemberId("vm-a~1"))
        await caller.retain({_B})
        await caller.call(_B, peer_pb2.Summary(version=2), _TIMEOUT_MS)
        release.set()
        # The call that was sent under the earlier member id gets its reply.
        assert (await earlier).version == 1
        assert senders == [_A, _A, "vm-a~1"]

    _run(scenario, handler)


def test_unused_links_are_closed_and_used_ones_kept():
    """Guards against keeping a stream to every daemon of a large fleet."""
    received = asyncio.Event()
    may_reply = asyncio.Event()

    async def handler(sender, summary):
        received.set()
        await may_reply.wait()
        return summary

    async def scenario(caller, callee, server):
        call = asyncio.create_task(
            caller.call(_B, peer_pb2.Summary(), _TIMEOUT_MS)
        )
        await received.wait()
        caller.clock.offset_ms = 40_000
        await caller.retain({_B})
        may_reply.set()
        await call
        link = caller._link(_B)
        await caller.retain({_B})
        assert caller._link(_B) is not link
        await caller.call(_B, peer_pb2.Summary(), _TIMEOUT_MS)
        link = caller._link(_B)
        await caller.retain({_B})
        assert caller._link(_B) is link

    _run(scenario, handler)
