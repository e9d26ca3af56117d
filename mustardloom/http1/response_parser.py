"""Parses the response to one request of a client connection."""

from collections.abc import Callable
from collections.abc import Sequence

import httptools

from mustardloom.http1 import bodies
from mustardloom.http1 import client_errors
from mustardloom.http1 import messages
from mustardloom.http1 import request_heads

__all__ = ["MAX_BODY_BYTES", "HeadCallback", "ResponseParser"]

# Called with the headers of a response as soon as its head is complete.
HeadCallback = Callable[[Sequence[messages.Header]], None]

# Bounds on what one response may take of this process's memory. The parser
# keeps a field until its end, also one that follows a body in chunks.
_MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
# Bytes of chunk sizes and line ends for each byte of a body; a chunk of one
# byte needs five.
_MAX_FRAMING_RATIO = 6
# Late responses to earlier requests that may precede the expected one.
_MAX_SKIPPED_RESPONSES = 4


class ResponseParser:
    """Parses the response to one request, skipping those to earlier ones.

    Attributes:
      rest: The body once it passes in pieces, else None.
    """

    def __init__(
        self,
        is_head: bool,
        identity: messages.Header | None,
        on_head: HeadCallback | None = None,
        is_identity_needed: bool = False,
    ):
        """Creates a parser.

        Args:
          is_head: Whether the response has no body, as that to HEAD.
          identity: Header by which the response is told from those to earlier
            requests; None to take the first one.
          on_head: Called with the head of the response.
          is_identity_needed: Whether a response without the header is skipped.
        """
        self.rest: bodies.Body | None = None
        self._is_head = is_head
        self._identity = identity
        self._is_identity_needed = is_identity_needed
        self._on_head = on_head
        self._parser = httptools.HttpResponseParser(self)
        self._response: messages.Response | None = None
        # Whether the head of a response is complete that is no interim one.
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
        # Memory of all fields.
        self._header_bytes = 0
        # Bytes since the latest ones of a body.
        self._framing_run_bytes = 0
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
            raise client_errors.Incomplete(
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
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Bytes after a complete response answer no request; the connection
            # cannot be used again.
            self._has_extra_bytes = True
            if self._response is None:
                raise client_errors.Incomplete(repr(error)) from error
        if self._body_bytes > body_bytes:
            self._framing_run_bytes = 0
        else:
            self._framing_run_bytes += len(data)
        if self._response is None:
            self._check_size()

    def _check_size(self) -> None:
        """Ends a response that may go on without end.

        A body that passes in pieces may be of any size.
        """
        framing_bytes = self._received_bytes - self._body_bytes
        allowed_bytes = _MAX_FRAMING_RATIO * self._body_bytes
        if self.rest is None:
            if self._body_bytes > MAX_BODY_BYTES:
                raise client_errors.Incomplete(
                    f"body of more than {MAX_BODY_BYTES} bytes"
                )
            allowed_bytes = min(allowed_bytes, MAX_BODY_BYTES)
        allowed_bytes += _MAX_HEAD_BYTES
        if (
            framing_bytes > allowed_bytes
            or self._framing_run_bytes > _MAX_HEAD_BYTES
        ):
            raise client_errors.Incomplete(
                f"head of more than {_MAX_HEAD_BYTES} bytes"
            )

    def end(self, is_ended_by_peer: bool) -> None:
        """Handles the end of the connection.

        A response without a length ends with the connection. Any other response
        that has begun stays incomplete.

        Args:
          is_ended_by_peer: Whether the server ended the connection, so that all
            it sent has arrived; not so after a reset or a local close.

        Raises:
          ClosedEarly: No byte of the response was received.
        """
        if not self._has_bytes:
            raise client_errors.ClosedEarly
        if self._ends_with_connection and is_ended_by_peer:
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
        """Adds a header; drops a trailer, as the head was checked without it.

        Raises:
          ValueError: All headers and trailers take too much memory.
        """
        if self._response is not None:
            return
        size = len(name) + len(value) + request_heads.FIELD_BYTES
        self._header_bytes += size
        if self._header_bytes > _MAX_HEAD_BYTES:
            raise ValueError(f"fields of more than {_MAX_HEAD_BYTES} bytes")
        if not self._has_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determines whether the body ends with the connection.

        Raises:
          ValueError: The status is not valid.
        """
        if self._response is not None:
            return
        self._status = self._parser.get_status_code()
        if messages.is_interim_status(self._status):
            return
        if not messages.is_final_status(self._status):
            raise ValueError(f"status {self._status}")
        self._has_head = True
        self._is_other = self._answers_other_request()
        length = messages.find_header(self._headers, b"content-length")
        coding = messages.find_header(self._headers, b"transfer-encoding")
        self._ends_with_connection = (
            length is None and coding is None and self._status not in (204, 304)
        )
        if self._on_head is not None and not self._is_other:
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
        if self._response is None and self._has_head:
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
