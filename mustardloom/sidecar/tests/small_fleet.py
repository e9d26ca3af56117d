"""A small fleet on loopback: what of daemons moves requests, and raw targets.

Bodies and requests pass from the caller's daemon to the one beside the target.
The decisions around them are fakes. A target is a raw server, so that it can
answer early, break off or stand still.
"""

import asyncio
import contextlib
import os

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import configuration
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.http1 import bodies
from mustardloom.http1 import client
from mustardloom.http1 import server
from mustardloom.load_control import quarantine
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import ingress as ingress_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import request_ends
from mustardloom.sidecar import router as router_lib
from mustardloom.sidecar import target_connections
from mustardloom.sidecar import transfers as transfers_lib

HOST = "127.0.0.1"
MIB = 1 << 20
SERVICE = ids.ServiceId("s")
BODY = os.urandom(3 * MIB)
LIMITS = server.ServerLimits(max_body_bytes=64 * MIB)
CAPACITY = 24 * bodies.STREAM_BYTES


class Choice:
    """Offers the VMs that a test names, in order."""

    def __init__(self, vms):
        self.vms = vms

    def max_gates(self, service, regions):
        return len(self.vms)

    async def choose(self, service, regions, tried):
        return next((vm for vm in self.vms if vm not in tried), None)


class Daemon:
    """What of a daemon moves requests; the decisions around it are fakes.

    Attributes:
      configuration: The configuration in force; None for one route to the
        service.
      frames: The requests of other daemons, as they were sent.
    """

    def __init__(self, name, target_port, choices):
        self.clock = clock_lib.SystemClock()
        self.budget = memory_budget.MemoryBudget(CAPACITY, self.clock)
        passage = client.Passage(self.budget, bodies.Turns())
        self.metrics = metrics = metrics_lib.Metrics()
        self.configuration = None
        self.frames = []
        self.vm = ids.VmId(name)
        self.stop = stop_admission.StopAdmission(self.clock)
        self._log_file = os.memfd_create(name)
        log = events.EventLog(name, self.clock, metrics, self._log_file)
        self.record = stored.DaemonRecord(
            self.vm,
            HOST,
            0,
            ids.AvailabilityZoneId("z"),
            ids.RegionId("r"),
            SERVICE,
        )
        self.links = links_lib.Links(
            self.record, self.clock, self._on_frame, self.budget
        )
        self.transfers = transfers_lib.Transfers(passage, self.clock)
        self.links.on_transfer = self.transfers.server.adopt
        self.fleet = fleet_lib.Fleet(self.record, self.links, self.clock)
        self.gate = gate_lib.Gate(
            SERVICE,
            target_connections.TargetConnections(
                (HOST, target_port), self.clock, metrics, passage
            ),
            quarantine.Quarantine(self.clock, lambda *_: None, 3),
            self.clock,
            log,
            metrics,
            self,
            1.5,
            self.stop,
        )
        self.set_capacity(64)
        self.forwarder = forwarder_lib.Forwarder(
            self.fleet,
            self.links,
            self.gate,
            self.clock,
            self.transfers,
            self.budget,
            self.stop,
        )
        self.kind = configuration.RequestKind.AT_MOST_ONCE
        self.choice = Choice(choices)
        router = router_lib.Router(
            self.fleet,
            self.choice,
            self.forwarder,
            lambda _: None,
            settings.Bounds(),
            self.clock,
            log,
            metrics,
        )
        self.ingress = ingress_lib.Ingress(
            router,
            SERVICE,
            self._configuration,
            self.clock,
            log,
            metrics,
            request_ends.RequestEnds(metrics, self.stop),
        )
        self.http = server.HttpServer(
            self.ingress.handle,
            self.clock,
            lambda: LIMITS,
            budget=self.budget,
            turns=passage.turns,
        )
        self.http.on_malformed = self.ingress.answer_malformed
        self.peer_port = self.links.listen(HOST, 0)
        self.port = self.http.listen(HOST, 0)
        self.checks = asyncio.ensure_future(self.http.close_idle_connections())

    def set_capacity(self, capacity):
        """Sets how many requests the target runs at once."""
        self.gate.on_heartbeat(
            targets.TargetInstance(targets.TargetId("t"), 1), capacity
        )

    def _configuration(self):
        return self.configuration or self

    service_by_name: dict[ids.ServiceId, configuration.Service] = {}
    has_organisations = False

    def route_for(self, host, target):
        return configuration.Route(
            name=ids.RouteId("r"),
            host="a",
            prefix="/",
            shares=(configuration.Share(SERVICE, 1),),
            kind=self.kind,
            timeout_ms=8_000,
            objective_ms=8_000,
            max_attempts=3,
            priority=0,
            home_regions=frozenset(),
        )

    def check(self, key):
        raise NotImplementedError

    def count_request(self, key):
        raise NotImplementedError

    def _on_frame(self, vm, frame):
        if isinstance(frame, frames.Forward):
            self.frames.append(frames.encode(frame))
            return self.forwarder.receive(vm, frame)
        if isinstance(frame, frames.Overdue):
            self.forwarder.on_overdue(vm, frame)
        return None

    def log(self):
        """Returns all lines of the log."""
        size = os.fstat(self._log_file).st_size
        return os.pread(self._log_file, size, 0)

    def close(self):
        self.links.close()
        self.http.stop_reading()
        os.close(self._log_file)


class Target:
    """A raw server that reads requests whole, unless `serve` is replaced.

    Attributes:
      whole: Sizes of the bodies that it got whole.
      broken: Number of bodies that broke off.
      answer: Body of its answers.
    """

    def __init__(self, serve=None):
        self.whole = []
        self.broken = 0
        self.answer = b"ok"
        self._serve = serve or self._answer
        self.listening = None

    async def start(self):
        self.listening = await asyncio.start_server(self._run, HOST, 0)
        return self.listening.sockets[0].getsockname()[1]

    async def _run(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                await self._serve(head, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, reader, writer):
        size = int(value(head, b"content-length") or 0)
        try:
            body = await reader.readexactly(size)
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1
            raise
        assert body == BODY[:size]
        self.whole.append(size)
        writer.write(response(head, b"200 OK", self.answer))
        await writer.drain()


def value(head, name):
    """Returns the value of a header, None if missing; all in lower case."""
    _, found, rest = head.partition(b"\r\n" + name + b": ")
    return rest.partition(b"\r\n")[0] if found else None


def response(head, status, body, more=b""):
    """Returns a signed response to the request with this head."""
    return b"\r\n".join(
        (
            b"HTTP/1.1 " + status,
            b"X-Request-Id: " + value(head, b"x-request-id"),
            b"X-Response-Signature: s",
            b"Content-Length: %d" % len(body),
            *((more,) if more else ()),
            b"",
            body,
        )
    )


def request(size, method=b"POST", request_id=b"r"):
    """Returns the head of a request whose body has this size."""
    return b"\r\n".join(
        (
            method + b" /x HTTP/1.1",
            b"Host: a",
            b"X-Request-Id: " + request_id,
            b"X-Deadline-Ms: 8000",
            b"Content-Length: %d" % size,
            b"",
            b"",
        )
    )


@contextlib.asynccontextmanager
async def started(serves, choices):
    """Starts the daemons a, b, ... and yields them with their targets."""
    found = [Target(serve) for serve in serves]
    ports = [await target.start() for target in found]
    names = [chr(ord("a") + index) for index in range(len(ports))]
    daemons = [
        Daemon(name, port, choices)
        for name, port in zip(names, ports, strict=True)
    ]
    records = [
        msgspec.structs.replace(each.record, port=each.peer_port)
        for each in daemons
    ]
    for each in daemons:
        each.fleet.set_listed(records)
    others = {each.vm for each in daemons}
    while not all(
        each.links.is_up(vm) for each in daemons for vm in others - {each.vm}
    ):
        await asyncio.sleep(0.01)
    try:
        yield daemons, found
    finally:
        for each in daemons:
            each.close()
        for target in found:
            target.listening.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def play(scenario, serves=(None, None), choices=("b",)):
    """Runs a scenario with a fleet that has one daemon for each of `serves`.

    Args:
      scenario: Called with the daemons and their targets.
      serves: Functions of the targets, None for `Target.answer`.
      choices: Names of the VMs that requests are offered to, in order.
    """

    async def run():
        async with started(serves, choices) as (daemons, found):
            async with asyncio.timeout(20):
                return await scenario(daemons, found)

    return asyncio.run(run())


async def send(daemon, head, body=b""):
    """Returns status, head and body of an answer; no body if it broke off."""
    reader, writer = await asyncio.open_connection(HOST, daemon.port)
    try:
        writer.write(head + body)
        answer = await reader.readuntil(b"\r\n\r\n")
        size = int(value(answer.lower(), b"content-length"))
        try:
            found = await reader.readexactly(size)
        except (OSError, asyncio.IncompleteReadError):
            found = None
        return int(answer.split(b" ")[1]), answer, found
    finally:
        writer.close()


def peaks(daemons):
    """Returns the most bytes that each daemon has held."""
    return [each.budget.peak_bytes for each in daemons]


async def all_released(daemons):
    """Returns once no daemon holds any bytes."""
    while any(each.budget.held_bytes for each in daemons):
        await asyncio.sleep(0.01)
