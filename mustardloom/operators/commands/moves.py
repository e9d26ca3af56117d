"""Commands `move slot` and `move key`."""

from collections.abc import Iterator
import dataclasses

import msgspec

from mustardloom import findings
from mustardloom import ids
from mustardloom.membership import records
from mustardloom.operators import orders
from mustardloom.operators import parser
from mustardloom.operators import results
from mustardloom.operators import views
from mustardloom.operators.commands import changes
from mustardloom.ownership import chunk_writer
from mustardloom.ownership import slot_map
from mustardloom.ownership import slots

__all__ = ["Moves"]

# A write conflicts with each concurrent change of another slot in the chunk.
_WRITE_ATTEMPTS = 5
_MAY_MOVE_AGAIN = (
    "for now: later moves for balance, stops and losses may place it elsewhere"
)


class Moves:
    """Orders planned moves of slots.

    The order is stored with its audit entry before the receiver is set in the
    slot map. An order is valid for one epoch of the slot, so it is never
    executed twice. If the slot changes first, the order is stored as withdrawn.
    """

    def __init__(
        self,
        view: views.View,
        change_writer: changes.ChangeWriter,
        writer: chunk_writer.ChunkWriter,
    ):
        self._view = view
        self._change_writer = change_writer
        self._chunk_writer = writer

    async def move_slot(
        self, command: parser.MoveSlot, author: changes.Author
    ) -> results.Result:
        """Orders the move of a slot to the target of a VM.

        Raises:
          findings.FindingsError: Names are unknown or cannot be combined; all
            faults are reported.
        """
        group = ids.GroupId(command.group.text)
        slot = ids.SlotIndex(command.slot.value)
        found = list(self._check_slot(command))
        found.extend(self._check_receiver(group, command.vm))
        findings.raise_if_any(found)
        return await self._move(group, slot, command.vm, author)

    async def move_key(
        self, command: parser.MoveKey, author: changes.Author
    ) -> results.Result:
        """Orders the move of the slot of a key to the target of a VM.

        The slot is that of requests without an organisation.

        Raises:
          findings.FindingsError: Names are unknown or cannot be combined; all
            faults are reported.
        """
        found: list[findings.Finding] = []
        placements: list[tuple[ids.GroupId, ids.SlotIndex]] = []
        try:
            placements = self._view.slots_of_key(command.key, command.service)
        except findings.FindingsError as error:
            found.extend(error.findings)
        if len(placements) > 1:
            names = ", ".join(group for group, _ in placements)
            message = (
                f"the key may be in several groups ({names}); use 'move slot'"
            )
            found.append(parser.finding(command.key, message))
        group = placements[0][0] if placements else ids.GroupId("")
        found.extend(self._check_receiver(group, command.vm))
        findings.raise_if_any(found)
        slot = placements[0][1]
        # The audit trail must not hold the key: the store is in one region, and
        # the key may be restricted to others.
        line = f"move slot {slot} of {group} to {command.vm.text} (by key)"
        without_key = dataclasses.replace(author, line=line)
        return await self._move(group, slot, command.vm, without_key)

    def _check_slot(
        self, command: parser.MoveSlot
    ) -> Iterator[findings.Finding]:
        counts = dict(self._view.configuration.groups())
        count = counts.get(ids.GroupId(command.group.text))
        if count is None:
            yield from self._view.unknown_group(command.group)
        elif command.slot.value >= count:
            message = (
                f"slot {command.slot.value} does not exist; the number of slots"
                f" is {count}"
            )
            yield parser.finding(command.slot, message)

    def _check_receiver(
        self, group: ids.GroupId, vm: parser.Name
    ) -> Iterator[findings.Finding]:
        unknown = list(self._view.unknown_vm(vm))
        yield from unknown
        record = self._view.newest_member(vm.text)
        if unknown or record is None or not group:
            return
        if record.state is not records.MemberState.ACTIVE:
            message = f"{vm.text!r} is {record.state.value}, not active"
            yield parser.finding(vm, message)
        if record.service != slots.group_service(group):
            message = f"{vm.text!r} serves another service, {record.service!r}"
            yield parser.finding(vm, message)
        regions = slots.group_regions(group)
        if regions and record.region not in regions:
            message = f"{vm.text!r} is in {record.region!r}, outside the group"
            yield parser.finding(vm, message)
        if self._view.configuration.is_stopped(record):
            yield parser.finding(vm, f"{vm.text!r} is stopped")

    async def _move(
        self,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        vm: parser.Name,
        author: changes.Author,
    ) -> results.Result:
        entry = self._view.slots.entry(group, slot)
        receiver = self._view.newest_member(vm.text)
        assert receiver is not None
        message = (
            f"slot {slot} of {group} moves to {vm.text}, {_MAY_MOVE_AGAIN}"
        )
        key = orders.move_key(group, slot)
        if await self._change_writer.is_recorded(key, author):
            return await self._resume(key, group, slot, author, message)
        if entry is None or entry.owner is None:
            text = f"slot {slot} of {group} has no owner yet"
            return results.Refused(message=text)
        if receiver.member == (entry.moving_to or entry.owner):
            text = f"already: slot {slot} of {group} is there or moving there"
            return results.AlreadyInForce(message=text)
        if entry.moving_to is not None:
            return await self._change_writer.conflict(
                key, f"slot {slot} of {group} is moving to {entry.moving_to}"
            )
        order = orders.MoveOrder(
            group=group,
            slot=slot,
            owner=entry.owner,
            epoch=entry.epoch,
            receiver=receiver.member,
        )
        change = changes.Change(
            key=key,
            type=orders.MoveOrder,
            value=order,
            is_in_force=lambda _: False,
            message=message,
        )
        seen = self._change_writer.known_version(key)
        result = await self._change_writer.apply(change, author, seen)
        if not isinstance(result, results.Applied):
            return result
        return await self._start(change, author, result)

    async def _resume(
        self,
        key: str,
        group: ids.GroupId,
        slot: ids.SlotIndex,
        author: changes.Author,
        message: str,
    ) -> results.Result:
        """Continues with an order that an earlier attempt stored."""
        stored = await self._change_writer.load(key, orders.MoveOrder)
        assert stored is not None
        change = changes.Change(
            key=key,
            type=orders.MoveOrder,
            value=stored.value,
            is_in_force=lambda _: False,
            message=message,
        )
        applied = results.Applied(
            message=message,
            key=key,
            version=self._change_writer.known_version(key),
            operation=author.operation,
        )
        if stored.audit[-1].operation != author.operation:
            # A later order superseded it, or it was withdrawn.
            other = results.other_change(stored.audit[-1])
            text = f"the order was superseded by {other.command!r}"
            return results.Conflict(message=text, key=key, other=other)
        entry = self._view.slots.entry(group, slot)
        if entry is not None and entry.epoch > stored.value.epoch:
            # It is not recorded whether this order caused the change.
            text = f"{message}; the owner has changed since the order"
            return msgspec.structs.replace(applied, message=text)
        return await self._start(change, author, applied)

    async def _start(
        self,
        change: changes.Change[orders.MoveOrder],
        author: changes.Author,
        applied: results.Applied,
    ) -> results.Result:
        order = change.value
        name = slot_map.chunk_of(order.group, order.slot)
        for _ in range(_WRITE_ATTEMPTS):
            entry = self._view.slots.entry(order.group, order.slot)
            if _has_started(entry, order):
                return applied
            if not _is_untouched(entry, order):
                break
            assert entry is not None
            moved = dataclasses.replace(entry, moving_to=order.receiver)
            if not await self._chunk_writer.write(name, {order.slot: moved}):
                return results.Undecided(
                    message="the order is stored, but the store did not answer"
                    " the write that starts the move. To repeat it safely, use"
                    f" --operation {author.operation}",
                    operation=author.operation,
                )
        return await self._withdraw(change, author)

    async def _withdraw(
        self,
        change: changes.Change[orders.MoveOrder],
        author: changes.Author,
    ) -> results.Result:
        order = change.value
        withdrawn = changes.Change(
            key=change.key,
            type=orders.MoveOrder,
            value=orders.MoveOrder(
                group=order.group,
                slot=order.slot,
                owner=order.owner,
                epoch=order.epoch,
                receiver=order.receiver,
                is_withdrawn=True,
            ),
            is_in_force=lambda _: False,
            message="",
        )
        line = f"withdrawn, the slot changed first: {author.line}"
        withdrawal = changes.Author(author.who, line, ids.new_operation_id())
        await self._change_writer.apply(
            withdrawn, withdrawal, self._change_writer.known_version(change.key)
        )
        entry = self._view.slots.entry(order.group, order.slot)
        owner = entry.owner if entry is not None else None
        text = (
            f"slot {order.slot} of {order.group} changed before the move could"
            f" start; its owner is {owner}"
        )
        return results.Conflict(message=text, key=change.key)


def _has_started(
    entry: slot_map.SlotEntry | None, order: orders.MoveOrder
) -> bool:
    if entry is None:
        return False
    if entry.epoch == order.epoch:
        return entry.moving_to == order.receiver
    return entry.epoch > order.epoch and entry.owner == order.receiver


def _is_untouched(
    entry: slot_map.SlotEntry | None, order: orders.MoveOrder
) -> bool:
    return (
        entry is not None
        and entry.epoch == order.epoch
        and entry.owner == order.owner
        and entry.moving_to is None
    )
