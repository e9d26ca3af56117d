"""Signed UDP messages between the daemons of a fleet."""

import asyncio
from collections.abc import Callable
import enum
from typing import Any
from typing import cast
from typing import TypeVar

import msgspec

from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.membership import records
from mustardloom.relay import authentication

__all__ = [
    "Datagram",
    "DatagramEndpoint",
    "FenceQuery",
    "FenceStatement",
    "Handler",
    "LapseNotice",
    "Message",
    "Renew",
    "Renewed",
    "Statement",
    "UdpEndpoint",
]

# Senders whose last sequence number is kept. A replayed datagram of a sender
# that was dropped cannot extend a lease, since a member accepts each
# acknowledgement of a renewal only once.
_MAX_SENDERS = 10_000


class Statement(enum.Enum):
    """Answer of a witness about the lease of a member.

    HELD: has not lapsed at this witness. REFUSED: has lapsed, and renewals are
    refused from now on. GONE: another process has the address of the witness,
    and has run for longer than any lease that the witness acknowledged.
    """

    HELD = "held"
    REFUSED = "refused"
    GONE = "gone"


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of all messages.

    Attributes:
      sender: Member that sends the message.
      receiver: Member that it is addressed to.
    """

    sender: ids.MemberId
    receiver: ids.MemberId


class Renew(Message, frozen=True, kw_only=True, tag="renew"):
    """Asks a witness to confirm the sender's lease.

    Attributes:
      acknowledged: Whether the witness has ever acknowledged the sender. A
        witness without an entry for such a sender dropped it after a lapse,
        and refuses it.
    """

    acknowledged: bool


class Renewed(Message, frozen=True, kw_only=True, tag="renewed"):
    """Answers a Renew.

    Attributes:
      renewal: Sequence number of the renewal.
      refused: Whether the witness refuses all renewals of the member.
    """

    renewal: int
    refused: bool = False


class LapseNotice(Message, frozen=True, kw_only=True, tag="lapse"):
    """Notifies a fencing candidate that a lease has lapsed at a witness.

    It only starts an attempt to fence, whose result depends on the statements
    of the witnesses alone.
    """

    member: ids.MemberId


class FenceQuery(Message, frozen=True, kw_only=True, tag="query"):
    """Asks the witness `receiver` for a statement about `member`."""

    member: ids.MemberId


class FenceStatement(Message, frozen=True, kw_only=True, tag="statement"):
    """Answers a FenceQuery.

    Attributes:
      query: Sequence number of the query.
      witness: The witness that was asked.
      member: The member in question.
      statement: See `Statement`.
    """

    query: int
    witness: ids.MemberId
    member: ids.MemberId
    statement: Statement


AnyMessage = Renew | Renewed | LapseNotice | FenceQuery | FenceStatement


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Signed content of a datagram.

    Attributes:
      sequence: Increases with each datagram of the sending process.
      message: The message.
    """

    sequence: int
    message: AnyMessage


M = TypeVar("M", bound=Message)
# Receives the message, its sequence number and the address it came from.
Handler = Callable[[M, int, records.Address], None]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


class DatagramEndpoint:
    """Sends, checks and dispatches the datagrams of one process.

    Datagrams that are malformed, wrongly signed, replayed or addressed to
    another process are counted and dropped. One that arrives after a later
    datagram of the same sender counts as replayed.

    Attributes:
      member: Member id of the current incarnation of this process.
      own_ids: All member ids of this process, of earlier incarnations too.
    """

    def __init__(
        self,
        member: ids.MemberId,
        authenticator: authentication.Authenticator,
        metrics: metrics_lib.Metrics,
    ):
        self.member = member
        self.own_ids: set[ids.MemberId] = {member}
        self._authenticator = authenticator
        self._metrics = metrics
        self._sequence = 0
        self._sequence_by_sender: dict[ids.MemberId, int] = {}
        self._handlers: dict[type[Message], Handler[Any]] = {}

    def start_incarnation(self, member: ids.MemberId) -> None:
        """Sends as `member` from now on; earlier ids stay in `own_ids`."""
        self.member = member
        self.own_ids.add(member)

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Registers the handler of a message type, replacing an earlier one."""
        self._handlers[message_type] = handler

    def send(self, address: records.Address, message: Message) -> int:
        """Sends one datagram and returns its sequence number."""
        self._sequence += 1
        datagram = Datagram(self._sequence, cast(AnyMessage, message))
        payload = _encoder.encode(datagram)
        self._transmit(address, self._authenticator.sign(payload) + payload)
        return self._sequence

    def receive(self, data: bytes, source: records.Address) -> None:
        """Checks a received datagram and passes its message to the handler."""
        datagram = self._verify_and_decode(data)
        if datagram is None:
            return
        message = datagram.message
        if not self._is_addressed_here(message):
            self._metrics.increment("membership.datagrams_misaddressed")
            return
        if not self._accept_sequence(message.sender, datagram.sequence):
            self._metrics.increment("membership.datagrams_replayed")
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._metrics.increment("membership.datagrams_unhandled")
            return
        handler(message, datagram.sequence, source)

    def close(self) -> None:
        """Releases the address."""

    def _transmit(self, address: records.Address, data: bytes) -> None:
        raise NotImplementedError

    def _verify_and_decode(self, data: bytes) -> Datagram | None:
        code = data[: authentication.CODE_BYTES]
        payload = data[authentication.CODE_BYTES :]
        if not self._authenticator.is_valid(payload, code):
            self._metrics.increment("membership.datagrams_unauthenticated")
            return None
        try:
            return _decoder.decode(payload)
        except msgspec.DecodeError:
            self._metrics.increment("membership.datagrams_malformed")
            return None

    def _is_addressed_here(self, message: Message) -> bool:
        # Queries for an earlier process at this address are answered with GONE.
        if isinstance(message, FenceQuery):
            return True
        return message.receiver in self.own_ids

    def _accept_sequence(self, sender: ids.MemberId, sequence: int) -> bool:
        last = self._sequence_by_sender.pop(sender, 0)
        self._sequence_by_sender[sender] = max(last, sequence)
        if len(self._sequence_by_sender) > _MAX_SENDERS:
            least_recent = next(iter(self._sequence_by_sender))
            del self._sequence_by_sender[least_recent]
        return sequence > last


class _Protocol(asyncio.DatagramProtocol):
    """Passes datagrams of an asyncio transport to an endpoint."""

    def __init__(
        self, endpoint: DatagramEndpoint, metrics: metrics_lib.Metrics
    ):
        self._endpoint = endpoint
        self._metrics = metrics

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See base class."""
        self._metrics.increment("membership.bytes_received", len(data))
        self._endpoint.receive(data, records.Address(addr[0], addr[1]))


class UdpEndpoint(DatagramEndpoint):
    """Endpoint on a UDP socket; no other process can bind its address."""

    def __init__(
        self,
        member: ids.MemberId,
        authenticator: authentication.Authenticator,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__(member, authenticator, metrics)
        self._transport: asyncio.DatagramTransport | None = None

    async def bind(self, address: records.Address) -> records.Address:
        """Binds `address` and returns it with the port that was assigned.

        Raises:
          OSError: The address is in use or not available.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self, self._metrics),
            local_addr=(address.host, address.port),
        )
        self._transport = transport
        host, port = transport.get_extra_info("sockname")[:2]
        return records.Address(host, port)

    def close(self) -> None:
        """See base class."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _transmit(self, address: records.Address, data: bytes) -> None:
        if self._transport is None:
            self._metrics.increment("membership.datagrams_unsent")
            return
        self._metrics.increment("membership.bytes_sent", len(data))
        self._transport.sendto(data, (address.host, address.port))
