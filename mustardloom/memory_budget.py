"""The one account of the bytes that a process holds for others.

Bodies, heads and answers on their way through a process stand in its memory
while the next hop is slow. Whoever is about to read such bytes asks here first,
so that their sum stays within a share of the process's limit of memory, however
many callers, targets and other daemons are slow at the same time.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import enum

from mustardloom import clock as clock_lib

__all__ = [
    "EVICTED_KINDS",
    "EvictableHold",
    "Hold",
    "HoldKind",
    "MemoryBudget",
    "StreamHold",
    "capacity_for",
    "unlimited",
]

# Share of the limit of a process that messages and bodies may take; links and
# receive buffers have as much again. The rest is for the code, connections,
# replicas, and copies that exist for a moment.
_CAPACITY_DIVISOR = 6
# A body that has not moved for this long loses its room to one that needs it.
_STALLED_MS = 2_000
_ROOM_POLL_MS = 10
# In place of the time of the last move: the body does not stand still.
_READY = 1 << 62
_BYTES_PER_MB = 1 << 20


class HoldKind(enum.Enum):
    """What the bytes belong to."""

    # Members are compared by identity; the hash of `Enum` is that of the name,
    # computed in Python for each look-up of the account.
    __hash__ = object.__hash__

    # Heads, bodies and answers that travel in one frame.
    MESSAGE = "message"
    # Bodies that pass through in pieces.
    STREAM = "stream"
    # Frames of other daemons that have arrived in part.
    PARTIAL_FRAME = "partial_frame"
    # What sockets may receive beyond the small window of each connection.
    RECEIVE_WINDOW = "receive_window"
    # Frames that wait until another daemon reads them.
    UNWRITTEN_FRAME = "unwritten_frame"
    # Heads of requests that have arrived in part, and requests that wait until
    # their caller reads earlier answers, as raw bytes.
    PARTIAL_HEAD = "partial_head"
    # Requests that follow others without an answer on one connection, and their
    # answers.
    PIPELINED = "pipelined"
    # Requests at the sockets that serve only small ones.
    SERVICE = "service"
    # Header fields of a request beyond a number that is usual.
    HEADER_FIELDS = "header_fields"


# A sender that has been silent for this long loses its room to others; without
# an entry, the one that has been silent the longest loses it at once.
_SILENT_MS_BY_KIND = {HoldKind.MESSAGE: 500}
# Share of the capacity that bodies in pieces may take, so that small messages
# get past any number of them.
_STREAM_SHARE = 0.75
# Room beside the capacity, as shares of it. Links must not end because callers
# fill the capacity, nor callers be refused because of a link.
_OWN_SHARE_BY_KIND = {
    HoldKind.PARTIAL_FRAME: 0.25,
    HoldKind.RECEIVE_WINDOW: 0.25,
    HoldKind.UNWRITTEN_FRAME: 0.5,
    HoldKind.PARTIAL_HEAD: 0.25,
    HoldKind.PIPELINED: 0.25,
    HoldKind.SERVICE: 0.25,
    HoldKind.HEADER_FIELDS: 0.25,
}
# Kinds whose holds may be taken away for others.
EVICTED_KINDS = (
    HoldKind.MESSAGE,
    HoldKind.STREAM,
    HoldKind.PARTIAL_HEAD,
    HoldKind.SERVICE,
)
# Kinds whose lack of room is reported to a caller as a refusal.
_REFUSED_KINDS = frozenset(
    (
        HoldKind.MESSAGE,
        HoldKind.STREAM,
        HoldKind.PARTIAL_HEAD,
        HoldKind.HEADER_FIELDS,
        HoldKind.SERVICE,
    )
)


class Hold:
    """Room for some bytes; given back by `release`.

    Attributes:
      size: Bytes that may be held.
      kind: What they belong to.
    """

    def __init__(self, budget: "MemoryBudget", size: int, kind: HoldKind):
        self.size = size
        self.kind = kind
        self._budget = budget

    def resize(self, size: int) -> bool:
        """Changes the size; returns False, without effect, if it has no room.

        Example:
          >>> budget = MemoryBudget(100, clock_lib.FakeClock())
          >>> hold = budget.try_hold(10)
          >>> hold.resize(90), hold.resize(200), budget.held_bytes
          (True, False, 90)
        """
        return self._budget.resize(self, size)

    def release(self) -> None:
        """Gives the room back; without effect the second time."""
        self._budget.release(self)


class StreamHold(Hold):
    """Room for a body that passes through in pieces.

    It is taken away, through `on_evicted`, if the body stands still while
    others need its room.
    """

    def __init__(self, budget: "MemoryBudget", size: int, now_ms: int):
        super().__init__(budget, size, HoldKind.STREAM)
        self.moved_ms = now_ms
        self.on_evicted: Callable[[], None] = lambda: None

    def mark_ready(self) -> None:
        """Records that the body waits for this process, not for its sender."""
        self.moved_ms = _READY

    def mark_moved(self) -> None:
        """Records that a piece of the body has passed."""
        self.moved_ms = self._budget.clock.now_ms()


class EvictableHold(Hold):
    """Room for bytes of a sender that may stop.

    If other bytes of its kind need room, the hold whose sender has been silent
    for the longest time is taken away, through `on_evicted`.
    """

    def __init__(
        self,
        budget: "MemoryBudget",
        kind: HoldKind,
        on_evicted: Callable[[], None],
    ):
        super().__init__(budget, 0, kind)
        self.on_evicted = on_evicted
        self.last_received_ms = 0
        self.is_pinned = False

    def pin(self) -> None:
        """Keeps the room from now on, as the bytes are complete."""
        self.is_pinned = True
        self._budget.pin(self)


class MemoryBudget:
    """Grants room for bytes up to a capacity.

    Args:
      capacity_bytes: Most bytes of messages and bodies at a time; frames and
        receive windows have as much beside it, each kind its own share.
      clock: Source of time.
      own_share_by_kind: Room of kinds beside the capacity, as shares of it,
        where it differs from the default.

    Attributes:
      held_bytes: Bytes for which room is given now.
      held_by_kind: The same by what they belong to.
      holds_by_kind: Number of holds by what they belong to.
      peak_bytes: Most bytes of messages and bodies so far.
      refused: Number of messages and bodies for which there was no room.
      evicted_by_kind: Number of holds that were taken away for others.
    """

    def __init__(
        self,
        capacity_bytes: int,
        clock: clock_lib.Clock,
        own_share_by_kind: Mapping[HoldKind, float] | None = None,
    ):
        self._own_share_by_kind = {
            **_OWN_SHARE_BY_KIND,
            **(own_share_by_kind or {}),
        }
        self.capacity_bytes = capacity_bytes
        self.clock = clock
        self.held_bytes = 0
        self.held_by_kind: collections.Counter[HoldKind] = collections.Counter()
        self.holds_by_kind: collections.Counter[HoldKind] = (
            collections.Counter()
        )
        # Bytes of messages and bodies.
        self._capacity_used = 0
        self.peak_bytes = 0
        self.refused = 0
        self.evicted_by_kind: collections.Counter[HoldKind] = (
            collections.Counter()
        )
        self._holds: set[Hold] = set()
        # By kind, in the order in which their senders were last heard of.
        self._evictable: dict[HoldKind, dict[EvictableHold, None]] = {}
        # In the order in which they were taken.
        self._streams: dict[StreamHold, None] = {}
        # Those who wait for room for a body, in order.
        self._queue = asyncio.Lock()

    def try_hold(
        self, size: int, kind: HoldKind = HoldKind.MESSAGE
    ) -> Hold | None:
        """Returns room for bytes of a kind, None if there is none."""
        hold = Hold(self, 0, kind)
        self._holds.add(hold)
        if self.resize(hold, size):
            self.holds_by_kind[kind] += 1
            return hold
        self._holds.discard(hold)
        return None

    def try_hold_evictable(
        self, size: int, kind: HoldKind, on_evicted: Callable[[], None]
    ) -> EvictableHold | None:
        """Returns room for bytes of a sender that may stop, None if none.

        Args:
          size: Number of bytes.
          kind: What the bytes belong to; it has a share of its own.
          on_evicted: Called when the room was taken away.
        """
        hold = EvictableHold(self, kind, on_evicted)
        self._holds.add(hold)
        if self.resize(hold, size):
            self.holds_by_kind[kind] += 1
            return hold
        self._holds.discard(hold)
        self._evictable[kind].pop(hold, None)
        return None

    def try_hold_stream(self, size: int) -> StreamHold | None:
        """Returns room for a body in pieces, None if there is none.

        Bodies that stand still lose their room first.
        """
        if not self._queue.locked() and self._make_stream_room(size):
            return self._add_stream(size)
        self.refused += 1
        return None

    async def hold_stream(self, size: int) -> StreamHold:
        """Returns room for a body in pieces as soon as there is some."""
        async with self._queue:
            while not self._make_stream_room(size):
                await self.clock.sleep_ms(_ROOM_POLL_MS)
            return self._add_stream(size)

    def resize(self, hold: Hold, size: int) -> bool:
        """Changes the size of a hold; returns False if there is no room.

        A hold that was released or evicted has none.
        """
        if hold not in self._holds:
            return False
        grown = size - hold.size
        if isinstance(hold, EvictableHold) and not hold.is_pinned:
            self._mark_received(hold)
        if grown > 0 and not self._has_room(grown, hold.kind):
            self._make_evictable_room(hold, grown)
            if not self._has_room(grown, hold.kind):
                # Without the others nobody is refused; they wait or do without.
                self.refused += hold.kind in _REFUSED_KINDS
                return False
        self._set_size(hold, size)
        return True

    def pin(self, hold: EvictableHold) -> None:
        """See `EvictableHold.pin`."""
        self._evictable[hold.kind].pop(hold, None)

    def release(self, hold: Hold) -> None:
        """Takes the room of a hold back."""
        if hold not in self._holds:
            return
        self._set_size(hold, 0)
        self._holds.discard(hold)
        self.holds_by_kind[hold.kind] -= 1
        if isinstance(hold, StreamHold):
            self._streams.pop(hold, None)
        if isinstance(hold, EvictableHold):
            self._evictable[hold.kind].pop(hold, None)

    def _mark_received(self, hold: EvictableHold) -> None:
        """Moves a hold behind those whose senders have been silent longer."""
        hold.last_received_ms = self.clock.now_ms()
        others = self._evictable.setdefault(hold.kind, {})
        others.pop(hold, None)
        others[hold] = None

    def _make_evictable_room(self, hold: Hold, grown: int) -> None:
        """Takes room from the senders that have been silent the longest."""
        share = self._own_share_by_kind.get(hold.kind, 1)
        if grown > self.capacity_bytes * share:
            # It would not fit if it were alone.
            return
        others = self._evictable.get(hold.kind, {})
        latest_ms = self.clock.now_ms() - _SILENT_MS_BY_KIND.get(hold.kind, 0)
        while not self._has_room(grown, hold.kind):
            oldest = next(iter(others), None)
            if (
                oldest is None
                or oldest is hold
                or oldest.last_received_ms > latest_ms
            ):
                return
            self._evict(oldest)

    def _evict(self, hold: StreamHold | EvictableHold) -> None:
        hold.release()
        self.evicted_by_kind[hold.kind] += 1
        hold.on_evicted()

    def _set_size(self, hold: Hold, size: int) -> None:
        if hold not in self._holds:
            return
        grown = size - hold.size
        hold.size = size
        self.held_bytes += grown
        self.held_by_kind[hold.kind] += grown
        if hold.kind not in self._own_share_by_kind:
            self._capacity_used += grown
            if self._capacity_used > self.peak_bytes:
                self.peak_bytes = self._capacity_used

    def _add_stream(self, size: int) -> StreamHold:
        hold = StreamHold(self, 0, self.clock.now_ms())
        self._holds.add(hold)
        self.holds_by_kind[hold.kind] += 1
        self._streams[hold] = None
        self._set_size(hold, size)
        return hold

    def _has_room(self, size: int, kind: HoldKind) -> bool:
        held = self.held_by_kind
        own_share = self._own_share_by_kind.get(kind)
        if own_share is not None:
            return held[kind] + size <= self.capacity_bytes * own_share
        if kind is HoldKind.STREAM:
            most_bytes = self.capacity_bytes * _STREAM_SHARE
            if held[kind] + size > most_bytes:
                return False
        return self._capacity_used + size <= self.capacity_bytes

    def _make_stream_room(self, size: int) -> bool:
        while not self._has_room(size, HoldKind.STREAM):
            stalled = min(
                self._streams, key=lambda hold: hold.moved_ms, default=None
            )
            if (
                stalled is None
                or self.clock.now_ms() - stalled.moved_ms < _STALLED_MS
            ):
                return False
            self._evict(stalled)
        return True


def capacity_for(memory_mb: int) -> int:
    """Returns the capacity in bytes for a process with this limit of memory.

    Example:
      >>> capacity_for(300) // (1 << 20)
      50
    """
    return memory_mb * _BYTES_PER_MB // _CAPACITY_DIVISOR


def unlimited(clock: clock_lib.Clock) -> MemoryBudget:
    """Returns a budget that never refuses, for processes without a limit."""
    return MemoryBudget(1 << 62, clock)
