"""Tests of queries and commands with daemons that share an in-memory store."""

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
_PWANI_GROUP = ids.GroupId("salio@pwani")
_PWANI = ids.RegionId("pwani")
_ZIWA = ids.RegionId("ziwa")
_SALIO = ids.ServiceId("salio")
_REGION_BY_ZONE = {
    ids.AvailabilityZoneId("pwani-1"): _PWANI,
    ids.AvailabilityZoneId("pwani-2"): _PWANI,
    ids.AvailabilityZoneId("ziwa-1"): _ZIWA,
}
_SLOT_COUNT = 8
_CAPACITY = 6
_SET = model.DeclarationSet(
    id=ids.DeclarationSetId("kibanda"),
    regions=(_PWANI, _ZIWA),
    availability_zones=tuple(
        model.AvailabilityZone(zone, region)
        for zone, region in _REGION_BY_ZONE.items()
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


class _FakeConfiguration:
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
        return iter([(_GROUP, _SLOT_COUNT), (_PWANI_GROUP, _SLOT_COUNT)])


class _FakePeers:
    member = ids.MemberId("none~0")

    def __init__(self, running):
        self._running = running

    def add_handler(self, body_type, handler):
        pass

    async def call(self, member, body, timeout_ms):
        running = self._running.get(ids.vm_of(member), 0)
        if running is None:
            raise peers_lib.PeerLost("silent")
        load = peer_pb2.Load(running=running, limit=_CAPACITY)
        return peer_pb2.Report(gate=load, config_versions={"kibanda": 3})


class _FakeEndpoint:
    member = ids.MemberId("none~0")

    def handle(self, kind, handler):
        pass

    def send(self, receiver, message):
        raise AssertionError("no datagram is expected")


async def _no_report(target_report):
    raise AssertionError("no request for a local report is expected")


@dataclasses.dataclass
class _Node:
    """The parts of a daemon that operators use."""

    operator: operators.Operator
    replica: replica_lib.Replica
    platform: store_lib.MemoryPlatform
    slots: slot_map.SlotMap

    async def sync(self):
        batch = await self.platform.watch(self.replica.version, 1)
        since = self.replica.version
        self.replica.apply(batch.events, since, batch.version)


class _Cluster:
    """Two daemons that share one store, on a fake clock."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.store = store_lib.MemoryStore(self.clock)
        self.running = {}
        self.loop = asyncio.new_event_loop()
        self.nodes = [self._node(), self._node()]
        self.run(self._store_initial_state())
        self.sync()

    def close(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def run(self, *work, limit_ms=None):
        """Advances the clock until all work is done or `limit_ms` has passed.

        Returns:
          The result of each awaitable, None for those cancelled at the limit.
        """

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

    def run_line(self, line, who="amina", node=0, operation=None):
        work = self.nodes[node].operator.execute(line, who, operation)
        return self.run(work)[0]

    def sync(self):
        self.run(*(node.sync() for node in self.nodes))

    def objects(self, prefix=""):
        return {
            item.key: item.value
            for item in self.store._by_key.values()
            if item.key.startswith(prefix) and item.value is not None
        }

    async def _store_initial_state(self):
        store = self.nodes[0].platform
        stored = envelope.StoredObject(_SET, 1)
        await store.update("config/kibanda", catalog.encode(stored), 0)
        for zone, region in _REGION_BY_ZONE.items():
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
        for group in (_GROUP, _PWANI_GROUP):
            name = slot_map.ChunkName(group, 0)
            await store.update(slot_map.chunk_key(name), chunk, 0)

    def _node(self):
        metrics = metrics_lib.Metrics()
        replica = replica_lib.Replica()
        client = store_lib.MemoryPlatform(self.clock, self.store)
        members = records.MemberView(replica)
        slots_view = slot_map.SlotMap(replica)

        def publish(event):
            replica.apply([event], replica.version, replica.version)

        view = operators.View(
            clock=self.clock,
            replica=replica,
            members=members,
            slots=slots_view,
            configuration=_FakeConfiguration(replica),
            reports=operators.ReportCollector(
                _FakePeers(self.running), _no_report, self.clock, metrics
            ),
            history=operators.OwnerHistory(slots_view, self.clock),
        )
        endpoint: Any = _FakeEndpoint()
        fencer = fencing.Fencer(
            client, replica, members, endpoint, self.clock, metrics, publish
        )
        operator = operators.Operator(view, client, publish, fencer, metrics)
        return _Node(operator, replica, client, slots_view)


def _member(zone):
    return ids.MemberId(f"salio-{zone}~0")


@pytest.fixture
def cluster():
    """Two daemons that share one store."""
    created = _Cluster()
    yield created
    created.close()


def _entry(cluster, slot, group=_GROUP):
    return cluster.nodes[0].slots.entry(group, slot)


def _audit_trail(cluster, key):
    """Returns all audit entries of an object, oldest first."""
    found = {}
    stored = cluster.objects(key).get(key)
    if stored is not None:
        kind = envelope.StoredObject[msgspec.Raw]
        for entry in msgspec.json.decode(stored, type=kind).audit:
            found[entry.sequence] = entry
    for value in cluster.objects(f"audit/{key}/").values():
        entry = msgspec.json.decode(value, type=envelope.AuditEntry)
        assert found.setdefault(entry.sequence, entry) == entry
    return [found[sequence] for sequence in sorted(found)]


def test_refused_stop_names_services_and_capacity(cluster):
    """Guards against a stop that overloads the remaining targets."""
    cluster.running.update({"salio-pwani-1": 6, "salio-pwani-2": 1})
    answer = cluster.run_line("stop availability-zone pwani-2")
    assert isinstance(answer, results.Refused)
    (short,) = answer.shortfalls
    assert (short.service, short.group) == ("salio", _PWANI_GROUP)
    assert (short.remaining, short.running, short.needed) == (6, 7, 9)
    assert "salio@pwani" in answer.message
    assert not cluster.objects("stops/")
    forced = cluster.run_line("stop availability-zone pwani-2 force")
    assert isinstance(forced, results.Applied)


def test_silent_target_counts_as_full(cluster):
    """Guards against a check that treats a missing report as no load."""
    cluster.running["salio-pwani-1"] = None
    answer = cluster.run_line("stop target salio-pwani-2")
    assert isinstance(answer, results.Refused)
    assert answer.shortfalls[0].silent == 1


def test_stop_with_enough_capacity_left_is_applied(cluster):
    """Guards against refusals although the remaining capacity suffices."""
    cluster.running.update({"salio-pwani-1": 2, "salio-pwani-2": 3})
    answer = cluster.run_line("stop target salio-pwani-2")
    assert isinstance(answer, results.Applied)


def test_concurrent_stops_include_each_other(cluster):
    """Guards against two stops that leave enough capacity only separately.

    Both daemons check at the same time, before either stop is stored.
    """
    answers = cluster.run(
        cluster.nodes[0].operator.execute(
            "stop availability-zone pwani-1", "a"
        ),
        cluster.nodes[1].operator.execute(
            "stop availability-zone pwani-2", "b"
        ),
    )
    kinds = {type(answer) for answer in answers}
    assert kinds == {results.Applied, results.Refused}


def test_pending_stop_of_a_lost_daemon_expires(cluster):
    """Guards against lasting refusals because of a stop that is never written.

    The first daemon is lost after its write of the guard, before the stop.
    """
    cluster.store.faults.slow_ms = 30
    lost = cluster.nodes[0].operator.execute("stop target salio-pwani-1", "a")
    cluster.run(lost, limit_ms=100)
    cluster.store.faults.slow_ms = 0
    assert not cluster.objects("stops/")
    assert cluster.objects("guards/")
    line = "stop target salio-pwani-2"
    assert isinstance(cluster.run_line(line, node=1), results.Refused)
    cluster.run(cluster.clock.sleep_ms(10_000))
    assert isinstance(cluster.run_line(line, node=1), results.Applied)


def test_conflict_names_the_other_change(cluster):
    """Guards against a conflict that does not name the other change."""
    cluster.run_line("stop availability-zone ziwa-1")
    cluster.run_line("start availability-zone ziwa-1", "brian", node=1)
    cluster.sync()
    cluster.run_line("stop availability-zone ziwa-1", "chao", node=1)
    # Node 0 has not seen that change yet.
    cluster.run_line("start availability-zone ziwa-1", "dalia", node=1)
    answer = cluster.run_line("stop availability-zone ziwa-1")
    assert isinstance(answer, results.Conflict)
    assert answer.other is not None
    assert answer.other.who == "dalia"
    assert answer.other.command == "start availability-zone ziwa-1"
    assert results.http_status(answer) == 409
    again = cluster.run_line("stop availability-zone ziwa-1")
    assert isinstance(again, results.Applied)


def test_repeated_command_writes_nothing(cluster):
    """Guards against audit entries for commands that change nothing."""
    first = cluster.run_line("stop availability-zone ziwa-1")
    version = cluster.store.version
    again = cluster.run_line("stop availability-zone ziwa-1", "brian", node=1)
    assert isinstance(again, results.AlreadyInForce)
    assert again.by is not None
    assert again.by.operation == first.operation
    assert cluster.store.version == version


def test_resend_is_not_applied_after_a_later_change(cluster):
    """Guards against a retry that undoes a later change.

    By the time of the retry, the audit entry of the first attempt has been
    displaced from the object.
    """
    operation = ids.OperationId("resent")
    line = "stop availability-zone ziwa-1"
    cluster.run_line(line, operation=operation)
    for _ in range(envelope.MAX_AUDIT_ENTRIES):
        cluster.run_line("start availability-zone ziwa-1")
        cluster.run_line(line)
    cluster.run_line("start availability-zone ziwa-1")
    assert isinstance(
        cluster.run_line(line, operation=operation), results.Applied
    )
    stored = cluster.objects("stops/")["stops/availability-zone/ziwa-1"]
    assert not catalog.decode_stop(stored).value.active


def test_write_found_after_the_deadline_is_acknowledged(cluster):
    """Guards against a command in conflict with its own earlier write.

    The answer to the write is lost, and an outage delays the read-back beyond
    the deadline of the write.
    """
    cluster.run_line("stop availability-zone ziwa-1")
    faults = cluster.store.faults
    faults.lose_answers = 1
    version = cluster.store.version

    async def outage():
        while cluster.store.version == version:
            await cluster.clock.sleep_ms(1)
        faults.down = True
        # The write is abandoned at 3,175 ms, at the end of its last back-off.
        await cluster.clock.sleep_ms(3_100)
        faults.down = False

    line = "start availability-zone ziwa-1"
    command = cluster.nodes[0].operator.execute(line, "amina")
    answer, _ = cluster.run(command, outage())
    assert isinstance(answer, results.Applied)
    assert cluster.clock.now_ms() > 4_000


def test_command_that_may_take_effect_later_is_undecided(cluster):
    """Guards against a reported failure of a write that succeeds later."""
    line = "start availability-zone ziwa-1"
    cluster.run_line("stop availability-zone ziwa-1")
    faults = cluster.store.faults
    operation = ids.OperationId("late")

    async def slow():
        # 40 ms for the read; the write that follows takes effect at 4,040 ms.
        faults.slow_ms = 40
        await cluster.clock.sleep_ms(20)
        faults.slow_ms = 4_000
        await cluster.clock.sleep_ms(3_000)
        faults.slow_ms = 0

    command = cluster.nodes[0].operator.execute(line, "amina", operation)
    _, answer = cluster.run(slow(), command)
    assert isinstance(answer, results.Undecided)
    cluster.run(cluster.clock.sleep_ms(2_000))
    again = cluster.run_line(line, operation=operation)
    assert isinstance(again, results.Applied)
    key = "stops/availability-zone/ziwa-1"
    assert [e.operation for e in _audit_trail(cluster, key)][1:] == [operation]


def test_unknown_names_are_reported_together(cluster):
    """Guards against a check that stops at the first unknown name."""
    for line, names in (
        ("move slot 1 of salio@nowhere to nobody", ("salio@now", "nobody")),
        ("owner of k in salo for soko", ("salo", "soko")),
    ):
        answer = cluster.run_line(line)
        columns = [line.index(name) + 1 for name in names]
        assert [f.column for f in answer.findings] == columns
    assert "did you mean 'salio'" in answer.message
    answer = cluster.run_line("targets in nowhere of nothing")
    assert results.http_status(answer) == 422
    assert len(answer.findings) == 2


def test_owner_names_slot_group_and_cause(cluster):
    """Guards against an owner query that looks up the wrong group."""
    answer = cluster.run_line("owner of k in salio for hazina")
    (row,) = answer.rows
    cells = dict(zip(answer.columns, row, strict=True))
    assert cells["vm"] == "salio-pwani-1"
    assert cells["group"] == _PWANI_GROUP
    assert cells["slot"] == slots.slot_of("k", _SLOT_COUNT)
    assert (cells["why"], cells["since"]) == ("assigned", None)


def test_repeated_move_is_ordered_once(cluster):
    """Guards against moves of another slot, or that are ordered twice."""
    line = "move slot 3 of salio@* to salio-ziwa-1"
    assert isinstance(cluster.run_line(line), results.Applied)
    assert _entry(cluster, 3).moving_to == _member("ziwa-1")
    assert _entry(cluster, 4).moving_to is None
    assert isinstance(cluster.run_line(line), results.AlreadyInForce)
    cluster.sync()
    other = cluster.run_line(line.replace("ziwa-1", "pwani-2"), node=1)
    assert isinstance(other, results.Conflict)
    assert other.other is not None
    assert other.other.command == line
    assert len(_audit_trail(cluster, "orders/slots/salio@*/3")) == 1


def test_move_of_a_key_does_not_store_the_key(cluster):
    """Guards against keys that leave their home regions in audit entries."""
    answer = cluster.run_line(
        "move key secret-account of salio to salio-ziwa-1"
    )
    assert isinstance(answer, results.Applied)
    assert "for now" in answer.message
    for value in cluster.objects().values():
        assert b"secret-account" not in value


def test_move_is_withdrawn_if_the_slot_changed_first(cluster):
    """Guards against moving a slot whose owner changed after the command.

    The replica of the daemon that executes the move has the old owner.
    """
    taken = slot_map.SlotEntry(_member("pwani-2"), ids.Epoch(2))
    chunk = slot_map.encode_chunk([taken] * _SLOT_COUNT)
    key = slot_map.chunk_key(slot_map.ChunkName(_GROUP, 0))
    version = cluster.nodes[1].replica.version_of(key)
    cluster.run(cluster.nodes[1].platform.update(key, chunk, version))
    answer = cluster.run_line("move slot 3 of salio@* to salio-ziwa-1")
    assert isinstance(answer, results.Conflict)
    assert _entry(cluster, 3) == taken
    ordered, withdrawn = _audit_trail(cluster, "orders/slots/salio@*/3")
    assert json.loads(withdrawn.after)["is_withdrawn"]
    assert ordered.operation != withdrawn.operation


def test_confirm_lost_fences_only_members_that_do_not_answer(cluster):
    """Guards against fencing a daemon that still answers."""
    line = "confirm lost salio-ziwa-1"
    assert isinstance(cluster.run_line(line), results.Refused)
    cluster.running["salio-ziwa-1"] = None
    assert isinstance(cluster.run_line(line), results.Applied)
    stored = cluster.objects()[records.member_key(_member("ziwa-1"))]
    assert records.decode(stored).state is records.MemberState.FENCED
    assert isinstance(cluster.run_line(line), results.AlreadyInForce)


def test_configuration_shows_daemons_without_an_answer(cluster):
    """Guards against a daemon without an answer being listed as up to date."""
    cluster.running["salio-ziwa-1"] = None
    answer = cluster.run_line("configuration")
    states = {row[0]: row[-1] for row in answer.rows}
    assert states["salio-pwani-1"] == "in force"
    assert states["salio-ziwa-1"] == "no answer"


def test_queries_answer_during_an_outage(cluster):
    """Guards against queries that read from the store, not from the replica."""
    cluster.store.set_faults(store_lib.Faults(down=True))
    for line in ("owner of k in salio", "targets", "stops", "audit", "help"):
        assert isinstance(cluster.run_line(line), results.Table)
    answer = cluster.run_line("stop availability-zone ziwa-1")
    assert isinstance(answer, results.Unavailable)
    assert results.http_status(answer) == 503


@pytest.mark.parametrize(
    ("running", "needed"), [(0, 1), (1, 2), (5, 6), (6, 8), (20, 24)]
)
def test_needed_capacity_includes_the_margin(running, needed):
    """Guards against a margin that is rounded down."""
    assert capacity_check.needed_capacity(running) == needed


_ZONE = strategies.sampled_from(["pwani-1", "ziwa-1"])
_VERB = strategies.sampled_from(["stop", "start"])
_NODE = strategies.sampled_from([0, 1])


class _TwoOperators(stateful.RuleBasedStateMachine):
    """Two operators; lost answers and daemons, a slow or unavailable store."""

    def __init__(self):
        super().__init__()
        self._cluster = _Cluster()
        self._numbers = iter(range(1_000))
        self._acknowledged = set()
        self._not_applied = set()
        # Lines of operations whose effect is unknown, by operation id.
        self._undecided = {}
        self._pushed: list[store_lib.Event] = []
        self._version_by_key: list[dict[str, int]] = [{}, {}]
        self._entry_limit = envelope.MAX_AUDIT_ENTRIES
        # A low limit, so that many entries are displaced from their objects.
        envelope.MAX_AUDIT_ENTRIES = 2

    def teardown(self):
        envelope.MAX_AUDIT_ENTRIES = self._entry_limit
        self._cluster.close()

    @stateful.rule(node=_NODE, verb=_VERB, zone=_ZONE)
    def command(self, node, verb, zone):
        self._run([self._new_command(verb, zone, node)])

    @stateful.rule(verbs=strategies.tuples(_VERB, _VERB), zone=_ZONE)
    def race(self, verbs, zone):
        orders = [
            self._new_command(verb, zone, i) for i, verb in enumerate(verbs)
        ]
        self._run(orders)

    @stateful.rule(
        node=_NODE,
        verb=_VERB,
        zone=_ZONE,
        limit_ms=strategies.sampled_from([0, 25, 50, 1_000, 2_500]),
    )
    def daemon_lost(self, node, verb, zone, limit_ms):
        self._run([self._new_command(verb, zone, node)], limit_ms)

    @stateful.precondition(lambda self: self._undecided)
    @stateful.rule(data=strategies.data(), node=_NODE)
    def resend(self, data, node):
        operation = data.draw(strategies.sampled_from(sorted(self._undecided)))
        self._run([(self._undecided[operation], node, operation)])

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_answers(self, count):
        self._cluster.store.faults.lose_answers = count

    @stateful.rule(slow_ms=strategies.sampled_from([0, 30, 700, 1_300]))
    def slow(self, slow_ms):
        self._cluster.store.faults.slow_ms = slow_ms

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self._cluster.store.faults.down = down

    @stateful.precondition(lambda self: not self._cluster.store.faults.down)
    @stateful.rule(node=_NODE)
    def sync(self, node):
        self._cluster.run(self._cluster.nodes[node].sync())

    @stateful.precondition(lambda self: self._pushed)
    @stateful.rule(data=strategies.data(), node=_NODE)
    def late_push(self, data, node):
        event = data.draw(strategies.sampled_from(self._pushed))
        replica = self._cluster.nodes[node].replica
        replica.apply([event], replica.version, replica.version)

    @stateful.rule()
    def wait(self):
        self._cluster.run(self._cluster.clock.sleep_ms(4_000))

    @stateful.invariant()
    def each_change_is_in_the_trail_once(self):
        keys = self._cluster.objects("stops/")
        trails = {key: _audit_trail(self._cluster, key) for key in keys}
        entries = [entry for trail in trails.values() for entry in trail]
        operations = [entry.operation for entry in entries]
        assert len(operations) == len(set(operations))
        assert self._acknowledged <= set(operations)
        assert not self._not_applied & set(operations)

    @stateful.invariant()
    def trail_is_complete(self):
        for key, value in self._cluster.objects("stops/").items():
            trail = _audit_trail(self._cluster, key)
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
        for node, version_by_key in zip(
            self._cluster.nodes, self._version_by_key, strict=True
        ):
            for event in node.replica.select("stops/"):
                assert event.version >= version_by_key.get(event.key, 0)
                if event.version > version_by_key.get(event.key, 0):
                    self._pushed.append(event)
                version_by_key[event.key] = event.version

    def _new_command(self, verb, zone, node):
        operation = ids.OperationId(f"operation-{next(self._numbers)}")
        return f"{verb} availability-zone {zone}", node, operation

    def _run(self, orders, limit_ms=None):
        work = [
            self._cluster.nodes[node].operator.execute(line, "amina", operation)
            for line, node, operation in orders
        ]
        answers = self._cluster.run(*work, limit_ms=limit_ms)
        for (line, _, operation), answer in zip(orders, answers, strict=True):
            is_resend = operation in self._undecided
            self._record_answer(line, operation, answer, is_resend)

    def _record_answer(self, line, operation, answer, is_resend):
        match answer:
            case results.Applied():
                assert answer.operation == operation
                self._acknowledged.add(operation)
            case None | results.Undecided():
                self._undecided[operation] = line
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
