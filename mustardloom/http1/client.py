"""HTTP/1.1 client connections that send one request at a time."""

import asyncio
import socket

import httptools
from tornado import iostream

from mustardloom.http1 import messages
from mustardloom.http1 import sockets

__all__ = [
    "Address",
    "ClosedBeforeResponse",
    "ConnectFailed",
    "Connection",
    "IncompleteResponse",
    "connect",
]

Address = tuple[str, int]

_READ_BYTES = 65_536
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_CONTINUE_BELOW = 200
_MS_PER_S = 1_000
# Answers to earlier requests that may lie before the expected one.
_MAX_FOREIGN_RESPONSES = 4


class ConnectFailed(Exception):
    """No connection was made; nothing was sent.

    Attributes:
      refused: Nobody listens on the address.
    """

    def __init__(self, error: BaseException):
        super().__init__(repr(error))
        cause = getattr(error, "real_error", None) or error
        self.refused = isinstance(cause, ConnectionRefusedError)


class ClosedBeforeResponse(Exception):
    """The connection ended before any byte of the response."""


class IncompleteResponse(Exception):
    """The response is cut off or not valid."""


async def connect(address: Address, timeout_ms: int) -> "Connection":
    """Opens a connection.

    Raises:
      ConnectFailed: The address does not answer in time.
    """
    try:
        stream = iostream.IOStream(
            socket.socket(), max_buffer_size=_MAX_RESPONSE_BYTES
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
    """One connection; whoever uses it sends one request at a time.

    Attributes:
      is_reusable: Whether the last exchange left the connection clean.
      uses: Requests sent so far.
    """

    def __init__(self, stream: iostream.IOStream):
        self.is_reusable = True
        self.uses = 0
        self._stream = stream

    def close(self) -> None:
        """Closes the connection."""
        self.is_reusable = False
        self._stream.close()

    def is_open(self) -> bool:
        """Returns whether it can be used, with nothing left to read."""
        stream = self._stream
        if not self.is_reusable or stream.closed():
            return False
        return sockets.is_open_and_empty(stream.socket)

    async def exchange(
        self,
        data: bytes,
        is_head: bool = False,
        identity: messages.Header | None = None,
    ) -> messages.Response:
        """Sends a request and returns its response.

        Args:
          data: The encoded request.
          is_head: Whether the response has no body.
          identity: Header, with its name in lower case, that the response
            repeats; a response with another value is skipped.

        Raises:
          ClosedBeforeResponse: No byte came back.
          Incomplete: The response is cut off or not valid.
        """
        self.uses += 1
        # Stays so until the exchange has come to a clean end.
        self.is_reusable = False
        try:
            self._stream.write(data).add_done_callback(_ignore_closed)
        except iostream.StreamClosedError as error:
            raise ClosedBeforeResponse from error
        reader = _Reader(is_head, identity)
        while not reader.is_complete():
            try:
                piece = await self._stream.read_bytes(_READ_BYTES, partial=True)
            except iostream.StreamClosedError as error:
                reader.end(was_reset=error.real_error is not None)
                break
            reader.feed(piece)
        self.is_reusable = reader.leaves_clean and not self._stream.writing()
        if not self.is_reusable:
            self._stream.close()
        return reader.response()


class _Reader:
    """Reads the response to one request."""

    def __init__(self, is_head: bool, identity: messages.Header | None):
        self._is_head = is_head
        self._identity = identity
        self._parser = httptools.HttpResponseParser(self)
        self._response: messages.Response | None = None
        self._skipped = 0
        self._has_bytes = False
        self._has_extra = False
        self._keeps_alive = False
        self._reset()

    @property
    def leaves_clean(self) -> bool:
        """Returns whether the connection can take another request."""
        done = self._response is not None
        return done and self._keeps_alive and not self._has_extra

    def is_complete(self) -> bool:
        """Returns whether the response is whole."""
        return self._response is not None

    def response(self) -> messages.Response:
        """Returns the response.

        Raises:
          Incomplete: It is not whole.
        """
        if self._response is None:
            raise IncompleteResponse("the response is cut off")
        return self._response

    def feed(self, data: bytes) -> None:
        """Adds bytes of the connection.

        Raises:
          Incomplete: They are no valid response.
        """
        self._has_bytes = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Bytes after a whole response belong to no request.
            self._has_extra = True
            if self._response is None:
                raise IncompleteResponse(repr(error)) from error

    def end(self, was_reset: bool) -> None:
        """Handles the end of the connection.

        Raises:
          ClosedBeforeResponse: It came before the first byte.
          Incomplete: It came in the middle.
        """
        if not self._has_bytes:
            raise ClosedBeforeResponse
        if self._is_open_ended and not was_reset:
            self._finish()
            self._keeps_alive = False

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response."""
        if self._response is not None:
            self._has_extra = True
            return
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        if self._response is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Finds out how the body ends."""
        if self._response is not None:
            return
        self._status = self._parser.get_status_code()
        length = messages.find(self._headers, b"content-length")
        coding = messages.find(self._headers, b"transfer-encoding")
        self._is_open_ended = (
            length is None
            and coding is None
            and self._status >= _CONTINUE_BELOW
            and self._status not in (204, 304)
        )
        if self._is_head:
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Adds a piece of the body."""
        if self._response is None:
            self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Ends a response."""
        if self._response is None and self._status >= _CONTINUE_BELOW:
            self._finish()
            self._keeps_alive = (
                not self._is_head and self._parser.should_keep_alive()
            )

    def _reset(self) -> None:
        self._status = 0
        self._headers: list[messages.Header] = []
        self._chunks: list[bytes] = []
        self._is_open_ended = False

    def _finish(self) -> None:
        if self._identity is not None:
            name, value = self._identity
            found = messages.find(self._headers, name)
            if found is not None and found != value:
                self._skip()
                return
        self._response = messages.Response(
            self._status, tuple(self._headers), b"".join(self._chunks)
        )

    def _skip(self) -> None:
        self._skipped += 1
        if self._skipped > _MAX_FOREIGN_RESPONSES:
            self._response = None
            raise ValueError("too many responses to other requests")
        self._reset()


def _ignore_closed(written: "asyncio.Future[None]") -> None:
    if not written.cancelled():
        # The read of the response reports the loss of the connection.
        written.exception()
