"""The body of a request while it is read."""

from mustardloom.http1 import request_heads

__all__ = ["RequestBody"]

# Bytes of chunk sizes and line ends for each byte of a body, plus the byte; a
# chunk of one byte needs five.
_MAX_FRAMING_RATIO = 7


class RequestBody:
    """Collects a body, or its beginning if the rest passes in pieces.

    Attributes:
      length: Its announced size, None if it comes in chunks.
      size: Bytes of its content that have arrived.

    Example:
      >>> body = RequestBody()
      >>> body.announce(3)
      >>> body.count(b"abc")
      >>> body.keep(b"abc")
      >>> body.size, body.take(), body.take()
      (3, b'abc', b'')
    """

    __slots__ = (
        "_chunks_end",
        "_collected",
        "_parsed_bytes",
        "_whole",
        "length",
        "size",
    )

    def __init__(self) -> None:
        self.length: int | None = 0
        self.size = 0
        self._collected = bytearray()
        # The body, if it has arrived in one piece.
        self._whole = b""
        self._chunks_end: request_heads.MessageEnd | None = None
        # Bytes of a body in chunks that were parsed, with its framing.
        self._parsed_bytes = 0

    def announce(self, length: int | None) -> None:
        """Sets the size that the head announces; None for chunks."""
        self.length = length
        if length is None:
            self._chunks_end = request_heads.MessageEnd()

    def has_arrived(self, arrived_bytes: int) -> bool:
        """Returns whether so many bytes are all of it; one of none has."""
        return self.length is not None and self.length <= arrived_bytes

    def next_part(self, data: bytes, start: int) -> bytes:
        """Returns the bytes to parse next, none beyond the body.

        Args:
          data: Bytes that have arrived.
          start: Number of those that were parsed before.
        """
        if self._chunks_end is None:
            return data[start : start + (self.length or 0) - self.size]
        size = self._chunks_end.next_size(data, start)
        self._parsed_bytes += size
        return data[start : start + size]

    def is_mostly_framing(self, allowed_bytes: int) -> bool:
        """Returns whether too many bytes led to no byte of the content.

        The parser does not report the size of a chunk, the end of its line, and
        the fields after the last chunk.

        Args:
          allowed_bytes: Bytes that are allowed whatever the content.
        """
        limit = allowed_bytes + _MAX_FRAMING_RATIO * self.size
        return self._parsed_bytes > limit

    def count(self, data: bytes) -> None:
        """Counts a piece of the content."""
        self.size += len(data)

    def keep(self, data: bytes) -> None:
        """Keeps a piece of the content, until `take`."""
        if len(data) == self.length:
            self._whole = data
        else:
            # One buffer, as a piece of a few bytes is a large object.
            self._collected += data

    def take(self) -> bytes:
        """Returns what was kept, and keeps it no longer."""
        content = self._whole or bytes(self._collected)
        self._whole = b""
        self._collected = bytearray()
        return content
