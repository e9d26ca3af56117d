"""Types of declarations: services, routes, organisations, stops."""

import enum

import msgspec

from mustardloom import ids

__all__ = [
    "CONFIG_PREFIX",
    "STOPS_PREFIX",
    "AvailabilityZone",
    "DeclarationSet",
    "KeySource",
    "KeySourceKind",
    "Organisation",
    "Route",
    "Service",
    "Stop",
    "StopKind",
    "config_key",
    "stop_key",
]

CONFIG_PREFIX = "config/"
STOPS_PREFIX = "stops/"


def config_key(set_id: ids.DeclarationSetId) -> str:
    """Returns the store key of a declaration set.

    Example:
      >>> config_key(ids.DeclarationSetId("kibanda"))
      'config/kibanda'
    """
    return f"{CONFIG_PREFIX}{set_id}"


def stop_key(kind: "StopKind", name: str) -> str:
    """Returns the store key of a stop.

    Example:
      >>> stop_key(StopKind.AVAILABILITY_ZONE, "pwani-1")
      'stops/availability-zone/pwani-1'
    """
    return f"{STOPS_PREFIX}{kind.value}/{name}"


class KeySourceKind(enum.Enum):
    """Part of a request that contains the key."""

    HEADER = "header"
    PATH_SEGMENT = "path"


class StopKind(enum.Enum):
    """What a stop takes out of service."""

    AVAILABILITY_ZONE = "availability-zone"
    TARGET = "target"


class KeySource(msgspec.Struct, frozen=True):
    """Where the key of a request is found.

    Attributes:
      kind: Whether it is in a header or in a path segment.
      name: Header name, or index of the path segment, starting at 0.
    """

    kind: KeySourceKind
    name: str


class AvailabilityZone(msgspec.Struct, frozen=True):
    """An availability zone and the region that it belongs to."""

    id: ids.AvailabilityZoneId
    region: ids.RegionId


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service whose targets may own keys.

    Attributes:
      id: Name that targets announce.
      keyed: Whether each key has an owner; otherwise any target serves.
      slot_count: Hash ranges per placement group; cannot be changed later.
      capacity: Usual number of concurrent requests per target.
      checks_fencing: Whether the targets check fencing tokens.
      request_id_retention_ms: How long ids of non-idempotent requests are kept
        for deduplication.
    """

    id: ids.ServiceId
    keyed: bool = False
    slot_count: int = 64
    capacity: int = 1
    checks_fencing: bool = True
    request_id_retention_ms: int = 120_000


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A path prefix that leads to a service.

    Attributes:
      id: Name of the route.
      prefix: Path prefix; it matches whole segments only.
      service: Service that serves it.
      key: Where the key is found; required for keyed services.
      idempotent_methods: Methods that may run more than once.
      deadline_ms: Maximum time until the answer.
      home_regions: Regions that may serve the route; empty means any.
      organisations: Organisations that may use it; empty means all.
    """

    id: ids.RouteId
    prefix: str
    service: ids.ServiceId
    key: KeySource | None = None
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    deadline_ms: int = 2_000
    home_regions: tuple[ids.RegionId, ...] = ()
    organisations: tuple[ids.OrganisationId, ...] = ()


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """A customer and the regions that its requests are restricted to.

    Attributes:
      id: Name that callers send with requests.
      home_regions: Regions that may serve and keep its requests; empty means
        any.
    """

    id: ids.OrganisationId
    home_regions: tuple[ids.RegionId, ...] = ()


class DeclarationSet(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that one set of files declares; stored as one object.

    Attributes:
      id: Name of the set.
      regions: All regions; zones, routes and organisations refer to them.
      availability_zones: All availability zones with their regions.
      services: Services that targets may announce.
      routes: Path prefixes that lead to services.
      organisations: Customers and their home regions.
    """

    id: ids.DeclarationSetId
    regions: tuple[ids.RegionId, ...] = ()
    availability_zones: tuple[AvailabilityZone, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    organisations: tuple[Organisation, ...] = ()


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """An availability zone or target that was taken out of service.

    Attributes:
      kind: What `name` names.
      name: Availability zone id, or VM id of the target.
      active: Whether it is out of service now; False after a `start`.
      since_wall_ms: Wall time of the last change.
    """

    kind: StopKind
    name: str
    active: bool
    since_wall_ms: int
