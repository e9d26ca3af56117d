"""HTTP/1.1 client connections that send one request at a time."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import socket

import httptools
from tornado import iostream

from mustardloom.http1 import messages
from mustardloom.http1 import sockets

__all__ = [
    "Address",
    "ClosedEarly",
    "ConnectFailed",
    "Connection",
    "HeadCallback",
    "Incomplete",
    "connect",
]

Address = tuple[str, int]
# Called with the headers of a response as soon as its head is complete.
HeadCallback = Callable[[Sequence[messages.Header]], None]

_READ_BYTES = 65_536
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


async def connect(address: Address, timeout_ms: int) -> "Connection":
    """Opens a connection.

    Raises:
      ConnectFailed: It was refused, failed or did not open in time.
    """
    try:
        stream = iostream.IOStream(
            socket.socket(), max_buffer_size=_MAX_BODY_BYTES
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
    ) -> messages.Response:
        """Sends a request and returns its response.

        Args:
          data: The encoded request.
          is_head: Whether it is a HEAD request, whose response has no body.
          echoed_header: Header of the request that the response repeats, its
            name in lower case. A response with another value is skipped, and
            so is one without it unless this is the first request of the
            connection, as it may be another copy of an earlier response. A
            value must not be used twice on a connection.
          on_head: Called with the head of the response, also of one that
            breaks off afterwards.

        Raises:
          ClosedEarly: The connection closed before the first byte.
          Incomplete: The response is truncated, too large or not valid HTTP.
        """
        self.uses += 1
        # Set again only at the end of a complete exchange, so that a cancelled
        # or failed one leaves the connection unusable.
        self.is_reusable = False
        try:
            self._stream.write(data).add_done_callback(
                sockets.ignore_write_error
            )
        except iostream.StreamClosedError as error:
            raise ClosedEarly from error
        parser = _ResponseParser(is_head, echoed_header, on_head, self.uses > 1)
        try:
            await self._receive(parser)
        finally:
            self.skipped += parser.skipped
        self.is_reusable = (
            parser.is_connection_reusable and not self._stream.writing()
        )
        if not self.is_reusable:
            self._stream.close()
        return parser.response()

    async def _receive(self, parser: "_ResponseParser") -> None:
        """Reads until the response is complete or the connection ends."""
        unyielded_bytes = 0
        while not parser.is_complete():
            try:
                received = await self._stream.read_bytes(
                    _READ_BYTES, partial=True
                )
            except iostream.StreamClosedError as error:
                parser.end(was_reset=error.real_error is not None)
                break
            try:
                parser.feed(received)
            except Incomplete:
                self._stream.close()
                raise
            unyielded_bytes += len(received)
            if unyielded_bytes >= _READ_BYTES:
                # Reads of bytes that have arrived already do not yield.
                unyielded_bytes = 0
                await asyncio.sleep(0)


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
        """Ends a response that may go on without end."""
        if self._body_bytes > _MAX_BODY_BYTES:
            raise Incomplete(f"body of more than {_MAX_BODY_BYTES} bytes")
        framing_bytes = self._received_bytes - self._body_bytes
        allowed_bytes = _MAX_HEAD_BYTES + min(
            _MAX_FRAMING_RATIO * self._body_bytes, _MAX_BODY_BYTES
        )
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
            and not self._answers_other_request()
        ):
            self._on_head(self._headers)
        if self._is_head:
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Adds a piece of the body."""
        if self._response is None:
            # One buffer, as a piece of a few bytes is a large object.
            self._body += data
            self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Ends a response, unless it is an interim one (status 1xx)."""
        if self._response is None and self._status >= _FIRST_FINAL_STATUS:
            self._finish()
            self._is_kept_alive = (
                not self._is_head and self._parser.should_keep_alive()
            )

    def _reset(self) -> None:
        self._status = 0
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
