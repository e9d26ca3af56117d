"""Stateful test of ownership under faults of all its dependencies."""

import asyncio
import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mustardloom import ids
from mustardloom import ownership
from mustardloom.membership import records
from mustardloom.ownership.tests import fleet as fleet_lib

_SLOTS = 2
_MAX_MEMBERS = 6
_STORE_FAULTS = ("lost", "late", "unavailable")
_CALL_FAULTS = ("held", "reply lost", "unreachable", None)
_any_number = strategies.integers(0, 1_000)
_slots = strategies.integers(0, _SLOTS - 1)


class Faults(stateful.RuleBasedStateMachine):
    """Members whose events and messages arrive late, reordered or never.

    Guards against two serving members of a slot, epochs that decrease, requests
    that run twice because their ids were lost, and slots that stay without an
    owner.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.run(self.start())

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    async def start(self):
        self.fleet = fleet_lib.Fleet(_SLOTS)
        self.run_count_by_id: collections.Counter[str] = collections.Counter()
        self.wall_ms_by_id = {}
        self.running = []
        await self._join_until(3)
        await self.fleet.settle(1_000)

    def pick(self, items, number):
        return items[number % len(items)]

    def member(self, number):
        return self.pick(self.fleet.members, number)

    @stateful.rule(milliseconds=strategies.sampled_from((1, 20, 150, 700)))
    def advance(self, milliseconds):
        self.run(self.fleet.clock.advance(milliseconds))

    @stateful.rule(number=_any_number)
    def catch_up(self, number):
        self.member(number).catch_up()
        self.run(self.fleet.clock.advance(0))

    @stateful.rule()
    def catch_up_all(self):
        self.run(self.fleet.settle(150))

    @stateful.rule(number=_any_number, event=_any_number)
    def deliver_out_of_order(self, number, event):
        newest = self.fleet.store.version - 1
        self.member(number).deliver_one(max(0, newest - event % 4))
        self.run(self.fleet.clock.advance(0))

    @stateful.precondition(lambda self: self.fleet.network.pending)
    @stateful.rule(number=_any_number, again=strategies.booleans())
    def deliver_message(self, number, again):
        pending = self.fleet.network.pending
        message = self.pick(pending, number)
        if not again:
            pending.remove(message)
        self.run(self._deliver(message))

    async def _deliver(self, message):
        self.fleet.network.deliver(message)
        await self.fleet.clock.advance(5)

    @stateful.rule(fault=strategies.sampled_from(_CALL_FAULTS))
    def fail_next_call(self, fault):
        self.fleet.network.faults.append(fault)

    @stateful.rule(
        slot=_slots, number=_any_number, prompt=strategies.booleans()
    )
    def plan(self, slot, number, prompt):
        self.fleet.plan(slot, self.pick(self.fleet.live(), number))
        if prompt:
            self.run(self.fleet.settle(50))

    @stateful.rule(fault=strategies.sampled_from(_STORE_FAULTS))
    def fail_next_write(self, fault):
        self.fleet.store.faults.append(fault)

    @stateful.rule()
    def perform_late_writes(self):
        self.fleet.store.apply_late_writes()

    @stateful.precondition(lambda self: len(self.fleet.members) < _MAX_MEMBERS)
    @stateful.rule()
    def join(self):
        self.run(self._join_until(len(self.fleet.live()) + 1))

    @stateful.precondition(lambda self: len(self.fleet.live()) > 1)
    @stateful.rule(number=_any_number)
    def lapse(self, number):
        self.fleet.lapse(self.pick(self.fleet.live(), number))

    @stateful.rule(number=_any_number, deleted=strategies.booleans())
    def fence(self, number, deleted):
        member = self.member(number)
        if member.lease.is_held():
            return
        if deleted:
            member.delete_record()
        else:
            self.fleet.fence(member)

    @stateful.rule(
        slot=_slots,
        number=_any_number,
        is_owner=strategies.booleans(),
        milliseconds=strategies.sampled_from((0, 5, 60, 200)),
        is_down=strategies.booleans(),
    )
    def fence_during_move(self, slot, number, is_owner, milliseconds, is_down):
        receiver = self.pick(self.fleet.live(), number)
        owner_id = self.fleet.owner_ids()[slot]
        owners = [m for m in self.fleet.live() if m.id == owner_id]
        if not owners or receiver is owners[0]:
            return
        self.fleet.plan(slot, receiver)
        owners[0].catch_up()
        self.fleet.store.is_down = is_down
        self.run(self.fleet.clock.advance(milliseconds))
        self.request(slot)
        self.fleet.store.is_down = False
        self.fleet.fence(owners[0] if is_owner else receiver)
        self.run(self._join_until(3))
        self.run(self.fleet.settle(400))
        self.request(slot)

    async def _join_until(self, count):
        while len(self.fleet.live()) < count:
            self.fleet.join()

    @stateful.rule(number=_any_number)
    def leave(self, number):
        member = self.member(number)
        if member.lease.is_held() and len(self.fleet.live()) > 1:
            member.set_state(records.MemberState.LEAVING)

    @stateful.rule(number=_any_number)
    def toggle_zone(self, number):
        changed = {self.pick(fleet_lib.ZONES, number)}
        self.fleet.stop_zones(self.fleet.stopped_zones ^ changed)

    @stateful.rule(number=_any_number)
    def toggle_target(self, number):
        target = self.member(number).target
        target.is_failing = not target.is_failing

    @stateful.rule(slot=_slots)
    def request(self, slot):
        """Repeats all earlier request ids of the slot, then sends a new one."""
        new_id = f"{slot}-{len(self.wall_ms_by_id)}"
        self.wall_ms_by_id[new_id] = self.fleet.clock.wall_ms()
        known = [i for i in self.wall_ms_by_id if i.startswith(f"{slot}-")]
        for member in self.fleet.serving_members(slot):
            for request_id in known:
                self._run_at(member, ids.SlotIndex(slot), request_id)

    def _run_at(self, member, slot, request_id):
        recorded = member.request_ids.by_slot[fleet_lib.GROUP, slot]
        holdings = member.holdings
        cut_off_ms = holdings.unknown_before_wall_ms(fleet_lib.GROUP, slot)
        if (
            request_id in recorded
            or self.wall_ms_by_id[request_id] < cut_off_ms
        ):
            return
        admitted = holdings.admit(fleet_lib.GROUP, slot)
        assert isinstance(admitted, ownership.Admitted)
        recorded.add(request_id)
        self.run_count_by_id[request_id] += 1
        self.running.append((member, slot))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(number=_any_number)
    def finish(self, number):
        member, slot = self.running.pop(number % len(self.running))
        member.holdings.end_request(fleet_lib.GROUP, slot)
        self.run(self.fleet.clock.advance(0))

    @stateful.invariant()
    def at_most_one_serving_member(self):
        for slot in range(_SLOTS):
            busy = {m.id for m, at in self.running if at == slot}
            live = {member.id for member in self.fleet.live()}
            serving = {member.id for member in self.fleet.serving_members(slot)}
            assert serving <= live
            assert len(serving | busy & live) <= 1

    @stateful.invariant()
    def each_id_runs_once(self):
        assert all(count == 1 for count in self.run_count_by_id.values())

    def teardown(self):
        try:
            self.run(self._recover())
            self.fleet.check_intervals()
        finally:
            self.run(self.fleet.close())
            self.loop.close()

    async def _recover(self):
        fleet = self.fleet
        while self.running:
            member, slot = self.running.pop()
            member.holdings.end_request(fleet_lib.GROUP, slot)
        fleet.store.faults.clear()
        fleet.store.apply_late_writes()
        fleet.network.faults.clear()
        fleet.stop_zones([])
        for member in fleet.members:
            member.target.is_failing = False
            if not member.lease.is_held():
                fleet.fence(member)
        if not self._active():
            fleet.join()
        for _ in range(10):
            await fleet.settle(700, step_ms=100)
            if self._is_served():
                return
        raise AssertionError(self.fleet.store.entries())

    def _active(self):
        active = records.MemberState.ACTIVE
        return [m for m in self.fleet.live() if m.record.state is active]

    def _is_served(self):
        active = {member.id for member in self._active()}
        entries = self.fleet.store.entries()
        return len(entries) == _SLOTS and all(
            entry.owner in active
            and entry.moving_to is None
            and [m.id for m in self.fleet.serving_members(slot)]
            == [entry.owner]
            for slot, entry in enumerate(entries)
        )


TestFaults = Faults.TestCase
TestFaults.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=50,
    stateful_step_count=30,
    # Without shrinking, which replays whole fleets and takes minutes.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
