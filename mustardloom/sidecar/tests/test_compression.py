"""Compressed streams that expand to far more than was received."""

import zlib

import pytest

from mustardloom.sidecar import compression
from mustardloom.sidecar import frames


def test_endless_data_of_a_peer_is_decompressed_in_bounded_parts():
    """64 KB that are read at once could expand to 64 MB of memory."""
    packer = zlib.compressobj(9, zlib.DEFLATED, -12)
    data = packer.compress(bytes(8_000_000)) + packer.flush(zlib.Z_SYNC_FLUSH)
    assert len(data) < 65_536
    parts = list(compression.Decompressor().decompress(data))
    assert sum(len(part) for part in parts) == 8_000_000
    assert max(len(part) for part in parts) <= compression._MAX_PART_BYTES


def test_endless_frame_of_a_peer_is_refused_before_it_is_collected():
    """Guards against a length that no frame has."""
    with pytest.raises(ValueError, match="too large"):
        list(frames.FrameBuffer().feed(b"\xff\xff\xff\xff"))
