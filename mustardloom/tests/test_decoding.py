"""Tests that bytes from outside lead to a value or to the one typed error."""

import asyncio

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from mustardloom import decoding
from mustardloom import findings
from mustardloom.deployment import stored
from mustardloom.http1 import messages
from mustardloom.keys import key_map
from mustardloom.platform import announcements
from mustardloom.platform import configuration
from mustardloom.platform import headers
from mustardloom.platform import settings_file
from mustardloom.platform.tests import standins
from mustardloom.sidecar import frames

_DEPTH = 100_000
_DEEP = b"[" * _DEPTH + b"]" * _DEPTH
_HEARTBEAT = msgspec.json.encode(
    {
        "service": "s",
        "address": "a",
        "zone": "z",
        "slots": 1,
        "state": "ready",
        "sequence": 1,
        "holds": [[0, 5, 7]],
        "freed": [[6, 7, "x"]],
    }
)
_RECORD = msgspec.json.encode(
    {
        "vm": "a",
        "ip": "10.0.0.1",
        "port": 1,
        "availability_zone": "z",
        "region": "r",
        "service": "s",
    }
)
_MAP = key_map.encode(key_map.empty())
_CONFIGURATION = standins.configuration(1)
_FRAME = frames.encode(frames.Fetch(1, "configuration"))
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(1 << 62), 1 << 62)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)
_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


@strategies.composite
def _damaged(draw, valid):
    """Returns valid bytes in which a piece is replaced by something odd."""
    begin = draw(strategies.integers(0, len(valid)))
    end = draw(strategies.integers(begin, len(valid)))
    odd = draw(
        strategies.binary(max_size=40)
        | strategies.sampled_from(
            [_DEEP, b"1e999", b"9" * 5_000, b"-1", b'"\xff"', b"\x00", b"null"]
        )
    )
    return valid[:begin] + odd + valid[end:]


@_SETTINGS
@hypothesis.given(strategies.lists(_VALUES))
def test_items_are_split_where_json_has_them(values):
    """Guards against entries that are cut at a bracket or comma of a text."""
    found = list(decoding.json_items(msgspec.json.encode(values)))
    assert [msgspec.json.decode(item) for item in found] == values


@_SETTINGS
@hypothesis.given(strategies.dictionaries(strategies.text(), _VALUES))
def test_members_are_split_where_json_has_them(value_by_name):
    """Guards against members that are cut at a bracket or colon of a text."""
    found = decoding.json_members(msgspec.json.encode(value_by_name))
    assert {
        name: msgspec.json.decode(value) for name, value in found.items()
    } == value_by_name


def test_deeply_nested_parts_are_split_without_recursion():
    """Guards against one entry that no decoder can even skip."""
    items = list(decoding.json_items(b"[1," + _DEEP + b',{"a":2}]'))
    assert items == [b"1", _DEEP, b'{"a":2}']


@pytest.mark.parametrize(
    "text", [b"", b"[", b"[1", b"[1]2", b'["a]', b"{}", b"]"]
)
def test_incomplete_text_is_reported(text):
    """Guards against a listing that is taken for a shorter one."""
    with pytest.raises(decoding.Undecodable):
        list(decoding.json_items(text))


def _decode_heartbeat(data):
    path = "/rpc?call=instances.heartbeat&of=t"
    request = messages.Request("POST", path, (), data)
    asyncio.run(announcements.decode(request))


def _decode_frames(data):
    list(frames.FrameBuffer().feed(data))


def _decode_settings(data):
    settings_file.parse(data.decode("latin1"), "f")


@pytest.mark.parametrize(
    ("decode", "valid", "error"),
    [
        (_decode_heartbeat, _HEARTBEAT, announcements.InvalidNotice),
        (stored.decode_daemon, _RECORD, decoding.Undecodable),
        (key_map.decode, _MAP, ValueError),
        (configuration.decode, _CONFIGURATION, ValueError),
        (_decode_frames, _FRAME, ValueError),
        (_decode_settings, b"ip=1\nbounds=drain=1ms", findings.FindingsError),
    ],
)
def test_damaged_bytes_raise_the_typed_error_only(decode, valid, error):
    """Guards against a loop that one odd value ends."""

    @_SETTINGS
    @hypothesis.given(_damaged(valid))
    def check(data):
        try:
            decode(data)
        except error:
            pass

    check()


@pytest.mark.parametrize(
    "change",
    [
        {"port": 65_536},
        {"port": -1},
        {"ip": "store.example"},
        {"ip": "10.0.0.256"},
        {"ip": ""},
        {"vm": ""},
    ],
)
def test_record_to_which_no_link_can_be_dialled_is_refused(change):
    """Guards against records that name no daemon."""
    value = {**msgspec.json.decode(_RECORD), **change}
    with pytest.raises(decoding.Undecodable):
        stored.decode_daemon(msgspec.json.encode(value))


@_SETTINGS
@hypothesis.given(
    strategies.binary(max_size=20) | strategies.just(b"9" * 5_000)
)
def test_odd_headers_leave_a_request_and_a_response_readable(value):
    """Guards against a header of a caller or target that ends its request."""
    names = (
        b"x-deadline-ms",
        b"x-shard-key",
        b"x-server-load",
        b"server-limit",
        b"server-leaving",
        b"host",
        b"x-request-id",
    )
    fields = (
        *((name, value) for name in names),
        (b"keep-alive", b"timeout=" + value),
    )
    headers.read_request(messages.Request("GET", "/", fields, b""))
    headers.read_response(messages.Response(200, fields))
    headers.read_statement(fields)


def test_long_list_is_split_between_its_items_only():
    """Guards against rows lost or changed where a text is cut into parts.

    Strings may contain what ends an item, also at each place of a cut.
    """
    decoder = msgspec.json.Decoder(list[tuple[int, str]])
    for text in ("", 'a"],["b', "],[", "[" + "]," * 20_000):
        rows = [(number, text) for number in range(1_000)]
        data = msgspec.json.encode(rows)
        parts = list(decoding.json_list_parts(data, decoder, len(data)))
        assert [row for part in parts for row in part] == rows


@pytest.mark.parametrize("text", [b"", b"[", b"[[1]", b"[[1],]", b"{}", b"1"])
def test_incomplete_list_of_rows_is_refused(text):
    """Guards against a list that is taken for a shorter one."""
    decoder = msgspec.json.Decoder(list[list[int]])
    with pytest.raises(decoding.Undecodable):
        list(decoding.json_list_parts(text, decoder, 10))


def test_long_list_takes_many_parts():
    """Guards against a long text that is decoded in one step."""
    decoder = msgspec.json.Decoder(list[list[int]])
    data = msgspec.json.encode([[number] for number in range(100_000)])
    assert len(list(decoding.json_list_parts(data, decoder, 100_000))) > 5
    with pytest.raises(decoding.Undecodable):
        list(decoding.json_list_parts(data, decoder, 99_999))
