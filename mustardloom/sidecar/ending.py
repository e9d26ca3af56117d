"""How a daemon ended: its last line in the log and its exit code."""

import dataclasses
import enum
import signal

from mustardloom.sidecar import events
from mustardloom.sidecar import faults
from mustardloom.sidecar import graceful_stop

__all__ = ["Ending", "ExitCode", "Fault", "InvalidSettings", "Stop", "write"]


class ExitCode(enum.IntEnum):
    """Exit code of the process."""

    STOPPED = 0
    FAULT = 1
    INVALID_SETTINGS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop.

    Attributes:
      number: Signal that asked for it; None if none did.
      stop_ms: Time from the signal to the end.
      cut: Steps of the stop that the grace time cut short.
      abandoned: Requests of callers that were open at the end.
      ends: What the daemon ended itself during the stop, by counter.
    """

    number: signal.Signals | None
    stop_ms: int = 0
    cut: tuple[graceful_stop.Step, ...] = ()
    abandoned: int = 0
    ends: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Settings with faults.

    Attributes:
      message: All faults with their places.
    """

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """An error that nothing handled."""

    error: Exception


Ending = Stop | InvalidSettings | Fault


def write(ending: Ending, log: events.EventLog) -> ExitCode:
    """Writes the last line of a process and returns its exit code."""
    match ending:
        case Stop(number, stop_ms, cut, abandoned, ends):
            code = ExitCode.STOPPED
            log.write(
                events.Event.END,
                reason="stop",
                exit_code=code,
                signal=None if number is None else number.name,
                stop_ms=stop_ms,
                cut=[each.value for each in cut],
                abandoned=abandoned,
                ends=ends,
            )
        case InvalidSettings(message):
            code = ExitCode.INVALID_SETTINGS
            log.write(
                events.Event.END,
                reason="settings",
                exit_code=code,
                error=message,
            )
        case Fault(error):
            code = ExitCode.FAULT
            log.write(
                events.Event.END,
                reason="fault",
                exit_code=code,
                error=events.describe(error),
                place=faults.place_of(error),
            )
    return code
