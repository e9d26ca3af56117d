"""Chooses the target of a request, and another one for each retry."""

from collections.abc import Callable
import dataclasses
import functools

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import configuration
from mustardloom.deployment import settings
from mustardloom.keys import key_map
from mustardloom.load_control import retry_budget
from mustardloom.sidecar import attempts as attempts_lib
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import target_selection
from mustardloom.sidecar import work

__all__ = ["Router"]

# With less time left than this, another attempt cannot be answered.
_MIN_LEFT_MS = 50
# Most owners, current and earlier ones, that are asked for one request.
_MAX_OWNER_HOPS = 4
_OWNER_RETRY_MS = 60
_RETRY_AFTER_MS = 250
# The error of a target is returned this long before the deadline.
_ANSWER_MARGIN_MS = 20
_MS_PER_S = 1_000

_NO_TARGET = work.Refused(work.RefusalReason.NO_TARGET, _RETRY_AFTER_MS)

# Returns the newest key map of a service, None if there is none.
KeyMapLookup = Callable[[ids.ServiceId], key_map.KeyMap | None]


class Router:
    """Routes requests to gates."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        selection: target_selection.TargetSelection,
        forwarder: forwarder_lib.Forwarder,
        map_of: KeyMapLookup,
        bounds: settings.Bounds,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
    ):
        self._fleet = fleet
        self._selection = selection
        self._forwarder = forwarder
        self._map_of = map_of
        self._retry_limits = _retry_limits(bounds)
        self._retry_budget_by_service: dict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = {}
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Adopts changed bounds; what was counted so far stays counted."""
        self._retry_limits = _retry_limits(bounds)
        for budget in self._retry_budget_by_service.values():
            budget.limits = self._retry_limits

    async def route(
        self,
        request: work.Work,
        route: configuration.Route,
        service: configuration.Service,
    ) -> work.Outcome:
        """Runs a request at a target of its service.

        Returns:
          The outcome, after retries as far as the route, the request's deadline
          and the retry budget of the service allow.
        """
        self._retry_budget(service.name).record_request(self._clock.now_ms())
        if service.is_keyed and request.key is None:
            return work.Refused(work.RefusalReason.NO_KEY)
        attempts = attempts_lib.Attempts(self._log.write_fault)
        try:
            if service.is_keyed:
                await self._try_owners(request, route, service, attempts)
            else:
                request = dataclasses.replace(request, key=None)
                await self._try_any(request, route, service, attempts)
            left_ms = request.deadline_ms - self._clock.now_ms()
            outcome = await attempts.final_outcome(
                (left_ms - _ANSWER_MARGIN_MS) / _MS_PER_S
            )
        finally:
            attempts.end()
        return outcome or _NO_TARGET

    async def _send(
        self, vm: ids.VmId, request: work.Work, may_wait: bool
    ) -> work.Attempt:
        request.progress.gates += 1
        attempt = await self._forwarder.send(vm, request, may_wait)
        if isinstance(attempt, work.Refused) and not attempt.was_offered:
            request.progress.gates -= 1
        return attempt

    # Services without keys.

    async def _try_any(
        self,
        request: work.Work,
        route: configuration.Route,
        service: configuration.Service,
        attempts: attempts_lib.Attempts,
    ) -> None:
        tried: set[ids.VmId] = set()
        max_gates = self._selection.max_gates(service.name, route.home_regions)
        while len(tried) < max_gates and self._may_be_sent(request):
            vm = await self._selection.choose(
                service.name, route.home_regions, tried
            )
            if vm is None:
                break
            tried.add(vm)
            attempt = await attempts.begin(
                functools.partial(self._send, vm, request, False)
            )
            if not self._may_retry(
                request, route, service.name, attempt, attempts
            ):
                break
            self._fleet.deprioritise(vm)

    def _may_retry(
        self,
        request: work.Work,
        route: configuration.Route,
        service: ids.ServiceId,
        attempt: work.Attempt,
        attempts: attempts_lib.Attempts,
    ) -> bool:
        """Counts an attempt; returns whether to ask another target."""
        match attempt:
            case work.Answered(response):
                attempts.offered += 1
                if response.status < 500 or not request.is_idempotent:
                    return False
            case work.Refused(was_offered=True):
                attempts.offered += 1
            case work.Refused(reason):
                return reason not in _NON_RETRYABLE_REASONS
            case work.Failed() | work.Unanswered():
                attempts.offered += 1
                if not request.is_idempotent:
                    return False
        if attempts.offered >= route.max_attempts:
            return False
        if not self._may_be_sent(request):
            return False
        if not self._take_retry(service):
            return False
        self._log.write(
            events.Event.REQUEST_REPEATED,
            request=request.request_id,
            service=service,
            after=_describe(attempt),
            offered=attempts.offered,
            left_ms=request.deadline_ms - self._clock.now_ms(),
        )
        return True

    def _take_retry(self, service: ids.ServiceId) -> bool:
        """Takes a repeat from the budget of a service, if one is left."""
        daemons = len(self._fleet.by_vm)
        now_ms = self._clock.now_ms()
        if not self._retry_budget(service).try_take(now_ms, daemons):
            self._metrics.increment("router.repeats_denied")
            return False
        self._metrics.increment("router.repeats")
        return True

    # Services with keys.

    async def _try_owners(
        self,
        request: work.Work,
        route: configuration.Route,
        service: configuration.Service,
        attempts: attempts_lib.Attempts,
    ) -> None:
        # Earlier owner to ask next, as named in the last refusal.
        hint = work.NO_VM
        for _ in range(_MAX_OWNER_HOPS):
            if not self._may_be_sent(request):
                break
            mapped = self._owner_in_map(request, service.name)
            if hint and not self._is_allowed(hint, route):
                # The earlier owner must not get requests any more, so it is
                # about to release the keys to their new owner.
                hint = work.NO_VM
            owner = hint or mapped
            if not owner or not self._is_allowed(owner, route):
                attempts.merge(
                    work.Refused(work.RefusalReason.NO_OWNER, _RETRY_AFTER_MS)
                )
                break
            # The owner in the map waits for a key that is being handed over
            # only after the earlier owner was asked.
            may_wait = hint == work.NO_VM and attempts.merged is not None
            attempt = await attempts.begin(
                functools.partial(self._send, owner, request, may_wait)
            )
            is_not_owner = (
                isinstance(attempt, work.Refused)
                and attempt.reason is work.RefusalReason.NOT_OWNER
            )
            if is_not_owner:
                assert isinstance(attempt, work.Refused)
                if attempt.was_offered:
                    attempts.offered += 1
                    if not self._take_retry(service.name):
                        break
                asked_earlier = hint != work.NO_VM
                hint = work.NO_VM if asked_earlier else attempt.owner
                if attempts.offered >= route.max_attempts:
                    break
                if not hint and not asked_earlier and may_wait:
                    await self._clock.sleep_ms(_OWNER_RETRY_MS)
                continue
            if not self._may_retry(
                request, route, service.name, attempt, attempts
            ):
                break
            if isinstance(attempt, work.Refused) and not attempt.was_offered:
                break
            hint = work.NO_VM

    def _owner_in_map(
        self, request: work.Work, service: ids.ServiceId
    ) -> ids.VmId:
        current = self._map_of(service)
        if current is None or request.key is None:
            return work.NO_VM
        return current.row_of(request.key).owner

    def _is_allowed(self, vm: ids.VmId, route: configuration.Route) -> bool:
        peer = self._fleet.by_vm.get(vm)
        if peer is None or self._fleet.is_evacuated(vm):
            return False
        return not route.home_regions or (
            peer.record.region in route.home_regions
        )

    def _may_be_sent(self, request: work.Work) -> bool:
        """Returns whether a request has time left, and all of its body."""
        left_ms = request.deadline_ms - self._clock.now_ms()
        return request.is_whole() and left_ms > _MIN_LEFT_MS

    def _retry_budget(self, service: ids.ServiceId) -> retry_budget.RetryBudget:
        budget = self._retry_budget_by_service.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self._retry_limits)
            self._retry_budget_by_service[service] = budget
        return budget


def _retry_limits(bounds: settings.Bounds) -> retry_budget.RetryLimits:
    return retry_budget.RetryLimits(
        bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_minimum
    )


_NON_RETRYABLE_REASONS = frozenset(
    (
        work.RefusalReason.QUARANTINED,
        work.RefusalReason.DEADLINE,
        work.RefusalReason.BROKEN_OFF,
        work.RefusalReason.ENDING,
    )
)


def _describe(attempt: work.Attempt) -> str:
    match attempt:
        case work.Answered(response):
            return f"status {response.status}"
        case work.Refused(reason):
            return reason.value
        case work.Failed(reason):
            return reason.value
        case work.Unanswered():
            return "unanswered"
