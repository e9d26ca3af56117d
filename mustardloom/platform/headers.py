"""Reads and writes the platform's headers on requests and responses."""

from collections.abc import Iterable
import dataclasses
import re

from mustardloom import decoding
from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.http1 import messages
from mustardloom.platform import numbers

__all__ = [
    "CallerFields",
    "ResponseFields",
    "has_folded_credential",
    "read_credentials",
    "read_request",
    "read_request_id",
    "read_response",
    "read_statement",
    "refusal",
    "request_id_header",
    "to_caller",
    "to_target",
    "without_identity",
]

REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_KEY = b"x-shard-key"
_SIGNATURE = b"x-response-signature"
_TARGET_INSTANCE = b"x-instance-id"
_EXPECTED_INSTANCE = b"x-expected-instance"
_LOAD = b"x-server-load"
_NOT_EXECUTED = b"x-not-executed"
_CALLER_SERVICE = b"x-caller-service"
_COLD_MS = b"x-cold-ms"
_RATE_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_CREDENTIAL = b"x-credential"
_ORGANISATION = b"x-tenant"
_KEEP_ALIVE = b"keep-alive"
_HOST = b"host"
_PARENT_SEPARATOR = "."
_CONTENT_ENCODING = b"content-encoding"
_KEY_COUNT = 65_536
_PERCENT = 100
_FALSE = b"0"
_MS_PER_S = 1_000
_MISDIRECTED_STATUS = 421
# A field of an API key whose value continues on another line.
_FOLDED_CREDENTIAL = re.compile(
    rb"\n%b[ \t]*:[^\r\n]*\r?\n[ \t]" % _CREDENTIAL, re.IGNORECASE
)
_KEEP_ALIVE_TIMEOUT_S = re.compile(rb"timeout=(\d+)")

# Set by the router for each target; what the caller sent is dropped.
_REPLACED_FOR_TARGET = frozenset(
    (_DEADLINE, _EXPECTED_INSTANCE, _CALLER_SERVICE)
)
# Never passed on where callers belong to organisations.
_IDENTITY = frozenset((_CREDENTIAL, _ORGANISATION))
# Meant for the daemon on the target's VM only.
_HIDDEN_FROM_CALLER = frozenset(
    (_LOAD, _TARGET_INSTANCE, _COLD_MS, _NOT_EXECUTED, b"date")
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerFields:
    """Values from the headers of a caller's request.

    Attributes:
      host: Host without its port, in lower case.
      request_id: Empty if the caller gave none.
      deadline_ms: How long the caller waits; None if not given or malformed.
      key: Key whose owner runs the request; None if not given or malformed.
      is_call: Whether a target sent it for a request that it is running.
    """

    host: str
    request_id: str
    deadline_ms: int | None
    key: int | None
    is_call: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFields:
    """Values from the headers of a target's response.

    Attributes:
      is_not_run: Whether the target states that it did not run the request.
      is_signed: Whether the response has the target's signature.
      is_encoded: Whether the body has a content coding, such as gzip.
      is_misdirected: Whether it comes from another target than the expected
        one, or from one that does not hold the key.
      load: Load of the target; None if not given or malformed.
      idle_ms: How long the connection may stay idle; None if not given.
    """

    is_not_run: bool
    is_signed: bool
    is_encoded: bool
    is_misdirected: bool
    load: targets.TargetLoad | None
    idle_ms: int | None


def read_request(request: messages.Request) -> CallerFields:
    """Reads the headers of a caller's request."""
    value_by_name = {name.lower(): value for name, value in request.headers}
    host = value_by_name.get(_HOST, b"").decode("latin1").lower()
    key = _integer(value_by_name.get(_KEY))
    request_id = value_by_name.get(REQUEST_ID, b"").decode("latin1")
    return CallerFields(
        host=host.partition(":")[0],
        request_id=request_id,
        deadline_ms=_integer(value_by_name.get(_DEADLINE)),
        key=key if key is not None and key < _KEY_COUNT else None,
        # A target that calls another service appends the id of the request
        # that it is running to the id of its call.
        is_call=_PARENT_SEPARATOR in request_id,
    )


def read_request_id(headers: Iterable[messages.Header]) -> str:
    """Returns the id of a caller's request, empty if it gave none."""
    value = messages.find_header(headers, REQUEST_ID)
    return (value or b"").decode("latin1")


def read_credentials(headers: Iterable[messages.Header]) -> list[bytes]:
    """Returns the values of all headers that carry an API key.

    Example:
      >>> read_credentials([(b"X-Credential", b"k "), (b"Host", b"a")])
      [b'k']
    """
    return [
        value.strip(b" \t")
        for name, value in headers
        if len(name) == len(_CREDENTIAL) and name.lower() == _CREDENTIAL
    ]


def has_folded_credential(head: bytes) -> bool:
    r"""Returns whether the head of a request has an API key on several lines.

    Example:
      >>> has_folded_credential(b"GET / HTTP/1.1\r\nX-Credential: k\r\n l")
      True
    """
    return _FOLDED_CREDENTIAL.search(head) is not None


def without_identity(
    headers: Iterable[messages.Header],
) -> tuple[messages.Header, ...]:
    """Returns headers without API keys and names of organisations."""
    return tuple(
        header for header in headers if header[0].lower() not in _IDENTITY
    )


def to_target(
    headers: Iterable[messages.Header],
    caller_service: str,
    deadline_ms: int,
    target: targets.TargetId,
    organisation: ids.OrganisationId | None = None,
) -> tuple[messages.Header, ...]:
    """Returns the headers with which a request is sent to a target.

    Args:
      headers: End-to-end headers of the caller.
      caller_service: Service of the VM at which the request entered the fleet.
      deadline_ms: Time that is left for the response.
      target: The only target that may run the request; others reject it.
      organisation: Organisation of the caller, None if it has none.
    """
    identity: tuple[messages.Header, ...] = ()
    if organisation is not None:
        headers = without_identity(headers)
        identity = ((b"X-Tenant", organisation.encode()),)
    kept = tuple(
        header
        for header in headers
        if header[0].lower() not in _REPLACED_FOR_TARGET
    )
    return (
        *kept,
        (b"X-Deadline-Ms", b"%d" % deadline_ms),
        (b"X-Expected-Instance", target.encode()),
        (b"X-Caller-Service", caller_service.encode()),
        *identity,
    )


def read_response(response: messages.Response) -> ResponseFields:
    """Reads the headers of a target's response."""
    value_by_name = {name.lower(): value for name, value in response.headers}
    is_misdirected = response.status == _MISDIRECTED_STATUS
    coding = value_by_name.get(_CONTENT_ENCODING, b"identity").lower()
    return ResponseFields(
        is_not_run=_NOT_EXECUTED in value_by_name or is_misdirected,
        is_signed=_SIGNATURE in value_by_name,
        is_encoded=coding != b"identity",
        is_misdirected=is_misdirected,
        load=_load(value_by_name.get(_LOAD)),
        idle_ms=_idle_ms(value_by_name.get(_KEEP_ALIVE)),
    )


def read_statement(
    headers: Iterable[messages.Header],
) -> targets.Statement:
    """Reads what a target states about itself in a response.

    Only the head of the response is needed, so this works for refusals, errors
    and responses that break off, too.

    Example:
      >>> read_statement([(b"Server-Limit", b"34.4")]).rate_limit_per_s
      34.4
    """
    value_by_name = {name.lower(): value for name, value in headers}
    leaving = value_by_name.get(_LEAVING)
    is_leaving = leaving is not None and leaving.strip() != _FALSE
    return targets.Statement(
        _rate_limit(value_by_name.get(_RATE_LIMIT)), is_leaving
    )


def to_caller(
    headers: Iterable[messages.Header],
) -> tuple[messages.Header, ...]:
    """Returns the headers of a target's response to pass on to the caller."""
    return tuple(
        header
        for header in headers
        if (name := header[0].lower()) not in messages.HOP_BY_HOP
        and name not in _HIDDEN_FROM_CALLER
    )


def refusal(
    status: int, request_id: str, retry_after_ms: int | None, detail: str
) -> messages.Response:
    """Returns an error response that the router itself generates.

    Args:
      status: Status code.
      request_id: Id of the request; empty if it has none.
      retry_after_ms: Delay for the Retry-After header; None to leave it out.
      detail: Body of the response.
    """
    headers: list[messages.Header] = [(b"Content-Type", b"text/plain")]
    if request_id:
        headers.append((b"X-Request-Id", request_id.encode("latin1")))
    if retry_after_ms is not None:
        seconds = retry_after_ms / _MS_PER_S
        headers.append((b"Retry-After", b"%.2f" % seconds))
    return messages.Response(status, tuple(headers), detail.encode())


def request_id_header(request_id: str) -> messages.Header:
    """Returns the header that a response to this request repeats."""
    return (REQUEST_ID, request_id.encode("latin1"))


def _integer(value: bytes | None) -> int | None:
    if value is None:
        return None
    try:
        return decoding.parse_digits(value)
    except decoding.Undecodable:
        return None


def _rate_limit(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return numbers.parse_number(value.strip().decode("latin1"))
    except ValueError:
        return None


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
    found = _KEEP_ALIVE_TIMEOUT_S.search(value) if value else None
    seconds = _integer(found[1]) if found else None
    return None if seconds is None else seconds * _MS_PER_S
