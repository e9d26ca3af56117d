"""How many requests the target takes: places, rate, cold start and queue."""

import random

from mustardloom.load_control import cold_start
from mustardloom.load_control import fair_shares
from mustardloom.load_control import learned_limit
from mustardloom.load_control import rate_limit as rate_limit_lib
from mustardloom.load_control import urgency
from mustardloom.load_control import waiting
from mustardloom.sidecar import work
from mustardloom.sidecar.gate import ticket as ticket_lib
from mustardloom.sidecar.gate import timing

__all__ = ["TargetLimits"]


class TargetLimits:
    """Limits of the target, and the requests that they allow.

    Attributes:
      capacity: Requests that the target runs at once.
      service_times: Service times of its requests.
      cold: Limit while it is cold.
      rate: Limit that it states in its responses.
      learned_limit: Limit learned from requests that it could not hold.
      shares: How often requests of each organisation are started.
    """

    def __init__(self, cold_factor: float, now_ms: int):
        """Creates the limits of a target with one place.

        Args:
          cold_factor: Multiple of a cold target's rate that is tolerated.
          now_ms: Local time at which this process begins.
        """
        self.capacity = 1
        self.service_times = waiting.ServiceTimes()
        self.cold = cold_start.ColdStartLimit(cold_factor, now_ms)
        self.rate = rate_limit_lib.RateLimit()
        self.learned_limit = learned_limit.LearnedLimit()
        self.shares = fair_shares.ServedShares()
        self._random = random.Random()
        self._urgent_load = urgency.UrgentLoad()
        self._queue_last_empty_ms = now_ms

    def places(self) -> int:
        """Returns how many requests may run at once, as far as is known."""
        return self.learned_limit.limit(self.capacity)

    def concurrency(self, now_ms: int) -> float:
        """Returns how many requests run at once at the target's full rate."""
        return self._concurrency(self.capacity, now_ms)

    def _concurrency(self, places: int, now_ms: int) -> float:
        return rate_limit_lib.effective_concurrency(
            places,
            self.service_times.overall_mean_ms(now_ms),
            self.rate.rate_per_s,
        )

    def demand_of(
        self,
        request: work.Work,
        queue: waiting.WaitingQueue[ticket_lib.Ticket],
    ) -> waiting.RequestDemand:
        """Returns the timing and priority of a request that is to wait."""
        organisation = request.organisation
        level = 0
        if organisation is not None:
            level = fair_shares.level(
                queue.waiting_of(organisation), self.capacity
            )
        return waiting.RequestDemand(
            request.priority,
            request.is_call,
            request.objective_ms,
            request.deadline_ms,
            self.service_times.expected_ms(request.route),
            organisation,
            level,
            self.shares.is_underserved(organisation),
        )

    def refusal(
        self,
        request: work.Work,
        queue: waiting.WaitingQueue[ticket_lib.Ticket],
        running: int,
        now_ms: int,
    ) -> work.Refused | None:
        """Returns why a request may not join the queue, None if it may.

        Args:
          request: The request.
          queue: Requests that wait for the target.
          running: Requests that it runs now.
          now_ms: Local time.
        """
        if not len(queue):
            self._queue_last_empty_ms = now_ms
        demand = self.demand_of(request, queue)
        concurrency = self._concurrency(self.places(), now_ms)
        ahead = len(queue)
        if demand.is_underserved:
            # It goes before the rest of the queue.
            ahead = queue.count_ahead(demand, now_ms)
        decision = waiting.decide_admission(
            demand,
            now_ms,
            running,
            concurrency,
            queue.work_ahead_ms(demand, now_ms),
            ahead,
            self.service_times.overall_mean_ms(now_ms),
            now_ms - self._queue_last_empty_ms > waiting.STANDING_QUEUE_MS,
            self._urgent_load.share_above(demand.rank, now_ms, concurrency),
            self.rate.wait_ms(now_ms),
            queue.late_count(),
        )
        reasons = work.RefusalReason
        if not decision.admitted:
            retry_ms = waiting.spread_retry_ms(
                decision.room_ms, decision.wait_ms, self._random.random()
            )
            return work.Refused(reasons.OVERLOADED, retry_ms)
        if not self.cold.has_room(now_ms, ahead):
            return work.Refused(reasons.COLD, timing.RETRY_AFTER_MS)
        return None

    def blocked(
        self, queue: waiting.WaitingQueue[ticket_lib.Ticket], now_ms: int
    ) -> list[tuple[ticket_lib.Ticket, work.Refused]]:
        """Removes requests that would not run in time, with their refusals."""
        reason = work.RefusalReason.OVERLOADED
        places = self._concurrency(self.places(), now_ms)
        return [
            (
                ticket,
                work.Refused(
                    reason,
                    waiting.spread_retry_ms(
                        0.0, wait_ms, self._random.random()
                    ),
                ),
            )
            for ticket, wait_ms in queue.take_blocked(
                now_ms + timing.REFUSAL_DELAY_MS, places
            )
        ]

    def record_admission(
        self, demand: waiting.RequestDemand, now_ms: int
    ) -> None:
        """Counts a request that was admitted."""
        self._urgent_load.record(demand.rank, demand.service_ms, now_ms)

    def may_start(self, now_ms: int) -> bool:
        """Returns whether the rates allow one more request to start now."""
        return self.cold.may_start(now_ms) and not self.rate.wait_ms(now_ms)

    def record_start(self, now_ms: int) -> None:
        """Counts a request that starts now."""
        self.cold.record_start(now_ms)
        self.rate.record_start(now_ms)
