"""Re-establishes a key map after the store came back from an older copy.

The copy may lack maps by which keys were granted since, so it confirms nothing:
two daemons might grant one key, the one by the copy and the other by a map that
is lost. Until a planner has written a map in the new era of the store, daemons
grant only by the reports of each other, and adopt no further map of an earlier
era. The planner asks all of them which map they know. The keys of an owner that
knows the same map as the planner stay as they are. All others may have moved by
a map that is lost, so they get a higher fencing token, and their owner waits
until nobody can hold them any more.
"""

from collections.abc import Set

import msgspec

from mustardloom import ids
from mustardloom.keys import key_map

__all__ = ["UNKNOWN_VM", "first_version", "is_established", "reestablish"]

# Stands for an earlier owner that nobody knows; it never confirms a release.
UNKNOWN_VM = ids.VmId("?")
# More than the maps that can be written between a copy and its restore, so that
# versions of lost maps are not used again.
_VERSIONS_PER_ERA = 1 << 16
# Keeps fencing tokens in 32 bits.
_MAX_ERAS = 1 << 15


def is_established(map_era: int | None, store_era: int) -> bool:
    """Returns whether a map was written in the present era of the store.

    Maps of earlier releases name no era.
    """
    return map_era is None or map_era >= store_era


def first_version(era: int | None) -> int:
    """Returns the version of a first map, above those of earlier eras.

    Example:
      >>> first_version(1), first_version(3)
      (1, 131073)
    """
    earlier_eras = max(0, (era or 0) - 1) % _MAX_ERAS
    return earlier_eras * _VERSIONS_PER_ERA + 1


def reestablish(
    basis: key_map.KeyMap, era: int, confirmed: Set[ids.VmId], newest: int
) -> key_map.KeyMap:
    """Returns the first map of an era.

    Args:
      basis: The newest map that is known.
      era: Present era of the store.
      confirmed: Owners that know `basis` and no newer map.
      newest: Highest version of a map that any daemon has reported.
    """
    version = max(basis.version, newest) + _VERSIONS_PER_ERA
    rows = (
        row
        if row.owner in confirmed
        else msgspec.structs.replace(
            row, fence=version, previous=UNKNOWN_VM, previous_fence=0
        )
        for row in basis.rows
    )
    return key_map.KeyMap(
        version,
        tuple(key_map.merge_adjacent(rows)),
        basis.instance_by_vm,
        era,
        basis.voters,
    )
