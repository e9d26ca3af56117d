"""Runs a script against a small deployment and returns its exit code."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import traceback

from stand_ins_2 import deployment

__all__ = ["HELD", "has_trouble", "main"]

HELD = 0
BROKEN = 1
_NOT_RUN = 2
_LIMIT_S = 112.0

# Plays the script; returns the breaks of the rule that it has seen.
Script = Callable[[deployment.Record], Awaitable[list[str]]]


def has_trouble() -> bool:
    """Returns whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(script: Script, folder: pathlib.Path) -> int:
    """Runs a script; returns 0 if the rule held, 1 if not, 2 on an error."""
    record = deployment.Record(folder / "record.txt")
    record.write("begin", trouble=int(has_trouble()))
    try:
        breaks = asyncio.run(_play(script, record))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        traceback.print_exc()
        record.write("not run", error=repr(error))
        return _NOT_RUN
    finally:
        record.close()
    for each in breaks[:20]:
        print(each)
    print(f"{len(breaks)} breaks of the rule")
    return BROKEN if breaks else HELD


async def _play(script: Script, record: deployment.Record) -> list[str]:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(_LIMIT_S):
        breaks = await script(record)
    for each in breaks:
        record.write("BROKEN", what=each)
    record.write("end", breaks=len(breaks))
    sys.stdout.flush()
    return breaks
