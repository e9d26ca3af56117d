"""A small HTTP/1.1 reader and writer on asyncio streams.

It shares no code with the project, so that a fault of the project's own HTTP
code cannot hide itself.
"""

import asyncio
from collections.abc import Mapping
import dataclasses

__all__ = ["Message", "encode", "read_message"]

_HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"
_BODILESS = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A complete request or response.

    Attributes:
      start: The parts of the first line.
      headers: Values by names in lower case.
      body: The body.
    """

    start: tuple[str, ...]
    headers: Mapping[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


def encode(first: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with its Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin1") + _HEAD_END + body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message whose body has a length.

    Raises:
      asyncio.IncompleteReadError: The connection ended before its end.
    """
    head = await reader.readuntil(_HEAD_END)
    first, *lines = head.removesuffix(_HEAD_END).split(_LINE_END)
    headers = {}
    for line in lines:
        name, _, value = line.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    start = tuple(first.decode("latin1").split(" ", 2))
    length = int(headers.get("content-length", "0"))
    if start[0].startswith("HTTP/") and int(start[1]) in _BODILESS:
        length = 0
    return Message(start, headers, await reader.readexactly(length))
