"""Simulated fleet with faults of store, network, targets and leases."""

import asyncio
import collections
import dataclasses
import itertools

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom import ownership
from mustardloom.membership import records
from mustardloom.relay import peers as peers_lib
from mustardloom.relay import replica as replica_lib
from mustardloom.relay.wire import peer_pb2

GROUP = ids.GroupId("salio@*")
ZONES = ("a1", "a2", "b1", "b2", "c1", "c2")


class FakeStore:
    """Platform client whose next writes can fail in chosen ways.

    `faults` holds one fault per write to come: "unavailable" fails it, "late"
    defers it until `apply_late_writes`, "lost" performs it but reports it as
    undecided, None performs it.
    """

    def __init__(self):
        self.history = []
        self.faults: collections.deque[str | None] = collections.deque()
        self.late_writes = []
        self.is_down = False
        self._event_by_key = {}

    @property
    def version(self):
        return len(self.history)

    async def get(self, key):
        self._raise_if_down()
        return self._versioned(key)

    async def update(self, key, value, expected):
        self._raise_if_down()
        fault = self.faults.popleft() if self.faults else None
        if fault == "unavailable":
            raise objects.PlatformUnavailable
        if fault == "late":
            self.late_writes.append((key, value, expected))
            return objects.Undecided(ids.OperationId("late"))
        result = self.write(key, value, expected)
        if fault == "lost":
            return objects.Undecided(ids.OperationId("lost"))
        return result

    def write(self, key, value, expected=None):
        """Writes conditionally, or unconditionally if `expected` is None."""
        found = self._event_by_key.get(key)
        version = found.version if found else 0
        if expected is not None and version != expected:
            return objects.Conflict(self._versioned(key))
        if found is not None and key.startswith(ownership.SLOTS_PREFIX):
            _assert_epochs_valid(found.value, value)
        event = objects.Event(key, ids.Version(self.version + 1), value)
        self.history.append(event)
        self._event_by_key[key] = event
        return objects.Written(event.version)

    def apply_late_writes(self):
        """Performs the deferred writes, each still conditional."""
        for key, value, expected in self.late_writes:
            self.write(key, value, expected)
        self.late_writes.clear()

    def entries(self):
        """Returns the entries of all slots of GROUP."""
        found: list[ownership.SlotEntry] = []
        for index in range(len(self._event_by_key)):
            name = ownership.ChunkName(GROUP, index)
            event = self._event_by_key.get(ownership.chunk_key(name))
            if event is not None:
                found.extend(ownership.decode_chunk(event.value))
        return found

    def _versioned(self, key):
        event = self._event_by_key.get(key)
        if event is None or event.value is None:
            return None
        return objects.Versioned(key, event.version, event.value)

    def _raise_if_down(self):
        if self.is_down:
            raise objects.PlatformUnavailable


def _assert_epochs_valid(before, after):
    old_entries = ownership.decode_chunk(before)
    new_entries = ownership.decode_chunk(after)
    for old, new in zip(old_entries, new_entries, strict=True):
        assert new.epoch >= old.epoch
        assert new.owner == old.owner or new.epoch > old.epoch


@dataclasses.dataclass
class Message:
    """A call under way; it can arrive after its caller gave up."""

    sender: ids.MemberId
    receiver: ids.MemberId
    body: peer_pb2.Transfer
    reply: "asyncio.Future[peer_pb2.Transferred]"


class Network:
    """Delivers calls at once, except for those with a fault.

    `faults` holds one fault per call to come: "unreachable" fails it, "held"
    keeps it in `pending` until `deliver` is called, "reply lost" delivers it
    but loses the reply, None delivers it.
    """

    def __init__(self, clock):
        self.clock = clock
        self.handlers = {}
        self.pending = []
        self.faults: collections.deque[str | None] = collections.deque()
        self.transferred_counts = []
        self.last_message = None
        self._tasks = set()

    def deliver(self, message):
        handler = self.handlers[message.receiver]
        task = asyncio.ensure_future(self._deliver(message, handler))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, message, handler):
        reply = await handler(message.sender, message.body)
        if not message.reply.done():
            message.reply.set_result(reply)


class FakePeerClient:
    """Peer client of one member."""

    def __init__(self, network, member):
        self._network = network
        self._member = member

    def add_handler(self, body_type, handler):
        assert body_type is peer_pb2.Transfer
        self._network.handlers[self._member] = handler

    async def call(self, member, body, timeout_ms):
        faults = self._network.faults
        fault = faults.popleft() if faults else None
        if fault == "unreachable":
            raise peers_lib.PeerUnreachable
        reply = asyncio.get_running_loop().create_future()
        message = Message(self._member, member, body, reply)
        self._network.last_message = message
        self._network.transferred_counts.append(
            sum(s.epoch > 0 for s in body.slots)
        )
        if fault == "held":
            self._network.pending.append(message)
        else:
            self._network.deliver(message)
        if fault == "reply lost":
            raise peers_lib.PeerLost
        timer = asyncio.ensure_future(self._network.clock.sleep_ms(timeout_ms))
        try:
            await asyncio.wait(
                (reply, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        if not reply.done():
            raise peers_lib.PeerLost
        return reply.result()


class FakeLease:
    def __init__(self, clock):
        self._clock = clock
        self.lapsed_ms = None

    def is_held(self):
        return self.lapsed_ms is None

    def expires_ms(self):
        if self.lapsed_ms is None:
            return self._clock.now_ms() + 1_500
        return self.lapsed_ms


class FakeTarget:
    """Target that acknowledges grants unless `is_failing` is set."""

    def __init__(self):
        self.is_failing = False

    async def grant(self, epoch_by_slot, expires_ms):
        del epoch_by_slot, expires_ms
        await asyncio.sleep(0)
        if self.is_failing:
            raise OSError

    async def release(self, group, slots):
        del group, slots


class FakeRequestRecords:
    """Ids of the requests that ran, by slot."""

    def __init__(self):
        self.by_slot = collections.defaultdict(set)

    def export(self, group, slot):
        ids_of_slot = sorted(self.by_slot[group, slot])
        return [peer_pb2.RequestRecord(request_id=i) for i in ids_of_slot]

    def unknown_before_wall_ms(self, group, slot):
        return 0

    def import_(self, group, slot, records, unknown_before_wall_ms):
        del unknown_before_wall_ms
        found = {record.request_id for record in records}
        self.by_slot[group, slot] = found


class Member:
    """The ownership components of one daemon."""

    def __init__(self, fleet, number, capacity):
        zone = ZONES[number % len(ZONES)]
        self.id = ids.MemberId(f"vm-{number}~0")
        self.record = records.MemberRecord(
            member=self.id,
            region=ids.RegionId(zone[0]),
            availability_zone=ids.AvailabilityZoneId(zone),
            caller_address=records.Address("127.0.0.1", 1),
            peer_address=records.Address("127.0.0.1", 2),
            state=records.MemberState.ACTIVE,
            service=ids.ServiceId("salio"),
            capacity=capacity,
        )
        self._fleet = fleet
        self.lease = FakeLease(fleet.clock)
        self.target = FakeTarget()
        self.request_ids = FakeRequestRecords()
        self.replica = replica_lib.Replica()
        members = records.MemberView(self.replica)
        slots = ownership.SlotMap(self.replica)
        metrics = self.metrics = metrics_lib.Metrics()
        writer = ownership.ChunkWriter(
            self.replica, fleet.store, lambda event: None, metrics
        )
        self.holdings = ownership.Holdings(
            self.id,
            slots,
            self.lease,
            self.target,
            fleet.clock,
            metrics,
            log_intervals=True,
        )
        self.mover = ownership.Mover(
            self.holdings,
            slots,
            self.request_ids,
            FakePeerClient(fleet.network, self.id),
            writer,
            fleet.clock,
            metrics,
        )
        self.reconciler = ownership.Reconciler(
            self.id,
            lambda: [(GROUP, fleet.slot_count)],
            self.replica,
            members,
            slots,
            writer,
            lambda record: record.availability_zone in fleet.stopped_zones,
            fleet.clock,
            metrics,
        )

    def start(self):
        jobs = (self.holdings, self.mover, self.reconciler)
        return [asyncio.ensure_future(job.run()) for job in jobs]

    def set_state(self, state):
        self.record = msgspec.structs.replace(self.record, state=state)
        self.write_record()

    def write_record(self):
        key = records.member_key(self.id)
        self._fleet.store.write(key, records.encode(self.record))

    def delete_record(self):
        self._fleet.store.write(records.member_key(self.id), None)

    def catch_up(self):
        known = self.replica.version
        events = self._fleet.store.history[known:]
        self.replica.apply(events, known, self._fleet.store.version)

    def deliver_one(self, index):
        event = self._fleet.store.history[index]
        before = ids.Version(event.version - 1)
        self.replica.apply([event], before, event.version)


class Fleet:
    """All members, on one fake clock."""

    def __init__(self, slot_count):
        self.slot_count = slot_count
        self.clock = clock_lib.FakeClock()
        self.store = FakeStore()
        self.network = Network(self.clock)
        self.members = []
        self.stopped_zones = set()
        self._tasks = []

    def join(self, capacity=6):
        member = Member(self, len(self.members), capacity)
        self.members.append(member)
        member.write_record()
        self._tasks.extend(member.start())
        return member

    def stop_zones(self, zones):
        """Sets the stopped zones and requests a pass of every reconciler."""
        self.stopped_zones = set(zones)
        for member in self.members:
            member.reconciler.request_pass()

    def lapse(self, member):
        if member.lease.lapsed_ms is None:
            member.lease.lapsed_ms = self.clock.now_ms()

    def fence(self, member):
        self.lapse(member)
        member.set_state(records.MemberState.FENCED)

    def live(self):
        return [m for m in self.members if m.lease.is_held()]

    def plan(self, slot, receiver):
        """Writes a planned move, as any reconciler may.

        Does nothing if the slot is already moving or owned by the receiver, or
        if one of the two members is not live.
        """
        entry = self.store.entries()[slot]
        live = {member.id for member in self.live()}
        if entry.moving_to is not None or entry.owner == receiver.id:
            return
        if {entry.owner, receiver.id} <= live:
            changed = dataclasses.replace(entry, moving_to=receiver.id)
            entries = self.store.entries()
            entries[slot] = changed
            name = ownership.ChunkName(GROUP, 0)
            value = ownership.encode_chunk(entries)
            self.store.write(ownership.chunk_key(name), value)

    async def settle(self, duration_ms, step_ms=50):
        """Advances time; all members receive store events at each step."""
        for _ in range(0, duration_ms, step_ms):
            for member in self.members:
                member.catch_up()
            await self.clock.advance(step_ms)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def serving_members(self, slot):
        """Returns the members that admit a request to a slot at present."""
        found = []
        for member in self.members:
            result = member.holdings.admit(GROUP, ids.SlotIndex(slot))
            if isinstance(result, ownership.Admitted):
                member.holdings.end_request(GROUP, ids.SlotIndex(slot))
                found.append(member)
        return found

    def owner_ids(self):
        return [entry.owner for entry in self.store.entries()]

    def check_intervals(self):
        """Asserts that no slot was served by two members at the same time."""
        by_slot = collections.defaultdict(list)
        now_wall_ms = self.clock.wall_ms()
        for member in self.members:
            if member.lease.lapsed_ms is not None:
                member.holdings.drop_all()
            for interval in member.holdings.intervals:
                end_ms = interval.to_wall_ms
                if end_ms is None:
                    end_ms = now_wall_ms
                times = (interval.from_wall_ms, end_ms)
                item = (interval.epoch, times, member.id)
                by_slot[interval.slot].append(item)
        for intervals in by_slot.values():
            intervals.sort()
            for earlier, later in itertools.pairwise(intervals):
                assert earlier[1][1] <= later[1][0]
                assert earlier[0] < later[0] or earlier[2] == later[2]
