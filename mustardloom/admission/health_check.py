"""Health check that detects an unreachable or unresponsive target."""

import asyncio
from collections.abc import Callable

from mustardloom import clock as clock_lib
from mustardloom.admission import dispatch as dispatch_lib

__all__ = ["DOWN_AFTER_MS", "UNRESPONSIVE_AFTER_MS", "HealthCheck"]

DOWN_AFTER_MS = 500
# For a target that accepts connections but does not answer, as a frozen
# process does.
UNRESPONSIVE_AFTER_MS = 1_500
_HEALTHY_PROBE_INTERVAL_MS = 500
_FAILING_PROBE_INTERVAL_MS = 100


class HealthCheck:
    """Decides from probes and requests whether the target is down.

    The target is down once it has been unreachable for `DOWN_AFTER_MS` or
    unresponsive for `UNRESPONSIVE_AFTER_MS`, and up again with its next answer.

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
        """Starts with a target that counts as up.

        Args:
          clock: Source of time.
          target: Client that sends the probes.
          on_change: Called with True when the target goes down, and with
            False when it is up again.
          on_instance: Called with the instance in each answer to a probe.
        """
        self.is_down = False
        self._clock = clock
        self._target = target
        self._on_change = on_change
        self._on_instance = on_instance
        self._unreachable_since_ms: int | None = None
        self._unresponsive_since_ms: int | None = None
        self._failure_recorded = asyncio.Event()

    def record_response(self) -> None:
        """Records that the target answered; it counts as up."""
        self._unreachable_since_ms = None
        self._unresponsive_since_ms = None
        if self.is_down:
            self.is_down = False
            self._on_change(False)

    def record_failure(self) -> None:
        """Records that the target was unreachable or its connection lost."""
        if self._unreachable_since_ms is None:
            self._unreachable_since_ms = self._clock.now_ms()
            self._failure_recorded.set()

    async def run(self) -> None:
        """Probes the target until cancelled."""
        while True:
            self.record_probe(await self._target.probe())
            await self._wait_for_next_probe()

    def record_probe(self, probe: dispatch_lib.Probe) -> None:
        """Updates the state with the result of a probe."""
        now_ms = self._clock.now_ms()
        if probe.answered:
            self.record_response()
            if probe.instance is not None:
                self._on_instance(probe.instance)
            return
        if self._unresponsive_since_ms is None:
            self._unresponsive_since_ms = now_ms
        if not probe.connected:
            self.record_failure()
        if self._has_failed_too_long(now_ms) and not self.is_down:
            self.is_down = True
            self._on_change(True)

    def _has_failed_too_long(self, now_ms: int) -> bool:
        unreachable_ms = self._unreachable_since_ms
        unresponsive_ms = self._unresponsive_since_ms
        if (
            unreachable_ms is not None
            and now_ms - unreachable_ms >= DOWN_AFTER_MS
        ):
            return True
        return (
            unresponsive_ms is not None
            and now_ms - unresponsive_ms >= UNRESPONSIVE_AFTER_MS
        )

    async def _wait_for_next_probe(self) -> None:
        self._failure_recorded.clear()
        if (
            self._unreachable_since_ms is not None
            or self._unresponsive_since_ms
        ):
            await self._clock.sleep_ms(_FAILING_PROBE_INTERVAL_MS)
            return
        sleep = asyncio.ensure_future(
            self._clock.sleep_ms(_HEALTHY_PROBE_INTERVAL_MS)
        )
        failure = asyncio.ensure_future(self._failure_recorded.wait())
        try:
            await asyncio.wait(
                (sleep, failure), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            sleep.cancel()
            failure.cancel()
