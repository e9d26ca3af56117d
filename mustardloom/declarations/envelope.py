"""Stored form of objects that operators change: value and audit trail."""

import dataclasses
from typing import Generic
from typing import TypeVar

import msgspec

from mustardloom import ids

__all__ = [
    "AUDIT_PREFIX",
    "MAX_AUDIT_BYTES",
    "MAX_AUDIT_ENTRIES",
    "Amended",
    "AuditEntry",
    "StoredObject",
    "amend",
    "audit_key",
]

AUDIT_PREFIX = "audit/"
MAX_AUDIT_ENTRIES = 50
# Leaves most of the store's 1 MB per object to the value.
MAX_AUDIT_BYTES = 200_000

_T = TypeVar("_T")


def audit_key(object_key: str, sequence: int) -> str:
    """Returns the store key of an entry that its object no longer holds.

    Example:
      >>> audit_key("config/kibanda", 7)
      'audit/config/kibanda/7'
    """
    return f"{AUDIT_PREFIX}{object_key}/{sequence}"


def amend(
    stored: "StoredObject[_T] | None", value: _T, entry: "AuditEntry"
) -> "Amended[_T]":
    """Returns the object with a new value and one more audit entry.

    The oldest entries are displaced if there would be more than
    MAX_AUDIT_ENTRIES, or if the entries exceed MAX_AUDIT_BYTES.

    Args:
      stored: The object as it is stored, or None to create it.
      value: The new value.
      entry: The change; its sequence is set to the next one of the object.
    """
    earlier = stored.audit if stored else ()
    sequence = stored.sequence + 1 if stored else 1
    numbered = msgspec.structs.replace(entry, sequence=sequence)
    audit = (*earlier, numbered)
    kept = _newest_that_fit(audit)
    displaced = audit[: len(audit) - len(kept)]
    return Amended(StoredObject(value, sequence, kept), displaced)


def _newest_that_fit(
    audit: tuple["AuditEntry", ...],
) -> tuple["AuditEntry", ...]:
    size = 0
    kept: list[AuditEntry] = []
    for entry in reversed(audit[-MAX_AUDIT_ENTRIES:]):
        size += len(msgspec.json.encode(entry))
        if kept and size > MAX_AUDIT_BYTES:
            break
        kept.append(entry)
    return tuple(reversed(kept))


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One change of a stored object.

    Attributes:
      sequence: Number of the change of this object, starting at 1.
      who: Name of the operator.
      wall_ms: Wall time of the change.
      command: The command as entered.
      before: JSON of what the change replaced; empty if there was nothing.
      after: JSON of the replacement; empty if there is none.
      operation: Unique id of the change.
    """

    who: str
    wall_ms: int
    command: str
    before: str = ""
    after: str = ""
    operation: ids.OperationId
    sequence: int = 0


class StoredObject(msgspec.Struct, Generic[_T], frozen=True):
    """A value together with its last changes.

    Attributes:
      value: The present value.
      sequence: Number of changes so far.
      audit: The last changes, oldest first.
    """

    value: _T
    sequence: int
    audit: tuple[AuditEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Amended(Generic[_T]):
    """A changed object that is to be written.

    Attributes:
      stored: The object to write.
      displaced: Entries that `stored` no longer holds. They must be written
        under their `audit_key` before `stored`, so that none is lost.
    """

    stored: StoredObject[_T]
    displaced: tuple[AuditEntry, ...]
