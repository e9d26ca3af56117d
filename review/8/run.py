"""The backends of a keyed service are lost one by one, until one is left."""

import asyncio
import bisect
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2 import deployment
from stand_ins_2 import http
from stand_ins_2 import runner

_FOLDER = pathlib.Path(__file__).resolve().parent
_KEYED = 6
_PLAIN = 2
_LOST = 5
_FIRST_LOSS_S = 6.0
_BETWEEN_LOSSES_S = 8.0
_AFTER_LOSSES_S = 25.0
_PER_S = 40
_KEYS = 65_536
_KEY_STEP = 7_919
_ANSWER_LIMIT_S = 2.0
# The bounds of the settings.
_BUDGET_WINDOW_S = 10.0
_BUDGET_RATIO = 0.2
_BUDGET_MINIMUM = 60


async def _run(record: deployment.Record) -> list[str]:
    rules = [
        deployment.route("keyed", "/keyed/", "keyed"),
        deployment.route("read", "/read/", "plain"),
    ]
    keyed = {"name": "keyed", "sharded": True, "warm": "5s"}
    configuration = deployment.configuration(
        rules, [{**keyed, "grants": "heartbeat"}, {"name": "plain"}]
    )
    zones = ("za", "zb")
    machines = [
        (f"k{index}", zones[index % 2], "keyed", ("--keyed",))
        for index in range(_KEYED)
    ]
    machines += [
        (f"p{index}", zones[index % 2], "plain", ()) for index in range(_PLAIN)
    ]
    sent_s: dict[str, float] = {}
    async with deployment.Deployment(machines, configuration) as deployed:
        await asyncio.sleep(4)
        sending = asyncio.create_task(_send(deployed, sent_s, record))
        await asyncio.sleep(_FIRST_LOSS_S)
        for machine in deployed.machines[1 : 1 + _LOST]:
            if runner.has_trouble() and machine.target is not None:
                machine.target.kill()
                record.write("backend lost for good", machine=machine.name)
            await asyncio.sleep(_BETWEEN_LOSSES_S)
        await asyncio.sleep(_AFTER_LOSSES_S)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        events = [
            event
            for machine in deployed.machines[:_KEYED]
            for event in machine.target_events()
        ]
    return _judge(sent_s, events, record)


async def _send(
    deployed: deployment.Deployment,
    sent_s: dict[str, float],
    record: deployment.Record,
) -> None:
    tasks = set()
    number = 0
    while True:
        # At the machines that lose no backend.
        machine = deployed.machines[-1 - number % _PLAIN]
        key = number * _KEY_STEP % _KEYS
        number += 1
        task = asyncio.create_task(_ask(machine, key, sent_s, record))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / _PER_S)


async def _ask(
    machine: deployment.Machine,
    key: int,
    sent_s: dict[str, float],
    record: deployment.Record,
) -> None:
    request_id, data = deployment.request("/keyed/1", key=key)
    sent_s[request_id] = time.time()
    answer = await http.exchange(machine.address, data, _ANSWER_LIMIT_S)
    status = 0 if answer is None else answer.status
    record.write(
        "answered", id=request_id, key=key, machine=machine.name, status=status
    )


def _judge(
    sent_s: dict[str, float], events: list[dict], record: deployment.Record
) -> list[str]:
    """Returns the windows in which the retry budget was exceeded."""
    events.sort(key=lambda event: event["at"])
    arrived: collections.Counter[str] = collections.Counter()
    beyond_first_s = []
    for event in events:
        if event["event"] == "beat" and not event["acknowledged"]:
            record.write(
                "heartbeat not acknowledged",
                event["at"],
                backend=event["target"],
                answer_bytes=event["bytes"],
            )
        if event["event"] not in ("run", "reject"):
            continue
        record.write(
            event["event"],
            event["at"],
            backend=event["target"],
            id=event["id"],
            status=event.get("status", 200),
        )
        if arrived[event["id"]]:
            beyond_first_s.append(event["at"])
        arrived[event["id"]] += 1
    starts_s = sorted(sent_s.values())
    breaks = []
    for start_s in beyond_first_s:
        extra = _count(beyond_first_s, start_s)
        # The window before and the one half before may count instead.
        requests = max(
            _count(starts_s, start_s - shift_s)
            for shift_s in (0.0, _BUDGET_WINDOW_S / 2, _BUDGET_WINDOW_S)
        )
        allowed = _BUDGET_RATIO * requests + _BUDGET_MINIMUM
        if extra > allowed:
            breaks.append(
                f"BUDGET: {extra} arrivals beyond the first of their request"
                f" in 10 s, for {requests} requests; allowed {allowed:.0f}"
            )
    return breaks


def _count(times_s: list[float], start_s: float) -> int:
    """Returns how many of the sorted times lie in a window."""
    end_s = start_s + _BUDGET_WINDOW_S
    return bisect.bisect_left(times_s, end_s) - bisect.bisect_left(
        times_s, start_s
    )


if __name__ == "__main__":
    sys.exit(runner.main(_run, _FOLDER))
