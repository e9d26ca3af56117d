"""Simulated fleet of daemons on a fake clock, network and store."""

import asyncio
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.membership import announcer as announcer_lib
from mustardloom.membership import fake_network
from mustardloom.membership import fencing
from mustardloom.membership import lapse_handler
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import lease_renewer as lease_renewer_lib
from mustardloom.membership import own_record
from mustardloom.membership import records
from mustardloom.membership import witness
from mustardloom.relay import authentication
from mustardloom.relay import replica as replica_lib

CHECK_INTERVAL_MS = 25
STORE_DELAY_MS = 5
LATE_MS = 1_500
TARGET = announcer_lib.TargetAnnouncement(
    service=ids.ServiceId("salio"), capacity=6, instance="i-1"
)


class FakeStore:
    """Object store with outages, lost answers and delayed writes."""

    def __init__(self, clock):
        self.clock = clock
        self.by_key = {}
        self.version = ids.NO_VERSION
        self.is_up = True
        self.lost_answers = 0
        self.late_until_ms = 0
        self.writes = 0
        self.listeners = []
        self._tasks = set()

    def apply(self, key, value, expected):
        current = self.by_key.get(key)
        if (current.version if current else 0) != expected:
            return store_lib.Conflict(current)
        self.version = ids.Version(self.version + 1)
        self.writes += 1
        if value is None:
            del self.by_key[key]
        else:
            self.by_key[key] = store_lib.Versioned(key, self.version, value)
        for listener in self.listeners:
            listener(store_lib.Event(key, self.version, value))
        return store_lib.Written(self.version)

    def apply_late(self, key, value, expected):
        async def run():
            await self.clock.sleep_ms(LATE_MS)
            self.apply(key, value, expected)

        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record(self, member):
        found = self.by_key.get(records.member_key(member))
        return records.decode(found.value) if found else None


class ProcessStore:
    """Store client of one process; its calls wait while that is paused."""

    def __init__(self, store, process):
        self.store = store
        self.process = process

    async def get(self, key):
        await self._call()
        found = self.store.by_key.get(key)
        await self.process.clock.sleep_ms(STORE_DELAY_MS)
        return found

    async def update(self, key, value, expected):
        await self._call()
        if self.store.clock.now_ms() < self.store.late_until_ms:
            self.store.apply_late(key, value, expected)
            return store_lib.Undecided(ids.OperationId("late"))
        result = self.store.apply(key, value, expected)
        if self.store.lost_answers:
            self.store.lost_answers -= 1
            result = store_lib.Undecided(ids.OperationId("lost"))
        await self.process.clock.sleep_ms(STORE_DELAY_MS)
        return result

    async def delete(self, key, expected):
        return await self.update(key, None, expected)

    async def list_objects(self, prefix=""):
        raise store_lib.PlatformUnavailable

    async def watch(self, after, wait_ms):
        raise store_lib.PlatformUnavailable

    async def _call(self):
        await self.process.clock.sleep_ms(STORE_DELAY_MS)
        if not self.store.is_up or not self.process.reaches_store:
            raise store_lib.PlatformUnavailable


class ProcessClock(clock_lib.Clock):
    """Clock on which no sleep ends while the process is paused."""

    def __init__(self, clock):
        self.running = asyncio.Event()
        self.running.set()
        self._clock = clock

    def now_ms(self):
        return self._clock.now_ms()

    def wall_ms(self):
        return self._clock.wall_ms()

    async def sleep_ms(self, duration_ms):
        await self._clock.sleep_ms(duration_ms)
        await self.running.wait()


class CheckedLease(lease_lib.Lease):
    """Lease that checks the whole fleet at each acknowledgement."""

    def __init__(self, fleet, clock):
        super().__init__(clock)
        self.fleet = fleet

    def acknowledge(self, witness, sent_ms):
        super().acknowledge(witness, sent_ms)
        self.fleet.record_violations()


@dataclasses.dataclass
class Incarnation:
    """One incarnation of a process: its member id, record and lease."""

    member: ids.MemberId
    lease: lease_lib.Lease
    own: own_record.OwnRecord
    renewer: lease_renewer_lib.LeaseRenewer
    announcer: announcer_lib.Announcer


class Process:
    """One daemon process; `Fleet.start_vm` starts another at its address."""

    def __init__(self, fleet, vm, zone, region, address):
        self.fleet = fleet
        self.vm = vm
        self.zone = zone
        self.region = region
        self.address = address
        self.clock = ProcessClock(fleet.clock)
        self.metrics = metrics_lib.Metrics()
        self.reaches_store = True
        self.incarnations = []
        self.tasks = set()
        self.pending_events = []
        self.client = ProcessStore(fleet.store, self)
        self.replica = replica_lib.Replica()
        self.members = records.MemberView(self.replica)
        self.endpoint = fake_network.FakeEndpoint(
            fleet.network,
            address,
            fleet.new_member(vm),
            authentication.Authenticator(b"key"),
            self.metrics,
        )
        self.fencer = fencing.Fencer(
            self.client,
            self.replica,
            self.members,
            self.endpoint,
            self.clock,
            self.metrics,
            self.adopt,
        )
        self.lapses = lapse_handler.LapseHandler(
            self.fencer,
            self.members,
            self.endpoint,
            self.clock,
            lambda fenced: None,
        )
        self.table = witness.WitnessTable(
            self.endpoint,
            self.members,
            self.clock,
            self.metrics,
            self.lapses.notify_candidates,
        )
        fleet.store.listeners.append(self.on_store_event)
        self.catch_up()
        self.spawn(self.table.run())
        self.start_incarnation(self.endpoint.member)

    @property
    def incarnation(self):
        return self.incarnations[-1]

    @property
    def member(self):
        return self.incarnation.member

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start_incarnation(self, member):
        record = records.MemberRecord(
            member=member,
            region=self.region,
            availability_zone=self.zone,
            caller_address=self.address,
            peer_address=self.address,
        )
        lease = CheckedLease(self.fleet, self.clock)
        own = own_record.OwnRecord(
            record, self.client, lease, self.metrics, self.adopt
        )
        renewer = lease_renewer_lib.LeaseRenewer(
            own,
            lease,
            self.members,
            self.endpoint,
            self.clock,
            self.metrics,
            lambda _: self.start_incarnation(self.fleet.new_member(self.vm)),
        )
        announcer = announcer_lib.Announcer(own, renewer, self.clock)
        self.incarnations.append(
            Incarnation(member, lease, own, renewer, announcer)
        )
        self.spawn(renewer.run())
        self.spawn(self.announce(announcer))

    async def announce(self, announcer):
        try:
            await announcer.create()
            await announcer.register_target(TARGET)
        except own_record.LifeEnded:
            pass

    def adopt(self, event):
        self.replica.apply([event], ids.NO_VERSION, ids.NO_VERSION)

    def on_store_event(self, event):
        if not self.reaches_store:
            return
        if self.clock.running.is_set():
            self.adopt(event)
        else:
            self.pending_events.append(event)

    def catch_up(self):
        store = self.fleet.store
        listing = store_lib.Listing(tuple(store.by_key.values()), store.version)
        self.replica.apply_listing(listing, "", listing.version)

    def pause(self):
        self.clock.running.clear()
        self.endpoint.pause()

    def resume(self):
        self.clock.running.set()
        self.endpoint.resume()
        for event in self.pending_events:
            self.adopt(event)
        self.pending_events = []

    def kill(self):
        self.endpoint.close()
        self.fleet.store.listeners.remove(self.on_store_event)
        for task in self.tasks:
            task.cancel()


class Fleet:
    """All processes by VM; checks that no fenced member holds its lease."""

    def __init__(self, layout):
        """Takes the pairs of region and zone of the VMs."""
        self.clock = clock_lib.FakeClock()
        self.network = fake_network.FakeNetwork(self.clock)
        self.store = FakeStore(self.clock)
        self.store.listeners.append(lambda _: self.record_violations())
        self.violations = set()
        self.all_incarnations = []
        self.by_vm = {}
        self._members = 0
        self._layout = layout

    def new_member(self, vm):
        self._members += 1
        return ids.MemberId(f"{vm}~{self._members:08x}")

    async def start(self, settle_ms=8_000):
        for number in range(len(self._layout)):
            self.start_vm(number)
            await self.advance(20)
        await self.advance(settle_ms)
        return self

    def start_vm(self, number):
        region, zone = self._layout[number]
        address = records.Address("127.0.0.1", 1_000 + number)
        vm = ids.VmId(f"vm-{number}")
        self.by_vm[vm] = Process(self, vm, zone, region, address)
        self.all_incarnations.append(self.by_vm[vm].incarnations)
        return self.by_vm[vm]

    def process_of(self, member):
        return self.by_vm[ids.vm_of(member)]

    def in_region(self, region):
        return [p for p in self.by_vm.values() if p.region == region]

    def kill(self, process):
        process.kill()
        del self.by_vm[process.vm]

    def cut(self, processes):
        """Separates processes from all others and from the store."""
        self.network.partition({p.address for p in processes})
        for process in processes:
            process.reaches_store = False

    def heal(self):
        self.network.heal()
        for process in self.by_vm.values():
            if not process.reaches_store:
                process.reaches_store = True
                process.catch_up()

    async def close(self):
        for process in list(self.by_vm.values()):
            self.kill(process)
        await asyncio.sleep(0)

    def record_violations(self):
        """Records members that hold a lease although fenced or deleted."""
        for incarnations in self.all_incarnations:
            for incarnation in incarnations:
                if not incarnation.lease.is_held():
                    continue
                record = self.store.record(incarnation.member)
                fenced = records.MemberState.FENCED
                if record is None or record.state is fenced:
                    self.violations.add(incarnation.member)

    def check(self):
        """Asserts that a fenced or deleted member never held a lease."""
        self.record_violations()
        assert not self.violations

    async def advance(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            left_ms = end_ms - self.clock.now_ms()
            await self.clock.advance(min(left_ms, CHECK_INTERVAL_MS))
            self.check()

    def is_fenced(self, member):
        record = self.store.record(member)
        return record.state is records.MemberState.FENCED
