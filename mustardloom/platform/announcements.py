"""Decodes the heartbeats and goodbyes of targets, encodes the answers."""

from collections.abc import Iterable
import dataclasses
from typing import Annotated
import urllib.parse

import msgspec

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.http1 import messages
from mustardloom.platform import durations

__all__ = [
    "Departure",
    "Grant",
    "Heartbeat",
    "InvalidNotice",
    "Notice",
    "answer_heartbeat",
    "decode",
]

_CALL = "call"
_SUBJECT = "of"
_PATH = "/rpc"
_JSON_HEADER = (b"Content-Type", b"application/json")
_PHASE_BY_STATE = {
    "ready": targets.Phase.READY,
    "draining": targets.Phase.DRAINING,
}

_Key = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Beat(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    sequence: _Count
    # Unix milliseconds of the start of the process.
    born: _Count = 0
    cold_left: str = "0ms"
    # Rows of first key, last key, fence.
    holds: list[tuple[_Key, _Key, _Count]] = []
    # Rows of first key, last key, handover token.
    freed: list[tuple[_Key, _Key, str]] = []


class _BeatAnswer(msgspec.Struct, omit_defaults=True):
    holds: list[tuple[int, int, int, str]] | None = None
    hold_time: str = ""


class InvalidNotice(ValueError):
    """The message names no target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A target reports itself; `address` is where it claims to be."""

    announcement: targets.Announcement
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A target leaves; it goes on serving for a while."""

    target: targets.TargetId


Notice = Heartbeat | Departure


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """All keys that a target is to hold, and for how long from its report."""

    ranges: tuple[targets.GrantedRange, ...]
    hold_ms: int


def decode(request: messages.Request) -> Notice:
    """Returns the notice in a request of a target.

    Raises:
      InvalidNotice: It is none, or misses what a notice must say.
    """
    path, _, query = request.target.partition("?")
    fields = dict(urllib.parse.parse_qsl(query))
    subject = fields.get(_SUBJECT, "")
    if path != _PATH or request.method != "POST" or not subject:
        raise InvalidNotice(f"{request.method} {request.target}")
    match fields.get(_CALL):
        case "instances.heartbeat":
            return _heartbeat(targets.TargetId(subject), request.body)
        case "instances.deregister":
            return Departure(targets.TargetId(subject))
        case other:
            raise InvalidNotice(f"unknown call {other!r}")


def answer_heartbeat(grant: Grant | None) -> messages.Response:
    """Returns the acknowledgement of a heartbeat.

    Args:
      grant: What the target is to hold; None renews nothing.
    """
    answer = _BeatAnswer()
    if grant is not None:
        rows = [
            (each.first, each.last, each.fence, each.handover)
            for each in grant.ranges
        ]
        answer = _BeatAnswer(rows, durations.format_ms(grant.hold_ms))
    body = msgspec.json.encode(answer)
    return messages.Response(200, (_JSON_HEADER,), body)


def _heartbeat(target: targets.TargetId, body: bytes) -> Heartbeat:
    try:
        beat = msgspec.json.decode(body, type=_Beat)
        phase = _PHASE_BY_STATE[beat.state]
        cold_left_ms = durations.parse_ms(beat.cold_left)
    except (ValueError, KeyError) as error:
        raise InvalidNotice(repr(error)) from error
    announcement = targets.Announcement(
        instance=targets.TargetInstance(target, beat.born),
        service=ids.ServiceId(beat.service),
        availability_zone=ids.AvailabilityZoneId(beat.zone),
        capacity=beat.slots,
        phase=phase,
        cold_left_ms=cold_left_ms,
        sequence=beat.sequence,
        held=_sorted(targets.HeldRange(*row) for row in beat.holds),
        freed=tuple(targets.FreedRange(*row) for row in beat.freed),
    )
    return Heartbeat(announcement, beat.address)


def _sorted(
    held: Iterable[targets.HeldRange],
) -> tuple[targets.HeldRange, ...]:
    return tuple(sorted(held))
