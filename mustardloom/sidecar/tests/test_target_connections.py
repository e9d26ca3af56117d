"""Tests that a refusal is believed only of the sending that it answers.

The target is a raw server that may write an earlier response once more.
"""

import asyncio

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import targets
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import work

_HOST = "127.0.0.1"
_TARGET = targets.TargetId("t")
_CRLF = b"\r\n"
_REQUEST_ID = b"x-request-id: "


def _response(status, request_id, more=b""):
    lines = [b"HTTP/1.1 %d x" % status, b"Content-Length: 0"]
    if request_id is not None:
        lines.append(b"X-Request-Id: " + request_id)
    return _CRLF.join([*lines, more]) + (_CRLF if more else b"") + _CRLF


def _refusal(request_id, status=503):
    return _response(status, request_id, b"X-Not-Executed: 1")


def _answer(request_id):
    return _response(200, request_id, b"X-Response-Signature: s")


class _Target:
    """Refuses the first request, and repeats that refusal before later answers.

    Attributes:
      runs: Ids of the requests that it ran.
      connections: Number of connections so far.
    """

    def __init__(self, has_id, status=503):
        self.runs = []
        self.connections = 0
        self._has_id = has_id
        self._status = status
        self._refused_id = None

    async def serve(self, reader, writer):
        self.connections += 1
        repeated = b""
        try:
            while True:
                head = await reader.readuntil(_CRLF * 2)
                start = head.lower().index(_REQUEST_ID) + len(_REQUEST_ID)
                request_id = head[start:].partition(_CRLF)[0]
                if self._refused_id is None:
                    self._refused_id = request_id
                    shown = request_id if self._has_id else None
                    repeated = _refusal(shown, self._status)
                    writer.write(repeated)
                    continue
                self.runs.append(request_id.decode())
                writer.write(repeated)
                writer.write(_answer(request_id))
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()


def _request(request_id, clock):
    now_ms = clock.now_ms()
    return work.Work(
        service=ids.ServiceId("s"),
        method="GET",
        target="/",
        headers=((b"X-Request-Id", request_id.encode()),),
        body=b"",
        request_id=request_id,
        route=ids.RouteId("route"),
        caller_service=ids.ServiceId("s"),
        is_idempotent=False,
        priority=1,
        objective_ms=now_ms + 300,
        deadline_ms=now_ms + 5_000,
        key=None,
        fingerprint=1,
        is_call=False,
    )


def _send(target, request_ids):
    """Returns the outcomes of requests that are sent one after the other."""

    async def run():
        clock = clock_lib.SystemClock()
        listening = await asyncio.start_server(target.serve, _HOST, 0)
        address = listening.sockets[0].getsockname()
        connections = target_connections.TargetConnections(
            address, clock, metrics_lib.Metrics()
        )
        try:
            return [
                (
                    await connections.send(
                        _request(each, clock), _TARGET, lambda _: None
                    )
                ).outcome
                for each in request_ids
            ]
        finally:
            connections.close()
            listening.close()
            await asyncio.sleep(0.01)

    return asyncio.run(run())


def test_repeated_refusal_without_an_id_is_not_taken_for_the_next_one():
    """Guards against "not run" for a request that runs (REFUSED, TWICE)."""
    target = _Target(has_id=False)
    first, *others = _send(target, ["a", "b", "c"])
    assert isinstance(first, work.Refused)
    assert target.runs == ["b", "c"]
    assert all(isinstance(each, work.Answered) for each in others)
    assert target.connections == 1


def test_repeated_refusal_of_a_request_that_is_sent_again_is_not_believed():
    """Guards against an earlier refusal of the very same request (REFUSED)."""
    target = _Target(has_id=True, status=421)
    first, second, third = _send(target, ["a", "a", "b"])
    assert isinstance(first, work.Refused)
    assert target.runs == ["a", "b"]
    assert isinstance(second, work.Answered)
    assert isinstance(third, work.Answered)


def test_refusal_with_the_id_of_another_request_is_skipped():
    """Guards against a refusal of another request (REFUSED)."""
    target = _Target(has_id=True)
    first, second = _send(target, ["a", "b"])
    assert isinstance(first, work.Refused)
    assert isinstance(second, work.Answered)
    assert target.connections == 1


_SIGNED_HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
_ANSWERS = {
    "sized": _SIGNED_HEAD + b"Content-Length: 4\r\n\r\nbody",
    "chunked": _SIGNED_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "unsized": _SIGNED_HEAD + b"\r\n",
}


class _BrokenTarget:
    """Writes the beginning of an answer and ends its connection."""

    def __init__(self, sent):
        self._sent = sent

    async def serve(self, reader, writer):
        await reader.readuntil(_CRLF * 2)
        writer.write(self._sent)
        writer.close()


@pytest.mark.parametrize("kind", list(_ANSWERS))
def test_answer_whose_end_is_missing_is_no_answer(kind):
    """Guards against a short answer that looks complete (MIXED, ORDER).

    The end is cut off at each byte, within the head too.
    """
    answer = _ANSWERS[kind]
    for length in range(len(answer)):
        (outcome,) = _send(_BrokenTarget(answer[:length]), ["a"])
        assert isinstance(outcome, work.Failed), (length, outcome)
    (outcome,) = _send(_BrokenTarget(answer), ["a"])
    assert isinstance(outcome, work.Answered)
