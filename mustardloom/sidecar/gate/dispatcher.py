"""Sends requests to the target and keeps those that run there."""

import asyncio
from collections.abc import Callable
import itertools

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import targets
from mustardloom.http1 import bodies
from mustardloom.sidecar import crash_suspects
from mustardloom.sidecar import events
from mustardloom.sidecar import request_ends
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import work
from mustardloom.sidecar.gate import load as load_lib
from mustardloom.sidecar.gate import results
from mustardloom.sidecar.gate import target_state
from mustardloom.sidecar.gate import ticket as ticket_lib

__all__ = ["Dispatcher"]

_MS_PER_S = 1_000
# The system closes the connections of a process that ends before it stops to
# listen.
_CRASH_CHECK_DELAY_MS = 100


class Dispatcher:
    """Runs admitted requests at the target.

    Attributes:
      running: Requests that the target runs now, as far as is known.
      overdue: Requests that it is presumed to leave unanswered, but may be at
        work on.
      on_statement: Called with what an instance of the target states in a
        response.
      on_refused_connection: Called when the current instance of the target
        refuses a connection.
      on_end: Called when a request has ended.
      on_cancelled: Called with the id of a request whose run was ended, as
        nobody waits for it any more.
    """

    def __init__(
        self,
        connections: target_connections.TargetConnections,
        target: target_state.TargetState,
        recorder: results.ResultRecorder,
        meter: load_lib.LoadMeter,
        suspects: crash_suspects.CrashSuspects,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
        ends: request_ends.RequestEnds,
    ):
        self.running: set[ticket_lib.Ticket] = set()
        self.overdue: set[ticket_lib.Ticket] = set()
        self.on_statement: Callable[
            [targets.TargetInstance, targets.Statement], None
        ] = lambda *_: None
        self.on_refused_connection: Callable[[], None] = lambda: None
        self.on_end: Callable[[], None] = lambda: None
        self.on_cancelled: Callable[[str], None] = lambda _: None
        self._connections = connections
        self._target = target
        self._recorder = recorder
        self._meter = meter
        self._suspects = suspects
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._ends = ends
        self._task_by_ticket: dict[ticket_lib.Ticket, asyncio.Task[None]] = {}
        self._crash_check: asyncio.Task[None] | None = None

    def start(self, ticket: ticket_lib.Ticket, now_ms: int) -> None:
        """Starts a request at the target.

        Args:
          ticket: The request; it is resolved with its outcome.
          now_ms: Local time.
        """
        ticket.started_ms = now_ms
        self._metrics.increment("gate.started")
        self._metrics.observe("gate.wait_ms", now_ms - ticket.arrived_ms)
        self.running.add(ticket)
        ticket.running_at_start = len(self.running)
        task = asyncio.ensure_future(self._dispatch(ticket))
        self._task_by_ticket[ticket] = task
        task.add_done_callback(lambda done: self._finish(ticket, done))
        self._end_if_not_awaited(ticket)

    def mark_overdue(self, ticket: ticket_lib.Ticket) -> None:
        """Tells that the target may leave a running request unanswered.

        The run goes on: if the target is at work on it after all, its answer
        may be the only one that the caller gets.
        """
        self.running.discard(ticket)
        self.overdue.add(ticket)
        self._meter.record_end(ticket.started_ms, self._clock.now_ms())
        self._recorder.record_overdue(ticket, self._target.instance)
        ticket.mark_overdue()
        self._end_if_not_awaited(ticket)

    def _end_if_not_awaited(self, ticket: ticket_lib.Ticket) -> None:
        """Ends the run of an idempotent request once nobody waits for it.

        A run that is not idempotent goes on, as half of its effects could
        remain.
        """
        if not ticket.request.is_idempotent:
            return
        task = self._task_by_ticket[ticket]
        ticket.outcome.add_done_callback(
            lambda outcome: task.cancel() if outcome.cancelled() else None
        )

    def end_stalled_uploads(self, limit_ms: int) -> None:
        """Ends requests whose callers stopped in the middle of the body.

        They occupy places at the target for which other requests wait. The
        target may have begun to run them, so they fail and are not refused.
        """
        for ticket in list(self.running):
            rest = ticket.request.rest
            # Checked first, as `isinstance` is slow for a protocol. The end of
            # a body would break off an answer that has begun.
            if rest is None or ticket.outcome.done():
                continue
            if isinstance(rest, bodies.StallableBody) and (
                rest.stalled_s() * _MS_PER_S >= limit_ms
            ):
                self._metrics.increment("gate.bodies_stopped")
                self._ends.count_run(request_ends.RunEnd.UPLOAD_STALLED)
                self._log.write(
                    events.Event.GATE_FAILED,
                    request=ticket.request.request_id,
                    reason=work.FailureReason.UPLOAD_BROKEN.value,
                    waited_ms=round(rest.stalled_s() * _MS_PER_S),
                )
                rest.close()

    async def _dispatch(self, ticket: ticket_lib.Ticket) -> None:
        assert self._target.instance is not None
        instance = self._target.instance
        result = await self._connections.send(
            ticket.request,
            instance.target,
            lambda statement: self.on_statement(instance, statement),
        )
        if result.outcome == work.Failed(work.FailureReason.DEADLINE):
            self._ends.count_run(request_ends.RunEnd.DEADLINE)
        ticket.resolve(result.outcome)
        result = await result.after_body()
        self._recorder.record(ticket, result, instance)
        if result.is_connection_lost:
            self._suspects.record_lost_connection(ticket.request.fingerprint)
            self._start_crash_check(instance)
        if result.is_connection_refused and instance == self._target.instance:
            self._suspects.record_crash()
            self.on_refused_connection()

    def _start_crash_check(self, instance: targets.TargetInstance) -> None:
        if self._crash_check is None or self._crash_check.done():
            self._crash_check = asyncio.ensure_future(
                self._check_for_crash(instance)
            )

    async def _check_for_crash(self, instance: targets.TargetInstance) -> None:
        """Notices a crash, also if no further request comes for the target."""
        await self._clock.sleep_ms(_CRASH_CHECK_DELAY_MS)
        if instance != self._target.instance:
            return
        is_refused = await self._connections.is_refused()
        if is_refused and instance == self._target.instance:
            self._suspects.record_crash()
            self.on_refused_connection()

    def _finish(
        self, ticket: ticket_lib.Ticket, task: "asyncio.Task[None]"
    ) -> None:
        self._task_by_ticket.pop(ticket, None)
        if ticket.is_overdue:
            self.overdue.discard(ticket)
        else:
            self.running.discard(ticket)
            self._meter.record_end(ticket.started_ms, self._clock.now_ms())
        if task.cancelled():
            if ticket.outcome.cancelled():
                self._ends.count_run(request_ends.RunEnd.NOT_AWAITED)
            self._recorder.record_cancelled(ticket)
            self._report_cancelled(ticket.request.request_id)
        elif (error := task.exception()) is not None:
            self._log.write_fault(error, request=ticket.request.request_id)
        # Without effect unless the dispatch ended without an outcome.
        ticket.resolve(work.Failed(work.FailureReason.INTERNAL))
        self.on_end()

    def _report_cancelled(self, request_id: str) -> None:
        """Reports a run that was ended, unless its caller has sent it again."""
        others = itertools.chain(self.running, self.overdue)
        if all(each.request.request_id != request_id for each in others):
            self.on_cancelled(request_id)
