"""Tests that a stop loses nothing that the daemon has accepted."""

import asyncio
import itertools

import pytest

from mustardloom import clock as clock_lib
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import graceful_stop

_GRACE_MS = 6_000


class _Daemon:
    """Fakes of all that a stop ends; the test sets what is still open."""

    def __init__(self, clock):
        self.clock = clock
        self.open = set()
        self.steps = []
        self.admission = stop_admission.StopAdmission(clock)
        self._stop = graceful_stop.GracefulStop(
            self.admission, self, self, self, self, clock, self._on_waiting
        )
        self.waits = []

    def _on_waiting(self, step):
        self.waits.append((self.clock.now_ms(), step))

    def start(self, grace_ms=_GRACE_MS):
        return asyncio.ensure_future(self._stop.run(grace_ms))

    @property
    def is_stopping(self):
        """Whether no request may start any more, whatever its deadline."""
        return not self.admission.may_start(self.clock.now_ms() + 1)

    def drain(self):
        self.steps.append("drain")

    def stop_reading(self):
        self.steps.append("stop-reading")

    def end_incoming(self, replies_ms):
        self.replies_ms = replies_ms
        self.steps.append("end-links")

    def is_busy(self):
        return "caller" in self.open

    def is_idle(self):
        return "gate" not in self.open

    def is_serving(self):
        return "forwarded" in self.open

    def is_writing(self):
        return "reply" in self.open

    def has_incoming(self):
        return "link" in self.open


def _run(scenario):
    clock = clock_lib.FakeClock()
    return asyncio.run(scenario(clock, _Daemon(clock)))


def test_links_end_after_each_thing_that_needs_them():
    """Guards against answers to other daemons that are cut by a stop.

    A request may wait for its key, outside the queue of the gate, and its
    reply may be written slowly.
    """

    async def scenario(clock, daemon):
        daemon.open = {"caller", "gate", "forwarded", "reply"}
        stop = daemon.start()
        await clock.advance(2_400)
        assert daemon.steps == ["drain", "stop-reading"]
        assert not daemon.is_stopping
        for each in ("caller", "gate", "forwarded", "reply"):
            assert "end-links" not in daemon.steps
            daemon.open.remove(each)
            await clock.advance(200)
        assert daemon.is_stopping
        await stop

    _run(scenario)


@pytest.mark.parametrize("grace_ms", [1_000, 2_000, 3_000, 6_000, 12_000])
def test_stop_ends_before_the_grace_period(grace_ms):
    """Guards against a kill while a request or a link does not end."""

    async def scenario(clock, daemon):
        daemon.open = {"caller", "gate", "forwarded", "reply", "link"}
        stop = daemon.start(grace_ms)
        await clock.advance(grace_ms - grace_ms // 30)
        assert stop.done()

    _run(scenario)


@pytest.mark.parametrize("grace_ms", [1_000, 2_000, 3_000, 6_000, 12_000])
def test_short_grace_leaves_time_for_the_last_requests(grace_ms):
    """Guards against a stop that reads requests until its last moment."""

    async def scenario(clock, daemon):
        daemon.open = {"caller"}
        daemon.start(grace_ms)
        await clock.advance(grace_ms * 2 // 5 + 1)
        assert daemon.steps == ["drain", "stop-reading"]
        assert not daemon.admission.may_start(clock.now_ms() + 60_000)

    _run(scenario)


@pytest.mark.parametrize("grace_ms", [1_000, 2_000, 6_000])
def test_wait_for_the_last_replies_takes_the_time_of_the_links(grace_ms):
    """Guards against links whose end is not sent within a short grace."""

    async def scenario(clock, daemon):
        stop = daemon.start(grace_ms)
        await clock.advance(grace_ms)
        await stop
        assert 0 < daemon.replies_ms < grace_ms / 20

    _run(scenario)


def test_stop_that_takes_long_tells_nobody():
    """Guards against a kill at the end of the grace that nothing explains."""

    async def scenario(clock, daemon):
        daemon.open = {"caller", "forwarded"}
        stop = daemon.start()
        await clock.advance(_GRACE_MS)
        assert stop.result() == (
            graceful_stop.Step.CALLERS,
            graceful_stop.Step.OTHER_DAEMONS,
        )
        times_ms = [now_ms for now_ms, _ in daemon.waits]
        assert len(times_ms) >= 2
        assert {step for _, step in daemon.waits} == {
            graceful_stop.Step.CALLERS
        }
        for earlier_ms, later_ms in itertools.pairwise(times_ms):
            assert later_ms - earlier_ms >= 1_000

    _run(scenario)


def test_stop_that_ends_soon_leaves_lines():
    """Guards against a line for each poll of a stop."""

    async def scenario(clock, daemon):
        stop = daemon.start()
        await clock.advance(_GRACE_MS)
        assert stop.result() == ()
        assert daemon.waits == []

    _run(scenario)
