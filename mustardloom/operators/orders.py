"""Stored orders: commands about objects that have no audit trail.

Slot chunks and member records are also written by daemons and hold no audit
entries. A command that changes them first writes an order, a separate object
with an audit trail.
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
    """Returns the store key of the last move order of a slot.

    Example:
      >>> move_key(ids.GroupId("salio@*"), ids.SlotIndex(7))
      'orders/slots/salio@*/7'
    """
    return f"{ORDERS_PREFIX}slots/{group}/{slot}"


def lost_key(vm: ids.VmId) -> str:
    """Returns the store key of the last `confirm lost` order of a VM."""
    return f"{ORDERS_PREFIX}lost/{vm}"


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to move a slot to another member.

    Attributes:
      group: Placement group of the slot.
      slot: Index of the slot.
      owner: Owner of the slot when the move was ordered.
      epoch: Epoch of the slot at that time; the order is void in a later epoch.
      receiver: Member that becomes the owner.
      is_withdrawn: Whether the slot changed before the move could start.
    """

    group: ids.GroupId
    slot: ids.SlotIndex
    owner: ids.MemberId
    epoch: ids.Epoch
    receiver: ids.MemberId
    is_withdrawn: bool = False


class LostOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's statement that no process runs on a VM any more.

    Attributes:
      vm: Id of the VM.
      members: Members of the VM that the order fences.
    """

    vm: ids.VmId
    members: tuple[ids.MemberId, ...]
