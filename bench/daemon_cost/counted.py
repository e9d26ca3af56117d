"""Runs a daemon that counts its waits for events, its reads and its writes.

Started by `bench.daemon_cost` in place of the daemon's own program. Arguments
are the file for the counts and those of the daemon. Uses no code of the
product but the daemon's main module, so that it also runs earlier versions.
"""

import mmap
import runpy
import selectors
import socket
import sys
from typing import Any

COUNTS = 3


def _count(owner: Any, name: str, counts: memoryview, index: int) -> None:
    """Counts the calls of a method."""
    method = getattr(owner, name)

    def counted(self: Any, *arguments: Any) -> Any:
        counts[index] += 1
        return method(self, *arguments)

    setattr(owner, name, counted)


def main() -> None:
    """Runs the daemon."""
    path = sys.argv.pop(1)
    with open(path, "r+b") as file:
        counts = memoryview(mmap.mmap(file.fileno(), 8 * COUNTS)).cast("Q")
    _count(selectors.EpollSelector, "select", counts, 0)
    _count(socket.socket, "recv_into", counts, 1)
    _count(socket.socket, "send", counts, 2)
    runpy.run_module("mustardloom.cli.sidecar", run_name="__main__")


if __name__ == "__main__":
    main()
