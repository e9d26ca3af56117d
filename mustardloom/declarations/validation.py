"""Checks of declarations; all findings are reported together."""

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

__all__ = ["check", "check_others", "load_set", "validate"]

MAX_SLOT_COUNT = 65_536
_MAX_NAME_LENGTH = 63
# Names become parts of store keys and of group ids, which use / @ + and ~.
_NAME = re.compile(r"[a-z0-9]([a-z0-9_-]*[a-z0-9])?")
_HEADER = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_PREFIX = re.compile(r"/[^\s?#]*")
_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH", "TRACE")

_T = TypeVar("_T", bound=msgspec.Struct)
_Found = Iterator[findings.Finding]


def load_set(
    paths: Iterable[pathlib.Path],
    in_force: model.DeclarationSet | None = None,
) -> model.DeclarationSet:
    """Returns the set that `paths` declare.

    Args:
      paths: Files, or directories whose YAML files are read.
      in_force: The same set as it is in force, if there is one.

    Raises:
      findings.FindingsError: The files have faults.
    """
    return validate(loading.load(paths), in_force)


def validate(
    loaded: loading.Loaded,
    in_force: model.DeclarationSet | None = None,
    others: Iterable[model.DeclarationSet] = (),
) -> model.DeclarationSet:
    """Returns the declared set if it has no faults.

    Args:
      loaded: What was read from the files.
      in_force: The same set as it is in force, if there is one.
      others: Other sets in force, which must not declare the same things.

    Raises:
      findings.FindingsError: All faults of reading and of the checks.
    """
    found = [
        *loaded.reader.found,
        *check(loaded, in_force),
        *check_others(loaded, others),
    ]
    findings.raise_if_any(sorted(found))
    return loaded.declaration_set()


def check_others(
    loaded: loading.Loaded, others: Iterable[model.DeclarationSet]
) -> _Found:
    """Yields what was read although another set declares it."""
    for other in others:
        services = {service.id for service in other.services}
        routes = {route.id for route in other.routes}
        prefixes = {route.prefix.rstrip("/") for route in other.routes}
        organisations = {item.id for item in other.organisations}
        yield from _check_free(
            "service", _named(loaded.services), services, other
        )
        yield from _check_free("route", _named(loaded.routes), routes, other)
        yield from _check_free(
            "prefix", _prefixes(loaded.routes), prefixes, other
        )
        yield from _check_free(
            "organisation", _named(loaded.organisations), organisations, other
        )
        yield from _check_zones_of(loaded, other)


def _check_free(
    kind: str,
    items: Iterable[nodes.Item],
    taken: Collection[str],
    other: model.DeclarationSet,
) -> _Found:
    for item in items:
        if item.value in taken:
            message = f"{kind} '{item.value}' belongs to set '{other.id}'"
            yield findings.Finding(item.place, message)


def _prefixes(
    routes: Iterable[nodes.Entry[model.Route]],
) -> Iterator[nodes.Item]:
    for entry in routes:
        if entry.is_valid("prefix"):
            prefix = entry.value.prefix.rstrip("/")
            yield nodes.Item(prefix, entry.place_of("prefix"))


def _check_zones_of(
    loaded: loading.Loaded, other: model.DeclarationSet
) -> _Found:
    """Yields zones that `other` puts into another region."""
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
    loaded: loading.Loaded, in_force: model.DeclarationSet | None = None
) -> _Found:
    """Yields the faults of what was read, in no particular order."""
    yield from _check_set(loaded)
    yield from _check_regions(loaded)
    yield from _check_zones(loaded)
    yield from _check_services(loaded, in_force)
    yield from _check_organisations(loaded)
    yield from _check_routes(loaded)
    yield from _check_prefixes(loaded.routes)


def _check_set(loaded: loading.Loaded) -> _Found:
    if not loaded.sets and not loaded.reader.found:
        yield findings.Finding(findings.Place("files"), "no file names the set")
    for item in loaded.sets:
        yield from _check_name(item)
        first = loaded.sets[0]
        if item.value != first.value:
            message = f"set '{item.value}' differs from '{first.value}'"
            yield findings.Finding(item.place, f"{message} at {first.place}")


def _check_regions(loaded: loading.Loaded) -> _Found:
    yield from _check_names("region", loaded.regions)


def _check_zones(loaded: loading.Loaded) -> _Found:
    zones = loaded.availability_zones
    yield from _check_names("availability zone", _named(zones))
    regions = _region_names(loaded)
    for zone in zones:
        if zone.is_valid("region"):
            item = nodes.Item(zone.value.region, zone.place_of("region"))
            yield from _check_known("region", item, regions)


def _check_services(
    loaded: loading.Loaded, in_force: model.DeclarationSet | None
) -> _Found:
    yield from _check_names("service", _named(loaded.services))
    before = in_force.services if in_force else ()
    before_by_id = {service.id: service for service in before}
    for entry in loaded.services:
        service = entry.value
        yield from _check_least(entry, "capacity", service.capacity, 1)
        yield from _check_least(entry, "slot_count", service.slot_count, 1)
        retention_ms = service.request_id_retention_ms
        yield from _check_least(
            entry, "request_id_retention_ms", retention_ms, 1
        )
        if service.slot_count > MAX_SLOT_COUNT:
            message = f"slot_count exceeds {MAX_SLOT_COUNT}"
            yield findings.Finding(entry.place_of("slot_count"), message)
        yield from _check_slot_count(entry, before_by_id.get(service.id))


def _check_slot_count(
    entry: nodes.Entry[model.Service], before: model.Service | None
) -> _Found:
    if before is None or not entry.is_valid("slot_count"):
        return
    if entry.value.slot_count != before.slot_count:
        message = (
            f"slot_count of service '{before.id}' is fixed for its lifetime:"
            f" {before.slot_count} is in force"
        )
        yield findings.Finding(entry.place_of("slot_count"), message)


def _check_organisations(loaded: loading.Loaded) -> _Found:
    yield from _check_names("organisation", _named(loaded.organisations))
    regions = _region_names(loaded)
    for entry in loaded.organisations:
        for item in entry.items("home_regions"):
            yield from _check_known("region", item, regions)


def _check_routes(loaded: loading.Loaded) -> _Found:
    yield from _check_names("route", _named(loaded.routes))
    services = {entry.value.id: entry.value for entry in loaded.services}
    regions = _region_names(loaded)
    organisations = [entry.value.id for entry in loaded.organisations]
    for entry in loaded.routes:
        yield from _check_service_of(entry, services)
        yield from _check_header(entry)
        yield from _check_least(
            entry, "deadline_ms", entry.value.deadline_ms, 1
        )
        for item in entry.items("home_regions"):
            yield from _check_known("region", item, regions)
        for item in entry.items("organisations"):
            yield from _check_known("organisation", item, organisations)
        for item in entry.items("idempotent_methods"):
            yield from _check_known("method", item, _METHODS)


def _check_service_of(
    entry: nodes.Entry[model.Route],
    services: Mapping[ids.ServiceId, model.Service],
) -> _Found:
    if not entry.is_valid("service"):
        return
    route = entry.value
    item = nodes.Item(route.service, entry.place_of("service"))
    yield from _check_known("service", item, services)
    service = services.get(route.service)
    if service is None or not entry.is_valid("key"):
        return
    if service.keyed and route.key is None:
        message = (
            f"route '{route.id}' needs a key: service '{service.id}' is keyed"
        )
        yield findings.Finding(entry.place, message)


def _check_header(entry: nodes.Entry[model.Route]) -> _Found:
    key = entry.value.key
    if not entry.is_valid("key") or key is None:
        return
    is_header = key.kind is model.KeySourceKind.HEADER
    if is_header and not _HEADER.fullmatch(key.name):
        message = f"'{key.name}' is not a header name"
        yield findings.Finding(entry.place_of("key"), message)


def _check_prefixes(routes: Iterable[nodes.Entry[model.Route]]) -> _Found:
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


def _named(entries: Iterable[nodes.Entry[_T]]) -> Iterator[nodes.Item]:
    for entry in entries:
        # Every struct of the model that is read as an entry has an id.
        name = getattr(entry.value, "id")  # noqa: B009
        yield nodes.Item(name, entry.place_of("id"))


def _region_names(loaded: loading.Loaded) -> list[str]:
    return [item.value for item in loaded.regions]


def _check_names(kind: str, items: Iterable[nodes.Item]) -> _Found:
    first_by_name: dict[str, nodes.Item] = {}
    for item in items:
        yield from _check_name(item)
        first = first_by_name.setdefault(item.value, item)
        if first is not item:
            message = f"duplicate {kind} '{item.value}', also at {first.place}"
            yield findings.Finding(item.place, message)


def _check_name(item: nodes.Item) -> _Found:
    too_long = len(item.value) > _MAX_NAME_LENGTH
    if too_long or not _NAME.fullmatch(item.value):
        message = (
            f"'{item.value}' is not a name of at most {_MAX_NAME_LENGTH}"
            " characters a-z, 0-9, - and _"
        )
        yield findings.Finding(item.place, message)


def _check_known(kind: str, item: nodes.Item, known: Iterable[str]) -> _Found:
    names = list(known)
    if item.value not in names:
        hint = nodes.suggestion(item.value, names)
        message = f"unknown {kind} '{item.value}'{hint}"
        yield findings.Finding(item.place, message)


def _check_least(
    entry: nodes.Entry[_T], field: str, value: int, least: int
) -> _Found:
    if entry.is_valid(field) and value < least:
        message = f"{field} is {value}, must be at least {least}"
        yield findings.Finding(entry.place_of(field), message)
