"""The stand-in of a target as a process; reports what it sees as JSON lines.

SIGTERM makes it leave as planned: it says so, serves on, says goodbye.
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

_FIRST_BEAT_MS = 50
# A target that releases keys reports again within this time.
_RELEASE_BEAT_MS = 80
_SERVES_ON_MS = 800


def main() -> int:
    """Runs the target until it has left."""
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
        self._has_told = asyncio.Event()
        self._target = standins.Target(
            arguments.name,
            arguments.service,
            arguments.zone,
            (arguments.host, arguments.control),
            arguments.keyed,
            work_ms=arguments.work_ms,
            long_work_ms=arguments.long_work_ms,
            note=self._note,
        )

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._is_leaving.set)
        asked = self._arguments
        self._target.listen(asked.port, asked.host, asked.announced)
        beats = asyncio.ensure_future(self._beat())
        await self._is_leaving.wait()
        self._target.state = "draining"
        await self._has_told.wait()
        self._note("leaving")
        await self._clock.sleep_ms(self._arguments.drain_ms + _SERVES_ON_MS)
        beats.cancel()
        await self._clock.sleep_ms(_FIRST_BEAT_MS)

    async def _beat(self) -> None:
        await self._clock.sleep_ms(_FIRST_BEAT_MS)
        while True:
            if await self._report():
                self._has_told.set()
            pause_ms = self._arguments.beat_ms
            if self._target.is_releasing:
                pause_ms = _RELEASE_BEAT_MS
            await self._clock.sleep_ms(pause_ms)

    async def _report(self) -> bool:
        """Returns whether a heartbeat that said it leaves was acknowledged."""
        was_leaving = self._is_leaving.is_set()
        try:
            async with asyncio.timeout(1):
                await self._target.beat()
        except (
            TimeoutError,
            client.ConnectFailed,
            client.ClosedBeforeResponse,
            client.IncompleteResponse,
        ):
            return False
        return was_leaving

    def _note(self, event: str, **fields: object) -> None:
        line = {"event": event, "at_ms": self._clock.now_ms(), **fields}
        sys.stdout.buffer.write(msgspec.json.encode(line) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    sys.exit(main())
