"""Listens on the addresses of a daemon, which an earlier process may still use.

A process that stops keeps its addresses until it ends, within its grace time.
One that is started beside it waits for them that long.
"""

from collections.abc import Callable
import errno

from mustardloom import clock as clock_lib
from mustardloom.deployment import settings
from mustardloom.sidecar import events

__all__ = ["AddressInUse", "AddressWait", "Listen"]

# Starts to listen on a host and port and returns the port.
Listen = Callable[[str, int], int]

_POLL_MS = 50
# The system may take this long to end a process after its grace time.
_MARGIN_MS = 2_000


class AddressInUse(OSError):
    """Another process did not release an address in time."""


class AddressWait:
    """Waits for addresses, for all of them together no longer than a limit.

    Args:
      grace_ms: Time that an earlier process has to stop.
      clock: Source of time.
      log: Told which address is in use, and when it is free.
      is_stopping: Returns whether this process is to stop.
    """

    def __init__(
        self,
        grace_ms: int,
        clock: clock_lib.Clock,
        log: events.EventLog,
        is_stopping: Callable[[], bool],
    ):
        self._clock = clock
        self._log = log
        self._is_stopping = is_stopping
        self._ends_ms = clock.now_ms() + grace_ms + _MARGIN_MS

    async def listen(self, listen: Listen, address: settings.Address) -> bool:
        """Listens on an address; returns False if this process is to stop.

        Raises:
          AddressInUse: Another process did not release the address in time.
          OSError: The address is not available.
        """
        if self._try(listen, address):
            return True
        began_ms = self._clock.now_ms()
        name = _name(address)
        self._log.write(events.Event.ADDRESS_IN_USE, address=name)
        while not self._is_stopping():
            if self._clock.now_ms() >= self._ends_ms:
                raise AddressInUse(errno.EADDRINUSE, f"{name} is in use")
            await self._clock.sleep_ms(_POLL_MS)
            if self._try(listen, address):
                waited_ms = self._clock.now_ms() - began_ms
                self._log.write(
                    events.Event.ADDRESS_FREE, address=name, waited_ms=waited_ms
                )
                return True
        return False

    def _try(self, listen: Listen, address: settings.Address) -> bool:
        try:
            listen(*address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise OSError(
                    error.errno, f"{_name(address)}: {error.strerror}"
                ) from error
            return False
        return True


def _name(address: settings.Address) -> str:
    host, port = address
    return f"{host}:{port}"
