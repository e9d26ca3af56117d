"""Parts that all command lines share."""

import enum
import sys
from typing import Annotated

from loguru import logger
import typer

import mustardloom

__all__ = ["LogFormat", "VersionFlag", "set_up_logs"]


class LogFormat(enum.Enum):
    """Form of log lines."""

    HUMAN = "human"
    JSON = "json"


def set_up_logs(log_format: LogFormat) -> None:
    """Sends log lines to standard error."""
    logger.remove()
    logger.add(
        sys.stderr,
        level="INFO",
        serialize=log_format is LogFormat.JSON,
    )


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(mustardloom.__version__)
        raise typer.Exit


VersionFlag = Annotated[
    bool,
    typer.Option(
        "--version",
        callback=_print_version,
        is_eager=True,
        help="Print the version and exit.",
    ),
]
