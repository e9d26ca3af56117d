"""The stand-in target as a process; writes its events as JSON lines.

On SIGTERM it drains: it announces that it leaves in its heartbeat, serves until
the drain time and a margin have passed since the acknowledgement, and exits.
SIGUSR1 makes it state a rate limit in its responses, or none again; SIGUSR2
makes it state there that it leaves, which its heartbeats never tell.
"""

import argparse
import asyncio
import signal
import sys

import msgspec

from mustardloom import clock as clock_lib
from mustardloom.http1 import client
from mustardloom.platform.tests import standins

__all__ = ["main"]

_SHORT_PAUSE_MS = 50
# Shorter heartbeat interval while the target releases keys.
_RELEASE_HEARTBEAT_MS = 80
_SERVE_AFTER_DRAIN_MS = 800
_LIMIT_PER_S = 1.0


def main() -> int:
    """Runs the target until it has drained after SIGTERM; returns 0."""
    parser = argparse.ArgumentParser(prog="soak.target")
    parser.add_argument("name")
    parser.add_argument("service")
    parser.add_argument("zone")
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("announced", type=int)
    parser.add_argument("control", type=int)
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--work-ms", type=int, default=20)
    parser.add_argument("--long-work-ms", type=int, default=300)
    parser.add_argument("--beat-ms", type=int, default=400)
    parser.add_argument("--drain-ms", type=int, default=2_500)
    asyncio.run(_Process(parser.parse_args()).run())
    return 0


class _Process:
    def __init__(self, arguments: argparse.Namespace):
        self._arguments = arguments
        self._clock = clock_lib.SystemClock()
        self._is_leaving = asyncio.Event()
        self._is_leave_acknowledged = asyncio.Event()
        self._is_limited = False
        self._states_leave = False
        self._target = standins.Target(
            arguments.name,
            arguments.service,
            arguments.zone,
            (arguments.host, arguments.control),
            arguments.keyed,
            work_ms=arguments.work_ms,
            long_work_ms=arguments.long_work_ms,
            note=self._write_event,
        )

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._is_leaving.set)
        loop.add_signal_handler(signal.SIGUSR1, self._toggle_limit)
        loop.add_signal_handler(signal.SIGUSR2, self._state_leave)
        options = self._arguments
        self._target.listen(options.port, options.host, options.announced)
        heartbeats = asyncio.ensure_future(self._send_heartbeats())
        await self._is_leaving.wait()
        self._target.state = "draining"
        await self._is_leave_acknowledged.wait()
        self._write_event("leaving")
        await self._clock.sleep_ms(
            self._arguments.drain_ms + _SERVE_AFTER_DRAIN_MS
        )
        heartbeats.cancel()
        await self._clock.sleep_ms(_SHORT_PAUSE_MS)

    def _toggle_limit(self) -> None:
        self._is_limited = not self._is_limited
        self._state()

    def _state_leave(self) -> None:
        self._states_leave = True
        self._state()

    def _state(self) -> None:
        """Sets the headers of all later responses."""
        headers = []
        if self._is_limited:
            headers.append((b"Server-Limit", b"%.1f" % _LIMIT_PER_S))
        if self._states_leave:
            headers.append((b"Server-Leaving", b"1"))
        self._target.statement = tuple(headers)
        limit_per_s = _LIMIT_PER_S if self._is_limited else None
        self._write_event(
            "statement", limit_per_s=limit_per_s, is_leaving=self._states_leave
        )

    async def _send_heartbeats(self) -> None:
        await self._clock.sleep_ms(_SHORT_PAUSE_MS)
        while True:
            if await self._send_heartbeat():
                self._is_leave_acknowledged.set()
            pause_ms = self._arguments.beat_ms
            if self._target.is_releasing:
                pause_ms = _RELEASE_HEARTBEAT_MS
            await self._clock.sleep_ms(pause_ms)

    async def _send_heartbeat(self) -> bool:
        """Returns whether the leave was announced and acknowledged."""
        was_leaving = self._is_leaving.is_set()
        try:
            async with asyncio.timeout(1):
                await self._target.send_heartbeat()
        except (
            TimeoutError,
            client.ConnectFailed,
            client.ClosedEarly,
            client.Incomplete,
        ):
            return False
        return was_leaving

    def _write_event(self, event: str, **fields: object) -> None:
        line = {"event": event, "at_ms": self._clock.now_ms(), **fields}
        sys.stdout.buffer.write(msgspec.json.encode(line) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    sys.exit(main())
