"""Tests of usage caps: rules, sums under faults, and uneven demand."""

import collections
import heapq
import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mustardloom import ids
from mustardloom.load_control import usage_caps
from mustardloom.load_control import usage_ledger

TOLERANCE = usage_caps.Tolerance()
ORGANISATION = ids.OrganisationId("o")


def vms(count):
    """Returns names of VMs."""
    return [ids.VmId(f"vm-{index}") for index in range(count)]


def confirmed(vm, listed, now_ms=0, caps=None):
    """Returns a ledger that serves all shards its list gives it."""
    ledger = usage_ledger.Ledger(vm, TOLERANCE, now_ms)
    ledger.set_caps(caps or {ORGANISATION: usage_caps.Cap(10.0, 10.0)})
    ledger.ownership.set_listed(listed)
    for other in ledger.ownership.unconfirmed():
        ledger.ownership.on_confirmed(other)
    ledger.open_buckets(now_ms)
    return ledger


def test_parts_of_the_tolerance_stay_below_it():
    """Guards against parts that add up to more than the bound."""
    for rate, burst, overage, slack in itertools.product(
        (0.1, 1.0, 16.0, 127.0, 5_000.0),
        (0.0, 1.0, 127.0),
        (0.1, 0.3),
        (0.0, 5.0, 20.0),
    ):
        tolerance = usage_caps.Tolerance(5_000, overage, slack)
        cap = usage_caps.Cap(rate, burst)
        held = rate * tolerance.lifetime_ms() / 1_000
        total = rate * 5 + tolerance.stock(cap) + held
        assert total + tolerance.allowance(cap) <= tolerance.bound(cap)


def test_buckets_of_small_caps_hold_whole_tokens():
    """Guards against shares that never reach a whole request."""
    cap = usage_caps.Cap(0.5, 0.0)
    assert TOLERANCE.stock(cap) / TOLERANCE.shards() >= 1.5


def test_places_are_spread_over_daemons():
    """Guards against a daemon that is asked for most organisations."""
    ring = usage_caps.Ring(vms(68))
    shards = collections.Counter()
    for number in range(680):
        organisation = ids.OrganisationId(f"o-{number}")
        shards.update(map(ring.owner, ring.shards(organisation, 6)))
    mean = 680 * 6 / 68
    assert len(shards) == 68
    assert max(shards.values()) < 4 * mean


def test_allowances_of_all_daemons_add_up():
    """Guards against rounding up at each of many daemons."""
    listed = vms(68)
    ring = usage_caps.Ring(listed)
    for total in (0, 7, 68, 150):
        parts = [ring.allowance(ORGANISATION, vm, total) for vm in listed]
        assert sum(parts) == total
        assert max(parts) - min(parts) <= 1
    assert ring.allowance(ORGANISATION, ids.VmId("other"), 150) == 0


def test_joined_daemon_fills_places_once_the_earlier_holders_know_it():
    """Guards against shards that are served on both sides of a partition."""
    listed = vms(8)
    joined = listed[-1]
    ownership = usage_caps.ShardOwnership(joined)
    ownership.set_listed(listed)
    shards = ownership.ring.shards(ORGANISATION, 200)
    assert ownership.served(shards) == 0
    asked = ownership.unconfirmed()
    before = usage_caps.Ring(listed[:-1])
    for shard, earlier in zip(
        shards, before.shards(ORGANISATION, 200), strict=True
    ):
        if ownership.ring.owner(shard) == joined:
            assert before.owner(earlier) in asked
    for other in asked:
        ownership.on_confirmed(other)
    assert ownership.served(shards) > 0
    ownership.set_listed(listed[:-1])
    ownership.set_listed(listed)
    assert ownership.served(shards) == 0


def test_served_shard_stays_served_when_others_join_during_a_cut():
    """Guards against shards that nobody serves as a new daemon is cut off."""
    listed = vms(8)
    for vm in listed:
        ownership = usage_caps.ShardOwnership(vm)
        ownership.set_listed(listed)
        for other in ownership.unconfirmed():
            ownership.on_confirmed(other)
        ownership.set_listed([*listed, ids.VmId("new")])
        shards = ownership.ring.shards(ORGANISATION, 200)
        owners = [ownership.ring.owner(shard) for shard in shards]
        assert ownership.served(shards) == owners.count(vm)
        assert not ownership.unconfirmed()


def test_restarted_owner_has_no_tokens():
    """Guards against a burst after each restart."""
    own = vms(1)
    ledger = confirmed(own[0], own, now_ms=1_000)
    assert not ledger.spend(ORGANISATION, 1_000)
    assert ledger.spend(ORGANISATION, 1_100)
    assert not ledger.spend(ORGANISATION, 1_150)


def test_tokens_expire_by_the_time_of_the_question():
    """Guards against tokens of a late answer that add to later ones."""
    cache = usage_caps.TokenCache()
    cache.add(2, 300, now_ms=300)
    assert not cache.take(300)
    cache.add(2, 600, now_ms=400)
    assert cache.take(599)
    assert not cache.take(600)


def test_token_is_given_back_only_while_valid():
    """Guards against a token that is revived after it was minted again."""
    cache = usage_caps.TokenCache()
    cache.add(1, 300, now_ms=0)
    assert not cache.give_back(0)
    assert cache.take(0)
    assert cache.give_back(299)
    assert not cache.give_back(299)
    assert cache.take(299)
    assert not cache.give_back(300)


def test_tokens_ahead_come_from_the_upper_half_only():
    """Guards against daemons that take tokens ahead while others wait."""
    bucket = usage_caps.TokenBucket(0)
    assert bucket.grant(0, 100, 10.0, 20.0, 10_000).tokens == 10
    assert bucket.grant(0, 100, 10.0, 20.0, 10_000).tokens == 0
    assert bucket.grant(4, 100, 10.0, 20.0, 10_000).tokens == 4
    short = bucket.grant(7, 0, 10.0, 20.0, 10_000)
    assert short.tokens == 6
    assert 100 <= short.retry_ms <= 1_000


def test_waits_grow_with_the_denied_requests():
    """Guards against an organisation above its cap that asks all the time."""
    bucket = usage_caps.TokenBucket(0)
    waits = [bucket.grant(1, 0, 4.0, 2.0, 0).retry_ms for _ in range(5)]
    assert waits == [250, 500, 750, 1_000, 1_000]


def test_allowance_is_empty_for_a_window_after_the_start():
    """Guards against an allowance that each restart renews."""
    allowance = usage_caps.Allowance(1_000, 5_000)
    assert not allowance.take(1, 5_999)
    assert allowance.retry_ms(1, 5_999) == 1
    assert allowance.take(1, 6_000)
    assert not allowance.take(1, 11_000)
    assert allowance.retry_ms(1, 10_000) == 1_001
    assert allowance.take(1, 11_001)


def test_clock_that_stood_still_is_found_by_the_clock_of_a_peer():
    """Guards against tokens that outlive a freeze of the whole VM."""
    watch = usage_caps.ClockWatch()
    vm = ids.VmId("v")
    assert not watch.stood_still(vm, 10_000, 1_000, 300)
    assert not watch.stood_still(vm, 11_200, 2_000, 300)
    assert watch.stood_still(vm, 18_000, 3_000, 300)
    assert not watch.stood_still(vm, 19_000, 4_000, 300)
    watch.keep(frozenset())
    assert not watch.stood_still(vm, 90_000, 5_000, 300)


def test_nothing_is_kept_of_organisations_without_cap():
    """Guards against memory that grows with names that callers send."""
    own = vms(1)
    ledger = confirmed(own[0], own)
    assert ledger.grant(ids.OrganisationId("x"), 1, 0, 0).tokens == 0
    assert ledger.accounts == 1
    ledger.set_caps({})
    assert ledger.accounts == 0
    assert not ledger.give_back(ORGANISATION, 0, 0)


def test_token_returns_only_while_that_of_its_request_can_be_valid():
    """Guards against tokens that refusals carry into later windows."""
    own = vms(1)
    ledger = confirmed(own[0], own)
    lifetime_ms = ledger.tolerance.lifetime_ms()
    later_ms = lifetime_ms - 1
    ledger.receive(ORGANISATION, 1, 0, 0)
    assert ledger.spend(ORGANISATION, 0)
    ledger.receive(ORGANISATION, 1, later_ms, later_ms)
    assert ledger.spend(ORGANISATION, later_ms)
    # The second token is valid, but not the one of the request of time 0.
    assert not ledger.give_back(ORGANISATION, 0, lifetime_ms)
    assert ledger.give_back(ORGANISATION, later_ms, lifetime_ms)


def test_bucket_ends_when_its_shard_moves_to_another_daemon():
    """Guards against a stock that two daemons give when a shard comes back."""
    own, other = vms(2)
    ledger = confirmed(own, [own])
    cap = usage_caps.Cap(60.0, 60.0)
    ledger.set_caps({ORGANISATION: cap})
    ledger.open_buckets(0)
    ledger.ownership.set_listed([other])
    ledger.open_buckets(1_000)
    ledger.ownership.set_listed([own])
    ledger.open_buckets(5_000)
    assert ledger.grant(ORGANISATION, 50, 0, 5_000).tokens == 0


class Fleet:
    """Daemons that fetch tokens from each other over a faulty network.

    Time is in ms. Each message is delayed, lost or repeated as a test says.
    A frozen daemon does nothing; its messages arrive when it goes on.
    """

    def __init__(self, count, cap):
        self.now_ms = 100_000
        self.caps = {ORGANISATION: cap}
        self.listed = vms(count)
        self.ledgers = {}
        self.lists = {}
        self.side = {}
        self.frozen = set()
        self.inbox = {}
        self.admitted_ms = collections.deque()
        self.most = 0
        self.queue = []
        self.order = itertools.count()
        self.delay_ms = 5
        self.lost = 0
        self.repeated = 0
        self.random = random.Random(1)
        self.watches = {}
        # How far the clock of a daemon is behind, as it stood still.
        self.behind_ms = collections.Counter()
        self.stands_still = set()
        for vm in self.listed:
            self.start(vm)
        for _ in range(10):
            self.advance(100)

    def clock(self, vm):
        return self.now_ms - self.behind_ms[vm]

    def start(self, vm):
        self.frozen.discard(vm)
        self.stands_still.discard(vm)
        self.side.setdefault(vm, 0)
        ledger = usage_ledger.Ledger(vm, TOLERANCE, self.clock(vm))
        self.ledgers[vm] = ledger
        self.watches[vm] = usage_caps.ClockWatch()
        ledger.set_caps(dict(self.caps))
        self.lists[vm] = list(self.listed)
        ledger.ownership.set_listed(self.listed)

    def later(self, delay_ms, call, vm):
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self.queue, (due_ms, next(self.order), call, vm))

    def send(self, sender, receiver, call):
        if sender == receiver:
            call()
            return
        if self.side.get(sender) != self.side.get(receiver):
            return
        if self.lost:
            self.lost -= 1
            return
        copies = 1
        if self.repeated:
            self.repeated -= 1
            copies = 2
        ledger = self.ledgers.get(receiver)
        for _ in range(copies):
            delay_ms = self.random.randint(1, self.delay_ms)
            stamped = self._stamped(sender, receiver, ledger, call)
            self.later(delay_ms, stamped, receiver)

    def _stamped(self, sender, receiver, ledger, call):
        sent_ms = self.clock(sender)

        def deliver():
            # A process that was started later does not get it.
            if self.ledgers.get(receiver) is not ledger or ledger is None:
                return
            watch = self.watches[receiver]
            if watch.stood_still(sender, sent_ms, self.clock(receiver), 300):
                ledger.drop_tokens()
            call()

        return deliver

    def advance(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, (self.now_ms // 50 + 1) * 50)
            while self.queue and self.queue[0][0] <= self.now_ms:
                _, _, call, vm = heapq.heappop(self.queue)
                if vm in self.frozen:
                    self.inbox.setdefault(vm, []).append(call)
                else:
                    call()
            for vm in self.stands_still:
                self.behind_ms[vm] += 50
            if self.now_ms % 250 == 0:
                self._confirm()

    def _confirm(self):
        for vm, ledger in self.ledgers.items():
            if vm in self.frozen:
                continue
            ledger.open_buckets(self.clock(vm))
            for other in ledger.ownership.unconfirmed():
                if other in self.ledgers:
                    self.send(vm, other, self._listing_query(vm, other))

    def _listing_query(self, vm, other):
        def ask():
            if self.ledgers[other].ownership.knows(vm):
                self.send(other, vm, answer)

        ledger = self.ledgers[vm]

        def answer():
            ledger.ownership.on_confirmed(other)

        return ask

    def resume(self):
        self.frozen.clear()
        self.stands_still.clear()
        for calls in self.inbox.values():
            for call in calls:
                call()
        self.inbox.clear()

    def request(self, vm, count=1):
        """Admits what the daemon holds, and asks all owners for the rest."""
        ledger = self.ledgers.get(vm)
        if ledger is None or vm in self.frozen:
            return
        now_ms = self.clock(vm)
        for _ in range(count):
            ledger.record_request(ORGANISATION, now_ms)
            if ledger.spend(ORGANISATION, now_ms):
                self._admit()
            else:
                self._ask_all(vm)
                if ledger.spend_allowance(ORGANISATION, now_ms):
                    self._admit()

    def _ask_all(self, vm):
        ledger = self.ledgers[vm]
        asked_ms = self.clock(vm)

        def ask(owner):
            grant = self.ledgers[owner].grant(
                ORGANISATION, 1, 2, self.clock(owner)
            )
            self.send(owner, vm, lambda: receive(grant.tokens))

        def receive(tokens):
            now_ms = self.clock(vm)
            ledger.receive(ORGANISATION, tokens, asked_ms, now_ms)
            if ledger.spend(ORGANISATION, now_ms):
                self._admit()

        for owner in ledger.owners(ORGANISATION) - {vm}:
            if owner in self.ledgers:
                self.send(vm, owner, lambda owner=owner: ask(owner))

    def _admit(self):
        self.admitted_ms.append(self.now_ms)
        self.forget_old()
        self.most = max(self.most, len(self.admitted_ms))

    def forget_old(self):
        """Forgets what was admitted before the current window."""
        begin_ms = self.now_ms - TOLERANCE.window_ms
        while self.admitted_ms and self.admitted_ms[0] <= begin_ms:
            self.admitted_ms.popleft()


COUNT = 7
DAEMONS = strategies.integers(0, COUNT + 1)


class Faults(stateful.RuleBasedStateMachine):
    """Guards against more requests in a window than the bound.

    Daemons join at most three at a time and leave the list only once they have
    ended. The greatest cap of the last window and the 3 s before it counts.
    """

    def __init__(self):
        super().__init__()
        self.cap = usage_caps.Cap(20.0, 10.0)
        self.fleet = Fleet(COUNT, self.cap)
        # Caps that some daemon may use, and those that count for a window yet.
        self.in_force = [self.cap]
        self.retired = []
        self.checked_ms = self.fleet.now_ms
        self.joined = 0

    def vm(self, number):
        return sorted(self.fleet.ledgers)[number % len(self.fleet.ledgers)]

    @stateful.rule(
        steps=strategies.integers(1, 40), crowd=strategies.integers(0, 12)
    )
    def advance(self, steps, crowd):
        for step in range(steps):
            self.fleet.advance(50)
            for vm in list(self.fleet.ledgers):
                self.fleet.request(vm, crowd if step % 4 == 0 else 0)

    @stateful.rule(number=DAEMONS, count=strategies.integers(1, 200))
    def rush(self, number, count):
        self.fleet.request(self.vm(number), count)

    @stateful.rule(
        sides=strategies.lists(
            strategies.integers(0, 2), min_size=COUNT, max_size=COUNT
        )
    )
    def cut(self, sides):
        for vm, side in zip(sorted(self.fleet.ledgers), sides, strict=False):
            self.fleet.side[vm] = side

    @stateful.rule()
    def heal(self):
        for vm in self.fleet.side:
            self.fleet.side[vm] = 0

    @stateful.rule()
    def cut_each(self):
        for number, vm in enumerate(self.fleet.side):
            self.fleet.side[vm] = number

    @stateful.rule(number=DAEMONS)
    def restart(self, number):
        self.fleet.start(self.vm(number))

    @stateful.rule(number=DAEMONS, is_still=strategies.booleans())
    def freeze(self, number, is_still):
        vm = self.vm(number)
        self.fleet.frozen.add(vm)
        if is_still:
            self.fleet.stands_still.add(vm)

    @stateful.rule()
    def resume(self):
        self.fleet.resume()

    @stateful.rule(
        lost=strategies.integers(0, 20),
        repeated=strategies.integers(0, 20),
        delay_ms=strategies.sampled_from((5, 80, 2_000)),
    )
    def disturb(self, lost, repeated, delay_ms):
        self.fleet.lost = lost
        self.fleet.repeated = repeated
        self.fleet.delay_ms = delay_ms

    @stateful.rule(
        rate=strategies.sampled_from((2.0, 20.0, 60.0)),
        burst=strategies.sampled_from((0.0, 10.0, 60.0)),
        adopters=strategies.sets(DAEMONS),
    )
    def change_cap(self, rate, burst, adopters):
        """The others adopt it only with the next change of all."""
        self.cap = usage_caps.Cap(rate, burst)
        self.in_force.append(self.cap)
        self.fleet.caps = {ORGANISATION: self.cap}
        for number in adopters:
            self.fleet.ledgers[self.vm(number)].set_caps(self.fleet.caps)

    @stateful.rule()
    def adopt_cap(self):
        for ledger in self.fleet.ledgers.values():
            ledger.set_caps(self.fleet.caps)
        counts_until_ms = self.fleet.now_ms + TOLERANCE.window_ms
        self.retired += [(counts_until_ms, cap) for cap in self.in_force]
        self.in_force = [self.cap]

    def _greatest_cap(self):
        caps = [*self.in_force, *(cap for _, cap in self.retired)]
        return usage_caps.Cap(
            max(cap.rate_per_s for cap in caps), max(cap.burst for cap in caps)
        )

    @stateful.precondition(lambda self: self.joined < 3)
    @stateful.rule(knowing=strategies.sets(DAEMONS))
    def join(self, knowing):
        self.joined += 1
        vm = ids.VmId(f"new-{self.joined}")
        self.fleet.listed = [*self.fleet.listed, vm]
        self.fleet.side[vm] = 0
        self.fleet.start(vm)
        for number in knowing:
            self._adopt_list(self.vm(number))

    @stateful.precondition(lambda self: len(self.fleet.ledgers) > 3)
    @stateful.rule(number=DAEMONS)
    def leave(self, number):
        vm = self.vm(number)
        del self.fleet.ledgers[vm]
        self.fleet.listed = [each for each in self.fleet.listed if each != vm]

    @stateful.rule()
    def adopt_list(self):
        for vm in self.fleet.ledgers:
            self._adopt_list(vm)

    def _adopt_list(self, vm):
        self.fleet.ledgers[vm].ownership.set_listed(self.fleet.listed)

    @stateful.invariant()
    def check(self):
        self.retired = [
            (until_ms, cap)
            for until_ms, cap in self.retired
            if until_ms >= self.checked_ms
        ]
        self.checked_ms = self.fleet.now_ms
        bound = TOLERANCE.bound(self._greatest_cap())
        assert self.fleet.most <= bound
        self.fleet.forget_old()
        self.fleet.most = len(self.fleet.admitted_ms)


Faults.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
TestFaults = Faults.TestCase


CAP = usage_caps.Cap(20.0, 10.0)


def flood(fleet, duration_ms, count):
    """Lets all daemons get more requests than the cap for some time."""
    for _ in range(duration_ms // 100):
        fleet.advance(100)
        for vm in list(fleet.ledgers):
            fleet.request(vm, count)


def test_restarts_of_all_daemons_add_no_requests():
    """Guards against tokens or allowances that each restart renews."""
    fleet = Fleet(COUNT, CAP)
    for number, vm in enumerate(fleet.listed):
        fleet.side[vm] = number
    for _ in range(12):
        for vm in fleet.listed:
            fleet.start(vm)
            fleet.side[vm] = fleet.listed.index(vm)
        flood(fleet, 500, 40)
    assert fleet.most <= TOLERANCE.bound(CAP)


def test_late_answers_add_no_requests():
    """Guards against tokens that count from the arrival of their answer."""
    cap = usage_caps.Cap(100.0, 0.0)
    fleet = Fleet(COUNT, cap)
    fleet.delay_ms = 4_000
    flood(fleet, 8_000, 3)
    # The answers of some seconds add to those of the next ones.
    fleet.delay_ms = 5
    flood(fleet, 6_000, 3)
    assert fleet.most <= TOLERANCE.bound(cap)


def test_tokens_that_were_not_used_add_no_requests():
    """Guards against tokens that daemons gather while they need few."""
    cap = usage_caps.Cap(100.0, 0.0)
    fleet = Fleet(COUNT, cap)
    for _ in range(20):
        flood(fleet, 100, 1)
        fleet.advance(400)
    flood(fleet, 1_000, 100)
    assert fleet.most <= TOLERANCE.bound(cap)


def test_daemons_that_join_during_a_cut_add_no_requests():
    """Guards against shards that both sides of a partition serve."""
    fleet = Fleet(COUNT, CAP)
    for vm in fleet.listed[:5]:
        fleet.side[vm] = 1
    # Only the smaller side learns of the new ones.
    for number in range(3):
        vm = ids.VmId(f"new-{number}")
        fleet.listed = [*fleet.listed, vm]
        fleet.start(vm)
        for other in (*fleet.listed[5:COUNT], vm):
            fleet.ledgers[other].ownership.set_listed(fleet.listed)
    flood(fleet, 12_000, 20)
    assert fleet.most <= TOLERANCE.bound(CAP)


def test_clocks_that_stand_still_add_no_requests():
    """Guards against tokens that a daemon keeps over a freeze of its VM."""
    fleet = Fleet(COUNT, usage_caps.Cap(200.0, 100.0))
    for _ in range(8):
        flood(fleet, 500, 10)
        for vm in fleet.listed[:4]:
            fleet.frozen.add(vm)
            fleet.stands_still.add(vm)
        fleet.advance(2_000)
        fleet.resume()
        for vm in fleet.listed:
            fleet.request(vm, 200)
    assert fleet.most <= TOLERANCE.bound(usage_caps.Cap(200.0, 100.0))


def test_cap_is_used_up_under_a_flood():
    """Guards against a bound that holds only because little is admitted."""
    fleet = Fleet(COUNT, CAP)
    flood(fleet, 10_000, 10)
    assert fleet.most >= 20 * 5


def uneven_arrivals(count, rate_per_s, duration_ms, seed):
    """Yields time and daemon of requests, in bursts, few daemons have most."""
    chance = random.Random(seed)
    weights = [1 / (1 + number) for number in range(count)]
    now_ms = 0.0
    while now_ms < duration_ms:
        # Two in five requests come in pairs at the same daemon.
        now_ms += chance.expovariate(rate_per_s / 1.4 / 1_000)
        (vm,) = chance.choices(range(count), weights)
        for _ in range(2 if chance.random() < 0.4 else 1):
            yield round(now_ms), vm


def refused_by_owners(count, cap, arrivals):
    """Returns the refused share; queries take no time."""
    listed = vms(count)
    caps = {ORGANISATION: cap}
    ledgers = {vm: confirmed(vm, listed, -5_000, caps) for vm in listed}
    requests = refused = 0
    for now_ms, number in arrivals:
        requests += 1
        vm = listed[number]
        ledger = ledgers[vm]
        is_admitted = ledger.spend(ORGANISATION, now_ms)
        for owner in sorted(ledger.owners(ORGANISATION)):
            if not is_admitted:
                grant = ledgers[owner].grant(ORGANISATION, 1, 0, now_ms)
                ledger.receive(ORGANISATION, grant.tokens, now_ms, now_ms)
                is_admitted = ledger.spend(ORGANISATION, now_ms)
        refused += not is_admitted
    return refused / requests


def refused_by_equal_shares(count, cap, arrivals):
    """Returns the refused share if each daemon has a part of the cap.

    Each holds at least one whole token, which already exceeds the bound.
    """
    buckets = [usage_caps.TokenBucket(-100_000) for _ in range(count)]
    requests = refused = 0
    for now_ms, number in arrivals:
        requests += 1
        capacity = max(1.0, cap.burst / count)
        rate_per_s = cap.rate_per_s / count
        grant = buckets[number].grant(1, 0, rate_per_s, capacity, now_ms)
        refused += not grant.tokens
    return refused / requests


def test_uneven_demand_below_the_cap_is_rarely_refused():
    """Guards against refusals as tokens lie where no requests are.

    Demand is cap / 1.6; the daemons' shares of it differ by up to 68 times.
    """
    for rate_per_s in (10.0, 16.0, 127.0):
        cap = usage_caps.Cap(rate_per_s, rate_per_s)
        arrivals = list(uneven_arrivals(68, rate_per_s / 1.6, 120_000, 3))
        by_owners = refused_by_owners(68, cap, arrivals)
        by_shares = refused_by_equal_shares(68, cap, arrivals)
        print(f"{rate_per_s}: {by_owners:.4f} against {by_shares:.4f}")
        assert by_owners < 0.01
        assert by_shares > 10 * by_owners
        assert by_shares > 0.1
