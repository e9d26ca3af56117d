"""Disseminates changes of the store to all daemons."""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from loguru import logger

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.relay import peers as peers_lib
from mustardloom.relay import rendezvous
from mustardloom.relay import replica as replica_lib
from mustardloom.relay.wire import peer_pb2

__all__ = ["Disseminator", "PeerInfo", "Topology", "is_replicated"]

WATCHERS_PER_ZONE = 2
FAN_OUT = 8
WATCH_WAIT_MS = 10_000
REPAIR_INTERVAL_MS = 1_000

# Audit entries that were moved out of their objects are not replicated, since
# replicas would grow without bound.
REPLICATED_PREFIXES = ("config/", "stops/", "members/", "slots/")

_RETRY_DELAY_MS = 500
_REPAIR_TIMEOUT_MS = 2_000
# Share of repairs with a random member of the whole fleet instead of the local
# availability zone, so that a zone without a working watcher gets changes too.
_REMOTE_REPAIR_SHARE = 0.25


def is_replicated(event: store_lib.Event) -> bool:
    """Returns whether daemons replicate the object of `event`."""
    return event.key.startswith(REPLICATED_PREFIXES)


def split(
    members: Sequence[ids.MemberId], parts: int
) -> Iterator[Sequence[ids.MemberId]]:
    """Yields at most `parts` groups of `members` of nearly equal size.

    Example:
      >>> [len(group) for group in split(["a", "b", "c"], 2)]
      [2, 1]
    """
    count = min(parts, len(members))
    for index in range(count):
        yield members[index::count]


def to_wire(events: Iterable[store_lib.Event]) -> list[peer_pb2.Event]:
    """Returns `events` as protobuf messages."""
    return [
        peer_pb2.Event(key=event.key, version=event.version, value=event.value)
        for event in events
    ]


def from_wire(events: Iterable[peer_pb2.Event]) -> Iterator[store_lib.Event]:
    """Yields the events in protobuf messages."""
    for event in events:
        value = event.value if event.HasField("value") else None
        yield store_lib.Event(event.key, ids.Version(event.version), value)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerInfo:
    """A member and its availability zone."""

    member: ids.MemberId
    zone: ids.AvailabilityZoneId


class Topology(Protocol):
    """Members to which changes are disseminated."""

    def own_zone(self) -> ids.AvailabilityZoneId:
        """Returns the availability zone of this daemon."""

    def peer_infos(self) -> tuple[PeerInfo, ...]:
        """Returns all live members, this one included.

        The same tuple object is returned until the members change, so that
        callers can tell a change by identity.
        """


class Channel(Protocol):
    """The part of `relay.peers.Peers` that the dissemination uses."""

    member: ids.MemberId

    async def call(
        self, member: ids.MemberId, body: peers_lib.Body, timeout_ms: int
    ) -> peers_lib.Body:
        """See `relay.peers.Peers.call`."""

    def notify(self, member: ids.MemberId, body: peers_lib.Body) -> None:
        """See `relay.peers.Peers.notify`."""


class Disseminator:
    """Keeps the replica up to date and sends changes to other daemons.

    In each availability zone, two daemons watch the store and push its changes
    to the others of the zone along a tree. Once a second each daemon compares
    its version with that of a random peer and fetches the changes it lacks.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        store: store_lib.PlatformClient,
        peers: Channel,
        topology: Topology,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        seed: int = 0,
    ):
        self._replica = replica
        self._store = store
        self._peers = peers
        self._topology = topology
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random(seed)
        self._store_is_up = True
        self._member_view = _MemberView((), peers.member)
        self._repairs: set[asyncio.Task[bool]] = set()

    async def load(self, seeds: Sequence[ids.MemberId] = ()) -> bool:
        """Fills the replica from the store, or from a seed if that fails.

        Returns:
          Whether the store or a seed answered.
        """
        try:
            await self._load_from_store()
        except store_lib.PlatformUnavailable:
            self._set_store_state(is_up=False)
        else:
            self._set_store_state(is_up=True)
            return True
        for seed in seeds:
            if await self._repair_from(seed):
                return True
        return False

    def publish(self, event: store_lib.Event) -> None:
        """Applies a change that this daemon wrote and pushes it to others."""
        since = ids.Version(event.version - 1)
        self._replica.apply([event], since, event.version)
        push = peer_pb2.Push(
            since=since, up_to=event.version, events=to_wire([event])
        )
        for members in self._current_member_view().others_by_zone.values():
            self._push_to(push, self._shuffled(members))

    async def watch(self) -> None:
        """Watches the store while this daemon is a watcher; never returns."""
        while True:
            if not self.is_watcher():
                await self._clock.sleep_ms(_RETRY_DELAY_MS)
                continue
            try:
                await self._watch_once()
            except store_lib.PlatformUnavailable:
                self._set_store_state(is_up=False)
                await self._clock.sleep_ms(_RETRY_DELAY_MS)

    async def repair(self) -> None:
        """Fetches missing changes from a random peer once a second."""
        while True:
            await self._clock.sleep_ms(REPAIR_INTERVAL_MS)
            peer = self._random_peer()
            if peer is not None:
                await self._repair_from(peer)

    def is_watcher(self) -> bool:
        """Returns whether this daemon watches the store for its zone."""
        zone = self._topology.own_zone()
        return self._current_member_view().is_watcher(zone)

    async def on_push(self, sender: ids.MemberId, push: peer_pb2.Push) -> None:
        """Applies pushed changes and forwards them to `push.members`.

        They are forwarded even if they were known: the two watchers of a zone
        build different trees, and a member may be a leaf of the first and an
        inner node of the second.
        """
        result = self._apply(push.events, push.since, push.up_to)
        self._metrics.increment("relay.pushes_received")
        if push.members:
            members = [ids.MemberId(member) for member in push.members]
            self._push_to(push, members)
        if result.gap:
            self._metrics.increment("relay.gaps")
            task = asyncio.create_task(self._repair_from(sender))
            self._repairs.add(task)
            task.add_done_callback(self._repairs.discard)

    async def on_summary(
        self, sender: ids.MemberId, summary: peer_pb2.Summary
    ) -> peer_pb2.Changes:
        """Returns the changes after the version that the sender has."""
        del sender
        since = ids.Version(summary.version)
        return peer_pb2.Changes(
            since=since,
            up_to=self._replica.version,
            events=to_wire(self._replica.changes_after(since)),
            behind=self._replica.version < since,
        )

    async def _load_from_store(self) -> None:
        listings = [
            (prefix, await self._store.list_objects(prefix))
            for prefix in REPLICATED_PREFIXES
        ]
        # The first listing may lack changes that later ones include, so the
        # replica is complete only up to the version of the first.
        up_to = listings[0][1].version
        for prefix, listing in listings:
            self._replica.apply_listing(listing, prefix, up_to)

    async def _watch_once(self) -> None:
        since = self._replica.version
        batch = await self._store.watch(since, WATCH_WAIT_MS)
        self._set_store_state(is_up=True)
        events = [event for event in batch.events if is_replicated(event)]
        self._replica.apply(events, since, batch.version)
        if batch.version == since:
            return
        push = peer_pb2.Push(
            since=since, up_to=batch.version, events=to_wire(events)
        )
        zone = self._topology.own_zone()
        members = self._current_member_view().others_by_zone.get(zone, ())
        self._push_to(push, self._shuffled(members))

    async def _repair_from(self, peer: ids.MemberId) -> bool:
        summary = peer_pb2.Summary(version=self._replica.version)
        try:
            changes = await self._peers.call(peer, summary, _REPAIR_TIMEOUT_MS)
        except peers_lib.PeerError:
            self._metrics.increment("relay.repairs_failed")
            return False
        if not changes.behind:
            result = self._apply(changes.events, changes.since, changes.up_to)
            self._metrics.increment("relay.repaired", len(result.changed))
        return True

    def _apply(
        self, events: Iterable[peer_pb2.Event], since: int, up_to: int
    ) -> replica_lib.ApplyResult:
        return self._replica.apply(
            from_wire(events), ids.Version(since), ids.Version(up_to)
        )

    def _push_to(
        self, push: peer_pb2.Push, members: Sequence[ids.MemberId]
    ) -> None:
        for group in split(members, FAN_OUT):
            child = peer_pb2.Push(
                since=push.since,
                up_to=push.up_to,
                events=push.events,
                members=group[1:],
            )
            self._peers.notify(group[0], child)
            self._metrics.increment("relay.pushes_sent")

    def _shuffled(
        self, members: Sequence[ids.MemberId]
    ) -> Sequence[ids.MemberId]:
        """Returns members in random order.

        Each push uses another tree, so that an unreachable member does not cut
        off the same subtree every time.
        """
        return self._random.sample(members, len(members))

    def _random_peer(self) -> ids.MemberId | None:
        view = self._current_member_view()
        in_own_zone = view.others_by_zone.get(self._topology.own_zone(), ())
        is_remote = self._random.random() < _REMOTE_REPAIR_SHARE
        if in_own_zone and not is_remote:
            return self._random.choice(in_own_zone)
        return self._random.choice(view.others) if view.others else None

    def _current_member_view(self) -> "_MemberView":
        infos = self._topology.peer_infos()
        member = self._peers.member
        if (
            infos is not self._member_view.infos
            or member != self._member_view.member
        ):
            self._member_view = _MemberView(infos, member)
        return self._member_view

    def _set_store_state(self, *, is_up: bool) -> None:
        if is_up == self._store_is_up:
            return
        self._store_is_up = is_up
        state = (
            "answers again"
            if is_up
            else "does not answer; changes come from peers only"
        )
        logger.info(f"the platform's store {state}")


class _MemberView:
    """Groups of members, computed once for each set of members.

    Attributes:
      infos: All members.
      member: Member id of this daemon.
      others: All other members.
      others_by_zone: All other members by availability zone.
    """

    def __init__(self, infos: tuple[PeerInfo, ...], member: ids.MemberId):
        self.infos = infos
        self.member = member
        self.others = [info.member for info in infos if info.member != member]
        self.others_by_zone: dict[
            ids.AvailabilityZoneId, list[ids.MemberId]
        ] = {}
        for info in infos:
            if info.member != member:
                in_zone = self.others_by_zone.setdefault(info.zone, [])
                in_zone.append(info.member)
        self._is_watcher_by_zone: dict[ids.AvailabilityZoneId, bool] = {}

    def is_watcher(self, zone: ids.AvailabilityZoneId) -> bool:
        """Returns whether this daemon is a watcher of `zone`.

        A daemon that is not listed yet is a watcher as well, since no other
        daemon pushes changes to it.
        """
        if zone not in self._is_watcher_by_zone:
            self._is_watcher_by_zone[zone] = self._is_ranked_as_watcher(zone)
        return self._is_watcher_by_zone[zone]

    def _is_ranked_as_watcher(self, zone: ids.AvailabilityZoneId) -> bool:
        members = [info.member for info in self.infos if info.zone == zone]
        ranked = rendezvous.rank(f"watcher/{zone}", members)
        best = ranked[:WATCHERS_PER_ZONE]
        return self.member in best or self.member not in members
