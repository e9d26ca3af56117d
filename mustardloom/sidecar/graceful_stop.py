"""Graceful stop: finishes what was accepted, in the order that loses nothing.

Callers first get time to move to other daemons. Then no more requests are read
from them, and those that have arrived are answered. Last the gate refuses the
requests of other daemons, which tells them that nothing was run, and the links
end once the last answer to another daemon has been written.
"""

from collections.abc import Callable

from mustardloom import clock as clock_lib
from mustardloom.http1 import server
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import links as links_lib

__all__ = ["GracefulStop"]

# Callers notice within this time that the daemon is no longer ready, and go to
# other daemons.
_NOTICE_MS = 2_300
# Time kept free at the end of the grace period.
_MARGIN_MS = 700
_POLL_MS = 50
# Other daemons close a link that has ended within this time.
_LINK_END_MS = 300


class GracefulStop:
    """Stops one daemon.

    Args:
      callers: Serves the callers.
      gate: Gate of the local target.
      forwarder: Runs the requests of other daemons.
      links: Links to the other daemons.
      clock: Source of time.
    """

    def __init__(
        self,
        callers: server.HttpServer,
        gate: gate_lib.Gate,
        forwarder: forwarder_lib.Forwarder,
        links: links_lib.Links,
        clock: clock_lib.Clock,
    ):
        self._callers = callers
        self._gate = gate
        self._forwarder = forwarder
        self._links = links
        self._clock = clock

    async def run(self, grace_ms: int) -> None:
        """Returns once nothing is open, or shortly before the grace ends."""
        stop_by_ms = self._clock.now_ms() + grace_ms - _MARGIN_MS
        self._callers.drain()
        await self._clock.sleep_ms(_NOTICE_MS)
        self._callers.stop_reading()
        await self._await(self._callers.is_busy, stop_by_ms)
        self._gate.is_stopping = True
        await self._await(self._is_serving_others, stop_by_ms)
        # The answer to the last request is written soon after its end.
        await self._clock.sleep_ms(_POLL_MS)
        await self._await(self._links.is_writing, stop_by_ms)
        self._links.end_incoming()
        end_by_ms = min(stop_by_ms, self._clock.now_ms() + _LINK_END_MS)
        await self._await(self._links.has_incoming, end_by_ms)

    def _is_serving_others(self) -> bool:
        return self._forwarder.is_serving() or not self._gate.is_idle()

    async def _await(self, is_busy: Callable[[], bool], limit_ms: int) -> None:
        while is_busy() and self._clock.now_ms() < limit_ms:
            await self._clock.sleep_ms(_POLL_MS)
