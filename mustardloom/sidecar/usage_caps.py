"""Admits the requests of organisations with a cap; see `load_control`.

Load pattern: requests of many organisations arrive at each daemon, most of them
below their caps. Each needs a token, which this daemon has or fetches from an
owner of a shard of the organisation's cap while the request waits.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import configuration
from mustardloom.deployment import settings
from mustardloom.load_control import placement
from mustardloom.load_control import usage_caps
from mustardloom.load_control import usage_ledger
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib

__all__ = ["UsageCaps"]

_MS_PER_S = 1_000
# Long enough for a query to another region and a second one elsewhere.
_MAX_WAIT_MS = 400
# A request that waits must leave its target the larger part of the time.
_WAIT_DIVISOR = 3
_ANSWER_TIMEOUT_MS = 250
# So many requests of one organisation wait at a daemon for a token that is
# about to be minted; more of them mean that it is above its cap.
_MAX_AWAITING_MINT = 4
_MAX_MINT_WAIT_MS = 250
# An owner that did not answer is not asked again for this long.
_FAILED_MS = 1_000
# More requests than this of one organisation do not wait at one daemon.
_MAX_WAITING = 512
# A change of the daemons takes effect after this, with those that follow it.
_ADOPT_DELAY_MS = 100
_CONFIRM_INTERVAL_MS = 250
# Successors that are cut off are asked less often.
_MAX_CONFIRM_INTERVAL_MS = 2_000
_UNKNOWN_RETRY_MS = 100
# Shorter times would bring callers back before anything has changed, and are
# written as 0.00 in Retry-After.
_MIN_RETRY_MS = 50
# Spreads the retries of requests that are refused together.
_RETRY_SPREAD = 0.2
_DISTANCES = tuple(placement.Distance)


class _Queue:
    """Requests of one organisation that wait, and what its owners said.

    Attributes:
      waiting: The requests; the result is None or the time until a retry.
      task: Fetches tokens for them, None if none does.
      denied_until_ms: Local time until which an owner has no tokens.
      failed_until_ms: Local time until which an owner counts as cut off.
    """

    __slots__ = ("denied_until_ms", "failed_until_ms", "task", "waiting")

    def __init__(self) -> None:
        self.waiting: collections.deque[asyncio.Future[int | None]] = (
            collections.deque()
        )
        self.task: asyncio.Task[None] | None = None
        self.denied_until_ms: dict[ids.VmId, int] = {}
        self.failed_until_ms: dict[ids.VmId, int] = {}

    def drop_done(self) -> None:
        """Forgets requests that no longer wait."""
        while self.waiting and self.waiting[0].done():
            self.waiting.popleft()

    def need(self) -> int:
        """Returns the number of requests that wait."""
        self.drop_done()
        return sum(1 for each in self.waiting if not each.done())

    def answer_first(self, result: int | None) -> None:
        """Ends the wait of the first request."""
        self.drop_done()
        if self.waiting:
            self.waiting.popleft().set_result(result)


class UsageCaps:
    """Admits requests, and answers the queries of other daemons for tokens.

    Without organisations that have a cap it sends and does nothing.

    Args:
      fleet: The daemons.
      links: Links to the other daemons.
      current: Returns the configuration in force, None before the first one.
      bounds: Limits on the behaviour of the fleet.
      clock: Source of time.
      log: Log of this daemon.
      metrics: Metrics of this daemon.
      start: Runs a coroutine as a task.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        current: Callable[[], configuration.Configuration | None],
        bounds: settings.Bounds,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
        start: Callable[[Coroutine[Any, Any, None]], None],
    ):
        self._fleet = fleet
        self._links = links
        self._current = current
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._start = start
        self._adopted: configuration.Configuration | None = None
        self._has_caps = False
        self._queue_by_organisation: dict[ids.OrganisationId, _Queue] = {}
        self._is_confirming = False
        self._is_adopting = False
        self._watch = usage_caps.ClockWatch()
        self._random = random.Random()
        self._ledger = usage_ledger.Ledger(
            fleet.own_record.vm, _tolerance(bounds), clock.now_ms()
        )

    def set_bounds(self, bounds: settings.Bounds) -> None:
        """Adopts new limits."""
        self._ledger.tolerance = _tolerance(bounds)

    def adopt(self) -> None:
        """Adopts the configuration in force and the known daemons.

        These are the daemons of the store's list and those that have connected:
        a list may be older than a link. Whether they can be reached is not
        considered.
        """
        current = self._current()
        if current is not self._adopted:
            self._adopted = current
            caps = _caps_of(current)
            self._has_caps = bool(caps)
            self._ledger.set_caps(caps)
            for name in self._queue_by_organisation.keys() - caps.keys():
                queue = self._queue_by_organisation.pop(name)
                for _ in range(queue.need()):
                    queue.answer_first(None)
        if not self._has_caps:
            return
        vms = (
            frozenset(self._fleet.by_vm)
            if self._fleet.has_list
            else frozenset()
        )
        if vms != self._ledger.ownership.ring.vms:
            self._ledger.ownership.set_listed(vms)
            self._watch.keep(self._ledger.ownership.ring.vms)
        self._ledger.open_buckets(self._clock.now_ms())
        if not self._is_confirming and self._ledger.ownership.unconfirmed():
            self._is_confirming = True
            self._start(self._confirm())

    def on_fleet_change(self) -> None:
        """Adopts a changed set of daemons soon; many may join at once."""
        if self._has_caps and not self._is_adopting:
            self._is_adopting = True
            self._start(self._adopt_later())

    async def _adopt_later(self) -> None:
        await self._clock.sleep_ms(_ADOPT_DELAY_MS)
        self._is_adopting = False
        self.adopt()

    async def admit(
        self, organisation: ids.OrganisationId, deadline_ms: int
    ) -> int | None:
        """Takes a token for a request, once for all its attempts.

        Args:
          organisation: Organisation of the request.
          deadline_ms: Local time by which the request must be answered.

        Returns:
          None if it is admitted, else the time until a retry may succeed.
        """
        if self._current() is not self._adopted:
            self.adopt()
        if not self._ledger.has_cap(organisation):
            return None
        now_ms = self._clock.now_ms()
        self._ledger.record_request(organisation, now_ms)
        queue = self._queue_by_organisation.get(organisation)
        if queue is None:
            queue = self._queue_by_organisation[organisation] = _Queue()
        queue.drop_done()
        if not queue.waiting and self._ledger.spend(organisation, now_ms):
            self._metrics.increment("usage_caps.admitted_at_once")
            self._prefetch(organisation, queue, now_ms)
            return None
        retry_ms = await self._wait(organisation, queue, deadline_ms)
        if retry_ms is None:
            self._metrics.increment("usage_caps.admitted_after_wait")
            return None
        self._metrics.increment("usage_caps.refused")
        spread = 1 + self._random.uniform(0, _RETRY_SPREAD)
        return round(max(_MIN_RETRY_MS, retry_ms) * spread)

    def give_back(
        self, organisation: ids.OrganisationId, admitted_ms: int
    ) -> None:
        """Returns the token of a request that was not offered to a target."""
        now_ms = self._clock.now_ms()
        if self._ledger.give_back(organisation, admitted_ms, now_ms):
            self._metrics.increment("usage_caps.given_back")

    def on_token_query(self, query: frames.TokenQuery) -> frames.TokenReply:
        """Gives tokens to another daemon."""
        self._metrics.increment("usage_caps.queries_answered")
        grant = self._ledger.grant(
            ids.OrganisationId(query.organisation),
            max(0, query.needed),
            max(0, query.ahead),
            self._clock.now_ms(),
        )
        return frames.TokenReply(
            query.number, grant.tokens, grant.retry_ms, grant.is_owner
        )

    def on_listing_query(
        self, vm: ids.VmId, query: frames.ListingQuery
    ) -> frames.ListingReply:
        """Tells a daemon whether it is one of those that are known here."""
        # Without caps nothing is minted here, so those known later count.
        if self._has_caps:
            self.adopt()
            is_listed = self._ledger.ownership.knows(vm)
        else:
            is_listed = vm in self._fleet.by_vm
        return frames.ListingReply(query.number, is_listed)

    def on_peer_clock(self, vm: ids.VmId, peer_ms: int) -> None:
        """Drops the tokens held if a peer's clock shows that this one stood."""
        if not self._has_caps:
            return
        lifetime_ms = self._ledger.tolerance.lifetime_ms()
        now_ms = self._clock.now_ms()
        if self._watch.stood_still(vm, peer_ms, now_ms, lifetime_ms):
            self._ledger.drop_tokens()
            self._metrics.increment("usage_caps.clock_jumps")

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics page by name."""
        return {
            "usage_caps_organisations": self._ledger.accounts,
            "usage_caps_waiting_requests": sum(
                len(queue.waiting)
                for queue in self._queue_by_organisation.values()
            ),
        }

    # Waiting requests.

    async def _wait(
        self, organisation: ids.OrganisationId, queue: _Queue, deadline_ms: int
    ) -> int | None:
        now_ms = self._clock.now_ms()
        wait_ms = min(_MAX_WAIT_MS, (deadline_ms - now_ms) // _WAIT_DIVISOR)
        if wait_ms <= 0 or len(queue.waiting) >= _MAX_WAITING:
            return self._retry_ms(queue, now_ms)
        if (
            queue.task is None
            and not self._sources(organisation, queue, now_ms)
            and not self._mint_wait_ms(organisation, queue, now_ms)
        ):
            return self._without_token(organisation, queue, now_ms)
        future: asyncio.Future[int | None] = asyncio.Future()
        queue.waiting.append(future)
        self._fetch(organisation, queue)
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                return await future
        except TimeoutError:
            return self._retry_ms(queue, self._clock.now_ms())

    def _without_token(
        self, organisation: ids.OrganisationId, queue: _Queue, now_ms: int
    ) -> int | None:
        """Admits a request by the allowance if owners are cut off."""
        if not self._is_cut_off(organisation, queue, now_ms):
            return self._retry_ms(queue, now_ms)
        if self._ledger.spend_allowance(organisation, now_ms):
            self._metrics.increment("usage_caps.admitted_by_allowance")
            self._log.write(
                events.Event.CAP_OWNERS_LOST, organisation=organisation
            )
            return None
        return min(
            self._retry_ms(queue, now_ms),
            self._ledger.allowance_retry_ms(organisation, now_ms),
        )

    def _is_cut_off(
        self, organisation: ids.OrganisationId, queue: _Queue, now_ms: int
    ) -> bool:
        """Returns whether any owner cannot be asked."""
        owners = self._ledger.owners(organisation)
        return not owners or any(
            queue.failed_until_ms.get(vm, 0) > now_ms
            or not self._fleet.is_reachable(vm)
            for vm in owners
        )

    def _retry_ms(self, queue: _Queue, now_ms: int) -> int:
        """Returns the time until an owner may have tokens again."""
        due_ms = [
            until_ms
            for until_ms in queue.denied_until_ms.values()
            if until_ms > now_ms
        ]
        return max(1, min(due_ms, default=now_ms + _UNKNOWN_RETRY_MS) - now_ms)

    # Tokens from owners.

    def _prefetch(
        self, organisation: ids.OrganisationId, queue: _Queue, now_ms: int
    ) -> None:
        if (
            queue.task is None
            and self._ledger.ahead(organisation, now_ms)
            and self._sources(organisation, queue, now_ms)
        ):
            self._fetch(organisation, queue)

    def _fetch(self, organisation: ids.OrganisationId, queue: _Queue) -> None:
        if queue.task is None:
            queue.task = asyncio.ensure_future(
                self._fetch_all(organisation, queue)
            )
            queue.task.add_done_callback(self._report_fault)

    def _report_fault(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.write_fault(error)

    async def _fetch_all(
        self, organisation: ids.OrganisationId, queue: _Queue
    ) -> None:
        """Fetches tokens until no request waits or no owner has any."""
        try:
            while self._ledger.has_cap(organisation):
                now_ms = self._clock.now_ms()
                need = self._serve(organisation, queue, now_ms)
                ahead = self._ledger.ahead(organisation, now_ms)
                sources = self._sources(organisation, queue, now_ms)
                mint_ms = self._mint_wait_ms(organisation, queue, now_ms)
                if need and not sources and mint_ms:
                    await self._clock.sleep_ms(mint_ms)
                    continue
                if need and not sources:
                    self._end_waits(organisation, queue, now_ms)
                if not sources or not (need or ahead):
                    return
                await self._ask(organisation, queue, sources, need, ahead)
                if not need:
                    return
        finally:
            queue.task = None
            for _ in range(queue.need()):
                queue.answer_first(_UNKNOWN_RETRY_MS)

    def _mint_wait_ms(
        self, organisation: ids.OrganisationId, queue: _Queue, now_ms: int
    ) -> int:
        """Returns how long to wait for an owner's next token, 0 for not."""
        if queue.need() > _MAX_AWAITING_MINT:
            return 0
        if self._is_cut_off(organisation, queue, now_ms):
            return 0
        retry_ms = self._retry_ms(queue, now_ms)
        return retry_ms if retry_ms <= _MAX_MINT_WAIT_MS else 0

    def _serve(
        self, organisation: ids.OrganisationId, queue: _Queue, now_ms: int
    ) -> int:
        """Gives the tokens held to waiting requests; returns how many wait."""
        need = queue.need()
        while need and self._ledger.spend(organisation, now_ms):
            queue.answer_first(None)
            need -= 1
        return need

    def _end_waits(
        self, organisation: ids.OrganisationId, queue: _Queue, now_ms: int
    ) -> None:
        for _ in range(queue.need()):
            queue.answer_first(self._without_token(organisation, queue, now_ms))

    def _sources(
        self, organisation: ids.OrganisationId, queue: _Queue, now_ms: int
    ) -> list[ids.VmId]:
        """Returns the other owners that may have tokens, nearest first."""
        own = self._fleet.own_record.vm
        found = [
            vm
            for vm in self._ledger.owners(organisation)
            if vm != own
            and queue.denied_until_ms.get(vm, 0) <= now_ms
            and queue.failed_until_ms.get(vm, 0) <= now_ms
            and self._fleet.is_reachable(vm)
        ]
        if len(found) > 1:
            found.sort(key=self._preference)
        return found

    def _preference(self, vm: ids.VmId) -> tuple[int, float]:
        peer = self._fleet.by_vm.get(vm)
        if peer is None:
            return len(_DISTANCES), 0.0
        # Those at the same distance are asked in turn.
        distance = _DISTANCES.index(peer.view.distance)
        return distance, self._random.random()

    async def _ask(
        self,
        organisation: ids.OrganisationId,
        queue: _Queue,
        sources: list[ids.VmId],
        need: int,
        ahead: int,
    ) -> None:
        """Asks one owner for one token, several for many at once."""
        chosen = sources[: max(1, need)]
        each, rest = divmod(need, len(chosen))
        queries = [
            self._ask_one(
                organisation,
                queue,
                vm,
                each + int(index < rest),
                0 if index else ahead,
            )
            for index, vm in enumerate(chosen)
        ]
        await asyncio.gather(*queries)

    async def _ask_one(
        self,
        organisation: ids.OrganisationId,
        queue: _Queue,
        vm: ids.VmId,
        needed: int,
        ahead: int,
    ) -> None:
        self._metrics.increment("usage_caps.queries")
        asked_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_MS / _MS_PER_S):
                reply = await self._links.call(
                    vm,
                    lambda number: frames.TokenQuery(
                        number, organisation, needed, ahead
                    ),
                )
        except (links_lib.PeerLost, links_lib.PeerUnreachable, TimeoutError):
            reply = None
        now_ms = self._clock.now_ms()
        if not isinstance(reply, frames.TokenReply):
            self._metrics.increment("usage_caps.queries_failed")
            queue.failed_until_ms[vm] = now_ms + _FAILED_MS
            return
        tokens = min(reply.tokens, needed + ahead)
        self._ledger.receive(organisation, tokens, asked_ms, now_ms)
        queue.failed_until_ms.pop(vm, None)
        queue.denied_until_ms.pop(vm, None)
        if not reply.is_owner:
            queue.failed_until_ms[vm] = now_ms + reply.retry_ms
        elif tokens < needed:
            queue.denied_until_ms[vm] = now_ms + reply.retry_ms

    # Shards of this daemon.

    async def _confirm(self) -> None:
        """Asks the successors of this daemon's points until all have confirmed.

        The first start of a fleet is the only time at which many ask.
        """
        interval_ms = _CONFIRM_INTERVAL_MS
        try:
            while self._has_caps:
                open_vms = self._ledger.ownership.unconfirmed()
                if not open_vms:
                    return
                await asyncio.gather(*map(self._confirm_one, open_vms))
                self._ledger.open_buckets(self._clock.now_ms())
                await self._clock.sleep_ms(interval_ms)
                interval_ms = min(_MAX_CONFIRM_INTERVAL_MS, 2 * interval_ms)
        finally:
            self._is_confirming = False

    async def _confirm_one(self, vm: ids.VmId) -> None:
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_MS / _MS_PER_S):
                reply = await self._links.call(vm, frames.ListingQuery)
        except (links_lib.PeerLost, links_lib.PeerUnreachable, TimeoutError):
            return
        if isinstance(reply, frames.ListingReply) and reply.is_listed:
            self._ledger.ownership.on_confirmed(vm)


def _caps_of(
    current: configuration.Configuration | None,
) -> dict[ids.OrganisationId, usage_caps.Cap]:
    """Returns the caps of the organisations that have one."""
    if current is None or not current.has_organisations:
        return {}
    return {
        organisation.name: usage_caps.Cap(
            organisation.rate_per_s, organisation.burst
        )
        for organisation in current.organisation_by_key_digest.values()
        if organisation.rate_per_s is not None
    }


def _tolerance(bounds: settings.Bounds) -> usage_caps.Tolerance:
    return usage_caps.Tolerance(
        bounds.quota_window_ms, bounds.quota_overage, bounds.quota_slack
    )
