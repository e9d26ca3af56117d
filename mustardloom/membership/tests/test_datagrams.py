"""Tests of the checks on received datagrams."""

import asyncio

import msgspec
import pytest

from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.membership import datagrams
from mustardloom.membership import records
from mustardloom.relay import authentication

MEMBER = ids.MemberId("vm-1~00000001")
WITNESS = ids.MemberId("vm-2~00000002")
SOURCE = records.Address("127.0.0.1", 1)
KEY = authentication.Authenticator(b"key")
RENEW = datagrams.Renew(sender=MEMBER, receiver=WITNESS, acknowledged=False)


class RecordingEndpoint(datagrams.DatagramEndpoint):
    """Endpoint that records what it sends and which renewals it accepts."""

    def __init__(self, member, authenticator=KEY):
        super().__init__(member, authenticator, metrics_lib.Metrics())
        self.sent: list[bytes] = []
        self.seen: list[datagrams.Message] = []
        self.handle(datagrams.Renew, lambda m, *_: self.seen.append(m))

    def _transmit(self, address, data):
        self.sent.append(data)

    def counted(self):
        return dict(self._metrics.counters)


def _sign(payload):
    return KEY.sign(payload) + payload


def _encode(message, authenticator=KEY):
    sender = RecordingEndpoint(MEMBER, authenticator)
    sender.send(SOURCE, message)
    return sender.sent[0]


@pytest.mark.parametrize(
    ("data", "counter"),
    [
        (b"", "unauthenticated"),
        (_encode(RENEW)[:-1], "unauthenticated"),
        (
            _encode(RENEW, authentication.Authenticator(b"other")),
            "unauthenticated",
        ),
        (_sign(b"\xc1"), "malformed"),
        (_sign(msgspec.msgpack.encode([1, ["renew", 7]])), "malformed"),
        (
            _encode(msgspec.structs.replace(RENEW, receiver=MEMBER)),
            "misaddressed",
        ),
    ],
    ids=(
        "empty",
        "truncated",
        "wrong-key",
        "not-msgpack",
        "wrong-type",
        "other-receiver",
    ),
)
def test_bad_datagram_changes_nothing(data, counter):
    """Guards against renewals with a wrong key or for another member."""
    endpoint = RecordingEndpoint(WITNESS)
    endpoint.receive(data, SOURCE)
    assert not endpoint.seen
    assert endpoint.counted() == {f"membership.datagrams_{counter}": 1}


def test_replayed_datagram_changes_nothing():
    """Guards against a lapsed lease that is renewed by a replay."""
    endpoint = RecordingEndpoint(WITNESS)
    for _ in range(2):
        endpoint.receive(_encode(RENEW), SOURCE)
    assert endpoint.seen == [RENEW]
    assert endpoint.counted() == {"membership.datagrams_replayed": 1}


def test_renewal_fits_the_budget():
    """Guards against growth of the most frequent datagram beyond 100 B."""
    assert len(_encode(RENEW)) <= 100


def test_udp_endpoint_delivers():
    """Guards against an endpoint that works only on the fake network."""

    async def scenario():
        metrics = metrics_lib.Metrics()
        one = datagrams.UdpEndpoint(MEMBER, KEY, metrics)
        other = datagrams.UdpEndpoint(WITNESS, KEY, metrics)
        seen = asyncio.get_running_loop().create_future()
        other.handle(datagrams.Renew, lambda m, *_: seen.set_result(m))
        await one.bind(records.Address("127.0.0.1", 0))
        one.send(await other.bind(records.Address("127.0.0.1", 0)), RENEW)
        message = await asyncio.wait_for(seen, timeout=10)
        one.close()
        other.close()
        return message

    assert asyncio.run(scenario()) == RENEW
