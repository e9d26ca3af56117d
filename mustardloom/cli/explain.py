"""`mustardloomctl explain`: finds the lines of one request in log files."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
from typing import Annotated

import msgspec
import typer

__all__ = ["LogLine", "RequestTrace", "register", "trace_request"]

_EXIT_NOT_FOUND = 1
# Fields of every line that are not listed again among the details.
_COMMON_FIELDS = frozenset(("wall_ms", "vm", "event", "request"))
# Events of a daemon that may explain what happened to a request on its VM.
_CONTEXT_EVENTS = frozenset(
    (
        "stop",
        "start",
        "store-lost",
        "store-back",
        "peer-lost",
        "target-down",
        "target-leaving",
        "target-statement",
        "target-new",
        "authority-lost",
        "key-map-adopted",
        "configuration-adopted",
        "evacuation-changed",
    )
)
# How long before the first line of a request such events are shown.
_CONTEXT_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """One line of a daemon's log.

    Attributes:
      wall_ms: Time in ms since the Unix epoch.
      vm: VM of the daemon.
      event: Name of the event.
      fields: Names and values of the other fields, without the request id.
    """

    wall_ms: int
    vm: str
    event: str
    fields: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        details = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.wall_ms} {self.vm} {self.event} {details}".rstrip()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """Log lines about one request.

    Attributes:
      lines: Lines that name the request, in order of time.
      context: Changes on the VMs of these lines, from shortly before the first
        to the last of them, in order of time.
      unreadable: Number of texts that are not log lines.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    unreadable: int


def trace_request(request: str, texts: Iterable[str]) -> RequestTrace:
    """Returns the log lines of a request and of the calls that it made.

    Args:
      request: Id of the request. The id of a call contains it as one of the
        parts that dots separate.
      texts: Lines of the logs of any number of daemons, in any order.

    Example:
      >>> text = '{"wall_ms":5,"vm":"a","event":"start","request":"r"}'
      >>> [str(line) for line in trace_request("r", [text, "garbage"]).lines]
      ['5 a start']
    """
    matching: list[LogLine] = []
    context_events: list[LogLine] = []
    unreadable = 0
    for text in texts:
        if not text.strip():
            continue
        try:
            line, request_id = _parse(text)
        except (ValueError, KeyError, TypeError):
            unreadable += 1
            continue
        if request in request_id.split("."):
            matching.append(line)
        elif line.event in _CONTEXT_EVENTS:
            context_events.append(line)
    context = _context(matching, context_events)
    return RequestTrace(
        tuple(sorted(matching)), tuple(sorted(context)), unreadable
    )


def register(app: typer.Typer) -> None:
    """Adds the command `explain` to `app`."""
    app.command("explain")(_explain)


def _explain(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[list[pathlib.Path], typer.Argument(help="Log files.")],
) -> None:
    """Prints the lines of one request from the daemons' logs.

    The exit code is 1 if there are none.
    """
    trace = trace_request(request, _texts(files))
    for line in trace.context:
        typer.echo(f"before: {line}")
    for line in trace.lines:
        typer.echo(str(line))
    if trace.unreadable:
        typer.echo(f"{trace.unreadable} lines were not readable", err=True)
    if not trace.lines:
        typer.echo(f"no line names request {request}", err=True)
        raise typer.Exit(_EXIT_NOT_FOUND)


def _texts(files: list[pathlib.Path]) -> Iterator[str]:
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            yield from lines


def _parse(text: str) -> tuple[LogLine, str]:
    """Returns the line and the request id that it names, empty if none."""
    # Log collectors may prepend a time and a name.
    fields = msgspec.json.decode(text[text.index("{") :])
    line = LogLine(
        int(fields["wall_ms"]),
        str(fields["vm"]),
        str(fields["event"]),
        tuple(
            (name, str(value))
            for name, value in fields.items()
            if name not in _COMMON_FIELDS
        ),
    )
    return line, str(fields.get("request", ""))


def _context(
    matching: list[LogLine], context_events: list[LogLine]
) -> Iterator[LogLine]:
    if not matching:
        return
    vms = {line.vm for line in matching}
    first_ms = min(line.wall_ms for line in matching) - _CONTEXT_MS
    last_ms = max(line.wall_ms for line in matching)
    for line in context_events:
        if line.vm in vms and first_ms <= line.wall_ms <= last_ms:
            yield line
