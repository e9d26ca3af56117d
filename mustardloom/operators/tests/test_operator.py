"""Tests of queries and commands over the in-memory store."""

import asyncio
import dataclasses
import json
from typing import Any

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import operators
from mustardloom import store as store_lib
from mustardloom.declarations import catalog
from mustardloom.declarations import envelope
from mustardloom.declarations import model
from mustardloom.membership import fencing
from mustardloom.membership import records
from mustardloom.operators import results
from mustardloom.operators.commands import capacity_check
from mustardloom.ownership import slot_map
from mustardloom.ownership import slots
from mustardloom.relay import peers as peers_lib
from mustardloom.relay import replica as replica_lib
from mustardloom.relay.wire import peer_pb2
from mustardloom.routing import routes

_GROUP = ids.GroupId("salio@*")
_BOUND = ids.GroupId("salio@pwani")
_PWANI = ids.RegionId("pwani")
_ZIWA = ids.RegionId("ziwa")
_SALIO = ids.ServiceId("salio")
_ZONES = {
    ids.AvailabilityZoneId("pwani-1"): _PWANI,
    ids.AvailabilityZoneId("pwani-2"): _PWANI,
    ids.AvailabilityZoneId("ziwa-1"): _ZIWA,
}
_SLOT_COUNT = 8
_CAPACITY = 6
_SET = model.DeclarationSet(
    id=ids.SetId("kibanda"),
    regions=(_PWANI, _ZIWA),
    availability_zones=tuple(
        model.AvailabilityZone(zone, region) for zone, region in _ZONES.items()
    ),
    services=(
        model.Service(id=_SALIO, keyed=True, slot_count=_SLOT_COUNT),
        model.Service(id=ids.ServiceId("malipo")),
    ),
    routes=(
        model.Route(id=ids.RouteId("salio"), prefix="/salio", service=_SALIO),
    ),
    organisations=(
        model.Organisation(
            id=ids.OrganisationId("hazina"), home_regions=(_PWANI,)
        ),
    ),
)


class _Configuration:
    def __init__(self, replica):
        self.table = routes.RouteTable([_SET])
        self.version_by_set = {}
        self._replica = replica

    def is_stopped(self, record):
        zone, target = model.StopKind.AVAILABILITY_ZONE, model.StopKind.TARGET
        names = ((zone, record.availability_zone), (target, record.vm))
        events = (self._replica.get(model.stop_key(*name)) for name in names)
        return any(
            catalog.decode_stop(event.value).value.active
            for event in events
            if event is not None
        )

    def groups(self):
        return iter([(_GROUP, _SLOT_COUNT), (_BOUND, _SLOT_COUNT)])


class _Peers:
    member = ids.MemberId("none~0")

    def __init__(self, running):
        self._running = running

    def handle(self, body_type, handler):
        pass

    async def call(self, member, body, timeout_ms):
        running = self._running.get(ids.vm_of(member), 0)
        if running is None:
            raise peers_lib.PeerLost("silent")
        load = peer_pb2.Load(running=running, limit=_CAPACITY)
        return peer_pb2.Report(gate=load, config_versions={"kibanda": 3})


class _Endpoint:
    member = ids.MemberId("none~0")

    def handle(self, kind, handler):
        pass

    def send(self, receiver, message):
        raise AssertionError("no witness is asked")


async def _no_report(target_report):
    raise AssertionError("no own report is asked for")


@dataclasses.dataclass
class _Node:
    """A daemon as operators see it."""

    operator: operators.Operator
    replica: replica_lib.Replica
    platform: store_lib.MemoryPlatform
    slots: slot_map.SlotMap

    async def sync(self):
        batch = await self.platform.watch(self.replica.version, 1)
        since = self.replica.version
        self.replica.apply(batch.events, since, batch.version)


class _World:
    """Two daemons over one store, on a fake clock."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.store = store_lib.MemoryStore(self.clock)
        self.running = {}
        self.loop = asyncio.new_event_loop()
        self.nodes = [self._node(), self._node()]
        self.finish(self._fill())
        self.sync()

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def finish(self, *work, limit_ms=None):
        """Advances the clock until all work is done, or to the limit."""

        async def main():
            tasks = [asyncio.ensure_future(each) for each in work]
            start_ms = self.clock.now_ms()
            while not all(task.done() for task in tasks):
                elapsed_ms = self.clock.now_ms() - start_ms
                if limit_ms is not None and elapsed_ms >= limit_ms:
                    break
                assert elapsed_ms < 60_000
                await self.clock.advance(25)
            for task in tasks:
                task.cancel()
            return await asyncio.gather(*tasks, return_exceptions=True)

        answers = self.loop.run_until_complete(main())
        for answer in answers:
            is_cancelled = isinstance(answer, asyncio.CancelledError)
            if isinstance(answer, BaseException) and not is_cancelled:
                raise answer
        return [None if isinstance(a, BaseException) else a for a in answers]

    def do(self, line, who="amina", node=0, operation=None):
        work = self.nodes[node].operator.execute(line, who, operation)
        return self.finish(work)[0]

    def sync(self):
        self.finish(*(node.sync() for node in self.nodes))

    def objects(self, prefix=""):
        return {
            item.key: item.value
            for item in self.store._by_key.values()
            if item.key.startswith(prefix) and item.value is not None
        }

    async def _fill(self):
        store = self.nodes[0].platform
        stored = envelope.StoredObject(_SET, 1)
        await store.update("config/kibanda", catalog.encode(stored), 0)
        for zone, region in _ZONES.items():
            record = records.MemberRecord(
                member=_member(zone),
                region=region,
                availability_zone=zone,
                caller_address=records.Address("127.0.0.1", 1),
                peer_address=records.Address("127.0.0.1", 2),
                state=records.MemberState.ACTIVE,
                service=_SALIO,
                capacity=_CAPACITY,
            )
            key = records.member_key(record.member)
            await store.update(key, records.encode(record), 0)
        entry = slot_map.SlotEntry(_member("pwani-1"), ids.Epoch(1))
        chunk = slot_map.encode_chunk([entry] * _SLOT_COUNT)
        for group in (_GROUP, _BOUND):
            name = slot_map.ChunkName(group, 0)
            await store.update(slot_map.chunk_key(name), chunk, 0)

    def _node(self):
        metrics = metrics_lib.Metrics()
        replica = replica_lib.Replica()
        client = store_lib.MemoryPlatform(self.clock, self.store)
        members = records.Members(replica)
        slots_view = slot_map.SlotMap(replica)

        def publish(event):
            replica.apply([event], replica.version, replica.version)

        view = operators.View(
            clock=self.clock,
            replica=replica,
            members=members,
            slots=slots_view,
            configuration=_Configuration(replica),
            figures=operators.ReportCollector(
                _Peers(self.running), _no_report, self.clock, metrics
            ),
            history=operators.OwnerHistory(slots_view, self.clock),
        )
        endpoint: Any = _Endpoint()
        fencer = fencing.Fencer(
            client, replica, members, endpoint, self.clock, metrics, publish
        )
        operator = operators.Operator(view, client, publish, fencer, metrics)
        return _Node(operator, replica, client, slots_view)


def _member(zone):
    return ids.MemberId(f"salio-{zone}~0")


@pytest.fixture
def world():
    """Two daemons over one store."""
    made = _World()
    yield made
    made.close()


def _entry(world, slot, group=_GROUP):
    return world.nodes[0].slots.entry(group, slot)


def _trail(world, key):
    """Returns all audit entries of an object, oldest first."""
    found = {}
    stored = world.objects(key).get(key)
    if stored is not None:
        kind = envelope.StoredObject[msgspec.Raw]
        for entry in msgspec.json.decode(stored, type=kind).audit:
            found[entry.sequence] = entry
    for value in world.objects(f"audit/{key}/").values():
        entry = msgspec.json.decode(value, type=envelope.AuditEntry)
        assert found.setdefault(entry.sequence, entry) == entry
    return [found[sequence] for sequence in sorted(found)]


def test_stop_that_does_not_fit_names_services_and_figures(world):
    """Guards against a stop that overloads what remains."""
    world.running.update({"salio-pwani-1": 6, "salio-pwani-2": 1})
    answer = world.do("stop availability-zone pwani-2")
    assert isinstance(answer, results.Refused)
    (short,) = answer.shortfalls
    assert (short.service, short.group) == ("salio", _BOUND)
    assert (short.remaining, short.running, short.needed) == (6, 7, 9)
    assert "salio@pwani" in answer.message
    assert not world.objects("stops/")
    forced = world.do("stop availability-zone pwani-2 force")
    assert isinstance(forced, results.Applied)


def test_silent_target_counts_as_full(world):
    """Guards against a check that takes no answer for no load."""
    world.running["salio-pwani-1"] = None
    answer = world.do("stop target salio-pwani-2")
    assert isinstance(answer, results.Refused)
    assert answer.shortfalls[0].silent == 1


def test_stop_that_fits_is_carried_out(world):
    """Guards against a check that refuses what the rest can handle."""
    world.running.update({"salio-pwani-1": 2, "salio-pwani-2": 3})
    answer = world.do("stop target salio-pwani-2")
    assert isinstance(answer, results.Applied)


def test_concurrent_stops_count_each_other(world):
    """Guards against two stops that fit alone but not together."""
    answers = world.finish(
        world.nodes[0].operator.execute("stop availability-zone pwani-1", "a"),
        world.nodes[1].operator.execute("stop availability-zone pwani-2", "b"),
    )
    kinds = {type(answer) for answer in answers}
    assert kinds == {results.Applied, results.Refused}


def test_pending_stop_of_a_lost_daemon_counts_for_a_while_only(world):
    """Guards against refusals for a stop that was never carried out."""
    world.store.faults.slow_ms = 30
    lost = world.nodes[0].operator.execute("stop target salio-pwani-1", "a")
    world.finish(lost, limit_ms=100)
    world.store.faults.slow_ms = 0
    assert not world.objects("stops/")
    assert world.objects("guards/")
    line = "stop target salio-pwani-2"
    assert isinstance(world.do(line, node=1), results.Refused)
    world.finish(world.clock.sleep_ms(10_000))
    assert isinstance(world.do(line, node=1), results.Applied)


def test_loser_of_a_race_learns_of_the_other_change(world):
    """Guards against a conflict that does not say whose change came first."""
    world.do("stop availability-zone ziwa-1")
    world.do("start availability-zone ziwa-1", "brian", node=1)
    world.sync()
    world.do("stop availability-zone ziwa-1", "chao", node=1)
    # Node 0 has not seen that change yet.
    world.do("start availability-zone ziwa-1", "dalia", node=1)
    answer = world.do("stop availability-zone ziwa-1")
    assert isinstance(answer, results.Conflict)
    assert answer.other is not None
    assert answer.other.who == "dalia"
    assert answer.other.command == "start availability-zone ziwa-1"
    assert results.status_of(answer) == 409
    again = world.do("stop availability-zone ziwa-1")
    assert isinstance(again, results.Applied)


def test_repeated_command_writes_nothing(world):
    """Guards against audit entries for commands that change nothing."""
    first = world.do("stop availability-zone ziwa-1")
    version = world.store.version
    again = world.do("stop availability-zone ziwa-1", "brian", node=1)
    assert isinstance(again, results.AlreadyInForce)
    assert again.by is not None
    assert again.by.operation == first.operation
    assert world.store.version == version


def test_resend_is_not_applied_after_a_later_change(world):
    """Guards against a lost answer that undoes the next operator's change."""
    operation = ids.OperationId("resent")
    line = "stop availability-zone ziwa-1"
    world.do(line, operation=operation)
    for _ in range(envelope.MAX_AUDIT_ENTRIES):
        world.do("start availability-zone ziwa-1")
        world.do(line)
    world.do("start availability-zone ziwa-1")
    assert isinstance(world.do(line, operation=operation), results.Applied)
    stored = world.objects("stops/")["stops/availability-zone/ziwa-1"]
    assert not catalog.decode_stop(stored).value.active


def test_write_found_after_the_deadline_is_acknowledged(world):
    """Guards against a conflict of a command with its own late success."""
    world.do("stop availability-zone ziwa-1")
    faults = world.store.faults
    faults.lose_answers = 1
    version = world.store.version

    async def outage():
        while world.store.version == version:
            await world.clock.sleep_ms(1)
        faults.down = True
        # The write is given up at 3,175 ms, at the end of its last pause.
        await world.clock.sleep_ms(3_100)
        faults.down = False

    line = "start availability-zone ziwa-1"
    command = world.nodes[0].operator.execute(line, "amina")
    answer, _ = world.finish(command, outage())
    assert isinstance(answer, results.Applied)
    assert world.clock.now_ms() > 4_000


def test_command_that_may_land_late_is_undecided(world):
    """Guards against "nothing was changed" before a write that lands late."""
    line = "start availability-zone ziwa-1"
    world.do("stop availability-zone ziwa-1")
    faults = world.store.faults
    operation = ids.OperationId("late")

    async def slow():
        # Covers the read; the write that follows lands at 4,040 ms.
        faults.slow_ms = 40
        await world.clock.sleep_ms(20)
        faults.slow_ms = 4_000
        await world.clock.sleep_ms(3_000)
        faults.slow_ms = 0

    command = world.nodes[0].operator.execute(line, "amina", operation)
    _, answer = world.finish(slow(), command)
    assert isinstance(answer, results.Undecided)
    world.finish(world.clock.sleep_ms(2_000))
    again = world.do(line, operation=operation)
    assert isinstance(again, results.Applied)
    key = "stops/availability-zone/ziwa-1"
    assert [e.operation for e in _trail(world, key)][1:] == [operation]


def test_unknown_names_are_reported_together(world):
    """Guards against an operator who learns of one fault at a time."""
    for line, names in (
        ("move slot 1 of salio@nowhere to nobody", ("salio@now", "nobody")),
        ("owner of k in salo for soko", ("salo", "soko")),
    ):
        answer = world.do(line)
        columns = [line.index(name) + 1 for name in names]
        assert [f.column for f in answer.findings] == columns
    assert "did you mean 'salio'" in answer.message
    answer = world.do("targets in nowhere of nothing")
    assert results.status_of(answer) == 422
    assert len(answer.findings) == 2


def test_owner_names_slot_group_and_cause(world):
    """Guards against an owner query in the wrong group."""
    answer = world.do("owner of k in salio for hazina")
    (row,) = answer.rows
    cells = dict(zip(answer.columns, row, strict=True))
    assert cells["vm"] == "salio-pwani-1"
    assert cells["group"] == _BOUND
    assert cells["slot"] == slots.slot_of("k", _SLOT_COUNT)
    assert (cells["why"], cells["since"]) == ("assigned", None)


def test_move_names_the_receiver_once(world):
    """Guards against moves that are ordered twice or of the wrong slot."""
    line = "move slot 3 of salio@* to salio-ziwa-1"
    assert isinstance(world.do(line), results.Applied)
    assert _entry(world, 3).moving_to == _member("ziwa-1")
    assert _entry(world, 4).moving_to is None
    assert isinstance(world.do(line), results.AlreadyInForce)
    world.sync()
    other = world.do(line.replace("ziwa-1", "pwani-2"), node=1)
    assert isinstance(other, results.Conflict)
    assert other.other is not None
    assert other.other.command == line
    assert len(_trail(world, "orders/slots/salio@*/3")) == 1


def test_move_of_a_key_does_not_store_the_key(world):
    """Guards against keys that leave their home regions in audit entries."""
    answer = world.do("move key secret-account of salio to salio-ziwa-1")
    assert isinstance(answer, results.Applied)
    assert "for now" in answer.message
    for value in world.objects().values():
        assert b"secret-account" not in value


def test_overtaken_move_is_withdrawn(world):
    """Guards against moves that act on an owner their author never saw."""
    taken = slot_map.SlotEntry(_member("pwani-2"), ids.Epoch(2))
    chunk = slot_map.encode_chunk([taken] * _SLOT_COUNT)
    key = slot_map.chunk_key(slot_map.ChunkName(_GROUP, 0))
    version = world.nodes[1].replica.version_of(key)
    world.finish(world.nodes[1].platform.update(key, chunk, version))
    answer = world.do("move slot 3 of salio@* to salio-ziwa-1")
    assert isinstance(answer, results.Conflict)
    assert _entry(world, 3) == taken
    ordered, withdrawn = _trail(world, "orders/slots/salio@*/3")
    assert json.loads(withdrawn.after)["is_withdrawn"]
    assert ordered.operation != withdrawn.operation


def test_confirm_lost_fences_only_what_does_not_answer(world):
    """Guards against fencing a daemon that still serves."""
    line = "confirm lost salio-ziwa-1"
    assert isinstance(world.do(line), results.Refused)
    world.running["salio-ziwa-1"] = None
    assert isinstance(world.do(line), results.Applied)
    stored = world.objects()[records.member_key(_member("ziwa-1"))]
    assert records.decode(stored).state is records.MemberState.FENCED
    assert isinstance(world.do(line), results.AlreadyInForce)


def test_configuration_tells_who_lags_and_who_is_silent(world):
    """Guards against a silent daemon that passes for one up to date."""
    world.running["salio-ziwa-1"] = None
    answer = world.do("configuration")
    states = {row[0]: row[-1] for row in answer.rows}
    assert states["salio-pwani-1"] == "in force"
    assert states["salio-ziwa-1"] == "no answer"


def test_queries_answer_during_an_outage(world):
    """Guards against queries that depend on the store."""
    world.store.set_faults(store_lib.Faults(down=True))
    for line in ("owner of k in salio", "targets", "stops", "audit", "help"):
        assert isinstance(world.do(line), results.Table)
    answer = world.do("stop availability-zone ziwa-1")
    assert isinstance(answer, results.Unavailable)
    assert results.status_of(answer) == 503


@pytest.mark.parametrize(
    ("running", "needed"), [(0, 1), (1, 2), (5, 6), (6, 8), (20, 24)]
)
def test_margin(running, needed):
    """Guards against a margin that rounds down."""
    assert capacity_check.needed_capacity(running) == needed


_ZONE = strategies.sampled_from(["pwani-1", "ziwa-1"])
_VERB = strategies.sampled_from(["stop", "start"])
_NODE = strategies.sampled_from([0, 1])


class _TwoOperators(stateful.RuleBasedStateMachine):
    """Two operators, lost answers, lost daemons, slow stores and outages."""

    def __init__(self):
        super().__init__()
        self._world = _World()
        self._numbers = iter(range(1_000))
        self._acknowledged = set()
        self._not_applied = set()
        self._open = {}
        self._pushed: list[store_lib.Event] = []
        self._newest: list[dict[str, int]] = [{}, {}]
        self._entry_limit = envelope.MAX_AUDIT_ENTRIES
        # Few entries per object, so that displaced ones are common.
        envelope.MAX_AUDIT_ENTRIES = 2

    def teardown(self):
        envelope.MAX_AUDIT_ENTRIES = self._entry_limit
        self._world.close()

    @stateful.rule(node=_NODE, verb=_VERB, zone=_ZONE)
    def command(self, node, verb, zone):
        self._run([self._new(verb, zone, node)])

    @stateful.rule(verbs=strategies.tuples(_VERB, _VERB), zone=_ZONE)
    def race(self, verbs, zone):
        orders = [self._new(verb, zone, i) for i, verb in enumerate(verbs)]
        self._run(orders)

    @stateful.rule(
        node=_NODE,
        verb=_VERB,
        zone=_ZONE,
        limit_ms=strategies.sampled_from([0, 25, 50, 1_000, 2_500]),
    )
    def daemon_lost(self, node, verb, zone, limit_ms):
        self._run([self._new(verb, zone, node)], limit_ms)

    @stateful.precondition(lambda self: self._open)
    @stateful.rule(data=strategies.data(), node=_NODE)
    def resend(self, data, node):
        operation = data.draw(strategies.sampled_from(sorted(self._open)))
        self._run([(self._open[operation], node, operation)])

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_answers(self, count):
        self._world.store.faults.lose_answers = count

    @stateful.rule(slow_ms=strategies.sampled_from([0, 30, 700, 1_300]))
    def slow(self, slow_ms):
        self._world.store.faults.slow_ms = slow_ms

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self._world.store.faults.down = down

    @stateful.precondition(lambda self: not self._world.store.faults.down)
    @stateful.rule(node=_NODE)
    def sync(self, node):
        self._world.finish(self._world.nodes[node].sync())

    @stateful.precondition(lambda self: self._pushed)
    @stateful.rule(data=strategies.data(), node=_NODE)
    def late_push(self, data, node):
        event = data.draw(strategies.sampled_from(self._pushed))
        replica = self._world.nodes[node].replica
        replica.apply([event], replica.version, replica.version)

    @stateful.rule()
    def wait(self):
        self._world.finish(self._world.clock.sleep_ms(4_000))

    @stateful.invariant()
    def each_change_is_in_the_trail_once(self):
        keys = self._world.objects("stops/")
        trails = {key: _trail(self._world, key) for key in keys}
        entries = [entry for trail in trails.values() for entry in trail]
        operations = [entry.operation for entry in entries]
        assert len(operations) == len(set(operations))
        assert self._acknowledged <= set(operations)
        assert not self._not_applied & set(operations)

    @stateful.invariant()
    def trail_is_complete(self):
        for key, value in self._world.objects("stops/").items():
            trail = _trail(self._world, key)
            stored = catalog.decode_stop(value)
            assert [e.sequence for e in trail] == list(
                range(1, stored.sequence + 1)
            )
            before = ""
            was_active = False
            for entry in trail:
                assert entry.before == before
                is_active = json.loads(entry.after)["active"]
                assert is_active != was_active
                before, was_active = entry.after, is_active
            assert stored.value.active == was_active

    @stateful.invariant()
    def versions_never_go_back(self):
        for node, newest in zip(self._world.nodes, self._newest, strict=True):
            for event in node.replica.select("stops/"):
                assert event.version >= newest.get(event.key, 0)
                if event.version > newest.get(event.key, 0):
                    self._pushed.append(event)
                newest[event.key] = event.version

    def _new(self, verb, zone, node):
        operation = ids.OperationId(f"operation-{next(self._numbers)}")
        return f"{verb} availability-zone {zone}", node, operation

    def _run(self, orders, limit_ms=None):
        work = [
            self._world.nodes[node].operator.execute(line, "amina", operation)
            for line, node, operation in orders
        ]
        answers = self._world.finish(*work, limit_ms=limit_ms)
        for (line, _, operation), answer in zip(orders, answers, strict=True):
            is_resend = operation in self._open
            self._judge(line, operation, answer, is_resend)

    def _judge(self, line, operation, answer, is_resend):
        match answer:
            case results.Applied():
                assert answer.operation == operation
                self._acknowledged.add(operation)
            case None | results.Undecided():
                self._open[operation] = line
            case _ if not is_resend:
                self._not_applied.add(operation)


_TwoOperators.TestCase.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    database=None,
)
TestTwoOperators = _TwoOperators.TestCase
