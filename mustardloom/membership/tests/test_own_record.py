"""Tests of the writer of the own record and of the announcer."""

import asyncio
import types

import msgspec
import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import own_record
from mustardloom.membership import records
from mustardloom.membership.tests import simulation

A, B, C, D = (ids.MemberId(f"vm-{name}~00000001") for name in "abcd")
ADDRESS = records.Address("127.0.0.1", 1)
RECORD = records.MemberRecord(
    member=ids.MemberId("vm-0~00000001"),
    region=ids.RegionId("pwani"),
    availability_zone=ids.AvailabilityZoneId("pwani-a"),
    caller_address=ADDRESS,
    peer_address=ADDRESS,
)


def test_writes_follow_what_is_in_the_store():
    """Guards against a lease confirmed by witnesses that may not be stored."""

    async def scenario():
        clock = clock_lib.FakeClock()
        store = simulation.FakeStore(clock)
        process = types.SimpleNamespace(clock=clock, reaches_store=True)
        client = simulation.ProcessStore(store, process)
        lease = lease_lib.Lease(clock)
        own = own_record.OwnRecord(
            RECORD, client, lease, metrics_lib.Metrics(), lambda event: None
        )

        async def write(witnesses):
            task = asyncio.create_task(
                own.write(
                    lambda r: msgspec.structs.replace(r, witnesses=witnesses)
                )
            )
            await clock.advance(100)
            return task.result()

        assert await write((A, B)) is own_record.WriteResult.WRITTEN
        store.late_until_ms = clock.now_ms() + 50
        assert await write((A, C)) is own_record.WriteResult.UNDECIDED
        assert lease.witnesses() == {A, B, C}
        store.is_up = False
        assert await write((A, D)) is own_record.WriteResult.UNDECIDED
        assert lease.witnesses() == {A, B, C}
        store.is_up = True
        store.lost_answers = 1
        assert await write((A, D)) is own_record.WriteResult.UNDECIDED
        assert lease.witnesses() == {A, B, C, D}
        assert await write((A, D)) is own_record.WriteResult.WRITTEN
        assert lease.witnesses() == {A, D}
        await clock.advance(simulation.LATE_MS)
        assert store.record(RECORD.member).witnesses == (A, D)
        lease.acknowledge(A, clock.now_ms())
        lease.acknowledge(D, clock.now_ms())
        assert lease.is_held()
        fenced = msgspec.structs.replace(
            own.record, state=records.MemberState.FENCED
        )
        key = records.member_key(RECORD.member)
        store.apply(key, records.encode(fenced), own.version)
        with pytest.raises(own_record.LifeEnded):
            await write((A, B))
        assert not lease.is_held()

    asyncio.run(scenario())


def test_leaving_member_deletes_its_record_when_empty():
    """Guards against a leaving member that stops before its slots moved."""

    async def scenario():
        fleet = await simulation.Fleet([("pwani", "pwani-a")] * 3).start()
        incarnation = fleet.by_vm["vm-0"].incarnation
        slots = ["a slot"]
        leaving = asyncio.create_task(incarnation.announcer.leave())
        await fleet.advance(100)
        assert leaving.done()
        state = fleet.store.record(incarnation.member).state
        assert state is records.MemberState.LEAVING
        removal = asyncio.create_task(
            incarnation.announcer.remove(lambda: not slots)
        )
        await fleet.advance(3_000)
        assert incarnation.lease.is_held()
        slots.clear()
        fleet.store.lost_answers = 1
        await fleet.advance(3_000)
        assert removal.done()
        assert fleet.store.record(incarnation.member) is None
        assert not incarnation.lease.is_held()

    asyncio.run(scenario())
