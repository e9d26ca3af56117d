"""Compares the CPU time of daemons of several versions in one run.

    python -m bench.daemon_cost EARLIER_CLONE . --seconds 20 --rate 120

Each folder is a clone of this repository. Its daemons form a fleet of their
own, and all fleets run at the same time on loopback addresses, at rest and
then under the same load. With `--count` the daemons also count their waits
for events, reads and writes; their CPU time then includes the counting.
"""

import argparse
import asyncio
import collections
import contextlib
import os
import pathlib
import random
import struct
import subprocess
import sys
import sysconfig
import tempfile
import time

import msgspec

from bench.daemon_cost import counted
from mustardloom.http1 import client
from mustardloom.platform.tests import standins

_CALLER_PORT = 8304
_READY_PORT = 8302
_CONTROL_PORT = 8306
_TARGET_PORT = 8301
_PEER_PORT = 7620
_KEYS = 65_536
_DEADLINE_MS = 1_500
_ANSWER_LIMIT_S = 3.0
_START_LIMIT_S = 40.0
# Until the first key map is written and confirmed.
_SETTLE_S = 8.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Service and location of each VM of a fleet; repeated for larger fleets.
_VMS = (
    ("keyed", "za", "ra"),
    ("plain", "za", "ra"),
    ("plain", "zb", "ra"),
    ("keyed", "zc", "rb"),
    ("plain", "zc", "rb"),
    ("plain", "zd", "rb"),
)
# Interval of the heartbeats of a keyed target, which its daemon asks for early
# while it is busy, and of other targets.
_HEARTBEAT_S_BY_SERVICE = {"keyed": 0.16, "plain": 0.4}
_BROKEN = (client.ConnectFailed, client.ClosedEarly, client.Incomplete)
_COUNTED = pathlib.Path(counted.__file__)


class _Vm:
    """A daemon of one version and its target.

    Attributes:
      service: Service of the target.
      host: Address of the VM.
    """

    def __init__(
        self,
        name: str,
        host: str,
        root: pathlib.Path,
        folder: pathlib.Path,
        is_counted: bool,
        location: tuple[str, str, str],
    ):
        self.service, zone, self._region = location
        self.host = host
        self._name = name
        self._zone = zone
        self._root = root
        self._folder = folder
        self._counts = folder / f"{name}.counts"
        self._is_counted = is_counted
        self._process: subprocess.Popen[bytes] | None = None
        self._target = standins.Target(
            f"t-{name}",
            self.service,
            zone,
            (host, _CONTROL_PORT),
            self.service == "keyed",
            slots=16,
            work_ms=20,
        )
        self._heartbeats: asyncio.Future[None] | None = None

    def start(self, store_port: int) -> None:
        """Starts daemon and target."""
        settings = self._folder / f"{self._name}.conf"
        settings.write_text("\n".join(self._settings(store_port)))
        self._counts.write_bytes(bytes(8 * counted.COUNTS))
        packages = sysconfig.get_path("purelib")
        program = ["-m", "mustardloom.cli.sidecar"]
        if self._is_counted:
            program = [str(_COUNTED), str(self._counts)]
        with (self._folder / f"{self._name}.log").open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-S", *program],
                cwd=self._root,
                env={
                    **os.environ,
                    "MUSTARDLOOM_CONFIG": str(settings),
                    "PYTHONPATH": f"{self._root}:{packages}",
                },
                stdout=log,
                stderr=log,
            )
        self._target.listen(_TARGET_PORT, self.host)
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())

    def stop(self) -> None:
        """Ends daemon and target."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self._target.close()
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def until_ready(self) -> None:
        """Returns once the daemon answers that it is ready."""
        while True:
            if await self._is_ready():
                return
            await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        with contextlib.suppress(*_BROKEN):
            connection = await client.connect((self.host, _READY_PORT), 500)
            data = b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n"
            try:
                return (await connection.exchange(data)).status == 200
            finally:
                connection.close()
        return False

    def figures(self) -> tuple[float, ...]:
        """Returns CPU seconds, waits, reads and writes since the start."""
        assert self._process is not None
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
        counts = struct.unpack(f"{counted.COUNTS}Q", self._counts.read_bytes())
        return cpu_s, *counts

    async def _send_heartbeats(self) -> None:
        interval_s = _HEARTBEAT_S_BY_SERVICE[self.service]
        while True:
            with contextlib.suppress(*_BROKEN):
                await self._target.send_heartbeat()
            await asyncio.sleep(interval_s)

    def _settings(self, store_port: int) -> list[str]:
        host = self.host
        return [
            f"node_id={self._name}",
            f"ip={host}",
            f"zone={self._zone}",
            f"region={self._region}",
            *(f"zones.{zone}={region}" for _, zone, region in _VMS),
            f"listen.outbound={host}:{_CALLER_PORT}",
            f"listen.ready={host}:{_READY_PORT}",
            f"listen.control={host}:{_CONTROL_PORT}",
            f"internal_ports={_PEER_PORT},{_PEER_PORT + 1}",
            f"app_addr={host}:{_TARGET_PORT}",
            f"service={self.service}",
            f"platform.address=127.0.0.1:{store_port}",
            "heartbeat=400ms",
            "bounds=drain=2500ms,grace=6000ms,hold_max=10000ms",
        ]


class _Fleet:
    """The daemons of one version, as an async context.

    Attributes:
      statuses: How many requests ended with each status, 0 for none.
    """

    def __init__(
        self, root: pathlib.Path, net: int, size: int, is_counted: bool
    ):
        self.statuses: collections.Counter[int] = collections.Counter()
        self._store = standins.Store()
        self._folder = tempfile.TemporaryDirectory(prefix="daemon-cost-")
        self._vms = [
            _Vm(
                f"vm-{index}",
                f"127.201.{net}.{index + 1}",
                root,
                pathlib.Path(self._folder.name),
                is_counted,
                _VMS[index % len(_VMS)],
            )
            for index in range(size)
        ]
        self._requests: set[asyncio.Future[None]] = set()
        self._idle: dict[str, list[client.Connection]] = {}

    async def __aenter__(self) -> "_Fleet":
        """Returns the fleet once all daemons are ready."""
        port = self._store.listen()
        self._store.put("config", "main", standins.configuration(1))
        for vm in self._vms:
            vm.start(port)
        async with asyncio.timeout(_START_LIMIT_S):
            for vm in self._vms:
                await vm.until_ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends everything."""
        for vm in self._vms:
            vm.stop()
        self._store.close()
        self._folder.cleanup()

    def figures(self) -> dict[str, list[float]]:
        """Returns the figures of all daemons, summed by service."""
        sums: dict[str, list[float]] = {}
        for vm in self._vms:
            total = sums.setdefault(vm.service, [0.0] * (1 + counted.COUNTS))
            for index, figure in enumerate(vm.figures()):
                total[index] += figure
        return sums

    def count(self, service: str) -> int:
        """Returns the number of daemons beside targets of a service."""
        return sum(vm.service == service for vm in self._vms)

    async def load(self, rate_per_s: float, seconds: float, seed: int) -> None:
        """Sends requests at a steady rate, half of them with a key."""
        generator = random.Random(seed)
        began_s = time.monotonic()
        for number in range(round(rate_per_s * seconds)):
            due_s = began_s + number / rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            host = generator.choice(self._vms).host
            key = generator.randrange(_KEYS) if number % 2 else None
            sent = asyncio.ensure_future(self._send(host, number, key))
            self._requests.add(sent)
            sent.add_done_callback(self._requests.discard)

    async def _send(self, host: str, number: int, key: int | None) -> None:
        path = f"/{'plain' if key is None else 'keyed'}/{number}"
        data = standins.encode_request(
            f"{host}-{number}", path, b"", key, _DEADLINE_MS
        )
        status = 0
        with contextlib.suppress(*_BROKEN, TimeoutError):
            async with asyncio.timeout(_ANSWER_LIMIT_S):
                idle = self._idle.setdefault(host, [])
                connection = idle.pop() if idle else None
                if connection is None or not connection.is_usable():
                    connection = await client.connect(
                        (host, _CALLER_PORT), 1_000
                    )
                status = (await connection.exchange(data)).status
                idle.append(connection)
        self.statuses[status] += 1


async def _run(options: argparse.Namespace) -> None:
    async with contextlib.AsyncExitStack() as stack:
        fleets = []
        net = os.getpid() % 100
        for index, root in enumerate(options.folders):
            fleet = _Fleet(
                root.resolve(), net + 100 * index, options.vms, options.count
            )
            fleets.append(await stack.enter_async_context(fleet))
        # Warms up what the first requests create.
        await _load_all(fleets, options.rate, _SETTLE_S)
        for fleet in fleets:
            fleet.statuses.clear()
        for phase in ("rest", "load"):
            before = [fleet.figures() for fleet in fleets]
            if phase == "rest":
                await asyncio.sleep(options.seconds)
            else:
                await _load_all(fleets, options.rate, options.seconds)
            after = [fleet.figures() for fleet in fleets]
            for each in zip(
                options.folders, fleets, before, after, strict=True
            ):
                _print(phase, options, *each)


async def _load_all(
    fleets: list[_Fleet], rate_per_s: float, seconds: float
) -> None:
    seed = random.randrange(1 << 30)
    await asyncio.gather(
        *(fleet.load(rate_per_s, seconds, seed) for fleet in fleets)
    )


def _print(
    phase: str,
    options: argparse.Namespace,
    root: pathlib.Path,
    fleet: _Fleet,
    before: dict[str, list[float]],
    after: dict[str, list[float]],
) -> None:
    for service, sums in after.items():
        daemon_s = fleet.count(service) * options.seconds
        rates = [
            (new - old) / daemon_s
            for new, old in zip(sums, before[service], strict=True)
        ]
        figures = dict(
            zip(("cpu", "waits", "recv", "send"), rates, strict=True)
        )
        line = {"phase": phase, "folder": str(root), "beside": service}
        rounded = {name: round(value, 5) for name, value in figures.items()}
        print(msgspec.json.encode({**line, **rounded}).decode(), flush=True)
    if phase == "load":
        print(root, "statuses", dict(fleet.statuses), flush=True)


def main() -> None:
    """Prints figures per daemon and second."""
    parser = argparse.ArgumentParser(prog="bench.daemon_cost")
    parser.add_argument("folders", nargs="+", type=pathlib.Path)
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=120.0)
    parser.add_argument("--count", action="store_true")
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
