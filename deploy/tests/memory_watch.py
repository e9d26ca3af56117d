"""Memory of a process as the platform counts it."""

import contextlib
import os
import pathlib
import threading
import time

__all__ = ["MIB", "MemoryWatch"]

MIB = 1 << 20
_SAMPLE_S = 0.01
_KB = 1_024
# State of a socket that accepts connections.
_LISTENING = "0A"


class MemoryWatch:
    """Follows the memory of a process as the platform counts it.

    Attributes:
      peak_mb: Most memory of the process itself so far.
      peak_sum_mb: Most memory and received bytes that are not read, together.
      peak_unread_mb: Most received bytes that are not read.
    """

    def __init__(self, pid: int):
        self.peak_mb = 0.0
        self.peak_sum_mb = 0.0
        self.peak_unread_mb = 0.0
        self._folder = pathlib.Path(f"/proc/{pid}")
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ends the watch."""
        self._is_stopping = True
        self._thread.join()

    def _run(self) -> None:
        while not self._is_stopping:
            with contextlib.suppress(OSError, KeyError):
                self._sample()
            time.sleep(_SAMPLE_S)

    def _sample(self) -> None:
        kb_by_name = {}
        for line in (self._folder / "status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name in ("VmHWM", "VmRSS"):
                kb_by_name[name] = int(value.split()[0])
        self.peak_mb = max(self.peak_mb, kb_by_name["VmHWM"] / _KB)
        unread_mb = self._unread_bytes() / MIB
        self.peak_unread_mb = max(self.peak_unread_mb, unread_mb)
        self.peak_sum_mb = max(
            self.peak_sum_mb,
            self.peak_mb,
            kb_by_name["VmRSS"] / _KB + unread_mb,
        )

    def _unread_bytes(self) -> int:
        own = set()
        for link in (self._folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                own.add(os.readlink(link))
        total = 0
        for line in (self._folder / "net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == _LISTENING
            if f"socket:[{fields[9]}]" in own and not is_listening:
                total += int(fields[4].partition(":")[2], 16)
        return total
