"""Finds the target of a request, and another one if need be."""

from collections.abc import Callable
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import configuration
from mustardloom.deployment import settings
from mustardloom.keys import key_map
from mustardloom.load_control import placement
from mustardloom.load_control import retry_budget
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import work

__all__ = ["Router"]

# Refusals by gates reach no target; so many are worth the time.
_MAX_GATES = 4
# Time left below which another attempt cannot be answered.
_MIN_LEFT_MS = 15
_MAX_OWNER_HOPS = 4
_OWNER_RETRY_MS = 60
_RETRY_AFTER_MS = 250

KeyMapLookup = Callable[[ids.ServiceId], key_map.KeyMap | None]


@dataclasses.dataclass(slots=True)
class _Attempts:
    """What was tried for one request.

    Attributes:
      offered: Targets that it was offered to.
      latest: The last outcome.
      has_run: Whether one of them may have run it.
    """

    offered: int = 0
    latest: work.Outcome | None = None
    has_run: bool = False


class Router:
    """Routes requests to gates."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        forwarder: forwarder_lib.Forwarder,
        map_of: KeyMapLookup,
        bounds: settings.Bounds,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
    ):
        self._fleet = fleet
        self._forwarder = forwarder
        self._map_of = map_of
        self._terms = retry_budget.RetryLimits(
            bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_minimum
        )
        self._budget_by_service: dict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = {}
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def route(
        self,
        request: work.Work,
        route: configuration.Route,
        service: configuration.Service,
    ) -> work.Outcome:
        """Returns the outcome of a request for a service."""
        self._budget(service.name).record_request(self._clock.now_ms())
        if not service.is_keyed:
            request = dataclasses.replace(request, key=None)
            return await self._to_any(request, route, service)
        if request.key is None:
            return work.Refused(work.RefusalReason.NO_KEY)
        return await self._to_owner(request, route, service)

    # Services without keys.

    async def _to_any(
        self,
        request: work.Work,
        route: configuration.Route,
        service: configuration.Service,
    ) -> work.Outcome:
        attempts = _Attempts()
        tried: set[ids.VmId] = set()
        while len(tried) < _MAX_GATES and self._has_time(request):
            view = placement.choose(
                peer.view
                for peer in self._fleet.candidates(
                    service.name, route.home_regions, tried
                )
            )
            if view is None:
                break
            tried.add(view.vm)
            outcome = await self._forwarder.send(view.vm, request, False)
            if not self._may_repeat(
                request, route, service.name, outcome, attempts
            ):
                break
            self._fleet.deprioritise(view.vm)
        return _conclusion(attempts)

    def _may_repeat(
        self,
        request: work.Work,
        route: configuration.Route,
        service: ids.ServiceId,
        outcome: work.Outcome,
        attempts: _Attempts,
    ) -> bool:
        """Records an outcome and decides whether another target is asked."""
        attempts.latest = _better(attempts.latest, outcome)
        match outcome:
            case work.Answered(response):
                attempts.offered += 1
                attempts.has_run = True
                if response.status < 500 or not request.is_idempotent:
                    return False
            case work.Refused(was_offered=True):
                attempts.offered += 1
            case work.Refused(reason):
                return reason not in _FINAL_REFUSALS
            case work.Failed():
                attempts.offered += 1
                attempts.has_run = True
                if not request.is_idempotent:
                    return False
        if attempts.offered >= route.max_attempts:
            return False
        daemons = len(self._fleet.by_vm)
        now_ms = self._clock.now_ms()
        if not self._budget(service).try_take(now_ms, daemons):
            self._metrics.increment("router.repeats_denied")
            return False
        self._metrics.increment("router.repeats")
        self._log.write(
            events.Event.REQUEST_REPEATED,
            request=request.request_id,
            service=service,
            after=_name(outcome),
            offered=attempts.offered,
            left_ms=request.deadline_ms - now_ms,
        )
        return True

    # Services divided by key.

    async def _to_owner(
        self,
        request: work.Work,
        route: configuration.Route,
        service: configuration.Service,
    ) -> work.Outcome:
        attempts = _Attempts()
        hint = work.NO_VM
        for _ in range(_MAX_OWNER_HOPS):
            if not self._has_time(request):
                break
            mapped = self._owner(request, service.name)
            if hint and not self._is_allowed(hint, route):
                # The earlier owner may get nothing more, so the keys are
                # about to arrive at their new owner.
                hint = work.NO_VM
            owner = hint or mapped
            if not owner or not self._is_allowed(owner, route):
                attempts.latest = _better(
                    attempts.latest,
                    work.Refused(work.RefusalReason.NO_OWNER, _RETRY_AFTER_MS),
                )
                break
            # The owner by the map waits for keys that are on their way, once
            # the earlier owner was asked.
            may_wait = hint == work.NO_VM and attempts.latest is not None
            outcome = await self._forwarder.send(owner, request, may_wait)
            is_elsewhere = (
                isinstance(outcome, work.Refused)
                and outcome.reason is work.RefusalReason.NOT_OWNER
            )
            if is_elsewhere:
                assert isinstance(outcome, work.Refused)
                attempts.latest = _better(attempts.latest, outcome)
                if outcome.was_offered:
                    attempts.offered += 1
                asked_earlier = hint != work.NO_VM
                hint = work.NO_VM if asked_earlier else outcome.owner
                if attempts.offered >= route.max_attempts:
                    break
                if not hint and not asked_earlier and may_wait:
                    await self._clock.sleep_ms(_OWNER_RETRY_MS)
                continue
            if not self._may_repeat(
                request, route, service.name, outcome, attempts
            ):
                break
            if isinstance(outcome, work.Refused) and not outcome.was_offered:
                break
            hint = work.NO_VM
        return _conclusion(attempts)

    def _owner(self, request: work.Work, service: ids.ServiceId) -> ids.VmId:
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

    def _has_time(self, request: work.Work) -> bool:
        return request.deadline_ms - self._clock.now_ms() > _MIN_LEFT_MS

    def _budget(self, service: ids.ServiceId) -> retry_budget.RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self._terms)
            self._budget_by_service[service] = budget
        return budget


_FINAL_REFUSALS = frozenset(
    (work.RefusalReason.QUARANTINED, work.RefusalReason.DEADLINE)
)


def _better(before: work.Outcome | None, latest: work.Outcome) -> work.Outcome:
    """Returns which of two outcomes the caller is told.

    A refusal after something that may have run would be a false promise.
    """
    match before, latest:
        case None, _:
            return latest
        case _, work.Answered():
            return latest
        case ((work.Answered() | work.Failed()), _):
            return before
        case work.Refused(reason=work.RefusalReason.NOT_OWNER), _:
            return latest
        case work.Refused(), work.Refused():
            retry_ms = min(before.retry_after_ms, latest.retry_after_ms)
            return dataclasses.replace(latest, retry_after_ms=retry_ms)
        case _:
            return latest


def _conclusion(attempts: _Attempts) -> work.Outcome:
    if attempts.latest is not None:
        return attempts.latest
    return work.Refused(work.RefusalReason.NO_TARGET, _RETRY_AFTER_MS)


def _name(outcome: work.Outcome) -> str:
    match outcome:
        case work.Answered(response):
            return f"status {response.status}"
        case work.Refused(reason):
            return reason.value
        case work.Failed(reason):
            return reason.value
