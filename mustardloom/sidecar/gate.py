"""Admission control, queue and dispatch for the local target.

Every request for the local target passes through this module. This is the gate
of `mustardloom-sidecar`; `mustardloom.admission.gate` is the gate of
`mustardloomd`.
"""

import asyncio
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
from mustardloom.load_control import rate_limit as rate_limit_lib
from mustardloom.load_control import stop_admission
from mustardloom.load_control import urgency
from mustardloom.load_control import waiting
from mustardloom.sidecar import crash_suspects
from mustardloom.sidecar import events
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import work

__all__ = ["Gate", "GateLoad", "KeyCheck", "KeyOwnership", "Reachability"]

# Weight of the newest request in the share of failed requests.
_FAILURE_SMOOTHING = 0.08
# Weight of the newest sample in the steady service time, which is sampled four
# times a second.
_STEADY_SMOOTHING = 0.08
# The share of failures decays while the target is idle, as no newer request
# can correct it.
_FAILURE_HALF_LIFE_MS = 2_000
_EXPIRY_INTERVAL_MS = 20
_NOT_STARTED_MS = 0
# Longest wait for a key that is being handed over to the target.
_KEY_WAIT_MS = 700
_KEY_POLL_MS = 15
# A refusal takes this long to reach the daemon that forwarded the request and
# must still tell the caller in time that nothing was run.
_REFUSAL_DELAY_MS = 40
_RETRY_AFTER_MS = 300


class Reachability(enum.Enum):
    """Whether the target can be reached.

    A DOWN target refuses connections, so its process has ended. A SILENT one
    sends no heartbeats or answers, but may still run and hold keys.
    """

    UNKNOWN = "unknown"
    UP = "up"
    SILENT = "silent"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyCheck:
    """Whether the target holds a key.

    Attributes:
      is_held: The target may run requests for the key.
      is_pending: The key is about to be granted to the target.
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
      limit: Requests that the target runs at once.
      service_ms: Mean service time of the latest requests at the target.
      steady_service_ms: The same, smoothed over several seconds.
      failure_share: Share of the latest requests that failed or that the
        target refused.
      utilisation: Running and waiting requests relative to `limit`, smoothed;
        exceeds 1 under overload.
      rate_limit_per_s: Requests a second that the target takes; None for any
        number.
    """

    limit: int
    running: int
    waiting: int
    service_ms: float
    steady_service_ms: float
    failure_share: float
    utilisation: float
    rate_limit_per_s: float | None = None


@dataclasses.dataclass(eq=False, slots=True)
class _Ticket:
    """An admitted request, waiting or running."""

    request: work.Work
    outcome: "asyncio.Future[work.Outcome]"
    arrived_ms: int
    started_ms: int = _NOT_STARTED_MS


class Gate:
    """Admits, queues and dispatches requests for the local target.

    Attributes:
      target_instance: Current instance of the target, None before its first
        heartbeat.
      reachability: Whether the target can be reached.
      admission_ends_ms: Local time from which the target gets no more requests,
        None if there is no such time.
      statement: What the target states in its responses, up to small changes
        of the limit; None before the first response.
      is_evacuated: Whether the availability zone of the target is evacuated.
      on_reachability: Called with the new reachability when it changes.
      on_statement: Called with what the target states when that changes.
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
        cold_factor: float,
        stop: stop_admission.StopAdmission,
    ):
        self.target_instance: targets.TargetInstance | None = None
        self.reachability = Reachability.UNKNOWN
        self.admission_ends_ms: int | None = None
        self.statement: targets.Statement | None = None
        self.is_evacuated = False
        self.on_reachability: Callable[[Reachability], None] = lambda _: None
        self.on_statement: Callable[[targets.Statement], None] = lambda _: None
        self._service = service
        self._connections = connections
        self._quarantine = quarantine
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._keys = keys
        self._stop = stop
        self._capacity = 1
        self._queue: waiting.WaitingQueue[_Ticket] = waiting.WaitingQueue()
        self._has_waiting = asyncio.Event()
        self._running: set[_Ticket] = set()
        self._service_times = waiting.ServiceTimes()
        self._urgent_load = urgency.UrgentLoad()
        self._cold_limit = cold_start.ColdStartLimit(cold_factor)
        self._rate_limit = rate_limit_lib.RateLimit()
        self._failure_share = 0.0
        self._busy_ms = 0.0
        self._interval_start_ms = clock.now_ms()
        self._utilisation = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._steady_service_ms = self._service_times.overall_mean_ms(
            clock.now_ms()
        )
        self._queue_last_empty_ms = clock.now_ms()
        self._last_answer_ms = 0
        self._last_end_ms = 0
        self._crash_suspects = crash_suspects.CrashSuspects(quarantine, clock)

    # Updates from the daemon.

    def on_heartbeat(
        self, instance: targets.TargetInstance, capacity: int
    ) -> None:
        """Adopts the instance and the capacity that a heartbeat reports."""
        if instance != self.target_instance:
            if self.target_instance is not None:
                self._crash_suspects.record_crash()
            self._connections.close()
            self._failure_share = 0.0
            self.admission_ends_ms = None
            self.statement = None
            self._rate_limit.clear()
        self.target_instance = instance
        self._capacity = capacity
        self._set_reachability(Reachability.UP)

    def set_cold_for(self, left_ms: int) -> None:
        """Limits the request rate for the next `left_ms`."""
        self._cold_limit.set_cold_until(self._clock.now_ms() + left_ms)

    def set_cold_rate(self, per_s: float) -> None:
        """Sets how many requests a second a cold target can take."""
        self._cold_limit.set_rate_per_s(per_s)

    def set_cold_factor(self, factor: float) -> None:
        """Sets the multiple of a cold target's rate that is tolerated."""
        self._cold_limit.set_overload_factor(factor)

    def assume_rate_limit(self, rate_per_s: float) -> None:
        """Adopts a limit of which another daemon knows.

        It holds until the target's first response to this process.
        """
        if self.statement is None:
            self._rate_limit.state(rate_per_s, self._clock.now_ms())

    def mark_silent(self) -> None:
        """Marks a reachable target as silent: heartbeats are missing."""
        if self.reachability is Reachability.UP:
            self._set_reachability(Reachability.SILENT)

    def stop_admission_at(self, when_ms: int) -> None:
        """Stops sending requests to the target from `when_ms` on.

        An earlier time that is already set stays in force.
        """
        if self.admission_ends_ms is None or when_ms < self.admission_ends_ms:
            self.admission_ends_ms = when_ms

    # Queries.

    def load(self) -> GateLoad:
        """Returns the current load; utilisation is that of the last sample."""
        now_ms = self._clock.now_ms()
        idle_ms = 0 if self._running else now_ms - self._last_end_ms
        return GateLoad(
            self._capacity,
            len(self._running),
            len(self._queue),
            self._service_times.overall_mean_ms(now_ms),
            self._steady_service_ms,
            self._failure_share * 0.5 ** (idle_ms / _FAILURE_HALF_LIFE_MS),
            self._utilisation,
            self._rate_limit.rate_per_s,
        )

    def _concurrency(self, now_ms: int) -> float:
        """Returns how many requests run at once at the target's full rate."""
        return rate_limit_lib.effective_concurrency(
            self._capacity,
            self._service_times.overall_mean_ms(now_ms),
            self._rate_limit.rate_per_s,
        )

    def last_answer_ms(self) -> int:
        """Returns the local time of the target's last answer, 0 if none."""
        return self._last_answer_ms

    def is_open(self) -> bool:
        """Returns whether the target may get new requests now."""
        ends_ms = self.admission_ends_ms
        return (
            self.reachability is Reachability.UP
            and not (self.is_evacuated or self._stop.is_limited())
            and (ends_ms is None or self._clock.now_ms() < ends_ms)
        )

    def is_idle(self) -> bool:
        """Returns whether nothing runs or waits."""
        return not self._running and not len(self._queue)

    def sample_utilisation(self) -> None:
        """Samples the service time and the utilisation since the last call."""
        now_ms = self._clock.now_ms()
        busy_ms = self._busy_ms
        for ticket in self._running:
            busy_ms += now_ms - max(ticket.started_ms, self._interval_start_ms)
        passed_ms = max(1, now_ms - self._interval_start_ms)
        concurrency = self._concurrency(now_ms)
        queue_share = len(self._queue) / concurrency
        busy_share = busy_ms / passed_ms / concurrency
        self._utilisation += 0.5 * (
            busy_share + queue_share - self._utilisation
        )
        self._busy_ms = 0.0
        self._interval_start_ms = now_ms
        latest_ms = self._service_times.overall_mean_ms(now_ms)
        self._steady_service_ms += _STEADY_SMOOTHING * (
            latest_ms - self._steady_service_ms
        )

    async def run(self, request: work.Work, may_wait: bool) -> work.Outcome:
        """Runs a request at the target, after a wait in the queue if needed.

        Cancelling the call removes a waiting request from the queue and ends a
        running one if it is idempotent.

        Args:
          request: The request.
          may_wait: Whether to wait for a key that is being handed over.

        Returns:
          The outcome; a refusal if the request was not admitted.
        """
        refusal = self._refusal_on_arrival(request)
        refusal = refusal or await self._await_key(request, may_wait)
        # The daemon may have begun to stop during the wait for the key.
        refusal = refusal or self._refusal_on_arrival(request)
        refusal = refusal or self._admission_refusal(request)
        if refusal is None:
            return await self._run_admitted(request)
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

    async def process_queue(self) -> None:
        """Refuses queued requests that would miss their deadline.

        Also starts queued requests as the cold-start limit allows more of them
        over time. Runs until cancelled.
        """
        while True:
            if not len(self._queue):
                self._has_waiting.clear()
                await self._has_waiting.wait()
            await self._clock.sleep_ms(_EXPIRY_INTERVAL_MS)
            self._refuse_unservable()
            self._start_waiting()

    # Admission.

    def _refusal_on_arrival(self, request: work.Work) -> work.Refused | None:
        if request.service != self._service:
            return work.Refused(work.RefusalReason.OTHER_SERVICE)
        return self._refusal_if_stopping(request)

    def _refusal_if_stopping(self, request: work.Work) -> work.Refused | None:
        expected_ms = self._service_times.expected_ms(request.route)
        if self._stop.may_start(request.deadline_ms, expected_ms):
            return None
        return work.Refused(work.RefusalReason.STOPPING, _RETRY_AFTER_MS)

    async def _await_key(
        self, request: work.Work, may_wait: bool
    ) -> work.Refused | None:
        if request.key is None:
            return None
        check = self._keys.check(request.key)
        limit_ms = min(
            self._clock.now_ms() + _KEY_WAIT_MS,
            request.deadline_ms - _REFUSAL_DELAY_MS,
        )
        while may_wait and check.is_pending and not check.is_held:
            if self._clock.now_ms() >= limit_ms:
                break
            await self._clock.sleep_ms(_KEY_POLL_MS)
            check = self._keys.check(request.key)
        if check.is_held:
            self._keys.count_request(request.key)
            return None
        return work.Refused(
            work.RefusalReason.NOT_OWNER, _RETRY_AFTER_MS, owner=check.owner
        )

    def _refusal_if_closed(
        self, request: work.Work, now_ms: int
    ) -> work.Refused | None:
        """Returns why the target must not get a request now, None if it may."""
        reasons = work.RefusalReason
        if (
            self.target_instance is None
            or self.reachability is not Reachability.UP
        ):
            return work.Refused(reasons.TARGET_DOWN, _RETRY_AFTER_MS)
        if (
            self.admission_ends_ms is not None
            and now_ms >= self.admission_ends_ms
        ):
            return work.Refused(reasons.LEAVING, _RETRY_AFTER_MS)
        if self.is_evacuated:
            return work.Refused(reasons.EVACUATED, _RETRY_AFTER_MS)
        if self._quarantine.is_quarantined(request.fingerprint):
            return work.Refused(reasons.QUARANTINED)
        return None

    def _admission_refusal(self, request: work.Work) -> work.Refused | None:
        now_ms = self._clock.now_ms()
        reasons = work.RefusalReason
        closed = self._refusal_if_closed(request, now_ms)
        if closed is not None:
            return closed
        if not len(self._queue):
            self._queue_last_empty_ms = now_ms
        demand = self._demand_of(request)
        concurrency = self._concurrency(now_ms)
        decision = waiting.decide_admission(
            demand,
            now_ms,
            len(self._running),
            concurrency,
            self._queue.work_ahead_ms(demand, now_ms),
            len(self._queue),
            self._service_times.overall_mean_ms(now_ms),
            now_ms - self._queue_last_empty_ms > waiting.STANDING_QUEUE_MS,
            self._urgent_load.share_above(demand.rank, now_ms, concurrency),
            self._rate_limit.wait_ms(now_ms),
        )
        if not decision.admitted:
            return work.Refused(reasons.OVERLOADED, decision.retry_after_ms)
        if not self._cold_limit.has_room(now_ms, len(self._queue)):
            return work.Refused(reasons.COLD, _RETRY_AFTER_MS)
        return None

    def _demand_of(self, request: work.Work) -> waiting.RequestDemand:
        return waiting.RequestDemand(
            request.priority,
            request.is_call,
            request.objective_ms,
            request.deadline_ms,
            self._service_times.expected_ms(request.route),
        )

    async def _run_admitted(self, request: work.Work) -> work.Outcome:
        outcome: asyncio.Future[work.Outcome] = asyncio.Future()
        now_ms = self._clock.now_ms()
        ticket = _Ticket(request, outcome, now_ms)
        demand = self._demand_of(request)
        self._urgent_load.record(demand.rank, demand.service_ms, now_ms)
        self._queue.push(demand, ticket, now_ms)
        self._start_waiting()
        if len(self._queue):
            self._has_waiting.set()
        try:
            return await outcome
        except asyncio.CancelledError:
            self._queue.remove(ticket)
            raise

    def _start_waiting(self) -> None:
        """Starts queued requests as capacity and rate limits allow."""
        while len(self._queue) and len(self._running) < self._capacity:
            now_ms = self._clock.now_ms()
            if not self._cold_limit.may_start(now_ms):
                return
            if self._rate_limit.wait_ms(now_ms):
                return
            ticket = self._queue.take(now_ms)
            if ticket is None:
                return
            refusal = self._refusal_at_start(ticket.request, now_ms)
            if refusal is not None:
                _resolve(ticket, refusal)
                continue
            self._cold_limit.record_start(now_ms)
            self._rate_limit.record_start(now_ms)
            self._start(ticket, now_ms)

    def _refusal_at_start(
        self, request: work.Work, now_ms: int
    ) -> work.Refused | None:
        """Repeats the checks whose result may have changed during the wait."""
        reasons = work.RefusalReason
        closed = self._refusal_if_stopping(request)
        closed = closed or self._refusal_if_closed(request, now_ms)
        if closed is not None:
            return closed
        if request.deadline_ms <= now_ms + 1:
            return work.Refused(reasons.DEADLINE)
        if request.key is not None:
            check = self._keys.check(request.key)
            if not check.is_held:
                return work.Refused(
                    reasons.NOT_OWNER, _RETRY_AFTER_MS, owner=check.owner
                )
        return None

    def _refuse_unservable(self) -> None:
        if self._stop.is_stopping():
            self._refuse_unfinishable()
        end_ms = self._clock.now_ms() + _REFUSAL_DELAY_MS
        spacing_ms = self._rate_limit.interval_ms()
        for ticket in self._queue.take_unservable(end_ms, spacing_ms):
            self._metrics.increment("gate.refused.deadline")
            _resolve(ticket, work.Refused(work.RefusalReason.DEADLINE))

    def _refuse_unfinishable(self) -> None:
        """Refuses queued requests that would not end before this daemon."""
        for _, ticket in list(self._queue):
            refusal = self._refusal_if_stopping(ticket.request)
            if refusal is not None:
                self._queue.remove(ticket)
                _resolve(ticket, refusal)

    # Dispatch.

    def _start(self, ticket: _Ticket, now_ms: int) -> None:
        ticket.started_ms = now_ms
        self._metrics.increment("gate.started")
        self._metrics.observe("gate.wait_ms", now_ms - ticket.arrived_ms)
        self._running.add(ticket)
        task = asyncio.ensure_future(self._dispatch(ticket))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish(ticket, done))
        if ticket.request.is_idempotent:
            # Nobody waits for the answer of a cancelled call any more, so the
            # run may end. A run that is not idempotent goes on, as half of its
            # effects could remain.
            ticket.outcome.add_done_callback(
                lambda outcome: task.cancel() if outcome.cancelled() else None
            )

    async def _dispatch(self, ticket: _Ticket) -> None:
        assert self.target_instance is not None
        instance = self.target_instance
        result = await self._connections.send(
            ticket.request,
            instance.target,
            lambda statement: self._on_statement(instance, statement),
        )
        _resolve(ticket, result.outcome)
        result = await result.after_body()
        self._record(ticket, result, instance)

    def _on_statement(
        self, instance: targets.TargetInstance, statement: targets.Statement
    ) -> None:
        """Adopts what the target states, unless it was replaced meanwhile."""
        if instance != self.target_instance:
            return
        self._rate_limit.state(statement.rate_limit_per_s, self._clock.now_ms())
        before = self.statement or targets.Statement()
        if self.statement is None:
            self.statement = statement
        if not statement.differs_notably(before):
            return
        self.statement = statement
        self._log.write(
            events.Event.TARGET_STATEMENT,
            target=instance.target,
            limit_per_s=statement.rate_limit_per_s,
            before_per_s=before.rate_limit_per_s,
            is_leaving=statement.is_leaving,
            running=len(self._running),
            waiting=len(self._queue),
        )
        self.on_statement(statement)

    def _finish(self, ticket: _Ticket, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        self._running.discard(ticket)
        now_ms = self._clock.now_ms()
        self._last_end_ms = now_ms
        self._busy_ms += now_ms - max(
            ticket.started_ms, self._interval_start_ms
        )
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.write_fault(error, request=ticket.request.request_id)
        # Without effect unless the dispatch ended without an outcome.
        _resolve(ticket, work.Failed(work.FailureReason.INTERNAL))
        self._start_waiting()

    def _record(
        self,
        ticket: _Ticket,
        result: target_connections.SendResult,
        instance: targets.TargetInstance,
    ) -> None:
        now_ms = self._clock.now_ms()
        request = ticket.request
        duration_ms = now_ms - ticket.started_ms
        self._metrics.observe("gate.service_ms", duration_ms)
        match result.outcome:
            case work.Answered(response):
                self._last_answer_ms = now_ms
                self._service_times.record(request.route, duration_ms, now_ms)
                is_good = response.status < 500
                self._record_failure(not is_good)
                self._quarantine.record_success(
                    request.fingerprint, frozenset()
                )
            case work.Refused(reason):
                self._last_answer_ms = now_ms
                is_shed = reason is work.RefusalReason.TARGET_REFUSED
                self._record_failure(is_shed)
            case work.Failed(work.FailureReason.UPLOAD_BROKEN as reason):
                # It says nothing about the target.
                self._log_failure(request, reason, duration_ms, instance)
            case work.Failed(reason):
                self._record_failure(True)
                self._log_failure(request, reason, duration_ms, instance)
        if result.is_connection_lost:
            self._crash_suspects.record_lost_connection(request.fingerprint)
        if result.is_connection_refused and instance == self.target_instance:
            self._crash_suspects.record_crash()
            self._set_reachability(Reachability.DOWN)

    def _record_failure(self, has_failed: bool) -> None:
        self._failure_share += _FAILURE_SMOOTHING * (
            has_failed - self._failure_share
        )

    def _log_failure(
        self,
        request: work.Work,
        reason: work.FailureReason,
        duration_ms: int,
        instance: targets.TargetInstance,
    ) -> None:
        self._metrics.increment(f"gate.failed.{reason.value}")
        self._log.write(
            events.Event.GATE_FAILED,
            request=request.request_id,
            reason=reason.value,
            target=instance.target,
            duration_ms=duration_ms,
            left_ms=request.deadline_ms - self._clock.now_ms(),
        )

    def _set_reachability(self, reachability: Reachability) -> None:
        if reachability is self.reachability:
            return
        self.reachability = reachability
        if reachability is not Reachability.UP:
            self._connections.close()
        self.on_reachability(reachability)


def _resolve(ticket: _Ticket, outcome: work.Outcome) -> None:
    if ticket.outcome.done():
        work.discard(outcome)
    else:
        ticket.outcome.set_result(outcome)
