"""Tests of the dissemination with a fake network and a fake clock."""

import asyncio
import random

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.relay import dissemination
from mustardloom.relay import peers as peers_lib
from mustardloom.relay import replica as replica_lib
from mustardloom.store import memory

_ZONES = [ids.AvailabilityZoneId(f"zone-{n}") for n in range(4)]


class _Network:
    """Delivers messages between daemons and loses a share of the pushes.

    Attributes:
      by_member: Disseminators of all daemons.
      cut: Members that are cut off.
    """

    def __init__(self, loss=0.0):
        self.by_member = {}
        self.cut = set()
        self._loss = loss
        self._random = random.Random(7)
        self._tasks = set()

    def deliver(self, sender, receiver, push):
        lost = self._random.random() < self._loss
        if lost or self.cut & {sender, receiver}:
            return
        node = self.by_member[receiver]
        task = asyncio.ensure_future(node.on_push(sender, push))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _Channel:
    def __init__(self, member, network):
        self.member = member
        self._network = network

    def notify(self, member, body):
        self._network.deliver(self.member, member, body)

    async def call(self, member, body, timeout_ms):
        if self._network.cut & {self.member, member}:
            raise peers_lib.PeerUnreachable
        node = self._network.by_member[member]
        return await node.on_summary(self.member, body)


class _Topology:
    def __init__(self, zone, infos):
        self._zone = zone
        self._infos = infos

    def own_zone(self):
        return self._zone

    def peer_infos(self):
        return self._infos


class _Fleet:
    """Daemons in four availability zones with one store."""

    def __init__(self, size, loss=0.0):
        self.clock = clock_lib.FakeClock()
        self.store = memory.MemoryPlatform(self.clock)
        self.network = _Network(loss)
        self.replicas = {}
        infos = [
            dissemination.PeerInfo(
                ids.MemberId(f"vm-{n}~0"), _ZONES[n % len(_ZONES)]
            )
            for n in range(size)
        ]
        self._tasks = []
        for seed, info in enumerate(infos):
            replica = replica_lib.Replica()
            node = dissemination.Disseminator(
                replica,
                self.store,
                _Channel(info.member, self.network),
                _Topology(info.zone, tuple(infos)),
                self.clock,
                metrics_lib.Metrics(),
                seed,
            )
            self.replicas[info.member] = replica
            self.network.by_member[info.member] = node

    async def start(self):
        for node in self.network.by_member.values():
            self._tasks.append(asyncio.create_task(node.watch()))
            self._tasks.append(asyncio.create_task(node.repair()))
        await self.clock.advance(100)

    async def write(self, key):
        result = await self.store.update(key, b"1", ids.NO_VERSION)
        assert isinstance(result, store_lib.Written)
        return store_lib.Event(key, result.version, b"1")

    def set_store_down(self):
        self.store.store.set_faults(memory.Faults(down=True))

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def members_without(self, key):
        return [m for m, r in self.replicas.items() if r.get(key) is None]


def _run(fleet, scenario):
    async def main():
        await fleet.start()
        try:
            await scenario()
        finally:
            await fleet.stop()

    asyncio.run(main())


def test_only_two_daemons_of_a_zone_watch_the_store():
    """Guards against a watch call from every daemon at the store."""
    fleet = _Fleet(40)

    async def scenario():
        watchers = [
            node
            for node in fleet.network.by_member.values()
            if node.is_watcher()
        ]
        assert len(watchers) == 2 * len(_ZONES)
        assert fleet.store.calls["watch"] == len(watchers)

    _run(fleet, scenario)


def test_change_reaches_every_daemon_through_the_tree():
    """Guards against members to which no push is forwarded."""
    fleet = _Fleet(60)

    async def scenario():
        await fleet.write("config/a")
        await fleet.clock.advance(50)
        assert fleet.members_without("config/a") == []

    _run(fleet, scenario)


def test_lost_pushes_are_repaired_within_the_limit():
    """Guards against a missed push that is never repaired (limit 4 s)."""
    fleet = _Fleet(60, loss=0.5)

    async def scenario():
        for number in range(10):
            await fleet.write(f"config/{number}")
            await fleet.clock.advance(100)
        await fleet.clock.advance(4_000)
        for number in range(10):
            assert fleet.members_without(f"config/{number}") == []

    _run(fleet, scenario)


def test_cut_off_daemon_catches_up_from_a_peer_during_an_outage():
    """Guards against repairs that depend on the store."""
    fleet = _Fleet(12)

    async def scenario():
        member = next(iter(fleet.replicas))
        fleet.network.cut.add(member)
        event = await fleet.write("config/a")
        await fleet.clock.advance(100)
        fleet.set_store_down()
        fleet.network.cut.clear()
        await fleet.clock.advance(3_000)
        assert fleet.replicas[member].version_of("config/a") == event.version

    _run(fleet, scenario)


def test_own_write_is_pushed_without_waiting_for_the_store():
    """Guards against a takeover that is delayed until a watch returns."""
    fleet = _Fleet(30)

    async def scenario():
        event = await fleet.write("slots/a/0")
        fleet.set_store_down()
        writer = next(iter(fleet.network.by_member.values()))
        writer.publish(event)
        await fleet.clock.advance(1)
        assert fleet.members_without("slots/a/0") == []

    _run(fleet, scenario)


def test_new_daemon_loads_from_a_seed_while_the_store_is_down():
    """Guards against an ingress that cannot start during an outage."""
    fleet = _Fleet(4)

    async def scenario():
        await fleet.write("config/a")
        await fleet.clock.advance(50)
        fleet.set_store_down()
        members = list(fleet.replicas)
        new_replica = replica_lib.Replica()
        node = dissemination.Disseminator(
            new_replica,
            fleet.store,
            _Channel(ids.MemberId("vm-9~0"), fleet.network),
            _Topology(_ZONES[0], ()),
            fleet.clock,
            metrics_lib.Metrics(),
        )
        assert await node.load(members[:1])
        assert new_replica.get("config/a") is not None
        assert not await node.load()

    _run(fleet, scenario)
