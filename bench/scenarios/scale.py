"""Measures control state and periodic work of a daemon at the planned size.

One process holds the daemon's classes with the state of 2,700 daemons; no
daemon runs. It measures the costs that grow with the size of the fleet.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import os
import time
from typing import Any

import msgspec
import psutil

from bench import measurement
from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.daemon import adapters
from mustardloom.membership import datagrams
from mustardloom.membership import fencing
from mustardloom.membership import records
from mustardloom.ownership import assignment
from mustardloom.ownership import chunk_writer
from mustardloom.ownership import ranks
from mustardloom.ownership import reconciler as reconciler_lib
from mustardloom.ownership import slot_map
from mustardloom.ownership import slots
from mustardloom.relay import authentication
from mustardloom.relay import dissemination
from mustardloom.relay import replica as replica_lib
from mustardloom.relay.wire import peer_pb2
from mustardloom.store import memory

__all__ = ["DAEMONS", "FleetState", "build", "run"]

DAEMONS = 2_700
REGIONS = 4
ZONES = 16
SERVICES = 10
# Slots of each service: one group for any region, and one per region.
_SLOTS_ANYWHERE = 4_096
_SLOTS_PER_REGION = 612

_MS_PER_S = 1_000
_BYTES_PER_MB = 1_000_000
_REPEATS = 5
_DATAGRAM_COUNT = 1_000
_NS_PER_MS = 1_000_000
_DEFINITION = (
    f"One process with the real classes and the state of {DAEMONS} daemons, "
    f"{ZONES} availability zones in {REGIONS} regions, {SERVICES} services and "
    f"{SERVICES * (_SLOTS_ANYWHERE + REGIONS * _SLOTS_PER_REGION)} slots. Each "
    f"time is the median of {_REPEATS} runs of one call, in milliseconds of "
    "processor time. Memory is the growth of the resident set."
)


@dataclasses.dataclass(slots=True)
class FleetState:
    """State of the planned fleet in one process, as `local_member` has it."""

    replica: replica_lib.Replica
    members: records.MemberView
    slots: slot_map.SlotMap
    groups: list[tuple[ids.GroupId, int]]
    zone: ids.AvailabilityZoneId
    local_member: ids.MemberId


def build(daemons: int = DAEMONS) -> FleetState:
    """Returns a fleet of `daemons` daemons in which every slot has an owner."""
    replica = replica_lib.Replica()
    fleet = FleetState(
        replica,
        records.MemberView(replica),
        slot_map.SlotMap(replica),
        list(_groups()),
        ids.AvailabilityZoneId("zone-0"),
        ids.MemberId("vm-0~00000000"),
    )
    events = [
        _member_event(n, records.MemberState.ACTIVE) for n in range(daemons)
    ]
    versions = iter(range(1, 10_000_000))
    for event in events:
        _apply(replica, event, next(versions))
    for group, slot_count in fleet.groups:
        for event in _chunks(fleet, group, slot_count):
            _apply(replica, event, next(versions))
    return fleet


def run() -> measurement.Measurement:
    """Measures memory and the processor time of each periodic step."""
    process = psutil.Process(os.getpid())
    before = process.memory_info().rss
    fleet = build()
    grown_mb = (process.memory_info().rss - before) / _BYTES_PER_MB
    costs = asyncio.run(_step_costs_ms(fleet))
    figures = {f"scale_{name}_ms": value for name, value in costs.items()}
    figures["scale_state_mb"] = grown_mb
    figures["scale_member_record_bytes"] = _mean_bytes(
        fleet, records.MEMBERS_PREFIX
    )
    figures["scale_chunk_bytes"] = _mean_bytes(fleet, slot_map.SLOTS_PREFIX)
    figures["scale_chunk_count"] = len(
        list(fleet.replica.select(slot_map.SLOTS_PREFIX))
    )
    return measurement.Measurement(
        name="scale",
        definition=_DEFINITION,
        figures=figures,
        table=(
            ("step", "ms"),
            *((name, f"{value:.2f}") for name, value in costs.items()),
        ),
    )


async def _step_costs_ms(fleet: FleetState) -> dict[str, float]:
    clock = clock_lib.SystemClock()
    best, unranked = _pick_members(fleet)
    reconciler = _reconciler(fleet, clock, unranked)
    candidate = _reconciler(fleet, clock, best)
    await candidate.reconcile()
    disseminator = _disseminator(fleet, clock)
    member_event = _member_event(7, records.MemberState.ACTIVE)
    chunk_event = next(fleet.replica.select(slot_map.SLOTS_PREFIX))
    costs = {
        "datagram_round": _datagram_ms(),
        "summary_answer": await _median_async_ms(
            lambda: disseminator.on_summary(
                fleet.local_member,
                peer_pb2.Summary(version=fleet.replica.version),
            )
        ),
        "watcher_check": _median_ms(disseminator.is_watcher),
        "repair_choice": _median_ms(disseminator._random_peer),
        "apply_member": _median_ms(
            lambda: _apply_next_version(fleet, member_event)
        ),
        "apply_chunk": _median_ms(
            lambda: _apply_next_version(fleet, chunk_event)
        ),
        "fencing_candidates": _median_ms(
            lambda: fencing.fencing_candidates(
                fleet.members.live(), fleet.members.by_id[fleet.local_member]
            )
        ),
        "reconcile_idle": await _median_async_ms(reconciler.reconcile),
        "reconcile_idle_candidate": await _median_async_ms(candidate.reconcile),
    }

    async def pass_after_change() -> None:
        _apply_next_version(fleet, member_event)
        await reconciler.reconcile()

    costs["reconcile_after_change"] = await _median_async_ms(pass_after_change)
    _fence_zone(fleet)
    lost_reconciler = _reconciler(fleet, clock, best)
    costs["plan_after_zone_loss"] = _median_ms(
        lambda: _plan_all(lost_reconciler, fleet), 1
    )
    return costs


class _LoopbackEndpoint(datagrams.DatagramEndpoint):
    """Endpoint that receives the datagrams that it sends."""

    def _transmit(self, address: records.Address, data: bytes) -> None:
        self.receive(data, address)


def _datagram_ms() -> float:
    """Returns the cost of signing, sending, checking and reading a renewal.

    Excludes the system call; the control scenario includes it.
    """
    member = ids.MemberId("vm-0~00000000")
    endpoint = _LoopbackEndpoint(
        member,
        authentication.Authenticator(b"fleet key"),
        metrics_lib.Metrics(),
    )
    address = records.Address("127.0.0.1", 1)
    message = datagrams.Renew(sender=member, receiver=member, acknowledged=True)

    def send_many() -> None:
        for _ in range(_DATAGRAM_COUNT):
            endpoint.send(address, message)

    return _median_ms(send_many) / _DATAGRAM_COUNT


def _plan_all(reconciler: reconciler_lib.Reconciler, fleet: FleetState) -> None:
    reconciler._note_active()
    for group, slot_count in fleet.groups:
        reconciler._plan(group, slot_count)


def _groups() -> Any:
    for number in range(SERVICES):
        service = ids.ServiceId(f"service-{number}")
        yield slots.group_of(service, ()), _SLOTS_ANYWHERE
        for region in range(REGIONS):
            name = ids.RegionId(f"region-{region}")
            yield slots.group_of(service, [name]), _SLOTS_PER_REGION


def _member_event(number: int, state: records.MemberState) -> store_lib.Event:
    zone = number % ZONES
    member = ids.MemberId(f"vm-{number}~00000000")
    witnesses = tuple(
        ids.MemberId(f"vm-{(number + step) % DAEMONS}~00000000")
        for step in (ZONES, 4, 1)
    )
    record = records.MemberRecord(
        member=member,
        region=ids.RegionId(f"region-{zone % REGIONS}"),
        availability_zone=ids.AvailabilityZoneId(f"zone-{zone}"),
        caller_address=records.Address(f"10.0.{number // 250}.9", 7000),
        peer_address=records.Address(f"10.0.{number // 250}.9", 7001),
        state=state,
        service=ids.ServiceId(f"service-{number // ZONES % SERVICES}"),
        capacity=12,
        checks_fencing=True,
        target_instance="0123456789abcdef",
        witnesses=witnesses,
    )
    key = records.member_key(member)
    return store_lib.Event(key, ids.NO_VERSION, records.encode(record))


def _chunks(fleet: FleetState, group: ids.GroupId, slot_count: int) -> Any:
    live = assignment.eligible(fleet.members.live(), group, lambda _: False)
    receivers = [assignment.make_receiver(r, 10**9, 0) for r in live]
    entries = [slot_map.SlotEntry() for _ in range(slot_count)]
    wanted = {ids.SlotIndex(index) for index in range(slot_count)}
    load = assignment.equal_load
    chosen = assignment.assign(group, entries, wanted, receivers, load)
    for slot, member in chosen.items():
        entries[slot] = slot_map.SlotEntry(member, ids.Epoch(1))
    for start in range(0, slot_count, slot_map.CHUNK_SLOTS):
        chunk = entries[start : start + slot_map.CHUNK_SLOTS]
        name = slot_map.ChunkName(group, start // slot_map.CHUNK_SLOTS)
        value = slot_map.encode_chunk(chunk)
        yield store_lib.Event(slot_map.chunk_key(name), ids.NO_VERSION, value)


def _apply(
    replica: replica_lib.Replica, event: store_lib.Event, version: int
) -> None:
    numbered = store_lib.Event(event.key, ids.Version(version), event.value)
    replica.apply([numbered], ids.Version(version - 1), ids.Version(version))


def _apply_next_version(fleet: FleetState, event: store_lib.Event) -> None:
    _apply(fleet.replica, event, fleet.replica.version + 1)


def _fence_zone(fleet: FleetState) -> None:
    for number in range(0, DAEMONS, ZONES):
        _apply_next_version(
            fleet, _member_event(number, records.MemberState.FENCED)
        )


def _pick_members(fleet: FleetState) -> tuple[ids.MemberId, ids.MemberId]:
    """Returns the largest group's top-ranked member and an unranked member."""
    live = list(fleet.members.live())
    ranked = {
        member
        for group, _ in fleet.groups
        for member in ranks.reconciler_order(group, live)[:ZONES]
    }
    unranked = next(r.member for r in live if r.member not in ranked)
    return ranks.reconciler_order(fleet.groups[0][0], live)[0], unranked


def _reconciler(
    fleet: FleetState, clock: clock_lib.Clock, member: ids.MemberId
) -> reconciler_lib.Reconciler:
    metrics = metrics_lib.Metrics()
    store = memory.MemoryPlatform(clock)
    writer = chunk_writer.ChunkWriter(
        fleet.replica, store, lambda _: None, metrics
    )
    return reconciler_lib.Reconciler(
        member,
        lambda: fleet.groups,
        fleet.replica,
        fleet.members,
        fleet.slots,
        writer,
        lambda _: False,
        clock,
        metrics,
    )


class _NoPeers:
    """Peers that cannot be called and drop notifications."""

    def __init__(self, member: ids.MemberId):
        self.member = member

    async def call(
        self, member: ids.MemberId, body: Any, timeout_ms: int
    ) -> Any:
        """See `relay.peers.Peers`."""
        raise NotImplementedError

    def notify(self, member: ids.MemberId, body: Any) -> None:
        """See `relay.peers.Peers`."""


def _disseminator(
    fleet: FleetState, clock: clock_lib.Clock
) -> dissemination.Disseminator:
    return dissemination.Disseminator(
        fleet.replica,
        memory.MemoryPlatform(clock),
        _NoPeers(fleet.local_member),
        adapters.MemberTopology(fleet.members, fleet.zone),
        clock,
        metrics_lib.Metrics(),
    )


def _median_ms(call: Callable[[], Any], repeats: int = _REPEATS) -> float:
    times = []
    for _ in range(repeats):
        start_ns = time.process_time_ns()
        call()
        times.append(time.process_time_ns() - start_ns)
    return sorted(times)[len(times) // 2] / _NS_PER_MS


async def _median_async_ms(call: Callable[[], Any]) -> float:
    times = []
    for _ in range(_REPEATS):
        start_ns = time.process_time_ns()
        await call()
        times.append(time.process_time_ns() - start_ns)
    return sorted(times)[len(times) // 2] / _NS_PER_MS


def _mean_bytes(fleet: FleetState, prefix: str) -> float:
    sizes = [len(e.value or b"") for e in fleet.replica.select(prefix)]
    return sum(sizes) / len(sizes)


if __name__ == "__main__":
    print(msgspec.json.encode(run().figures).decode())
