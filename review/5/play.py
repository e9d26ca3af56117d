"""Case 5: a server that left at a restarted daemon is used again."""

import asyncio
import signal
import time

from standins import configurations
from standins import fleet as fleet_lib
from standins import servers
from standins import traffic as traffic_lib

_SERVICE = "orders"
_FIRST_S = 5.0
_CLIENTS = 24
_BUSY_S = 2.0
_RETRY_S = 0.02
_RETRIES = 100
_LATE_S = 1.0
_SERVES_ON_S = 8.0
_DRAIN_S = 2.5
_STABILITY_WINDOW_S = 3.0


async def _leave(server: servers.StandInServer) -> bool:
    """Deregisters the server; returns whether that was acknowledged."""
    for _ in range(_RETRIES):
        if await server.post_deregistration():
            return True
        await asyncio.sleep(_RETRY_S)
    return False


async def play(fleet: fleet_lib.Fleet) -> bool | None:
    """Returns whether the rule was broken."""
    fleet.add(
        [
            {"service": "desk", "zone": "za", "region": "ra"},
            {"service": _SERVICE, "zone": "za", "region": "ra"},
            {"service": _SERVICE, "zone": "zb", "region": "ra"},
        ]
    )
    fleet.configure(
        1, configurations.specification(_SERVICE, "unsafe", "/o/", 1_200)
    )
    for vm in fleet.vms:
        vm.start()
        await vm.start_server(work_s=0.08)
    if not await fleet.await_ready():
        return None
    await asyncio.sleep(_FIRST_S)
    traffic = traffic_lib.Traffic(fleet, "POST", "/o/1", 0.03)
    traffic.start(fleet.vms[0], _CLIENTS)
    await asyncio.sleep(_BUSY_S)
    vm = fleet.vms[1]
    server = vm.server
    assert server is not None
    # The heartbeat is sent now and arrives late; a server that leaves in this
    # way sends no more of them.
    server.sends_heartbeats = False
    late, sent_at = server.heartbeat(), time.monotonic()
    if fleet_lib.has_trouble():
        vm.signal(signal.SIGKILL)
        await asyncio.sleep(_RETRY_S)
    if not await _leave(server):
        return None
    left_at = fleet.record.now()
    fleet.record.note("leave-acknowledged", server=server.name)
    await asyncio.sleep(_LATE_S)
    await server.post_late(late, sent_at)
    await asyncio.sleep(_SERVES_ON_S)
    await traffic.stop()
    server.stop()
    started_at = max(
        each["at_s"]
        for each in fleet.record.of("daemon-start")
        if each["vm"] == vm.name
    )
    bound = max(left_at + _DRAIN_S, started_at + _STABILITY_WINDOW_S)
    runs = [
        each["at_s"]
        for each in fleet.record.of("run")
        if each["server"] == server.name and each["at_s"] > bound
    ]
    fleet.record.note(
        "too-late",
        runs=len(runs),
        last_after_leave_s=round(max(runs) - left_at, 3) if runs else None,
    )
    return bool(runs)


if __name__ == "__main__":
    fleet_lib.main(play, __file__)
