"""A stand-in for a client, as the pages describe it."""

import asyncio
from collections.abc import Mapping
import dataclasses
import time
import uuid

from standins import wire

__all__ = ["CLOSED", "TIMED_OUT", "Client", "Outcome", "request_bytes"]

# Results without a status.
CLOSED = 0
TIMED_OUT = -1
_READER_LIMIT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one request.

    Attributes:
      status: Status of the answer, or `CLOSED` or `TIMED_OUT`.
      body_bytes: Size of the body.
      took_s: Time from the first byte sent to the end of the answer.
    """

    request_id: str
    status: int
    body_bytes: int
    took_s: float


def request_bytes(
    method: str,
    host: str,
    path: str,
    deadline_ms: int,
    body: bytes = b"",
    more: Mapping[str, str] | None = None,
) -> tuple[str, bytes]:
    """Returns a new request id and the bytes of a request."""
    request_id = uuid.uuid4().hex[:16]
    headers = {
        "Host": host,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        **(more or {}),
    }
    return request_id, wire.encode(f"{method} {path} HTTP/1.1", headers, body)


class Client:
    """Sends requests one after the other on a kept connection."""

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send(
        self, request_id: str, data: bytes, deadline_s: float
    ) -> Outcome:
        """Sends a request and returns its outcome."""
        began = time.monotonic()
        status, size = CLOSED, 0
        try:
            async with asyncio.timeout(deadline_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        *self._address, limit=_READER_LIMIT_BYTES
                    )
                reader, writer = self._streams
                writer.write(data)
                await writer.drain()
                answer = await wire.read_message(reader)
                status, size = answer.status, len(answer.body)
                if answer.headers.get("connection", "") == "close":
                    self.close()
        except TimeoutError:
            status = TIMED_OUT
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        return Outcome(request_id, status, size, time.monotonic() - began)

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
