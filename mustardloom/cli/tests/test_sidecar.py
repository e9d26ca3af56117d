"""Tests of the daemon's process before it serves."""

import os
import signal
import subprocess
import sys
import time

_START_LIMIT_S = 20
_POLL_S = 0.001


def _holds_hangup(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("SigBlk:"):
                held = int(line.split()[1], 16)
                return bool(held >> (signal.SIGHUP - 1) & 1)
    return False


def test_change_of_settings_during_the_start_does_not_end_the_process():
    """Guards against SIGHUP before its handler is set, which ends a process.

    Here the settings are missing, so that the process ends by itself later.
    """
    environment = {**os.environ, "MUSTARDLOOM_CONFIG": "/nonexistent"}
    process = subprocess.Popen(
        [sys.executable, "-m", "mustardloom.cli.sidecar"],
        env=environment,
        stderr=subprocess.DEVNULL,
    )
    try:
        is_held = False
        while not is_held and process.poll() is None:
            is_held = _holds_hangup(process.pid)
            time.sleep(_POLL_S)
        assert is_held
        process.send_signal(signal.SIGHUP)
        assert process.wait(_START_LIMIT_S) == 2
    finally:
        process.kill()
        process.wait()
