"""Tests of the router: state machine with a fake forwarder."""

import asyncio
import dataclasses
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.membership import records
from mustardloom.ownership import slots
from mustardloom.routing import forwarders
from mustardloom.routing import home_regions
from mustardloom.routing import retries
from mustardloom.routing import router as router_lib
from mustardloom.routing.tests import fleet as fleet_lib

FAR = ids.RegionId("ziwa")
NAMES = [f"{place}{i}~1" for place in ("near", "far") for i in range(2)]
REGIONS = [
    frozenset(),
    frozenset({fleet_lib.NEAR}),
    frozenset({fleet_lib.NEAR, FAR}),
]
GROUPS = [
    slots.group_of(service, regions)
    for service in (fleet_lib.KEYED, fleet_lib.UNKEYED)
    for regions in REGIONS
]
GATE = forwarders.Destination.GATE
OWNER = forwarders.Destination.OWNER
_Reason = outcomes.RefusalReason


@dataclasses.dataclass
class Dispatch:
    """A forwarded request that may run.

    Attributes:
      is_hedge: Whether an earlier one was in flight when it was sent.
      is_charged: Whether it needs a token of the retry budget.
    """

    request: requests.Request
    destination: forwarders.Destination
    ended: asyncio.Future[outcomes.Outcome]
    is_hedge: bool
    is_charged: bool


class FakeForwarder(forwarders.Forwarder):
    """Forwarder whose dispatches the test ends.

    The owner of the id of an unkeyed request calls `dispatch_once`, as in the
    daemon.
    """

    def __init__(self, fleet, clock):
        self.fleet = fleet
        self.clock = clock
        self.router: Any = None
        self.dispatches: list[Dispatch] = []
        self.faults: list[str] = []
        self.refuse_as_id_owner = None
        self.answers_at_once = False

    def dispatches_of(self, request):
        return [d for d in self.dispatches if d.request is request]

    def pending(self):
        return [d for d in self.dispatches if not d.ended.done()]

    async def forward(self, member, destination, request, group, slot):
        self._check(member, destination, request)
        if destination is OWNER and request.service == fleet_lib.UNKEYED:
            outcome = await self._as_id_owner(request)
            return forwarders.Forwarded(outcome)
        dispatch = self._record(destination, request)
        if self.answers_at_once:
            dispatch.ended.set_result(answer(dispatch))
        deadline = asyncio.create_task(self._expire(dispatch))
        try:
            outcome = await dispatch.ended
        finally:
            deadline.cancel()
        return forwarders.Forwarded(outcome, forwarders.GateLoad(1, 0, 6))

    async def _as_id_owner(self, request):
        reason, self.refuse_as_id_owner = self.refuse_as_id_owner, None
        if reason is not None:
            return outcomes.Refused(reason, "")
        return await self.router.dispatch_once(request)

    async def _expire(self, dispatch):
        await self.clock.sleep_ms(
            dispatch.request.deadline_ms - self.clock.now_ms()
        )
        if not dispatch.ended.done():
            late = outcomes.UnknownReason.DEADLINE
            dispatch.ended.set_result(outcomes.Unknown(late, ""))

    def _record(self, destination, request):
        earlier = self.dispatches_of(request)
        ended = [d.ended for d in earlier if d.ended.done()]
        last = ended[-1] if ended else None
        is_hedge = any(not d.ended.done() for d in earlier)
        if not request.idempotent and (
            is_hedge or any(not is_refusal(d.ended) for d in earlier)
        ):
            self.faults.append("second dispatch of a non-idempotent request")
        is_charged = (
            last is not None and not is_hedge and not is_uncharged(last)
        )
        future = asyncio.get_running_loop().create_future()
        dispatch = Dispatch(request, destination, future, is_hedge, is_charged)
        self.dispatches.append(dispatch)
        return dispatch

    def _check(self, member, destination, request):
        record = self.fleet.members.by_id[member]
        if not home_regions.permits(request.regions, record.region):
            self.faults.append("member outside the permitted regions")
        if self.clock.now_ms() >= request.deadline_ms:
            self.faults.append("dispatch after the deadline")
        if record.state is records.MemberState.FENCED:
            self.faults.append("fenced member")
        if destination is GATE and (
            record.state is not records.MemberState.ACTIVE
            or member in self.fleet.stopped
        ):
            self.faults.append("gate of a member out of service")


def is_refusal(ended):
    """Returns whether a dispatch certainly did not run."""
    if not ended.done() or ended.cancelled():
        return False
    return isinstance(ended.result(), outcomes.Refused)


def is_uncharged(ended):
    """Returns whether a dispatch was refused without work at a target."""
    if not is_refusal(ended):
        return False
    return ended.result().reason in retries.UNCHARGED_REASONS


class RouterMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = clock_lib.FakeClock()
        self.fleet = fleet_lib.Fleet(self.clock)
        self.forwarder = FakeForwarder(self.fleet, self.clock)
        self.metrics = metrics_lib.Metrics()
        self.router = router_lib.Router(
            fleet_lib.NEAR,
            lambda: self.fleet.table,
            self.fleet.members,
            self.fleet.slot_map,
            self.fleet.chooser,
            self.forwarder,
            self.clock,
            self.metrics,
        )
        self.forwarder.router = self.router
        self.sent: list[
            tuple[requests.Request, asyncio.Task[outcomes.Outcome]]
        ] = []
        self.hedgeable = 0
        for name in NAMES:
            self.put_state(name, records.MemberState.ACTIVE)
        for group in GROUPS:
            self.fleet.put_owner(group, ids.MemberId(NAMES[0]))
        self.fill_budgets()

    def fill_budgets(self):
        """Earns budget for one hedge and two retries and records latencies."""
        self.forwarder.answers_at_once = True
        for _ in range(24):
            self.start(fleet_lib.UNKEYED, True, frozenset(), 1_000)
        self.forwarder.answers_at_once = False

    def teardown(self):
        self.advance(10_000)
        unfinished = [task for _, task in self.sent if not task.done()]
        self.loop.close()
        assert not unfinished

    def put_state(self, name, state):
        region = FAR if name.startswith("far") else fleet_lib.NEAR
        self.fleet.put_member(name, region, state=state)

    def start(self, service, idempotent, regions, wait_ms):
        request = fleet_lib.make_request(
            f"/{len(self.sent)}",
            service,
            idempotent,
            self.clock.now_ms() + wait_ms,
            regions,
        )
        if service == fleet_lib.UNKEYED and idempotent:
            self.hedgeable += 1
        task = self.loop.create_task(self.router.route(request))
        self.sent.append((request, task))
        self.advance(0)

    @stateful.rule(
        service=st.sampled_from([fleet_lib.KEYED, fleet_lib.UNKEYED]),
        idempotent=st.booleans(),
        regions=st.sampled_from([*REGIONS, frozenset({FAR})]),
        wait_ms=st.sampled_from([50, 1_000]),
    )
    def send(self, service, idempotent, regions, wait_ms):
        self.start(service, idempotent, regions, wait_ms)

    @stateful.rule(duration_ms=st.sampled_from([1, 5, 30, 200, 1_000]))
    def advance(self, duration_ms):
        self.loop.run_until_complete(self.clock.advance(duration_ms))

    @stateful.precondition(lambda self: self.forwarder.pending())
    @stateful.rule(
        data=st.data(),
        kind=st.sampled_from(["answer", "refuse", "lose"]),
        reason=st.sampled_from(list(_Reason)),
        owner=st.sampled_from([None, ids.MemberId("gone~1"), *NAMES]),
    )
    def end_one(self, data, kind, reason, owner):
        dispatch = data.draw(st.sampled_from(self.forwarder.pending()))
        lost = outcomes.Unknown(outcomes.UnknownReason.TARGET_LOST, "")
        outcome = {
            "answer": answer(dispatch),
            "refuse": outcomes.Refused(reason, "", owner=owner),
            "lose": lost,
        }[kind]
        self.end(dispatch, outcome)
        self.advance(0)

    def end(self, dispatch, outcome):
        if not dispatch.ended.done():
            dispatch.ended.set_result(outcome)

    @stateful.rule(
        reason=st.sampled_from(sorted(retries.UNCHARGED_REASONS, key=str))
    )
    def refuse_next_as_id_owner(self, reason):
        self.forwarder.refuse_as_id_owner = reason

    @stateful.rule(
        name=st.sampled_from(NAMES),
        state=st.sampled_from(list(records.MemberState)),
        is_stopped=st.booleans(),
    )
    def change_member(self, name, state, is_stopped):
        self.put_state(name, state)
        change = (
            self.fleet.stopped.add if is_stopped else self.fleet.stopped.discard
        )
        change(ids.MemberId(name))

    @stateful.rule(
        group=st.sampled_from(GROUPS), owner=st.sampled_from([None, *NAMES])
    )
    def change_owner(self, group, owner):
        self.fleet.put_owner(group, owner)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def caller_disconnects(self, data):
        request, task = data.draw(st.sampled_from(self.sent))
        if task.done():
            return
        task.cancel()
        self.advance(0)
        assert task.cancelled()
        assert all(
            d.ended.done() for d in self.forwarder.dispatches_of(request)
        )

    @stateful.invariant()
    def rules_of_dispatch_hold(self):
        assert self.forwarder.faults == []

    @stateful.invariant()
    def outcomes_are_true(self):
        for request, task in self.sent:
            if not task.done() or task.cancelled():
                continue
            ended = [d.ended for d in self.forwarder.dispatches_of(request)]
            assert all(each.done() for each in ended), "forgotten attempt"
            match task.result():
                case outcomes.Answered(body=body):
                    assert body == request.path.encode(), "crossed answer"
                case outcomes.Refused():
                    assert all(map(is_refusal, ended)), "not run is false"

    @stateful.invariant()
    def budgets_hold(self):
        hedges = sum(d.is_hedge for d in self.forwarder.dispatches)
        charged = sum(d.is_charged for d in self.forwarder.dispatches)
        assert hedges <= 0.05 * self.hedgeable
        assert charged <= 0.1 * len(self.sent)


def answer(dispatch):
    """Returns the answer that matches a dispatch."""
    return outcomes.Answered(200, (), dispatch.request.path.encode())


def test_router():
    """Guards against double runs, use of forbidden regions and false refusals.

    Also guards against exceeded budgets and swapped answers (I5 to I8).
    """
    settings = hypothesis.settings(
        derandomize=True,
        phases=[hypothesis.Phase.generate],
        database=None,
        deadline=None,
        max_examples=40,
        stateful_step_count=40,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(RouterMachine, settings=settings)


def end_next(machine, outcome):
    """Ends the oldest attempt in flight."""
    machine.end(machine.forwarder.pending()[0], outcome)
    machine.advance(0)


def test_refusal_does_not_undo_an_unknown_attempt():
    """Guards against a refusal when an attempt may have run (invariant I7)."""
    machine = RouterMachine()
    machine.start(fleet_lib.UNKEYED, True, frozenset(), 1_000)
    lost = outcomes.Unknown(outcomes.UnknownReason.TARGET_LOST, "")
    end_next(machine, lost)
    end_next(machine, outcomes.Refused(_Reason.QUARANTINED, ""))
    _, task = machine.sent[-1]
    assert task.result() == lost
    machine.teardown()


def test_budgets_bound_extra_attempts_when_all_targets_fail():
    """Guards against retries and hedges that amplify an overload."""
    machine = RouterMachine()
    for _ in range(40):
        machine.start(fleet_lib.UNKEYED, True, frozenset(), 1_000)
    machine.advance(20)
    while machine.forwarder.pending():
        end_next(machine, outcomes.Refused(_Reason.OVERLOADED, ""))
    machine.budgets_hold()
    hedges = machine.metrics.counters["router.hedges"]
    extra = len(machine.forwarder.dispatches) - len(machine.sent)
    assert hedges == 3
    assert hedges < extra <= 3 + 6
    machine.teardown()


def test_loser_of_a_hedge_is_cancelled():
    """Guards against hedges that leave extra work at targets."""
    machine = RouterMachine()
    machine.start(fleet_lib.UNKEYED, True, frozenset(), 1_000)
    machine.advance(20)
    first, second = machine.forwarder.pending()
    machine.end(second, answer(second))
    machine.advance(0)
    assert first.ended.cancelled()
    machine.teardown()


def test_fenced_owner_gets_no_request():
    """Guards against requests to a member that will never serve again."""
    machine = RouterMachine()
    owner = NAMES[0]
    machine.put_state(owner, records.MemberState.FENCED)
    machine.start(fleet_lib.KEYED, True, frozenset(), 1_000)
    machine.advance(500)
    assert not machine.forwarder.pending()
    for group in GROUPS:
        machine.fleet.put_owner(group, ids.MemberId(NAMES[1]))
    machine.advance(100)
    end_next(machine, answer(machine.forwarder.pending()[0]))
    assert isinstance(machine.sent[-1][1].result(), outcomes.Answered)
    machine.teardown()


def test_hint_of_a_moved_slot_is_followed_at_once():
    """Guards against a pause in each planned move (goal: 50 ms)."""
    machine = RouterMachine()
    machine.start(fleet_lib.KEYED, False, frozenset(), 1_000)
    moved = outcomes.Refused(_Reason.MOVED, "", owner=ids.MemberId(NAMES[2]))
    end_next(machine, moved)
    # The new owner is in another region, so the bytes sent are counted.
    sent = machine.metrics.counters["router.cross_region_bytes_sent"]
    assert sent == len("POST/24")
    end_next(machine, answer(machine.forwarder.pending()[0]))
    assert isinstance(machine.sent[-1][1].result(), outcomes.Answered)
    machine.teardown()
