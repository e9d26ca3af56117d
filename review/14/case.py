"""A backend leaves, and the daemon beside it is killed and started again."""

import asyncio
import contextlib
import functools
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.stand_ins_3 import fleet as fleet_lib
from review.stand_ins_3 import http
from review.stand_ins_3 import play
from review.stand_ins_3 import record as record_lib
from review.stand_ins_3 import waiting

_DRAIN_S = 2.5
# The backend exits this long after its leaving was acknowledged.
_SERVES_S = _DRAIN_S + 1.0
_WORK_S = 0.1
# The platform starts a daemon again after this time.
_RESTART_S = 0.8
_CALLERS = 8
_PAUSE_S = 0.01
_WATCHED_S = 5.0
_KEYS = 65_536


class _Caller:
    """Sends safe requests for all keys at one machine, one after the other.

    Attributes:
      leaving_at: Time at which an answer first said that the backend leaves.
      sent: Time at which each request was sent, by its id.
    """

    def __init__(self, machine: fleet_lib.Machine, record: record_lib.Record):
        self.leaving_at: float | None = None
        self.sent: dict[str, float] = {}
        self._machine = machine
        self._record = record
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            number = next(self._numbers)
            await self.ask(f"{number:06x}", number * 2_741 % _KEYS)
            await asyncio.sleep(_PAUSE_S)

    async def is_served(self, key: int) -> bool:
        """Returns whether the owner of a key answers."""
        return await self.ask(f"w{key:05x}", key) == 200

    async def ask(self, request_id: str, key: int) -> int:
        """Sends one request; returns its status, 0 without an answer."""
        headers = [
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "1200"),
            ("X-Shard-Key", str(key)),
        ]
        self.sent[request_id] = self._record.write("sent", id=request_id)
        try:
            answer = await self._machine.ask("GET", "/plans/1", headers)
        except (http.Truncated, OSError):
            self._record.write("answered", id=request_id, status="none")
            return 0
        at = self._record.write(
            "answered",
            id=request_id,
            status=answer.status,
            leaving=answer.headers.get("server-leaving", ""),
        )
        if "server-leaving" in answer.headers and self.leaving_at is None:
            self.leaving_at = at
        return answer.status


async def _start_again(machine: fleet_lib.Machine) -> None:
    machine.kill()
    await asyncio.sleep(_RESTART_S)
    machine.start_daemon()


def _late_runs(
    record: record_lib.Record, caller: _Caller, name: str
) -> list[str]:
    assert caller.leaving_at is not None
    bound = caller.leaving_at + _DRAIN_S
    return [
        f"{fields['id']} sent {caller.sent[fields['id']]:.3f} reached {name}"
        f" at {at:.3f}, {at - bound:.3f} s after the bound"
        for at, event, fields in record.events
        if event == "run"
        and fields["backend"] == name
        and caller.sent[fields["id"]] > bound
    ]


async def _play(
    folder: pathlib.Path, record: record_lib.Record, has_trouble: bool
) -> list[str]:
    rules = [("plans", "/plans/", "safe", "archive", "2000ms")]
    services = ["desk", "archive"]
    async with fleet_lib.Fleet(
        folder, record, services, ("archive",), rules
    ) as fleet:
        desk, leaving = fleet.machines
        leaving.backend.work_s = _WORK_S
        caller = _Caller(desk, record)
        async with asyncio.timeout(30):
            for number in range(0, _KEYS, 4_096):
                await waiting.until_answered(
                    functools.partial(caller.is_served, number)
                )
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(caller.run()) for _ in range(_CALLERS)]
            await asyncio.sleep(1.0)
            leaving.backend.leave()
            tasks.append(
                group.create_task(leaving.backend.exit_after_drain(_SERVES_S))
            )
            await waiting.until(
                lambda: None not in (caller.leaving_at, leaving.backend.acked)
            )
            record.write("client got Server-Leaving", backend="i-m1")
            if has_trouble:
                tasks.append(group.create_task(_start_again(leaving)))
            await asyncio.sleep(_WATCHED_S)
            for task in tasks:
                task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)
        return _late_runs(record, caller, leaving.backend.name)


play.run(_play, pathlib.Path(__file__).resolve().parent)
