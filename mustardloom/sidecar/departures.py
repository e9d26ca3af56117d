"""Acknowledged leaves of targets, also of those that are not known (yet).

A leave that was acknowledged binds for as long as the target runs. The daemon
may have been restarted since the last heartbeat of the target, and a heartbeat
that was sent before the leave may arrive after the acknowledgement.
"""

import dataclasses

from mustardloom.deployment import targets

__all__ = ["Departure", "Departures", "of"]

# Late heartbeats arrive within seconds; a VM starts few targets in that time.
_MAX_DEPARTURES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """All instances of a target up to one have left.

    Attributes:
      target: Name of the target; a later instance may have it, too.
      born_until_ms: Unix time; instances that were started later have not left.
    """

    target: targets.TargetId
    born_until_ms: int

    def covers(self, instance: targets.TargetInstance) -> bool:
        """Returns whether an instance has left.

        Example:
          >>> departure = Departure(targets.TargetId("t"), born_until_ms=5)
          >>> earlier = targets.TargetInstance(targets.TargetId("t"), 5)
          >>> later = targets.TargetInstance(targets.TargetId("t"), 6)
          >>> departure.covers(earlier), departure.covers(later)
          (True, False)
        """
        return (
            instance.target == self.target
            and instance.born_ms <= self.born_until_ms
        )


def of(instance: targets.TargetInstance) -> Departure:
    """Returns the departure of one instance, and so of those before it."""
    return Departure(instance.target, instance.born_ms)


class Departures:
    """The latest departure of each target beside this daemon."""

    def __init__(self) -> None:
        self._by_target: dict[targets.TargetId, Departure] = {}

    @property
    def latest(self) -> Departure | None:
        """Returns the departure of the instances that started last."""
        return max(
            self._by_target.values(),
            key=lambda each: each.born_until_ms,
            default=None,
        )

    def record(self, departure: Departure) -> None:
        """Adds a departure; a later one of the same target includes it."""
        known = self._by_target.pop(departure.target, departure)
        self._by_target[departure.target] = max(
            known, departure, key=lambda each: each.born_until_ms
        )
        if len(self._by_target) > _MAX_DEPARTURES:
            del self._by_target[next(iter(self._by_target))]

    def covers(self, instance: targets.TargetInstance) -> bool:
        """Returns whether an instance has left."""
        departure = self._by_target.get(instance.target)
        return departure is not None and departure.covers(instance)
