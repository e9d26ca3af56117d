"""Mapping of keys to slots, and names of placement groups."""

from collections.abc import Iterable

import xxhash

from mustardloom import ids

__all__ = [
    "ANY_REGION",
    "group_of",
    "group_regions",
    "group_service",
    "slot_of",
]

# Stands in a group name for the regions if all are permitted.
ANY_REGION = "*"

_SERVICE_SEPARATOR = "@"
_REGION_SEPARATOR = "+"


def slot_of(key: str, slot_count: int) -> ids.SlotIndex:
    """Returns the slot of `key`, by its hash, in a group of `slot_count` slots.

    Example:
      >>> slot_of("account-7", 64) == slot_of("account-7", 64)
      True
    """
    digest = xxhash.xxh64_intdigest(key.encode())
    return ids.SlotIndex(digest % slot_count)


def group_of(
    service: ids.ServiceId, regions: Iterable[ids.RegionId]
) -> ids.GroupId:
    """Returns the placement group of a service and its permitted regions.

    Without any regions, all are permitted.

    Example:
      >>> group_of(ids.ServiceId("salio"), [])
      'salio@*'
    """
    names = _REGION_SEPARATOR.join(sorted(regions)) or ANY_REGION
    return ids.GroupId(f"{service}{_SERVICE_SEPARATOR}{names}")


def group_service(group: ids.GroupId) -> ids.ServiceId:
    """Returns the service of a placement group."""
    return ids.ServiceId(group.partition(_SERVICE_SEPARATOR)[0])


def group_regions(group: ids.GroupId) -> frozenset[ids.RegionId]:
    """Returns the permitted regions of a group, empty if all are permitted."""
    names = group.partition(_SERVICE_SEPARATOR)[2]
    if names == ANY_REGION:
        return frozenset()
    return frozenset(map(ids.RegionId, names.split(_REGION_SEPARATOR)))
