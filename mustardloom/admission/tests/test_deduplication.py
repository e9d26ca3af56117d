"""Tests of at-most-once execution."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import request_ids
from mustardloom.admission import deduplication
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.admission.tests import support

RETENTION_MS = 10_000
FENCE_MARGIN_MS = 750
CLOCK_SKEW_MS = 250
PLACEMENT = dispatch_lib.SlotId(ids.GroupId("salio@*"), ids.SlotIndex(3))
# Stamps of ids, relative to the wall clock.
OFFSETS_MS = st.sampled_from((0, 0, -100, -5_000, -11_000, 500, 700))
UNKNOWN = outcomes.Unknown(outcomes.UnknownReason.TARGET_LOST, "")
REFUSED = outcomes.Refused(outcomes.RefusalReason.OVERLOADED, "")


def make_table(clock, **settings):
    """Returns a deduplication table that serves one slot."""
    table = deduplication.DeduplicationTable(
        clock, metrics_lib.Metrics(), retention_ms=RETENTION_MS, **settings
    )
    table.open_slot(PLACEMENT, 0)
    return table


def answer_to(request_id):
    """Returns the answer that the target gives to an id."""
    return outcomes.Answered(200, (("X", "1"),), request_id.encode())


def send(table, clock, request_id, outcome=None):
    """Sends an id and returns its outcome and whether it was dispatched."""
    ran = []

    async def dispatch():
        ran.append(request_id)
        return outcome or answer_to(request_id)

    request = support.make_request(clock, request_id=request_id)
    result = asyncio.run(table.run(PLACEMENT, request, dispatch))
    return result, bool(ran)


class DeduplicationMachine(stateful.RuleBasedStateMachine):
    """Guards against two runs of an id over resends, moves and lost owners.

    The wall clock may be set back at any time. The clock of a fencer is as far
    behind the fastest clock as the fence margin allows.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = clock_lib.FakeClock()
        self.table = make_table(self.clock)
        self._highest_wall_ms = 0
        self.running = {}
        self.maybe_run = set()
        self.answers = {}
        self.tasks = []
        self.ids = {}
        for number in range(4):
            self.make_id(number, 0)

    def make_id(self, number, offset_ms):
        stamp_ms = self.clock.wall_ms() + offset_ms
        self.ids[number] = request_ids.new_request_id(stamp_ms)

    @stateful.rule(number=st.integers(0, 3), offset_ms=OFFSETS_MS)
    def new_id(self, number, offset_ms):
        self.make_id(number, offset_ms)

    @stateful.rule(number=st.integers(0, 3), deadline_ms=st.integers(1, 2_000))
    def send(self, number, deadline_ms):
        assert self.highest_wall_ms
        request_id = self.ids[number]
        request = support.make_request(
            self.clock, deadline_ms, request_id=request_id
        )
        task = self.table.run(
            PLACEMENT, request, lambda: self.dispatch(request_id)
        )

        async def start():
            self.tasks.append((request_id, asyncio.create_task(task)))
            await self.clock.advance(0)

        self.loop.run_until_complete(start())

    async def dispatch(self, request_id):
        assert request_id not in self.maybe_run, "dispatched twice"
        self.maybe_run.add(request_id)
        future = asyncio.get_running_loop().create_future()
        self.running[request_id] = future
        return await future

    @stateful.rule(
        number=st.integers(0, 9), kind=st.sampled_from(("ok", "lost", "not"))
    )
    def finish(self, number, kind):
        if not self.running:
            return
        request_id = list(self.running)[number % len(self.running)]
        outcome: outcomes.Outcome = UNKNOWN
        if kind == "ok":
            outcome = self.answers[request_id] = answer_to(request_id)
        elif kind == "not":
            outcome = REFUSED
            self.maybe_run.discard(request_id)
        self.running.pop(request_id).set_result(outcome)
        self.loop.run_until_complete(self.clock.advance(0))

    @stateful.rule(number=st.integers(0, 9))
    def drop_sender(self, number):
        if not self.running:
            return
        request_id = list(self.running)[number % len(self.running)]
        del self.running[request_id]
        first = next(
            task
            for sent_id, task in self.tasks
            if sent_id == request_id and not task.done()
        )
        first.cancel()
        self.loop.run_until_complete(self.clock.advance(0))

    @stateful.rule()
    def move(self):
        """Moves the slot as planned: the new owner gets the records."""
        exported = self.table.export_slot(PLACEMENT)
        old, self.table = self.table, make_table(self.clock)
        old.close_slot(PLACEMENT)
        assert old.count == 0
        self.table.open_slot(
            PLACEMENT, exported.unknown_before_wall_ms, exported.requests
        )

    @stateful.rule()
    def fence(self):
        """Fences the owner, whose records are lost."""
        self.table = make_table(self.clock)
        fencer_wall_ms = self.highest_wall_ms - CLOCK_SKEW_MS
        self.table.open_slot(PLACEMENT, fencer_wall_ms + FENCE_MARGIN_MS)

    @stateful.rule(duration_ms=st.integers(1, 4_000))
    def advance(self, duration_ms):
        self.loop.run_until_complete(self.clock.advance(duration_ms))

    @stateful.rule(duration_ms=st.integers(-15_000, 200))
    def set_wall_clock(self, duration_ms):
        self.clock._wall_offset_ms += duration_ms

    @property
    def highest_wall_ms(self):
        self._highest_wall_ms = max(self._highest_wall_ms, self.clock.wall_ms())
        return self._highest_wall_ms

    @stateful.invariant()
    def outcomes_belong_to_their_id(self):
        for request_id, task in self.tasks:
            if not task.done() or task.cancelled():
                continue
            if isinstance(task.result(), outcomes.Answered):
                assert task.result() == self.answers[request_id]

    def teardown(self):
        for future in self.running.values():
            future.set_result(UNKNOWN)
        self.advance(4_000)
        assert all(task.done() for _, task in self.tasks), "lost"
        self.advance(30_000)
        self.table.drop_expired()
        self.loop.close()


TestDeduplication = DeduplicationMachine.TestCase
TestDeduplication.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_a_resend_gets_the_recorded_answer():
    """Guards against Unknown for a resend whose first send was answered."""
    clock = clock_lib.FakeClock()
    table = make_table(clock)
    request_id = request_ids.new_request_id(clock.wall_ms())
    assert send(table, clock, request_id) == (answer_to(request_id), True)
    assert send(table, clock, request_id) == (answer_to(request_id), False)


@pytest.mark.parametrize(
    ("outcome", "again"), [(REFUSED, True), (UNKNOWN, False)]
)
def test_only_refused_ids_may_run_again(outcome, again):
    """Guards against a second run after an unknown outcome."""
    clock = clock_lib.FakeClock()
    table = make_table(clock)
    request_id = request_ids.new_request_id(clock.wall_ms())
    ran = [send(table, clock, request_id, outcome)[1] for _ in range(3)]
    assert ran == [True, again, again]


@pytest.mark.parametrize("moved", [False, True])
def test_dropped_ids_are_not_run_again(moved):
    """Guards against a second run after the wall clock is set back."""
    clock = clock_lib.FakeClock()
    table = make_table(clock)
    request_id = request_ids.new_request_id(clock.wall_ms())
    assert send(table, clock, request_id)[1]
    clock.jump(RETENTION_MS + 2_000)
    table.drop_expired()
    clock.jump(-RETENTION_MS)
    if moved:
        exported = table.export_slot(PLACEMENT)
        table = make_table(clock)
        table.open_slot(
            PLACEMENT, exported.unknown_before_wall_ms, exported.requests
        )
    outcome, ran = send(table, clock, request_id)
    assert isinstance(outcome, outcomes.Unknown)
    assert not ran


@pytest.mark.parametrize(
    ("offset_ms", "reason", "ran"),
    [
        (-RETENTION_MS - 1, outcomes.UnknownReason.ID_TOO_OLD, False),
        (-1_000, outcomes.UnknownReason.OWNER_LOST, False),
        (-999, None, True),
        (500, None, True),
        (501, outcomes.RefusalReason.REQUEST_ID, False),
    ],
)
def test_limits_of_stamps_are_exact(offset_ms, reason, ran):
    """Guards against running an id that an earlier owner may have run."""
    clock = clock_lib.FakeClock()
    table = make_table(clock)
    table.open_slot(PLACEMENT, clock.wall_ms() - 1_000)
    request_id = request_ids.new_request_id(clock.wall_ms() + offset_ms)
    outcome, did_run = send(table, clock, request_id)
    assert did_run == ran
    assert getattr(outcome, "reason", None) == reason


def test_ids_without_stamp_are_refused():
    """Guards against ids whose age is not known."""
    clock = clock_lib.FakeClock()
    outcome, ran = send(make_table(clock), clock, "no-uuid")
    assert outcome.reason is outcomes.RefusalReason.REQUEST_ID
    assert not ran


def test_running_ids_move_as_unknown():
    """Guards against a second run of an id whose slot moved while it ran."""

    async def scenario():
        clock = clock_lib.FakeClock()
        table = make_table(clock)
        request_id = request_ids.new_request_id(clock.wall_ms())
        request = support.make_request(clock, request_id=request_id)
        first = table.run(PLACEMENT, request, lambda: clock.sleep_ms(10))
        task = asyncio.create_task(first)
        await clock.advance(0)
        exported = table.export_slot(PLACEMENT)
        task.cancel()
        receiver = make_table(clock)
        receiver.open_slot(PLACEMENT, 0, exported.requests)
        return await receiver.run(PLACEMENT, request, None)

    outcome = asyncio.run(scenario())
    assert outcome.reason is outcomes.UnknownReason.ID_UNRESOLVED


def test_memory_is_bounded():
    """Guards against a table that grows with the traffic."""
    clock = clock_lib.FakeClock()
    table = make_table(clock, max_ids=3, max_total_answer_bytes=160)
    sent_ids = []
    for _ in range(3):
        sent_ids.append(request_ids.new_request_id(clock.wall_ms()))
        assert send(table, clock, sent_ids[-1])[1]
        clock.jump(2_000)
    # The oldest answer was dropped, but its id still prevents a second run.
    first, ran = send(table, clock, sent_ids[0])
    assert first.reason is outcomes.UnknownReason.ID_UNRESOLVED
    assert not ran
    assert send(table, clock, sent_ids[2])[0] == answer_to(sent_ids[2])
    extra = request_ids.new_request_id(clock.wall_ms())
    refused, ran = send(table, clock, extra)
    assert refused.reason is outcomes.RefusalReason.OVERLOADED
    assert not ran
    clock.jump(RETENTION_MS + 1_000)
    table.drop_expired()
    assert table.count == 0
