"""Tests of what libraries and the interpreter report; see `process_log`."""

import json
import os
import subprocess
import sys

_PROGRAM = """
import asyncio, gc, logging, threading, warnings
from mustardloom import clock, metrics
from mustardloom.sidecar import events, process_log

async def main():
    log = events.EventLog("vm", clock.SystemClock(), metrics.Metrics())
    loop = asyncio.get_running_loop()
    process_log.ProcessLog(log).install(loop)
    loop.call_soon(lambda: 1 / 0)
    logging.getLogger("tornado.application").error("a %d", "b")
    warnings.warn("w", UserWarning)
    thread = threading.Thread(target=lambda: [][0])
    thread.start()
    thread.join()
    class Odd:
        def __del__(self):
            raise KeyError("x" * 100_000)
    Odd()
    await asyncio.sleep(0.01)
    raise OSError("the end")

asyncio.run(main())
"""


def test_reports_go_past_the_log():
    """Guards against tracebacks on standard error, which nothing bounds."""
    run = subprocess.run(
        [sys.executable, "-c", _PROGRAM],
        capture_output=True,
        env={**os.environ, "PYTHONPATH": os.getcwd()},
        timeout=60,
        check=False,
    )
    assert run.stderr == b""
    lines = [json.loads(line) for line in run.stdout.splitlines()]
    assert {line["event"] for line in lines} == {"fault"}
    assert [line["source"] for line in lines] == [
        "tornado.application",
        "py.warnings",
        "thread",
        "unraisable",
        "asyncio",
        "uncaught",
    ]
    assert all("place" in line or "message" in line for line in lines)
