"""Compression of the streams between daemons.

The headers of one request resemble those of the next, so a compressor keeps its
state for as long as its stream is open. Bodies that cannot be compressed grow
by only a few bytes.
"""

from collections.abc import Iterator
import zlib

__all__ = ["Compressor", "Decompressor"]

# A small window saves memory, as a daemon has two streams to each other daemon.
_WINDOW_BITS = -12
_MEMORY_LEVEL = 5
_LEVEL = 1
# A few bytes can decompress to a thousand times as many.
_MAX_PART_BYTES = 65_536


class Compressor:
    """Compresses the bytes of one direction of a stream.

    Example:
      >>> data = b"header: value" * 20
      >>> packed = Compressor().compress(data)
      >>> len(packed) < len(data)
      True
      >>> b"".join(Decompressor().decompress(packed)) == data
      True
    """

    def __init__(self) -> None:
        self._zlib = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )

    def compress(self, data: bytes) -> bytes:
        """Returns bytes from which the peer can decompress all of `data`."""
        packed = self._zlib.compress(data)
        return packed + self._zlib.flush(zlib.Z_SYNC_FLUSH)


class Decompressor:
    """Decompresses the bytes of one direction of a stream."""

    def __init__(self) -> None:
        self._zlib = zlib.decompressobj(_WINDOW_BITS)

    def decompress(self, data: bytes) -> Iterator[bytes]:
        """Yields the data that can be decompressed so far, in bounded parts.

        Raises:
          ValueError: The bytes are not valid compressed data.
        """
        while data:
            try:
                part = self._zlib.decompress(data, _MAX_PART_BYTES)
            except zlib.error as error:
                raise ValueError(repr(error)) from error
            data = self._zlib.unconsumed_tail
            if not part:
                return
            yield part
