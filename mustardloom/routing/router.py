"""Routing of a request from the ingress to the target that answers it."""

import asyncio
from collections.abc import Callable
from collections.abc import Set

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.declarations import model
from mustardloom.membership import records
from mustardloom.ownership import slot_map as slot_map_lib
from mustardloom.ownership import slots
from mustardloom.routing import candidates
from mustardloom.routing import forwarders
from mustardloom.routing import hedging
from mustardloom.routing import home_regions
from mustardloom.routing import retries
from mustardloom.routing import routes

__all__ = ["Router"]

# Placeholder: unkeyed requests to a gate belong to no slot.
_NO_SLOT = ids.SlotIndex(0)
_MIN_OWNER_WAIT_MS = 10
_MAX_OWNER_WAIT_MS = 80
# Owner hints followed without a pause. Without this bound, two daemons with
# different views of a slot could name each other in a busy loop.
_MAX_CONSECUTIVE_HINTS = 3
_BYTES_SENT = "router.cross_region_bytes_sent"
_BYTES_RECEIVED = "router.cross_region_bytes_received"
_HEADER_OVERHEAD_BYTES = 4


def _headers_bytes(headers: tuple[outcomes.Header, ...]) -> int:
    return sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in headers
    )


def _request_bytes(request: requests.Request) -> int:
    head = len(request.method) + len(request.path)
    return head + _headers_bytes(request.headers) + len(request.body)


def _outcome_bytes(outcome: outcomes.Outcome) -> int:
    match outcome:
        case outcomes.Answered():
            return _headers_bytes(outcome.headers) + len(outcome.body)
        case outcomes.Refused() | outcomes.Unknown():
            return len(outcome.detail)


class Router:
    """Routes requests of callers to slot owners and target gates.

    Args:
      region: Region of this ingress.
      table: Returns the routes of the configuration in force.
      members: View of all members.
      slot_map: View of all slot owners.
      chooser: Selects targets for unkeyed requests.
      forwarder: Transport to other members and to the local gate.
      clock: Source of time.
      metrics: Receives counters of attempts and of bytes between regions.
    """

    def __init__(
        self,
        region: ids.RegionId,
        table: Callable[[], routes.RouteTable],
        members: records.MemberView,
        slot_map: slot_map_lib.SlotMap,
        chooser: candidates.TargetChooser,
        forwarder: forwarders.Forwarder,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._region = region
        self._table = table
        self._members = members
        self._slot_map = slot_map
        self._chooser = chooser
        self._forwarder = forwarder
        self._clock = clock
        self._metrics = metrics
        self._hedger = hedging.Hedger()
        self._retries = retries.RetryPolicy(clock)

    async def route(self, request: requests.Request) -> outcomes.Outcome:
        """Routes a request that this ingress received; returns its outcome.

        Keyed requests and those that aren't idempotent go to the owner of a
        slot, all others to any target.
        """
        if not home_regions.permits(request.regions, self._region):
            self._metrics.increment("router.home_region_refusals")
            return home_regions.refusal(self._members, request.regions)
        service = self._table().services.get(request.service)
        if service is None:
            return outcomes.Refused(
                outcomes.RefusalReason.NO_ROUTE,
                f"service {request.service!r} is not declared",
            )
        self._retries.record_request()
        if service.keyed:
            return await self._route_to_owner(request, service, request.key)
        if request.idempotent:
            return await self._route_to_any(request)
        return await self._route_to_owner(request, service, request.request_id)

    async def dispatch_once(
        self, request: requests.Request
    ) -> outcomes.Outcome:
        """Runs an unkeyed request at one gate, as the owner of its id.

        Another gate is tried only after a refusal, which proves that the
        request did not run. The caller must have recorded the id.
        """
        tried: set[ids.MemberId] = set()
        latest: outcomes.Refused | None = None
        while True:
            record = self._choose(request, tried)
            if record is None:
                return latest or self._no_target(request)
            tried.add(record.member)
            outcome = await self._attempt(record, request)
            if not isinstance(outcome, outcomes.Refused):
                return outcome
            if not self._allow_retry(request, outcome):
                return outcome
            latest = outcome

    async def _route_to_owner(
        self,
        request: requests.Request,
        service: model.Service,
        slot_name: str | None,
    ) -> outcomes.Outcome:
        if slot_name is None:
            return outcomes.Refused(
                outcomes.RefusalReason.MALFORMED,
                "the request has neither key nor id",
            )
        group = slots.group_of(request.service, request.regions)
        slot = slots.slot_of(slot_name, service.slot_count)
        search = _OwnerSearch(self._clock, request.deadline_ms)
        outcome: outcomes.Outcome | None = None
        while True:
            owner = self._owner(request, group, slot, search.hint)
            latest = await self._ask_owner(owner, request, group, slot)
            outcome = retries.merge_outcomes(outcome, latest)
            if not self._may_ask_owner_again(request, latest):
                return outcome
            if not await search.wait(latest):
                return outcome

    def _may_ask_owner_again(
        self, request: requests.Request, outcome: outcomes.Outcome
    ) -> bool:
        match outcome:
            case outcomes.Refused(reason=outcomes.RefusalReason.TARGET_REFUSED):
                # A target that has just started has no grants at first.
                return self._allow_retry(request, outcome)
            case outcomes.Refused(reason=reason):
                return reason in retries.UNCHARGED_REASONS
            case outcomes.Unknown():
                return self._allow_retry(request, outcome)
            case outcomes.Answered():
                return False

    def _owner(
        self,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        hint: ids.MemberId | None,
    ) -> records.MemberRecord | None:
        """Returns the hinted owner, or else the mapped one.

        Returns None if neither may get the request.
        """
        entry = self._slot_map.entry(group, slot)
        mapped = entry.owner if entry is not None else None
        for member in (hint, mapped):
            record = self._members.by_id.get(member) if member else None
            if record is None or record.state is records.MemberState.FENCED:
                continue
            if home_regions.permits(request.regions, record.region):
                return record
        return None

    async def _route_to_any(
        self, request: requests.Request
    ) -> outcomes.Outcome:
        self._hedger.record_request()
        tried: set[ids.MemberId] = set()
        outcome: outcomes.Outcome | None = None
        while True:
            record = self._choose(request, tried)
            if record is None:
                return outcome or self._no_target(request)
            latest = await self._hedged(record, request, tried)
            outcome = retries.merge_outcomes(outcome, latest)
            if not self._allow_retry(request, latest):
                return outcome

    async def _hedged(
        self,
        record: records.MemberRecord,
        request: requests.Request,
        tried: set[ids.MemberId],
    ) -> outcomes.Outcome:
        """Sends a request, and a hedge elsewhere if the answer is late."""
        started_ms = self._clock.now_ms()
        tried.add(record.member)
        delay_ms = self._hedger.delay_ms(request.route)
        if delay_ms is None or not self._hedger.may_hedge():
            outcome = await self._attempt(record, request)
        else:
            outcome = await self._race(record, request, tried, delay_ms)
        if isinstance(outcome, outcomes.Answered):
            latency_ms = self._clock.now_ms() - started_ms
            self._hedger.record_latency(request.route, latency_ms)
        return outcome

    async def _race(
        self,
        record: records.MemberRecord,
        request: requests.Request,
        tried: set[ids.MemberId],
        delay_ms: int,
    ) -> outcomes.Outcome:
        first = asyncio.create_task(self._attempt(record, request))
        timer = asyncio.create_task(self._clock.sleep_ms(delay_ms))
        tasks: list[asyncio.Task[outcomes.Outcome]] = [first]
        try:
            await asyncio.wait(
                (first, timer), return_when=asyncio.FIRST_COMPLETED
            )
            if not first.done():
                tasks.extend(self._start_hedge(request, tried))
            return await _first_answer(tasks)
        finally:
            timer.cancel()
            for task in tasks:
                task.cancel()
            await asyncio.gather(timer, *tasks, return_exceptions=True)

    def _start_hedge(
        self, request: requests.Request, tried: set[ids.MemberId]
    ) -> list[asyncio.Task[outcomes.Outcome]]:
        if self._clock.now_ms() >= request.deadline_ms:
            return []
        record = self._choose(request, tried)
        if record is None or not self._hedger.try_take():
            return []
        tried.add(record.member)
        self._metrics.increment("router.hedges")
        return [asyncio.create_task(self._attempt(record, request))]

    def _choose(
        self, request: requests.Request, tried: Set[ids.MemberId]
    ) -> records.MemberRecord | None:
        return self._chooser.choose(
            request.service, request.regions, tried, request.idempotent
        )

    async def _attempt(
        self, record: records.MemberRecord, request: requests.Request
    ) -> outcomes.Outcome:
        """Sends a request to a gate and records the result for the chooser."""
        group = slots.group_of(request.service, request.regions)
        attempt = self._chooser.start_attempt(record.member)
        forwarded: forwarders.Forwarded | None = None
        try:
            forwarded = await self._send(
                record, forwarders.Destination.GATE, request, group, _NO_SLOT
            )
        finally:
            self._chooser.finish_attempt(attempt, forwarded)
        return forwarded.outcome

    async def _ask_owner(
        self,
        record: records.MemberRecord | None,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> outcomes.Outcome:
        if record is None:
            return outcomes.Refused(
                outcomes.RefusalReason.NO_OWNER,
                f"slot {slot} of {group} has no owner",
            )
        forwarded = await self._send(
            record, forwarders.Destination.OWNER, request, group, slot
        )
        return forwarded.outcome

    async def _send(
        self,
        record: records.MemberRecord,
        destination: forwarders.Destination,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> forwarders.Forwarded:
        is_cross_region = record.region != self._region
        if is_cross_region:
            self._metrics.increment(_BYTES_SENT, _request_bytes(request))
        forwarded = await self._forwarder.forward(
            record.member, destination, request, group, slot
        )
        if is_cross_region:
            size = _outcome_bytes(forwarded.outcome)
            self._metrics.increment(_BYTES_RECEIVED, size)
        return forwarded

    def _allow_retry(
        self, request: requests.Request, outcome: outcomes.Outcome
    ) -> bool:
        if not self._retries.allow_retry(request, outcome):
            return False
        self._metrics.increment("router.retries")
        return True

    def _no_target(self, request: requests.Request) -> outcomes.Refused:
        return outcomes.Refused(
            outcomes.RefusalReason.NO_TARGET,
            f"no target of {request.service} is in service",
        )


class _OwnerSearch:
    """Owner hints and back-off while the owner of a slot is unclear.

    Attributes:
      hint: Owner named by the latest refusal, if any.
    """

    def __init__(self, clock: clock_lib.Clock, deadline_ms: int):
        self._clock = clock
        self._deadline_ms = deadline_ms
        self._consecutive_hints = 0
        self._wait_ms = _MIN_OWNER_WAIT_MS
        self.hint: ids.MemberId | None = None

    async def wait(self, outcome: outcomes.Outcome) -> bool:
        """Prepares the next attempt; returns False at the deadline.

        Follows a hint at once; without a hint, or after too many of them,
        waits with exponential back-off.
        """
        self.hint = None
        if isinstance(outcome, outcomes.Refused):
            self.hint = outcome.owner
        if self.hint and self._consecutive_hints < _MAX_CONSECUTIVE_HINTS:
            self._consecutive_hints += 1
            return self._remaining_ms() > 0
        self._consecutive_hints = 0
        if self._remaining_ms() <= self._wait_ms:
            return False
        await self._clock.sleep_ms(self._wait_ms)
        self._wait_ms = min(2 * self._wait_ms, _MAX_OWNER_WAIT_MS)
        return True

    def _remaining_ms(self) -> int:
        return self._deadline_ms - self._clock.now_ms()


async def _first_answer(
    tasks: list[asyncio.Task[outcomes.Outcome]],
) -> outcomes.Outcome:
    """Returns the first answer, or the merged outcome if there is none."""
    merged: outcomes.Outcome | None = None
    for finished in asyncio.as_completed(tasks):
        merged = retries.merge_outcomes(merged, await finished)
        if isinstance(merged, outcomes.Answered):
            return merged
    assert merged is not None
    return merged
