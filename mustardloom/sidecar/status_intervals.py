"""How often daemons send each other their status.

Load pattern: a fleet of many VMs, in which each daemon knows all others. The
traffic of one daemon must not grow with the fleet, so the interval between two
statuses to the same peer grows with the number of peers.
"""

__all__ = ["other_region_interval_ms", "same_region_interval_ms"]

# Statuses go to other regions less often, as traffic between regions is
# expensive.
_MIN_SAME_REGION_MS = 500
_MIN_OTHER_REGION_MS = 1_200
# Each peer adds this to the interval: the first ones of the same region, the
# others of the same region, and those of other regions beyond the first few.
_SAME_REGION_SPACING_MS = 100
_FIRST_SAME_REGION = 30
_LARGE_REGION_SPACING_MS = 250
_FREE_OTHER_REGION = 12
_OTHER_REGION_SPACING_MS = 265
# Long intervals affect only targets that are not in use: answers to requests
# carry the load of the others, many targets are asked for their load, and peers
# with open calls are pinged.
_MAX_INTERVAL_MS = 20_000


def same_region_interval_ms(peers: int) -> int:
    """Returns the interval of statuses to each peer of the same region, in ms.

    Example:
      >>> same_region_interval_ms(5), same_region_interval_ms(30)
      (500, 3000)
    """
    beyond = max(0, peers - _FIRST_SAME_REGION)
    interval_ms = (peers - beyond) * _SAME_REGION_SPACING_MS
    interval_ms += beyond * _LARGE_REGION_SPACING_MS
    return min(_MAX_INTERVAL_MS, max(_MIN_SAME_REGION_MS, interval_ms))


def other_region_interval_ms(peers: int) -> int:
    """Returns the interval of statuses to each peer of other regions, in ms.

    Example:
      >>> other_region_interval_ms(12), other_region_interval_ms(60)
      (1200, 13920)
    """
    beyond = max(0, peers - _FREE_OTHER_REGION)
    interval_ms = _MIN_OTHER_REGION_MS + beyond * _OTHER_REGION_SPACING_MS
    return min(_MAX_INTERVAL_MS, interval_ms)
