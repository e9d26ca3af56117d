"""Graceful stop: finishes what was accepted, in the order that loses nothing.

Callers first get time to move to other daemons. Then no more requests are read
from them, and those that have arrived are answered. Last the gate refuses the
requests of other daemons, which tells them that nothing was run, and the links
end once the last answer to another daemon has been written. Which requests
still start meanwhile is decided by `load_control.stop_admission`.
"""

from collections.abc import Callable

from mustardloom import clock as clock_lib
from mustardloom.http1 import server
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import links as links_lib

__all__ = ["GracefulStop", "Step"]

_POLL_MS = 50
_REPORT_INTERVAL_MS = 1_000


Step = stop_admission.Step


class GracefulStop:
    """Stops one daemon.

    Args:
      admission: Decides which requests still start.
      callers: Serves the callers.
      gate: Gate of the local target.
      forwarder: Runs the requests of other daemons.
      links: Links to the other daemons.
      clock: Source of time.
      on_waiting: Called with the step that takes long, at most once a second.
    """

    def __init__(
        self,
        admission: stop_admission.StopAdmission,
        callers: server.HttpServer,
        gate: gate_lib.Gate,
        forwarder: forwarder_lib.Forwarder,
        links: links_lib.Links,
        clock: clock_lib.Clock,
        on_waiting: Callable[[Step], None] = lambda _: None,
    ):
        self._admission = admission
        self._callers = callers
        self._gate = gate
        self._forwarder = forwarder
        self._links = links
        self._clock = clock
        self._on_waiting = on_waiting
        self._reported_ms = 0
        self._cut: list[Step] = []

    async def run(self, grace_ms: int) -> tuple[Step, ...]:
        """Returns once nothing is open, or shortly before the grace ends.

        Returns:
          The steps that ended before what they waited for.
        """
        plan = self._admission.begin(grace_ms)
        self._callers.drain()
        await self._clock.sleep_ms(
            plan.admission_ends_ms - self._clock.now_ms()
        )
        self._callers.stop_reading()
        self._reported_ms = self._clock.now_ms()
        await self._await(Step.CALLERS, self._callers.is_busy, plan.ends_ms)
        self._admission.close()
        await self._await(
            Step.OTHER_DAEMONS, self._is_serving_others, plan.ends_ms
        )
        # The answer to the last request is written soon after its end.
        await self._pause(plan.ends_ms)
        await self._await(Step.REPLIES, self._links.is_writing, plan.ends_ms)
        # The rest of the time is left to the peers, which close their links.
        self._links.end_incoming(plan.link_end_ms // 2)
        end_by_ms = min(plan.ends_ms, self._clock.now_ms() + plan.link_end_ms)
        await self._await(Step.LINKS, self._links.has_incoming, end_by_ms)
        return tuple(self._cut)

    def _is_serving_others(self) -> bool:
        return self._forwarder.is_serving() or not self._gate.is_idle()

    async def _await(
        self, step: Step, is_busy: Callable[[], bool], limit_ms: int
    ) -> None:
        self._admission.step = step
        while is_busy():
            if self._clock.now_ms() >= limit_ms:
                self._cut.append(step)
                return
            self._report(step)
            await self._pause(limit_ms)

    def _report(self, step: Step) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._reported_ms >= _REPORT_INTERVAL_MS:
            self._reported_ms = now_ms
            self._on_waiting(step)

    async def _pause(self, limit_ms: int) -> None:
        left_ms = max(0, limit_ms - self._clock.now_ms())
        await self._clock.sleep_ms(min(_POLL_MS, left_ms))
