"""The stored form of the key map."""

import msgspec
import pytest

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import key_map
from mustardloom.keys import planning

# Written by the release before the columns form.
_EARLIER_VALUE = (
    b'{"version":2,"packed":"eNpNjEsKwzAMBe+itQqS/M9VjJdZGNoGEnAXpXev5aTFaPE0'
    b"aJ7e0Nb9qNsTFkFojwOWDKDbjc7gMwQKwr22VY3MCFUFJqKCWRR5IHc0ijJQSq/t22u0CLkP"
    b'oVaCREaD0kcrbJ03nX9n4WjdpEtiCepebLylOPnW+DS/d5SCTL6L4uzfL58vwFg6BQ=="}'
)
# One map in three seconds, within the 6 KB a second that control may take.
_MAX_VALUE_BYTES = 16_384


def _candidates(count):
    return [
        planning.Candidate(
            ids.VmId(f"vm-kaskazini-{index}"),
            targets.TargetInstance(
                targets.TargetId(f"i-{index * 2654435761 % 2**32:08x}"),
                1_700_000_000_000 + index * 17,
            ),
            2,
        )
        for index in range(count)
    ]


def test_map_of_the_earlier_release_is_read():
    """Guards against keys without an owner while a fleet is upgraded."""
    found = key_map.decode(_EARLIER_VALUE)
    assert found.version == 2
    assert found.row_of(7281) == key_map.Row(7281, 14562, "vm-2", 2, "vm-1", 1)
    assert found.rows[-1].last == key_map.KEY_COUNT - 1
    assert found.instance_by_vm[ids.VmId("vm-1")].target == "i-1"
    assert key_map.decode(key_map.encode(found)) == found


def test_map_of_a_hundred_owners_stays_small_as_keys_move():
    """Each version goes to every daemon; 46 KB each filled the links."""
    owners = _candidates(103)
    current = planning.initial_map(owners)
    for version in range(30):
        moves = {
            row.first: owners[(version + row.first) % 103].vm
            for row in current.rows[version :: len(current.rows) // 24]
        }
        current = planning.with_moves(current, current.rows, moves, owners)
    value = key_map.encode(current)
    assert len(value) <= _MAX_VALUE_BYTES
    assert key_map.decode(value) == current


def test_rows_of_the_first_map_do_not_grow_with_the_fleet():
    """Every daemon keeps all rows, so their number is bounded."""
    small = planning.initial_map(_candidates(103))
    large = planning.initial_map(_candidates(1_400))
    assert len(large.rows) <= len(small.rows) <= 4_096
    assert len(large.owners()) == 1_400


@pytest.mark.parametrize(
    "change",
    [
        {"widths": [key_map.KEY_COUNT - 1]},
        {"widths": [key_map.KEY_COUNT + 1, -1]},
        {"owners": [9]},
        {"fences": [1, 2]},
    ],
)
def test_invalid_columns_are_rejected(change):
    """Guards against a damaged map that gives keys to a wrong owner."""
    packed = key_map._PackedMap(
        1, ["", "a"], [], [key_map.KEY_COUNT], [1], [1], [0], [0]
    )
    broken = msgspec.structs.replace(packed, **change)
    with pytest.raises(ValueError):
        key_map._unpack(broken)


def test_unknown_form_is_rejected():
    """A later release may write another form; its map is not misread."""
    value = key_map.encode(key_map.empty())
    with pytest.raises(ValueError, match="form 3"):
        key_map.decode(value.replace(b'"form":2', b'"form":3'))
