"""Admission control: the only path by which requests reach the target.

This is the gate of `mustardloomd`; `mustardloom.sidecar.gate` is the gate of
`mustardloom-sidecar`.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import secrets

from loguru import logger

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.admission import deadline_queue
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.admission import health_check
from mustardloom.admission import limits
from mustardloom.admission import warmup as warmup_lib
from mustardloom.load_control import quarantine as quarantine_lib

__all__ = ["Gate", "GateLoad"]

_QUEUE_LENGTH_PER_CAPACITY = 2
_SERVICE_TIME_QUANTILE = 0.9
# An answer with this status or above does not count as a success: it shows
# neither that the target is warm nor that the request is harmless to it.
_SERVER_ERROR_STATUS = 500


def _refused_cancelled() -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.CANCELLED, "the request was cancelled"
    )


def _unknown_failed() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.UnknownReason.INTERNAL, "the dispatch failed"
    )


def _refused_target_down() -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.TARGET_DOWN, "the target does not answer"
    )


def _refused_quarantined() -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.QUARANTINED,
        "the request crashed targets and is in quarantine",
    )


@dataclasses.dataclass(eq=False, slots=True)
class _Ticket:
    """One request that waits or runs.

    Attributes:
      request: The request.
      placement: Its slot, None if it needs no slot.
      permit: Its permit for the slot.
      outcome: What the sender gets.
      task: The task of the dispatch, None while the request waits.
      crash_count: Crashes of the target counted before the dispatch.
      sent: Whether the target may have received the request.
    """

    request: requests.Request
    placement: dispatch_lib.SlotId | None
    permit: dispatch_lib.SlotPermit
    outcome: asyncio.Future[outcomes.Outcome]
    task: asyncio.Task[None] | None = None
    crash_count: int = 0
    sent: bool = False

    @property
    def deadline_ms(self) -> int:
        return self.request.deadline_ms

    def resolve(self, outcome: outcomes.Outcome) -> None:
        if not self.outcome.done():
            self.outcome.set_result(outcome)


@dataclasses.dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of the gate.

    Attributes:
      running: Requests that the target may be running.
      queued: Requests that wait for dispatch.
      limit: Current concurrency limit.
    """

    running: int
    queued: int
    limit: int


class Gate:
    """Queues requests for one target and enforces its concurrency limit.

    At any time at most min(capacity, adaptive limit, warm-up limit) requests
    are dispatched. A request counts as dispatched until the target answers,
    confirms its cancellation or is lost, or until the deadline of the dispatch
    has passed.

    Example:
      gate = Gate(clock, target_client, lease, capacity=6, ...)
      outcome = await gate.run(request, placement, permit)
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        target: dispatch_lib.Dispatcher,
        lease: dispatch_lib.LeaseView,
        capacity: int,
        metrics: metrics_lib.Metrics,
        on_suspect: quarantine_lib.SuspectCallback = lambda *_: None,
        on_target_down: Callable[[bool], None] = lambda _: None,
        on_new_instance: Callable[[], None] = lambda: None,
    ):
        """Creates a gate that admits requests to a target that counts as cold.

        Args:
          clock: Source of time.
          target: Client of the target.
          lease: Lease of this member.
          capacity: Concurrent requests that the target can handle when warm.
          metrics: Receives the counters `gate.*`.
          on_suspect: Called to notify the other gates of the service, with a
            fingerprint, its number of crashes (0 clears the suspect) and its
            regions.
          on_target_down: Called with True when the target goes down, and with
            False when it is up again.
          on_new_instance: Called when a new target process answers or is
            announced; it has no grants yet.
        """
        self.quarantine = quarantine_lib.Quarantine(clock, on_suspect)
        self.health_check = health_check.HealthCheck(
            clock, target, self._on_health_change, self._on_instance
        )
        self._clock = clock
        self._target = target
        self._lease = lease
        self._metrics = metrics
        self._on_target_down = on_target_down
        self._on_new_instance = on_new_instance
        self._capacity = capacity
        self._adaptive_limit = limits.AdaptiveLimit(capacity)
        self._warmup = warmup_lib.Warmup(capacity)
        self._service_times = limits.ServiceTimes()
        self._queue: deadline_queue.DeadlineQueue[_Ticket] = (
            deadline_queue.DeadlineQueue(capacity * _QUEUE_LENGTH_PER_CAPACITY)
        )
        self._running: set[_Ticket] = set()
        self._running_suspect: _Ticket | None = None
        self._refusal_when_closed: outcomes.Refused | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._instance: str | None = None
        # Each request keeps the count at its dispatch. When a crash is reported
        # for several requests, only the first still has the current count, so
        # the crash is counted once.
        self._crash_count = 0
        self._id_prefix = secrets.token_hex(4)
        self._dispatch_numbers = itertools.count(1)
        self._expiry_task: asyncio.Task[None] | None = None

    @property
    def limit(self) -> int:
        """Returns how many requests may run at the same time."""
        return min(
            self._capacity, self._adaptive_limit.value, self._warmup.value
        )

    @property
    def load(self) -> GateLoad:
        """Returns the current load."""
        return GateLoad(len(self._running), len(self._queue), self.limit)

    def reopen(self) -> None:
        """Admits requests again after `close`."""
        self._refusal_when_closed = None

    def close(self, reason: outcomes.RefusalReason, detail: str = "") -> None:
        """Refuses all waiting and future requests; running ones finish."""
        refusal = outcomes.Refused(reason, detail or "the gate is closed")
        self._refusal_when_closed = refusal
        self._refuse_waiting(refusal)

    async def wait_idle(self) -> None:
        """Waits until the target runs no request of this gate."""
        await self._idle.wait()

    def update_target(self, capacity: int, instance: str) -> None:
        """Adopts the capacity and instance that the target announced."""
        if capacity != self._capacity:
            self._capacity = capacity
            self._adaptive_limit.resize(capacity)
            self._warmup.resize(capacity)
            self._queue.max_length = capacity * _QUEUE_LENGTH_PER_CAPACITY
        self._on_instance(instance)

    async def run(
        self,
        request: requests.Request,
        placement: dispatch_lib.SlotId | None,
        permit: dispatch_lib.SlotPermit,
        cancellation: dispatch_lib.Cancellation | None = None,
    ) -> outcomes.Outcome:
        """Runs a request on the target when its turn comes.

        Args:
          request: The request.
          placement: Its slot, None for requests that need no slot.
          permit: Permit for the slot, taken just before dispatch; it refuses
            if this member no longer owns the slot.
          cancellation: Lets the sender cancel the request.

        Returns:
          The outcome. A request cancelled while it waits is refused; one
          cancelled while it runs is unknown.
        """
        cancellation = cancellation or dispatch_lib.Cancellation()
        refusal = self._check_admission(request)
        if cancellation.cancelled:
            refusal = _refused_cancelled()
        if refusal is not None:
            return self._count_outcome(refusal)
        outcome = asyncio.get_running_loop().create_future()
        ticket = _Ticket(request, placement, permit, outcome)
        cancellation.on_cancel(lambda: self._cancel(ticket))
        self._enqueue(ticket)
        try:
            return self._count_outcome(await outcome)
        except asyncio.CancelledError:
            self._cancel(ticket)
            raise
        finally:
            cancellation.on_cancel(None)

    def _check_admission(
        self, request: requests.Request
    ) -> outcomes.Refused | None:
        if self._refusal_when_closed is not None:
            return self._refusal_when_closed
        if self.health_check.is_down:
            return _refused_target_down()
        if self.quarantine.is_quarantined(request.fingerprint):
            return _refused_quarantined()
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        if (
            remaining_ms <= 0
            or self._estimate_latency_ms(request) > remaining_ms
        ):
            return outcomes.Refused(
                outcomes.RefusalReason.DEADLINE,
                "the request would not finish before its deadline",
            )
        if self._queue.is_full():
            return outcomes.Refused(
                outcomes.RefusalReason.OVERLOADED, "the queue is full"
            )
        return None

    def _estimate_latency_ms(self, request: requests.Request) -> float:
        """Estimates the time until the request would be answered."""
        if not self._running:
            # An idle target gets any request. Otherwise long service times of
            # the past could refuse all requests for ever, as no new request
            # would correct the estimate.
            return 0
        ahead = self._queue.count_ahead_of(request.deadline_ms)
        over_limit = len(self._running) + ahead + 1 - self.limit
        rounds = max(0, over_limit) / self.limit
        wait_ms = rounds * self._service_times.median_ms()
        return wait_ms + self._service_times.quantile_ms(_SERVICE_TIME_QUANTILE)

    def _enqueue(self, ticket: _Ticket) -> None:
        self._queue.push(ticket)
        self._start_waiting()
        if self._queue.head() is ticket:
            self._restart_expiry()

    def _start_waiting(self) -> None:
        """Dispatches waiting requests in their order while they may start."""
        while (ticket := self._queue.head()) is not None:
            fingerprint = ticket.request.fingerprint
            if self.quarantine.is_quarantined(fingerprint):
                self._refuse_if_waiting(ticket, _refused_quarantined())
                continue
            suspect = self.quarantine.is_suspect(fingerprint)
            if not self._may_start(suspect):
                return
            self._queue.remove(ticket)
            self._start(ticket, suspect)

    def _may_start(self, suspect: bool) -> bool:
        if suspect:
            return not self._running
        return self._running_suspect is None and len(self._running) < self.limit

    def _start(self, ticket: _Ticket, suspect: bool) -> None:
        """Dispatches a request, with no await after the last checks."""
        epoch_or_refusal = self._acquire_permit(ticket)
        if isinstance(epoch_or_refusal, outcomes.Refused):
            ticket.resolve(epoch_or_refusal)
            return
        dispatch = dispatch_lib.Dispatch(
            dispatch_id=f"{self._id_prefix}-{next(self._dispatch_numbers)}",
            placement=ticket.placement,
            epoch=epoch_or_refusal,
            deadline_ms=min(ticket.deadline_ms, self._lease.expires_ms()),
        )
        ticket.crash_count = self._crash_count
        self._running.add(ticket)
        self._idle.clear()
        if suspect:
            self._running_suspect = ticket
        ticket.task = asyncio.create_task(self._dispatch(ticket, dispatch))
        # A callback instead of `finally`: the body of a task that is cancelled
        # before its first step never runs.
        ticket.task.add_done_callback(lambda _: self._finish(ticket))

    def _acquire_permit(self, ticket: _Ticket) -> ids.Epoch | outcomes.Refused:
        now_ms = self._clock.now_ms()
        if ticket.deadline_ms <= now_ms:
            return outcomes.Refused(
                outcomes.RefusalReason.DEADLINE, "the deadline has passed"
            )
        if not self._lease.is_held() or self._lease.expires_ms() <= now_ms:
            return outcomes.Refused(
                outcomes.RefusalReason.LEASE_LAPSED,
                "this member does not hold its lease",
            )
        try:
            return ticket.permit.acquire()
        except Exception as error:
            logger.opt(exception=error).error(
                "slot permit raised an exception; the request is refused"
            )
            return outcomes.Refused(
                outcomes.RefusalReason.NOT_OWNER, "the slot permit failed"
            )

    def _finish(self, ticket: _Ticket) -> None:
        if ticket.sent:
            ticket.resolve(_unknown_failed())
        else:
            ticket.resolve(_refused_cancelled())
        self._running.discard(ticket)
        if self._running_suspect is ticket:
            self._running_suspect = None
        if not self._running:
            self._idle.set()
        try:
            ticket.permit.release()
        finally:
            self._start_waiting()

    def _refuse_waiting(self, refusal: outcomes.Refused) -> None:
        for ticket in self._queue.pop_all():
            ticket.resolve(refusal)

    def _refuse_if_waiting(
        self, ticket: _Ticket, refusal: outcomes.Refused
    ) -> None:
        if self._queue.remove(ticket):
            ticket.resolve(refusal)

    def _cancel(self, ticket: _Ticket) -> None:
        """Cancels a request that waits or runs.

        Called by the sender's cancellation, and if its task is cancelled.
        """
        self._refuse_if_waiting(ticket, _refused_cancelled())
        resolved = ticket.outcome.done() and not ticket.outcome.cancelled()
        if ticket.task is not None and not resolved:
            ticket.task.cancel()
        self._start_waiting()

    def _restart_expiry(self) -> None:
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        self._expiry_task = asyncio.create_task(self._refuse_expired())

    async def _refuse_expired(self) -> None:
        """Refuses waiting requests at their deadlines."""
        while (head := self._queue.head()) is not None:
            remaining_ms = head.deadline_ms - self._clock.now_ms()
            if remaining_ms > 0:
                await self._clock.sleep_ms(remaining_ms)
                continue
            refusal = outcomes.Refused(
                outcomes.RefusalReason.DEADLINE,
                "the deadline passed while the request waited",
            )
            self._refuse_if_waiting(head, refusal)
            # The refused request may have been a suspect that had to wait until
            # nothing else runs; the next one may start at once.
            self._start_waiting()

    async def _dispatch(
        self, ticket: _Ticket, dispatch: dispatch_lib.Dispatch
    ) -> None:
        """Runs one dispatch; returns when the target has certainly ended it."""
        ticket.sent = True
        started_ms = self._clock.now_ms()
        result = await self._dispatch_to_target(ticket, dispatch)
        self._record_result(ticket, result, self._clock.now_ms() - started_ms)
        ticket.resolve(result.outcome)
        unresolved = isinstance(result.outcome, outcomes.Unknown)
        if unresolved and not result.crashed:
            await self._cancel_and_wait(dispatch)

    async def _dispatch_to_target(
        self, ticket: _Ticket, dispatch: dispatch_lib.Dispatch
    ) -> dispatch_lib.DispatchResult:
        try:
            return await self._target.dispatch(ticket.request, dispatch)
        except asyncio.CancelledError:
            unknown = outcomes.Unknown(
                outcomes.UnknownReason.CANCELLED,
                "the request was cancelled while it ran",
            )
        except Exception as error:
            logger.opt(exception=error).error(
                "dispatch raised an exception; the outcome is unknown"
            )
            unknown = _unknown_failed()
        return dispatch_lib.DispatchResult(unknown)

    async def _cancel_and_wait(self, dispatch: dispatch_lib.Dispatch) -> None:
        """Cancels a dispatch and waits until the target no longer runs it.

        The target stops by itself at the deadline, which bounds the wait if it
        does not confirm the cancellation.
        """
        if dispatch.deadline_ms <= self._clock.now_ms():
            return
        if await self._target.cancel(dispatch.dispatch_id):
            return
        remaining_ms = dispatch.deadline_ms - self._clock.now_ms()
        if remaining_ms > 0:
            await self._clock.sleep_ms(remaining_ms)

    def _record_result(
        self,
        ticket: _Ticket,
        result: dispatch_lib.DispatchResult,
        service_ms: int,
    ) -> None:
        if result.instance is not None:
            self._on_instance(result.instance)
        if result.crashed:
            self._on_crash(ticket)
            return
        match result.outcome:
            case outcomes.Answered(status=status):
                self.health_check.record_response()
                if status < _SERVER_ERROR_STATUS:
                    self._on_success(ticket, service_ms)
            case outcomes.Unknown(reason=outcomes.UnknownReason.DEADLINE):
                self._on_time_out(service_ms)
            case outcomes.Refused(reason=outcomes.RefusalReason.TARGET_DOWN):
                self.health_check.record_failure()
            case outcomes.Refused(reason=outcomes.RefusalReason.TARGET_REFUSED):
                self.health_check.record_response()

    def _on_success(self, ticket: _Ticket, service_ms: int) -> None:
        request = ticket.request
        self.quarantine.record_success(request.fingerprint, request.regions)
        if ticket.crash_count != self._crash_count:
            return
        median_ms = self._service_times.median_ms()
        if self._warmup.record_success(service_ms, median_ms):
            self._metrics.increment("gate.cold_by_service_time")
            # The median starts anew from the slow times. Otherwise a target
            # that stays slow would be treated as cold again and again.
            self._service_times.clear()
        self._service_times.add(service_ms)
        self._adaptive_limit.update(self._service_times)

    def _on_time_out(self, waited_ms: int) -> None:
        """Records a time-out: the service time is at least `waited_ms`."""
        if waited_ms > self._service_times.median_ms():
            self._service_times.add(waited_ms)
            self._adaptive_limit.update(self._service_times)

    def _on_crash(self, ticket: _Ticket) -> None:
        self.health_check.record_failure()
        if ticket.crash_count != self._crash_count:
            return
        in_flight = {
            running.request.fingerprint: running.request.regions
            for running in self._running
            if running.crash_count == self._crash_count
        }
        self._crash_count += 1
        self._metrics.increment("gate.target_crashes")
        self._reset_to_cold()
        self.quarantine.record_crash(in_flight)

    def _on_instance(self, instance: str) -> None:
        if instance == self._instance:
            return
        if self._instance is not None:
            self._metrics.increment("gate.target_instances")
            self._reset_to_cold()
        self._instance = instance
        self._on_new_instance()

    def _on_health_change(self, down: bool) -> None:
        if down:
            self._refuse_waiting(_refused_target_down())
        else:
            self._reset_to_cold()
        self._on_target_down(down)

    def _reset_to_cold(self) -> None:
        self._warmup.restart()
        self._adaptive_limit.resize(self._capacity)
        self._service_times.clear()

    def _count_outcome(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        match outcome:
            case outcomes.Answered():
                self._metrics.increment("gate.answered")
            case outcomes.Refused(reason=refusal):
                self._metrics.increment(f"gate.refused.{refusal.value}")
            case outcomes.Unknown(reason=unknown):
                self._metrics.increment(f"gate.unknown.{unknown.value}")
        return outcome
