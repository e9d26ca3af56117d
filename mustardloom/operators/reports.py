"""Figures of daemons, asked for over the streams between them."""

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

__all__ = ["LocalReport", "PeerCalls", "ReceivedReport", "ReportCollector"]

_TIMEOUT_MS = 1_000
# Bounds the streams that one question opens at once in a large fleet.
_MAX_CONCURRENT = 64

LocalReport = Callable[[bool], Awaitable[peer_pb2.Report]]


class PeerCalls(Protocol):
    """The part of `relay.peers.Peers` that figures need."""

    member: ids.MemberId

    def handle(self, body_type: type, handler: peers_lib.Handler) -> None:
        """Registers the handler of one message type."""

    async def call(
        self, member: ids.MemberId, body: peers_lib.Body, timeout_ms: int
    ) -> peers_lib.Body:
        """See `relay.peers.Peers.call`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report and the time at which it was received, on the own clock."""

    report: peer_pb2.Report
    received_ms: int


class ReportCollector:
    """Asks daemons for their figures and answers such questions.

    Each report is of the time of the question; none is kept.
    """

    def __init__(
        self,
        peers: PeerCalls,
        local: LocalReport,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        """Starts to answer.

        Args:
          peers: Streams to other daemons.
          local: Returns the own report; the argument tells whether the
            target is asked for its own figures too.
          clock: Source of time.
          metrics: Receives counters.
        """
        self._peers = peers
        self._local = local
        self._clock = clock
        self._metrics = metrics
        peers.handle(peer_pb2.Inquiry, self._on_inquiry)

    async def of(
        self, member: ids.MemberId, target_report: bool = False
    ) -> ReceivedReport | None:
        """Returns the report of a member, None if it does not answer."""
        try:
            report = await self._report(member, target_report)
        except peers_lib.PeerError:
            self._metrics.increment("operators.members_silent")
            return None
        return ReceivedReport(report, self._clock.now_ms())

    async def of_all(
        self, members: Iterable[ids.MemberId]
    ) -> dict[ids.MemberId, ReceivedReport | None]:
        """Returns the reports of several members, None for the silent."""
        limit = asyncio.Semaphore(_MAX_CONCURRENT)

        async def ask(member: ids.MemberId) -> ReceivedReport | None:
            async with limit:
                return await self.of(member)

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
