"""Tests of the evaluation of interval logs."""

from bench import intervals

_SLOT = ("salio@*", 3)


def _interval(vm, epoch, from_ms, to_ms=None):
    return intervals.Interval(vm, _SLOT, epoch, from_ms, to_ms)


def test_overlap_of_two_vms_is_found():
    """Guards against double owners that the scenarios do not count."""
    open_end = _interval("a", 1, 0)
    assert intervals.overlaps([open_end, _interval("b", 2, 5, 9)]) == 1
    ended = _interval("a", 1, 0, 5)
    assert intervals.overlaps([ended, _interval("b", 2, 5, 9)]) == 0


def test_unserved_time_counts_every_gap_of_the_window():
    """Guards against missed gaps at the edges of an outage."""
    found = [_interval("a", 1, 0, 20), _interval("b", 2, 25, 80)]
    assert intervals.unserved_ms(found, 10, 100) == {_SLOT: 25}
    assert intervals.unserved_ms([_interval("a", 1, 0)], 10, 100) == {}


def test_owner_changes_ignore_a_return_of_the_same_vm():
    """Guards against counting a renewed interval as a change of owner."""
    found = [
        _interval("a", 1, 0, 10),
        _interval("a", 1, 12, 20),
        _interval("b", 2, 21, 30),
    ]
    assert intervals.owner_changes(found, 0) == {_SLOT: 1}
    assert intervals.unavailable_ms(found, 0) == [1]


def test_parts_outside_a_pause():
    """Guards against a paused VM that counts as serving its slots."""
    parts = list(_interval("a", 1, 0).outside(10, 20))
    assert parts == [_interval("a", 1, 0, 10), _interval("a", 1, 20)]
    assert list(_interval("a", 1, 12, 15).outside(10, 20)) == []
