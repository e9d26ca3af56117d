"""Orders of operators about objects that carry no audit trail.

Chunks of slots and member records are written by daemons too, so the audit
trail of a command about them is kept in an object of its own, which is written
first.
"""

import msgspec

from mustardloom import ids

__all__ = [
    "ORDERS_PREFIX",
    "LostOrder",
    "MoveOrder",
    "lost_key",
    "move_key",
]

ORDERS_PREFIX = "orders/"


def move_key(group: ids.GroupId, slot: ids.SlotIndex) -> str:
    """Returns the store key of the last ordered move of a slot.

    Example:
      >>> move_key(ids.GroupId("salio@*"), ids.SlotIndex(7))
      'orders/slots/salio@*/7'
    """
    return f"{ORDERS_PREFIX}slots/{group}/{slot}"


def lost_key(vm: ids.VmId) -> str:
    """Returns the store key of the last confirmed loss of a VM."""
    return f"{ORDERS_PREFIX}lost/{vm}"


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An ordered move of a slot.

    Attributes:
      group: Placement group of the slot.
      slot: The slot.
      owner: Its owner when the move was ordered.
      epoch: Its epoch then; the order is void in any later one.
      receiver: Member that shall own it.
      is_withdrawn: Whether the slot changed before the move could start.
    """

    group: ids.GroupId
    slot: ids.SlotIndex
    owner: ids.MemberId
    epoch: ids.Epoch
    receiver: ids.MemberId
    is_withdrawn: bool = False


class LostOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A VM of which an operator states that it runs no process any more.

    Attributes:
      vm: The VM.
      members: Its members that were to be fenced.
    """

    vm: ids.VmId
    members: tuple[ids.MemberId, ...]
