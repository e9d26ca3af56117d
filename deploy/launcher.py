"""Builds `target/bin/mustardloom-sidecar`, the program that the daemon runs in.

It is compiled from `launcher.c` for the interpreter that runs the build: it
loads the interpreter's shared library or, where that is not possible, executes
the interpreter. Without a compiler it is a link to the interpreter: the daemon
runs, and only a signal that comes before its first line still ends it.
"""

import atexit
import functools
import hashlib
import json
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig
import tempfile

__all__ = ["PROGRAM", "build", "make", "temporary"]

PROGRAM = pathlib.Path("target/bin/mustardloom-sidecar")

_SOURCE = pathlib.Path(__file__).with_name("launcher.c")
_MANIFEST_SUFFIX = ".manifest.json"
_COMPILERS = ("cc", "gcc", "clang")
_COMPILE_LIMIT_S = 120
_CHECK_LIMIT_S = 60
_LINKED = "is a link to the interpreter"
# Ends with an error unless it runs in the same interpreter with signals held.
_CHECK = """
import signal, sys
is_held = signal.SIGHUP in signal.pthread_sigmask(signal.SIG_BLOCK, [])
sys.exit(not is_held or sys.version != sys.argv[1])
"""


def build(root: pathlib.Path) -> str:
    """Makes the program whole for this machine; returns what was done.

    Args:
      root: Folder of the repository.

    Raises:
      OSError: The program can be neither compiled nor linked.
    """
    program = root / PROGRAM
    if _is_whole(program):
        return "is whole"
    program.parent.mkdir(parents=True, exist_ok=True)
    try:
        return make(program)
    except OSError as error:
        if not _is_right_link(program):
            raise
        return f"{_LINKED}: {error}"


def make(program: pathlib.Path) -> str:
    """Compiles or links the program, in place of an earlier one.

    Args:
      program: Path of the program.

    Returns:
      What was done.

    Raises:
      OSError: The program can be neither compiled nor linked.
    """
    with tempfile.TemporaryDirectory(
        prefix=f"{program.name}.partial-", dir=program.parent
    ) as folder:
        partial = pathlib.Path(folder) / program.name
        made = _make(partial)
        if not partial.is_symlink():
            _write_manifest(partial, program)
        partial.replace(program)
    return made


@functools.cache
def temporary() -> str:
    """Makes the program in a folder that lasts as long as this process.

    Returns:
      Its path.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="mustardloom-launcher-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    program = folder / PROGRAM.name
    make(program)
    return str(program)


def _make(program: pathlib.Path) -> str:
    """Makes the best program that runs here; returns which one it is."""
    compiler = next(filter(None, map(shutil.which, _COMPILERS)), None)
    if compiler is None:
        return _link(program, "there is no C compiler")
    library = _library()
    reason = "the interpreter has no shared library"
    if library is not None:
        reason = _compile(program, compiler, library)
        if not reason:
            return "compiled"
    exec_reason = _compile(program, compiler, None)
    if not exec_reason:
        return f"compiled to execute the interpreter: {reason}"
    return _link(program, exec_reason)


def _link(program: pathlib.Path, reason: str) -> str:
    program.unlink(missing_ok=True)
    program.symlink_to(_interpreter())
    return f"{_LINKED}: {reason}"


def _compile(
    program: pathlib.Path, compiler: str, library: pathlib.Path | None
) -> str:
    """Compiles the program.

    Args:
      program: Path of the program.
      compiler: Path of the compiler.
      library: What the program loads; if None, it executes the interpreter.

    Returns:
      Why that is not possible here, "" if it is.
    """
    command = [compiler, "-O2", "-o", str(program), str(_SOURCE)]
    command.append(f"-DINTERPRETER={json.dumps(_interpreter())}")
    if library is not None:
        command += [f"-DLIBRARY={json.dumps(str(library))}", "-ldl"]
    if not _succeeds(command, _COMPILE_LIMIT_S):
        return f"{compiler} failed"
    return "" if _runs(program) else "the compiled program does not run"


def _runs(program: pathlib.Path) -> bool:
    command = [str(program), "-S", "-c", _CHECK, sys.version]
    return _succeeds(command, _CHECK_LIMIT_S)


def _succeeds(command: list[str], limit_s: int) -> bool:
    try:
        done = subprocess.run(command, check=False, timeout=limit_s)
    except (OSError, subprocess.TimeoutExpired) as error:
        print(error, file=sys.stderr)
        return False
    return done.returncode == 0


def _interpreter() -> str:
    """Returns the path of the interpreter outside any virtual environment."""
    base = getattr(sys, "_base_executable", None) or sys.executable
    return os.path.realpath(base)


def _library() -> pathlib.Path | None:
    """Returns the shared library of the interpreter, None without one."""
    folder = sysconfig.get_config_var("LIBDIR")
    name = sysconfig.get_config_var("INSTSONAME")
    if not (folder and name and sysconfig.get_config_var("Py_ENABLE_SHARED")):
        return None
    in_architecture = sysconfig.get_config_var("MULTIARCH") or ""
    for path in (
        pathlib.Path(folder, name),
        pathlib.Path(folder, in_architecture, name),
    ):
        if path.is_file():
            return path
    return None


# Whole or not.


def _is_whole(program: pathlib.Path) -> bool:
    """Returns whether the program was compiled for this machine and runs.

    A link is made anew each time, as there may be a compiler now.
    """
    try:
        text = _manifest(program).read_text(encoding="utf-8")
        is_known = json.loads(text) == _description(program)
    except (OSError, ValueError):
        return False
    return is_known and not program.is_symlink() and _runs(program)


def _is_right_link(program: pathlib.Path) -> bool:
    return program.is_symlink() and str(program.readlink()) == _interpreter()


def _manifest(program: pathlib.Path) -> pathlib.Path:
    return program.with_name(f".{program.name}{_MANIFEST_SUFFIX}")


def _write_manifest(compiled: pathlib.Path, program: pathlib.Path) -> None:
    text = json.dumps(_description(compiled), indent=1)
    _manifest(program).write_text(text, encoding="utf-8")


def _description(program: pathlib.Path) -> dict[str, str]:
    """Returns what a program depends on, and its digest."""
    return {
        "machine": platform.machine(),
        "system": platform.system(),
        "libc": " ".join(platform.libc_ver()),
        "python": sys.version,
        "interpreter": _interpreter(),
        "library": str(_library()),
        "source": _digest(_SOURCE),
        "program": _digest(program),
    }


def _digest(path: pathlib.Path) -> str:
    return hashlib.sha256(path.read_bytes()).hexdigest()
