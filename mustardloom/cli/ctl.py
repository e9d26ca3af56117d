"""Binary `mustardloomctl`: commands for operators.

Each module with subcommands has a function `register(app)` that adds them.
"""

import typer

from mustardloom.cli import common
from mustardloom.cli import configuration
from mustardloom.cli import explain
from mustardloom.cli import operate

__all__ = ["app", "main"]

app = typer.Typer(no_args_is_help=True, help="Operates mustardloom.")

for _module in (configuration, explain, operate):
    _module.register(app)


@app.callback()
def _options(
    log_format: common.LogFormatOption = common.LogFormat.HUMAN,
    version: common.VersionOption = False,
) -> None:
    """Operates mustardloom."""
    del version
    common.set_up_logs(log_format)


def main() -> None:
    """Runs the binary."""
    common.run(app)


if __name__ == "__main__":
    main()
