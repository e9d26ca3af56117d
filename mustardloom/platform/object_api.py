"""Client of the platform's store."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import TypeVar
import urllib.parse

import msgspec

from mustardloom import decoding
from mustardloom import descriptor_budget
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.http1 import client
from mustardloom.http1 import messages
from mustardloom.platform import configuration
from mustardloom.platform import object_pages

__all__ = ["ObjectApi"]

_MS_PER_S = 1_000
_CONNECT_TIMEOUT_MS = 1_000
_CALL_TIMEOUT_MS = 1_500
# A connection counts as silent if the answer to a read is this late.
_SILENT_AFTER_MS = 500
_MAX_IDLE_CONNECTIONS = 2
_OK_STATUSES = (200, 201)
_NOT_FOUND = 404
_CONFLICT = 409
_DELETED_STATUSES = (200, 202, 204, _NOT_FOUND)
_GONE = 410
_JSON_HEADER = (b"Content-Type", b"application/json")
# Rises each time the store comes back from an older copy of its data.
_ERA_HEADER = b"store-era"
# Versions keep the era in what the revision leaves of 63 bits.
_MAX_ERA = (1 << 23) - 1
_Value = TypeVar("_Value")

# Wire names of the kinds that belong to the platform; the kinds of this project
# are stored under their own names.
_WIRE_KIND_BY_KIND = {
    stored.Kind.CONFIGURATION: "config",
    stored.Kind.EVACUATION: "evacuations",
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store, and the era in which it was given."""

    response: messages.Response
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A request to the store.

    Attributes:
      wait_ms: How long a watch waits for a change, 0 for other calls.
    """

    method: str
    path: str
    body: bytes
    wait_ms: int

    def __str__(self) -> str:
        return f"{self.method} {self.path}"


class _NoAnswer(objects.PlatformUnavailable):
    """No answer came in time; the connection may be silent."""


class ObjectApi:
    """Client of the store's HTTP interface; keys are those of `stored.key`.

    Every method raises `objects.PlatformUnavailable` if the store does not
    answer in time, or not with a valid response. A write that raised it may
    have taken effect, or may do so later if its condition still holds.

    Attributes:
      calls: HTTP requests attempted so far.
      era: Number of times that the store came back from an older copy, as its
        answers tell; 0 before the first answer.
      on_unreadable: Called with the kind and the number of objects in an
        answer that were left out, as the store's words of them are not valid.
      share: Descriptors for its connections.
    """

    def __init__(self, address: settings.Address):
        self.calls = 0
        self.era = 0
        self.on_unreadable: Callable[[stored.Kind, int], None] = lambda *_: None
        self.share = descriptor_budget.unlimited()
        self._address = address
        self._idle: list[client.Connection] = []
        # Connections on which a watch waits for a change.
        self._watching: set[client.Connection] = set()

    async def get(self, key: str) -> objects.Versioned | None:
        """Returns an object, or None if there is none with this key."""
        answer = await self._call("GET", _object_path(key))
        if answer.response.status == _NOT_FOUND:
            return None
        found = self._decode(answer, object_pages.decode_object)
        return _to_versioned(stored.kind_of(key), found, answer.era)

    async def list_objects(self, kind: stored.Kind) -> objects.Listing:
        """Returns all objects of a kind, with one call for each page.

        The version is that of the first page, as objects on it may have changed
        since. Begins again if the store was restored between two pages.
        """
        found: list[objects.Versioned] = []
        query: dict[str, str] = {}
        version: ids.Version | None = None
        while True:
            answer = await self._call("GET", _path(kind, query))
            page = self._decode(answer, object_pages.decode_page)
            if version is None:
                version = stored.version_of(answer.era, page.current_rev)
            if stored.era_of(version) != answer.era:
                found, query, version = [], {}, None
                continue
            self._report_unreadable(kind, page.unreadable)
            found.extend(
                _to_versioned(kind, item, answer.era) for item in page.items
            )
            if page.truncated and page.unreadable and not page.items:
                raise objects.PlatformUnavailable("no name to continue after")
            if not page.truncated or not page.items:
                return objects.Listing(tuple(found), version)
            query = {"after": page.items[-1].metadata.name}

    async def watch(
        self, kind: stored.Kind, after: ids.Version, wait_ms: int
    ) -> objects.WatchBatch:
        """Waits for changes of a kind after a version and returns them.

        Args:
          kind: Kind of the objects.
          after: Version up to which changes are known.
          wait_ms: How long to wait for the first change; the batch is empty
            if there was none.

        Raises:
          stored.HistoryGone: The store no longer has all these changes, or
            `after` is of an earlier era, whose revisions mean nothing now.
        """
        if stored.era_of(after) < self.era:
            raise stored.HistoryGone(kind.value)
        query = {
            "watch": str(stored.revision_of(after)),
            "wait_ms": str(wait_ms),
        }
        answer = await self._call("GET", _path(kind, query), wait_ms)
        is_other_era = answer.era != stored.era_of(after)
        if answer.response.status == _GONE or is_other_era:
            raise stored.HistoryGone(kind.value)
        changes = self._decode(answer, object_pages.decode_changes)
        self._report_unreadable(kind, changes.unreadable)
        events = tuple(
            _to_event(kind, change.object, change.deleted, answer.era)
            for change in changes.events
        )
        return objects.WatchBatch(
            events, stored.version_of(answer.era, changes.current_rev)
        )

    async def write(
        self, key: str, value: bytes, expected: ids.Version
    ) -> objects.Written | objects.Conflict:
        """Writes an object if its version is still the expected one.

        Args:
          key: Key of the object.
          value: JSON.
          expected: Version to replace; `ids.NO_VERSION` creates the object.

        Returns:
          The new version; or a conflict with the object as it is now, which is
          None if it does not exist or the store's answer does not have it.
          A version of an earlier era is never sent, as the store may have
          given out its revision again.
        """
        if expected != ids.NO_VERSION and stored.era_of(expected) < self.era:
            return objects.Conflict(None)
        name = stored.name_of(key)
        metadata = object_pages.Metadata(name, stored.revision_of(expected))
        body = msgspec.json.encode(
            object_pages.StoredObject(metadata, msgspec.Raw(value))
        )
        if expected == ids.NO_VERSION:
            path = _path(stored.kind_of(key))
            answer = await self._call("POST", path, body=body)
        else:
            answer = await self._call("PUT", _object_path(key), body=body)
        if answer.response.status == _NOT_FOUND:
            return objects.Conflict(None)
        if answer.response.status == _CONFLICT:
            return objects.Conflict(self._current_object(key, answer))
        written = self._decode(answer, object_pages.decode_object)
        if expected != ids.NO_VERSION and answer.era != stored.era_of(expected):
            raise objects.PlatformUnavailable(
                f"PUT {key}: the store was restored before the write"
            )
        return objects.Written(
            stored.version_of(answer.era, written.metadata.revision)
        )

    async def delete(self, key: str, expected: ids.Version) -> bool:
        """Deletes an object if its version is still the expected one.

        Args:
          key: Key of the object.
          expected: Version to delete. One of an earlier era is never sent, as
            the store may have given out its revision again.

        Returns:
          Whether the store does not have the object any more.
        """
        if stored.era_of(expected) < self.era:
            return False
        query = {"revision": str(stored.revision_of(expected))}
        path = f"{_object_path(key)}?{urllib.parse.urlencode(query)}"
        status = (await self._call("DELETE", path)).response.status
        if status == _CONFLICT:
            return False
        if status not in _DELETED_STATUSES:
            raise objects.PlatformUnavailable(
                f"the store answered with status {status}"
            )
        return True

    def close(self) -> None:
        """Closes the idle connections; those in use stay open."""
        while self._idle:
            self._idle.pop().close()

    def _current_object(
        self, key: str, answer: _Answer
    ) -> objects.Versioned | None:
        try:
            found = object_pages.decode_object(answer.response.body)
        except decoding.Undecodable:
            return None
        return _to_versioned(stored.kind_of(key), found, answer.era)

    def _decode(
        self, answer: _Answer, decode: Callable[[bytes], _Value]
    ) -> _Value:
        response = answer.response
        if response.status not in _OK_STATUSES:
            raise objects.PlatformUnavailable(
                f"the store answered with status {response.status}"
            )
        try:
            return decode(response.body)
        except decoding.Undecodable as error:
            raise objects.PlatformUnavailable(repr(error)) from error

    def _report_unreadable(self, kind: stored.Kind, count: int) -> None:
        if count:
            self.on_unreadable(kind, count)

    async def _call(
        self, method: str, path: str, wait_ms: int = 0, body: bytes = b""
    ) -> _Answer:
        """Sends a request and returns the answer.

        An open connection may have fallen silent. A read on one that was used
        before is repeated on a new one, and a watch that waits ends soon after
        its time; its caller then asks what it has missed. A write cannot be
        repeated, as it may have taken effect, so it gets a new connection.
        """
        call = _Call(method, path, body, wait_ms)
        connection = self._reusable() if method == "GET" else None
        if wait_ms:
            try:
                return await self._attempt(call, connection, _SILENT_AFTER_MS)
            except _NoAnswer:
                self._end_watches()
                raise
        if connection is not None:
            try:
                return await self._attempt(call, connection, _SILENT_AFTER_MS)
            except _NoAnswer:
                connection = None
        return await self._attempt(call, connection, _CALL_TIMEOUT_MS)

    async def _attempt(
        self, call: _Call, connection: client.Connection | None, limit_ms: int
    ) -> _Answer:
        """Sends a request once.

        Args:
          call: The request.
          connection: The connection; None for a new one.
          limit_ms: Time for the answer, beyond that for which a watch waits.
        """
        self.calls += 1
        timeout_ms = limit_ms + call.wait_ms
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                if connection is None:
                    connection = await self._connect()
                response = await self._exchange(call, connection)
        except TimeoutError as error:
            # Those that are idle may be as silent as this one.
            self.close()
            message = f"{call}: no answer in {timeout_ms} ms"
            raise _NoAnswer(message) from error
        except (
            client.ConnectFailed,
            client.ClosedEarly,
            client.Incomplete,
        ) as error:
            raise objects.PlatformUnavailable(f"{call}: {error!r}") from error
        return _Answer(response, self._era_of(response))

    def _end_watches(self) -> None:
        """Ends the watches that wait, as their connections may be silent."""
        for connection in self._watching:
            connection.close()

    def _era_of(self, response: messages.Response) -> int:
        """Returns the era of an answer, and keeps the highest one."""
        value = messages.find_header(response.headers, _ERA_HEADER)
        if value is None:
            return self.era
        try:
            era = decoding.parse_digits(value)
        except decoding.Undecodable:
            return self.era
        if era > _MAX_ERA:
            return self.era
        self.era = max(self.era, era)
        return era

    async def _exchange(
        self, call: _Call, connection: client.Connection
    ) -> messages.Response:
        host = f"{self._address[0]}:{self._address[1]}".encode()
        request = messages.Request(
            call.method, call.path, ((b"Host", host), _JSON_HEADER), call.body
        )
        if call.wait_ms:
            self._watching.add(connection)
        try:
            return await connection.exchange(messages.encode_request(request))
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self._watching.discard(connection)
            self._release(connection)

    async def _connect(self) -> client.Connection:
        return await client.connect(
            self._address, _CONNECT_TIMEOUT_MS, share=self.share
        )

    def _reusable(self) -> client.Connection | None:
        """Takes an idle connection, None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return None

    def _release(self, connection: client.Connection) -> None:
        if not connection.is_reusable:
            connection.close()
        elif len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()


def _path(kind: stored.Kind, query: dict[str, str] | None = None) -> str:
    path = f"/objects/{_WIRE_KIND_BY_KIND.get(kind, kind.value)}"
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _object_path(key: str) -> str:
    name = urllib.parse.quote(stored.name_of(key))
    return f"{_path(stored.kind_of(key))}/{name}"


def _to_versioned(
    kind: stored.Kind, found: object_pages.StoredObject, era: int
) -> objects.Versioned:
    metadata = found.metadata
    return objects.Versioned(
        stored.key(kind, metadata.name),
        stored.version_of(era, metadata.revision),
        _value_of(kind, found),
    )


def _to_event(
    kind: stored.Kind,
    found: object_pages.StoredObject,
    is_deleted: bool,
    era: int,
) -> objects.Event:
    value = None if is_deleted else _value_of(kind, found)
    return objects.Event(
        stored.key(kind, found.metadata.name),
        stored.version_of(era, found.metadata.revision),
        value,
    )


def _value_of(kind: stored.Kind, found: object_pages.StoredObject) -> bytes:
    """Returns the value of an object, without API keys."""
    value = bytes(found.spec)
    if kind is stored.Kind.CONFIGURATION:
        return configuration.hide_keys(value)
    return value
