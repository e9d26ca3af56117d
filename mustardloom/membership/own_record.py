"""The single writer of a member's own record."""

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
    "IncarnationEnded",
    "OwnRecord",
    "WriteResult",
]

Change = Callable[[records.MemberRecord], records.MemberRecord]


class EndReason(enum.Enum):
    """Why a life ended."""

    FENCED = "fenced"
    RECORD_GONE = "record-gone"
    REFUSED = "refused"
    REMOVED = "removed"


class IncarnationEnded(Exception):
    """This member must not go on.

    Attributes:
      reason: Why.
    """

    def __init__(self, member: ids.MemberId, reason: EndReason):
        super().__init__(f"{member} ended: {reason.value}")
        self.reason = reason


class WriteResult(enum.Enum):
    """Result of a change of the own record."""

    WRITTEN = "written"
    UNDECIDED = "undecided"


class OwnRecord:
    """Writes a member's own record, one conditional write at a time.

    All changes by the member itself pass through here, so that they never
    conflict with each other. While a write is undecided, the lease needs a
    quorum of the witnesses that it names too.

    Attributes:
      record: The record that is known to be in the store; before the
        creation, the record to create.
      version: Its version.
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
        """Whether the member itself removes or has removed the record."""
        return self._deleting

    async def write(self, change: Change) -> WriteResult:
        """Applies `change` to the newest record and stores the result.

        A change that leaves the record as it is costs no write. The first
        write creates the record. An undecided earlier write is resolved
        before.

        Raises:
          IncarnationEnded: The record is FENCED or was removed.
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
                        self._publish(self._event(proposed, version))
                        return WriteResult.WRITTEN
                    case store_lib.Conflict(current):
                        self._adopt_found(current)
                    case store_lib.Undecided():
                        self._metrics.increment("membership.writes_undecided")
                        return WriteResult.UNDECIDED

    async def delete(self) -> WriteResult:
        """Removes the record; the lease ends before, whatever the result."""
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

    def _ended(self, reason: EndReason) -> IncarnationEnded:
        self._lease.end()
        return IncarnationEnded(self.record.member, reason)

    def _event(
        self, record: records.MemberRecord, version: ids.Version
    ) -> store_lib.Event:
        return store_lib.Event(self._key, version, records.encode(record))

    async def _update(
        self, proposed: records.MemberRecord
    ) -> store_lib.WriteResult:
        if self._deleting:
            raise self._ended(EndReason.REMOVED)
        # Holds also if this task is cancelled before the answer.
        self._undecided = True
        self._lease.propose(proposed.witnesses)
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
        # With an unchanged version the write may still arrive. It loses
        # against the next write, which has the same expected version.
        version = found.version if found else ids.NO_VERSION
        if version != self.version:
            self._adopt_found(found)
        return True

    def _adopt_found(self, found: store_lib.Versioned | None) -> None:
        if found is None:
            raise self._ended(EndReason.RECORD_GONE)
        record = records.decode(found.value)
        if record.state is records.MemberState.FENCED:
            raise self._ended(EndReason.FENCED)
        self._adopt(record, found.version)

    def _adopt(
        self, record: records.MemberRecord, version: ids.Version
    ) -> None:
        self.record = record
        self.version = version
        self._undecided = False
        self._lease.set_recorded(record.witnesses)
