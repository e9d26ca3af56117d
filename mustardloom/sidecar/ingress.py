"""Entry point for the requests of callers on this VM."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import requests
from mustardloom.deployment import configuration
from mustardloom.http1 import bodies
from mustardloom.http1 import messages
from mustardloom.load_control import organisations
from mustardloom.load_control import refused_requests
from mustardloom.load_control import waiting
from mustardloom.load_control import weighted_round_robin
from mustardloom.platform import headers
from mustardloom.sidecar import events
from mustardloom.sidecar import request_ends
from mustardloom.sidecar import router as router_lib
from mustardloom.sidecar import work

__all__ = ["Caps", "Ingress", "NoCaps"]

_MS_PER_S = 1_000
_NOT_FOUND = 404
_BAD_REQUEST = 400
_UNAUTHORISED = 401
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMEOUT = 504
_NO_CONFIGURATION_RETRY_MS = 300
# Only a new configuration changes which regions are allowed.
_NO_REGION_RETRY_MS = 3_000


class Caps(Protocol):
    """Usage caps of organisations; see `usage_caps.UsageCaps`."""

    async def admit(
        self, organisation: ids.OrganisationId, deadline_ms: int
    ) -> int | None:
        """Returns None for a request that is admitted, else when to retry."""

    def give_back(
        self, organisation: ids.OrganisationId, admitted_ms: int
    ) -> None:
        """Takes back what a request that was not offered to a target used."""


class NoCaps:
    """Admits all requests."""

    async def admit(
        self, organisation: ids.OrganisationId, deadline_ms: int
    ) -> int | None:
        """See `Caps`."""
        del organisation, deadline_ms
        return None

    def give_back(
        self, organisation: ids.OrganisationId, admitted_ms: int
    ) -> None:
        """See `Caps`."""


class Ingress:
    """Matches requests to routes and turns outcomes into responses."""

    def __init__(
        self,
        router: router_lib.Router,
        service: ids.ServiceId,
        current: Callable[[], configuration.Configuration | None],
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
        ends: request_ends.RequestEnds,
        caps: Caps | None = None,
    ):
        self._caps = caps or NoCaps()
        self._ends = ends
        self._router = router
        self._service = service
        self._current_configuration = current
        # Timers of the open calls of targets, by the request that they run.
        self._timers_by_parent: dict[str, set[asyncio.Timeout]] = {}
        self._refused_requests = refused_requests.RefusedRequests()
        self._service_choice = weighted_round_robin.WeightedRoundRobin()
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def handle(self, request: messages.Request) -> messages.Response:
        """Runs a caller's request and returns the response to it.

        The status is 404 without a matching route, 401 without a valid API key
        where one is needed, 400 without a request id, 429 above the cap of the
        organisation, 503 if the request was certainly not run, and 502 or 504
        if it may have run; otherwise the response is that of the target.
        """
        fields = headers.read_request(request)
        current = self._current_configuration()
        if current is None:
            return self._refuse(
                fields.request_id,
                work.Refused(
                    work.RefusalReason.NO_CONFIGURATION,
                    _NO_CONFIGURATION_RETRY_MS,
                ),
                None,
            )
        route = current.route_for(fields.host, request.target)
        if route is None:
            return headers.refusal(
                _NOT_FOUND, fields.request_id, None, "no route"
            )
        organisation = None
        if current.has_organisations:
            identified = organisations.identify(
                current, route, headers.read_credentials(request.headers)
            )
            if isinstance(identified, organisations.Rejection):
                return self._reject(fields.request_id, route, identified)
            organisation = identified
            request = dataclasses.replace(
                request, headers=headers.without_identity(request.headers)
            )
        return await self._handle_identified(
            request, fields, current, route, organisation
        )

    async def _handle_identified(
        self,
        request: messages.Request,
        fields: headers.CallerFields,
        current: configuration.Configuration,
        route: configuration.Route,
        organisation: configuration.Organisation | None,
    ) -> messages.Response:
        """Runs a request whose route and organisation are known."""
        if not fields.request_id:
            return headers.refusal(_BAD_REQUEST, "", None, "no request id")
        wait_ms = route.timeout_ms
        if fields.deadline_ms is not None:
            wait_ms = min(wait_ms, fields.deadline_ms)
        service_name = self._service_choice.next_service(
            route.name, route.shares
        )
        routed = self._make_work(
            request, fields, route, organisation, service_name, wait_ms
        )
        regions = organisations.common_regions(route, organisation)
        if regions is None:
            refused = work.Refused(
                work.RefusalReason.NO_REGION, _NO_REGION_RETRY_MS
            )
            return self._refuse(routed.request_id, refused, routed)
        if regions != route.home_regions:
            route = dataclasses.replace(route, home_regions=regions)
        service = current.service_by_name.get(
            service_name, configuration.Service(service_name)
        )
        return await self._respond(routed, route, service)

    def answer_malformed(
        self, request: messages.Request, head: bytes
    ) -> messages.Response | None:
        """Returns the answer to a request whose head is not valid.

        Args:
          request: The request as far as it was read.
          head: The bytes of its head that have arrived.

        Returns:
          The answer if the fault is an API key on several lines, else None.
        """
        current = self._current_configuration()
        if current is None or not current.has_organisations:
            return None
        if not headers.has_folded_credential(head):
            return None
        fields = headers.read_request(request)
        route = current.route_for(fields.host, request.target)
        if route is not None and route.is_exempt:
            return None
        return self._reject(
            fields.request_id, route, organisations.Rejection.FOLDED
        )

    def _reject(
        self,
        request_id: str,
        route: configuration.Route | None,
        rejection: organisations.Rejection,
    ) -> messages.Response:
        """Logs why a request has no valid API key; the response omits it."""
        self._metrics.increment(f"ingress.unauthorised.{rejection.value}")
        self._log.write(
            events.Event.REQUEST_UNAUTHORISED,
            request=request_id,
            route=None if route is None else route.name,
            organisation=None,
            reason=rejection.value,
        )
        return headers.refusal(
            _UNAUTHORISED, request_id, None, "no valid API key"
        )

    def end_calls(self, parent: str) -> None:
        """Ends the calls that the target sent for a request.

        Args:
          parent: Id of the request, whose run was ended.
        """
        for timer in self._timers_by_parent.get(parent, ()):
            if not timer.expired():
                timer.reschedule(asyncio.get_running_loop().time())
                self._metrics.increment("ingress.calls_ended")

    def _start_timer(self, request: work.Work) -> asyncio.Timeout:
        """Returns the timer of a request; that of a call may be ended."""
        left_ms = request.deadline_ms - self._clock.now_ms()
        timer = asyncio.timeout(max(0, left_ms) / _MS_PER_S)
        if request.is_call:
            parent = headers.parent_of(request.request_id)
            self._timers_by_parent.setdefault(parent, set()).add(timer)
        return timer

    def _drop_timer(self, request: work.Work, timer: asyncio.Timeout) -> None:
        if not request.is_call:
            return
        parent = headers.parent_of(request.request_id)
        timers = self._timers_by_parent[parent]
        timers.discard(timer)
        if not timers:
            del self._timers_by_parent[parent]

    def _make_work(
        self,
        request: messages.Request,
        fields: headers.CallerFields,
        route: configuration.Route,
        organisation: configuration.Organisation | None,
        service: ids.ServiceId,
        wait_ms: int,
    ) -> work.Work:
        kept = tuple(
            header
            for header in request.headers
            if header[0].lower() not in messages.HOP_BY_HOP
        )
        first_bytes = request.body
        if isinstance(request.rest, bodies.Body):
            first_bytes = request.rest.first_bytes(bodies.INLINE_BYTES)
        name = None if organisation is None else organisation.name
        fingerprint = requests.fingerprint(
            route.name,
            request.method,
            request.target,
            name,
            None if fields.key is None else str(fields.key),
            first_bytes,
        )
        deadline_ms = request.received_ms + wait_ms
        # A retry keeps the objective of the attempt that was refused.
        objective_ms = self._refused_requests.objective_ms(
            fingerprint, request.received_ms + route.objective_ms, deadline_ms
        )
        return work.Work(
            service=service,
            method=request.method,
            target=request.target,
            headers=kept,
            body=request.body,
            request_id=fields.request_id,
            route=route.name,
            caller_service=self._service,
            is_idempotent=route.is_idempotent,
            priority=organisations.priority_of(route, organisation),
            objective_ms=objective_ms,
            deadline_ms=deadline_ms,
            key=fields.key,
            fingerprint=fingerprint,
            is_call=fields.is_call,
            rest=request.rest,
            organisation=name,
        )

    async def _respond(
        self,
        request: work.Work,
        route: configuration.Route,
        service: configuration.Service,
    ) -> messages.Response:
        started_ms = admitted_ms = self._clock.now_ms()
        timer = self._start_timer(request)
        try:
            async with timer:
                if request.organisation is not None:
                    retry_ms = await self._caps.admit(
                        request.organisation, request.deadline_ms
                    )
                    if retry_ms is not None:
                        return self._refuse_over_cap(request, retry_ms)
                    admitted_ms = self._clock.now_ms()
                outcome = await self._router.route(request, route, service)
        except TimeoutError:
            outcome = work.Failed(work.FailureReason.DEADLINE)
        except asyncio.CancelledError:
            # The caller has left, or this daemon ends.
            self._log_abandoned(request, started_ms)
            raise
        finally:
            self._drop_timer(request, timer)
        outcome_name = type(outcome).__name__.lower()
        self._metrics.increment(f"ingress.{outcome_name}")
        waited_ms = self._clock.now_ms() - started_ms
        self._metrics.observe(f"ingress.{outcome_name}_ms", waited_ms)
        match outcome:
            case work.Answered(response):
                return response
            case work.Refused() as refused:
                self._count_own_answer(request, _UNAVAILABLE)
                if request.organisation is not None and not refused.was_offered:
                    self._caps.give_back(request.organisation, admitted_ms)
                return self._refuse(request.request_id, refused, request)
            case work.Failed(reason):
                return self._fail(request, reason, started_ms)

    def _count_own_answer(self, request: work.Work, status: int) -> None:
        self._ends.count_answer(status, request.progress.gates > 0)

    def _log_abandoned(self, request: work.Work, started_ms: int) -> None:
        now_ms = self._clock.now_ms()
        self._metrics.increment("ingress.abandoned")
        self._log.write(
            events.Event.REQUEST_ABANDONED,
            request=request.request_id,
            route=request.route,
            waited_ms=now_ms - started_ms,
            left_ms=request.deadline_ms - now_ms,
        )

    def _refuse_over_cap(
        self, request: work.Work, retry_ms: int
    ) -> messages.Response:
        self._metrics.increment("ingress.over_cap")
        self._log.write(
            events.Event.REQUEST_OVER_CAP,
            request=request.request_id,
            route=request.route,
            organisation=request.organisation,
            reason="usage-cap",
            retry_after_ms=retry_ms,
            left_ms=request.deadline_ms - self._clock.now_ms(),
        )
        return headers.refusal(
            _TOO_MANY_REQUESTS, request.request_id, retry_ms, "usage cap"
        )

    def _refuse(
        self,
        request_id: str,
        refused: work.Refused,
        request: work.Work | None,
    ) -> messages.Response:
        retry_ms = refused.retry_after_ms
        left_ms = None
        if request is not None:
            left_ms = request.deadline_ms - self._clock.now_ms()
            self._refused_requests.record_refusal(
                request.fingerprint, request.objective_ms, request.deadline_ms
            )
            retry_ms = waiting.honoured_retry_ms(
                retry_ms, left_ms, random.random()
            )
        self._log.write(
            events.Event.REQUEST_REFUSED,
            request=request_id,
            route=request.route if request is not None else None,
            reason=refused.reason.value,
            retry_after_ms=retry_ms,
            left_ms=left_ms,
        )
        return headers.refusal(
            _UNAVAILABLE, request_id, retry_ms, refused.reason.value
        )

    def _fail(
        self,
        request: work.Work,
        reason: work.FailureReason,
        started_ms: int,
    ) -> messages.Response:
        is_expired = reason is work.FailureReason.DEADLINE
        event = events.Event.REQUEST_FAILED
        if is_expired:
            event = events.Event.REQUEST_EXPIRED
        self._log.write(
            event,
            request=request.request_id,
            route=request.route,
            reason=reason.value,
            waited_ms=self._clock.now_ms() - started_ms,
            left_ms=request.deadline_ms - self._clock.now_ms(),
            gates=request.progress.gates,
            step=self._ends.step.value,
        )
        status = _TIMEOUT if is_expired else _BAD_GATEWAY
        self._count_own_answer(request, status)
        return headers.refusal(status, request.request_id, None, reason.value)
