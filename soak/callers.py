"""Callers that keep their connections open and remember all they saw."""

import asyncio
import random

from mustardloom import clock as clock_lib
from mustardloom.http1 import client
from mustardloom.http1 import messages
from mustardloom.platform.tests import standins
from soak import evidence as evidence_lib

__all__ = ["Caller"]

_DEADLINE_MS = 1_500
_CONNECT_MS = 1_000
_MARGIN_S = 0.5
_USUAL_PAUSE_S = 0.12
_BUSY_PAUSE_S = 0.005
_LONGEST_WAIT_S = 0.4
_MS_PER_S = 1_000
_ROUTES = ("keyed", "keyed", "plain", "moving")
# Most requests ask for few keys, side by side.
_HOT_SHARE = 0.5
_HOT_KEYS = 40
_KEYS = 65_536
_SIZES = (0, 10, 900, 20_000)


class Caller:
    """One caller on one VM with one connection.

    Attributes:
      is_busy: Whether it sends without pauses.
    """

    def __init__(
        self,
        vm: str,
        address: client.Address,
        seed: str,
        evidence: evidence_lib.Evidence,
        clock: clock_lib.Clock,
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

    async def run(self) -> None:
        """Sends requests until cancelled."""
        try:
            while True:
                wait_s = await self._send(self._draw())
                pause_s = _BUSY_PAUSE_S if self.is_busy else _USUAL_PAUSE_S
                await asyncio.sleep(wait_s + self._random.random() * pause_s)
        finally:
            self._drop()

    def _draw(self) -> evidence_lib.Attempt:
        self._sent += 1
        route = self._random.choice(_ROUTES)
        key = None
        if route == "keyed":
            is_hot = self._random.random() < _HOT_SHARE
            key = self._random.randrange(_HOT_KEYS if is_hot else _KEYS)
        size = self._random.choice(_SIZES) if route != "keyed" else 0
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
        """Sends one request and returns how long to wait in seconds."""
        try:
            connection = await self._connect()
        except client.ConnectFailed:
            return _LONGEST_WAIT_S
        self._evidence.attempt_by_id[attempt.request_id] = attempt
        attempt.sent_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(_DEADLINE_MS / _MS_PER_S + _MARGIN_S):
                response = await connection.exchange(_encode(attempt))
        except (
            TimeoutError,
            client.ClosedBeforeResponse,
            client.IncompleteResponse,
        ):
            self._drop()
            attempt.ended_ms = self._clock.now_ms()
            return 0.0
        attempt.ended_ms = self._clock.now_ms()
        attempt.status = response.status
        attempt.signer = standins.signer(response)
        attempt.answer = response.body.decode("latin1")
        wait = messages.find(response.headers, b"retry-after")
        return min(float(wait or 0), _LONGEST_WAIT_S)

    async def _connect(self) -> client.Connection:
        if self._connection is None or not self._connection.is_open():
            self._drop()
            self._connection = await client.connect(self._address, _CONNECT_MS)
        return self._connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _encode(attempt: evidence_lib.Attempt) -> bytes:
    return standins.encode_request(
        attempt.request_id,
        attempt.path,
        attempt.body.encode(),
        attempt.key,
        attempt.deadline_ms,
    )
