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
# Each peer of the same region, or of other regions, adds this to the interval.
_SPACING_MS = 100
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
    return _interval_ms(peers, _MIN_SAME_REGION_MS)


def other_region_interval_ms(peers: int) -> int:
    """Returns the interval of statuses to each peer of other regions, in ms.

    Example:
      >>> other_region_interval_ms(12), other_region_interval_ms(60)
      (1200, 6000)
    """
    return _interval_ms(peers, _MIN_OTHER_REGION_MS)


def _interval_ms(peers: int, min_ms: int) -> int:
    return min(_MAX_INTERVAL_MS, max(min_ms, peers * _SPACING_MS))
