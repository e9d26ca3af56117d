"""Tests that an odd object hides none of the others in the store's answers."""

import msgspec
import pytest

from mustardloom import decoding
from mustardloom.platform import object_pages

_DEPTH = 100_000
_DEEP = b"[" * _DEPTH + b"]" * _DEPTH


def _object(name, spec=b'{"a":1}', more=b""):
    metadata = b'{"name":"%s","revision":7}' % name
    return b'{"metadata":%s,"spec":%s%s}' % (metadata, spec, more)


_GOOD = (_object(b"first"), _object(b"last"))
# Objects whose value is for their reader to refuse.
_ODD_VALUES = [
    _object(b"odd", _DEEP),
    _object(b"odd", b'{"a":%s}' % _DEEP),
    _object(b"odd", b'"\xff\xfe"'),
    _object(b"odd", b"1e999"),
    _object(b"odd", b"9" * 5_000),
    _object(b"odd", more=b',"status":%s' % _DEEP),
    b'{"metadata":{"name":"odd","extra":%s},"spec":1}' % _DEEP,
]
# Objects that cannot even be named.
_UNNAMED = [
    _DEEP,
    b"null",
    b"5",
    b"{}",
    b'{"metadata":null}',
    b'{"metadata":{"name":5}}',
    b'{"metadata":{"name":"\xff"}}',
    b'{"metadata":{"name":"odd","revision":-1}}',
    b'{"metadata":{"name":"odd","revision":1e30}}',
    b'{"metadata":{"name":"odd","revision":1099511627776}}',
]


def _page(odd):
    items = b",".join((_GOOD[0], odd, _GOOD[1]))
    return b'{"items":[%s],"truncated":true,"current_rev":9}' % items


def _changes(odd):
    events = b",".join(
        b'{"object":%s,"deleted":false}' % each
        for each in (_GOOD[0], odd, _GOOD[1])
    )
    return b'{"events":[%s],"current_rev":9}' % events


@pytest.mark.parametrize("odd", _ODD_VALUES)
def test_object_with_an_odd_value_is_kept_beside_the_others(odd):
    """Guards against readers that stop following a kind (LOST)."""
    page = object_pages.decode_page(_page(odd))
    names = [each.metadata.name for each in page.items]
    assert names == ["first", "odd", "last"]
    assert (page.truncated, page.current_rev, page.unreadable) == (True, 9, 0)
    assert bytes(page.items[0].spec) == b'{"a":1}'
    changes = object_pages.decode_changes(_changes(odd))
    names = [each.object.metadata.name for each in changes.events]
    assert names == ["first", "odd", "last"]
    assert changes.current_rev == 9


@pytest.mark.parametrize("odd", _UNNAMED)
def test_object_without_a_valid_name_is_left_out(odd):
    """Guards against readers that stop following a kind (LOST)."""
    page = object_pages.decode_page(_page(odd))
    assert [each.metadata.name for each in page.items] == ["first", "last"]
    assert page.unreadable == 1
    changes = object_pages.decode_changes(_changes(odd))
    assert len(changes.events) == 2
    assert changes.unreadable == 1


def test_deletion_of_an_odd_object_is_a_deletion():
    """Guards against an odd object that stays in force after its end."""
    event = b'{"object":%s,"deleted":true}' % _object(b"odd", _DEEP)
    data = b'{"events":[%s],"current_rev":9}' % event
    (change,) = object_pages.decode_changes(data).events
    assert change.deleted


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"items":[', b'{"items":5,"current_rev":1}']
)
def test_answer_that_is_no_page_is_refused(data):
    """Guards against a broken answer that is taken for an empty listing."""
    with pytest.raises(decoding.Undecodable):
        object_pages.decode_page(data)
    with pytest.raises(decoding.Undecodable):
        object_pages.decode_changes(data)


def test_valid_page_is_decoded_whole():
    """Guards against a page that names objects as unreadable itself."""
    page = msgspec.json.decode(_page(_GOOD[0]))
    page["unreadable"] = 3
    data = msgspec.json.encode(page)
    assert object_pages.decode_page(data).unreadable == 0
