"""Reads HTTP/1.1 messages with the standard library alone."""

import asyncio
import dataclasses

__all__ = ["Message", "exchange", "read_body", "read_head", "read_message"]

_MAX_HEAD_BYTES = 1 << 20


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
      first: Its first line.
      fields: Its header fields, names in lower case.
      body: Its body.
      is_whole: Whether the body has arrived to its end.
    """

    first: str
    fields: dict[str, str]
    body: bytes = b""
    is_whole: bool = False

    @property
    def status(self) -> int:
        """Returns the status of a response."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the head of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.strip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Message(first, fields)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body of a message as far as it arrives."""
    is_response = message.first.startswith("HTTP/")
    if message.fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return
            size = int(line.split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            message.body += piece[:-2]
            if size == 0:
                message.is_whole = True
                return
    if "content-length" in message.fields:
        left = int(message.fields["content-length"])
        while left:
            piece = await reader.read(left)
            if not piece:
                return
            message.body += piece
            left -= len(piece)
        message.is_whole = True
        return
    if not is_response or message.status in (204, 304):
        message.is_whole = True
        return
    while piece := await reader.read(65_536):
        message.body += piece
    message.is_whole = True


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message; its body may be incomplete."""
    message = await read_head(reader)
    try:
        await read_body(reader, message)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.is_whole = False
    return message


async def exchange(
    address: tuple[str, int], data: bytes, timeout_s: float
) -> Message | None:
    """Sends a request on a new connection; returns its response, if any."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=_MAX_HEAD_BYTES
            )
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
