"""Compression of the streams between daemons.

Headers of one request resemble those of the next, so the state of the
compressor lasts as long as the stream. Bodies that do not compress grow by a
few bytes only.
"""

import zlib

__all__ = ["Compressor", "Decompressor"]

# Small windows: a daemon has two streams to each other daemon.
_WINDOW_BITS = -12
_MEMORY_LEVEL = 5
_LEVEL = 1


class Compressor:
    """Compresses the bytes of one direction of a stream.

    Example:
      >>> data = b"header: value" * 20
      >>> packed = Compressor().compress(data)
      >>> len(packed) < len(data), Decompressor().decompress(packed) == data
      (True, True)
    """

    def __init__(self) -> None:
        self._zlib = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )

    def compress(self, data: bytes) -> bytes:
        """Returns bytes from which the peer gets `data` at once."""
        packed = self._zlib.compress(data)
        return packed + self._zlib.flush(zlib.Z_SYNC_FLUSH)


class Decompressor:
    """Reverses a `Compressor`."""

    def __init__(self) -> None:
        self._zlib = zlib.decompressobj(_WINDOW_BITS)

    def decompress(self, data: bytes) -> bytes:
        """Returns what can be decompressed so far.

        Raises:
          ValueError: The bytes are not compressed.
        """
        try:
            return self._zlib.decompress(data)
        except zlib.error as error:
            raise ValueError(repr(error)) from error
