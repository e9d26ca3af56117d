"""Reads the settings at the start of the process.

The platform writes the file when it starts a process and when the settings
change. A process that starts in between finds it absent or in part, and would
end although nothing is wrong.
"""

from collections.abc import Callable

from mustardloom import clock as clock_lib
from mustardloom import findings
from mustardloom.deployment import settings

__all__ = ["WAIT_LIMIT_MS", "await_settings"]

# A file with faults that lasts longer is not being written, but wrong.
WAIT_LIMIT_MS = 2_000
_RETRY_MS = 50


async def await_settings(
    read: Callable[[], settings.Settings],
    clock: clock_lib.Clock,
    on_wait: Callable[[findings.FindingsError], None],
    is_stopping: Callable[[], bool],
) -> settings.Settings | None:
    """Returns the settings once the file can be read and has no faults.

    Returns None if this process is to stop first.

    Args:
      read: Reads the file.
      clock: Source of time.
      on_wait: Called once, with the faults, if the file is waited for.
      is_stopping: Returns whether this process is to stop.

    Raises:
      findings.FindingsError: The file still has faults after `WAIT_LIMIT_MS`.
    """
    give_up_ms = clock.now_ms() + WAIT_LIMIT_MS
    is_waiting = False
    while not is_stopping():
        try:
            return read()
        except findings.FindingsError as error:
            if clock.now_ms() >= give_up_ms:
                raise
            if not is_waiting:
                is_waiting = True
                on_wait(error)
        await clock.sleep_ms(_RETRY_MS)
    return None
