"""The signals that a daemon takes, from its first line to its end.

Each of them ends a process by default, so a daemon holds them back while it has
no handlers: a signal that comes meanwhile is delivered once they are there.
This module imports nothing slow, as it is loaded before all others.
"""

from collections.abc import Callable
import signal
import typing

if typing.TYPE_CHECKING:
    import asyncio

__all__ = ["RELOAD", "STOP", "UNUSED", "hold", "pending_stop", "take"]

_SignalCallback = Callable[[signal.Signals], None]

STOP = frozenset((signal.SIGTERM, signal.SIGINT, signal.SIGQUIT))
RELOAD = signal.SIGHUP
# Not those that the system sends for errors of the program itself, nor those
# that stop and continue it.
UNUSED = frozenset(
    getattr(signal, name)
    for name in (
        "SIGUSR1",
        "SIGUSR2",
        "SIGALRM",
        "SIGVTALRM",
        "SIGPROF",
        "SIGIO",
        "SIGPWR",
        "SIGSTKFLT",
    )
    if hasattr(signal, name)
)
_TAKEN = STOP | UNUSED | {RELOAD}


def hold() -> None:
    """Lets the signals wait; threads that start later hold them, too."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _TAKEN)


def pending_stop() -> signal.Signals | None:
    """Returns a signal to stop that waits, None if there is none."""
    pending = signal.sigpending()
    return next((each for each in STOP if each in pending), None)


def take(
    loop: "asyncio.AbstractEventLoop",
    on_stop: _SignalCallback,
    on_reload: Callable[[], None],
    on_unused: _SignalCallback,
) -> None:
    """Handles the signals on an event loop, those that wait first.

    The loop gives its handlers back when it is closed: whoever closes it before
    the process ends holds the signals first.

    Args:
      loop: Runs the callbacks.
      on_stop: Called with a signal to stop.
      on_reload: Called on the signal to read the settings again.
      on_unused: Called with a signal that means nothing here.
    """
    for each in STOP:
        loop.add_signal_handler(each, on_stop, each)
    loop.add_signal_handler(RELOAD, on_reload)
    for each in UNUSED:
        loop.add_signal_handler(each, on_unused, each)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _TAKEN)
