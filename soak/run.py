"""One run of the soak: a fleet, its callers, faults, and the verdict."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import pathlib
import random
import signal

import msgspec

from mustardloom import clock as clocks
from mustardloom.platform.tests import standins
from soak import callers as callers_lib
from soak import checks
from soak import evidence as evidences
from soak import faults
from soak import processes
from soak import proxy as proxies

__all__ = ["Options", "Result", "play"]

_MS_PER_S = 1_000
_WARM_UP_S = 6
# Time after the recovery in which requests are counted.
_COUNTED_S = 4
_RESTART_S = 1.5
_EVACUATED_S = 7
_STALL_PROBE_MS = 50
_STALL_MS = 200
STALL = "machine-stall"
_FAULT_EVENT = b'"event":"fault"'
# Service, availability zone and region of each VM.
_PLACES = (
    ("keyed", "za", "ra"),
    ("plain", "za", "ra"),
    ("keyed", "zc", "rb"),
    ("plain", "zc", "rb"),
    ("other", "zb", "ra"),
    ("keyed", "zb", "ra"),
    ("keyed", "zd", "rb"),
    ("other", "zd", "rb"),
)
_MOVES = ("plain", "other")


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Size of a run.

    Attributes:
      seed: Decides faults and requests.
      folder: Where settings and logs go.
      network: Second byte of the VMs' loopback addresses.
    """

    seed: int
    folder: pathlib.Path
    network: int = 77
    vms: int = 8
    callers_per_vm: int = 2
    faults: int = 14
    length_s: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of a run.

    Attributes:
      stalls: Times in which the machine was too busy to run the soak itself;
        bounds on time do not hold around them.
    """

    seed: int
    planned: list[faults.Planned]
    requests: int
    served: int
    stalls: int
    broken: list[checks.Broken]


async def play(options: Options) -> Result:
    """Plays one run and checks what was seen."""
    run = _Run(options)
    try:
        await run.play()
    finally:
        await run.close()
    return run.result()


class _Run:
    def __init__(self, options: Options):
        self._options = options
        self._clock = clocks.SystemClock()
        self._store = standins.Store()
        store_port = self._store.listen()
        places = [_PLACES[index % len(_PLACES)] for index in range(options.vms)]
        self._evidence = evidences.Evidence(
            {f"vm-{index}": place[0] for index, place in enumerate(places)}
        )
        self._vms = [
            processes.Vm(
                f"vm-{index}",
                f"127.{options.network}.0.{index + 1}",
                place[1:],
                place[0],
                store_port,
                options.folder,
                self._evidence,
                self._clock.now_ms,
            )
            for index, place in enumerate(places)
        ]
        self._callers: list[callers_lib.Caller] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._daemon_locks = [asyncio.Lock() for _ in self._vms]
        self._target_locks = [asyncio.Lock() for _ in self._vms]
        self._evacuation_lock = asyncio.Lock()
        self._version = 1
        self._random = random.Random(options.seed)
        self._planned = faults.draw(
            options.seed,
            options.faults,
            options.length_s * _MS_PER_S,
            options.vms,
        )

    async def play(self) -> None:
        self._configure()
        self._tasks.append(asyncio.ensure_future(self._note_stalls()))
        for vm in self._vms:
            await vm.start()
        await asyncio.sleep(_WARM_UP_S)
        self._start_callers()
        await asyncio.sleep(1)
        start_ms = self._clock.now_ms()
        await asyncio.gather(
            *(self._play_at(start_ms, each) for each in self._planned)
        )
        self._evidence.calm_ms = self._clock.now_ms()
        recover_s = checks.BOUNDS.recover_ms / _MS_PER_S
        await asyncio.sleep(recover_s + _COUNTED_S)
        self._check_callers()

    async def close(self) -> None:
        """Ends everything that the run has started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self._vms:
            await vm.stop()
        self._store.close()

    def result(self) -> Result:
        """Returns the verdict."""
        self._read_logs()
        attempts = self._evidence.attempt_by_id.values()
        return Result(
            self._options.seed,
            self._planned,
            len(attempts),
            sum(1 for each in attempts if each.status == 200),
            sum(1 for each in self._evidence.faults if each.kind == STALL),
            checks.broken(self._evidence),
        )

    def _start_callers(self) -> None:
        for vm in self._vms:
            for number in range(self._options.callers_per_vm):
                name = f"{self._options.seed}-{vm.name}-{number}"
                caller = callers_lib.Caller(
                    vm.name,
                    vm.caller_address,
                    name,
                    self._evidence,
                    self._clock.now_ms,
                )
                self._callers.append(caller)
                self._tasks.append(asyncio.ensure_future(caller.run()))

    def _check_callers(self) -> None:
        for task in self._tasks:
            if task.done() and (error := task.exception()) is not None:
                raise error

    def _read_logs(self) -> None:
        for vm in self._vms:
            for line in vm.log.read_bytes().splitlines():
                if _FAULT_EVENT in line or not line.startswith(b"{"):
                    self._evidence.ends.append(f"{vm.name}: {line!r}")

    async def _note_stalls(self) -> None:
        """Notes times in which the machine runs no process in time."""
        while True:
            due_ms = self._clock.now_ms() + _STALL_PROBE_MS
            await self._clock.sleep_ms(_STALL_PROBE_MS)
            now_ms = self._clock.now_ms()
            if now_ms - due_ms > _STALL_MS:
                self._evidence.faults.append(
                    evidences.Fault(STALL, "", due_ms, now_ms)
                )

    # Faults.

    async def _play_at(self, start_ms: int, planned: faults.Planned) -> None:
        due_ms = start_ms + planned.at_ms - self._clock.now_ms()
        await self._clock.sleep_ms(max(0, due_ms))
        vm = self._vms[planned.vm]
        for_s = planned.for_ms / _MS_PER_S
        match planned.kind:
            case faults.Kind.DAEMON_PAUSE:
                await self._pause(planned, vm.signal_daemon, for_s)
            case faults.Kind.DAEMON_KILL:
                await self._kill([planned.vm])
            case faults.Kind.ALL_DAEMONS_KILL:
                await self._kill(list(range(len(self._vms))))
            case faults.Kind.DAEMON_RESTART:
                async with self._daemon_locks[planned.vm]:
                    await self._during(planned, vm.restart_daemon())
            case faults.Kind.DAEMON_RELOAD:
                vm.write_settings(grace_ms=planned.for_ms)
                vm.signal_daemon(signal.SIGHUP)
            case faults.Kind.TARGET_PAUSE:
                await self._pause(planned, vm.signal_target, for_s)
            case faults.Kind.TARGET_KILL:
                async with self._target_locks[planned.vm]:
                    await vm.replace_target(signal.SIGKILL)
            case faults.Kind.TARGET_LEAVE:
                async with self._target_locks[planned.vm]:
                    await vm.replace_target(signal.SIGTERM)
            case faults.Kind.LINK:
                proxy = vm.proxy_by_link[planned.link]
                await self._harm(planned, [proxy], for_s)
            case faults.Kind.STORE_AWAY:
                found = [vm.proxy_by_link["store"] for vm in self._vms]
                await self._harm(planned, found, for_s)
            case faults.Kind.STORE_REFUSES:
                self._store.status = 503
                await self._during(planned, asyncio.sleep(for_s))
                self._store.status = None
            case faults.Kind.STORE_FORGETS:
                self._store.forget_history()
            case faults.Kind.EVACUATE:
                await self._evacuate(vm.availability_zone)
            case faults.Kind.CONFIGURE:
                self._configure()
            case faults.Kind.BURST:
                await self._press(for_s)

    async def _during(
        self,
        planned: faults.Planned,
        call: Coroutine[None, None, None],
        is_everywhere: bool = False,
    ) -> None:
        name = "" if is_everywhere else self._vms[planned.vm].name
        kind = planned.kind.value
        if planned.kind is faults.Kind.LINK:
            kind = f"{planned.link}-{planned.mode.value}"
        fault = evidences.Fault(kind, name, self._clock.now_ms())
        self._evidence.faults.append(fault)
        await call
        fault.ended_ms = self._clock.now_ms()

    async def _pause(
        self,
        planned: faults.Planned,
        send: Callable[[signal.Signals], None],
        for_s: float,
    ) -> None:
        is_target = planned.kind is faults.Kind.TARGET_PAUSE
        locks = self._target_locks if is_target else self._daemon_locks
        async with locks[planned.vm]:
            send(signal.SIGSTOP)
            await self._during(planned, asyncio.sleep(for_s))
            send(signal.SIGCONT)

    async def _kill(self, indexes: list[int]) -> None:
        now_ms = self._clock.now_ms()
        killed = [
            evidences.Fault("daemon-kill", self._vms[index].name, now_ms)
            for index in indexes
        ]
        self._evidence.faults.extend(killed)
        for index in indexes:
            self._vms[index].signal_daemon(signal.SIGKILL)
        await asyncio.sleep(_RESTART_S)
        for fault in killed:
            fault.ended_ms = self._clock.now_ms()

    async def _harm(
        self,
        planned: faults.Planned,
        found: list[proxies.Proxy],
        for_s: float,
    ) -> None:
        for proxy in found:
            proxy.set_mode(planned.mode, planned.delay_ms)
        # Connections of all others are hit too where peers are cut off.
        is_everywhere = len(found) > 1 or planned.link == "peer"
        await self._during(planned, asyncio.sleep(for_s), is_everywhere)
        for proxy in found:
            proxy.set_mode(proxies.Mode.PASS)

    # What operators and callers do.

    async def _evacuate(self, zone: str) -> None:
        async with self._evacuation_lock:
            self._store.put("evacuations", zone, b"{}")
            self._note_evacuation(zone)
            await asyncio.sleep(_EVACUATED_S)
            self._note_evacuation("")
            self._store.delete("evacuations", zone)

    def _note_evacuation(self, zone: str) -> None:
        change = evidences.Change(self._clock.now_ms(), zone)
        self._evidence.evacuations.append(change)

    def _configure(self) -> None:
        self._version += self._random.randint(1, 9)
        service = _MOVES[len(self._evidence.moves) % len(_MOVES)]
        wire = standins.configuration(self._version, moving=service)
        change = evidences.Change(self._clock.now_ms(), service)
        self._evidence.moves.append(change)
        self._store.put("config", "main", wire)

    async def _press(self, for_s: float) -> None:
        for caller in self._callers:
            caller.is_busy = True
        await asyncio.sleep(for_s)
        for caller in self._callers:
            caller.is_busy = False


def describe(result: Result) -> bytes:
    """Returns a result as one line of JSON."""
    return msgspec.json.encode(
        {
            "seed": result.seed,
            "faults": [each.kind.value for each in result.planned],
            "requests": result.requests,
            "served": result.served,
            "stalls": result.stalls,
            "broken": result.broken,
        }
    )
