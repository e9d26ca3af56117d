"""The only path by which work reaches the local target."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import targets
from mustardloom.load_control import cold_start
from mustardloom.load_control import quarantine as quarantine_lib
from mustardloom.load_control import waiting
from mustardloom.sidecar import events
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import work

__all__ = ["Gate", "GateLoad", "KeyCheck", "KeyOwnership", "Reachability"]

_SMOOTHING = 0.08
# Weight of the newest of four figures a second in the steady mean.
_STEADY_SMOOTHING = 0.08
# Failures of a target that has been idle since say less and less.
_FAILURE_HALF_LIFE_MS = 2_000
_SWEEP_INTERVAL_MS = 20
_NOT_YET = 0
# Requests whose connections broke so long before a crash was noticed may have
# caused it.
_SUSPECT_MS = 4_000
_MAX_BROKEN = 64
# Time to wait for keys that are on their way to the target.
_KEY_WAIT_MS = 700
_KEY_POLL_MS = 15
_DOWN_RETRY_MS = 300
_MS_PER_S = 1_000


class Reachability(enum.Enum):
    """Whether the target can be reached.

    DOWN is a process that is gone; a SILENT one may still run and hold keys.
    """

    UNKNOWN = "unknown"
    UP = "up"
    SILENT = "silent"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyCheck:
    """Whether the target holds a key.

    Attributes:
      is_held: It may run requests for the key.
      is_pending: It is to hold the key soon.
      owner: VM to ask instead, empty if none is known.
    """

    is_held: bool
    is_pending: bool = False
    owner: ids.VmId = work.NO_VM


class KeyOwnership(Protocol):
    """Knows which keys the target holds."""

    def check(self, key: int) -> KeyCheck:
        """Returns whether the target holds a key."""

    def count_request(self, key: int) -> None:
        """Counts a request for a key that the target holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of the gate.

    Attributes:
      service_ms: Mean time of the latest requests at the target.
      steady_service_ms: The same over several seconds.
    """

    limit: int
    running: int
    waiting: int
    service_ms: float
    steady_service_ms: float
    failure_share: float
    utilisation: float


@dataclasses.dataclass(eq=False, slots=True)
class _Ticket:
    """A request that waits or runs."""

    request: work.Work
    outcome: "asyncio.Future[work.Outcome]"
    arrived_ms: int
    started_ms: int = _NOT_YET


@dataclasses.dataclass(frozen=True, slots=True)
class _Broken:
    """A request whose connection ended while the target had it."""

    when_ms: int
    fingerprint: int


class Gate:
    """Decides when the local target gets which request.

    Attributes:
      target_instance: The run of the target, None until it has reported.
      reachability: Whether it can be reached.
      admission_ends_ms: Local time from which it gets nothing more.
      is_evacuated: Whether its zone is to get nothing.
      is_stopping: Whether this daemon is about to end.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        connections: target_connections.TargetConnections,
        quarantine: quarantine_lib.Quarantine,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
        keys: KeyOwnership,
        tolerated_when_cold: float,
    ):
        self.target_instance: targets.TargetInstance | None = None
        self.reachability = Reachability.UNKNOWN
        self.admission_ends_ms: int | None = None
        self.is_evacuated = False
        self.is_stopping = False
        self.on_reachability: Callable[[Reachability], None] = lambda _: None
        self._service = service
        self._connections = connections
        self._quarantine = quarantine
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._keys = keys
        self._capacity = 1
        self._line: waiting.WaitingQueue[_Ticket] = waiting.WaitingQueue()
        self._has_waiting = asyncio.Event()
        self._running: set[_Ticket] = set()
        self._times = waiting.ServiceTimes()
        self._cold = cold_start.ColdStartLimit(tolerated_when_cold)
        self._failure_share = 0.0
        self._busy_ms = 0.0
        self._measured_ms = clock.now_ms()
        self._utilisation = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._steady_service_ms = self._times.overall(clock.now_ms())
        self._line_empty_ms = clock.now_ms()
        self._last_answer_ms = 0
        self._last_end_ms = 0
        self._broken: collections.deque[_Broken] = collections.deque(
            maxlen=_MAX_BROKEN
        )

    # What the daemon tells.

    def on_heartbeat(self, life: targets.TargetInstance, capacity: int) -> None:
        """Takes over what a heartbeat says of the target."""
        if life != self.target_instance:
            if self.target_instance is not None:
                self._suspect()
            self._connections.close()
            self._failure_share = 0.0
            self.admission_ends_ms = None
        self.target_instance = life
        self._capacity = capacity
        self._set_presence(Reachability.UP)

    def set_cold_for(self, left_ms: int) -> None:
        """Limits the rate for as long as the target is cold."""
        self._cold.set_cold_until(self._clock.now_ms() + left_ms)

    def set_cold_rate(self, per_s: float) -> None:
        """Says how many requests a second a cold target bears."""
        self._cold.set_rate_per_s(per_s)

    def mark_silent(self) -> None:
        """Notes that the target gives no sign of life."""
        if self.reachability is Reachability.UP:
            self._set_presence(Reachability.SILENT)

    def stop_admission_at(self, when_ms: int) -> None:
        """Sends nothing more from a time on."""
        if self.admission_ends_ms is None or when_ms < self.admission_ends_ms:
            self.admission_ends_ms = when_ms

    # What others ask.

    def load(self) -> GateLoad:
        """Returns the load.

        Utilisation since the last call of `sample_utilisation`.
        """
        now_ms = self._clock.now_ms()
        idle_ms = 0 if self._running else now_ms - self._last_end_ms
        return GateLoad(
            self._capacity,
            len(self._running),
            len(self._line),
            self._times.overall(now_ms),
            self._steady_service_ms,
            self._failure_share * 0.5 ** (idle_ms / _FAILURE_HALF_LIFE_MS),
            self._utilisation,
        )

    def last_answer_ms(self) -> int:
        """Returns when the target last answered a request."""
        return self._last_answer_ms

    def is_idle(self) -> bool:
        """Returns whether nothing runs or waits."""
        return not self._running and not len(self._line)

    def sample_utilisation(self) -> None:
        """Ends one interval of measuring the utilisation."""
        now_ms = self._clock.now_ms()
        busy_ms = self._busy_ms
        for ticket in self._running:
            busy_ms += now_ms - max(ticket.started_ms, self._measured_ms)
        passed_ms = max(1, now_ms - self._measured_ms)
        queued = len(self._line) / self._capacity
        share = busy_ms / passed_ms / self._capacity
        self._utilisation += 0.5 * (share + queued - self._utilisation)
        self._busy_ms = 0.0
        self._measured_ms = now_ms
        latest_ms = self._times.overall(now_ms)
        self._steady_service_ms += _STEADY_SMOOTHING * (
            latest_ms - self._steady_service_ms
        )

    async def run(self, request: work.Work, may_wait: bool) -> work.Outcome:
        """Runs a request when its turn comes.

        Args:
          request: The request.
          may_wait: Whether to wait for a key that is on its way.

        Returns:
          Its outcome; cancelling the call takes the request back.
        """
        refusal = self._misplaced(request)
        refusal = refusal or await self._await_key(request, may_wait)
        refusal = refusal or self._refusal(request)
        if refusal is None:
            return await self._admitted(request)
        self._metrics.increment(f"gate.refused.{refusal.reason.value}")
        load = self.load()
        self._log.write(
            events.Event.GATE_REFUSED,
            request=request.request_id,
            reason=refusal.reason.value,
            running=load.running,
            waiting=load.waiting,
            limit=load.limit,
            left_ms=request.deadline_ms - self._clock.now_ms(),
            retry_after_ms=refusal.retry_after_ms,
        )
        return refusal

    async def expire_waiting(self) -> None:
        """Turns away who waits in vain, until cancelled."""
        while True:
            if not len(self._line):
                self._has_waiting.clear()
                await self._has_waiting.wait()
            await self._clock.sleep_ms(_SWEEP_INTERVAL_MS)
            self._drop_hopeless()
            self._pump()

    # Admission.

    def _misplaced(self, request: work.Work) -> work.Refused | None:
        if request.service != self._service:
            return work.Refused(work.RefusalReason.OTHER_SERVICE)
        if self.is_stopping:
            return work.Refused(work.RefusalReason.STOPPING, _DOWN_RETRY_MS)
        return None

    async def _await_key(
        self, request: work.Work, may_wait: bool
    ) -> work.Refused | None:
        if request.key is None:
            return None
        check = self._keys.check(request.key)
        limit_ms = min(self._clock.now_ms() + _KEY_WAIT_MS, request.deadline_ms)
        while may_wait and check.is_pending and not check.is_held:
            if self._clock.now_ms() >= limit_ms:
                break
            await self._clock.sleep_ms(_KEY_POLL_MS)
            check = self._keys.check(request.key)
        if check.is_held:
            self._keys.count_request(request.key)
            return None
        return work.Refused(
            work.RefusalReason.NOT_OWNER, _DOWN_RETRY_MS, owner=check.owner
        )

    def _closed(self, request: work.Work, now_ms: int) -> work.Refused | None:
        """Returns why the target may not get a request now, None if it may."""
        reasons = work.RefusalReason
        if (
            self.target_instance is None
            or self.reachability is not Reachability.UP
        ):
            return work.Refused(reasons.TARGET_DOWN, _DOWN_RETRY_MS)
        if (
            self.admission_ends_ms is not None
            and now_ms >= self.admission_ends_ms
        ):
            return work.Refused(reasons.LEAVING, _DOWN_RETRY_MS)
        if self.is_evacuated:
            return work.Refused(reasons.EVACUATED, _DOWN_RETRY_MS)
        if self._quarantine.is_quarantined(request.fingerprint):
            return work.Refused(reasons.QUARANTINED)
        return None

    def _refusal(self, request: work.Work) -> work.Refused | None:
        now_ms = self._clock.now_ms()
        reasons = work.RefusalReason
        closed = self._closed(request, now_ms)
        if closed is not None:
            return closed
        if not len(self._line):
            self._line_empty_ms = now_ms
        demand = self._demand(request)
        verdict = waiting.decide_admission(
            demand,
            now_ms,
            len(self._running),
            self._capacity,
            self._line.work_ahead_ms(demand, now_ms),
            len(self._line),
            self._times.overall(now_ms),
            now_ms - self._line_empty_ms > waiting.STANDING_QUEUE_MS,
        )
        if not verdict.admitted:
            return work.Refused(reasons.OVERLOADED, verdict.retry_after_ms)
        if not self._cold.has_room(now_ms, len(self._line)):
            return work.Refused(reasons.COLD, _DOWN_RETRY_MS)
        return None

    def _demand(self, request: work.Work) -> waiting.RequestDemand:
        return waiting.RequestDemand(
            request.priority,
            request.is_call,
            request.objective_ms,
            request.deadline_ms,
            self._times.expected(request.route),
        )

    async def _admitted(self, request: work.Work) -> work.Outcome:
        outcome: asyncio.Future[work.Outcome] = asyncio.Future()
        now_ms = self._clock.now_ms()
        ticket = _Ticket(request, outcome, now_ms)
        self._line.push(self._demand(request), ticket, now_ms)
        self._pump()
        if len(self._line):
            self._has_waiting.set()
        try:
            return await outcome
        except asyncio.CancelledError:
            self._line.remove(ticket)
            raise

    def _pump(self) -> None:
        """Starts as many requests as the target runs at once."""
        while len(self._line) and len(self._running) < self._capacity:
            now_ms = self._clock.now_ms()
            if not self._cold.may_start(now_ms):
                return
            ticket = self._line.take(now_ms)
            if ticket is None:
                return
            refusal = self._late_refusal(ticket.request, now_ms)
            if refusal is not None:
                _resolve(ticket, refusal)
                continue
            self._cold.record_start(now_ms)
            self._start(ticket, now_ms)

    def _late_refusal(
        self, request: work.Work, now_ms: int
    ) -> work.Refused | None:
        """Checks again what may have changed while a request waited."""
        reasons = work.RefusalReason
        closed = self._closed(request, now_ms)
        if closed is not None:
            return closed
        if request.deadline_ms <= now_ms + 1:
            return work.Refused(reasons.DEADLINE)
        if request.key is not None:
            check = self._keys.check(request.key)
            if not check.is_held:
                return work.Refused(
                    reasons.NOT_OWNER, _DOWN_RETRY_MS, owner=check.owner
                )
        return None

    def _drop_hopeless(self) -> None:
        for ticket in self._line.take_unservable(self._clock.now_ms()):
            self._metrics.increment("gate.refused.deadline")
            _resolve(ticket, work.Refused(work.RefusalReason.DEADLINE))

    # Dispatch.

    def _start(self, ticket: _Ticket, now_ms: int) -> None:
        ticket.started_ms = now_ms
        self._metrics.observe("gate.wait_ms", now_ms - ticket.arrived_ms)
        self._running.add(ticket)
        task = asyncio.ensure_future(self._dispatch(ticket))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish(ticket, done))
        if ticket.request.is_idempotent:
            # Nobody waits for the answer any more, so the target may stop.
            ticket.outcome.add_done_callback(
                lambda outcome: task.cancel() if outcome.cancelled() else None
            )

    async def _dispatch(self, ticket: _Ticket) -> None:
        assert self.target_instance is not None
        life = self.target_instance
        exchange = await self._connections.send(ticket.request, life.target)
        self._learn(ticket, exchange, life)
        _resolve(ticket, exchange.outcome)

    def _finish(self, ticket: _Ticket, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        self._running.discard(ticket)
        now_ms = self._clock.now_ms()
        self._last_end_ms = now_ms
        self._busy_ms += now_ms - max(ticket.started_ms, self._measured_ms)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.write(
                events.Event.FAULT,
                request=ticket.request.request_id,
                error=repr(error),
            )
        _resolve(ticket, work.Failed(work.FailureReason.INTERNAL))
        self._pump()

    def _learn(
        self,
        ticket: _Ticket,
        exchange: target_connections.SendResult,
        life: targets.TargetInstance,
    ) -> None:
        now_ms = self._clock.now_ms()
        request = ticket.request
        duration_ms = now_ms - ticket.started_ms
        self._metrics.observe("gate.service_ms", duration_ms)
        match exchange.outcome:
            case work.Answered(response):
                self._last_answer_ms = now_ms
                self._times.record(request.route, duration_ms, now_ms)
                is_good = response.status < 500
                self._note_failure(not is_good)
                self._quarantine.record_success(
                    request.fingerprint, frozenset()
                )
            case work.Refused(reason):
                self._last_answer_ms = now_ms
                is_shed = reason is work.RefusalReason.TARGET_REFUSED
                self._note_failure(is_shed)
            case work.Failed(reason):
                self._note_failure(True)
                self._log_failure(request, reason, duration_ms, life)
        if exchange.is_connection_lost:
            self._broken.append(_Broken(now_ms, request.fingerprint))
        if exchange.is_connection_refused and life == self.target_instance:
            self._suspect()
            self._set_presence(Reachability.DOWN)

    def _note_failure(self, has_failed: bool) -> None:
        self._failure_share += _SMOOTHING * (has_failed - self._failure_share)

    def _log_failure(
        self,
        request: work.Work,
        reason: work.FailureReason,
        duration_ms: int,
        life: targets.TargetInstance,
    ) -> None:
        self._metrics.increment(f"gate.failed.{reason.value}")
        self._log.write(
            events.Event.GATE_FAILED,
            request=request.request_id,
            reason=reason.value,
            target=life.target,
            duration_ms=duration_ms,
            left_ms=request.deadline_ms - self._clock.now_ms(),
        )

    def _suspect(self) -> None:
        """Suspects the requests whose connections broke with the target."""
        oldest_ms = self._clock.now_ms() - _SUSPECT_MS
        suspects = {
            broken.fingerprint: frozenset[ids.RegionId]()
            for broken in self._broken
            if broken.when_ms >= oldest_ms
        }
        self._broken.clear()
        if suspects:
            self._quarantine.record_crash(suspects)

    def _set_presence(self, presence: Reachability) -> None:
        if presence is self.reachability:
            return
        self.reachability = presence
        if presence is not Reachability.UP:
            self._connections.close()
        self.on_reachability(presence)


def _resolve(ticket: _Ticket, outcome: work.Outcome) -> None:
    if not ticket.outcome.done():
        ticket.outcome.set_result(outcome)
