"""Lookup of all declarations in force by id, and their JSON form."""

from collections.abc import Iterable
import dataclasses

import msgspec

from mustardloom import ids
from mustardloom.declarations import envelope
from mustardloom.declarations import model

__all__ = [
    "Catalog",
    "build",
    "decode_set",
    "decode_stop",
    "encode",
]

_SET_TYPE = envelope.StoredObject[model.DeclarationSet]
_STOP_TYPE = envelope.StoredObject[model.Stop]


def encode(
    stored: envelope.StoredObject[model.DeclarationSet]
    | envelope.StoredObject[model.Stop],
) -> bytes:
    """Returns the JSON of a set or stop and its audit trail."""
    return msgspec.json.encode(stored)


def decode_set(value: bytes) -> envelope.StoredObject[model.DeclarationSet]:
    """Returns the declaration set that is stored as `value`.

    Raises:
      msgspec.ValidationError: The value is not a stored set.
    """
    return msgspec.json.decode(value, type=_SET_TYPE)


def decode_stop(value: bytes) -> envelope.StoredObject[model.Stop]:
    """Returns the stop that is stored as `value`.

    Raises:
      msgspec.ValidationError: The value is not a stored stop.
    """
    return msgspec.json.decode(value, type=_STOP_TYPE)


def build(sets: Iterable[model.DeclarationSet]) -> "Catalog":
    """Merges several sets into one catalogue.

    `mustardloomctl apply` refuses ids that another set declares, but two sets
    with a common id may be applied concurrently. The set whose own id sorts
    first then takes precedence, so that all daemons agree regardless of the
    order in which the sets arrive.

    Example:
      >>> zone = model.AvailabilityZone("pwani-1", "pwani")
      >>> one = model.DeclarationSet(id="a", availability_zones=(zone,))
      >>> build([one]).region_by_zone
      {'pwani-1': 'pwani'}
    """
    catalog = Catalog()
    for item in sorted(sets, key=lambda each: each.id, reverse=True):
        catalog.services_by_id.update({s.id: s for s in item.services})
        catalog.routes_by_id.update({r.id: r for r in item.routes})
        catalog.organisations_by_id.update(
            {o.id: o for o in item.organisations}
        )
        catalog.region_by_zone.update(
            {zone.id: zone.region for zone in item.availability_zones}
        )
    return catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """All declarations in force, by id.

    Attributes:
      services_by_id: Services of all sets.
      routes_by_id: Routes of all sets.
      organisations_by_id: Organisations of all sets.
      region_by_zone: Region of each availability zone.
    """

    services_by_id: dict[ids.ServiceId, model.Service] = dataclasses.field(
        default_factory=dict
    )
    routes_by_id: dict[ids.RouteId, model.Route] = dataclasses.field(
        default_factory=dict
    )
    organisations_by_id: dict[ids.OrganisationId, model.Organisation] = (
        dataclasses.field(default_factory=dict)
    )
    region_by_zone: dict[ids.AvailabilityZoneId, ids.RegionId] = (
        dataclasses.field(default_factory=dict)
    )
