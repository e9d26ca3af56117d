"""The platform's store, with the calls that the pages describe."""

import asyncio
import contextlib
import json
from typing import Any
import urllib.parse

from review.stand_ins_3 import http

__all__ = ["Store"]

_PAGE = 500


class Store:
    """A store that loses nothing and whose answers are linearizable.

    Attributes:
      port: Port on 127.0.0.1.
      is_down: Whether it answers no call (503).
      objects: Objects by kind and name.
    """

    def __init__(self) -> None:
        self.port = 0
        self.is_down = False
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._revision = 1
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Ends."""
        if self._server is not None:
            self._server.close()

    def put(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        """Writes an object, as the operator does."""
        self._revision += 1
        found = {
            "metadata": {"name": name, "revision": self._revision},
            "spec": spec,
        }
        self.objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def _note(self, kind: str, found: dict[str, Any], deleted: bool) -> None:
        self._history.append((self._revision, kind, found, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(
                http.Truncated, OSError, asyncio.CancelledError
            ),
        ):
            while True:
                request = await http.read_message(reader)
                status, answer = await self._answer(request)
                writer.write(
                    http.encode(
                        f"HTTP/1.1 {status} X",
                        [("Content-Type", "application/json")],
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()

    async def _answer(self, request: http.Message) -> tuple[int, object]:
        if self.is_down:
            return 503, {}
        method, target, _ = request.first.split(" ")
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        parts = [urllib.parse.unquote(each) for each in path.split("/")[2:]]
        kind = parts[0]
        body = json.loads(request.body) if request.body else {}
        if method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query)
        if method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self.put(kind, name, body["spec"])
        name = parts[1]
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        expected = body.get("metadata", {}).get("revision") or query.get(
            "revision"
        )
        if expected and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self._revision += 1
            del self.objects[kind, name]
            self._note(kind, known, True)
            return 200, {}
        if known["spec"] == body["spec"]:
            return 200, known
        return 200, self.put(kind, name, body["spec"])

    def _list(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        items = [
            found
            for (each, name), found in sorted(self.objects.items())
            if each == kind and name > query.get("after", "")
        ]
        return 200, {
            "items": items[:_PAGE],
            "truncated": len(items) > _PAGE,
            "current_rev": self._revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, object]:
        after = int(query["watch"])
        loop = asyncio.get_running_loop()
        ends = loop.time() + int(query.get("wait_ms", "0")) / 1_000
        while True:
            found = [
                {"object": each, "deleted": deleted}
                for revision, changed, each, deleted in self._history
                if revision > after and changed == kind
            ]
            left = ends - loop.time()
            if found or left <= 0 or self.is_down:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return 200, {"events": found, "current_rev": self._revision}
