"""Decodes heartbeats and deregistrations of targets, encodes answers."""

import asyncio
from collections.abc import Iterator
import dataclasses
import heapq
from typing import Annotated
import urllib.parse

import msgspec

from mustardloom import decoding
from mustardloom import ids
from mustardloom import slices
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

_KEY_COUNT = 65_536
_Key = Annotated[int, msgspec.Meta(ge=0, le=_KEY_COUNT - 1)]
# Also the fencing tokens, times and numbers that daemons send each other.
_Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


# A list of rows has at most one for each key.
_MAX_ROWS = _KEY_COUNT
# A key may be in more than one row: it was granted again while a request that
# began under an earlier grant still runs.
_MAX_ROWS_WITH_KEY = 4
# Far more than the answers to heartbeats can grant.
_MAX_HELD_RANGES = 8_192
# Longer ones take several steps to decode.
_LONG_BODY_BYTES = 256 * 1_024
_HeldRow = tuple[_Key, _Key, _Count]
_FreedRow = tuple[_Key, _Key, str]
_held_decoder = msgspec.json.Decoder(list[_HeldRow])
_freed_decoder = msgspec.json.Decoder(list[_FreedRow])
_NO_ROWS = msgspec.Raw(b"[]")


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
    holds: msgspec.Raw = _NO_ROWS
    # Rows of first key, last key, handover token.
    freed: msgspec.Raw = _NO_ROWS


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


async def decode(request: messages.Request) -> Notice:
    """Decodes a heartbeat or deregistration from a target's request.

    Other work runs while a heartbeat with many rows is decoded.

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
            target = targets.TargetId(target_name)
            return await _heartbeat(target, request.body)
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


async def _heartbeat(target: targets.TargetId, body: bytes) -> Heartbeat:
    try:
        report = decoding.decode_json(body, _HeartbeatBody)
        phase = _PHASE_BY_STATE[report.state]
        cold_left_ms = durations.parse_ms(report.cold_left)
        if len(body) > _LONG_BODY_BYTES:
            await asyncio.sleep(0)
        held = await _held_ranges(report.holds)
        freed = await _freed_ranges(report.freed)
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
        held=held,
        freed=freed,
    )
    return Heartbeat(announcement, report.address)


def _born_ms(body: bytes) -> int | None:
    """Returns the start that a deregistration names; its body is optional."""
    try:
        return decoding.decode_json(body, _DeregistrationBody).born
    except decoding.Undecodable:
        return None


async def _held_ranges(rows: msgspec.Raw) -> tuple[targets.HeldRange, ...]:
    """Returns the ranges of a list of held rows, in order and merged.

    Raises:
      ValueError: The list is invalid, or has too many rows.
    """
    parts = decoding.json_list_parts(bytes(rows), _held_decoder, _MAX_ROWS)
    ordered = [
        sorted((targets.HeldRange(*row) for row in part), reverse=True)
        async for part in slices.paced(parts)
    ]
    merged = heapq.merge(*map(_drain, ordered))
    held: list[targets.HeldRange] = []
    listed_keys = 0
    async for part in slices.paced(slices.split(merged)):
        listed_keys += sum(map(_width, part))
        _check_listed(listed_keys)
        for each in part:
            _append_merged(held, each)
        if len(held) > _MAX_HELD_RANGES:
            raise ValueError(f"more than {_MAX_HELD_RANGES} ranges are held")
    return tuple(held)


async def _freed_ranges(rows: msgspec.Raw) -> tuple[targets.FreedRange, ...]:
    """Returns the ranges of a list of freed rows.

    Raises:
      ValueError: The list is invalid, or has too many rows.
    """
    freed: list[targets.FreedRange] = []
    listed_keys = 0
    parts = decoding.json_list_parts(bytes(rows), _freed_decoder, _MAX_ROWS)
    async for part in slices.paced(parts):
        ranges = [targets.FreedRange(*row) for row in part]
        listed_keys += sum(map(_width, ranges))
        _check_listed(listed_keys)
        freed += ranges
    return tuple(freed)


def _drain(
    descending: list[targets.HeldRange],
) -> Iterator[targets.HeldRange]:
    """Yields the last range first; each is freed once it has been used.

    To free all of a long list at the end would be a long step of its own.
    """
    while descending:
        yield descending.pop()


def _width(listed: targets.HeldRange | targets.FreedRange) -> int:
    return max(0, listed.last + 1 - listed.first)


def _append_merged(
    held: list[targets.HeldRange], added: targets.HeldRange
) -> None:
    """Appends a range, or extends the last one with the same fence by it."""
    if held:
        last = held[-1]
        if added.fence == last.fence and added.first == last.last + 1:
            held[-1] = targets.HeldRange(last.first, added.last, last.fence)
            return
    held.append(added)


def _check_listed(keys: int) -> None:
    """Raises ValueError if rows list so many keys that they can't be true."""
    if keys > _MAX_ROWS_WITH_KEY * _KEY_COUNT:
        raise ValueError("the rows list keys too many times")
