"""HTTP requests and responses; headers keep their order and spelling."""

from collections.abc import Iterable
import dataclasses
import http

from mustardloom.http1 import bodies

__all__ = [
    "HOP_BY_HOP",
    "Header",
    "Request",
    "Response",
    "encode_request",
    "encode_response",
    "find_header",
    "is_final_status",
    "is_interim_status",
]

Header = tuple[bytes, bytes]

# Headers that apply to one connection only, and the content length, which each
# hop writes itself.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"http2-settings",
    )
)
_REASON_BY_STATUS = {
    int(status): status.phrase.encode() for status in http.HTTPStatus
}
_BODILESS_STATUSES = (204, 304)
_FIRST_INTERIM_STATUS = 100
# No request asks for a change of the protocol.
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request.

    Attributes:
      target: Path and query as they were sent.
      body: The whole body, empty if it passes in pieces.
      received_ms: Clock time at which its first byte was parsed.
      rest: The body if it passes in pieces, else None.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    received_ms: int = 0
    rest: bodies.BodySource | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response.

    Attributes:
      body: The whole body, empty if it passes in pieces.
      rest: The body if it passes in pieces, else None.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    rest: bodies.BodySource | None = None


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Returns the first value of a header, None if there is none.

    Args:
      headers: Headers.
      name: Name in lower case.

    Example:
      >>> find_header([(b"Host", b"a")], b"host")
      b'a'
    """
    for key, value in headers:
        if len(key) == len(name) and key.lower() == name:
            return value
    return None


def is_interim_status(status: int) -> bool:
    """Returns whether a status announces that the response follows."""
    is_interim = _FIRST_INTERIM_STATUS <= status < _FIRST_FINAL_STATUS
    return is_interim and status != _SWITCHING_PROTOCOLS


def is_final_status(status: int) -> bool:
    """Returns whether a status is that of a response.

    Those outside 100 to 599 are invalid (RFC 9110, section 15).

    Example:
      >>> [is_final_status(status) for status in (0, 100, 404, 600)]
      [False, False, True, False]
    """
    return _FIRST_FINAL_STATUS <= status <= _LAST_STATUS


def encode_request(request: Request) -> bytes:
    """Encodes a request and adds the framing of its body.

    A body that passes in pieces is left out; it follows in chunks if its length
    is not known.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1".encode("latin1")]
    lines.extend(b"%b: %b" % header for header in request.headers)
    if request.rest is not None:
        lines.append(_framing(request.rest.length))
    elif request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(_framing(len(request.body)))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def encode_response(
    response: Response,
    closes: bool,
    is_head: bool = False,
    is_chunk_known: bool = True,
) -> bytes:
    """Encodes a response and adds the framing of its body.

    A body that passes in pieces is left out; it follows in chunks if its length
    is not known.

    Args:
      response: The response.
      closes: Whether the server closes the connection after it.
      is_head: Whether it answers a HEAD request, so that the body is left out.
      is_chunk_known: Whether the receiver knows chunks; otherwise a body of
        unknown length ends with the connection.
    """
    reason = _REASON_BY_STATUS.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines.extend(b"%b: %b" % header for header in response.headers)
    has_body = response.status not in _BODILESS_STATUSES
    if response.rest is not None:
        if is_chunk_known or response.rest.length is not None:
            lines.append(_framing(response.rest.length))
    elif has_body:
        lines.append(_framing(len(response.body)))
    if closes:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head + response.body if has_body and not is_head else head


def _framing(length: int | None) -> bytes:
    if length is None:
        return b"Transfer-Encoding: chunked"
    return b"Content-Length: %d" % length
