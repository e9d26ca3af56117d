"""Conversion of requests and outcomes to and from protobuf messages."""

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
    "decode_destination",
    "decode_request",
    "encode_answer",
    "encode_request",
]

# Largest value of the uint32 field `Forward.remaining_ms`.
_MAX_REMAINING_MS = 2**32 - 1
_WIRE_BY_DESTINATION = {
    forwarders.Destination.OWNER: peer_pb2.OWNER,
    forwarders.Destination.GATE: peer_pb2.GATE,
}
_DESTINATION_BY_WIRE = {
    wire: destination for destination, wire in _WIRE_BY_DESTINATION.items()
}


class CodecError(ValueError):
    """A message from a peer is malformed or unknown to this version."""


def _flatten_headers(headers: Iterable[outcomes.Header]) -> list[str]:
    return [text for header in headers for text in header]


def _pair_headers(texts: Sequence[str]) -> tuple[outcomes.Header, ...]:
    if len(texts) % 2:
        raise CodecError("odd number of header texts: a name has no value")
    return tuple(zip(texts[::2], texts[1::2], strict=True))


def encode_request(
    request: requests.Request,
    destination: forwarders.Destination,
    group: ids.GroupId,
    slot: ids.SlotIndex,
    now_ms: int,
) -> peer_pb2.Forward:
    """Returns the message that forwards a request to a slot.

    The message carries the remaining time instead of the deadline, since the
    monotonic clocks of two daemons are unrelated.

    Args:
      request: The request; its deadline is on the local clock.
      destination: Part of the receiving daemon that handles the request.
      group: Placement group.
      slot: Slot of the group.
      now_ms: Current time on the local clock.
    """
    remaining_ms = max(0, request.deadline_ms - now_ms)
    return peer_pb2.Forward(
        destination=_WIRE_BY_DESTINATION[destination],
        method=request.method,
        path=request.path,
        headers=_flatten_headers(request.headers),
        body=request.body,
        route=request.route,
        service=request.service,
        organisation=request.organisation,
        regions=sorted(request.regions),
        key=request.key,
        request_id=request.request_id,
        idempotent=request.idempotent,
        remaining_ms=min(remaining_ms, _MAX_REMAINING_MS),
        fingerprint=request.fingerprint,
        group=group,
        slot=slot,
    )


def decode_request(message: peer_pb2.Forward, now_ms: int) -> requests.Request:
    """Returns the request of a message, with a deadline on the local clock.

    Raises:
      CodecError: A header name has no value.
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
        headers=_pair_headers(message.headers),
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


def decode_destination(message: peer_pb2.Forward) -> forwarders.Destination:
    """Returns the part of the daemon that handles a message.

    Raises:
      CodecError: The destination is unknown to this version.
    """
    destination = _DESTINATION_BY_WIRE.get(message.destination)
    if destination is None:
        raise CodecError(f"unknown destination {message.destination}")
    return destination


def encode_answer(forwarded: forwarders.Forwarded) -> peer_pb2.Answer:
    """Returns the message with the outcome and, if known, the gate's load."""
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

    An outcome that this version cannot decode becomes `Unknown`: the request
    may have run.
    """
    load = None
    if answer.HasField("load"):
        wire = answer.load
        load = forwarders.GateLoad(wire.running, wire.queued, wire.limit)
    try:
        outcome = _decode_outcome(answer)
    except ValueError as error:
        outcome = outcomes.Unknown(
            outcomes.UnknownReason.INTERNAL,
            f"cannot decode the answer: {error}",
        )
    return forwarders.Forwarded(outcome, load)


def _encode_outcome(outcome: outcomes.Outcome, answer: peer_pb2.Answer) -> None:
    match outcome:
        case outcomes.Answered(status, headers, body):
            answer.answered.status = status
            answer.answered.headers.extend(_flatten_headers(headers))
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
            headers = _pair_headers(answered.headers)
            return outcomes.Answered(answered.status, headers, answered.body)
        case "refused":
            return _decode_refused(answer.refused)
        case "unknown":
            reason = outcomes.UnknownReason(answer.unknown.reason)
            return outcomes.Unknown(reason, answer.unknown.detail)
        case _:
            raise CodecError("the message has no outcome")


def _decode_refused(wire: peer_pb2.Refused) -> outcomes.Refused:
    owner = ids.MemberId(wire.owner) if wire.HasField("owner") else None
    return outcomes.Refused(
        outcomes.RefusalReason(wire.reason),
        wire.detail,
        tuple(map(ids.RegionId, wire.regions)),
        owner,
    )
