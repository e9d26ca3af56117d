"""Callers that speak HTTP without any code of the product."""

import asyncio
import contextlib
import json
import random
from typing import Any
from typing import Self

__all__ = [
    "HOST",
    "PATH",
    "SAFE_PATH",
    "Caller",
    "read_headers",
    "skip_body",
    "status_of",
    "upload",
    "write_zeros",
]

HOST = "a.example"
PATH = "/scans/1"
# Its requests may be repeated.
SAFE_PATH = "/plans/1"
_PIECE = bytes(65_536)


class Caller:
    """One connection of a caller.

    Attributes:
      reader: What the daemon sends.
      writer: What the caller sends.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Self:
        """Opens a connection."""
        return cls(*await asyncio.open_connection(*address))

    def send_head(
        self,
        method: str,
        path: str,
        length: int,
        deadline_ms: int = 20_000,
        parent: str = "",
        key: int = 0,
    ) -> str:
        """Sends a request without its body; returns its id.

        Args:
          method: Its method.
          path: Its path.
          length: Size of its body.
          deadline_ms: How long its caller waits.
          parent: Id of the request for which a target sends it, if any.
          key: Its key, which matters for a service with keys.
        """
        request_id = f"{random.getrandbits(64):016x}"
        if parent:
            request_id = f"{request_id}.{parent}"
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nX-Shard-Key: {key}\r\n"
            f"Content-Length: {length}\r\n\r\n".encode()
        )
        return request_id

    async def read_answer(self) -> dict[str, str]:
        """Reads an answer; returns its headers, none if it is not whole."""
        try:
            headers = await read_headers(self.reader)
            await skip_body(self.reader, headers)
        except (OSError, asyncio.IncompleteReadError):
            return {}
        return headers

    async def read_status(self) -> int:
        """Reads an answer; returns its status, 0 if there is no whole one."""
        return status_of(await self.read_answer())

    async def read_json(self) -> dict[str, Any]:
        """Reads an answer; returns its body, an empty object without one."""
        headers = await read_headers(self.reader)
        length = int(headers.get("content-length", "0"))
        body = await self.reader.readexactly(length)
        return dict(json.loads(body)) if body else {}

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


async def upload(address: tuple[str, int], size: int) -> int:
    """Uploads zeros on a new connection; returns the status, 0 if closed."""
    caller = await Caller.connect(address)
    with contextlib.closing(caller):
        caller.send_head("POST", PATH, size)
        sending = asyncio.create_task(write_zeros(caller.writer, size))
        try:
            return await caller.read_status()
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)


async def read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    """Returns the headers of a message, its first line as "first"."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.strip().split("\r\n")
    headers = {"first": first}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return headers


def status_of(headers: dict[str, str]) -> int:
    """Returns the status of an answer, 0 if there is none."""
    return int(headers["first"].split()[1]) if headers else 0


async def skip_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> None:
    """Reads a body with a length without keeping it."""
    left = int(headers.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, len(_PIECE)))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)


async def write_zeros(writer: asyncio.StreamWriter, size: int) -> None:
    """Writes zeros as fast as they are read."""
    with contextlib.suppress(OSError):
        for start in range(0, size, len(_PIECE)):
            writer.write(_PIECE[: size - start])
            await writer.drain()
