"""Tests of key maps after a restore of the store; see test_exclusive, too."""

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import authority
from mustardloom.keys import claims
from mustardloom.keys import key_map
from mustardloom.keys import planning
from mustardloom.keys import restoration
from mustardloom.keys import voters

_VMS = [ids.VmId(f"vm-{number}") for number in range(5)]
_ERA = 2

_VOTERS = voters.of(_VMS)


def _candidate(vm):
    instance = targets.TargetInstance(targets.TargetId(f"t-{vm}"), 1)
    return planning.Candidate(vm, instance, 6)


def _basis():
    return planning.initial_map([_candidate(vm) for vm in _VMS], era=1)


def _report(version, era=_ERA, is_voter=True):
    return authority.MapReport(100, version, is_voter, era)


def _authority(*reports):
    found = authority.Authority(_VMS[0])
    found.is_voter = True
    for vm, report in zip(_VMS[1:], reports, strict=False):
        found.record_report(vm, report)
    return found


def test_owner_of_unknown_state_waits_for_earlier_grants():
    """Guards against keys that a lost map had given to another target."""
    planned = restoration.reestablish(_basis(), _ERA, {_VMS[0]}, newest=1)
    kept, waiting = claims.Claims(_VMS[0]), claims.Claims(_VMS[1])
    for each in (kept, waiting):
        each.adopt(planned)
    assert list(kept.grantable()) == list(planned.owned_by(_VMS[0]))
    assert not list(waiting.grantable())


def test_versions_of_lost_maps_are_not_used_again():
    """Guards against two maps of one version, and fences that come again."""
    basis = _basis()
    planned = restoration.reestablish(basis, _ERA, set(), newest=7)
    assert planned.version > basis.version + 1_000
    assert all(row.fence == planned.version for row in planned.rows)
    assert planning.initial_map([_candidate(_VMS[0])], _ERA).version > 1_000


def test_newer_map_that_any_daemon_reports_holds_the_plan_back():
    """Guards against a plan by an older map than a daemon grants by."""
    found = _authority(_report(1), _report(1), _report(2))
    assert found.owners_without_newer_map(1, _VOTERS, _ERA) is None


def test_reports_from_before_the_restore_count_for_nothing():
    """Guards against an owner that adopts a lost map after its report."""
    found = _authority(_report(1), _report(1, era=1), _report(1, era=1))
    assert found.owners_without_newer_map(1, _VOTERS, _ERA) is None
    found = _authority(_report(1), _report(1), _report(1, era=1))
    confirmed = found.owners_without_newer_map(1, _VOTERS, _ERA)
    assert confirmed == {_VMS[1], _VMS[2]}


def test_restarted_daemons_are_no_witnesses_of_the_newest_map():
    """Guards against daemons that forgot the map by which they granted."""
    found = _authority(_report(1), _report(1, is_voter=False))
    assert found.owners_without_newer_map(1, _VOTERS, _ERA) is None


def test_era_of_a_map_survives_the_store():
    """Guards against a map that counts as one of another era."""
    basis = _basis()
    assert key_map.decode(key_map.encode(basis)).era == 1
    assert key_map.era_of(key_map.encode(basis)) == 1


def test_first_map_after_a_lost_one_waits_for_its_grants():
    """Guards against two holders after a store has lost its only map.

    All daemons have restarted and remember no map, but targets hold keys.
    """
    candidates = [_candidate(vm) for vm in _VMS]
    fresh, later = claims.Claims(_VMS[0]), claims.Claims(_VMS[0])
    fresh.adopt(planning.initial_map(candidates, _ERA))
    later.adopt(planning.initial_map(candidates, _ERA, may_be_held=True))
    assert list(fresh.grantable())
    assert not list(later.grantable())
