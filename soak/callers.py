"""Callers with persistent connections that record each request and answer."""

import asyncio
import random

from mustardloom import clock as clock_lib
from mustardloom.http1 import client
from mustardloom.http1 import messages
from mustardloom.platform.tests import standins
from soak import evidence as evidence_lib

__all__ = ["Caller"]

_DEADLINE_MS = 1_500
_CONNECT_TIMEOUT_MS = 1_000
_ANSWER_MARGIN_S = 0.5
_MAX_PAUSE_S = 0.12
_MAX_BUSY_PAUSE_S = 0.005
_MAX_RETRY_AFTER_S = 0.4
_MS_PER_S = 1_000
_ROUTES = ("keyed", "keyed", "plain", "moving")
# Half of the keyed requests go to few adjacent keys.
_HOT_SHARE = 0.5
_HOT_KEYS = 40
_KEYS = 65_536
# Longest pause between the pieces of a request.
_MAX_PIECE_PAUSE_S = 0.6
_BODY_SIZES_BYTES = (0, 10, 900, 20_000)


class Caller:
    """One caller on one VM with one connection.

    Args:
      slow_share: Share of the requests that are sent in two pieces.

    Attributes:
      is_busy: Whether it sends with very short pauses, as in a burst.
    """

    def __init__(
        self,
        vm: str,
        address: client.Address,
        seed: str,
        evidence: evidence_lib.Evidence,
        clock: clock_lib.Clock,
        slow_share: float = 0.0,
    ):
        self.is_busy = False
        self._vm = vm
        self._address = address
        self._name = seed
        self._random = random.Random(seed)
        self._evidence = evidence
        self._clock = clock
        self._sent = 0
        self._connection: client.Connection | None = None
        self._slow_share = slow_share

    async def run(self) -> None:
        """Sends requests until cancelled."""
        try:
            while True:
                retry_after_s = await self._send(self._draw_request())
                max_pause_s = (
                    _MAX_BUSY_PAUSE_S if self.is_busy else _MAX_PAUSE_S
                )
                await asyncio.sleep(
                    retry_after_s + self._random.random() * max_pause_s
                )
        finally:
            self._disconnect()

    def _draw_request(self) -> evidence_lib.Attempt:
        self._sent += 1
        route = self._random.choice(_ROUTES)
        key = None
        if route == "keyed":
            is_hot = self._random.random() < _HOT_SHARE
            key = self._random.randrange(_HOT_KEYS if is_hot else _KEYS)
        size = self._random.choice(_BODY_SIZES_BYTES) if route != "keyed" else 0
        return evidence_lib.Attempt(
            f"{self._name}-{self._sent}",
            self._vm,
            route,
            key,
            f"/{route}/{self._sent}?n={self._sent}",
            "x" * size,
            self._clock.now_ms(),
            _DEADLINE_MS,
        )

    async def _send(self, attempt: evidence_lib.Attempt) -> float:
        """Sends one request; returns the seconds to wait before the next."""
        try:
            connection = await self._connect()
        except client.ConnectFailed:
            return _MAX_RETRY_AFTER_S
        self._evidence.attempt_by_id[attempt.request_id] = attempt
        attempt.sent_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(
                _DEADLINE_MS / _MS_PER_S + _ANSWER_MARGIN_S
            ):
                response = await self._exchange(connection, attempt)
        except client.ConnectFailed:
            attempt.ended_ms = self._clock.now_ms()
            return _MAX_RETRY_AFTER_S
        except (TimeoutError, client.ClosedEarly, client.Incomplete) as error:
            self._disconnect()
            is_late = isinstance(error, TimeoutError)
            endings = evidence_lib.Ending
            attempt.ending = endings.TIMED_OUT if is_late else endings.CUT
            attempt.ended_ms = self._clock.now_ms()
            return 0.0
        attempt.ended_ms = self._clock.now_ms()
        attempt.ending = evidence_lib.Ending.ANSWERED
        attempt.status = response.status
        attempt.signer = standins.signer(response)
        attempt.answer = response.body.decode("latin1")
        retry_after = messages.find_header(response.headers, b"retry-after")
        return min(float(retry_after or 0), _MAX_RETRY_AFTER_S)

    async def _exchange(
        self, connection: client.Connection, attempt: evidence_lib.Attempt
    ) -> messages.Response:
        data = _encode(attempt)
        if self._random.random() >= self._slow_share:
            attempt.whole_ms = self._clock.now_ms()
            return await connection.exchange(data)
        return await self._exchange_slowly(data, attempt)

    async def _exchange_slowly(
        self, data: bytes, attempt: evidence_lib.Attempt
    ) -> messages.Response:
        """Sends a request in two pieces, on a connection of its own.

        Raises:
          client.ConnectFailed: The connection could not be opened.
          client.Incomplete: It ended before the response was complete.
        """
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError as error:
            raise client.ConnectFailed(error) from error
        try:
            split = self._random.randrange(1, len(data))
            writer.write(data[:split])
            await asyncio.sleep(self._random.random() * _MAX_PIECE_PAUSE_S)
            writer.write(data[split:])
            attempt.whole_ms = self._clock.now_ms()
            return await _read_response(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise client.Incomplete(repr(error)) from error
        finally:
            writer.close()

    async def _connect(self) -> client.Connection:
        if self._connection is None or not self._connection.is_usable():
            self._disconnect()
            self._connection = await client.connect(
                self._address, _CONNECT_TIMEOUT_MS
            )
        return self._connection

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def _read_response(reader: asyncio.StreamReader) -> messages.Response:
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head.rstrip().split(b"\r\n")
    headers = tuple(
        (name, value.strip())
        for name, _, value in (line.partition(b":") for line in lines)
    )
    length = int(messages.find_header(headers, b"content-length") or 0)
    body = await reader.readexactly(length)
    return messages.Response(int(status_line.split()[1]), headers, body)


def _encode(attempt: evidence_lib.Attempt) -> bytes:
    return standins.encode_request(
        attempt.request_id,
        attempt.path,
        attempt.body.encode(),
        attempt.key,
        attempt.deadline_ms,
    )
