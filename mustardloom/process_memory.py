"""Memory of this process as the system counts it, and what it depends on."""

import contextlib
import dataclasses
import fcntl
import functools
import hashlib
import os
import pathlib
import platform
import struct
import sys
import termios

__all__ = [
    "ProcessMemory",
    "environment",
    "read",
    "resident_bytes",
    "sources_digest",
]

_KB = 1_024
_FOLDER = pathlib.Path("/proc/self")
_HUGE_PAGES = pathlib.Path("/sys/kernel/mm/transparent_hugepage/enabled")
# Names of the variables that change how memory is allocated.
_ALLOCATOR_PREFIXES = ("MALLOC_", "PYTHONMALLOC", "PYTHONTRACEMALLOC", "GLIBC_")
_INT = struct.Struct("i")
_DIGEST_CHARACTERS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Memory of this process; 0 for what the system does not tell.

    Attributes:
      resident_bytes: Memory in use now.
      peak_bytes: Most memory in use so far.
      anonymous_bytes: The part of it that no file backs.
      unread_bytes: Received bytes that were not read yet, on all sockets.
      descriptors: Open descriptors.
    """

    resident_bytes: int
    peak_bytes: int
    anonymous_bytes: int
    unread_bytes: int
    descriptors: int


def resident_bytes() -> int:
    """Returns the memory in use now, 0 if the system does not tell."""
    try:
        pages = (_FOLDER / "statm").read_bytes().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


def read() -> ProcessMemory:
    """Returns the memory of this process.

    Example:
      >>> found = read()
      >>> 0 < found.resident_bytes <= found.peak_bytes
      True
    """
    kb_by_name = _status_kb()
    descriptors = _descriptors()
    return ProcessMemory(
        kb_by_name.get("VmRSS", 0) * _KB,
        kb_by_name.get("VmHWM", 0) * _KB,
        kb_by_name.get("RssAnon", 0) * _KB,
        sum(map(_unread_bytes, descriptors)),
        len(descriptors),
    )


def environment() -> dict[str, str | int]:
    """Returns what the memory of a process depends on beside its code."""
    huge_pages = ""
    with contextlib.suppress(OSError):
        huge_pages = _HUGE_PAGES.read_text(encoding="ascii").strip()
    allocator = {
        name: value
        for name, value in sorted(os.environ.items())
        if name.startswith(_ALLOCATOR_PREFIXES)
    }
    return {
        "python": platform.python_version(),
        "machine": platform.machine(),
        "system": platform.release(),
        "libc": " ".join(platform.libc_ver()),
        "page_bytes": os.sysconf("SC_PAGE_SIZE"),
        "huge_pages": huge_pages,
        "allocator": " ".join(f"{k}={v}" for k, v in allocator.items()),
    }


@functools.cache
def sources_digest() -> str:
    """Returns a digest of the project's modules that are loaded.

    It tells whether two processes run the same code.
    """
    package = __name__.partition(".")[0]
    digest = hashlib.sha256()
    for name, module in sorted(sys.modules.items()):
        path = getattr(module, "__file__", None)
        if path is None or name.partition(".")[0] != package:
            continue
        digest.update(name.encode())
        with contextlib.suppress(OSError):
            digest.update(pathlib.Path(path).read_bytes())
    return digest.hexdigest()[:_DIGEST_CHARACTERS]


def _status_kb() -> dict[str, int]:
    """Returns the sizes in the status of the process by their names."""
    try:
        lines = (_FOLDER / "status").read_text(encoding="ascii").splitlines()
    except (OSError, UnicodeError):
        return {}
    fields = (line.partition(":") for line in lines)
    return {
        name: int(value.split()[0])
        for name, _, value in fields
        if value.endswith(" kB")
    }


def _descriptors() -> list[int]:
    try:
        return [int(name) for name in os.listdir(_FOLDER / "fd")]
    except OSError:
        return []


def _unread_bytes(descriptor: int) -> int:
    """Returns the unread bytes of a socket, 0 for other descriptors."""
    try:
        if not os.readlink(_FOLDER / "fd" / str(descriptor)).startswith(
            "socket:"
        ):
            return 0
        found = fcntl.ioctl(descriptor, termios.FIONREAD, _INT.pack(0))
    except OSError:
        # It was closed meanwhile, or it accepts connections.
        return 0
    return int(_INT.unpack(found)[0])
