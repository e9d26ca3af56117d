"""Tests of whole daemons over loopback sockets, in one process."""

import asyncio
import contextlib
import socket

import msgspec
import pytest
from tornado import httpclient

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import request_ids
from mustardloom.daemon import daemon as daemon_lib
from mustardloom.daemon import settings as settings_lib
from mustardloom.declarations import catalog
from mustardloom.declarations import envelope
from mustardloom.declarations import model
from mustardloom.standins import platform as platform_lib
from mustardloom.standins import target as target_lib
from mustardloom.store import http_client

_HOST = "127.0.0.1"
# Bounds a hanging test; no assertion depends on it.
_HANG_LIMIT_S = 60.0
_POLL_S = 0.05
_SET = model.DeclarationSet(
    id=ids.DeclarationSetId("shop"),
    services=(
        model.Service(id=ids.ServiceId("salio"), keyed=True, slot_count=8),
        model.Service(id=ids.ServiceId("malipo"), slot_count=4),
    ),
    routes=(
        model.Route(
            id=ids.RouteId("salio"),
            prefix="/salio",
            service=ids.ServiceId("salio"),
            key=model.KeySource(model.KeySourceKind.HEADER, "X-Account"),
        ),
        model.Route(
            id=ids.RouteId("malipo"),
            prefix="/malipo",
            service=ids.ServiceId("malipo"),
        ),
    ),
    organisations=(
        model.Organisation(
            id=ids.OrganisationId("bound"),
            home_regions=(ids.RegionId("ziwa"),),
        ),
    ),
)


def _free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((_HOST, 0))
        return [each.getsockname()[1] for each in sockets]


def _settings(vm, region, platform_port):
    caller, peer, admin = _free_ports(3)
    return settings_lib.check(
        settings_lib.RawSettings(
            vm=vm,
            region=region,
            availability_zone=f"{region}-1",
            platform=f"http://{_HOST}:{platform_port}",
            caller_address=f"{_HOST}:{caller}",
            peer_address=f"{_HOST}:{peer}",
            admin_address=f"{_HOST}:{admin}",
            fleet_key="key of the test fleet",
        )
    )


class _Fleet:
    """Stand-in platform, with a daemon and a target on each VM."""

    def __init__(self):
        self.clock = clock_lib.SystemClock()
        self.platform = platform_lib.PlatformServer(self.clock)
        self.daemon_by_vm = {}
        self.settings_by_vm = {}
        self.target_by_vm = {}
        self._tasks = []
        self._http = httpclient.AsyncHTTPClient(force_instance=True)

    async def start(self, vms):
        self.platform.start(_HOST, 0)
        url = f"http://{_HOST}:{self.platform.port}"
        store = http_client.HttpPlatformClient(
            url, self.clock, metrics_lib.Metrics()
        )
        value = catalog.encode(envelope.StoredObject(_SET, 1))
        await store.update("config/shop", value, ids.NO_VERSION)
        store.close()
        for vm, region, service in vms:
            await self._start_vm(vm, region, service)
        await self.wait_settled()

    async def _start_vm(self, vm, region, service):
        settings = _settings(vm, region, self.platform.port)
        daemon = daemon_lib.Daemon(settings)
        self.settings_by_vm[vm] = settings
        self.daemon_by_vm[vm] = daemon
        await daemon.start()
        self.start_target(vm, service, region)

    def start_target(self, vm, service, region, port=0):
        settings = self.settings_by_vm[vm]
        target = target_lib.Target(
            target_lib.TargetSettings(
                service=service,
                region=region,
                port=port,
                mean_ms=1.0,
                daemon_admin=str(settings.admin_address),
            ),
            self.clock,
        )
        self.target_by_vm[vm] = target
        target.start()
        self._tasks.append(asyncio.create_task(target.run()))

    async def wait_settled(self):
        async with asyncio.timeout(_HANG_LIMIT_S):
            while not all(
                daemon.status().settled and daemon.status().slots_served
                for daemon in self.daemon_by_vm.values()
            ):
                await asyncio.sleep(_POLL_S)

    async def send(self, vm, path, method="GET", body=None, **headers):
        address = self.settings_by_vm[vm].caller_address
        http_headers = {
            name.replace("_", "-"): text for name, text in headers.items()
        }
        request = httpclient.HTTPRequest(
            f"http://{address}{path}", method, headers=http_headers, body=body
        )
        return await self._http.fetch(request, raise_error=False)

    def runs_of(self, request_id):
        runs = [
            run
            for target in self.target_by_vm.values()
            for run in target.record.page(0).runs
        ]
        return [run for run in runs if run.request_id == request_id]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for daemon in self.daemon_by_vm.values():
            await daemon.close()
        for target in self.target_by_vm.values():
            await target.stop()
        self._http.close()
        await self.platform.stop()


_VMS = (
    ("salio-1", "pwani", "salio"),
    ("salio-2", "ziwa", "salio"),
    ("malipo-1", "pwani", "malipo"),
    ("malipo-2", "ziwa", "malipo"),
)


def _run(scenario):
    async def main():
        fleet = _Fleet()
        try:
            await fleet.start(_VMS)
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(main())


def test_requests_are_answered_through_every_daemon():
    """Guards against requests that work only if the ingress owns the slot."""

    async def scenario(fleet):
        for vm in fleet.daemon_by_vm:
            for key in ("a", "b", "c", "d"):
                answer = await fleet.send(
                    vm, "/salio/1", X_Account=key, X_Echo=f"{vm}-{key}"
                )
                assert answer.code == 200
                assert f"{vm}-{key}".encode() in answer.body
                assert answer.headers["X-Mustardloom-Outcome"] == "answered"
            assert (await fleet.send(vm, "/malipo/1")).code == 200
        missing = await fleet.send("salio-1", "/nowhere")
        assert missing.code == 404
        large = await fleet.send(
            "salio-1", "/malipo/1", "POST", b"x" * 1_000_001
        )
        assert large.code == 413
        keyless = await fleet.send("salio-1", "/salio/1")
        assert keyless.code == 400

    _run(scenario)


def test_resend_through_another_daemon_runs_once():
    """Guards against a second run of a request that was resent elsewhere."""

    async def scenario(fleet):
        for path, key in (("/salio/1", "a"), ("/malipo/1", "")):
            request_id = request_ids.new_request_id(fleet.clock.wall_ms())
            answers = [
                await fleet.send(
                    vm,
                    path,
                    "POST",
                    b"pay",
                    X_Account=key or "x",
                    Idempotency_Key=request_id,
                )
                for vm in fleet.daemon_by_vm
            ]
            assert {answer.code for answer in answers} == {200}
            assert len({answer.body for answer in answers}) == 1
            assert len(fleet.runs_of(request_id)) == 1

    _run(scenario)


def test_request_is_refused_outside_its_home_regions():
    """Guards against running a request outside its home regions."""

    async def scenario(fleet):
        headers = {
            "X_Account": "a",
            "X_Mustardloom_Organisation": "bound",
        }
        refused = await fleet.send("salio-1", "/salio/1", **headers)
        assert refused.code == 421
        error_body = msgspec.json.decode(refused.body)
        assert error_body["regions"] == ["ziwa"]
        ingress = str(fleet.settings_by_vm["salio-2"].caller_address)
        malipo = str(fleet.settings_by_vm["malipo-2"].caller_address)
        assert ingress in error_body["detail"] or malipo in error_body["detail"]
        answered = await fleet.send("salio-2", "/salio/1", **headers)
        assert answered.code == 200
        assert len(fleet.target_by_vm["salio-1"].record.page(0).runs) == 0

    _run(scenario)


async def _find_key_served_by(fleet, vm):
    """Returns a key whose requests run at the target of `vm`."""
    record = fleet.target_by_vm[vm].record
    for number in range(100):
        before = len(record.page(0).runs)
        await fleet.send("malipo-1", "/salio/1", X_Account=str(number))
        if len(record.page(0).runs) > before:
            return str(number)
    raise AssertionError(f"{vm} serves no key")


def test_drained_daemon_transfers_its_slots_and_request_ids():
    """Guards against a drain that fails requests or loses request ids."""

    async def scenario(fleet):
        key = await _find_key_served_by(fleet, "salio-1")
        request_id = request_ids.new_request_id(fleet.clock.wall_ms())
        first = await fleet.send(
            "malipo-1",
            "/salio/1",
            "POST",
            b"pay",
            X_Account=key,
            Idempotency_Key=request_id,
        )
        leaving = fleet.daemon_by_vm.pop("salio-1")
        answers = []

        async def load():
            for number in range(200):
                answers.append(
                    await fleet.send(
                        "malipo-2", "/salio/1", X_Account=str(number)
                    )
                )

        await asyncio.gather(leaving.drain(), load())
        assert {answer.code for answer in answers} == {200}
        again = await fleet.send(
            "malipo-2",
            "/salio/1",
            "POST",
            b"pay",
            X_Account=key,
            Idempotency_Key=request_id,
        )
        assert again.body == first.body
        assert len(fleet.runs_of(request_id)) == 1

    _run(scenario)


def test_restarted_target_is_granted_its_slots_at_once():
    """Guards against refusals until the next periodic grant renewal."""

    async def scenario(fleet):
        key = await _find_key_served_by(fleet, "salio-1")
        first = fleet.target_by_vm["salio-1"]
        await first.stop()
        fleet.start_target("salio-1", "salio", "pwani", first.port)
        for _ in range(20):
            answer = await fleet.send("malipo-1", "/salio/1", X_Account=key)
            reason = answer.headers.get("X-Mustardloom-Reason")
            assert (answer.code, reason) == (200, None)
        assert fleet.target_by_vm["salio-1"].record.page(0).runs

    _run(scenario)


def test_lost_owner_is_replaced_and_its_requests_do_not_run_again():
    """Guards against keys without an owner, and a second run after a loss."""

    async def scenario(fleet):
        key = await _find_key_served_by(fleet, "salio-1")
        request_id = request_ids.new_request_id(fleet.clock.wall_ms())
        headers = {"X_Account": key, "Idempotency_Key": request_id}
        await fleet.send("malipo-1", "/salio/1", "POST", b"pay", **headers)
        lost = fleet.daemon_by_vm.pop("salio-1")
        await lost.close()
        successor = fleet.daemon_by_vm["salio-2"]
        async with asyncio.timeout(_HANG_LIMIT_S):
            # 8 slots in each of the groups `salio@*` and `salio@ziwa`.
            while successor.status().slots_served < 16:
                await asyncio.sleep(_POLL_S)
        answer = await fleet.send("malipo-1", "/salio/1", X_Account=key)
        assert answer.code == 200
        again = await fleet.send(
            "malipo-1", "/salio/1", "POST", b"pay", **headers
        )
        assert again.code == 504
        assert again.headers["X-Mustardloom-Reason"] == "owner-lost"
        assert len(fleet.runs_of(request_id)) == 1

    _run(scenario)


def test_occupied_port_fails_the_start():
    """Guards against a daemon that runs without its ingress."""

    async def scenario():
        settings = _settings("vm-1", "pwani", 1)
        with socket.socket() as holder:
            address = settings.caller_address
            holder.bind((address.host, address.port))
            holder.listen()
            daemon = daemon_lib.Daemon(settings)
            with pytest.raises(daemon_lib.StartError):
                await daemon.start()
            await daemon.close()

    asyncio.run(scenario())
