"""Checks of declarations, which report all findings together."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import pathlib
import re
from typing import TypeVar

import msgspec

from mustardloom import findings
from mustardloom import ids
from mustardloom.declarations import loading
from mustardloom.declarations import model
from mustardloom.declarations import nodes

__all__ = ["check", "check_other_sets", "load_set", "validate"]

MAX_SLOT_COUNT = 65_536
_MAX_NAME_LENGTH = 63
# Names are parts of store keys and group ids, where / @ + and ~ are separators.
_NAME = re.compile(r"[a-z0-9]([a-z0-9_-]*[a-z0-9])?")
_HEADER = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_PREFIX = re.compile(r"/[^\s?#]*")
_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH", "TRACE")

_T = TypeVar("_T", bound=msgspec.Struct)
_Findings = Iterator[findings.Finding]


def load_set(
    paths: Iterable[pathlib.Path],
    in_force: model.DeclarationSet | None = None,
) -> model.DeclarationSet:
    """Reads and checks the set that `paths` declare.

    Args:
      paths: Files, or directories whose YAML files are read.
      in_force: The version of the set that is in force, None for a new set.

    Raises:
      findings.FindingsError: The files have faults; all are reported.
    """
    return validate(loading.load(paths), in_force)


def validate(
    loaded: loading.LoadedDeclarations,
    in_force: model.DeclarationSet | None = None,
    others: Iterable[model.DeclarationSet] = (),
) -> model.DeclarationSet:
    """Checks what was read and returns it as a declaration set.

    Args:
      loaded: What was read from the files.
      in_force: The version of the set that is in force, None for a new set.
      others: Other sets in force, which must not declare the same ids.

    Raises:
      findings.FindingsError: All faults from reading and from the checks.
    """
    found = [
        *loaded.reader.found,
        *check(loaded, in_force),
        *check_other_sets(loaded, others),
    ]
    findings.raise_if_any(sorted(found))
    return loaded.declaration_set()


def check_other_sets(
    loaded: loading.LoadedDeclarations, others: Iterable[model.DeclarationSet]
) -> _Findings:
    """Yields findings for ids and prefixes that another set declares too.

    Zones may be in several sets, but only with the same region.
    """
    for other in others:
        services = {service.id for service in other.services}
        routes = {route.id for route in other.routes}
        prefixes = {route.prefix.rstrip("/") for route in other.routes}
        organisations = {item.id for item in other.organisations}
        yield from _check_not_taken(
            "service", _ids(loaded.services), services, other
        )
        yield from _check_not_taken("route", _ids(loaded.routes), routes, other)
        yield from _check_not_taken(
            "prefix", _valid_prefixes(loaded.routes), prefixes, other
        )
        yield from _check_not_taken(
            "organisation", _ids(loaded.organisations), organisations, other
        )
        yield from _check_zone_regions(loaded, other)


def _check_not_taken(
    kind: str,
    items: Iterable[nodes.LocatedValue],
    taken: Collection[str],
    other: model.DeclarationSet,
) -> _Findings:
    for item in items:
        if item.value in taken:
            message = f"{kind} '{item.value}' belongs to set '{other.id}'"
            yield findings.Finding(item.place, message)


def _valid_prefixes(
    routes: Iterable[nodes.Entry[model.Route]],
) -> Iterator[nodes.LocatedValue]:
    for entry in routes:
        if entry.is_valid("prefix"):
            prefix = entry.value.prefix.rstrip("/")
            yield nodes.LocatedValue(prefix, entry.place_of("prefix"))


def _check_zone_regions(
    loaded: loading.LoadedDeclarations, other: model.DeclarationSet
) -> _Findings:
    """Yields findings for zones that `other` declares in another region."""
    region_by_zone = {z.id: z.region for z in other.availability_zones}
    for entry in loaded.availability_zones:
        zone = entry.value
        region = region_by_zone.get(zone.id, zone.region)
        if entry.is_valid("region") and region != zone.region:
            message = (
                f"set '{other.id}' has availability zone '{zone.id}' in"
                f" region '{region}'"
            )
            yield findings.Finding(entry.place_of("region"), message)


def check(
    loaded: loading.LoadedDeclarations,
    in_force: model.DeclarationSet | None = None,
) -> _Findings:
    """Yields findings about the set itself, in no particular order."""
    yield from _check_set(loaded)
    yield from _check_regions(loaded)
    yield from _check_zones(loaded)
    yield from _check_services(loaded, in_force)
    yield from _check_organisations(loaded)
    yield from _check_routes(loaded)
    yield from _check_prefixes(loaded.routes)


def _check_set(loaded: loading.LoadedDeclarations) -> _Findings:
    if not loaded.sets and not loaded.reader.found:
        yield findings.Finding(
            findings.Place("files"), "no file has the field 'set'"
        )
    for item in loaded.sets:
        yield from _check_name(item)
        first = loaded.sets[0]
        if item.value != first.value:
            message = f"set '{item.value}' differs from '{first.value}'"
            yield findings.Finding(item.place, f"{message} at {first.place}")


def _check_regions(loaded: loading.LoadedDeclarations) -> _Findings:
    yield from _check_names("region", loaded.regions)


def _check_zones(loaded: loading.LoadedDeclarations) -> _Findings:
    zones = loaded.availability_zones
    yield from _check_names("availability zone", _ids(zones))
    regions = _region_names(loaded)
    for zone in zones:
        if zone.is_valid("region"):
            item = nodes.LocatedValue(
                zone.value.region, zone.place_of("region")
            )
            yield from _check_known("region", item, regions)


def _check_services(
    loaded: loading.LoadedDeclarations, in_force: model.DeclarationSet | None
) -> _Findings:
    yield from _check_names("service", _ids(loaded.services))
    before = in_force.services if in_force else ()
    before_by_id = {service.id: service for service in before}
    for entry in loaded.services:
        service = entry.value
        yield from _check_minimum(entry, "capacity", service.capacity, 1)
        yield from _check_minimum(entry, "slot_count", service.slot_count, 1)
        retention_ms = service.request_id_retention_ms
        yield from _check_minimum(
            entry, "request_id_retention_ms", retention_ms, 1
        )
        if service.slot_count > MAX_SLOT_COUNT:
            message = f"slot_count exceeds {MAX_SLOT_COUNT}"
            yield findings.Finding(entry.place_of("slot_count"), message)
        yield from _check_slot_count(entry, before_by_id.get(service.id))


def _check_slot_count(
    entry: nodes.Entry[model.Service], before: model.Service | None
) -> _Findings:
    if before is None or not entry.is_valid("slot_count"):
        return
    if entry.value.slot_count != before.slot_count:
        message = (
            f"slot_count of service '{before.id}' is fixed for its lifetime:"
            f" {before.slot_count} is in force"
        )
        yield findings.Finding(entry.place_of("slot_count"), message)


def _check_organisations(loaded: loading.LoadedDeclarations) -> _Findings:
    yield from _check_names("organisation", _ids(loaded.organisations))
    regions = _region_names(loaded)
    for entry in loaded.organisations:
        for item in entry.items("home_regions"):
            yield from _check_known("region", item, regions)


def _check_routes(loaded: loading.LoadedDeclarations) -> _Findings:
    yield from _check_names("route", _ids(loaded.routes))
    services = {entry.value.id: entry.value for entry in loaded.services}
    regions = _region_names(loaded)
    organisations = [entry.value.id for entry in loaded.organisations]
    for entry in loaded.routes:
        yield from _check_service(entry, services)
        yield from _check_header(entry)
        yield from _check_minimum(
            entry, "deadline_ms", entry.value.deadline_ms, 1
        )
        for item in entry.items("home_regions"):
            yield from _check_known("region", item, regions)
        for item in entry.items("organisations"):
            yield from _check_known("organisation", item, organisations)
        for item in entry.items("idempotent_methods"):
            yield from _check_known("method", item, _METHODS)


def _check_service(
    entry: nodes.Entry[model.Route],
    services: Mapping[ids.ServiceId, model.Service],
) -> _Findings:
    if not entry.is_valid("service"):
        return
    route = entry.value
    item = nodes.LocatedValue(route.service, entry.place_of("service"))
    yield from _check_known("service", item, services)
    service = services.get(route.service)
    if service is None or not entry.is_valid("key"):
        return
    if service.keyed and route.key is None:
        message = (
            f"route '{route.id}' needs a key: service '{service.id}' is keyed"
        )
        yield findings.Finding(entry.place, message)


def _check_header(entry: nodes.Entry[model.Route]) -> _Findings:
    key = entry.value.key
    if not entry.is_valid("key") or key is None:
        return
    is_header = key.kind is model.KeySourceKind.HEADER
    if is_header and not _HEADER.fullmatch(key.name):
        message = f"'{key.name}' is not a header name"
        yield findings.Finding(entry.place_of("key"), message)


def _check_prefixes(routes: Iterable[nodes.Entry[model.Route]]) -> _Findings:
    first_by_prefix: dict[str, nodes.Entry[model.Route]] = {}
    for entry in routes:
        if not entry.is_valid("prefix"):
            continue
        prefix = entry.value.prefix
        place = entry.place_of("prefix")
        if not _PREFIX.fullmatch(prefix) or "//" in prefix:
            yield findings.Finding(place, f"'{prefix}' is not a path prefix")
            continue
        first = first_by_prefix.setdefault(prefix.rstrip("/"), entry)
        if first is not entry:
            message = (
                f"prefix '{prefix}' is also that of route '{first.value.id}'"
                f" at {first.place_of('prefix')}"
            )
            yield findings.Finding(place, message)


def _ids(entries: Iterable[nodes.Entry[_T]]) -> Iterator[nodes.LocatedValue]:
    for entry in entries:
        # `_T` allows any struct, but those read as entries all have an id.
        name = getattr(entry.value, "id")  # noqa: B009
        yield nodes.LocatedValue(name, entry.place_of("id"))


def _region_names(loaded: loading.LoadedDeclarations) -> list[str]:
    return [item.value for item in loaded.regions]


def _check_names(kind: str, items: Iterable[nodes.LocatedValue]) -> _Findings:
    first_by_name: dict[str, nodes.LocatedValue] = {}
    for item in items:
        yield from _check_name(item)
        first = first_by_name.setdefault(item.value, item)
        if first is not item:
            message = f"duplicate {kind} '{item.value}', also at {first.place}"
            yield findings.Finding(item.place, message)


def _check_name(item: nodes.LocatedValue) -> _Findings:
    too_long = len(item.value) > _MAX_NAME_LENGTH
    if too_long or not _NAME.fullmatch(item.value):
        message = (
            f"'{item.value}' is not a name of at most {_MAX_NAME_LENGTH}"
            " characters a-z, 0-9, - and _"
        )
        yield findings.Finding(item.place, message)


def _check_known(
    kind: str, item: nodes.LocatedValue, known: Iterable[str]
) -> _Findings:
    names = list(known)
    if item.value not in names:
        hint = nodes.suggestion(item.value, names)
        message = f"unknown {kind} '{item.value}'{hint}"
        yield findings.Finding(item.place, message)


def _check_minimum(
    entry: nodes.Entry[_T], field: str, value: int, minimum: int
) -> _Findings:
    if entry.is_valid(field) and value < minimum:
        message = f"{field} is {value}, must be at least {minimum}"
        yield findings.Finding(entry.place_of(field), message)
