"""Everything that a process says of itself goes to its one log.

Libraries, the event loop and the interpreter report errors in ways of their
own, and write to standard error without bounds. They are told here to use the
structured log, which bounds its lines.
"""

import asyncio
import logging
import sys
import threading
import types
from typing import Any

from mustardloom.sidecar import events

__all__ = ["ProcessLog"]


class ProcessLog:
    """Writes what libraries and the interpreter report as `fault` lines.

    Args:
      log: The log of the process.
    """

    def __init__(self, log: events.EventLog):
        self._log = log

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Takes over all reports of this process, for good.

        Args:
          loop: The event loop of the process.
        """
        loop.set_exception_handler(self._on_loop_error)
        root = logging.getLogger()
        root.handlers[:] = [_Handler(self._log)]
        # A record that cannot be formatted is no reason to write elsewhere.
        logging.raiseExceptions = False
        logging.captureWarnings(True)
        sys.excepthook = self._on_uncaught
        sys.unraisablehook = self._on_unraisable
        threading.excepthook = self._on_thread_error

    def _on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        del loop
        self._log.write_fault(
            context.get("exception"),
            source="asyncio",
            message=str(context.get("message", "")),
        )

    def _on_uncaught(
        self,
        kind: type[BaseException],
        error: BaseException,
        trace: types.TracebackType | None,
    ) -> None:
        del kind, trace
        self._log.write_fault(error, source="uncaught")

    def _on_unraisable(self, report: "sys.UnraisableHookArgs") -> None:
        self._log.write_fault(
            report.exc_value,
            source="unraisable",
            message=report.err_msg or "",
            object=events.describe(report.object),
        )

    def _on_thread_error(self, report: threading.ExceptHookArgs) -> None:
        self._log.write_fault(report.exc_value, source="thread")


class _Handler(logging.Handler):
    """Writes log records, warnings and worse, as `fault` lines."""

    def __init__(self, log: events.EventLog):
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """See base class."""
        try:
            message = record.getMessage()
        except Exception as error:
            # The arguments do not fit the text of the record.
            message = f"{record.msg!s} ({error!r})"
        reported = record.exc_info[1] if record.exc_info else None
        self._log.write_fault(
            reported,
            source=record.name,
            message=message,
            logged_at=f"{record.pathname}:{record.lineno}",
        )
