"""Starts a fleet of real processes on loopback addresses."""

from collections.abc import Sequence
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

from bench import deployments

__all__ = ["Fleet", "Node", "http_json"]

_ROOT = pathlib.Path(__file__).parent.parent
_CALLER_PORT = 7000
_PEER_PORT = 7001
_ADMIN_PORT = 7002
_TARGET_PORT = 8000
_PLATFORM_PORT = 6000
_HTTP_TIMEOUT_S = 3.0
_STOP_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05
_FLEET_KEY = "bench-fleet-key"
# Range of the second byte of a fleet's loopback addresses. It depends on the
# process id, so that concurrent fleets use different addresses.
_NETWORK_BASE = 16
_NETWORK_COUNT = 200


def http_json(
    url: str,
    body: Any = None,
    method: str | None = None,
    timeout_s: float = _HTTP_TIMEOUT_S,
) -> Any:
    """Sends a request with a JSON body; returns the JSON answer.

    Returns None for an empty answer.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=timeout_s) as answer:
        text = answer.read()
    return json.loads(text) if text else None


def _command(program: str, arguments: Sequence[str]) -> list[str]:
    """Returns the command line of one of the project's programs."""
    return [sys.executable, "-m", f"mustardloom.cli.{program}", *arguments]


def _json_or_none(url: str) -> Any:
    try:
        return http_json(url)
    except (urllib.error.URLError, OSError, ValueError):
        return None


@dataclasses.dataclass(slots=True)
class Node:
    """A VM of the fleet: one daemon and its target."""

    placement: deployments.Placement
    host: str
    daemon: subprocess.Popen[bytes] | None = None
    target: subprocess.Popen[bytes] | None = None

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.placement.vm

    @property
    def admin_url(self) -> str:
        """Base address of the daemon's admin endpoint."""
        return f"http://{self.host}:{_ADMIN_PORT}"

    @property
    def caller_address(self) -> str:
        """Address of the ingress."""
        return f"{self.host}:{_CALLER_PORT}"

    @property
    def target_url(self) -> str:
        """Base address of the target."""
        return f"http://{self.host}:{_TARGET_PORT}"

    def has_daemon(self) -> bool:
        """Returns whether the daemon of the VM is running."""
        return self.daemon is not None and self.daemon.poll() is None

    def processes(self) -> list[subprocess.Popen[bytes]]:
        """Returns the running processes of the VM."""
        both = (self.daemon, self.target)
        return [p for p in both if p is not None and p.poll() is None]


class Fleet:
    """Platform, daemons and targets of one deployment.

    Use as a context manager; all processes end with it.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        placements: list[deployments.Placement] | None = None,
        log_dir: pathlib.Path | None = None,
        target_options: dict[str, list[str]] | None = None,
    ):
        self.deployment = deployment
        network = _NETWORK_BASE + os.getpid() % _NETWORK_COUNT
        self.platform_host = f"127.{network}.0.1"
        self.nodes = [
            Node(
                placement, f"127.{network}.{1 + index // 250}.{1 + index % 250}"
            )
            for index, placement in enumerate(
                placements or deployments.placements(deployment)
            )
        ]
        self.by_vm = {node.vm: node for node in self.nodes}
        self.platform: subprocess.Popen[bytes] | None = None
        self._log_dir = log_dir
        self._target_options = target_options or {}
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def platform_url(self) -> str:
        """Address of the stand-in platform."""
        return f"http://{self.platform_host}:{_PLATFORM_PORT}"

    def start(self, settle_s: float = 30.0) -> None:
        """Starts all processes, applies the declarations, waits to settle."""
        self.start_platform()
        self.ctl(["apply", str(self.deployment.declarations)])
        for node in self.nodes:
            self.start_daemon(node)
        for node in self.nodes:
            self.start_target(node)
        self.wait_settled(settle_s)

    def start_with_idle_targets(self, settle_s: float) -> None:
        """Starts the fleet like `start`, with one process for all targets."""
        self.start_platform()
        self.ctl(["apply", str(self.deployment.declarations)])
        for node in self.nodes:
            self.start_daemon(node)
        self._start_idle_targets()
        self.wait_settled(settle_s)

    def start_platform(self) -> None:
        """Starts the stand-in platform and waits until it answers."""
        self.platform = self._spawn(
            "platform",
            "platform",
            "--address",
            self.platform_host,
            "--port",
            str(_PLATFORM_PORT),
        )
        self.wait_until(
            lambda: _json_or_none(f"{self.platform_url}/calls") is not None,
            10.0,
            "the stand-in platform did not answer",
        )

    def start_daemon(self, node: Node) -> None:
        """Starts the daemon of a VM."""
        node.daemon = self._spawn(
            f"daemon-{node.vm}",
            "daemon",
            "--vm",
            node.vm,
            "--region",
            node.placement.region,
            "--availability-zone",
            node.placement.zone,
            "--platform",
            self.platform_url,
            "--caller-address",
            node.caller_address,
            "--peer-address",
            f"{node.host}:{_PEER_PORT}",
            "--admin-address",
            f"{node.host}:{_ADMIN_PORT}",
            "--log-intervals",
        )

    def start_target(self, node: Node) -> None:
        """Starts the target of a VM."""
        service = node.placement.service
        node.target = self._spawn(
            f"target-{node.vm}",
            "target",
            "--host",
            node.host,
            "--port",
            str(_TARGET_PORT),
            "--daemon-admin",
            f"{node.host}:{_ADMIN_PORT}",
            "--service",
            service,
            "--region",
            node.placement.region,
            "--zone",
            node.placement.zone,
            "--capacity",
            str(self.deployment.capacity),
            "--mean-ms",
            str(self.deployment.service_ms),
            *self._target_options.get(service, []),
        )

    def ctl(self, arguments: list[str], check: bool = True) -> str:
        """Runs mustardloomctl and returns its standard output.

        Raises:
          RuntimeError: It failed and `check` is set.
        """
        command = _command("ctl", arguments)
        done = subprocess.run(
            command,
            cwd=_ROOT,
            env=self._environment(),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if check and done.returncode != 0:
            raise RuntimeError(f"{command}: {done.stdout}{done.stderr}")
        return done.stdout

    def set_platform_faults(self, **faults: Any) -> None:
        """Replaces the stand-in platform's faults; no arguments clear them."""
        http_json(f"{self.platform_url}/faults", faults)

    def platform_calls(self) -> dict[str, int]:
        """Returns the number of calls to the platform by kind."""
        calls: dict[str, int] = http_json(f"{self.platform_url}/calls")
        return calls

    def status(self, node: Node) -> dict[str, Any] | None:
        """Returns the daemon's status, None if it does not answer."""
        status: dict[str, Any] | None = _json_or_none(
            f"{node.admin_url}/status"
        )
        return status

    def owned_slots(self) -> int:
        """Returns the sum of the slots that each daemon serves."""
        found = (self.status(node) for node in self.nodes)
        return sum(status["slots_served"] for status in found if status)

    def wait_settled(self, timeout_s: float) -> None:
        """Waits until every slot is served and no move is under way."""

        def is_settled() -> bool:
            # Killed VMs cannot answer; the others settle without them.
            running = [node for node in self.nodes if node.has_daemon()]
            statuses = [self.status(node) for node in running]
            return all(s is not None and s["settled"] for s in statuses)

        self.wait_until(is_settled, timeout_s, "the fleet did not settle")

    def kill(self, node: Node) -> None:
        """Kills daemon and target of a node by SIGKILL."""
        for process in node.processes():
            process.send_signal(signal.SIGKILL)
            process.wait()

    def pause(
        self, node: Node, daemon: bool = True, target: bool = True
    ) -> None:
        """Pauses processes of a VM by SIGSTOP."""
        self._signal(node, signal.SIGSTOP, daemon, target)

    def resume(
        self, node: Node, daemon: bool = True, target: bool = True
    ) -> None:
        """Resumes paused processes by SIGCONT."""
        self._signal(node, signal.SIGCONT, daemon, target)

    def caller(
        self, name: str, arguments: list[str]
    ) -> subprocess.Popen[bytes]:
        """Starts a caller, which writes its report to standard output."""
        return self._spawn(
            f"caller-{name}",
            "caller",
            *arguments,
            stdout=subprocess.PIPE,
        )

    def runs(self) -> list[dict[str, Any]]:
        """Returns the runs that the running targets recorded."""
        runs: list[dict[str, Any]] = []
        for node in self.nodes:
            found = _json_or_none(f"{node.target_url}/_target/runs")
            if found is not None:
                runs.extend(found["runs"])
        return runs

    def wait_until(
        self, condition: Any, timeout_s: float, message: str
    ) -> float:
        """Polls until a condition holds; returns the elapsed seconds.

        Raises:
          TimeoutError: It did not hold within `timeout_s`.
        """
        start = time.monotonic()
        while not condition():
            if time.monotonic() - start > timeout_s:
                raise TimeoutError(f"{message} within {timeout_s} s")
            time.sleep(_POLL_INTERVAL_S)
        return time.monotonic() - start

    def close(self) -> None:
        """Ends all processes that this fleet started."""
        self._stack.close()

    def _start_idle_targets(self) -> None:
        idle = [
            {
                "service": node.placement.service,
                "host": node.host,
                "port": _TARGET_PORT,
                "capacity": self.deployment.capacity,
                "daemon_admin": f"{node.host}:{_ADMIN_PORT}",
            }
            for node in self.nodes
        ]
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.idle_targets"],
            cwd=_ROOT,
            env=self._environment(),
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self._stack.callback(_kill_process, process)
        assert process.stdin is not None
        process.stdin.write(json.dumps(idle).encode())
        process.stdin.close()

    def _signal(
        self, node: Node, number: signal.Signals, daemon: bool, target: bool
    ) -> None:
        chosen = ((node.daemon, daemon), (node.target, target))
        for process, is_chosen in chosen:
            if is_chosen and process is not None and process.poll() is None:
                process.send_signal(number)

    def _environment(self) -> dict[str, str]:
        running = (node for node in self.nodes if node.processes())
        settings = {
            "MUSTARDLOOM_DAEMON": " ".join(
                f"{node.host}:{_ADMIN_PORT}" for node in running
            ),
            "MUSTARDLOOM_FLEET_KEY": _FLEET_KEY,
            "MUSTARDLOOM_PLATFORM": self.platform_url,
        }
        return {**os.environ, **settings}

    def _spawn(
        self,
        name: str,
        program: str,
        *arguments: str,
        stdout: int | None = None,
    ) -> subprocess.Popen[bytes]:
        log: Any = subprocess.DEVNULL
        if self._log_dir is not None:
            self._log_dir.mkdir(parents=True, exist_ok=True)
            path = self._log_dir / f"{name}.log"
            log = self._stack.enter_context(path.open("ab"))
        process = subprocess.Popen(
            _command(program, arguments),
            cwd=_ROOT,
            env=self._environment(),
            stdin=subprocess.DEVNULL,
            stdout=log if stdout is None else stdout,
            stderr=log,
        )
        self._stack.callback(_kill_process, process)
        return process


def _kill_process(process: subprocess.Popen[bytes]) -> None:
    if process.poll() is not None:
        return
    process.send_signal(signal.SIGCONT)
    process.kill()
    process.wait(_STOP_TIMEOUT_S)
