"""Tests of the account of bytes that a process holds for others."""

import asyncio
import functools

from hypothesis import strategies as st
import hypothesis.stateful

from mustardloom import clock as clock_lib
from mustardloom import memory_budget

_CAPACITY = 1_000


class _Budget(hypothesis.stateful.RuleBasedStateMachine):
    """Takes, resizes and gives back room in any order."""

    def __init__(self):
        super().__init__()
        self.clock = clock_lib.FakeClock()
        self.budget = memory_budget.MemoryBudget(_CAPACITY, self.clock)
        self.holds = []
        self.streams = []

    @hypothesis.stateful.rule(size=st.integers(0, 400))
    def take(self, size):
        hold = self.budget.try_hold(size)
        if hold is not None:
            self.holds.append(hold)

    @hypothesis.stateful.rule(size=st.integers(1, 400))
    def take_stream(self, size):
        hold = self.budget.try_hold_stream(size)
        if hold is not None:
            hold.on_evicted = functools.partial(self.streams.remove, hold)
            self.streams.append(hold)

    @hypothesis.stateful.rule(data=st.data(), size=st.integers(0, 400))
    def resize(self, data, size):
        if not self.holds:
            return
        data.draw(st.sampled_from(self.holds)).resize(size)

    @hypothesis.stateful.rule(data=st.data())
    def release(self, data):
        if not self.holds:
            return
        hold = data.draw(st.sampled_from(self.holds))
        self.holds.remove(hold)
        hold.release()
        hold.release()

    @hypothesis.stateful.rule(data=st.data())
    def release_stream(self, data):
        if not self.streams:
            return
        hold = data.draw(st.sampled_from(self.streams))
        self.streams.remove(hold)
        hold.release()

    @hypothesis.stateful.rule(ms=st.integers(0, 3_000))
    def wait(self, ms):
        self.clock.jump(ms)

    @hypothesis.stateful.invariant()
    def sum_is_exact_and_bounded(self):
        held = sum(hold.size for hold in (*self.holds, *self.streams))
        assert self.budget.held_bytes == held <= _CAPACITY
        streams = sum(hold.size for hold in self.streams)
        assert streams <= _CAPACITY * 3 // 4


# Guards against a sum of bytes that nobody bounds.
TestBudget = _Budget.TestCase
TestBudget.settings = hypothesis.settings(derandomize=True, deadline=None)


def _budget():
    clock = clock_lib.FakeClock()
    return clock, memory_budget.MemoryBudget(_CAPACITY, clock)


def test_small_messages_have_room_beside_any_number_of_bodies():
    """Guards against small requests that are refused because of uploads."""
    _, budget = _budget()
    while budget.try_hold_stream(100) is not None:
        pass
    assert budget.try_hold(200) is not None


def test_body_that_stands_still_loses_its_room_only_to_one_that_needs_it():
    """Guards against senders that stop and keep others out."""
    clock, budget = _budget()
    stalled = budget.try_hold_stream(400)
    moving = budget.try_hold_stream(300)
    evicted = []
    stalled.on_evicted = lambda: evicted.append("stalled")
    moving.on_evicted = lambda: evicted.append("moving")
    clock.jump(3_000)
    moving.mark_moved()
    assert not evicted
    assert budget.try_hold_stream(400) is not None
    assert evicted == ["stalled"]
    assert budget.try_hold_stream(400) is None


def test_body_that_waits_for_its_turn_keeps_its_room():
    """Guards against uploads that end because this process is busy."""
    clock, budget = _budget()
    ready = budget.try_hold_stream(700)
    ready.mark_ready()
    clock.jump(60_000)
    assert budget.try_hold_stream(100) is None
    ready.mark_moved()
    clock.jump(3_000)
    assert budget.try_hold_stream(100) is not None


def test_answers_wait_for_room_in_order():
    """Guards against answers that are dropped, or overtaken for good."""

    async def run():
        clock, budget = _budget()
        first = budget.try_hold_stream(600)
        waiting = [
            asyncio.ensure_future(budget.hold_stream(size))
            for size in (700, 100)
        ]
        await clock.advance(100)
        assert not any(each.done() for each in waiting)
        # One that came later may not take what the waiting ones need.
        assert budget.try_hold_stream(100) is None
        waiting[0].cancel()
        await clock.advance(100)
        assert waiting[1].done()
        first.release()
        return budget.held_bytes

    assert asyncio.run(run()) == 100


def test_links_and_callers_take_each_others_room():
    """Guards against links that end because callers fill the account."""
    kinds = memory_budget.HoldKind
    _, budget = _budget()
    assert budget.try_hold(_CAPACITY) is not None
    assert budget.try_hold(_CAPACITY // 4, kinds.PARTIAL_FRAME) is not None
    assert budget.try_hold(_CAPACITY // 4, kinds.RECEIVE_WINDOW) is not None
    assert budget.try_hold(_CAPACITY // 2, kinds.UNWRITTEN_FRAME) is not None
    assert budget.try_hold(_CAPACITY // 4, kinds.PARTIAL_HEAD) is not None
    assert budget.try_hold(_CAPACITY // 4, kinds.HEADER_FIELDS) is not None
    assert budget.try_hold(_CAPACITY // 4, kinds.PIPELINED) is not None
    assert budget.try_hold(_CAPACITY // 4, kinds.SERVICE) is not None
    assert budget.held_bytes == 3 * _CAPACITY
    assert all(budget.try_hold(1, kind) is None for kind in kinds)


def test_links_without_room_count_as_refused_callers():
    """Guards against an alert for callers that nobody has refused."""
    _, budget = _budget()
    for kind in memory_budget.HoldKind:
        assert budget.try_hold(2 * _CAPACITY, kind) is None
    # Messages, bodies, heads in part, header fields and requests at the small
    # sockets are those of callers.
    assert budget.refused == 5
