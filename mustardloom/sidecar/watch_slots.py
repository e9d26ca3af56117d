"""When the watchers of a region renew their watches of the store.

An open connection may fall silent without a reset, and a watch that waits on it
hears of no change. All connections may do so at once, so how late a region
hears of a change depends on when the next of its watches ends. If all of them
began with the same change, they would end together. Therefore each ends at a
time of its own: those of one daemon for two kinds, and those of two daemons for
one kind, half a period apart.
"""

__all__ = ["PERIOD_MS", "wait_ms"]

# Each watch is billed. Half of this and the time after which a watch counts as
# silent leave half a second of the bound of a configuration to spread it.
PERIOD_MS = 3_000
# A watch that ends a little early is not renewed for the rest of its time.
_MIN_WAIT_MS = 50


def wait_ms(kind: int, rank: int, wall_ms: int) -> int:
    """Returns how long a watch is to wait for a change.

    Args:
      kind: Number of the kind of objects.
      rank: Place of the daemon among the watchers of its region.
      wall_ms: Unix time, by which the watchers agree on their turns.

    Example:
      >>> wait_ms(0, 0, 1_000), wait_ms(0, 1, 1_000), wait_ms(1, 0, 1_000)
      (2000, 500, 500)
    """
    turn_ms = PERIOD_MS // 2 * ((kind + rank) % 2)
    left_ms = (turn_ms - wall_ms) % PERIOD_MS
    return left_ms if left_ms >= _MIN_WAIT_MS else left_ms + PERIOD_MS
