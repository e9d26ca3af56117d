"""Stateful test of the gate against a model of its target and lease."""

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
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.admission import gate as gate_lib
from mustardloom.admission.tests import support

CAPACITY = 4
# Conditions under which requests are sent and waiting ones may start.
CONDITIONS = ("ok", "ok", "ok", "lapsed", "moved", "closed")
MAX_DEADLINE_MS = 300
ANSWER = outcomes.Answered(200, (), b"")


@dataclasses.dataclass(eq=False)
class Sent:
    """A request, its slot permit and what the model knows about it."""

    request: requests.Request
    model: "Model"
    cancellation: dispatch_lib.Cancellation
    task: Any = None
    dispatches: int = 0
    entered: int = 0
    refused_by_target: bool = False

    def acquire(self):
        if self.model.moved:
            return outcomes.Refused(outcomes.RefusalReason.MOVED, "")
        self.entered += 1
        return ids.Epoch(1)

    def release(self):
        self.entered -= 1
        active = self in self.model.active()
        self.model.check(not active, "permit released while the request runs")


@dataclasses.dataclass(eq=False)
class Running:
    """A dispatch that the target of the model runs."""

    sent: Sent
    dispatch: dispatch_lib.Dispatch
    result: asyncio.Future[dispatch_lib.DispatchResult]


class Model:
    """Fake target, lease and slots; records faults of the gate."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.by_dispatch = {}
        self.by_request = {}
        self.crashes = {}
        self.successes = 0
        self.lease_held = True
        self.moved = False
        self.closed = False
        self.confirms_cancellation = True
        self.lease_ms = 1_000
        self.faults = []
        self.gate = gate_lib.Gate(
            self.clock, self, self, CAPACITY, metrics_lib.Metrics()
        )

    def set_condition(self, condition):
        self.lease_held = condition != "lapsed"
        self.moved = condition == "moved"
        self.closed = condition == "closed"
        if self.closed:
            self.gate.close(outcomes.RefusalReason.STOPPED)
        else:
            self.gate.reopen()

    def is_held(self):
        return self.lease_held

    def expires_ms(self):
        return self.clock.now_ms() + self.lease_ms

    def active(self):
        """Returns the requests that the target may be running."""
        now_ms = self.clock.now_ms()
        return [
            running.sent
            for running in self.by_dispatch.values()
            if running.dispatch.deadline_ms > now_ms
        ]

    def pending(self):
        return [r for r in self.by_dispatch.values() if not r.result.done()]

    async def dispatch(self, request, dispatch):
        sent = self.by_request[id(request)]
        self.check_dispatch(sent, dispatch)
        result = asyncio.get_running_loop().create_future()
        self.by_dispatch[dispatch.dispatch_id] = Running(sent, dispatch, result)
        sleep = asyncio.ensure_future(
            self.clock.sleep_ms(dispatch.deadline_ms - self.clock.now_ms())
        )
        await asyncio.wait((result, sleep), return_when="FIRST_COMPLETED")
        sleep.cancel()
        if result.done():
            return result.result()
        return dispatch_lib.DispatchResult(
            outcomes.Unknown(outcomes.UnknownReason.DEADLINE, "")
        )

    def check_dispatch(self, sent, dispatch):
        sent.dispatches += 1
        self.check(sent.dispatches == 1, "dispatched twice")
        self.check(self.lease_held, "dispatched without the lease")
        self.check(not self.moved, "dispatched without the slot")
        self.check(not self.closed, "dispatched by a closed gate")
        latest_ms = min(sent.request.deadline_ms, self.expires_ms())
        self.check(dispatch.deadline_ms <= latest_ms, "deadline too late")
        others = self.active()
        limit = min(CAPACITY, 1 + self.successes)
        self.check(len(others) < limit, "limit exceeded")
        fingerprint = sent.request.fingerprint
        self.check(
            self.crashes.get(fingerprint, 0) < 2,
            "quarantined request dispatched",
        )
        if others:
            suspects = [s for s in (sent, *others) if self.is_suspect(s)]
            self.check(not suspects, "a suspect does not run alone")

    def check(self, condition, fault):
        """Records a fault; the gate would catch an exception."""
        if not condition:
            self.faults.append(fault)

    def is_suspect(self, sent):
        return bool(self.crashes.get(sent.request.fingerprint))

    async def cancel(self, dispatch_id):
        if self.confirms_cancellation:
            self.by_dispatch.pop(dispatch_id, None)
        return self.confirms_cancellation

    async def probe(self):
        return dispatch_lib.Probe(True, True)

    def end(self, running, outcome, crashed=False):
        self.by_dispatch.pop(running.dispatch.dispatch_id, None)
        running.result.set_result(
            dispatch_lib.DispatchResult(outcome, None, crashed)
        )


class GateMachine(stateful.RuleBasedStateMachine):
    """Guards against excess load, lost requests and false refusals."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.model = Model()
        self.sent = []
        self.run_now(lambda: None)

    def run_now(self, action):
        async def settle():
            action()
            await self.model.clock.advance(0)

        self.loop.run_until_complete(settle())

    def pick(self, number):
        """Returns a running dispatch, None if there is none.

        `hypothesis.assume` is not used: if it failed, it would end the run.
        """
        pending = self.model.pending()
        return pending[number % len(pending)] if pending else None

    @stateful.rule(
        fingerprint=st.integers(0, 3),
        deadline_ms=st.integers(1, MAX_DEADLINE_MS),
        condition=st.sampled_from(CONDITIONS),
        lease_ms=st.sampled_from((1_000, 100, 5)),
        cancel_at_once=st.sampled_from((False, False, False, True)),
    )
    def send(
        self, fingerprint, deadline_ms, condition, lease_ms, cancel_at_once
    ):
        self.model.lease_ms = lease_ms
        self.run_now(lambda: self.model.set_condition(condition))

        async def start():
            sent = self.create(fingerprint, deadline_ms)
            await asyncio.sleep(0)
            if cancel_at_once:
                sent.cancellation.cancel()
            await self.model.clock.advance(0)

        self.loop.run_until_complete(start())

    @stateful.rule(fingerprints=st.lists(st.integers(0, 9), max_size=8))
    def send_many(self, fingerprints):
        self.model.lease_ms = 1_000

        def start():
            self.model.set_condition("ok")
            for fingerprint in fingerprints:
                self.create(fingerprint, MAX_DEADLINE_MS)

        self.run_now(start)

    def create(self, fingerprint, deadline_ms):
        request = support.make_request(
            self.model.clock, deadline_ms, fingerprint=fingerprint
        )
        sent = Sent(request, self.model, dispatch_lib.Cancellation())
        self.model.by_request[id(request)] = sent
        self.sent.append(sent)
        sent.task = asyncio.create_task(
            self.model.gate.run(request, None, sent, sent.cancellation)
        )
        return sent

    @stateful.rule()
    def answer_all(self):
        for _ in range(len(self.model.pending())):
            self.answer(0)

    @stateful.rule(number=st.integers(0, 9))
    def answer(self, number):
        running = self.pick(number)
        if running is None:
            return
        fingerprint = running.sent.request.fingerprint
        self.model.successes += 1
        if self.model.crashes.get(fingerprint) == 1:
            del self.model.crashes[fingerprint]
        self.run_now(lambda: self.model.end(running, ANSWER))

    @stateful.rule(number=st.integers(0, 9))
    def target_refuses(self, number):
        running = self.pick(number)
        if running is None:
            return
        running.sent.refused_by_target = True
        refused = outcomes.Refused(outcomes.RefusalReason.TARGET_REFUSED, "")
        self.run_now(lambda: self.model.end(running, refused))

    @stateful.rule(number=st.integers(0, 9))
    def truncate(self, number):
        """The connection is lost, but the target goes on running."""
        running = self.pick(number)
        if running is None:
            return
        unknown = outcomes.Unknown(outcomes.UnknownReason.TRUNCATED, "")
        result = dispatch_lib.DispatchResult(unknown)
        self.run_now(lambda: running.result.set_result(result))

    @stateful.rule()
    def crash(self):
        if not self.model.pending():
            return
        unknown = outcomes.Unknown(outcomes.UnknownReason.TARGET_LOST, "")
        model = self.model
        for fingerprint in {s.request.fingerprint for s in model.active()}:
            model.crashes[fingerprint] = model.crashes.get(fingerprint, 0) + 1
        model.successes = 0

        def lose_all():
            for running in model.pending():
                model.end(running, unknown, crashed=True)

        self.run_now(lose_all)

    @stateful.rule(number=st.integers(0, 99), hard=st.booleans())
    def cancel(self, number, hard):
        if not self.sent:
            return
        sent = self.sent[number % len(self.sent)]
        self.run_now(sent.task.cancel if hard else sent.cancellation.cancel)

    @stateful.rule(duration_ms=st.integers(1, 100))
    def advance(self, duration_ms):
        self.loop.run_until_complete(self.model.clock.advance(duration_ms))

    @stateful.rule()
    def confirm_or_not(self):
        self.model.confirms_cancellation = not self.model.confirms_cancellation

    @stateful.invariant()
    def no_faults(self):
        assert not self.model.faults

    @stateful.invariant()
    def limit_holds(self):
        assert len(self.model.active()) <= CAPACITY
        assert self.model.gate.load.queued <= 2 * CAPACITY
        assert sum(sent.entered for sent in self.sent) <= CAPACITY

    @stateful.invariant()
    def no_request_waits_past_its_deadline(self):
        if self.model.closed:
            assert self.model.gate.load.queued == 0
        now_ms = self.model.clock.now_ms()
        for sent in self.sent:
            assert sent.task.done() or sent.request.deadline_ms > now_ms

    @stateful.invariant()
    def outcomes_match_dispatches(self):
        for sent in self.sent:
            if not sent.task.done() or sent.task.cancelled():
                continue
            match sent.task.result():
                case outcomes.Refused(
                    reason=outcomes.RefusalReason.QUARANTINED
                ):
                    assert self.model.crashes[sent.request.fingerprint] == 2
                case outcomes.Refused():
                    assert sent.dispatches == 0 or sent.refused_by_target
                case _:
                    assert sent.dispatches == 1

    def teardown(self):
        self.model.confirms_cancellation = True
        self.advance(MAX_DEADLINE_MS)
        self.no_faults()
        assert all(sent.task.done() for sent in self.sent), "lost"
        assert not any(sent.entered for sent in self.sent), "slot not left"
        load = self.model.gate.load
        assert (load.running, load.queued) == (0, 0)
        self.loop.run_until_complete(self.model.gate.wait_idle())
        self.loop.close()


TestGate = GateMachine.TestCase
TestGate.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
