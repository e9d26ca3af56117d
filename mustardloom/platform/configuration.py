"""Decodes the configuration object that operators write."""

from collections.abc import Iterator
from collections.abc import Mapping
import re
import types
from typing import Annotated

import msgspec

from mustardloom import decoding
from mustardloom import ids
from mustardloom.deployment import configuration
from mustardloom.deployment import stored
from mustardloom.platform import durations

__all__ = ["KEY", "decode", "version_of"]

# The object that holds the configuration; others of its kind mean nothing.
KEY = stored.key(stored.Kind.CONFIGURATION, "main")

_Positive = Annotated[int, msgspec.Meta(ge=1)]
_Weight = Annotated[float, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(ge=0)]
_IDEMPOTENT_KIND = "safe"
# Characters that a header cannot carry, so that a name with one of them could
# add headers to a request.
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


class _WeightedCluster(msgspec.Struct):
    service: str
    weight: _Weight


class _Match(msgspec.Struct):
    path_prefix: str


class _Action(msgspec.Struct):
    timeout: str
    max_attempts: _Positive = 1
    service: str = ""
    weighted_clusters: list[_WeightedCluster] = []
    allowed_regions: list[str] = []


class _Rule(msgspec.Struct):
    name: str
    kind: str
    match: _Match
    action: _Action
    target_latency: str = ""
    priority: int = 0
    auth_exempt: bool = False


class _Listener(msgspec.Struct):
    host: str
    rules: list[_Rule]


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: _Positive = 100
    cold_start: str = "0ms"
    cold_per_s: float = 0.0
    # Whether each key is owned by one target, which gets all its requests.
    sharded: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: _Positive
    max_body_bytes: _Positive
    header_timeout: str
    idle_timeout: str


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    rate_per_s: _Rate = 0.0
    burst: _Rate = 0.0
    allowed_regions: list[str] = []

    def __repr__(self) -> str:
        """Returns a text without the API keys."""
        return f"_Tenant(name={self.name!r})"


class _Configuration(msgspec.Struct):
    version: int
    listeners: list[_Listener]
    clusters: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _Versioned(msgspec.Struct):
    version: int


def version_of(value: bytes) -> int:
    """Returns the operators' version of a configuration object.

    Raises:
      ValueError: The value is not JSON, or has no version.
    """
    return decoding.decode_json(value, _Versioned).version


def decode(value: bytes) -> configuration.Configuration:
    """Decodes the value of the configuration object.

    Raises:
      ValueError: The value is not JSON, or a field is missing or invalid.
    """
    wire = decoding.decode_json(value, _Configuration)
    services = [_service(each) for each in wire.clusters]
    return configuration.Configuration(
        wire.version,
        tuple(_routes(wire.listeners)),
        {service.name: service for service in services},
        _limits(wire.limits),
        _organisations(wire.tenants or []),
        # An empty list declares no organisations, like an absent one.
        bool(wire.tenants),
    )


def _routes(listeners: list[_Listener]) -> Iterator[configuration.Route]:
    for listener in listeners:
        for rule in listener.rules:
            yield _route(listener.host, rule)


def _route(host: str, rule: _Rule) -> configuration.Route:
    action = rule.action
    if not (action.service or action.weighted_clusters):
        raise ValueError(f"route {rule.name!r} names no service")
    timeout_ms = durations.parse_ms(action.timeout)
    if rule.target_latency:
        objective_ms = durations.parse_ms(rule.target_latency)
    else:
        objective_ms = timeout_ms
    kinds = configuration.RequestKind
    is_idempotent = rule.kind == _IDEMPOTENT_KIND
    return configuration.Route(
        name=ids.RouteId(rule.name),
        host=host.lower(),
        prefix=rule.match.path_prefix,
        shares=_shares(action),
        kind=kinds.IDEMPOTENT if is_idempotent else kinds.AT_MOST_ONCE,
        timeout_ms=timeout_ms,
        objective_ms=objective_ms,
        max_attempts=action.max_attempts,
        priority=rule.priority,
        home_regions=frozenset(map(ids.RegionId, action.allowed_regions)),
        is_exempt=rule.auth_exempt,
    )


def _shares(action: _Action) -> tuple[configuration.Share, ...]:
    if action.weighted_clusters:
        return tuple(
            configuration.Share(ids.ServiceId(part.service), part.weight)
            for part in action.weighted_clusters
        )
    return (configuration.Share(ids.ServiceId(action.service), 1.0),)


def _organisations(
    tenants: list[_Tenant],
) -> Mapping[bytes, configuration.Organisation]:
    """Returns organisations by the digests of their keys.

    Errors name organisations, never a key.
    """
    names: set[str] = set()
    found: dict[bytes, configuration.Organisation] = {}
    for tenant in tenants:
        organisation = _organisation(tenant)
        if tenant.name in names:
            raise ValueError(f"two organisations are named {tenant.name!r}")
        names.add(tenant.name)
        for key in tenant.api_keys:
            digest = configuration.key_digest(_encode_key(key, tenant.name))
            other = found.setdefault(digest, organisation)
            if other.name != organisation.name:
                raise ValueError(
                    f"organisations {other.name!r} and {tenant.name!r}"
                    " have an API key in common"
                )
    return types.MappingProxyType(found)


def _organisation(tenant: _Tenant) -> configuration.Organisation:
    name = tenant.name
    if not name or name != name.strip() or _CONTROL.search(name):
        raise ValueError(f"{name!r} cannot be sent as an organisation's name")
    name.encode()  # Fails for a lone surrogate.
    return configuration.Organisation(
        name=ids.OrganisationId(name),
        priority=tenant.priority,
        rate_per_s=tenant.rate_per_s or None,
        burst=tenant.burst,
        home_regions=frozenset(map(ids.RegionId, tenant.allowed_regions)),
    )


def _encode_key(key: str, name: str) -> bytes:
    try:
        return key.encode()
    except UnicodeEncodeError:
        # The error of the codec contains the key.
        raise ValueError(f"organisation {name!r} has an invalid key") from None


def _service(wire: _Service) -> configuration.Service:
    return configuration.Service(
        name=ids.ServiceId(wire.name),
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        cold_start_ms=durations.parse_ms(wire.cold_start),
        cold_per_s=wire.cold_per_s,
        is_keyed=wire.sharded,
    )


def _limits(wire: _Limits) -> configuration.CallerLimits:
    return configuration.CallerLimits(
        max_header_bytes=wire.max_header_bytes,
        max_body_bytes=wire.max_body_bytes,
        header_timeout_ms=durations.parse_ms(wire.header_timeout),
        idle_timeout_ms=durations.parse_ms(wire.idle_timeout),
    )
