"""Selection of a target for requests that any target may serve."""

from collections.abc import Callable
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import itertools
import math
import random

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import outcomes
from mustardloom.membership import records
from mustardloom.routing import forwarders
from mustardloom.routing import home_regions

__all__ = ["Attempt", "TargetChooser", "leave_one_out_medians"]

STRAGGLER_RATIO = 3.0

# Service times are heavy-tailed, so one late request is weak evidence and must
# exceed a higher ratio than two late requests to mark a straggler.
_ONE_LATE_RATIO = 6.0
_TWO_LATE_RATIO = 3.0
# The mean latency of a few answers varies by some tens of percent between equal
# targets. Without this tolerance, idle targets with an unlucky mean get no
# requests.
_USUAL_LATENCY_RATIO = 1.5
# Smaller latency differences are noise of the clock and the event loop.
_LATENCY_NOISE_MS = 5.0
# With this weight of the newest answer, a target that is ten times slower
# exceeds STRAGGLER_RATIO after three answers.
_LATENCY_WEIGHT = 0.25
_CENSORED_FACTOR = 2
_POOL_REFRESH_MS = 100
_LOAD_REPORT_TTL_MS = 500
_AVOID_AFTER_FAILURE_MS = 200
_PROBE_INTERVAL_MS = 500
# Probability that a request probes a straggler that is due for a probe.
_PROBE_SHARE = 0.03
# An older latency is weak evidence. Stragglers are then probed with
# non-idempotent requests too, and other targets count as having the usual
# latency, so that a recovered target is used again.
_STALE_LATENCY_MS = 5_000
# Load as a multiple of the limit. The queue of a gate holds twice its capacity;
# once it is half full, waiting takes longer than going to another region.
_SATURATED_LOAD_RATIO = 2.0

IsStopped = Callable[[records.MemberRecord], bool]


def leave_one_out_medians(values: Sequence[float]) -> list[float | None]:
    """Returns for each value the median of the others, None without others.

    Example:
      >>> leave_one_out_medians([1.0, 2.0, 9.0])
      [5.5, 5.0, 1.5]
    """
    count = len(values) - 1
    if count < 1:
        return [None] * len(values)
    order = sorted(range(len(values)), key=values.__getitem__)
    ordered = [values[index] for index in order]
    medians: list[float | None] = [None] * len(values)
    for rank, index in enumerate(order):
        low, high = (count - 1) // 2, count // 2
        low_value = ordered[low + (rank <= low)]
        high_value = ordered[high + (rank <= high)]
        medians[index] = (low_value + high_value) / 2
    return medians


@dataclasses.dataclass(slots=True)
class _Statistics:
    """Load and latency of one member as this ingress knows them.

    Attributes:
      started_ms: Start times of requests in flight by attempt number, oldest
        first.
      log_latency: Moving average of the logarithm of the latency in ms.
      peers_ms: Median latency of the other members of its service and region.
      answered_ms: Local time of the latest answer.
      reported: Load of the gate at the latest report.
      reported_ms: Local time of that report.
      avoid_until_ms: Local time until which it is avoided after a failure.
      probed_ms: Local time of the latest probe.
    """

    started_ms: dict[int, int] = dataclasses.field(default_factory=dict)
    log_latency: float | None = None
    peers_ms: float | None = None
    answered_ms: int = 0
    reported: forwarders.GateLoad | None = None
    reported_ms: int = 0
    avoid_until_ms: int = 0
    probed_ms: int = 0

    def latency_ms(self) -> float | None:
        """Returns the mean recent latency, None before the first answer."""
        return None if self.log_latency is None else math.exp(self.log_latency)

    def add_latency(self, latency_ms: int) -> None:
        """Adds a latency to the moving average."""
        sample = math.log(max(1, latency_ms))
        if self.log_latency is None:
            self.log_latency = sample
            return
        self.log_latency += _LATENCY_WEIGHT * (sample - self.log_latency)

    def ratio(self, now_ms: int) -> float:
        """Returns the latency relative to the median of the peers.

        Returns 1 if it is unknown, stale or within the usual variation.
        """
        latency_ms = self.latency_ms()
        if now_ms - self.answered_ms > _STALE_LATENCY_MS:
            return 1.0
        if latency_ms is None or self.peers_ms is None:
            return 1.0
        ratio = (latency_ms + _LATENCY_NOISE_MS) / (
            self.peers_ms + _LATENCY_NOISE_MS
        )
        return 1.0 if ratio < _USUAL_LATENCY_RATIO else ratio

    def is_straggler(self, now_ms: int) -> bool:
        """Returns whether its answers or requests in flight are late."""
        if self.peers_ms is None:
            return False
        return self._is_slow(self.peers_ms) or self._is_late(
            now_ms, self.peers_ms
        )

    def _is_slow(self, peers_ms: float) -> bool:
        latency_ms = self.latency_ms()
        if latency_ms is None or latency_ms < peers_ms + _LATENCY_NOISE_MS:
            return False
        return latency_ms > STRAGGLER_RATIO * peers_ms

    def _is_late(self, now_ms: int, peers_ms: float) -> bool:
        oldest = list(itertools.islice(self.started_ms.values(), 2))
        ages_ms = [
            now_ms - started_ms - _LATENCY_NOISE_MS for started_ms in oldest
        ]
        if ages_ms and ages_ms[0] > _ONE_LATE_RATIO * peers_ms:
            return True
        return len(ages_ms) == 2 and ages_ms[1] > _TWO_LATE_RATIO * peers_ms

    def load(self, now_ms: int) -> int:
        """Returns this ingress's requests in flight plus the reported load.

        Reports older than _LOAD_REPORT_TTL_MS are ignored.
        """
        load = len(self.started_ms)
        if self.reported is None or self._is_outdated(now_ms):
            return load
        return load + self.reported.running + self.reported.queued

    def limit(self, now_ms: int, capacity: int) -> int:
        """Returns how many requests it runs at once; at least 1."""
        if self.reported is None or self._is_outdated(now_ms):
            return max(1, capacity)
        return max(1, self.reported.limit)

    def _is_outdated(self, now_ms: int) -> bool:
        return now_ms - self.reported_ms > _LOAD_REPORT_TTL_MS


@dataclasses.dataclass(slots=True)
class _Pool:
    """Members that may serve a service, in the local region and elsewhere."""

    refreshed_ms: int
    near: list[records.MemberRecord]
    far: list[records.MemberRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A request in flight to a member."""

    member: ids.MemberId
    number: int
    started_ms: int


class TargetChooser:
    """Selects the better of two random targets (power of two choices).

    Args:
      region: Region of this ingress, whose targets are preferred.
      members: View of all members.
      is_stopped: Returns whether a stop covers a member.
      clock: Source of time.
      seed: Seed of the random choice.
    """

    def __init__(
        self,
        region: ids.RegionId,
        members: records.MemberView,
        is_stopped: IsStopped,
        clock: clock_lib.Clock,
        seed: int,
    ):
        self._region = region
        self._members = members
        self._is_stopped = is_stopped
        self._clock = clock
        self._random = random.Random(seed)
        self._statistics: dict[ids.MemberId, _Statistics] = {}
        self._pools: dict[
            tuple[ids.ServiceId, frozenset[ids.RegionId]], _Pool
        ] = {}
        self._numbers = itertools.count()

    def choose(
        self,
        service: ids.ServiceId,
        regions: frozenset[ids.RegionId],
        exclude: Set[ids.MemberId] = frozenset(),
        idempotent: bool = True,
    ) -> records.MemberRecord | None:
        """Returns the target for a request, None if none is usable.

        Args:
          service: Service of the target.
          regions: Permitted regions; empty means any.
          exclude: Members that have been tried.
          idempotent: Whether the request may probe any straggler; others probe
            only stragglers whose latency is stale.
        """
        now_ms = self._clock.now_ms()
        pool = self._pool(service, regions, now_ms)
        sampled = self._sample_near(pool, service, exclude, now_ms)
        if sampled is not None:
            return sampled
        near = self._usable(pool.near, service, exclude)
        far = self._usable(pool.far, service, exclude)
        probe = self._probe(near, now_ms, idempotent)
        if probe is not None:
            return probe
        for tier in self._tiers(near, far, now_ms):
            if tier:
                return self._better_of_two(tier, now_ms)
        return None

    def start_attempt(self, member: ids.MemberId) -> Attempt:
        """Records that a request is being sent to `member`."""
        now_ms = self._clock.now_ms()
        attempt = Attempt(member, next(self._numbers), now_ms)
        self._statistics_of(member).started_ms[attempt.number] = now_ms
        return attempt

    def finish_attempt(
        self, attempt: Attempt, forwarded: forwarders.Forwarded | None
    ) -> None:
        """Records the end of an attempt; `forwarded` is None if cancelled."""
        now_ms = self._clock.now_ms()
        statistics = self._statistics_of(attempt.member)
        statistics.started_ms.pop(attempt.number, None)
        latency_ms = now_ms - attempt.started_ms
        if forwarded is None:
            self._add_censored(statistics, latency_ms)
            return
        if forwarded.load is not None:
            statistics.reported = forwarded.load
            statistics.reported_ms = now_ms
        match forwarded.outcome:
            case outcomes.Answered():
                statistics.add_latency(latency_ms)
                statistics.answered_ms = now_ms
            case outcomes.Unknown():
                self._add_censored(statistics, latency_ms)
                statistics.avoid_until_ms = now_ms + _AVOID_AFTER_FAILURE_MS
            case outcomes.Refused():
                # A target that refuses fast must not attract more requests.
                statistics.avoid_until_ms = now_ms + _AVOID_AFTER_FAILURE_MS

    def is_straggler(self, member: ids.MemberId) -> bool:
        """Returns whether `member` is a straggler, which gets only probes."""
        return self._statistics_of(member).is_straggler(self._clock.now_ms())

    def _add_censored(self, statistics: _Statistics, latency_ms: int) -> None:
        # The true latency is longer than the elapsed time, so the sample counts
        # only if it exceeds the mean. Hedging cancels requests soon after the
        # 95th percentile, so without the factor a straggler looks hardly slow.
        usual_ms = statistics.latency_ms()
        if usual_ms is None or latency_ms > usual_ms:
            statistics.add_latency(_CENSORED_FACTOR * latency_ms)

    def _statistics_of(self, member: ids.MemberId) -> _Statistics:
        statistics = self._statistics.get(member)
        if statistics is None:
            statistics = self._statistics[member] = _Statistics()
        return statistics

    def _pool(
        self,
        service: ids.ServiceId,
        regions: frozenset[ids.RegionId],
        now_ms: int,
    ) -> _Pool:
        key = (service, regions)
        pool = self._pools.get(key)
        if pool is None or now_ms - pool.refreshed_ms >= _POOL_REFRESH_MS:
            pool = self._pools[key] = self._new_pool(service, regions, now_ms)
        return pool

    def _new_pool(
        self,
        service: ids.ServiceId,
        regions: frozenset[ids.RegionId],
        now_ms: int,
    ) -> _Pool:
        found = [
            record
            for record in self._members.of_service(service)
            if home_regions.permits(regions, record.region)
        ]
        self._compare_peers(found)
        self._forget_removed()
        near = [record for record in found if record.region == self._region]
        far = [record for record in found if record.region != self._region]
        return _Pool(now_ms, near, far)

    def _compare_peers(self, found: list[records.MemberRecord]) -> None:
        by_region: dict[ids.RegionId, list[_Statistics]] = {}
        for record in found:
            statistics = self._statistics_of(record.member)
            if statistics.log_latency is not None:
                by_region.setdefault(record.region, []).append(statistics)
        for peers in by_region.values():
            logs = [peer.log_latency or 0.0 for peer in peers]
            for peer, median in zip(
                peers, leave_one_out_medians(logs), strict=True
            ):
                peer.peers_ms = None if median is None else math.exp(median)

    def _forget_removed(self) -> None:
        removed = [m for m in self._statistics if m not in self._members.by_id]
        for member in removed:
            if not self._statistics[member].started_ms:
                del self._statistics[member]

    def _sample_near(
        self,
        pool: _Pool,
        service: ids.ServiceId,
        exclude: Set[ids.MemberId],
        now_ms: int,
    ) -> records.MemberRecord | None:
        """Returns the better of two random targets of the local region.

        Returns None if either is unusable, unhealthy or saturated. This fast
        path makes the usual cost independent of the number of targets.
        """
        if len(pool.near) < 2:
            return None
        pair = self._random.sample(pool.near, 2)
        pair = self._usable(pair, service, exclude)
        if len(pair) < 2:
            return None
        for record in pair:
            if not self._is_healthy(record, now_ms):
                return None
            if self._is_saturated(record, now_ms):
                return None
        return self._lower_score(pair[0], pair[1], now_ms)

    def _usable(
        self,
        pool: list[records.MemberRecord],
        service: ids.ServiceId,
        exclude: Set[ids.MemberId],
    ) -> list[records.MemberRecord]:
        # The pool may be _POOL_REFRESH_MS old, so current records are used.
        current = (self._members.by_id.get(record.member) for record in pool)
        return [
            record
            for record in current
            if record is not None
            and record.state is records.MemberState.ACTIVE
            and record.service == service
            and record.member not in exclude
            and not self._is_stopped(record)
        ]

    def _tiers(
        self,
        near: list[records.MemberRecord],
        far: list[records.MemberRecord],
        now_ms: int,
    ) -> list[list[records.MemberRecord]]:
        near_healthy = [r for r in near if self._is_healthy(r, now_ms)]
        if any(not self._is_saturated(r, now_ms) for r in near_healthy):
            return [near_healthy]
        far_healthy = [r for r in far if self._is_healthy(r, now_ms)]
        far_free = [r for r in far_healthy if not self._is_saturated(r, now_ms)]
        return [far_free, near_healthy, far_healthy, near, far]

    def _is_healthy(self, record: records.MemberRecord, now_ms: int) -> bool:
        statistics = self._statistics_of(record.member)
        if now_ms < statistics.avoid_until_ms:
            return False
        return not statistics.is_straggler(now_ms)

    def _is_saturated(self, record: records.MemberRecord, now_ms: int) -> bool:
        statistics = self._statistics_of(record.member)
        limit = statistics.limit(now_ms, record.capacity)
        return statistics.load(now_ms) >= _SATURATED_LOAD_RATIO * limit

    def _probe(
        self,
        near: list[records.MemberRecord],
        now_ms: int,
        idempotent: bool,
    ) -> records.MemberRecord | None:
        for record in near:
            statistics = self._statistics_of(record.member)
            if now_ms - statistics.probed_ms < _PROBE_INTERVAL_MS:
                continue
            if statistics.started_ms or not statistics.is_straggler(now_ms):
                continue
            is_stale = now_ms - statistics.answered_ms > _STALE_LATENCY_MS
            if not (idempotent or is_stale):
                continue
            if self._random.random() >= _PROBE_SHARE:
                continue
            statistics.probed_ms = now_ms
            return record
        return None

    def _better_of_two(
        self, tier: list[records.MemberRecord], now_ms: int
    ) -> records.MemberRecord:
        if len(tier) == 1:
            return tier[0]
        first, second = self._random.sample(tier, 2)
        return self._lower_score(first, second, now_ms)

    def _lower_score(
        self,
        first: records.MemberRecord,
        second: records.MemberRecord,
        now_ms: int,
    ) -> records.MemberRecord:
        if self._score(second, now_ms) < self._score(first, now_ms):
            return second
        return first

    def _score(self, record: records.MemberRecord, now_ms: int) -> float:
        statistics = self._statistics_of(record.member)
        limit = statistics.limit(now_ms, record.capacity)
        return (statistics.load(now_ms) + 1) / limit * statistics.ratio(now_ms)
