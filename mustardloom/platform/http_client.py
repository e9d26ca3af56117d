"""Client of the platform's object API over HTTP."""

import enum
from typing import TypeVar
import urllib.parse

import msgspec
from tornado import httpclient

from mustardloom import clock as clocks
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.platform import objects
from mustardloom.platform import raw
from mustardloom.platform import read_back

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

_MAX_CONNECTIONS = 32
# Longer than every limit that the caller sets on the project's clock.
_CONNECTION_LIMIT_S = 120.0

_T = TypeVar("_T")


class _Status(enum.IntEnum):
    OK = 200
    CONFLICT = 409
    TOO_LARGE = 413


class HttpStore:
    """A `RawStore` that is reached over HTTP."""

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CONNECTIONS
        )

    def close(self) -> None:
        """Closes all connections."""
        self._http.close()

    async def read(self, key: str) -> objects.Snapshot:
        """See `RawStore`."""
        answer = await self._fetch(_object_path(key))
        return _decode(answer, objects.Snapshot)

    async def list_objects(self, prefix: str) -> objects.Listing:
        """See `RawStore`."""
        query = urllib.parse.urlencode({"prefix": prefix})
        answer = await self._fetch(f"{OBJECTS_PATH}?{query}")
        return _decode(answer, objects.Listing)

    async def write(
        self, write: objects.Write
    ) -> objects.Written | objects.Conflict:
        """See `RawStore`."""
        answer = await self._fetch(
            _object_path(write.key),
            method="DELETE" if write.value is None else "PUT",
            headers={
                VERSION_HEADER: str(write.expected),
                OPERATION_HEADER: write.operation,
            },
            body=write.value,
        )
        match answer.code:
            case _Status.CONFLICT:
                return _decode(answer, objects.Conflict)
            case _Status.TOO_LARGE:
                raise raw.ValueTooLarge(write.key)
            case _:
                return _decode(answer, objects.Written)

    async def watch(
        self, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """See `RawStore`."""
        query = urllib.parse.urlencode({"after": after, "wait_ms": wait_ms})
        answer = await self._fetch(f"{WATCH_PATH}?{query}")
        return _decode(answer, objects.WatchBatch)

    async def _fetch(
        self,
        path: str,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> httpclient.HTTPResponse:
        request = httpclient.HTTPRequest(
            f"{self._url}{path}",
            method=method,
            headers=headers,
            body=body,
            connect_timeout=_CONNECTION_LIMIT_S,
            request_timeout=_CONNECTION_LIMIT_S,
        )
        try:
            return await self._http.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise objects.PlatformUnavailable(str(error)) from error


def _object_path(key: str) -> str:
    return f"{OBJECTS_PATH}/{urllib.parse.quote(key, safe='/')}"


def _decode(answer: httpclient.HTTPResponse, kind: type[_T]) -> _T:
    if answer.code not in (_Status.OK, _Status.CONFLICT):
        raise objects.PlatformUnavailable(f"status {answer.code}")
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as error:
        raise objects.PlatformUnavailable(str(error)) from error


class HttpPlatformClient(read_back.ReadBackClient):
    """A `PlatformClient` that speaks HTTP to the platform.

    Args:
      url: Base address, for example `http://127.0.0.1:7000`.
      clock: Clock that measures all limits.
      metrics: Receives the number of calls by kind.
    """

    def __init__(
        self, url: str, clock: clocks.Clock, metrics: metrics_lib.Metrics
    ):
        self._http_store = HttpStore(url)
        super().__init__(self._http_store, clock, metrics)

    def close(self) -> None:
        """Closes all connections."""
        self._http_store.close()
