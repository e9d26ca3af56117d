"""Detection of a target that is gone or silent."""

import asyncio
from collections.abc import Callable

from mustardloom import clock as clock_lib
from mustardloom.admission import dispatch as dispatch_lib

__all__ = ["DOWN_AFTER_MS", "UNRESPONSIVE_AFTER_MS", "HealthCheck"]

DOWN_AFTER_MS = 500
# A frozen process accepts connections but answers nothing.
UNRESPONSIVE_AFTER_MS = 1_500
_IDLE_INTERVAL_MS = 500
_SUSPICIOUS_INTERVAL_MS = 100


class HealthCheck:
    """Tells when the target has been away too long, and when it is back.

    Attributes:
      is_down: Whether the target counts as down.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        target: dispatch_lib.Dispatcher,
        on_change: Callable[[bool], None],
        on_instance: Callable[[str], None],
    ):
        self.is_down = False
        self._clock = clock
        self._target = target
        self._on_change = on_change
        self._on_instance = on_instance
        self._absent_since_ms: int | None = None
        self._silent_since_ms: int | None = None
        self._wake = asyncio.Event()

    def record_response(self) -> None:
        """Records a sign of life."""
        self._absent_since_ms = None
        self._silent_since_ms = None
        if self.is_down:
            self.is_down = False
            self._on_change(False)

    def record_failure(self) -> None:
        """Records that the target could not be reached or was lost."""
        if self._absent_since_ms is None:
            self._absent_since_ms = self._clock.now_ms()
            self._wake.set()

    async def run(self) -> None:
        """Probes the target until cancelled."""
        while True:
            self.record_probe(await self._target.probe())
            await self._pause()

    def record_probe(self, probe: dispatch_lib.Probe) -> None:
        """Updates the state after a probe."""
        now_ms = self._clock.now_ms()
        if probe.answered:
            self.record_response()
            if probe.instance is not None:
                self._on_instance(probe.instance)
            return
        if self._silent_since_ms is None:
            self._silent_since_ms = now_ms
        if not probe.connected:
            self.record_failure()
        if self._is_overdue(now_ms) and not self.is_down:
            self.is_down = True
            self._on_change(True)

    def _is_overdue(self, now_ms: int) -> bool:
        absent_ms = self._absent_since_ms
        silent_ms = self._silent_since_ms
        if absent_ms is not None and now_ms - absent_ms >= DOWN_AFTER_MS:
            return True
        return (
            silent_ms is not None
            and now_ms - silent_ms >= UNRESPONSIVE_AFTER_MS
        )

    async def _pause(self) -> None:
        self._wake.clear()
        if self._absent_since_ms is not None or self._silent_since_ms:
            await self._clock.sleep_ms(_SUSPICIOUS_INTERVAL_MS)
            return
        sleep = asyncio.ensure_future(self._clock.sleep_ms(_IDLE_INTERVAL_MS))
        wake = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait(
                (sleep, wake), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            sleep.cancel()
            wake.cancel()
