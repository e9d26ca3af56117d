"""Tests of usage caps between daemons whose links are on loopback."""

import asyncio
import contextlib
import os
import socket

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import configuration
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.load_control import usage_caps as usage_caps_lib
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import usage_caps
from mustardloom.sidecar.tests import small_fleet

HOST = "127.0.0.1"
NAME = ids.OrganisationId("o")
OTHER = ids.OrganisationId("other")
LONG_MS = 5_000


def organisation(rate_per_s, burst, name=NAME):
    """Returns an organisation with a cap, or without one if None."""
    return configuration.Organisation(name, 1, rate_per_s, burst, frozenset())


def configured(*organisations):
    """Returns a configuration with these organisations."""
    return configuration.Configuration(
        1,
        (),
        {},
        organisation_by_key_digest={
            each.name.encode(): each for each in organisations
        },
        has_organisations=bool(organisations),
    )


def _free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Daemon:
    """What of a daemon handles usage caps.

    Attributes:
      received: Frames of other daemons about caps.
      is_silent: Whether queries of other daemons get no answer.
    """

    def __init__(self, name, current, bounds):
        self.clock = clock_lib.SystemClock()
        self.metrics = metrics_lib.Metrics()
        self.current = current
        self.received = []
        self.is_silent = False
        self.null = os.open(os.devnull, os.O_WRONLY)
        self.record = stored.DaemonRecord(
            ids.VmId(name),
            HOST,
            _free_port(),
            ids.AvailabilityZoneId("z"),
            ids.RegionId("r"),
            ids.ServiceId("s"),
        )
        self.links = links_lib.Links(self.record, self.clock, self._on_frame)
        self.links.on_pong = lambda vm, _, pong: self.caps.on_peer_clock(
            vm, pong.clock_ms
        )
        self.fleet = fleet_lib.Fleet(self.record, self.links, self.clock)
        self.caps = usage_caps.UsageCaps(
            self.fleet,
            self.links,
            lambda: self.current,
            bounds,
            self.clock,
            events.EventLog(name, self.clock, self.metrics, self.null),
            self.metrics,
            lambda call: asyncio.ensure_future(call),
        )
        self.links.listen(HOST, self.record.port)

    def _on_frame(self, vm, frame):
        match frame:
            case frames.Hello(sender=sender):
                self.fleet.add_connected(sender)
            case frames.TokenQuery():
                self.received.append(frame)
                return (
                    None
                    if self.is_silent
                    else (self.caps.on_token_query(frame))
                )
            case frames.ListingQuery():
                self.received.append(frame)
                return self.caps.on_listing_query(vm, frame)
        return None

    def count(self, name):
        """Returns a counter."""
        return self.metrics.counters[f"usage_caps.{name}"]

    def admit(self, name=NAME, left_ms=LONG_MS):
        """Returns the coroutine that admits a request."""
        return self.caps.admit(name, self.clock.now_ms() + left_ms)

    def close(self):
        """Closes the links."""
        self.links.close()
        os.close(self.null)


@contextlib.asynccontextmanager
async def started(count, current, bounds, all_know_all=True):
    """Starts daemons and yields them.

    Args:
      count: Number of daemons.
      current: Their configuration.
      bounds: Limits on the excess over caps.
      all_know_all: Whether the list of the first one has the others.
    """
    daemons = [Daemon(f"vm-{n}", current, bounds) for n in range(count)]
    records = [each.record for each in daemons]
    for each in daemons:
        each.fleet.on_change = each.caps.on_fleet_change
        is_complete = all_know_all or each is not daemons[0]
        each.fleet.set_listed(records if is_complete else records[:1])
        each.caps.adopt()
    while not all(
        each.links.is_up(vm)
        for each in daemons
        for vm in set(each.fleet.by_vm) - {each.record.vm}
    ):
        await asyncio.sleep(0.01)
    try:
        yield daemons
    finally:
        for each in daemons:
            each.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def play(scenario, count, current, bounds=None):
    """Runs a scenario with a fleet."""

    async def run():
        limits = bounds or settings.Bounds()
        async with asyncio.timeout(30):
            async with started(count, current, limits) as daemons:
                return await scenario(daemons)

    return asyncio.run(run())


def test_daemon_that_connects_is_known_before_the_list_has_it():
    """Guards against shards that both the first and the last daemon serve.

    The list of a daemon that started first may be older than the others'.
    """

    async def scenario(daemons):
        while any(len(each.fleet.by_vm) < 2 for each in daemons):
            await asyncio.sleep(0.02)
        await filled(daemons)
        ownerships = [each.caps._ledger.ownership for each in daemons]
        shards = [ownership.ring.shards(NAME, 6) for ownership in ownerships]
        assert shards[0] == shards[1]
        assert (
            sum(map(usage_caps_lib.ShardOwnership.served, ownerships, shards))
            == 6
        )

    async def run():
        current = configured(organisation(10.0, 10.0))
        async with asyncio.timeout(20):
            async with started(2, current, settings.Bounds(), False) as found:
                await scenario(found)

    asyncio.run(run())


async def filled(daemons):
    """Returns once all shards are filled and hold tokens."""
    while any(each.caps._ledger.ownership.unconfirmed() for each in daemons):
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)


def test_nothing_is_sent_or_kept_without_caps():
    """Guards against a cost for deployments without organisations."""

    async def scenario(daemons):
        await asyncio.sleep(0.4)
        for each in daemons:
            assert await each.admit() is None
            each.caps.give_back(NAME, each.clock.now_ms())
        assert not any(each.received for each in daemons)
        assert not any(each.metrics.counters for each in daemons)
        assert all(
            each.caps.gauges()["usage_caps_organisations"] == 0
            for each in daemons
        )

    play(scenario, 3, configured())
    play(scenario, 3, configured(organisation(None, 0.0)))


def test_requests_below_the_cap_are_admitted_at_each_daemon():
    """Guards against refusals where a share of the cap is not one request."""

    async def scenario(daemons):
        await filled(daemons)
        await asyncio.sleep(0.5)
        for _ in range(3):
            for each in daemons:
                assert await each.admit() is None
            await asyncio.sleep(0.7)
        assert sum(each.count("refused") for each in daemons) == 0

    # 9 requests in 0.7 s.
    play(scenario, 9, configured(organisation(20.0, 10.0)))


def test_sum_over_all_daemons_keeps_the_bound():
    """Guards against a cap that each daemon grants by itself."""

    async def scenario(daemons):
        await filled(daemons)
        end_ms = daemons[0].clock.now_ms() + 2_000
        admitted = 0

        async def demand(daemon):
            nonlocal admitted
            while daemon.clock.now_ms() < end_ms:
                retry_ms = await daemon.admit(left_ms=300)
                if retry_ms is None:
                    admitted += 1
                else:
                    # A shorter time is 0.00 in Retry-After.
                    assert retry_ms >= 10
                await asyncio.sleep(0.01)

        await asyncio.gather(*map(demand, daemons))
        queries = sum(each.count("queries") for each in daemons)
        refused = sum(each.count("refused") for each in daemons)
        return admitted, queries, refused

    admitted, queries, refused = play(
        scenario, 5, configured(organisation(20.0, 10.0))
    )
    # Minted in 2 s, the stock, and what caches hold.
    assert 35 <= admitted <= 2 * 20 + 20 + 6 + 1
    # Above the cap, few queries are asked.
    assert queries < refused


def test_owner_that_does_not_answer_is_passed_over():
    """Guards against requests that are refused as one owner is frozen."""

    async def scenario(daemons):
        await filled(daemons)
        owners = daemons[0].caps._ledger.owners(NAME)
        silent = next(each for each in daemons[1:] if each.record.vm in owners)
        silent.is_silent = True
        asker = next(each for each in daemons if each is not silent)
        for _ in range(6):
            assert await asker.admit() is None
        assert asker.count("queries_failed") <= 1

    play(scenario, 4, configured(organisation(20.0, 20.0)))


def test_burst_at_one_daemon_gets_tokens_of_all_owners():
    """Guards against a burst that only one owner serves."""

    async def scenario(daemons):
        await filled(daemons)
        await asyncio.sleep(1.0)
        results = await asyncio.gather(*(daemons[0].admit() for _ in range(20)))
        assert results == [None] * 20

    play(scenario, 6, configured(organisation(20.0, 20.0)))


def test_requests_that_a_daemon_will_send_are_paid_ahead():
    """Guards against a query for each request of a busy organisation."""

    async def scenario(daemons):
        await filled(daemons)
        for _ in range(100):
            assert await daemons[0].admit() is None
            await asyncio.sleep(0.005)
        return daemons[0].count("queries")

    assert play(scenario, 4, configured(organisation(2_000.0, 500.0))) < 50


def test_daemon_without_owners_uses_its_allowance():
    """Guards against refusing all, or admitting all, when cut off alone."""
    bounds = settings.Bounds(quota_window_ms=300, quota_slack=40.0)

    async def scenario(daemons):
        await filled(daemons)
        alone = next(
            each
            for each in daemons
            if each.record.vm not in each.caps._ledger.owners(NAME)
        )
        for each in daemons:
            each.is_silent = True
        results = [await alone.admit(left_ms=900) for _ in range(10)]
        admitted = results.count(None)
        assert 1 <= admitted < 10
        assert alone.count("admitted_by_allowance") == admitted

    play(scenario, 9, configured(organisation(2.0, 2.0)), bounds)


def test_refused_request_gives_its_token_back():
    """Guards against a cap that is used up by requests that never ran."""

    async def scenario(daemons):
        (daemon,) = daemons
        await asyncio.sleep(0.3)
        for _ in range(10):
            assert await daemon.admit() is None
            daemon.caps.give_back(NAME, daemon.clock.now_ms())
        return daemon.count("given_back")

    assert play(scenario, 1, configured(organisation(4.0, 1.0))) == 10


def test_organisation_above_its_cap_does_not_delay_others():
    """Guards against one organisation's requests that block another's."""

    async def scenario(daemons):
        await filled(daemons)
        flood = [asyncio.ensure_future(daemons[0].admit()) for _ in range(300)]
        await asyncio.sleep(0)
        assert await daemons[0].admit(OTHER) is None
        results = await asyncio.gather(*flood)
        assert 0 < results.count(None) < 60

    play(
        scenario,
        4,
        configured(organisation(10.0, 10.0), organisation(10.0, 10.0, OTHER)),
    )


def test_removed_cap_lets_waiting_requests_pass():
    """Guards against requests that wait for tokens that nobody mints."""

    async def scenario(daemons):
        for each in daemons:
            each.is_silent = True
        waiting = asyncio.ensure_future(daemons[0].admit())
        await asyncio.sleep(0.05)
        daemons[0].current = configured(organisation(None, 0.0))
        daemons[0].caps.adopt()
        return await waiting

    assert play(scenario, 4, configured(organisation(0.1, 0.0))) is None


class FakeCaps:
    """Caps that answer as a test says, and record what the ingress does."""

    def __init__(self, retry_ms):
        self.retry_ms = retry_ms
        self.calls = []

    async def admit(self, organisation, deadline_ms):
        self.calls.append(("admit", organisation))
        return self.retry_ms

    def give_back(self, organisation, admitted_ms):
        self.calls.append(("give back", organisation))


def ingress_answer(caps, path="/plain", serve=None, choices=("b",)):
    """Returns the answer to a request of the organisation, and the runs."""
    key = b"key-of-o"
    routes = tuple(
        configuration.Route(
            name=ids.RouteId(prefix),
            host="a",
            prefix=prefix,
            shares=(configuration.Share(small_fleet.SERVICE, 1),),
            kind=configuration.RequestKind.AT_MOST_ONCE,
            timeout_ms=2_000,
            objective_ms=2_000,
            max_attempts=3,
            priority=0,
            home_regions=frozenset(),
            is_exempt=prefix == "/exempt",
        )
        for prefix in ("/plain", "/exempt")
    )
    current = configuration.Configuration(
        1,
        routes,
        {},
        organisation_by_key_digest={
            configuration.key_digest(key): organisation(5.0, 5.0)
        },
        has_organisations=True,
    )
    head = b"\r\n".join(
        (
            b"GET " + path.encode() + b" HTTP/1.1",
            b"Host: a",
            b"X-Request-Id: r",
            b"X-Deadline-Ms: 2000",
            b"X-Credential: " + key,
            b"",
            b"",
        )
    )

    async def scenario(daemons, targets):
        near = daemons[0]
        near.configuration = current
        near.ingress._caps = caps
        status, answer, _ = await small_fleet.send(near, head)
        log = near.log()
        return status, answer.lower(), targets[1].whole, log

    return small_fleet.play(scenario, (None, serve), choices)


def test_request_above_the_cap_gets_429_and_a_log_line():
    """Guards against a refusal without a time to retry or without a cause."""
    caps = FakeCaps(1_250)
    status, answer, runs, log = ingress_answer(caps)
    assert status == 429
    assert small_fleet.value(answer, b"retry-after") == b"1.25"
    assert not runs
    assert caps.calls == [("admit", NAME)]
    assert b'"event":"request-over-cap"' in log
    assert b'"organisation":"o"' in log


def test_admitted_request_takes_one_token():
    """Guards against a token for each attempt, or one that comes back."""
    caps = FakeCaps(None)
    status, _, runs, _ = ingress_answer(caps)
    assert (status, len(runs)) == (200, 1)
    assert caps.calls == [("admit", NAME)]


def test_request_that_no_target_is_offered_gives_its_token_back():
    """Guards against a cap that is used up while no target is available."""
    caps = FakeCaps(None)
    status, _, runs, _ = ingress_answer(caps, choices=())
    assert (status, len(runs)) == (503, 0)
    assert caps.calls == [("admit", NAME), ("give back", NAME)]


def test_exempt_route_takes_no_token():
    """Guards against calls of targets that count as an organisation's."""
    caps = FakeCaps(0)
    status, _, runs, _ = ingress_answer(caps, "/exempt")
    assert (status, len(runs)) == (200, 1)
    assert not caps.calls
