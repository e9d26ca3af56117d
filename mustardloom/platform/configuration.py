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

__all__ = ["KEY", "decode", "hide_keys", "version_of"]

# The object that holds the configuration; others of its kind mean nothing.
KEY = stored.key(stored.Kind.CONFIGURATION, "main")

_Positive = Annotated[int, msgspec.Meta(ge=1)]
_Weight = Annotated[float, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(ge=0)]
_IDEMPOTENT_KIND = "safe"
_TENANTS = "tenants"
_API_KEYS = "api_keys"
_DIGESTS = "api_key_digests"
_NULL = b"null"
_INVALID = msgspec.Raw(b'"invalid"')
# Control characters, with which a name could add headers to a request.
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
    # Set by `hide_keys` in place of `api_keys`.
    api_key_digests: list[str] = []
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


def hide_keys(value: bytes) -> bytes:
    """Returns a configuration object with digests in place of its API keys.

    Daemons send each other the object, and no frame may contain a key. An
    object without organisations is returned as it is. Fields that are invalid
    stay invalid in the result, so that `decode` can report where they are.
    """
    try:
        members = decoding.decode_json(value, dict[str, msgspec.Raw])
    except decoding.Undecodable:
        # It is no object, so it has no organisations.
        return value
    tenants = bytes(members.get(_TENANTS, _NULL))
    if tenants == _NULL:
        return value
    try:
        items = decoding.decode_json(tenants, list[msgspec.Raw])
        members[_TENANTS] = _encode([_hide_keys_of(each) for each in items])
    except decoding.Undecodable:
        members[_TENANTS] = _INVALID
    return msgspec.json.encode(members)


def _hide_keys_of(tenant: msgspec.Raw) -> dict[str, msgspec.Raw] | None:
    """Returns an organisation without keys, None if it is no object.

    Fields that are not known are left out, as they might contain a key.
    """
    try:
        fields = decoding.decode_json(bytes(tenant), dict[str, msgspec.Raw])
    except decoding.Undecodable:
        return None
    known = _Tenant.__struct_fields__
    shown = {name: value for name, value in fields.items() if name in known}
    keys = shown.pop(_API_KEYS, None)
    if keys is not None:
        shown[_DIGESTS] = _encode(_digests_of(keys))
    return shown


def _digests_of(keys: msgspec.Raw) -> list[str | None] | None:
    """Returns the digests of keys, with None for what is no key."""
    try:
        items = decoding.decode_json(bytes(keys), list[msgspec.Raw])
    except decoding.Undecodable:
        return None
    return [_digest_of(item) for item in items]


def _digest_of(item: msgspec.Raw) -> str | None:
    try:
        key = decoding.decode_json(bytes(item), str).encode()
    except ValueError:
        return None
    return configuration.key_digest(key).hex()


def _encode(value: object) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))


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
        # An empty list leaves no valid key. Taking it for an absent one would
        # open a deployment whose last organisation was removed.
        wire.tenants is not None,
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
        for digest in _digests(tenant):
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


def _digests(tenant: _Tenant) -> Iterator[bytes]:
    try:
        for key in tenant.api_keys:
            yield configuration.key_digest(key.encode())
        for digest in tenant.api_key_digests:
            yield bytes.fromhex(digest)
    except ValueError:
        # The error of the codec contains a part of the key.
        message = f"organisation {tenant.name!r} has an invalid key"
        raise ValueError(message) from None


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
