"""Differences between two versions of a declaration set."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
from typing import Any

import msgspec

from mustardloom.declarations import model

__all__ = [
    "Added",
    "Change",
    "Changed",
    "Kind",
    "Removed",
    "audit_values",
    "describe",
    "diff",
]


class Kind(enum.Enum):
    """Type of the declaration that a change is about."""

    REGION = "region"
    AVAILABILITY_ZONE = "availability zone"
    SERVICE = "service"
    ROUTE = "route"
    ORGANISATION = "organisation"


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """A new declaration."""

    kind: Kind
    name: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """A declaration that no longer exists."""

    kind: Kind
    name: str
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A field of a declaration whose value has changed."""

    kind: Kind
    name: str
    field: str
    before: Any
    after: Any


Change = Added | Removed | Changed


def diff(
    before: model.DeclarationSet | None, after: model.DeclarationSet
) -> Iterator[Change]:
    """Yields the changes that lead from `before` to `after`.

    The order of declarations does not matter. Without `before`, all
    declarations are new.

    Example:
      >>> service = model.Service(id="salio", capacity=6)
      >>> after = model.DeclarationSet(id="kibanda", services=(service,))
      >>> [describe(change) for change in diff(None, after)]
      ['+ service salio']
    """
    old = before or model.DeclarationSet(id=after.id)
    yield from _diff_regions(old.regions, after.regions)
    sections: tuple[tuple[Kind, Iterable[Any], Iterable[Any]], ...] = (
        (
            Kind.AVAILABILITY_ZONE,
            old.availability_zones,
            after.availability_zones,
        ),
        (Kind.SERVICE, old.services, after.services),
        (Kind.ROUTE, old.routes, after.routes),
        (Kind.ORGANISATION, old.organisations, after.organisations),
    )
    for kind, old_items, new_items in sections:
        yield from _diff_section(kind, old_items, new_items)


def describe(change: Change) -> str:
    """Returns a change as one line of text for operators."""
    match change:
        case Added(kind, name):
            return f"+ {kind.value} {name}"
        case Removed(kind, name):
            return f"- {kind.value} {name}"
        case Changed(kind, name, field, before, after):
            values = f"{_json(before)} -> {_json(after)}"
            return f"~ {kind.value} {name}: {field} {values}"


def audit_values(changes: Iterable[Change]) -> tuple[str, str]:
    """Returns the values before and after the changes, for an audit entry.

    Returns:
      Two JSON objects with values by kind and name. They hold changed parts
      only, so that audit entries of large sets stay small.

    Example:
      >>> audit_values([Changed(Kind.SERVICE, "salio", "capacity", 6, 8)])
      ('{"service salio capacity":6}', '{"service salio capacity":8}')
    """
    before: dict[str, Any] = {}
    after: dict[str, Any] = {}
    for change in changes:
        name = f"{change.kind.value} {change.name}"
        match change:
            case Added(value=value):
                after[name] = value
            case Removed(value=value):
                before[name] = value
            case Changed(field=field, before=old, after=new):
                before[f"{name} {field}"] = old
                after[f"{name} {field}"] = new
    return _json(before), _json(after)


def _diff_regions(
    before: Iterable[str], after: Iterable[str]
) -> Iterator[Change]:
    old = set(before)
    new = set(after)
    for name in sorted(new - old):
        yield Added(Kind.REGION, name, name)
    for name in sorted(old - new):
        yield Removed(Kind.REGION, name, name)


def _diff_section(
    kind: Kind, before: Iterable[Any], after: Iterable[Any]
) -> Iterator[Change]:
    old_by_id = {item.id: item for item in before}
    new_by_id = {item.id: item for item in after}
    for name in sorted(new_by_id.keys() - old_by_id.keys()):
        yield Added(kind, name, new_by_id[name])
    for name in sorted(old_by_id.keys() - new_by_id.keys()):
        yield Removed(kind, name, old_by_id[name])
    for name in sorted(old_by_id.keys() & new_by_id.keys()):
        yield from _diff_fields(kind, name, old_by_id[name], new_by_id[name])


def _diff_fields(
    kind: Kind, name: str, before: Any, after: Any
) -> Iterator[Change]:
    for info in msgspec.structs.fields(before):
        old = getattr(before, info.name)
        new = getattr(after, info.name)
        if old != new:
            yield Changed(kind, name, info.name, old, new)


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
