"""Heads of requests: where they end, and their fields.

A field of a few bytes takes some two hundred once it is parsed. Heads are kept
as raw bytes until they are complete, and their fields are created only then.
"""

from typing import NamedTuple

from mustardloom.http1 import messages

__all__ = [
    "END",
    "FIELD_BYTES",
    "USUAL_FIELDS",
    "Framing",
    "MessageEnd",
    "empty_lines_size",
    "extra_fields_bytes",
    "fields",
    "framing",
    "limited_size",
    "partial_fields",
    "size_to_end",
    "without_upgrade",
]

# What ends a head, and also a body in chunks.
END = b"\r\n\r\n"
# Memory of a parsed field beyond its bytes: a tuple, two objects for the bytes
# and the references of two sequences.
FIELD_BYTES = 192
# Requests with more fields than this are charged for each further one.
USUAL_FIELDS = 64
_LINE_END = b"\r\n"
_UPGRADE = b"upgrade:"
_LINE_ENDS = (b"\r", b"\n")
# Sizes of the names of the fields that say something of the body.
_FRAMING_SIZES = frozenset(
    map(len, ("content-length", "transfer-encoding", "expect"))
)
# Of a head in part, the fields in its first bytes are read for the log.
_LOGGED_BYTES = 2_048


class Framing(NamedTuple):
    """What the fields of a head say of the body.

    Attributes:
      length: Size of the body, None if it comes in chunks.
      expects_continue: Whether the caller waits for `100 Continue`.
    """

    length: int | None
    expects_continue: bool


def framing(headers: list[messages.Header]) -> Framing:
    """Returns what the fields of a head say of the body.

    Example:
      >>> framing([(b"Content-Length", b"3")])
      Framing(length=3, expects_continue=False)
    """
    length: int | None = 0
    expects_continue = False
    for name, value in headers:
        if len(name) not in _FRAMING_SIZES:
            continue
        match name.lower():
            case b"content-length" if length == 0:
                length = int(value)
            case b"transfer-encoding":
                length = None
            case b"expect":
                expects_continue = value.lower() == b"100-continue"
    return Framing(length, expects_continue)


def extra_fields_bytes(headers: list[messages.Header]) -> int:
    """Returns the memory of the fields of a head beyond a usual number."""
    return max(0, len(headers) - USUAL_FIELDS) * FIELD_BYTES


class MessageEnd:
    """Finds where a body in chunks may end, in bytes that arrive in pieces."""

    def __init__(self) -> None:
        self._last = b""

    def next_size(self, data: bytes, start: int) -> int:
        """Returns how many bytes to pass on before the end is checked.

        Args:
          data: Bytes that have arrived.
          start: Number of those that were passed on before.
        """
        size = size_to_end(self._last, data, start) or len(data) - start
        kept = len(END) - 1
        last = data[max(start, start + size - kept) : start + size]
        self._last = (self._last + last)[-kept:]
        return size


def empty_lines_size(data: bytes, start: int) -> int:
    """Returns the size of the empty lines at a position."""
    position = start
    while data[position : position + 1] in _LINE_ENDS:
        position += 1
    return position - start


def size_to_end(tail: bytes, data: bytes, start: int) -> int | None:
    """Returns how many bytes lead to an end, None if it is not there.

    Args:
      tail: Last bytes that arrived before, fewer than an end has.
      data: Bytes that have arrived.
      start: Number of those that count to an earlier message.
    """
    if tail:
        joined = tail + data[start : start + len(END)]
        index = joined.find(END)
        if index >= 0:
            return index + len(END) - len(tail)
    index = data.find(END, start)
    return None if index < 0 else index + len(END) - start


def fields(head: bytes) -> list[messages.Header]:
    r"""Returns the fields of a complete head that the parser has accepted.

    Example:
      >>> fields(b"GET / HTTP/1.1\r\nA: b\r\nC:\r\n\r\n")
      [(b'A', b'b'), (b'C', b'')]
    """
    # The first line is the request line; two empty ones follow the last field.
    parts = [line.partition(b":") for line in head.split(_LINE_END)[1:-2]]
    return [(name, value.lstrip(b" \t")) for name, _, value in parts]


def partial_fields(head: bytes | bytearray) -> list[messages.Header]:
    """Returns the first whole fields of a head that was not accepted."""
    lines = bytes(head[:_LOGGED_BYTES]).split(_LINE_END)[1:-1]
    parts = [line.partition(b":") for line in lines]
    return [(name, value.strip(b" \t")) for name, _, value in parts]


def without_upgrade(head: bytes) -> bytes:
    r"""Returns a complete head without its offer of another protocol.

    Example:
      >>> without_upgrade(b"GET / HTTP/1.1\r\nUpgrade: h2c\r\nA: b\r\n\r\n")
      b'GET / HTTP/1.1\r\nA: b\r\n\r\n'
    """
    first, *lines = head.split(_LINE_END)
    kept = (line for line in lines if not line.lower().startswith(_UPGRADE))
    return _LINE_END.join((first, *kept))


def limited_size(head: bytes, target: bytes) -> int:
    """Returns the size of a head by which it is limited.

    Method, version and the end of the head do not count.
    """
    line_bytes = head.index(_LINE_END) + len(_LINE_END)
    return len(head) - line_bytes - len(_LINE_END) + len(target)
