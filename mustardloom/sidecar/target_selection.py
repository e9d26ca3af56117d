"""Selects the target of a request that any target of its service may run.

Load pattern: hundreds of daemons choose among dozens of targets that run two
or three requests at once. Reports that are a second old make all daemons choose
the same idle targets. Where a region has many targets, a daemon therefore asks
some of them for their load right before it chooses; this costs the same in a
fleet of any size. A target whose daemon does not answer is not chosen.
"""

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.load_control import placement
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib

__all__ = ["TargetSelection"]

# With at most this many targets in the region, their last reports are compared.
_MAX_COMPARED = 8
# Targets of the zone, and of the rest of the region, that are asked for their
# load at a time, and how often others are asked if none has a free place.
_ASKED_OF_EACH = 1
_MAX_ROUNDS = 2
# Targets of other regions that are compared by their last reports, and how many
# of them if the request cannot run in this region.
_COMPARED_FAR = 2
_COMPARED_FAR_ONLY = 4
_ANSWER_TIMEOUT_MS = 30
# Most gates that are asked for one request. Refusals by gates cost no target
# any work, so they don't count towards the attempts that a route allows.
_MAX_GATES = 4
_MAX_GATES_AFTER_ASKING = 2
_PERCENT = 100
_MS_PER_S = 1_000


class TargetSelection:
    """Selects targets by reported load or by load that it asks for.

    Args:
      fleet: The daemons and their targets.
      links: Links to the other daemons.
      clock: Source of time.
      chance: Source of random numbers.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        clock: clock_lib.Clock,
        chance: random.Random,
    ):
        self._fleet = fleet
        self._links = links
        self._clock = clock
        self._chance = chance

    async def choose(
        self,
        service: ids.ServiceId,
        regions: frozenset[ids.RegionId],
        tried: set[ids.VmId],
    ) -> ids.VmId | None:
        """Returns the VM whose target is to run a request, None if none can.

        Args:
          service: Service of the request.
          regions: Regions in which it may run; empty for all.
          tried: VMs that are left out.
        """
        rings = self._fleet.rings(service, regions)
        near_count = len(rings.zone) + len(rings.region)
        compared: list[fleet_lib.Peer] = []
        if near_count > _MAX_COMPARED:
            compared = await self._ask_some(rings, tried)
            if compared:
                compared.extend(self._sample(rings.far, _COMPARED_FAR, tried))
        elif not near_count and len(rings.far) > _MAX_COMPARED:
            compared = list(self._sample(rings.far, _COMPARED_FAR_ONLY, tried))
        if not compared:
            compared = list(self._fleet.candidates(service, regions, tried))
        view = placement.choose(peer.view for peer in compared)
        return None if view is None else view.vm

    async def _ask_some(
        self, rings: fleet_lib.Rings, tried: set[ids.VmId]
    ) -> list[fleet_lib.Peer]:
        """Returns near peers with their present load.

        Asks further ones only while none has a free place.
        """
        told: list[fleet_lib.Peer] = []
        left_out = set(tried)
        for _ in range(_MAX_ROUNDS):
            near = [
                *self._sample(rings.zone, _ASKED_OF_EACH, left_out),
                *self._sample(rings.region, _ASKED_OF_EACH, left_out),
            ]
            left_out.update(peer.vm for peer in near)
            told.extend(await self._ask_load(near))
            if any(placement.has_free_place(peer.view) for peer in told):
                break
        return told

    def max_gates(
        self, service: ids.ServiceId, regions: frozenset[ids.RegionId]
    ) -> int:
        """Returns how many gates are to be asked for one request.

        If the least loaded of several targets refuses, others do so, too.
        """
        rings = self._fleet.rings(service, regions)
        if len(rings.zone) + len(rings.region) > _MAX_COMPARED:
            return _MAX_GATES_AFTER_ASKING
        return _MAX_GATES

    def _sample(
        self,
        peers: Sequence[fleet_lib.Peer],
        count: int,
        tried: set[ids.VmId],
    ) -> Iterator[fleet_lib.Peer]:
        """Yields up to `count` usable peers in random order."""
        now_ms = self._clock.now_ms()
        # Twice as many, as some may not be usable at the moment.
        drawn = self._chance.sample(peers, min(2 * count, len(peers)))
        usable = (
            peer
            for peer in drawn
            if peer.vm not in tried
            and now_ms >= peer.avoid_until_ms
            and self._fleet.is_reachable(peer.vm)
        )
        for _, peer in zip(range(count), usable, strict=False):
            yield peer

    async def _ask_load(
        self, peers: list[fleet_lib.Peer]
    ) -> list[fleet_lib.Peer]:
        """Returns the peers that told their load in time, or are this VM."""
        call_by_vm: dict[ids.VmId, links_lib.OpenCall] = {}
        for peer in peers:
            if peer.vm != self._fleet.own_record.vm:
                with contextlib.suppress(links_lib.PeerUnreachable):
                    call_by_vm[peer.vm] = self._links.begin_call(
                        peer.vm, frames.LoadQuery
                    )
        try:
            if call_by_vm:
                await asyncio.wait(
                    [call.reply for call in call_by_vm.values()],
                    timeout=_ANSWER_TIMEOUT_MS / _MS_PER_S,
                )
            return [
                peer
                for peer in peers
                if peer.vm == self._fleet.own_record.vm
                or (
                    peer.vm in call_by_vm
                    and self._record_reply(peer, call_by_vm[peer.vm].reply)
                )
            ]
        finally:
            for call in call_by_vm.values():
                call.end()

    def _record_reply(
        self, peer: fleet_lib.Peer, answer: "asyncio.Future[frames.Frame]"
    ) -> bool:
        """Records the load in a reply; returns whether the target is open."""
        if not answer.done() or answer.exception() is not None:
            return False
        reply = answer.result()
        if not isinstance(reply, frames.LoadReply) or not reply.is_open:
            return False
        view = peer.view
        view.limit = max(1, reply.limit)
        view.running = reply.running
        view.waiting = reply.waiting
        view.service_ms = max(1.0, float(reply.service_ms))
        view.failure_share = reply.failure_percent / _PERCENT
        view.reported_in_flight = view.in_flight
        view.rate_limit_per_s = reply.rate_limit_per_s
        return True
