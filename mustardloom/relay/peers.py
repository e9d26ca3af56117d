"""Calls between daemons over one long-lived stream per peer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from grpclib import client as grpc_client
from loguru import logger

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.relay import authentication
from mustardloom.relay import counting_codec
from mustardloom.relay import frames
from mustardloom.relay.wire import peer_grpc
from mustardloom.relay.wire import peer_pb2

__all__ = [
    "ANY_MEMBER",
    "AddressLookup",
    "Body",
    "Handler",
    "PeerError",
    "PeerLost",
    "PeerUnreachable",
    "Peers",
    "is_seed",
    "seed_address",
    "seed_member",
]


Body = frames.Body
AddressLookup = Callable[[ids.MemberId], tuple[str, int] | None]
Handler = Callable[[ids.MemberId, Body], Awaitable[Body | None]]

# Receiver in a handshake with a daemon whose member id is not known yet.
ANY_MEMBER = ids.MemberId("*")

_CONNECT_TIMEOUT_MS = 500
_RECONNECT_DELAY_MS = 200
_HANDSHAKE_AGE_LIMIT_MS = 60_000
# Repairs contact a random member each second. If these streams stayed open,
# each daemon would soon have one to every other daemon of the fleet.
_UNUSED_LINK_LIMIT_MS = 30_000
_SEED_PREFIX = "seed/"
_MEMBER_FIELD = "x-mustardloom-member"
_RECEIVER_FIELD = "x-mustardloom-receiver"
_TIME_FIELD = "x-mustardloom-time"
_CODE_FIELD = "x-mustardloom-code"


def is_seed(member: ids.MemberId) -> bool:
    """Returns whether `member` is the id of a seed address."""
    return member.startswith(_SEED_PREFIX)


def seed_address(member: ids.MemberId) -> tuple[str, int]:
    """Returns the host and port that were given to `seed_member`."""
    host, _, port = member.removeprefix(_SEED_PREFIX).rpartition(":")
    return host, int(port)


def seed_member(host: str, port: int) -> ids.MemberId:
    """Returns an id for the daemon at an address whose member id is unknown.

    Example:
      >>> seed_address(seed_member("127.0.0.1", 7000))
      ('127.0.0.1', 7000)
    """
    return ids.MemberId(f"{_SEED_PREFIX}{host}:{port}")


def _handshake_text(sender: str, receiver: str, wall_ms: str) -> bytes:
    return "\0".join((sender, receiver, wall_ms)).encode()


class PeerError(Exception):
    """A call to a peer failed."""


class PeerUnreachable(PeerError):
    """The message was certainly not sent."""


class PeerLost(PeerError):
    """The message may have reached the peer; no reply or a Failure came."""


@dataclasses.dataclass(slots=True)
class _Call:
    """A call that waits for its reply.

    Attributes:
      reply: The reply, or the error with which the call ends.
      sent: Whether the frame was passed to a stream.
    """

    reply: asyncio.Future[Body]
    sent: bool = False


class _Link:
    """Outgoing stream to one peer, with a task that reopens it if it breaks."""

    def __init__(self, peers: "Peers", member: ids.MemberId):
        self._peers = peers
        self._member = member
        self._outbox = frames.Outbox()
        self._calls: dict[int, _Call] = {}
        self._last_call_number = 0
        self._last_used_ms = peers.clock.now_ms()
        self._task = asyncio.create_task(self._run())

    def is_unused(self) -> bool:
        """Returns whether no call waits and no message was sent recently."""
        unused_ms = self._peers.clock.now_ms() - self._last_used_ms
        return self.is_idle() and unused_ms >= _UNUSED_LINK_LIMIT_MS

    def notify(self, body: Body) -> None:
        """Queues a one-way frame."""
        self._last_used_ms = self._peers.clock.now_ms()
        if not self._outbox.put(frames.make_frame(frames.ONE_WAY, body)):
            self._peers.metrics.increment("peer.frames_dropped")

    async def call(self, body: Body, timeout_ms: int) -> Body:
        """Sends a message and returns the reply; see `Peers.call`."""
        self._last_used_ms = self._peers.clock.now_ms()
        self._last_call_number += 1
        number = self._last_call_number
        call = _Call(asyncio.get_running_loop().create_future())
        self._calls[number] = call
        try:
            if not self._outbox.put(frames.make_frame(number, body)):
                raise PeerUnreachable(f"queue to {self._member} is full")
            return await asyncio.wait_for(call.reply, timeout_ms / 1_000)
        except TimeoutError:
            raise self._on_timeout(number, call) from None
        except asyncio.CancelledError:
            self._cancel(number, call)
            raise
        finally:
            self._calls.pop(number, None)

    def is_idle(self) -> bool:
        """Returns whether no call waits for its reply."""
        return not self._calls

    async def close(self) -> None:
        """Closes the stream; calls that wait for a reply fail."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._fail_calls(f"stream to {self._member} was closed")

    def _on_timeout(self, number: int, call: _Call) -> PeerError:
        self._cancel(number, call)
        if call.sent:
            return PeerLost(f"no reply from {self._member} in time")
        return PeerUnreachable(f"no connection to {self._member} in time")

    def _cancel(self, number: int, call: _Call) -> None:
        if call.sent:
            self._outbox.put(frames.make_frame(number, peer_pb2.Cancel()))
        else:
            self._outbox.remove(number)

    def _fail_calls(self, reason: str) -> None:
        for number, call in list(self._calls.items()):
            if call.reply.done():
                continue
            self._outbox.remove(number)
            error = PeerLost if call.sent else PeerUnreachable
            call.reply.set_exception(error(reason))

    async def _run(self) -> None:
        while True:
            try:
                await self._exchange()
            except asyncio.CancelledError:
                raise
            except Exception as error:
                # On a broken connection grpclib and h2 raise exceptions without
                # a common base class; all of them mean that the stream is lost.
                self._peers.metrics.increment("peer.streams_broken")
                reason = f"stream to {self._member} broke: {error!r}"
                logger.debug(reason)
                self._fail_calls(reason)
            await self._peers.clock.sleep_ms(_RECONNECT_DELAY_MS)

    async def _exchange(self) -> None:
        if is_seed(self._member):
            address: tuple[str, int] | None = seed_address(self._member)
        else:
            address = self._peers.lookup(self._member)
        if address is None:
            raise PeerUnreachable(f"no address is known for {self._member}")
        channel = grpc_client.Channel(*address, codec=self._peers.codec)
        try:
            stub = peer_grpc.PeerServiceStub(channel)
            receiver = self._member
            if is_seed(receiver):
                receiver = ANY_MEMBER
            metadata = self._peers.handshake_metadata(receiver)
            async with stub.Exchange.open(metadata=metadata) as stream:
                connect = stream.send_request()
                await asyncio.wait_for(connect, _CONNECT_TIMEOUT_MS / 1_000)
                await self._run_stream(stream)
        finally:
            channel.close()

    async def _run_stream(self, stream: Any) -> None:
        writer = asyncio.create_task(self._write(stream))
        reader = asyncio.create_task(self._read(stream))
        tasks = (writer, reader)
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(self, stream: Any) -> None:
        while True:
            batch = await self._outbox.take()
            for frame in batch:
                call = self._calls.get(frame.call)
                if call is not None:
                    call.sent = True
            await stream.send_message(peer_pb2.Batch(frames=batch))

    async def _read(self, stream: Any) -> None:
        while True:
            batch = await stream.recv_message()
            if batch is None:
                raise PeerLost(f"{self._member} ended the stream")
            for frame in batch.frames:
                self._on_reply(frame)

    def _on_reply(self, frame: peer_pb2.Frame) -> None:
        call = self._calls.get(frame.call)
        if call is None or call.reply.done():
            self._peers.metrics.increment("peer.late_replies")
            return
        kind = frame.WhichOneof("body")
        if kind is None or kind == "failure":
            error = PeerLost(f"{self._member}: {frame.failure.detail}")
            call.reply.set_exception(error)
            return
        call.reply.set_result(getattr(frame, kind))


class Peers:
    """Calls and one-way messages to other daemons.

    Attributes:
      member: Member id of this daemon.
      lookup: Returns the address of a member, None if it is not known.
      clock: Source of time.
      metrics: Counters of this daemon.
      authenticator: Signs and checks handshakes.
      codec: Codec of all streams, which counts their bytes.
    """

    def __init__(
        self,
        member: ids.MemberId,
        lookup: AddressLookup,
        authenticator: authentication.Authenticator,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self.member = member
        self.lookup = lookup
        self.clock = clock
        self.metrics = metrics
        self.authenticator = authenticator
        self.codec = counting_codec.CountingCodec(metrics)
        self._links: dict[ids.MemberId, _Link] = {}
        self._retired_links: list[_Link] = []
        self._handlers: dict[str, Handler] = {}

    def add_handler(self, body_type: type, handler: Handler) -> None:
        """Registers the handler for messages of one type."""
        self._handlers[str(body_type.DESCRIPTOR.name).lower()] = handler  # type: ignore[attr-defined]

    def handler(self, kind: str) -> Handler | None:
        """Returns the handler for a field of `Frame.body`, None if none."""
        return self._handlers.get(kind)

    async def call(
        self, member: ids.MemberId, body: Body, timeout_ms: int
    ) -> Body:
        """Sends `body` to a member and returns its reply.

        If the call is cancelled or times out after the message was sent, a
        Cancel is sent to the peer.

        Raises:
          PeerUnreachable: The message was certainly not sent.
          PeerLost: The message may have reached the peer; no reply or a Failure
            came.
        """
        return await self._link(member).call(body, timeout_ms)

    def notify(self, member: ids.MemberId, body: Body) -> None:
        """Queues `body` for a member; it is not reported if it is lost."""
        self._link(member).notify(body)

    def set_identity(self, member: ids.MemberId) -> None:
        """Sends all further messages as `member`.

        A stream names its sender once, in its handshake, so new streams
        replace those opened under the earlier member id. `retain` closes the
        old ones when their calls have ended.
        """
        if member == self.member:
            return
        self.member = member
        self._retired_links.extend(self._links.values())
        self._links.clear()

    async def retain(self, members: set[ids.MemberId]) -> None:
        """Closes the links to all members that are not in `members`.

        Also closes links that were not used recently, and those opened under
        an earlier member id on which no call waits for its reply.
        """
        closing = [
            member
            for member, link in self._links.items()
            if member not in members or link.is_unused()
        ]
        for member in closing:
            await self._links.pop(member).close()
        idle = [link for link in self._retired_links if link.is_idle()]
        for link in idle:
            self._retired_links.remove(link)
            await link.close()

    async def close(self) -> None:
        """Closes all links."""
        links = [*self._links.values(), *self._retired_links]
        self._links.clear()
        self._retired_links.clear()
        for link in links:
            await link.close()

    def handshake_metadata(self, receiver: ids.MemberId) -> dict[str, str]:
        """Returns the metadata that opens a stream to `receiver`."""
        wall_ms = str(self.clock.wall_ms())
        text = _handshake_text(self.member, receiver, wall_ms)
        return {
            _MEMBER_FIELD: self.member,
            _RECEIVER_FIELD: receiver,
            _TIME_FIELD: wall_ms,
            _CODE_FIELD: self.authenticator.sign(text).hex(),
        }

    def verify_handshake(self, metadata: Any) -> ids.MemberId | None:
        """Returns the sender of a valid handshake with this daemon, or None."""
        sender = str(metadata.get(_MEMBER_FIELD, ""))
        receiver = str(metadata.get(_RECEIVER_FIELD, ""))
        wall_ms = str(metadata.get(_TIME_FIELD, ""))
        code = str(metadata.get(_CODE_FIELD, ""))
        try:
            age_ms = abs(self.clock.wall_ms() - int(wall_ms))
            code_bytes = bytes.fromhex(code)
        except ValueError:
            return None
        text = _handshake_text(sender, receiver, wall_ms)
        if not self.authenticator.is_valid(text, code_bytes):
            return None
        if (
            receiver not in (self.member, ANY_MEMBER)
            or age_ms > _HANDSHAKE_AGE_LIMIT_MS
        ):
            return None
        return ids.MemberId(sender)

    def _link(self, member: ids.MemberId) -> _Link:
        link = self._links.get(member)
        if link is None:
            link = _Link(self, member)
            self._links[member] = link
        return link
