"""A stand-in for a server (target) of a deployment, as the pages describe it.

It sends heartbeats to the daemon on its machine, holds keys as the answers
say, and runs requests. What a page does not say, it does as a sound server.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import time

from standins import wire

__all__ = ["ServerPlan", "StandInServer"]

_MS_PER_S = 1_000
_ANSWER_LIMIT_BYTES = 4_096
_ANSWER_LIMIT_S = 1.0
_KEYS = 65_536
_READER_LIMIT_BYTES = 1 << 20
_RELEASE_PAUSE_S = 0.09

# Called with the name of an event and its fields.
Note = Callable[..., None]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPlan:
    """How a server works.

    Attributes:
      service: Its service.
      zone: Its availability zone.
      host: Its address.
      port: Its port.
      control: Port of the daemon's address for heartbeats.
      slots: Requests that it reports to run at once.
      work_s: Time that a request takes.
      answer_bytes: Size of the body of an answer.
      is_keyed: Whether it runs only requests whose key it holds.
      heartbeat_s: Pause between heartbeats.
    """

    service: str
    zone: str
    host: str
    port: int
    control: int
    slots: int = 11
    work_s: float = 0.02
    answer_bytes: int = 200
    is_keyed: bool = False
    heartbeat_s: float = 0.87


class StandInServer:
    """One boot of a server.

    Attributes:
      sends_heartbeats: Whether it sends its regular heartbeats.
      released: First and last key of the range that it released last.
      held: Rows of first key, last key, fence, handover token.
    """

    def __init__(self, name: str, plan: ServerPlan, note: Note):
        self.name = name
        self.plan = plan
        self.sends_heartbeats = True
        # Clear while it is cut off from control: heartbeats get no answer.
        self.control_path = asyncio.Event()
        self.control_path.set()
        self.held: list[list] = []
        self._note = note
        self._born = round(time.time() * _MS_PER_S)
        self._sequence = 0
        self._held_until = 0.0
        self._highest_fence = [0] * _KEYS
        self.released = (0, 0)
        self._freed: list[list] = []
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        plan = self.plan
        self._server = await asyncio.start_server(
            self._serve, plan.host, plan.port, limit=_READER_LIMIT_BYTES
        )
        self._beats = asyncio.ensure_future(self._send_heartbeats())

    def stop(self) -> None:
        """Ends at once, as after a crash."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    # What it says of itself.

    def heartbeat(self) -> dict:
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        plan = self.plan
        return {
            "service": plan.service,
            "address": f"{plan.host}:{plan.port}",
            "zone": plan.zone,
            "version": "v1",
            "slots": plan.slots,
            "state": "ready",
            "cold_left": "0ms",
            "sequence": self._sequence,
            "born": self._born,
            "holds": [row[:3] for row in self.held if self._is_in_force()],
            "freed": list(self._freed),
        }

    async def post_heartbeat(self, body: dict) -> bool:
        """Sends a heartbeat; returns whether it was acknowledged."""
        sent_at = time.monotonic()
        answer = await self._post("instances.heartbeat", body)
        if answer is None:
            return False
        if len(answer.body) > _ANSWER_LIMIT_BYTES:
            self._note("oversized-answer", bytes=len(answer.body))
            return False
        self._adopt(body, answer, sent_at)
        return True

    def _adopt(self, body: dict, answer: wire.Message, sent_at: float) -> None:
        self._freed = self._freed[len(body["freed"]) :]
        fields = json.loads(answer.body or b"{}")
        if "holds" in fields:
            hold_s = float(fields["hold_time"].removesuffix("ms")) / _MS_PER_S
            self._take(fields["holds"], sent_at + hold_s)

    async def post_late(self, body: dict, sent_at: float) -> None:
        """Delivers a heartbeat that was sent at `sent_at`, by the clock.

        Its answer counts only within a second of the sending.
        """
        answer = await self._post("instances.heartbeat", body)
        late_s = time.monotonic() - sent_at
        self._note(
            "late-heartbeat",
            server=self.name,
            sequence=body["sequence"],
            late_s=round(late_s, 3),
            is_answered=answer is not None,
        )
        if answer is not None and late_s < _ANSWER_LIMIT_S:
            self._adopt(body, answer, sent_at)

    async def post_deregistration(self) -> bool:
        """Says that it leaves; returns whether that was acknowledged."""
        answer = await self._post("instances.deregister", {"born": self._born})
        return answer is not None

    async def _post(self, call: str, body: dict) -> wire.Message | None:
        plan = self.plan
        try:
            async with asyncio.timeout(_ANSWER_LIMIT_S):
                await self.control_path.wait()
                reader, writer = await asyncio.open_connection(
                    plan.host, plan.control
                )
                try:
                    writer.write(
                        wire.encode(
                            f"POST /rpc?call={call}&of={self.name} HTTP/1.1",
                            {"Host": "control"},
                            json.dumps(body).encode(),
                        )
                    )
                    answer = await wire.read_message(reader)
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return None
        return answer if answer.status == 200 else None

    async def _send_heartbeats(self) -> None:
        while True:
            if self.sends_heartbeats:
                await self.post_heartbeat(self.heartbeat())
            is_releasing = bool(self._freed)
            await asyncio.sleep(
                _RELEASE_PAUSE_S if is_releasing else self.plan.heartbeat_s
            )

    # Keys.

    def _is_in_force(self) -> bool:
        return time.monotonic() < self._held_until

    def holds(self, key: int) -> bool:
        """Returns whether it holds a key now."""
        return self._is_in_force() and any(
            row[0] <= key <= row[1] for row in self.held
        )

    def held_now(self) -> list[list]:
        """Returns the rows that it holds now."""
        return self.held if self._is_in_force() else []

    def _take(self, granted: list[list], until: float) -> None:
        granted = [row for row in granted if self._is_newest(row)]
        for first, last, fence, _ in granted:
            self._highest_fence[first : last + 1] = [fence] * (last - first + 1)
        if self._is_in_force():
            self._free(granted)
        self.held = granted
        self._held_until = until
        self._note(
            "hold",
            server=self.name,
            rows=len(granted),
            keys=sum(row[1] + 1 - row[0] for row in granted),
        )

    def _is_newest(self, row: list) -> bool:
        """Returns whether it has seen no higher fence on the row's keys."""
        return row[2] >= max(self._highest_fence[row[0] : row[1] + 1])

    def _free(self, granted: list[list]) -> None:
        for first, last, *_ in self.held:
            start = first
            for low, high, *_ in sorted(granted):
                if high < start or low > last:
                    continue
                self._release(start, low - 1)
                start = high + 1
            self._release(start, last)

    def _release(self, first: int, last: int) -> None:
        if first <= last:
            self._freed.append([first, last, f"t{first}"])
            self.released = (first, last)

    # Requests.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await wire.read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: wire.Message) -> bytes:
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        expected = headers.get("x-expected-instance", self.name)
        key = int(headers.get("x-shard-key", "-1"))
        if expected != self.name or (
            self.plan.is_keyed and not self.holds(key)
        ):
            self._note("reject", server=self.name, request_id=request_id)
            echo["X-Not-Executed"] = "1"
            return wire.encode("HTTP/1.1 421 Misdirected Request", echo)
        self._note(
            "run",
            server=self.name,
            request_id=request_id,
            body_bytes=len(request.body),
        )
        await asyncio.sleep(self.plan.work_s)
        echo["X-Response-Signature"] = f"{self.name}.{request_id}"
        echo["X-Instance-Id"] = self.name
        body = b"a" * self.plan.answer_bytes
        return wire.encode("HTTP/1.1 200 OK", echo, body)
