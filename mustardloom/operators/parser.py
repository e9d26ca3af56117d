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
    """Parses a line into a query or command.

    Raises:
      ParseError: The line has a syntax error; the finding has the column and
        what was expected there.

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
    """Returns the keywords that may follow a partial line, for completion.

    The list is empty if the line has a syntax error.

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
    """Returns a finding at the column of a name or number of the line."""
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
    """A syntax error in a line, with the column where it was found."""

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
    """Query: the owner of a key of a service, for one organisation or none."""

    key: Name
    service: Name
    organisation: Name | None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Query: the load of a target, which is named by its VM."""

    target: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """Query: all targets, or those of a zone, a service or both."""

    zone: Name | None
    service: Name | None


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """Query: the owner of each slot of a service."""

    service: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Moves:
    """Query: the planned moves in progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stops:
    """Query: the zones and targets that are out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Query: the configuration versions in force at each daemon."""


@dataclasses.dataclass(frozen=True, slots=True)
class Audit:
    """Query: the last `count` changes by operators, of one object or all."""

    object: Name | None
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Help:
    """Query: all forms of queries and commands."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Command: takes an availability zone or a target out of service.

    `force` skips the check of the remaining capacity.
    """

    kind: model.StopKind
    name: Name
    force: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Command: brings an availability zone or a target back into service."""

    kind: model.StopKind
    name: Name


@dataclasses.dataclass(frozen=True, slots=True)
class MoveSlot:
    """Command: moves a slot of a placement group to the target of a VM."""

    slot: Number
    group: Name
    vm: Name


@dataclasses.dataclass(frozen=True, slots=True)
class MoveKey:
    """Command: moves the slot of a key to the target of a VM."""

    key: Name
    service: Name
    vm: Name


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmLost:
    """Command: states that no process runs on a VM any more."""

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
    """Builds statements from parse trees, one method per rule of the grammar.

    `items` has one element per symbol of the rule: keyword tokens, built names
    and numbers, and None for each symbol of an absent optional part.
    """

    def name(self, items: list[lark.Token]) -> Name:
        """Builds a name, without its quotes."""
        return Name(items[0].value.strip('"'), items[0].column or 0)

    def number(self, items: list[lark.Token]) -> Number:
        """Builds a number from its digits."""
        return Number(int(items[0].value), items[0].column or 0)

    def kind(self, items: list[lark.Token]) -> model.StopKind:
        """Converts the keyword ZONE or TARGET."""
        return model.StopKind(items[0].value)

    def owner(self, items: list[Any]) -> Owner:
        """Builds `OWNER OF key IN service [FOR organisation]`."""
        return Owner(items[2], items[4], items[6])

    def load(self, items: list[Any]) -> Load:
        """Builds `LOAD OF target`."""
        return Load(items[2])

    def targets(self, items: list[Any]) -> Targets:
        """Builds `TARGETS [IN zone] [OF service]`."""
        return Targets(items[2], items[4])

    def slots(self, items: list[Any]) -> Slots:
        """Builds `SLOTS OF service`."""
        return Slots(items[2])

    def moves(self, _: list[Any]) -> Moves:
        """Builds `MOVES`."""
        return Moves()

    def stops(self, _: list[Any]) -> Stops:
        """Builds `STOPS`."""
        return Stops()

    def configuration(self, _: list[Any]) -> Configuration:
        """Builds `CONFIGURATION`."""
        return Configuration()

    def audit(self, items: list[Any]) -> Audit:
        """Builds `AUDIT [OF object] [LAST count]`."""
        count = items[4].value if items[4] else _DEFAULT_AUDIT_COUNT
        return Audit(items[2], count)

    def help(self, _: list[Any]) -> Help:
        """Builds `HELP`."""
        return Help()

    def stop(self, items: list[Any]) -> Stop:
        """Builds `STOP kind name [FORCE]`."""
        return Stop(items[1], items[2], items[3] is not None)

    def start_command(self, items: list[Any]) -> Start:
        """Builds `START kind name`."""
        return Start(items[1], items[2])

    def move_slot(self, items: list[Any]) -> MoveSlot:
        """Builds `MOVE SLOT number OF group TO vm`."""
        return MoveSlot(items[2], items[4], items[6])

    def move_key(self, items: list[Any]) -> MoveKey:
        """Builds `MOVE KEY key OF service TO vm`."""
        return MoveKey(items[2], items[4], items[6])

    def confirm_lost(self, items: list[Any]) -> ConfirmLost:
        """Builds `CONFIRM LOST vm`."""
        return ConfirmLost(items[2])
