"""What a daemon reports of its descriptors, in its log and its metrics."""

import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom.sidecar import events

__all__ = ["DescriptorReport"]

_INTERVAL_MS = 500
# A shortage is over once nobody has been short for this long.
_QUIET_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Shortage:
    """A time in which a user was short of descriptors.

    Attributes:
      began_ms: Local time at which it began.
      latest_ms: Local time at which it was last seen.
      before: What was counted before it.
    """

    began_ms: int
    latest_ms: int
    before: dict[str, int]


class DescriptorReport:
    """Reports the descriptors of this process.

    Args:
      budget: Account of the descriptors.
      limit: Limit on the descriptors of the process, files included.
      log: Gets a line when a shortage begins and one when it is over.
      clock: Source of time.
    """

    def __init__(
        self,
        budget: descriptor_budget.DescriptorBudget,
        limit: int,
        log: events.EventLog,
        clock: clock_lib.Clock,
    ):
        self._budget = budget
        self._limit = limit
        self._log = log
        self._clock = clock
        self._seen_by_user = {
            share.user: _counts(share) for share in budget.shares()
        }
        self._shortage_by_user: dict[descriptor_budget.User, _Shortage] = {}

    def at_start(self) -> dict[str, int]:
        """Returns what the log tells when the process starts."""
        return {
            "descriptor_limit": self._limit,
            "system_descriptor_limit": descriptor_budget.system_limit(),
            "descriptor_capacity": self._budget.capacity,
        }

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics page by name."""
        gauges: dict[str, float] = {
            "descriptor_limit": self._limit,
            "descriptor_capacity": self._budget.capacity,
        }
        for share in self._budget.shares():
            prefix = f"descriptors_{share.user.value}_"
            gauges[prefix + "held"] = share.held
            for name, count in _counts(share).items():
                gauges[prefix + name] = count
        return gauges

    async def watch(self) -> None:
        """Logs shortages, until cancelled."""
        while True:
            await self._clock.tick_ms(_INTERVAL_MS)
            for share in self._budget.shares():
                self.check(share)

    def check(self, share: descriptor_budget.Share) -> None:
        """Logs if a shortage of this user has begun or is over."""
        now_ms = self._clock.now_ms()
        counts = _counts(share)
        before = self._seen_by_user[share.user]
        shortage = self._shortage_by_user.get(share.user)
        if counts != before:
            self._seen_by_user[share.user] = counts
            if shortage is None:
                shortage = _Shortage(now_ms, now_ms, before)
                self._shortage_by_user[share.user] = shortage
                self._write(events.Event.DESCRIPTORS_SHORT, share, before)
            shortage.latest_ms = now_ms
        elif shortage is not None and now_ms - shortage.latest_ms >= _QUIET_MS:
            del self._shortage_by_user[share.user]
            self._write(
                events.Event.DESCRIPTORS_BACK,
                share,
                shortage.before,
                duration_ms=shortage.latest_ms - shortage.began_ms,
            )

    def _write(
        self,
        event: events.Event,
        share: descriptor_budget.Share,
        before: dict[str, int],
        **fields: object,
    ) -> None:
        since = {
            name: count - before[name] for name, count in _counts(share).items()
        }
        if since["accept_errors"]:
            fields["error"] = share.last_error
        self._log.write(
            event,
            user=share.user.value,
            held=share.held,
            held_by_all=self._budget.held(),
            capacity=self._budget.capacity,
            **since,
            **fields,
        )


def _counts(share: descriptor_budget.Share) -> dict[str, int]:
    return {
        "refused": share.refused,
        "waits": share.waits,
        "evicted": share.evicted,
        "accept_errors": share.accept_errors,
    }
