"""Binary `mustardloom-target`: stand-in for a target."""

import asyncio
import signal
from typing import Annotated

import typer

from mustardloom import clock as clock_lib
from mustardloom.cli import common
from mustardloom.standins import target as target_lib

__all__ = ["app", "main"]

app = typer.Typer(help="Stand-in for a target.")


@app.command()
def serve(
    service: Annotated[str, common.setting("SERVICE", "Service to serve.")],
    host: Annotated[
        str, common.setting("HOST", "IP address to bind.")
    ] = "127.0.0.1",
    port: Annotated[
        int, common.setting("PORT", "Port; 0 chooses a free one.", 0)
    ] = 0,
    capacity: Annotated[
        int, common.setting("CAPACITY", "Concurrent requests when warm.", 1)
    ] = 6,
    mean_ms: Annotated[
        float, common.setting("MEAN_MS", "Mean service time in ms.", 0)
    ] = 10.0,
    sigma: Annotated[
        float,
        common.setting(
            "SIGMA",
            "Standard deviation of the logarithm of the service time.",
            0,
        ),
    ] = 0.3,
    seed: Annotated[int, common.setting("SEED", "Seed of random draws.")] = 1,
    checks_fencing: Annotated[
        bool,
        common.setting(
            "CHECKS_FENCING", "Refuse requests without a valid grant."
        ),
    ] = True,
    region: Annotated[
        str, common.setting("REGION", "Region, for the record of runs.")
    ] = "",
    zone: Annotated[
        str,
        common.setting("ZONE", "Availability zone, for the record of runs."),
    ] = "",
    daemon_admin: Annotated[
        str,
        common.setting(
            "DAEMON_ADMIN",
            "IP:PORT of the daemon's admin address; empty: none.",
        ),
    ] = "",
    stale_load_ms: Annotated[
        int,
        common.setting("STALE_LOAD_MS", "Age of the reported load in ms.", 0),
    ] = 1_000,
    restart_after_ms: Annotated[
        int | None,
        common.setting(
            "RESTART_AFTER_MS",
            "Time in ms from a crash to a restart in the same process; if not"
            " set, the process exits.",
        ),
    ] = None,
    log_format: common.LogFormatOption = common.LogFormat.HUMAN,
    version: common.VersionOption = False,
) -> None:
    """Runs a stand-in target until SIGTERM.

    Exit codes: 0 after SIGTERM, 2 if it cannot bind, 70 after a crash.
    """
    del version
    common.set_up_logs(log_format)
    settings = target_lib.TargetSettings(
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
    try:
        asyncio.run(_serve(settings))
    except OSError as error:
        message = f"cannot bind {host}:{port}: {error}"
        raise common.fail(message, common.ExitCode.USAGE) from error


async def _serve(settings: target_lib.TargetSettings) -> None:
    target = target_lib.Target(settings, clock_lib.SystemClock())
    target.start()
    task = asyncio.ensure_future(target.run())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        await target.stop()


def main() -> None:
    """Runs the binary."""
    common.run(app)


if __name__ == "__main__":
    main()
