"""Frames between daemons: msgpack, preceded by its length in four bytes."""

from collections.abc import Iterator
import struct

import msgspec

from mustardloom import decoding
from mustardloom.deployment import stored
from mustardloom.http1 import messages

__all__ = [
    "Answer",
    "AuthorityQuery",
    "AuthorityReply",
    "Cancel",
    "Failure",
    "Fetch",
    "Fetched",
    "Forward",
    "Frame",
    "FrameBuffer",
    "Goodbye",
    "Hello",
    "KeyLoad",
    "ListingQuery",
    "ListingReply",
    "LoadQuery",
    "LoadReply",
    "Overdue",
    "Ping",
    "Pong",
    "Refusal",
    "ReleaseQuery",
    "ReleaseReply",
    "Status",
    "StoredItem",
    "Suspect",
    "TargetLeft",
    "TargetLimited",
    "TokenQuery",
    "TokenReply",
    "Transfer",
    "encode",
]

_LENGTH = struct.Struct("!I")
# Above all replicas of one kind of stored objects.
_MAX_FRAME_BYTES = 16 * 1024 * 1024
UNKNOWN_LENGTH = -1


class _Base(msgspec.Struct, array_like=True, frozen=True):
    """Encodes fields by position to save bytes; add new ones at the end."""


class Hello(_Base, frozen=True, tag=0):
    """First frame of a link.

    Attributes:
      sender: Where the sender is reached.
      receiver: VM that the link is meant for; another VM may have taken over
        its address.
      started_ms: Unix time of the start of the sender's process.
    """

    sender: stored.DaemonRecord
    receiver: str
    started_ms: int


class Transfer(_Base, frozen=True):
    """A body that the receiver of the frame fetches in pieces.

    Attributes:
      token: Name of the body at the sender.
      length: Its size in bytes, `UNKNOWN_LENGTH` if it was not announced.
    """

    token: str
    length: int


class Forward(_Base, frozen=True, tag=1):
    """A request for the target of the receiver; see also `work.Work`.

    Attributes:
      number: Number of the call, unique on the link.
      objective_ms: Time left to meet the latency objective; may be negative.
      deadline_ms: Time left until the deadline.
      key: Key that decides the owner, -1 if none.
      may_wait: Whether to wait for a key that is being handed over.
      expires_ms: The deadline by the receiver's clock, so that a frame that
        is delayed gets no more time; 0 if that clock is not known.
      transfer: The body if it is not in the frame.
      organisation: Organisation of the caller, empty if it has none.
      hears_overdue: Whether the sender understands `Overdue`.
    """

    number: int
    service: str
    method: str
    target: str
    headers: tuple[messages.Header, ...]
    body: bytes
    request_id: str
    route: str
    caller_service: str
    is_idempotent: bool
    priority: int
    objective_ms: int
    deadline_ms: int
    key: int
    may_wait: bool
    fingerprint: int
    is_call: bool
    expires_ms: int = 0
    transfer: Transfer | None = None
    organisation: str = ""
    hears_overdue: bool = False


class Answer(_Base, frozen=True, tag=2):
    """The response of the target, with the load of its gate.

    Attributes:
      number: Number of the call.
      running: Requests that the target runs now.
      waiting: Requests in the queue of the gate.
      rate_limit_per_s: Requests a second that the target takes; None for any
        number.
      transfer: The body if it is not in the frame.
    """

    number: int
    status: int
    headers: tuple[messages.Header, ...]
    body: bytes
    running: int
    waiting: int
    rate_limit_per_s: float | None = None
    transfer: Transfer | None = None


class Refusal(_Base, frozen=True, tag=3):
    """The request was certainly not run.

    Attributes:
      was_offered: Whether the target itself refused it.
      owner: VM to ask instead, empty if none is known.
    """

    number: int
    reason: str
    retry_after_ms: int
    was_offered: bool
    owner: str


class Failure(_Base, frozen=True, tag=4):
    """The request may have run."""

    number: int
    reason: str


class Cancel(_Base, frozen=True, tag=5):
    """Cancels a call: the caller is gone or has its answer."""

    number: int


class Overdue(_Base, frozen=True, tag=26):
    """The target may leave a request unanswered; its call goes on.

    Attributes:
      number: Number of the call on the link that the receiver dialled.
    """

    number: int


class Status(_Base, frozen=True, tag=6):
    """State of a daemon and its target.

    Attributes:
      target: Name of the target, empty before its first heartbeat.
      born_ms: Unix time of the start of the target.
      phase: Value of `fleet.TargetPhase`.
      limit: Requests that the target runs at once.
      sent_by_you: Open requests at this gate that came from the receiver.
      key_rate: Requests a second for keys of the target.
      settled_version: Version of the key map under which the target waits for
        no earlier owner; 0 while it waits for one.
      store_answers: Whether the store answers the sender.
      changes: Version of the sender's replica of each kind of stored object.
      rate_limit_per_s: Requests a second that the target takes; None for any
        number.
      left_target: Name of the target that left last, empty if none has left
        since the last start.
      left_born_until_ms: Unix time; its instances up to that time have left.
    """

    target: str
    born_ms: int
    phase: int
    limit: int
    running: int
    waiting: int
    sent_by_you: int
    service_ms: int
    steady_service_ms: int
    failure_percent: int
    key_rate: int
    is_stopping: bool
    settled_version: int
    store_answers: bool
    changes: tuple[int, ...]
    rate_limit_per_s: float | None = None
    left_target: str = ""
    left_born_until_ms: int = 0


class Pong(_Base, frozen=True, tag=7):
    """Answer to each status and each ping.

    Attributes:
      words: For each keyed service its name, the version of the newest key map
        that the sender knows, and whether the sender has read the map from the
        store since its process began.
      daemons: Number of daemons that the sender knows, which earlier releases
        count majorities by.
      clock_ms: The sender's clock.
      map_era: Latest era of the store in which the sender knows of key maps.
    """

    words: tuple[tuple[str, int, bool], ...]
    daemons: int
    clock_ms: int
    map_era: int = 0


class Ping(_Base, frozen=True, tag=16):
    """Asks for a `Pong`."""


class LoadQuery(_Base, frozen=True, tag=17):
    """Asks for the load of the receiver's target."""

    number: int


class LoadReply(_Base, frozen=True, tag=18):
    """Load of the sender's target at this moment; see also `Status`.

    Attributes:
      is_open: Whether the target takes new requests.
      rate_limit_per_s: Requests a second that it takes; None for any number.
    """

    number: int
    is_open: bool
    limit: int
    running: int
    waiting: int
    service_ms: int
    failure_percent: int
    rate_limit_per_s: float | None = None


class Fetch(_Base, frozen=True, tag=8):
    """Asks for the receiver's replicas of all objects of a kind."""

    number: int
    kind: str


class StoredItem(_Base, frozen=True):
    """One object of the store."""

    key: str
    version: int
    value: bytes


class Fetched(_Base, frozen=True, tag=9):
    """All objects of a kind, as of a version of the store.

    Attributes:
      number: Number of the call, 0 if nobody asked.
    """

    number: int
    kind: str
    version: int
    items: tuple[StoredItem, ...]


class AuthorityQuery(_Base, frozen=True, tag=10):
    """Asks the receiver which key map is the newest one in the store.

    Attributes:
      known_version: Version of the map's object that the sender knows.
    """

    number: int
    service: str
    known_version: int = 0


class AuthorityReply(_Base, frozen=True, tag=11):
    """The key map as the store holds it.

    Attributes:
      version: Version of the map's object; 0 if the store did not answer or
        holds no map.
      value: The map; empty if it is the one that the asker knows.
      age_ms: Time since the read of the store began.
    """

    number: int
    version: int
    value: bytes
    age_ms: int = 0


class ReleaseQuery(_Base, frozen=True, tag=12):
    """Asks an earlier owner which keys its target has released.

    Attributes:
      map_version: Newest version of the key map that the sender knows.
      ranges: Rows of first key, last key, fencing token under which the
        receiver had the keys.
    """

    number: int
    service: str
    map_version: int
    ranges: tuple[tuple[int, int, int], ...]


class ReleaseReply(_Base, frozen=True, tag=13):
    """Keys that the target of the sender has released.

    Attributes:
      released: Rows of first key, last key, handover token or empty string.
    """

    number: int
    released: tuple[tuple[int, int, str], ...]


class KeyLoad(_Base, frozen=True, tag=14):
    """Load of a target by range of keys, for the planner.

    Attributes:
      loads: Rows of first key, last key, requests a second.
    """

    service: str
    loads: tuple[tuple[int, int, float], ...]


class TargetLeft(_Base, frozen=True, tag=19):
    """Tells a daemon that was restarted that its target had left before.

    Attributes:
      target: Name of the target.
      born_until_ms: Unix time; instances that were started later have not left.
    """

    target: str
    born_until_ms: int


class TargetLimited(_Base, frozen=True, tag=20):
    """Tells a daemon that was restarted which rate its target had stated.

    Attributes:
      target: Name of the target.
      born_ms: Unix time of the start of the target.
      rate_per_s: Requests a second that the target takes.
    """

    target: str
    born_ms: int
    rate_per_s: float


class Suspect(_Base, frozen=True, tag=15):
    """A request that was in flight when a target crashed.

    Attributes:
      fingerprint: Equal for repetitions of the same request.
      crashes: Crashes with this request in flight so far; 0 if it is no longer
        suspected.
    """

    fingerprint: int
    crashes: int


class Goodbye(_Base, frozen=True, tag=21):
    """Last frame of a daemon that stops: it reads nothing more on this stream.

    Attributes:
      last_number: Highest number of a call that it has read; calls with higher
        numbers were certainly not run.
    """

    last_number: int


class TokenQuery(_Base, frozen=True, tag=22):
    """Asks an owner for tokens of an organisation.

    Attributes:
      needed: Tokens for requests that wait.
      ahead: Tokens for later ones, if there are enough.
    """

    number: int
    organisation: str
    needed: int
    ahead: int


class TokenReply(_Base, frozen=True, tag=23):
    """Tokens that the sender gives.

    Attributes:
      retry_ms: Time until there may be more, 0 if there are now.
      is_owner: Whether the sender serves a shard of the organisation.
    """

    number: int
    tokens: int
    retry_ms: int
    is_owner: bool


class ListingQuery(_Base, frozen=True, tag=24):
    """Asks whether the receiver's list of daemons contains the sender."""

    number: int


class ListingReply(_Base, frozen=True, tag=25):
    """Whether the list of daemons that the sender uses contains the asker."""

    number: int
    is_listed: bool


Frame = (
    Hello
    | Forward
    | Answer
    | Refusal
    | Failure
    | Cancel
    | Status
    | Pong
    | Ping
    | Fetch
    | Fetched
    | AuthorityQuery
    | AuthorityReply
    | ReleaseQuery
    | ReleaseReply
    | KeyLoad
    | Suspect
    | LoadQuery
    | LoadReply
    | TargetLeft
    | TargetLimited
    | Goodbye
    | TokenQuery
    | TokenReply
    | ListingQuery
    | ListingReply
    | Overdue
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Returns a frame as bytes, its length included."""
    data = _encoder.encode(frame)
    return _LENGTH.pack(len(data)) + data


class FrameBuffer:
    """Collects the bytes of a stream and decodes its frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def size(self) -> int:
        """Bytes of a frame that has arrived in part."""
        return len(self._data)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Adds bytes and yields the frames that are complete.

        Raises:
          ValueError: The bytes are not frames, or a frame is too large.
        """
        self._data += data
        start = 0
        while len(self._data) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._data, start)
            if size > _MAX_FRAME_BYTES:
                raise ValueError(f"frame too large: {size} bytes")
            end = start + _LENGTH.size + size
            if len(self._data) < end:
                break
            frame = self._data[start + _LENGTH.size : end]
            yield decoding.decode_msgpack(frame, _decoder)
            start = end
        del self._data[:start]
