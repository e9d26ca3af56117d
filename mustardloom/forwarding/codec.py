"""Requests and outcomes as messages between daemons."""

from collections.abc import Iterable
from collections.abc import Sequence

from mustardloom import ids
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.relay.wire import peer_pb2
from mustardloom.routing import forwarders

__all__ = [
    "CodecError",
    "decode_answer",
    "decode_request",
    "destination_of",
    "encode_answer",
    "encode_request",
]

_LONGEST_REMAINING_MS = 2**32 - 1
_WIRE_BY_DESTINATION = {
    forwarders.Destination.OWNER: peer_pb2.OWNER,
    forwarders.Destination.GATE: peer_pb2.GATE,
}
_DESTINATION_BY_WIRE = {
    wire: destination for destination, wire in _WIRE_BY_DESTINATION.items()
}


class CodecError(ValueError):
    """A message of a peer cannot be understood."""


def _flatten(headers: Iterable[outcomes.Header]) -> list[str]:
    return [text for header in headers for text in header]


def _pair(texts: Sequence[str]) -> tuple[outcomes.Header, ...]:
    if len(texts) % 2:
        raise CodecError("a header has no value")
    return tuple(zip(texts[::2], texts[1::2], strict=True))


def encode_request(
    request: requests.Request,
    destination: forwarders.Destination,
    group: ids.GroupId,
    slot: ids.SlotIndex,
    now_ms: int,
) -> peer_pb2.Forward:
    """Returns the message for a request, with the time that remains."""
    remaining_ms = max(0, request.deadline_ms - now_ms)
    return peer_pb2.Forward(
        destination=_WIRE_BY_DESTINATION[destination],
        method=request.method,
        path=request.path,
        headers=_flatten(request.headers),
        body=request.body,
        route=request.route,
        service=request.service,
        organisation=request.organisation,
        regions=sorted(request.regions),
        key=request.key,
        request_id=request.request_id,
        idempotent=request.idempotent,
        remaining_ms=min(remaining_ms, _LONGEST_REMAINING_MS),
        fingerprint=request.fingerprint,
        group=group,
        slot=slot,
    )


def decode_request(message: peer_pb2.Forward, now_ms: int) -> requests.Request:
    """Returns the request of a message, with a deadline on the own clock.

    Raises:
      CodecError: The headers are not pairs.
    """
    organisation = None
    if message.HasField("organisation"):
        organisation = ids.OrganisationId(message.organisation)
    request_id = None
    if message.HasField("request_id"):
        request_id = ids.RequestId(message.request_id)
    return requests.Request(
        method=message.method,
        path=message.path,
        headers=_pair(message.headers),
        body=message.body,
        route=ids.RouteId(message.route),
        service=ids.ServiceId(message.service),
        organisation=organisation,
        regions=frozenset(map(ids.RegionId, message.regions)),
        key=message.key if message.HasField("key") else None,
        request_id=request_id,
        idempotent=message.idempotent,
        deadline_ms=now_ms + message.remaining_ms,
        fingerprint=message.fingerprint,
    )


def destination_of(message: peer_pb2.Forward) -> forwarders.Destination:
    """Returns the part of the daemon that handles a message.

    Raises:
      CodecError: This version does not know the destination.
    """
    destination = _DESTINATION_BY_WIRE.get(message.destination)
    if destination is None:
        raise CodecError(f"unknown destination {message.destination}")
    return destination


def encode_answer(forwarded: forwarders.Forwarded) -> peer_pb2.Answer:
    """Returns the message for an outcome and a load."""
    answer = peer_pb2.Answer()
    _encode_outcome(forwarded.outcome, answer)
    load = forwarded.load
    if load is not None:
        answer.load.running = load.running
        answer.load.queued = load.queued
        answer.load.limit = load.limit
    return answer


def decode_answer(answer: peer_pb2.Answer) -> forwarders.Forwarded:
    """Returns the outcome and load of a message.

    An outcome that this version does not know decodes to Unknown.
    """
    load = None
    if answer.HasField("load"):
        wire = answer.load
        load = forwarders.GateLoad(wire.running, wire.queued, wire.limit)
    try:
        outcome = _decode_outcome(answer)
    except ValueError as error:
        outcome = outcomes.Unknown(
            outcomes.UnknownReason.INTERNAL, f"answer not understood: {error}"
        )
    return forwarders.Forwarded(outcome, load)


def _encode_outcome(outcome: outcomes.Outcome, answer: peer_pb2.Answer) -> None:
    match outcome:
        case outcomes.Answered(status, headers, body):
            answer.answered.status = status
            answer.answered.headers.extend(_flatten(headers))
            answer.answered.body = body
        case outcomes.Refused(reason, detail, regions, owner):
            answer.refused.reason = reason.value
            answer.refused.detail = detail
            answer.refused.regions.extend(regions)
            if owner is not None:
                answer.refused.owner = owner
        case outcomes.Unknown(reason, detail):
            answer.unknown.reason = reason.value
            answer.unknown.detail = detail


def _decode_outcome(answer: peer_pb2.Answer) -> outcomes.Outcome:
    match answer.WhichOneof("outcome"):
        case "answered":
            answered = answer.answered
            headers = _pair(answered.headers)
            return outcomes.Answered(answered.status, headers, answered.body)
        case "refused":
            return _decode_refused(answer.refused)
        case "unknown":
            reason = outcomes.UnknownReason(answer.unknown.reason)
            return outcomes.Unknown(reason, answer.unknown.detail)
        case _:
            raise CodecError("no outcome")


def _decode_refused(wire: peer_pb2.Refused) -> outcomes.Refused:
    owner = ids.MemberId(wire.owner) if wire.HasField("owner") else None
    return outcomes.Refused(
        outcomes.RefusalReason(wire.reason),
        wire.detail,
        tuple(map(ids.RegionId, wire.regions)),
        owner,
    )
