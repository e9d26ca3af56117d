"""Messages between daemons: msgpack behind a four-byte length."""

from collections.abc import Iterator
import struct

import msgspec

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
    "Hello",
    "KeyLoad",
    "Ping",
    "Pong",
    "Refusal",
    "ReleaseQuery",
    "ReleaseReply",
    "Status",
    "StoredItem",
    "Suspect",
    "encode",
]

_LENGTH = struct.Struct("!I")
_MAX_FRAME_BYTES = 80 * 1024 * 1024


class _Base(msgspec.Struct, array_like=True, frozen=True):
    """Fields by position, which is short; new fields go to the end."""


class Hello(_Base, frozen=True, tag=0):
    """First frame of a link.

    Attributes:
      receiver: VM that the sender means; its address may be another's now.
      sender: Where the sender is reached.
    """

    sender: stored.DaemonRecord
    receiver: str
    started_ms: int


class Forward(_Base, frozen=True, tag=1):
    """A request on its way to the gate of a target.

    Attributes:
      number: Number of the call, unique on the link.
      objective_ms: Time left until the answer loses value; may be negative.
      deadline_ms: Time left.
      key: Key that decides the owner, -1 if none.
      may_wait: Whether to wait until keys on their way have arrived.
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


class Answer(_Base, frozen=True, tag=2):
    """The target's whole answer, with the load of its gate."""

    number: int
    status: int
    headers: tuple[messages.Header, ...]
    body: bytes
    running: int
    waiting: int


class Refusal(_Base, frozen=True, tag=3):
    """The request was certainly not run.

    Attributes:
      was_offered: Whether the target itself turned it away.
      owner: VM to ask instead, may be empty.
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
    """The caller is gone or has its answer."""

    number: int


class Status(_Base, frozen=True, tag=6):
    """State of a daemon and its target.

    Attributes:
      target: Name of the target, empty if none has reported.
      phase: Value of `peers.TargetPhase`.
      sent_by_you: Open requests at this gate that came from the receiver.
      key_rate: Requests a second for keys of the target.
      settled_version: Version of the key map by which the target has all its
        keys; 0 while some are on their way.
      changes: Latest change known of each kind of stored object.
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


class Pong(_Base, frozen=True, tag=7):
    """Sign of life on the way back, for each status and each ping.

    Attributes:
      words: Per service divided by key: its name, the newest map known, and
        whether the map was read from the store in this life.
      daemons: Number of daemons known.
    """

    words: tuple[tuple[str, int, bool], ...]
    daemons: int


class Ping(_Base, frozen=True, tag=16):
    """Asks for a sign of life."""


class Fetch(_Base, frozen=True, tag=8):
    """Asks for all objects of a kind."""

    number: int
    kind: str


class StoredItem(_Base, frozen=True):
    """One object of the store."""

    key: str
    version: int
    value: bytes


class Fetched(_Base, frozen=True, tag=9):
    """All objects of a kind, as of a version; also sent unasked."""

    number: int
    kind: str
    version: int
    items: tuple[StoredItem, ...]


class AuthorityQuery(_Base, frozen=True, tag=10):
    """Asks a daemon to read a key map from the store at once."""

    number: int
    service: str


class AuthorityReply(_Base, frozen=True, tag=11):
    """The key map as the store holds it; version 0 if it did not answer."""

    number: int
    version: int
    value: bytes


class ReleaseQuery(_Base, frozen=True, tag=12):
    """Asks an earlier owner which keys its target let go of.

    Attributes:
      ranges: First key, last key, fence under which the receiver had them.
    """

    number: int
    service: str
    map_version: int
    ranges: tuple[tuple[int, int, int], ...]


class ReleaseReply(_Base, frozen=True, tag=13):
    """Keys that are free, with handover tokens."""

    number: int
    released: tuple[tuple[int, int, str], ...]


class KeyLoad(_Base, frozen=True, tag=14):
    """Requests a second by ranges of keys, for the planner."""

    service: str
    loads: tuple[tuple[int, int, float], ...]


class Suspect(_Base, frozen=True, tag=15):
    """A request that was in flight when a target crashed; 0 clears it."""

    fingerprint: int
    crashes: int


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
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Returns the bytes of a frame."""
    data = _encoder.encode(frame)
    return _LENGTH.pack(len(data)) + data


class FrameBuffer:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames that are whole.

        Raises:
          ValueError: The bytes are no frames.
        """
        self._data += data
        start = 0
        while len(self._data) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._data, start)
            if size > _MAX_FRAME_BYTES:
                raise ValueError(f"frame of {size} bytes")
            end = start + _LENGTH.size + size
            if len(self._data) < end:
                break
            yield _decoder.decode(self._data[start + _LENGTH.size : end])
            start = end
        del self._data[:start]
