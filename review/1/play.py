"""Case 1: a key is granted to one server while another one holds it."""

import asyncio
from collections.abc import Iterator
import time

from standins import configurations
from standins import fleet as fleet_lib
from standins import servers
from standins import traffic as traffic_lib

from mustardloom.keys import key_map

_SERVICE = "catalogue"
# The site's doses: `node_cut` 5.5 s, `srv_cut` 10 s.
_MACHINE_CUT_S = 4.8
_SERVER_CUT_S = 5.0
_FIRST_MAP_S = 6.0
_BUSY_S = 5.0
# The disruptions come again if the first ones broke nothing.
_ROUNDS = 3
_SETTLE_S = 4.0
_RETURN_LIMIT_S = 3.0
_CLIENTS_PER_VM = 5
# Clients of the machine that is cut off; they keep its server busy.
_CLIENTS_OF_CUT_VM = 14
_MAP_ARRIVES_S = 0.1
_NEARLY_ALL_KEYS = 65_000
_LAST_RANGE_S = 0.3
_LATE_BEFORE_END_S = 1.5
_FIRST_ROW = 600
_POLLS = 30
_SAMPLE_S = 0.01
# "Two backends that are up hold the same keys for over half a second"
_MAX_OVERLAP_S = 0.5
# "grants that arrive within `thaw_slack` after ... a link healed don't count"
_THAW_SLACK_S = 0.3


class _Overlaps:
    """Measures for how long two servers hold the same keys."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        first: servers.StandInServer,
        second: servers.StandInServer,
    ):
        self.longest_s = 0.0
        self._record = fleet.record
        self._servers = (first, second)
        self._since_by_keys: dict[tuple[int, int], float] = {}

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            await asyncio.sleep(_SAMPLE_S)
            self._sample()

    def _sample(self) -> None:
        now = self._record.now()
        found = set(self._shared())
        for keys in found - set(self._since_by_keys):
            self._since_by_keys[keys] = now
            self._record.note("two-holders", keys=keys)
        for keys in set(self._since_by_keys) - found:
            self._end(keys, now)

    def finish(self) -> None:
        """Ends what is still shared."""
        for keys in list(self._since_by_keys):
            self._end(keys, self._record.now())

    def _end(self, keys: tuple[int, int], now: float) -> None:
        lasted_s = now - self._since_by_keys.pop(keys)
        self.longest_s = max(self.longest_s, lasted_s)
        self._record.note("one-holder", keys=keys, lasted_s=round(lasted_s, 3))

    def _shared(self) -> Iterator[tuple[int, int]]:
        first, second = (server.held_now() for server in self._servers)
        for left in first:
            for right in second:
                low = max(left[0], right[0])
                high = min(left[1], right[1])
                if low <= high:
                    yield low, high


def _rows_of(fleet: fleet_lib.Fleet, vm: fleet_lib.Vm) -> int:
    """Returns how many rows of keys the stored map gives to a machine."""
    found = fleet.store.by_path.get(("mustardloom-key-maps", _SERVICE))
    if found is None:
        return 0
    current = key_map.decode(bytes(found["spec"]))
    return len(current.owned_by(vm.name))


async def _await_rows(
    fleet: fleet_lib.Fleet, vm: fleet_lib.Vm, has_rows: bool
) -> bool:
    """Returns whether the stored map came to give rows to a machine, or none.

    The script uses this only to place its disruptions.
    """
    limit = fleet.record.now() + _RETURN_LIMIT_S
    while fleet.record.now() < limit:
        if bool(_rows_of(fleet, vm)) == has_rows:
            return True
        await asyncio.sleep(_SAMPLE_S)
    return False


async def _await_new_holder(
    fleet: fleet_lib.Fleet,
    server: servers.StandInServer,
    before: servers.StandInServer,
) -> bool:
    """Returns whether a server came to hold the keys of another one.

    Waits a little longer for the range that the other one released last.
    """
    limit = fleet.record.now() + _RETURN_LIMIT_S
    while fleet.record.now() < limit:
        held = sum(row[1] + 1 - row[0] for row in server.held_now())
        if held > _NEARLY_ALL_KEYS:
            limit = min(limit, fleet.record.now() + _LAST_RANGE_S)
            if server.holds(before.released[0]):
                return True
        await asyncio.sleep(_SAMPLE_S)
    return bool(server.held_now())


async def _send_late(
    fleet: fleet_lib.Fleet, server: servers.StandInServer
) -> tuple[dict, float]:
    """Returns a heartbeat that arrives late, and when it was sent.

    The server sends it after it has released another range than the very first
    one, which the new owner also releases at first.
    """
    for _ in range(_POLLS):
        if server.released[0] > _FIRST_ROW:
            break
        await asyncio.sleep(_SAMPLE_S)
    server.sends_heartbeats = False
    fleet.record.note("heartbeat-sent-late", released=server.released)
    return server.heartbeat(), time.monotonic()


async def _disrupt(
    fleet: fleet_lib.Fleet, cut: fleet_lib.Vm, other: fleet_lib.Vm
) -> bool:
    """Cuts a machine off, then the other owner's server from control."""
    assert cut.server is not None
    fleet.record.note("machine-cut-begins", vm=cut.name)
    cut.path.clear()
    ends_at = fleet.record.now() + _MACHINE_CUT_S
    await asyncio.sleep(_MACHINE_CUT_S - _LATE_BEFORE_END_S)
    late, sent_at = await _send_late(fleet, cut.server)
    await asyncio.sleep(max(0.0, ends_at - fleet.record.now()))
    is_moved = await _await_rows(fleet, cut, has_rows=False)
    cut.path.set()
    fleet.record.note("machine-cut-ends", vm=cut.name)
    server = other.server
    assert server is not None
    if not is_moved or not await _await_new_holder(fleet, server, cut.server):
        cut.server.sends_heartbeats = True
        return False
    fleet.record.note("server-cut-begins", server=server.name)
    server.control_path.clear()
    is_back = await _await_rows(fleet, cut, has_rows=True)
    await asyncio.sleep(_MAP_ARRIVES_S)
    await cut.server.post_late(late, sent_at)
    cut.server.sends_heartbeats = True
    await asyncio.sleep(_SERVER_CUT_S)
    server.control_path.set()
    fleet.record.note("server-cut-ends", server=server.name)
    return is_back


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
        1, configurations.specification(_SERVICE, "safe", "/k/", 1_200, True)
    )
    for vm in fleet.vms:
        await vm.start_proxies()
        vm.start()
        is_keyed = vm.place["service"] == _SERVICE
        await vm.start_server(work_s=0.06, slots=4, is_keyed=is_keyed)
    if not await fleet.await_ready():
        return None
    _, cut, other = fleet.vms
    assert cut.server is not None and other.server is not None
    overlaps = _Overlaps(fleet, cut.server, other.server)
    sampler = asyncio.ensure_future(overlaps.run())
    await asyncio.sleep(_FIRST_MAP_S)
    traffic = traffic_lib.Traffic(fleet, "GET", "/k/1", 0.02, is_keyed=True)
    for vm in fleet.vms:
        count = _CLIENTS_OF_CUT_VM if vm is cut else _CLIENTS_PER_VM
        traffic.start(vm, count)
    await asyncio.sleep(_BUSY_S)
    played = 0
    for _ in range(_ROUNDS):
        if fleet_lib.has_trouble():
            played += await _disrupt(fleet, cut, other)
        else:
            played += 1
            await asyncio.sleep(_MACHINE_CUT_S + _SERVER_CUT_S)
        await asyncio.sleep(_SETTLE_S)
        if overlaps.longest_s > _MAX_OVERLAP_S + _THAW_SLACK_S:
            break
    await traffic.stop()
    sampler.cancel()
    overlaps.finish()
    fleet.record.note(
        "longest", overlap_s=round(overlaps.longest_s, 3), rounds=played
    )
    if not played:
        return None
    return overlaps.longest_s > _MAX_OVERLAP_S + _THAW_SLACK_S


if __name__ == "__main__":
    fleet_lib.main(play, __file__)
