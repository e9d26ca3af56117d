"""Log of the periods during which a member served its slots."""

import collections
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.ownership import slot_admission

__all__ = ["IntervalLog", "ServingInterval"]

_MAX_INTERVALS = 100_000


@dataclasses.dataclass(slots=True)
class ServingInterval:
    """A period during which this member served a slot.

    Attributes:
      group: Placement group.
      slot: Slot of the group.
      epoch: Epoch at which it was served.
      from_wall_ms: Start.
      to_wall_ms: End, None while it is served. Never after the expiry of the
        lease, even if the process was paused and noticed the expiry late.
    """

    group: ids.GroupId
    slot: ids.SlotIndex
    epoch: ids.Epoch
    from_wall_ms: int
    to_wall_ms: int | None = None


class IntervalLog:
    """Serving intervals of one member; empty if the log is off.

    Attributes:
      intervals: The periods in order of their start. The oldest ones beyond
        100,000 are dropped.
    """

    def __init__(self, clock: clock_lib.Clock, is_on: bool):
        self.intervals: collections.deque[ServingInterval] = collections.deque(
            maxlen=_MAX_INTERVALS
        )
        self._clock = clock
        self._is_on = is_on
        self._open_by_slot: dict[slot_admission.SlotKey, ServingInterval] = {}

    def open(self, key: slot_admission.SlotKey, epoch: ids.Epoch) -> None:
        """Records that a slot is served from now on, unless it is already."""
        if not self._is_on or key in self._open_by_slot:
            return
        interval = ServingInterval(*key, epoch, self._clock.wall_ms())
        self._open_by_slot[key] = interval
        self.intervals.append(interval)

    def close(self, key: slot_admission.SlotKey, lease_expires_ms: int) -> None:
        """Records that a slot is served no longer, at the latest by a lease.

        Args:
          key: The slot.
          lease_expires_ms: When the lease expires, on the local clock.
        """
        interval = self._open_by_slot.pop(key, None)
        if interval is None:
            return
        past_expiry_ms = max(0, self._clock.now_ms() - lease_expires_ms)
        interval.to_wall_ms = self._clock.wall_ms() - past_expiry_ms
