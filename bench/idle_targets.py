"""Serves many stand-in targets in one process, for fleets without load."""

import asyncio
import sys

import msgspec

from mustardloom import clock as clock_lib
from mustardloom.standins import target as target_lib

__all__ = ["IdleTarget", "main"]


class IdleTarget(msgspec.Struct, frozen=True):
    """One target and the admin address of its VM's daemon."""

    service: str
    host: str
    port: int
    capacity: int
    daemon_admin: str


def main() -> None:
    """Serves the targets listed as JSON on standard input until killed."""
    idle_targets = msgspec.json.decode(
        sys.stdin.buffer.read(), type=list[IdleTarget]
    )
    asyncio.run(_serve(idle_targets))


async def _serve(idle_targets: list[IdleTarget]) -> None:
    clock = clock_lib.SystemClock()
    targets = []
    for idle in idle_targets:
        settings = target_lib.TargetSettings(**msgspec.structs.asdict(idle))
        target = target_lib.Target(settings, clock)
        target.start()
        targets.append(target)
    await asyncio.gather(*(target.run() for target in targets))


if __name__ == "__main__":
    main()
