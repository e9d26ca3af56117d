"""Limits of a server on requests and on waiting times."""

import dataclasses

__all__ = ["ServerLimits"]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the size of requests and on waiting times.

    Attributes:
      max_header_bytes: Maximum size of all headers and the request target.
      max_body_bytes: Maximum size of the body.
      header_timeout_ms: Maximum time until all headers are read.
      idle_timeout_ms: Maximum time until the body is read, or until the next
        request begins.
      max_pipelined: Maximum number of requests of one connection whose answers
        have not left; further ones are parsed when there are fewer.
      max_pipelined_sum: Maximum number of requests of all connections that
        follow one without an answer.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
    max_pipelined: int = 8
    max_pipelined_sum: int = 32
