"""One life of the daemon as a member: its lease, record and slots."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.admission import deduplication
from mustardloom.daemon import adapters
from mustardloom.daemon import configuration as configuration_lib
from mustardloom.membership import announcer as announcer_lib
from mustardloom.membership import datagrams
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import lease_renewer as lease_renewer_lib
from mustardloom.membership import own_record
from mustardloom.membership import records
from mustardloom.ownership import chunk_writer
from mustardloom.ownership import holdings as holdings_lib
from mustardloom.ownership import moves
from mustardloom.ownership import reconciler as reconciler_lib
from mustardloom.ownership import slot_map
from mustardloom.relay import peers as peers_lib
from mustardloom.relay import replica as replica_lib

__all__ = ["Incarnation", "ProcessServices"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProcessServices:
    """What outlives a life.

    Attributes:
      clock: Clock of the process.
      metrics: Receives counters.
      replica: Copy of the store's objects.
      members: View of all members.
      slots: View of all owners.
      configuration: View of the accepted configuration.
      store: The platform's store.
      peers: Streams to other daemons.
      endpoint: Datagrams to and from other daemons.
      grants: Grants to the target.
      publish: Pushes the event of an own write.
      log_intervals: Whether to log owner intervals.
    """

    clock: clock_lib.Clock
    metrics: metrics_lib.Metrics
    replica: replica_lib.Replica
    members: records.Members
    slots: slot_map.SlotMap
    configuration: configuration_lib.Configuration
    store: store_lib.PlatformClient
    peers: peers_lib.Peers
    endpoint: datagrams.DatagramEndpoint
    grants: adapters.TargetGrants
    publish: records.PublishEvent
    log_intervals: bool


class Incarnation:
    """From the creation of a member record to its end.

    Attributes:
      member: Member id of this life.
      lease: Its lease.
      holdings: Slots that it serves.
      request_ids: Ids of non-idempotent requests in these slots.
    """

    def __init__(
        self,
        around: ProcessServices,
        record: records.MemberRecord,
        on_ended: Callable[[own_record.EndReason], None],
    ):
        clock, metrics = around.clock, around.metrics
        self.member = record.member
        around.peers.set_identity(record.member)
        self.lease = lease_lib.Lease(clock)
        self.request_ids = deduplication.DeduplicationTable(clock, metrics)
        self.holdings = holdings_lib.Holdings(
            record.member,
            around.slots,
            self.lease,
            around.grants,
            clock,
            metrics,
            around.log_intervals,
        )
        self._own = own_record.OwnRecord(
            record, around.store, self.lease, metrics, around.publish
        )
        self._renewal = lease_renewer_lib.LeaseRenewer(
            self._own,
            self.lease,
            around.members,
            around.endpoint,
            clock,
            metrics,
            on_ended,
        )
        self.announcer = announcer_lib.Announcer(
            self._own, self._renewal, clock
        )
        writer = chunk_writer.ChunkWriter(
            around.replica, around.store, around.publish, metrics
        )
        self._mover = moves.Mover(
            self.holdings,
            around.slots,
            adapters.SlotIds(self.request_ids),
            around.peers,
            writer,
            clock,
            metrics,
        )
        self._reconciler = reconciler_lib.Reconciler(
            record.member,
            around.configuration.groups,
            around.replica,
            around.members,
            around.slots,
            writer,
            around.configuration.is_stopped,
            clock,
            metrics,
        )
        self._tasks: list[asyncio.Task[Any]] = []

    @property
    def record(self) -> records.MemberRecord:
        """Own member record as last written."""
        return self._own.record

    def start(self) -> None:
        """Starts the tasks of this life; the record is not created yet."""
        for work in self._work():
            self._tasks.append(asyncio.create_task(work))

    async def end(self) -> None:
        """Ends all tasks; no slot is served afterwards."""
        self.lease.end()
        self.holdings.drop_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        return (
            self._renewal.run(),
            self.holdings.run(),
            self._mover.run(),
            self._reconciler.run(),
        )
