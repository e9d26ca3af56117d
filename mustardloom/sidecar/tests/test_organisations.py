"""Requests of organisations, from the bytes of a caller to those at a target.

The daemons, links and connections are real ones on loopback.
"""

import asyncio
import dataclasses
import json

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.deployment import configuration as deployed
from mustardloom.http1 import messages
from mustardloom.platform import configuration
from mustardloom.platform import headers
from mustardloom.platform.tests import standins
from mustardloom.sidecar import frames
from mustardloom.sidecar import metrics_page
from mustardloom.sidecar.tests import small_fleet

_KEY = b"2thhkm1stkey"
_OTHER_KEY = 'schlüssel "zwei"'.encode()
_UNKNOWN_KEY = b"neverissuedkey"
_FORGED = b"forged-organisation"
_NAME = "pulo 780/ü"
_HOST = b"a.example"


def _rule(name, **more):
    return {
        "name": name,
        "kind": "unsafe",
        "priority": 5,
        "match": {"path_prefix": f"/{name}/"},
        "action": {"service": small_fleet.SERVICE, "timeout": "8000ms"},
        **more,
    }


def _configuration(keys=(_KEY, _OTHER_KEY), version=7, **tenant):
    wire = msgspec.json.decode(standins.configuration(version))
    wire["listeners"][0]["rules"] = [
        _rule("plain"),
        _rule("exempt", auth_exempt=True),
    ]
    wire["clusters"] = [{"name": small_fleet.SERVICE}]
    wire["tenants"] = [
        {
            "name": _NAME,
            "api_keys": [key.decode() for key in keys],
            "priority": 2,
            **tenant,
        },
        {"name": "another", "api_keys": ["another-key-1"]},
    ]
    # As it is known to a daemon.
    return configuration.decode(
        configuration.hide_keys(msgspec.json.encode(wire))
    )


def _request(fields, path=b"/plain/x", request_id=b"r-1"):
    lines = [
        b"GET " + path + b" HTTP/1.1",
        b"Host: " + _HOST,
        b"X-Request-Id: " + request_id,
        b"X-Deadline-Ms: 8000",
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


class _Target:
    """Answers every request while it may, and keeps their heads."""

    def __init__(self):
        self.heads = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def serve(self, head, reader, writer):
        self.heads.append(head)
        await self.may_answer.wait()
        writer.write(small_fleet.response(head, b"200 OK", b"done"))


async def _exchange(daemon, data):
    """Returns all that a daemon answers to some bytes."""
    reader, writer = await asyncio.open_connection(
        small_fleet.HOST, daemon.port
    )
    try:
        writer.write(data)
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(small_fleet.value(head.lower(), b"content-length") or 0)
        return head + await reader.readexactly(length)
    finally:
        writer.close()


def _status(answer):
    return int(answer.split(b" ")[1])


def _play(scenario, current):
    """Runs a scenario with two daemons and the target of the second one."""
    target = _Target()

    async def play(daemons, _):
        for each in daemons:
            each.configuration = current
        return await scenario(*daemons, target)

    return small_fleet.play(play, (None, target.serve))


def _events(daemon, name):
    lines = map(json.loads, daemon.log().splitlines())
    return [line for line in lines if line["event"] == name]


def _field(head, name):
    """Returns the values of a field of a head in lower case."""
    prefix = name + b": "
    return [
        line.removeprefix(prefix)
        for line in head.split(b"\r\n")
        if line.startswith(prefix)
    ]


_FORGED_FIELDS = (b"X-Tenant: " + _FORGED, b"x-TENANT: " + _FORGED)


@pytest.mark.parametrize(
    "fields",
    [
        (b"X-Credential: " + _KEY,),
        (b"x-cREDENTIAL:" + _KEY,),
        (b"X-Credential: \t" + _KEY + b" \t ",),
        (b"X-Credential: " + _OTHER_KEY,),
        (*_FORGED_FIELDS, b"X-Credential: " + _KEY),
    ],
)
def test_target_gets_the_organisation_of_a_valid_key(fields):
    """Guards against a key that is refused, and a name set by the caller."""

    async def scenario(near, far, target):
        answer = await _exchange(near, _request(fields))
        assert _status(answer) == 200
        (head,) = target.heads
        assert _field(head, b"x-tenant") == [_NAME.encode().lower()]
        assert not _field(head, b"x-credential")
        (frame,) = far.frames
        assert _NAME.encode() in frame

    _play(scenario, _configuration())


_INVALID = {
    "missing": (),
    "unknown": (b"X-Credential: " + _UNKNOWN_KEY,),
    "prefix": (b"X-Credential: " + _KEY[:-1],),
    "upper case": (b"X-Credential: " + _KEY.upper(),),
    "with a scheme": (b"X-Credential: Bearer " + _KEY,),
    "two keys": (b"X-Credential: " + _KEY + b", " + _KEY,),
    "name": (b"X-Credential: " + _NAME.encode(),),
    "repeated": (b"X-Credential: " + _KEY,) * 2,
    "repeated, one unknown": (
        b"X-Credential: " + _KEY,
        b"x-credential: " + _UNKNOWN_KEY,
    ),
    "repeated, one empty": (b"X-Credential: " + _KEY, b"X-Credential:"),
    "empty": (b"X-Credential:",),
    "only spaces": (b"X-Credential: \t ",),
    "too long": (b"X-Credential: " + _KEY * 500,),
    "folded": (b"X-Credential: " + _KEY, b" "),
    "folded after the name": (b"X-Credential:", b" " + _KEY),
    "folded with a tab": (b"X-Credential: " + _KEY, b"\t" + _KEY),
}
_REASON = {
    "missing": "missing",
    "repeated": "repeated",
    "repeated, one unknown": "repeated",
    "repeated, one empty": "repeated",
    "empty": "empty",
    "only spaces": "empty",
    "too long": "too-long",
    "folded": "folded",
    "folded after the name": "folded",
    "folded with a tab": "folded",
}


@pytest.mark.parametrize("form", _INVALID)
def test_request_without_a_valid_key_gets_401_and_a_log_line(form):
    """Guards against runs for unknown callers, and causes nobody can find."""

    async def scenario(near, far, target):
        data = _request((*_FORGED_FIELDS, *_INVALID[form]))
        answer = await _exchange(near, data)
        assert _status(answer) == 401
        assert not target.heads
        assert not far.frames
        (line,) = _events(near, "request-unauthorised")
        reason = _REASON.get(form, "unknown")
        assert (line["request"], line["reason"]) == ("r-1", reason)
        assert line["route"] == "plain"
        assert near.metrics.counters[f"ingress.unauthorised.{reason}"] == 1
        # On an exempt route the key is not looked at.
        if reason != "folded":
            data = _request(_INVALID[form], b"/exempt/x")
            assert _status(await _exchange(near, data)) == 200

    _play(scenario, _configuration())


def test_key_that_is_folded_between_two_reads_gets_401():
    """Guards against another answer where the head arrives in pieces."""

    async def scenario(near, far, target):
        first, rest = _request(_INVALID["folded"]).split(b"\r\n ", 1)
        reader, writer = await asyncio.open_connection(
            small_fleet.HOST, near.port
        )
        writer.write(first + b"\r\n")
        await asyncio.sleep(0.05)
        writer.write(b" " + rest)
        assert _status(await reader.readuntil(b"\r\n\r\n")) == 401
        writer.close()

    _play(scenario, _configuration())


def test_exempt_route_passes_on_neither_key_nor_organisation():
    """Guards against a target that trusts a name set by a caller."""

    async def scenario(near, far, target):
        fields = (*_FORGED_FIELDS, b"X-Credential: " + _KEY)
        answer = await _exchange(near, _request(fields, b"/exempt/x"))
        assert _status(answer) == 200
        (head,) = target.heads
        assert b"x-tenant" not in head
        assert b"x-credential" not in head

    _play(scenario, _configuration())


def test_path_without_a_route_gets_404_whatever_the_key():
    """Guards against a check of keys that changes what callers retry."""

    async def scenario(near, far, target):
        for fields in ((), (b"X-Credential: " + _UNKNOWN_KEY,)):
            answer = await _exchange(near, _request(fields, b"/nowhere"))
            assert _status(answer) == 404

    _play(scenario, _configuration())


def test_daemon_without_a_configuration_answers_503():
    """Guards against a 401, which callers never retry, during a start."""

    async def scenario(near, far, target):
        near.ingress._current_configuration = lambda: None
        for fields in ((), (b"X-Credential: " + _KEY,)):
            assert _status(await _exchange(near, _request(fields))) == 503

    _play(scenario, None)


def test_deployment_without_organisations_passes_both_headers_on():
    """Guards against a change where no organisations are configured."""

    async def scenario(near, far, target):
        fields = (b"X-Tenant: t", b"X-Credential: k", b"X-Credential: l")
        assert _status(await _exchange(near, _request(fields))) == 200
        (head,) = target.heads
        assert head.startswith(
            b"get /plain/x http/1.1\r\nhost: a.example\r\nx-request-id: r-1\r\n"
            b"x-tenant: t\r\nx-credential: k\r\nx-credential: l\r\n"
            b"x-deadline-ms: "
        )
        assert _status(await _exchange(near, _request(_INVALID["folded"]))) == (
            400
        )

    current = _configuration()
    _play(
        scenario,
        dataclasses.replace(
            current, organisation_by_key_digest={}, has_organisations=False
        ),
    )


class _Router:
    """Fake router that keeps what it is to route."""

    def __init__(self):
        self.routed = []

    async def route(self, request, route, service):
        self.routed.append((request, route))
        await asyncio.sleep(3_600)


@pytest.mark.parametrize(
    ("of_route", "of_organisation", "expected"),
    [
        ([], [], []),
        (["ra"], [], ["ra"]),
        ([], ["rb"], ["rb"]),
        (["ra", "rb"], ["rb", "rc"], ["rb"]),
    ],
)
def test_router_gets_the_common_regions_and_the_priority_of_the_organisation(
    of_route, of_organisation, expected
):
    """Guards against a run in a region that either of them excludes."""

    async def scenario(near, far, target):
        router = near.ingress._router = _Router()
        fields = (b"X-Credential: " + _KEY,)
        _, writer = await asyncio.open_connection(small_fleet.HOST, near.port)
        writer.write(_request(fields))
        while not router.routed:
            await asyncio.sleep(0.01)
        writer.close()
        ((request, route),) = router.routed
        assert route.home_regions == frozenset(expected)
        # The organisation's priority is 2, the route's 5.
        assert request.priority == 2 * 256 + 5
        assert request.organisation == _NAME

    _play(scenario, _with_route_regions(of_route, of_organisation))


def _with_route_regions(of_route, of_organisation):
    current = _configuration(allowed_regions=of_organisation)
    routes = tuple(
        dataclasses.replace(each, home_regions=frozenset(of_route))
        for each in current.routes
    )
    return dataclasses.replace(current, routes=routes)


def test_request_without_a_common_region_gets_503():
    """Guards against an empty intersection that is taken for all regions."""

    async def scenario(near, far, target):
        fields = (b"X-Credential: " + _KEY,)
        answer = await _exchange(near, _request(fields))
        assert _status(answer) == 503
        assert b"retry-after: " in answer.lower()
        (line,) = _events(near, "request-refused")
        assert (line["reason"], line["route"]) == ("no-region", "plain")

    _play(scenario, _with_route_regions(["ra"], ["rb"]))


def test_key_that_is_removed_during_a_request_ends_with_later_ones_only():
    """Guards against a change that breaks running requests, or comes late."""

    async def scenario(near, far, target):
        target.may_answer.clear()
        data = _request((b"X-Credential: " + _KEY,))
        running = asyncio.ensure_future(_exchange(near, data))
        while not target.heads:
            await asyncio.sleep(0.01)
        near.configuration = _configuration(keys=(_OTHER_KEY,))
        assert _status(await _exchange(near, data)) == 401
        target.may_answer.set()
        assert _status(await running) == 200

    _play(scenario, _configuration())


def test_forward_of_an_earlier_release_has_no_organisation():
    """Guards against a frame without the new field that cannot be read."""
    frame = frames.Forward(
        number=1,
        service="s",
        method="GET",
        target="/",
        headers=(),
        body=b"",
        request_id="r",
        route="r",
        caller_service="c",
        is_idempotent=True,
        priority=0,
        objective_ms=1,
        deadline_ms=1,
        key=-1,
        may_wait=False,
        fingerprint=1,
        is_call=False,
        organisation="name",
    )
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(frame))
    # The type of the frame comes before its fields.
    size = 1 + frame.__struct_fields__.index("organisation")
    earlier = msgspec.msgpack.encode(fields[:size])
    assert msgspec.msgpack.decode(earlier, type=frames.Forward) == (
        msgspec.structs.replace(frame, organisation="")
    )


def test_stored_configuration_is_known_without_its_keys():
    """Guards against keys in the frames with which daemons replicate it."""
    wire = msgspec.json.decode(standins.configuration(7))
    wire["tenants"] = [{"name": "a", "api_keys": [_KEY.decode()], "burst": 2}]
    value = msgspec.json.encode(wire)
    hidden = configuration.hide_keys(value)
    assert _KEY not in hidden
    assert configuration.decode(hidden) == configuration.decode(value)
    assert configuration.hide_keys(hidden) == hidden
    organisations = configuration.decode(hidden).organisation_by_key_digest
    assert list(organisations) == [deployed.key_digest(_KEY)]


@pytest.mark.parametrize(
    ("tenants", "place"),
    [
        ({"a": {"api_keys": [_KEY.decode()]}}, "$.tenants`"),
        ([{"name": "a"}, [_KEY.decode()]], "$.tenants[1]`"),
        (
            [{"name": "a", "api_keys": _KEY.decode()}],
            "$.tenants[0].api_key_digests`",
        ),
        (
            [{"name": "a", "api_keys": [_KEY.decode(), 5]}],
            "$.tenants[0].api_key_digests[1]`",
        ),
        (
            [{"name": "a", "api_key": _KEY.decode(), "burst": "x"}],
            "$.tenants[0].burst`",
        ),
        (_KEY.decode(), "$.tenants`"),
    ],
)
def test_invalid_organisations_stay_invalid_without_their_keys(tenants, place):
    """Guards against keys in replicas, and faults that are not reported."""
    wire = msgspec.json.decode(standins.configuration(7))
    wire["tenants"] = tenants
    hidden = configuration.hide_keys(msgspec.json.encode(wire))
    assert _KEY not in hidden
    assert configuration.version_of(hidden) == 7
    with pytest.raises(ValueError) as caught:
        configuration.decode(hidden)
    assert str(caught.value).endswith(f"at `{place}")


@pytest.mark.parametrize(
    "value",
    [standins.configuration(7), b"[]", b"null", b'{"tenants": null}', b" {} "],
)
def test_object_without_organisations_is_kept_byte_for_byte(value):
    """Guards against a change where no organisations are configured."""
    assert configuration.hide_keys(value) is value


_SECRETS = (_KEY, _OTHER_KEY, _UNKNOWN_KEY)
_FIELDS = strategies.one_of(
    strategies.builds(
        lambda name, before, key, after: name + b":" + before + key + after,
        strategies.sampled_from(
            (b"X-Credential", b"x-credential", b"X-TENANT", b"X-Credential ")
        ),
        strategies.sampled_from((b"", b" ", b"\t ", b"\r\n ")),
        strategies.sampled_from((*_SECRETS, b"", _KEY * 400)),
        strategies.sampled_from((b"", b" ", b"\r\n\t", b"\x01", b", x", b"\r")),
    ),
    strategies.sampled_from((b"Transfer-Encoding: chunked", b"Accept: */*")),
)
_REQUESTS = strategies.builds(
    lambda path, fields, method, trailer: (
        method
        + _request(fields, path)[3:]
        + (
            b"1\r\nx\r\n0\r\nX-Credential: " + trailer + b"\r\n\r\n"
            if b"Transfer-Encoding: chunked" in fields
            else b""
        )
    ),
    strategies.sampled_from((b"/plain/x", b"/exempt/x", b"/nowhere")),
    strategies.lists(_FIELDS, max_size=4),
    strategies.sampled_from((b"GET", b"POST")),
    strategies.sampled_from(_SECRETS),
)


@hypothesis.given(sent=strategies.lists(_REQUESTS, min_size=1, max_size=12))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
def test_no_output_contains_a_key(sent):
    """Guards against keys in answers, frames, logs, metrics and at targets."""

    async def scenario(near, far, target):
        outputs = []
        for data in sent:
            try:
                async with asyncio.timeout(5):
                    outputs.append(await _exchange(near, data))
            except (OSError, asyncio.IncompleteReadError):
                continue
        for each in (near, far):
            page = metrics_page.MetricsPage(
                each.metrics, dict, clock_lib.SystemClock()
            )
            answer = await page.handle(
                messages.Request("GET", "/metrics", (), b"")
            )
            outputs.extend((answer.body, each.log(), *each.frames))
        outputs.extend(target.heads)
        for output in outputs:
            for key in _SECRETS:
                assert key.lower() not in output.lower()
        for head in target.heads:
            is_exempt = head.split(b" ")[1] == b"/exempt/x"
            expected = [] if is_exempt else [_NAME.encode().lower()]
            assert _field(head, b"x-tenant") == expected

    _play(scenario, _configuration())


def test_name_at_the_target_replaces_what_a_frame_holds():
    """Guards against a daemon whose older configuration passed headers on."""
    sent = headers.to_target(
        ((b"X-Tenant", _FORGED), (b"x-credential", _KEY), (b"A", b"b")),
        "s",
        400,
        "i-1",
        ids.OrganisationId("name"),
    )
    assert [value for name, value in sent if name == b"X-Tenant"] == [b"name"]
    assert _KEY not in dict(sent).values()
