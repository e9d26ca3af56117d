"""Many stand-in targets in one process, for fleets without load."""

import asyncio
import sys

import msgspec

from mustardloom import clock as clock_lib
from mustardloom.standins import target as target_lib

__all__ = ["IdleTarget", "main"]


class IdleTarget(msgspec.Struct, frozen=True):
    """One target and the admin address of the daemon beside it."""

    service: str
    host: str
    port: int
    capacity: int
    daemon_admin: str


def main() -> None:
    """Serves the targets that standard input names until it is killed."""
    chosen = msgspec.json.decode(sys.stdin.buffer.read(), type=list[IdleTarget])
    asyncio.run(_serve(chosen))


async def _serve(chosen: list[IdleTarget]) -> None:
    clock = clock_lib.SystemClock()
    served = []
    for idle in chosen:
        settings = target_lib.TargetSettings(**msgspec.structs.asdict(idle))
        target = target_lib.Target(settings, clock)
        target.start()
        served.append(target)
    await asyncio.gather(*(target.run() for target in served))


if __name__ == "__main__":
    main()
