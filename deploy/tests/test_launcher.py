"""Tests of the program that starts the interpreter."""

import subprocess

from deploy import launcher
from mustardloom import process_signals

_PRINT_HELD_SIGNALS = """
import signal
for each in signal.pthread_sigmask(signal.SIG_BLOCK, []):
    print(each.name)
"""


def test_launcher_and_daemon_hold_different_signals(tmp_path):
    """Guards against a signal that only one of two lists names."""
    program = tmp_path / launcher.PROGRAM.name
    assert launcher.make(program) == "compiled"
    command = [str(program), "-S", "-c", _PRINT_HELD_SIGNALS]
    output = subprocess.run(command, check=True, capture_output=True).stdout
    held = process_signals.STOP | process_signals.UNUSED
    names = {each.name for each in held | {process_signals.RELOAD}}
    assert set(output.decode().split()) == names


def test_arguments_and_exit_code_are_lost(tmp_path):
    """Guards against a launcher that changes what the daemon is given."""
    program = tmp_path / launcher.PROGRAM.name
    launcher.make(program)
    code = "import sys; sys.exit(sys.argv[1:] == ['--a', 'b c', ''] and 7)"
    command = [str(program), "-S", "-c", code, "--a", "b c", ""]
    assert subprocess.run(command, check=False).returncode == 7
