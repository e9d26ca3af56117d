"""Typed answers to queries and commands."""

import datetime
import re

import msgspec

from mustardloom import ids
from mustardloom.declarations import envelope

__all__ = [
    "AlreadyInForce",
    "Applied",
    "Conflict",
    "Findings",
    "FoundFault",
    "Malformed",
    "OtherChange",
    "Refused",
    "Result",
    "Shortfall",
    "Table",
    "Unavailable",
    "Undecided",
    "decode",
    "encode",
    "other_change",
    "status_of",
    "wall_text",
]

_MS_PER_S = 1_000

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_UNPROCESSABLE = 422
_UNAVAILABLE = 503


def _kind(name: str) -> str:
    """Returns the kind of a type, as in `already-in-force`."""
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "-", name).lower()


def encode(result: "Result") -> bytes:
    """Returns the JSON of a result; its field `kind` names the type."""
    return msgspec.json.encode(result)


def decode(value: bytes) -> "Result":
    """Returns the result of an answer.

    Raises:
      msgspec.DecodeError: The value is no result.
    """
    return msgspec.json.decode(value, type=Result)


def status_of(result: "Result") -> int:
    """Returns the HTTP status of an answer."""
    match result:
        case Malformed():
            return _BAD_REQUEST
        case Conflict():
            return _CONFLICT
        case Findings() | Refused():
            return _UNPROCESSABLE
        case Undecided() | Unavailable():
            return _UNAVAILABLE
    return _OK


def other_change(entry: envelope.AuditEntry) -> "OtherChange":
    """Returns what an audit entry tells about the change of another."""
    return OtherChange(
        who=entry.who,
        wall_ms=entry.wall_ms,
        command=entry.command,
        operation=entry.operation,
    )


def wall_text(wall_ms: int) -> str:
    """Returns a wall time for operators, in UTC.

    Example:
      >>> wall_text(1_700_000_000_000)
      '2023-11-14T22:13:20Z'
    """
    moment = datetime.datetime.fromtimestamp(wall_ms // _MS_PER_S, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


class FoundFault(msgspec.Struct, frozen=True):
    """A fault of the line; columns start at 1."""

    column: int
    message: str


class OtherChange(msgspec.Struct, frozen=True, kw_only=True):
    """Who changed an object, when, and with which command."""

    who: str
    wall_ms: int
    command: str
    operation: ids.OperationId


class Shortfall(msgspec.Struct, frozen=True, kw_only=True):
    """A placement group that a stop would leave with too little capacity.

    Attributes:
      service: Service of the group.
      group: The placement group.
      remaining: Capacity of the targets that would remain.
      running: Requests that its targets run or queue now.
      needed: `running` plus the margin.
      silent: Targets that gave no figures and count as full.
    """

    service: ids.ServiceId
    group: ids.GroupId
    remaining: int
    running: int
    needed: int
    silent: int = 0


class Table(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """Answer to a query."""

    columns: tuple[str, ...]
    rows: tuple[tuple[str | int | None, ...], ...]
    message: str = ""


class Applied(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """The command is stored at `version`."""

    message: str
    key: str
    version: ids.Version
    operation: ids.OperationId


class AlreadyInForce(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """Nothing was written, since the state is what the command asks for.

    Attributes:
      message: What is in force.
      by: Change that put it in force, None if there was none.
    """

    message: str
    by: OtherChange | None = None


class Conflict(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """Another change came first; the command was not carried out.

    Attributes:
      message: What was changed, by whom and when.
      key: The object.
      other: The other change, None if the object has no audit trail.
    """

    message: str
    key: str
    other: OtherChange | None = None


class Refused(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """The command was not carried out, since it would do harm."""

    message: str
    shortfalls: tuple[Shortfall, ...] = ()


class Findings(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """The line names things that do not exist or do not fit together."""

    message: str
    findings: tuple[FoundFault, ...]


class Malformed(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """The line is not in the language."""

    message: str
    findings: tuple[FoundFault, ...]


class Undecided(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """The command may or may not take effect.

    Sending it again with the same operation id is safe.
    """

    message: str
    operation: ids.OperationId


class Unavailable(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind
):
    """The store did not answer; nothing was changed."""

    message: str


Result = (
    Table
    | Applied
    | AlreadyInForce
    | Conflict
    | Refused
    | Findings
    | Malformed
    | Undecided
    | Unavailable
)
