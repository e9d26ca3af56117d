"""Routes, services and organisations that operators declared."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import functools
import hashlib

from mustardloom import ids

__all__ = [
    "CallerLimits",
    "Configuration",
    "Organisation",
    "RequestKind",
    "Route",
    "Service",
    "Share",
    "key_digest",
]


_DEFAULT_OBJECTIVE_MS = 300
_DIGEST_BYTES = 16
_DIGEST_PURPOSE = b"api-key"


class RequestKind(enum.Enum):
    """How often a request may run.

    Attributes:
      IDEMPOTENT: More than once, so that it can be retried and hedged.
      AT_MOST_ONCE: It is retried only if it certainly did not run.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's requests that goes to one service.

    Attributes:
      service: The service.
      weight: Relative to the weights of the other services of the route.
    """

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests for one host and path prefix go.

    Attributes:
      name: Name, unique in the configuration.
      host: Host of the requests, without port, in lower case.
      prefix: Start of the path.
      shares: Services and their weights; one entry for most routes.
      kind: Whether a request may run more than once.
      timeout_ms: Time after which a request is answered with a failure.
      objective_ms: Target latency; a later answer has less value.
      max_attempts: Maximum number of targets that a request is sent to.
      priority: Rank, 0 is the most urgent.
      home_regions: Regions that may serve; empty allows all.
      is_exempt: Whether its requests need no API key.
    """

    name: ids.RouteId
    host: str
    prefix: str
    shares: tuple[Share, ...]
    kind: RequestKind
    timeout_ms: int
    objective_ms: int
    max_attempts: int
    priority: int
    home_regions: frozenset[ids.RegionId]
    is_exempt: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether requests may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of targets that do the same work.

    Attributes:
      name: Name, unique in the configuration.
      health_path: Path of the health check.
      max_connections: Connections that a target accepts.
      cold_start_ms: How long a target stays slow after its start.
      cold_per_s: Requests a second that a target can run during that time.
      is_keyed: Whether each key has one owner among the targets.
    """

    name: ids.ServiceId
    health_path: str = "/health"
    max_connections: int = 100
    cold_start_ms: int = 0
    cold_per_s: float = 0.0
    is_keyed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's requests and on its waiting times.

    Attributes:
      max_header_bytes: Maximum size of all headers and the request target.
      max_body_bytes: Maximum size of the body.
      header_timeout_ms: Maximum time until all headers are read.
      idle_timeout_ms: Maximum time until the body is read, or until the next
        request begins.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers share API keys and a usage cap.

    Attributes:
      name: Name, unique in the configuration.
      priority: Rank of its requests, 0 is the most urgent; it replaces the
        priority of the route.
      rate_per_s: Cap on its requests a second; None for no cap.
      burst: Requests that it may send at once above that rate.
      home_regions: Regions that may serve; empty allows all.
    """

    name: ids.OrganisationId
    priority: int
    rate_per_s: float | None
    burst: float
    home_regions: frozenset[ids.RegionId]


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of everything that operators declared.

    Attributes:
      organisation_by_key_digest: Organisations by `key_digest` of their API
        keys. The keys themselves are not kept.
      has_organisations: Whether requests need an API key.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[ids.ServiceId, Service]
    limits: CallerLimits = CallerLimits()
    organisation_by_key_digest: Mapping[bytes, Organisation] = (
        dataclasses.field(default_factory=dict, repr=False)
    )
    has_organisations: bool = False

    def route_for(self, host: str, path: str) -> Route | None:
        """Returns the route of the longest matching prefix, None if none."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def objective_of(self, service: ids.ServiceId) -> int:
        """Returns the shortest target latency of a service's routes, in ms.

        A service without routes has the default.
        """
        return min(
            (
                route.objective_ms
                for route in self.routes
                if any(share.service == service for share in route.shares)
            ),
            default=_DEFAULT_OBJECTIVE_MS,
        )

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in _longest_first(self.routes):
            by_host.setdefault(route.host, []).append(route)
        return by_host


def key_digest(key: bytes) -> bytes:
    """Returns the digest of an API key, the same at all daemons.

    The time that a comparison of digests takes does not depend on how much of
    a key is right. Short keys can be found from their digests by brute force,
    so digests must not be published.

    Example:
      >>> key_digest(b"k1") == key_digest(b"k1")
      True
      >>> key_digest(b"k1") == key_digest(b"k2")
      False
    """
    return hashlib.blake2b(
        key, digest_size=_DIGEST_BYTES, person=_DIGEST_PURPOSE
    ).digest()


def _longest_first(routes: Iterable[Route]) -> list[Route]:
    return sorted(routes, key=lambda route: -len(route.prefix))
