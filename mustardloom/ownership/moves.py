"""Carries out planned moves of slots from their owner to a receiver."""

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

# A slot with this epoch in a Transfer only announces its move: the owner keeps
# serving it, and the receiver queues requests that already arrive there.
ANNOUNCEMENT_EPOCH = ids.Epoch(0)

_CALL_TIMEOUT_MS = 1_000
_RETRY_MS = 100
_UNREACHABLE_RETRY_MS = 500
_STORE_RETRY_MS = 500
_MAX_WRITE_ATTEMPTS = 8

_Batch = tuple[ids.MemberId, ids.GroupId]
_SlotKey = tuple[ids.GroupId, ids.SlotIndex]


class PeerClient(Protocol):
    """Calls to other members; the part of `relay.peers.Peers` used here."""

    def add_handler(self, body_type: type, handler: peers_lib.Handler) -> None:
        """Registers the handler of one type of message."""

    async def call(
        self, member: ids.MemberId, body: peers_lib.Body, timeout_ms: int
    ) -> peers_lib.Body:
        """Sends `body` to a member and returns its reply.

        Raises:
          peers_lib.PeerUnreachable: The message was certainly not sent.
          peers_lib.PeerLost: The message was sent, but no reply arrived.
        """


class RequestRecords(Protocol):
    """Request ids of slots, recorded by the deduplication of requests."""

    def export(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> list[peer_pb2.RequestRecord]:
        """Returns the records of the request ids of a slot."""

    def unknown_before_wall_ms(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> int:
        """Returns the stamp before which the ids of a slot are not known."""

    def import_(
        self,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        records: Sequence[peer_pb2.RequestRecord],
        unknown_before_wall_ms: int,
    ) -> None:
        """Stores the records of a received slot before it is served."""


@dataclasses.dataclass(frozen=True, slots=True)
class _AcknowledgedMove:
    """An acknowledged transfer whose map entry is not written yet."""

    receiver: ids.MemberId
    epoch: ids.Epoch


class Mover:
    """Carries out planned moves, as the owner and as the receiver.

    As the owner it has one task for each batch, that is, for the slots of one
    group that are planned for one receiver at the same time. One more task
    writes the map entries of acknowledged transfers.
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
        self._batches_due = asyncio.Event()
        self._entries_due = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._slots_in_batches: set[_SlotKey] = set()
        self._unwritten: dict[_SlotKey, _AcknowledgedMove] = {}
        holdings.subscribe(self._batches_due.set)
        peers.add_handler(peer_pb2.Transfer, self.handle_transfer)

    async def run(self) -> None:
        """Starts batches for planned moves until cancelled."""
        writer = asyncio.create_task(self._write_entries())
        try:
            while True:
                self._start_batches()
                await self._batches_due.wait()
                self._batches_due.clear()
        finally:
            for task in (writer, *self._tasks):
                task.cancel()

    async def handle_transfer(
        self, sender: ids.MemberId, transfer: peer_pb2.Transfer
    ) -> peer_pb2.Transferred:
        """Accepts slots of `sender` and replies with those accepted.

        The reply to an announcement names the slots that may be sent. The reply
        to a transfer names those received, after the wait for their grants.
        """
        group = ids.GroupId(transfer.group)
        accepted = []
        for slot in transfer.slots:
            if self._accept(sender, group, slot):
                accepted.append(slot)
        # Waits for all slots concurrently, so that the sender waits no longer
        # than the limit for one slot.
        waits = (self._wait_until_served(group, slot) for slot in accepted)
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

    async def _wait_until_served(
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
            if (move.group, move.slot) not in self._slots_in_batches:
                batch = (move.receiver, move.group)
                planned_by_batch.setdefault(batch, []).append(move.slot)
        for batch, slots in planned_by_batch.items():
            self._slots_in_batches.update((batch[1], slot) for slot in slots)
            task = asyncio.create_task(self._move_batch(batch, slots))
            self._tasks.add(task)
            task.add_done_callback(
                functools.partial(self._on_batch_done, batch, slots)
            )

    def _on_batch_done(
        self,
        batch: _Batch,
        slots: Iterable[ids.SlotIndex],
        task: asyncio.Task[None],
    ) -> None:
        self._tasks.discard(task)
        self._slots_in_batches.difference_update(
            (batch[1], slot) for slot in slots
        )
        if not task.cancelled() and task.exception() is not None:
            self._metrics.increment("ownership.moves_failed")
            logger.error(
                f"moving slots to {batch} failed, unsent ones are retried: "
                f"{task.exception()!r}"
            )
        self._batches_due.set()

    async def _move_batch(
        self, batch: _Batch, planned: Iterable[ids.SlotIndex]
    ) -> None:
        """Moves the slots of one group that are planned for one receiver."""
        receiver, group = batch
        ready = await self._announce(batch, planned)
        if not ready:
            await self._clock.sleep_ms(_UNREACHABLE_RETRY_MS)
            return
        remaining = set()
        for move in self._holdings.planned():
            is_of_batch = move.group == group and move.receiver == receiver
            if is_of_batch and move.slot in ready:
                self._holdings.stop(move)
                remaining.add(move.slot)
        while remaining:
            # Sends slots as soon as they are drained, so that a long request
            # delays only the slot that it runs in.
            await self._wait_until_any_drained(batch, remaining)
            drained = self._drained(batch, remaining)
            remaining.difference_update(drained)
            if drained and not await self._transfer(batch, drained):
                self._resume(batch, remaining)
                await self._clock.sleep_ms(_UNREACHABLE_RETRY_MS)
                return

    async def _announce(
        self, batch: _Batch, planned: Iterable[ids.SlotIndex]
    ) -> frozenset[int]:
        """Returns the slots that the receiver accepts, none if unreachable."""
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

    async def _wait_until_any_drained(
        self, batch: _Batch, remaining: set[ids.SlotIndex]
    ) -> None:
        changed = asyncio.Event()
        unsubscribe = self._holdings.subscribe(changed.set)
        try:
            while True:
                changed.clear()
                self._drop_resumed(batch, remaining)
                if not remaining or self._drained(batch, remaining):
                    return
                await changed.wait()
        finally:
            unsubscribe()

    def _drop_resumed(
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
        """Sends slots until acknowledged or settled by the slot map.

        Returns:
          False if no message can have been sent; the slots are served here
          again.
        """
        receiver, group = batch
        epoch_by_slot: dict[ids.SlotIndex, ids.Epoch] = {}
        for slot in drained:
            epoch = self._holdings.send(group, slot)
            if epoch is not None:
                epoch_by_slot[slot] = epoch
        transfer = self._transfer_message(group, epoch_by_slot)
        may_have_been_sent = False
        while epoch_by_slot:
            try:
                reply = await self._peers.call(
                    receiver, transfer, _CALL_TIMEOUT_MS
                )
            except peers_lib.PeerUnreachable:
                if not may_have_been_sent:
                    self._resume(batch, epoch_by_slot)
                    return False
                reply = peer_pb2.Transferred()
            except peers_lib.PeerLost:
                reply = peer_pb2.Transferred()
            may_have_been_sent = True
            await self._on_acknowledged(batch, epoch_by_slot, reply.slots)
            if epoch_by_slot:
                await self._clock.sleep_ms(_RETRY_MS)
                self._drop_settled(group, epoch_by_slot)
                transfer = self._transfer_message(group, epoch_by_slot)
        return True

    def _transfer_message(
        self, group: ids.GroupId, epoch_by_slot: dict[ids.SlotIndex, ids.Epoch]
    ) -> peer_pb2.Transfer:
        transfer = peer_pb2.Transfer(group=group)
        for slot, epoch in epoch_by_slot.items():
            requests = self._records.export(group, slot)
            cut_off_ms = self._holdings.unknown_before_wall_ms(group, slot)
            # The receiver must learn the stamp below which ids were dropped
            # here: if its clock is behind, it could take a dropped id for a new
            # one. Exporting may drop ids too, so the stamp is read afterwards.
            dropped_before_ms = self._records.unknown_before_wall_ms(
                group, slot
            )
            transfer.slots.add(
                slot=slot,
                epoch=epoch,
                unknown_before_wall_ms=max(cut_off_ms, dropped_before_ms),
                requests=requests,
            )
        return transfer

    async def _on_acknowledged(
        self,
        batch: _Batch,
        epoch_by_slot: dict[ids.SlotIndex, ids.Epoch],
        acknowledged: Iterable[int],
    ) -> None:
        receiver, group = batch
        released = []
        for slot_number in acknowledged:
            slot = ids.SlotIndex(slot_number)
            epoch = epoch_by_slot.pop(slot, None)
            if epoch is not None:
                self._unwritten[group, slot] = _AcknowledgedMove(
                    receiver, epoch
                )
                released.append(slot)
        if released:
            self._entries_due.set()
            await self._holdings.release_grants(group, released)

    def _drop_settled(
        self, group: ids.GroupId, epoch_by_slot: dict[ids.SlotIndex, ids.Epoch]
    ) -> None:
        for slot, epoch in list(epoch_by_slot.items()):
            if not self._holdings.is_sent(group, slot, epoch):
                del epoch_by_slot[slot]

    async def _write_entries(self) -> None:
        """Writes new owners to the map, one write per chunk with moved slots.

        Runs until cancelled.
        """
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
        return {slot_map.chunk_of(*key) for key in self._unwritten}

    async def _write_chunk(self, name: slot_map.ChunkName) -> bool:
        """Writes the entries due in a chunk; returns whether none are left.

        Conflicts are common, since many owners end moves in the same chunk at
        the same time. They are retried without back-off, because further moves
        to a receiver wait for the entries of earlier ones.
        """
        for _ in range(_MAX_WRITE_ATTEMPTS):
            changes = self._entries_to_write(name)
            if not changes:
                return True
            if not await self._writer.write(name, changes):
                return False
        return not self._entries_to_write(name)

    def _entries_to_write(
        self, name: slot_map.ChunkName
    ) -> slot_map.SlotChanges:
        """Returns the entries due in a chunk; forgets moves already settled."""
        changes: slot_map.SlotChanges = {}
        for key, moved in list(self._unwritten.items()):
            if slot_map.chunk_of(*key) != name:
                continue
            entry = self._map.entry(*key)
            if entry is None or entry.epoch >= moved.epoch:
                # Already written, or the reconciler has changed the owner.
                del self._unwritten[key]
                continue
            changes[key[1]] = slot_map.SlotEntry(
                owner=moved.receiver,
                epoch=moved.epoch,
                unknown_before_wall_ms=entry.unknown_before_wall_ms,
            )
        return changes
