"""Command line of the stand-in target."""

import asyncio
import signal
from typing import Annotated

import typer

from mustardloom import clock as clocks
from mustardloom.standins import target as targets

__all__ = ["main"]

_app = typer.Typer(add_completion=False)


def main() -> None:
    """Runs `mustardloom-target`."""
    _app()


@_app.command()
def serve(
    service: Annotated[str, typer.Option(envvar="MUSTARDLOOM_SERVICE")],
    host: Annotated[str, typer.Option(envvar="MUSTARDLOOM_HOST")] = "127.0.0.1",
    port: Annotated[int, typer.Option(envvar="MUSTARDLOOM_PORT")] = 0,
    capacity: Annotated[int, typer.Option(min=1)] = 6,
    mean_ms: Annotated[float, typer.Option(min=0)] = 10.0,
    sigma: Annotated[float, typer.Option(min=0)] = 0.3,
    seed: int = 1,
    checks_fencing: bool = True,
    region: Annotated[str, typer.Option(envvar="MUSTARDLOOM_REGION")] = "",
    zone: Annotated[str, typer.Option(envvar="MUSTARDLOOM_ZONE")] = "",
    daemon_admin: Annotated[
        str, typer.Option(envvar="MUSTARDLOOM_DAEMON_ADMIN")
    ] = "",
    stale_load_ms: Annotated[int, typer.Option(min=0)] = 1_000,
    restart_after_ms: Annotated[int | None, typer.Option(min=0)] = None,
) -> None:
    """Runs a stand-in target until SIGTERM."""
    settings = targets.TargetSettings(
        service=service,
        host=host,
        port=port,
        capacity=capacity,
        mean_ms=mean_ms,
        sigma=sigma,
        seed=seed,
        checks_fencing=checks_fencing,
        region=region,
        zone=zone,
        daemon_admin=daemon_admin,
        stale_load_ms=stale_load_ms,
        restart_after_ms=restart_after_ms,
    )
    asyncio.run(_serve(settings))


async def _serve(settings: targets.TargetSettings) -> None:
    target = targets.Target(settings, clocks.SystemClock())
    target.start()
    task = asyncio.ensure_future(target.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        await target.stop()


if __name__ == "__main__":
    main()
