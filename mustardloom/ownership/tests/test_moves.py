"""Tests of moves, fencing and member changes in a small simulated fleet."""

import asyncio
import collections

from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import ownership
from mustardloom.ownership.tests import fleet as fleet_lib

_SLOT = ids.SlotIndex(0)


def _run(scenario, slot_count=1, members=2):
    async def run():
        fleet = fleet_lib.Fleet(slot_count)
        for _ in range(members):
            fleet.join()
        try:
            await fleet.settle(2_000)
            await scenario(fleet)
            fleet.check_intervals()
        finally:
            await fleet.close()

    asyncio.run(run())


def _owner_and_other(fleet):
    """Returns the owner of the slot and the other member."""
    owner = fleet.serving_members(_SLOT)[0]
    return owner, next(m for m in fleet.members if m is not owner)


def _admit(member):
    return member.holdings.admit(fleet_lib.GROUP, _SLOT)


def test_loss_moves_only_lost_slots_and_new_member_gets_only_its_share():
    """Guards against moves of slots that need no new owner."""

    async def scenario(fleet):
        await fleet.settle(20_000, step_ms=200)
        before = fleet.owner_ids()
        lost = fleet.members[0]
        fleet.fence(lost)
        await fleet.settle(1_000)
        after = fleet.owner_ids()
        changed = [o for o, n in zip(before, after, strict=True) if o != n]
        assert set(changed) == {lost.id}
        assert len(changed) == before.count(lost.id)
        new_member = fleet.join()
        await fleet.settle(20_000, step_ms=200)
        settled = fleet.owner_ids()
        taken = {n for o, n in zip(after, settled, strict=True) if o != n}
        assert taken == {new_member.id}
        assert 0 < settled.count(new_member.id) <= -(-300 // 6)
        shares = collections.Counter(settled)
        assert max(shares.values()) * 6 <= 300 * ownership.MAX_LOAD_OVER_MEAN

    _run(scenario, slot_count=300, members=6)


def test_stopped_zone_is_emptied_without_fencing():
    """Guards against stops that lose request ids or leave a slot behind."""

    async def scenario(fleet):
        zone = fleet.members[0].record.availability_zone
        fleet.stop_zones([zone])
        await fleet.settle(3_000)
        entries = fleet.store.entries()
        assert fleet.members[0].id not in fleet.owner_ids()
        assert all(entry.unknown_before_wall_ms == 0 for entry in entries)
        assert fleet.members[0].holdings.unreleased_count() == 0

    _run(scenario, slot_count=12, members=3)


def test_all_slots_of_a_move_go_in_one_transfer_and_one_write():
    """Guards against one message or one store write per slot."""

    async def scenario(fleet):
        await fleet.settle(10_000, step_ms=200)
        fleet.network.transferred_counts.clear()
        owner = fleet.members[0]
        count = len(list(owner.holdings.owned()))
        assert count > 1
        writes = fleet.store.version
        fleet.stop_zones([owner.record.availability_zone])
        await fleet.settle(3_000)
        assert fleet.network.transferred_counts == [0, count]
        # One write plans the moves, another writes the new owners.
        assert fleet.store.version == writes + 2

    _run(scenario, slot_count=8, members=2)


def test_conflicts_do_not_delay_the_end_of_moves():
    """Guards against a back-off after each write conflict."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        fleet.plan(_SLOT, receiver)
        for fault in ("lost", "late", "lost"):
            fleet.store.faults.append(fault)
        owner.catch_up()
        fleet.plan(ids.SlotIndex(1), owner)
        await fleet.clock.advance(60)
        assert fleet.owner_ids()[0] == receiver.id

    _run(scenario, slot_count=2)


def test_move_waits_for_running_requests_and_names_the_receiver():
    """Guards against a planned move that interrupts a running request."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        assert _admit(owner) == ownership.Admitted(ids.Epoch(1))
        fleet.plan(_SLOT, receiver)
        await fleet.settle(6_000, step_ms=200)
        assert _admit(owner) == ownership.NotOwner(receiver.id)
        incoming = _admit(receiver)
        assert isinstance(incoming, ownership.Incoming)
        now_ms = fleet.clock.now_ms()
        waits = [incoming.wait(now_ms + ms) for ms in (100, 9_000)]
        await fleet.settle(200)
        assert isinstance(waits[0].result(), ownership.Incoming)
        owner.holdings.end_request(fleet_lib.GROUP, _SLOT)
        await fleet.settle(200)
        assert waits[1].result() == ownership.Admitted(ids.Epoch(2))

    _run(scenario)


def test_unreachable_receiver_leaves_the_slot_served():
    """Guards against a slot without a serving member during a partition."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        fleet.network.faults.extend(["unreachable"] * 4)
        fleet.plan(_SLOT, receiver)
        await fleet.settle(1_000)
        assert fleet.serving_members(_SLOT) == [owner]
        await fleet.settle(3_000)
        assert fleet.serving_members(_SLOT) == [receiver]

    _run(scenario)


def test_sent_slot_is_not_served_again_by_its_old_owner():
    """Guards against two serving members after a late transfer."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        fleet.network.faults.extend([None, "held", "unreachable"])
        fleet.plan(_SLOT, receiver)
        owner.catch_up()
        await fleet.clock.advance(1_050)
        assert fleet.serving_members(_SLOT) == []
        fleet.network.deliver(fleet.network.pending.pop())
        await fleet.clock.advance(20)
        assert fleet.serving_members(_SLOT) == [receiver]
        await fleet.settle(1_000)
        assert fleet.serving_members(_SLOT) == [receiver]
        assert fleet.owner_ids() == [receiver.id]

    _run(scenario)


def test_announced_slot_is_incoming_before_the_map_shows_the_move():
    """Guards against callers redirected back and forth during a move."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        _admit(owner)
        fleet.plan(_SLOT, receiver)
        owner.catch_up()
        await fleet.clock.advance(50)
        assert isinstance(_admit(receiver), ownership.Incoming)

    _run(scenario)


def test_cut_off_applies_only_where_ids_were_lost():
    """Guards against needless unknown outcomes and against double runs."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        _admit(owner)
        fleet.plan(_SLOT, receiver)
        await fleet.settle(500)
        fleet.fence(receiver)
        await fleet.settle(1_000)
        entry = fleet.store.entries()[0]
        assert entry.owner == owner.id
        assert entry.unknown_before_wall_ms > fleet.clock.wall_ms() - 1_000
        assert _admit(owner) == ownership.Admitted(entry.epoch)
        holdings = owner.holdings
        assert not holdings.unknown_before_wall_ms(fleet_lib.GROUP, _SLOT)
        fleet.fence(owner)
        third = fleet.join()
        await fleet.settle(1_000)
        cut_off_ms = third.holdings.unknown_before_wall_ms(
            fleet_lib.GROUP, _SLOT
        )
        assert cut_off_ms == fleet.store.entries()[0].unknown_before_wall_ms

    _run(scenario)


def test_stopped_slot_moves_to_the_receiver_of_the_next_plan():
    """Guards against a transfer to the receiver of an earlier, ended plan."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        _admit(owner)
        fleet.plan(_SLOT, receiver)
        await fleet.settle(500)
        third = fleet.join()
        fleet.fence(receiver)
        for _ in range(40):
            third.catch_up()
            await fleet.clock.advance(100)
        assert fleet.store.entries()[0].moving_to is None
        fleet.plan(_SLOT, third)
        owner.deliver_one(fleet.store.version - 1)
        owner.holdings.end_request(fleet_lib.GROUP, _SLOT)
        await fleet.settle(2_000)
        assert fleet.serving_members(_SLOT) == [third]

    _run(scenario)


def test_old_transfer_is_refused():
    """Guards against a delayed transfer that restores an old epoch."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        fleet.plan(_SLOT, receiver)
        await fleet.settle(500)
        message = fleet.network.last_message
        fleet.plan(_SLOT, owner)
        await fleet.settle(500)
        assert fleet.serving_members(_SLOT) == [owner]
        fleet.network.deliver(message)
        await fleet.settle(500)
        assert fleet.serving_members(_SLOT) == [owner]
        # Only the owner at the previous epoch may send the next one.
        holdings = receiver.holdings
        epoch = ids.Epoch(fleet.store.entries()[0].epoch + 1)
        for sender, expected in ((owner, True), (receiver, False)):
            found = holdings.may_receive(
                sender.id, fleet_lib.GROUP, _SLOT, epoch
            )
            assert found == expected

    _run(scenario)


def test_missing_member_record_alone_does_not_mean_a_lost_member():
    """Guards against reassigning slots of a member whose record comes late."""

    async def scenario(fleet):
        late_member, joined = fleet.members[0], fleet.join()
        await fleet.settle(500)
        fleet.plan(_SLOT, joined)
        await fleet.settle(500)
        assert fleet.serving_members(_SLOT) == [joined]
        newest = fleet.store.version - 1
        observer = fleet_lib.Member(fleet, 7, 6)
        observer.write_record()
        observer.deliver_one(newest)
        observer.deliver_one(newest + 1)
        for _ in range(40):
            await observer.reconciler.reconcile()
            await fleet.clock.advance(100)
        assert fleet.store.version == newest + 2
        fleet.fence(observer)
        joined.delete_record()
        fleet.lapse(joined)
        await fleet.settle(3_000)
        assert fleet.serving_members(_SLOT) == [late_member]

    _run(scenario, members=1)


def test_slot_is_served_only_after_its_grant():
    """Guards against requests sent to a target that lacks the epoch."""

    async def scenario(fleet):
        owner, receiver = _owner_and_other(fleet)
        receiver.target.is_failing = True
        moved = [slot for _, slot, _ in owner.holdings.owned()]
        for slot in moved:
            fleet.plan(slot, receiver)
        await fleet.settle(400)
        assert isinstance(_admit(receiver), ownership.Incoming)
        assert isinstance(_admit(owner), ownership.NotOwner)
        await fleet.settle(600)
        # Slots can be moved on only once the map names the receiver as owner.
        assert all(fleet.store.entries()[slot].epoch > 1 for slot in moved)
        receiver.target.is_failing = False
        await fleet.settle(3_000)
        assert all(len(fleet.serving_members(slot)) == 1 for slot in moved)

    _run(scenario, slot_count=8)


def test_later_ranks_wait_for_earlier_ones():
    """Guards against all daemons writing the same chunk concurrently."""

    async def scenario(fleet):
        fleet.fence(fleet.members[0])
        counters = metrics_lib.Metrics().counters
        await fleet.settle(1_000)
        for member in fleet.members:
            counters.update(member.metrics.counters)
        assert counters["ownership.chunks_written"] == 2
        assert counters["ownership.chunk_conflicts"] == 0

    _run(scenario, slot_count=6, members=6)


def test_members_that_join_at_the_start_get_slots_without_moves():
    """Guards against a burst of moves and store writes at fleet start."""

    async def scenario(fleet):
        for _ in range(6):
            fleet.join()
            await fleet.settle(200)
        await fleet.settle(20_000, step_ms=200)
        entries = fleet.store.entries()
        assert [entry.epoch for entry in entries] == [1] * 24
        counts = collections.Counter(fleet.owner_ids())
        assert sorted(counts.values()) == [4] * 6

    _run(scenario, slot_count=24, members=0)
