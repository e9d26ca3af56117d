"""Conditional writes of stored objects that contain their audit trail."""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

from loguru import logger
import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.declarations import envelope
from mustardloom.membership import records
from mustardloom.operators import results
from mustardloom.relay import replica as replica_lib

__all__ = ["Author", "Change", "ChangeWriter"]

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class Author:
    """Author and id of a command, for its audit entry.

    Attributes:
      who: Name of the operator.
      line: The command as entered.
      operation: Unique id of the command; a retry has the same id.
    """

    who: str
    line: str
    operation: ids.OperationId


@dataclasses.dataclass(frozen=True, slots=True)
class Change(Generic[_T]):
    """A change of one stored object.

    Attributes:
      key: Store key of the object.
      type: Type of the value.
      value: The new value.
      is_in_force: Whether the stored value (None if there is no object) already
        is what the command requests.
      message: Text for the operator: what is in force afterwards.
    """

    key: str
    type: type[_T]
    value: _T
    is_in_force: Callable[[_T | None], bool]
    message: str


class ChangeWriter:
    """Writes changes; several daemons may do so concurrently.

    A change and its audit entry are one write. The entry holds the operation
    id, which makes retries idempotent: it shows whether a command whose answer
    was lost took effect.
    """

    def __init__(
        self,
        store: store_lib.PlatformClient,
        replica: replica_lib.Replica,
        publish: records.PublishEvent,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._store = store
        self._replica = replica
        self._publish = publish
        self._clock = clock
        self._metrics = metrics

    def known_version(self, key: str) -> ids.Version:
        """Returns the version of an object in the local replica."""
        event = self._replica.get(key)
        return event.version if event else ids.NO_VERSION

    async def refresh(self, prefix: str) -> None:
        """Updates the replica with all objects of the store below a prefix.

        Raises:
          store.PlatformUnavailable: The store did not answer.
        """
        listing = await self._store.list_objects(prefix)
        for found in listing.objects:
            self._apply_to_replica(found)

    async def load(
        self, key: str, value_type: type[_T]
    ) -> envelope.StoredObject[_T] | None:
        """Reads an object from the store, None if there is none.

        Raises:
          store.PlatformUnavailable: The store did not answer.
        """
        found = await self._store.get(key)
        if found is None:
            return None
        self._apply_to_replica(found)
        return _decode(found.value, value_type)

    async def is_recorded(self, key: str, author: Author) -> bool:
        """Returns whether the audit trail of an object contains the command.

        Raises:
          store.PlatformUnavailable: The store did not answer.
        """
        stored = await self.load(key, Any)
        return await self._is_recorded(key, stored, author)

    def is_no_op(self, change: Change[Any], author: Author) -> bool:
        """Returns whether the replica shows that a change is not needed."""
        event = self._replica.get(change.key)
        if event is None or event.value is None:
            return change.is_in_force(None)
        stored = _decode(event.value, change.type)
        if _contains(stored.audit, author.operation):
            return True
        return change.is_in_force(stored.value)

    def unavailable(
        self, error: store_lib.PlatformUnavailable
    ) -> results.Unavailable:
        """Counts the failure and returns it as the answer to a command."""
        self._metrics.increment("operators.store_unavailable")
        message = f"nothing was changed; the store is unavailable: {error}"
        return results.Unavailable(message=message)

    async def conflict(self, key: str, message: str) -> results.Conflict:
        """Returns a conflict that names the last change of an object, if any.

        Raises:
          store.PlatformUnavailable: The store did not answer.
        """
        self._metrics.increment("operators.conflicts")
        stored = await self.load(key, Any)
        if stored is None or not stored.audit:
            return results.Conflict(message=message, key=key)
        other = results.other_change(stored.audit[-1])
        return results.Conflict(message=message, key=key, other=other)

    async def apply(
        self, change: Change[_T], author: Author, seen: ids.Version
    ) -> results.Result:
        """Writes a change if the object still has the version `seen`.

        Args:
          change: The change.
          author: Author of the change.
          seen: Version of the object on which the command was based.
        """
        try:
            found = await self._store.get(change.key)
            if found is not None:
                self._apply_to_replica(found)
            stored = _decode(found.value, change.type) if found else None
            if await self._is_recorded(change.key, stored, author):
                return self._applied_earlier(change, found, author)
            if change.is_in_force(stored.value if stored else None):
                return _already_in_force(change, stored)
            version = found.version if found else ids.NO_VERSION
            if version != seen:
                return self._conflict_with_last(change.key, stored)
            return await self._write(change, author, stored, version)
        except store_lib.PlatformUnavailable as error:
            return self.unavailable(error)

    async def _write(
        self,
        change: Change[_T],
        author: Author,
        stored: envelope.StoredObject[_T] | None,
        version: ids.Version,
    ) -> results.Result:
        entry = envelope.AuditEntry(
            who=author.who,
            wall_ms=self._clock.wall_ms(),
            command=author.line,
            before=_json(stored.value) if stored else "",
            after=_json(change.value),
            operation=author.operation,
        )
        amended = envelope.amend(stored, change.value, entry)
        for displaced in amended.displaced:
            await self._archive(change.key, displaced)
        value = msgspec.json.encode(amended.stored)
        result = await self._store.update(change.key, value, version)
        match result:
            case store_lib.Written(written):
                self._publish(store_lib.Event(change.key, written, value))
                logger.info(f"{author.who}: {author.line}")
                return _applied(change, written, author)
            case store_lib.Conflict(current):
                return self._resolve_conflict(change, author, current)
            case store_lib.Undecided():
                return await self._read_back(change, author, version)

    async def _archive(self, key: str, entry: envelope.AuditEntry) -> None:
        """Stores an entry under its audit key before its object drops it."""
        name = envelope.audit_key(key, entry.sequence)
        value = msgspec.json.encode(entry)
        result = await self._store.update(name, value, ids.NO_VERSION)
        match result:
            case store_lib.Written(version):
                self._publish(store_lib.Event(name, version, value))
            case store_lib.Undecided():
                message = f"{name} may not have been written"
                raise store_lib.PlatformUnavailable(message)
            # A conflict means that the entry is stored; entries never change.

    def _resolve_conflict(
        self,
        change: Change[_T],
        author: Author,
        current: store_lib.Versioned | None,
    ) -> results.Result:
        if current is not None:
            self._apply_to_replica(current)
        stored = _decode(current.value, change.type) if current else None
        if stored is not None and _contains(stored.audit, author.operation):
            return self._applied_earlier(change, current, author)
        return self._conflict_with_last(change.key, stored)

    async def _read_back(
        self, change: Change[_T], author: Author, version: ids.Version
    ) -> results.Result:
        """Resolves a write without an answer from the object's audit entries.

        As long as the object is unchanged, the write may still take effect.
        """
        undecided = results.Undecided(
            message="the store did not answer; the command may take effect."
            f" To repeat it safely, use --operation {author.operation}",
            operation=author.operation,
        )
        self._metrics.increment("operators.undecided")
        try:
            current = await self._store.get(change.key)
        except store_lib.PlatformUnavailable:
            return undecided
        found = current.version if current else ids.NO_VERSION
        if found == version:
            return undecided
        return self._resolve_conflict(change, author, current)

    async def _is_recorded(
        self,
        key: str,
        stored: envelope.StoredObject[Any] | None,
        author: Author,
    ) -> bool:
        if stored is None:
            return False
        if _contains(stored.audit, author.operation):
            return True
        if stored.sequence == len(stored.audit):
            # No entry has been archived.
            return False
        listing = await self._store.list_objects(
            envelope.audit_key(key, 0)[:-1]
        )
        entries = (
            msgspec.json.decode(item.value, type=envelope.AuditEntry)
            for item in listing.objects
        )
        return _contains(tuple(entries), author.operation)

    def _apply_to_replica(self, found: store_lib.Versioned) -> None:
        event = store_lib.Event(found.key, found.version, found.value)
        watermark = self._replica.version
        self._replica.apply([event], watermark, watermark)

    def _applied_earlier(
        self,
        change: Change[_T],
        found: store_lib.Versioned | None,
        author: Author,
    ) -> results.Applied:
        version = found.version if found else ids.NO_VERSION
        return _applied(change, version, author)

    def _conflict_with_last(
        self, key: str, stored: envelope.StoredObject[Any] | None
    ) -> results.Conflict:
        self._metrics.increment("operators.conflicts")
        if stored is None or not stored.audit:
            return results.Conflict(message=f"{key} was changed", key=key)
        other = results.other_change(stored.audit[-1])
        when = results.wall_text(other.wall_ms)
        message = (
            f"{key} was changed by {other.who} at {when} with"
            f" {other.command!r}; nothing was changed"
        )
        return results.Conflict(message=message, key=key, other=other)


def _decode(value: bytes, value_type: type[_T]) -> envelope.StoredObject[_T]:
    stored: envelope.StoredObject[_T] = msgspec.json.decode(
        value,
        type=envelope.StoredObject[value_type],  # type: ignore[valid-type]
    )
    return stored


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _contains(
    audit: tuple[envelope.AuditEntry, ...], operation: ids.OperationId
) -> bool:
    return any(entry.operation == operation for entry in audit)


def _applied(
    change: Change[Any], version: ids.Version, author: Author
) -> results.Applied:
    return results.Applied(
        message=change.message,
        key=change.key,
        version=version,
        operation=author.operation,
    )


def _already_in_force(
    change: Change[Any], stored: envelope.StoredObject[Any] | None
) -> results.AlreadyInForce:
    by = None
    if stored is not None and stored.audit:
        by = results.other_change(stored.audit[-1])
    return results.AlreadyInForce(message=f"already: {change.message}", by=by)
