"""State of the local target, by its heartbeats, notices and responses."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from mustardloom import clock as clock_lib
from mustardloom.deployment import settings
from mustardloom.deployment import targets
from mustardloom.http1 import messages
from mustardloom.platform import announcements
from mustardloom.sidecar import departures
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import gate as gate_lib

__all__ = ["LocalTarget"]

_OK = 200
_BAD_REQUEST = 400
# Requests to a leaving target end this long before the drain bound.
_DRAIN_MARGIN_MS = 900
# The drain bound of this leave counts from an earlier acknowledgement.
_NO_WORK_MS = 0
# The target counts as silent after this many heartbeat intervals without a
# heartbeat or an answer.
_SILENT_AFTER_HEARTBEATS = 2.6
# The interval at which links are checked, so that ticks coincide.
_CHECK_INTERVAL_MS = 125

# Returns the grant that answers a heartbeat, None to renew nothing.
GrantKeys = Callable[
    [targets.Announcement], Awaitable[announcements.Grant | None]
]


class LocalTarget:
    """Processes heartbeats and deregistrations; updates the gate.

    Attributes:
      announcement: The newest heartbeat, None before the first one.
      is_leaving: Whether the target has announced that it leaves.
      bounds: Bounds in force.
      on_change: Called when the state that other daemons see has changed.
    """

    def __init__(
        self,
        own_settings: settings.Settings,
        gate: gate_lib.Gate,
        grants: GrantKeys,
        clock: clock_lib.Clock,
        log: events.EventLog,
    ):
        self.announcement: targets.Announcement | None = None
        self.is_leaving = False
        self.on_change: Callable[[], None] = lambda: None
        self.bounds = own_settings.bounds
        self._settings = own_settings
        self._gate = gate
        self._grant_keys = grants
        self._clock = clock
        self._log = log
        self._last_heartbeat_ms = 0
        self._heartbeat_lock = asyncio.Lock()
        self._departures = departures.Departures()
        # Whether a target left of which this process has no heartbeat.
        self._has_left_unseen = False
        self._rate_limit_by_instance: dict[targets.TargetInstance, float] = {}
        gate.on_reachability = self._on_reachability
        gate.on_statement = self._on_statement

    @property
    def departure(self) -> departures.Departure | None:
        """Returns the latest leave, None if a later instance is known."""
        known = self.announcement
        latest = self._departures.latest
        if latest is None or known is None:
            return latest
        is_later = known.instance.born_ms > latest.born_until_ms
        return None if is_later else latest

    @property
    def phase(self) -> fleet_lib.TargetPhase:
        """Returns the state of the target as other daemons see it."""
        if self.announcement is None:
            if self._has_left_unseen:
                return fleet_lib.TargetPhase.LEAVING
            return fleet_lib.TargetPhase.ABSENT
        if self._gate.target.reachability is not gate_lib.Reachability.UP:
            return fleet_lib.TargetPhase.DOWN
        if self.is_leaving:
            return fleet_lib.TargetPhase.LEAVING
        return fleet_lib.TargetPhase.READY

    async def handle(self, request: messages.Request) -> messages.Response:
        """Processes a notice of the target and returns the response.

        The status is 400 if the notice is invalid or not from this target.
        """
        try:
            notice = await announcements.decode(request)
        except announcements.InvalidNotice as error:
            return self._reject(str(error))
        match notice:
            case announcements.Heartbeat(announcement, address):
                # One that takes several steps is the newest one to its end.
                async with self._heartbeat_lock:
                    return await self._on_heartbeat(announcement, address)
            case announcements.Deregistration(target, born_ms):
                return self._on_deregistration(target, born_ms)

    async def detect_silence(self) -> None:
        """Detects that the target has become silent, until cancelled."""
        limit_ms = round(_SILENT_AFTER_HEARTBEATS * self._settings.heartbeat_ms)
        while True:
            await self._clock.tick_ms(_CHECK_INTERVAL_MS)
            if self.announcement is None:
                continue
            latest_ms = max(
                self._last_heartbeat_ms, self._gate.last_answer_ms()
            )
            if self._clock.now_ms() - latest_ms > limit_ms:
                self._gate.mark_silent()

    def on_left(self, departure: departures.Departure) -> None:
        """Records a leave that was acknowledged before this process began.

        Heartbeats of the target may have come before, also one by which it
        seemed to begin to leave only now, or may arrive later.
        """
        self._departures.record(departure)
        self._leave_if_departed()

    def on_limited(
        self, instance: targets.TargetInstance, rate_per_s: float
    ) -> None:
        """Records the rate limit that an instance stated before the restart.

        Other daemons remember it, as this process has no response yet.
        """
        self._rate_limit_by_instance[instance] = rate_per_s
        known = self.announcement
        if known is not None and known.instance == instance:
            self._gate.assume_rate_limit(rate_per_s)

    async def _on_heartbeat(
        self, announcement: targets.Announcement, address: str
    ) -> messages.Response:
        host, port = self._settings.target_address
        if address != f"{host}:{port}":
            return self._reject(
                f"address {address!r} is not the configured one"
            )
        if announcement.service != self._settings.service:
            return self._reject(f"wrong service {announcement.service!r}")
        if announcement.availability_zone != self._settings.availability_zone:
            return self._reject(
                f"wrong availability zone {announcement.availability_zone!r}"
            )
        if self._is_outdated(announcement):
            return announcements.answer_heartbeat(None)
        self._adopt(announcement)
        grant = await self._grant_keys(announcement)
        return announcements.answer_heartbeat(grant)

    def _is_outdated(self, announcement: targets.Announcement) -> bool:
        """Returns whether a later heartbeat or instance is known."""
        known = self.announcement
        if known is None:
            return False
        if announcement.instance == known.instance:
            return announcement.sequence <= known.sequence
        return announcement.instance.born_ms < known.instance.born_ms

    def _adopt(self, announcement: targets.Announcement) -> None:
        known = self.announcement
        is_new = known is None or known.instance != announcement.instance
        self.announcement = announcement
        self._last_heartbeat_ms = self._clock.now_ms()
        if is_new:
            self.is_leaving = False
            self._log.write(
                events.Event.TARGET_NEW,
                target=announcement.instance.target,
                born_ms=announcement.instance.born_ms,
                capacity=announcement.capacity,
                cold_left_ms=announcement.cold_left_ms,
            )
        self._gate.on_heartbeat(announcement.instance, announcement.capacity)
        self._gate.set_cold_for(announcement.cold_left_ms)
        told_per_s = self._rate_limit_by_instance.get(announcement.instance)
        if is_new and told_per_s is not None:
            self._gate.assume_rate_limit(told_per_s)
        if not self.is_leaving:
            self._leave_if_departed()
        if announcement.phase is targets.Phase.DRAINING:
            # Of one that was leaving when this process first heard of it, an
            # earlier process may have acknowledged that long ago.
            work_for_ms = _NO_WORK_MS if is_new else self._work_time_ms()
            self._start_leaving("draining", work_for_ms)
        if is_new:
            self.on_change()

    def _on_deregistration(
        self, target: targets.TargetId, born_ms: int | None
    ) -> messages.Response:
        """Acknowledges a leave, which binds from now on."""
        if born_ms is None:
            born_ms = self._latest_born_ms(target)
        departure = departures.Departure(target, born_ms)
        self._departures.record(departure)
        known = self.announcement
        if known is not None and departure.covers(known.instance):
            self._start_leaving("goodbye", self._work_time_ms())
        else:
            self._has_left_unseen = known is None
            self._log.write(
                events.Event.TARGET_LEAVING,
                notice="goodbye of a target without a heartbeat",
                target=target,
                born_until_ms=born_ms,
            )
            self.on_change()
        return messages.Response(_OK)

    def _latest_born_ms(self, target: targets.TargetId) -> int:
        """Returns when the instance that leaves now can have started at most.

        The next instance of the same name can start only after this one has
        ended, which takes it the drain time or longer; half of that allows for
        clocks that differ.
        """
        latest_ms = self._clock.wall_ms() + self.bounds.drain_ms // 2
        known = self.announcement
        if known is not None and known.instance.target == target:
            return max(latest_ms, known.instance.born_ms)
        return latest_ms

    def _leave_if_departed(self) -> None:
        known = self.announcement
        if known is not None and self._departures.covers(known.instance):
            self._start_leaving("left before", _NO_WORK_MS)

    def _work_time_ms(self) -> int:
        """Returns how long a target that begins to leave gets requests."""
        return max(0, self.bounds.drain_ms - _DRAIN_MARGIN_MS)

    def _start_leaving(self, notice: str, work_for_ms: int) -> None:
        """Lets the target have requests for some more time.

        Of several notices, in whatever order, the earliest end is in force.
        """
        if self.announcement is None:
            return
        self._gate.stop_admission_at(self._clock.now_ms() + work_for_ms)
        if self.is_leaving:
            return
        self.is_leaving = True
        instance = self.announcement.instance
        self._departures.record(departures.of(instance))
        self._log.write(
            events.Event.TARGET_LEAVING,
            notice=notice,
            target=instance.target,
            work_for_ms=work_for_ms,
        )
        self.on_change()

    def _on_statement(
        self, before: targets.Statement | None, statement: targets.Statement
    ) -> None:
        # A limit may change with each response, so it travels with answers and
        # regular statuses, not with a message to every daemon.
        if statement.is_leaving and not self.is_leaving:
            # Of the first response to this process as of the first heartbeat.
            is_first = before is None
            work_for_ms = _NO_WORK_MS if is_first else self._work_time_ms()
            self._start_leaving("response", work_for_ms)

    def _reject(self, reason: str) -> messages.Response:
        self._log.write(events.Event.NOTICE_REJECTED, reason=reason)
        return messages.Response(_BAD_REQUEST)

    def _on_reachability(self, reachability: gate_lib.Reachability) -> None:
        event = events.Event.TARGET_DOWN
        if reachability is gate_lib.Reachability.UP:
            event = events.Event.TARGET_BACK
        self._log.write(event, presence=reachability.value)
        self.on_change()
