"""Real daemons on loopback addresses, started by the deploy file's command.

Nothing here needs a type of the product, so that the tests run on earlier
versions, too.
"""

import asyncio
import contextlib
import functools
import json
import os
import pathlib
import random
import resource
import shlex
import signal
import socket
import subprocess
import sys
import sysconfig
import tomllib
from typing import Any
from typing import Self

from deploy.tests import memory_watch
from deploy.tests import raw_http
from deploy.tests import raw_target
from mustardloom.platform.tests import standins
from soak import proxy as proxy_lib

__all__ = [
    "CALLER_PORT",
    "EXEMPT_PATH",
    "MEMORY_MB",
    "METRICS_PORT",
    "PEER_PORT",
    "READY_PORT",
    "Fleet",
    "Vm",
]

MEMORY_MB = 300
CALLER_PORT = 8304
EXEMPT_PATH = "/probes/"
METRICS_PORT = 9464
PEER_PORT = 7620
READY_PORT = 8302

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_CALLER_PORT = 8304
_READY_PORT = 8302
# The daemon's own port where others reach it through a proxy.
_PEER_LISTEN_PORT = 8620
_MAX_DESCRIPTORS = 4_100
_START_LIMIT_S = 30.0
_END_LIMIT_S = 10.0
_POLL_S = 0.05
_NET_TRIES = 50
_UNAVAILABLE = 503


class Vm:
    """A VM: a daemon, which is not started again, and its target.

    Attributes:
      name: Name of the VM.
      host: Its address.
      log: Log of the daemon.
      target: The target.
      peer_link: Proxy through which other daemons reach this one, if the fleet
        has proxies.
    """

    def __init__(self, fleet: "Fleet", name: str, host: str, service: str):
        self.name = name
        self.host = host
        self.log = fleet.folder / f"{name}.log"
        self.target = raw_target.Target(f"t-{name}", service, "za", host)
        self.peer_link = proxy_lib.Proxy(
            host, PEER_PORT, (host, _PEER_LISTEN_PORT)
        )
        self._fleet = fleet
        self._service = service
        self._process: asyncio.subprocess.Process | None = None
        self._memory: memory_watch.MemoryWatch | None = None

    @property
    def caller_address(self) -> tuple[str, int]:
        """Where the daemon accepts callers."""
        return self.host, CALLER_PORT

    @property
    def pid(self) -> int:
        """Id of the daemon's process."""
        assert self._process is not None
        return self._process.pid

    @property
    def memory(self) -> memory_watch.MemoryWatch:
        """Memory of the daemon."""
        assert self._memory is not None
        return self._memory

    async def start(self) -> None:
        """Starts daemon and target."""
        if self._fleet.has_proxies:
            await self.peer_link.listen()
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *_command(),
                cwd=_ROOT,
                env=self._environment(),
                stdout=log,
                stderr=log,
                preexec_fn=functools.partial(
                    resource.setrlimit,
                    resource.RLIMIT_NOFILE,
                    (self._fleet.max_descriptors,) * 2,
                ),
            )
        self._memory = memory_watch.MemoryWatch(self._process.pid)
        self.target.start()

    def spawn(
        self, has_settings: bool = True, has_streams: bool = True
    ) -> subprocess.Popen[bytes]:
        """Starts a daemon alone, which the caller ends.

        Args:
          has_settings: Whether its file is complete; otherwise it is empty, and
            `write_settings` makes it complete.
          has_streams: Whether its standard streams are open.
        """
        environment = self._environment()
        if not has_settings:
            self._settings_path.write_text("")
        with self.log.open("ab") as log:
            return subprocess.Popen(
                _command(),
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=None if has_streams else _close_streams,
            )

    def events(self) -> list[dict[str, Any]]:
        """Returns the lines of the log that are objects, in their order."""
        if not self.log.exists():
            return []
        lines = self.log.read_text().split("\n")[:-1]
        return [json.loads(line) for line in lines if line.startswith("{")]

    def has_adopted(self, version: int) -> bool:
        """Returns whether the daemon has adopted a version."""
        return any(
            event["event"] == "configuration-adopted"
            and event["version"] == version
            for event in self.events()
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the daemon."""
        assert self._process is not None
        self._process.send_signal(number)

    def has_ended(self) -> bool:
        """Returns whether the daemon has ended."""
        return self._process is None or self._process.returncode is not None

    async def wait(self) -> int:
        """Returns the exit code of the daemon."""
        assert self._process is not None
        async with asyncio.timeout(_END_LIMIT_S):
            return await self._process.wait()

    async def stop(self) -> None:
        """Ends daemon, target and proxy."""
        self.peer_link.close()
        if self._memory is not None:
            self.target.stop()
            self._memory.stop()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Returns whether the daemon answers that it is ready."""
        try:
            caller = await raw_http.Caller.connect((self.host, READY_PORT))
        except OSError:
            return False
        with contextlib.closing(caller):
            caller.send_head("GET", "/readiness", 0)
            return await caller.read_status() == 200

    def write_settings(self, is_whole: bool = True) -> None:
        """Writes the settings file, whole or only the first half of it."""
        lines = self._settings()
        if not is_whole:
            lines = lines[: len(lines) // 2]
        self._settings_path.write_text("\n".join(lines) + "\n")

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._fleet.folder / f"{self.name}.conf"

    def _environment(self) -> dict[str, str]:
        """Writes the settings and returns the variables of the process."""
        self.write_settings()
        # The platform has the packages of the daemon on this path.
        packages = sysconfig.get_path("purelib")
        environment = {
            **os.environ,
            "MUSTARDLOOM_CONFIG": str(self._settings_path),
            "PYTHONPATH": packages,
        }
        if self._fleet.has_proxies:
            environment["MUSTARDLOOM_PEER_LISTEN_PORT"] = str(_PEER_LISTEN_PORT)
        return environment

    def _settings(self) -> list[str]:
        host = self.host
        return [
            f"node_id={self.name}",
            f"ip={host}",
            "zone=za",
            "region=ra",
            "zones.za=ra",
            f"listen.outbound={host}:{CALLER_PORT}",
            f"listen.ready={host}:{READY_PORT}",
            f"listen.control={host}:{raw_target.CONTROL_PORT}",
            f"internal_ports={PEER_PORT},{PEER_PORT + 1}",
            f"limits.memory_mb={MEMORY_MB}",
            f"limits.max_fds={self._fleet.max_descriptors}",
            "heartbeat=400ms",
            f"bounds=drain=2500ms,grace={self._fleet.grace_ms}ms,"
            "hold_max=10000ms",
            f"app_addr={host}:{raw_target.TARGET_PORT}",
            f"service={self._service}",
            f"platform.address=127.0.0.1:{self._fleet.store_port}",
        ]


class Fleet:
    """Daemons, their targets and the store, as an async context.

    Args:
      folder: For settings and logs.
      services: Service of each VM.
      grace_ms: Time that a daemon has to stop.
      has_proxies: Whether a proxy stands before the links of each daemon.
      max_descriptors: Limit on the descriptors of a daemon; it holds for the
        process, and the settings name it.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        services: list[str],
        grace_ms: int = 6_000,
        has_proxies: bool = False,
        max_descriptors: int = _MAX_DESCRIPTORS,
    ):
        self.folder = folder
        self.has_proxies = has_proxies
        self.grace_ms = grace_ms
        self.max_descriptors = max_descriptors
        self._store = standins.Store()
        self.store_port = 0
        self.vms = [
            Vm(self, f"vm-{index}", host, service)
            for index, (host, service) in enumerate(
                zip(_free_hosts(len(services)), services, strict=True)
            )
        ]

    async def __aenter__(self) -> Self:
        """Returns the fleet once all daemons are ready."""
        self.store_port = self._store.listen()
        self._store.put("config", "main", json.dumps(_CONFIGURATION).encode())
        for vm in self.vms:
            await vm.start()
        async with asyncio.timeout(_START_LIMIT_S):
            while not all([await vm.is_ready() for vm in self.vms]):
                await asyncio.sleep(_POLL_S)
            while await raw_http.upload(self.vms[0].caller_address, 1) != 200:
                await asyncio.sleep(_POLL_S)
        return self

    def write_configuration(
        self, version: int, tenants: list[dict[str, Any]]
    ) -> None:
        """Writes a version of the configuration that has organisations.

        Requests to `EXEMPT_PATH` need no key.
        """
        exempt = {**_rule("exempt", EXEMPT_PATH), "auth_exempt": True}
        (listener,) = _CONFIGURATION["listeners"]
        changed = {
            **_CONFIGURATION,
            "version": version,
            "tenants": tenants,
            "listeners": [{**listener, "rules": [*listener["rules"], exempt]}],
        }
        self._store.put("config", "main", json.dumps(changed).encode())

    def write_times(
        self, version: int, timeout_ms: int, idle_timeout_ms: int = 15_000
    ) -> None:
        """Writes a version of the configuration that has other times.

        Args:
          version: Its version.
          timeout_ms: Timeout of all routes.
          idle_timeout_ms: How long callers may keep connections idle.
        """
        (listener,) = _CONFIGURATION["listeners"]
        timeout = {"timeout": f"{timeout_ms}ms"}
        rules = [
            {**rule, "action": {**rule["action"], **timeout}}
            for rule in listener["rules"]
        ]
        idle_timeout = {"idle_timeout": f"{idle_timeout_ms}ms"}
        changed = {
            **_CONFIGURATION,
            "version": version,
            "limits": {**_CONFIGURATION["limits"], **idle_timeout},
            "listeners": [{**listener, "rules": rules}],
        }
        self._store.put("config", "main", json.dumps(changed).encode())

    def write_keyed(self, version: int) -> None:
        """Writes a version of the configuration whose services have keys."""
        clusters = [
            {**each, "sharded": True} for each in _CONFIGURATION["clusters"]
        ]
        changed = {**_CONFIGURATION, "version": version, "clusters": clusters}
        self._store.put("config", "main", json.dumps(changed).encode())

    def lose_store(self, is_gone: bool) -> None:
        """Lets the store refuse all calls, or ends it for good."""
        self._store.status = _UNAVAILABLE
        if is_gone:
            self._store.close()

    async def await_version(self, version: int) -> None:
        """Returns once all daemons have adopted a version."""
        async with asyncio.timeout(_START_LIMIT_S):
            while not all(vm.has_adopted(version) for vm in self.vms):
                await asyncio.sleep(_POLL_S)

    async def __aexit__(self, *_: object) -> None:
        """Ends everything."""
        for vm in self.vms:
            await vm.stop()
        self._store.close()


def _close_streams() -> None:
    for descriptor in (0, 1, 2):
        os.close(descriptor)


def _command() -> list[str]:
    deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    program, *arguments = shlex.split(
        deploy["roles"]["mustardloom-sidecar"]["run"]
    )
    if program == "python3":
        return [sys.executable, *arguments]
    assert program == "target/bin/mustardloom-sidecar"
    return [_launcher(), *arguments]


def _launcher() -> str:
    """Returns the program of the deploy file for this interpreter."""
    # Versions that run the interpreter itself do not have this module.
    from deploy import launcher

    return launcher.temporary()


def _free_hosts(count: int) -> list[str]:
    """Returns addresses on which the ports of a daemon are free."""
    for _ in range(_NET_TRIES):
        net = f"127.{random.randrange(2, 250)}.{random.randrange(250)}"
        hosts = [f"{net}.{index}" for index in range(1, count + 1)]
        if all(_is_free(host) for host in hosts):
            return hosts
    raise OSError("no free addresses")


def _is_free(host: str) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, CALLER_PORT))
        except OSError:
            return False
    return True


def _rule(kind: str, prefix: str) -> dict[str, object]:
    return {
        "name": f"r-{kind}",
        "kind": kind,
        "target_latency": "300ms",
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": {
            "service": "archive",
            "timeout": "20000ms",
            "max_attempts": 2,
            "allowed_regions": [],
        },
    }


_CONFIGURATION: dict[str, Any] = {
    "version": 1,
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 64 * memory_watch.MIB,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "listeners": [
        {
            "host": raw_http.HOST,
            "rules": [_rule("upload", "/scans/"), _rule("safe", "/plans/")],
        }
    ],
    "clusters": [{"name": "archive"}, {"name": "desk"}],
}
