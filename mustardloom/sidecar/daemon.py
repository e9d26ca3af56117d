"""The daemon that runs on a VM beside a target: wiring, start and stop."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import random
import signal
from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import findings
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom import process_signals
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.http1 import bodies
from mustardloom.http1 import client
from mustardloom.http1 import idle_eviction
from mustardloom.http1 import messages
from mustardloom.http1 import server
from mustardloom.load_control import quarantine as quarantine_lib
from mustardloom.load_control import stop_admission
from mustardloom.platform import announcements
from mustardloom.platform import headers
from mustardloom.sidecar import descriptor_report
from mustardloom.sidecar import ending
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import graceful_stop
from mustardloom.sidecar import ingress as ingress_lib
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import keyspaces as keyspaces_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import listening
from mustardloom.sidecar import local_target
from mustardloom.sidecar import memory_report
from mustardloom.sidecar import metrics_page
from mustardloom.sidecar import peer_frames
from mustardloom.sidecar import record_removal
from mustardloom.sidecar import registration
from mustardloom.sidecar import request_ends
from mustardloom.sidecar import router as router_lib
from mustardloom.sidecar import self_report
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import small_requests
from mustardloom.sidecar import state_adoption
from mustardloom.sidecar import state_exchange as state_exchange_lib
from mustardloom.sidecar import status_sender
from mustardloom.sidecar import store_events
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import target_memory
from mustardloom.sidecar import target_selection
from mustardloom.sidecar import transfers as transfers_lib
from mustardloom.sidecar import unreadable_objects
from mustardloom.sidecar import usage_caps

__all__ = ["Daemon", "Ports"]

# A call that runs until it is cancelled.
_LoopCall = Callable[[], Coroutine[Any, Any, None]]

_LOOP_RESTART_MS = 500
_SETTINGS_INTERVAL_MS = 2_000
# Share of the grace period to tell of requests that its end cuts.
_LAST_WORDS_SHARE = 1 / 24
_CRASHES_TO_QUARANTINE = 3
# The platform and the target send their requests as soon as they have
# connected.
_SMALL_PATIENCE = idle_eviction.Patience(idle_ms=20, slow_ms=200)
_PATIENCE_BY_USER = {descriptor_budget.User.CALLERS: idle_eviction.Patience()}
# A call of the store at the end of a stop takes no longer.
_END_REGISTRATION_MS = 300
_MS_PER_S = 1_000
_PERCENT = 100
_OK = 200
_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Ports that are not part of the platform's settings.

    Attributes:
      metrics: Port of the metrics page.
      peer_listen: Port that accepts links from other daemons; differs from
        the announced one only behind a port mapping.
    """

    metrics: int
    peer_listen: int


def _own_shares(
    limits: settings.ProcessLimits,
) -> dict[memory_budget.HoldKind, float]:
    """Returns the room of kinds beside the memory account, as shares of it."""
    kinds = memory_budget.HoldKind
    return {
        kinds.PIPELINED: limits.pipelined_percent / _PERCENT,
        kinds.PARTIAL_HEAD: limits.partial_heads_percent / _PERCENT,
        kinds.HEADER_FIELDS: limits.header_fields_percent / _PERCENT,
        kinds.SERVICE: limits.small_requests_percent / _PERCENT,
    }


class Daemon:
    """One daemon, from start to shutdown."""

    def __init__(
        self,
        own_settings: settings.Settings,
        store: shared_state.ObjectStore,
        clock: clock_lib.Clock,
        ports: Ports,
        read_settings: Callable[[], settings.Settings],
    ):
        self._read_settings = read_settings
        self._settings = own_settings
        self._store = store
        self._clock = clock
        self._ports = ports
        self._metrics = metrics_lib.Metrics()
        self._budget = memory_budget.MemoryBudget(
            memory_budget.capacity_for(own_settings.limits.memory_mb),
            clock,
            _own_shares(own_settings.limits),
        )
        descriptor_budget.raise_system_limit(
            own_settings.limits.max_descriptors
        )
        self._descriptors = descriptor_budget.DescriptorBudget(
            descriptor_budget.capacity_for(own_settings.limits.max_descriptors)
        )
        share = self._descriptors.share
        dial_share = share(descriptor_budget.User.DIALLED_PEERS)
        accept_share = share(descriptor_budget.User.ACCEPTED_PEERS)
        store.share = share(descriptor_budget.User.STORE)
        passage = client.Passage(self._budget, bodies.Turns())
        stop = stop_admission.StopAdmission(clock)
        self._transfers = transfers_lib.Transfers(
            passage,
            clock,
            share(descriptor_budget.User.FETCHES),
            accept_share,
        )
        self._log = events.EventLog(own_settings.vm, clock, self._metrics)
        self._stop = asyncio.Event()
        self._stop_signal: signal.Signals | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._shared_state = shared_state.SharedState(
            store,
            clock,
            lambda kind: self._adoption.on_change(kind),
            lambda: self._fleet.watch_rank(),
            lambda kind: self._state_exchange.push(kind),
            lambda answers: store_watch.on_change(answers),
        )
        unreadable = unreadable_objects.UnreadableObjects(self._log)
        self._record = stored.DaemonRecord(
            own_settings.vm,
            own_settings.ip,
            own_settings.peer_port,
            own_settings.availability_zone,
            own_settings.region,
            own_settings.service,
        )
        self._registration = registration.Registration(
            store, self._shared_state, self._record, clock
        )
        self._links = links_lib.Links(
            self._record,
            clock,
            lambda vm, frame: self._peer_frames.receive(vm, frame),
            self._budget,
            dial_share,
            accept_share,
        )
        self._links.on_change = self._on_link_change
        self._links.on_fault = self._on_peer_fault
        self._links.on_transfer = self._transfers.server.adopt
        self._fleet = fleet_lib.Fleet(self._record, self._links, clock)
        self._target_memory = target_memory.TargetMemory(
            self._fleet, self._links
        )
        self._status_sender = status_sender.StatusSender(
            self._fleet,
            self._links,
            clock,
            lambda receiver: self._report.status(receiver),
        )
        store_watch = store_events.StoreEvents(
            self._shared_state,
            self._status_sender,
            clock,
            self._log,
            self._start,
        )
        self._shared_state.on_restored = store_watch.on_restored
        self._shared_state.on_ignored = store_watch.on_answer_ignored
        store.on_unreadable = store_watch.on_objects_left_out
        self._state_exchange = state_exchange_lib.StateExchange(
            self._shared_state, self._fleet, self._links, clock, self._start
        )
        self._quarantine = quarantine_lib.Quarantine(
            clock, self._on_suspect, _CRASHES_TO_QUARANTINE
        )
        self._connections = target_connections.TargetConnections(
            own_settings.target_address,
            clock,
            self._metrics,
            passage,
            share(descriptor_budget.User.TARGET),
        )
        self._gate = gate_lib.Gate(
            own_settings.service,
            self._connections,
            self._quarantine,
            clock,
            self._log,
            self._metrics,
            self,
            own_settings.bounds.cold_factor,
            stop,
        )
        self._local_target = local_target.LocalTarget(
            own_settings, self._gate, self._grant_keys, clock, self._log
        )
        self._local_target.on_change = self._status_sender.broadcast
        self._forwarder = forwarder_lib.Forwarder(
            self._fleet,
            self._links,
            self._gate,
            clock,
            self._transfers,
            self._budget,
            stop,
        )
        keyspaces = keyspaces_lib.Keyspaces(
            lambda: self._settings,
            store,
            self._shared_state,
            self._state_exchange,
            self._status_sender,
            self._fleet,
            self._links,
            self._gate,
            unreadable,
            clock,
            self._log,
            self._metrics,
            lambda call: self._start(self._keep_running(call)),
        )
        self._keyspace_by_service = keyspaces.by_service
        self._report = self_report.SelfReport(
            self._fleet,
            self._gate,
            self._local_target,
            self._forwarder,
            self._shared_state,
            self._links,
            self._keyspace_by_service,
        )
        self._adoption = state_adoption.StateAdoption(
            self._record,
            self._shared_state,
            self._fleet,
            self._gate,
            self._report,
            self._registration,
            keyspaces,
            unreadable,
            self._log,
            self._start,
        )
        self._record_removal = record_removal.RecordRemoval(
            store,
            self._shared_state,
            self._fleet,
            self._links,
            self._keyspace_by_service,
            clock,
            self._log,
        )
        self._caps = usage_caps.UsageCaps(
            self._fleet,
            self._links,
            lambda: self._adoption.configuration,
            own_settings.bounds,
            clock,
            self._log,
            self._metrics,
            self._start,
        )
        self._adoption.on_adopted = self._caps.adopt
        self._fleet.on_change = self._caps.on_fleet_change
        self._peer_frames = peer_frames.PeerFrames(
            self._fleet,
            self._target_memory,
            self._local_target,
            self._forwarder,
            self._shared_state,
            self._state_exchange,
            self._report,
            self._quarantine,
            self._keyspace_by_service,
            keyspaces.planner_by_service,
            self._caps,
            clock,
        )
        self._links.make_pong = self._peer_frames.make_pong
        self._links.on_pong = self._peer_frames.on_pong
        self._memory = memory_report.MemoryReport(
            self._budget, own_settings.limits.memory_mb, self._log, clock
        )
        self._descriptor_report = descriptor_report.DescriptorReport(
            self._descriptors,
            own_settings.limits.max_descriptors,
            self._log,
            clock,
        )
        selection = target_selection.TargetSelection(
            self._fleet, self._links, clock, random.Random()
        )
        self._router = router_lib.Router(
            self._fleet,
            selection,
            self._forwarder,
            self._key_map_of,
            own_settings.bounds,
            clock,
            self._log,
            self._metrics,
        )
        self._ends = request_ends.RequestEnds(self._metrics, stop)
        self._ingress = ingress_lib.Ingress(
            self._router,
            own_settings.service,
            lambda: self._adoption.configuration,
            clock,
            self._log,
            self._metrics,
            self._ends,
            self._caps,
        )
        self._gate.on_cancelled = self._ingress.end_calls
        self._make_servers(passage.turns, stop)

    def _make_servers(
        self, turns: bodies.Turns, stop: stop_admission.StopAdmission
    ) -> None:
        """Creates the servers of the listening sockets, and their stop."""
        self._caller_server = self._new_server(
            self._ingress.handle,
            descriptor_budget.User.CALLERS,
            self._limits,
            turns,
            memory_budget.HoldKind.MESSAGE,
        )
        self._caller_server.on_malformed = self._ingress.answer_malformed
        self._caller_server.on_end = self._ends.count_connection
        self._graceful_stop = graceful_stop.GracefulStop(
            stop,
            self._caller_server,
            self._gate,
            self._forwarder,
            self._links,
            self._clock,
            self._on_stop_waiting,
        )
        self._notice_server = self._new_server(
            self._local_target.handle,
            descriptor_budget.User.ANNOUNCEMENTS,
            lambda: small_requests.HEARTBEAT_LIMITS,
        )
        self._readiness_server = self._new_server(
            self._answer_readiness, descriptor_budget.User.READINESS
        )
        page = metrics_page.MetricsPage(
            self._metrics,
            lambda: {
                **self._report.gauges(),
                **self._memory.gauges(),
                **self._descriptor_report.gauges(),
                **self._caps.gauges(),
            },
            self._clock,
        )
        self._metrics_server = self._new_server(
            page.handle, descriptor_budget.User.METRICS
        )

    @property
    def log(self) -> events.EventLog:
        """Where this daemon writes."""
        return self._log

    async def run(self) -> ending.Stop:
        """Serves until a stop, then finishes open requests and returns."""
        process_signals.take(
            asyncio.get_running_loop(),
            self._on_stop_signal,
            self._on_reload,
            self._on_unused_signal,
        )
        if not await self._listen():
            self._close()
            return ending.Stop(self._stop_signal)
        own_settings = self._settings
        self._log.write(
            events.Event.START,
            service=own_settings.service,
            availability_zone=own_settings.availability_zone,
            region=own_settings.region,
            **self._memory.at_start(),
            **self._descriptor_report.at_start(),
        )
        for loop_call in self._background_loops():
            self._start(self._keep_running(loop_call))
        await self._stop.wait()
        return await self._shut_down()

    def stop(self) -> None:
        """Starts a graceful shutdown, as SIGTERM does."""
        self._stop.set()

    def _on_stop_signal(self, number: signal.Signals) -> None:
        if not self._stop.is_set():
            self._stop_signal = number
        self.stop()

    async def _listen(self) -> bool:
        """Listens on all addresses; returns False if a stop came first."""
        wait = listening.AddressWait(
            self._settings.bounds.grace_ms,
            self._clock,
            self._log,
            self._stop.is_set,
        )
        for listen, address in self._listeners():
            if not await wait.listen(listen, address):
                return False
        return True

    def _listeners(self) -> Iterator[tuple[listening.Listen, settings.Address]]:
        own = self._settings
        # Callers come last: nobody must reach a daemon that is not complete.
        yield self._links.listen, (own.ip, self._ports.peer_listen)
        yield self._notice_server.listen, own.announcement_address
        yield self._readiness_server.listen, own.readiness_address
        yield self._metrics_server.listen, (own.ip, self._ports.metrics)
        yield self._caller_server.listen, own.caller_address

    # Wiring.

    def _new_server(
        self,
        handler: server.Handler,
        user: descriptor_budget.User,
        limits: Callable[[], server.ServerLimits] = (
            lambda: small_requests.LIMITS
        ),
        turns: bodies.Turns | None = None,
        kind: memory_budget.HoldKind = memory_budget.HoldKind.SERVICE,
    ) -> server.HttpServer:
        return server.HttpServer(
            handler,
            self._clock,
            limits,
            self._on_fault,
            self._budget,
            turns,
            self._on_rejected,
            self._descriptors.share(user),
            _PATIENCE_BY_USER.get(user, _SMALL_PATIENCE),
            kind,
        )

    def _on_rejected(
        self,
        request_headers: Sequence[messages.Header],
        response: messages.Response,
    ) -> None:
        self._log.write(
            events.Event.REQUEST_REJECTED,
            request=headers.read_request_id(request_headers),
            status=response.status,
            held_bytes=self._budget.held_bytes,
        )

    def _background_loops(self) -> list[_LoopCall]:
        state = self._shared_state
        return [
            lambda: state.follow(stored.Kind.CONFIGURATION),
            lambda: state.follow(stored.Kind.EVACUATION),
            lambda: state.poll(
                stored.Kind.KEY_MAP, self._fleet.is_store_reader
            ),
            self._join,
            self._caller_server.close_idle_connections,
            self._notice_server.close_idle_connections,
            self._metrics_server.close_idle_connections,
            self._readiness_server.close_idle_connections,
            self._links.check_links,
            self._transfers.server.close_idle_connections,
            self._gate.process_queue,
            self._local_target.detect_silence,
            lambda: self._status_sender.run(self._gate.sample_utilisation),
            self._follow_settings,
            self._memory.watch,
            self._descriptor_report.watch,
            self._record_removal.run,
        ]

    async def _keep_running(self, loop_call: _LoopCall) -> None:
        """Runs a loop, again after an unexpected error.

        The other loops go on meanwhile. Returns once the loop returns.
        """
        while True:
            try:
                return await loop_call()
            except Exception as error:
                self._on_fault(error)
            await self._clock.sleep_ms(_LOOP_RESTART_MS)

    def _start(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(call)
        task.add_done_callback(self._on_task_done)
        self._tasks.add(task)

    def _on_task_done(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._on_fault(error)

    def _on_fault(self, error: BaseException) -> None:
        self._log.write_fault(error)

    async def _join(self) -> None:
        """Registers this daemon, finds the others and follows changes."""
        await self._registration.join()
        await self._shared_state.poll(
            stored.Kind.DAEMON, self._fleet.is_store_reader
        )

    # Callbacks of the components.

    def _on_link_change(self, vm: ids.VmId, is_up: bool) -> None:
        event = events.Event.PEER_LOST
        if is_up:
            event = events.Event.PEER_BACK
            self._status_sender.send(vm)
            self._target_memory.tell(vm)
        self._log.write(event, peer=vm)

    def _on_peer_fault(self, vm: ids.VmId, error: Exception) -> None:
        self._log.write_fault(error, peer=vm)

    def _on_suspect(
        self, fingerprint: int, crashes: int, regions: frozenset[ids.RegionId]
    ) -> None:
        del regions
        self._links.broadcast(frames.Suspect(fingerprint, crashes))

    def _keyspace_of(self, service: str) -> keyspace_lib.Keyspace | None:
        return self._keyspace_by_service.get(ids.ServiceId(service))

    def _limits(self) -> server.ServerLimits:
        current = self._adoption.configuration
        own = self._settings.limits
        if current is None:
            return server.ServerLimits(
                max_pipelined=own.pipelined_requests,
                max_pipelined_sum=own.pipelined_requests_sum,
            )
        limits = current.limits
        return server.ServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
            own.pipelined_requests,
            own.pipelined_requests_sum,
        )

    def check(self, key: int) -> gate_lib.KeyCheck:
        """See `gate_lib.KeyOwnership`."""
        keyspace = self._keyspace_of(self._settings.service)
        if keyspace is None:
            return gate_lib.KeyCheck(False)
        return keyspace.check(key)

    def count_request(self, key: int) -> None:
        """See `gate_lib.KeyOwnership`."""
        keyspace = self._keyspace_of(self._settings.service)
        if keyspace is not None:
            keyspace.count_request(key)

    async def _grant_keys(
        self, announcement: targets.Announcement
    ) -> announcements.Grant | None:
        keyspace = self._keyspace_of(self._settings.service)
        if keyspace is None:
            return None
        return await keyspace.on_heartbeat(announcement)

    def _key_map_of(self, service: ids.ServiceId) -> Any:
        keyspace = self._keyspace_of(service)
        return None if keyspace is None else keyspace.current_map

    async def _answer_readiness(
        self, request: messages.Request
    ) -> messages.Response:
        del request
        is_stopping = self._report.is_stopping
        has_configuration = self._adoption.configuration is not None
        is_ready = has_configuration and not is_stopping
        return messages.Response(_OK if is_ready else _UNAVAILABLE)

    # Reload and shutdown.

    def _on_reload(self) -> None:
        """Adopts new bounds; other settings need a restart of the process."""
        try:
            new = self._read_settings()
        except findings.FindingsError as error:
            # The settings in force stay.
            self._log.write(events.Event.RELOAD, rejected=str(error))
            return
        if new.bounds == self._settings.bounds:
            return
        self._settings = dataclasses.replace(self._settings, bounds=new.bounds)
        self._local_target.bounds = new.bounds
        self._router.set_bounds(new.bounds)
        self._caps.set_bounds(new.bounds)
        self._gate.set_cold_factor(new.bounds.cold_factor)
        for keyspace in self._keyspace_by_service.values():
            keyspace.bounds = new.bounds
        self._log.write(
            events.Event.RELOAD, bounds=dataclasses.asdict(new.bounds)
        )

    def _on_unused_signal(self, number: signal.Signals) -> None:
        self._log.write(events.Event.SIGNAL_IGNORED, signal=number.name)

    async def _follow_settings(self) -> None:
        """Polls for changes of the settings that came without a SIGHUP."""
        while True:
            await self._clock.tick_ms(_SETTINGS_INTERVAL_MS)
            self._on_reload()

    async def _shut_down(self) -> ending.Stop:
        began_ms = self._clock.now_ms()
        self._report.is_stopping = True
        self._log.write(
            events.Event.STOP, open=self._caller_server.active_requests()
        )
        self._status_sender.broadcast()
        grace_ms = self._settings.bounds.grace_ms
        cut = await self._graceful_stop.run(grace_ms)
        abandoned = await self._caller_server.abandon_requests(
            round(grace_ms * _LAST_WORDS_SHARE)
        )
        if self._clock.now_ms() - began_ms <= grace_ms // 2:
            await self._end_registration()
        self._close()
        stop_ms = self._clock.now_ms() - began_ms
        return ending.Stop(
            self._stop_signal, stop_ms, cut, abandoned, self._ends.in_stop()
        )

    async def _end_registration(self) -> None:
        """Removes this daemon's record if its VM is removed as well.

        Its target has ended then, and the keys have other owners.
        """
        owns_keys = any(
            keyspace.names_owner(self._settings.vm)
            for keyspace in self._keyspace_by_service.values()
        )
        try:
            async with asyncio.timeout(_END_REGISTRATION_MS / _MS_PER_S):
                if not owns_keys and await self._connections.is_refused():
                    await self._registration.end()
        except (TimeoutError, objects.PlatformUnavailable):
            # Other daemons remove the record later.
            return

    def _on_stop_waiting(self, step: graceful_stop.Step) -> None:
        load = self._gate.load()
        self._log.write(
            events.Event.STOP_WAITING,
            step=step.value,
            open=self._caller_server.active_requests(),
            running=load.running,
            waiting=load.waiting,
            forwarded=self._forwarder.open_by_vm.total(),
        )

    def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for each in (
            self._notice_server,
            self._readiness_server,
            self._metrics_server,
        ):
            each.stop_reading()
        self._links.close()
