"""HTTP/1.1 client connections that send one request at a time."""

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any

from tornado import iostream

from mustardloom import descriptor_budget
from mustardloom import memory_budget
from mustardloom.http1 import bodies
from mustardloom.http1 import client_errors
from mustardloom.http1 import messages
from mustardloom.http1 import request_upload
from mustardloom.http1 import response_parser
from mustardloom.http1 import sockets
from mustardloom.http1 import streams

__all__ = [
    "Address",
    "ClosedEarly",
    "ConnectFailed",
    "Connection",
    "HeadCallback",
    "Incomplete",
    "Passage",
    "UploadBroken",
    "connect",
]

Address = tuple[str, int]
# Part of the interface of a connection.
HeadCallback = response_parser.HeadCallback
ClosedEarly = client_errors.ClosedEarly
ConnectFailed = client_errors.ConnectFailed
Incomplete = client_errors.Incomplete
UploadBroken = client_errors.UploadBroken

_READ_BYTES = bodies.PIECE_BYTES
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Passage:
    """How long bodies pass through this process in pieces.

    Attributes:
      budget: Grants room for the body of a response.
      turns: Order in which bodies are read.
    """

    budget: memory_budget.MemoryBudget
    turns: bodies.Turns


async def connect(
    address: Address,
    timeout_ms: int,
    unread_bytes: int = sockets.REMOTE_UNREAD_BYTES,
    share: descriptor_budget.Share | None = None,
    may_wait: bool = False,
) -> "Connection":
    """Opens a connection.

    Args:
      address: Host and port.
      timeout_ms: Time within which it has to open, once it has a descriptor.
      unread_bytes: Bytes that may arrive before they are read.
      share: Descriptors for connections of this kind.
      may_wait: Whether it waits until there is a descriptor.

    Raises:
      ConnectFailed: It was refused, failed or did not open in time.
    """
    share = share or descriptor_budget.unlimited()
    try:
        stream = streams.open_stream(
            await share.take_when_free() if may_wait else share.take(),
            unread_bytes,
            max_buffer_size=response_parser.MAX_BODY_BYTES,
            read_chunk_size=_READ_BYTES,
        )
    except OSError as error:
        raise ConnectFailed(error) from error
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            await stream.connect(address)
    except OSError as error:
        stream.close()
        raise ConnectFailed(error) from error
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return Connection(stream)


class Connection:
    """One connection, for one request at a time.

    Attributes:
      is_reusable: Whether the last exchange was complete, nothing followed
        the response, and the server keeps the connection open.
      uses: Requests sent so far.
      skipped: Responses received so far that answered none of them, or not the
        latest one.
    """

    def __init__(self, stream: streams.CountedStream):
        self.is_reusable = True
        self.uses = 0
        self.skipped = 0
        self._stream = stream
        # Tasks that pass on the bodies of the exchange.
        self._passing: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Closes the connection."""
        self.is_reusable = False
        self._stream.close()

    def is_usable(self) -> bool:
        """Returns whether a request can be sent: open, no unread bytes."""
        stream = self._stream
        if not self.is_reusable or stream.closed():
            return False
        return sockets.is_open_and_empty(stream.socket)

    async def exchange(
        self,
        data: bytes,
        is_head: bool = False,
        echoed_header: messages.Header | None = None,
        on_head: HeadCallback | None = None,
        body: bodies.BodySource | None = None,
        passage: Passage | None = None,
    ) -> messages.Response:
        """Sends a request and returns its response.

        Args:
          data: The encoded request, without a body that passes in pieces.
          is_head: Whether it is a HEAD request, whose response has no body.
          echoed_header: Header of the request that the response repeats, its
            name in lower case. A response with another value is skipped, and
            so is one without it unless this is the first request of the
            connection, as it may be another copy of an earlier response. A
            value must not be used twice on a connection.
          on_head: Called with the head of the response, also of one that
            breaks off afterwards.
          body: Body of the request if it passes in pieces.
          passage: How a long body of the response passes in pieces; None to
            read it whole.

        Raises:
          BodyBroken: The body of the request broke off before its first piece;
            nothing was sent.
          ClosedEarly: The connection closed before the first byte.
          Incomplete: The response is truncated, too large or not valid HTTP.
          UploadBroken: The body of the request broke off later.
        """
        if body is not None:
            data += request_upload.encode_piece(body, await body.read())
        self.uses += 1
        # Set again only at the end of a complete exchange, so that a cancelled
        # or failed one leaves the connection unusable.
        self.is_reusable = False
        try:
            written = self._stream.write(data)
        except iostream.StreamClosedError as error:
            raise ClosedEarly from error
        sockets.when_written(written, sockets.ignore_write_error)
        upload = request_upload.Upload(self._stream, body, written)
        if body is not None:
            self._pass(upload.run())
        parser = response_parser.ResponseParser(
            is_head, echoed_header, on_head, self.uses > 1
        )
        try:
            await self._receive(parser, passage)
            response = await self._response(parser, passage, upload)
        except (ClosedEarly, Incomplete):
            if upload.is_broken:
                raise UploadBroken from None
            raise
        finally:
            self.skipped += parser.skipped
            if parser.rest is None:
                self._finish(parser, upload)
        return response

    def _pass(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._passing.add(task)
        task.add_done_callback(self._passing.discard)

    async def _response(
        self,
        parser: response_parser.ResponseParser,
        passage: Passage | None,
        upload: request_upload.Upload,
    ) -> messages.Response:
        """Returns the response; the rest of a long body follows in pieces."""
        if passage is None or parser.is_complete():
            return parser.response()
        hold = await passage.budget.hold_stream(bodies.STREAM_BYTES)
        response = parser.start_passing(passage.turns)
        rest = parser.rest
        assert rest is not None
        rest.on_ready = hold.mark_ready
        rest.on_moved = hold.mark_moved
        hold.on_evicted = rest.close
        rest.released.add_done_callback(lambda _: hold.release())
        self._pass(self._receive_rest(parser, rest, upload))
        return response

    async def _receive_rest(
        self,
        parser: response_parser.ResponseParser,
        rest: bodies.Body,
        upload: request_upload.Upload,
    ) -> None:
        """Passes on what follows of a response, as fast as it is read."""
        # Ends the reads below when nobody reads the body any more.
        rest.ended.add_done_callback(self._close_if_broken)
        unyielded_bytes = 0
        try:
            while not parser.is_complete():
                await rest.wait_for_room()
                unyielded_bytes += await self._receive_part(parser)
                if unyielded_bytes >= _READ_BYTES:
                    # A body in short chunks fills its room late.
                    unyielded_bytes = 0
                    await asyncio.sleep(0)
        except (ClosedEarly, Incomplete):
            pass
        finally:
            self._finish(parser, upload)
            if not parser.is_complete():
                rest.fail()
            elif not rest.ended.done():
                rest.end()

    def _close_if_broken(self, ended: "asyncio.Future[bool]") -> None:
        if not ended.result():
            self.close()

    def _finish(
        self,
        parser: response_parser.ResponseParser,
        upload: request_upload.Upload,
    ) -> None:
        upload.stop()
        self.is_reusable = (
            parser.is_connection_reusable
            and upload.is_complete
            and not self._stream.writing()
        )
        if not self.is_reusable:
            self._stream.close()

    async def _receive(
        self, parser: response_parser.ResponseParser, passage: Passage | None
    ) -> None:
        """Reads a response whole, or until its body is to pass in pieces."""
        unyielded_bytes = 0
        while not parser.is_complete():
            if passage is not None and parser.is_long():
                return
            unyielded_bytes += await self._receive_part(parser)
            if unyielded_bytes >= _READ_BYTES:
                # Reads of bytes that have arrived already do not yield.
                unyielded_bytes = 0
                await asyncio.sleep(0)

    async def _receive_part(
        self, parser: response_parser.ResponseParser
    ) -> int:
        """Reads some bytes, or the end; returns how many there were."""
        try:
            received = await self._stream.read_bytes(_READ_BYTES, partial=True)
        except iostream.StreamClosedError:
            parser.end(is_ended_by_peer=self._stream.is_ended_by_peer)
            parser.response()
            return 0
        try:
            parser.feed(received)
        except Incomplete:
            self._stream.close()
            raise
        return len(received)
