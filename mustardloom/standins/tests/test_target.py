"""Tests of the stand-in target."""

import asyncio
import socket
from typing import Any

import msgspec
import pytest
from tornado import httpclient
from tornado import httpserver
from tornado import simple_httpclient
from tornado import web

from mustardloom import clock as clock_lib
from mustardloom.standins import runs
from mustardloom.standins import service
from mustardloom.standins import target as target_lib

GRANTS = {
    "expires_ms": 2**60,
    "grants": [{"group": "g", "slot": 1, "epoch": 7}],
}


class TargetHarness:
    """A target on loopback with a fake clock."""

    def __init__(self, **settings: Any):
        self.clock = clock_lib.FakeClock()
        self.exits: list[int] = []
        self.target = target_lib.Target(
            target_lib.TargetSettings(
                service="s", mean_ms=10, sigma=0, **settings
            ),
            self.clock,
            exit_process=lambda: self.exits.append(1),
        )
        self.target.start()
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, defaults={"request_timeout": 60}
        )

    def post(self, path, body="", **headers):
        names = {f"X-Mustardloom-{k.title()}": v for k, v in headers.items()}
        return asyncio.ensure_future(
            self.client.fetch(
                f"http://127.0.0.1:{self.target.port}{path}",
                method="POST",
                body=body,
                headers={"X-Echo": "nonce", **names},
                raise_error=False,
            )
        )

    async def run_request(self, body="", **headers):
        """Sends a request, runs it to its end and returns the answer."""
        answer = self.post("/a", body, **headers)
        await self.until(lambda: self.work_count() or answer.done())
        await self.clock.advance(10)
        return await answer

    def work_count(self):
        return len(self.target._work_by_dispatch_id)

    async def until(self, condition, step_ms=0):
        """Runs the event loop until a condition holds."""
        while not condition():
            await self.clock.advance(step_ms)

    def outcomes(self):
        return [run.outcome for run in self.target.record.page(0).runs]


def _run(scenario, **settings):
    async def inside():
        harness = TargetHarness(**settings)
        result = await scenario(harness)
        harness.client.close()
        await harness.target.stop()
        return result

    return asyncio.run(asyncio.wait_for(inside(), 60))


def test_only_the_granted_epoch_runs():
    """Guards against a stand-in that runs requests without valid fencing.

    A fault in the fencing of the daemons would then go unnoticed.
    """

    async def scenario(harness):
        slot = {"group": "g", "slot": "1"}
        ungranted = await harness.run_request(epoch="7", **slot)
        await harness.post("/_target/grants", msgspec.json.encode(GRANTS))
        stale = await harness.run_request(epoch="6", **slot)
        good = await harness.run_request(epoch="7", **slot)
        release = {"released": GRANTS["grants"]}
        await harness.post("/_target/grants", msgspec.json.encode(release))
        released = await harness.run_request(epoch="7", **slot)
        answers = (ungranted, stale, good, released)
        return answers, harness.outcomes()

    answers, record = _run(scenario)
    assert [answer.code for answer in answers] == [503, 503, 200, 503]
    run = ["no", "no", None, "no"]
    assert [a.headers.get("X-Target-Run") for a in answers] == run
    assert msgspec.json.decode(answers[2].body)["echo"] == "nonce"
    not_run = runs.RunOutcome.NOT_RUN
    assert record == [not_run, not_run, runs.RunOutcome.COMMITTED, not_run]


def test_deadlines_are_checked_before_the_commit():
    """Guards against requests that take effect after their slot has moved."""

    async def scenario(harness):
        now_ms = harness.clock.now_ms()
        headers = {"Deadline-Ms": str(now_ms + 5)}
        late = await harness.run_request(**headers)
        later = await harness.run_request(**headers)
        return late.code, later.code, harness.outcomes()

    assert _run(scenario) == (
        503,
        503,
        [runs.RunOutcome.EXPIRED, runs.RunOutcome.NOT_RUN],
    )


def test_cancelled_work_does_not_commit():
    """Guards against requests that commit after a confirmed cancellation."""

    async def scenario(harness):
        answer = harness.post("/a", Dispatch="d1")
        await harness.until(harness.work_count)
        await harness.post("/_target/cancel", Dispatch="d1")
        early = (await answer).code
        await harness.post("/_target/cancel", Dispatch="d2")
        return (
            early,
            (await harness.run_request(Dispatch="d2")).code,
            harness.outcomes(),
        )

    assert _run(scenario) == (
        503,
        503,
        [runs.RunOutcome.CANCELLED, runs.RunOutcome.NOT_RUN],
    )


def test_requests_are_refused_if_the_queue_is_full():
    """Guards against a stand-in that accepts any load."""

    async def scenario(harness):
        answers = [harness.post("/a") for _ in range(4)]
        await harness.until(lambda: any(a.done() for a in answers))
        refused = [a.result().code for a in answers if a.done()]
        while not all(a.done() for a in answers):
            await harness.clock.advance(10)
        return refused, harness.outcomes().count(runs.RunOutcome.COMMITTED)

    assert _run(scenario, capacity=1) == ([503], 3)


def test_a_cold_target_crashes_under_load():
    """Guards against a stand-in that needs no slow start.

    A fault in the slow start of the daemons would then go unnoticed.
    """
    capacity = service.WarmCapacity(6)
    assert capacity.is_overloaded(3, 0)
    assert not capacity.is_overloaded(2, 0)
    for _ in range(2 + 3 + 4 + 5):
        capacity.record_completed()
    assert not capacity.is_overloaded(7, 0)
    capacity.reset(grace_until_ms=5)
    assert [capacity.is_overloaded(3, now_ms) for now_ms in (4, 5)] == [
        False,
        True,
    ]


def test_target_restarts_after_a_poisoned_request():
    """Guards against a crash that leaves the old instance id in place."""

    async def scenario(harness):
        first = harness.target.instance
        with pytest.raises(simple_httpclient.HTTPStreamClosedError):
            await harness.run_request("POISON")
        await harness.clock.advance(50)
        await harness.until(lambda: harness.target._server is not None)
        good = await harness.run_request("x")
        instances = (first, good.headers["X-Target-Instance"])
        return good.code, instances, harness.outcomes()

    good, (first, second), record = _run(scenario, restart_after_ms=50)
    assert good == 200
    assert first != second
    committed = runs.RunOutcome.COMMITTED
    assert record == [runs.RunOutcome.CRASHED, committed]


def test_announcements_are_repeated_until_the_daemon_listens():
    """Guards against a target that stays unknown after a daemon restart."""
    seen = []

    class Handler(web.RequestHandler):
        def post(self):
            seen.append(msgspec.json.decode(self.request.body))

    async def scenario(harness):
        task = asyncio.create_task(harness.target.run())
        await harness.until(lambda: harness.clock.now_ms() > 3_000, 500)
        listener.listen()
        listener.setblocking(False)
        server = httpserver.HTTPServer(web.Application([("/targets", Handler)]))
        server.add_socket(listener)
        await harness.until(lambda: seen, 500)
        task.cancel()
        server.stop()
        return harness.target.instance, harness.target.port

    # Bound but not listening, so that connections are refused.
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    instance, port = _run(scenario, daemon_admin=address)
    assert seen[0] == {
        "service": "s",
        "address": f"127.0.0.1:{port}",
        "capacity": 6,
        "instance": instance,
        "checks_fencing": True,
    }
