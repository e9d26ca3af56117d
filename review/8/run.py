"""The machines of a keyed service are replaced one after the other."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2 import deployment
from stand_ins_2 import http
from stand_ins_2 import runner

_FOLDER = pathlib.Path(__file__).resolve().parent
_OWNERS = 3
_REPLACED = 8
# Each new machine is there for this long before the old one is removed, and
# the old one is gone for this long before the next one comes.
_BEFORE_S = 4.0
_AFTER_S = 3.0
_STEADY_S = 15.0
_MEASURED_S = 12.0
_PER_S = 10
_KEYS = 65_536
_KEY_STEP = 7_919
_ANSWER_LIMIT_S = 2.0
# Bounds of the rule.
_MIN_REQUESTS = 20
_MIN_RATIO = 0.25

_FIRST_RULES = [
    deployment.route("keyed", "/keyed/", "keyed"),
    deployment.route("read", "/read/", "plain"),
]
_CLUSTERS = [
    {"name": "keyed", "sharded": True, "warm": "5s", "grants": "heartbeat"},
    {"name": "plain"},
]


async def _run(record: deployment.Record) -> list[str]:
    zones = ("za", "zb")
    machines = [
        (f"k{index}", zones[index % 2], "keyed", ("--keyed",))
        for index in range(_OWNERS + _REPLACED)
    ]
    machines.append(("p0", "za", "plain", ()))
    deployed = deployment.Deployment(
        machines, deployment.configuration(_FIRST_RULES, _CLUSTERS)
    )
    *keyed, plain = deployed.machines
    deployed.machines = [*keyed[:_OWNERS], plain]
    async with deployed:
        await asyncio.sleep(4)
        if runner.has_trouble():
            await _replace(deployed, keyed, record)
        added = deployment.route("added", "/added/", "keyed")
        await deployed.replace_configuration(
            deployment.configuration([*_FIRST_RULES, added], _CLUSTERS)
        )
        record.write("route added", prefix="/added/", service="keyed")
        await asyncio.sleep(_STEADY_S)
        served = await _measure(plain, record)
    return _judge(served, record)


async def _replace(
    deployed: deployment.Deployment,
    keyed: list[deployment.Machine],
    record: deployment.Record,
) -> None:
    """Adds a machine and removes the oldest one, again and again."""
    for old, new in zip(keyed, keyed[_OWNERS:], strict=False):
        new.start_daemon()
        new.start_target()
        deployed.machines.append(new)
        await new.await_ready()
        await asyncio.sleep(_BEFORE_S)
        old.stop()
        record.write("replaced", removed=old.name, added=new.name)
        await asyncio.sleep(_AFTER_S)


async def _measure(
    machine: deployment.Machine, record: deployment.Record
) -> dict[str, list[bool]]:
    """Returns for each route whether its requests were served."""
    served: dict[str, list[bool]] = collections.defaultdict(list)
    tasks = []
    for number in range(round(_MEASURED_S * _PER_S)):
        for path in ("/keyed/1", "/read/1", "/added/1"):
            key = number * _KEY_STEP % _KEYS
            if path.startswith("/read"):
                key = None
            tasks.append(
                asyncio.create_task(_ask(machine, path, key, served, record))
            )
        await asyncio.sleep(1 / _PER_S)
    await asyncio.gather(*tasks)
    return served


async def _ask(
    machine: deployment.Machine,
    path: str,
    key: int | None,
    served: dict[str, list[bool]],
    record: deployment.Record,
) -> None:
    request_id, data = deployment.request(path, key=key)
    answer = await http.exchange(machine.address, data, _ANSWER_LIMIT_S)
    status = 0 if answer is None else answer.status
    served[path].append(status == 200)
    record.write("answered", id=request_id, path=path, key=key, status=status)


def _judge(
    served: dict[str, list[bool]], record: deployment.Record
) -> list[str]:
    for path, results in served.items():
        record.write(
            "route", path=path, requests=len(results), served=sum(results)
        )
    added = served["/added/1"]
    first = served["/keyed/1"] + served["/read/1"]
    added_share = sum(added) / len(added)
    first_share = sum(first) / len(first)
    if len(added) < _MIN_REQUESTS or added_share >= _MIN_RATIO * first_share:
        return []
    return [
        f"CONFIG: of {len(added)} requests on the added route {sum(added)} were"
        f" served, of {len(first)} on the first routes {sum(first)}"
    ]


if __name__ == "__main__":
    sys.exit(runner.main(_run, _FOLDER))
