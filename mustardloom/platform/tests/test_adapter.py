"""Tests of the formats that the adapter decodes and encodes."""

import asyncio
import traceback

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from mustardloom import clock as clock_lib
from mustardloom import findings
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import configuration as configuration_lib
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.http1 import messages
from mustardloom.http1 import server
from mustardloom.platform import announcements
from mustardloom.platform import configuration
from mustardloom.platform import durations
from mustardloom.platform import headers
from mustardloom.platform import object_api
from mustardloom.platform import settings_file
from mustardloom.platform.tests import standins

_SETTINGS = """
node_id=vm-1
ip=10.0.0.1
zone=za
region=ra
zones.za=ra
zones.zb=rb
listen.outbound=10.0.0.1:80
listen.ready=10.0.0.1:81
listen.control=10.0.0.1:82
internal_ports=7000,7010
app_addr=10.0.0.1:90
service=s1
platform.address=10.9.0.1:99
heartbeat=870ms
bounds=drain=2500ms,grace=6s,retry_budget_ratio=0.3,new_bound=1
a_new_key=anything
"""


def test_settings_are_read_and_new_keys_ignored():
    """Guards against a daemon that fails to start when a key is added."""
    read = settings_file.parse(_SETTINGS, "f")
    assert read.target_address == ("10.0.0.1", 90)
    assert read.region_by_zone == {"za": "ra", "zb": "rb"}
    assert (read.bounds.grace_ms, read.bounds.retry_ratio) == (6_000, 0.3)
    assert read.peer_port == 7_000


def test_all_faults_of_settings_are_reported_with_their_lines():
    """Guards against faults reported one at a time, or without their lines."""
    text = _SETTINGS.replace("10.0.0.1:90", "nowhere").replace("6s", "long")
    with pytest.raises(findings.FindingsError) as caught:
        settings_file.parse(text.replace("service=s1\n", "garbage\n"), "f")
    lines = {finding.place.line for finding in caught.value.findings}
    assert lines == {0, 12, 13, 16}


@pytest.mark.parametrize("text", ["", "5", "ms", "-1s", "1m", None, 5])
def test_invalid_duration_is_rejected(text):
    """Guards against a duration that is read in the wrong unit."""
    with pytest.raises(ValueError):
        durations.parse_ms(text)


def test_configuration_is_decoded_into_routes():
    """Guards against lost weights, kinds, home regions or limits."""
    found = configuration.decode(standins.configuration(version=7))
    route = found.route_for("a.example", "/keyed/x")
    assert route.is_idempotent
    assert [share.weight for share in route.shares] == [1.0]
    other = found.route_for("a.example", "/plain/x")
    assert other.kind is configuration_lib.RequestKind.AT_MOST_ONCE
    assert other.home_regions == {"ra"}
    assert found.route_for("b.example", "/plain/x") is None
    assert found.service_by_name[ids.ServiceId("keyed")].is_keyed
    assert found.limits.idle_timeout_ms == 15_000


@pytest.mark.parametrize(
    "change",
    [
        lambda wire: wire.pop("version"),
        lambda wire: wire.update(listeners={}),
        lambda wire: wire["listeners"][0]["rules"][0]["action"].pop("service"),
        lambda wire: wire["listeners"][0]["rules"][0]["action"].update(
            timeout=5
        ),
    ],
)
def test_invalid_configuration_is_rejected(change):
    """Guards against an incomplete configuration that comes into force."""
    wire = msgspec.json.decode(standins.configuration(version=7))
    change(wire)
    with pytest.raises(ValueError):
        configuration.decode(msgspec.json.encode(wire))


_KEY = "2thhkm-secret"


def _with_tenants(tenants, **rule):
    wire = msgspec.json.decode(standins.configuration(version=7))
    wire["tenants"] = tenants
    wire["listeners"][0]["rules"][0].update(rule)
    return msgspec.json.encode(wire)


def test_organisations_are_decoded():
    """Guards against lost priorities, caps, regions or exempt routes."""
    found = configuration.decode(
        _with_tenants(
            [
                {
                    "name": "pulo780",
                    "api_keys": [_KEY, "rcpihh", "rcpihh"],
                    "priority": 1,
                    "rate_per_s": 127,
                    "burst": 12.5,
                    "allowed_regions": ["ra", "rb"],
                },
                {"name": "q", "api_keys": ["other"], "rate_per_s": 0},
                {"name": "no keys", "an unknown field": 1},
            ],
            auth_exempt=True,
        )
    )
    assert found.has_organisations
    organisations = {
        key: found.organisation_by_key_digest.get(
            configuration_lib.key_digest(key)
        )
        for key in (_KEY.encode(), b"rcpihh", b"other", b"", b"no keys")
    }
    first = configuration_lib.Organisation(
        ids.OrganisationId("pulo780"), 1, 127.0, 12.5, frozenset(("ra", "rb"))
    )
    other = configuration_lib.Organisation(
        ids.OrganisationId("q"), 0, None, 0.0, frozenset()
    )
    assert list(organisations.values()) == [first, first, other, None, None]
    assert found.route_for("a.example", "/keyed/x").is_exempt
    assert not found.route_for("a.example", "/plain/x").is_exempt


def test_configuration_without_organisations_needs_no_keys():
    """Guards against a 401 in a deployment that declares no organisations."""
    found = configuration.decode(_with_tenants(None))
    assert not found.has_organisations
    assert not found.organisation_by_key_digest


def test_empty_list_of_organisations_needs_keys():
    """Guards against a deployment that its last organisation leaves open."""
    found = configuration.decode(_with_tenants([]))
    assert found.has_organisations
    assert not found.organisation_by_key_digest


@pytest.mark.parametrize(
    "tenants",
    [
        {"name": "a"},
        ["a"],
        [{"api_keys": [_KEY]}],
        [{"name": ""}],
        [{"name": 5}],
        [{"name": "a\r\nX-Forged: 1"}],
        [{"name": "a "}, {"name": "a"}],
        [{"name": "a"}, {"name": "a"}],
        [{"name": "a", "api_keys": _KEY}],
        [{"name": "a", "api_keys": [_KEY, 5]}],
        [{"name": "a", "api_keys": [_KEY, None]}],
        [{"name": "a", "api_keys": [_KEY]}, {"name": "b", "api_keys": [_KEY]}],
        [{"name": "a", "api_keys": [_KEY], "priority": _KEY}],
        [{"name": "a", "api_keys": [_KEY], "rate_per_s": -1}],
        [{"name": "a", "api_keys": [_KEY], "burst": "many"}],
        [{"name": "a", "api_keys": [_KEY], "allowed_regions": [1]}],
    ],
)
def test_invalid_organisation_makes_the_configuration_invalid(tenants):
    """Guards against half of the keys in force, and keys in an error."""
    with pytest.raises(ValueError) as caught:
        configuration.decode(_with_tenants(tenants))
    assert _KEY not in "".join(traceback.format_exception(caught.value))


def test_decoded_configuration_does_not_contain_a_key():
    """Guards against a key in a log line that prints a configuration."""
    found = configuration.decode(
        _with_tenants([{"name": "a", "api_keys": [_KEY]}])
    )
    assert _KEY not in repr(found)
    assert _KEY not in repr(dict(found.organisation_by_key_digest))


def _decode(call, body):
    path = f"/rpc?call={call}&of=i-1"
    request = messages.Request("POST", path, (), body)
    return asyncio.run(announcements.decode(request))


_BEAT = {
    "service": "s1",
    "address": "10.0.0.1:90",
    "zone": "za",
    "slots": 6,
    "state": "ready",
    "cold_left": "50ms",
    "sequence": 3,
    "born": 17,
    "holds": [[10, 19, 2], [0, 9, 1]],
    "freed": [[20, 29, "token"]],
}


def test_heartbeat_is_decoded():
    """Guards against lost key ranges, start time or cold time."""
    body = msgspec.json.encode(_BEAT)
    found = _decode("instances.heartbeat", body)
    assert isinstance(found, announcements.Heartbeat)
    announcement = found.announcement
    assert announcement.instance == targets.TargetInstance(
        targets.TargetId("i-1"), 17
    )
    assert announcement.held[0] == targets.HeldRange(0, 9, 1)
    assert announcement.freed == (targets.FreedRange(20, 29, "token"),)
    assert announcement.cold_left_ms == 50


@hypothesis.given(
    field=strategies.sampled_from(sorted(_BEAT)),
    value=strategies.none()
    | strategies.booleans()
    | strategies.text(max_size=5)
    | strategies.lists(strategies.integers(), max_size=3)
    | strategies.floats(allow_nan=False),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_malformed_heartbeat_names_no_target(field, value):
    """Guards against crashes and targets made of what others write."""
    body = msgspec.json.encode({**_BEAT, field: value})
    try:
        _decode("instances.heartbeat", body)
    except announcements.InvalidNotice:
        return


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff\x00", b"null"])
def test_body_that_is_not_a_heartbeat_is_rejected(body):
    """Guards against crashes on a body that is not a JSON object."""
    with pytest.raises(announcements.InvalidNotice):
        _decode("instances.heartbeat", body)


def test_heartbeat_answer_with_130_ranges_fits_into_4_kib():
    """Guards against answers above 4 KiB, which targets drop."""
    ranges = tuple(
        targets.GrantedRange(first, first + 9, 123)
        for first in range(60_000, 62_600, 20)
    )
    answer = announcements.answer_heartbeat(announcements.Grant(ranges, 4_000))
    assert len(ranges) == 130
    assert len(answer.body) <= 4_096


def test_caller_service_sent_by_a_caller_is_replaced():
    """Guards against callers that claim to be another service."""
    sent = headers.to_target(
        ((b"x-caller-service", b"forged"), (b"Accept", b"*/*")),
        "s1",
        400,
        targets.TargetId("i-1"),
    )
    values = [v for k, v in sent if k.lower() == b"x-caller-service"]
    assert values == [b"s1"]
    assert (b"Accept", b"*/*") in sent


def test_malformed_headers_of_a_caller_are_ignored():
    """Guards against crashes on malformed headers of callers."""
    request = messages.Request(
        "GET",
        "/",
        (
            (b"Host", b"A:80"),
            (b"X-Deadline-Ms", b"soon"),
            (b"X-Shard-Key", b"70000"),
        ),
        b"",
    )
    fields = headers.read_request(request)
    assert (fields.host, fields.deadline_ms, fields.key) == ("a", None, None)


@pytest.mark.parametrize("value", [b"", b"1", b"1,2", b"a,b,c", b"1,,3"])
def test_malformed_load_is_ignored(value):
    """Guards against crashes on a malformed header of a target."""
    response = messages.Response(200, ((b"X-Server-Load", value),))
    assert headers.read_response(response).load is None


def _with_store(scenario, **faults):
    async def run():
        store = standins.Store(page=2, **faults)
        port = store.listen()
        api = object_api.ObjectApi(("127.0.0.1", port))
        try:
            return await asyncio.wait_for(scenario(api, store), 10)
        finally:
            api.close()
            store.close()

    return asyncio.run(run())


def test_store_lists_all_pages_and_watches_later_changes():
    """Guards against listing the first page only, and missed changes."""

    async def scenario(api, store):
        for number in range(5):
            key = stored.key(stored.Kind.DAEMON, f"vm-{number}")
            await api.write(key, b"{}", ids.NO_VERSION)
        listing = await api.list_objects(stored.Kind.DAEMON)
        assert len(listing.objects) == 5
        store.put("evacuations", "za", b"{}")
        store.put("mustardloom-daemons", "vm-0", b'{"a":1}')
        batch = await api.watch(stored.Kind.DAEMON, listing.version, 1_000)
        return [(event.key, event.value) for event in batch.events]

    assert _with_store(scenario) == [("mustardloom-daemons/vm-0", b'{"a":1}')]


def test_conditional_write_conflicts_with_a_newer_version():
    """Guards against two planners that both consider their write successful."""

    async def scenario(api, store):
        key = stored.key(stored.Kind.KEY_MAP, "s")
        first = await api.write(key, b"1", ids.NO_VERSION)
        again = await api.write(key, b"2", ids.NO_VERSION)
        newer = await api.write(key, b"3", first.version)
        stale = await api.write(key, b"4", first.version)
        return again, newer, stale, await api.get(key)

    again, newer, stale, found = _with_store(scenario)
    assert again.current.value == b"1"
    assert isinstance(newer, objects.Written)
    assert stale.current.value == b"3"
    assert (found.value, found.version) == (b"3", newer.version)


@pytest.mark.parametrize("status", [429, 503, 500])
def test_store_that_answers_with_an_error_is_unavailable(status):
    """Guards against an error status that is taken for a result."""

    async def scenario(api, store):
        with pytest.raises(objects.PlatformUnavailable):
            await api.list_objects(stored.Kind.DAEMON)
        with pytest.raises(objects.PlatformUnavailable):
            await api.write("mustardloom-daemons/x", b"1", ids.NO_VERSION)

    _with_store(scenario, status=status)


def test_conditional_delete_keeps_a_newer_version():
    """Guards against the removal of what another daemon has just written."""

    async def scenario(api, store):
        key = stored.key(stored.Kind.DAEMON, "a")
        first = await api.write(key, b"1", ids.NO_VERSION)
        second = await api.write(key, b"2", first.version)
        assert not await api.delete(key, first.version)
        assert (await api.get(key)).value == b"2"
        assert await api.delete(key, second.version)
        assert await api.get(key) is None
        assert await api.delete(key, second.version)
        third = await api.write(key, b"3", ids.NO_VERSION)
        store.restore(store.copy())
        await api.get(key)
        assert not await api.delete(key, third.version)
        assert (await api.get(key)).value == b"3"

    _with_store(scenario)


def test_lost_history_is_reported():
    """Guards against a watch that misses changes without notice."""

    async def scenario(api, store):
        store.put("config", "main", b"{}")
        store.forget_history()
        with pytest.raises(stored.HistoryGone):
            await api.watch(stored.Kind.CONFIGURATION, ids.Version(1), 100)

    _with_store(scenario)


def test_watch_from_before_a_restore_reports_lost_history():
    """Guards against changes that are missed as their revisions come again.

    The revision exists in the restored store, too, but for another change.
    """

    async def scenario(api, store):
        store.put("config", "main", b"1")
        copied = store.copy()
        store.put("config", "main", b"2")
        listing = await api.list_objects(stored.Kind.CONFIGURATION)
        store.restore(copied)
        for number in range(3):
            store.put("config", "main", b"%d" % (number + 3))
        with pytest.raises(stored.HistoryGone):
            await api.watch(stored.Kind.CONFIGURATION, listing.version, 0)
        again = await api.list_objects(stored.Kind.CONFIGURATION)
        assert again.version > listing.version
        assert again.objects[0].version > listing.objects[0].version

    _with_store(scenario)


async def _write_and_lose(api, store):
    """Writes an object that a restore replaces; returns its key and write."""
    key = stored.key(stored.Kind.KEY_MAP, "s")
    copied = store.copy()
    first = await api.write(key, b"1", ids.NO_VERSION)
    store.restore(copied)
    store.put("mustardloom-key-maps", "s", b"2")
    return key, first


def test_write_based_on_data_from_before_a_restore_changes_nothing():
    """Guards against a precondition that holds again by chance."""

    async def scenario(api, store):
        key, first = await _write_and_lose(api, store)
        await api.get(key)
        result = await api.write(key, b"3", first.version)
        return result, (await api.get(key)).value

    result, value = _with_store(scenario)
    assert (result, value) == (objects.Conflict(None), b"2")


def test_write_that_meets_a_restored_store_is_undecided():
    """Guards against a write that counts as based on the newest data.

    The restore becomes known by the answer to the write itself.
    """

    async def scenario(api, store):
        key, first = await _write_and_lose(api, store)
        with pytest.raises(objects.PlatformUnavailable):
            await api.write(key, b"3", first.version)

    _with_store(scenario)


def test_listing_that_spans_a_restore_begins_again():
    """Guards against a listing whose pages come from two histories."""

    async def scenario(api, store):
        for number in range(3):
            store.put("mustardloom-daemons", f"vm-{number}", b"{}")
        copied = store.copy()
        for number in range(3, 6):
            store.put("mustardloom-daemons", f"vm-{number}", b"{}")
        list_page = store._list

        def list_and_restore(kind, after):
            answer = list_page(kind, after)
            if after == "vm-3" and store.era == 1:
                store.restore(copied)
                answer = list_page(kind, after)
            return answer

        store._list = list_and_restore
        listing = await api.list_objects(stored.Kind.DAEMON)
        return [stored.name_of(each.key) for each in listing.objects]

    assert _with_store(scenario) == ["vm-0", "vm-1", "vm-2"]


def test_change_between_two_pages_of_a_listing_is_watched():
    """Guards against a change that neither the listing nor the watch has.

    The object was listed on the first page before it changed.
    """

    async def scenario(api, store):
        for number in range(3):
            store.put("mustardloom-daemons", f"vm-{number}", b"1")
        list_page = store._list

        def list_and_change(kind, after):
            answer = list_page(kind, after)
            if not after:
                store.put("mustardloom-daemons", "vm-0", b"2")
            return answer

        store._list = list_and_change
        listing = await api.list_objects(stored.Kind.DAEMON)
        batch = await api.watch(stored.Kind.DAEMON, listing.version, 0)
        return [event.value for event in batch.events]

    assert _with_store(scenario) == [b"2"]


def test_malformed_answer_of_the_store_is_unavailable():
    """Guards against crashes on a response that is not JSON."""

    async def handler(request):
        return messages.Response(200, (), b"{not json")

    async def run():
        http_server = server.HttpServer(handler, clock_lib.SystemClock())
        port = http_server.listen("127.0.0.1", 0)
        api = object_api.ObjectApi(("127.0.0.1", port))
        with pytest.raises(objects.PlatformUnavailable):
            await api.get("configuration/main")
        api.close()
        http_server.stop_reading()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"34.4", 34.4),
        (b" 0 ", 0.0),
        (b"1e2", 100.0),
        (b"-1", None),
        (b"many", None),
        (b"\xff", None),
    ],
)
def test_rate_limit_of_a_target_is_read_from_any_response(value, limit):
    """Guards against a stated limit that no daemon reads."""
    found = headers.read_statement([(b"server-LIMIT", value)])
    assert found == targets.Statement(limit, False)


@pytest.mark.parametrize(
    ("sent", "is_leaving"),
    [
        ([(b"Server-Leaving", b"1")], True),
        ([(b"Server-Leaving", b"0")], False),
        ([], False),
    ],
)
def test_target_that_leaves_is_noticed_by_its_responses(sent, is_leaving):
    """Guards against requests to a target that leaves without a heartbeat."""
    assert headers.read_statement(sent).is_leaving == is_leaving
