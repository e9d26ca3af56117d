"""The platform's store, as its page describes it, as a process.

Objects live in memory. All calls that daemons make are served: listing, reading
one object, watching, creating and replacing.
"""

import argparse
import asyncio
import json
import pathlib
import sys
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2 import http

_REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict"}


class _Store:
    def __init__(self) -> None:
        self._revision = 1
        self._object_by_name: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http.read_message(reader)
                status, answer = await self._answer(request)
                body = json.dumps(answer).encode()
                reason = _REASONS.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: http.Message) -> tuple[int, dict]:
        method, target, _ = request.first.split()
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix("/objects/").partition("/")
        name = urllib.parse.unquote(name)
        if method == "POST":
            return self._create(kind, json.loads(request.body))
        if method == "PUT":
            return self._replace(kind, name, json.loads(request.body))
        if name:
            found = self._object_by_name.get((kind, name))
            return (404, {}) if found is None else (200, found)
        if "watch" in fields:
            wait_s = int(fields.get("wait_ms", "0")) / 1_000
            return await self._watch(kind, int(fields["watch"]), wait_s)
        return self._list(kind, fields.get("after", ""))

    def _put(self, kind: str, name: str, spec: object) -> dict:
        self._revision += 1
        found = {
            "metadata": {"name": name, "revision": self._revision},
            "spec": spec,
        }
        self._object_by_name[kind, name] = found
        event = {"object": found, "deleted": False}
        self._history.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()
        return found

    def _create(self, kind: str, wanted: dict) -> tuple[int, dict]:
        name = wanted["metadata"]["name"]
        known = self._object_by_name.get((kind, name))
        if known is not None:
            return 409, known
        return 201, self._put(kind, name, wanted.get("spec"))

    def _replace(self, kind: str, name: str, wanted: dict) -> tuple[int, dict]:
        known = self._object_by_name.get((kind, name))
        if known is None:
            return 404, {}
        expected = wanted["metadata"].get("revision")
        if expected and expected != known["metadata"]["revision"]:
            return 409, known
        return 200, self._put(kind, name, wanted.get("spec"))

    def _list(self, kind: str, after: str) -> tuple[int, dict]:
        names = sorted(n for k, n in self._object_by_name if k == kind)
        items = [self._object_by_name[kind, n] for n in names if n > after]
        return 200, {
            "items": items,
            "truncated": False,
            "current_rev": self._revision,
        }

    async def _watch(
        self, kind: str, after: int, wait_s: float
    ) -> tuple[int, dict]:
        try:
            async with asyncio.timeout(wait_s):
                while not self._events(kind, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return 200, {
            "events": self._events(kind, after),
            "current_rev": self._revision,
        }

    def _events(self, kind: str, after: int) -> list[dict]:
        return [
            event
            for revision, event_kind, event in self._history
            if event_kind == kind and revision > after
        ]


async def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    arguments = parser.parse_args()
    server = await asyncio.start_server(
        _Store().serve, arguments.host, arguments.port, limit=1 << 24
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main())
