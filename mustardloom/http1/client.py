"""HTTP/1.1 client connections that send one request at a time."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import dataclasses
from typing import Any

import httptools
from tornado import iostream

from mustardloom import descriptor_budget
from mustardloom import memory_budget
from mustardloom.http1 import bodies
from mustardloom.http1 import messages
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
# Called with the headers of a response as soon as its head is complete.
HeadCallback = Callable[[Sequence[messages.Header]], None]

_READ_BYTES = bodies.PIECE_BYTES
# Bounds on what one response may take of this process's memory.
_MAX_HEAD_BYTES = 64 * 1024
_MAX_BODY_BYTES = 8 * 1024 * 1024
# Bytes of chunk sizes and line ends for each byte of a body; a chunk of one
# byte needs five.
_MAX_FRAMING_RATIO = 6
_FIRST_FINAL_STATUS = 200
_MS_PER_S = 1_000
# Late responses to earlier requests that may precede the expected one.
_MAX_SKIPPED_RESPONSES = 4


class ConnectFailed(Exception):
    """The connection could not be opened; nothing was sent.

    Attributes:
      refused: Whether the connection was refused: no process listens there.
    """

    def __init__(self, error: BaseException):
        super().__init__(repr(error))
        cause = getattr(error, "real_error", None) or error
        self.refused = isinstance(cause, ConnectionRefusedError)


class ClosedEarly(Exception):
    """The connection closed before the first byte of the response."""


class Incomplete(Exception):
    """The response is truncated, too large or not valid HTTP."""


class UploadBroken(Incomplete):
    """The body of the request broke off after a part of it was sent."""


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
) -> "Connection":
    """Opens a connection.

    Args:
      address: Host and port.
      timeout_ms: Time within which it has to open.
      unread_bytes: Bytes that may arrive before they are read.
      share: Descriptors for connections of this kind.

    Raises:
      ConnectFailed: It was refused, failed or did not open in time.
    """
    try:
        stream = streams.open_stream(
            share or descriptor_budget.unlimited(),
            unread_bytes,
            max_buffer_size=_MAX_BODY_BYTES,
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

    def __init__(self, stream: iostream.IOStream):
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
            data += _encode_piece(body, await body.read())
        self.uses += 1
        # Set again only at the end of a complete exchange, so that a cancelled
        # or failed one leaves the connection unusable.
        self.is_reusable = False
        try:
            written = self._stream.write(data)
        except iostream.StreamClosedError as error:
            raise ClosedEarly from error
        written.add_done_callback(sockets.ignore_write_error)
        upload = _Upload(self._stream, body, written)
        if body is not None:
            self._pass(upload.run())
        parser = _ResponseParser(is_head, echoed_header, on_head, self.uses > 1)
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
        parser: "_ResponseParser",
        passage: Passage | None,
        upload: "_Upload",
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
        parser: "_ResponseParser",
        rest: bodies.Body,
        upload: "_Upload",
    ) -> None:
        """Passes on what follows of a response, as fast as it is read."""
        # Ends the reads below when nobody reads the body any more.
        rest.ended.add_done_callback(self._close_if_broken)
        try:
            while not parser.is_complete():
                await rest.wait_for_room()
                await self._receive_part(parser)
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

    def _finish(self, parser: "_ResponseParser", upload: "_Upload") -> None:
        upload.stop()
        self.is_reusable = (
            parser.is_connection_reusable
            and upload.is_complete
            and not self._stream.writing()
        )
        if not self.is_reusable:
            self._stream.close()

    async def _receive(
        self, parser: "_ResponseParser", passage: Passage | None
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

    async def _receive_part(self, parser: "_ResponseParser") -> int:
        """Reads some bytes, or the end; returns how many there were."""
        try:
            received = await self._stream.read_bytes(_READ_BYTES, partial=True)
        except iostream.StreamClosedError as error:
            parser.end(was_reset=error.real_error is not None)
            parser.response()
            return 0
        try:
            parser.feed(received)
        except Incomplete:
            self._stream.close()
            raise
        return len(received)


class _Upload:
    """Sends a body that passes in pieces, while the response is awaited.

    Attributes:
      is_complete: Whether all of it has been sent.
      is_broken: Whether it broke off.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        body: bodies.BodySource | None,
        written: "asyncio.Future[None]",
    ):
        self.is_complete = body is None
        self.is_broken = False
        self._stream = stream
        self._body = body
        self._written = written

    async def run(self) -> None:
        """Sends the pieces that follow the first one.

        A body that breaks off takes the connection with it, so that the server
        does not take it for a whole one.
        """
        body = self._body
        assert body is not None
        try:
            await self._written
            while not self.is_complete:
                piece = await body.read()
                await self._stream.write(_encode_piece(body, piece))
                self.is_complete = not piece
        except bodies.BodyBroken:
            self.is_broken = True
            sockets.reset(self._stream)
        except iostream.StreamClosedError:
            body.close()

    def stop(self) -> None:
        """Sends no more; what is left of the body is dropped."""
        if self._body is not None:
            self._body.close()


def _encode_piece(body: bodies.BodySource, piece: bytes) -> bytes:
    if body.length is not None:
        return piece
    return bodies.encode_chunk(piece) if piece else bodies.encode_last_chunk()


class _ResponseParser:
    """Parses the response to one request, skipping those to earlier ones."""

    def __init__(
        self,
        is_head: bool,
        identity: messages.Header | None,
        on_head: HeadCallback | None = None,
        is_identity_needed: bool = False,
    ):
        self._is_head = is_head
        self._identity = identity
        self._is_identity_needed = is_identity_needed
        self._on_head = on_head
        self._parser = httptools.HttpResponseParser(self)
        self._response: messages.Response | None = None
        # The body once it passes in pieces.
        self.rest: bodies.Body | None = None
        self._has_head = False
        # Whether this is the response to an earlier request.
        self._is_other = False
        self._body = bytearray()
        self._skipped = 0
        self._has_bytes = False
        self._has_extra_bytes = False
        self._is_kept_alive = False
        # Over the whole exchange, interim and skipped responses included.
        self._received_bytes = 0
        self._body_bytes = 0
        self._header_bytes = 0
        self._reset()

    @property
    def skipped(self) -> int:
        """Number of responses that were not to this request."""
        return self._skipped

    @property
    def is_connection_reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        is_complete = self._response is not None
        return is_complete and self._is_kept_alive and not self._has_extra_bytes

    def is_complete(self) -> bool:
        """Returns whether the response is complete."""
        return self._response is not None

    def is_long(self) -> bool:
        """Returns whether the body is too long to be awaited whole."""
        return (
            self._response is None
            and self._has_head
            and not self._is_other
            and len(self._body) > bodies.INLINE_BYTES
        )

    def start_passing(self, turns: bodies.Turns) -> messages.Response:
        """Returns the response, whose body passes in pieces from now on."""
        length = messages.find_header(self._headers, b"content-length")
        self.rest = bodies.Body(None if length is None else int(length), turns)
        self.rest.feed(self._body)
        self._body = bytearray()
        return messages.Response(
            self._status, tuple(self._headers), rest=self.rest
        )

    def response(self) -> messages.Response:
        """Returns the response.

        Raises:
          Incomplete: It is not complete.
        """
        if self._response is None:
            raise Incomplete(
                "the connection closed before the end of the response"
            )
        return self._response

    def feed(self, data: bytes) -> None:
        """Parses bytes that were received.

        Raises:
          Incomplete: They are not valid HTTP, or the response is too large.
        """
        self._has_bytes = True
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Bytes after a complete response answer no request; the connection
            # cannot be used again.
            self._has_extra_bytes = True
            if self._response is None:
                raise Incomplete(repr(error)) from error
        if self._response is None:
            self._check_size()

    def _check_size(self) -> None:
        """Ends a response that may go on without end.

        A body that passes in pieces may be of any size.
        """
        framing_bytes = self._received_bytes - self._body_bytes
        allowed_bytes = _MAX_FRAMING_RATIO * self._body_bytes
        if self.rest is None:
            if self._body_bytes > _MAX_BODY_BYTES:
                raise Incomplete(f"body of more than {_MAX_BODY_BYTES} bytes")
            allowed_bytes = min(allowed_bytes, _MAX_BODY_BYTES)
        allowed_bytes += _MAX_HEAD_BYTES
        if (
            framing_bytes > allowed_bytes
            or self._header_bytes > _MAX_HEAD_BYTES
        ):
            raise Incomplete(f"head of more than {_MAX_HEAD_BYTES} bytes")

    def end(self, was_reset: bool) -> None:
        """Handles the end of the connection.

        A response without a length ends with the connection, unless that was
        reset. Any other response that has begun stays incomplete.

        Raises:
          ClosedEarly: No byte of the response was received.
        """
        if not self._has_bytes:
            raise ClosedEarly
        if self._ends_with_connection and not was_reset:
            self._finish()
            self._is_kept_alive = False

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a response."""
        if self._response is not None:
            self._has_extra_bytes = True
            return
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        if self._response is None:
            self._headers.append((name, value))
            self._header_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Determines whether the body ends with the connection."""
        if self._response is not None:
            return
        self._has_head = True
        self._is_other = self._answers_other_request()
        self._status = self._parser.get_status_code()
        length = messages.find_header(self._headers, b"content-length")
        coding = messages.find_header(self._headers, b"transfer-encoding")
        self._ends_with_connection = (
            length is None
            and coding is None
            and self._status >= _FIRST_FINAL_STATUS
            and self._status not in (204, 304)
        )
        if (
            self._on_head is not None
            and self._status >= _FIRST_FINAL_STATUS
            and not self._is_other
        ):
            self._on_head(self._headers)
        if self._is_head:
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Adds a piece of the body."""
        if self._response is None:
            self._body_bytes += len(data)
            if self.rest is not None:
                self.rest.feed(data)
            elif not self._is_other:
                # One buffer, as a piece of a few bytes is a large object.
                self._body += data

    def on_message_complete(self) -> None:
        """Ends a response, unless it is an interim one (status 1xx)."""
        if self._response is None and self._status >= _FIRST_FINAL_STATUS:
            self._finish()
            self._is_kept_alive = (
                not self._is_head and self._parser.should_keep_alive()
            )

    def _reset(self) -> None:
        self._status = 0
        self._has_head = False
        self._is_other = False
        self._headers: list[messages.Header] = []
        self._body = bytearray()
        self._ends_with_connection = False

    def _finish(self) -> None:
        if self._answers_other_request():
            self._skip()
            return
        self._response = messages.Response(
            self._status, tuple(self._headers), bytes(self._body)
        )

    def _answers_other_request(self) -> bool:
        if self._identity is None:
            return False
        name, value = self._identity
        found = messages.find_header(self._headers, name)
        return self._is_identity_needed if found is None else found != value

    def _skip(self) -> None:
        self._skipped += 1
        if self._skipped > _MAX_SKIPPED_RESPONSES:
            self._response = None
            raise ValueError(
                "too many responses to other requests on this connection"
            )
        self._reset()
