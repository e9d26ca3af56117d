"""One run of the soak: fleet, callers, fault injection and checks."""

import asyncio
import dataclasses
import pathlib

import msgspec

from mustardloom import clock as clock_lib
from mustardloom.platform.tests import standins
from soak import callers as callers_lib
from soak import checks
from soak import evidence as evidence_lib
from soak import faults
from soak import injector as injector_lib
from soak import processes

__all__ = ["Options", "Result", "describe", "play"]

_MS_PER_S = 1_000
_OK = 200
_WARM_UP_S = 6
# Requests are sent for this long after the time allowed for recovery; the
# check `recovers` counts them.
_MEASURED_S = 4
_STALL_PROBE_MS = 50
# Share of the requests that are sent in pieces, in runs of planned work.
_SLOW_SHARE = 0.2
# A timer that fires later than this means that the machine is too busy.
_MIN_STALL_MS = 200
_STALL_KIND = "machine-stall"
_FAULT_EVENT_FIELD = b'"event":"fault"'
# Service, availability zone and region of each VM; repeated for more VMs.
_VM_LAYOUT = (
    ("keyed", "za", "ra"),
    ("plain", "za", "ra"),
    ("keyed", "zc", "rb"),
    ("plain", "zc", "rb"),
    ("other", "zb", "ra"),
    ("keyed", "zb", "ra"),
    ("keyed", "zd", "rb"),
    ("other", "zd", "rb"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of a run.

    Attributes:
      seed: Seed of the planned faults and of the callers' requests.
      folder: Existing folder for settings files and daemon logs.
      network: Second byte of the VMs' loopback addresses.
      vms: Number of VMs.
      callers_per_vm: Number of callers on each VM, one connection each.
      faults: Number of faults.
      length_s: Time over which faults begin.
      is_planned_work: Whether to play stops, reloads and configurations only,
        with callers that are connected to the daemons without a proxy.
      work_ms: Time that a target takes for most requests.
    """

    seed: int
    folder: pathlib.Path
    network: int = 77
    vms: int = 8
    callers_per_vm: int = 2
    faults: int = 14
    length_s: int = 20
    is_planned_work: bool = False
    work_ms: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a run.

    Attributes:
      planned: Faults that were injected, in order of time.
      requests: Number of requests that callers sent.
      served: Number of those answered with status 200.
      stalls: Number of periods in which the machine was too busy to run the
        soak itself; time limits do not apply around them.
      broken: Violations that the checks found; empty for a clean run.
    """

    seed: int
    planned: list[faults.PlannedFault]
    requests: int
    served: int
    stalls: int
    broken: list[checks.Violation]


async def play(options: Options) -> Result:
    """Runs the fleet with faults and returns what the checks found."""
    run = _Run(options)
    try:
        await run.play()
    finally:
        await run.close()
    return run.result()


class _Run:
    def __init__(self, options: Options):
        self._options = options
        self._clock = clock_lib.SystemClock()
        self._store = standins.Store()
        store_port = self._store.listen()
        layout = [
            _VM_LAYOUT[index % len(_VM_LAYOUT)] for index in range(options.vms)
        ]
        self._evidence = evidence_lib.Evidence(
            {f"vm-{index}": row[0] for index, row in enumerate(layout)}
        )
        self._store_port = store_port
        self._vms = [
            self._new_vm(index, row) for index, row in enumerate(layout)
        ]
        # VMs that join during the run.
        self._added: list[processes.Vm] = []
        self._evidence.is_planned_work = options.is_planned_work
        self._tasks: list[asyncio.Task[None]] = []
        self._injector = injector_lib.Injector(
            self._vms, self._store, self._evidence, self._clock, options.seed
        )
        self._injector.add_vm = self._add_vm
        self._planned = self._plan(options.length_s * _MS_PER_S)

    def _new_vm(self, index: int, row: tuple[str, str, str]) -> processes.Vm:
        return processes.Vm(
            f"vm-{index}",
            f"127.{self._options.network}.0.{index + 1}",
            row[1:],
            row[0],
            self._store_port,
            self._options.folder,
            self._evidence,
            self._clock,
            self._options.work_ms,
        )

    def _add_vm(self, index: int) -> processes.Vm:
        """Returns a new VM with a target of the service of another one."""
        row = _VM_LAYOUT[index % len(_VM_LAYOUT)]
        vm = self._new_vm(len(self._vms) + len(self._added), row)
        self._evidence.service_by_vm[vm.name] = vm.service
        self._added.append(vm)
        return vm

    def _plan(self, length_ms: int) -> list[faults.PlannedFault]:
        options = self._options
        if options.is_planned_work:
            return faults.plan_work(options.seed, length_ms, options.vms)
        return [
            *faults.plan_faults(
                options.seed, options.faults, length_ms, options.vms
            ),
            *faults.plan_statements(options.seed, length_ms, options.vms),
            *faults.plan_losses(options.seed, length_ms, options.vms),
            *faults.plan_silences(options.seed, length_ms, options.vms),
        ]

    async def play(self) -> None:
        self._injector.configure()
        self._tasks.append(asyncio.ensure_future(self._record_stalls()))
        for vm in self._vms:
            await vm.start()
        await asyncio.sleep(_WARM_UP_S)
        self._start_callers()
        await asyncio.sleep(1)
        start_ms = self._clock.now_ms()
        await asyncio.gather(
            *(self._injector.play(start_ms, each) for each in self._planned)
        )
        self._evidence.calm_ms = self._clock.now_ms()
        recover_s = checks.BOUNDS.recover_ms / _MS_PER_S
        await asyncio.sleep(recover_s + _MEASURED_S)
        self._evidence.ended_ms = self._clock.now_ms()
        self._check_callers()

    async def close(self) -> None:
        """Stops callers, daemons, targets and the stand-in store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in (*self._vms, *self._added):
            await vm.stop()
        self._store.close()

    def result(self) -> Result:
        """Reads the daemons' logs, runs the checks and returns the outcome."""
        self._read_daemon_logs()
        attempts = self._evidence.attempt_by_id.values()
        return Result(
            self._options.seed,
            self._planned,
            len(attempts),
            sum(1 for each in attempts if each.status == _OK),
            sum(
                1 for each in self._evidence.faults if each.kind == _STALL_KIND
            ),
            checks.violations(self._evidence),
        )

    def _start_callers(self) -> None:
        for vm in self._vms:
            for number in range(self._options.callers_per_vm):
                name = f"{self._options.seed}-{vm.name}-{number}"
                caller = callers_lib.Caller(
                    vm.name,
                    vm.direct_address
                    if self._options.is_planned_work
                    else vm.caller_address,
                    name,
                    self._evidence,
                    self._clock,
                    _SLOW_SHARE if self._options.is_planned_work else 0.0,
                )
                self._injector.callers.append(caller)
                self._tasks.append(asyncio.ensure_future(caller.run()))

    def _check_callers(self) -> None:
        for task in self._tasks:
            if task.done() and (error := task.exception()) is not None:
                raise error

    def _read_daemon_logs(self) -> None:
        for vm in (*self._vms, *self._added):
            for line in vm.log.read_bytes().splitlines():
                if _FAULT_EVENT_FIELD in line or not line.startswith(b"{"):
                    self._evidence.errors.append(f"{vm.name}: {line!r}")

    async def _record_stalls(self) -> None:
        """Records periods in which timers fire late as faults of all VMs."""
        while True:
            due_ms = self._clock.now_ms() + _STALL_PROBE_MS
            await self._clock.sleep_ms(_STALL_PROBE_MS)
            now_ms = self._clock.now_ms()
            if now_ms - due_ms > _MIN_STALL_MS:
                self._evidence.faults.append(
                    evidence_lib.Fault(_STALL_KIND, "", due_ms, now_ms)
                )


def describe(result: Result) -> bytes:
    """Returns the outcome as one line of JSON."""
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
