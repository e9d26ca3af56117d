"""Limits of the sockets that serve only small requests.

Readiness checks, scrapes of the metrics page and fetches of bodies have a short
head and no body; a heartbeat of a target names the keys that it holds.
"""

from mustardloom.http1 import server

__all__ = ["HEARTBEAT_LIMITS", "LIMITS"]

LIMITS = server.ServerLimits(
    max_header_bytes=4_096, max_body_bytes=1_024, max_pipelined=1
)
# All 65,536 keys in rows of their own, each with a token, are some 3 MB.
HEARTBEAT_LIMITS = server.ServerLimits(
    max_header_bytes=8_192,
    max_body_bytes=4 * 1_024 * 1_024,
    max_pipelined=1,
)
