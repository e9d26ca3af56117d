"""Tests of routes and home regions."""

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import outcomes
from mustardloom.declarations import model
from mustardloom.membership import records
from mustardloom.routing import home_regions as home_regions_lib
from mustardloom.routing import routes
from mustardloom.routing.tests import fleet as fleet_lib

FAR = ids.RegionId("ziwa")


def make_route(prefix, home_regions=()):
    """Returns a route whose id is its prefix."""
    return model.Route(
        id=ids.RouteId(prefix),
        prefix=prefix,
        service=ids.ServiceId("s"),
        home_regions=home_regions,
    )


def test_longest_prefix_wins_at_segment_borders():
    """Guards against requests that reach another route's service."""
    prefixes = ["/a", "/a/b", "/c/d"]
    declared = model.DeclarationSet(
        id=ids.DeclarationSetId("x"), routes=tuple(map(make_route, prefixes))
    )
    table = routes.RouteTable([declared])
    paths = ["/a", "/a/", "/a/x?q=/b", "/a/b/x", "/a/bc", "/ab", "/c", "//a"]
    found = [getattr(table.match(path), "id", None) for path in paths]
    assert found == ["/a", "/a", "/a", "/a/b", "/a", None, None, "/a"]


def test_permitted_regions_are_the_intersection():
    """Guards against reading no common region as any region (invariant I5)."""

    def permitted(by_route, by_organisation):
        organisation = model.Organisation(
            id=ids.OrganisationId("o"), home_regions=by_organisation
        )
        return home_regions_lib.permitted_regions(
            make_route("/", by_route), organisation
        )

    near, far = (fleet_lib.NEAR,), (FAR,)
    assert permitted((), ()) == frozenset()
    assert permitted(near, ()) == permitted((), near) == frozenset(near)
    assert permitted(near + far, far) == frozenset(far)
    assert permitted(near, far) is None


def test_refusal_names_regions_and_a_serving_ingress_in_each():
    """Guards against redirecting callers to an ingress that is leaving."""
    fleet = fleet_lib.Fleet(clock_lib.FakeClock())
    fleet.put_member("a~1", FAR, state=records.MemberState.LEAVING)
    fleet.put_member("b~1", ids.RegionId("other"))
    regions = frozenset({FAR})
    refused = home_regions_lib.refusal(fleet.members, regions)
    assert refused.reason is outcomes.RefusalReason.HOME_REGION
    assert (refused.regions, refused.detail) == ((FAR,), "served only in ziwa")
    fleet.put_member("c~1", FAR)
    assert (
        "ziwa (127.0.0.1:1)"
        in home_regions_lib.refusal(fleet.members, regions).detail
    )
