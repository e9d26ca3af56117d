"""Headers of requests and responses, read and written."""

from collections.abc import Iterable
import dataclasses
import re

from mustardloom.deployment import targets
from mustardloom.http1 import messages

__all__ = [
    "CallerFields",
    "ResponseFields",
    "expects_id",
    "read_request",
    "read_response",
    "refusal",
    "to_caller",
    "to_target",
]

REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_KEY = b"x-shard-key"
_SIGNATURE = b"x-response-signature"
_INSTANCE = b"x-instance-id"
_EXPECTED = b"x-expected-instance"
_LOAD = b"x-server-load"
_NOT_RUN = b"x-not-executed"
_CALLER = b"x-caller-service"
_COLD = b"x-cold-ms"
_KEEP_ALIVE = b"keep-alive"
_HOST = b"host"
_PARENT_SEPARATOR = "."
_CODING = b"content-encoding"
_KEYS = 65_536
_PERCENT = 100
_MS_PER_S = 1_000
_MISDIRECTED = 421
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")

# Set anew for each target, whatever the caller sent.
_SET_FOR_TARGET = frozenset((_DEADLINE, _EXPECTED, _CALLER))
# For the daemon beside the target only.
_KEPT_FROM_CALLER = frozenset((_LOAD, _INSTANCE, _COLD, _NOT_RUN, b"date"))


@dataclasses.dataclass(frozen=True, slots=True)
class CallerFields:
    """What the headers of a caller's request say.

    Attributes:
      deadline_ms: How long the caller waits, None if it does not say.
      key: Key that decides the owner, None if there is none.
      is_call: A request that runs already waits for this one.
    """

    host: str
    request_id: str
    deadline_ms: int | None
    key: int | None
    is_call: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFields:
    """What the headers of a target's response say.

    Attributes:
      is_not_run: The target states that it did not run the request.
      is_signed: The response bears the target's signature.
      is_encoded: The body is not the target's own bytes.
      is_misdirected: Another target answered, or one that lacks the key.
      load: Load of the target, if it tells.
      idle_ms: How long the connection may stay idle, if it tells.
    """

    is_not_run: bool
    is_signed: bool
    is_encoded: bool
    is_misdirected: bool
    load: targets.TargetLoad | None
    idle_ms: int | None


def read_request(request: messages.Request) -> CallerFields:
    """Returns the fields of a caller's request."""
    value_by_name = {name.lower(): value for name, value in request.headers}
    host = value_by_name.get(_HOST, b"").decode("latin1").lower()
    key = _integer(value_by_name.get(_KEY))
    request_id = value_by_name.get(REQUEST_ID, b"").decode("latin1")
    return CallerFields(
        host=host.partition(":")[0],
        request_id=request_id,
        deadline_ms=_integer(value_by_name.get(_DEADLINE)),
        key=key if key is not None and key < _KEYS else None,
        # Targets append the id of the request that they run to their own.
        is_call=_PARENT_SEPARATOR in request_id,
    )


def to_target(
    headers: Iterable[messages.Header],
    caller_service: str,
    deadline_ms: int,
    target: targets.TargetId,
) -> tuple[messages.Header, ...]:
    """Returns the headers that a target gets.

    Args:
      headers: End-to-end headers of the caller.
      caller_service: Service on whose VM the request began.
      deadline_ms: Time that is left.
      target: The target that is to run the request, and no other.
    """
    kept = tuple(
        header for header in headers if header[0].lower() not in _SET_FOR_TARGET
    )
    return (
        *kept,
        (b"X-Deadline-Ms", b"%d" % deadline_ms),
        (b"X-Expected-Instance", target.encode()),
        (b"X-Caller-Service", caller_service.encode()),
    )


def read_response(response: messages.Response) -> ResponseFields:
    """Returns the fields of a target's response."""
    value_by_name = {name.lower(): value for name, value in response.headers}
    is_misdirected = response.status == _MISDIRECTED
    coding = value_by_name.get(_CODING, b"identity").lower()
    return ResponseFields(
        is_not_run=_NOT_RUN in value_by_name or is_misdirected,
        is_signed=_SIGNATURE in value_by_name,
        is_encoded=coding != b"identity",
        is_misdirected=is_misdirected,
        load=_load(value_by_name.get(_LOAD)),
        idle_ms=_idle_ms(value_by_name.get(_KEEP_ALIVE)),
    )


def to_caller(
    headers: Iterable[messages.Header],
) -> tuple[messages.Header, ...]:
    """Returns the headers of a target's response that the caller gets."""
    return tuple(
        header
        for header in headers
        if (name := header[0].lower()) not in messages.HOP_BY_HOP
        and name not in _KEPT_FROM_CALLER
    )


def refusal(
    status: int, request_id: str, retry_after_ms: int | None, detail: str
) -> messages.Response:
    """Returns an answer of the router itself."""
    headers: list[messages.Header] = [(b"Content-Type", b"text/plain")]
    if request_id:
        headers.append((b"X-Request-Id", request_id.encode("latin1")))
    if retry_after_ms is not None:
        seconds = retry_after_ms / _MS_PER_S
        headers.append((b"Retry-After", b"%.2f" % seconds))
    return messages.Response(status, tuple(headers), detail.encode())


def expects_id(request_id: str) -> messages.Header:
    """Returns the header by which a response names its request."""
    return (REQUEST_ID, request_id.encode("latin1"))


def _integer(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None


def _load(value: bytes | None) -> targets.TargetLoad | None:
    if value is None:
        return None
    figures = [_integer(part.strip()) for part in value.split(b",")]
    if len(figures) < 3 or None in figures[:3]:
        return None
    slowdown = 1.0
    if len(figures) > 3 and figures[3]:
        slowdown = figures[3] / _PERCENT
    running, waiting, capacity = figures[:3]
    return targets.TargetLoad(running, waiting, capacity, slowdown)  # type: ignore[arg-type]


def _idle_ms(value: bytes | None) -> int | None:
    found = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
    return int(found[1]) * _MS_PER_S if found else None
