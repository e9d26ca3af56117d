"""Tests of answers whose status is not valid (RFC 9110, section 15)."""

import asyncio

import pytest

from mustardloom.sidecar.tests import small_fleet

_LONG = b"x" * 40_000
_BAD_GATEWAY = 502


def _framed(status, head, ending, body):
    return b"\r\n".join(
        (
            b"HTTP/1.1 %b Status" % status,
            b"X-Request-Id: " + small_fleet.value(head, b"x-request-id"),
            b"X-Response-Signature: s",
            ending,
            b"",
            body,
        )
    )


def _short(status, head):
    return _framed(status, head, b"Content-Length: 2", b"ok")


def _long(status, head):
    return _framed(status, head, b"Content-Length: %d" % len(_LONG), _LONG)


def _in_chunks(status, head):
    size = b"%x" % len(_LONG)
    body = b"%b\r\n%b\r\n0\r\n\r\n" % (size, _LONG)
    return _framed(status, head, b"Transfer-Encoding: chunked", body)


def _without_length(status, head):
    return _framed(status, head, b"Connection: close", _LONG)


def _answer_to(method, answer, daemon, statuses):
    """Returns the statuses that a caller gets, and whether one is signed.

    Args:
      method: Method of the request.
      answer: Returns the bytes that the target writes.
      daemon: Index of the daemon that gets the request; the target of the
        other one runs it.
      statuses: Statuses of the answers of the target, in order.
    """

    async def serve(head, reader, writer):
        del reader
        writer.write(b"".join(answer(status, head) for status in statuses))
        await writer.drain()
        if answer is _without_length:
            writer.close()

    async def scenario(daemons, found):
        del found
        reader, writer = await asyncio.open_connection(
            small_fleet.HOST, daemons[daemon].port
        )
        writer.write(small_fleet.request(0, method))
        try:
            return await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.close()

    head = small_fleet.play(scenario, (None, serve))
    return int(head.split(b" ")[1]), b"signature" in head.lower()


@pytest.mark.parametrize("daemon", [0, 1])
@pytest.mark.parametrize("answer", [_short, _long, _in_chunks, _without_length])
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize(
    "status", [b"000", b"001", b"099", b"101", b"600", b"999", b"20", b""]
)
def test_answer_without_a_valid_status_is_no_answer(
    status, method, answer, daemon
):
    """Guards against a status such as 000 that reaches the caller."""
    assert _answer_to(method, answer, daemon, [status]) == (_BAD_GATEWAY, False)


@pytest.mark.parametrize("daemon", [0, 1])
@pytest.mark.parametrize("status", [b"200", b"404", b"599"])
def test_interim_answer_to_head_is_not_the_last_one(status, daemon):
    """Guards against a 100 that is taken for the answer to a HEAD request."""

    def answer(status, head):
        if status == b"100":
            return b"HTTP/1.1 100 Continue\r\n\r\n"
        return _framed(status, head, b"Content-Length: 2", b"")

    found = _answer_to(b"HEAD", answer, daemon, [b"100", status])
    assert found == (int(status), True)
