"""Tests that a claim is freed only by what proves that its keys are free."""

import dataclasses

import msgspec

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import claims
from mustardloom.keys import grants
from mustardloom.keys import key_map
from mustardloom.keys import ledger
from mustardloom.keys.tests import heartbeats

_OWN, _OTHER, _THIRD = (ids.VmId(f"vm-{number}") for number in range(3))
_LAST = key_map.KEY_COUNT - 1


def _map(version, owner, previous="", previous_fence=0):
    row = key_map.Row(0, _LAST, owner, version, previous, previous_fence)
    return key_map.KeyMap(version, (row,), {_OWN: heartbeats.INSTANCE})


def _granted_keys(granted):
    return sum(each.last + 1 - each.first for each in granted)


def _release(previous, map_version, handover=""):
    part = ledger.ReleasedRange(0, _LAST, handover)
    return claims.Release(previous, map_version, (part,))


def test_late_heartbeat_frees_no_key_that_moved_away_and_back():
    """Guards against a release of one map that is taken for that of another.

    The target released a key that was left out of a grant. Its heartbeat comes
    when the key has moved to another target and back.
    """
    own = grants.Grants(_OWN)
    own.claims.adopt(_map(1, _OWN))
    own.observe(heartbeats.heartbeat(1), 0)
    granted = own.grant(1_000, 0, True, lambda _: True)
    assert _granted_keys(granted) == _LAST
    own.claims.adopt(_map(2, _OTHER, _OWN, 1))
    own.claims.adopt(_map(3, _OWN, _OTHER, 2))
    freed = (targets.FreedRange(_LAST, _LAST, "token"),)
    own.observe(heartbeats.heartbeat(2, freed=freed), 2_500)
    assert own.grant(1_000, 2_500, False, lambda _: True) == ()
    assert own.claims.pending_ranges


def test_late_answer_frees_no_key_that_its_sender_got_again():
    """Guards against an answer of an earlier owner by an earlier map."""
    own = claims.Claims(_OWN)
    own.adopt(_map(2, _OWN, _OTHER, 1))
    own.adopt(_map(3, _OTHER, _OWN, 2))
    own.adopt(_map(4, _OWN, _OTHER, 3))
    own.record_release(_release(_OTHER, 2))
    assert list(own.grantable()) == []
    own.record_release(_release(_OTHER, 4))
    assert [row.first for row in own.grantable()] == [0]


def test_release_of_one_earlier_owner_ends_no_wait_for_another():
    """Guards against two earlier owners of a key, of which one answers."""
    own = claims.Claims(_OWN)
    own.adopt(_map(2, _OWN, _OTHER, 1))
    own.adopt(_map(4, _OWN, _THIRD, 3))
    own.record_release(_release(_THIRD, 4))
    assert list(own.grantable()) == []


def test_handover_token_is_granted_only_for_the_move_it_was_given_for():
    """Guards against the token of an owner before the last one."""
    own = claims.Claims(_OWN)
    own.adopt(_map(2, _OWN, _OTHER, 1))
    own.record_release(_release(_OTHER, 2, "token"))
    row = next(own.grantable())
    assert [each.handover for each in own.handovers(row)] == ["token"]
    own.adopt(_map(3, _OTHER, _OWN, 2))
    own.adopt(_map(4, _OWN, _OTHER, 3))
    own.record_release(_release(_OTHER, 4))
    row = next(own.grantable())
    assert [each.handover for each in own.handovers(row)] == [""]


def test_restarted_daemon_confirms_no_release_by_a_delayed_heartbeat():
    """Guards against a release that a heartbeat of long ago seems to prove.

    The target sent it before the earlier process of this daemon granted it the
    keys; the new process receives it first, without authority to grant.
    """
    own = grants.Grants(_OWN)
    own.claims.adopt(_map(1, _OWN))
    own.observe(heartbeats.heartbeat(1), 0)
    own.claims.adopt(_map(2, _OTHER, _OWN, 1))
    assert list(own.released(0, _LAST, 1, 100, False)) == []
    assert list(own.released(0, _LAST, 1, 100, True))
    assert list(own.released(0, _LAST, 1, 5_000, False))


def test_delayed_heartbeat_of_an_ended_instance_confirms_no_release():
    """Guards against a release by an instance that ended before a restart.

    The instance that runs now holds keys of the earlier process of the daemon,
    and its own first heartbeat is delayed, too.
    """
    own = grants.Grants(_OWN)
    own.claims.adopt(_map(1, _OWN))
    ended = targets.TargetInstance(targets.TargetId("t"), 0)
    own.observe(dataclasses.replace(heartbeats.heartbeat(9), instance=ended), 0)
    own.observe(heartbeats.heartbeat(1), 10)
    own.claims.adopt(_map(2, _OTHER, _OWN, 1))
    assert list(own.released(0, _LAST, 1, 100, False)) == []
    assert list(own.released(0, _LAST, 1, 5_000, False))


def _striped_map(version, count):
    """Returns a map in which every other stripe is owned here."""
    width = key_map.KEY_COUNT // (2 * count)
    rows = []
    for first in range(0, key_map.KEY_COUNT, width):
        vm = _OWN if first // width % 2 else _OTHER
        rows.append(key_map.Row(first, first + width - 1, vm, 123_456))
    return key_map.KeyMap(version, tuple(rows), {_OWN: heartbeats.INSTANCE})


def test_answer_with_too_many_rows_lists_those_that_fit():
    """Guards against an answer that the target drops, and all keys with it.

    Rows that it lists already stay, so that no key is given back for another.
    """
    own = grants.Grants(_OWN)
    own.claims.adopt(_striped_map(1, 64))
    own.observe(heartbeats.heartbeat(1), 0)
    before = own.grant(1_000, 0, False, lambda _: True)
    assert len(before) == 64
    own.claims.adopt(_striped_map(2, 512))
    own.observe(heartbeats.heartbeat(2), 100)
    listed = own.grant(1_000, 100, False, lambda _: True)
    rows = [list(dataclasses.astuple(each)) for each in listed]
    answer = msgspec.json.encode({"holds": rows, "hold_time": "4000ms"})
    assert 100 < len(listed) < 512
    assert len(answer) <= 4_096
    again = own.grant(1_000, 200, False, lambda _: True)
    assert again == listed
