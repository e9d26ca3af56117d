"""Subcommands of `mustardloomctl` that send the operator language."""

from collections.abc import Iterator
import enum
import getpass
import http.client
import pathlib
import readline
from typing import Annotated

import msgspec
import typer

from mustardloom import ids
from mustardloom.operators import endpoint
from mustardloom.operators import parser
from mustardloom.operators import results

__all__ = ["ask", "do", "prompt", "register"]

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_FINDINGS = 3
EXIT_UNAVAILABLE = 4
EXIT_CONFLICT = 5

_DEFAULT_DAEMON = "127.0.0.1:7002"
# Longer than the daemon's write deadline of 3 s and the read-back after it.
_ANSWER_TIMEOUT_S = 15.0
_CONNECT_TIMEOUT_S = 2.0
_HISTORY_FILE = pathlib.Path("~/.mustardloom_history")
_HISTORY_LINES = 1_000
_PROMPT = "mustardloom> "
_MAX_CELL_LENGTH = 60
_ELLIPSIS = "..."


class Output(enum.Enum):
    """Format of answers."""

    TABLE = "table"
    JSON = "json"


_Line = Annotated[str, typer.Argument(help="Query or command.")]
_Daemons = Annotated[
    list[str] | None,
    typer.Option(
        "--daemon",
        help="HOST:PORT of a daemon's admin address; may be repeated, then the"
        " first that accepts a connection is used.",
        envvar="MUSTARDLOOM_DAEMON",
    ),
]
_Who = Annotated[
    str,
    typer.Option(
        help="Name for the audit trail; default: the login name.",
        envvar="MUSTARDLOOM_WHO",
    ),
]
_Output = Annotated[Output, typer.Option(help="Format of the answer.")]
_Operation = Annotated[
    str,
    typer.Option(
        help="Operation id of an earlier attempt, to repeat it safely."
    ),
]


def register(app: typer.Typer) -> None:
    """Adds the subcommands of this module to `app`."""
    for command in (do, ask, prompt):
        app.command()(command)


def do(
    line: _Line,
    daemon: _Daemons = None,
    who: _Who = "",
    output: _Output = Output.TABLE,
    operation: _Operation = "",
) -> None:
    """Carries out a command or query.

    Exit codes: 0 done, 2 usage or parse error, 3 findings or refused, 4
    platform or daemon unavailable, 5 conflict.
    """
    client = _Client(_addresses(daemon), who or _login_name())
    raise typer.Exit(_run(client, line, output, operation))


def ask(
    line: _Line,
    daemon: _Daemons = None,
    who: _Who = "",
    output: _Output = Output.TABLE,
) -> None:
    """Answers a query; commands are not accepted.

    Exit codes are those of `do`.
    """
    if _is_command(line):
        typer.echo("this is a command; use 'do'", err=True)
        raise typer.Exit(EXIT_USAGE)
    client = _Client(_addresses(daemon), who or _login_name())
    raise typer.Exit(_run(client, line, output, ""))


def prompt(
    daemon: _Daemons = None,
    who: _Who = "",
    output: _Output = Output.TABLE,
) -> None:
    """Reads commands and queries until the end of the input.

    The exit code is that of the last line.
    """
    client = _Client(_addresses(daemon), who or _login_name())
    _set_up_readline()
    code = EXIT_OK
    for line in _input_lines():
        code = _run(client, line, output, "")
    _save_history()
    raise typer.Exit(code)


def _run(client: "_Client", line: str, output: Output, operation: str) -> int:
    """Sends a line and prints the answer; returns the exit code.

    A new operation id is generated if `operation` is empty.
    """
    operation_id = (
        ids.OperationId(operation) if operation else ids.new_operation_id()
    )
    try:
        result = client.send(line, operation_id)
    except _DaemonUnavailable as error:
        typer.echo(str(error), err=True)
        return EXIT_UNAVAILABLE
    _print(result, output)
    return _exit_code(result)


def _exit_code(result: results.Result) -> int:
    match result:
        case results.Malformed():
            return EXIT_USAGE
        case results.Findings() | results.Refused():
            return EXIT_FINDINGS
        case results.Unavailable() | results.Undecided():
            return EXIT_UNAVAILABLE
        case results.Conflict():
            return EXIT_CONFLICT
    return EXIT_OK


def _print(result: results.Result, output: Output) -> None:
    if output is Output.JSON:
        typer.echo(results.encode(result).decode())
        return
    is_error = _exit_code(result) != EXIT_OK
    for text in _text_lines(result):
        typer.echo(text, err=is_error)


def _text_lines(result: results.Result) -> Iterator[str]:
    match result:
        case results.Table():
            yield from _table_lines(result)
            if result.message:
                yield result.message
        case results.AlreadyInForce(message=message, by=by):
            yield message
            if by is not None:
                since = results.wall_text(by.wall_ms)
                yield f"by {by.who} since {since} with {by.command!r}"
        case _:
            yield result.message


def _table_lines(table: results.Table) -> Iterator[str]:
    cells = [table.columns]
    cells.extend(tuple(map(_cell, row)) for row in table.rows)
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        yield "  ".join(padded).rstrip()


def _cell(value: str | int | None) -> str:
    """Returns a value as shown in tables, shortened if it is long."""
    text = "-" if value is None or value == "" else str(value)
    if len(text) <= _MAX_CELL_LENGTH:
        return text
    return text[: _MAX_CELL_LENGTH - len(_ELLIPSIS)] + _ELLIPSIS


def _is_command(line: str) -> bool:
    try:
        return isinstance(parser.parse(line), parser.Command)
    except parser.ParseError:
        return False


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        typer.echo("no login name; use --who", err=True)
        raise typer.Exit(EXIT_USAGE) from None


def _addresses(daemons: list[str] | None) -> list[tuple[str, int]]:
    return [_address(text) for text in daemons or [_DEFAULT_DAEMON]]


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise typer.BadParameter(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def _input_lines() -> Iterator[str]:
    """Yields the lines that are not blank until the end of the input."""
    while True:
        try:
            line = input(_PROMPT)
        except (EOFError, KeyboardInterrupt):
            typer.echo()
            return
        if line.strip():
            yield line


def _set_up_readline() -> None:
    try:
        readline.read_history_file(_HISTORY_FILE.expanduser())
    except OSError:
        # The file is missing or cannot be read; the prompt works without it.
        pass
    readline.set_history_length(_HISTORY_LINES)
    readline.set_completer_delims(" \t")
    readline.set_completer(_complete)
    readline.parse_and_bind("tab: complete")


def _complete(text: str, state: int) -> str | None:
    before = readline.get_line_buffer()[: readline.get_begidx()]
    found = [
        word for word in parser.next_words(before) if word.startswith(text)
    ]
    return f"{found[state]} " if state < len(found) else None


def _save_history() -> None:
    try:
        readline.write_history_file(_HISTORY_FILE.expanduser())
    except OSError as error:
        typer.echo(f"history not saved: {error}", err=True)


class _DaemonUnavailable(Exception):
    """No daemon answered; the message says whether the line may have run."""


class _Client:
    """Sends lines to the first daemon that accepts a connection."""

    def __init__(self, addresses: list[tuple[str, int]], who: str):
        self._addresses = addresses
        self._who = who

    def send(self, line: str, operation: ids.OperationId) -> results.Result:
        """Returns the answer to a query or command.

        Raises:
          _DaemonUnavailable: No daemon accepted the connection, or the one
            that did gave no answer that can be read.
        """
        order = endpoint.OperatorRequest(line, self._who, operation)
        connection = self._connect()
        try:
            body = msgspec.json.encode(order)
            connection.request("POST", endpoint.PATH, body)
            return results.decode(connection.getresponse().read())
        except (
            OSError,
            http.client.HTTPException,
            msgspec.DecodeError,
        ) as error:
            message = (
                f"{connection.host}:{connection.port} gave no answer ({error});"
                " a command may have taken effect."
                f" To repeat it safely, use do --operation {operation}"
            )
            raise _DaemonUnavailable(message) from error
        finally:
            connection.close()

    def _connect(self) -> http.client.HTTPConnection:
        failures = []
        for host, port in self._addresses:
            connection = http.client.HTTPConnection(
                host, port, timeout=_CONNECT_TIMEOUT_S
            )
            try:
                connection.connect()
            except OSError as error:
                failures.append(f"{host}:{port}: {error}")
                continue
            connection.sock.settimeout(_ANSWER_TIMEOUT_S)
            return connection
        raise _DaemonUnavailable(
            "no daemon accepted a connection:\n" + "\n".join(failures)
        )
