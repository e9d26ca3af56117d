"""Stand-ins for the platform's store and targets, for tests and the soak."""

import asyncio
import collections
import dataclasses
import urllib.parse

import msgspec

from mustardloom import clock as clock_lib
from mustardloom.http1 import client
from mustardloom.http1 import messages
from mustardloom.http1 import server

_FIRST_REVISION = 1
_KEYS = 65_536


def configuration(version, timeout="1200ms", moving=""):
    """Returns a configuration with a keyed and an unkeyed service.

    Args:
      version: Version of the configuration.
      timeout: Time-out of each route.
      moving: Service of an additional route "moving"; empty for no such route.
    """

    def rule(name, kind, service, regions):
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
                "allowed_regions": regions,
            },
        }

    rules = [
        rule("keyed", "safe", "keyed", []),
        rule("plain", "unsafe", "plain", ["ra"]),
    ]
    clusters = [
        {"name": "keyed", "sharded": True, "cold_per_s": 24.0},
        {"name": "plain"},
    ]
    if moving:
        rules.append(rule("moving", "unsafe", moving, []))
        clusters.append({"name": "other"})
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
                    "rules": rules,
                }
            ],
            "clusters": clusters,
        }
    )


class Store:
    """The platform's store, with the calls that daemons use.

    Attributes:
      status: Status with which every call fails; None if calls work.
      refuses_writes: Whether writing calls get status 503.
      revision: Store-wide revision of the last change.
      era: Number of restores from a copy, counted from 1.
      by_path: Objects by kind and name.
    """

    def __init__(self, page=500, status=None):
        self.status = status
        self.refuses_writes = False
        self.revision = _FIRST_REVISION
        self.era = 1
        self.by_path = {}
        self._page = page
        self._history = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._server = server.HttpServer(self._handle, clock_lib.SystemClock())

    def listen(self):
        return self._server.listen("127.0.0.1", 0)

    def close(self):
        self._server.stop_reading()

    def put(self, kind, name, spec):
        """Writes an object without checking its revision."""
        self.revision += 1
        stored_object = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": msgspec.Raw(spec),
        }
        self.by_path[kind, name] = stored_object
        self._note(kind, stored_object, False)
        return stored_object

    def delete(self, kind, name):
        self.revision += 1
        stored_object = self.by_path.pop((kind, name))
        self._note(kind, stored_object, True)

    def forget_history(self):
        self._oldest = self.revision

    def copy(self):
        """Returns a copy of all objects, for `restore`."""
        return self.revision, dict(self.by_path)

    def restore(self, copied):
        """Returns to a copy; its revisions are given out again."""
        self.era += 1
        self.revision, by_path = copied
        self.by_path = dict(by_path)
        self._history = []
        self._oldest = self.revision
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _note(self, kind, stored_object, deleted):
        event = {"object": stored_object, "deleted": deleted}
        self._history.append((self.revision, kind, event))
        self._wake_watches()

    async def _handle(self, request):
        response = await self._answer(request)
        era = (b"Store-Era", b"%d" % self.era)
        return dataclasses.replace(response, headers=(*response.headers, era))

    async def _answer(self, request):
        if self.status is not None:
            return messages.Response(self.status)
        if self.refuses_writes and request.method != "GET":
            return messages.Response(503)
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if request.method == "POST":
            wanted = msgspec.json.decode(request.body)
            return self._create(kind, wanted["metadata"]["name"], request.body)
        if request.method == "PUT":
            return self._replace(kind, name, request.body)
        if request.method == "DELETE":
            return self._delete(kind, name, fields.get("revision"))
        if name:
            return self._get(kind, name)
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
        expected = msgspec.json.decode(body)["metadata"].get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            return _json(409, found)
        return _json(200, self.put(kind, name, _spec(body)))

    def _delete(self, kind, name, expected):
        found = self.by_path.get((kind, name))
        if found is None:
            return messages.Response(404)
        if expected not in (None, str(found["metadata"]["revision"])):
            return _json(409, found)
        self.delete(kind, name)
        return _json(200, found)

    def _get(self, kind, name):
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
        era = self.era
        if after < self._oldest or after > self.revision:
            return messages.Response(410)
        if not self._events(kind, after):
            limit_s = int(fields["wait_ms"]) / 1_000
            try:
                async with asyncio.timeout(limit_s):
                    while era == self.era and not self._events(kind, after):
                        await self._changed.wait()
            except TimeoutError:
                pass
        if era != self.era:
            return messages.Response(410)
        answer = {
            "events": self._events(kind, after),
            "current_rev": self.revision,
        }
        return _json(200, answer)

    def _events(self, kind, after):
        return [
            event
            for revision, event_kind, event in self._history
            if event_kind == kind and revision > after
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
    """One request that a target has begun to run."""

    request_id: str
    key: int | None
    path: str


class Target:
    """A target that sends heartbeats, holds keys and runs requests.

    Attributes:
      runs: The requests that it began to run.
      is_failing: Whether it answers the requests that it runs with status 500.
      state: State that its heartbeats report.
      held: Rows of first key, last key, fence, handover token.
      statement: Headers in which it states a rate limit or that it leaves;
        part of each of its responses.
    """

    def __init__(
        self,
        name,
        service,
        zone,
        control,
        is_keyed,
        slots=4,
        work_ms=0,
        long_work_ms=0,
        note=lambda event, **fields: None,
    ):
        """Creates a target.

        Args:
          name: Its id.
          service: Service that it belongs to.
          zone: Its availability zone.
          control: Address to which it sends its heartbeats.
          is_keyed: Whether it runs only requests for keys that it holds.
          slots: Requests that it runs at once.
          work_ms: Service time of a request.
          long_work_ms: Service time of each tenth request; 0 for `work_ms`.
          note: Called with the name of an event and its fields.
        """
        self.name = name
        self.runs = []
        self.is_failing = False
        self.state = "ready"
        self.held = []
        self.statement: tuple[messages.Header, ...] = ()
        self._service = service
        self._zone = zone
        self._control = control
        self._is_keyed = is_keyed
        self._slots = slots
        self._work_ms = work_ms
        self._long_work_ms = long_work_ms
        self._note = note
        self._clock = clock_lib.SystemClock()
        self._born = self._clock.wall_ms()
        self._sequence = 0
        self._until_ms = 0
        self._releasing = []
        self._freed = []
        self._highest_fence = [0] * _KEYS
        self._running_keys = collections.Counter()
        self._running = 0
        self._server = server.HttpServer(self._handle, self._clock)
        self._address = ""

    def listen(self, port, host="127.0.0.1", announced=0):
        """Listens on `port` and reports it, or `announced` if not 0."""
        found = self._server.listen(host, port)
        self._address = f"{host}:{announced or found}"

    def close(self):
        self._server.stop_reading()

    async def deregister(self):
        """Tells the daemon that this target leaves, though it serves on."""
        await self._call("instances.deregister", {})

    async def send_heartbeat(self):
        """Sends one heartbeat and applies the grant in the answer."""
        self._sequence += 1
        sent_ms = self._clock.now_ms()
        self._release_idle_keys()
        freed = list(self._freed)
        body = {
            "service": self._service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold_left": "0ms",
            "sequence": self._sequence,
            "born": self._born,
            "holds": [row[:3] for row in (*self.held, *self._releasing)],
            "freed": freed,
        }
        answer = await self._call("instances.heartbeat", body)
        self._freed = self._freed[len(freed) :]
        if "holds" in answer:
            hold_ms = int(answer["hold_time"].removesuffix("ms"))
            self._apply_grant(answer["holds"], sent_ms + hold_ms)

    @property
    def is_releasing(self):
        """Whether a release of keys is in progress or not reported yet."""
        return bool(self._freed or self._releasing)

    def _apply_grant(self, granted, until_ms):
        accepted = [
            row
            for row in granted
            if row[2] >= max(self._highest_fence[row[0] : row[1] + 1])
        ]
        for row in self.held:
            self._releasing.extend(_no_longer_granted(row, accepted))
        for first, last, fence, _ in accepted:
            self._highest_fence[first : last + 1] = [fence] * (last - first + 1)
        self.held = accepted
        self._until_ms = until_ms
        rows = [row[:3] for row in accepted]
        self._note("hold", rows=rows, until_ms=until_ms)
        self._release_idle_keys()

    def _release_idle_keys(self):
        if self._clock.now_ms() > self._until_ms:
            # The grant has expired: another target may hold these keys already,
            # so they are not handed over.
            self.held = []
            self._releasing = []
        busy = [row for row in self._releasing if self._is_running_in(row)]
        for row in self._releasing:
            if row not in busy:
                self._freed.append(
                    [row[0], row[1], f"token-{self.name}-{row[0]}"]
                )
        self._releasing = busy

    def _is_running_in(self, row):
        return any(row[0] <= key <= row[1] for key in self._running_keys)

    def _holds(self, key):
        if self._clock.now_ms() > self._until_ms:
            return False
        return any(row[0] <= key <= row[1] for row in self.held)

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
        if response.status != 200:
            raise client.ClosedEarly
        return msgspec.json.decode(response.body or b"{}")

    async def _handle(self, request):
        response = await self._answer(request)
        return dataclasses.replace(
            response, headers=(*response.headers, *self.statement)
        )

    async def _answer(self, request):
        value = messages.find_header(request.headers, b"x-shard-key")
        key = None if value is None else int(value)
        not_executed = (b"X-Not-Executed", b"1")
        expected = messages.find_header(request.headers, b"x-expected-instance")
        is_other = expected not in (None, self.name.encode())
        if is_other or (self._is_keyed and not self._holds(key)):
            return messages.Response(421, (not_executed,))
        if self._running >= self._slots:
            return messages.Response(503, (not_executed,))
        return await self._run(request, key)

    async def _run(self, request, key):
        request_id = messages.find_header(
            request.headers, b"x-request-id"
        ).decode()
        self.runs.append(Run(request_id, key, request.target))
        caller = (
            messages.find_header(request.headers, b"x-caller-service") or b""
        )
        deadline = messages.find_header(request.headers, b"x-deadline-ms")
        self._note(
            "begin",
            request_id=request_id,
            key=key,
            method=request.method,
            path=request.target,
            body=request.body.decode("latin1"),
            caller=caller.decode(),
            deadline_ms=None if deadline is None else int(deadline),
        )
        self._running += 1
        self._running_keys[key] += 1
        try:
            work_ms = self._work_ms
            if self._long_work_ms and len(self.runs) % 10 == 0:
                work_ms = self._long_work_ms
            if work_ms:
                await self._clock.sleep_ms(work_ms)
        finally:
            self._running -= 1
            self._running_keys[key] -= 1
            self._running_keys += collections.Counter()
            self._note("end", request_id=request_id)
        body = f"{request_id} by {self.name}".encode()
        if not self._work_ms:
            # Tests without a service time compare the body with the name only.
            body = b"by " + self.name.encode()
        signature = (b"X-Response-Signature", self.name.encode())
        echo = (b"X-Request-Id", request_id.encode())
        if self.is_failing:
            return messages.Response(500, (signature, echo))
        return messages.Response(200, (signature, echo), body)


def _no_longer_granted(row, granted):
    """Yields the parts of a row that are no longer granted."""
    first, last, fence, _ = row
    for low, high, *_ in sorted(granted):
        if high < first or low > last:
            continue
        if low > first:
            yield [first, low - 1, fence, ""]
        first = high + 1
    if first <= last:
        yield [first, last, fence, ""]


def encode_request(request_id, path, body, key, deadline_ms):
    """Returns a caller's request, with a forged X-Caller-Service header."""
    headers = [
        (b"Host", b"a.example"),
        (b"X-Request-Id", request_id.encode()),
        (b"X-Deadline-Ms", b"%d" % deadline_ms),
        (b"X-Caller-Service", b"forged"),
    ]
    if key is not None:
        headers.append((b"X-Shard-Key", b"%d" % key))
    method = "POST" if body else "GET"
    request = messages.Request(method, path, tuple(headers), body)
    return messages.encode_request(request)


def signer(response):
    """Returns the name of the target that signed a response, "" if none."""
    value = messages.find_header(response.headers, b"x-response-signature")
    return (value or b"").decode()
