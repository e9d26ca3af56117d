"""Runs forwarded requests as owner of their slot or at the local gate."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.admission import gate as gate_lib
from mustardloom.daemon import adapters
from mustardloom.daemon import configuration as configuration_lib
from mustardloom.daemon import incarnation as incarnation_lib
from mustardloom.ownership import slot_admission
from mustardloom.ownership import slots
from mustardloom.routing import forwarders

__all__ = ["RequestHandlers"]

DispatchOnce = Callable[[requests.Request], Awaitable[outcomes.Outcome]]

_NO_TARGET = outcomes.Refused(
    outcomes.RefusalReason.NO_TARGET,
    "no target has announced itself to this daemon",
)


class RequestHandlers:
    """Handlers of requests sent to this daemon as owner or as gate.

    Attributes:
      gate: Gate of the local target, None before its first announcement.
    """

    def __init__(
        self,
        current_incarnation: Callable[[], incarnation_lib.Incarnation],
        configuration: configuration_lib.Configuration,
        dispatch_once: DispatchOnce,
        metrics: metrics_lib.Metrics,
    ):
        self.gate: gate_lib.Gate | None = None
        self._current_incarnation = current_incarnation
        self._configuration = configuration
        self._dispatch_once = dispatch_once
        self._metrics = metrics
        self._detached: set[asyncio.Task[outcomes.Outcome]] = set()
        self._regrant: asyncio.Task[None] | None = None

    def track_regrant(self, task: "asyncio.Task[None]") -> None:
        """Tracks the task that grants all slots to a new target instance."""
        self._regrant = task

    async def handle_at_gate(
        self, request: requests.Request, group: ids.GroupId, slot: ids.SlotIndex
    ) -> forwarders.Forwarded:
        """Runs a request that needs no slot at the local target."""
        del group, slot
        if self.gate is None:
            return forwarders.Forwarded(_NO_TARGET)
        outcome = await self._run(request, None, dispatch_lib.NoSlotPermit())
        return forwarders.Forwarded(outcome, self._load())

    async def handle_as_owner(
        self, request: requests.Request, group: ids.GroupId, slot: ids.SlotIndex
    ) -> forwarders.Forwarded:
        """Runs a request of a slot that this daemon owns.

        A non-idempotent request runs at most once per request id. Requests of
        unkeyed services may run at any target.
        """
        service = self._configuration.table.services.get(request.service)
        if service is None or slots.group_service(group) != request.service:
            refusal = outcomes.Refused(
                outcomes.RefusalReason.NO_ROUTE,
                f"service {request.service!r} is not declared here",
            )
            return forwarders.Forwarded(refusal)
        work: Awaitable[outcomes.Outcome]
        if service.keyed:
            work = self._run_keyed(request, group, slot)
        else:
            work = self._run_unkeyed(request, group, slot)
        if request.idempotent:
            outcome = await work
        else:
            outcome = await self._detach(work)
        return forwarders.Forwarded(outcome, self._load())

    async def _detach(
        self, work: Awaitable[outcomes.Outcome]
    ) -> outcomes.Outcome:
        """Lets a non-idempotent request finish if its caller disconnects.

        A resend then gets the recorded answer. If the run were cancelled, its
        id would stay unresolved.
        """
        task = asyncio.ensure_future(work)
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _run_keyed(
        self, request: requests.Request, group: ids.GroupId, slot: ids.SlotIndex
    ) -> outcomes.Outcome:
        incarnation = self._current_incarnation()
        refusal = await self._await_slot(incarnation, request, group, slot)
        if refusal is not None:
            return refusal
        if self.gate is None:
            return _NO_TARGET
        placement = dispatch_lib.SlotId(group, slot)
        permit = adapters.OwnedSlotPermit(incarnation.holdings, group, slot)
        if request.idempotent:
            return await self._run_granted(request, placement, permit)
        self._open_request_ids(incarnation, placement)
        return await incarnation.request_ids.run(
            placement,
            request,
            lambda: self._run_granted(request, placement, permit),
            lambda: permit.was_admitted,
        )

    async def _run_granted(
        self,
        request: requests.Request,
        placement: dispatch_lib.SlotId,
        permit: dispatch_lib.SlotPermit,
    ) -> outcomes.Outcome:
        """Runs a request, once more if a restarted target lacked its grants.

        A target that was restarted refuses everything until its slots are
        granted to it again, which begins with its first answer.
        """
        known = self._regrant
        was_pending = known is not None and not known.done()
        outcome = await self._run(request, placement, permit)
        regrant = self._regrant
        is_new = regrant is not known or was_pending
        if regrant is None or not (is_new and _is_refused_by_target(outcome)):
            return outcome
        self._metrics.increment("serving.waits_for_grants")
        await asyncio.wait((regrant,))
        return await self._run(request, placement, permit)

    async def _run_unkeyed(
        self, request: requests.Request, group: ids.GroupId, slot: ids.SlotIndex
    ) -> outcomes.Outcome:
        """Runs an unkeyed request once; its slot only records the request id.

        The request stays admitted to the slot until its outcome is known, so
        that a planned move of the slot waits for it.
        """
        incarnation = self._current_incarnation()
        refusal = await self._await_slot(incarnation, request, group, slot)
        if refusal is not None:
            return refusal
        permit = adapters.OwnedSlotPermit(incarnation.holdings, group, slot)
        admission = permit.acquire()
        if isinstance(admission, outcomes.Refused):
            return admission
        placement = dispatch_lib.SlotId(group, slot)
        try:
            self._open_request_ids(incarnation, placement)
            return await incarnation.request_ids.run(
                placement, request, lambda: self._dispatch_once(request)
            )
        finally:
            permit.release()

    async def _await_slot(
        self,
        incarnation: incarnation_lib.Incarnation,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> outcomes.Refused | None:
        """Waits while the slot moves here; returns why it is not served here.

        The request does not count as running yet: it is admitted again when it
        starts.
        """
        result = incarnation.holdings.admit(group, slot)
        if isinstance(result, slot_admission.Incoming):
            self._metrics.increment("serving.waits_for_slot")
            result = await result.wait(request.deadline_ms)
        if isinstance(result, slot_admission.Admitted):
            incarnation.holdings.end_request(group, slot)
        return adapters.refusal_of(result)

    def _open_request_ids(
        self,
        incarnation: incarnation_lib.Incarnation,
        placement: dispatch_lib.SlotId,
    ) -> None:
        cut_off_ms = incarnation.holdings.unknown_before_wall_ms(
            placement.group, placement.slot
        )
        service = self._configuration.table.services.get(
            slots.group_service(placement.group)
        )
        if service is not None:
            incarnation.request_ids.set_retention(
                service.request_id_retention_ms
            )
        incarnation.request_ids.ensure_slot(placement, cut_off_ms)

    async def _run(
        self,
        request: requests.Request,
        placement: dispatch_lib.SlotId | None,
        permit: dispatch_lib.SlotPermit,
    ) -> outcomes.Outcome:
        assert self.gate is not None
        return await self.gate.run(request, placement, permit)

    def _load(self) -> forwarders.GateLoad | None:
        if self.gate is None:
            return None
        load = self.gate.load
        return forwarders.GateLoad(load.running, load.queued, load.limit)


def _is_refused_by_target(outcome: outcomes.Outcome) -> bool:
    return (
        isinstance(outcome, outcomes.Refused)
        and outcome.reason is outcomes.RefusalReason.TARGET_REFUSED
    )
