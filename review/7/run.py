"""A backend resets a few of its answers that have no length halfway."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2 import deployment
from stand_ins_2 import http
from stand_ins_2 import runner

_FOLDER = pathlib.Path(__file__).resolve().parent
_DURATION_S = 80.0
_PAUSE_S = 0.01
_AT_ONCE = 16
# One of two backends breaks off under 3 % of its answers.
_RESET_EVERY = 34
_BODY_BYTES = 30_000
_ANSWER_BYTES = 20_000
_DEADLINE_MS = 8_000
_ANSWER_LIMIT_S = 10.0


async def _run(record: deployment.Record) -> list[str]:
    rules = [
        deployment.route("up", "/", "plain", "unsafe", _DEADLINE_MS),
    ]
    options = ("--unframed-bytes", str(_ANSWER_BYTES))
    faulty = options
    if runner.has_trouble():
        faulty = (*options, "--reset-every", str(_RESET_EVERY))
    machines = [("m1", "za", "plain", faulty), ("m2", "zb", "plain", options)]
    configuration = deployment.configuration(rules, [{"name": "plain"}])
    breaks: list[str] = []
    async with deployment.Deployment(machines, configuration) as deployed:
        await asyncio.sleep(3)
        ends_s = time.monotonic() + _DURATION_S
        while time.monotonic() < ends_s:
            found = await asyncio.gather(
                *(
                    _upload(each, record)
                    for each in deployed.machines * (_AT_ONCE // 2)
                )
            )
            breaks.extend(each for each in found if each)
            await asyncio.sleep(_PAUSE_S)
        for machine in deployed.machines:
            for event in machine.target_events():
                if event["event"] in ("reset", "answered"):
                    record.write(
                        f"backend {event['event']}",
                        event["at"],
                        id=event["id"],
                        bytes=event["bytes"],
                    )
    return breaks


async def _upload(
    machine: deployment.Machine, record: deployment.Record
) -> str:
    """Sends one upload; returns how its answer breaks the rule, if it does."""
    request_id, data = deployment.request(
        "/unframed/1", _DEADLINE_MS, method="POST", body=b"b" * _BODY_BYTES
    )
    record.write("sent", id=request_id, machine=machine.name)
    answer = await http.exchange(machine.address, data, _ANSWER_LIMIT_S)
    if answer is None:
        record.write("no answer", id=request_id)
        return ""
    record.write(
        "answered",
        id=request_id,
        status=answer.status,
        signature=answer.fields.get("x-response-signature", ""),
        bytes=len(answer.body),
        looks_complete=answer.is_whole,
        length=answer.fields.get("content-length"),
    )
    is_success = answer.status // 100 == 2 and answer.is_whole
    if is_success and len(answer.body) != _ANSWER_BYTES:
        return (
            f"MIXED: {request_id} got a complete {answer.status} with"
            f" {len(answer.body)} of {_ANSWER_BYTES} bytes"
        )
    return ""


if __name__ == "__main__":
    sys.exit(runner.main(_run, _FOLDER))
