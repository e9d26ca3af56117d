"""`mustardloomctl explain`: the story of one request from log files."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
from typing import Annotated

import msgspec
import typer

__all__ = ["Line", "RequestTrace", "register", "trace_request"]

_NOT_FOUND = 1
# Fields that each line has, shown in front of the others.
_COMMON = frozenset(("wall_ms", "vm", "event", "request"))
# Events about a daemon that may explain what happened to a request there.
_CONTEXT_EVENTS = frozenset(
    (
        "stop",
        "start",
        "store-lost",
        "store-back",
        "peer-lost",
        "target-down",
        "target-leaving",
        "target-new",
        "authority-lost",
        "key-map-adopted",
        "configuration-adopted",
        "evacuation-changed",
    )
)
_CONTEXT_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Line:
    """One line of a log."""

    wall_ms: int
    vm: str
    event: str
    fields: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        details = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.wall_ms} {self.vm} {self.event} {details}".rstrip()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """What logs tell of one request.

    Attributes:
      lines: Lines that name the request, in order of time.
      context: What changed shortly before at the VMs in these lines.
      unreadable: Lines that are no log lines.
    """

    lines: tuple[Line, ...]
    context: tuple[Line, ...]
    unreadable: int


def trace_request(request: str, texts: Iterable[str]) -> RequestTrace:
    """Returns the story of a request, or of all calls that it made.

    Example:
      >>> text = '{"wall_ms":5,"vm":"a","event":"start","request":"r"}'
      >>> [str(line) for line in trace_request("r", [text, "garbage"]).lines]
      ['5 a start']
    """
    own: list[Line] = []
    others: list[Line] = []
    unreadable = 0
    for text in texts:
        if not text.strip():
            continue
        try:
            line, named = _parse(text)
        except (ValueError, KeyError, TypeError):
            unreadable += 1
            continue
        if request in named.split("."):
            own.append(line)
        elif line.event in _CONTEXT_EVENTS:
            others.append(line)
    context = _context(own, others)
    return RequestTrace(tuple(sorted(own)), tuple(sorted(context)), unreadable)


def register(app: typer.Typer) -> None:
    """Adds the command."""
    app.command("explain")(_explain)


def _explain(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[list[pathlib.Path], typer.Argument(help="Log files.")],
) -> None:
    """Prints what the daemons' logs tell of one request."""
    story = trace_request(request, _texts(files))
    for line in story.context:
        typer.echo(f"before: {line}")
    for line in story.lines:
        typer.echo(str(line))
    if story.unreadable:
        typer.echo(f"{story.unreadable} lines were not readable", err=True)
    if not story.lines:
        typer.echo(f"no line names request {request}", err=True)
        raise typer.Exit(_NOT_FOUND)


def _texts(files: list[pathlib.Path]) -> Iterator[str]:
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            yield from lines


def _parse(text: str) -> tuple[Line, str]:
    # Collectors may write a time and a name before the line.
    fields = msgspec.json.decode(text[text.index("{") :])
    line = Line(
        int(fields["wall_ms"]),
        str(fields["vm"]),
        str(fields["event"]),
        tuple(
            (name, str(value))
            for name, value in fields.items()
            if name not in _COMMON
        ),
    )
    return line, str(fields.get("request", ""))


def _context(own: list[Line], others: list[Line]) -> Iterator[Line]:
    if not own:
        return
    vms = {line.vm for line in own}
    first_ms = min(line.wall_ms for line in own) - _CONTEXT_MS
    last_ms = max(line.wall_ms for line in own)
    for line in others:
        if line.vm in vms and first_ms <= line.wall_ms <= last_ms:
            yield line
