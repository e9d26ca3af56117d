"""A caller's request, as daemons handle and forward it."""

import dataclasses

import xxhash

from mustardloom import ids
from mustardloom import outcomes

__all__ = ["Request", "fingerprint"]


def fingerprint(
    route: ids.RouteId,
    method: str,
    path: str,
    organisation: ids.OrganisationId | None,
    key: str | None,
    body: bytes,
) -> int:
    """Returns a 64-bit hash that is equal for resends of the same request.

    The key is hashed too, since it can come from a header: requests for other
    keys must not count as resends of one that crashed a target.

    Example:
      >>> a = fingerprint(ids.RouteId("r"), "GET", "/a", None, None, b"")
      >>> a == fingerprint(ids.RouteId("r"), "GET", "/a", None, "k", b"")
      False
    """
    digest = xxhash.xxh64()
    parts = (route, method, path, organisation or "", key or "")
    digest.update("\0".join(parts).encode())
    digest.update(b"\0")
    digest.update(body)
    return int(digest.intdigest())


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller, matched to a route.

    Attributes:
      method: HTTP method.
      path: Path and query as sent by the caller.
      headers: Headers to pass on to the target.
      body: Whole body.
      route: The matched route.
      service: Service of the route.
      organisation: Organisation of the caller, if named.
      regions: Regions that may serve and store the request; empty means any.
      key: Key that decides the owner, for keyed services.
      request_id: UUIDv7 of a non-idempotent request.
      idempotent: Whether the request may safely run more than once.
      deadline_ms: Latest time of the answer, by this daemon's `Clock.now_ms`.
      fingerprint: Hash that is equal for resends of the same request.
    """

    method: str
    path: str
    headers: tuple[outcomes.Header, ...]
    body: bytes
    route: ids.RouteId
    service: ids.ServiceId
    organisation: ids.OrganisationId | None
    regions: frozenset[ids.RegionId]
    key: str | None
    request_id: ids.RequestId | None
    idempotent: bool
    deadline_ms: int
    fingerprint: int
