"""Conversion of YAML nodes to structs of the model, with places in the file."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import difflib
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec
import yaml

from mustardloom import findings

__all__ = [
    "Entry",
    "LocatedValue",
    "Parser",
    "Reader",
    "place_of",
    "suggestion",
]

_T = TypeVar("_T", bound=msgspec.Struct)

# Converts the YAML value of a field to its type, or raises ValueError.
Parser = Callable[[Any], Any]


def place_of(node: yaml.Node) -> findings.Place:
    """Returns the file, line and column where a node starts."""
    mark = node.start_mark
    return findings.Place(str(mark.name), mark.line + 1, mark.column + 1)


def suggestion(name: str, known: Iterable[str]) -> str:
    """Returns a hint with the most similar known name, empty if there is none.

    Example:
      >>> suggestion("zwia", ["pwani", "ziwa"])
      "; did you mean 'ziwa'?"
    """
    matches = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean '{matches[0]}'?" if matches else ""


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedValue:
    """A value and its place in the file."""

    value: Any
    place: findings.Place


@dataclasses.dataclass(frozen=True, slots=True)
class Entry(Generic[_T]):
    """A declared struct and the places of its fields.

    Attributes:
      value: The struct; invalid fields have placeholder values.
      place: Where the declaration starts.
      nodes: YAML nodes of the fields that are present, by field name.
      invalid_fields: Names of fields that have a finding from reading.
    """

    value: _T
    place: findings.Place
    nodes: Mapping[str, yaml.Node]
    invalid_fields: frozenset[str]

    def is_valid(self, *fields: str) -> bool:
        """Returns whether none of `fields` has a finding from reading."""
        return self.invalid_fields.isdisjoint(fields)

    def place_of(self, field: str) -> findings.Place:
        """Returns the place of a field, or of the entry if it is absent."""
        node = self.nodes.get(field)
        return place_of(node) if node is not None else self.place

    def items(self, field: str) -> Iterator[LocatedValue]:
        """Yields the elements of a sequence field, none if it is invalid."""
        if not self.is_valid(field):
            return
        node = self.nodes.get(field)
        children = node.value if node is not None else ()
        for value, child in zip(
            getattr(self.value, field), children, strict=False
        ):
            yield LocatedValue(value, place_of(child))


class _InvalidField(ValueError):
    """A field is missing or its value has the wrong type or form."""


class Reader:
    """Converts nodes to structs and collects findings.

    Attributes:
      found: Findings so far.
    """

    def __init__(self) -> None:
        self.found: list[findings.Finding] = []

    def report(self, place: findings.Place, message: str) -> None:
        """Adds a finding to `found`."""
        self.found.append(findings.Finding(place, message))

    def fields(self, node: yaml.Node, known: list[str]) -> dict[str, yaml.Node]:
        """Returns the value nodes of a mapping by field name.

        Unknown and repeated fields are reported and left out.
        """
        if not isinstance(node, yaml.MappingNode):
            self.report(place_of(node), "expected a mapping")
            return {}
        nodes: dict[str, yaml.Node] = {}
        for key_node, value_node in node.value:
            name = str(key_node.value)
            if name not in known:
                hint = suggestion(name, known)
                message = f"unknown field '{name}'{hint}"
                self.report(place_of(key_node), message)
            elif name in nodes:
                self.report(place_of(key_node), f"field '{name}' repeated")
            else:
                nodes[name] = value_node
        return nodes

    def elements(self, node: yaml.Node) -> list[yaml.Node]:
        """Returns the elements of a sequence; reports any other node."""
        if isinstance(node, yaml.SequenceNode):
            return list(node.value)
        self.report(place_of(node), "expected a list")
        return []

    def entry(
        self,
        node: yaml.Node,
        kind: type[_T],
        parsers: Mapping[str, Parser],
    ) -> Entry[_T] | None:
        """Converts a mapping to a struct; reports all of its faults.

        Args:
          node: The mapping.
          kind: Type of the struct.
          parsers: Parsers of fields that msgspec cannot convert, by field name.

        Returns:
          The struct with its places, or None if the node is not a mapping or
          has no valid `id`.
        """
        infos = msgspec.structs.fields(kind)
        nodes = self.fields(node, [info.name for info in infos])
        if not isinstance(node, yaml.MappingNode):
            return None
        values: dict[str, Any] = {}
        invalid_fields: set[str] = set()
        for info in infos:
            try:
                parse = parsers.get(info.name)
                values[info.name] = _field(nodes.get(info.name), info, parse)
            except _InvalidField as error:
                invalid_fields.add(info.name)
                place = place_of(nodes.get(info.name, node))
                self.report(place, f"{info.name}: {error}")
                values[info.name] = "" if info.required else info.default
        if "id" in invalid_fields:
            return None
        return Entry(
            kind(**values), place_of(node), nodes, frozenset(invalid_fields)
        )


def _field(
    node: yaml.Node | None,
    info: msgspec.structs.FieldInfo,
    parse: Parser | None,
) -> Any:
    if node is None and info.required:
        raise _InvalidField("missing")
    if node is None:
        return info.default
    try:
        value = yaml.constructor.SafeConstructor().construct_document(node)
        return parse(value) if parse else msgspec.convert(value, info.type)
    except (ValueError, yaml.YAMLError) as error:
        raise _InvalidField(str(error)) from error
