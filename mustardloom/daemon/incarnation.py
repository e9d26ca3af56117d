"""One incarnation of the daemon: a member id with lease, record and slots."""

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
    """Parts of the process that outlive an incarnation.

    Attributes:
      clock: Source of time.
      metrics: Receives counters.
      replica: Local copy of the objects in the store.
      members: View of all members.
      slots: View of the owners of all slots.
      configuration: View of the configuration in force.
      store: The platform's store.
      peers: Streams to other daemons.
      endpoint: Datagrams to and from other daemons.
      grants: Grants of slots to the local target.
      publish: Pushes the event of a write by this daemon to its peers.
      log_intervals: Whether to log owner intervals.
    """

    clock: clock_lib.Clock
    metrics: metrics_lib.Metrics
    replica: replica_lib.Replica
    members: records.MemberView
    slots: slot_map.SlotMap
    configuration: configuration_lib.Configuration
    store: store_lib.PlatformClient
    peers: peers_lib.Peers
    endpoint: datagrams.DatagramEndpoint
    grants: adapters.TargetGrants
    publish: records.PublishEvent
    log_intervals: bool


class Incarnation:
    """Membership under one member id, as long as its member record is valid.

    If the member is fenced, its record disappears or its renewals are refused,
    the process continues with a new incarnation under a new id.

    Attributes:
      member: Member id of this incarnation.
      lease: Its lease.
      holdings: Slots that it owns.
      request_ids: Ids of non-idempotent requests in these slots.
      announcer: Writes the state of the member to its record.
    """

    def __init__(
        self,
        services: ProcessServices,
        record: records.MemberRecord,
        on_ended: Callable[[own_record.EndReason], None],
    ):
        clock, metrics = services.clock, services.metrics
        self.member = record.member
        services.peers.set_identity(record.member)
        self.lease = lease_lib.Lease(clock)
        self.request_ids = deduplication.DeduplicationTable(clock, metrics)
        self.holdings = holdings_lib.Holdings(
            record.member,
            services.slots,
            self.lease,
            services.grants,
            clock,
            metrics,
            services.log_intervals,
        )
        self._own_record = own_record.OwnRecord(
            record, services.store, self.lease, metrics, services.publish
        )
        self._lease_renewer = lease_renewer_lib.LeaseRenewer(
            self._own_record,
            self.lease,
            services.members,
            services.endpoint,
            clock,
            metrics,
            on_ended,
        )
        self.announcer = announcer_lib.Announcer(
            self._own_record, self._lease_renewer, clock
        )
        map_writer = chunk_writer.ChunkWriter(
            services.replica, services.store, services.publish, metrics
        )
        self._mover = moves.Mover(
            self.holdings,
            services.slots,
            adapters.SlotRequestRecords(self.request_ids),
            services.peers,
            map_writer,
            clock,
            metrics,
        )
        self._reconciler = reconciler_lib.Reconciler(
            record.member,
            services.configuration.groups,
            services.replica,
            services.members,
            services.slots,
            map_writer,
            services.configuration.is_stopped,
            clock,
            metrics,
        )
        self._tasks: list[asyncio.Task[Any]] = []

    @property
    def record(self) -> records.MemberRecord:
        """Member record of this incarnation as last written."""
        return self._own_record.record

    def start(self) -> None:
        """Starts the background tasks; does not create the member record."""
        for coroutine in self._coroutines():
            self._tasks.append(asyncio.create_task(coroutine))

    async def end(self) -> None:
        """Ends the lease and all tasks; no slot is served afterwards."""
        self.lease.end()
        self.holdings.drop_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _coroutines(self) -> tuple[Coroutine[Any, Any, None], ...]:
        return (
            self._lease_renewer.run(),
            self.holdings.run(),
            self._mover.run(),
            self._reconciler.run(),
        )
