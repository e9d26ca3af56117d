"""Tests of whole daemons with fakes of store and targets, on loopback."""

import asyncio
import collections
import contextlib
import dataclasses
import os
import socket
import time

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.http1 import client
from mustardloom.http1 import messages
from mustardloom.platform import configuration
from mustardloom.platform import object_api
from mustardloom.platform.tests import standins
from mustardloom.sidecar import daemon as daemon_lib

_HOST = "127.0.0.1"
# Long enough for a slow machine; time limits of the daemon are checked in other
# tests, on a fake clock.
_TIMEOUT_S = 40
_HEARTBEAT_INTERVAL_S = 0.05


def _free_ports(count):
    opened = [socket.socket() for _ in range(count)]
    for each in opened:
        each.bind((_HOST, 0))
    ports = [each.getsockname()[1] for each in opened]
    for each in opened:
        each.close()
    return ports


class _Vm:
    """One VM: its daemon, its target and the target's heartbeats."""

    def __init__(self, name, service, zone, region, store_port, ports):
        self.own_settings = settings.Settings(
            vm=ids.VmId(name),
            ip=_HOST,
            availability_zone=ids.AvailabilityZoneId(zone),
            region=ids.RegionId(region),
            region_by_zone={},
            caller_address=(_HOST, ports[0]),
            readiness_address=(_HOST, ports[1]),
            announcement_address=(_HOST, ports[2]),
            target_address=(_HOST, ports[3]),
            service=ids.ServiceId(service),
            peer_port=ports[4],
            store=settings.StoreSettings((_HOST, store_port)),
        )
        self.metrics_port = ports[5]
        self.target = standins.Target(
            f"t-{name}", service, zone, (_HOST, ports[2]), service == "keyed"
        )
        self.target.listen(ports[3])
        self.daemon = None
        self._tasks = []

    def start(self):
        store = object_api.ObjectApi(self.own_settings.store.address)
        self.daemon = daemon_lib.Daemon(
            self.own_settings,
            store,
            clock_lib.SystemClock(),
            daemon_lib.Ports(self.metrics_port, self.own_settings.peer_port),
            lambda: self.own_settings,
        )
        self._tasks = [
            asyncio.ensure_future(self.daemon.run()),
            asyncio.ensure_future(self._send_heartbeats()),
        ]
        return self._tasks[0]

    async def restart_daemon(self):
        """Restarts the daemon; returns what the target ran before the start."""
        self.daemon.stop()
        await self._tasks[0]
        self._tasks[1].cancel()
        runs = len(self.target.runs)
        self.start()
        return runs

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
            with contextlib.suppress(client.ConnectFailed, client.ClosedEarly):
                await self.target.send_heartbeat()

    async def get(self, path, request_id, key=0, address=None, more=()):
        connection = await client.connect(
            address or self.own_settings.caller_address, 1_000
        )
        data = standins.encode_request(request_id, path, b"", key, 1_200)
        for name, value in more:
            data = data.replace(b"\r\n", b"\r\n%b: %b\r\n" % (name, value), 1)
        try:
            return await connection.exchange(data)
        finally:
            connection.close()

    async def is_ready(self):
        try:
            address = self.own_settings.readiness_address
            response = await self.get("/readiness", "r", address=address)
        except client.ConnectFailed:
            return False
        return response.status == 200

    def close(self):
        for task in self._tasks:
            task.cancel()
        self.target.close()


def _run(scenario):
    async def run():
        store = standins.Store()
        port = store.listen()
        # Chosen together, so that no port is given twice.
        ports = _free_ports(18)
        vms = [
            _Vm("vm-0", "keyed", "za", "ra", port, ports[:6]),
            _Vm("vm-1", "keyed", "zb", "rb", port, ports[6:12]),
            _Vm("vm-2", "plain", "za", "ra", port, ports[12:]),
        ]
        stdout = os.dup(1)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                return await scenario(store, vms)
        finally:
            for vm in vms:
                vm.close()
            store.close()
            await asyncio.sleep(0)
            os.set_blocking(1, True)
            os.close(stdout)

    return asyncio.run(run())


async def _until(check):
    while not await check():
        await asyncio.sleep(0.02)


async def _start_and_await_keys(store, vms):
    """Starts the daemons and waits until the targets hold all keys.

    Each target may lack a few, as daemons withhold an idle key now and then.
    """
    store.put("config", "main", standins.configuration(version=3))
    for vm in vms:
        vm.start()

    async def is_complete():
        held = sum(row[1] - row[0] + 1 for vm in vms for row in vm.target.held)
        return held >= 65_536 - 8

    await _until(is_complete)


async def _get_until_answered(vm, path, request_id, key=0):
    """Retries a request until it is answered, as a client does."""
    for number in range(200):
        response = await vm.get(path, f"{request_id}-{number}", key)
        if response.status == 200:
            return response
        await asyncio.sleep(0.02)
    return response


def test_requests_reach_the_owner_of_their_key_from_any_vm():
    """Guards against requests that a target runs without holding their key."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for key in range(0, 65_536, 6_007):
            response = await _get_until_answered(
                vms[key % 3], "/keyed/x", f"k{key}", key
            )
            assert response.status == 200
        runs = [run for vm in vms[:2] for run in vm.target.runs]
        assert len({run.key for run in runs}) == 11
        assert all(vm.target.runs for vm in vms[:2])
        fences = [row[2] for vm in vms[:2] for row in vm.target.held]
        assert min(fences) >= 1

    _run(scenario)


def test_home_regions_decide_which_targets_may_run():
    """Guards against a run outside the home regions of the route."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        response = await _get_until_answered(vms[1], "/plain/x", "p")
        assert response.body == b"by t-vm-2"
        wire = standins.configuration(version=9).replace(b'["ra"]', b'["rb"]')
        store.put("config", "main", wire)

        async def is_refused():
            return (await vms[0].get("/plain/x", "q")).status == 503

        before = len(vms[2].target.runs)
        await _until(is_refused)
        assert len(vms[2].target.runs) >= before
        response = await vms[0].get("/plain/x", "last")
        assert (
            messages.find_header(response.headers, b"retry-after") is not None
        )

    _run(scenario)


def test_evacuated_zone_gets_no_requests_and_its_keys_move():
    """Guards against requests in an availability zone that is evacuated."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        store.put("evacuations", "za", b"{}")

        async def has_moved():
            return sum(r[1] - r[0] for r in vms[1].target.held) > 65_000

        await _until(has_moved)
        ran = len(vms[0].target.runs)
        for key in range(0, 65_536, 9_001):
            response = await _get_until_answered(
                vms[2], "/keyed/x", f"e{key}", key
            )
            assert response.body == b"by t-vm-1"
        assert len(vms[0].target.runs) == ran
        tokens = [row[3] for row in vms[1].target.held if row[3]]
        assert all(token.startswith("token-") for token in tokens)

    _run(scenario)


def test_keys_move_beside_more_records_than_daemons():
    """Guards against lost VMs that count as absent for good.

    Once there were as many records of them as daemons, no key map was planned.
    """

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for number in range(len(vms) + 1):
            lost = stored.DaemonRecord(
                ids.VmId(f"lost-{number}"),
                _HOST,
                _free_ports(1)[0],
                ids.AvailabilityZoneId("za"),
                ids.RegionId("ra"),
                ids.ServiceId("keyed"),
            )
            store.put("mustardloom-daemons", lost.vm, msgspec.json.encode(lost))

        async def are_known():
            return len(vms[1].daemon._fleet.by_vm) == 2 * len(vms) + 1

        await _until(are_known)
        store.put("evacuations", "za", b"{}")

        async def has_moved():
            return sum(r[1] - r[0] for r in vms[1].target.held) > 65_000

        await _until(has_moved)

    _run(scenario)


def test_older_or_unreadable_configuration_changes_nothing():
    """Guards against a configuration that reverts to an older version."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        store.put("config", "main", standins.configuration(version=2))
        store.put("config", "main", b'{"version": 5}')
        store.put("evacuations", "nowhere", b"{}")
        await asyncio.sleep(0.3)
        assert (
            await _get_until_answered(vms[0], "/plain/x", "c")
        ).status == 200
        assert (await vms[0].get("/none/x", "n")).status == 404

    _run(scenario)


def test_daemon_is_ready_only_with_a_configuration():
    """Guards against callers that are sent to a daemon without routes."""

    async def scenario(store, vms):
        for vm in vms:
            vm.start()

        async def listens():
            try:
                await vms[0].get("/keyed/x", "a")
            except client.ConnectFailed:
                return False
            return True

        await _until(listens)
        assert not await vms[0].is_ready()
        assert (await vms[0].get("/keyed/x", "b")).status == 503
        store.put("config", "main", standins.configuration(version=1))
        await _until(vms[0].is_ready)

    _run(scenario)


def test_restart_of_a_daemon_moves_no_keys_and_needs_no_store():
    """Guards against a restart that makes the local target lose its keys."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        version = store.revision
        held = {row[0] for row in vms[1].target.held}
        vms[1].daemon.stop()
        await vms[1]._tasks[0]
        vms[1]._tasks[1].cancel()
        store.status = 503
        vms[1].start()
        await _until(vms[1].is_ready)
        key = vms[1].target.held[0][0]
        response = await _get_until_answered(vms[1], "/keyed/x", "again", key)
        assert response.body == b"by t-vm-1"
        assert {row[0] for row in vms[1].target.held} & held
        assert store.revision == version

    _run(scenario)


def test_target_that_left_is_not_used_after_a_restart_of_its_daemon():
    """Guards against delayed heartbeats of a target that has deregistered.

    The daemon that acknowledged its leave was restarted and knows nothing of
    it; the other daemons do.
    """

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        await _get_until_answered(vms[0], "/plain/x", "before")
        await vms[2].target.deregister()

        async def is_refused():
            response = await vms[0].get("/plain/x", os.urandom(4).hex())
            return response.status == 503

        await _until(is_refused)
        runs = await vms[2].restart_daemon()
        await _until(vms[2].is_ready)
        heartbeats = vms[2].target._sequence
        while vms[2].target._sequence < heartbeats + 10:
            await asyncio.sleep(0.02)
        for _ in range(20):
            assert await is_refused()
        assert len(vms[2].target.runs) == runs

    _run(scenario)


def test_target_that_leaves_without_a_heartbeat_gets_no_more_requests():
    """Guards against a leave that is stated in responses only.

    The heartbeats of the target say that it is ready, or do not arrive.
    """

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        vms[2].target.statement = ((b"Server-Leaving", b"1"),)
        await _get_until_answered(vms[0], "/plain/x", "before")

        async def is_refused():
            response = await vms[0].get("/plain/x", os.urandom(4).hex())
            return response.status == 503

        await _until(is_refused)
        runs = len(vms[2].target.runs)
        for _ in range(20):
            assert await is_refused()
        assert len(vms[2].target.runs) == runs

    _run(scenario)


def test_limit_that_changes_with_each_response_makes_no_messages():
    """Guards against a message to every daemon for each response."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        broadcasts = []
        vms[2].daemon._local_target.on_change = lambda: broadcasts.append(1)
        for number in range(6):
            limit = b"%d" % (50 + 50 * (number % 2))
            vms[2].target.statement = ((b"Server-Limit", limit),)
            await _get_until_answered(vms[0], "/plain/x", f"r{number}")
        assert vms[2].daemon._gate.load().rate_limit_per_s == 100.0
        assert not broadcasts

    _run(scenario)


def test_limit_of_a_target_is_known_after_a_restart_of_its_daemon():
    """Guards against requests beyond a limit that only others remember."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        vms[2].target.statement = ((b"Server-Limit", b"0.5"),)
        await _get_until_answered(vms[0], "/plain/x", "before")

        async def is_known():
            peer = vms[0].daemon._fleet.by_vm["vm-2"]
            return peer.view.rate_limit_per_s == 0.5

        await _until(is_known)
        runs = await vms[2].restart_daemon()

        async def is_limited():
            return vms[2].daemon._gate.load().rate_limit_per_s == 0.5

        await _until(is_limited)
        assert len(vms[2].target.runs) == runs

    _run(scenario)


def test_keys_stay_served_and_move_again_after_a_restore_of_the_store():
    """Guards against a key map that no daemon can write any more.

    The copy is older than the map by which the keys were granted last.
    """

    async def scenario(store, vms):
        copied = store.copy()
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        fence = max(row[2] for vm in vms for row in vm.target.held)
        store.restore(copied)
        store.put("config", "main", standins.configuration(version=3))

        async def is_written_again():
            return ("mustardloom-key-maps", "keyed") in store.by_path

        await _until(is_written_again)
        for number, key in enumerate(range(0, 65_536, 8_192)):
            response = await _get_until_answered(
                vms[2], "/keyed/x", f"after-{number}", key
            )
            assert response.status == 200
        store.put("evacuations", "za", b"{}")
        sink = vms[1].target

        async def has_moved():
            return sum(row[1] - row[0] + 1 for row in sink.held) >= 65_000

        await _until(has_moved)
        assert max(row[2] for row in sink.held) > fence

    _run(scenario)


def test_key_map_is_written_again_after_two_restores_in_a_row():
    """Guards against a write whose precondition is of the restore before.

    The first copy has an older map, the second one has none.
    """

    async def scenario(store, vms):
        empty = store.copy()
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        older = store.copy()
        store.put("evacuations", "za", b"{}")
        sink = vms[1].target

        async def has_moved():
            return sum(row[1] - row[0] + 1 for row in sink.held) >= 65_000

        await _until(has_moved)
        store.restore(older)
        # The first VM by name plans.
        state = vms[0].daemon._shared_state
        replica = state.by_kind[stored.Kind.KEY_MAP]

        async def is_copy_seen():
            return replica.held_version_by_key

        await _until(is_copy_seen)
        store.restore(empty)
        store.put("config", "main", standins.configuration(version=3))

        async def is_written_again():
            return ("mustardloom-key-maps", "keyed") in store.by_path

        await _until(is_written_again)

    _run(scenario)


def test_daemons_register_again_after_a_restore_of_the_store():
    """Guards against daemons that new ones cannot find any more."""

    async def scenario(store, vms):
        copied = store.copy()
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        store.restore(copied)
        store.put("config", "main", standins.configuration(version=3))

        async def are_registered():
            kinds = [kind for kind, _ in store.by_path]
            return kinds.count("mustardloom-daemons") == len(vms)

        await _until(are_registered)

    _run(scenario)


def test_record_ends_with_a_stop_only_if_the_target_has_ended():
    """Guards against lists of VMs that were removed, or lack one that restarts.

    A daemon that is restarted alone finds its target running.
    """

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        await vms[0].restart_daemon()
        assert ("mustardloom-daemons", "vm-0") in store.by_path
        vms[2].target.close()
        vms[2].daemon.stop()
        await vms[2]._tasks[0]
        assert ("mustardloom-daemons", "vm-2") not in store.by_path

        async def is_forgotten():
            return vms[2].own_settings.vm not in vms[1].daemon._fleet.by_vm

        await _until(is_forgotten)

    _run(scenario)


def test_daemon_that_cannot_register_still_finds_the_others():
    """Guards against a daemon that is alone while the store refuses writes."""

    async def scenario(store, vms):
        store.put("config", "main", standins.configuration(version=3))
        for vm in vms[:2]:
            vm.start()
        for vm in vms[:2]:
            await _until(vm.is_ready)
        store.refuses_writes = True
        vms[2].start()

        async def knows_others():
            return len(vms[2].daemon._fleet.by_vm) == 3

        # Otherwise the others would find it by dialling.
        vms[0].daemon._links.set_peers = vms[1].daemon._links.set_peers = (
            lambda addresses: None
        )
        await _until(knows_others)
        assert vms[2].own_settings.vm not in {name for _, name in store.by_path}

    _run(scenario)


_DEEP = b"[" * 5_000 + b"]" * 5_000


def test_odd_objects_of_another_writer_change_nothing_for_the_others():
    """Guards against one object that ends the reading of all (LOST).

    One of each kind is there before the start, more come while daemons run.
    """

    def write_odd(store, name):
        for kind in (
            "config",
            "evacuations",
            "mustardloom-daemons",
            "mustardloom-key-maps",
        ):
            store.put(kind, f"{name}-deep", _DEEP)
            store.put(kind, f"{name}-member", b'{"version":%s}' % _DEEP)
            store.put(kind, f"{name}-text", b'"\xff"')

    async def scenario(store, vms):
        write_odd(store, "before")
        store.put("config", "main", standins.configuration(1))
        for vm in vms[:2]:
            vm.start()
        for vm in vms[:2]:
            await _until(vm.is_ready)
        write_odd(store, "while")
        # It is found by the daemons that run, and finds them.
        vms[2].start()
        await _until(vms[2].is_ready)
        await _get_until_answered(vms[0], "/plain/x", "plain")
        await _get_until_answered(vms[2], "/keyed/x", "keyed")
        store.put("evacuations", "za", b"{}")

        async def is_refused():
            response = await vms[1].get("/plain/x", os.urandom(4).hex())
            return response.status == 503

        await _until(is_refused)

    _run(scenario)


def test_unexpected_error_ends_no_background_loop():
    """Guards against one error that stops statuses or reads for good."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        daemon = vms[0].daemon
        faults = []
        daemon._on_fault = faults.append
        load = daemon._gate.load

        def fail():
            raise RuntimeError("injected")

        daemon._gate.load = fail

        async def has_failed_twice():
            return len(faults) >= 2

        await _until(has_failed_twice)
        assert {str(error) for error in faults} == {"injected"}
        daemon._gate.load = load
        own = daemon._fleet.by_vm[vms[0].own_settings.vm]
        status = own.status

        async def has_new_status():
            return own.status is not status

        await _until(has_new_status)
        await _get_until_answered(vms[0], "/plain/x", "after")

    _run(scenario)


def test_settings_that_change_under_load_lose_no_request():
    """Guards against requests that a reload drops or runs a second time.

    Kibanda saw a payment twice after its settings had changed.
    """

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        for vm in vms:
            await _until(vm.is_ready)
        await _get_until_answered(vms[0], "/plain/x", "before")
        asked = [
            asyncio.ensure_future(vms[0].get("/plain/x", f"load-{number}"))
            for number in range(30)
        ]
        for number in range(10):
            bounds = settings.Bounds(retry_minimum=10.0 + number)
            for vm in vms:
                vm.own_settings = dataclasses.replace(
                    vm.own_settings, bounds=bounds
                )
                vm.daemon._on_reload()
            await asyncio.sleep(0.01)
        answers = await asyncio.gather(*asked)
        assert {each.status for each in answers} <= {200, 503}
        runs = collections.Counter(run.request_id for run in vms[2].target.runs)
        served = sum(each.status == 200 for each in answers)
        load_runs = [runs[f"load-{number}"] for number in range(30)]
        assert max(load_runs) == 1
        assert sum(load_runs) == served > 0
        assert vms[2].daemon._router._retry_limits.minimum == 19.0

    _run(scenario)


def test_metrics_page_has_latencies_and_counts():
    """Guards against missing figures of latency and of unreachable keys."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        await _get_until_answered(vms[0], "/plain/x", "m")
        address = (_HOST, vms[0].metrics_port)
        page = await vms[0].get("/metrics", "x", address=address)
        assert b"mustardloom_ingress_answered_total" in page.body
        assert b'mustardloom_ingress_answered_ms_bucket{le="100"}' in page.body
        assert b"keys_without_reachable_owner 0.0" in page.body
        vms[1].daemon.stop()

        async def has_unreachable_keys():
            page = await vms[0].get("/metrics", "x", address=address)
            line = page.body.partition(b"\nmustardloom_keys_without_")[2]
            return float(line.split()[1]) > 20_000

        await _until(has_unreachable_keys)

    _run(scenario)


def test_only_ends_of_callers_connections_are_counted():
    """Guards against a stop of which nobody can tell whom it disconnected."""

    async def scenario(store, vms):
        store.put("config", "main", standins.configuration(version=3))
        vm = vms[0]
        stopped = vm.start()
        await _until(vm.is_ready)
        await vm.get("/nowhere", "n")
        closed = "ends.connection.caller-closed.no-request.serving"
        while not vm.daemon._metrics.counters[closed]:
            await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(
            *vm.own_settings.caller_address
        )
        vm.daemon.stop()
        assert await reader.read() == b""
        writer.close()
        await stopped
        return {
            name: count
            for name, count in vm.daemon._metrics.counters.items()
            if name.startswith("ends.connection.")
        }

    assert _run(scenario) == {
        "ends.connection.caller-closed.no-request.serving": 1,
        "ends.connection.idle-at-stop.no-request.notice": 1,
    }


def _with_keys(version, *api_keys):
    wire = msgspec.json.decode(standins.configuration(version))
    wire["tenants"] = [
        {"name": f"of {index}", "api_keys": [key]}
        for index, key in enumerate(api_keys)
    ]
    return msgspec.json.encode(wire)


def test_keys_change_with_new_versions_of_the_configuration_only():
    """Guards against keys that an older or invalid configuration changes.

    Also against keys in what daemons know of it and send each other.
    """

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        vm = vms[1]

        async def status(key):
            path = "/keyed/x"
            credential = ((b"X-Credential", key),)
            number = time.monotonic_ns()
            response = await vm.get(path, f"r{number}", 7, None, credential)
            # Keys of the service may move.
            if response.status == 503:
                return await status(key)
            return response.status

        async def write(value):
            written = store.put("config", "main", value)["metadata"]
            for other in vms:
                replica = other.daemon._shared_state.by_kind[
                    stored.Kind.CONFIGURATION
                ]
                while (
                    stored.revision_of(
                        replica.by_key[configuration.KEY].version
                    )
                    < written["revision"]
                ):
                    await asyncio.sleep(0.02)
                known = replica.by_key[configuration.KEY]
                assert b"-key" not in known.value

        await write(_with_keys(5, "first-key", "second-key"))
        assert await status(b"first-key") == 200
        assert await status(b"second-key") == 200
        assert await status(b"third-key") == 401
        await write(_with_keys(6, "second-key", "third-key"))
        assert await status(b"first-key") == 401
        assert await status(b"second-key") == 200
        assert await status(b"third-key") == 200
        for value in (
            # An older version, and two that are not valid.
            _with_keys(5, "first-key", "second-key"),
            _with_keys(7, "third-key", "third-key"),
            _with_keys(8, "first-key").replace(
                b'["first-key"]', b'"first-key"'
            ),
            standins.configuration(4),
        ):
            await write(value)
            assert await status(b"first-key") == 401
            assert await status(b"third-key") == 200
            assert await status(b"") == 401

    _run(scenario)


def test_calls_of_a_target_end_when_nobody_waits_for_its_run():
    """Guards against calls that go on for a request whose caller has left."""

    async def scenario(store, vms):
        await _start_and_await_keys(store, vms)
        vm = vms[0]
        key = vm.target.held[0][0]
        await _get_until_answered(vm, "/keyed/a", "warm", key)
        vm.target._work_ms = 900
        run = asyncio.ensure_future(vm.get("/keyed/a", "x", key))
        call = asyncio.ensure_future(vm.get("/keyed/b", "c.x", key))

        async def are_running():
            return {"x", "c.x"} <= {each.request_id for each in vm.target.runs}

        await _until(are_running)
        run.cancel()
        return (await call).status

    assert _run(scenario) == 504
