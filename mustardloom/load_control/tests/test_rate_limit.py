"""Tests of rate limits that targets state, with a state machine."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mustardloom.load_control import placement
from mustardloom.load_control import rate_limit

_WINDOW_MS = 4_000
_MS_PER_S = 1_000


def _view(vm, rate_per_s=None, running=0):
    return placement.TargetView(
        vm,
        placement.Distance.SAME_ZONE,
        limit=11,
        running=running,
        service_ms=100.0,
        rate_limit_per_s=rate_per_s,
    )


def test_requests_go_to_other_targets_before_a_limited_one_queues():
    """Guards against refusals while other targets have room."""
    busy = _view("b", running=8)
    assert placement.choose([_view("a", 20.0, running=3), busy]) is busy
    assert not placement.has_free_place(_view("a", 20.0, running=2))


def test_limited_target_with_room_is_still_used():
    """Guards against a limited target that is avoided altogether."""
    limited = _view("a", 20.0, running=0)
    assert placement.choose([limited, _view("b", running=9)]) is limited


class Machine(stateful.RuleBasedStateMachine):
    """A target whose limit changes, and a daemon that restarts.

    A start beyond the bound of any limit that has been stated all along for
    a window breaks the machine, restarts included: another daemon tells the
    new process which limit was in force.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 1_000
        self.limit = rate_limit.RateLimit()
        self.rate_per_s = None
        self.stated_since_ms = None
        self.starts_ms = collections.deque()

    @stateful.rule(rate_per_s=strategies.sampled_from([0.0, 0.5, 3.0, 40.0]))
    def state_limit(self, rate_per_s):
        if self.rate_per_s != rate_per_s:
            self.stated_since_ms = self.now_ms
        self.rate_per_s = rate_per_s
        self.limit.state(rate_per_s, self.now_ms)

    @stateful.rule()
    def state_no_limit(self):
        self.rate_per_s = self.stated_since_ms = None
        self.limit.state(None, self.now_ms)

    @stateful.precondition(lambda self: self.rate_per_s is not None)
    @stateful.rule(sent_before_ms=strategies.integers(1, 150))
    def receive_overtaken_response_without_limit(self, sent_before_ms):
        self.now_ms += sent_before_ms
        self.limit.state(None, self.now_ms)

    @stateful.precondition(lambda self: self.rate_per_s is not None)
    @stateful.rule()
    def restart_daemon(self):
        known = self.limit.rate_per_s
        self.limit = rate_limit.RateLimit()
        if known is not None:
            self.limit.state(known, self.now_ms)

    @stateful.rule(
        count=strategies.integers(1, 40), gap_ms=strategies.integers(0, 60)
    )
    def send_requests(self, count, gap_ms):
        for _ in range(count):
            self.now_ms += gap_ms
            if self.limit.wait_ms(self.now_ms):
                continue
            self.limit.record_start(self.now_ms)
            self.starts_ms.append(self.now_ms)
            # Each response repeats the statement.
            self.limit.state(self.rate_per_s, self.now_ms)

    @stateful.rule(passed_ms=strategies.integers(1, 5_000))
    def wait(self, passed_ms):
        self.now_ms += passed_ms

    @stateful.invariant()
    def bound_holds(self):
        while self.starts_ms and self.starts_ms[0] <= self.now_ms - _WINDOW_MS:
            self.starts_ms.popleft()
        since_ms = self.stated_since_ms
        if since_ms is None:
            return
        counted = sum(1 for start_ms in self.starts_ms if start_ms > since_ms)
        assert self.rate_per_s is not None
        allowed = 1.5 * self.rate_per_s * _WINDOW_MS / _MS_PER_S + 5
        assert counted <= allowed, (counted, allowed)

    @stateful.invariant()
    def wait_ends(self):
        wait_ms = self.limit.wait_ms(self.now_ms)
        assert not self.limit.wait_ms(self.now_ms + wait_ms)


TestRateLimit = Machine.TestCase
TestRateLimit.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
