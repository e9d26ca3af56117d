"""Tests of the declarations that are shipped as examples."""

import pathlib

import pytest

from mustardloom import declarations
from mustardloom import ids

EXAMPLES = pathlib.Path(declarations.__file__).parent / "examples"


@pytest.mark.parametrize(
    ("name", "keyed", "capacity"),
    [("kibanda", "salio", 6), ("sagarmatha", "catalogue", 12)],
)
def test_examples_are_valid(name, keyed, capacity):
    """Guards against shipped examples that fail validation."""
    found = declarations.load_set([EXAMPLES / f"{name}.yaml"])
    assert found.id == name
    assert len(found.availability_zones) == 6
    assert [s.id for s in found.services if s.keyed] == [keyed]
    assert {service.capacity for service in found.services} == {capacity}


def test_examples_fit_into_one_catalogue():
    """Guards against declarations that are lost when sets are merged."""
    sets = [declarations.load_set([path]) for path in EXAMPLES.glob("*.yaml")]
    catalog = declarations.build(sets)
    assert len(catalog.services_by_id) == 6
    zone = ids.AvailabilityZoneId("koshi-2")
    assert catalog.region_by_zone[zone] == "koshi"
