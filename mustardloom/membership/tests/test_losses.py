"""Tests of whole fleets that lose members, zones, regions and the store."""

import asyncio

from mustardloom import clock as clock_lib
from mustardloom.membership import fencing
from mustardloom.membership import records
from mustardloom.membership.tests import simulation

FENCE_LIMIT_MS = 2_000
SIX_ZONES = [
    ("pwani", "pwani-a"),
    ("pwani", "pwani-b"),
    ("kaskazini", "kaskazini-a"),
    ("kaskazini", "kaskazini-b"),
    ("ziwa", "ziwa-a"),
    ("ziwa", "ziwa-b"),
]
# Two VMs per zone, so that each role of a witness has a candidate.
TWELVE_VMS = [place for place in SIX_ZONES for _ in range(2)]


async def _start(layout=TWELVE_VMS):
    return await simulation.Fleet(layout).start()


def test_each_member_gets_a_witness_of_each_role():
    """Guards against leases that lapse with the loss of one zone or region."""

    async def scenario():
        fleet = await _start()
        for process in fleet.by_vm.values():
            record = fleet.store.record(process.member)
            assert record.state is records.MemberState.ACTIVE
            places = [fleet.process_of(w) for w in record.witnesses]
            own_zone, other_zone, other_region = places
            assert own_zone.zone == process.zone
            assert other_zone.region == process.region
            assert other_zone.zone != process.zone
            assert other_region.region != process.region
            assert process.incarnation.lease.is_held()

    asyncio.run(scenario())


def test_lost_member_is_fenced_in_time():
    """Guards against keys that stay unserved after the loss of a VM."""

    async def scenario():
        fleet = await _start()
        lost = fleet.by_vm["vm-0"]
        fleet.kill(lost)
        await fleet.advance(FENCE_LIMIT_MS)
        assert fleet.is_fenced(lost.member)
        live = [p.member for p in fleet.by_vm.values()]
        assert not any(fleet.is_fenced(member) for member in live)

    asyncio.run(scenario())


def test_operator_confirms_a_loss_that_no_witness_can_state():
    """Guards against slots that stay unserved after the loss of witnesses."""

    async def scenario():
        fleet = await _start()
        lost = fleet.by_vm["vm-0"]
        witnesses = fleet.store.record(lost.member).witnesses
        fencer = fleet.by_vm["vm-9"].fencer
        for process in (lost, *map(fleet.process_of, witnesses[:2])):
            fleet.kill(process)
        attempt = asyncio.create_task(fencer.fence(lost.member))
        await fleet.advance(10_000)
        # Only the third witness is left to state the lapse.
        assert attempt.result() == fencing.NotEnoughStatements(1, 2)
        assert not fleet.is_fenced(lost.member)
        confirmation = asyncio.create_task(fencer.fence_lost_vm(lost.vm))
        await fleet.advance(100)
        (result,) = confirmation.result()
        assert isinstance(result, fencing.Fenced)
        assert fleet.is_fenced(lost.member)

    asyncio.run(scenario())


def test_candidates_are_ranked_outside_the_lost_zone():
    """Guards against candidates that are lost together with the member."""

    async def scenario():
        fleet = await _start()
        lost = fleet.store.record(fleet.by_vm["vm-0"].member)
        live = [fleet.store.record(p.member) for p in fleet.by_vm.values()]
        ranked = fencing.fencing_candidates(live, lost)
        zones = [record.availability_zone for record in ranked]
        assert zones[:2] == ["pwani-b", "pwani-b"]
        assert ranked[2].region != lost.region
        assert zones[-1] == lost.availability_zone
        assert len(ranked) == len(live) - 1

    asyncio.run(scenario())


def test_lost_zone_is_fenced_in_time():
    """Guards against fencing that depends on members of the lost zone."""

    async def scenario():
        fleet = await _start()
        lost = [p for p in fleet.by_vm.values() if p.zone == "pwani-b"]
        for process in lost:
            fleet.kill(process)
        await fleet.advance(FENCE_LIMIT_MS)
        assert all(fleet.is_fenced(process.member) for process in lost)
        await fleet.advance(2_000)
        for process in fleet.by_vm.values():
            assert process.incarnation.lease.is_held()

    asyncio.run(scenario())


def test_region_that_is_cut_off_goes_on():
    """Guards against an outage of a region that only lost its connections."""

    async def scenario():
        fleet = await _start()
        inside = fleet.in_region("ziwa")
        before = {p.vm: p.member for p in fleet.by_vm.values()}
        fleet.cut(inside)
        for _ in range(20):
            await fleet.advance(500)
            for process in fleet.by_vm.values():
                assert process.incarnation.lease.is_held(), process.vm
        fleet.heal()
        await fleet.advance(5_000)
        assert before == {p.vm: p.member for p in fleet.by_vm.values()}

    asyncio.run(scenario())


def test_store_outage_of_an_hour_changes_nothing(monkeypatch):
    """Guards against leases that depend on the store."""
    # A few iterations per wake-up suffice for two daemons; more cost seconds.
    monkeypatch.setattr(clock_lib, "_ITERATIONS_PER_WAKE_UP", 6)

    async def scenario():
        fleet = await _start([("pwani", f"pwani-{n}") for n in range(2)])
        processes = list(fleet.by_vm.values())
        before = [p.incarnation.own.version for p in processes]
        fleet.store.is_up = False
        for _ in range(3_600):
            await fleet.clock.advance(1_000)
            assert all(p.incarnation.lease.is_held() for p in processes)
        fleet.store.is_up = True
        await fleet.advance(5_000)
        assert before == [p.incarnation.own.version for p in processes]

    asyncio.run(scenario())
