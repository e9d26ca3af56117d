"""Tests of who owns which keys."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import claims
from mustardloom.keys import key_map
from mustardloom.keys import planning

_VMS = [ids.VmId(f"vm-{number}") for number in range(6)]


def _life(vm, born_ms=1):
    return targets.TargetInstance(targets.TargetId(f"t-{vm}"), born_ms)


def _candidate(vm, **figures):
    return planning.Candidate(vm, _life(vm), 6, **figures)


def _candidates():
    return [_candidate(vm) for vm in _VMS]


def _assert_covers_all(found):
    assert found.rows[0].first == 0
    assert found.rows[-1].last == key_map.KEY_COUNT - 1
    for left, right in zip(found.rows, found.rows[1:], strict=False):
        assert left.last + 1 == right.first


def _demand(found, hits):
    rate = collections.Counter()
    for key, count in hits.items():
        rate[found.row_of(key).owner] += count
    return rate


def _measured(found, hits, service_ms=60.0):
    rate = _demand(found, hits)
    return [
        _candidate(vm, rate=float(rate[vm]), service_ms=service_ms)
        for vm in _VMS
    ]


def test_neighbours_lie_on_different_targets():
    """Guards against 200 neighbouring hot keys that meet one target."""
    found = planning.initial_map(_candidates())
    _assert_covers_all(found)
    for first in range(0, key_map.KEY_COUNT - 400, 997):
        owners = {found.row_of(first + step).owner for step in range(0, 400, 9)}
        assert len(owners) >= 2


def test_first_shares_follow_capacity():
    """Guards against small targets that own as much as large ones."""
    small = planning.Candidate(_VMS[0], _life(_VMS[0]), 3)
    large = planning.Candidate(_VMS[1], _life(_VMS[1]), 9)
    found = planning.initial_map([small, large])
    keys = collections.Counter()
    for row in found.rows:
        keys[row.owner] += row.width
    assert 0.7 < keys[_VMS[1]] / key_map.KEY_COUNT < 0.8


def test_hot_neighbours_are_split_between_targets():
    """Replays 60 neighbouring keys with 43 % of the traffic."""
    found = planning.initial_map(_candidates())
    hits = collections.Counter(dict.fromkeys(range(30000, 30060), 2))
    hits.update(dict.fromkeys(range(0, key_map.KEY_COUNT, 410), 1))
    for _ in range(4):
        loads = list(planning.split_by_load(found.rows, hits))
        moved = planning.rebalance(found, _measured(found, hits), loads, 300)
        found = moved or found
    _assert_covers_all(found)
    rates = _demand(found, hits)
    mean = sum(rates.values()) / len(_VMS)
    assert max(rates.values()) <= 1.4 * mean


def test_slow_targets_own_less():
    """Guards against slow targets that are full while fast ones idle."""
    found = planning.initial_map(_candidates())
    hits = collections.Counter(
        dict.fromkeys(range(0, key_map.KEY_COUNT, 180), 1)
    )
    slow = _VMS[0]
    for _ in range(4):
        candidates = [
            dataclasses.replace(
                each, service_ms=120.0 if each.vm == slow else 40.0
            )
            for each in _measured(found, hits)
        ]
        loads = list(planning.split_by_load(found.rows, hits))
        found = planning.rebalance(found, candidates, loads, 300) or found
    rates = _demand(found, hits)
    assert rates[slow] < 0.7 * min(rates[vm] for vm in _VMS[1:])


def test_idle_targets_are_left_alone():
    """Guards against keys that move without need and arrive cold."""
    found = planning.initial_map(_candidates())
    hits = collections.Counter(
        dict.fromkeys(range(0, key_map.KEY_COUNT, 4000), 1)
    )
    loads = list(planning.split_by_load(found.rows, hits))
    assert planning.rebalance(found, _measured(found, hits), loads, 300) is None


def test_keys_do_not_leave_an_owner_that_waits_for_keys():
    """Guards against keys that move on before they have arrived."""
    found = planning.initial_map(_candidates())
    hits = collections.Counter(
        dict.fromkeys(range(0, key_map.KEY_COUNT, 700), 9)
    )
    candidates = [
        dataclasses.replace(each, can_release_keys=False)
        for each in _measured(found, hits)
    ]
    loads = list(planning.split_by_load(found.rows, hits))
    assert planning.rebalance(found, candidates, loads, 300) is None


def test_keys_of_leaving_targets_go_to_all_others():
    """Guards against one heir that takes the whole load of a lost target."""
    found = planning.initial_map(_candidates())
    after = planning.reassign(found, _candidates(), {_VMS[0]})
    _assert_covers_all(after)
    heirs = {row.owner for row in after.rows if row.previous == _VMS[0]}
    assert heirs == set(_VMS[1:])
    assert all(row.fence == 2 for row in after.rows if row.previous)
    assert planning.reassign(after, _candidates(), {_VMS[0]}) is None


def test_keys_that_have_arrived_are_granted_at_once_after_a_power_loss():
    """Replays new daemons and targets everywhere, with only the map left."""
    found = planning.initial_map(_candidates())
    after = planning.reassign(found, _candidates(), {_VMS[0]})
    after = planning.reassign(after, _candidates(), {_VMS[1]})
    tidied = planning.clear_previous_owners(after, set(_VMS[2:4]))
    _assert_covers_all(tidied)
    for vm in _VMS[2:]:
        fresh = claims.Claims(vm)
        fresh.adopt(dataclasses.replace(tidied, version=9))
        keys = sum(row.width for row in fresh.grantable())
        owned = sum(row.width for row in tidied.owned_by(vm))
        assert (keys == owned) == (vm in _VMS[2:4])
    for key in range(0, key_map.KEY_COUNT, 501):
        old, new = after.row_of(key), tidied.row_of(key)
        assert (old.owner, old.fence) == (new.owner, new.fence)
    assert planning.clear_previous_owners(tidied, set(_VMS[2:4])) is tidied


def test_no_heir_leaves_the_map_as_it_is():
    """Guards against keys without any owner on record."""
    found = planning.initial_map(_candidates())
    assert planning.reassign(found, _candidates(), set(_VMS)) is None


def test_new_target_gets_its_part_from_all():
    """Guards against targets that join and get nothing."""
    found = planning.initial_map(_candidates()[:5])
    after = planning.include_new_targets(found, _candidates())
    _assert_covers_all(after)
    owned = after.owned_by(_VMS[5])
    keys = sum(row.width for row in owned)
    assert 0.1 < keys / key_map.KEY_COUNT <= 1 / 6
    assert planning.include_new_targets(after, _candidates()) is None


def test_new_run_of_a_target_gets_higher_fences():
    """Guards against grants to a new run under the fence of the old one."""
    found = planning.initial_map(_candidates())
    assert planning.adopt_instance(found, _VMS[2], _life(_VMS[2])) is None
    after = planning.adopt_instance(found, _VMS[2], _life(_VMS[2], born_ms=7))
    assert {row.fence for row in after.owned_by(_VMS[2])} == {2}
    assert {row.fence for row in after.owned_by(_VMS[1])} == {1}
    assert after.instance_by_vm[_VMS[2]].born_ms == 7


@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(0, key_map.KEY_COUNT - 1),
        strategies.integers(1, 500),
        max_size=60,
    )
)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
def test_parts_of_rows_carry_all_hits(hits):
    """Guards against load that the planner does not see."""
    found = planning.initial_map(_candidates())
    parts = list(planning.split_by_load(found.rows, hits))
    assert sum(part.rate for part in parts) == sum(hits.values())
    for part in parts:
        row = found.row_of(part.first)
        assert row.first <= part.first <= part.last <= row.last


@hypothesis.given(strategies.data())
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
def test_map_survives_the_store(data):
    """Guards against rows that change on their way through the store."""
    found = planning.initial_map(_candidates())
    leaving = data.draw(strategies.sets(strategies.sampled_from(_VMS)))
    found = planning.reassign(found, _candidates(), leaving) or found
    assert key_map.decode(key_map.encode(found)) == found
