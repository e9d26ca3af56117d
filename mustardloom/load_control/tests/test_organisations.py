"""Tests of the rank and the regions of an organisation's requests."""

import pytest

from mustardloom import ids
from mustardloom.deployment import configuration
from mustardloom.load_control import organisations


def _route(priority):
    return configuration.Route(
        name=ids.RouteId("r"),
        host="h",
        prefix="/",
        shares=(),
        kind=configuration.RequestKind.IDEMPOTENT,
        timeout_ms=1_000,
        objective_ms=300,
        max_attempts=1,
        priority=priority,
        home_regions=frozenset(),
    )


def _organisation(priority):
    return configuration.Organisation(
        ids.OrganisationId("o"), priority, None, 0.0, frozenset()
    )


@pytest.mark.parametrize(
    ("urgent", "other"),
    [((0, 9), (1, 0)), ((1, 0), (1, 2)), ((0, 999), (1, 0))],
)
def test_priority_of_a_route_goes_before_that_of_an_organisation(urgent, other):
    """Guards against a route that outranks a more urgent organisation."""
    ranks = [
        organisations.priority_of(_route(route), _organisation(organisation))
        for organisation, route in (urgent, other)
    ]
    assert ranks[0] < ranks[1]


def test_priority_of_a_route_changes_without_organisations():
    """Guards against other ranks in deployments without organisations."""
    assert organisations.priority_of(_route(7), None) == 7
