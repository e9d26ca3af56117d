"""Binary `mustardloom-platform`: stand-in for the platform's object API."""

import asyncio
import signal
from typing import Annotated

from loguru import logger
import typer

from mustardloom import clock as clock_lib
from mustardloom.cli import common
from mustardloom.standins import platform

__all__ = ["app", "main"]

app = typer.Typer(help="Stand-in for the platform's object API.")


@app.command()
def serve(
    address: Annotated[
        str,
        typer.Option(
            envvar="MUSTARDLOOM_PLATFORM_ADDRESS", help="Address to bind."
        ),
    ] = "127.0.0.1",
    port: Annotated[
        int,
        typer.Option(
            envvar="MUSTARDLOOM_PLATFORM_PORT",
            min=0,
            max=65_535,
            help="Port to bind; 0 chooses a free one.",
        ),
    ] = 7000,
    log_format: common.LogFormatOption = common.LogFormat.HUMAN,
    version: common.VersionOption = False,
) -> None:
    """Serves an object store, empty at first, until SIGTERM or SIGINT."""
    del version
    common.set_up_logs(log_format)
    try:
        asyncio.run(_serve(address, port))
    except OSError as error:
        message = f"cannot bind {address}:{port}: {error}"
        raise common.fail(message, common.ExitCode.USAGE) from error


async def _serve(address: str, port: int) -> None:
    server = platform.PlatformServer(clock_lib.SystemClock())
    server.start(address, port)
    logger.info("listening on {}:{}", address, server.port)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    await server.stop()


def main() -> None:
    """Runs the binary."""
    common.run(app)


if __name__ == "__main__":
    main()
