"""Tests of the program that starts the interpreter."""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import pytest

from deploy import launcher
from mustardloom import process_signals

_PRINT_HELD_SIGNALS = """
import signal
for each in signal.pthread_sigmask(signal.SIG_BLOCK, []):
    print(each.name)
"""
_PRINT_INTERPRETER = """
import json, sys
print(json.dumps([sys.version, sys.executable, sys.prefix]))
"""
# Ends by the signal only once it lets it through.
_AWAIT_LINE = "input()"
_HOLD_LIMIT_S = 10.0
_END_LIMIT_S = 10.0


@pytest.fixture
def static_program(tmp_path, monkeypatch):
    """Returns the program for an interpreter without a shared library."""
    monkeypatch.setattr(launcher, "_library", lambda: None)
    program = tmp_path / launcher.PROGRAM.name
    made = launcher.make(program)
    assert made == (
        "compiled to execute the interpreter: "
        "the interpreter has no shared library"
    )
    return program


def _output(program: pathlib.Path, code: str) -> str:
    command = [str(program), "-S", "-c", code]
    return subprocess.run(
        command, check=True, capture_output=True, text=True
    ).stdout


def _daemon_signals() -> set[str]:
    held = process_signals.STOP | process_signals.UNUSED
    return {each.name for each in held | {process_signals.RELOAD}}


def _await_held(process: subprocess.Popen[str]) -> None:
    """Returns once the process holds SIGHUP back."""
    limit_s = time.monotonic() + _HOLD_LIMIT_S
    status = pathlib.Path(f"/proc/{process.pid}/status")
    bit = 1 << (signal.SIGHUP - 1)
    while True:
        (mask,) = (
            line.split()[1]
            for line in status.read_text().splitlines()
            if line.startswith("SigBlk:")
        )
        if int(mask, 16) & bit:
            return
        assert process.poll() is None
        assert time.monotonic() < limit_s


def test_launcher_and_daemon_hold_different_signals(tmp_path):
    """Guards against a signal that only one of two lists names."""
    program = tmp_path / launcher.PROGRAM.name
    assert launcher.make(program) == "compiled"
    held = _output(program, _PRINT_HELD_SIGNALS).split()
    assert set(held) == _daemon_signals()


def test_interpreter_without_a_library_lets_signals_through(static_program):
    """Guards against a plain link where the compiler could do better."""
    assert not static_program.is_symlink()
    held = _output(static_program, _PRINT_HELD_SIGNALS).split()
    assert set(held) == _daemon_signals()


def test_interpreter_without_a_library_is_another_one(static_program):
    """Guards against modules that are found beside the program."""
    found = json.loads(_output(static_program, _PRINT_INTERPRETER))
    interpreter = os.path.realpath(sys.executable)
    assert found == [sys.version, interpreter, sys.base_prefix]


def test_hangup_ends_an_interpreter_without_a_library(static_program):
    """Guards against a mask that the interpreter does not inherit."""
    process = subprocess.Popen(
        [str(static_program), "-S", "-c", _AWAIT_LINE],
        stdin=subprocess.PIPE,
        text=True,
    )
    try:
        _await_held(process)
        process.send_signal(signal.SIGHUP)
        process.communicate("line\n", timeout=_END_LIMIT_S)
        assert process.returncode == 0
    finally:
        process.kill()
        process.wait()


def test_whole_program_for_no_library_is_compiled_again(tmp_path, monkeypatch):
    """Guards against a manifest that only fits the other program."""
    monkeypatch.setattr(launcher, "_library", lambda: None)
    assert launcher.build(tmp_path).startswith("compiled to execute")
    assert launcher.build(tmp_path) == "is whole"


def test_library_that_cannot_be_loaded_makes_a_link(tmp_path, monkeypatch):
    """Guards against a link where the interpreter can be executed."""
    library = tmp_path / "libpython.so"
    library.write_bytes(b"no library")
    monkeypatch.setattr(launcher, "_library", lambda: library)
    program = tmp_path / launcher.PROGRAM.name
    made = launcher.make(program)
    assert made == (
        "compiled to execute the interpreter: the compiled program does not run"
    )
    assert set(_output(program, _PRINT_HELD_SIGNALS).split())


def test_compiler_that_fails_fails_the_build(tmp_path, monkeypatch):
    """Guards against a machine whose compiler has no headers."""
    monkeypatch.setattr(shutil, "which", lambda _: "/bin/false")
    program = tmp_path / launcher.PROGRAM.name
    made = launcher.make(program)
    assert made == "is a link to the interpreter: /bin/false failed"
    assert program.is_symlink()
    assert _output(program, _PRINT_HELD_SIGNALS) == ""


def _refuse(*_: object, **__: object) -> None:
    raise PermissionError("read-only")


def test_link_in_a_read_only_folder_fails_the_build(tmp_path, monkeypatch):
    """Guards against a need to write what is right already."""
    monkeypatch.setattr(shutil, "which", lambda _: None)
    launcher.build(tmp_path)
    monkeypatch.setattr(tempfile, "TemporaryDirectory", _refuse)
    found = launcher.build(tmp_path)
    assert found == "is a link to the interpreter: read-only"


def test_link_to_another_interpreter_counts_as_right(tmp_path, monkeypatch):
    """Guards against a folder that was carried over and cannot be written."""
    program = tmp_path / launcher.PROGRAM
    program.parent.mkdir(parents=True)
    program.symlink_to("/bin/false")
    monkeypatch.setattr(tempfile, "TemporaryDirectory", _refuse)
    with pytest.raises(PermissionError):
        launcher.build(tmp_path)


def test_arguments_and_exit_code_are_lost(tmp_path):
    """Guards against a launcher that changes what the daemon is given."""
    program = tmp_path / launcher.PROGRAM.name
    launcher.make(program)
    code = "import sys; sys.exit(sys.argv[1:] == ['--a', 'b c', ''] and 7)"
    command = [str(program), "-S", "-c", code, "--a", "b c", ""]
    assert subprocess.run(command, check=False).returncode == 7
