"""The only path by which work reaches the local target."""

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

_QUEUE_PER_CAPACITY = 2
_SERVICE_QUANTILE = 0.9
# Statuses from here on do not show that the target is warm or unharmed.
_SERVER_ERROR_STATUS = 500


def _cancelled() -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.CANCELLED, "the request was cancelled"
    )


def _failed() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.UnknownReason.INTERNAL, "the dispatch failed"
    )


def _target_down() -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.TARGET_DOWN, "the target does not answer"
    )


def _quarantined() -> outcomes.Refused:
    return outcomes.Refused(
        outcomes.RefusalReason.QUARANTINED,
        "the request crashed targets and is in quarantine",
    )


@dataclasses.dataclass(eq=False, slots=True)
class _Ticket:
    """One request at the gate.

    Attributes:
      outcome: What the sender gets.
      call: The dispatch, None while the request waits.
      generation: Crashes that the gate had seen before the dispatch.
      sent: Whether the target may have got the request.
    """

    request: requests.Request
    placement: dispatch_lib.SlotId | None
    entry: dispatch_lib.SlotPermit
    outcome: asyncio.Future[outcomes.Outcome]
    call: asyncio.Task[None] | None = None
    generation: int = 0
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
      queued: Requests that wait.
      limit: Current concurrency limit.
    """

    running: int
    queued: int
    limit: int


class Gate:
    """Holds the exact concurrency limit of one target.

    At any time at most min(capacity, adaptive limit, warm-up limit) requests
    are dispatched. A request counts as dispatched until the target answered,
    confirmed its cancellation, was lost, or the deadline that it was given
    has passed.

    Example:
      gate = Gate(clock, target_client, lease, capacity=6, ...)
      outcome = await gate.run(request, placement, entry)
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
        """Creates an open gate for a target that counts as cold.

        Args:
          clock: Source of time.
          target: Client of the target.
          lease: Lease of this member.
          capacity: Concurrent requests that the target can handle when warm.
          metrics: Receives the counters `gate.*`.
          on_suspect: Called with a fingerprint and its crashes, to tell the
            other gates of the service; 0 crashes clears the suspect.
          on_target_down: Called with True when the target has been away too
            long, and with False when it is back.
          on_new_instance: Called when another run of the target process
            answers, which has no grants yet.
        """
        self.quarantine = quarantine_lib.Quarantine(clock, on_suspect)
        self.health_check = health_check.HealthCheck(
            clock, target, self._on_presence, self._on_instance
        )
        self._clock = clock
        self._target = target
        self._lease = lease
        self._metrics = metrics
        self._on_target_down = on_target_down
        self._on_new_instance = on_new_instance
        self._capacity = capacity
        self._adaptive = limits.AdaptiveLimit(capacity)
        self._warmup = warmup_lib.Warmup(capacity)
        self._times = limits.ServiceTimes()
        self._queue: deadline_queue.DeadlineQueue[_Ticket] = (
            deadline_queue.DeadlineQueue(capacity * _QUEUE_PER_CAPACITY)
        )
        self._running: set[_Ticket] = set()
        self._alone: _Ticket | None = None
        self._closed: outcomes.Refused | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._instance: str | None = None
        # Grows with each crash, so that the lost requests of one crash are
        # not counted as several crashes.
        self._generation = 0
        self._prefix = secrets.token_hex(4)
        self._numbers = itertools.count(1)
        self._expiry: asyncio.Task[None] | None = None

    @property
    def limit(self) -> int:
        """Returns how many requests may be dispatched at once."""
        return min(self._capacity, self._adaptive.value, self._warmup.value)

    @property
    def load(self) -> GateLoad:
        """Returns the current load."""
        return GateLoad(len(self._running), len(self._queue), self.limit)

    def open(self) -> None:
        """Admits requests again."""
        self._closed = None

    def close(self, reason: outcomes.RefusalReason, detail: str = "") -> None:
        """Refuses all waiting and future requests; running ones finish."""
        refusal = outcomes.Refused(reason, detail or "the gate is closed")
        self._closed = refusal
        self._refuse_waiting(refusal)

    async def wait_idle(self) -> None:
        """Waits until the target runs none of our requests."""
        await self._idle.wait()

    def update_target(self, capacity: int, instance: str) -> None:
        """Adopts what the target announced about itself."""
        if capacity != self._capacity:
            self._capacity = capacity
            self._adaptive.resize(capacity)
            self._warmup.resize(capacity)
            self._queue.max_length = capacity * _QUEUE_PER_CAPACITY
        self._on_instance(instance)

    async def run(
        self,
        request: requests.Request,
        placement: dispatch_lib.SlotId | None,
        entry: dispatch_lib.SlotPermit,
        cancellation: dispatch_lib.Cancellation | None = None,
    ) -> outcomes.Outcome:
        """Runs a request on the target when its turn comes.

        Args:
          request: The request.
          placement: Its slot, None for requests that need no slot.
          entry: Asked right before dispatch whether the slot is still ours.
          cancellation: Lets the sender take the request back.

        Returns:
          The outcome. A request cancelled while it waits is refused; one
          cancelled while it runs is unknown.
        """
        cancellation = cancellation or dispatch_lib.Cancellation()
        refusal = self._check(request)
        if cancellation.cancelled:
            refusal = _cancelled()
        if refusal is not None:
            return self._counted(refusal)
        outcome = asyncio.get_running_loop().create_future()
        ticket = _Ticket(request, placement, entry, outcome)
        cancellation.on_cancel(lambda: self._cancel(ticket))
        self._enqueue(ticket)
        try:
            return self._counted(await outcome)
        except asyncio.CancelledError:
            self._cancel(ticket)
            raise
        finally:
            cancellation.on_cancel(None)

    def _check(self, request: requests.Request) -> outcomes.Refused | None:
        if self._closed is not None:
            return self._closed
        if self.health_check.is_down:
            return _target_down()
        if self.quarantine.is_quarantined(request.fingerprint):
            return _quarantined()
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0 or self._expected_ms(request) > remaining_ms:
            return outcomes.Refused(
                outcomes.RefusalReason.DEADLINE,
                "the request would not finish before its deadline",
            )
        if self._queue.is_full():
            return outcomes.Refused(
                outcomes.RefusalReason.OVERLOADED, "the queue is full"
            )
        return None

    def _expected_ms(self, request: requests.Request) -> float:
        if not self._running:
            # An idle target gets any request; otherwise past service times
            # could refuse all requests for ever.
            return 0
        ahead = self._queue.count_ahead_of(request.deadline_ms)
        busy = len(self._running) + ahead + 1 - self.limit
        rounds = max(0, busy) / self.limit
        wait_ms = rounds * self._times.median_ms()
        return wait_ms + self._times.quantile_ms(_SERVICE_QUANTILE)

    def _enqueue(self, ticket: _Ticket) -> None:
        self._queue.push(ticket)
        self._pump()
        if self._queue.head() is ticket:
            self._watch_expiry()

    def _pump(self) -> None:
        while (ticket := self._queue.head()) is not None:
            fingerprint = ticket.request.fingerprint
            if self.quarantine.is_quarantined(fingerprint):
                self._withdraw(ticket, _quarantined())
                continue
            suspect = self.quarantine.is_suspect(fingerprint)
            if not self._may_start(suspect):
                return
            self._queue.remove(ticket)
            self._start(ticket, suspect)

    def _may_start(self, suspect: bool) -> bool:
        if suspect:
            return not self._running
        return self._alone is None and len(self._running) < self.limit

    def _start(self, ticket: _Ticket, suspect: bool) -> None:
        """Dispatches a request; nothing is awaited after the last checks."""
        entered = self._enter(ticket)
        if isinstance(entered, outcomes.Refused):
            ticket.resolve(entered)
            return
        dispatch = dispatch_lib.Dispatch(
            dispatch_id=f"{self._prefix}-{next(self._numbers)}",
            placement=ticket.placement,
            epoch=entered,
            deadline_ms=min(ticket.deadline_ms, self._lease.expires_ms()),
        )
        ticket.generation = self._generation
        self._running.add(ticket)
        self._idle.clear()
        if suspect:
            self._alone = ticket
        ticket.call = asyncio.create_task(self._dispatch(ticket, dispatch))
        # A callback and not a `finally`: the body of a task that is cancelled
        # before its first step never runs.
        ticket.call.add_done_callback(lambda _: self._finish(ticket))

    def _enter(self, ticket: _Ticket) -> ids.Epoch | outcomes.Refused:
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
            return ticket.entry.acquire()
        except Exception as error:
            logger.opt(exception=error).error("slot entry failed")
            return outcomes.Refused(
                outcomes.RefusalReason.NOT_OWNER, "the slot cannot be entered"
            )

    def _finish(self, ticket: _Ticket) -> None:
        if ticket.sent:
            ticket.resolve(_failed())
        else:
            ticket.resolve(_cancelled())
        self._running.discard(ticket)
        if self._alone is ticket:
            self._alone = None
        if not self._running:
            self._idle.set()
        try:
            ticket.entry.release()
        finally:
            self._pump()

    def _refuse_waiting(self, refusal: outcomes.Refused) -> None:
        for ticket in self._queue.pop_all():
            ticket.resolve(refusal)

    def _withdraw(self, ticket: _Ticket, refusal: outcomes.Refused) -> None:
        if self._queue.remove(ticket):
            ticket.resolve(refusal)

    def _cancel(self, ticket: _Ticket) -> None:
        """Takes a request back, also when the task of its sender ended."""
        self._withdraw(ticket, _cancelled())
        resolved = ticket.outcome.done() and not ticket.outcome.cancelled()
        if ticket.call is not None and not resolved:
            ticket.call.cancel()
        self._pump()

    def _watch_expiry(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        self._expiry = asyncio.create_task(self._expire())

    async def _expire(self) -> None:
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
            self._withdraw(head, refusal)
            # The next one may be startable where a suspect had to wait.
            self._pump()

    async def _dispatch(
        self, ticket: _Ticket, dispatch: dispatch_lib.Dispatch
    ) -> None:
        """Runs one dispatch and holds its place until it is certainly over."""
        ticket.sent = True
        started_ms = self._clock.now_ms()
        result = await self._call(ticket, dispatch)
        self._observe(ticket, result, self._clock.now_ms() - started_ms)
        ticket.resolve(result.outcome)
        unresolved = isinstance(result.outcome, outcomes.Unknown)
        if unresolved and not result.crashed:
            await self._settle(dispatch)

    async def _call(
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
            logger.opt(exception=error).error("dispatch failed")
            unknown = _failed()
        return dispatch_lib.DispatchResult(unknown)

    async def _settle(self, dispatch: dispatch_lib.Dispatch) -> None:
        """Waits until the target certainly does not run the request.

        The target stops at the deadline by itself, so that the wait is bounded
        also when it does not confirm the cancellation.
        """
        if dispatch.deadline_ms <= self._clock.now_ms():
            return
        if await self._target.cancel(dispatch.dispatch_id):
            return
        remaining_ms = dispatch.deadline_ms - self._clock.now_ms()
        if remaining_ms > 0:
            await self._clock.sleep_ms(remaining_ms)

    def _observe(
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
                self._on_late(service_ms)
            case outcomes.Refused(reason=outcomes.RefusalReason.TARGET_DOWN):
                self.health_check.record_failure()
            case outcomes.Refused(reason=outcomes.RefusalReason.TARGET_REFUSED):
                self.health_check.record_response()

    def _on_success(self, ticket: _Ticket, service_ms: int) -> None:
        request = ticket.request
        self.quarantine.record_success(request.fingerprint, request.regions)
        if ticket.generation != self._generation:
            return
        usual_ms = self._times.median_ms()
        if self._warmup.record_success(service_ms, usual_ms):
            self._metrics.increment("gate.cold_by_service_time")
            # The slow times become the usual ones; otherwise a target that
            # stays slow would be treated as cold again and again.
            self._times.clear()
        self._times.add(service_ms)
        self._adaptive.update(self._times)

    def _on_late(self, waited_ms: int) -> None:
        """Learns from a request whose service time is at least `waited_ms`."""
        if waited_ms > self._times.median_ms():
            self._times.add(waited_ms)
            self._adaptive.update(self._times)

    def _on_crash(self, ticket: _Ticket) -> None:
        self.health_check.record_failure()
        if ticket.generation != self._generation:
            return
        in_flight = {
            running.request.fingerprint: running.request.regions
            for running in self._running
            if running.generation == self._generation
        }
        self._generation += 1
        self._metrics.increment("gate.target_crashes")
        self._turned_cold()
        self.quarantine.record_crash(in_flight)

    def _on_instance(self, instance: str) -> None:
        if instance == self._instance:
            return
        if self._instance is not None:
            self._metrics.increment("gate.target_instances")
            self._turned_cold()
        self._instance = instance
        self._on_new_instance()

    def _on_presence(self, down: bool) -> None:
        if down:
            self._refuse_waiting(_target_down())
        else:
            self._turned_cold()
        self._on_target_down(down)

    def _turned_cold(self) -> None:
        self._warmup.restart()
        self._adaptive.resize(self._capacity)
        self._times.clear()

    def _counted(self, outcome: outcomes.Outcome) -> outcomes.Outcome:
        match outcome:
            case outcomes.Answered():
                self._metrics.increment("gate.answered")
            case outcomes.Refused(reason=refusal):
                self._metrics.increment(f"gate.refused.{refusal.value}")
            case outcomes.Unknown(reason=unknown):
                self._metrics.increment(f"gate.unknown.{unknown.value}")
        return outcome
