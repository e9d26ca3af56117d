"""Runs forwarded requests: as the owner of a slot, or at the own gate."""

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
from mustardloom.ownership import holdings as holdings_lib
from mustardloom.ownership import slots
from mustardloom.routing import forwarders

__all__ = ["RequestHandlers"]

DispatchOnce = Callable[[requests.Request], Awaitable[outcomes.Outcome]]

_NO_TARGET = outcomes.Refused(
    outcomes.RefusalReason.NO_TARGET, "no target has announced itself here"
)


class RequestHandlers:
    """Handlers of requests that reach this daemon as owner or gate.

    Attributes:
      gate: Gate of the local target, None before its first announcement.
    """

    def __init__(
        self,
        life: Callable[[], incarnation_lib.Incarnation],
        configuration: configuration_lib.Configuration,
        dispatch_once: DispatchOnce,
        metrics: metrics_lib.Metrics,
    ):
        self.gate: gate_lib.Gate | None = None
        self._life = life
        self._configuration = configuration
        self._dispatch_once = dispatch_once
        self._metrics = metrics
        self._detached: set[asyncio.Task[outcomes.Outcome]] = set()

    async def on_gate(
        self, request: requests.Request, group: ids.GroupId, slot: ids.SlotIndex
    ) -> forwarders.Forwarded:
        """Runs a request at the local target."""
        del group, slot
        if self.gate is None:
            return forwarders.Forwarded(_NO_TARGET)
        outcome = await self._run(request, None, dispatch_lib.NoSlotPermit())
        return forwarders.Forwarded(outcome, self._load())

    async def on_owner(
        self, request: requests.Request, group: ids.GroupId, slot: ids.SlotIndex
    ) -> forwarders.Forwarded:
        """Runs a request of an own slot, once if it is not idempotent."""
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
            work = self._run_at_home(request, group, slot)
        if request.idempotent:
            outcome = await work
        else:
            outcome = await self._detach(work)
        return forwarders.Forwarded(outcome, self._load())

    async def _detach(
        self, work: Awaitable[outcomes.Outcome]
    ) -> outcomes.Outcome:
        """Lets a non-idempotent request finish when its caller is gone.

        A resend then gets the recorded answer; a cancelled run would leave its
        id unresolved for good.
        """
        task = asyncio.ensure_future(work)
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _run_keyed(
        self, request: requests.Request, group: ids.GroupId, slot: ids.SlotIndex
    ) -> outcomes.Outcome:
        life = self._life()
        refusal = await self._await_slot(life, request, group, slot)
        if refusal is not None:
            return refusal
        if self.gate is None:
            return _NO_TARGET
        placement = dispatch_lib.SlotId(group, slot)
        entry = adapters.SlotEntry(life.holdings, group, slot)
        if request.idempotent:
            return await self._run(request, placement, entry)
        self._open_ids(life, placement)
        return await life.request_ids.run(
            placement,
            request,
            lambda: self._run(request, placement, entry),
            lambda: entry.has_entered,
        )

    async def _run_at_home(
        self, request: requests.Request, group: ids.GroupId, slot: ids.SlotIndex
    ) -> outcomes.Outcome:
        """Runs an unkeyed request once, as the home of its id.

        The slot stays entered until the end, so that a planned move waits for
        the outcome.
        """
        life = self._life()
        refusal = await self._await_slot(life, request, group, slot)
        if refusal is not None:
            return refusal
        entry = adapters.SlotEntry(life.holdings, group, slot)
        entered = entry.acquire()
        if isinstance(entered, outcomes.Refused):
            return entered
        placement = dispatch_lib.SlotId(group, slot)
        try:
            self._open_ids(life, placement)
            return await life.request_ids.run(
                placement, request, lambda: self._dispatch_once(request)
            )
        finally:
            entry.release()

    async def _await_slot(
        self,
        life: incarnation_lib.Incarnation,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> outcomes.Refused | None:
        """Waits while the slot is on its way here; returns why it is not."""
        result = life.holdings.admit(group, slot)
        if isinstance(result, holdings_lib.Incoming):
            self._metrics.increment("serving.waits_for_slot")
            result = await result.wait(request.deadline_ms)
        if isinstance(result, holdings_lib.Admitted):
            life.holdings.end_request(group, slot)
        return adapters.refusal_of(result)

    def _open_ids(
        self, life: incarnation_lib.Incarnation, placement: dispatch_lib.SlotId
    ) -> None:
        cut_off_ms = life.holdings.unknown_before_wall_ms(
            placement.group, placement.slot
        )
        service = self._configuration.table.services.get(
            slots.group_service(placement.group)
        )
        if service is not None:
            life.request_ids.set_retention(service.request_id_retention_ms)
        life.request_ids.ensure_slot(placement, cut_off_ms)

    async def _run(
        self,
        request: requests.Request,
        placement: dispatch_lib.SlotId | None,
        entry: dispatch_lib.SlotPermit,
    ) -> outcomes.Outcome:
        assert self.gate is not None
        return await self.gate.run(request, placement, entry)

    def _load(self) -> forwarders.GateLoad | None:
        if self.gate is None:
            return None
        load = self.gate.load
        return forwarders.GateLoad(load.running, load.queued, load.limit)
