"""Counts the bytes of messages on peer streams."""

from typing import Any

from grpclib.encoding import proto

from mustardloom import metrics as metrics_lib

__all__ = ["BYTES_RECEIVED", "BYTES_SENT", "CountingCodec"]

BYTES_SENT = "peer.bytes_sent"
BYTES_RECEIVED = "peer.bytes_received"


class CountingCodec(proto.ProtoCodec):
    """Codec that counts encoded bytes, without the HTTP/2 framing.

    Counting in the codec avoids serializing a message again for its size.
    """

    def __init__(self, metrics: metrics_lib.Metrics):
        self._metrics = metrics

    def encode(self, message: Any, message_type: Any) -> bytes:
        """See base class."""
        data = super().encode(message, message_type)
        self._metrics.increment(BYTES_SENT, len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """See base class."""
        self._metrics.increment(BYTES_RECEIVED, len(data))
        return super().decode(data, message_type)
