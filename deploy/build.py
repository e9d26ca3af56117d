"""Installs the packages of the daemon into `target/deps`, whole or not at all.

The packages depend on the kind of machine and the version of Python, so a
folder that was carried over, or whose installation was cut off, is installed
anew. The installation takes place in another folder, which replaces the
previous one only when it is complete and the daemon can be imported with it.
A manifest inside names what the folder was made for and the digest of each of
its files. The program that starts the daemon is built by `launcher`.
"""

from collections.abc import Iterator
import contextlib
import fcntl
import hashlib
import json
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import tempfile

from deploy import launcher

__all__ = ["build", "is_whole", "main"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_MANIFEST_NAME = ".manifest.json"
_PARTIAL_PREFIX = "deps.partial-"
_CACHE_FOLDER_NAME = "__pycache__"
_PROGRAM = "mustardloom.cli.sidecar"


class BuildFailed(Exception):
    """The packages could not be installed; `target/deps` is as it was."""


def build(root: pathlib.Path) -> bool:
    """Makes `target/deps` whole; returns whether anything was installed.

    Args:
      root: Folder of the repository.

    Raises:
      BuildFailed: The packages cannot be installed or the daemon cannot be
        imported with them.
    """
    with _locked(root / "target"):
        if is_whole(root):
            return False
        _remove_partial(root / "target")
        partial = pathlib.Path(
            tempfile.mkdtemp(prefix=_PARTIAL_PREFIX, dir=root / "target")
        )
        try:
            _install(root, partial)
            _check_import(root, partial)
            _write_manifest(root, partial)
            _replace(partial, _folder(root))
        finally:
            shutil.rmtree(partial, ignore_errors=True)
        return True


def is_whole(root: pathlib.Path) -> bool:
    """Returns whether `target/deps` is complete and fits this machine."""
    try:
        text = (_folder(root) / _MANIFEST_NAME).read_text(encoding="utf-8")
        manifest = json.loads(text)
        if manifest["made_for"] != _made_for(root):
            return False
        found: bool = manifest["files"] == _digests(_folder(root))
        return found
    except (OSError, ValueError, KeyError, TypeError):
        return False


def _folder(root: pathlib.Path) -> pathlib.Path:
    return root / "target" / "deps"


def _requirements(root: pathlib.Path) -> pathlib.Path:
    return root / "deploy" / "requirements.txt"


def _made_for(root: pathlib.Path) -> dict[str, str]:
    """Returns what the installed packages depend on."""
    return {
        "machine": platform.machine(),
        "system": platform.system(),
        "libc": " ".join(platform.libc_ver()),
        "python": sys.implementation.cache_tag,
        "requirements": _digest(_requirements(root)),
    }


def _digests(folder: pathlib.Path) -> dict[str, str]:
    """Returns the digest of each installed file by its relative path."""
    return {
        str(path.relative_to(folder)): _digest(path)
        for path in sorted(folder.rglob("*"))
        if path.is_file()
        and path.name != _MANIFEST_NAME
        and _CACHE_FOLDER_NAME not in path.parts
    }


def _digest(path: pathlib.Path) -> str:
    return hashlib.sha256(path.read_bytes()).hexdigest()


@contextlib.contextmanager
def _locked(target: pathlib.Path) -> Iterator[None]:
    """Lets one build at a time work in `target`."""
    target.mkdir(exist_ok=True)
    with (target / ".build-lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def _remove_partial(target: pathlib.Path) -> None:
    """Removes what builds have left that were cut off."""
    for path in target.glob(f"{_PARTIAL_PREFIX}*"):
        shutil.rmtree(path, ignore_errors=True)


def _install(root: pathlib.Path, folder: pathlib.Path) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--disable-pip-version-check", "--no-compile"]
    command += ["--target", str(folder), "--requirement"]
    command.append(str(_requirements(root)))
    if subprocess.run(command, cwd=root, check=False).returncode != 0:
        raise BuildFailed(f"{_requirements(root)} could not be installed")


def _check_import(root: pathlib.Path, folder: pathlib.Path) -> None:
    """Imports the daemon as it is started, with nothing else installed."""
    command = [sys.executable, "-S", "-B", "-c", f"import {_PROGRAM}"]
    environment = {**os.environ, "PYTHONPATH": f"{folder}:{root}"}
    found = subprocess.run(command, cwd=root, env=environment, check=False)
    if found.returncode != 0:
        raise BuildFailed(f"{_PROGRAM} cannot be imported with {folder}")


def _write_manifest(root: pathlib.Path, folder: pathlib.Path) -> None:
    manifest = {"made_for": _made_for(root), "files": _digests(folder)}
    text = json.dumps(manifest, indent=1)
    (folder / _MANIFEST_NAME).write_text(text, encoding="utf-8")


def _replace(partial: pathlib.Path, folder: pathlib.Path) -> None:
    """Puts a complete folder in place of the previous one."""
    partial.chmod(0o755)
    with tempfile.TemporaryDirectory(
        prefix=_PARTIAL_PREFIX, dir=folder.parent
    ) as previous:
        if folder.exists():
            folder.rename(pathlib.Path(previous) / folder.name)
        partial.rename(folder)


def main() -> int:
    """Builds and returns the exit code: 0 if all is whole."""
    try:
        is_new = build(_ROOT)
        launcher_state = launcher.build(_ROOT)
    except (BuildFailed, OSError) as error:
        print(f"build failed: {error}", file=sys.stderr)
        return 1
    print("target/deps installed" if is_new else "target/deps is whole")
    print(f"{launcher.PROGRAM} {launcher_state}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
