"""Tests of the ingress over raw sockets."""

import asyncio
import json

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import request_ids
from mustardloom.declarations import model
from mustardloom.forwarding import ingress as ingress_lib
from mustardloom.routing import routes

LIMIT = 1_000
ID = "018bcfe5-6800-7000-8000-0123456789AB"
ROUTES = (
    model.Route(
        id=ids.RouteId("salio"),
        prefix="/salio",
        service=ids.ServiceId("salio"),
        key=model.KeySource(model.KeySourceKind.PATH_SEGMENT, "1"),
    ),
    model.Route(
        id=ids.RouteId("bidhaa"),
        prefix="/bidhaa",
        service=ids.ServiceId("bidhaa"),
        home_regions=(ids.RegionId("ziwa"),),
    ),
)
ORGANISATION = model.Organisation(
    id=ids.OrganisationId("duka"), home_regions=(ids.RegionId("pwani"),)
)
TABLE = routes.RouteTable(
    [
        model.DeclarationSet(
            id=ids.DeclarationSetId("x"),
            routes=ROUTES,
            organisations=(ORGANISATION,),
        )
    ]
)


class IngressHarness:
    """An ingress, by default with a router that echoes, and its callers.

    Attributes:
      requests: Requests that reached the router.
    """

    def __init__(self, route=None):
        self.requests = []
        self._route = route or self.echo
        self.ingress = ingress_lib.Ingress(
            lambda: TABLE,
            self._on_request,
            clock_lib.SystemClock(),
            metrics_lib.Metrics(),
            LIMIT,
        )
        self.port = self.ingress.listen("127.0.0.1", 0)

    async def _on_request(self, request):
        self.requests.append(request)
        return await self._route(request)

    async def echo(self, request):
        return outcomes.Answered(200, (("X-T", "1"),), request.path.encode())

    async def exchange(self, data):
        """Sends bytes and returns everything received until the close."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        received = await reader.read()
        writer.close()
        return received


def run(scenario, route=None):
    """Runs `scenario(harness)` against an ingress that routes by `route`."""

    async def main():
        harness = IngressHarness(route)
        try:
            return await scenario(harness)
        finally:
            await harness.ingress.stop()

    return asyncio.run(asyncio.wait_for(main(), 20))


def message(method="GET", path="/salio/7", headers=(), body=b"", close=True):
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers]
    if close:
        lines.append("Connection: close")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def send(data, route=None):
    """Sends bytes; returns the status, headers, body and routed requests."""

    async def scenario(harness):
        received = await harness.exchange(data)
        return received, harness.requests

    received, routed = run(scenario, route)
    head, _, body = received.partition(b"\r\n\r\n")
    assert received.count(b"HTTP/1.1 ") == 1, received
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    return int(lines[0].split()[1]), headers, body, routed


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET /salio/7 HTTP/1.1\r\nbroken header\r\n\r\n",
        message(headers=["Content-Length: x"]),
        message(headers=["Content-Length: 1", "Content-Length: 2"], body=b""),
        message("POST", headers=["Transfer-Encoding: chunked"]) + b"zz\r\n",
        message(
            "POST",
            headers=["Transfer-Encoding: chunked", "Content-Length: 3"],
        )
        + b"abc",
        message(path="http://other/salio/7"),
        message(path="/salio/../bidhaa"),
        message(path="/salio/%2e%2E/bidhaa"),
        message(path="/salio"),
        message(headers=["X-Mustardloom-Deadline-Ms: -5"]),
        message(headers=["X-Mustardloom-Deadline-Ms: 0"]),
        message(headers=["X-Mustardloom-Deadline-Ms: ²"]),
        message(headers=["X-Mustardloom-Deadline-Ms: 1"] * 2),
        message("POST", headers=["Idempotency-Key: 7"]),
        message(headers=["Idempotency-Key: 7"]),
        message(
            "POST",
            headers=["Idempotency-Key: 018bcfe5-6800-4000-8000-0123456789ab"],
        ),
        message("POST", headers=[f"Idempotency-Key: {ID}"] * 2),
    ],
)
def test_malformed_requests_get_one_answer_and_are_not_routed(data):
    """Guards against request smuggling through ambiguous requests."""
    status, _, _, routed = send(data)
    assert (status, routed) == (400, [])


def test_refusals_are_json_with_outcome_and_reason():
    """Guards against callers that cannot tell refused from unknown."""
    status, headers, body, _ = send(message(path="/nowhere"))
    assert status == 404
    assert headers["x-mustardloom-outcome"] == "refused"
    assert headers["x-mustardloom-reason"] == "no-route"
    assert json.loads(body)["reason"] == "no-route"


@pytest.mark.parametrize("sent", [LIMIT + 1, 5 * LIMIT, 80 * LIMIT])
def test_large_content_length_is_refused(sent):
    """Guards against buffering large bodies, and a reset that loses the 413."""
    data = message("POST", body=b"x" * sent)
    status, headers, _, routed = send(data)
    assert (status, routed) == (413, [])
    assert headers["x-mustardloom-outcome"] == "refused"


def test_large_chunked_body_is_refused():
    """Guards against a limit that only checks Content-Length."""
    chunk = b"64\r\n" + b"x" * 100 + b"\r\n"
    data = message("POST", headers=["Transfer-Encoding: chunked"])
    status, _, _, routed = send(data + chunk * 20 + b"0\r\n\r\n")
    assert (status, routed) == (413, [])


def test_body_at_the_limit_is_routed_whole():
    """Guards against an off-by-one limit and lost chunks."""
    status, _, _, routed = send(message("POST", body=b"x" * LIMIT))
    assert status == 200
    assert routed[0].body == b"x" * LIMIT


def test_pipelined_requests_are_answered_in_order():
    """Guards against answers swapped on one connection (invariant I6)."""

    async def route(request):
        # The first answer is ready last.
        await asyncio.sleep(0.05 if request.key == "1" else 0)
        return outcomes.Answered(200, (), request.path.encode())

    async def scenario(harness):
        first = message(path="/salio/1", close=False)
        return await harness.exchange(first + message(path="/salio/2"))

    received = run(scenario, route)
    assert received.index(b"/salio/1") < received.index(b"/salio/2")


def test_caller_that_disconnects_cancels_its_request():
    """Guards against running requests of callers that disconnected."""
    entered, cancelled = asyncio.Event(), asyncio.Event()

    async def route(request):
        entered.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async def scenario(harness):
        _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(message())
        await entered.wait()
        writer.transport.abort()
        await cancelled.wait()
        await asyncio.sleep(0)
        return harness.ingress.active_count()

    assert run(scenario, route) == 0


def test_request_with_an_incomplete_body_is_not_routed():
    """Guards against running a request whose body is truncated."""

    async def scenario(harness):
        _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        head = message("POST", headers=["Content-Length: 100"])
        writer.write(head + b"half")
        await writer.drain()
        writer.transport.abort()
        # After a later exchange the ingress has processed the close.
        await harness.exchange(message())
        return harness.requests

    routed = run(scenario)
    assert [request.method for request in routed] == ["GET"]


def test_hop_by_hop_and_reserved_headers_are_dropped():
    """Guards against callers that forge fencing headers."""
    headers = [
        "X-Mustardloom-Epoch: 9",
        "X-Private: 1",
        "TE: trailers",
        "Upgrade: h2c",
        "X-Kept: 1",
    ]
    data = message(headers=headers, close=False).replace(
        b"\r\n\r\n", b"\r\nConnection: close, X-Private\r\n\r\n"
    )

    async def scenario(harness):
        # `Connection` is not just "close", so the connection stays open.
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        writer.write(data)
        await reader.readuntil(b"/salio/7")
        writer.close()
        return harness.requests

    (request,) = run(scenario)
    assert request.headers == (("X-Kept", "1"),)


def test_hop_by_hop_headers_of_the_answer_are_dropped():
    """Guards against conflicting framing headers in the answer."""

    async def route(request):
        headers = (
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "99"),
            ("Set-Cookie", "a"),
            ("Set-Cookie", "b"),
        )
        return outcomes.Answered(200, headers, b"body")

    async def scenario(harness):
        return await harness.exchange(message())

    received = run(scenario, route)
    assert b"Transfer-Encoding" not in received
    assert b"Content-Length: 4\r\n" in received
    assert received.count(b"Set-Cookie") == 2
    assert received.endswith(b"\r\n\r\nbody")


@pytest.mark.parametrize(
    ("answered", "reason"),
    [
        (outcomes.Answered(200, (("X-A", "a\nX-B: b"),), b""), "truncated"),
        (outcomes.Answered(100, (), b""), "truncated"),
        (None, "internal"),
    ],
)
def test_invalid_answer_or_exception_is_unknown(answered, reason):
    """Guards against response splitting, and closing without an answer."""

    async def route(request):
        if answered is None:
            raise ZeroDivisionError
        return answered

    status, headers, _, _ = send(message(), route)
    assert (status, headers["x-mustardloom-reason"]) == (504, reason)
    assert headers["x-mustardloom-outcome"] == "unknown"
    assert "x-b" not in headers


def test_request_id_is_normalised_and_generated_if_absent():
    """Guards against two slots for one id, and requests without an id.

    See invariant I8.
    """
    _, _, _, routed = send(message("POST", headers=[f"Idempotency-Key: {ID}"]))
    assert routed[0].request_id == ID.lower()
    assert ("Idempotency-Key", ID.lower()) in routed[0].headers
    _, _, _, routed = send(message("POST"))
    generated = routed[0].request_id
    assert request_ids.parse(generated) == generated
    _, _, _, routed = send(message())
    assert routed[0].request_id is None


def test_percent_encoded_key_is_decoded():
    """Guards against two owners for the same key (invariant I1)."""
    _, _, _, routed = send(message(path="/salio/a%2Db"))
    assert routed[0].key == "a-b"


def test_regions_without_overlap_are_refused():
    """Guards against treating no common region as any region (invariant I5)."""
    header = "X-Mustardloom-Organisation: duka"
    data = message(path="/bidhaa", headers=[header])
    status, _, _, routed = send(data)
    assert (status, routed) == (421, [])


def test_deadline_is_the_minimum_of_caller_and_route():
    """Guards against callers that extend the deadline of a route."""
    for text, expected_ms in (("50", 50), ("999999", 2_000)):
        header = f"X-Mustardloom-Deadline-Ms: {text}"
        before_ms = clock_lib.SystemClock().now_ms()
        _, _, _, routed = send(message(headers=[header]))
        after_ms = clock_lib.SystemClock().now_ms()
        started_ms = routed[0].deadline_ms - expected_ms
        assert before_ms <= started_ms <= after_ms


def test_draining_ingress_answers_and_ends_its_connections():
    """Guards against drains that hang or fail open requests (invariant I10)."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        drain = asyncio.create_task(harness.ingress.drain())
        await asyncio.sleep(0)
        writer.write(message(close=False))
        head = await reader.readuntil(b"\r\n\r\n")
        await drain
        writer.close()
        with pytest.raises(OSError):
            await asyncio.open_connection("127.0.0.1", harness.port)
        return head

    head = run(scenario).lower()
    assert head.startswith(b"http/1.1 200")
    assert b"connection: close" in head
