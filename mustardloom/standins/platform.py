"""Stand-in for the platform's object API, served over HTTP."""

from collections.abc import Awaitable
from typing import Any

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.store import http_client
from mustardloom.store import memory
from mustardloom.store import raw

__all__ = ["PlatformServer"]

_JSON = "application/json"
# Bodies above MAX_VALUE_BYTES are read, so that the answer can be status 413.
_MAX_BODY_BYTES = 16 * raw.MAX_VALUE_BYTES
_DEFAULT_WAIT_MS = 10_000
_LONGEST_WAIT_MS = 60_000


class PlatformServer:
    """HTTP server of one object store, kept in memory.

    Attributes:
      store: The store that is served.
      port: Port on which the server listens, after `start`.
    """

    def __init__(self, clock: clock_lib.Clock):
        self.store = memory.MemoryStore(clock)
        self.port = 0
        arguments = {"store": self.store}
        application = web.Application(
            [
                (
                    rf"{http_client.OBJECTS_PATH}/(.+)",
                    _ObjectHandler,
                    arguments,
                ),
                (http_client.OBJECTS_PATH, _ListHandler, arguments),
                (http_client.WATCH_PATH, _WatchHandler, arguments),
                ("/faults", _FaultsHandler, arguments),
                ("/calls", _CallsHandler, arguments),
            ],
            log_function=_log_nothing,
        )
        self._server = httpserver.HTTPServer(
            application, max_body_size=_MAX_BODY_BYTES
        )

    def start(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Listens on `address`; port 0 chooses a free one.

        Raises:
          OSError: The address cannot be bound.
        """
        sockets = netutil.bind_sockets(port, address)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def _log_nothing(handler: web.RequestHandler) -> None:
    del handler


class _Handler(web.RequestHandler):
    """Answers with JSON.

    Closes the connection without an answer if the store is unavailable.
    """

    def initialize(self, store: memory.MemoryStore) -> None:
        self.store = store

    def log_exception(self, *details: Any) -> None:
        """Logs nothing, as the answer says what is wrong with the request."""

    async def _reply(self, call: Awaitable[Any]) -> None:
        try:
            result = await call
        except objects.PlatformUnavailable:
            self._drop_connection()
            return
        except raw.ValueTooLarge as error:
            raise web.HTTPError(413, str(error)) from error
        self._send(result)

    def _send(self, result: object) -> None:
        if isinstance(result, objects.Conflict):
            self.set_status(409)
        self.set_header("Content-Type", _JSON)
        self.finish(msgspec.json.encode(result))

    def _drop_connection(self) -> None:
        self.detach().close()

    def _integer(self, name: str, text: str) -> int:
        try:
            return int(text)
        except ValueError as error:
            raise web.HTTPError(400, f"{name} is not a whole number") from error


class _ObjectHandler(_Handler):
    async def get(self, key: str) -> None:
        await self._reply(self.store.read(key))

    async def put(self, key: str) -> None:
        await self._reply(self.store.write(self._write(key, self.request.body)))

    async def delete(self, key: str) -> None:
        await self._reply(self.store.write(self._write(key, None)))

    def _write(self, key: str, value: bytes | None) -> objects.Write:
        headers = self.request.headers
        expected = headers.get(http_client.VERSION_HEADER, "")
        operation = headers.get(http_client.OPERATION_HEADER)
        if not operation:
            raise web.HTTPError(400, "missing operation id")
        version = self._integer(http_client.VERSION_HEADER, expected)
        return objects.Write(
            key, value, ids.Version(version), ids.OperationId(operation)
        )


class _ListHandler(_Handler):
    async def get(self) -> None:
        prefix = self.get_query_argument("prefix", "", strip=False)
        await self._reply(self.store.list_objects(prefix))


class _WatchHandler(_Handler):
    async def get(self) -> None:
        after = self._argument("after", 0)
        wait_ms = self._argument("wait_ms", _DEFAULT_WAIT_MS)
        wait_ms = min(wait_ms, _LONGEST_WAIT_MS)
        await self._reply(self.store.watch(ids.Version(after), wait_ms))

    def _argument(self, name: str, default: int) -> int:
        return self._integer(name, self.get_query_argument(name, str(default)))


class _FaultsHandler(_Handler):
    def post(self) -> None:
        try:
            faults = msgspec.json.decode(self.request.body, type=memory.Faults)
        except msgspec.DecodeError as error:
            raise web.HTTPError(400, str(error)) from error
        self.store.set_faults(faults)
        self._send(faults)


class _CallsHandler(_Handler):
    def get(self) -> None:
        self._send(self.store.calls)
