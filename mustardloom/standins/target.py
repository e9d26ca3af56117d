"""Stand-in for a target: a server that owns keys exclusively."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import http
import os
import secrets
import time
import urllib.parse

from loguru import logger
import msgspec
from tornado import http1connection
from tornado import httpclient
from tornado import httpserver
from tornado import httputil
from tornado import netutil
import xxhash

from mustardloom import clock as clock_lib
from mustardloom.standins import runs
from mustardloom.standins import service

__all__ = ["CRASH_EXIT_CODE", "Target", "TargetSettings"]

CRASH_EXIT_CODE = 70
# A request whose body contains this crashes the target.
_POISON_MARKER = b"POISON"
_ANNOUNCE_INTERVAL_MS = 1_000
_ANNOUNCE_TIMEOUT_S = 0.5
_QUEUE_LENGTH_PER_CAPACITY = 2
_LOAD_SAMPLE_INTERVAL_MS = 50
_MAX_CANCELLED_IDS = 256
_MAX_BODY_BYTES = 8 * 1024 * 1024
_MS_PER_S = 1_000
_DISPATCH_HEADER = "X-Mustardloom-Dispatch"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetSettings:
    """Settings of a stand-in target.

    Attributes:
      service: Service that the target announces.
      host: IP address to listen on.
      port: Port to listen on, 0 for any free one.
      capacity: Concurrent requests when warm.
      mean_ms: Mean service time.
      sigma: Standard deviation of the logarithm of the service time.
      seed: Seed of the service times.
      checks_fencing: Whether requests need a valid grant.
      region: Region, for the record of runs.
      zone: Availability zone, for the record of runs.
      daemon_admin: `host:port` of the local daemon, empty for none.
      stale_load_ms: Age of the load that /_target/load reports.
      restart_after_ms: Time from a crash to the next instance; with None, the
        process exits instead.
    """

    service: str
    host: str = "127.0.0.1"
    port: int = 0
    capacity: int = 6
    mean_ms: float = 10.0
    sigma: float = 0.3
    seed: int = 1
    checks_fencing: bool = True
    region: str = ""
    zone: str = ""
    daemon_admin: str = ""
    stale_load_ms: int = 1_000
    restart_after_ms: int | None = None


class _Grant(msgspec.Struct, frozen=True):
    group: str
    slot: int
    epoch: int


class _Grants(msgspec.Struct, frozen=True):
    expires_ms: int = 0
    grants: tuple[_Grant, ...] = ()
    released: tuple[_Grant, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(eq=False, slots=True)
class _Work:
    """One request for the service.

    Attributes:
      request: The HTTP request.
      start_wall_ms: When it arrived.
      task: Task that serves it.
      committed: Whether it took effect.
    """

    request: httputil.HTTPServerRequest
    start_wall_ms: int
    task: asyncio.Task[None] | None = None
    committed: bool = False

    def header(self, name: str) -> str:
        value = self.request.headers.get(f"X-Mustardloom-{name}", "")
        return str(value)

    def number(self, name: str) -> int | None:
        value = self.header(name)
        return int(value) if value.isdigit() else None


def _not_run(detail: str) -> _Reply:
    """Returns the reply to a request that certainly took no effect."""
    return _Reply(503, detail.encode(), (("X-Target-Run", "no"),))


def _cancel_work(work: "_Work") -> None:
    if work.task is not None:
        work.task.cancel()


def _exit_process() -> None:
    os._exit(CRASH_EXIT_CODE)


class Target:
    """A target that listens on one address.

    Example:
      target = Target(TargetSettings(service="salio"), clock_lib.SystemClock())
      target.start()
      await target.run()

    Attributes:
      instance: Id of the current run of the process.
      port: Port on which it listens.
      record: Requests that it ran or rejected.
    """

    def __init__(
        self,
        settings: TargetSettings,
        clock: clock_lib.Clock,
        exit_process: Callable[[], None] = _exit_process,
        freeze_process: Callable[[float], None] = time.sleep,
    ):
        self.port = settings.port
        self.record = runs.RunRecord()
        self._settings = settings
        self._clock = clock
        self._exit_process = exit_process
        self._freeze_process = freeze_process
        self._times = service.ServiceTime(
            settings.mean_ms, settings.sigma, settings.seed
        )
        self._restart: asyncio.Task[None] | None = None
        self._reset_state()

    def _reset_state(self) -> None:
        """Sets the state of a process that has just started."""
        self.instance = secrets.token_hex(8)
        self._faults = service.Faults()
        self._warm_capacity = service.WarmCapacity(self._settings.capacity)
        self._draining = False
        # Epoch and expiry of each granted (group, slot).
        self._grants: dict[tuple[str, int], tuple[int, int]] = {}
        self._running: set[_Work] = set()
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._work_by_dispatch_id: dict[str, _Work] = {}
        self._cancelled_ids: collections.deque[str] = collections.deque(
            maxlen=_MAX_CANCELLED_IDS
        )
        self._server: httpserver.HTTPServer | None = None
        # Time, running and queued requests; the first entry is reported.
        self._load_samples: collections.deque[tuple[int, int, int]] = (
            collections.deque()
        )

    def start(self) -> None:
        """Starts to listen.

        Raises:
          OSError: The address cannot be bound.
        """
        sockets = netutil.bind_sockets(self.port, self._settings.host)
        self.port = sockets[0].getsockname()[1]
        server = httpserver.HTTPServer(
            self._on_request, max_body_size=_MAX_BODY_BYTES
        )
        server.add_sockets(sockets)
        self._server = server
        logger.info("target {} listens on port {}", self.instance, self.port)

    async def stop(self) -> None:
        """Stops listening, cancels all requests and closes all connections."""
        if self._restart is not None:
            self._restart.cancel()
        await self._close()

    async def run(self) -> None:
        """Announces the target and samples its load until cancelled."""
        await asyncio.gather(self._announce(), self._sample_loads())

    async def _close(self) -> None:
        for work in tuple(self._work_by_dispatch_id.values()) + tuple(
            self._running
        ):
            _cancel_work(work)
        server, self._server = self._server, None
        if server is not None:
            server.stop()
            await server.close_all_connections()

    async def _announce(self) -> None:
        if not self._settings.daemon_admin:
            return
        client = httpclient.AsyncHTTPClient()
        url = f"http://{self._settings.daemon_admin}/targets"
        while True:
            try:
                await client.fetch(
                    url,
                    method="POST",
                    body=self._announcement(),
                    request_timeout=_ANNOUNCE_TIMEOUT_S,
                    connect_timeout=_ANNOUNCE_TIMEOUT_S,
                )
            except (OSError, httpclient.HTTPError):
                pass  # The daemon may start later than the target.
            await self._clock.sleep_ms(_ANNOUNCE_INTERVAL_MS)

    def _announcement(self) -> bytes:
        return msgspec.json.encode(
            {
                "service": self._settings.service,
                "address": f"{self._settings.host}:{self.port}",
                "capacity": self._settings.capacity,
                "instance": self.instance,
                "checks_fencing": self._settings.checks_fencing,
            }
        )

    async def _sample_loads(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            self._load_samples.append(
                (now_ms, len(self._running), len(self._waiting))
            )
            cutoff_ms = now_ms - self._settings.stale_load_ms
            while (
                len(self._load_samples) > 1
                and self._load_samples[1][0] <= cutoff_ms
            ):
                self._load_samples.popleft()
            await self._clock.sleep_ms(_LOAD_SAMPLE_INTERVAL_MS)

    def _on_request(self, request: httputil.HTTPServerRequest) -> None:
        if request.path.startswith("/_target/"):
            self._reply(request, self._control(request))
            return
        work = _Work(request, self._clock.wall_ms())
        dispatch_id = work.header("Dispatch") or secrets.token_hex(8)
        self._work_by_dispatch_id[dispatch_id] = work
        work.task = asyncio.create_task(self._serve(work))

        def forget(_: asyncio.Task[None]) -> None:
            if self._work_by_dispatch_id.get(dispatch_id) is work:
                del self._work_by_dispatch_id[dispatch_id]

        work.task.add_done_callback(forget)
        connection = request.connection
        assert isinstance(connection, http1connection.HTTP1Connection)
        connection.set_close_callback(lambda: _cancel_work(work))

    async def _serve(self, work: _Work) -> None:
        instance = self.instance
        try:
            reply, outcome = await self._admit(work)
        except asyncio.CancelledError:
            # A crash replaces the instance id before it cancels the requests.
            crashed = instance != self.instance
            self._add_to_record(
                work,
                runs.RunOutcome.CRASHED
                if crashed
                else runs.RunOutcome.CANCELLED,
            )
            if not crashed:
                self._reply(work.request, _not_run("cancelled"))
            return
        self._add_to_record(work, outcome)
        self._reply(work.request, reply)

    async def _admit(self, work: _Work) -> tuple[_Reply, runs.RunOutcome]:
        rejection = self._reject(work)
        if rejection is None and self._is_queue_full():
            rejection = _not_run("the queue is full")
        if rejection is not None:
            return rejection, runs.RunOutcome.NOT_RUN
        await self._wait_for_turn()
        rejection = self._reject(work)
        if rejection is not None:
            self._wake_next()
            return rejection, runs.RunOutcome.NOT_RUN
        self._running.add(work)
        try:
            return await self._run(work)
        finally:
            self._running.discard(work)
            self._wake_next()

    def _is_queue_full(self) -> bool:
        max_length = self._settings.capacity * _QUEUE_LENGTH_PER_CAPACITY
        return len(self._waiting) >= max_length

    def _reject(self, work: _Work) -> _Reply | None:
        """Returns the reply if the request must not run now, else None."""
        if self._draining:
            return _not_run("draining")
        if work.header("Dispatch") in self._cancelled_ids:
            return _not_run("cancelled")
        if self._is_expired(work):
            return _not_run("the deadline has passed")
        if self._settings.checks_fencing:
            return self._reject_without_grant(work)
        return None

    def _is_expired(self, work: _Work) -> bool:
        deadline_ms = work.number("Deadline-Ms")
        return deadline_ms is not None and deadline_ms <= self._clock.now_ms()

    def _reject_without_grant(self, work: _Work) -> _Reply | None:
        """Returns the reply if the request's epoch of the slot is not valid."""
        slot = work.number("Slot")
        if slot is None:
            return None
        epoch, expires_ms = self._grants.get(
            (work.header("Group"), slot), (0, 0)
        )
        if expires_ms <= self._clock.now_ms():
            return _not_run("the slot is not granted")
        if work.number("Epoch") != epoch:
            return _not_run("the epoch is not the granted one")
        return None

    async def _wait_for_turn(self) -> None:
        """Waits in the queue while the target runs as much as it can."""
        if len(self._running) < self._settings.capacity and not self._waiting:
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._waiting:
                self._waiting.remove(turn)
            else:
                self._wake_next()
            raise

    def _wake_next(self) -> None:
        """Lets the first request of the queue run."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    async def _run(self, work: _Work) -> tuple[_Reply, runs.RunOutcome]:
        poisoned = _POISON_MARKER in work.request.body
        running = len(self._running)
        if poisoned or self._warm_capacity.is_overloaded(
            running, self._clock.now_ms()
        ):
            logger.warning(
                "target crashes: poisoned {}, running {}, current capacity {}",
                poisoned,
                running,
                self._warm_capacity.limit,
            )
            self._crash()
        service_ms = self._times.draw_ms() * self._faults.slow_factor
        await self._clock.sleep_ms(round(service_ms))
        if self._is_expired(work) or (
            self._settings.checks_fencing and self._reject_without_grant(work)
        ):
            reply = _not_run("the deadline or the grant expired before commit")
            return reply, runs.RunOutcome.EXPIRED
        work.committed = True
        self._warm_capacity.record_completed()
        return self._answer(work), runs.RunOutcome.COMMITTED

    def _answer(self, work: _Work) -> _Reply:
        body = {
            "echo": work.request.headers.get("X-Echo", ""),
            "path": work.request.path,
            "bytes": len(work.request.body),
            "instance": self.instance,
            "epoch": work.number("Epoch"),
        }
        headers = ((_DISPATCH_HEADER, work.header("Dispatch")),)
        return _Reply(200, msgspec.json.encode(body), headers)

    def _crash(self) -> None:
        if self._settings.restart_after_ms is None:
            self._exit_process()
            return
        interrupted = tuple(self._work_by_dispatch_id.values())
        server = self._server
        self._reset_state()
        if server is not None:
            server.stop()
        self._restart = asyncio.create_task(
            self._start_again(server, interrupted)
        )

    async def _start_again(
        self,
        server: httpserver.HTTPServer | None,
        interrupted: tuple[_Work, ...],
    ) -> None:
        for work in interrupted:
            _cancel_work(work)
        if server is not None:
            await server.close_all_connections()
        assert self._settings.restart_after_ms is not None
        await self._clock.sleep_ms(self._settings.restart_after_ms)
        self.start()

    def _add_to_record(self, work: _Work, outcome: runs.RunOutcome) -> None:
        headers = work.request.headers
        key = urllib.parse.unquote(work.header("Key"))
        self.record.add(
            runs.Run(
                number=self.record.next_number(),
                request_id=headers.get("Idempotency-Key", ""),
                dispatch_id=work.header("Dispatch"),
                key_hash=xxhash.xxh64_intdigest(key.encode()) if key else None,
                group=work.header("Group"),
                slot=work.number("Slot"),
                epoch=work.number("Epoch"),
                path=work.request.path or "",
                instance=self.instance,
                region=self._settings.region,
                zone=self._settings.zone,
                start_wall_ms=work.start_wall_ms,
                end_wall_ms=self._clock.wall_ms(),
                outcome=outcome,
            )
        )

    def _reply(
        self, request: httputil.HTTPServerRequest, reply: _Reply
    ) -> None:
        connection = request.connection
        assert connection is not None
        headers = httputil.HTTPHeaders(
            {
                "Content-Length": str(len(reply.body)),
                "X-Target-Instance": self.instance,
                "X-Target-Load": str(len(self._running)),
            }
        )
        for name, value in reply.headers:
            if value:
                headers[name] = value
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, http.HTTPStatus(reply.status).phrase
        )
        connection.write_headers(start_line, headers, reply.body)
        connection.finish()

    def _control(self, request: httputil.HTTPServerRequest) -> _Reply:
        """Answers a request of the daemon or of a test to `/_target/`."""
        try:
            return self._control_by_path(request)
        except msgspec.DecodeError as error:
            return _Reply(400, str(error).encode())

    def _control_by_path(self, request: httputil.HTTPServerRequest) -> _Reply:
        match request.method, request.path:
            case "POST", "/_target/grants":
                return self._grant(request.body)
            case "POST", "/_target/drain":
                self._draining = True
                return _Reply(200)
            case "POST", "/_target/cancel":
                return self._cancel(request.headers.get(_DISPATCH_HEADER, ""))
            case "POST", "/_target/faults":
                return self._set_faults(request.body)
            case "GET", "/_target/health":
                return _Reply(500 if self._faults.unhealthy else 200)
            case "GET", "/_target/load":
                return self._load()
            case "GET", "/_target/runs":
                return self._runs(request)
        return _Reply(404)

    def _grant(self, body: bytes) -> _Reply:
        grants = msgspec.json.decode(body, type=_Grants)
        for grant in grants.grants:
            slot = (grant.group, grant.slot)
            epoch, _ = self._grants.get(slot, (0, 0))
            if grant.epoch >= epoch:
                self._grants[slot] = (grant.epoch, grants.expires_ms)
        for grant in grants.released:
            slot = (grant.group, grant.slot)
            epoch, _ = self._grants.get(slot, (0, 0))
            # The epoch is kept, so that an older one is never accepted.
            self._grants[slot] = (max(epoch, grant.epoch), 0)
        return _Reply(200)

    def _cancel(self, dispatch_id: str) -> _Reply:
        work = self._work_by_dispatch_id.get(dispatch_id)
        if work is not None:
            _cancel_work(work)
        # The cancellation may overtake the dispatch on another connection.
        self._cancelled_ids.append(dispatch_id)
        return _Reply(200)

    def _set_faults(self, body: bytes) -> _Reply:
        self._faults = msgspec.json.decode(body, type=service.Faults)
        if self._faults.cold:
            now_ms = self._clock.now_ms()
            self._warm_capacity.reset(now_ms + self._faults.cold_grace_ms)
        if self._faults.freeze_ms:
            asyncio.get_running_loop().call_later(
                0.001, self._freeze_process, self._faults.freeze_ms / _MS_PER_S
            )
        return _Reply(200)

    def _load(self) -> _Reply:
        running, queued = 0, 0
        if self._load_samples and not self._faults.misleading_load:
            _, running, queued = self._load_samples[0]
        body = {"running": running, "queued": queued}
        return _Reply(200, msgspec.json.encode(body))

    def _runs(self, request: httputil.HTTPServerRequest) -> _Reply:
        values = request.query_arguments.get("after", [b"0"])
        after = int(values[0]) if values[0].isdigit() else 0
        page = self.record.page(after)
        return _Reply(200, msgspec.json.encode(page))
