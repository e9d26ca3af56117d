"""Planned moves of slots from their owner to a receiver."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import functools
from typing import Protocol

from loguru import logger

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.ownership import chunk_writer
from mustardloom.ownership import holdings as holdings_lib
from mustardloom.ownership import slot_map
from mustardloom.relay import peers as peers_lib
from mustardloom.relay.wire import peer_pb2

__all__ = ["ANNOUNCEMENT_EPOCH", "Mover", "PeerClient", "RequestRecords"]

# A slot with this epoch in a Transfer only announces the move: the owner goes
# on serving it, and the receiver holds requests that already reach it.
ANNOUNCEMENT_EPOCH = ids.Epoch(0)

_CALL_TIMEOUT_MS = 1_000
_RETRY_MS = 100
_UNREACHABLE_RETRY_MS = 500
_STORE_RETRY_MS = 500
_MAX_ATTEMPTS = 8

_Batch = tuple[ids.MemberId, ids.GroupId]
_SlotKey = tuple[ids.GroupId, ids.SlotIndex]


class PeerClient(Protocol):
    """The part of `relay.peers.Peers` that moves need."""

    def handle(self, body_type: type, handler: peers_lib.Handler) -> None:
        """Registers the handler of one message type."""

    async def call(
        self, member: ids.MemberId, body: peers_lib.Body, timeout_ms: int
    ) -> peers_lib.Body:
        """Sends `body` to a member and returns its reply.

        Raises:
          peers_lib.PeerUnreachable: The message was certainly not sent.
          peers_lib.PeerLost: The message was sent, but no reply came.
        """


class RequestRecords(Protocol):
    """Request ids of slots, kept by the deduplication."""

    def export(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> list[peer_pb2.RequestRecord]:
        """Returns the records of a slot."""

    def unknown_before_wall_ms(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> int:
        """Returns the stamp below which ids of a slot are not remembered."""

    def import_(
        self,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        records: Sequence[peer_pb2.RequestRecord],
        unknown_before_wall_ms: int,
    ) -> None:
        """Adopts the records of a slot before it is served."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Moved:
    """An acknowledged transfer whose entry is not written yet."""

    receiver: ids.MemberId
    epoch: ids.Epoch


class Mover:
    """Carries out planned moves, as the owner and as the receiver.

    One task for each batch of slots of one receiver and group, which are
    planned at the same time; one task writes entries.
    """

    def __init__(
        self,
        holdings: holdings_lib.Holdings,
        slots: slot_map.SlotMap,
        records: RequestRecords,
        peers: PeerClient,
        writer: chunk_writer.ChunkWriter,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._holdings = holdings
        self._map = slots
        self._records = records
        self._peers = peers
        self._writer = writer
        self._clock = clock
        self._metrics = metrics
        self._work = asyncio.Event()
        self._entries_due = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._moving: set[_SlotKey] = set()
        self._moved: dict[_SlotKey, _Moved] = {}
        holdings.subscribe(self._work.set)
        peers.handle(peer_pb2.Transfer, self.handle_transfer)

    async def run(self) -> None:
        """Moves slots until cancelled."""
        writer = asyncio.create_task(self._write_entries())
        try:
            while True:
                self._start_batches()
                await self._work.wait()
                self._work.clear()
        finally:
            for task in (writer, *self._tasks):
                task.cancel()

    async def handle_transfer(
        self, sender: ids.MemberId, transfer: peer_pb2.Transfer
    ) -> peer_pb2.Transferred:
        """Takes slots of `sender`; names those that are served here."""
        group = ids.GroupId(transfer.group)
        accepted = []
        for slot in transfer.slots:
            if self._accept(sender, group, slot):
                accepted.append(slot)
        # Waits for all slots at the same time, so that one bounded wait is the
        # longest that the sender sees.
        waits = (self._until_served(group, slot) for slot in accepted)
        results = await asyncio.gather(*waits)
        served = [
            slot.slot
            for slot, is_served in zip(accepted, results, strict=True)
            if is_served
        ]
        return peer_pb2.Transferred(group=group, slots=served)

    def _accept(
        self,
        sender: ids.MemberId,
        group: ids.GroupId,
        moved: peer_pb2.TransferredSlot,
    ) -> bool:
        slot = ids.SlotIndex(moved.slot)
        epoch = ids.Epoch(moved.epoch)
        if epoch == ANNOUNCEMENT_EPOCH:
            return self._holdings.expect_transfer(group, slot)
        if self._holdings.has_received(group, slot, epoch):
            return True
        if not self._holdings.may_receive(sender, group, slot, epoch):
            self._metrics.increment("ownership.transfers_refused")
            return False
        cut_off_ms = moved.unknown_before_wall_ms
        self._records.import_(group, slot, moved.requests, cut_off_ms)
        self._holdings.receive(group, slot, epoch, cut_off_ms)
        return True

    async def _until_served(
        self, group: ids.GroupId, moved: peer_pb2.TransferredSlot
    ) -> bool:
        epoch = ids.Epoch(moved.epoch)
        if epoch == ANNOUNCEMENT_EPOCH:
            return True
        slot = ids.SlotIndex(moved.slot)
        return await self._holdings.wait_until_served(group, slot, epoch)

    def _start_batches(self) -> None:
        planned_by_batch: dict[_Batch, list[ids.SlotIndex]] = {}
        for move in self._holdings.planned():
            if (move.group, move.slot) not in self._moving:
                batch = (move.receiver, move.group)
                planned_by_batch.setdefault(batch, []).append(move.slot)
        for batch, slots in planned_by_batch.items():
            self._moving.update((batch[1], slot) for slot in slots)
            task = asyncio.create_task(self._move_batch(batch, slots))
            self._tasks.add(task)
            task.add_done_callback(functools.partial(self._end, batch, slots))

    def _end(
        self,
        batch: _Batch,
        slots: Iterable[ids.SlotIndex],
        task: asyncio.Task[None],
    ) -> None:
        self._tasks.discard(task)
        self._moving.difference_update((batch[1], slot) for slot in slots)
        if not task.cancelled() and task.exception() is not None:
            self._metrics.increment("ownership.moves_failed")
            logger.error(f"move to {batch} failed: {task.exception()!r}")
        self._work.set()

    async def _move_batch(
        self, batch: _Batch, planned: Iterable[ids.SlotIndex]
    ) -> None:
        """Moves slots of one group that are planned for one receiver."""
        receiver, group = batch
        ready = await self._announce(batch, planned)
        if not ready:
            await self._clock.sleep_ms(_UNREACHABLE_RETRY_MS)
            return
        remaining = set()
        for move in self._holdings.planned():
            is_own = move.group == group and move.receiver == receiver
            if is_own and move.slot in ready:
                self._holdings.stop(move)
                remaining.add(move.slot)
        while remaining:
            # Slots are sent as soon as they are drained, so that one long
            # request delays only its own slot.
            await self._until_any_drained(batch, remaining)
            drained = self._drained(batch, remaining)
            remaining.difference_update(drained)
            if drained and not await self._transfer(batch, drained):
                self._resume(batch, remaining)
                await self._clock.sleep_ms(_UNREACHABLE_RETRY_MS)
                return

    async def _announce(
        self, batch: _Batch, planned: Iterable[ids.SlotIndex]
    ) -> frozenset[int]:
        """Returns the slots that the receiver is ready to take."""
        receiver, group = batch
        transfer = peer_pb2.Transfer(group=group)
        for slot in planned:
            transfer.slots.add(slot=slot, epoch=ANNOUNCEMENT_EPOCH)
        try:
            reply = await self._peers.call(receiver, transfer, _CALL_TIMEOUT_MS)
        except peers_lib.PeerError:
            self._metrics.increment("ownership.receivers_unreachable")
            return frozenset()
        return frozenset(reply.slots)

    async def _until_any_drained(
        self, batch: _Batch, remaining: set[ids.SlotIndex]
    ) -> None:
        changed = asyncio.Event()
        unsubscribe = self._holdings.subscribe(changed.set)
        try:
            while True:
                changed.clear()
                self._forget_resumed(batch, remaining)
                if not remaining or self._drained(batch, remaining):
                    return
                await changed.wait()
        finally:
            unsubscribe()

    def _forget_resumed(
        self, batch: _Batch, remaining: set[ids.SlotIndex]
    ) -> None:
        _, group = batch
        stopped = {s for s in remaining if self._holdings.is_stopped(group, s)}
        remaining.intersection_update(stopped)

    def _drained(
        self, batch: _Batch, slots: Iterable[ids.SlotIndex]
    ) -> list[ids.SlotIndex]:
        _, group = batch
        return [s for s in slots if self._holdings.is_drained(group, s)]

    def _resume(self, batch: _Batch, slots: Iterable[ids.SlotIndex]) -> None:
        _, group = batch
        for slot in slots:
            self._holdings.resume(group, slot)

    async def _transfer(
        self, batch: _Batch, drained: Iterable[ids.SlotIndex]
    ) -> bool:
        """Sends slots until they are acknowledged or the map decides.

        Returns:
          False if nothing left this daemon, and the slots are served again.
        """
        receiver, group = batch
        epoch_by_slot: dict[ids.SlotIndex, ids.Epoch] = {}
        for slot in drained:
            epoch = self._holdings.send(group, slot)
            if epoch is not None:
                epoch_by_slot[slot] = epoch
        transfer = self._message(group, epoch_by_slot)
        may_have_left = False
        while epoch_by_slot:
            try:
                reply = await self._peers.call(
                    receiver, transfer, _CALL_TIMEOUT_MS
                )
            except peers_lib.PeerUnreachable:
                if not may_have_left:
                    self._resume(batch, epoch_by_slot)
                    return False
                reply = peer_pb2.Transferred()
            except peers_lib.PeerLost:
                reply = peer_pb2.Transferred()
            may_have_left = True
            await self._acknowledge(batch, epoch_by_slot, reply.slots)
            if epoch_by_slot:
                await self._clock.sleep_ms(_RETRY_MS)
                self._forget_ended(group, epoch_by_slot)
                transfer = self._message(group, epoch_by_slot)
        return True

    def _message(
        self, group: ids.GroupId, epoch_by_slot: dict[ids.SlotIndex, ids.Epoch]
    ) -> peer_pb2.Transfer:
        transfer = peer_pb2.Transfer(group=group)
        for slot, epoch in epoch_by_slot.items():
            requests = self._records.export(group, slot)
            cut_off_ms = self._holdings.unknown_before_wall_ms(group, slot)
            # The receiver's clock may be behind: without the stamp up to which
            # ids were dropped here it could take a dropped id for a new one.
            # The export itself may drop ids, so the stamp is read after it.
            floor_ms = self._records.unknown_before_wall_ms(group, slot)
            transfer.slots.add(
                slot=slot,
                epoch=epoch,
                unknown_before_wall_ms=max(cut_off_ms, floor_ms),
                requests=requests,
            )
        return transfer

    async def _acknowledge(
        self,
        batch: _Batch,
        epoch_by_slot: dict[ids.SlotIndex, ids.Epoch],
        acknowledged: Iterable[int],
    ) -> None:
        receiver, group = batch
        released = []
        for number in acknowledged:
            slot = ids.SlotIndex(number)
            epoch = epoch_by_slot.pop(slot, None)
            if epoch is not None:
                self._moved[group, slot] = _Moved(receiver, epoch)
                released.append(slot)
        if released:
            self._entries_due.set()
            await self._holdings.release(group, released)

    def _forget_ended(
        self, group: ids.GroupId, epoch_by_slot: dict[ids.SlotIndex, ids.Epoch]
    ) -> None:
        for slot, epoch in list(epoch_by_slot.items()):
            if not self._holdings.is_sent(group, slot, epoch):
                del epoch_by_slot[slot]

    async def _write_entries(self) -> None:
        """Writes the new owners; each chunk once for all its moved slots."""
        while True:
            await self._entries_due.wait()
            self._entries_due.clear()
            is_complete = True
            for name in self._chunks_due():
                is_complete &= await self._write_chunk(name)
            if not is_complete:
                self._entries_due.set()
                await self._clock.sleep_ms(_STORE_RETRY_MS)

    def _chunks_due(self) -> set[slot_map.ChunkName]:
        return {slot_map.chunk_of(*key) for key in self._moved}

    async def _write_chunk(self, name: slot_map.ChunkName) -> bool:
        """Returns whether nothing is left to write in the chunk.

        Conflicts are usual, as many owners end their moves in one chunk at the
        same time. They are retried at once, because further moves to a receiver
        wait for the entries of earlier ones.
        """
        for _ in range(_MAX_ATTEMPTS):
            changes = self._changes(name)
            if not changes:
                return True
            if not await self._writer.write(name, changes):
                return False
        return not self._changes(name)

    def _changes(self, name: slot_map.ChunkName) -> slot_map.SlotChanges:
        """Returns the entries still to be written, dropping ended moves."""
        changes: slot_map.SlotChanges = {}
        for key, moved in list(self._moved.items()):
            if slot_map.chunk_of(*key) != name:
                continue
            entry = self._map.entry(*key)
            if entry is None or entry.epoch >= moved.epoch:
                # Written, or the reconciler decided otherwise.
                del self._moved[key]
                continue
            changes[key[1]] = slot_map.SlotEntry(
                owner=moved.receiver,
                epoch=moved.epoch,
                unknown_before_wall_ms=entry.unknown_before_wall_ms,
            )
        return changes
