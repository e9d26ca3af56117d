"""Options, exit codes and error handling that the binaries share."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import enum
from importlib import metadata
import sys
from typing import Annotated

from loguru import logger
import typer

from mustardloom import findings
from mustardloom import objects

__all__ = [
    "ExitCode",
    "LogFormat",
    "LogFormatOption",
    "VersionOption",
    "check_settings",
    "fail",
    "reporting_errors",
    "run",
    "set_up_logs",
    "setting",
]

_PACKAGE = "mustardloom"
_ENVIRONMENT_PREFIX = "MUSTARDLOOM_"


class ExitCode(enum.IntEnum):
    """Exit codes that the binaries share."""

    OK = 0
    USAGE = 2
    FINDINGS = 3
    PLATFORM_UNAVAILABLE = 4
    CONFLICT = 5


class LogFormat(enum.Enum):
    """Format of log lines."""

    HUMAN = "human"
    JSON = "json"


def set_up_logs(log_format: LogFormat) -> None:
    """Sends log lines to standard error in the given format."""
    logger.remove()
    is_json = log_format is LogFormat.JSON
    logger.add(sys.stderr, level="INFO", serialize=is_json)


def setting(
    name: str, text: str, minimum: float | None = None
) -> typer.models.OptionInfo:
    """Returns an option that can also be set as MUSTARDLOOM_`name`.

    Args:
      name: Name of the environment variable after the prefix.
      text: Help text.
      minimum: Smallest valid value, None for any.
    """
    option: typer.models.OptionInfo = typer.Option(
        help=text, envvar=f"{_ENVIRONMENT_PREFIX}{name}", min=minimum
    )
    return option


def fail(message: str, code: ExitCode) -> typer.Exit:
    """Prints `message` to standard error and returns the exception to raise.

    Example:
      raise common.fail("no answer", common.ExitCode.PLATFORM_UNAVAILABLE)
    """
    typer.echo(message, err=True)
    return typer.Exit(code)


def check_settings(
    checks: Iterable[Callable[[], object]], source: str = "settings"
) -> None:
    """Runs all checks of settings and reports all their faults together.

    Args:
      checks: Functions that raise ValueError with a message for the operator.
      source: Source that the findings name.

    Raises:
      findings.FindingsError: At least one check failed.
    """
    place = findings.Place(source)
    findings.raise_if_any(
        findings.Finding(place, message) for message in _failures(checks)
    )


def _failures(checks: Iterable[Callable[[], object]]) -> Iterator[str]:
    for check in checks:
        try:
            check()
        except ValueError as error:
            yield str(error)


@contextlib.contextmanager
def reporting_errors() -> Iterator[None]:
    """Converts errors that any command may raise to messages and exit codes."""
    try:
        yield
    except findings.FindingsError as error:
        raise fail(str(error), ExitCode.FINDINGS) from error
    except objects.PlatformUnavailable as error:
        message = f"platform unavailable: {error}"
        raise fail(message, ExitCode.PLATFORM_UNAVAILABLE) from error


def run(app: typer.Typer) -> None:
    """Runs the command line `app` and exits the process."""
    app()


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(f"{_PACKAGE} {metadata.version(_PACKAGE)}")
        raise typer.Exit(ExitCode.OK)


VersionOption = Annotated[
    bool,
    typer.Option(
        "--version",
        callback=_print_version,
        is_eager=True,
        help="Print the version and exit.",
    ),
]

LogFormatOption = Annotated[
    LogFormat,
    typer.Option(envvar="MUSTARDLOOM_LOG_FORMAT", help="Format of log lines."),
]
