"""A backend that follows the pages: heartbeats, keys, answers."""

import asyncio
import collections
import contextlib
import json
import time
from typing import Any

from review.stand_ins_3 import http
from review.stand_ins_3 import record as record_lib
from review.stand_ins_3 import waiting

__all__ = ["Backend"]

_HEARTBEAT_S = 0.87
_ANSWER_LIMIT_S = 1.0
_CONTROL_PORT = 8306
_PORT = 8301


class Backend:
    """A backend beside one daemon.

    Attributes:
      name: Its id.
      answer: Body of its answers.
      work_s: Time that a request takes.
      pause_s: Time between the halves of the body of an answer.
      state: State that its heartbeats report.
      is_leaving: Whether its answers say that it leaves.
      acked: Loop time of the first acknowledged heartbeat that reported
        `draining`, None before.
      holds: Rows that it holds: first key, last key, fence.
      cold_until: Loop time until which it is cold.
      most_per_s: Requests in one second at which it crashes while it is cold.
      keys_per_token: Keys that one handover token covers at most.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        record: record_lib.Record,
        is_sharded: bool = False,
    ):
        self.name = name
        self.answer = b"ok"
        self.work_s = 0.01
        self.pause_s = 0.0
        self.state = "ready"
        self.slots = 20
        self.is_leaving = False
        self.acked: float | None = None
        self.holds: list[list[int]] = []
        self.keys_per_token = 65_536
        self.cold_until = 0.0
        self.most_per_s = 0
        self._cold_runs: collections.deque[float] = collections.deque()
        self._freed: list[list[Any]] = []
        self._held_until = 0.0
        self._service = service
        self._zone = zone
        self._host = host
        self._record = record
        self._is_sharded = is_sharded
        self._sequence = 0
        self._born = round(time.time() * 1_000)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Serves and sends heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self._host, _PORT
        )
        self._tasks.add(asyncio.create_task(self._send_heartbeats()))

    def stop(self) -> None:
        """Exits: all connections are closed."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def leave(self) -> None:
        """Begins to leave: reports `draining`, and says so in answers."""
        self.state = "draining"
        self.is_leaving = True

    async def exit_after_drain(self, serves_s: float) -> None:
        """Serves on for a time after the acknowledgement, then exits."""
        loop = asyncio.get_running_loop()
        await waiting.until(lambda: self.acked is not None)
        assert self.acked is not None
        await asyncio.sleep(self.acked + serves_s - loop.time())
        call = f"POST /rpc?call=instances.deregister&of={self.name} HTTP/1.1"
        body = json.dumps({"born": self._born}).encode()
        with contextlib.suppress(OSError, http.Truncated):
            reader, writer = await asyncio.open_connection(
                self._host, _CONTROL_PORT
            )
            with contextlib.closing(writer):
                writer.write(http.encode(call, [("Host", "control")], body))
                await http.read_message(reader)
        self._record.write("exit", backend=self.name)
        self.stop()

    async def _send_heartbeats(self) -> None:
        while True:
            left = 0.1
            with contextlib.suppress(OSError, http.Truncated, TimeoutError):
                left = await self._send_heartbeat()
            await asyncio.sleep(left)

    async def _send_heartbeat(self) -> float:
        """Sends one; returns the time until the next."""
        loop = asyncio.get_running_loop()
        self._sequence += 1
        state = self.state
        sent = loop.time()
        if self.holds and sent >= self._held_until:
            self.holds = []
        freed = list(self._freed)
        body = {
            "service": self._service,
            "address": f"{self._host}:{_PORT}",
            "zone": self._zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left": f"{max(0, round((self.cold_until - sent) * 1_000))}ms",
            "sequence": self._sequence,
            "born": self._born,
            "holds": self.holds,
            "freed": freed,
        }
        reader, writer = await asyncio.open_connection(
            self._host, _CONTROL_PORT
        )
        with contextlib.closing(writer):
            writer.write(
                http.encode(
                    "POST /rpc?call=instances.heartbeat&of="
                    f"{self.name} HTTP/1.1",
                    [("Host", "control"), ("Content-Type", "application/json")],
                    json.dumps(body).encode(),
                )
            )
            async with asyncio.timeout(_ANSWER_LIMIT_S):
                answer = await http.read_message(reader)
        if answer.status // 100 != 2:
            return _HEARTBEAT_S
        if state == "draining" and self.acked is None:
            self.acked = loop.time()
            self._record.write("draining acknowledged", backend=self.name)
        del self._freed[: len(freed)]
        return self._take(json.loads(answer.body or b"{}"), sent)

    def _take(self, answer: dict[str, Any], sent: float) -> float:
        """Takes the keys of an answer; returns the time until the next beat."""
        if not self._is_sharded or "holds" not in answer:
            return _HEARTBEAT_S
        listed = [row[:3] for row in answer["holds"]]
        hold_s = float(answer["hold_time"].removesuffix("ms")) / 1_000
        released = [row for row in self.holds if row not in listed]
        for first, last, fence in released:
            for start in range(first, last + 1, self.keys_per_token):
                end = min(last, start + self.keys_per_token - 1)
                token = f"{self.name}-{start}-{fence}"
                self._freed.append([start, end, token])
        self.holds = listed
        self._held_until = sent + hold_s
        return 0.05 if released else _HEARTBEAT_S

    def _holds_key(self, key: int) -> bool:
        if asyncio.get_running_loop().time() >= self._held_until:
            return False
        return any(first <= key <= last for first, last, _ in self.holds)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(
                http.Truncated, OSError, asyncio.CancelledError
            ):
                while True:
                    request = await http.read_message(reader)
                    answer = await self._answer(request)
                    half = len(answer) - len(self.answer) // 2
                    writer.write(answer[:half])
                    await writer.drain()
                    if self.pause_s:
                        await asyncio.sleep(self.pause_s)
                    writer.write(answer[half:])
                    await writer.drain()
        finally:
            self._tasks.discard(task)
            writer.close()

    def _crash_if_overrun(self) -> None:
        """Crashes if it is cold and gets too many requests in a second."""
        now = asyncio.get_running_loop().time()
        if now >= self.cold_until:
            return
        self._cold_runs.append(now)
        while self._cold_runs[0] <= now - 1.0:
            self._cold_runs.popleft()
        if self.most_per_s and len(self._cold_runs) > self.most_per_s:
            self._record.write(
                "crash", backend=self.name, in_one_second=len(self._cold_runs)
            )
            self.stop()

    async def _answer(self, request: http.Message) -> bytes:
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        told = [
            ("X-Request-Id", request_id),
            ("X-Instance-Id", self.name),
            ("X-Server-Load", f"1,0,{self.slots}"),
        ]
        if self.is_leaving:
            told.append(("Server-Leaving", "1"))
        expected = headers.get("x-expected-instance", self.name)
        key = headers.get("x-shard-key")
        is_held = key is None or self._holds_key(int(key))
        if expected != self.name or (self._is_sharded and not is_held):
            told.append(("X-Not-Executed", "1"))
            self._record.write("rejected", backend=self.name, id=request_id)
            return http.encode("HTTP/1.1 421 X", told)
        self._record.write(
            "run", backend=self.name, id=request_id, line=request.first
        )
        self._crash_if_overrun()
        await asyncio.sleep(self.work_s)
        told.append(("X-Response-Signature", f"{self.name}.{request_id}"))
        return http.encode("HTTP/1.1 200 OK", told, self.answer)
