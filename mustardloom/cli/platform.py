"""Binary `mustardloom-platform`: stand-in for the object API."""

import asyncio
from typing import Annotated

import typer

from mustardloom import clock as clocks
from mustardloom.standins import platform

__all__ = ["main"]

_app = typer.Typer()


@_app.command()
def serve(
    address: Annotated[
        str, typer.Option(envvar="MUSTARDLOOM_PLATFORM_ADDRESS")
    ] = "127.0.0.1",
    port: Annotated[
        int, typer.Option(envvar="MUSTARDLOOM_PLATFORM_PORT")
    ] = 7000,
) -> None:
    """Serves an empty object store until it is stopped."""
    asyncio.run(_serve(address, port))


async def _serve(address: str, port: int) -> None:
    server = platform.PlatformServer(clocks.SystemClock())
    server.start(address, port)
    await asyncio.Event().wait()


def main() -> None:
    """Runs the binary."""
    _app()


if __name__ == "__main__":
    main()
