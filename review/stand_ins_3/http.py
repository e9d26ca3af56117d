"""HTTP/1.1 as clients, backends and the store speak it."""

import asyncio
from collections.abc import Iterable
import dataclasses

__all__ = ["Message", "Truncated", "encode", "read_body", "read_message"]

_REASON = b"X"


class Truncated(Exception):
    """The connection ended before the end of a message."""


@dataclasses.dataclass
class Message:
    """A request or response.

    Attributes:
      first: The first line.
      headers: Values by names in lower case.
      body: The whole body.
    """

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response, 0 if the first line is none of a response."""
        parts = self.first.split(" ")
        if not self.first.startswith("HTTP/1.1 ") or not parts[1].isdigit():
            return 0
        return int(parts[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a head.

    Raises:
      Truncated: The connection ended before.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Truncated from error
    first, *lines = data.decode("latin1").strip().split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return Message(first, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body that follows a head.

    Raises:
      Truncated: The connection ended before.
    """
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
            return
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Truncated from error


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a whole message.

    Raises:
      Truncated: The connection ended before.
    """
    message = await read_head(reader)
    await read_body(reader, message)
    return message


def encode(
    first: str, headers: Iterable[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Returns a message with the length of its body."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body
