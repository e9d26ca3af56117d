"""Tests of the gate with a scripted target."""

import asyncio
import dataclasses
import os

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import targets
from mustardloom.http1 import bodies
from mustardloom.http1 import messages
from mustardloom.load_control import quarantine
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import events
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import work
from mustardloom.sidecar.gate import timing

_SERVICE = ids.ServiceId("s")
_INSTANCE = targets.TargetInstance(targets.TargetId("t"), 1)
_OK = target_connections.SendResult(work.Answered(messages.Response(200)))
_CONNECTION_LOST = target_connections.SendResult(
    work.Failed(work.FailureReason.TARGET_LOST), is_connection_lost=True
)
_CONNECTION_REFUSED = target_connections.SendResult(
    work.Refused(work.RefusalReason.TARGET_DOWN), is_connection_refused=True
)


class _Connections:
    """Fake connections: records sent requests; the test answers each."""

    def __init__(self):
        self.open = []
        self.has_process = True

    async def is_refused(self):
        return not self.has_process

    async def send(self, request, target, on_statement):
        del target
        self.on_statement = on_statement
        answer = asyncio.get_running_loop().create_future()
        self.open.append((request, answer))
        try:
            return await answer
        finally:
            self.open.remove((request, answer))

    def close(self):
        pass

    def answer(self, result, number=0):
        self.open[number][1].set_result(result)


class _Keys:
    """Fake of `gate.KeyOwnership` with settable keys.

    Attributes:
      held: Keys that the target holds.
      pending: Keys that are about to be granted to it.
      request_count: Number of counted requests.
    """

    def __init__(self):
        self.held = set()
        self.pending = set()
        self.request_count = 0

    def check(self, key):
        return gate_lib.KeyCheck(key in self.held, key in self.pending)

    def count_request(self, key):
        self.request_count += 1


class _Harness:
    """A gate with fake connections, keys and clock."""

    def __init__(self, capacity=2):
        self.clock = clock_lib.FakeClock()
        self.connections = _Connections()
        self.keys = _Keys()
        self.stop = stop_admission.StopAdmission(self.clock)
        self.metrics = metrics = metrics_lib.Metrics()
        self.null = os.open(os.devnull, os.O_WRONLY)
        log = events.EventLog("vm", self.clock, metrics, self.null)
        self.gate = gate_lib.Gate(
            _SERVICE,
            self.connections,
            quarantine.Quarantine(self.clock, lambda *_: None, 3),
            self.clock,
            log,
            metrics,
            self.keys,
            1.5,
            self.stop,
        )
        self.gate.on_heartbeat(_INSTANCE, capacity)

    def request(self, name="r", **changes):
        now_ms = self.clock.now_ms()
        default = work.Work(
            service=_SERVICE,
            method="GET",
            target="/",
            headers=(),
            body=b"",
            request_id=name,
            route=ids.RouteId("route"),
            caller_service=_SERVICE,
            is_idempotent=True,
            priority=1,
            objective_ms=now_ms + 300,
            deadline_ms=now_ms + 1_200,
            key=None,
            fingerprint=hash(name),
            is_call=False,
        )
        return dataclasses.replace(default, **changes)

    async def start(self, *names, **changes):
        tasks = [
            asyncio.ensure_future(
                self.gate.run(self.request(name, **changes), True)
            )
            for name in names
        ]
        await self.clock.advance(0)
        return tasks


def _run(scenario, **options):
    async def run():
        harness = _Harness(**options)
        try:
            return await scenario(harness)
        finally:
            os.close(harness.null)

    return asyncio.run(run())


def _reason(outcome):
    assert isinstance(outcome, work.Refused), outcome
    return outcome.reason


def test_target_gets_no_more_requests_than_its_capacity():
    """Guards against overload by more concurrent requests than the capacity."""

    async def scenario(harness):
        tasks = await harness.start("a", "b", "c")
        assert [r.request_id for r, _ in harness.connections.open] == ["a", "b"]
        harness.connections.answer(_OK)
        await harness.clock.advance(0)
        assert [r.request_id for r, _ in harness.connections.open] == ["b", "c"]
        for task in tasks:
            task.cancel()

    _run(scenario)


def test_cancelled_waiting_request_never_runs():
    """Guards against a run after the caller was told that nothing was run."""

    async def scenario(harness):
        tasks = await harness.start("a", "b", "c")
        tasks[2].cancel()
        await harness.clock.advance(0)
        for _ in range(2):
            harness.connections.answer(_OK)
            await harness.clock.advance(0)
        assert harness.gate.is_idle()
        return [await task for task in tasks[:2]]

    assert all(isinstance(o, work.Answered) for o in _run(scenario))


def test_idempotent_run_ends_when_its_caller_cancels():
    """Guards against capacity that is used for callers who are gone."""

    async def scenario(harness):
        (task,) = await harness.start("a")
        task.cancel()
        await harness.clock.advance(0)
        assert not harness.connections.open

    _run(scenario)


def test_non_idempotent_run_goes_on_when_its_caller_cancels():
    """Guards against a payment that is cut off halfway."""

    async def scenario(harness):
        (task,) = await harness.start("a", is_idempotent=False)
        task.cancel()
        await harness.clock.advance(0)
        assert len(harness.connections.open) == 1
        harness.connections.answer(_OK)
        await harness.clock.advance(0)
        assert harness.gate.is_idle()

    _run(scenario)


def test_request_for_another_service_is_not_run():
    """Guards against forwards to a VM that took over another's address."""

    async def scenario(harness):
        (task,) = await harness.start("a", service=ids.ServiceId("other"))
        return await task

    assert _reason(_run(scenario)) is work.RefusalReason.OTHER_SERVICE


def test_stopping_or_evacuated_gate_refuses_requests():
    """Guards against requests run in an evacuated zone or during shutdown."""

    async def scenario(harness):
        harness.gate.target.is_evacuated = True
        (first,) = await harness.start("a")
        harness.stop.close()
        (second,) = await harness.start("b")
        return _reason(await first), _reason(await second)

    assert _run(scenario) == (
        work.RefusalReason.EVACUATED,
        work.RefusalReason.STOPPING,
    )


def test_request_that_waited_for_its_key_is_not_run_after_a_stop_began():
    """Guards against runs whose answer the links no longer carry."""

    async def scenario(harness):
        harness.keys.pending.add(7)
        (waiting,) = await harness.start("a", key=7)
        harness.stop.close()
        harness.keys.held.add(7)
        await harness.clock.advance(50)
        return _reason(await waiting)

    assert _run(scenario) is work.RefusalReason.STOPPING


def test_queued_request_that_would_outlast_a_stop_is_refused_at_once():
    """Guards against runs that are cut off at the end of the grace period."""

    async def scenario(harness):
        now_ms = harness.clock.now_ms()
        (running,) = await harness.start("a", deadline_ms=now_ms + 60_000)
        (late,) = await harness.start(
            "b", deadline_ms=now_ms + 60_000, objective_ms=now_ms + 60_000
        )
        (short,) = await harness.start(
            "c", deadline_ms=now_ms + 5_000, objective_ms=now_ms + 5_000
        )
        processing = asyncio.ensure_future(harness.gate.process_queue())
        plan = harness.stop.begin(6_000)
        await harness.clock.advance(2_200)
        assert not late.done()
        await harness.clock.advance(200)
        assert plan.admission_ends_ms <= harness.clock.now_ms()
        reason = _reason(await asyncio.wait_for(late, 1))
        harness.connections.answer(_OK)
        await harness.clock.advance(0)
        names = [each.request_id for each, _ in harness.connections.open]
        harness.connections.answer(_OK)
        await asyncio.wait_for(short, 1)
        await running
        processing.cancel()
        return reason, names

    assert _run(scenario, capacity=1) == (work.RefusalReason.STOPPING, ["c"])


def test_leaving_target_gets_no_requests_after_admission_ends():
    """Guards against queued requests that start after the drain bound."""

    async def scenario(harness):
        tasks = await harness.start("a", "b", "c")
        harness.gate.stop_admission_at(harness.clock.now_ms() + 100)
        await harness.clock.advance(101)
        harness.connections.answer(_OK)
        await harness.clock.advance(0)
        return _reason(await tasks[2])

    assert _run(scenario) is work.RefusalReason.LEAVING


def test_pending_key_is_awaited_and_key_not_held_is_refused():
    """Guards against refusals while a key is handed over to the target."""

    async def scenario(harness):
        harness.keys.pending.add(7)
        pending, other_key = await harness.start(
            "a", key=7
        ) + await harness.start("b", key=8)
        harness.keys.held.add(7)
        await harness.clock.advance(50)
        harness.connections.answer(_OK)
        await harness.clock.advance(0)
        return await pending, _reason(await other_key)

    answered, reason = _run(scenario)
    assert isinstance(answered, work.Answered)
    assert reason is work.RefusalReason.NOT_OWNER


def test_refusals_leave_before_the_deadline():
    """Guards against time-outs of requests that never reached a target.

    The refusal of a request that waited to its deadline came too late, and the
    caller could not try a request again that is not idempotent.
    """

    async def scenario(harness):
        harness.keys.pending.add(7)
        deadline_ms = harness.clock.now_ms() + 400
        (for_key,) = await harness.start("k", key=7, deadline_ms=deadline_ms)
        running = await harness.start("a", "b")
        queue = asyncio.ensure_future(harness.gate.process_queue())
        (queued,) = await harness.start("q", deadline_ms=deadline_ms)
        await harness.clock.advance(400 - timing.REFUSAL_DELAY_MS + 20)
        assert _reason(for_key.result()) is work.RefusalReason.NOT_OWNER
        assert _reason(queued.result()) is work.RefusalReason.DEADLINE
        for task in (queue, *running):
            task.cancel()

    _run(scenario)


def test_request_is_refused_if_its_key_moved_during_the_wait():
    """Guards against two targets that run requests for the same key."""

    async def scenario(harness):
        harness.keys.held.add(7)
        tasks = await harness.start("a", "b", "c", key=7)
        harness.keys.held.clear()
        harness.connections.answer(_OK)
        await harness.clock.advance(0)
        return _reason(await tasks[2])

    assert _run(scenario) is work.RefusalReason.NOT_OWNER


def test_request_that_crashes_its_target_is_quarantined():
    """Guards against one request that crashes target after target."""

    async def scenario(harness):
        for born_ms in range(2, 5):
            (poison,) = await harness.start("poison")
            harness.connections.answer(_CONNECTION_LOST)
            await poison
            (other,) = await harness.start(f"other-{born_ms}")
            harness.connections.answer(_CONNECTION_REFUSED)
            await other
            assert (
                harness.gate.target.reachability is gate_lib.Reachability.DOWN
            )
            harness.gate.on_heartbeat(
                targets.TargetInstance(_INSTANCE.target, born_ms), 2
            )
        (poison,) = await harness.start("poison")
        return _reason(await poison)

    assert _run(scenario) is work.RefusalReason.QUARANTINED


def test_request_that_crashes_its_target_is_quarantined_at_a_quiet_time():
    """Guards against crashes that no other request notices (review/10)."""

    async def scenario(harness):
        for born_ms in range(2, 5):
            (poison,) = await harness.start("poison")
            harness.connections.has_process = False
            harness.connections.answer(_CONNECTION_LOST)
            await poison
            # The target is back only after the crash would have been forgotten.
            await harness.clock.advance(20_000)
            assert (
                harness.gate.target.reachability is gate_lib.Reachability.DOWN
            )
            harness.connections.has_process = True
            harness.gate.on_heartbeat(
                targets.TargetInstance(_INSTANCE.target, born_ms), 2
            )
        (poison,) = await harness.start("poison")
        return _reason(await poison)

    assert _run(scenario) is work.RefusalReason.QUARANTINED


def test_target_that_resets_a_connection_has_not_crashed():
    """Guards against sound requests that are refused after a reset."""

    async def scenario(harness):
        for _ in range(4):
            (request,) = await harness.start("sound")
            harness.connections.answer(_CONNECTION_LOST)
            await request
            await harness.clock.advance(1_000)
            assert harness.gate.target.reachability is gate_lib.Reachability.UP
        (request,) = await harness.start("sound")
        harness.connections.answer(_OK)
        return await request

    assert _run(scenario) == _OK.outcome


def test_silent_target_does_not_count_as_down():
    """Guards against keys that move while a frozen target still holds them."""

    async def scenario(harness):
        harness.gate.mark_silent()
        assert harness.gate.target.reachability is gate_lib.Reachability.SILENT
        (task,) = await harness.start("a")
        return _reason(await task)

    assert _run(scenario) is work.RefusalReason.TARGET_DOWN


_LIMIT_PER_S = 10.0
# What the platform allows in a window: half more than the limit, and 5.
_WINDOW_S = 4
_ALLOWED = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5


async def _serve(harness, seconds, arrivals_per_s, statement):
    """Sends requests at a rate and answers each at once; returns starts."""
    tasks = []
    starts_ms = []
    step_ms = 1_000 // arrivals_per_s
    for number in range(seconds * arrivals_per_s):
        tasks += await harness.start(f"r{harness.clock.now_ms()}-{number}")
        while harness.connections.open:
            starts_ms.append(harness.clock.now_ms())
            harness.connections.on_statement(statement)
            harness.connections.answer(_OK)
            await harness.clock.advance(0)
        await harness.clock.advance(step_ms)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return starts_ms


def _busiest_window(starts_ms):
    return max(
        sum(1 for other in starts_ms if 0 <= other - start < 1_000 * _WINDOW_S)
        for start in starts_ms
    )


def test_target_gets_no_more_than_the_rate_that_its_responses_state():
    """Guards against a limit that is not read, or binds concurrency only."""

    async def scenario(harness):
        queue = asyncio.ensure_future(harness.gate.process_queue())
        limited = targets.Statement(_LIMIT_PER_S)
        starts_ms = await _serve(harness, 12, 50, limited)
        queue.cancel()
        return starts_ms

    starts_ms = _run(scenario, capacity=11)
    assert _busiest_window(starts_ms) <= _ALLOWED
    # Callers are served up to the limit.
    assert len(starts_ms) >= 0.9 * _LIMIT_PER_S * 12


def test_target_is_used_fully_once_it_states_no_limit_any_more():
    """Guards against a limit that outlasts the target's need."""

    async def scenario(harness):
        queue = asyncio.ensure_future(harness.gate.process_queue())
        await _serve(harness, 2, 50, targets.Statement(_LIMIT_PER_S))
        starts_ms = await _serve(harness, 2, 50, targets.Statement())
        queue.cancel()
        return starts_ms

    assert len(_run(scenario, capacity=11)) >= 80


def test_requests_beyond_the_rate_are_refused_at_once_and_told_when_to_return():
    """Guards against callers that are held to their deadline and refused."""

    async def scenario(harness):
        await harness.start("first")
        harness.connections.on_statement(targets.Statement(0.5))
        harness.connections.answer(_OK)
        await harness.clock.advance(0)
        (refused,) = await harness.start("second")
        return refused.result()

    outcome = _run(scenario, capacity=11)
    assert _reason(outcome) is work.RefusalReason.OVERLOADED
    assert outcome.retry_after_ms >= 1_000


def test_new_process_of_a_daemon_holds_the_limit_before_the_first_response():
    """Guards against a full burst at a target whose daemon was restarted."""

    async def scenario(harness):
        harness.gate.assume_rate_limit(_LIMIT_PER_S)
        await harness.start(*(f"r{number}" for number in range(8)))
        return len(harness.connections.open)

    assert _run(scenario, capacity=11) == 0


def test_limit_that_others_remember_does_not_replace_what_the_target_states():
    """Guards against an outdated limit told by a daemon that was away."""

    async def scenario(harness):
        await harness.start("first")
        harness.connections.on_statement(targets.Statement())
        harness.connections.answer(_OK)
        await harness.clock.advance(0)
        harness.gate.assume_rate_limit(_LIMIT_PER_S)
        await harness.start(*(f"r{number}" for number in range(8)))
        return len(harness.connections.open)

    assert _run(scenario, capacity=11) == 8


def test_statement_of_an_earlier_instance_does_not_bind_the_next_one():
    """Guards against a limit of a target that has ended."""

    async def scenario(harness):
        await harness.start("first")
        harness.gate.on_heartbeat(dataclasses.replace(_INSTANCE, born_ms=2), 11)
        harness.connections.on_statement(targets.Statement(_LIMIT_PER_S, True))
        return harness.gate.load().rate_limit_per_s

    assert _run(scenario, capacity=11) is None


def _refusal_at(running, capacity):
    return target_connections.SendResult(
        work.Refused(work.RefusalReason.TARGET_REFUSED, was_offered=True),
        targets.TargetLoad(running, 0, capacity),
    )


async def _refuse_one_of_four(harness, result):
    """Runs four requests; returns how many may run after one was refused."""
    tasks = await harness.start("a", "b", "c", "d")
    harness.connections.answer(result, number=3)
    await harness.clock.advance(0)
    tasks += await harness.start("e", "f")
    started = len(harness.connections.open)
    for task in tasks:
        task.cancel()
    await harness.clock.advance(0)
    return started


def test_target_that_refuses_as_full_gets_fewer_requests_until_it_answers():
    """Guards against a target that is filled up beside work of others."""

    async def scenario(harness):
        few = await _refuse_one_of_four(harness, _refusal_at(5, 5))
        # Each round of answers allows one more.
        for number in range(8):
            await harness.start(f"g{number}")
            harness.connections.answer(_OK)
            await harness.clock.advance(0)
        await harness.start(*"hijkl")
        return few, len(harness.connections.open)

    assert _run(scenario, capacity=4) == (3, 4)


def test_refusal_of_a_target_with_free_places_limits_nothing():
    """Guards against empty places after refusals for other reasons."""

    async def scenario(harness):
        return await _refuse_one_of_four(harness, _refusal_at(3, 5))

    assert _run(scenario, capacity=4) == 4


def test_next_instance_of_a_target_is_filled_up():
    """Guards against a limit that outlasts the target that was full."""

    async def scenario(harness):
        await _refuse_one_of_four(harness, _refusal_at(5, 5))
        harness.gate.on_heartbeat(dataclasses.replace(_INSTANCE, born_ms=2), 4)
        await harness.start(*"hijkl")
        return len(harness.connections.open)

    assert _run(scenario, capacity=4) == 4


async def _leave_one_unanswered(harness, **changes):
    """Returns the task of a request that the target has not answered.

    It has answered others meanwhile.
    """
    now_ms = harness.clock.now_ms()
    (missing,) = await harness.start(
        "missing", deadline_ms=now_ms + 10_000, **changes
    )
    for _ in range(10):
        (other,) = await harness.start("other")
        await harness.clock.advance(100)
        harness.connections.answer(_OK, number=-1)
        await other
    await harness.clock.advance(1_000)
    harness.gate.sample_utilisation()
    await harness.clock.advance(0)
    return missing


async def _overdue(harness):
    """Returns the rest of a request that the target has not answered."""
    missing = await _leave_one_unanswered(harness)
    assert missing.done()
    attempt = await missing
    assert isinstance(attempt, work.Unanswered)
    return attempt.rest


def test_answer_that_was_not_expected_any_more_still_counts():
    """Guards against a guess that ends work and replaces its answer (LOST)."""

    async def scenario(harness):
        rest = await _overdue(harness)
        assert not harness.gate.is_idle()
        harness.connections.answer(_OK)
        return await rest, harness.metrics.counters["gate.overdue.answered"]

    assert _run(scenario) == (_OK.outcome, 1)


def test_stop_goes_on_with_a_request_that_may_stay_unanswered():
    """Guards against answers of our own in place of the target's in a stop."""

    async def scenario(harness):
        harness.stop.begin(60_000)
        rest = await _overdue(harness)
        assert not harness.gate.is_idle()
        harness.connections.answer(_OK)
        return await rest

    assert _run(scenario) == _OK.outcome


def test_request_that_may_stay_unanswered_leaves_its_place_to_others():
    """Guards against places that silent connections occupy until a deadline."""

    async def scenario(harness):
        await _overdue(harness)
        assert harness.gate.load().running == 0
        await harness.start("a", "b")
        return len(harness.connections.open)

    assert _run(scenario, capacity=2) == 3


def test_run_of_a_request_that_may_stay_unanswered_ends_with_its_caller():
    """Guards against targets that work on for callers who have left."""

    async def scenario(harness):
        rest = await _overdue(harness)
        rest.cancel()
        await harness.clock.advance(0)
        assert not harness.connections.open
        return harness.gate.is_idle()

    assert _run(scenario)


def test_caller_that_leaves_as_its_request_becomes_overdue_ends_the_run():
    """Guards against a run that nobody awaits and nobody ends."""

    async def scenario(harness):
        deadline_ms = harness.clock.now_ms() + 10_000
        (missing,) = await harness.start("missing", deadline_ms=deadline_ms)
        for _ in range(3):
            (other,) = await harness.start("other")
            await harness.clock.advance(100)
            harness.connections.answer(_OK, number=-1)
            await other
        harness.clock.jump(1_000)
        harness.gate.sample_utilisation()
        # Before the waiting call has run on.
        missing.cancel()
        await harness.clock.advance(0)
        return missing.cancelled(), harness.gate.is_idle()

    assert _run(scenario) == (True, True)


def test_runs_that_the_gate_ended_are_counted_by_cause_and_step():
    """Guards against runs that end early for a cause that nobody can tell."""

    async def scenario(harness):
        (left,) = await harness.start("left")
        left.cancel()
        await harness.clock.advance(0)
        harness.stop.begin(6_000)
        (late,) = await harness.start("late")
        failed = work.Failed(work.FailureReason.DEADLINE)
        harness.connections.answer(target_connections.SendResult(failed))
        await late
        return {
            name: count
            for name, count in harness.metrics.counters.items()
            if name.startswith("ends.")
        }

    assert _run(scenario) == {
        "ends.run.not-awaited.serving": 1,
        "ends.run.deadline.notice": 1,
    }


def test_organisation_whose_requests_were_refused_goes_first():
    """Guards against an urgent organisation that takes the whole target.

    A refusal for another reason than the load of the target does not count.
    """

    async def scenario(harness):
        async def order_of_starts(other, **refused):
            tasks = await harness.start("a", "b", organisation="urgent")
            tasks += await harness.start(
                "refused", priority=5, organisation=other, **refused
            )
            await harness.clock.advance(40)
            assert isinstance(tasks.pop().result(), work.Refused)
            tasks += await harness.start("c", priority=5, organisation=other)
            started = []
            while harness.connections.open:
                started.append(harness.connections.open[0][0].request_id)
                harness.connections.answer(_OK)
                await harness.clock.advance(0)
            return "".join(started)

        queue = asyncio.ensure_future(harness.gate.process_queue())
        assert await order_of_starts("not an owner", key=7) == "abc"
        now_ms = harness.clock.now_ms()
        soon_ms = now_ms + 20
        # Refused in the queue, then on arrival.
        assert await order_of_starts("late", deadline_ms=soon_ms) == "acb"
        late = {"objective_ms": now_ms, "deadline_ms": now_ms + 50}
        assert await order_of_starts("too late", **late) == "acb"
        queue.cancel()

    _run(scenario, capacity=1)


def test_request_that_others_keep_from_its_deadline_is_refused_at_once():
    """Guards against a caller that is held until it has no time to return.

    More requests that can be in time arrived than run before its deadline.
    """

    async def scenario(harness):
        now_ms = harness.clock.now_ms()
        queue = asyncio.ensure_future(harness.gate.process_queue())
        (running,) = await harness.start("a")
        (late,) = await harness.start("late", objective_ms=now_ms)
        others = await harness.start(
            *(f"r{number}" for number in range(45)),
            objective_ms=now_ms + 5_000,
            deadline_ms=now_ms + 6_000,
        )
        await harness.clock.advance(40)
        assert not any(task.done() for task in others)
        for task in (queue, running, *others):
            task.cancel()
        return late.result()

    refusal = _run(scenario, capacity=1)
    assert _reason(refusal) is work.RefusalReason.OVERLOADED
    assert refusal.retry_after_ms >= 600


def test_run_that_was_ended_is_reported_unless_it_runs_again():
    """Guards against calls that are ended although their run goes on."""

    async def scenario(harness):
        ended = []
        harness.gate.on_cancelled = ended.append
        tasks = await harness.start("a", "a", "b")
        for task in tasks[:2]:
            task.cancel()
            await harness.clock.advance(0)
            ended.append("-")
        (once,) = await harness.start("c", is_idempotent=False)
        once.cancel()
        await harness.clock.advance(0)
        harness.connections.answer(_OK, number=1)
        await harness.clock.advance(0)
        return list(ended)

    assert _run(scenario, capacity=3) == ["-", "a", "-"]


def test_requests_that_may_stay_unanswered_free_a_bounded_number_of_places():
    """Guards against a target that gets more and more than it can hold.

    It is at work on all of them; beyond its queue and its connections it
    refuses or resets requests, those that cannot be repeated among them.
    """

    async def scenario(harness):
        async with asyncio.timeout(5):
            for _ in range(5):
                await _overdue(harness)
        await harness.start(*"abcd")
        return len(harness.connections.open)

    assert _run(scenario, capacity=4) == 6


def test_answer_to_an_overdue_request_takes_back_the_learned_limit():
    """Guards against a limit that is learned from an overflow that was none.

    The answer shows that the target has held the request all the time.
    """

    async def scenario(harness):
        late_ms = harness.clock.now_ms() + 20_000
        await harness.start(*"abc", deadline_ms=late_ms, is_idempotent=False)
        (overdue,) = await harness.start("overdue", deadline_ms=late_ms)
        for _ in range(6):
            (other,) = await harness.start("other")
            await harness.clock.advance(100)
            harness.connections.answer(_OK, number=-1)
            await other
        await harness.clock.advance(0)
        harness.connections.answer(_OK, number=3)
        await overdue.result().rest
        await harness.clock.advance(0)
        await harness.start(*"de", deadline_ms=late_ms)
        return len(harness.connections.open)

    assert _run(scenario, capacity=5) == 5


def test_stalled_upload_is_not_ended_once_its_request_is_answered():
    """Guards against an answer that breaks off as its request body pauses.

    The end of the body takes the connection with it, on which the rest of the
    answer arrives.
    """

    class Stalled(bodies.WholeBody):
        is_closed = False

        def stalled_s(self):
            return 10.0

        def close(self):
            self.is_closed = True

    async def scenario(harness):
        upload = Stalled(b"")
        (answered,) = await harness.start(
            "early", rest=upload, is_idempotent=False
        )
        rest = bodies.Body(None, bodies.Turns())
        response = messages.Response(200, rest=rest)
        harness.connections.answer(
            target_connections.SendResult(work.Answered(response))
        )
        assert (await answered).response is response
        await harness.start("waits")
        queue = asyncio.ensure_future(harness.gate.process_queue())
        await harness.clock.advance(100)
        queue.cancel()
        return upload.is_closed

    assert not _run(scenario, capacity=1)
