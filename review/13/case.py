"""The open connections to the store go silent; then a route is moved."""

import asyncio
import copy
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.stand_ins_3 import fleet as fleet_lib
from review.stand_ins_3 import http
from review.stand_ins_3 import play
from review.stand_ins_3 import record as record_lib
from review.stand_ins_3 import waiting

_CONFIG_S = 2.5
_STABILITY_WINDOW_S = 3.0
# Seconds after the second configuration at which the connections go silent.
_SILENT_AFTER_S = 2.0
# Seconds from the silence to the third configuration, which is written once
# all machines are in touch again.
_CHANGED_AFTER_S = _STABILITY_WINDOW_S + 0.5
_WATCHED_S = 14.0
_PAUSE_S = 0.02


async def _ask(
    machine: fleet_lib.Machine, record: record_lib.Record, request_id: str
) -> tuple[float, int]:
    """Sends a request; returns when, and the status of its answer."""
    headers = [("X-Request-Id", request_id), ("X-Deadline-Ms", "2000")]
    at = record.write("sent", id=request_id)
    try:
        answer = await machine.ask("POST", "/plans/1", headers, b"x")
    except (http.Truncated, OSError):
        record.write("answered", id=request_id, status="none")
        return at, 0
    signature = answer.headers.get("x-response-signature")
    record.write(
        "answered", id=request_id, status=answer.status, signature=signature
    )
    return at, answer.status


async def _is_served(
    machine: fleet_lib.Machine, record: record_lib.Record
) -> bool:
    return (await _ask(machine, record, "w"))[1] == 200


async def _call(
    machine: fleet_lib.Machine,
    record: record_lib.Record,
    sent_by_id: dict[str, float],
) -> None:
    for number in itertools.count():
        request_id = f"{number:06x}"
        sent_by_id[request_id], _ = await _ask(machine, record, request_id)
        await asyncio.sleep(_PAUSE_S)


def _write(fleet: fleet_lib.Fleet, version: int, service: str) -> float:
    """Writes a configuration, as the operator does; returns when."""
    changed = copy.deepcopy(fleet.configuration)
    changed["version"] = version
    (rule,) = changed["listeners"][0]["rules"]
    rule["action"]["service"] = service
    fleet.store.put("config", "main", changed)
    return fleet.record.write(
        "configuration acknowledged", version=version, service=service
    )


async def _play(
    folder: pathlib.Path, record: record_lib.Record, has_trouble: bool
) -> list[str]:
    rules = [("plans", "/plans/", "unsafe", "archive", "2000ms")]
    services = ["desk", "archive", "billing"]
    async with fleet_lib.Fleet(
        folder, record, services, (), rules, ("ra", "rb", "rc")
    ) as fleet:
        desk = fleet.machines[0]
        async with asyncio.timeout(30):
            await waiting.until_answered(lambda: _is_served(desk, record))
        sent_by_id: dict[str, float] = {}
        calling = asyncio.create_task(_call(desk, record, sent_by_id))
        _write(fleet, 7, "archive")
        await asyncio.sleep(_SILENT_AFTER_S)
        if has_trouble:
            record.write("open connections to the store go silent")
            fleet.store_proxy.silence()
        await asyncio.sleep(_CHANGED_AFTER_S)
        bound = _write(fleet, 12, "billing") + _CONFIG_S
        await asyncio.sleep(_WATCHED_S)
        calling.cancel()
        return [
            f"{fields['id']} sent {sent_by_id[fields['id']]:.3f},"
            f" {sent_by_id[fields['id']] - bound:.3f} s after the bound,"
            f" run by {fields['backend']} of the old service"
            for _, event, fields in record.events
            if event == "run"
            and fields["backend"] == "i-m1"
            and sent_by_id.get(fields["id"], 0.0) > bound
        ]


play.run(_play, pathlib.Path(__file__).resolve().parent)
