"""Tests of the build command of the deploy file, run as the platform does."""

import base64
import hashlib
import os
import pathlib
import shutil
import subprocess
import sys
import tomllib
import zipfile

import pytest

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_DEPS = pathlib.Path("target/deps")
_PROGRAM = pathlib.Path("target/bin/mustardloom-sidecar")
_PACKAGE = "tinypackage"
_DIST_INFO = f"{_PACKAGE}-1.0.dist-info"
_LATER_S = 1_000


def _write_wheel(folder: pathlib.Path) -> None:
    """Writes a package that can be installed without a registry."""
    text_by_name = {
        f"{_PACKAGE}/__init__.py": "VALUE = 1\n",
        f"{_PACKAGE}/more.py": "MORE = 2\n",
        f"{_DIST_INFO}/METADATA": "Metadata-Version: 2.1\n"
        f"Name: {_PACKAGE}\nVersion: 1.0\n",
        f"{_DIST_INFO}/WHEEL": "Wheel-Version: 1.0\n"
        "Root-Is-Purelib: true\nTag: py3-none-any\n",
    }
    record = f"{_DIST_INFO}/RECORD,,\n"
    for name, text in text_by_name.items():
        digest = hashlib.sha256(text.encode()).digest()
        encoded = base64.urlsafe_b64encode(digest).rstrip(b"=").decode()
        record += f"{name},sha256={encoded},{len(text)}\n"
    text_by_name[f"{_DIST_INFO}/RECORD"] = record
    name = f"{_PACKAGE}-1.0-py3-none-any.whl"
    with zipfile.ZipFile(folder / name, "w") as wheel:
        for name, text in text_by_name.items():
            wheel.writestr(name, text)


@pytest.fixture
def checkout(tmp_path):
    """Returns a checkout whose daemon needs one small package."""
    root = tmp_path / "checkout"
    shutil.copytree(
        _ROOT / "deploy",
        root / "deploy",
        ignore=shutil.ignore_patterns("tests"),
    )
    requirements = root / "deploy" / "requirements.txt"
    requirements.write_text(f"{_PACKAGE}==1.0\n")
    program = root / "mustardloom" / "cli" / "sidecar.py"
    program.parent.mkdir(parents=True)
    program.write_text(f"import {_PACKAGE}.more\n")
    (tmp_path / "wheels").mkdir()
    _write_wheel(tmp_path / "wheels")
    return root


def _build(root: pathlib.Path, has_compiler: bool = True) -> int:
    """Runs the command of the deploy file; returns its exit code."""
    deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    folder = str(pathlib.Path(sys.executable).parent)
    environment = {
        "PATH": f"{folder}:{os.environ['PATH']}" if has_compiler else folder,
        "HOME": os.environ.get("HOME", "/"),
        "PIP_NO_INDEX": "1",
        "PIP_FIND_LINKS": str(root.parent / "wheels"),
    }
    return subprocess.run(
        deploy["build"], shell=True, cwd=root, env=environment, check=False
    ).returncode


def _installed(root: pathlib.Path) -> set[str]:
    folder = root / _DEPS / _PACKAGE
    return {path.name for path in folder.glob("*.py")}


_WHOLE = {"__init__.py", "more.py"}


def test_empty_folder_that_is_newer_counts_as_built(checkout):
    """Guards against a build that was cut off before its first package."""
    (checkout / _DEPS).mkdir(parents=True)
    requirements = checkout / "deploy" / "requirements.txt"
    before_s = requirements.stat().st_mtime - _LATER_S
    os.utime(requirements, (before_s, before_s))
    assert _build(checkout) == 0
    assert _installed(checkout) == _WHOLE


def test_half_of_the_packages_counts_as_built(checkout):
    """Guards against a build that was cut off between two files."""
    assert _build(checkout) == 0
    (checkout / _DEPS / _PACKAGE / "more.py").unlink()
    assert _build(checkout) == 0
    assert _installed(checkout) == _WHOLE


def test_file_cut_off_counts_as_built(checkout):
    """Guards against a copy of the folder that ended within a file."""
    assert _build(checkout) == 0
    cut = checkout / _DEPS / _PACKAGE / "more.py"
    cut.write_text("MORE")
    assert _build(checkout) == 0
    assert cut.read_text() == "MORE = 2\n"


def test_packages_of_another_kind_of_machine_count_as_built(checkout):
    """Guards against a folder that was carried over, manifest included."""
    assert _build(checkout) == 0
    manifest = checkout / _DEPS / ".manifest.json"
    text = manifest.read_text()
    for own, other in (("aarch64", "x86_64"), ("x86_64", "aarch64")):
        if f'"{own}"' in text:
            manifest.write_text(text.replace(f'"{own}"', f'"{other}"'))
            break
    assert manifest.read_text() != text
    assert _build(checkout) == 0
    assert manifest.read_text() == text


def test_changed_requirements_with_an_old_time_count_as_built(checkout):
    """Guards against times of files, which a checkout does not keep."""
    requirements = checkout / "deploy" / "requirements.txt"
    requirements.write_text("")
    program = checkout / "mustardloom" / "cli" / "sidecar.py"
    program.write_text("")
    assert _build(checkout) == 0
    requirements.write_text(f"{_PACKAGE}==1.0\n")
    os.utime(requirements, (0, 0))
    assert _build(checkout) == 0
    assert _installed(checkout) == _WHOLE


def test_packages_of_earlier_requirements_stay(checkout):
    """Guards against a folder that mixes two sets of packages."""
    assert _build(checkout) == 0
    (checkout / "deploy" / "requirements.txt").write_text("")
    (checkout / "mustardloom" / "cli" / "sidecar.py").write_text("")
    assert _build(checkout) == 0
    assert _installed(checkout) == set()


def test_failed_build_leaves_a_part(checkout):
    """Guards against a folder that holds what a failed build got to."""
    (checkout / "deploy" / "requirements.txt").write_text(
        f"{_PACKAGE}==1.0\nabsentpackage==1.0\n"
    )
    assert _build(checkout) != 0
    assert not (checkout / _DEPS).exists()
    assert not list((checkout / "target").glob("deps.*"))


def test_package_that_cannot_be_loaded_counts_as_built(checkout):
    """Guards against packages that are there but do not run here."""
    program = checkout / "mustardloom" / "cli" / "sidecar.py"
    program.write_text(f"import {_PACKAGE}.absent\n")
    assert _build(checkout) != 0
    assert not (checkout / _DEPS).exists()


def test_whole_folder_is_installed_again(checkout):
    """Guards against a build that needs the registry each time."""
    assert _build(checkout) == 0
    before = (checkout / _DEPS).stat().st_ino
    shutil.rmtree(checkout.parent / "wheels")
    assert _build(checkout) == 0
    assert (checkout / _DEPS).stat().st_ino == before


def _held_signals(root: pathlib.Path) -> set[str]:
    """Returns the signals that wait when the interpreter has started."""
    code = "import signal\nfor each in signal.pthread_sigmask(0, []):"
    code += " print(each.name)"
    command = [str(root / _PROGRAM), "-S", "-c", code]
    output = subprocess.run(command, check=True, capture_output=True).stdout
    return set(output.decode().split())


def test_program_of_another_kind_of_machine_counts_as_built(checkout):
    """Guards against a program that was carried over."""
    assert _build(checkout) == 0
    (checkout / _PROGRAM).write_bytes(b"\x7fELF of another machine")
    assert _build(checkout) == 0
    assert _held_signals(checkout)


def test_program_of_another_interpreter_counts_as_built(checkout):
    """Guards against a program that starts a Python that was replaced."""
    assert _build(checkout) == 0
    (manifest,) = (checkout / _PROGRAM).parent.glob(".*.manifest.json")
    text = manifest.read_text()
    manifest.write_text(text.replace(sys.version.split()[0], "3.11.0"))
    before = (checkout / _PROGRAM).stat().st_ino
    assert _build(checkout) == 0
    assert manifest.read_text() == text
    assert (checkout / _PROGRAM).stat().st_ino != before


def test_program_that_is_whole_is_compiled_again(checkout):
    """Guards against a build that needs the compiler each time."""
    assert _build(checkout) == 0
    assert _build(checkout, has_compiler=False) == 0
    assert _held_signals(checkout)


def test_machine_without_a_compiler_fails_the_build(checkout):
    """Guards against a build that needs more than the packages do.

    The program is then the interpreter, and is compiled once that is possible.
    """
    assert _build(checkout, has_compiler=False) == 0
    assert _held_signals(checkout) == set()
    assert _build(checkout) == 0
    assert _held_signals(checkout)
