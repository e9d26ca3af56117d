"""Tests of planned stops, from what callers get and targets run.

Requests have seconds left when the daemon ends: whatever starts late must not
run, and its caller must be told so.
"""

import asyncio
import contextlib

import pytest

from mustardloom.deployment import configuration
from mustardloom.sidecar import graceful_stop
from mustardloom.sidecar.tests import small_fleet as fleet

_GRACE_MS = 1_500
# Between the last admission and the end of the daemon.
_LATE_S = 0.8
_BODY_BYTES = 100


def _stop(daemon, grace_ms=_GRACE_MS):
    stopping = graceful_stop.GracefulStop(
        daemon.stop,
        daemon.http,
        daemon.gate,
        daemon.forwarder,
        daemon.links,
        daemon.clock,
    )
    return asyncio.ensure_future(stopping.run(grace_ms))


def _runs(runs, work_s=0.0):
    """Returns a target's function that notes the requests that it runs."""

    async def serve(head, reader, writer):
        size = int(fleet.value(head, b"content-length") or 0)
        await reader.readexactly(size)
        request_id = fleet.value(head, b"x-request-id").decode()
        runs.append(request_id)
        await asyncio.sleep(work_s)
        writer.write(fleet.response(head, b"200 OK", b"ok"))

    return serve


class _Caller:
    """A caller that sends a request in two parts."""

    def __init__(self, daemon, request_id, deadline_ms=8_000, size=_BODY_BYTES):
        self._daemon = daemon
        self._data = (
            fleet.request(size, request_id=request_id).replace(
                b"8000", b"%d" % deadline_ms
            )
            + fleet.BODY[:size]
        )

    async def begin(self, unsent=1):
        self.reader, self.writer = await asyncio.open_connection(
            fleet.HOST, self._daemon.port
        )
        self.writer.write(self._data[: len(self._data) - unsent])
        self._unsent = unsent

    async def end(self):
        """Sends the rest; returns the status, None without an answer."""
        self.writer.write(self._data[len(self._data) - self._unsent :])
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            self.writer.close()
        return int(head.split(b" ")[1])


@pytest.mark.parametrize("owner", ["a", "b"])
@pytest.mark.parametrize("unsent", [1, _BODY_BYTES, _BODY_BYTES + 20])
def test_request_whose_end_comes_late_in_a_stop_is_not_run(owner, unsent):
    """Guards against runs that a stop cuts off (LOST).

    Its last byte comes after the last admission, in the body or in the head.
    One that cannot outlast the stop is still served.
    """
    runs = []

    async def scenario(daemons, found):
        del found
        late = _Caller(daemons[0], b"late")
        short = _Caller(daemons[0], b"short", deadline_ms=1_000)
        await late.begin(unsent)
        await short.begin(unsent)
        await asyncio.sleep(0.05)
        stopping = _stop(daemons[0])
        await asyncio.sleep(_LATE_S)
        statuses = [await short.end(), await late.end()]
        await asyncio.wait_for(stopping, _GRACE_MS / 1_000)
        return statuses

    serve = _runs(runs)
    assert fleet.play(scenario, (serve, serve), (owner,)) == [200, 503]
    assert runs == ["short"]


@pytest.mark.parametrize("owner", ["a", "b"])
def test_long_upload_that_began_before_a_stop_is_not_passed_on_late(owner):
    """Guards against uploads that a stop cuts off in the middle.

    It becomes long enough to be passed on only after the last admission.
    """
    runs = []

    async def scenario(daemons, found):
        del found
        late = _Caller(daemons[0], b"late", size=1_000_000)
        await late.begin(995_000)
        await asyncio.sleep(0.05)
        stopping = _stop(daemons[0])
        await asyncio.sleep(_LATE_S)
        status = await late.end()
        await asyncio.wait_for(stopping, _GRACE_MS / 1_000)
        return status

    serve = _runs(runs)
    assert fleet.play(scenario, (serve, serve), (owner,)) == 503
    assert runs == []


@pytest.mark.parametrize("owner", ["a", "b"])
def test_upload_that_is_being_passed_on_ends_whole_within_a_stop(owner):
    """Guards against stops that cut a body between its first and last piece."""
    runs = []

    async def scenario(daemons, found):
        del found
        caller = _Caller(daemons[0], b"r", size=1_000_000)
        await caller.begin(100_000)
        await asyncio.sleep(0.1)
        stopping = _stop(daemons[0])
        await asyncio.sleep(_LATE_S)
        status = await caller.end()
        await asyncio.wait_for(stopping, _GRACE_MS / 1_000)
        return status

    serve = _runs(runs)
    assert fleet.play(scenario, (serve, serve), (owner,)) == 200
    assert runs == ["r"]


def test_pipelined_requests_behind_a_long_answer_are_answered_in_a_stop():
    """Guards against requests that wait on their connection and are cut.

    The last one arrives after the last admission.
    """
    runs = []

    async def scenario(daemons, found):
        del found
        daemons[0].kind = configuration.RequestKind.IDEMPOTENT
        reader, writer = await asyncio.open_connection(
            fleet.HOST, daemons[0].port
        )
        writer.write(fleet.request(0, b"GET", b"0"))
        writer.write(fleet.request(0, b"GET", b"1"))
        await asyncio.sleep(0.05)
        stopping = _stop(daemons[0])
        await asyncio.sleep(_LATE_S)
        writer.write(fleet.request(0, b"GET", b"2"))
        answers = await reader.read()
        writer.close()
        await asyncio.wait_for(stopping, _GRACE_MS / 1_000)
        return answers.count(b"HTTP/1.1 200"), answers.count(b"HTTP/1.1 ")

    serve = _runs(runs, work_s=_LATE_S + 0.1)
    whole, answered = fleet.play(scenario, (serve,), ("a",))
    assert sorted(runs) == ["0", "1"]
    assert whole == 2
    assert answered >= 2


def test_retry_does_not_start_late_in_a_stop():
    """Guards against a second attempt that a stop cuts off."""
    runs = []

    async def refuse_late(head, reader, writer):
        await reader.readexactly(_BODY_BYTES)
        await asyncio.sleep(_LATE_S)
        writer.write(
            fleet.response(head, b"503 Full", b"", b"X-Not-Executed: 1")
        )

    async def scenario(daemons, found):
        del found
        caller = _Caller(daemons[0], b"r")
        await caller.begin()
        stopping = _stop(daemons[0])
        status = await caller.end()
        await asyncio.wait_for(stopping, _GRACE_MS / 1_000)
        return status

    serves = (None, refuse_late, _runs(runs))
    assert fleet.play(scenario, serves, ("b", "c")) == 503
    assert runs == []


def test_request_that_waits_in_a_queue_does_not_start_late_in_a_stop():
    """Guards against a queue that outlives the last admission."""
    runs = []

    async def scenario(daemons, found):
        del found
        queue = asyncio.ensure_future(daemons[0].gate.process_queue())
        daemons[0].set_capacity(1)
        callers = [_Caller(daemons[0], b"%d" % each) for each in range(3)]
        for caller in callers:
            await caller.begin()
        answers = asyncio.gather(*(caller.end() for caller in callers))
        await asyncio.sleep(0.05)
        stopping = _stop(daemons[0])
        statuses = await answers
        await asyncio.wait_for(stopping, _GRACE_MS / 1_000)
        queue.cancel()
        return statuses

    serve = _runs(runs, work_s=_LATE_S)
    statuses = fleet.play(scenario, (serve,), ("a",))
    assert sorted(statuses) == [200, 503, 503]
    assert len(runs) == 1


def test_requests_of_others_are_refused_or_answered_by_a_stopping_target():
    """Guards against failures of requests that were not run (502)."""
    runs = []

    async def scenario(daemons, found):
        del found
        statuses = []

        async def send(number):
            caller = _Caller(daemons[0], b"%d" % number)
            await caller.begin()
            statuses.append((b"%d" % number, await caller.end()))

        stopping = _stop(daemons[1])
        sending = []
        while not stopping.done():
            sending.append(asyncio.ensure_future(send(len(sending))))
            await asyncio.sleep(0.01)
        daemons[1].links.close()
        await asyncio.gather(*sending)
        return statuses

    serve = _runs(runs, work_s=0.4)
    statuses = fleet.play(scenario, (None, serve), ("b",))
    answered = {name.decode() for name, status in statuses if status == 200}
    assert answered == set(runs)
    assert {status for _, status in statuses} == {200, 503}


def test_two_stops_that_overlap_cut_nothing():
    """Guards against a caller's daemon and a target's that stop together."""
    runs = []

    async def scenario(daemons, found):
        del found
        statuses = []

        async def send(number):
            caller = _Caller(daemons[0], b"%d" % number)
            with contextlib.suppress(ConnectionError):
                await caller.begin()
                statuses.append((str(number), await caller.end()))

        stops = [_stop(daemons[0])]
        sending = []
        for number in range(130):
            sending.append(asyncio.ensure_future(send(number)))
            await asyncio.sleep(0.01)
            if number == 25:
                stops.append(_stop(daemons[1]))
        await asyncio.gather(*stops)
        for each in daemons[:2]:
            each.links.close()
        await asyncio.gather(*sending)
        return statuses

    serve = _runs(runs, work_s=0.3)
    statuses = fleet.play(scenario, (None, serve), ("b",))
    assert {name for name, status in statuses if status == 200} == set(runs)
    assert {status for _, status in statuses} <= {200, 503, None}


def test_run_that_a_stop_awaits_can_still_make_its_calls():
    """Guards against runs that fail as their target can call nobody.

    The daemon beside the target stops and awaits a run for another daemon. The
    target calls, on a new connection, after the last admission; the call ends
    long before the daemon does.
    """
    statuses = []

    async def scenario(daemons, found):
        del found
        caller, beside = daemons

        async def call(number):
            head = fleet.request(0, request_id=b"call").replace(
                b"8000", b"%d" % number
            )
            try:
                status, _, _ = await fleet.send(beside, head)
            except OSError:
                status = None
            statuses.append(status)

        calls.append(call)
        asking = asyncio.ensure_future(
            fleet.send(caller, fleet.request(0, request_id=b"run"))
        )
        await asyncio.sleep(0.1)
        stopping = _stop(beside, 3_000)
        status, _, _ = await asking
        await asyncio.wait_for(stopping, 3)
        return status

    calls = []

    async def serve(head, reader, writer):
        if fleet.value(head, b"x-request-id") == b"run":
            # Admission ends after 0.4 of the grace period.
            await asyncio.sleep(1.6)
            await calls[0](500)
        writer.write(fleet.response(head, b"200 OK", b"ok"))

    assert fleet.play(scenario, (None, serve)) == 200
    assert statuses == [200]
