"""Tests of signals during the start and the end of real daemons.

They need no type of the product and run on earlier versions, too.
"""

import pathlib
import re
import signal
import socket
import subprocess
import time

import pytest

from deploy.tests import daemons

_GRACE_MS = 500
# Time from the first sign of the interpreter to the signal.
_MOMENTS_S = (0.0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16)
_INTERPRETER_LIMIT_S = 10.0
# The interpreter's program or its library among the files of a process.
_INTERPRETER = re.compile(r"/(lib)?python3[^/]*$", re.MULTILINE)
_START_LIMIT_S = 30.0
_END_LIMIT_S = 10.0
_POLL_S = 0.01
_SETTINGS_DELAY_S = 1.2
_SIGNAL_INTERVAL_S = 0.001
# Nothing listens there; a daemon starts without its store, too.
_NO_STORE_PORT = 1


@pytest.fixture
def vm(tmp_path):
    """Returns a VM whose daemon is not started yet."""
    fleet = daemons.Fleet(tmp_path, ["archive"], _GRACE_MS)
    fleet.store_port = _NO_STORE_PORT
    return fleet.vms[0]


def _await_interpreter(
    process: subprocess.Popen[bytes], wait_s: float = _INTERPRETER_LIMIT_S
) -> None:
    """Returns once the process runs or has loaded the interpreter."""
    limit_s = time.monotonic() + wait_s
    maps = pathlib.Path(f"/proc/{process.pid}/maps")
    while not _INTERPRETER.search(maps.read_text()):
        assert process.poll() is None, "ended without the interpreter"
        assert time.monotonic() < limit_s, "no interpreter"


def _signal_at(
    process: subprocess.Popen[bytes], moment_s: float, number: signal.Signals
) -> None:
    _await_interpreter(process)
    time.sleep(moment_s)
    process.send_signal(number)


def _has_event(vm: daemons.Vm, event: str, count: int) -> bool:
    return [each["event"] for each in vm.events()].count(event) >= count


def _await_listener(vm: daemons.Vm) -> None:
    """Returns once the daemon accepts callers."""
    limit_s = time.monotonic() + _START_LIMIT_S
    while True:
        try:
            socket.create_connection(vm.caller_address).close()
        except ConnectionRefusedError:
            assert time.monotonic() < limit_s
            time.sleep(_POLL_S)
        else:
            return


def _check_last_line(vm: daemons.Vm, **expected: object) -> None:
    """Checks that the log ends with the line that tells why."""
    last = vm.events()[-1]
    assert last["event"] == "end"
    assert {name: last[name] for name in expected} == expected


def _await_start(
    vm: daemons.Vm,
    process: subprocess.Popen[bytes],
    event: str = "start",
    count: int = 1,
) -> None:
    """Returns once the log has the line of the start, or the process ended."""
    limit_s = time.monotonic() + _START_LIMIT_S
    while not _has_event(vm, event, count) and process.poll() is None:
        assert time.monotonic() < limit_s
        time.sleep(_POLL_S)


def test_process_without_an_interpreter_is_signalled():
    """Guards against signals that come after the time they are meant for."""
    process = subprocess.Popen(["sleep", "60"])
    try:
        with pytest.raises(AssertionError, match="no interpreter"):
            _await_interpreter(process, wait_s=0.1)
    finally:
        _end(process)


@pytest.mark.parametrize("moment_s", _MOMENTS_S)
def test_hangup_while_the_interpreter_starts_ends_the_daemon(vm, moment_s):
    """Guards against SIGHUP before its handler is set, which ends a process."""
    process = vm.spawn()
    try:
        _signal_at(process, moment_s, signal.SIGHUP)
        _await_start(vm, process)
        assert process.poll() is None
        process.terminate()
        assert process.wait(_END_LIMIT_S) == 0
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("moment_s", _MOMENTS_S)
def test_stop_while_the_interpreter_starts_counts_as_a_fault(vm, moment_s):
    """Guards against SIGTERM before its handler is set: exit code -15."""
    process = vm.spawn()
    try:
        _signal_at(process, moment_s, signal.SIGTERM)
        assert process.wait(_START_LIMIT_S) == 0
        _check_last_line(vm, reason="stop", exit_code=0, signal="SIGTERM")
        assert "Traceback" not in vm.log.read_text()
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    "number",
    (signal.SIGHUP, signal.SIGUSR1, signal.SIGINT, signal.SIGTERM),
    ids=lambda number: number.name,
)
def test_signal_while_the_process_ends_changes_its_exit_code(vm, number):
    """Guards against handlers that are given back before the process ends."""
    process = vm.spawn()
    try:
        _await_start(vm, process)
        process.terminate()
        limit_s = time.monotonic() + _END_LIMIT_S
        while process.poll() is None and time.monotonic() < limit_s:
            process.send_signal(number)
            time.sleep(_SIGNAL_INTERVAL_S)
        assert process.poll() == 0
        assert "Traceback" not in vm.log.read_text()
        _check_last_line(vm, reason="stop", exit_code=0)
        # Of two signals to stop that wait, the system may deliver either first.
        stops = {"SIGTERM"} | {number.name} & {"SIGINT"}
        assert vm.events()[-1]["signal"] in stops
    finally:
        process.kill()
        process.wait()


def _end(*processes: subprocess.Popen[bytes]) -> None:
    for process in processes:
        process.kill()
        process.wait()


def test_process_beside_one_in_its_grace_ends_at_once(vm):
    """Guards against a start that fails as its predecessor still stops."""
    earlier = vm.spawn()
    _await_start(vm, earlier)
    later = vm.spawn()
    try:
        _await_start(vm, later, "address-in-use")
        assert later.poll() is None
        earlier.terminate()
        assert earlier.wait(_END_LIMIT_S) == 0
        _await_start(vm, later, "start", 2)
        assert later.poll() is None
        assert _has_event(vm, "address-free", 1)
        later.terminate()
        assert later.wait(_END_LIMIT_S) == 0
    finally:
        _end(earlier, later)


def test_stop_of_a_process_that_waits_for_an_address_counts_as_a_fault(vm):
    """Guards against a wait that a signal does not end."""
    earlier = vm.spawn()
    _await_start(vm, earlier)
    later = vm.spawn()
    try:
        _await_start(vm, later, "address-in-use")
        later.send_signal(signal.SIGHUP)
        later.terminate()
        assert later.wait(_END_LIMIT_S) == 0
        assert earlier.poll() is None
        _check_last_line(vm, reason="stop", exit_code=0, signal="SIGTERM")
    finally:
        _end(earlier, later)


def test_process_waits_for_an_address_for_ever(vm):
    """Guards against a process that neither serves nor ends."""
    earlier = vm.spawn()
    _await_start(vm, earlier)
    later = vm.spawn()
    try:
        assert later.wait(_START_LIMIT_S) == 1
        assert _has_event(vm, "address-in-use", 1)
        assert earlier.poll() is None
        _check_last_line(vm, reason="fault", exit_code=1)
        assert vm.host in vm.events()[-1]["error"]
    finally:
        _end(earlier, later)


def test_process_that_cannot_have_its_address_ends_without_a_reason(vm):
    """Guards against an exit code of 1 that only a traceback explains."""
    vm.host = "192.0.2.1"
    process = vm.spawn()
    try:
        assert process.wait(_START_LIMIT_S) == 1
        _check_last_line(vm, reason="fault", exit_code=1)
        assert vm.host in vm.events()[-1]["error"]
        assert "Traceback" not in vm.log.read_text()
    finally:
        _end(process)


def test_process_with_invalid_settings_ends_without_a_line(vm):
    """Guards against an end that is told on standard error only."""
    vm.name = ""
    process = vm.spawn()
    try:
        assert process.wait(_START_LIMIT_S) == 2
        _check_last_line(vm, reason="settings", exit_code=2)
    finally:
        _end(process)


def test_process_that_starts_before_its_settings_file_ends(vm):
    """Guards against a file that the platform is about to write or replace."""
    process = vm.spawn(has_settings=False)
    try:
        time.sleep(_SETTINGS_DELAY_S)
        vm.write_settings()
        _await_start(vm, process)
        assert process.poll() is None
        process.terminate()
        assert process.wait(_END_LIMIT_S) == 0
        _check_last_line(vm, reason="stop", exit_code=0)
    finally:
        _end(process)


def test_stop_of_a_process_without_settings_counts_as_a_fault(vm):
    """Guards against a wait that a signal does not end."""
    process = vm.spawn(has_settings=False)
    try:
        _await_start(vm, process, "settings-awaited")
        process.terminate()
        assert process.wait(_END_LIMIT_S) == 0
        _check_last_line(vm, reason="stop", exit_code=0, signal="SIGTERM")
    finally:
        _end(process)


def test_log_of_a_process_without_standard_output_goes_to_a_socket(vm):
    """Guards against a socket that gets the descriptor of the log."""
    process = vm.spawn(has_streams=False)
    try:
        _await_listener(vm)
        folder = pathlib.Path(f"/proc/{process.pid}/fd")
        assert {str((folder / each).readlink()) for each in "012"} == {
            "/dev/null"
        }
        process.terminate()
        assert process.wait(_END_LIMIT_S) == 0
    finally:
        _end(process)
