"""Tests of the changes between two versions of a set."""

import msgspec

from mustardloom import declarations
from mustardloom import ids
from mustardloom.declarations import diff


def _service(name, capacity=1):
    return declarations.Service(id=ids.ServiceId(name), capacity=capacity)


def _set(*services):
    return declarations.DeclarationSet(
        id=ids.DeclarationSetId("a"), services=services
    )


def test_order_of_declarations_is_no_change():
    """Guards against changes reported for files that were only reordered."""
    one, two = _service("x"), _service("y")
    assert list(diff.diff(_set(one, two), _set(two, one))) == []


def test_changes_are_typed_and_described():
    """Guards against changes that are missing from the diff or audit entry."""
    before = _set(_service("x"), _service("y"))
    after = _set(_service("x", capacity=2), _service("z"))
    changes = list(diff.diff(before, after))
    assert [type(change) for change in changes] == [
        diff.Added,
        diff.Removed,
        diff.Changed,
    ]
    assert [diff.describe(change) for change in changes] == [
        "+ service z",
        "- service y",
        "~ service x: capacity 1 -> 2",
    ]
    old, new = (
        msgspec.json.decode(side) for side in diff.audit_values(changes)
    )
    assert list(old) == ["service y", "service x capacity"]
    assert list(new) == ["service z", "service x capacity"]
