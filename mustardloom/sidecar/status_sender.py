"""Sends this daemon's status to the others: regularly, and after changes."""

from collections.abc import Callable
from collections.abc import Iterable

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import status_intervals

__all__ = ["StatusSender"]

# The load is sampled this often; statuses are sent at multiples of it.
_SAMPLE_INTERVAL_MS = 250


class StatusSender:
    """Sends statuses; also keeps this daemon's own entry in the fleet current.

    Args:
      fleet: The daemons.
      links: Links to the other daemons.
      clock: Source of time.
      make_status: Returns the status for a receiver.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        clock: clock_lib.Clock,
        make_status: Callable[[ids.VmId], frames.Status],
    ):
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._make_status = make_status
        self._sent_same_region_ms = 0
        self._sent_other_regions_ms = 0

    async def run(self, sample: Callable[[], None]) -> None:
        """Sends regular statuses until cancelled.

        Args:
          sample: Called before each round to sample the load.
        """
        while True:
            await self._clock.tick_ms(_SAMPLE_INTERVAL_MS)
            sample()
            self._update_own()
            self._send_due()

    def send(self, vm: ids.VmId) -> None:
        """Sends the status to one daemon."""
        self._links.notify(vm, self._make_status(vm))

    def broadcast(self) -> None:
        """Sends the status to all daemons, after a change they must know."""
        self._update_own()
        self._send_to_each(self._fleet.same_region())
        self._send_to_each(self._fleet.other_regions())

    def _update_own(self) -> None:
        own = self._fleet.own_record.vm
        self._fleet.update_status(own, self._make_status(own))

    def _send_due(self) -> None:
        now_ms = self._clock.now_ms()
        same_region = list(self._fleet.same_region())
        interval_ms = status_intervals.same_region_interval_ms(len(same_region))
        if now_ms - self._sent_same_region_ms >= interval_ms:
            self._sent_same_region_ms = now_ms
            self._send_to_each(same_region)
        other_regions = list(self._fleet.other_regions())
        interval_ms = status_intervals.other_region_interval_ms(
            len(other_regions)
        )
        if now_ms - self._sent_other_regions_ms >= interval_ms:
            self._sent_other_regions_ms = now_ms
            self._send_to_each(other_regions)

    def _send_to_each(self, vms: Iterable[ids.VmId]) -> None:
        for vm in vms:
            self.send(vm)
