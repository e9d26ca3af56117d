"""Answers to queries and commands, with their JSON form and HTTP status."""

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
    "LineFinding",
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
    "http_status",
    "other_change",
    "wall_text",
]

_MS_PER_S = 1_000

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_UNPROCESSABLE = 422
_UNAVAILABLE = 503


def _kind_tag(name: str) -> str:
    """Returns the JSON tag of a result type, such as `already-in-force`."""
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "-", name).lower()


def encode(result: "Result") -> bytes:
    """Returns the JSON of a result; its field `kind` names the type."""
    return msgspec.json.encode(result)


def decode(value: bytes) -> "Result":
    """Returns the result that is encoded in the body of an answer.

    Raises:
      msgspec.DecodeError: The value is not the JSON of a result.
    """
    return msgspec.json.decode(value, type=Result)


def http_status(result: "Result") -> int:
    """Returns the HTTP status that an answer is sent with."""
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
    """Returns author, time and command of an audit entry."""
    return OtherChange(
        who=entry.who,
        wall_ms=entry.wall_ms,
        command=entry.command,
        operation=entry.operation,
    )


def wall_text(wall_ms: int) -> str:
    """Formats a wall time in ms for people: ISO 8601 in UTC, whole seconds.

    Example:
      >>> wall_text(1_700_000_000_000)
      '2023-11-14T22:13:20Z'
    """
    moment = datetime.datetime.fromtimestamp(wall_ms // _MS_PER_S, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


class LineFinding(msgspec.Struct, frozen=True):
    """A fault of the line and its place; columns start at 1."""

    column: int
    message: str


class OtherChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an object by another command."""

    who: str
    wall_ms: int
    command: str
    operation: ids.OperationId


class Shortfall(msgspec.Struct, frozen=True, kw_only=True):
    """A placement group that a stop would leave with too little capacity.

    Attributes:
      service: Service of the group.
      group: The placement group.
      remaining: Capacity of the remaining targets, in concurrent requests.
      running: Requests that the group's targets run or queue now.
      needed: `running` plus the safety margin.
      silent: Number of targets without a report, which count as full.
    """

    service: ids.ServiceId
    group: ids.GroupId
    remaining: int
    running: int
    needed: int
    silent: int = 0


class Table(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """Answer to a query; each row has a cell per column."""

    columns: tuple[str, ...]
    rows: tuple[tuple[str | int | None, ...], ...]
    message: str = ""


class Applied(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """The command was written: object `key` now has `version`."""

    message: str
    key: str
    version: ids.Version
    operation: ids.OperationId


class AlreadyInForce(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """Nothing was written, since the requested state is in force already.

    Attributes:
      message: What is in force.
      by: Last change of the object, None if there was none.
    """

    message: str
    by: OtherChange | None = None


class Conflict(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """Another change came first; the command was not executed.

    Attributes:
      message: What was changed, by whom and when.
      key: Store key of the object.
      other: The other change, None if the object has no audit trail.
    """

    message: str
    key: str
    other: OtherChange | None = None


class Refused(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """The command was not executed, since a safety check failed."""

    message: str
    shortfalls: tuple[Shortfall, ...] = ()


class Findings(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """The line has names that do not exist or cannot be combined."""

    message: str
    findings: tuple[LineFinding, ...]


class Malformed(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """The line, or the HTTP request that contains it, is malformed."""

    message: str
    findings: tuple[LineFinding, ...]


class Undecided(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """It is unknown whether the command takes effect.

    A retry with the same operation id is safe.
    """

    message: str
    operation: ids.OperationId


class Unavailable(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=_kind_tag
):
    """Nothing was changed.

    The store did not answer, or other stops came first in each attempt.
    """

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
