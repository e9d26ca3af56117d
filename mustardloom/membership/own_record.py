"""Writes the changes that a member makes to its own record."""

import asyncio
from collections.abc import Callable
import enum

from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import records

__all__ = [
    "Change",
    "EndReason",
    "LifeEnded",
    "OwnRecord",
    "WriteResult",
]

Change = Callable[[records.MemberRecord], records.MemberRecord]


class EndReason(enum.Enum):
    """Why an incarnation (member id of a daemon process) ended."""

    FENCED = "fenced"
    RECORD_GONE = "record-gone"
    REFUSED = "refused"
    REMOVED = "removed"


class LifeEnded(Exception):
    """The incarnation has ended: this member must never serve again.

    Attributes:
      reason: Why it ended.
    """

    def __init__(self, member: ids.MemberId, reason: EndReason):
        super().__init__(f"{member} ended: {reason.value}")
        self.reason = reason


class WriteResult(enum.Enum):
    """Result of a write; an UNDECIDED one may or may not take effect."""

    WRITTEN = "written"
    UNDECIDED = "undecided"


class OwnRecord:
    """Writes a member's own record, one conditional write at a time.

    The member makes all its changes through this class, so that they never
    conflict with each other. While a write is undecided, the lease also needs
    a quorum of the witnesses named in that write.

    Attributes:
      record: The record that is known to be in the store; before it is
        created, the record to create.
      version: Its version, `ids.NO_VERSION` before it is created.
    """

    def __init__(
        self,
        record: records.MemberRecord,
        store: store_lib.PlatformClient,
        lease: lease_lib.Lease,
        metrics: metrics_lib.Metrics,
        publish: records.PublishEvent,
    ):
        self.record = record
        self.version = ids.NO_VERSION
        self._key = records.member_key(record.member)
        self._store = store
        self._lease = lease
        self._metrics = metrics
        self._publish = publish
        self._lock = asyncio.Lock()
        self._undecided = False
        self._deleting = False

    @property
    def is_created(self) -> bool:
        """Whether the record is known to have been in the store."""
        return self.version != ids.NO_VERSION

    @property
    def is_deleted(self) -> bool:
        """Whether the member is removing or has removed the record."""
        return self._deleting

    async def write(self, change: Change) -> WriteResult:
        """Applies `change` to the newest record and stores the result.

        A change that leaves the record as it is needs no write. The first
        write creates the record. An earlier undecided write is resolved first,
        by reading the record.

        Raises:
          LifeEnded: The record is FENCED or was removed.
        """
        async with self._lock:
            if self._undecided and not await self._read_back():
                return WriteResult.UNDECIDED
            while True:
                proposed = change(self.record)
                if self.is_created and proposed == self.record:
                    return WriteResult.WRITTEN
                result = await self._update(proposed)
                match result:
                    case store_lib.Written(version):
                        self._adopt(proposed, version)
                        self._publish(self._event_of(proposed, version))
                        return WriteResult.WRITTEN
                    case store_lib.Conflict(current):
                        self._adopt_stored(current)
                    case store_lib.Undecided():
                        self._metrics.increment("membership.writes_undecided")
                        return WriteResult.UNDECIDED

    async def delete(self) -> WriteResult:
        """Deletes the record; the lease ends first, whatever the result."""
        self._deleting = True
        self._lease.end()
        async with self._lock:
            while True:
                try:
                    found = await self._store.get(self._key)
                    if found is None:
                        return WriteResult.WRITTEN
                    result = await self._store.delete(self._key, found.version)
                except store_lib.PlatformUnavailable:
                    return WriteResult.UNDECIDED
                if isinstance(result, store_lib.Written):
                    return WriteResult.WRITTEN
                if isinstance(result, store_lib.Undecided):
                    return WriteResult.UNDECIDED

    def _end_lease(self, reason: EndReason) -> LifeEnded:
        self._lease.end()
        return LifeEnded(self.record.member, reason)

    def _event_of(
        self, record: records.MemberRecord, version: ids.Version
    ) -> store_lib.Event:
        return store_lib.Event(self._key, version, records.encode(record))

    async def _update(
        self, proposed: records.MemberRecord
    ) -> store_lib.WriteResult:
        if self._deleting:
            raise self._end_lease(EndReason.REMOVED)
        # Set in advance, in case this task is cancelled before the answer.
        self._undecided = True
        self._lease.add_undecided(proposed.witnesses)
        value = records.encode(proposed)
        try:
            return await self._store.update(self._key, value, self.version)
        except store_lib.PlatformUnavailable:
            return store_lib.Undecided(ids.new_operation_id())

    async def _read_back(self) -> bool:
        """Reads the record; returns False if the store does not answer."""
        try:
            found = await self._store.get(self._key)
        except store_lib.PlatformUnavailable:
            return False
        # If the version is unchanged, the undecided write may still arrive. The
        # next write expects the same version, so at most one of them succeeds.
        version = found.version if found else ids.NO_VERSION
        if version != self.version:
            self._adopt_stored(found)
        return True

    def _adopt_stored(self, found: store_lib.Versioned | None) -> None:
        if found is None:
            raise self._end_lease(EndReason.RECORD_GONE)
        record = records.decode(found.value)
        if record.state is records.MemberState.FENCED:
            raise self._end_lease(EndReason.FENCED)
        self._adopt(record, found.version)

    def _adopt(
        self, record: records.MemberRecord, version: ids.Version
    ) -> None:
        self.record = record
        self.version = version
        self._undecided = False
        self._lease.set_recorded(record.witnesses)
