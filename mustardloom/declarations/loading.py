"""Reads declaration files and keeps the places of all declarations."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import msgspec
import yaml

from mustardloom import findings
from mustardloom import ids
from mustardloom.declarations import model
from mustardloom.declarations import nodes

__all__ = ["LoadedDeclarations", "load", "parse_key_source"]

_SUFFIXES = (".yaml", ".yml")
_SET_FIELD = "set"
_REGIONS_FIELD = "regions"
_FIELDS = [
    _SET_FIELD,
    _REGIONS_FIELD,
    "availability_zones",
    "services",
    "routes",
    "organisations",
]
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

_T = TypeVar("_T", bound=msgspec.Struct)


def load(paths: Iterable[pathlib.Path]) -> "LoadedDeclarations":
    """Reads the files that together declare one set.

    Args:
      paths: Files, or directories whose YAML files are read.

    Returns:
      All that could be read, with findings about the rest.
    """
    loaded = LoadedDeclarations()
    files = sorted(set(_expand(paths)))
    if not files:
        loaded.reader.report(findings.Place("files"), "no YAML file given")
    for path in files:
        _load_file(loaded, path)
    return loaded


def parse_key_source(value: Any) -> model.KeySource:
    """Parses a key source of the form `header:NAME` or `path:N`.

    Raises:
      ValueError: The value has a different form.

    Example:
      >>> parse_key_source("path:1").name
      '1'
    """
    kind, separator, name = str(value).partition(":")
    match kind, bool(separator and name):
        case "header", True:
            return model.KeySource(model.KeySourceKind.HEADER, name)
        case "path", True if name.isascii() and name.isdecimal():
            return model.KeySource(
                model.KeySourceKind.PATH_SEGMENT, str(int(name))
            )
        case _:
            raise ValueError(
                f"'{value}' is neither 'header:NAME' nor 'path:N' with N >= 0"
            )


@dataclasses.dataclass(slots=True)
class LoadedDeclarations:
    """What was read from the files of one set.

    Attributes:
      reader: Holds the findings from reading.
      sets: Values of the field `set`, one for each file that has it.
      regions: Declared regions.
      availability_zones: Declared availability zones.
      services: Declared services.
      routes: Declared routes.
      organisations: Declared organisations.
    """

    reader: nodes.Reader = dataclasses.field(default_factory=nodes.Reader)
    sets: list[nodes.LocatedValue] = dataclasses.field(default_factory=list)
    regions: list[nodes.LocatedValue] = dataclasses.field(default_factory=list)
    availability_zones: list[nodes.Entry[model.AvailabilityZone]] = (
        dataclasses.field(default_factory=list)
    )
    services: list[nodes.Entry[model.Service]] = dataclasses.field(
        default_factory=list
    )
    routes: list[nodes.Entry[model.Route]] = dataclasses.field(
        default_factory=list
    )
    organisations: list[nodes.Entry[model.Organisation]] = dataclasses.field(
        default_factory=list
    )

    def declaration_set(self) -> model.DeclarationSet:
        """Returns the declared set, which is valid only without findings."""
        name = self.sets[0].value if self.sets else ""
        return model.DeclarationSet(
            id=ids.DeclarationSetId(name),
            regions=tuple(item.value for item in self.regions),
            availability_zones=_values(self.availability_zones),
            services=_values(self.services),
            routes=_values(self.routes),
            organisations=_values(self.organisations),
        )


def _values(entries: Iterable[nodes.Entry[_T]]) -> tuple[_T, ...]:
    return tuple(entry.value for entry in entries)


def _expand(paths: Iterable[pathlib.Path]) -> Iterator[pathlib.Path]:
    for path in paths:
        if path.is_dir():
            yield from (
                child
                for child in path.iterdir()
                if child.suffix in _SUFFIXES and child.is_file()
            )
        else:
            yield path


def _load_file(loaded: LoadedDeclarations, path: pathlib.Path) -> None:
    root = _compose(loaded.reader, path)
    if root is None:
        return
    reader = loaded.reader
    sections = reader.fields(root, _FIELDS)
    if _SET_FIELD in sections:
        loaded.sets.extend(_strings(reader, [sections[_SET_FIELD]]))
    if _REGIONS_FIELD in sections:
        regions = reader.elements(sections[_REGIONS_FIELD])
        loaded.regions.extend(_strings(reader, regions))
    loaded.availability_zones.extend(
        _entries(reader, sections, "availability_zones", model.AvailabilityZone)
    )
    loaded.services.extend(
        _entries(reader, sections, "services", model.Service)
    )
    loaded.routes.extend(_entries(reader, sections, "routes", model.Route))
    loaded.organisations.extend(
        _entries(reader, sections, "organisations", model.Organisation)
    )


def _compose(reader: nodes.Reader, path: pathlib.Path) -> yaml.Node | None:
    source = str(path)
    try:
        # Given an open file, YAML sets the file name that `place_of` reads.
        with path.open("rb") as stream:
            root: yaml.Node | None = _LOADER(stream).get_single_node()
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
        reader.report(findings.Place(source), message)
        return None
    except yaml.MarkedYAMLError as error:
        place = _place_of_mark(source, error.problem_mark)
        reader.report(place, f"not YAML: {error.problem or error.context}")
        return None
    except yaml.YAMLError as error:
        reader.report(findings.Place(source), f"not YAML: {error}")
        return None
    if root is None:
        reader.report(findings.Place(source), "empty file")
    return root


def _place_of_mark(source: str, mark: yaml.Mark | None) -> findings.Place:
    if mark is None:
        return findings.Place(source)
    return findings.Place(source, mark.line + 1, mark.column + 1)


def _strings(
    reader: nodes.Reader, scalars: Iterable[yaml.Node]
) -> Iterator[nodes.LocatedValue]:
    for node in scalars:
        if isinstance(node, yaml.ScalarNode) and node.tag.endswith(":str"):
            yield nodes.LocatedValue(node.value, nodes.place_of(node))
        else:
            reader.report(nodes.place_of(node), "expected a name")


def _entries(
    reader: nodes.Reader,
    sections: dict[str, yaml.Node],
    section: str,
    kind: type[_T],
) -> Iterator[nodes.Entry[_T]]:
    if section not in sections:
        return
    parsers = {"key": parse_key_source}
    for node in reader.elements(sections[section]):
        entry = reader.entry(node, kind, parsers)
        if entry is not None:
            yield entry
