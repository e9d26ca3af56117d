"""Parser of the operator language."""

from collections.abc import Iterable
import dataclasses
import functools
from typing import Any

import lark

from mustardloom import findings
from mustardloom.declarations import model
from mustardloom.operators import grammar

__all__ = [
    "Audit",
    "Command",
    "Configuration",
    "ConfirmLost",
    "Help",
    "Load",
    "MoveKey",
    "MoveSlot",
    "Moves",
    "Name",
    "Number",
    "Owner",
    "ParseError",
    "Query",
    "Slots",
    "Start",
    "Statement",
    "Stop",
    "Stops",
    "Targets",
    "finding",
    "next_words",
    "parse",
]

_SOURCE = "line"
_END = "$END"
_MAX_LINE_CHARACTERS = 1_000
_DEFAULT_AUDIT_COUNT = 20


def parse(line: str) -> "Statement":
    """Returns the statement of a line.

    Raises:
      ParseError: The line is not in the language; the finding names the column
        and what was expected there.

    Example:
      >>> parse("stop availability-zone pwani-1").name.text
      'pwani-1'
    """
    if len(line) > _MAX_LINE_CHARACTERS:
        message = f"longer than {_MAX_LINE_CHARACTERS} characters"
        raise ParseError(_MAX_LINE_CHARACTERS + 1, message)
    try:
        tree = _parser().parse(line)
    except lark.exceptions.UnexpectedInput as error:
        raise _parse_error(line, error) from error
    statement: Statement = _Builder().transform(tree)
    return statement


def next_words(line: str) -> list[str]:
    """Returns the keywords that may follow a line, for completion.

    Example:
      >>> next_words("stop ")
      ['availability-zone', 'target']
    """
    interactive = _parser().parse_interactive(line)
    try:
        interactive.exhaust_lexer()
    except lark.exceptions.UnexpectedInput:
        return []
    accepted: set[str] = interactive.accepts()  # type: ignore[no-untyped-call]
    return sorted(_keyword(name) for name in accepted if _is_keyword(name))


def finding(name: "Name | Number", message: str) -> findings.Finding:
    """Returns a finding at the place of a word of the line."""
    return findings.Finding(findings.Place(_SOURCE, 1, name.column), message)


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark(
        grammar.GRAMMAR,
        parser="lalr",
        lexer="contextual",
        maybe_placeholders=True,
    )


def _parse_error(
    line: str, error: lark.exceptions.UnexpectedInput
) -> "ParseError":
    expected: Iterable[str] = ()
    column = error.column
    if isinstance(error, lark.exceptions.UnexpectedToken):
        expected = error.accepts or error.expected
        if error.token.type == _END:
            column = len(line) + 1
    elif isinstance(error, lark.exceptions.UnexpectedCharacters):
        expected = error.allowed or ()
    found = line[column - 1 :].split(maxsplit=1)
    seen = f"{found[0]!r}" if found else "the end of the line"
    names = ", ".join(sorted(set(map(_meaning, expected))))
    return ParseError(column, f"expected {names}; found {seen}")


def _is_keyword(terminal: str) -> bool:
    return _meaning(terminal).startswith("'")


def _keyword(terminal: str) -> str:
    return _meaning(terminal).strip("'")


def _meaning(terminal: str) -> str:
    default = f"'{terminal.lower()}'"
    return grammar.MEANING_BY_TERMINAL.get(terminal, default)


class ParseError(findings.FindingsError):
    """A line that is not in the language."""

    def __init__(self, column: int, message: str):
        place = findings.Place(_SOURCE, 1, column)
        super().__init__([findings.Finding(place, message)])


@dataclasses.dataclass(frozen=True, slots=True)
class Name:
    """A name in the line; columns start at 1."""

    text: str
    column: int


@dataclasses.dataclass(frozen=True, slots=True)
class Number:
    """A number in the line; columns start at 1."""

    value: int
    column: int


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Who owns a key."""

    key: Name
    service: Name
    organisation: Name | None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What load a target has."""

    target: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """Which targets there are."""

    zone: Name | None
    service: Name | None


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """Who owns the slots of a service."""

    service: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Moves:
    """Which planned moves are under way."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stops:
    """What is out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Which version of the configuration each daemon has in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Audit:
    """Which changes operators made."""

    object: Name | None
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Help:
    """What the language offers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Takes an availability zone or a target out of service."""

    kind: model.StopKind
    name: Name
    force: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Brings an availability zone or a target back."""

    kind: model.StopKind
    name: Name


@dataclasses.dataclass(frozen=True, slots=True)
class MoveSlot:
    """Moves a slot to the target of a VM."""

    slot: Number
    group: Name
    vm: Name


@dataclasses.dataclass(frozen=True, slots=True)
class MoveKey:
    """Moves the slot of a key to the target of a VM."""

    key: Name
    service: Name
    vm: Name


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmLost:
    """States that no process of a VM runs any more."""

    vm: Name


Query = (
    Owner
    | Load
    | Targets
    | Slots
    | Moves
    | Stops
    | Configuration
    | Audit
    | Help
)
Command = Stop | Start | MoveSlot | MoveKey | ConfirmLost
Statement = Query | Command


class _Builder(lark.Transformer[lark.Token, Statement]):
    """Builds statements; children hold keywords, names and None."""

    def name(self, items: list[lark.Token]) -> Name:
        """Takes the quotes off."""
        return Name(items[0].value.strip('"'), items[0].column or 0)

    def number(self, items: list[lark.Token]) -> Number:
        """Converts digits."""
        return Number(int(items[0].value), items[0].column or 0)

    def kind(self, items: list[lark.Token]) -> model.StopKind:
        """Converts the word."""
        return model.StopKind(items[0].value)

    def owner(self, items: list[Any]) -> Owner:
        """Builds the query."""
        return Owner(items[2], items[4], items[6])

    def load(self, items: list[Any]) -> Load:
        """Builds the query."""
        return Load(items[2])

    def targets(self, items: list[Any]) -> Targets:
        """Builds the query."""
        return Targets(items[2], items[4])

    def slots(self, items: list[Any]) -> Slots:
        """Builds the query."""
        return Slots(items[2])

    def moves(self, _: list[Any]) -> Moves:
        """Builds the query."""
        return Moves()

    def stops(self, _: list[Any]) -> Stops:
        """Builds the query."""
        return Stops()

    def configuration(self, _: list[Any]) -> Configuration:
        """Builds the query."""
        return Configuration()

    def audit(self, items: list[Any]) -> Audit:
        """Builds the query."""
        count = items[4].value if items[4] else _DEFAULT_AUDIT_COUNT
        return Audit(items[2], count)

    def help(self, _: list[Any]) -> Help:
        """Builds the query."""
        return Help()

    def stop(self, items: list[Any]) -> Stop:
        """Builds the command."""
        return Stop(items[1], items[2], items[3] is not None)

    def start_command(self, items: list[Any]) -> Start:
        """Builds the command."""
        return Start(items[1], items[2])

    def move_slot(self, items: list[Any]) -> MoveSlot:
        """Builds the command."""
        return MoveSlot(items[2], items[4], items[6])

    def move_key(self, items: list[Any]) -> MoveKey:
        """Builds the command."""
        return MoveKey(items[2], items[4], items[6])

    def confirm_lost(self, items: list[Any]) -> ConfirmLost:
        """Builds the command."""
        return ConfirmLost(items[2])
