"""Accepts the connections of other daemons: links and fetches of bodies."""

import asyncio
from collections.abc import Callable
import itertools
from typing import Protocol

from tornado import iostream

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import ids
from mustardloom.http1 import listener
from mustardloom.http1 import sockets
from mustardloom.http1 import streams
from mustardloom.sidecar import incoming_link
from mustardloom.sidecar import transfers

__all__ = ["PeerServer", "PeerServerOwner", "TransferHandler"]

# Called with a stream whose first byte was `transfers.PREFACE`.
TransferHandler = Callable[[iostream.IOStream], None]

# A daemon tells at once who it is.
_MIN_UNKNOWN_MS = 500
_EVICTION_BATCH = 64
# Each may have a wide window of bytes that are not read.
_BACKLOG = 128


class PeerServerOwner(incoming_link.LinkReceiver, Protocol):
    """What the server needs of the links of its daemon.

    Attributes:
      clock: Source of time.
      accept_share: Descriptors for the connections.
      on_transfer: Called with a connection on which a peer fetches a body.
    """

    clock: clock_lib.Clock
    accept_share: descriptor_budget.Share
    on_transfer: TransferHandler


class PeerServer:
    """Accepts the connections that peers dial."""

    def __init__(self, owner: PeerServerOwner):
        self._owner = owner
        self._listener = listener.Listener(
            owner.accept_share,
            self._on_accepted,
            sockets.REMOTE_UNREAD_BYTES,
            _BACKLOG,
        )
        owner.accept_share.add_evictor(self._evict)
        self._link_by_stream: dict[
            iostream.IOStream, incoming_link.IncomingLink
        ] = {}
        # Local time at which a stream was accepted, for those that may not
        # have told yet what they are for; in this order.
        self._accepted_ms: dict[iostream.IOStream, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port.

        Raises:
          OSError: The address is in use or not available.
        """
        return self._listener.listen(host, port)

    def close(self) -> None:
        """Accepts no more connections and closes the open links."""
        self._listener.close()
        for stream in list(self._link_by_stream):
            stream.close()

    def is_writing(self) -> bool:
        """Returns whether a stream has bytes that are not written yet."""
        return any(stream.writing() for stream in self._link_by_stream)

    def has_streams(self) -> bool:
        """Returns whether a link is open."""
        return bool(self._link_by_stream)

    def end_streams(self, replies_ms: int) -> None:
        """Accepts no more connections; sends the end of all links."""
        self._listener.close()
        for link in list(self._link_by_stream.values()):
            link.end(replies_ms)

    def _on_accepted(self, stream: streams.CountedStream) -> None:
        stream.set_nodelay(True)
        self._accepted_ms[stream] = self._owner.clock.now_ms()
        task = asyncio.ensure_future(self._serve(stream))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, Exception):
            self._owner.on_fault(ids.VmId(""), error)

    async def _serve(self, stream: streams.CountedStream) -> None:
        try:
            first = await stream.read_bytes(len(transfers.PREFACE))
            if first == transfers.PREFACE:
                self._owner.on_transfer(stream)
                return
            link = incoming_link.IncomingLink(self._owner, stream)
            self._link_by_stream[stream] = link
            await link.run(first)
        except iostream.StreamClosedError:
            pass
        finally:
            self._accepted_ms.pop(stream, None)
            self._link_by_stream.pop(stream, None)

    def _evict(self) -> int:
        """Closes streams that do not tell what they are for."""
        latest_ms = self._owner.clock.now_ms() - _MIN_UNKNOWN_MS
        for stream in list(self._accepted_ms):
            link = self._link_by_stream.get(stream)
            if link is not None and link.vm is not None:
                del self._accepted_ms[stream]
        unknown = itertools.takewhile(
            lambda stream: self._accepted_ms[stream] <= latest_ms,
            self._accepted_ms,
        )
        evicted = list(itertools.islice(unknown, _EVICTION_BATCH))
        for stream in evicted:
            del self._accepted_ms[stream]
            stream.close()
        return len(evicted)
