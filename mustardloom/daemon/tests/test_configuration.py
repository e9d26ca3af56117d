"""Tests of the view of the configuration in force."""

from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.daemon import configuration as configuration_lib
from mustardloom.declarations import catalog
from mustardloom.declarations import envelope
from mustardloom.declarations import model
from mustardloom.membership import records
from mustardloom.relay import replica as replica_lib

_SET = model.DeclarationSet(
    id=ids.DeclarationSetId("shop"),
    services=(model.Service(id=ids.ServiceId("salio"), slot_count=8),),
    routes=(
        model.Route(
            id=ids.RouteId("salio"),
            prefix="/salio",
            service=ids.ServiceId("salio"),
        ),
    ),
    organisations=(
        model.Organisation(
            id=ids.OrganisationId("bound"),
            home_regions=(ids.RegionId("ziwa"), ids.RegionId("pwani")),
        ),
    ),
)
_MEMBER = records.MemberRecord(
    member=ids.MemberId("vm-1~0"),
    region=ids.RegionId("pwani"),
    availability_zone=ids.AvailabilityZoneId("pwani-1"),
    caller_address=records.Address("127.0.0.1", 1),
    peer_address=records.Address("127.0.0.1", 2),
)


def _apply(replica, key, version, value):
    event = store_lib.Event(key, ids.Version(version), value)
    replica.apply([event], ids.Version(version - 1), ids.Version(version))


def _stop(active):
    stop = model.Stop(
        kind=model.StopKind.AVAILABILITY_ZONE,
        name="pwani-1",
        active=active,
        since_wall_ms=0,
    )
    return catalog.encode(envelope.StoredObject(stop, 1))


def _make_view():
    replica = replica_lib.Replica()
    metrics = metrics_lib.Metrics()
    return replica, metrics, configuration_lib.Configuration(replica, metrics)


def test_groups_follow_the_home_regions_of_organisations():
    """Guards against slots outside the home regions of an organisation."""
    replica, _, view = _make_view()
    stored = envelope.StoredObject(_SET, 1)
    _apply(replica, "config/shop", 1, catalog.encode(stored))
    assert sorted(view.groups()) == [("salio@*", 8), ("salio@pwani+ziwa", 8)]


def test_undecodable_object_leaves_the_previous_version_in_force():
    """Guards against losing all routes through one invalid write."""
    replica, metrics, view = _make_view()
    stored = envelope.StoredObject(_SET, 1)
    _apply(replica, "config/shop", 1, catalog.encode(stored))
    _apply(replica, "config/shop", 2, b'{"value": 7}')
    assert view.table.match("/salio/1") is not None
    assert view.version_by_set["shop"] == 1
    assert metrics.counters["configuration.not_decoded"] == 1


def test_stop_covers_members_of_its_zone_until_it_is_lifted():
    """Guards against new requests in a stopped availability zone."""
    replica, _, view = _make_view()
    key = model.stop_key(model.StopKind.AVAILABILITY_ZONE, "pwani-1")
    _apply(replica, key, 1, _stop(active=True))
    assert view.is_stopped(_MEMBER)
    _apply(replica, key, 2, _stop(active=False))
    assert not view.is_stopped(_MEMBER)
