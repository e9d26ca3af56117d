"""A backend leaves and hands over its keys, each with a token of its own."""

import asyncio
import contextlib
import functools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.stand_ins_3 import fleet as fleet_lib
from review.stand_ins_3 import http
from review.stand_ins_3 import play
from review.stand_ins_3 import record as record_lib
from review.stand_ins_3 import waiting

_KEYS = 65_536
_DEADLINE_S = 1.2
_WATCHED_S = 25.0
_PAUSE_S = 0.2
# A daemon that gives no answer for this long is not at work any more.
_HUNG_S = 10.0


async def _ask(
    machine: fleet_lib.Machine,
    record: record_lib.Record,
    request_id: str,
    path: str,
    key: int,
) -> int:
    """Sends a request; returns its status, 0 without an answer in time."""
    headers = [
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(round(_DEADLINE_S * 1_000))),
        ("X-Shard-Key", str(key)),
    ]
    record.write("sent", id=request_id, to=machine.name)
    status = 0
    with contextlib.suppress(http.Truncated, OSError, TimeoutError):
        async with asyncio.timeout(_DEADLINE_S + 0.5):
            status = (await machine.ask("GET", path, headers)).status
    record.write("answered", id=request_id, by=machine.name, status=status)
    return status


async def _is_served(
    machine: fleet_lib.Machine, record: record_lib.Record, key: int
) -> bool:
    request_id = f"w{key:05x}"
    return await _ask(machine, record, request_id, "/plans/1", key) == 200


async def _watch(
    machine: fleet_lib.Machine, record: record_lib.Record
) -> list[str]:
    """Asks a daemon for another service; returns the longest silence."""
    silent_since = record.now()
    longest = 0.0
    ends = record.now() + _WATCHED_S
    number = 0
    while record.now() < ends:
        number += 1
        if await _ask(machine, record, f"d{number:04x}", "/desk/1", 0):
            silent_since = record.now()
        longest = max(longest, record.now() - silent_since)
        await asyncio.sleep(_PAUSE_S)
    record.write("longest silence", machine=machine.name, seconds=longest)
    if longest < _HUNG_S:
        return []
    return [f"{machine.name} gave no answer for {longest:.1f} s"]


async def _play(
    folder: pathlib.Path, record: record_lib.Record, has_trouble: bool
) -> list[str]:
    rules = [
        ("plans", "/plans/", "safe", "archive", "1200ms"),
        ("desk", "/desk/", "safe", "desk", "1200ms"),
    ]
    services = ["desk", "archive", "archive"]
    async with fleet_lib.Fleet(
        folder, record, services, ("archive",), rules
    ) as fleet:
        desk, leaving, _ = fleet.machines
        leaving.backend.keys_per_token = 1
        async with asyncio.timeout(30):
            for key in range(0, _KEYS, 4_096):
                await waiting.until_answered(
                    functools.partial(_is_served, desk, record, key)
                )
        if has_trouble:
            record.write("the backend leaves", backend=leaving.backend.name)
            leaving.backend.leave()
        return await _watch(leaving, record)


play.run(_play, pathlib.Path(__file__).resolve().parent)
