"""Decodes heartbeats and deregistrations of targets, encodes answers."""

from collections.abc import Iterable
import dataclasses
from typing import Annotated
import urllib.parse

import msgspec

from mustardloom import decoding
from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.http1 import messages
from mustardloom.platform import durations

__all__ = [
    "Deregistration",
    "Grant",
    "Heartbeat",
    "InvalidNotice",
    "Notice",
    "answer_heartbeat",
    "decode",
]

_CALL_PARAMETER = "call"
_TARGET_PARAMETER = "of"
_PATH = "/rpc"
_JSON_HEADER = (b"Content-Type", b"application/json")
_PHASE_BY_STATE = {
    "ready": targets.Phase.READY,
    "draining": targets.Phase.DRAINING,
}

_Key = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
# Also the fencing tokens, times and numbers that daemons send each other.
_Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class _HeartbeatBody(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    sequence: _Count
    # Start of the process, Unix time in milliseconds.
    born: _Count = 0
    cold_left: str = "0ms"
    # Rows of first key, last key, fence.
    holds: list[tuple[_Key, _Key, _Count]] = []
    # Rows of first key, last key, handover token.
    freed: list[tuple[_Key, _Key, str]] = []


class _DeregistrationBody(msgspec.Struct):
    born: _Count


class _HeartbeatAnswer(msgspec.Struct, omit_defaults=True):
    holds: list[tuple[int, int, int, str]] | None = None
    hold_time: str = ""


class InvalidNotice(ValueError):
    """The request is not a valid heartbeat or deregistration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A report that a target sends at regular intervals.

    Attributes:
      announcement: What it reports.
      address: Address on which it claims to listen.
    """

    announcement: targets.Announcement
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deregistration:
    """A target deregisters before it stops; it still serves for a while.

    Attributes:
      target: Name of the target.
      born_ms: Unix time of the start of its process; None if not given.
    """

    target: targets.TargetId
    born_ms: int | None = None


Notice = Heartbeat | Deregistration


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """All keys that a target is to hold.

    Attributes:
      ranges: The keys; they replace those of earlier grants.
      hold_ms: How long it may hold them, from when it sent its heartbeat.
    """

    ranges: tuple[targets.GrantedRange, ...]
    hold_ms: int


def decode(request: messages.Request) -> Notice:
    """Decodes a heartbeat or deregistration from a target's request.

    Raises:
      InvalidNotice: The request is neither, or a field is missing or invalid.
    """
    path, _, query = request.target.partition("?")
    fields = dict(urllib.parse.parse_qsl(query))
    target_name = fields.get(_TARGET_PARAMETER, "")
    if path != _PATH or request.method != "POST" or not target_name:
        raise InvalidNotice(
            f"{request.method} request is neither a heartbeat nor a"
            f" deregistration: {request.target}"
        )
    match fields.get(_CALL_PARAMETER):
        case "instances.heartbeat":
            return _heartbeat(targets.TargetId(target_name), request.body)
        case "instances.deregister":
            born_ms = _born_ms(request.body)
            return Deregistration(targets.TargetId(target_name), born_ms)
        case other:
            raise InvalidNotice(f"unknown call {other!r}")


def answer_heartbeat(grant: Grant | None) -> messages.Response:
    """Returns the response to a heartbeat.

    Args:
      grant: Keys that the target is to hold; None leaves its keys and the
        time until which it holds them unchanged.
    """
    answer = _HeartbeatAnswer()
    if grant is not None:
        rows = [
            (each.first, each.last, each.fence, each.handover)
            for each in grant.ranges
        ]
        answer = _HeartbeatAnswer(rows, durations.format_ms(grant.hold_ms))
    body = msgspec.json.encode(answer)
    return messages.Response(200, (_JSON_HEADER,), body)


def _heartbeat(target: targets.TargetId, body: bytes) -> Heartbeat:
    try:
        report = decoding.decode_json(body, _HeartbeatBody)
        phase = _PHASE_BY_STATE[report.state]
        cold_left_ms = durations.parse_ms(report.cold_left)
    except (ValueError, KeyError) as error:
        raise InvalidNotice(repr(error)) from error
    announcement = targets.Announcement(
        instance=targets.TargetInstance(target, report.born),
        service=ids.ServiceId(report.service),
        availability_zone=ids.AvailabilityZoneId(report.zone),
        capacity=report.slots,
        phase=phase,
        cold_left_ms=cold_left_ms,
        sequence=report.sequence,
        held=_sorted_ranges(targets.HeldRange(*row) for row in report.holds),
        freed=tuple(targets.FreedRange(*row) for row in report.freed),
    )
    return Heartbeat(announcement, report.address)


def _born_ms(body: bytes) -> int | None:
    """Returns the start that a deregistration names; its body is optional."""
    try:
        return decoding.decode_json(body, _DeregistrationBody).born
    except decoding.Undecodable:
        return None


def _sorted_ranges(
    held: Iterable[targets.HeldRange],
) -> tuple[targets.HeldRange, ...]:
    return tuple(sorted(held))
