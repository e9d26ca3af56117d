"""Processes of one VM: the daemon under test and its target."""

import asyncio
from collections.abc import Coroutine
import os
import pathlib
import signal
import sys
import sysconfig
import tempfile

import msgspec

from deploy import launcher
from mustardloom import clock as clock_lib
from mustardloom.platform import settings_file
from soak import evidence as evidence_lib
from soak import proxy as proxy_lib

__all__ = ["Vm"]

_CALLER_PORT = 8304
_READY_PORT = 8302
_CONTROL_PORT = 8306
_TARGET_PORT = 8301
_PEER_PORT = 7620
_METRICS_PORT = 9464
# Distance between the port of a proxy and the port behind it.
_PROXY_OFFSET = 1_000
_STORE_PROXY_PORT = 9_309
_RESTART_PAUSE_S = 0.5
_GRACE_S = 6
_MAX_LINE_BYTES = 4 * 1024 * 1024
_PYTHON = sys.executable
_CONFIG_VARIABLE = settings_file.ENVIRONMENT_VARIABLE


class Vm:
    """A VM: its daemon, its target, and a proxy on each link of the daemon.

    Attributes:
      name: Name of the VM.
      service: Service of the VM's target.
      availability_zone: Availability zone of the VM.
      region: Region of the VM.
      log: File of the daemon's log.
      proxy_by_link: Proxies on the links `caller`, `peer`, `target`, `store`.
    """

    def __init__(
        self,
        name: str,
        host: str,
        location: tuple[str, str],
        service: str,
        store_port: int,
        folder: pathlib.Path,
        evidence: evidence_lib.Evidence,
        clock: clock_lib.Clock,
        work_ms: int,
    ):
        self.name = name
        self.service = service
        self.availability_zone, self.region = location
        self.log = folder / f"{name}.log"
        self._host = host
        self._settings = folder / f"{name}.conf"
        self._evidence = evidence
        self._clock = clock
        self._work_ms = work_ms
        self._daemon: asyncio.subprocess.Process | None = None
        self._target: asyncio.subprocess.Process | None = None
        self._instance_count = 0
        self._is_end_expected = False
        self._is_closing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.proxy_by_link = {
            "caller": self._make_proxy(
                _CALLER_PORT + _PROXY_OFFSET, _CALLER_PORT
            ),
            "peer": self._make_proxy(_PEER_PORT, _PEER_PORT + _PROXY_OFFSET),
            "target": self._make_proxy(
                _TARGET_PORT, _TARGET_PORT + _PROXY_OFFSET
            ),
            "store": proxy_lib.Proxy(
                host, _STORE_PROXY_PORT, ("127.0.0.1", store_port)
            ),
        }

    @property
    def caller_address(self) -> tuple[str, int]:
        """Host and port to which callers send requests, through the proxy."""
        return self._host, _CALLER_PORT + _PROXY_OFFSET

    @property
    def direct_address(self) -> tuple[str, int]:
        """Host and port on which the daemon itself listens for callers."""
        return self._host, _CALLER_PORT

    async def start(self) -> None:
        """Starts proxies, target and daemon."""
        self.write_settings(grace_ms=_GRACE_S * 1_000)
        for proxy in self.proxy_by_link.values():
            await proxy.listen()
        self._start_task(self._run_daemon())
        await self.start_target()

    async def stop(self) -> None:
        """Kills daemon and target, and closes the proxies."""
        self._is_closing = True
        for process in (self._daemon, self._target):
            _signal(process, signal.SIGKILL)
        for task in self._tasks:
            task.cancel()
        for process in (self._daemon, self._target):
            if process is not None:
                await process.wait()
        for proxy in self.proxy_by_link.values():
            proxy.close()

    async def lose(self) -> None:
        """Kills daemon and target, which are not started again."""
        self._is_closing = True
        for process in (self._daemon, self._target):
            _signal(process, signal.SIGKILL)
        for process in (self._daemon, self._target):
            if process is not None:
                await process.wait()
        for proxy in self.proxy_by_link.values():
            proxy.close()

    def write_settings(self, grace_ms: int) -> None:
        """Replaces the settings file atomically, as the platform does."""
        host = self._host
        lines = (
            f"node_id={self.name}",
            f"ip={host}",
            f"zone={self.availability_zone}",
            f"region={self.region}",
            f"listen.outbound={host}:{_CALLER_PORT}",
            f"listen.ready={host}:{_READY_PORT}",
            f"listen.control={host}:{_CONTROL_PORT}",
            f"internal_ports={_PEER_PORT},{_PEER_PORT + 1}",
            f"app_addr={host}:{_TARGET_PORT}",
            f"service={self.service}",
            f"platform.address={host}:{_STORE_PROXY_PORT}",
            "heartbeat=400ms",
            f"bounds=drain=2500ms,grace={grace_ms}ms,hold_max=10000ms",
        )
        with tempfile.NamedTemporaryFile(
            "w", dir=self._settings.parent, delete=False
        ) as file:
            file.write("\n".join(lines))
        os.replace(file.name, self._settings)

    # The daemon.

    def signal_daemon(self, number: signal.Signals) -> None:
        """Sends a signal to the daemon, if it is running."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_end_expected = True
        _signal(self._daemon, number)

    async def restart_daemon(self) -> None:
        """Stops the daemon by SIGTERM; `_run_daemon` starts it again.

        A daemon that outlasts its grace period is recorded as an error and
        killed.
        """
        process = self._daemon
        self.signal_daemon(signal.SIGTERM)
        if process is None:
            return
        try:
            async with asyncio.timeout(_GRACE_S):
                await process.wait()
        except TimeoutError:
            self._evidence.errors.append(
                f"{self.name}: daemon outlasted its grace period; killed"
            )
            _signal(process, signal.SIGKILL)

    async def _run_daemon(self) -> None:
        environment = {
            **os.environ,
            _CONFIG_VARIABLE: str(self._settings),
            # The platform has the packages of the daemon on this path.
            "PYTHONPATH": sysconfig.get_path("purelib"),
        }
        while not self._is_closing:
            self._is_end_expected = False
            with self.log.open("ab") as log:
                self._daemon = await asyncio.create_subprocess_exec(
                    launcher.temporary(),
                    "-S",
                    "-m",
                    "mustardloom.cli.sidecar",
                    f"--peer-listen-port={_PEER_PORT + _PROXY_OFFSET}",
                    f"--metrics-port={_METRICS_PORT}",
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            code = await self._daemon.wait()
            if not self._is_end_expected and not self._is_closing:
                self._evidence.errors.append(
                    f"{self.name}: daemon ended unexpectedly, code {code}"
                )
            await asyncio.sleep(_RESTART_PAUSE_S)

    # The target.

    async def start_target(self) -> None:
        """Starts the next target instance, under a new name."""
        self._instance_count += 1
        name = f"t-{self.name}-{self._instance_count}"
        instance = evidence_lib.TargetInstance(
            name,
            self.name,
            self.service,
            self.availability_zone,
            self.region,
        )
        self._evidence.instance_by_name[name] = instance
        arguments = [name, self.service, self.availability_zone, self._host]
        ports = (_TARGET_PORT + _PROXY_OFFSET, _TARGET_PORT, _CONTROL_PORT)
        arguments += [str(port) for port in ports]
        arguments.append(f"--work-ms={self._work_ms}")
        if self.service == "keyed":
            arguments.append("--keyed")
        self._target = await asyncio.create_subprocess_exec(
            _PYTHON,
            "-m",
            "soak.target",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            limit=_MAX_LINE_BYTES,
        )
        self._start_task(self._read_events(self._target, instance))

    def signal_target(self, number: signal.Signals) -> None:
        """Sends a signal to the target, if it is running."""
        _signal(self._target, number)

    async def replace_target(self, number: signal.Signals) -> None:
        """Ends the target by a signal and starts the next instance."""
        process = self._target
        self.signal_target(number)
        if process is not None:
            await process.wait()
        await asyncio.sleep(_RESTART_PAUSE_S)
        if not self._is_closing:
            await self.start_target()

    async def _read_events(
        self,
        process: asyncio.subprocess.Process,
        instance: evidence_lib.TargetInstance,
    ) -> None:
        assert process.stdout is not None
        run_by_id: dict[str, evidence_lib.Run] = {}
        async for line in process.stdout:
            self._record(msgspec.json.decode(line), instance, run_by_id)
        instance.ended_ms = self._clock.now_ms()

    def _record(
        self,
        line: dict[str, object],
        instance: evidence_lib.TargetInstance,
        run_by_id: dict[str, evidence_lib.Run],
    ) -> None:
        event = line.pop("event")
        at_ms = msgspec.convert(line.pop("at_ms"), int)
        match event:
            case "hold":
                held = msgspec.convert(line, _HoldEvent)
                self._evidence.holdings.append(
                    evidence_lib.Holding(
                        instance.name, held.rows, at_ms, held.until_ms
                    )
                )
            case "begin":
                run = msgspec.convert(
                    {**line, "life": instance.name, "began_ms": at_ms},
                    evidence_lib.Run,
                )
                run_by_id[run.request_id] = run
                self._evidence.runs.append(run)
            case "end":
                run_by_id[str(line["request_id"])].ended_ms = at_ms
            case "leaving":
                instance.leaving_ms = at_ms
            case "statement":
                instance.statements.append(
                    msgspec.convert(
                        {**line, "at_ms": at_ms}, evidence_lib.Statement
                    )
                )
            case other:
                raise ValueError(f"unknown event {other!r}")

    def _start_task(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(call)
        task.add_done_callback(self._on_done)
        self._tasks.add(task)

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self._evidence.errors.append(
                f"soak failed at {self.name}: {error!r}"
            )

    def _make_proxy(self, port: int, upstream_port: int) -> proxy_lib.Proxy:
        return proxy_lib.Proxy(self._host, port, (self._host, upstream_port))


class _HoldEvent(msgspec.Struct):
    rows: list[evidence_lib.Row]
    until_ms: int


def _signal(
    process: asyncio.subprocess.Process | None, number: signal.Signals
) -> None:
    if process is not None and process.returncode is None:
        process.send_signal(number)
