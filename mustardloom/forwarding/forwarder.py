"""Forwarding of requests to other daemons or to a local handler."""

from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.forwarding import codec
from mustardloom.relay import peers as peers_lib
from mustardloom.relay.wire import peer_pb2
from mustardloom.routing import forwarders

__all__ = ["LocalHandler", "PeerForwarder"]

LocalHandler = Callable[
    [requests.Request, ids.GroupId, ids.SlotIndex],
    Awaitable[forwarders.Forwarded],
]


def _refused(
    reason: outcomes.RefusalReason, detail: str
) -> forwarders.Forwarded:
    return forwarders.Forwarded(outcomes.Refused(reason, detail))


def _unknown(
    reason: outcomes.UnknownReason, detail: str
) -> forwarders.Forwarded:
    return forwarders.Forwarded(outcomes.Unknown(reason, detail))


class PeerForwarder(forwarders.Forwarder):
    """Forwards over peer streams; requests to this daemon skip the network.

    Args:
      peers: Streams to the other daemons.
      clock: Source of time.
      metrics: Receives the counters `forwarder.*`.
    """

    def __init__(
        self,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._handlers: dict[forwarders.Destination, LocalHandler] = {}
        peers.add_handler(peer_pb2.Forward, self._on_forward)

    def register_handler(
        self, destination: forwarders.Destination, handler: LocalHandler
    ) -> None:
        """Registers the local handler of one destination.

        The handler is cancelled when the sender cancels or its stream ends.
        """
        self._handlers[destination] = handler

    async def forward(
        self,
        member: ids.MemberId,
        destination: forwarders.Destination,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> forwarders.Forwarded:
        """See base class."""
        if request.deadline_ms <= self._clock.now_ms():
            return _refused(
                outcomes.RefusalReason.DEADLINE, "the deadline has passed"
            )
        if member == self._peers.member:
            self._metrics.increment("forwarder.local")
            return await self._run_handler(destination, request, group, slot)
        self._metrics.increment("forwarder.sent")
        return await self._forward_to_peer(
            member, destination, request, group, slot
        )

    async def _forward_to_peer(
        self,
        member: ids.MemberId,
        destination: forwarders.Destination,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> forwarders.Forwarded:
        now_ms = self._clock.now_ms()
        body = codec.encode_request(request, destination, group, slot, now_ms)
        timeout_ms = request.deadline_ms - now_ms
        try:
            answer = await self._peers.call(member, body, timeout_ms)
        except peers_lib.PeerUnreachable as error:
            self._metrics.increment("forwarder.unreachable")
            return _refused(outcomes.RefusalReason.PEER_UNREACHABLE, str(error))
        except peers_lib.PeerLost as error:
            self._metrics.increment("forwarder.lost")
            return _unknown(self._loss_reason(request), str(error))
        if not isinstance(answer, peer_pb2.Answer):
            return _unknown(
                outcomes.UnknownReason.INTERNAL,
                f"{member} sent a reply that is not an Answer",
            )
        return codec.decode_answer(answer)

    def _loss_reason(self, request: requests.Request) -> outcomes.UnknownReason:
        if self._clock.now_ms() >= request.deadline_ms:
            return outcomes.UnknownReason.DEADLINE
        return outcomes.UnknownReason.PEER_LOST

    async def _on_forward(
        self, sender: ids.MemberId, message: peer_pb2.Forward
    ) -> peer_pb2.Answer:
        self._metrics.increment("forwarder.received")
        try:
            destination = codec.decode_destination(message)
            request = codec.decode_request(message, self._clock.now_ms())
        except codec.CodecError as error:
            detail = f"message from {sender}: {error}"
            return codec.encode_answer(
                _refused(outcomes.RefusalReason.MALFORMED, detail)
            )
        forwarded = await self._run_handler(
            destination,
            request,
            ids.GroupId(message.group),
            ids.SlotIndex(message.slot),
        )
        return codec.encode_answer(forwarded)

    async def _run_handler(
        self,
        destination: forwarders.Destination,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> forwarders.Forwarded:
        handler = self._handlers.get(destination)
        if handler is None:
            return _refused(
                outcomes.RefusalReason.SHUTTING_DOWN,
                f"no handler for requests to the {destination.value}",
            )
        try:
            return await handler(request, group, slot)
        except Exception:
            # A failing request must not end the task that forwards it. Whether
            # it ran at the target is not known.
            logger.exception(
                "handler of a forwarded request failed; outcome is unknown"
            )
            self._metrics.increment("forwarder.handlers_failed")
            return _unknown(
                outcomes.UnknownReason.INTERNAL, "the request handler failed"
            )
