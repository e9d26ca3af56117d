"""Tests of signals to the process of `mustardloomd`."""

import contextlib
import re
import signal
import socket
import subprocess
import sys
import time

_ADDRESS_OPTIONS = ("--caller-address", "--peer-address", "--admin-address")
_LIMIT_S = 20
_POLL_S = 0.01
_CAUGHT = re.compile(r"SigCgt:\s*([0-9a-f]+)")
# Nothing listens there; the daemon goes on trying.
_PLATFORM = "http://127.0.0.1:1"
_HOST = "127.0.0.1"


def _free_ports(count):
    with contextlib.ExitStack() as stack:
        opened = [
            stack.enter_context(socket.create_server((_HOST, 0)))
            for _ in range(count)
        ]
        return [each.getsockname()[1] for each in opened]


def _start():
    command = [sys.executable, "-m", "mustardloom.cli.daemon"]
    command += ["--vm", "vm-1", "--region", "r-1"]
    command += ["--availability-zone", "z-1", "--platform", _PLATFORM]
    command += ["--fleet-key", "key-of-a-fleet"]
    for option, port in zip(_ADDRESS_OPTIONS, _free_ports(3), strict=True):
        command += [option, f"{_HOST}:{port}"]
    return subprocess.Popen(command, stderr=subprocess.PIPE)


def _catches_stop(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        (caught,) = _CAUGHT.findall(status.read())
    return bool(int(caught, 16) >> (signal.SIGTERM - 1) & 1)


def test_hangup_ends_the_daemon():
    """Guards against signals that end a process by default."""
    process = _start()
    try:
        limit_s = time.monotonic() + _LIMIT_S
        while not _catches_stop(process) and process.poll() is None:
            assert time.monotonic() < limit_s
            time.sleep(_POLL_S)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGUSR1)
        process.terminate()
        assert process.wait(_LIMIT_S) == 0, process.stderr.read()
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
