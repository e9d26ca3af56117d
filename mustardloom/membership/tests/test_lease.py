"""Tests of the lease and of the choice of witnesses."""

import collections

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import records
from mustardloom.membership import witness_choice

A, B, C, D, E = (ids.MemberId(f"vm-{name}~00000001") for name in "abcde")


def _lease(now_ms, sent_ms_by_witness):
    lease = lease_lib.Lease(clock_lib.FakeClock(now_ms=now_ms))
    for witness, sent_ms in sent_ms_by_witness.items():
        lease.acknowledge(witness, sent_ms)
    return lease


def test_lease_counts_from_the_send_time_of_a_quorum():
    """Guards against a lease that is held after its witnesses let it lapse."""
    lease = _lease(2_399, {A: 1_000, B: 900, C: 100})
    assert not lease.is_held()
    lease.set_recorded((A, B, C))
    assert lease.is_held()
    assert lease.expires_ms() == 2_400
    lease.end()
    lease.acknowledge(B, 2_000)
    assert not lease.is_held()


def test_undecided_witnesses_need_a_quorum_too():
    """Guards against fencing by a witness set that the lease ignores."""
    lease = _lease(2_000, {A: 1_900, B: 1_900, C: 1_000})
    lease.set_recorded((A, B, C))
    lease.add_undecided((C, D, E))
    lease.add_undecided((A, B, D))
    assert not lease.is_held()
    lease.acknowledge(D, 1_800)
    assert lease.expires_ms() == 2_500
    lease.set_recorded((A, B, D))
    assert lease.expires_ms() == 3_400


def test_lease_without_witnesses_lasts_until_some_are_proposed():
    """Guards against a single daemon that never serves."""
    lease = _lease(2_000, {})
    assert not lease.is_held()
    lease.set_recorded(())
    assert lease.expires_ms() == lease_lib.NO_EXPIRY_MS
    lease.add_undecided((A,))
    assert not lease.is_held()


def test_witnesses_are_spread():
    """Guards against a daemon that witnesses far more leases than others."""
    live: list[records.MemberRecord] = []
    for number in range(240):
        region, zone = divmod(number % 12, 4)
        record = records.MemberRecord(
            member=ids.MemberId(f"vm-{number}~00000001"),
            region=ids.RegionId(f"r{region}"),
            availability_zone=ids.AvailabilityZoneId(f"r{region}-{zone}"),
            caller_address=records.Address("127.0.0.1", 1),
            peer_address=records.Address("127.0.0.1", 1),
        )
        chosen = witness_choice.choose_witnesses(record, live, ())
        live.append(msgspec.structs.replace(record, witnesses=chosen))
    load = collections.Counter(w for r in live for w in r.witnesses)
    assert max(load.values()) <= 9
