"""Admits, queues and dispatches requests for the local target."""

import asyncio
from collections.abc import Callable

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import targets
from mustardloom.load_control import quarantine as quarantine_lib
from mustardloom.load_control import stop_admission
from mustardloom.load_control import unanswered
from mustardloom.load_control import waiting
from mustardloom.sidecar import crash_suspects
from mustardloom.sidecar import events
from mustardloom.sidecar import request_ends
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import work
from mustardloom.sidecar.gate import dispatcher as dispatcher_lib
from mustardloom.sidecar.gate import keys as keys_lib
from mustardloom.sidecar.gate import limits as limits_lib
from mustardloom.sidecar.gate import load as load_lib
from mustardloom.sidecar.gate import results
from mustardloom.sidecar.gate import target_state
from mustardloom.sidecar.gate import ticket as ticket_lib
from mustardloom.sidecar.gate import timing

__all__ = ["Gate"]

_EXPIRY_INTERVAL_MS = 20
# Refusals of requests that the target would have run under a lower load.
_CONTENTION_REASONS = frozenset(
    (
        work.RefusalReason.OVERLOADED,
        work.RefusalReason.COLD,
        work.RefusalReason.DEADLINE,
    )
)
# A request whose body has stopped for this long loses its place at the target
# while others wait for one. Senders that go on pause for at most a few round
# trips between regions, of 40 ms each.
_STALLED_UPLOAD_MS = 500
# Overdue requests leave at most this part of the places to others.
_FREED_DIVISOR = 2

# Called with what the target stated before to this process, None if this is its
# first response, and with what it states now.
StatementCallback = Callable[
    [targets.Statement | None, targets.Statement], None
]


class Gate:
    """Admits, queues and dispatches requests for the local target.

    Attributes:
      target: What is known of the target.
      on_reachability: Called with the new reachability when it changes.
      on_statement: Called with what the target states when that changes.
      on_cancelled: Called with the id of a request whose run was ended, as
        nobody waits for it any more.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        connections: target_connections.TargetConnections,
        quarantine: quarantine_lib.Quarantine,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
        keys: keys_lib.KeyOwnership,
        cold_factor: float,
        stop: stop_admission.StopAdmission,
    ):
        self.target = target_state.TargetState()
        self.on_reachability: Callable[[target_state.Reachability], None] = (
            lambda _: None
        )
        self.on_statement: StatementCallback = lambda *_: None
        self.on_cancelled: Callable[[str], None] = lambda _: None
        self._service = service
        self._connections = connections
        self._quarantine = quarantine
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._keys = keys
        self._stop = stop
        self._queue: waiting.WaitingQueue[ticket_lib.Ticket] = (
            waiting.WaitingQueue()
        )
        self._has_waiting = asyncio.Event()
        self._limits = limits_lib.TargetLimits(cold_factor, clock.now_ms())
        self._meter = load_lib.LoadMeter(
            self._limits.service_times, clock.now_ms()
        )
        self._recorder = results.ResultRecorder(
            self._limits.service_times,
            self._limits.learned_limit,
            self._meter,
            quarantine,
            clock,
            log,
            metrics,
        )
        self._crash_suspects = crash_suspects.CrashSuspects(quarantine, clock)
        self._dispatcher = dispatcher_lib.Dispatcher(
            connections,
            self.target,
            self._recorder,
            self._meter,
            self._crash_suspects,
            clock,
            log,
            metrics,
            request_ends.RequestEnds(metrics, stop),
        )
        self._dispatcher.on_statement = self._on_statement
        self._dispatcher.on_refused_connection = self._mark_down
        self._dispatcher.on_end = self._on_end
        self._dispatcher.on_cancelled = lambda each: self.on_cancelled(each)

    # Updates from the daemon.

    def on_heartbeat(
        self, instance: targets.TargetInstance, capacity: int
    ) -> None:
        """Adopts the instance and the capacity that a heartbeat reports."""
        if instance != self.target.instance:
            if self.target.instance is not None:
                self._crash_suspects.record_crash()
            self._connections.close()
            self._meter.forget_failures()
            self._limits.rate.clear()
            self._limits.learned_limit.clear()
            self.target.start_instance(instance)
        self._limits.capacity = capacity
        self._set_reachability(target_state.Reachability.UP)

    def set_cold_for(self, left_ms: int) -> None:
        """Limits the request rate for the next `left_ms`."""
        self._limits.cold.set_cold_until(self._clock.now_ms() + left_ms)

    def set_cold_rate(self, per_s: float) -> None:
        """Sets how many requests a second a cold target can take."""
        self._limits.cold.set_rate_per_s(per_s)

    def set_cold_factor(self, factor: float) -> None:
        """Sets the multiple of a cold target's rate that is tolerated."""
        self._limits.cold.set_overload_factor(factor)

    def assume_rate_limit(self, rate_per_s: float) -> None:
        """Adopts a limit of which another daemon knows.

        It holds until the target's first response to this process.
        """
        if self.target.statement is None:
            self._limits.rate.state(rate_per_s, self._clock.now_ms())

    def mark_silent(self) -> None:
        """Marks a reachable target as silent: heartbeats are missing."""
        if self.target.reachability is target_state.Reachability.UP:
            self._set_reachability(target_state.Reachability.SILENT)

    def stop_admission_at(self, when_ms: int) -> None:
        """Stops sending requests to the target from `when_ms` on.

        An earlier time that is already set stays in force.
        """
        self.target.end_admission_at(when_ms)

    # Queries.

    def load(self) -> load_lib.GateLoad:
        """Returns the current load; utilisation is that of the last sample."""
        now_ms = self._clock.now_ms()
        running = self._occupied_places()
        return load_lib.GateLoad(
            self._limits.capacity,
            running,
            len(self._queue),
            self._limits.service_times.overall_mean_ms(now_ms),
            self._meter.steady_service_ms,
            self._meter.failure_share(running > 0, now_ms),
            self._meter.utilisation,
            self._limits.rate.rate_per_s,
        )

    def last_answer_ms(self) -> int:
        """Returns the local time of the target's last answer, 0 if none."""
        return self._recorder.last_answer_ms

    def is_open(self) -> bool:
        """Returns whether the target may get new requests now."""
        is_limited = self._stop.is_limited()
        return not is_limited and self.target.is_open(self._clock.now_ms())

    def is_idle(self) -> bool:
        """Returns whether nothing runs or waits."""
        is_running = self._dispatcher.running or self._dispatcher.overdue
        return not is_running and not len(self._queue)

    def sample_utilisation(self) -> None:
        """Samples the service time and the utilisation since the last call.

        Also finds requests that the target may leave unanswered.
        """
        now_ms = self._clock.now_ms()
        self._find_overdue(now_ms)
        self._meter.sample(
            (ticket.started_ms for ticket in self._dispatcher.running),
            len(self._queue),
            self._limits.concurrency(now_ms),
            now_ms,
        )

    async def run(self, request: work.Work, may_wait: bool) -> work.Attempt:
        """Runs a request at the target, after a wait in the queue if needed.

        Cancelling the call removes a waiting request from the queue and ends a
        running one if it is idempotent.

        Args:
          request: The request.
          may_wait: Whether to wait for a key that is being handed over.

        Returns:
          The outcome; a refusal if the request was not admitted. Of a request
          that the target may leave unanswered, the rest of the attempt.
        """
        refusal = self._refusal_on_arrival(request)
        refusal = refusal or await keys_lib.await_key(
            self._keys, request, may_wait, self._clock
        )
        # The daemon may have begun to stop during the wait for the key.
        refusal = refusal or self._refusal_on_arrival(request)
        refusal = refusal or self._admission_refusal(request)
        if refusal is None:
            return await self._run_admitted(request)
        self._record_refusal(request, refusal)
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
            self._dispatcher.end_stalled_uploads(_STALLED_UPLOAD_MS)
            self._start_waiting()

    # Admission.

    def _refusal_on_arrival(self, request: work.Work) -> work.Refused | None:
        if request.service != self._service:
            return work.Refused(work.RefusalReason.OTHER_SERVICE)
        return self._refusal_if_stopping(request)

    def _refusal_if_stopping(self, request: work.Work) -> work.Refused | None:
        expected_ms = self._limits.service_times.expected_ms(request.route)
        if self._stop.may_start(request.deadline_ms, expected_ms):
            return None
        return work.Refused(work.RefusalReason.STOPPING, timing.RETRY_AFTER_MS)

    def _refusal_if_closed(
        self, request: work.Work, now_ms: int
    ) -> work.Refused | None:
        """Returns why the target must not get a request now, None if it may."""
        refusal = self.target.refusal(now_ms)
        if refusal is not None:
            return refusal
        if self._quarantine.is_quarantined(request.fingerprint):
            return work.Refused(work.RefusalReason.QUARANTINED)
        return None

    def _admission_refusal(self, request: work.Work) -> work.Refused | None:
        now_ms = self._clock.now_ms()
        closed = self._refusal_if_closed(request, now_ms)
        return closed or self._limits.refusal(
            request, self._queue, self._occupied_places(), now_ms
        )

    def _refusal_at_start(
        self, request: work.Work, now_ms: int
    ) -> work.Refused | None:
        """Repeats the checks whose result may have changed during the wait."""
        closed = self._refusal_if_stopping(request)
        closed = closed or self._refusal_if_closed(request, now_ms)
        if closed is not None:
            return closed
        if request.deadline_ms <= now_ms + 1:
            return work.Refused(work.RefusalReason.DEADLINE)
        return keys_lib.refusal_if_not_held(self._keys, request)

    def _record_refusal(
        self, request: work.Work, refusal: work.Refused
    ) -> None:
        self._metrics.increment(f"gate.refused.{refusal.reason.value}")
        self._record_unserved(request, refusal.reason)
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

    def _record_unserved(
        self, request: work.Work, reason: work.RefusalReason
    ) -> None:
        """Counts a request that was refused because the target was taken."""
        if reason in _CONTENTION_REASONS:
            self._limits.shares.record(
                request.organisation, False, self._clock.now_ms()
            )

    # Queue.

    async def _run_admitted(self, request: work.Work) -> work.Attempt:
        outcome: asyncio.Future[work.Attempt] = asyncio.Future()
        now_ms = self._clock.now_ms()
        ticket = ticket_lib.Ticket(request, outcome, now_ms)
        demand = self._limits.demand_of(request, self._queue)
        self._limits.record_admission(demand, now_ms)
        self._queue.push(demand, ticket, now_ms)
        self._start_waiting()
        if len(self._queue):
            self._has_waiting.set()
        try:
            return await outcome
        except asyncio.CancelledError:
            self._queue.remove(ticket)
            # It is another one if the request was found overdue just before.
            ticket.outcome.cancel()
            raise

    def _start_waiting(self) -> None:
        """Starts queued requests as capacity and rate limits allow."""
        while len(self._queue) and self._has_place():
            now_ms = self._clock.now_ms()
            if not self._limits.may_start(now_ms):
                return
            ticket = self._queue.take(now_ms)
            if ticket is None:
                return
            refusal = self._refusal_at_start(ticket.request, now_ms)
            if refusal is not None:
                self._record_unserved(ticket.request, refusal.reason)
                ticket.resolve(refusal)
                continue
            self._limits.record_start(now_ms)
            self._limits.shares.record(
                ticket.request.organisation, True, now_ms
            )
            self._dispatcher.start(ticket, now_ms)

    def _occupied_places(self) -> int:
        """Returns how many places of the target are taken.

        Overdue requests leave theirs to others, but the target may be at work
        on all of them, so they leave only some.
        """
        running = len(self._dispatcher.running)
        open_count = running + len(self._dispatcher.overdue)
        return max(running, open_count - self._freed_places())

    def _freed_places(self) -> int:
        return max(1, self._limits.capacity // _FREED_DIVISOR)

    def _has_place(self) -> bool:
        """Returns whether the target can hold one more request."""
        if self._occupied_places() >= self._limits.capacity:
            return False
        return len(self._dispatcher.running) < self._limits.places()

    def _on_end(self) -> None:
        # Answers to later requests show which earlier ones are unanswered.
        self._find_overdue(self._clock.now_ms())
        self._start_waiting()

    def _find_overdue(self, now_ms: int) -> None:
        """Marks requests that may stay unanswered and be tried elsewhere."""
        latest_ms = now_ms - unanswered.MIN_WAIT_MS
        found = [
            ticket
            for ticket in self._dispatcher.running
            if ticket.started_ms < latest_ms
            and self._is_overdue(ticket, now_ms)
        ]
        for ticket in found:
            self._dispatcher.mark_overdue(ticket)

    def _is_overdue(self, ticket: ticket_lib.Ticket, now_ms: int) -> bool:
        request = ticket.request
        expected_ms = self._limits.service_times.measured_ms(request.route)
        if (
            ticket.outcome.done()
            or not request.is_idempotent
            or request.rest is not None
            or expected_ms is None
        ):
            return False
        left_ms = request.deadline_ms - now_ms
        return unanswered.has_time_for_retry(
            left_ms, expected_ms
        ) and self._recorder.answers.is_unanswered(
            ticket.started_ms, now_ms, expected_ms, self._limits.capacity
        )

    def _refuse_unservable(self) -> None:
        if self._stop.is_stopping():
            self._refuse_unfinishable()
        end_ms = self._clock.now_ms() + timing.REFUSAL_DELAY_MS
        spacing_ms = self._limits.rate.interval_ms()
        for ticket in self._queue.take_unservable(end_ms, spacing_ms):
            self._metrics.increment("gate.refused.deadline")
            refusal = work.Refused(work.RefusalReason.DEADLINE)
            self._record_unserved(ticket.request, refusal.reason)
            ticket.resolve(refusal)
        for ticket, refusal in self._limits.blocked(
            self._queue, self._clock.now_ms()
        ):
            self._record_refusal(ticket.request, refusal)
            ticket.resolve(refusal)

    def _refuse_unfinishable(self) -> None:
        """Refuses queued requests that would not end before this daemon."""
        for _, ticket in list(self._queue):
            refusal = self._refusal_if_stopping(ticket.request)
            if refusal is not None:
                self._queue.remove(ticket)
                ticket.resolve(refusal)

    # Updates from the target.

    def _on_statement(
        self, instance: targets.TargetInstance, statement: targets.Statement
    ) -> None:
        """Adopts what the target states, unless it was replaced meanwhile."""
        if instance != self.target.instance:
            return
        self._limits.rate.state(
            statement.rate_limit_per_s, self._clock.now_ms()
        )
        known = self.target.statement
        before = known or targets.Statement()
        if known is None:
            self.target.statement = statement
        if not statement.differs_notably(before):
            return
        self.target.statement = statement
        self._log.write(
            events.Event.TARGET_STATEMENT,
            target=instance.target,
            limit_per_s=statement.rate_limit_per_s,
            before_per_s=before.rate_limit_per_s,
            is_leaving=statement.is_leaving,
            running=len(self._dispatcher.running),
            waiting=len(self._queue),
        )
        self.on_statement(known, statement)

    def _mark_down(self) -> None:
        self._set_reachability(target_state.Reachability.DOWN)

    def _set_reachability(
        self, reachability: target_state.Reachability
    ) -> None:
        if reachability is self.target.reachability:
            return
        self.target.reachability = reachability
        if reachability is not target_state.Reachability.UP:
            self._connections.close()
        self.on_reachability(reachability)
