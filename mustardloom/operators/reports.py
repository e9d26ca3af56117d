"""Load and configuration reports that daemons request from each other."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.relay import peers as peers_lib
from mustardloom.relay.wire import peer_pb2

__all__ = ["LocalReport", "PeerClient", "ReceivedReport", "ReportCollector"]

_TIMEOUT_MS = 1_000
# Limits the streams that one query opens at the same time in a large fleet.
_MAX_CONCURRENT = 64

LocalReport = Callable[[bool], Awaitable[peer_pb2.Report]]


class PeerClient(Protocol):
    """The part of `relay.peers.Peers` that the report collector needs."""

    member: ids.MemberId

    def add_handler(self, body_type: type, handler: peers_lib.Handler) -> None:
        """Registers the handler of a message type."""

    async def call(
        self, member: ids.MemberId, body: peers_lib.Body, timeout_ms: int
    ) -> peers_lib.Body:
        """Returns the reply to a request; see `relay.peers.Peers.call`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report and the time of its arrival on the local monotonic clock."""

    report: peer_pb2.Report
    received_ms: int


class ReportCollector:
    """Requests reports from other daemons and answers their requests.

    Reports are made on request and never cached.
    """

    def __init__(
        self,
        peers: PeerClient,
        local: LocalReport,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        """Registers the handler of report requests.

        Args:
          peers: Streams to other daemons.
          local: Returns the report of this daemon; the argument tells whether
            to include a report by the target.
          clock: Source of the arrival times.
          metrics: Receives the counter `operators.members_silent`.
        """
        self._peers = peers
        self._local = local
        self._clock = clock
        self._metrics = metrics
        peers.add_handler(peer_pb2.Inquiry, self._on_inquiry)

    async def fetch(
        self, member: ids.MemberId, target_report: bool = False
    ) -> ReceivedReport | None:
        """Returns the report of a member, None if it does not answer."""
        try:
            report = await self._report(member, target_report)
        except peers_lib.PeerError:
            self._metrics.increment("operators.members_silent")
            return None
        return ReceivedReport(report, self._clock.now_ms())

    async def fetch_all(
        self, members: Iterable[ids.MemberId]
    ) -> dict[ids.MemberId, ReceivedReport | None]:
        """Returns a report per member, None for members that do not answer."""
        limit = asyncio.Semaphore(_MAX_CONCURRENT)

        async def ask(member: ids.MemberId) -> ReceivedReport | None:
            async with limit:
                return await self.fetch(member)

        asked = list(members)
        answers = await asyncio.gather(*map(ask, asked))
        return dict(zip(asked, answers, strict=True))

    async def _report(
        self, member: ids.MemberId, target_report: bool
    ) -> peer_pb2.Report:
        if member == self._peers.member:
            return await self._local(target_report)
        inquiry = peer_pb2.Inquiry(target_report=target_report)
        report = await self._peers.call(member, inquiry, _TIMEOUT_MS)
        assert isinstance(report, peer_pb2.Report)
        return report

    async def _on_inquiry(
        self, sender: ids.MemberId, inquiry: peer_pb2.Inquiry
    ) -> peer_pb2.Report:
        del sender
        return await self._local(inquiry.target_report)
