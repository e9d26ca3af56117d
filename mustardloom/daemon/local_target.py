"""The target on the daemon's VM: its gate, announced state and stops."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from mustardloom import clock as clock_lib
from mustardloom import findings
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom.admission import gate as gate_lib
from mustardloom.daemon import adapters
from mustardloom.daemon import admin
from mustardloom.daemon import configuration as configuration_lib
from mustardloom.daemon import incarnation as incarnation_lib
from mustardloom.daemon import serving as serving_lib
from mustardloom.forwarding import target_client
from mustardloom.membership import announcer as announcer_lib
from mustardloom.membership import own_record
from mustardloom.membership import records
from mustardloom.relay import peers as peers_lib
from mustardloom.relay.wire import peer_pb2
from mustardloom.routing import home_regions

__all__ = ["LocalTarget"]

# Time for planned moves to empty a stopped target before its gate closes. It
# stays below 2 s together with the time in which a stop reaches all daemons.
_STOP_GRACE_MS = 1_000


class LocalTarget:
    """Applies the target's announcements and the stops set by operators.

    Attributes:
      announcement: Last announcement of the target, None before the first.
    """

    def __init__(
        self,
        current_incarnation: Callable[[], incarnation_lib.Incarnation],
        lease: adapters.CurrentLease,
        grants: adapters.TargetGrants,
        handlers: serving_lib.RequestHandlers,
        configuration: configuration_lib.Configuration,
        members: records.MemberView,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self.announcement: announcer_lib.TargetAnnouncement | None = None
        self._current_incarnation = current_incarnation
        self._lease = lease
        self._grants = grants
        self._handlers = handlers
        self._configuration = configuration
        self._members = members
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._address = ""
        self._is_stopped = False
        self._stop_task: asyncio.Task[None] | None = None
        self._health_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        peers.add_handler(peer_pb2.Suspect, self._on_suspect)
        configuration.subscribe(self._apply_stop)

    async def on_notice(self, notice: admin.TargetNotice) -> None:
        """Applies an announcement; connects to the target at a new address.

        Raises:
          findings.FindingsError: The announcement is not valid, or another
            target still answers; nothing changes.
        """
        self._validate(notice)
        if notice.address != self._address:
            self._connect(notice)
        assert self._handlers.gate is not None
        self._handlers.gate.update_target(notice.capacity, notice.instance)
        announcement = announcer_lib.TargetAnnouncement(
            service=notice.service,
            capacity=notice.capacity,
            instance=notice.instance,
            checks_fencing=notice.checks_fencing,
        )
        if announcement != self.announcement:
            self.announcement = announcement
            self._start_task(self._register(announcement))

    async def load(self) -> target_client.TargetLoad | None:
        """Returns the load that the target reports, None if unavailable."""
        client = self._grants.client
        return await client.load() if client is not None else None

    async def drain(self) -> None:
        """Closes the gate and waits until the target runs no request."""
        gate = self._handlers.gate
        if gate is None:
            return
        gate.close(
            outcomes.RefusalReason.SHUTTING_DOWN, "the daemon is leaving"
        )
        await gate.wait_idle()

    async def close(self) -> None:
        """Ends all tasks and closes the connections to the target."""
        tasks = list(self._tasks)
        if self._health_task is not None:
            tasks.append(self._health_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._grants.client is not None:
            self._grants.client.close()

    def _validate(self, notice: admin.TargetNotice) -> None:
        place = findings.Place("target")
        found = []
        if notice.capacity < 1:
            found.append(findings.Finding(place, "capacity must be at least 1"))
        host, _, port = notice.address.rpartition(":")
        if not host or not port.isdecimal():
            message = f"{notice.address!r} is not HOST:PORT"
            found.append(findings.Finding(place, message))
        gate = self._handlers.gate
        is_other = self._address not in ("", notice.address)
        if is_other and gate is not None and not gate.health_check.is_down:
            message = f"another target, at {self._address}, still answers"
            found.append(findings.Finding(place, message))
        findings.raise_if_any(found)

    def _connect(self, notice: admin.TargetNotice) -> None:
        if self._health_task is not None:
            self._health_task.cancel()
        host, _, port = notice.address.rpartition(":")
        client = target_client.TargetClient(
            (host, int(port)), self._clock, self._metrics
        )
        gate = gate_lib.Gate(
            self._clock,
            client,
            self._lease,
            notice.capacity,
            self._metrics,
            self._notify_suspect,
            self._on_target_down,
            self._on_new_instance,
        )
        self._grants.client = client
        self._handlers.gate = gate
        self._address = notice.address
        self._health_task = asyncio.create_task(gate.health_check.run())
        self._is_stopped = False
        self._apply_stop()

    async def _register(
        self, announcement: announcer_lib.TargetAnnouncement
    ) -> None:
        incarnation = self._current_incarnation()
        try:
            await incarnation.announcer.register_target(announcement)
        except own_record.LifeEnded:
            return
        await incarnation.holdings.refresh_grants()

    def _on_new_instance(self) -> None:
        self._handlers.track_regrant(self._start_task(self._renew_grants()))

    async def _renew_grants(self) -> None:
        await self._current_incarnation().holdings.refresh_grants()

    def _on_target_down(self, is_down: bool) -> None:
        state = "does not answer" if is_down else "answers again"
        logger.warning(f"the local target {state}")
        self._start_task(self._announce_state(is_down))

    async def _announce_state(self, is_down: bool) -> None:
        announcer = self._current_incarnation().announcer
        try:
            if is_down:
                await announcer.set_target_down()
            else:
                await announcer.set_target_up()
        except own_record.LifeEnded:
            return

    def _notify_suspect(
        self,
        fingerprint: int,
        crashes: int,
        regions: frozenset[ids.RegionId],
    ) -> None:
        """Reports a suspect request to the other gates of its service.

        Only gates in the permitted regions of the request are notified. An
        empty set permits all regions.
        """
        if self.announcement is None:
            return
        service = self.announcement.service
        suspect = peer_pb2.Suspect(
            service=service, fingerprint=fingerprint, crashes=crashes
        )
        local_member = self._current_incarnation().member
        for record in self._members.of_service(service):
            is_permitted = home_regions.permits(regions, record.region)
            if is_permitted and record.member != local_member:
                self._peers.notify(record.member, suspect)

    async def _on_suspect(
        self, sender: ids.MemberId, suspect: peer_pb2.Suspect
    ) -> None:
        del sender
        gate = self._handlers.gate
        if gate is not None:
            gate.quarantine.record_peer_report(
                suspect.fingerprint, suspect.crashes
            )

    def _apply_stop(self) -> None:
        gate = self._handlers.gate
        if gate is None:
            return
        is_stopped = self._configuration.is_stopped(
            self._current_incarnation().record
        )
        if is_stopped == self._is_stopped:
            return
        self._is_stopped = is_stopped
        if self._stop_task is not None:
            self._stop_task.cancel()
        if is_stopped:
            self._stop_task = self._start_task(self._close_gate_later())
        else:
            gate.reopen()
        logger.info(f"target is {'stopped' if is_stopped else 'in service'}")

    async def _close_gate_later(self) -> None:
        await self._clock.sleep_ms(_STOP_GRACE_MS)
        if self._handlers.gate is not None:
            self._handlers.gate.close(
                outcomes.RefusalReason.STOPPED, "the target is stopped"
            )

    def _start_task(
        self, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
