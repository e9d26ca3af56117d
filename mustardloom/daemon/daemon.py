"""Wires the parts of the daemon together, from start to drain."""

import asyncio
from collections.abc import Coroutine
import random
from typing import Any

from loguru import logger
import statsd

from mustardloom import clock as clocks
from mustardloom import findings
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import operators
from mustardloom import outcomes
from mustardloom.admission import gate as gates
from mustardloom.daemon import adapters
from mustardloom.daemon import admin
from mustardloom.daemon import configuration as configurations
from mustardloom.daemon import life as lives
from mustardloom.daemon import serving as servings
from mustardloom.daemon import settings as settings_lib
from mustardloom.forwarding import forwarder as peer_forwarder
from mustardloom.forwarding import ingress as ingresses
from mustardloom.forwarding import target_client
from mustardloom.membership import announcer as announcers
from mustardloom.membership import datagrams
from mustardloom.membership import fencing
from mustardloom.membership import lapses
from mustardloom.membership import own_record
from mustardloom.membership import records
from mustardloom.membership import witness
from mustardloom.membership import witness_choice
from mustardloom.ownership import cleanup
from mustardloom.ownership import holdings as holdings_lib
from mustardloom.ownership import slot_map
from mustardloom.ownership import slots
from mustardloom.platform import http_client
from mustardloom.relay import authentication
from mustardloom.relay import dissemination
from mustardloom.relay import peers as peers_lib
from mustardloom.relay import replica as replicas
from mustardloom.relay.wire import peer_pb2
from mustardloom.routing import candidates
from mustardloom.routing import forwarders
from mustardloom.routing import homes
from mustardloom.routing import router as routers

__all__ = ["Daemon", "StartError"]

_LOAD_RETRY_MS = 500
_JANITOR_INTERVAL_MS = 1_000
_DRAIN_POLL_MS = 50
# Time for planned moves to empty a stopped target before its gate closes. With
# the time in which a stop reaches all daemons it stays below 2 s.
_STOP_GRACE_MS = 1_000
_METRICS_PREFIX = "mustardloom"


class StartError(Exception):
    """The daemon could not start; the message names the cause."""


class Daemon:
    """One daemon process."""

    def __init__(
        self,
        settings: settings_lib.DaemonSettings,
        clock: clocks.Clock | None = None,
    ):
        self._settings = settings
        self._clock = clock or clocks.SystemClock()
        self._metrics = metrics_lib.Metrics(_statsd_client(settings))
        self._replica = replicas.Replica()
        self._members = records.Members(self._replica)
        self._slots = slot_map.SlotMap(self._replica)
        self._configuration = configurations.Configuration(
            self._replica, self._metrics
        )
        self._store = http_client.HttpPlatformClient(
            settings.platform_url, self._clock, self._metrics
        )
        self._grants = adapters.TargetGrants()
        self._target_address = ""
        self._target: announcers.TargetAnnouncement | None = None
        self._target_tasks: list[asyncio.Task[Any]] = []
        self._stop_task: asyncio.Task[None] | None = None
        self._is_stopped = False
        self._is_leaving = False
        self._has_ended_life = asyncio.Event()
        self._past_intervals: list[holdings_lib.Interval] = []
        self._tasks: list[asyncio.Task[Any]] = []
        member = ids.new_member_id(settings.vm)
        self._wire_network(member)
        self._life = self._new_life(member)
        self._current_lease = adapters.CurrentLease(self._life.lease)
        self._wire_requests()
        self._configuration.subscribe(self._on_configuration)

    async def start(self) -> None:
        """Opens all addresses, loads the configuration and joins the fleet.

        Raises:
          StartError: An address is in use or not available.
        """
        await self._listen()
        await self._load()
        self._life.start()
        for work in self._work():
            self._tasks.append(asyncio.create_task(work))
        logger.info(f"{self._life.member} has started")

    async def drain(self) -> None:
        """Moves all slots away, finishes all requests and closes."""
        self._is_leaving = True
        logger.info(f"{self._life.member} is leaving")
        try:
            async with asyncio.timeout(self._settings.drain_timeout_ms / 1_000):
                await self._leave()
        except (TimeoutError, own_record.LifeEnded) as error:
            logger.warning(f"left without an orderly end: {error!r}")
        await self.close()

    async def close(self) -> None:
        """Ends all tasks and closes all addresses."""
        tasks = [*self._tasks, *self._target_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._life.end()
        await self._lapses.close()
        await self._ingress.stop()
        await self._admin.stop()
        await self._peer_server.stop()
        await self._peers.close()
        self._endpoint.close()
        if self._grants.client is not None:
            self._grants.client.close()
        self._store.close()
        self._metrics.flush()
        logger.info("stopped")

    def status(self) -> admin.Status:
        """Returns the state for operators."""
        load = gates.GateLoad(0, 0, 0)
        if self._serving.gate is not None:
            load = self._serving.gate.load
        return admin.Status(
            member=self._life.member,
            state=self._life.record.state,
            lease_held=self._life.lease.is_held(),
            slots_served=sum(1 for _ in self._life.holdings.owned()),
            settled=self._is_settled(),
            replica_version=self._replica.version,
            config_versions=self._configuration.version_by_set,
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            counters=dict(self._metrics.counters),
        )

    def _wire_network(self, member: ids.MemberId) -> None:
        authenticator = authentication.Authenticator(self._settings.fleet_key)
        self._peers = peers_lib.Peers(
            member, self._lookup, authenticator, self._clock, self._metrics
        )
        self._peer_server = peers_lib.PeerServer(self._peers)
        self._endpoint = datagrams.UdpEndpoint(
            member, authenticator, self._metrics
        )
        self._disseminator = dissemination.Disseminator(
            self._replica,
            self._store,
            self._peers,
            adapters.MemberTopology(
                self._members, self._settings.availability_zone
            ),
            self._clock,
            self._metrics,
            random.randrange(2**32),
        )
        self._peers.handle(peer_pb2.Push, self._on_push)
        self._peers.handle(peer_pb2.Summary, self._disseminator.on_summary)
        self._peers.handle(peer_pb2.Suspect, self._on_suspect)
        self._fencer = fencing.Fencer(
            self._store,
            self._replica,
            self._members,
            self._endpoint,
            self._clock,
            self._metrics,
            self._disseminator.publish,
        )
        self._lapses = lapses.LapseHandler(
            self._fencer,
            self._members,
            self._endpoint,
            self._clock,
            lambda _: None,
        )
        self._cleanup = cleanup.Cleanup(
            self._store,
            self._members,
            self._slots,
            self._clock,
            self._metrics,
        )

    def _wire_requests(self) -> None:
        forwarder = peer_forwarder.PeerForwarder(
            self._peers, self._clock, self._metrics
        )
        chooser = candidates.TargetChooser(
            self._settings.region,
            self._members,
            self._configuration.is_stopped,
            self._clock,
            random.randrange(2**32),
        )
        router = routers.Router(
            self._settings.region,
            lambda: self._configuration.table,
            self._members,
            self._slots,
            chooser,
            forwarder,
            self._clock,
            self._metrics,
        )
        self._serving = servings.Serving(
            lambda: self._life,
            self._configuration,
            router.dispatch_once,
            self._metrics,
        )
        forwarder.serve(forwarders.Destination.GATE, self._serving.on_gate)
        forwarder.serve(forwarders.Destination.OWNER, self._serving.on_owner)
        self._ingress = ingresses.Ingress(
            lambda: self._configuration.table,
            router.route,
            self._clock,
            self._metrics,
        )
        self._admin = admin.AdminServer(
            self._on_target_notice,
            self.status,
            self._intervals,
            operators.handlers(self._operator()),
        )

    def _operator(self) -> operators.Operator:
        view = operators.View(
            clock=self._clock,
            replica=self._replica,
            members=self._members,
            slots=self._slots,
            configuration=self._configuration,
            figures=operators.Figures(
                self._peers, self._report, self._clock, self._metrics
            ),
            history=operators.OwnerHistory(self._slots, self._clock),
        )
        return operators.Operator(
            view,
            self._store,
            self._disseminator.publish,
            self._fencer,
            self._metrics,
        )

    async def _report(self, target_report: bool) -> peer_pb2.Report:
        """Returns the figures of this daemon for operators."""
        report = peer_pb2.Report(replica_version=self._replica.version)
        for set_id, version in self._configuration.version_by_set.items():
            report.config_versions[set_id] = version
        if self._serving.gate is not None:
            load = self._serving.gate.load
            report.gate.running = load.running
            report.gate.queued = load.queued
            report.gate.limit = load.limit
        client = self._grants.client
        if target_report and client is not None:
            own = await client.load()
            if own is not None:
                report.target.running = own.running
                report.target.queued = own.queued
        return report

    async def _listen(self) -> None:
        settings = self._settings
        peer, caller = settings.peer_address, settings.caller_address
        try:
            await self._peer_server.start(peer.host, peer.port)
            await self._endpoint.bind(peer)
            self._ingress.listen(caller.host, caller.port)
            self._admin.listen(settings.admin_address)
        except OSError as error:
            raise StartError(f"cannot listen: {error}") from error
        # Binding the address is what shows that an earlier process of this VM
        # is gone, so the witness table must not answer before.
        self._witness = witness.WitnessTable(
            self._endpoint,
            self._members,
            self._clock,
            self._metrics,
            self._lapses.report,
        )

    async def _load(self) -> None:
        seeds = [
            peers_lib.seed_member(seed.host, seed.port)
            for seed in self._settings.seeds
        ]
        while not await self._disseminator.load(seeds):
            logger.warning("neither the platform nor a seed answers")
            await self._clock.sleep_ms(_LOAD_RETRY_MS)

    def _work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        return (
            self._disseminator.watch(),
            self._disseminator.repair(),
            self._witness.run(),
            self._metrics.run(self._clock),
            self._announce(),
            self._replace_lives(),
            self._tidy(),
        )

    def _new_life(self, member: ids.MemberId) -> lives.Life:
        around = lives.Surroundings(
            clock=self._clock,
            metrics=self._metrics,
            replica=self._replica,
            members=self._members,
            slots=self._slots,
            configuration=self._configuration,
            store=self._store,
            peers=self._peers,
            endpoint=self._endpoint,
            grants=self._grants,
            publish=self._disseminator.publish,
            log_intervals=self._settings.log_intervals,
        )
        record = records.MemberRecord(
            member=member,
            region=self._settings.region,
            availability_zone=self._settings.availability_zone,
            caller_address=self._settings.caller_address,
            peer_address=self._settings.peer_address,
        )
        return lives.Life(around, record, self._on_life_ended)

    def _on_life_ended(self, reason: own_record.EndReason) -> None:
        del reason
        self._life.holdings.end_life()
        self._has_ended_life.set()

    async def _replace_lives(self) -> None:
        while True:
            await self._has_ended_life.wait()
            self._has_ended_life.clear()
            if self._is_leaving:
                return
            await self._life.end()
            self._past_intervals.extend(self._life.holdings.intervals)
            self._life = self._new_life(ids.new_member_id(self._settings.vm))
            self._current_lease.lease = self._life.lease
            self._life.start()
            logger.info(f"{self._life.member} starts a new life")
            await self._announce()

    async def _announce(self) -> None:
        life = self._life
        try:
            await life.announcer.create()
            if self._target is not None:
                await life.announcer.register_target(self._target)
        except own_record.LifeEnded:
            return

    async def _on_target_notice(self, notice: admin.TargetNotice) -> None:
        self._check_notice(notice)
        if notice.address != self._target_address:
            await self._connect_target(notice)
        assert self._serving.gate is not None
        self._serving.gate.announced(notice.capacity, notice.instance)
        target = announcers.TargetAnnouncement(
            service=notice.service,
            capacity=notice.capacity,
            instance=notice.instance,
            checks_fencing=notice.checks_fencing,
        )
        if target == self._target:
            return
        self._target = target
        self._spawn(self._register(target))

    def _check_notice(self, notice: admin.TargetNotice) -> None:
        place = findings.Place("target")
        found = []
        if notice.capacity < 1:
            found.append(findings.Finding(place, "capacity must be positive"))
        host, _, port = notice.address.rpartition(":")
        if not host or not port.isdecimal():
            message = f"{notice.address!r} is not HOST:PORT"
            found.append(findings.Finding(place, message))
        gate = self._serving.gate
        is_other = self._target_address not in ("", notice.address)
        if is_other and gate is not None and not gate.presence.is_down:
            message = f"the target at {self._target_address} still answers"
            found.append(findings.Finding(place, message))
        findings.raise_if_any(found)

    async def _connect_target(self, notice: admin.TargetNotice) -> None:
        for task in self._target_tasks:
            task.cancel()
        host, _, port = notice.address.rpartition(":")
        client = target_client.TargetClient(
            (host, int(port)), self._clock, self._metrics
        )
        gate = gates.Gate(
            self._clock,
            client,
            self._current_lease,
            notice.capacity,
            self._metrics,
            self._notify_suspect,
            self._on_target_down,
            self._on_new_instance,
        )
        self._grants.client = client
        self._serving.gate = gate
        self._target_address = notice.address
        self._target_tasks = [asyncio.create_task(gate.presence.run())]
        self._apply_stop()

    async def _register(self, target: announcers.TargetAnnouncement) -> None:
        try:
            await self._life.announcer.register_target(target)
        except own_record.LifeEnded:
            return
        await self._life.holdings.refresh_grants()

    def _on_new_instance(self) -> None:
        """Grants all slots again to a target that has just started."""
        self._spawn(self._grant_again())

    async def _grant_again(self) -> None:
        await self._life.holdings.refresh_grants()

    def _on_target_down(self, is_down: bool) -> None:
        state = "does not answer" if is_down else "answers again"
        logger.warning(f"the target {state}")
        self._spawn(self._set_target_state(is_down))

    async def _set_target_state(self, is_down: bool) -> None:
        announcer = self._life.announcer
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
        """Tells the gates that may know the request about a suspect."""
        if self._target is None:
            return
        suspect = peer_pb2.Suspect(
            service=self._target.service,
            fingerprint=fingerprint,
            crashes=crashes,
        )
        for record in self._members.of_service(self._target.service):
            is_permitted = homes.permits(regions, record.region)
            if is_permitted and record.member != self._life.member:
                self._peers.notify(record.member, suspect)

    async def _on_suspect(
        self, sender: ids.MemberId, suspect: peer_pb2.Suspect
    ) -> None:
        del sender
        if self._serving.gate is not None:
            quarantine = self._serving.gate.quarantine
            quarantine.learn(suspect.fingerprint, suspect.crashes)

    async def _on_push(self, sender: ids.MemberId, push: peer_pb2.Push) -> None:
        await self._disseminator.on_push(sender, push)

    def _on_configuration(self) -> None:
        if self._serving.gate is not None:
            self._apply_stop()

    def _apply_stop(self) -> None:
        is_stopped = self._configuration.is_stopped(self._life.record)
        if is_stopped == self._is_stopped:
            return
        self._is_stopped = is_stopped
        if self._stop_task is not None:
            self._stop_task.cancel()
        if is_stopped:
            self._stop_task = self._spawn(self._close_gate_later())
        elif self._serving.gate is not None:
            self._serving.gate.open()
        logger.info(f"target is {'stopped' if is_stopped else 'in service'}")

    async def _close_gate_later(self) -> None:
        await self._clock.sleep_ms(_STOP_GRACE_MS)
        if self._serving.gate is not None:
            self._serving.gate.close(
                outcomes.RefusalReason.STOPPED, "the target is stopped"
            )

    async def _tidy(self) -> None:
        """Drops what is no longer needed, once a second."""
        while True:
            await self._clock.sleep_ms(_JANITOR_INTERVAL_MS)
            live = {record.member for record in self._members.live()}
            await self._peers.retain(live)
            self._close_foreign_slots()
            await self._cleanup.remove_fenced(self._life.member)

    def _close_foreign_slots(self) -> None:
        life = self._life
        life.request_ids.drop_old()
        for placement in life.request_ids.placements():
            if not life.holdings.is_held(placement.group, placement.slot):
                life.request_ids.close_slot(placement)

    async def _leave(self) -> None:
        life = self._life
        await life.announcer.leave()
        while life.holdings.unsettled_count():
            await self._clock.sleep_ms(_DRAIN_POLL_MS)
        gate = self._serving.gate
        if gate is not None:
            gate.close(
                outcomes.RefusalReason.SHUTTING_DOWN, "the daemon is leaving"
            )
            await gate.wait_idle()
        while self._ingress.active():
            await self._clock.sleep_ms(_DRAIN_POLL_MS)
        await life.announcer.remove(lambda: True)

    def _is_settled(self) -> bool:
        groups = self._configuration.groups()
        if not groups or not self._life.lease.is_held():
            return False
        if not self._has_witnesses():
            return False
        return all(
            self._is_group_settled(group, slot_count)
            for group, slot_count in groups
        )

    def _has_witnesses(self) -> bool:
        """Tells whether this member could be fenced after a loss."""
        others = {r.vm for r in self._members.live()} - {self._settings.vm}
        wanted = min(witness_choice.MAX_WITNESSES, len(others))
        return len(self._life.record.witnesses) >= wanted

    def _is_group_settled(self, group: ids.GroupId, slot_count: int) -> bool:
        if not self._has_targets(group):
            return True
        entries = self._slots.by_group.get(group, [])
        if len(entries) < slot_count:
            return False
        return all(
            entry.owner is not None
            and entry.moving_to is None
            and self._is_serving(entry.owner)
            for entry in entries
        )

    def _is_serving(self, member: ids.MemberId) -> bool:
        record = self._members.by_id.get(member)
        return record is not None and record.state is records.MemberState.ACTIVE

    def _has_targets(self, group: ids.GroupId) -> bool:
        regions = slots.group_regions(group)
        service = slots.group_service(group)
        return any(
            record.state is records.MemberState.ACTIVE
            and (not regions or record.region in regions)
            and not self._configuration.is_stopped(record)
            for record in self._members.of_service(service)
        )

    def _intervals(self) -> Any:
        return {
            "member": self._life.member,
            "intervals": [
                *self._past_intervals,
                *self._life.holdings.intervals,
            ],
        }

    def _lookup(self, member: ids.MemberId) -> tuple[str, int] | None:
        record = self._members.by_id.get(member)
        if record is None:
            return None
        return record.peer_address.host, record.peer_address.port

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)
        return task


def _statsd_client(
    settings: settings_lib.DaemonSettings,
) -> statsd.StatsClient | None:
    if settings.statsd is None:
        return None
    return statsd.StatsClient(
        settings.statsd.host, settings.statsd.port, prefix=_METRICS_PREFIX
    )
