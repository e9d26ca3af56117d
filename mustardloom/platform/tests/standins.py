"""Stand-ins of the users' store and targets, for tests."""

import asyncio
import dataclasses
import urllib.parse

import msgspec

from mustardloom import clock as clocks
from mustardloom.http1 import client
from mustardloom.http1 import messages
from mustardloom.http1 import server

_FIRST_REVISION = 1


def configuration(version, timeout="1200ms"):
    """Returns a configuration with a keyed and a plain service."""

    def rule(name, kind, service, homes):
        return {
            "name": name,
            "kind": kind,
            "target_latency": "300ms",
            "priority": 1,
            "match": {"path_prefix": f"/{name}/"},
            "action": {
                "service": service,
                "timeout": timeout,
                "max_attempts": 2,
                "allowed_regions": homes,
            },
        }

    return msgspec.json.encode(
        {
            "version": version,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 100_000,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
            "listeners": [
                {
                    "host": "a.example",
                    "rules": [
                        rule("keyed", "safe", "keyed", []),
                        rule("plain", "unsafe", "plain", ["ra"]),
                    ],
                }
            ],
            "clusters": [
                {"name": "keyed", "sharded": True, "cold_per_s": 24.0},
                {"name": "plain"},
            ],
        }
    )


class Store:
    """The metadata store, as far as daemons use it.

    Attributes:
      status: Answer to every call, None for proper ones.
    """

    def __init__(self, page=500, status=None):
        self.status = status
        self.revision = _FIRST_REVISION
        self.by_path = {}
        self._page = page
        self._history = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._server = server.HttpServer(self._handle, clocks.SystemClock())

    def listen(self):
        return self._server.listen("127.0.0.1", 0)

    def close(self):
        self._server.finish()

    def put(self, kind, name, spec):
        """Writes an object as the operator does."""
        self.revision += 1
        made = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": msgspec.Raw(spec),
        }
        self.by_path[kind, name] = made
        self._note(kind, made, False)
        return made

    def delete(self, kind, name):
        self.revision += 1
        made = self.by_path.pop((kind, name))
        self._note(kind, made, True)

    def forget_history(self):
        self._oldest = self.revision

    def _note(self, kind, made, deleted):
        event = {"object": made, "deleted": deleted}
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        if self.status is not None:
            return messages.Response(self.status)
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if request.method == "POST":
            wanted = msgspec.json.decode(request.body)
            return self._create(kind, wanted["metadata"]["name"], request.body)
        if request.method == "PUT":
            return self._replace(kind, name, request.body)
        if name:
            return self._one(kind, name)
        if "watch" in fields:
            return await self._watch(kind, fields)
        return self._list(kind, fields.get("after", ""))

    def _create(self, kind, name, body):
        if (kind, name) in self.by_path:
            return _json(409, self.by_path[kind, name])
        return _json(201, self.put(kind, name, _spec(body)))

    def _replace(self, kind, name, body):
        found = self.by_path.get((kind, name))
        if found is None:
            return messages.Response(404)
        wanted = msgspec.json.decode(body)["metadata"].get("revision")
        if wanted is not None and wanted != found["metadata"]["revision"]:
            return _json(409, found)
        return _json(200, self.put(kind, name, _spec(body)))

    def _one(self, kind, name):
        found = self.by_path.get((kind, name))
        return messages.Response(404) if found is None else _json(200, found)

    def _list(self, kind, after):
        names = sorted(n for k, n in self.by_path if k == kind and n > after)
        shown = names[: self._page]
        answer = {
            "items": [self.by_path[kind, name] for name in shown],
            "truncated": len(names) > len(shown),
            "current_rev": self.revision,
        }
        return _json(200, answer)

    async def _watch(self, kind, fields):
        after = int(fields["watch"])
        if after < self._oldest:
            return messages.Response(410)
        if not self._events(kind, after):
            limit_s = int(fields["wait_ms"]) / 1_000
            try:
                async with asyncio.timeout(limit_s):
                    while not self._events(kind, after):
                        await self._changed.wait()
            except TimeoutError:
                pass
        answer = {
            "events": self._events(kind, after),
            "current_rev": self.revision,
        }
        return _json(200, answer)

    def _events(self, kind, after):
        return [
            event
            for revision, of, event in self._history
            if of == kind and revision > after
        ]


def _spec(body):
    class _Object(msgspec.Struct):
        spec: msgspec.Raw

    return bytes(msgspec.json.decode(body, type=_Object).spec)


def _json(status, answer):
    kind = (b"Content-Type", b"application/json")
    return messages.Response(status, (kind,), msgspec.json.encode(answer))


@dataclasses.dataclass
class Run:
    """One request that a target ran."""

    request_id: str
    key: int | None
    path: str


class Target:
    """A target that beats, holds keys and runs requests.

    Attributes:
      runs: What it ran.
      is_failing: Whether it breaks off every answer.
    """

    def __init__(self, name, service, zone, control, is_keyed):
        self.name = name
        self.runs = []
        self.is_failing = False
        self.state = "ready"
        self.held = []
        self._service = service
        self._zone = zone
        self._control = control
        self._is_keyed = is_keyed
        self._born = clocks.SystemClock().wall_ms()
        self._sequence = 0
        self._freed = []
        self._server = server.HttpServer(self._handle, clocks.SystemClock())
        self._port = 0

    def listen(self, port):
        self._port = self._server.listen("127.0.0.1", port)

    def close(self):
        self._server.finish()

    async def beat(self):
        """Sends one heartbeat and adopts what its answer grants."""
        self._sequence += 1
        body = {
            "service": self._service,
            "address": f"127.0.0.1:{self._port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_left": "0ms",
            "sequence": self._sequence,
            "born": self._born,
            "holds": [row[:3] for row in self.held],
            "freed": self._freed,
        }
        answer = await self._call("instances.heartbeat", body)
        granted = answer.get("holds")
        if granted is not None:
            self._freed = [
                [row[0], row[1], f"token-{row[0]}"]
                for row in self.held
                if not any(g[0] <= row[0] and row[1] <= g[1] for g in granted)
            ]
            self.held = granted

    async def _call(self, call, body):
        connection = await client.connect(self._control, 1_000)
        request = messages.Request(
            "POST",
            f"/rpc?call={call}&of={self.name}",
            ((b"Host", b"control"),),
            msgspec.json.encode(body),
        )
        try:
            data = messages.encode_request(request)
            response = await connection.exchange(data)
        finally:
            connection.close()
        assert response.status == 200, response
        return msgspec.json.decode(response.body)

    async def _handle(self, request):
        value = messages.find(request.headers, b"x-shard-key")
        key = None if value is None else int(value)
        request_id = messages.find(request.headers, b"x-request-id").decode()
        if self._is_keyed and not any(
            row[0] <= key <= row[1] for row in self.held
        ):
            not_run = (b"X-Not-Executed", b"1")
            return messages.Response(421, (not_run,))
        self.runs.append(Run(request_id, key, request.target))
        signature = (b"X-Response-Signature", self.name.encode())
        echo = (b"X-Request-Id", request_id.encode())
        if self.is_failing:
            return messages.Response(500, (signature, echo))
        return messages.Response(
            200, (signature, echo), b"by " + self.name.encode()
        )
