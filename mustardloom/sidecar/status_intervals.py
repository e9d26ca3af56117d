"""How often daemons tell each other of themselves.

Load pattern: a fleet of many VMs, all of which know each other. What one of
them sends and receives has to stay the same when the fleet grows, so each of
its peers hears of it the more rarely the more peers there are.
"""

__all__ = ["other_region_interval_ms", "same_region_interval_ms"]

# Daemons of the own region come first; bytes between regions are dear.
_SHORTEST_NEAR_MS = 500
_SHORTEST_FAR_MS = 1_200
# Time between two messages to any peers of a kind.
_NEAR_SPACING_MS = 30
_FAR_SPACING_MS = 75
# Answers tell the load of the targets that are in use, so that rare messages
# matter to the others only. Signs of life are asked for where calls wait.
_LONGEST_MS = 20_000


def same_region_interval_ms(peers: int) -> int:
    """Returns the time between two messages to each peer of the own region.

    Example:
      >>> same_region_interval_ms(5), same_region_interval_ms(30)
      (500, 900)
    """
    return _interval_ms(peers, _SHORTEST_NEAR_MS, _NEAR_SPACING_MS)


def other_region_interval_ms(peers: int) -> int:
    """Returns the time between two messages to each peer of other regions.

    Example:
      >>> other_region_interval_ms(12), other_region_interval_ms(60)
      (1200, 4500)
    """
    return _interval_ms(peers, _SHORTEST_FAR_MS, _FAR_SPACING_MS)


def _interval_ms(peers: int, shortest_ms: int, spacing_ms: int) -> int:
    return min(_LONGEST_MS, max(shortest_ms, peers * spacing_ms))
