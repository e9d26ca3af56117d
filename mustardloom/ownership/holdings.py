"""Tracks which slots this daemon may serve and admits requests to them."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from loguru import logger

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.ownership import serving_intervals
from mustardloom.ownership import slot_admission
from mustardloom.ownership import slot_map
from mustardloom.ownership import slot_waiters

__all__ = [
    "Grants",
    "Holdings",
    "LeaseView",
    "PlannedMove",
]

_GRANT_INTERVAL_MS = 500
_GRANT_RETRY_MS = 50
_FIRST_GRANT_WAIT_MS = 500
_ANNOUNCEMENT_TTL_MS = 5_000


class LeaseView(Protocol):
    """Read access to the lease of this member."""

    def is_held(self) -> bool:
        """Returns whether the lease is held now."""

    def expires_ms(self) -> int:
        """Returns when the lease expires, on the local clock."""


class Grants(Protocol):
    """Grants slots to the target.

    Both methods may raise any transport error. The caller repeats a failed
    grant; a failed release is only counted.
    """

    async def grant(
        self,
        epoch_by_slot: Mapping[slot_admission.SlotKey, ids.Epoch],
        expires_ms: int,
    ) -> None:
        """Permits the target to serve the slots until `expires_ms`."""

    async def release(
        self, group: ids.GroupId, slots: Iterable[ids.SlotIndex]
    ) -> None:
        """Withdraws the grants of slots before they expire."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedMove:
    """A planned move of a slot of this member that has not been sent.

    Attributes:
      group: Placement group.
      slot: Slot of the group.
      receiver: Member that is to own the slot.
    """

    group: ids.GroupId
    slot: ids.SlotIndex
    receiver: ids.MemberId


class _State(enum.Enum):
    """State of a slot at this member.

    GRANTING slots wait for the target to acknowledge their first grant. SERVING
    slots admit requests. STOPPING slots admit none because of a planned move.
    SENT slots may already be served by the receiver. GONE slots belong to
    another member or were dropped by `drop_all`; their epoch is kept, so that
    an old transfer is recognised.
    """

    GRANTING = enum.auto()
    SERVING = enum.auto()
    STOPPING = enum.auto()
    SENT = enum.auto()
    GONE = enum.auto()


_OWNED_STATES = frozenset({_State.GRANTING, _State.SERVING, _State.STOPPING})


@dataclasses.dataclass(slots=True)
class _Holding:
    """State of one slot.

    Attributes:
      state: Whether and how the slot is owned here.
      epoch: Highest epoch of the slot that this member held or saw.
      served_epoch: Last epoch whose grant the target acknowledged.
      unknown_before_wall_ms: Cut-off of request ids that applies here.
      receiver: Receiver of the move, while STOPPING or SENT.
      running: Number of requests that run in the slot.
    """

    state: _State
    epoch: ids.Epoch
    served_epoch: ids.Epoch = ids.Epoch(0)  # noqa: RUF009
    unknown_before_wall_ms: int = 0
    receiver: ids.MemberId | None = None
    running: int = 0


class Holdings:
    """Follows the slot map and transfers; admits requests to owned slots.

    Attributes:
      member: Id of this member.
    """

    def __init__(
        self,
        member: ids.MemberId,
        slots: slot_map.SlotMap,
        lease: LeaseView,
        grants: Grants,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        log_intervals: bool = False,
    ):
        self.member = member
        self._map = slots
        self._lease = lease
        self._grants = grants
        self._clock = clock
        self._metrics = metrics
        self._log = serving_intervals.IntervalLog(clock, log_intervals)
        self._is_closed = False
        self._are_grants_failing = False
        self._by_slot: dict[slot_admission.SlotKey, _Holding] = {}
        self._announced_until_ms: dict[slot_admission.SlotKey, int] = {}
        self._waiters = slot_waiters.SlotWaiters(clock)
        self._grant_wanted = asyncio.Event()
        self._subscribers: list[Callable[[], None]] = []
        slots.subscribe(self._on_chunk)

    @property
    def intervals(self) -> Sequence[serving_intervals.ServingInterval]:
        """Returns the logged periods in which slots were served."""
        return self._log.intervals

    def subscribe(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Calls `callback` when planned moves may have appeared or ended.

        Returns:
          A function that ends the subscription.
        """
        self._subscribers.append(callback)
        return lambda: self._subscribers.remove(callback)

    def admit(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> slot_admission.AdmitResult:
        """Admits a request to a slot, or returns why it may not run here."""
        if self._is_closed or not self._lease.is_held():
            return slot_admission.LeaseLapsed()
        key = (group, slot)
        holding = self._by_slot.get(key)
        if holding is not None:
            match holding.state:
                case _State.SERVING:
                    holding.running += 1
                    return slot_admission.Admitted(holding.served_epoch)
                case _State.GRANTING:
                    return self._incoming(key)
                case _State.STOPPING | _State.SENT:
                    return slot_admission.NotOwner(holding.receiver)
                case _State.GONE:
                    pass
        return self._admit_unowned(key)

    def end_request(self, group: ids.GroupId, slot: ids.SlotIndex) -> None:
        """Counts the end of a request that was admitted to a slot."""
        holding = self._by_slot.get((group, slot))
        if holding is None or not holding.running:
            return
        holding.running -= 1
        if not holding.running and holding.state is _State.STOPPING:
            self._notify()

    def running_count(self, group: ids.GroupId, slot: ids.SlotIndex) -> int:
        """Returns the number of requests that run in a slot, 0 if not held."""
        holding = self._by_slot.get((group, slot))
        return holding.running if holding else 0

    def unknown_before_wall_ms(
        self, group: ids.GroupId, slot: ids.SlotIndex
    ) -> int:
        """Returns the stamp below which a request id may have run elsewhere.

        It can be lower than that of the slot map: a member that kept all ids of
        the slot needs no cut-off, even if another member of a move was fenced.
        """
        holding = self._by_slot.get((group, slot))
        return holding.unknown_before_wall_ms if holding else 0

    def owned(self) -> Iterator[tuple[ids.GroupId, ids.SlotIndex, ids.Epoch]]:
        """Yields group, slot and epoch of each slot owned by this member.

        Slots that wait for a grant or are being stopped are included, sent ones
        are not.
        """
        for (group, slot), holding in self._by_slot.items():
            if holding.state in _OWNED_STATES:
                yield group, slot, holding.epoch

    def is_unreleased(self, group: ids.GroupId, slot: ids.SlotIndex) -> bool:
        """Returns whether a slot is owned here, or sent and still unsettled.

        A sent slot is settled by an entry of the slot map at a higher epoch.
        """
        holding = self._by_slot.get((group, slot))
        return holding is not None and holding.state is not _State.GONE

    def unreleased_count(self) -> int:
        """Returns how many slots are owned here, or sent and still unsettled.

        A leaving member has to wait until it is 0.
        """
        return sum(
            holding.state is not _State.GONE
            for holding in self._by_slot.values()
        )

    def drop_all(self) -> None:
        """Drops all slots at once; no request is admitted afterwards."""
        self._is_closed = True
        for key, holding in self._by_slot.items():
            self._close_interval(key)
            holding.state = _State.GONE
            self._waiters.wake(key)
        self._notify()

    async def run(self) -> None:
        """Renews the grants of the target periodically until cancelled."""
        while True:
            delay_ms = _GRANT_INTERVAL_MS
            self._grant_wanted.clear()
            if not await self.refresh_grants():
                delay_ms = _GRANT_RETRY_MS
            await self._sleep_until_grant_wanted(delay_ms)

    async def refresh_grants(self) -> bool:
        """Grants all owned slots to the target once.

        Returns:
          False if the call failed; True if the target acknowledged all of them
          or there was nothing to grant.
        """
        if self._is_closed or not self._lease.is_held():
            return True
        epoch_by_slot = {
            (group, slot): epoch for group, slot, epoch in self.owned()
        }
        return not epoch_by_slot or await self._grant(epoch_by_slot)

    def planned(self) -> Iterator[PlannedMove]:
        """Yields the planned moves of owned slots that were not sent yet."""
        for (group, slot), holding in self._by_slot.items():
            if holding.state not in _OWNED_STATES:
                continue
            entry = self._map.entry(group, slot)
            if entry is None or entry.owner != self.member:
                continue
            if entry.epoch != holding.epoch or entry.moving_to is None:
                continue
            yield PlannedMove(group, slot, entry.moving_to)

    def stop(self, move: PlannedMove) -> None:
        """Stops admitting requests to a slot that is about to be moved."""
        holding = self._by_slot[move.group, move.slot]
        if holding.state in (_State.SERVING, _State.GRANTING):
            holding.state = _State.STOPPING
            holding.receiver = move.receiver
            self._waiters.wake((move.group, move.slot))

    def resume(self, group: ids.GroupId, slot: ids.SlotIndex) -> None:
        """Serves a stopped or sent slot again.

        Call it for a sent slot only if no transfer can have been sent.
        """
        holding = self._by_slot[group, slot]
        if holding.state not in (_State.STOPPING, _State.SENT):
            return
        holding.receiver = None
        if holding.served_epoch:
            holding.state = _State.SERVING
            self._log.open((group, slot), holding.served_epoch)
        else:
            holding.state = _State.GRANTING
            self._grant_wanted.set()
        self._waiters.wake((group, slot))

    def is_drained(self, group: ids.GroupId, slot: ids.SlotIndex) -> bool:
        """Returns whether a stopped slot has no running request."""
        holding = self._by_slot[group, slot]
        return holding.state is _State.STOPPING and not holding.running

    def is_stopped(self, group: ids.GroupId, slot: ids.SlotIndex) -> bool:
        """Returns whether a slot was stopped and not sent yet."""
        return self._by_slot[group, slot].state is _State.STOPPING

    def send(self, group: ids.GroupId, slot: ids.SlotIndex) -> ids.Epoch | None:
        """Marks a drained slot as sent.

        Returns:
          The epoch for the receiver; only a map entry with a higher epoch makes
          this member own the slot again. None if the slot may not be sent.
        """
        if not self._lease.is_held() or not self.is_drained(group, slot):
            return None
        holding = self._by_slot[group, slot]
        holding.state = _State.SENT
        self._close_interval((group, slot))
        return ids.Epoch(holding.epoch + 1)

    def is_sent(
        self, group: ids.GroupId, slot: ids.SlotIndex, epoch: ids.Epoch
    ) -> bool:
        """Returns whether a slot was sent at `epoch` and is still unsettled."""
        holding = self._by_slot[group, slot]
        return holding.state is _State.SENT and holding.epoch + 1 == epoch

    async def release_grants(
        self, group: ids.GroupId, slots: Iterable[ids.SlotIndex]
    ) -> None:
        """Withdraws the target's grants of slots that moved away."""
        try:
            await self._grants.release(group, slots)
        except Exception:
            # The grants expire with the lease, so the release may be lost.
            self._metrics.increment("ownership.releases_failed")

    def expect_transfer(self, group: ids.GroupId, slot: ids.SlotIndex) -> bool:
        """Records that a transfer of a slot will follow within 5 s.

        Requests to the slot wait here meanwhile, although this member's map may
        not show the move yet.

        Returns:
          Whether this member can receive the slot.
        """
        if self._is_closed or not self._lease.is_held():
            return False
        until_ms = self._clock.now_ms() + _ANNOUNCEMENT_TTL_MS
        self._announced_until_ms[group, slot] = until_ms
        return True

    def has_received(
        self, group: ids.GroupId, slot: ids.SlotIndex, epoch: ids.Epoch
    ) -> bool:
        """Returns whether a slot was accepted at `epoch` or a higher one."""
        holding = self._by_slot.get((group, slot))
        if holding is None or holding.state is _State.GONE:
            return False
        return holding.epoch >= epoch

    def may_receive(
        self,
        sender: ids.MemberId,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        epoch: ids.Epoch,
    ) -> bool:
        """Returns whether a transfer is valid.

        Its sender must be the owner at the previous epoch, unless the map does
        not show that epoch yet. This member must not have seen `epoch` or a
        higher one.
        """
        if self._is_closed or not self._lease.is_held():
            return False
        holding = self._by_slot.get((group, slot))
        if holding is not None and holding.epoch >= epoch:
            return False
        entry = self._map.entry(group, slot)
        if entry is None or entry.epoch + 1 < epoch:
            return True
        return entry.epoch + 1 == epoch and entry.owner == sender

    def receive(
        self,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        epoch: ids.Epoch,
        unknown_before_wall_ms: int,
    ) -> None:
        """Takes over a transferred slot; it is served once it is granted."""
        self._acquire((group, slot), epoch, unknown_before_wall_ms)

    async def wait_until_served(
        self,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        epoch: ids.Epoch,
    ) -> bool:
        """Waits for the first grant of a slot at `epoch` or a higher one.

        The wait ends after 500 ms, since this member owns the slot even if its
        target does not answer. The sender records the new owner in the map
        after the acknowledgement; until then the reconciler cannot move the
        slot again.

        Returns:
          False if the slot was lost meanwhile.
        """
        key = (group, slot)
        deadline_ms = self._clock.now_ms() + _FIRST_GRANT_WAIT_MS
        while True:
            holding = self._by_slot.get(key)
            if holding is None or holding.state is _State.GONE:
                return False
            if holding.served_epoch >= epoch:
                return True
            if self._clock.now_ms() >= deadline_ms:
                return True
            await self._waiters.wait(key, deadline_ms)

    def _admit_unowned(
        self, key: slot_admission.SlotKey
    ) -> slot_admission.AdmitResult:
        entry = self._map.entry(*key)
        if entry is not None and entry.moving_to == self.member:
            return self._incoming(key)
        if self._announced_until_ms.get(key, 0) > self._clock.now_ms():
            return self._incoming(key)
        if entry is None or entry.owner == self.member:
            return slot_admission.NotOwner(None)
        return slot_admission.NotOwner(entry.owner)

    def _incoming(self, key: slot_admission.SlotKey) -> slot_admission.Incoming:
        def wait(
            deadline_ms: int,
        ) -> "asyncio.Future[slot_admission.AdmitResult]":
            return asyncio.ensure_future(self._wait(key, deadline_ms))

        return slot_admission.Incoming(wait)

    async def _wait(
        self, key: slot_admission.SlotKey, deadline_ms: int
    ) -> slot_admission.AdmitResult:
        while True:
            result = self.admit(*key)
            if not isinstance(result, slot_admission.Incoming):
                return result
            if self._clock.now_ms() >= deadline_ms:
                return result
            await self._waiters.wait(key, deadline_ms)

    def _notify(self) -> None:
        for callback in list(self._subscribers):
            callback()

    def _on_chunk(self, name: slot_map.ChunkName) -> None:
        if self._is_closed:
            return
        start = name.index * slot_map.CHUNK_SLOTS
        for index, entry in enumerate(self._map.chunk(name), start):
            key = (name.group, ids.SlotIndex(index))
            holding = self._by_slot.get(key)
            if entry.owner == self.member:
                self._on_owned_entry(key, holding, entry)
            elif holding is not None:
                self._on_entry_of_other(key, holding, entry)
            elif key in self._waiters and entry.moving_to != self.member:
                self._waiters.wake(key)
        self._notify()

    def _on_owned_entry(
        self,
        key: slot_admission.SlotKey,
        holding: _Holding | None,
        entry: slot_map.SlotEntry,
    ) -> None:
        if holding is None or holding.state in (_State.SENT, _State.GONE):
            # The receiver of a sent slot may have run requests whose ids were
            # lost with it, so the cut-off of the entry applies here.
            if holding is None or entry.epoch > holding.epoch:
                cut_off_ms = entry.unknown_before_wall_ms
                self._acquire(key, entry.epoch, cut_off_ms)
            return
        if entry.epoch > holding.epoch:
            # The other member of a move was fenced. This one kept all request
            # ids of the slot, so the cut-off of the entry does not apply.
            holding.epoch = entry.epoch
            self._grant_wanted.set()
        if entry.moving_to != holding.receiver:
            # The move for which the slot was stopped has ended. The replica may
            # have skipped the entry that ended it and show the next move.
            self.resume(*key)

    def _on_entry_of_other(
        self,
        key: slot_admission.SlotKey,
        holding: _Holding,
        entry: slot_map.SlotEntry,
    ) -> None:
        # After a transfer the map names the old owner for a while, at a lower
        # epoch than the one received here.
        if entry.epoch <= holding.epoch:
            return
        self._close_interval(key)
        holding.state = _State.GONE
        holding.epoch = entry.epoch
        holding.receiver = None
        self._waiters.wake(key)

    def _acquire(
        self,
        key: slot_admission.SlotKey,
        epoch: ids.Epoch,
        unknown_before_wall_ms: int,
    ) -> None:
        earlier = self._by_slot.get(key)
        self._by_slot[key] = _Holding(
            state=_State.GRANTING,
            epoch=epoch,
            unknown_before_wall_ms=unknown_before_wall_ms,
            running=earlier.running if earlier else 0,
        )
        self._announced_until_ms.pop(key, None)
        self._grant_wanted.set()

    async def _grant(
        self, epoch_by_slot: Mapping[slot_admission.SlotKey, ids.Epoch]
    ) -> bool:
        expires_ms = self._lease.expires_ms()
        try:
            await self._grants.grant(epoch_by_slot, expires_ms)
        except Exception as error:
            # The target may be down or its answer malformed; either way the
            # slots are not granted yet.
            self._metrics.increment("ownership.grants_failed")
            if not self._are_grants_failing:
                logger.warning(
                    f"grants to the target failed, retrying: {error!r}"
                )
            self._are_grants_failing = True
            return False
        self._are_grants_failing = False
        for key, epoch in epoch_by_slot.items():
            self._on_granted(key, epoch)
        return True

    def _on_granted(
        self, key: slot_admission.SlotKey, epoch: ids.Epoch
    ) -> None:
        holding = self._by_slot[key]
        if holding.epoch != epoch or holding.state not in _OWNED_STATES:
            return
        if holding.served_epoch == epoch:
            return
        holding.served_epoch = epoch
        if holding.state is _State.GRANTING:
            holding.state = _State.SERVING
        self._close_interval(key)
        self._log.open(key, epoch)
        self._waiters.wake(key)
        self._notify()

    def _close_interval(self, key: slot_admission.SlotKey) -> None:
        self._log.close(key, self._lease.expires_ms())

    async def _sleep_until_grant_wanted(self, delay_ms: int) -> None:
        timer = asyncio.ensure_future(self._clock.sleep_ms(delay_ms))
        wanted = asyncio.ensure_future(self._grant_wanted.wait())
        try:
            await asyncio.wait(
                (timer, wanted), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
            wanted.cancel()
