"""Injects planned faults into a fleet and records when they were in force."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import dataclasses
import random
import signal

from mustardloom import clock as clock_lib
from mustardloom.platform.tests import standins
from soak import callers as callers_lib
from soak import evidence as evidence_lib
from soak import faults
from soak import processes
from soak import proxy as proxy_lib

__all__ = ["Injector"]

_MS_PER_S = 1_000
# Within this time a killed daemon is restarted and has read the store.
_RESTART_WAIT_S = 1.5
_EVACUATION_S = 7
# Longer than the time after which a limit, or the end of a drain, is checked.
_LIMITED_S = 10
_QUIET_LEAVE_S = 6
# A VM that has joined has got keys within this time.
_JOIN_S = 4
# Operators write again what a restored store has lost, within this time.
_REWRITE_S = 0.5
_UNAVAILABLE = 503
_OPERATORS_KINDS = ("config", "evacuations")
# Services to which the route `moving` leads in turn.
_MOVING_ROUTE_SERVICES = ("plain", "other")


class Injector:
    """Injects faults, configuration changes, evacuations and load bursts.

    Attributes:
      callers: Callers that send faster during a burst.
      add_vm: Returns a new VM that resembles the one with this index.
    """

    def __init__(
        self,
        vms: list[processes.Vm],
        store: standins.Store,
        evidence: evidence_lib.Evidence,
        clock: clock_lib.Clock,
        seed: int,
    ):
        self.callers: list[callers_lib.Caller] = []
        self.add_vm: Callable[[int], processes.Vm] = lambda index: vms[index]
        self._vms = vms
        self._store = store
        self._evidence = evidence
        self._clock = clock
        self._random = random.Random(seed)
        self._version = 1
        # Serialise faults that signal the same process.
        self._daemon_locks = [asyncio.Lock() for _ in vms]
        self._target_locks = [asyncio.Lock() for _ in vms]
        self._evacuation_lock = asyncio.Lock()

    async def play(self, start_ms: int, planned: faults.PlannedFault) -> None:
        """Waits until a fault is due, injects it, and ends it."""
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
                    await self._record_while(planned, vm.restart_daemon())
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
                await self._impair_links(planned, [proxy], for_s)
            case faults.Kind.STORE_AWAY:
                proxies = [vm.proxy_by_link["store"] for vm in self._vms]
                await self._impair_links(planned, proxies, for_s)
            case faults.Kind.STORE_SILENT:
                proxies = [vm.proxy_by_link["store"] for vm in self._vms]
                silence = dataclasses.replace(
                    planned, mode=proxy_lib.Mode.SILENCE
                )
                await self._impair_links(silence, proxies, 0)
                await asyncio.sleep(for_s)
                self.configure()
            case faults.Kind.STORE_REFUSES:
                self._store.status = _UNAVAILABLE
                await self._record_while(planned, asyncio.sleep(for_s))
                self._store.status = None
            case faults.Kind.STORE_FORGETS:
                self._store.forget_history()
            case faults.Kind.EVACUATE:
                await self._evacuate(vm.availability_zone)
            case faults.Kind.CONFIGURE:
                self.configure()
            case faults.Kind.BURST:
                await self._burst(for_s)
            case faults.Kind.STORE_RESTORED:
                await self._restore_store(planned, for_s)
            case faults.Kind.TARGET_LIMITED:
                async with self._target_locks[planned.vm]:
                    vm.signal_target(signal.SIGUSR1)
                    await asyncio.sleep(_LIMITED_S)
                    vm.signal_target(signal.SIGUSR1)
            case faults.Kind.TARGET_LEAVES_QUIETLY:
                async with self._target_locks[planned.vm]:
                    vm.signal_target(signal.SIGUSR2)
                    await asyncio.sleep(_QUIET_LEAVE_S)
                    await vm.replace_target(signal.SIGKILL)
            case faults.Kind.VM_LOST:
                added = self.add_vm(planned.vm)
                await added.start()
                await asyncio.sleep(_JOIN_S + for_s)
                with self._recorded(planned.kind.value, added.name):
                    await added.lose()
                    await asyncio.sleep(_RESTART_WAIT_S)

    async def _record_while(
        self,
        planned: faults.PlannedFault,
        call: Coroutine[None, None, None],
        affects_all_vms: bool = False,
    ) -> None:
        vm_name = "" if affects_all_vms else self._vms[planned.vm].name
        kind = planned.kind.value
        if planned.kind is faults.Kind.LINK:
            kind = f"{planned.link}-{planned.mode.value}"
        with self._recorded(kind, vm_name):
            await call

    @contextlib.contextmanager
    def _recorded(self, kind: str, *vm_names: str) -> Iterator[None]:
        now_ms = self._clock.now_ms()
        begun = [
            evidence_lib.Fault(kind, vm_name, now_ms) for vm_name in vm_names
        ]
        self._evidence.faults.extend(begun)
        yield
        for fault in begun:
            fault.ended_ms = self._clock.now_ms()

    async def _pause(
        self,
        planned: faults.PlannedFault,
        send: Callable[[signal.Signals], None],
        for_s: float,
    ) -> None:
        is_target = planned.kind is faults.Kind.TARGET_PAUSE
        locks = self._target_locks if is_target else self._daemon_locks
        async with locks[planned.vm]:
            send(signal.SIGSTOP)
            await self._record_while(planned, asyncio.sleep(for_s))
            send(signal.SIGCONT)

    async def _kill(self, indexes: list[int]) -> None:
        killed = [self._vms[index] for index in indexes]
        with self._recorded("daemon-kill", *(vm.name for vm in killed)):
            for vm in killed:
                vm.signal_daemon(signal.SIGKILL)
            await asyncio.sleep(_RESTART_WAIT_S)

    async def _impair_links(
        self,
        planned: faults.PlannedFault,
        proxies: list[proxy_lib.Proxy],
        for_s: float,
    ) -> None:
        for proxy in proxies:
            proxy.set_mode(planned.mode, planned.delay_ms)
        # A fault of the peer link also affects the connections of other VMs.
        affects_all_vms = len(proxies) > 1 or planned.link == "peer"
        await self._record_while(planned, asyncio.sleep(for_s), affects_all_vms)
        for proxy in proxies:
            proxy.set_mode(proxy_lib.Mode.PASS)

    async def _restore_store(
        self, planned: faults.PlannedFault, for_s: float
    ) -> None:
        """Lets the store be away and come back from a copy of now."""
        copied = self._store.copy()
        await asyncio.sleep(for_s)
        with self._recorded(planned.kind.value, ""):
            self._store.status = _UNAVAILABLE
            await asyncio.sleep(_REWRITE_S)
            operators = [
                (path, each)
                for path, each in self._store.by_path.items()
                if path[0] in _OPERATORS_KINDS
            ]
            self._store.restore(copied)
            for kind, name in list(self._store.by_path):
                if kind in _OPERATORS_KINDS:
                    self._store.delete(kind, name)
            for (kind, name), each in operators:
                self._store.put(kind, name, bytes(each["spec"]))
            self._store.status = None

    # Actions of operators and callers.

    async def _evacuate(self, zone: str) -> None:
        async with self._evacuation_lock:
            self._store.put("evacuations", zone, b"{}")
            self._record_evacuation(zone)
            await asyncio.sleep(_EVACUATION_S)
            self._record_evacuation("")
            self._store.delete("evacuations", zone)

    def _record_evacuation(self, zone: str) -> None:
        change = evidence_lib.Change(self._clock.now_ms(), zone)
        self._evidence.evacuations.append(change)

    def configure(self) -> None:
        """Writes a configuration that moves the route to the other service."""
        self._version += self._random.randint(1, 9)
        service = _MOVING_ROUTE_SERVICES[
            len(self._evidence.moves) % len(_MOVING_ROUTE_SERVICES)
        ]
        wire = standins.configuration(self._version, moving=service)
        change = evidence_lib.Change(self._clock.now_ms(), service)
        self._evidence.moves.append(change)
        self._store.put("config", "main", wire)

    async def _burst(self, for_s: float) -> None:
        for caller in self.callers:
            caller.is_busy = True
        await asyncio.sleep(for_s)
        for caller in self.callers:
            caller.is_busy = False
