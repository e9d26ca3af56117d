"""Types of identifiers that all packages share."""

import secrets
from typing import NewType

__all__ = [
    "NO_VERSION",
    "AvailabilityZoneId",
    "DeclarationSetId",
    "Epoch",
    "GroupId",
    "MemberId",
    "OperationId",
    "OrganisationId",
    "RegionId",
    "RequestId",
    "RouteId",
    "ServiceId",
    "SlotIndex",
    "Version",
    "VmId",
    "new_member_id",
    "new_operation_id",
    "vm_of",
]

ServiceId = NewType("ServiceId", str)
RouteId = NewType("RouteId", str)
OrganisationId = NewType("OrganisationId", str)
RegionId = NewType("RegionId", str)
AvailabilityZoneId = NewType("AvailabilityZoneId", str)
VmId = NewType("VmId", str)
# One incarnation of the daemon on a VM.
MemberId = NewType("MemberId", str)
# Placement group.
GroupId = NewType("GroupId", str)
SlotIndex = NewType("SlotIndex", int)
# Fencing token.
Epoch = NewType("Epoch", int)
# Version of an object in the platform's store.
Version = NewType("Version", int)
RequestId = NewType("RequestId", str)
# One write to the platform's store, over all its attempts.
OperationId = NewType("OperationId", str)
# Declaration set.
DeclarationSetId = NewType("DeclarationSetId", str)

# Version of an object that was never written.
NO_VERSION = Version(0)

_MEMBER_SEPARATOR = "~"
_MEMBER_SUFFIX_BYTES = 4
_OPERATION_ID_BYTES = 12


def new_member_id(vm: VmId) -> MemberId:
    """Returns a new, unique id for one incarnation of the daemon on `vm`.

    Example:
      >>> new_member_id(VmId("vm-1")).startswith("vm-1~")
      True
    """
    suffix = secrets.token_hex(_MEMBER_SUFFIX_BYTES)
    return MemberId(f"{vm}{_MEMBER_SEPARATOR}{suffix}")


def vm_of(member: MemberId) -> VmId:
    """Returns the VM on which `member` runs.

    Example:
      >>> vm_of(MemberId("vm-1~0a1b2c3d"))
      'vm-1'
    """
    return VmId(member.rpartition(_MEMBER_SEPARATOR)[0])


def new_operation_id() -> OperationId:
    """Returns a new, unique id for one write to the platform's store."""
    return OperationId(secrets.token_hex(_OPERATION_ID_BYTES))
