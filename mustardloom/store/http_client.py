"""Client of the platform's object API over HTTP."""

import enum
from typing import TypeVar
import urllib.parse

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.store import http_pool
from mustardloom.store import raw
from mustardloom.store import read_back

__all__ = [
    "OBJECTS_PATH",
    "OPERATION_HEADER",
    "VERSION_HEADER",
    "WATCH_PATH",
    "HttpPlatformClient",
    "HttpStore",
]

OBJECTS_PATH = "/v1/objects"
WATCH_PATH = "/v1/watch"
VERSION_HEADER = "If-Match"
OPERATION_HEADER = "X-Operation-Id"

_T = TypeVar("_T")


class _Status(enum.IntEnum):
    OK = 200
    CONFLICT = 409
    TOO_LARGE = 413


class HttpStore:
    """A `RawStore` accessed over HTTP.

    Args:
      url: Base address, for example `http://127.0.0.1:7000`.

    Raises:
      ValueError: The address is not an HTTP URL.
    """

    def __init__(self, url: str):
        self._pool = http_pool.HttpPool(url)

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    async def read(self, key: str) -> objects.Snapshot:
        """See `RawStore`."""
        response = await self._fetch("GET", _object_path(key))
        return _decode(response, objects.Snapshot)

    async def list_objects(self, prefix: str) -> objects.Listing:
        """See `RawStore`."""
        query = urllib.parse.urlencode({"prefix": prefix})
        response = await self._fetch("GET", f"{OBJECTS_PATH}?{query}")
        return _decode(response, objects.Listing)

    async def write(
        self, write: objects.Write
    ) -> objects.Written | objects.Conflict:
        """See `RawStore`."""
        response = await self._fetch(
            "DELETE" if write.value is None else "PUT",
            _object_path(write.key),
            {
                VERSION_HEADER: str(write.expected),
                OPERATION_HEADER: write.operation,
            },
            write.value or b"",
        )
        match response.status:
            case _Status.CONFLICT:
                return _decode(response, objects.Conflict)
            case _Status.TOO_LARGE:
                raise raw.ValueTooLarge(write.key)
            case _:
                return _decode(response, objects.Written)

    async def watch(
        self, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """See `RawStore`."""
        query = urllib.parse.urlencode({"after": after, "wait_ms": wait_ms})
        response = await self._fetch("GET", f"{WATCH_PATH}?{query}")
        return _decode(response, objects.WatchBatch)

    async def _fetch(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> http_pool.HttpResponse:
        try:
            return await self._pool.fetch(method, path, headers, body)
        except http_pool.NoAnswer as error:
            raise objects.PlatformUnavailable(str(error)) from error


def _object_path(key: str) -> str:
    return f"{OBJECTS_PATH}/{urllib.parse.quote(key, safe='/')}"


def _decode(response: http_pool.HttpResponse, kind: type[_T]) -> _T:
    if response.status not in (_Status.OK, _Status.CONFLICT):
        raise objects.PlatformUnavailable(
            f"unexpected status {response.status}"
        )
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as error:
        raise objects.PlatformUnavailable(str(error)) from error


class HttpPlatformClient(read_back.ReadBackClient):
    """A `PlatformClient` that calls the platform over HTTP.

    Args:
      url: Base address, for example `http://127.0.0.1:7000`.
      clock: Clock that measures all time limits.
      metrics: Receives the number of calls by kind.

    Raises:
      ValueError: The address is not an HTTP URL.
    """

    def __init__(
        self, url: str, clock: clock_lib.Clock, metrics: metrics_lib.Metrics
    ):
        self._http_store = HttpStore(url)
        super().__init__(self._http_store, clock, metrics)

    def close(self) -> None:
        """Closes all connections."""
        self._http_store.close()
