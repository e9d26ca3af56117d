"""Caps on the requests of organisations, over all daemons together.

Load pattern: an organisation sends a few requests a second to each of many
daemons, unevenly and in bursts, and stays below its cap most of the time. An
equal share of its cap for each daemon would often be less than one request, so
each cap is divided into a few shards, whose owners mint the tokens, and the
other daemons fetch them when a request arrives.

`docs/design/usage-caps.md` describes the whole and derives the bound.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import hashlib
import math

from mustardloom import ids

__all__ = [
    "Allowance",
    "Cap",
    "ClockWatch",
    "Demand",
    "Grant",
    "Ring",
    "ShardOwnership",
    "TokenBucket",
    "TokenCache",
    "Tolerance",
]

_MS_PER_S = 1_000
# Shards of each cap. With six, a lost daemon costs a sixth of the cap, and
# buckets of small caps still hold a whole token.
_MAX_SHARDS = 6
# A bucket needs this share of the slack to hold more than one whole token.
_SLACK_PER_SHARD = 1.5
# Each daemon has several points on the ring, so that shards spread evenly.
_POINTS_PER_DAEMON = 4
# A daemon that joins takes shards over from one that follows it on the ring.
# Three are asked, as several daemons may join at once.
_SUCCESSORS = 3
# Parts of the tolerance; a quarter of the slack and some overage remain for
# requests that run later than they were admitted.
_BUCKET_SHARE_OF_SLACK = 0.5
_LIFETIME_SHARE_OF_OVERAGE = 0.6
_ALLOWANCE_SHARE = 0.25
_MIN_LIFETIME_MS = 50
_MAX_LIFETIME_MS = 400
_DEMAND_MEAN_MS = 1_000
# Share of the lifetime for which tokens are fetched ahead.
_AHEAD_SHARE = 0.6
# A daemon that was denied asks again after the owner's estimate, within
# these limits.
_MIN_RETRY_MS = 50
_MAX_RETRY_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Cap:
    """Cap of one organisation: a rate, and a burst above it."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """Limits on how far the requests of a window may exceed a cap.

    Attributes:
      window_ms: Length of the window.
      overage: Share of the cap's requests in a window that may be added.
      slack: Requests in a window that may be added to that.
    """

    window_ms: int = 5_000
    overage: float = 0.1
    slack: float = 20.0

    def bound(self, cap: Cap) -> float:
        """Returns the most requests that may run in a window.

        Example:
          >>> round(Tolerance().bound(Cap(10.0, 10.0)), 3)
          86.0
        """
        return self._plain(cap) * (1 + self.overage) + self.slack

    def shards(self) -> int:
        """Returns the number of shards of each cap.

        Example:
          >>> Tolerance().shards(), Tolerance(slack=0.0).shards()
          (6, 1)
        """
        bucket_slack = self.slack * _BUCKET_SHARE_OF_SLACK
        return max(1, min(_MAX_SHARDS, int(bucket_slack / _SLACK_PER_SHARD)))

    def stock(self, cap: Cap) -> float:
        """Returns the capacity of the buckets of all owners together."""
        return cap.burst + self.slack * _BUCKET_SHARE_OF_SLACK

    def lifetime_ms(self) -> int:
        """Returns for how long a token is valid after it was asked for."""
        allowed_ms = self.overage * self.window_ms
        lifetime_ms = int(allowed_ms * _LIFETIME_SHARE_OF_OVERAGE)
        return max(_MIN_LIFETIME_MS, min(_MAX_LIFETIME_MS, lifetime_ms))

    def allowance(self, cap: Cap) -> int:
        """Returns the requests in a window that need no token."""
        excess = self._plain(cap) * self.overage + self.slack
        return int(excess * _ALLOWANCE_SHARE)

    def _plain(self, cap: Cap) -> float:
        return cap.rate_per_s * self.window_ms / _MS_PER_S + cap.burst


class Ring:
    """Assigns the shards of caps to listed daemons, by consistent hashing.

    All daemons with the same list compute the same owners. One that joins
    takes shards over only from those that follow its points.

    Args:
      vms: VMs of the store's list of daemons.

    Example:
      >>> ring = Ring([ids.VmId("a"), ids.VmId("b")])
      >>> len(ring.shards(ids.OrganisationId("o"), 6))
      6
    """

    def __init__(self, vms: Iterable[ids.VmId]):
        self.vms = frozenset(vms)
        points = sorted(
            (_hash(f"{index} {vm}"), vm)
            for vm in self.vms
            for index in range(_POINTS_PER_DAEMON)
        )
        self._positions = [position for position, _ in points]
        self._owners = [vm for _, vm in points]
        self._order = sorted(self.vms, key=_hash)
        self._hashes = [_hash(vm) for vm in self._order]

    def shards(
        self, organisation: ids.OrganisationId, count: int
    ) -> tuple[int, ...]:
        """Returns the points that hold the shards of an organisation.

        Points are given by their indices; a point may hold several shards.
        """
        if not self._positions:
            return ()
        return tuple(
            bisect.bisect_left(
                self._positions, _hash(f"{shard} {organisation}")
            )
            % len(self._positions)
            for shard in range(count)
        )

    def owner(self, point: int) -> ids.VmId:
        """Returns the daemon of a point."""
        return self._owners[point]

    def position(self, point: int) -> int:
        """Returns the position of a point, the same in each list."""
        return self._positions[point]

    def points(self, vm: ids.VmId) -> Iterator[int]:
        """Yields the indices of all points of a daemon."""
        return (
            index for index, owner in enumerate(self._owners) if owner == vm
        )

    def successors(self, point: int) -> set[ids.VmId]:
        """Returns the daemons of which one held a point before its owner."""
        found: set[ids.VmId] = set()
        for step in range(1, len(self._owners)):
            vm = self._owners[(point + step) % len(self._owners)]
            if vm != self._owners[point]:
                found.add(vm)
            if len(found) == _SUCCESSORS:
                break
        return found

    def allowance(
        self, organisation: ids.OrganisationId, vm: ids.VmId, total: int
    ) -> int:
        """Returns a daemon's whole part of an organisation's allowance.

        The parts of all daemons add up to the total: what remains after an
        equal division goes to the daemons that follow the organisation's hash.
        """
        if vm not in self.vms:
            return 0
        each, rest = divmod(total, len(self._order))
        first = bisect.bisect_left(self._hashes, _hash(organisation))
        own = self._order.index(vm) if rest else 0
        return each + int((own - first) % len(self._order) < rest)


class ShardOwnership:
    """Decides which shards this daemon may serve.

    A daemon may have joined while the one that held its shards is cut off and
    still serves them. So each process serves a shard only once the daemons of
    which one held it have confirmed that their lists contain this daemon.
    """

    def __init__(self, vm: ids.VmId):
        self._vm = vm
        self._confirmed: set[ids.VmId] = set()
        self._open_points: frozenset[int] = frozenset()
        # The same by position, as indices change with the list. Who joins
        # behind an open point has not held it before.
        self._open_positions: frozenset[int] = frozenset()
        self.ring = Ring(())

    def set_listed(self, vms: Iterable[ids.VmId]) -> None:
        """Adopts the store's list of daemons."""
        self.ring = Ring(vms)
        if self._vm not in self.ring.vms:
            # Once listed again, the shards may have been served by others.
            self._confirmed.clear()
            self._open_positions = frozenset()
        self._confirmed &= self.ring.vms
        self._update()

    def unconfirmed(self) -> set[ids.VmId]:
        """Returns the daemons that are still to be asked."""
        found: set[ids.VmId] = set()
        for point in self.ring.points(self._vm):
            if point not in self._open_points:
                found |= self.ring.successors(point)
        return found - self._confirmed

    def on_confirmed(self, vm: ids.VmId) -> None:
        """Records that a daemon's list contains this one."""
        if vm in self.ring.vms:
            self._confirmed.add(vm)
            self._update()

    def knows(self, vm: ids.VmId) -> bool:
        """Returns whether this daemon's list contains another one."""
        return vm in self.ring.vms

    def served(self, shards: tuple[int, ...]) -> int:
        """Returns how many of the shards of an organisation it serves."""
        return sum(1 for point in shards if point in self._open_points)

    def _update(self) -> None:
        self._open_points = frozenset(
            point
            for point in self.ring.points(self._vm)
            if self.ring.position(point) in self._open_positions
            or self.ring.successors(point) <= self._confirmed
        )
        self._open_positions = frozenset(
            map(self.ring.position, self._open_points)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens that an owner gives.

    Attributes:
      tokens: Their number.
      retry_ms: Time until there may be more; 0 if the bucket holds more now.
      is_owner: Whether the daemon serves a shard of the organisation.
    """

    tokens: int
    retry_ms: int
    is_owner: bool = True


class TokenBucket:
    """Bucket of one organisation at one of its owners.

    It is empty at first, so that a restart never restores tokens.
    """

    def __init__(self, now_ms: int):
        self._level = 0.0
        self._refilled_ms = now_ms
        self._denied = 0.0

    def grant(
        self,
        needed: int,
        ahead: int,
        rate_per_s: float,
        capacity: float,
        now_ms: int,
    ) -> Grant:
        """Takes tokens out.

        Args:
          needed: Tokens for requests that wait.
          ahead: Tokens for later ones; only the upper half of the bucket is
            given for these.
          rate_per_s: Tokens that are minted a second.
          capacity: Tokens that the bucket holds at most.
          now_ms: Local time.
        """
        self._refill(rate_per_s, capacity, now_ms)
        given = min(needed, int(self._level))
        surplus = int(self._level - given - capacity / 2)
        given += max(0, min(ahead, surplus))
        self._level -= given
        if given >= needed:
            return Grant(given, 0)
        # Others that were denied come back as well, so the wait grows with
        # their number.
        wait = (1 - self._level + self._denied) / max(rate_per_s, 0.001)
        self._denied += needed - given
        retry_ms = math.ceil(wait * _MS_PER_S)
        return Grant(given, max(_MIN_RETRY_MS, min(_MAX_RETRY_MS, retry_ms)))

    def _refill(self, rate_per_s: float, capacity: float, now_ms: int) -> None:
        elapsed_s = max(0, now_ms - self._refilled_ms) / _MS_PER_S
        self._refilled_ms = max(self._refilled_ms, now_ms)
        minted = elapsed_s * rate_per_s
        self._level = min(capacity, self._level + minted)
        self._denied = max(0.0, self._denied - minted)


class TokenCache:
    """Tokens that a daemon holds for one organisation."""

    def __init__(self) -> None:
        # Expiry and number of the tokens that are left of each grant.
        self._held: collections.deque[list[int]] = collections.deque()
        # Expiry of the tokens that were spent, oldest first.
        self._spent: collections.deque[int] = collections.deque()

    def count(self, now_ms: int) -> int:
        """Returns the number of valid tokens."""
        self._expire(now_ms)
        return sum(tokens for _, tokens in self._held)

    def add(self, tokens: int, expires_ms: int, now_ms: int) -> None:
        """Adds the tokens of a grant, unless they have expired."""
        if tokens > 0 and now_ms < expires_ms:
            self._held.append([expires_ms, tokens])

    def take(self, now_ms: int) -> bool:
        """Spends a token; returns whether there was one."""
        self._expire(now_ms)
        if not self._held:
            return False
        first = self._held[0]
        first[1] -= 1
        if not first[1]:
            self._held.popleft()
        self._spent.append(first[0])
        return True

    def give_back(self, now_ms: int) -> bool:
        """Returns a spent token that is still valid; whether there was one.

        A request that is refused later than its token expires loses it, as
        returned tokens would otherwise add to those minted meanwhile. Which
        token a request has spent is not known, so the first to expire returns.
        """
        self._expire(now_ms)
        if not self._spent:
            return False
        self._held.append([self._spent.popleft(), 1])
        return True

    def clear(self) -> None:
        """Drops all tokens."""
        self._held.clear()
        self._spent.clear()

    def _expire(self, now_ms: int) -> None:
        if any(expires_ms <= now_ms for expires_ms, _ in self._held):
            self._held = collections.deque(
                grant for grant in self._held if grant[0] > now_ms
            )
        while self._spent and self._spent[0] <= now_ms:
            self._spent.popleft()


class Allowance:
    """Requests that a daemon admits without tokens when owners are cut off.

    A daemon that starts may have used its part before, so it gets none for a
    window.
    """

    def __init__(self, started_ms: int, window_ms: int):
        self._from_ms = started_ms + window_ms
        self._window_ms = window_ms
        self._admitted_ms: collections.deque[int] = collections.deque()

    def take(self, limit: int, now_ms: int) -> bool:
        """Returns whether a request is admitted, at most `limit` a window."""
        while (
            self._admitted_ms
            and now_ms - self._admitted_ms[0] > self._window_ms
        ):
            self._admitted_ms.popleft()
        if now_ms < self._from_ms or len(self._admitted_ms) >= limit:
            return False
        self._admitted_ms.append(now_ms)
        return True

    def retry_ms(self, limit: int, now_ms: int) -> int:
        """Returns the time until the next request may be admitted."""
        if now_ms < self._from_ms:
            return self._from_ms - now_ms
        if not limit or len(self._admitted_ms) < limit:
            return _MAX_RETRY_MS
        due_ms = self._admitted_ms[-limit] + self._window_ms + 1
        return max(_MIN_RETRY_MS, due_ms - now_ms)


class Demand:
    """Estimates the requests a second of an organisation at one daemon."""

    def __init__(self, now_ms: int):
        self._weight = 0.0
        self._updated_ms = now_ms

    def record(self, now_ms: int) -> None:
        """Counts a request."""
        self._decay(now_ms)
        self._weight += 1

    def ahead(self, lifetime_ms: int, now_ms: int) -> int:
        """Returns the tokens that will be spent before they expire."""
        self._decay(now_ms)
        rate_per_ms = self._weight / _DEMAND_MEAN_MS
        return int(rate_per_ms * lifetime_ms * _AHEAD_SHARE)

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._weight *= math.exp(-elapsed_ms / _DEMAND_MEAN_MS)
        self._updated_ms = now_ms


class ClockWatch:
    """Finds out that the local clock stood still, by the clocks of peers."""

    def __init__(self) -> None:
        self._offset_by_vm: dict[ids.VmId, int] = {}

    def stood_still(
        self, vm: ids.VmId, peer_ms: int, now_ms: int, limit_ms: int
    ) -> bool:
        """Returns whether a peer's clock went ahead by more than a limit.

        A peer that restarts or a first message that was slow looks the same;
        the tokens that are then dropped in vain are few.
        """
        offset_ms = peer_ms - now_ms
        known_ms = self._offset_by_vm.get(vm)
        if known_ms is None or offset_ms > known_ms:
            self._offset_by_vm[vm] = offset_ms
        return known_ms is not None and offset_ms - known_ms > limit_ms

    def keep(self, vms: frozenset[ids.VmId]) -> None:
        """Forgets the clocks of daemons that are not listed."""
        for vm in self._offset_by_vm.keys() - vms:
            del self._offset_by_vm[vm]


def _hash(text: str) -> int:
    # Names may consist of any bytes, decoded with escapes.
    data = text.encode("utf-8", "surrogateescape")
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
