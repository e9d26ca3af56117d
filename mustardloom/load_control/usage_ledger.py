"""Tokens of all organisations at one daemon; see `usage_caps`."""

from collections.abc import Iterator
from collections.abc import Mapping

from mustardloom import ids
from mustardloom.load_control import usage_caps

__all__ = ["Ledger"]

# An owner that does not know of an organisation, or has not taken its shard
# yet, will soon.
_NOT_READY_MS = 200


class _Account:
    """What a daemon holds of one organisation.

    Attributes:
      cache: Tokens to spend.
      demand: Estimate of the requests at this daemon.
      allowance: Requests that need no token.
      bucket: The token bucket if this daemon serves a shard, else None.
    """

    __slots__ = ("allowance", "bucket", "cache", "demand")

    def __init__(self, started_ms: int, window_ms: int, now_ms: int):
        self.cache = usage_caps.TokenCache()
        self.demand = usage_caps.Demand(now_ms)
        self.allowance = usage_caps.Allowance(started_ms, window_ms)
        self.bucket: usage_caps.TokenBucket | None = None


class Ledger:
    """All decisions of one daemon about capped organisations.

    Its memory is bounded by the number of organisations that have a cap.

    Args:
      vm: VM of this daemon.
      tolerance: Limits on the excess over a cap.
      now_ms: Local time.

    Attributes:
      tolerance: Limits on the excess over a cap.
      ownership: Shards that this daemon serves.
    """

    def __init__(
        self, vm: ids.VmId, tolerance: usage_caps.Tolerance, now_ms: int
    ):
        self.tolerance = tolerance
        self.ownership = usage_caps.ShardOwnership(vm)
        self._vm = vm
        self._started_ms = now_ms
        self._cap_by_organisation: Mapping[
            ids.OrganisationId, usage_caps.Cap
        ] = {}
        self._account_by_organisation: dict[ids.OrganisationId, _Account] = {}
        # Computed for one ring and one number of shards.
        self._shards_by_organisation: dict[
            ids.OrganisationId, tuple[int, ...]
        ] = {}
        self._shards_of: tuple[usage_caps.Ring, int] | None = None

    @property
    def accounts(self) -> int:
        """Returns the number of organisations with anything held."""
        return len(self._account_by_organisation)

    def set_caps(
        self, caps: Mapping[ids.OrganisationId, usage_caps.Cap]
    ) -> None:
        """Adopts the caps of a configuration; other organisations have none."""
        self._cap_by_organisation = caps
        for organisation in self._account_by_organisation.keys() - caps.keys():
            del self._account_by_organisation[organisation]
        self._shards_by_organisation.clear()

    def has_cap(self, organisation: ids.OrganisationId) -> bool:
        """Returns whether the requests of an organisation need tokens."""
        return organisation in self._cap_by_organisation

    def capped(self) -> Iterator[ids.OrganisationId]:
        """Yields the organisations that have a cap."""
        yield from self._cap_by_organisation

    def owners(self, organisation: ids.OrganisationId) -> set[ids.VmId]:
        """Returns the daemons that may have tokens of an organisation."""
        ring = self.ownership.ring
        return {ring.owner(point) for point in self._shards(organisation)}

    def grant(
        self,
        organisation: ids.OrganisationId,
        needed: int,
        ahead: int,
        now_ms: int,
    ) -> usage_caps.Grant:
        """Gives tokens of the bucket of this daemon."""
        cap = self._cap_by_organisation.get(organisation)
        shards = () if cap is None else self._shards(organisation)
        served = self.ownership.served(shards)
        if cap is None or not served:
            known = self._account_by_organisation.get(organisation)
            if known is not None:
                # Once the shard is served again, the bucket starts empty.
                known.bucket = None
            return usage_caps.Grant(0, _NOT_READY_MS, is_owner=False)
        account = self._account(organisation, now_ms)
        if account.bucket is None:
            account.bucket = usage_caps.TokenBucket(now_ms)
        share = served / len(shards)
        return account.bucket.grant(
            needed,
            ahead,
            cap.rate_per_s * share,
            self.tolerance.stock(cap) * share,
            now_ms,
        )

    def open_buckets(self, now_ms: int) -> None:
        """Starts the buckets of the shards that this daemon serves.

        Otherwise a bucket would begin to fill only when first asked for. The
        buckets of shards that moved away end, as their next owner fills others.
        """
        for organisation in self._cap_by_organisation:
            if self.ownership.served(self._shards(organisation)):
                account = self._account(organisation, now_ms)
                if account.bucket is None:
                    account.bucket = usage_caps.TokenBucket(now_ms)
            elif organisation in self._account_by_organisation:
                self._account_by_organisation[organisation].bucket = None

    def record_request(
        self, organisation: ids.OrganisationId, now_ms: int
    ) -> None:
        """Counts a request for the estimate of demand."""
        self._account(organisation, now_ms).demand.record(now_ms)

    def spend(self, organisation: ids.OrganisationId, now_ms: int) -> bool:
        """Spends a token that this daemon holds; whether there was one."""
        cache = self._account(organisation, now_ms).cache
        if cache.take(now_ms):
            return True
        grant = self.grant(organisation, 1, 0, now_ms)
        self.receive(organisation, grant.tokens, now_ms, now_ms)
        return cache.take(now_ms)

    def ahead(self, organisation: ids.OrganisationId, now_ms: int) -> int:
        """Returns how many tokens to fetch for requests still to come.

        Returns 0 while at least half of them are held.
        """
        account = self._account(organisation, now_ms)
        wanted = account.demand.ahead(self.tolerance.lifetime_ms(), now_ms)
        held = account.cache.count(now_ms)
        return 0 if 2 * held >= wanted else wanted - held

    def receive(
        self,
        organisation: ids.OrganisationId,
        tokens: int,
        asked_ms: int,
        now_ms: int,
    ) -> None:
        """Adds tokens that were asked for at a local time.

        They expire by that time, as the owner gave them later.
        """
        if organisation in self._cap_by_organisation:
            expires_ms = asked_ms + self.tolerance.lifetime_ms()
            cache = self._account(organisation, now_ms).cache
            cache.add(tokens, expires_ms, now_ms)

    def spend_allowance(
        self, organisation: ids.OrganisationId, now_ms: int
    ) -> bool:
        """Returns whether a request is admitted without a token."""
        limit = self._allowance_limit(organisation)
        account = self._account(organisation, now_ms)
        return account.allowance.take(limit, now_ms)

    def allowance_retry_ms(
        self, organisation: ids.OrganisationId, now_ms: int
    ) -> int:
        """Returns the time until a request may be admitted without a token."""
        limit = self._allowance_limit(organisation)
        account = self._account(organisation, now_ms)
        return account.allowance.retry_ms(limit, now_ms)

    def give_back(
        self, organisation: ids.OrganisationId, admitted_ms: int, now_ms: int
    ) -> bool:
        """Returns the token of a request that was not offered to a target.

        Args:
          organisation: Organisation of the request.
          admitted_ms: Local time at which the token was spent; once it cannot
            be valid any more, nothing is returned.
          now_ms: Local time.
        """
        account = self._account_by_organisation.get(organisation)
        if account is None or (
            now_ms - admitted_ms >= self.tolerance.lifetime_ms()
        ):
            return False
        return account.cache.give_back(now_ms)

    def drop_tokens(self) -> None:
        """Drops all tokens to spend, after the local clock stood still."""
        for account in self._account_by_organisation.values():
            account.cache.clear()

    def _allowance_limit(self, organisation: ids.OrganisationId) -> int:
        cap = self._cap_by_organisation.get(organisation)
        if cap is None:
            return 0
        total = self.tolerance.allowance(cap)
        return self.ownership.ring.allowance(organisation, self._vm, total)

    def _shards(self, organisation: ids.OrganisationId) -> tuple[int, ...]:
        basis = (self.ownership.ring, self.tolerance.shards())
        if self._shards_of != basis:
            self._shards_of = basis
            self._shards_by_organisation.clear()
        shards = self._shards_by_organisation.get(organisation)
        if shards is None:
            shards = self.ownership.ring.shards(organisation, basis[1])
            if organisation in self._cap_by_organisation:
                self._shards_by_organisation[organisation] = shards
        return shards

    def _account(
        self, organisation: ids.OrganisationId, now_ms: int
    ) -> _Account:
        account = self._account_by_organisation.get(organisation)
        if account is None:
            account = _Account(
                self._started_ms, self.tolerance.window_ms, now_ms
            )
            self._account_by_organisation[organisation] = account
        return account
