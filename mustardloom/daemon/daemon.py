"""Builds the parts of the daemon and runs them from start to drain."""

import asyncio
from collections.abc import Coroutine
import random
from typing import Any

from loguru import logger
import statsd

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import operators
from mustardloom.admission import gate as gate_lib
from mustardloom.daemon import adapters
from mustardloom.daemon import admin
from mustardloom.daemon import configuration as configuration_lib
from mustardloom.daemon import incarnation as incarnation_lib
from mustardloom.daemon import local_target
from mustardloom.daemon import readiness
from mustardloom.daemon import serving as serving_lib
from mustardloom.daemon import settings as settings_lib
from mustardloom.forwarding import forwarder as forwarder_lib
from mustardloom.forwarding import ingress as ingress_lib
from mustardloom.membership import datagrams
from mustardloom.membership import fencing
from mustardloom.membership import lapse_handler
from mustardloom.membership import own_record
from mustardloom.membership import records
from mustardloom.membership import witness
from mustardloom.ownership import cleanup
from mustardloom.ownership import serving_intervals
from mustardloom.ownership import slot_map
from mustardloom.relay import authentication
from mustardloom.relay import dissemination
from mustardloom.relay import peer_server
from mustardloom.relay import peers as peers_lib
from mustardloom.relay import replica as replica_lib
from mustardloom.relay.wire import peer_pb2
from mustardloom.routing import candidates
from mustardloom.routing import forwarders
from mustardloom.routing import router as router_lib
from mustardloom.store import http_client

__all__ = ["Daemon", "StartError"]

_LOAD_RETRY_MS = 500
_HOUSEKEEPING_INTERVAL_MS = 1_000
_DRAIN_POLL_MS = 50
_METRICS_PREFIX = "mustardloom"


class StartError(Exception):
    """An address of the daemon is in use or not available."""


class Daemon:
    """One daemon process.

    Args:
      settings: Checked settings.
      clock: Source of time; by default the system's.
    """

    def __init__(
        self,
        settings: settings_lib.DaemonSettings,
        clock: clock_lib.Clock | None = None,
    ):
        self._settings = settings
        self._clock = clock or clock_lib.SystemClock()
        self._metrics = metrics_lib.Metrics(_statsd_client(settings))
        self._replica = replica_lib.Replica()
        self._members = records.MemberView(self._replica)
        self._slots = slot_map.SlotMap(self._replica)
        self._configuration = configuration_lib.Configuration(
            self._replica, self._metrics
        )
        self._store = http_client.HttpPlatformClient(
            settings.platform_url, self._clock, self._metrics
        )
        self._readiness = readiness.ReadinessCheck(
            self._configuration, self._members, self._slots
        )
        self._grants = adapters.TargetGrants()
        self._is_leaving = False
        self._incarnation_ended = asyncio.Event()
        self._past_intervals: list[serving_intervals.ServingInterval] = []
        self._tasks: list[asyncio.Task[Any]] = []
        member = ids.new_member_id(settings.vm)
        self._wire_network(member)
        self._incarnation = self._new_incarnation(member)
        self._current_lease = adapters.CurrentLease(self._incarnation.lease)
        self._wire_requests()

    async def start(self) -> None:
        """Listens on all addresses, loads the replica and joins the fleet.

        Raises:
          StartError: An address is in use or not available.
        """
        await self._listen()
        await self._load_replica()
        self._incarnation.start()
        for coroutine in self._background_work():
            self._tasks.append(asyncio.create_task(coroutine))
        logger.info(f"{self._incarnation.member} has started")

    async def drain(self) -> None:
        """Moves all slots away, finishes all requests and closes.

        Closes after `drain_timeout_ms` even if slots or requests remain.
        """
        self._is_leaving = True
        logger.info(f"{self._incarnation.member} is leaving")
        try:
            async with asyncio.timeout(self._settings.drain_timeout_ms / 1_000):
                await self._leave()
        except (TimeoutError, own_record.LifeEnded) as error:
            logger.warning(f"drain not complete, closing anyway: {error!r}")
        await self.close()

    async def close(self) -> None:
        """Ends all tasks, connections and listeners; cancels open requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._target.close()
        await self._incarnation.end()
        await self._lapse_handler.close()
        await self._ingress.stop()
        await self._admin.stop()
        await self._peer_server.stop()
        await self._peers.close()
        self._endpoint.close()
        self._store.close()
        self._metrics.flush()
        logger.info("stopped")

    def status(self) -> admin.Status:
        """Returns the state of the daemon for operators and tests."""
        load = gate_lib.GateLoad(0, 0, 0)
        if self._handlers.gate is not None:
            load = self._handlers.gate.load
        return admin.Status(
            member=self._incarnation.member,
            state=self._incarnation.record.state,
            lease_held=self._incarnation.lease.is_held(),
            slots_served=sum(1 for _ in self._incarnation.holdings.owned()),
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
            member,
            self._peer_address,
            authenticator,
            self._clock,
            self._metrics,
        )
        self._peer_server = peer_server.PeerServer(self._peers)
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
        self._peers.add_handler(peer_pb2.Push, self._disseminator.on_push)
        self._peers.add_handler(peer_pb2.Summary, self._disseminator.on_summary)
        self._fencer = fencing.Fencer(
            self._store,
            self._replica,
            self._members,
            self._endpoint,
            self._clock,
            self._metrics,
            self._disseminator.publish,
        )
        self._lapse_handler = lapse_handler.LapseHandler(
            self._fencer,
            self._members,
            self._endpoint,
            self._clock,
            lambda _: None,
        )
        self._cleanup = cleanup.FencedRecordCleanup(
            self._store,
            self._members,
            self._slots,
            self._clock,
            self._metrics,
        )

    def _wire_requests(self) -> None:
        forwarder = forwarder_lib.PeerForwarder(
            self._peers, self._clock, self._metrics
        )
        chooser = candidates.TargetChooser(
            self._settings.region,
            self._members,
            self._configuration.is_stopped,
            self._clock,
            random.randrange(2**32),
        )
        router = router_lib.Router(
            self._settings.region,
            lambda: self._configuration.table,
            self._members,
            self._slots,
            chooser,
            forwarder,
            self._clock,
            self._metrics,
        )
        self._handlers = serving_lib.RequestHandlers(
            lambda: self._incarnation,
            self._configuration,
            router.dispatch_once,
            self._metrics,
        )
        self._target = local_target.LocalTarget(
            lambda: self._incarnation,
            self._current_lease,
            self._grants,
            self._handlers,
            self._configuration,
            self._members,
            self._peers,
            self._clock,
            self._metrics,
        )
        forwarder.register_handler(
            forwarders.Destination.GATE, self._handlers.handle_at_gate
        )
        forwarder.register_handler(
            forwarders.Destination.OWNER, self._handlers.handle_as_owner
        )
        self._ingress = ingress_lib.Ingress(
            lambda: self._configuration.table,
            router.route,
            self._clock,
            self._metrics,
        )
        self._admin = admin.AdminServer(
            self._target.on_notice,
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
            reports=operators.ReportCollector(
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
        """Returns this daemon's load and versions for operators.

        Args:
          target_report: Whether to ask the target for its load, too.
        """
        report = peer_pb2.Report(replica_version=self._replica.version)
        for set_id, version in self._configuration.version_by_set.items():
            report.config_versions[set_id] = version
        if self._handlers.gate is not None:
            load = self._handlers.gate.load
            report.gate.running = load.running
            report.gate.queued = load.queued
            report.gate.limit = load.limit
        target_load = await self._target.load() if target_report else None
        if target_load is not None:
            report.target.running = target_load.running
            report.target.queued = target_load.queued
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
        # Only the bound address proves that no earlier process of this VM still
        # runs, so the witness table must not answer before.
        self._witness = witness.WitnessTable(
            self._endpoint,
            self._members,
            self._clock,
            self._metrics,
            self._lapse_handler.notify_candidates,
        )

    async def _load_replica(self) -> None:
        seeds = [
            peers_lib.seed_member(seed.host, seed.port)
            for seed in self._settings.seeds
        ]
        while not await self._disseminator.load(seeds):
            logger.warning("neither the platform nor a seed answered; retrying")
            await self._clock.sleep_ms(_LOAD_RETRY_MS)

    def _background_work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        return (
            self._disseminator.watch(),
            self._disseminator.repair(),
            self._witness.run(),
            self._metrics.run(self._clock),
            self._announce(),
            self._replace_ended_incarnations(),
            self._run_housekeeping(),
        )

    def _new_incarnation(
        self, member: ids.MemberId
    ) -> incarnation_lib.Incarnation:
        process_services = incarnation_lib.ProcessServices(
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
        return incarnation_lib.Incarnation(
            process_services, record, self._on_incarnation_ended
        )

    def _on_incarnation_ended(self, reason: own_record.EndReason) -> None:
        del reason
        self._incarnation.holdings.drop_all()
        self._incarnation_ended.set()

    async def _replace_ended_incarnations(self) -> None:
        while True:
            await self._incarnation_ended.wait()
            self._incarnation_ended.clear()
            if self._is_leaving:
                return
            await self._incarnation.end()
            self._past_intervals.extend(self._incarnation.holdings.intervals)
            self._incarnation = self._new_incarnation(
                ids.new_member_id(self._settings.vm)
            )
            self._current_lease.lease = self._incarnation.lease
            self._incarnation.start()
            logger.info(f"{self._incarnation.member} starts as a new member")
            await self._announce()

    async def _announce(self) -> None:
        incarnation = self._incarnation
        try:
            await incarnation.announcer.create()
            if self._target.announcement is not None:
                await incarnation.announcer.register_target(
                    self._target.announcement
                )
        except own_record.LifeEnded:
            return

    async def _run_housekeeping(self) -> None:
        """Drops expired state and updates the gauges once a second."""
        while True:
            await self._clock.sleep_ms(_HOUSEKEEPING_INTERVAL_MS)
            live = {record.member for record in self._members.live()}
            await self._peers.retain(live)
            self._drop_stale_request_ids()
            self._set_gauges()
            await self._cleanup.remove_fenced(self._incarnation.member)

    def _set_gauges(self) -> None:
        incarnation = self._incarnation
        owned = sum(1 for _ in incarnation.holdings.owned())
        self._metrics.gauge("ownership.slots", owned)
        is_held = int(incarnation.lease.is_held())
        self._metrics.gauge("membership.lease_held", is_held)
        self._metrics.gauge("relay.version", self._replica.version)
        if self._handlers.gate is not None:
            load = self._handlers.gate.load
            self._metrics.gauge("gate.running", load.running)
            self._metrics.gauge("gate.queued", load.queued)
            self._metrics.gauge("gate.limit", load.limit)

    def _drop_stale_request_ids(self) -> None:
        incarnation = self._incarnation
        incarnation.request_ids.drop_expired()
        for placement in incarnation.request_ids.open_slots():
            if not incarnation.holdings.is_unreleased(
                placement.group, placement.slot
            ):
                incarnation.request_ids.close_slot(placement)

    async def _leave(self) -> None:
        incarnation = self._incarnation
        await incarnation.announcer.leave()
        while incarnation.holdings.unreleased_count():
            await self._clock.sleep_ms(_DRAIN_POLL_MS)
        await self._target.drain()
        await self._ingress.drain()
        # No slot is left, see above.
        await incarnation.announcer.remove(lambda: True)

    def _is_settled(self) -> bool:
        is_held = self._incarnation.lease.is_held()
        return is_held and self._readiness.is_settled(self._incarnation.record)

    def _intervals(self) -> Any:
        return {
            "member": self._incarnation.member,
            "intervals": [
                *self._past_intervals,
                *self._incarnation.holdings.intervals,
            ],
        }

    def _peer_address(self, member: ids.MemberId) -> tuple[str, int] | None:
        record = self._members.by_id.get(member)
        if record is None:
            return None
        return record.peer_address.host, record.peer_address.port


def _statsd_client(
    settings: settings_lib.DaemonSettings,
) -> statsd.StatsClient | None:
    if settings.statsd is None:
        return None
    return statsd.StatsClient(
        settings.statsd.host, settings.statsd.port, prefix=_METRICS_PREFIX
    )
